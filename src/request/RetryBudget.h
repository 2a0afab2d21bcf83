// Limits the retries of a process by a token bucket.
//
//   noteCall(Budget);                                 // each call
//   if (hasRetry(Budget)) { spendRetry(Budget); ... } // each retry
//
// Guarantee: retries add at most a fixed fraction to the load, instead of
// multiplying it when many upstreams fail. The limit applies to the fleet: each
// process has its share of the burst, and unused tokens are lost when it stops.

#ifndef GALENAROUTE_REQUEST_RETRYBUDGET_H
#define GALENAROUTE_REQUEST_RETRYBUDGET_H

#include <algorithm>
#include <cstddef>

namespace galenaroute {

/// The token bucket of retries; one token allows one retry.
struct RetryBudget {
  double Share = 0.1; ///< Tokens added by each call.
  /// Maximum of Available. Allows retries in a process with few calls.
  double Capacity = 20;
  double Available = 20; ///< Current number of tokens.
};

/// Fraction of the fleet's limit that all processes together use. They do not
/// know each other's retries, and their time windows overlap.
inline constexpr double BudgetSafetyFactor = 0.7;
/// Minimum capacity of the bucket of one process, so that a large fleet can use
/// its limit.
inline constexpr double MinBudgetCapacity = 2;

/// Returns the initial budget of one of \p ProcessCount processes that together
/// may make \p Share retries per call plus \p Slack.
inline RetryBudget budgetPerProcess(double Share, double Slack,
                                    std::size_t ProcessCount) {
  return {.Share = Share * BudgetSafetyFactor,
          .Capacity = std::max(MinBudgetCapacity,
                               Slack * BudgetSafetyFactor /
                                   static_cast<double>(ProcessCount)),
          .Available = 0};
}

inline void noteCall(RetryBudget &Budget) {
  Budget.Available = std::min(Budget.Capacity, Budget.Available + Budget.Share);
}

inline bool hasRetry(const RetryBudget &Budget) {
  return Budget.Available >= 1;
}

inline void spendRetry(RetryBudget &Budget) {
  Budget.Available = std::max(0.0, Budget.Available - 1);
}

/// Takes back a spendRetry() for a retry that reached no upstream.
inline void returnRetry(RetryBudget &Budget) {
  Budget.Available = std::min(Budget.Capacity, Budget.Available + 1);
}

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_RETRYBUDGET_H
