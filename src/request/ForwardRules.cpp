#include "request/ForwardRules.h"

#include <algorithm>

namespace galenaroute {

/// Multiple of the route's target that a call may take before another upstream
/// is tried. With less, ordinary long calls would be sent twice.
static constexpr double StallTargetMultiple = 2;
static constexpr Duration MinStallLimit = std::chrono::milliseconds(400);
/// The same for the pause between events of a stream.
static constexpr double StallPauseMultiple = 3;
static constexpr Duration MinPauseStallLimit = std::chrono::milliseconds(800);

ForwardStep nextStep(const ForwardProgress &Progress, SendOutcome Outcome) {
  const bool HasTime = Progress.TimeLeft >= MinTimeForRetry;
  const bool HasSends = Progress.Sends < MaxSends && Progress.HasBudget;
  const bool MayRunAgain = Progress.Repeat != Repeatability::Once &&
                           Progress.PossibleRuns < Progress.MaxUpstreams;
  const ForwardStep WhenExhausted =
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
               : WhenExhausted;
  case SendOutcome::NotRun:
    return HasSends && HasTime ? ForwardStep::Retry : WhenExhausted;
  case SendOutcome::Broken:
  case SendOutcome::Stalled:
    return MayRunAgain && HasSends && HasTime ? ForwardStep::Retry
                                              : ForwardStep::Fail;
  }
  return ForwardStep::Fail;
}

std::string_view toString(Silence What) {
  switch (What) {
  case Silence::Unexplained:
    return "unexplained";
  case Silence::NotSent:
    return "not_sent";
  case Silence::Link:
    return "link_silent";
  case Silence::Busy:
    return "busy_elsewhere";
  case Silence::TooLong:
    return "silent_too_long";
  }
  return "unknown";
}

Duration maxSilence(const ForwardRoute &Route, bool HasBegun) {
  return (HasBegun ? Route.GapTarget : Route.Target) + MaxSoundSilence -
         MaxOverlap;
}

Silence explainSilence(const SilentSend &Send) {
  if (!Send.WasSent)
    return Silence::NotSent;
  if (Send.LinkSilentFor >= MinLinkSilence)
    return Silence::Link;
  if (Send.SinceHeard < Send.SinceProgress && Send.SinceHeard <= MaxHeardAge)
    return Silence::Busy;
  return Send.SinceHeard >= Send.MaxSilence ? Silence::TooLong
                                            : Silence::Unexplained;
}

std::optional<Duration> stallLimit(const ForwardRoute &Route, bool HasBegun) {
  if (Route.Repeat == Repeatability::Once || Route.MaxUpstreams < 2)
    return std::nullopt;
  if (HasBegun)
    return std::max(scaled(Route.GapTarget, StallPauseMultiple),
                    MinPauseStallLimit);
  return std::max(scaled(Route.Target, StallTargetMultiple), MinStallLimit);
}

} // namespace galenaroute
