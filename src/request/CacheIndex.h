// Which upstream or store holds which cache blocks, as far as this entry knows.
//
//   applyEvents(Index, "steward-1", Batch);        // from /v1/cache/events
//   if (needsListing(Index, "steward-1"))
//     applyListing(Index, "steward-1", Seq, Keys); // from /v1/cache/blocks
//   for (const HeldPrefix &Held : heldPrefixes(Index, Keys)) ...
//
// The index is a hint: events arrive late and with gaps. A gap, or a sequence
// that starts anew, marks the holder for listing; meanwhile what is known stays
// in use. A wrong hint costs a cache miss and nothing else, because holders
// check every block again. Block keys cover customer and weight version, so a
// hint can't cross them. Memory is bounded; the keys used least recently go
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

/// One answer to `GET /v1/cache/events`.
struct CacheEventBatch {
  std::uint64_t Seq = 0;          ///< The latest sequence number of the holder.
  std::uint64_t First = 0;        ///< The oldest one that it still has.
  std::vector<CacheEvent> Events; ///< Ascending.
};

struct CacheIndexOptions {
  // About 200 bytes each, so 20 MB.
  std::size_t MaxKeys = 100000;
  std::size_t MaxHoldersPerKey = 8;
};

struct CacheHolder {
  HolderKind Kind = HolderKind::Engine;
  std::uint32_t Id = 0;
  /// Holdings of older generations are void. Starting a new one drops all of
  /// them without visiting the keys.
  std::uint32_t Generation = 0;
  std::uint64_t LastSeq = 0; ///< Up to which events or a listing are applied.
  /// The highest number that the events had reached. Listings run ahead of the
  /// events, which are late, so a lower one than this shows a restart.
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
  std::list<BlockKey> ByUse; ///< Used last first.
};

/// How many leading blocks of a prompt one holder has.
struct HeldPrefix {
  std::string_view Holder; ///< Refers to the index.
  HolderKind Kind = HolderKind::Engine;
  std::size_t Blocks = 0;
};

/// Adds a holder, which needs a listing; does nothing when it is known.
void addHolder(CacheIndex &Index, std::string_view Holder, HolderKind Kind);

/// Forgets a holder and what it held.
void removeHolder(CacheIndex &Index, std::string_view Holder);

/// Returns whether the holder's events have a gap.
bool needsListing(const CacheIndex &Index, std::string_view Holder);

/// Returns the sequence number to ask for events after.
std::uint64_t lastSeq(const CacheIndex &Index, std::string_view Holder);

void applyEvents(CacheIndex &Index, std::string_view Holder,
                 const CacheEventBatch &Batch);

/// Replaces all that is known of the holder by its listing as of \p Seq.
void applyListing(CacheIndex &Index, std::string_view Holder, std::uint64_t Seq,
                  std::span<const BlockKey> Keys);

/// Adds or removes one block, after a transfer or a miss.
void noteHeld(CacheIndex &Index, std::string_view Holder, const BlockKey &Key);
void noteNotHeld(CacheIndex &Index, std::string_view Holder,
                 const BlockKey &Key);

/// Returns the holders that have at least the first of \p Keys, and counts the
/// keys as used.
std::vector<HeldPrefix> heldPrefixes(CacheIndex &Index,
                                     std::span<const BlockKey> Keys);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CACHEINDEX_H
