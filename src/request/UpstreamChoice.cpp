#include "request/UpstreamChoice.h"

#include <algorithm>
#include <cmath>

namespace galenaroute {

/// Bounds the time of a call that follows from an idle service's load.
static constexpr double MinCallSeconds = 0.005;

/// Slots that a gateway may use after a standstill, relative to an equal share.
/// It has the backlog to send besides the calls that arrive.
static constexpr double SlotsAfterStandstill = 2;

std::string_view toString(ChoiceKind Kind) {
  switch (Kind) {
  case ChoiceKind::Home:
    return "home";
  case ChoiceKind::Ranked:
    return "ranked";
  case ChoiceKind::Holder:
    return "holder";
  case ChoiceKind::Random:
    return "random";
  }
  return "";
}

ChoiceKind choiceKind(bool IsHome, std::size_t Index, std::size_t Ranked,
                      std::size_t Holders) {
  if (IsHome)
    return ChoiceKind::Home;
  if (Index < Ranked)
    return ChoiceKind::Ranked;
  return Index < Ranked + Holders ? ChoiceKind::Holder : ChoiceKind::Random;
}

/// Returns the calls of the other gateways in the load report of a candidate.
static int reportedPeerRuns(const UpstreamCandidate &Candidate) {
  return std::max(0, Candidate.Load->Running + Candidate.Load->Waiting -
                         Candidate.OwnCallsAtReport);
}

/// Returns the weight of the last load report: 1 when new, decaying to 0.
static double reportWeight(const UpstreamCandidate &Candidate,
                           const UpstreamChoiceSettings &Settings) {
  const Duration HalfLife =
      std::min(Candidate.LoadHalfLife.value_or(Settings.LoadHalfLife),
               Settings.LoadHalfLife);
  return std::exp2(-toSeconds(Candidate.LoadAge) / toSeconds(HalfLife));
}

double expectedRuns(const UpstreamCandidate &Candidate,
                    const UpstreamChoiceSettings &Settings) {
  if (Candidate.PeerCalls)
    return Candidate.OwnCalls + *Candidate.PeerCalls;
  if (!Candidate.Load)
    return Candidate.OwnCalls;
  const double ReportWeight = reportWeight(Candidate, Settings);
  const double PeerRuns = reportedPeerRuns(Candidate);
  return Candidate.OwnCalls + PeerRuns * ReportWeight;
}

double ownCostMs(const UpstreamCandidate &Candidate,
                 const UpstreamChoiceSettings &Settings) {
  return (Candidate.IsSameZone ? 0 : Settings.OtherZoneMs) +
         (Candidate.NeedsNewConnection ? Settings.NewConnectionMs : 0);
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
    Cost += Settings.NotHomeMs +
            static_cast<double>(Candidate.Rank) * Settings.RankMs;
  if (Candidate.HasOldWeights)
    Cost += Settings.OldWeightsMs;
  return Cost + ownCostMs(Candidate, Settings);
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

void ageReports(std::span<UpstreamCandidate> Candidates,
                const ServiceFlow &Flow) {
  if (Flow.Gateways < 2)
    return;
  const bool IsUnknown = !Flow.CallsPerSecond || *Flow.CallsPerSecond <= 0;
  // Many processes that start together would send their first calls to the
  // same upstreams, and the next ones to those with the connections opened for
  // them. Calls with a home go there.
  if ((IsUnknown || Flow.IsNew) &&
      std::all_of(Candidates.begin(), Candidates.end(),
                  [](const UpstreamCandidate &Each) { return Each.IsHome; })) {
    for (UpstreamCandidate &Each : Candidates)
      Each.Arrivals = Each.Slots;
    return;
  }
  if (IsUnknown)
    return;
  // By Little's law, a call takes the mean load divided by the rate.
  const double CallSeconds =
      std::max(Flow.MeanRuns / *Flow.CallsPerSecond, MinCallSeconds);
  const double PeerRuns = *Flow.CallsPerSecond * CallSeconds *
                          (1 - 1 / static_cast<double>(Flow.Gateways));
  for (UpstreamCandidate &Each : Candidates) {
    const Duration Age = Each.PeerCalls ? Flow.PeerUseAge : Each.LoadAge;
    Each.LoadHalfLife = fromSeconds(std::log(2.0) * CallSeconds);
    Each.Arrivals = PeerRuns * (1 - std::exp(-toSeconds(Age) / CallSeconds));
  }
}

double maxCallsAfterStandstill(int CallsBefore, double Slots,
                               std::size_t Gateways) {
  const double Share =
      Slots / static_cast<double>(std::max<std::size_t>(1, Gateways));
  return CallsBefore + std::max(1.0, SlotsAfterStandstill * Share);
}

/// Returns the calls that this process has begun since the load report, less
/// those that have ended. The other gateways can't react to them.
static int unreportedCalls(const UpstreamCandidate &Candidate) {
  return Candidate.PeerCalls
             ? 0
             : std::max(0, Candidate.OwnCalls - Candidate.OwnCallsAtReport);
}

std::vector<double>
candidateShares(std::span<const UpstreamCandidate> Candidates,
                const UpstreamChoiceSettings &Settings) {
  std::vector<FillTarget> Targets;
  std::vector<std::size_t> Indices;
  Targets.reserve(Candidates.size());
  Indices.reserve(Candidates.size());
  double Arrivals = 0;
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    const UpstreamCandidate &Each = Candidates[I];
    if (!Each.HasConnection)
      continue;
    // What the other gateways know of the calls of this one.
    UpstreamCandidate Known = Each;
    Known.OwnCalls -= unreportedCalls(Each);
    const double Slowdown = Each.Load ? std::max(1.0, Each.Load->Slowdown) : 1;
    Targets.push_back(
        {.CostMs = expectedCostMs(Known, Settings) - ownCostMs(Known, Settings),
         .FreeSlots = std::max(0.0, Each.Slots - expectedRuns(Known, Settings)),
         .BusySlotMs = Settings.BusySlotMs * Slowdown,
         .WaitingMs = Settings.WaitingCallMs});
    Indices.push_back(I);
    Arrivals += Each.Arrivals;
  }
  const std::vector<double> Arrived = fill(Targets, Arrivals);
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    const UpstreamCandidate &Each = Candidates[Indices[I]];
    addCalls(Targets[I], Arrived[I] + unreportedCalls(Each));
    Targets[I].CostMs += ownCostMs(Each, Settings);
  }
  // The call itself.
  std::vector<double> Shares = fill(Targets, 1);
  double Sum = 0;
  for (std::size_t I = 0; I < Shares.size(); ++I)
    Sum += Shares[I] *= Arrived[I] + Shares[I];
  std::vector<double> Result(Candidates.size());
  for (std::size_t I = 0; I < Indices.size(); ++I)
    Result[Indices[I]] = Shares[I] / Sum;
  return Result;
}

} // namespace galenaroute
