#include "request/UpstreamChoice.h"

#include <algorithm>
#include <cmath>

namespace galenaroute {

/// How far the last load report still holds, from 1 down to 0.
static double trust(const UpstreamCandidate &Candidate,
                    const UpstreamChoiceSettings &Settings) {
  return std::exp2(-toSeconds(Candidate.LoadAge) /
                   toSeconds(Settings.LoadHalfLife));
}

double expectedRuns(const UpstreamCandidate &Candidate,
                    const UpstreamChoiceSettings &Settings) {
  if (Candidate.CallsOfOthers)
    return Candidate.OwnCalls + *Candidate.CallsOfOthers;
  if (!Candidate.Load)
    return Candidate.OwnCalls;
  const double Trust = trust(Candidate, Settings);
  const double OfOthers =
      std::max(0, Candidate.Load->Running + Candidate.Load->Waiting -
                      Candidate.OwnCallsAtReport);
  return Candidate.OwnCalls + OfOthers * Trust;
}

double expectedCostMs(const UpstreamCandidate &Candidate,
                      const UpstreamChoiceSettings &Settings) {
  const double Runs = expectedRuns(Candidate, Settings);
  const double Slots = std::max(1, Candidate.Slots);
  const double Slowdown = Candidate.Load ? Candidate.Load->Slowdown : 1;
  double Cost = Runs * Settings.BusySlotMs * std::max(1.0, Slowdown);
  const double Trust = Candidate.Load ? trust(Candidate, Settings) : 0;
  const double Reported = Candidate.Load ? Candidate.Load->Waiting * Trust : 0;
  Cost += std::max(Reported, Runs + 1 - Slots) * Settings.WaitingCallMs;
  Cost += Candidate.FailureScore * Settings.FailureMs;
  Cost += (Candidate.TokensAhead + Candidate.TokensToRead) *
              Settings.ReadTokenMs * std::max(1.0, Slowdown) +
          Candidate.TokensToReadAgain * Settings.ReadAgainTokenMs +
          Candidate.TokensToFetch * Settings.FetchTokenMs +
          Candidate.TokensToFetchFar * Settings.FetchFarTokenMs;
  if (!Candidate.IsHome)
    Cost += Settings.NotHomeMs;
  if (!Candidate.IsSameZone)
    Cost += Settings.OtherZoneMs;
  if (Candidate.NeedsNewConnection)
    Cost += Settings.NewConnectionMs;
  if (Candidate.HasOldWeights)
    Cost += Settings.OldWeightsMs;
  return Cost;
}

std::optional<std::size_t>
chooseUpstream(std::span<const UpstreamCandidate> Candidates,
               const UpstreamChoiceSettings &Settings) {
  std::optional<std::size_t> Best;
  double Least = 0;
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    if (!Candidates[I].HasConnection)
      continue;
    const double Cost = expectedCostMs(Candidates[I], Settings);
    if (!Best || Cost < Least) {
      Best = I;
      Least = Cost;
    }
  }
  return Best;
}

} // namespace galenaroute
