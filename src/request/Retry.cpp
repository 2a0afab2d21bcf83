#include "request/Retry.h"

#include <algorithm>

namespace galenaroute {

void noteCall(RetryBudget &Budget) {
  const RetryOptions &Options = Budget.Options;
  Budget.Retries =
      std::min(Budget.Retries + Options.RetryShare, Options.RetryBurst);
  Budget.Hedges =
      std::min(Budget.Hedges + Options.HedgeShare, Options.HedgeBurst);
}

static bool takeOne(double &Available) {
  // Sums of shares such as 0.1 fall short of whole numbers by rounding.
  if (Available < 1 - 1e-9)
    return false;
  Available = std::max(Available - 1, 0.0);
  return true;
}

bool takeRetry(RetryBudget &Budget) { return takeOne(Budget.Retries); }

bool takeHedge(RetryBudget &Budget) { return takeOne(Budget.Hedges); }

Duration retryDelay(int Attempt, const RetryOptions &Options,
                    RandomGenerator &Generator) {
  const Duration Bound = std::min<Duration>(
      Options.FirstDelay * (1 << std::clamp(Attempt - 1, 0, 16)),
      Options.LongestDelay);
  return fromSeconds(
      std::uniform_real_distribution<double>(0, toSeconds(Bound))(Generator));
}

void noteFirstTokenRatio(HedgeState &State, Duration Expected,
                         Duration Actual) {
  if (Expected <= Duration::zero() || Actual < Duration::zero())
    return;
  const double Sample = toSeconds(Actual) / toSeconds(Expected);
  // Stochastic approximation: at the quantile, steps up and down cancel out.
  // Steps relative to the estimate adapt to any scale.
  constexpr double Step = 0.02;
  State.Ratio *= Sample > State.Ratio ? 1 + Step * State.Quantile
                                      : 1 - Step * (1 - State.Quantile);
  State.Ratio = std::clamp(State.Ratio, 1.2, 20.0);
}

std::optional<Duration> hedgeDelay(const HedgeState &State,
                                   const RetryBudget &Budget, bool Repeatable,
                                   Duration Expected) {
  if (!Repeatable || Budget.Hedges < 1 - 1e-9)
    return std::nullopt;
  return std::max<Duration>(fromSeconds(toSeconds(Expected) * State.Ratio),
                            State.MinDelay);
}

} // namespace galenaroute
