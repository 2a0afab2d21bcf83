// What a prompt reuses, and from where.
//
//   std::vector<ReusePlan> Plans =
//       planReuse(heldPrefixes(Index, Keys), Prompt, Links, Views, {});
//   auto Choice = chooseUpstream(Policy, Request, Views, ...);
//   const ReusePlan &Plan = Plans[Choice->Index];
//   // import Keys[Plan.EngineBlocks, Plan.EndBlock) from Plan.Store
//
// For each upstream the plan takes the leading blocks in the engine's memory,
// imports a further part from one store, and leaves the rest to be recomputed,
// whichever gives the earliest first token. An import goes on while the prompt
// waits for its turn, so on a busy upstream it may cost nothing. Links to
// stores are limited: each has a budget of outstanding bytes, of which one
// customer may take a part.
//
// Guarantees: outstanding bytes never exceed the budgets of reserveLink();
// deciding is linear in upstreams and stores, independent of blocks.

#ifndef GALENAROUTE_REQUEST_CACHEPLAN_H
#define GALENAROUTE_REQUEST_CACHEPLAN_H

#include "request/CacheIndex.h"
#include "request/Routing.h"

namespace galenaroute {

struct CachePlanOptions {
  double BlockBytes = 16e6; ///< Of KV cache; depends on the model.
  /// Time to begin an import: a round trip and the lookup.
  Duration ImportDelay = Milliseconds(5);
  /// An import has to gain this much, since its estimate may be wrong.
  Duration LeastGain = Milliseconds(5);
};

/// The link to one store, as this entry uses it.
struct LinkState {
  double BytesPerSecond = 125e6; ///< Configured at first, then observed.
  double OutstandingBytes = 0;
  std::map<std::string, double, std::less<>> ByCustomer;
  /// Seconds of transfer that may be outstanding. A longer backlog would delay
  /// imports beyond recomputing.
  double MaxSeconds = 1;
  /// Part of the budget that one customer may take.
  double CustomerShare = 0.5;
  double Smoothing = 0.2;
};

using LinkMap = std::map<std::string, LinkState, std::less<>>;

/// A transfer in progress.
struct LinkReservation {
  std::string Store;
  std::string Customer;
  double Bytes = 0;
  /// Outstanding on the link when it began, its own bytes included.
  double OutstandingBytes = 0;
  TimePoint BeganAt;
};

/// Returns the bytes that may be added to what \p Customer transfers.
double availableBytes(const LinkState &Link, std::string_view Customer);

/// Takes \p Bytes out of the budgets; nothing when they don't allow it.
std::optional<LinkReservation> reserveLink(LinkMap &Links,
                                           std::string_view Store,
                                           std::string_view Customer,
                                           double Bytes, TimePoint Now);

/// Returns a reservation to the budgets. A completed transfer adjusts the
/// observed speed of the link.
void releaseLink(LinkMap &Links, const LinkReservation &Reservation,
                 bool Completed, TimePoint Now);

/// A prompt whose reuse is to be planned.
struct PromptToPlan {
  std::string_view Customer;
  PromptClass Class = PromptClass::Normal;
  double PromptTokens = 0;
  std::size_t Blocks = 0; ///< Complete blocks, which have keys.
};

/// What to reuse at one upstream.
struct ReusePlan {
  std::size_t EngineBlocks = 0; ///< In the engine's memory.
  std::string Store;            ///< Empty: no import.
  std::size_t EndBlock = 0;     ///< Blocks from EngineBlocks up to here.
  double ImportBytes = 0;
  Duration ImportTime{};
};

/// Returns the plan for each of \p Views and sets their fields for cached and
/// imported tokens accordingly.
std::vector<ReusePlan>
planReuse(std::span<const HeldPrefix> Held, const PromptToPlan &Prompt,
          const LinkMap &Links, std::span<UpstreamView> Views,
          const CachePlanOptions &Options, const RouteOptions &Route = {});

/// Blocks of a prompt to copy from an engine to a store, so that they outlive
/// their time in the engine's memory.
struct ExportPlan {
  std::string Store;
  std::size_t FirstBlock = 0;
  std::size_t EndBlock = 0;
};

/// Returns what to export of a prompt with \p Keys that has just run, if
/// anything: the blocks that no store has, as far as the budget of the link
/// allows and importing them would be faster than recomputing.
std::optional<ExportPlan>
planExport(std::span<const HeldPrefix> Held, std::span<const BlockKey> Keys,
           std::string_view Customer, const LinkMap &Links,
           double PrefillTokensPerSecond, const CachePlanOptions &Options);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CACHEPLAN_H
