// Plans the reuse of KV cache: from which store the parts of a prompt are
// fetched, and in which store they are saved.
//
//   StoreContents Contents;                 // one for each store
//   applyEvents(Contents, Batch, Now);
//   planReuse(Parts, Scope, Stores, Settings, Now)    // for one call
//
// Each shared part is assigned to one store by rendezvous hashing weighted by
// capacity, so that all gateways agree without coordination. If the home zone
// of the part has a store, the part is assigned to a store there, because a
// transfer between zones occupies a store for twice as long and transfers
// queue at the store.
//
// Guarantees: a part that is being written is never read. A part is fetched
// only if a recent report of the store lists it as complete, and the fetch has
// a deadline that passes before the store could have restarted and begun to
// write the part again, and before any process may free the part.

#ifndef GALENAROUTE_REQUEST_PROMPTREUSE_H
#define GALENAROUTE_REQUEST_PROMPTREUSE_H

#include "request/ForwardCall.h"

#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenaroute {

/// One change of a store's contents.
struct StoreEvent {
  bool IsAdded = false;
  std::string Scope;
  std::string Part;
  std::uint32_t Tokens = 0; ///< Stored after the event; 0 if none.
};

/// One response of a store to a poll for events or a listing.
struct StoreEventBatch {
  std::uint64_t Epoch = 0; ///< Changes when the store restarts.
  std::uint64_t Next = 0;  ///< Position of the next poll.
  bool HasGap = false;     ///< Events were lost; a listing must be read.
  std::optional<std::int64_t> ClockMs; ///< The clock of the store.
  std::vector<StoreEvent> Events;
  bool IsList = false; ///< Events list all parts that the store holds.
  bool IsBusy = false; ///< The store rejected the poll; other fields are unset.
  /// The response could not be read; other fields are unset.
  bool IsMalformed = false;
};

/// Parts of one store that are tracked; further ones are not fetched. Bounds
/// what a store that reports ever new parts can make a process hold.
inline constexpr std::size_t MaxTrackedParts = 100 << 10;

/// The contents of one store, as last reported.
struct StoreContents {
  std::uint64_t Epoch = 0;
  std::uint64_t Next = 0;
  bool IsKnown = false;     ///< Whether the store has ever reported.
  TimePoint ReportedAt;     ///< Time of the last report.
  std::int64_t ClockMs = 0; ///< The clock of the store at ReportedAt.
  bool HasClock = false;
  std::uint64_t UsedTokens = 0;
  /// Tokens of the complete parts, by partKey().
  std::unordered_map<std::string, std::uint32_t> Held;
  /// When a save of each part was last requested, by partKey(); bounded by
  /// ReuseSettings::MaxRequestedSaves.
  std::unordered_map<std::string, TimePoint> RequestedSaves;
  TimePoint SavesPrunedAt; ///< When old requests were last removed.
};

/// A store as seen by the planner.
struct StoreView {
  std::string Address;
  std::string Zone;
  std::uint64_t CapacityTokens = 0;
  Duration Latency{};                ///< Added to each transfer.
  StoreContents *Contents = nullptr; ///< Null if the store never reported.
};

struct ReuseSettings {
  /// A store whose last report is older may have restarted since.
  Duration MaxStoreAge = std::chrono::milliseconds(1500);
  /// Deadline of a fetch. A store takes longer than the sum of this and
  /// MaxStoreAge to restart and be written to again. Even a fetch that takes
  /// this long saves more prefill time than it costs.
  Duration FetchLimit = std::chrono::milliseconds(1000);
  /// A save that is not reported within this time may be requested again.
  Duration SaveRetry = std::chrono::seconds(4);
  /// Saves of one store that may be awaited at a time.
  std::size_t MaxRequestedSaves = 4096;
  /// High-latency stores are assigned only parts of at least this size. Their
  /// transfers are serialized, so small ones would mostly add latency.
  std::uint32_t LargePartTokens = 2000;
  /// Smaller parts are cheaper to prefill than to transfer.
  std::uint32_t MinPartTokens = 48;
  /// A part that may be used for less time is not saved.
  Duration MinSaveUse = std::chrono::seconds(4);
  /// Availability zones with engines; see homeZone().
  std::vector<std::string> Zones;
  /// Fraction of a store's capacity that may be used.
  double MaxFill = 0.95;
};

/// The transfers for the parts of one prompt.
struct PartReusePlan {
  std::vector<PartLocation> Fetch;
  std::vector<PartLocation> Save;
  std::optional<std::int64_t> FetchUntilMs;
  std::uint32_t StoredTokens = 0; ///< Tokens that will be fetched.
  std::uint32_t SharedTokens = 0; ///< Tokens of all parts but the last.
};

/// Returns the key of \p Part in StoreContents.
std::string partKey(std::string_view Scope, std::string_view Part);

/// Applies a response of a store to \p Contents.
void applyEvents(StoreContents &Contents, const StoreEventBatch &Batch,
                 TimePoint Now);

/// Returns the home zone of \p Part: the availability zone whose engines run
/// prompts with that part and whose stores, if it has any, hold it. \p Zones
/// are the zones with engines; if there are none, returns an empty name.
std::string_view homeZone(std::string_view Part,
                          std::span<const std::string> Zones);

/// Returns the store to which a part of \p Tokens is assigned, or null if there
/// are no stores.
const StoreView *assignedStore(std::string_view Part, std::uint32_t Tokens,
                               std::span<const StoreView> Stores,
                               const ReuseSettings &Settings);

/// Returns the assigned store of the part with \p Key if a recent report lists
/// the part, otherwise null.
const StoreView *storeHolding(const std::string &Key, std::uint32_t Tokens,
                              std::span<const StoreView> Stores,
                              const ReuseSettings &Settings, TimePoint Now);

/// Returns the key of \p Model in scopes; never NoModel.
std::uint64_t modelKey(std::string_view Model);

/// The model key of scopes that name no model, as daemons of the release before
/// wrote them.
inline constexpr std::uint64_t NoModel = 0;

/// Returns the scope of parts computed with weight version \p Version of \p
/// Model. An isolated customer has its own scopes; \p IsolatedCustomer is empty
/// for all others.
std::string scopeOf(std::string_view Model, std::uint64_t Version,
                    std::string_view IsolatedCustomer);

/// The weights that parts were computed with.
struct PartWeights {
  std::uint64_t Model = NoModel; ///< See modelKey().
  std::uint64_t Version = 0;
};

/// Returns the weights of a scope or of a partKey(), or nothing if it doesn't
/// have the form of scopeOf().
std::optional<PartWeights> weightsOf(std::string_view Scope);

/// Weight versions by modelKey().
using VersionsByModel = std::map<std::uint64_t, std::uint64_t>;

/// Returns the keys of the parts that were computed with weights of a model in
/// \p Oldest that are older than its version there.
std::vector<std::string> outdatedParts(const StoreContents &Contents,
                                       const VersionsByModel &Oldest);

/// Plans the reuse of \p Parts and records the requested saves in the contents
/// of the stores. Stored parts of \p Scope may be used for \p UsableFor from
/// \p Now on, see version/PartLease.h; fetches end by then.
PartReusePlan planReuse(std::span<const PromptPart> Parts,
                        std::string_view Scope,
                        std::span<const StoreView> Stores,
                        const ReuseSettings &Settings, Duration UsableFor,
                        TimePoint Now);

/// Returns the id of the last part that prompts share, which determines the
/// home zone of a prompt; empty if there is none.
std::string_view lastSharedPart(std::span<const PromptPart> Parts);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_PROMPTREUSE_H
