#include "request/Retry.h"

#include <algorithm>

namespace galenaroute {

/// Sums of shares such as 0.03 fall short of whole numbers by rounding.
static constexpr double OneHedge = 1 - 1e-9;

void noteCall(HedgeBudget &Budget) {
  Budget.Left = std::min(Budget.Left + Budget.Share, Budget.Most);
}

bool takeHedge(HedgeBudget &Budget) {
  if (Budget.Left < OneHedge)
    return false;
  Budget.Left = std::max(Budget.Left - 1, 0.0);
  return true;
}

Duration retryDelay(int Attempt, RandomGenerator &Generator) {
  const Duration Bound = std::min<Duration>(
      Milliseconds(10) * (1 << std::clamp(Attempt - 1, 0, 16)),
      Milliseconds(500));
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
                                   const HedgeBudget &Budget, bool Repeatable,
                                   Duration Expected) {
  if (!Repeatable || Budget.Left < OneHedge)
    return std::nullopt;
  return std::max<Duration>(fromSeconds(toSeconds(Expected) * State.Ratio),
                            State.MinDelay);
}

} // namespace galenaroute
