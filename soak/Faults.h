// The faults of a soak, drawn from its seed.
//
//   for (const Fault &Each : drawFaults(Seed, Settings)) ...   // by time
//
// The same seed and settings always give the same faults.

#ifndef GALENAROUTE_SOAK_FAULTS_H
#define GALENAROUTE_SOAK_FAULTS_H

#include "process/Clock.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace galenaroute::soak {

enum class FaultKind {
  Freeze,        ///< SIGSTOP to a daemon, SIGCONT at the end.
  Kill,          ///< SIGKILL to a daemon; it starts again at the end.
  KillAll,       ///< The same for all daemons.
  Stop,          ///< SIGTERM to a daemon; it starts again when it has gone.
  HangUp,        ///< SIGHUP to a daemon.
  UpstreamCrash, ///< Its connections are reset; back as a new incarnation.
  UpstreamLeave, ///< It says that it leaves, ends later, and is back.
  LinkSlow,      ///< To an upstream.
  LinkSilent,    ///< To an upstream, both ways.
  LinkOneWay,    ///< To an upstream, nothing comes back.
  LinkThrottled, ///< To an upstream.
  LinkReset,     ///< To an upstream, all open connections.
  StoreAway,     ///< For one daemon, silently.
  StoreAwayAll,  ///< For all daemons, with resets.
  StoreSlow,     ///< For all daemons.
};
inline constexpr int FaultKinds = static_cast<int>(FaultKind::StoreSlow) + 1;

std::string_view toString(FaultKind Kind);

struct Fault {
  Duration At{};  ///< From the start of the traffic.
  Duration For{}; ///< Until it ends; zero where it has no end.
  FaultKind Kind = FaultKind::Freeze;
  std::size_t Target = 0; ///< Of the daemons or upstreams, by kind.
};

struct FaultSettings {
  std::size_t Daemons = 5;
  std::size_t Upstreams = 8;
  Duration Length = std::chrono::seconds(20); ///< Of the time with faults.
  /// Mean time between two faults; they last longer, so that they overlap.
  Duration Gap = std::chrono::milliseconds(900);
  Duration Longest = std::chrono::seconds(4); ///< Of a fault.
};

std::vector<Fault> drawFaults(std::uint64_t Seed,
                              const FaultSettings &Settings);

} // namespace galenaroute::soak

#endif // GALENAROUTE_SOAK_FAULTS_H
