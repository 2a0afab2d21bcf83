#include "request/Prefetch.h"

#include <algorithm>
#include <cmath>

namespace galenaroute {

void notePromptUse(PrefetchTable &Table, std::string_view Customer,
                   std::span<const BlockKey> Keys, TimePoint Now) {
  const PrefetchOptions &Options = Table.Options;
  if (Keys.size() < Options.MinBlocks)
    return;
  Keys = Keys.first(std::min(Keys.size(), Options.MaxBlocks));
  PromptHistory &Prompt = Table.Prompts[Keys.front()];
  const std::vector<BlockKey> Last = std::move(Prompt.LastKeys);
  Prompt.LastKeys.assign(Keys.begin(), Keys.end());
  const auto Shared = static_cast<std::size_t>(
      std::mismatch(Last.begin(), Last.end(), Keys.begin(), Keys.end()).second -
      Keys.begin());
  // A conversation that was continued is expected to continue again. For
  // prompts that differ in their ends, only the common prefix is expected.
  const std::size_t Expected =
      Last.empty() || Shared == Last.size() ? Keys.size() : Shared;
  Prompt.Keys.assign(Keys.begin(),
                     Keys.begin() + static_cast<std::ptrdiff_t>(Expected));
  Prompt.Customer = Customer;
  if (Prompt.Uses > 0) {
    const double Gap = toSeconds(Now - Prompt.LastUse);
    if (Prompt.Uses == 1) {
      Prompt.MeanGap = Gap;
    } else {
      constexpr double Weight = 0.3;
      Prompt.Deviation +=
          Weight * (std::abs(Gap - Prompt.MeanGap) - Prompt.Deviation);
      Prompt.MeanGap += Weight * (Gap - Prompt.MeanGap);
    }
  }
  ++Prompt.Uses;
  Prompt.LastUse = Now;
  Prompt.Prefetched = false;
  if (Table.Prompts.size() > Options.MaxPrompts)
    Table.Prompts.erase(
        std::min_element(Table.Prompts.begin(), Table.Prompts.end(),
                         [](const auto &A, const auto &B) {
                           return A.second.LastUse < B.second.LastUse;
                         }));
}

std::optional<TimePoint> expectedReturn(const PromptHistory &Prompt,
                                        const PrefetchOptions &Options) {
  if (Prompt.Uses < Options.MinUses || Prompt.MeanGap <= 0 ||
      Prompt.Deviation > Options.MaxDeviation * Prompt.MeanGap)
    return std::nullopt;
  return Prompt.LastUse + fromSeconds(Prompt.MeanGap);
}

std::vector<PrefetchPlan> planPrefetch(PrefetchTable &Table, CacheIndex &Index,
                                       const LinkMap &Links, TimePoint Now) {
  struct Due {
    TimePoint At;
    PromptHistory *Prompt;
  };
  std::vector<Due> Candidates;
  for (auto &[Key, Prompt] : Table.Prompts) {
    if (Prompt.Prefetched)
      continue;
    const auto Return = expectedReturn(Prompt, Table.Options);
    if (!Return)
      continue;
    const Duration Early = fromSeconds(2 * Prompt.Deviation);
    const Duration Lead =
        std::min(Early + std::chrono::seconds(2), Table.Options.MaxLead);
    // Overdue prompts are no longer expected.
    if (Now >= *Return - Lead && Now <= *Return + Early)
      Candidates.push_back({*Return, &Prompt});
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Due &A, const Due &B) { return A.At < B.At; });
  std::map<std::string_view, double> Taken;
  std::vector<PrefetchPlan> Plans;
  for (const Due &Candidate : Candidates) {
    if (Plans.size() >= Table.Options.MaxPlans)
      break;
    PromptHistory &Prompt = *Candidate.Prompt;
    std::size_t InEngine = 0;
    HeldPrefix Best{};
    for (const HeldPrefix &Held : heldPrefixes(Index, Prompt.Keys)) {
      if (Held.Kind == HolderKind::Engine)
        InEngine = std::max(InEngine, Held.Blocks);
      else if (Held.Blocks > Best.Blocks && Links.contains(Held.Holder))
        Best = Held;
    }
    if (Best.Blocks <= InEngine)
      continue;
    const double Bytes =
        static_cast<double>(Best.Blocks) * Table.Plan.BlockBytes;
    double &Used = Taken[Best.Holder];
    if (Used + Bytes >
        Table.Options.BudgetShare *
            availableBytes(Links.find(Best.Holder)->second, Prompt.Customer))
      continue;
    Used += Bytes;
    Prompt.Prefetched = true;
    Plans.push_back(
        {Prompt.Customer,
         std::string(Best.Holder),
         {Prompt.Keys.begin(),
          Prompt.Keys.begin() + static_cast<std::ptrdiff_t>(Best.Blocks)},
         Bytes});
  }
  return Plans;
}

} // namespace galenaroute
