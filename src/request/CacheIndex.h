// Indexes which engines and stores hold which KV cache blocks.
//
//   applyEvents(Index, "steward-1", Batch);        // from /v1/cache/events
//   if (needsListing(Index, "steward-1"))
//     applyListing(Index, "steward-1", Seq, Keys); // from /v1/cache/blocks
//   for (const HeldPrefix &Held : heldPrefixes(Index, Keys)) ...
//
// The index is a hint: events arrive late and with gaps. A gap in the sequence
// marks the holder for a listing; until then its known blocks stay in use. A
// restart of the sequence also invalidates them. A wrong hint costs only a
// cache miss, because holders check every block themselves. Block keys cover
// the customer and weight version, so hints never apply across them.
//
// Guarantees: memory is bounded; the least recently used keys are evicted
// first.

#ifndef GALENAROUTE_REQUEST_CACHEINDEX_H
#define GALENAROUTE_REQUEST_CACHEINDEX_H

#include "request/BlockChain.h"

#include <list>
#include <map>
#include <span>
#include <unordered_map>

namespace galenaroute {

enum class HolderKind { Engine, Store };

/// One event of a holder's cache.
struct CacheEvent {
  std::uint64_t Seq = 0;
  bool Added = true;
  BlockKey Key;
};

/// One response to `GET /v1/cache/events`.
struct CacheEventBatch {
  std::uint64_t Seq = 0;          ///< The latest sequence number.
  std::uint64_t First = 0;        ///< The oldest one that is still available.
  std::vector<CacheEvent> Events; ///< In ascending order.
};

struct CacheIndexOptions {
  // At about 200 bytes each, 20 MB.
  std::size_t MaxKeys = 100000;
  std::size_t MaxHoldersPerKey = 8;
};

struct CacheHolder {
  HolderKind Kind = HolderKind::Engine;
  std::uint32_t Id = 0;
  /// Holdings of older generations are invalid. Starting a new generation drops
  /// all holdings without visiting the keys.
  std::uint32_t Generation = 0;
  std::uint64_t LastSeq = 0; ///< Last sequence number applied.
  /// Sequence number of the last event batch. A lower one indicates a restart.
  /// LastSeq can't serve for this, because a listing may be ahead of events,
  /// which arrive late.
  std::uint64_t EventSeq = 0;
  bool NeedsListing = true;
};

struct CacheHolding {
  std::uint32_t Holder = 0;
  std::uint32_t Generation = 0;
};

struct CacheIndexEntry {
  std::vector<CacheHolding> Holdings;
  std::list<BlockKey>::iterator Use; ///< Into CacheIndex::ByUse.
};

struct CacheIndex {
  CacheIndexOptions Options;
  std::map<std::string, CacheHolder, std::less<>> Holders;
  std::unordered_map<std::uint32_t, std::string> HolderNames; ///< By id.
  std::uint32_t NextId = 0;
  std::unordered_map<BlockKey, CacheIndexEntry> Keys;
  std::list<BlockKey> ByUse; ///< Most recently used first.
};

/// The number of leading blocks of a prompt that a holder has.
struct HeldPrefix {
  std::string_view Holder; ///< Points into the index.
  HolderKind Kind = HolderKind::Engine;
  std::size_t Blocks = 0;
};

/// Adds a holder, which then needs a listing. Does nothing if it exists.
void addHolder(CacheIndex &Index, std::string_view Holder, HolderKind Kind);

/// Removes a holder and its blocks.
void removeHolder(CacheIndex &Index, std::string_view Holder);

/// Returns whether the holder's blocks must be listed, because events were lost
/// or it restarted.
bool needsListing(const CacheIndex &Index, std::string_view Holder);

/// Returns the sequence number after which to request events.
std::uint64_t lastSeq(const CacheIndex &Index, std::string_view Holder);

void applyEvents(CacheIndex &Index, std::string_view Holder,
                 const CacheEventBatch &Batch);

/// Replaces the holder's blocks by its listing as of \p Seq.
void applyListing(CacheIndex &Index, std::string_view Holder, std::uint64_t Seq,
                  std::span<const BlockKey> Keys);

/// Adds or removes one block after a transfer or a cache miss.
void noteHeld(CacheIndex &Index, std::string_view Holder, const BlockKey &Key);
void noteNotHeld(CacheIndex &Index, std::string_view Holder,
                 const BlockKey &Key);

/// Returns the holders that have at least the first of \p Keys, and marks the
/// keys as recently used.
std::vector<HeldPrefix> heldPrefixes(CacheIndex &Index,
                                     std::span<const BlockKey> Keys);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CACHEINDEX_H
