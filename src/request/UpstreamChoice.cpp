#include "request/UpstreamChoice.h"

#include <algorithm>
#include <cmath>

namespace galenaroute {

/// Returns the weight of the last load report: 1 when new, decaying to 0.
static double reportWeight(const UpstreamCandidate &Candidate,
                           const UpstreamChoiceSettings &Settings) {
  return std::exp2(-toSeconds(Candidate.LoadAge) /
                   toSeconds(Settings.LoadHalfLife));
}

double expectedRuns(const UpstreamCandidate &Candidate,
                    const UpstreamChoiceSettings &Settings) {
  if (Candidate.PeerCalls)
    return Candidate.OwnCalls + *Candidate.PeerCalls;
  if (!Candidate.Load)
    return Candidate.OwnCalls;
  const double ReportWeight = reportWeight(Candidate, Settings);
  const double PeerRuns =
      std::max(0, Candidate.Load->Running + Candidate.Load->Waiting -
                      Candidate.OwnCallsAtReport);
  return Candidate.OwnCalls + PeerRuns * ReportWeight;
}

double expectedCostMs(const UpstreamCandidate &Candidate,
                      const UpstreamChoiceSettings &Settings) {
  const double Runs = expectedRuns(Candidate, Settings);
  const double Slots = std::max(1, Candidate.Slots);
  const double Slowdown = Candidate.Load ? Candidate.Load->Slowdown : 1;
  double Cost = Runs * Settings.BusySlotMs * std::max(1.0, Slowdown);
  const double ReportWeight =
      Candidate.Load ? reportWeight(Candidate, Settings) : 0;
  const double Reported =
      Candidate.Load ? Candidate.Load->Waiting * ReportWeight : 0;
  Cost += std::max(Reported, Runs + 1 - Slots) * Settings.WaitingCallMs;
  Cost += Candidate.FailureScore * Settings.FailureMs;
  Cost += (Candidate.TokensAhead + Candidate.TokensToPrefill) *
              Settings.PrefillTokenMs * std::max(1.0, Slowdown) +
          Candidate.TokensToRecompute * Settings.RecomputeTokenMs +
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
  double BestCost = 0;
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    if (!Candidates[I].HasConnection)
      continue;
    const double Cost = expectedCostMs(Candidates[I], Settings);
    if (!Best || Cost < BestCost) {
      Best = I;
      BestCost = Cost;
    }
  }
  return Best;
}

} // namespace galenaroute
