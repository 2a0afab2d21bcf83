// What callers and upstreams saw during a soak, and the promises that it can
// break.
//
//   for (const BrokenPromise &Each : checkHistory(History, Bounds)) ...
//
// The checks read nothing of the daemons: only what was sent to them, what they
// answered and what reached the upstreams.

#ifndef GALENAROUTE_SOAK_HISTORY_H
#define GALENAROUTE_SOAK_HISTORY_H

#include "ConnectionChecks.h"
#include "PromptHistory.h"
#include "RateLimitCheck.h"
#include "RestoreChecks.h"
#include "SilenceChecks.h"
#include "WeightsCheck.h"
#include "process/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenaroute::soak {

/// A call that a caller sent.
struct CallerView {
  std::string Path;
  std::string Body;
  bool IsOnce = false;       ///< Must not run twice.
  bool IsCrashing = false;   ///< Ends the upstream that runs it.
  bool IsForEngines = false; ///< Of another service than the upstreams.
  TimePoint SentAt;
  std::optional<TimePoint> EndedAt;
  int Status = 0;         ///< 0: no head of an answer was read.
  std::string Answer;     ///< The body.
  bool IsWhole = false;   ///< As long as its head said.
  std::size_t Daemon = 0; ///< Where it was sent.
};

/// A call that reached an upstream.
struct UpstreamView {
  std::string Call;
  std::string Path;
  std::string Body;
  std::string Upstream;
  TimePoint At;
  bool HasRun = false;     ///< Not refused as not run.
  bool HasCrashed = false; ///< It ended the upstream.
};

/// A planned stop of a daemon.
struct StopView {
  std::size_t Daemon = 0;
  TimePoint At;
  std::optional<TimePoint> EndedAt; ///< When the process was gone.
  int ExitCode = 0;                 ///< Minus the signal that ended it.
  bool WasDisturbed = false;        ///< Another fault struck it meanwhile.
};

enum class DisturbanceKind { Other, Freeze, Kill };

/// A time in which a daemon was killed, frozen, stopped or kept from the store.
struct Disturbance {
  std::optional<std::size_t> Daemon; ///< Nothing: all daemons.
  TimePoint From;
  TimePoint Until;
  bool IsStoreOnly = false; ///< Only the way to the store was disturbed.
  DisturbanceKind Kind = DisturbanceKind::Other;
};

struct SoakHistory {
  std::map<std::string, CallerView> Calls; ///< By id.
  std::vector<UpstreamView> Arrivals;      ///< In order of time.
  std::vector<StopView> Stops;
  std::vector<Disturbance> Disturbances;
  /// What each upstream stated on its rate limit and received, by its id. The
  /// number of a gateway is that of its daemon.
  std::map<std::string, testing_support::RateLimitHistory> RateLimits;
  testing_support::WeightsHistory Weights;
  PromptHistory Prompts;
  ConnectionHistory Connections;
  SilenceHistory Silences;
  ConfigHistory Configs;
  TimePoint LastFaultAt; ///< When the last fault ended.
  TimePoint EndedAt;     ///< When callers stopped sending.
};

/// The bounds that the platform states, see docs/platform.md.
struct SoakBounds {
  std::size_t MaxUpstreams = 2;   ///< For a call that may repeat.
  std::size_t CrashesAllowed = 3; ///< Of a content, and sends after these.
  /// Bounds with a time hold for daemons that were not disturbed for this long.
  Duration Contact = std::chrono::seconds(3);
  double RetryShare = 0.2;
  double RetrySlack = 54;
  Duration RetryWindow = std::chrono::seconds(10);
  Duration Grace = std::chrono::seconds(4);
  Duration Recovery = std::chrono::seconds(12);
  /// Time in which older weights go out of use. A daemon that dates a version
  /// too late shows only if this is longer than Contact.
  Duration WeightsLimit = std::chrono::seconds(7);
  /// From the acknowledgement of a configuration until it is in force.
  Duration ConfigApply = std::chrono::seconds(2);
  /// The same from the end of a disruption of the store.
  Duration DisruptedApply = std::chrono::seconds(5);
  Duration Lease = std::chrono::seconds(3);
  /// Orders that arrive this shortly after their sender was thawed are late.
  Duration ThawSlack = std::chrono::milliseconds(300);
};

struct BrokenPromise {
  std::string Promise;
  std::string Call; ///< Empty where it is no single call's.
  std::string What;
};

/// The answer that an upstream gives to a call; it names the call, so that
/// another call's answer is recognised.
std::string answerOf(const std::string &Call, const std::string &Body);

/// Returns whether a daemon was not disturbed for Contact before \p At.
bool isInTouch(const SoakHistory &History, const SoakBounds &Bounds,
               std::size_t Daemon, TimePoint At);

std::vector<BrokenPromise> checkHistory(const SoakHistory &History,
                                        const SoakBounds &Bounds);

} // namespace galenaroute::soak

#endif // GALENAROUTE_SOAK_HISTORY_H
