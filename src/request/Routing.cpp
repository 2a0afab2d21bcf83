#include "request/Routing.h"

#include "process/Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace galenaroute {

static double prefillSpeed(const UpstreamView &View,
                           const RouteOptions &Options) {
  return View.PrefillTokensPerSecond > 0 ? View.PrefillTokensPerSecond
                                         : Options.DefaultPrefill;
}

double tokensAhead(const UpstreamView &View, PromptClass Class,
                   const RouteOptions &Options) {
  double Total = 0, SameOrHigher = 0;
  for (std::size_t I = 0; I < PromptClassCount; ++I) {
    Total += View.PendingTokens[I];
    if (I <= static_cast<std::size_t>(Class))
      SameOrHigher += View.PendingTokens[I];
  }
  if (!View.HasReport)
    return SameOrHigher;
  // The report covers gateways that this one has no digest of, but not the work
  // sent since it was sampled; the upstream has also prefilled since then.
  const double Reported = std::max(
      0.0, View.ReportedTokens + View.TokensSinceReport -
               prefillSpeed(View, Options) * toSeconds(View.ReportAge));
  // Reports don't distinguish priorities, so the mix of the known senders is
  // assumed.
  const double Share = Total > 0 ? SameOrHigher / Total : 1;
  return std::max(SameOrHigher, Reported * Share);
}

/// Returns the expected wait until one of the slots is free.
static Duration slotWait(const UpstreamView &View,
                         const RouteOptions &Options) {
  const int Requests = std::max(
      View.outstanding(),
      View.HasReport ? View.ReportedRequests + View.RequestsSinceReport : 0);
  const int Slots = std::max(View.Slots, 1);
  if (Requests < Slots)
    return {};
  const Duration Service = View.MeanService > Duration::zero()
                               ? View.MeanService
                               : Options.DefaultService;
  // Slots become free one after another, on average 1/Slots of the service time
  // apart.
  return Service * (Requests - Slots + 1) / Slots;
}

Duration expectedFirstToken(const UpstreamView &View,
                            const RouteRequest &Request,
                            const RouteOptions &Options) {
  // A round trip: the first token has to return.
  Duration Time = 2 * View.NetworkDelay + slotWait(View, Options);
  if (Request.PromptTokens > 0) {
    const double Speed = prefillSpeed(View, Options);
    const double Uncached = std::max(
        Request.PromptTokens - View.CachedTokens - View.ImportedTokens, 0.0);
    Time +=
        std::max(fromSeconds(tokensAhead(View, Request.Class, Options) / Speed),
                 View.ImportTime);
    Time += fromSeconds(Uncached / Speed);
  } else {
    const Duration Service = View.MeanService > Duration::zero()
                                 ? View.MeanService
                                 : Options.DefaultService;
    // A plain call has no prefill; concurrent calls share the machine.
    Time += Service + Service * View.outstanding() / std::max(View.Slots, 1);
  }
  // Dividing by the share sends a slow upstream correspondingly less work.
  return fromSeconds(toSeconds(Time) / std::clamp(View.Share, 0.01, 1.0));
}

int UpstreamView::outstanding() const {
  return std::accumulate(this->OutstandingByClass.begin(),
                         this->OutstandingByClass.end(), 0);
}

int freeSlotsFor(const UpstreamView &View, PromptClass Class,
                 const SlotLimits &Limits) {
  const auto Of = [&View](PromptClass Which) {
    return View.OutstandingByClass[static_cast<std::size_t>(Which)];
  };
  const int Slots = std::max(View.Slots, 1);
  int Free = Slots - View.outstanding();
  if (Class != PromptClass::Short) {
    // With a single slot a reserve would block all other work.
    const int Reserve =
        Slots == 1 ? 0
                   : std::clamp(static_cast<int>(
                                    std::ceil(Slots * Limits.ShortReserve)),
                                1, Slots - 1);
    Free = std::min(Free, Slots - Reserve - Of(PromptClass::Normal) -
                              Of(PromptClass::Long));
  }
  if (Class == PromptClass::Long)
    Free =
        std::min(Free, std::max(static_cast<int>(Slots * Limits.LongShare), 1) -
                           Of(PromptClass::Long));
  return std::max(Free, 0);
}

bool isEligible(const UpstreamView &View, const RouteRequest &Request) {
  return View.TakesNewWork &&
         (!Request.NeedsFreeSlot ||
          freeSlotsFor(View, Request.Class, Request.Limits) > 0) &&
         (Request.WeightVersion.empty() || View.WeightVersion.empty() ||
          View.WeightVersion == Request.WeightVersion);
}

static bool isExcluded(const UpstreamView &View, const RouteRequest &Request) {
  return std::find(Request.Excluded.begin(), Request.Excluded.end(),
                   View.Name) != Request.Excluded.end();
}

