// The priority of a call, from its customer's and its route's priority.
//
//   const CallPriority Priority = callPriority(Customer.Priority,
//   Route.Priority); Call.Priority = queueRank(Priority); Plan.Urgency =
//   engineUrgency(Priority);
//
// A customer's priority takes precedence over that of the route. Calls of
// customers with equal priority are ordered by their routes: where all
// customers have the same one, short urgent calls would otherwise compete with
// long calls of less urgent routes as equals.

#ifndef GALENAROUTE_REQUEST_CALLPRIORITY_H
#define GALENAROUTE_REQUEST_CALLPRIORITY_H

#include <algorithm>
#include <optional>

namespace galenaroute {

/// Smaller values are more urgent; 0 is the most urgent.
struct CallPriority {
  int Customer = 0; ///< The route's where the customer has none.
  int Route = 0;
};

inline CallPriority callPriority(std::optional<int> OfCustomer, int OfRoute) {
  return {OfCustomer.value_or(OfRoute), OfRoute};
}

/// Returns one number with the same order; priorities of routes from 0 to 99
/// are told apart.
inline int queueRank(CallPriority Priority) {
  static constexpr int RoutePriorities = 100;
  return Priority.Customer * RoutePriorities +
         std::clamp(Priority.Route, 0, RoutePriorities - 1);
}

/// The least urgent value of engineUrgency().
inline constexpr int MaxEngineUrgency = 9;

/// Returns the urgency of the call at an engine, from 0 to MaxEngineUrgency.
/// Three priorities of routes are told apart.
inline int engineUrgency(CallPriority Priority) {
  static constexpr int RoutePriorities = 3;
  return std::clamp(Priority.Customer * RoutePriorities +
                        std::clamp(Priority.Route, 0, RoutePriorities - 1),
                    0, MaxEngineUrgency);
}

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CALLPRIORITY_H
