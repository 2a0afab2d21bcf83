#include "request/CachePlan.h"

#include "process/Rendezvous.h"

#include <algorithm>
#include <cmath>

namespace galenaroute {

double availableBytes(const LinkState &Link, std::string_view Customer) {
  const double Budget = Link.BytesPerSecond * Link.MaxSeconds;
  const auto It = Link.ByCustomer.find(Customer);
  const double Own = It == Link.ByCustomer.end() ? 0 : It->second;
  return std::max(std::min(Budget - Link.OutstandingBytes,
                           Budget * Link.CustomerShare - Own),
                  0.0);
}

std::optional<LinkReservation> reserveLink(LinkMap &Links,
                                           std::string_view Store,
                                           std::string_view Customer,
                                           double Bytes, TimePoint Now) {
  const auto It = Links.find(Store);
  if (It == Links.end() || Bytes <= 0 ||
      Bytes > availableBytes(It->second, Customer))
    return std::nullopt;
  LinkState &Link = It->second;
  Link.OutstandingBytes += Bytes;
  const auto Own = Link.ByCustomer.try_emplace(std::string(Customer), 0).first;
  Own->second += Bytes;
  return LinkReservation{std::string(Store), std::string(Customer), Bytes,
                         Link.OutstandingBytes, Now};
}

void releaseLink(LinkMap &Links, const LinkReservation &Reservation,
                 bool Completed, TimePoint Now) {
  const auto It = Links.find(Reservation.Store);
  if (It == Links.end())
    return;
  LinkState &Link = It->second;
  Link.OutstandingBytes =
      std::max(Link.OutstandingBytes - Reservation.Bytes, 0.0);
  const auto Own = Link.ByCustomer.find(Reservation.Customer);
  if (Own != Link.ByCustomer.end()) {
    Own->second -= Reservation.Bytes;
    // Less than a byte is a rounding error.
    if (Own->second < 1)
      Link.ByCustomer.erase(Own);
  }
  if (Link.ByCustomer.empty())
    Link.OutstandingBytes = 0;
  const double Seconds = toSeconds(Now - Reservation.BeganAt);
  // All bytes that were outstanding when the transfer began have passed the
  // link by the time it ends.
  if (!Completed || Seconds <= 0)
    return;
  const double Sample = Reservation.OutstandingBytes / Seconds;
  // The round trip dominates a short transfer, so it can show that a link is
  // faster than estimated, but not that it is slower.
  if (Sample > Link.BytesPerSecond || Seconds >= 0.02)
    Link.BytesPerSecond += Link.Smoothing * (Sample - Link.BytesPerSecond);
}

/// Returns the seconds until \p Blocks have been imported over \p Link.
static double importSeconds(const LinkState &Link, double Blocks,
                            const CachePlanOptions &Options) {
  return toSeconds(Options.ImportDelay) +
         (Link.OutstandingBytes + Blocks * Options.BlockBytes) /
             std::max(Link.BytesPerSecond, 1.0);
}

static ReusePlan planFor(const UpstreamView &View, std::size_t EngineBlocks,
                         std::span<const HeldPrefix> Held,
                         const PromptToPlan &Prompt, const LinkMap &Links,
                         const CachePlanOptions &Options,
                         const RouteOptions &Route) {
  const double Speed = View.PrefillTokensPerSecond > 0
                           ? View.PrefillTokensPerSecond
                           : Route.DefaultPrefill;
  const double Wait = tokensAhead(View, Prompt.Class, Route) / Speed;
  const auto SecondsWith = [&](std::size_t Blocks, double Import) {
    return std::max(Wait, Import) +
           std::max(Prompt.PromptTokens -
                        static_cast<double>(Blocks * BlockTokens),
                    0.0) /
               Speed;
  };
  ReusePlan Plan{.EngineBlocks = EngineBlocks, .EndBlock = EngineBlocks};
  double Best = SecondsWith(EngineBlocks, 0) - toSeconds(Options.MinGain);
  for (const HeldPrefix &Source : Held) {
    const auto It = Source.Kind == HolderKind::Store ? Links.find(Source.Holder)
                                                     : Links.end();
    if (It == Links.end())
      continue;
    const LinkState &Link = It->second;
    const auto Allowed = static_cast<std::size_t>(
        availableBytes(Link, Prompt.Customer) / Options.BlockBytes);
    const std::size_t End =
        std::min({Source.Blocks, Prompt.Blocks, EngineBlocks + Allowed});
    if (End <= EngineBlocks)
      continue;
    // On either side of the point where the import takes as long as the
    // queueing time, the time to the first token is linear in the number of
    // imported blocks. So only the ends of the range and that point can be
    // optimal.
    const double Hidden = (Wait - toSeconds(Options.ImportDelay)) *
                              Link.BytesPerSecond / Options.BlockBytes -
                          Link.OutstandingBytes / Options.BlockBytes;
    std::array<std::size_t, 3> Ends{End, EngineBlocks + 1, EngineBlocks + 1};
    if (Hidden >= 1) {
      Ends[1] = std::min(End, EngineBlocks + static_cast<std::size_t>(Hidden));
      Ends[2] = std::min(End, Ends[1] + 1);
    }
    for (const std::size_t Candidate : Ends) {
      const auto Blocks = static_cast<double>(Candidate - EngineBlocks);
      const double Import = importSeconds(Link, Blocks, Options);
      const double Seconds = SecondsWith(Candidate, Import);
      if (Seconds >= Best)
        continue;
      Best = Seconds;
      Plan.Store = Source.Holder;
      Plan.EndBlock = Candidate;
      Plan.ImportBytes = Blocks * Options.BlockBytes;
      Plan.ImportTime = fromSeconds(Import);
    }
  }
  return Plan;
}

std::vector<ReusePlan>
planReuse(std::span<const HeldPrefix> Held, const PromptToPlan &Prompt,
          const LinkMap &Links, std::span<UpstreamView> Views,
          const CachePlanOptions &Options, const RouteOptions &Route) {
  std::vector<HeldPrefix> Stores;
  std::unordered_map<std::string_view, std::size_t> Engines;
  for (const HeldPrefix &Source : Held) {
    if (Source.Kind == HolderKind::Store)
      Stores.push_back(Source);
    else
      Engines.emplace(Source.Holder, Source.Blocks);
  }
  std::vector<ReusePlan> Plans;
  Plans.reserve(Views.size());
  for (UpstreamView &View : Views) {
    const auto It = Engines.find(View.Name);
    const std::size_t EngineBlocks =
        It == Engines.end() ? 0 : std::min(It->second, Prompt.Blocks);
    Plans.push_back(
        planFor(View, EngineBlocks, Stores, Prompt, Links, Options, Route));
    const ReusePlan &Plan = Plans.back();
    View.CachedTokens = static_cast<double>(EngineBlocks * BlockTokens);
    View.ImportedTokens =
        static_cast<double>((Plan.EndBlock - EngineBlocks) * BlockTokens);
    View.ImportTime = Plan.ImportTime;
  }
  return Plans;
}

std::optional<ExportPlan>
planExport(std::span<const HeldPrefix> Held, std::span<const BlockKey> Keys,
           std::string_view Customer, const LinkMap &Links,
           double PrefillTokensPerSecond, const CachePlanOptions &Options) {
  if (Keys.empty() || Links.empty())
    return std::nullopt;
  // The store that holds the longest prefix gets the rest, so that one import
  // can restore the whole prompt. A new prompt is assigned by rendezvous
  // hashing of its first key.
  std::string_view Store;
  std::size_t Stored = 0;
  for (const HeldPrefix &Source : Held)
    if (Source.Kind == HolderKind::Store && Source.Blocks > Stored &&
        Links.contains(Source.Holder)) {
      Store = Source.Holder;
      Stored = Source.Blocks;
    }
  if (Stored == 0) {
    const std::string First = toHex(Keys.front());
    std::uint64_t Highest = 0;
    for (const auto &[Name, Link] : Links)
      if (const std::uint64_t Score = rendezvousWeight(First, Name);
          Store.empty() || Score > Highest) {
        Store = Name;
        Highest = Score;
      }
  }
  const LinkState &Link = Links.find(Store)->second;
  const auto Allowed = static_cast<std::size_t>(availableBytes(Link, Customer) /
                                                Options.BlockBytes);
  const std::size_t End = std::min(Keys.size(), Stored + Allowed);
  const double SecondsPerBlock =
      Options.BlockBytes / std::max(Link.BytesPerSecond, 1.0);
  if (End <= Stored ||
      (PrefillTokensPerSecond > 0 &&
       SecondsPerBlock >= BlockTokens / PrefillTokensPerSecond))
    return std::nullopt;
  return ExportPlan{std::string(Store), Stored, End};
}

} // namespace galenaroute
