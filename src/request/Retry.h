// Budget and timing of hedged attempts; see RetryBudget.h for retries.
//
//   noteCall(Hedges);                                // each first attempt
//   std::optional<Duration> Delay =
//       hedgeDelay(State, Hedges, Repeatable, Expected);
//   ... without a first token by then: if (takeHedge(Hedges)) send again
//
// Guarantees: hedged attempts never exceed a fixed fraction of the calls plus a
// constant burst, so failing upstreams do not get a multiple of the normal
// load; calls that may not be repeated are never hedged.

#ifndef GALENAROUTE_REQUEST_RETRY_H
#define GALENAROUTE_REQUEST_RETRY_H

#include "process/Clock.h"
#include "request/Routing.h"

#include <optional>

namespace galenaroute {

/// The token bucket of hedged attempts of one service.
struct HedgeBudget {
  double Share = 0.03;  ///< Tokens added by each call.
  double Capacity = 3;  ///< Maximum of Available.
  double Available = 3; ///< Current number of tokens.
};

/// Adds the share of one call to the budget; for the first attempt of each
/// call.
void noteCall(HedgeBudget &Budget);

/// Takes one hedged attempt from the budget; returns false if there is none.
bool takeHedge(HedgeBudget &Budget);

/// Returns the backoff before attempt number \p Attempt, counted from 1:
/// exponential with full jitter, so that requests that failed together are not
/// retried together.
Duration retryDelay(int Attempt, RandomGenerator &Generator);

/// The observed ratio of actual to expected time to first token.
struct HedgeState {
  /// Estimate of the ratio at Quantile.
  double Ratio = 3;
  double Quantile = 0.95;
  Duration MinDelay = Milliseconds(50);
};

/// Updates the estimate with one observation.
void noteFirstTokenRatio(HedgeState &State, Duration Expected, Duration Actual);

/// Returns the time without a first token after which a hedged attempt may be
/// sent, or nothing if the call may not be repeated or the budget is exhausted.
/// The caller uses takeHedge() when that time has passed.
std::optional<Duration> hedgeDelay(const HedgeState &State,
                                   const HedgeBudget &Budget, bool Repeatable,
                                   Duration Expected);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_RETRY_H
