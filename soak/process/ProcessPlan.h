// What a process soak does to its processes and when, drawn from its seed.
//
//   for (const Deed &Each : drawPlan({.Seed = 7})) ...

#ifndef GALENAROUTE_SOAK_PROCESS_PROCESSPLAN_H
#define GALENAROUTE_SOAK_PROCESS_PROCESSPLAN_H

#include "process/Clock.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace galenaroute::process_soak {

enum class DeedKind {
  Kill,            ///< SIGKILL to a daemon; a successor starts at once.
  KillAndHangUp,   ///< The successor gets SIGHUP shortly after its start.
  KillAndStop,     ///< The successor gets SIGTERM shortly after its start.
  Stop,            ///< SIGTERM to a daemon; a successor starts meanwhile.
  Freeze,          ///< SIGSTOP and SIGCONT to a daemon.
  HangUp,          ///< SIGHUP to a daemon.
  RewriteSettings, ///< The settings file is half written for a moment.
  SilenceUpstream, ///< SIGSTOP and SIGCONT.
  KillUpstream,    ///< SIGKILL; it is back at its address later.
  LeaveUpstream,   ///< SIGTERM; it is back once it has left.
  FreezeStore,     ///< SIGSTOP and SIGCONT.
  Configure,       ///< A new configuration.
  KillAndOccupy,   ///< Another socket has the successor's address meanwhile.
  KillAndRewrite,  ///< The successor's settings are half written or missing.
  KillAll,         ///< SIGKILL to all daemons; successors start later.
  DropRoutes, ///< Configurations lack routes, or also a service, meanwhile.
  TurnAway,   ///< The store does not serve one daemon.
  RollOut,    ///< An upstream comes back with a new version; old ones leave.
  ReturnUpstream, ///< SIGKILL; it is back under its id, of the same version.
  Upgrade,        ///< A daemon is replaced by one of the new build.
  GoBack,         ///< A daemon is replaced by one of the old build.
};

const char *toString(DeedKind Kind);

/// How the store turns a daemon away.
enum class TurnAwayWay { Silence, Unavailable, TooManyRequests, Reset };

const char *toString(TurnAwayWay Way);
/// Returns the way of this name, or nothing.
std::optional<TurnAwayWay> turnAwayWayOf(std::string_view Name);

struct Deed {
  Duration At{}; ///< Since the faults begin.
  DeedKind Kind = DeedKind::Kill;
  std::size_t Target = 0;
  Duration For{}; ///< How long, or how long until the second part.
  /// Of rewritten settings: followed by SIGHUP, or missing meanwhile. Of
  /// dropped routes: a service is dropped with them. Of a new version: the
  /// upstream is killed, and does not leave. Of a replaced daemon: it is
  /// killed, and does not drain.
  bool Flag = false;
  TurnAwayWay Way = TurnAwayWay::Silence;
};

struct PlanSettings {
  std::uint64_t Seed = 1;
  Duration Length = std::chrono::seconds(20);
  std::size_t Daemons = 5;
  std::size_t Upstreams = 6;
  /// Whether daemons begin with an old build, are replaced in turn by the new
  /// one, and then by the old one again.
  bool ReplacesBuilds = false;
};

/// Returns the plan in order of time.
std::vector<Deed> drawPlan(const PlanSettings &Settings);

} // namespace galenaroute::process_soak

#endif // GALENAROUTE_SOAK_PROCESS_PROCESSPLAN_H
