// Decisions of which orders to send to the upstreams of a model service so
// that they reach the weights, adapters and models that its configuration
// declares.
//
//   RolloutState State;
//   onObserved(State, "steward-1", Observation, Now);
//   for (const Order &Each : planOrders(Service, State, Fence, Now))
//   send(Each); onOrderAnswered(State, "steward-1", OrderAnswer::Accepted,
//   Now);
//
// Orders state what an upstream should have, not steps, so that sending one
// twice does no harm. Guarantees: at any time at most
// ServiceConfig::MaxConcurrentLoads upstreams are loading or may be loading;
// an order whose outcome is unknown counts as a load until the upstream is
// seen again; an upstream that fails or refuses is asked again only after a
// back-off. State is one small record for each upstream.

#ifndef GALENAROUTE_VERSION_ORDERS_H
#define GALENAROUTE_VERSION_ORDERS_H

#include "version/Configuration.h"

#include <map>
#include <optional>
#include <vector>

namespace galenaroute {

/// What an upstream says of itself.
struct UpstreamObservation {
  std::string WeightVersion;
  std::vector<std::string> Adapters;
  bool Loading = false;
  /// Calls under way there; nothing when that is not known.
  std::optional<std::uint64_t> Calls;
};

/// How an order was answered.
enum class OrderAnswer {
  Accepted,
  Fenced, ///< A newer holder has sent orders; this one must stop.
  Busy,   ///< Refused for now, for instance by the weight store's rate.
  Failed, ///< Not sent; no connection.
  Unknown,
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

/// Times of a rollout.
struct RolloutSettings {
  /// An observation older than this is not acted on.
  Duration MaxObservationAge = std::chrono::seconds(5);
  /// After this long, a load that never showed is taken as lost.
  Duration LoadTimeout = std::chrono::seconds(30);
  Duration FirstBackoff = std::chrono::seconds(1);
  Duration MaxBackoff = std::chrono::seconds(30);
  /// How long before its order an upstream is at least kept free of new work,
  /// so that it has little left to finish; see withheld().
  Duration Preparation{};
  /// The order waits for calls under way for this long in all. An upstream
  /// finishes them before it loads, and would hold up a load meanwhile.
  Duration MaxPreparation{};
  /// Upstreams that are prepared at a time, for each that may load. Calls take
  /// longer to finish than weights to load.
  int PreparingPerLoad = 1;
};

/// What is known of one upstream.
struct UpstreamRollout {
  std::optional<UpstreamObservation> Observed;
  TimePoint ObservedAt;
  std::optional<TimePoint> PreparedAt; ///< Set when next in line.
  std::optional<TimePoint> OrderedAt;  ///< Set while a load may be under way.
  TimePoint NotBefore;
  int Failures = 0;
};

/// What the holder of a service's lease knows.
struct RolloutState {
  RolloutSettings Settings;
  std::map<std::string, UpstreamRollout> Upstreams;
  bool Fenced = false; ///< Set when any upstream has seen a newer number.
};

/// Takes in what \p Upstream says of itself.
void onObserved(RolloutState &State, std::string_view Upstream,
                UpstreamObservation Observation, TimePoint Now);

/// Takes in the answer to an order.
void onOrderAnswered(RolloutState &State, std::string_view Upstream,
                     OrderAnswer Answer, TimePoint Now);

/// Returns the upstreams that should get no new work now: those ordered to
/// load and those next in line.
std::vector<std::string> withheld(const RolloutState &State);

/// Returns whether \p Observed is what \p Service declares.
bool matches(const ServiceConfig &Service, const UpstreamObservation &Observed);

/// Returns the orders to send now and notes them as under way. With
/// \p MayOrder false, upstreams are only prepared.
std::vector<Order> planOrders(const ServiceConfig &Service, RolloutState &State,
                              std::uint64_t Fence, TimePoint Now,
                              bool MayOrder = true);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_ORDERS_H
