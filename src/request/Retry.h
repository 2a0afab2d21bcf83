// Budgets of retries and hedged attempts.
//
//   noteCall(Budget);                                // each first attempt
//   if (takeRetry(Budget))
//     after(retryDelay(Attempt, Generator), resend);
//   std::optional<Duration> Delay =
//       hedgeDelay(Hedges, Budget, Repeatable, Expected);
//
// Guarantee: the extra attempts granted never exceed a fixed share of the
// calls plus a constant burst, so failing upstreams are not pressed by a
// multiple of the ordinary load. Calls that may not repeat are never hedged.

#ifndef GALENAROUTE_REQUEST_RETRY_H
#define GALENAROUTE_REQUEST_RETRY_H

#include "process/Clock.h"
#include "request/Routing.h"

#include <optional>

namespace galenaroute {

struct RetryOptions {
  double RetryShare = 0.1; ///< Retries per call.
  double RetryBurst = 10;  ///< Retries that may be saved up.
  double HedgeShare = 0.03;
  double HedgeBurst = 3;
  int MaxAttempts = 3; ///< Of one request, the first one included.
  Duration FirstDelay = Milliseconds(10);
  Duration LongestDelay = Milliseconds(500);
};

/// The budgets of one service.
struct RetryBudget {
  RetryOptions Options;
  double Retries = 10;
  double Hedges = 3;
};

/// Takes note of the first attempt of a call, which earns a part of a retry.
void noteCall(RetryBudget &Budget);

/// Takes one retry out of the budget; returns false when there is none.
bool takeRetry(RetryBudget &Budget);

/// Takes one hedged attempt out of the budget; returns false when there is
/// none.
bool takeHedge(RetryBudget &Budget);

/// Returns how long to wait before attempt number \p Attempt, counted from 1:
/// exponential with full jitter, so that requests that failed together don't
/// return together.
Duration retryDelay(int Attempt, const RetryOptions &Options,
                    RandomGenerator &Generator);

/// The observed ratio of actual to expected time to first token.
struct HedgeState {
  /// Estimate of the quantile below.
  double Ratio = 3;
  double Quantile = 0.95;
  Duration MinDelay = Milliseconds(50);
};

/// Moves the estimate of the quantile by one observation.
void noteFirstTokenRatio(HedgeState &State, Duration Expected, Duration Actual);

/// Returns after which time without a first token a second attempt may be sent,
/// or nothing when the call may not repeat or the budget is used up. The shell
/// calls takeHedge() when that time has come.
std::optional<Duration> hedgeDelay(const HedgeState &State,
                                   const RetryBudget &Budget, bool Repeatable,
                                   Duration Expected);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_RETRY_H
