// Decision: what follows when a send of a forwarded call has ended.
//
//   switch (nextStep(Progress, Outcome)) { ... }
//
// Guarantees: a call that must run at most once is sent again only when it is
// known not to have run; a call is never refused as not run when it may have
// run; no call is sent to more upstreams than its route allows.

#ifndef GALENAROUTE_REQUEST_FORWARDRULES_H
#define GALENAROUTE_REQUEST_FORWARDRULES_H

#include "process/Clock.h"
#include "version/ForwardConfig.h"

namespace galenaroute {

/// How a send ended.
enum class SendOutcome {
  NotSent,   ///< No connection was made.
  NotRun,    ///< The upstream states that it has not run the call.
  Succeeded, ///< A whole answer that is no failure of the upstream.
  Failed,    ///< A whole answer with a server error.
  Broken,    ///< No answer, part of one, or bytes that are none.
  Stalled,   ///< No progress for too long.
};

/// How far a call has come.
struct ForwardProgress {
  Repeatability Repeat = Repeatability::Once;
  int Sends = 0;        ///< That reached an upstream, refused ones included.
  int PossibleRuns = 0; ///< Sends that may have run, this one included.
  int MaxUpstreams = 1;
  int ConnectFailures = 0;
  bool HasBudget = true;
  Duration TimeLeft{};
};

enum class ForwardStep {
  Deliver, ///< Pass the answer on.
  Retry,
  Refuse, ///< The call has not run and will not.
  Fail,   ///< The call may have run.
};

/// Least time in which another send can still be of use.
inline constexpr Duration LeastTimeForRetry = std::chrono::milliseconds(60);
/// Sends of one call at the most, refusals by upstreams included.
inline constexpr int MaxSends = 4;
/// Upstreams that one call may fail to connect to.
inline constexpr int MaxConnectFailures = 5;

ForwardStep nextStep(const ForwardProgress &Progress, SendOutcome Outcome);

/// Returns how long an upstream may show no progress on a call of \p Route
/// before another is tried; nothing where no other may be.
std::optional<Duration> stallLimit(const ForwardRoute &Route, bool HasBegun);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_FORWARDRULES_H
