// Budgets of hedged attempts, and when to hedge; see RetryBudget.h for retries.
//
//   noteCall(Hedges);                                // each first attempt
//   std::optional<Duration> Delay =
//       hedgeDelay(State, Hedges, Repeatable, Expected);
//   ... when no first token came by then: if (takeHedge(Hedges)) send again
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

/// The hedged attempts of one service.
struct HedgeBudget {
  double Share = 0.03; ///< Per call.
  double Most = 3;     ///< That may be saved up.
  double Left = 3;
};

/// Takes note of the first attempt of a call, which earns a part of a hedge.
void noteCall(HedgeBudget &Budget);

/// Takes one hedged attempt out of the budget; returns false when there is
/// none.
bool takeHedge(HedgeBudget &Budget);

/// Returns how long to wait before attempt number \p Attempt, counted from 1:
/// exponential with full jitter, so that requests that failed together don't
/// return together.
Duration retryDelay(int Attempt, RandomGenerator &Generator);

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
                                   const HedgeBudget &Budget, bool Repeatable,
                                   Duration Expected);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_RETRY_H
