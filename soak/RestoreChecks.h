// What was seen of configurations and of orders to engines while the store
// returns from copies, and the promises that it can break; see History.h.

#ifndef GALENAROUTE_SOAK_RESTORECHECKS_H
#define GALENAROUTE_SOAK_RESTORECHECKS_H

#include "process/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenaroute::soak {

struct BrokenPromise;
struct SoakBounds;
struct SoakHistory;

/// What acknowledged configurations say of a route, from a moment on.
struct RouteState {
  TimePoint At;
  std::string Service; ///< Empty: the route is not there.
};

/// A call that shows which configuration is in force at a daemon.
struct RouteProbe {
  std::string Route;
  std::size_t Daemon = 0;
  int Incarnation = 0; ///< Of the daemon, when the call was sent.
  TimePoint SentAt;
  TimePoint EndedAt;
  std::string Service; ///< That ran the call; empty after a 404.
  std::string Call = {};
};

/// An order that reached an engine.
struct OrderView {
  TimePoint At;
  std::string Engine;
  std::string Holder;
  std::uint64_t Fence = 0;
  std::optional<std::size_t> Daemon = {}; ///< That the holder is.
};

/// A time in which no daemon reaches the store as usual, or in which the store
/// lacks entries that its writers write again.
struct CoreDisruption {
  TimePoint From;
  TimePoint Until;
  std::uint64_t Era = 0; ///< Of the store after a restoration, else 0.
};

struct ConfigHistory {
  std::map<std::string, std::vector<RouteState>> Routes; ///< In order of time.
  std::vector<RouteProbe> Probes;                        ///< By EndedAt.
  std::vector<OrderView> Orders;                         ///< In order of time.
  std::vector<CoreDisruption> Disruptions;
  std::size_t Daemons = 0; ///< How many there are.
  /// Names of the histories of weights in the store at the end.
  std::vector<std::string> WeightHistories;
};

/// Returns when all daemons were down at once, killed before they could write
/// again what a restoration had taken away: from its beginning until Contact
/// after it and further disruptions of the store. What was known only to them
/// and the store is gone then.
std::vector<TimePoint> lossesOfEvidence(const SoakHistory &History,
                                        const SoakBounds &Bounds);

/// Within one incarnation, a daemon never handles a call as only a
/// configuration allows that is older than one that it had in force.
void checkConfigOrder(const SoakHistory &History,
                      std::vector<BrokenPromise> &Found);
/// Daemons in touch handle calls as a configuration allows that was newest
/// within ConfigApply, or since DisruptedApply after a disruption of the store.
void checkConfigTimes(const SoakHistory &History, const SoakBounds &Bounds,
                      std::vector<BrokenPromise> &Found);
/// The fences of orders to an engine do not fall, no two daemons use one, and
/// two daemons do not take turns within the lease time. Orders of daemons that
/// were frozen until ThawSlack before do not count.
void checkOrders(const SoakHistory &History, const SoakBounds &Bounds,
                 std::vector<BrokenPromise> &Found);
/// A history of weights belongs to the newest era of the store, if a daemon
/// that is still there has observed a naming.
void checkRewrites(const SoakHistory &History, const SoakBounds &Bounds,
                   std::vector<BrokenPromise> &Found);

} // namespace galenaroute::soak

#endif // GALENAROUTE_SOAK_RESTORECHECKS_H
