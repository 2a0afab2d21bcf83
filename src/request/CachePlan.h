// Plans how much of a prompt's KV cache to reuse, and from where.
//
//   std::vector<ReusePlan> Plans =
//       planReuse(heldPrefixes(Index, Keys), Prompt, Links, Views, {});
//   auto Choice = chooseUpstream(Policy, Request, Views, ...);
//   const ReusePlan &Plan = Plans[Choice->Index];
//   // import Keys[Plan.EngineBlocks, Plan.EndBlock) from Plan.Store
//
// For each upstream the plan uses the leading blocks in the engine's memory,
// imports further blocks from one store and leaves the rest to be recomputed,
// with the split that gives the earliest first token. Imports overlap with the
// prompt's queueing time, so on a busy upstream they may take no extra time.
// Each link to a store has a budget of outstanding bytes, of which one customer
// may use a fraction.
//
// Guarantees: outstanding bytes never exceed the budgets of reserveLink();
// planning is linear in upstreams and stores, independent of blocks.

#ifndef GALENAROUTE_REQUEST_CACHEPLAN_H
#define GALENAROUTE_REQUEST_CACHEPLAN_H

#include "request/CacheIndex.h"
#include "request/Routing.h"

namespace galenaroute {

struct CachePlanOptions {
  double BlockBytes = 16e6; ///< KV cache per block; depends on the model.
  /// Time to begin an import: a round trip and the lookup.
  Duration ImportDelay = Milliseconds(5);
  /// Minimum gain of an import, since its estimate may be wrong.
  Duration MinGain = Milliseconds(5);
};

/// The state of this gateway's link to one store.
struct LinkState {
  double BytesPerSecond = 125e6; ///< Initially configured, then observed.
  double OutstandingBytes = 0;
  std::map<std::string, double, std::less<>> ByCustomer;
  /// Seconds of transfers that may be outstanding. With a longer backlog,
  /// recomputing would be faster than importing.
  double MaxSeconds = 1;
  /// Fraction of the budget that one customer may use.
  double CustomerShare = 0.5;
  double Smoothing = 0.2;
};

using LinkMap = std::map<std::string, LinkState, std::less<>>;

/// A transfer in progress.
struct LinkReservation {
  std::string Store;
  std::string Customer;
  double Bytes = 0;
  /// Bytes outstanding on the link at the start, including this transfer's.
  double OutstandingBytes = 0;
  TimePoint BeganAt;
};

/// Returns how many more bytes \p Customer may transfer now.
double availableBytes(const LinkState &Link, std::string_view Customer);

/// Reserves \p Bytes of the budgets. Returns nothing if they don't allow it.
std::optional<LinkReservation> reserveLink(LinkMap &Links,
                                           std::string_view Store,
                                           std::string_view Customer,
                                           double Bytes, TimePoint Now);

/// Returns a reservation to the budgets. A completed transfer updates the
/// observed throughput of the link.
void releaseLink(LinkMap &Links, const LinkReservation &Reservation,
                 bool Completed, TimePoint Now);

/// A prompt whose reuse is to be planned.
struct PromptToPlan {
  std::string_view Customer;
  PromptClass Class = PromptClass::Normal;
  double PromptTokens = 0;
  std::size_t Blocks = 0; ///< Number of complete blocks, which have keys.
};

/// The reuse plan for one upstream.
struct ReusePlan {
  std::size_t EngineBlocks = 0; ///< In the engine's memory.
  std::string Store;            ///< Empty if nothing is imported.
  std::size_t EndBlock = 0;     ///< End of the imported blocks.
  double ImportBytes = 0;
  Duration ImportTime{};
};

/// Returns the plan for each of \p Views, and sets their CachedTokens,
/// ImportedTokens and ImportTime accordingly.
std::vector<ReusePlan>
planReuse(std::span<const HeldPrefix> Held, const PromptToPlan &Prompt,
          const LinkMap &Links, std::span<UpstreamView> Views,
          const CachePlanOptions &Options, const RouteOptions &Route = {});

/// Blocks of a prompt to copy from an engine to a store, so that they survive
/// eviction from the engine's memory.
struct ExportPlan {
  std::string Store;
  std::size_t FirstBlock = 0;
  std::size_t EndBlock = 0;
};

/// Returns which blocks of a prompt with \p Keys that has just run to export,
/// if any: the blocks that no store has, within the budget of the link and only
/// if importing them would be faster than recomputing.
std::optional<ExportPlan>
planExport(std::span<const HeldPrefix> Held, std::span<const BlockKey> Keys,
           std::string_view Customer, const LinkMap &Links,
           double PrefillTokensPerSecond, const CachePlanOptions &Options);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CACHEPLAN_H
