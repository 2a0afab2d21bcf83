// Decides which orders to send to the upstreams of a model service so that they
// load the weights, adapters and models that its configuration declares.
//
//   RolloutState State;
//   onObserved(State, "steward-1", Observation, Now);
//   for (const Order &Each : planOrders(Service, State, Fence, Now))
//     send(Each);
//   onOrderResult(State, "steward-1", OrderResult::Accepted, Now);
//
// Orders declare the desired state of an upstream, so they are idempotent.
// Guarantees: at any time at most ServiceConfig::MaxConcurrentLoads upstreams
// are loading or may be loading; an order whose outcome is unknown counts as a
// load until the upstream is observed again; an upstream that fails or rejects
// an order gets the next one only after a back-off; the state takes one small
// record per upstream.

#ifndef GALENAROUTE_VERSION_ORDERS_H
#define GALENAROUTE_VERSION_ORDERS_H

#include "version/Configuration.h"

#include <map>
#include <optional>
#include <vector>

namespace galenaroute {

/// The state that an upstream reports.
struct UpstreamObservation {
  std::string WeightVersion;
  std::vector<std::string> Adapters;
  bool Loading = false;
  /// Calls that the upstream is running, if known.
  std::optional<std::uint64_t> Calls;
};

/// The result of an order.
enum class OrderResult {
  Accepted,
  Fenced,  ///< A newer lease holder has sent orders; this one must stop.
  Busy,    ///< Rejected for now, for instance by the weight store's rate limit.
  Failed,  ///< Not sent, or rejected.
  Unknown, ///< No response; the order may have taken effect.
};

/// One order to one upstream.
struct Order {
  std::string Upstream;
  SocketAddress Address;
  std::uint64_t Fence = 0;
  std::string WeightVersion;
  std::string Model;
  std::vector<std::string> Adapters;
};

/// Timing and limits of a rollout.
struct RolloutSettings {
  /// Older observations are not used.
  Duration MaxObservationAge = std::chrono::seconds(5);
  /// An ordered load that was not observed by then is considered lost.
  Duration LoadTimeout = std::chrono::seconds(30);
  Duration FirstBackoff = std::chrono::seconds(1);
  Duration MaxBackoff = std::chrono::seconds(30);
  /// Minimum time that an upstream is drained before its order, so that few
  /// calls are left to finish; see withheld().
  Duration MinDrain{};
  /// Maximum time that an upstream is drained until its calls have ended. It
  /// finishes them before it loads, and would occupy one of the permitted loads
  /// meanwhile.
  Duration MaxDrain{};
  /// Upstreams that are drained at a time, per permitted load. Calls take
  /// longer to finish than weights to load.
  int DrainingPerLoad = 1;
};

/// The rollout state of one upstream.
struct UpstreamRollout {
  std::optional<UpstreamObservation> Observed;
  TimePoint ObservedAt;
  std::optional<TimePoint> DrainingSince; ///< Set while being drained.
  std::optional<TimePoint> OrderedAt;     ///< Set while a load may be pending.
  TimePoint NotBefore;
  int Failures = 0;
};

/// The state of a service's rollout at the lease holder.
struct RolloutState {
  RolloutSettings Settings;
  std::map<std::string, UpstreamRollout> Upstreams;
  bool Fenced = false; ///< Set when an upstream has seen a newer fence.
  /// Whether the last planOrders() would have returned orders with MayOrder.
  bool IsOrderDue = false;
};

/// Records the state that \p Upstream reported.
void onObserved(RolloutState &State, std::string_view Upstream,
                UpstreamObservation Observation, TimePoint Now);

/// Records the result of an order.
void onOrderResult(RolloutState &State, std::string_view Upstream,
                   OrderResult Answer, TimePoint Now);

/// Returns the upstreams that should get no new calls now: those with a pending
/// order and those being drained.
std::vector<std::string> withheld(const RolloutState &State);

/// Returns whether \p Observed is what \p Service declares.
bool matches(const ServiceConfig &Service, const UpstreamObservation &Observed);

/// Returns the orders to send now and records them as pending. If \p MayOrder
/// is false, upstreams are only drained.
std::vector<Order> planOrders(const ServiceConfig &Service, RolloutState &State,
                              std::uint64_t Fence, TimePoint Now,
                              bool MayOrder = true);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_ORDERS_H