/// Returns the cost by which \p Policy compares; the lowest wins.
static double costOf(RoutePolicy Policy, const UpstreamView &View,
                     const RouteRequest &Request, const RouteOptions &Options) {
  switch (Policy) {
  case RoutePolicy::ExpectedTime:
    return toSeconds(expectedFirstToken(View, Request, Options));
  case RoutePolicy::LeastOutstanding:
    return View.outstanding();
  case RoutePolicy::Affinity: {
    const std::string_view Hash(
        reinterpret_cast<const char *>(&Request.AffinityHash),
        sizeof(Request.AffinityHash));
    const double Preference =
        static_cast<double>(rendezvousWeight(Hash, View.Name)) /
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return -View.CachedTokens - Preference;
  }
  case RoutePolicy::Random:
  case RoutePolicy::RoundRobin:
    return 0;
  }
  return 0;
}

static std::size_t randomBelow(RandomGenerator &Generator, std::size_t Bound) {
  return std::uniform_int_distribution<std::size_t>(0, Bound - 1)(Generator);
}

std::optional<RouteChoice>
chooseUpstream(RoutePolicy Policy, const RouteRequest &Request,
               std::span<const UpstreamView> Views, RouteState &State,
               RandomGenerator &Generator, const RouteOptions &Options) {
  // Excluded upstreams are the last resort: a retry at the same upstream is
  // better than no answer.
  bool OnlyExcluded = true;
  std::size_t Candidates = 0;
  for (const UpstreamView &View : Views)
    if (isEligible(View, Request) && !isExcluded(View, Request)) {
      OnlyExcluded = false;
      ++Candidates;
    }
  if (OnlyExcluded)
    Candidates = static_cast<std::size_t>(
        std::count_if(Views.begin(), Views.end(), [&](const UpstreamView &V) {
          return isEligible(V, Request);
        }));
  if (Candidates == 0)
    return std::nullopt;
  const auto IsCandidate = [&](const UpstreamView &View) {
    return isEligible(View, Request) &&
           (OnlyExcluded || !isExcluded(View, Request));
  };

  std::size_t Chosen = Views.size();
  if (Policy == RoutePolicy::Random || Policy == RoutePolicy::RoundRobin) {
    std::size_t Skip = Policy == RoutePolicy::Random
                           ? randomBelow(Generator, Candidates)
                           : State.NextRoundRobin++ % Candidates;
    for (std::size_t I = 0; I < Views.size() && Chosen == Views.size(); ++I)
      if (IsCandidate(Views[I]) && Skip-- == 0)
        Chosen = I;
  } else {
    double Best = std::numeric_limits<double>::infinity();
    for (const UpstreamView &View : Views)
      if (IsCandidate(View))
        Best = std::min(Best, costOf(Policy, View, Request, Options));
    double Tolerance = 0;
    if (Policy == RoutePolicy::ExpectedTime)
      Tolerance = std::max(Best * Options.TieShare, toSeconds(Options.TieTime));
    // Reservoir sampling chooses uniformly among the tied upstreams in one
    // pass.
    std::size_t Ties = 0;
    for (std::size_t I = 0; I < Views.size(); ++I)
      if (IsCandidate(Views[I]) &&
          costOf(Policy, Views[I], Request, Options) <= Best + Tolerance &&
          randomBelow(Generator, ++Ties) == 0)
        Chosen = I;
  }
  const UpstreamView &View = Views[Chosen];
  RouteChoice Choice{.Index = Chosen,
                     .ExpectedFirstToken =
                         expectedFirstToken(View, Request, Options)};
  Choice.ExpectedEnd = Choice.ExpectedFirstToken;
  if (View.DecodeTokensPerSecond > 0)
    Choice.ExpectedEnd +=
        fromSeconds(Request.RequestedTokens / View.DecodeTokensPerSecond);
  return Choice;
}

std::vector<std::size_t> rendezvousSubset(std::string_view Key,
                                          std::span<const std::string> Names,
                                          std::size_t Limit) {
  std::vector<std::size_t> Indices(Names.size());
  std::iota(Indices.begin(), Indices.end(), 0);
  if (Names.size() <= Limit)
    return Indices;
  std::vector<std::uint64_t> Scores;
  Scores.reserve(Names.size());
  for (const std::string &Name : Names)
    Scores.push_back(rendezvousWeight(Key, Name));
  std::nth_element(
      Indices.begin(), Indices.begin() + static_cast<std::ptrdiff_t>(Limit),
      Indices.end(),
      [&](std::size_t A, std::size_t B) { return Scores[A] > Scores[B]; });
  Indices.resize(Limit);
  std::sort(Indices.begin(), Indices.end());
  return Indices;
}

} // namespace galenaroute
