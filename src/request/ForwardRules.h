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
