#include "request/Retry.h"

#include <algorithm>

namespace galenaroute {

/// One token, less the rounding error of sums of shares such as 0.03.
static constexpr double OneToken = 1 - 1e-9;

void noteCall(HedgeBudget &Budget) {
  Budget.Available = std::min(Budget.Available + Budget.Share, Budget.Capacity);
}

bool takeHedge(HedgeBudget &Budget) {
  if (Budget.Available < OneToken)
    return false;
  Budget.Available = std::max(Budget.Available - 1, 0.0);
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
  // The steps are relative to the estimate, so they fit any scale.
  constexpr double Step = 0.02;
  State.Ratio *= Sample > State.Ratio ? 1 + Step * State.Quantile
                                      : 1 - Step * (1 - State.Quantile);
  State.Ratio = std::clamp(State.Ratio, 1.2, 20.0);
}

std::optional<Duration> hedgeDelay(const HedgeState &State,
                                   const HedgeBudget &Budget, bool Repeatable,
                                   Duration Expected) {
  if (!Repeatable || Budget.Available < OneToken)
    return std::nullopt;
  return std::max<Duration>(fromSeconds(toSeconds(Expected) * State.Ratio),
                            State.MinDelay);
}

} // namespace galenaroute
