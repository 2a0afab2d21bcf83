// Which prompts to bring back into an engine before they return.
//
//   notePromptUse(Table, "marshals", Keys, Now);        // each long prompt
//   for (const PrefetchPlan &Plan : planPrefetch(Table, Index, Links, Now))
//     ...  // import Plan.Keys from Plan.Store into an engine
//
// Prompts that return at regular intervals are prepared shortly before the
// next return is due, when a store has them and no engine does. Only a part of
// a link's budget that is free at the time is used, so that imports which
// callers wait for come first. Memory is bounded; the prompts used least
// recently go first.

#ifndef GALENAROUTE_REQUEST_PREFETCH_H
#define GALENAROUTE_REQUEST_PREFETCH_H

#include "request/CachePlan.h"

namespace galenaroute {

struct PrefetchOptions {
  std::size_t MaxPrompts = 2000;
  std::size_t MaxBlocks = 128; ///< Remembered per prompt.
  std::size_t MinBlocks = 2;   ///< Shorter prompts are recomputed quickly.
  int MinUses = 3;
  /// Deviation of the intervals, as a part of their mean, up to which they
  /// count as regular.
  double MaxDeviation = 0.3;
  /// Engines keep blocks for a short time, so an earlier import would be
  /// evicted again before it is used.
  Duration LongestLead = std::chrono::seconds(20);
  /// Part of the available bytes that prefetching may take.
  double BudgetShare = 0.25;
  std::size_t MaxPlans = 4; ///< Per call.
};

/// What is known of the prompts that begin with the same block.
struct PromptHistory {
  std::string Customer;
  std::vector<BlockKey> Keys; ///< Expected to be shared with the next use.
  std::vector<BlockKey> LastKeys;
  int Uses = 0;
  TimePoint LastUse;
  double MeanGap = 0;    ///< Seconds.
  double Deviation = 0;  ///< Mean absolute deviation, in seconds.
  bool Prepared = false; ///< Since the last use.
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

void notePromptUse(PrefetchTable &Table, std::string_view Customer,
                   std::span<const BlockKey> Keys, TimePoint Now);

/// Returns when the prompt is expected to return, if its uses are regular.
std::optional<TimePoint> expectedReturn(const PromptHistory &Prompt,
                                        const PrefetchOptions &Options);

/// Returns the prompts to prepare now, those due first at the front, and marks
/// them as prepared.
std::vector<PrefetchPlan> planPrefetch(PrefetchTable &Table, CacheIndex &Index,
                                       const LinkMap &Links, TimePoint Now);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_PREFETCH_H
