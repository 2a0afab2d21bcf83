// Decides what follows when a send of a forwarded call has ended: deliver the
// answer, retry, refuse or fail.
//
//   switch (nextStep(Progress, Outcome)) { ... }
//
// Guarantees: a call that must run at most once is retried only when it is
// known not to have run; a call that may have run is never refused as not run;
// no call is sent to more upstreams than its route allows.

#ifndef GALENAROUTE_REQUEST_FORWARDRULES_H
#define GALENAROUTE_REQUEST_FORWARDRULES_H

#include "process/Clock.h"
#include "version/ForwardConfig.h"

#include <string_view>

namespace galenaroute {

/// How a send ended.
enum class SendOutcome {
  NotSent,   ///< No connection could be made.
  NotRun,    ///< The upstream states that it has not run the call.
  Succeeded, ///< A complete answer that is not a server error.
  Failed,    ///< A complete answer with a server error.
  Broken,    ///< No answer, a truncated one, or malformed bytes.
  Stalled,   ///< No progress within the stall limit.
};

/// The sends of a call so far and what it may still use.
struct ForwardProgress {
  Repeatability Repeat = Repeatability::Once;
  int Sends = 0;        ///< Sends that reached an upstream, also refused ones.
  int PossibleRuns = 0; ///< Sends that may have run, including this one.
  int MaxUpstreams = 1;
  int ConnectFailures = 0;
  bool HasBudget = true;
  Duration TimeLeft{};
};

enum class ForwardStep {
  Deliver, ///< Pass the answer to the caller.
  Retry,
  Refuse, ///< The call has not run and will not.
  Fail,   ///< The call may have run.
};

/// What explains that a send makes no progress.
enum class Silence {
  Unexplained, ///< The upstream may stand still and go on.
  NotSent,     ///< Its connection is not established.
  Link,        ///< Its link acknowledges nothing.
  Busy,        ///< The upstream sends bytes of other answers, or no events.
  TooLong,     ///< A sound upstream is not silent for so long.
};

/// Returns the name of \p What in log lines.
std::string_view toString(Silence What);

struct SilentSend {
  bool WasSent = false;
  Duration LinkSilentFor{}; ///< Zero while its link acknowledges.
  Duration SinceProgress{};
  Duration SinceHeard{}; ///< Since the upstream sent bytes of any answer.
  Duration MaxSilence{}; ///< See maxSilence().
};

/// How long checks must find a link silent. A probe that was just sent looks
/// like one that is lost.
inline constexpr Duration MinLinkSilence = std::chrono::milliseconds(100);
/// An upstream that was heard within this time works. The shorter it is, the
/// less often a process that has just begun to stand still counts as working.
inline constexpr Duration MaxHeardAge = std::chrono::milliseconds(100);
/// Beyond the time in which an answer is due, a sound upstream may be silent
/// for a second or so.
inline constexpr Duration MaxSoundSilence = std::chrono::seconds(2);
/// How long an upstream may go on with a call that goes on at another one.
inline constexpr Duration MaxOverlap = std::chrono::milliseconds(400);

/// Returns the time without a byte after which a call of \p Route may go on at
/// another upstream: one that goes on later was silent for longer than a sound
/// one.
Duration maxSilence(const ForwardRoute &Route, bool HasBegun);

/// Returns what explains the silence of \p Send.
Silence explainSilence(const SilentSend &Send);

/// A retry is not started with less time left than this.
inline constexpr Duration MinTimeForRetry = std::chrono::milliseconds(60);
/// Maximum sends of one call, including those that upstreams refuse.
inline constexpr int MaxSends = 4;
/// Maximum failed connection attempts of one call.
inline constexpr int MaxConnectFailures = 5;

/// Returns the step that follows a send that ended with \p Outcome.
ForwardStep nextStep(const ForwardProgress &Progress, SendOutcome Outcome);

/// Returns how long an upstream may make no progress on a call of \p Route
/// before another upstream is tried, or nothing if the route allows no other.
std::optional<Duration> stallLimit(const ForwardRoute &Route, bool HasBegun);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_FORWARDRULES_H
