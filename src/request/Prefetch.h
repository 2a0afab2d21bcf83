// Selects the prompts whose KV cache to import into an engine before their next
// expected use.
//
//   notePromptUse(Table, "marshals", Keys, Now);        // each long prompt
//   for (const PrefetchPlan &Plan : planPrefetch(Table, Index, Links, Now))
//     ...  // import Plan.Keys from Plan.Store into an engine
//
// A prompt that recurs at regular intervals is prefetched shortly before its
// next expected use, if a store has it and no engine does. Prefetching uses
// only a fraction of a link's free budget, so that imports for waiting callers
// take precedence.
//
// Guarantees: memory is bounded; the least recently used prompts are evicted
// first.

#ifndef GALENAROUTE_REQUEST_PREFETCH_H
#define GALENAROUTE_REQUEST_PREFETCH_H

#include "request/CachePlan.h"

namespace galenaroute {

struct PrefetchOptions {
  std::size_t MaxPrompts = 2000;
  std::size_t MaxBlocks = 128; ///< Stored per prompt.
  std::size_t MinBlocks = 2;   ///< Recomputing shorter prompts is fast.
  int MinUses = 3;
  /// Maximum deviation of regular intervals, as a fraction of their mean.
  double MaxDeviation = 0.3;
  /// Maximum time before the expected use. Engines keep blocks only briefly, so
  /// an earlier import would be evicted before it is used.
  Duration MaxLead = std::chrono::seconds(20);
  /// Fraction of the available bytes that prefetching may use.
  double BudgetShare = 0.25;
  std::size_t MaxPlans = 4; ///< Per call.
};

/// The history of the prompts that begin with the same block.
struct PromptHistory {
  std::string Customer;
  std::vector<BlockKey> Keys; ///< Expected prefix of the next use.
  std::vector<BlockKey> LastKeys;
  int Uses = 0;
  TimePoint LastUse;
  double MeanGap = 0;      ///< In seconds.
  double Deviation = 0;    ///< Mean absolute deviation, in seconds.
  bool Prefetched = false; ///< Whether prefetched since the last use.
};

struct PrefetchTable {
  PrefetchOptions Options;
  CachePlanOptions Plan;
  std::unordered_map<BlockKey, PromptHistory> Prompts; ///< By first key.
};

struct PrefetchPlan {
  std::string Customer;
  std::string Store;
  std::vector<BlockKey> Keys;
  double Bytes = 0;
};

/// Records a use of the prompt with \p Keys.
void notePromptUse(PrefetchTable &Table, std::string_view Customer,
                   std::span<const BlockKey> Keys, TimePoint Now);

/// Returns the time of the next expected use, if uses are regular.
std::optional<TimePoint> expectedReturn(const PromptHistory &Prompt,
                                        const PrefetchOptions &Options);

/// Returns the prompts to prefetch now, those due first at the front, and marks
/// them as prefetched.
std::vector<PrefetchPlan> planPrefetch(PrefetchTable &Table, CacheIndex &Index,
                                       const LinkMap &Links, TimePoint Now);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_PREFETCH_H
