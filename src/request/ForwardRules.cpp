#include "request/ForwardRules.h"

#include <algorithm>

namespace galenaroute {

/// How many times its target a call may take before another upstream is
/// tried. Below this, ordinary long calls would be sent twice.
static constexpr double StallTargets = 2;
static constexpr Duration LeastStall = std::chrono::milliseconds(400);
/// The same for a pause between events.
static constexpr double StallPauses = 3;
static constexpr Duration LeastPauseStall = std::chrono::milliseconds(800);

ForwardStep nextStep(const ForwardProgress &Progress, SendOutcome Outcome) {
  const bool HasTime = Progress.TimeLeft >= LeastTimeForRetry;
  const bool HasSends = Progress.Sends < MaxSends && Progress.HasBudget;
  const bool MayRunAgain = Progress.Repeat != Repeatability::Once &&
                           Progress.PossibleRuns < Progress.MaxUpstreams;
  const ForwardStep WhenStopped =
      Progress.PossibleRuns > 0 ? ForwardStep::Fail : ForwardStep::Refuse;
  switch (Outcome) {
  case SendOutcome::Succeeded:
    return ForwardStep::Deliver;
  case SendOutcome::Failed:
    return MayRunAgain && HasSends && HasTime ? ForwardStep::Retry
                                              : ForwardStep::Deliver;
  case SendOutcome::NotSent:
    return HasTime && Progress.ConnectFailures < MaxConnectFailures
               ? ForwardStep::Retry
               : WhenStopped;
  case SendOutcome::NotRun:
    return HasSends && HasTime ? ForwardStep::Retry : WhenStopped;
  case SendOutcome::Broken:
  case SendOutcome::Stalled:
    return MayRunAgain && HasSends && HasTime ? ForwardStep::Retry
                                              : ForwardStep::Fail;
  }
  return ForwardStep::Fail;
}

std::optional<Duration> stallLimit(const ForwardRoute &Route, bool HasBegun) {
  if (Route.Repeat == Repeatability::Once || Route.MaxUpstreams < 2)
    return std::nullopt;
  if (HasBegun)
    return std::max(scaled(Route.GapTarget, StallPauses), LeastPauseStall);
  return std::max(scaled(Route.Target, StallTargets), LeastStall);
}

} // namespace galenaroute
