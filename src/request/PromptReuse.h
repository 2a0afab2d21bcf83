// Decisions on the KV cache of prompts: where the parts of a prompt lie, from
// where they are fetched and in which store they are kept.
//
//   StoreContents Contents;                 // one for each store
//   applyEvents(Contents, Batch, Now);
//   planReuse(Parts, Scope, Stores, Now)    // for one call
//
// Each shared part has one store, chosen by rendezvous weighted by capacity,
// so that all daemons agree without talking. It lies in the zone of the engine
// where prompts of that part are at home, if that zone has a store: a transfer
// between zones takes a store twice as long, and transfers queue up there. A
// part is fetched only when the store has reported it complete and the report
// is recent; the fetch carries a time limit that ends before a store could have
// restarted and begun to be filled again, so a part that is being written is
// never read.

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
struct CacheEvent {
  bool IsAdded = false;
  std::string Scope;
  std::string Part;
  std::uint32_t Tokens = 0; ///< Stored now.
};

/// What a store told in one answer.
struct CacheEventBatch {
  std::uint64_t Epoch = 0; ///< Changes when the store restarts.
  std::uint64_t Next = 0;  ///< To ask on from.
  bool HasGap = false;     ///< Events are missing; the list must be read.
  std::optional<std::int64_t> ClockMs; ///< Of the store.
  std::vector<CacheEvent> Events;
  bool IsList = false; ///< Events are all that the store holds.
  bool IsBusy = false; ///< The store takes no more calls now; nothing else.
};

/// What is believed of one store.
struct StoreContents {
  std::uint64_t Epoch = 0;
  std::uint64_t Next = 0;
  bool IsKnown = false;
  TimePoint HeardAt;
  std::int64_t ClockMs = 0; ///< Of the store, at HeardAt.
  bool HasClock = false;
  std::uint64_t UsedTokens = 0;
  /// Complete parts by scope and id.
  std::unordered_map<std::string, std::uint32_t> Held;
  /// When a save of a part was last asked for here.
  std::unordered_map<std::string, TimePoint> Saving;
};

/// A store as a place to keep parts.
struct StorePlace {
  std::string Address;
  std::string Zone;
  std::uint64_t CapacityTokens = 0;
  Duration Latency{};                ///< Before each transfer.
  StoreContents *Contents = nullptr; ///< Null when nothing is known.
};

struct ReuseSettings {
  /// A store not heard for longer may have restarted unseen.
  Duration MaxStoreAge = std::chrono::milliseconds(1500);
  /// A fetch ends this long after it was asked for. Stores take longer than
  /// this and MaxStoreAge to restart and be filled again. A late fetch still
  /// saves more work than it costs time.
  Duration FetchLimit = std::chrono::milliseconds(1000);
  /// A save that is not reported within this time may be asked for again.
  Duration SaveRetry = std::chrono::seconds(4);
  /// A store with more latency than the quickest takes only parts of at least
  /// this size: its transfers run one after another, and small ones would
  /// spend its time waiting.
  std::uint32_t LargePartTokens = 2000;
  /// Parts below this size are cheaper to read than to move.
  std::uint32_t LeastTokens = 48;
  /// Parts made with older weights than these are neither fetched nor kept.
  std::uint64_t LeastWeights = 0;
  /// Zones with engines; see homeZone().
  std::vector<std::string> Zones;
  /// Share of a store that may be filled.
  double MaxFill = 0.95;
};

/// What to do with the parts of one prompt.
struct ReusePlan {
  std::vector<PartLocation> Fetch;
  std::vector<PartLocation> Save;
  std::optional<std::int64_t> FetchUntilMs;
  std::uint32_t StoredTokens = 0; ///< That the stores hold.
  std::uint32_t SharedTokens = 0; ///< Of all parts but the last.
};

/// Returns the key of \p Part in StoreContents.
std::string partKey(std::string_view Scope, std::string_view Part);

/// Takes in what a store told.
void applyEvents(StoreContents &Contents, const CacheEventBatch &Batch,
                 TimePoint Now);

/// Returns the availability zone in which \p Part is at home: its engine and,
/// where the zone has one, its store. \p Zones are those with engines; empty
/// without any.
std::string_view homeZone(std::string_view Part,
                          std::span<const std::string> Zones);

/// Returns the store of a part with \p Tokens; null when there are none.
const StorePlace *storeOf(std::string_view Part, std::uint32_t Tokens,
                          std::span<const StorePlace> Stores,
                          const ReuseSettings &Settings);

/// Returns the store that is known to hold the part with \p Key, or null.
const StorePlace *holderOf(const std::string &Key, std::uint32_t Tokens,
                           std::span<const StorePlace> Stores,
                           const ReuseSettings &Settings, TimePoint Now);

/// Returns the scope of parts made with weights \p Version; an isolated
/// \p Customer has scopes of its own.
std::string scopeOf(std::uint64_t Version, std::string_view IsolatedCustomer);

/// Returns the weights of a scope or of a part's key; nothing when another
/// writer chose it.
std::optional<std::uint64_t> weightsOfScope(std::string_view Scope);

/// Returns the keys of the parts that were made with older weights than
/// \p LeastWeights.
std::vector<std::string> outdatedParts(const StoreContents &Contents,
                                       std::uint64_t LeastWeights);

/// Plans the reuse of \p Parts and notes the saves that it asks for.
ReusePlan planReuse(std::span<const PromptPart> Parts, std::string_view Scope,
                    std::span<const StorePlace> Stores,
                    const ReuseSettings &Settings, TimePoint Now);

/// Returns the id of the last part that prompts share, which decides where a
/// prompt is at home; empty when there is none.
std::string_view subjectOf(std::span<const PromptPart> Parts);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_PROMPTREUSE_H
