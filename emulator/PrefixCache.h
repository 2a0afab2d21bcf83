// The KV cache of one engine: blocks by key, limited capacity, least recently
// used blocks evicted first, and a log of what was added and dropped.
//
// Each block remembers what it was computed from. A block that is found under
// a key of other content would give one customer another's state, so the cache
// counts such finds instead of trusting the keys.

#ifndef GALENAROUTE_EMULATOR_PREFIXCACHE_H
#define GALENAROUTE_EMULATOR_PREFIXCACHE_H

#include "Random.h"

#include "process/Clock.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace galenaroute::emulator {

/// What a block was computed from.
struct BlockOrigin {
  std::string Customer;
  std::string WeightVersion;
  std::string Adapter;
  std::uint64_t PrefixHash = 0; ///< Of the prompt up to the block's end.
  bool operator==(const BlockOrigin &) const = default;
};

/// One change of the cache.
struct CacheEvent {
  std::uint64_t Sequence = 0;
  bool IsAdd = false;
  std::string Key;
  TimePoint Time;
};

class PrefixCache {
public:
  /// \p Capacity is in blocks; \p MaxEvents bounds the log.
  PrefixCache(std::size_t Capacity, std::size_t MaxEvents)
      : Capacity(Capacity), MaxEvents(MaxEvents) {}

  /// Returns how many of the first \p Keys are present, and marks them as
  /// used. \p Origins belong to the keys; a mismatch counts as a violation and
  /// ends the match.
  std::size_t match(std::span<const std::string> Keys,
                    std::span<const BlockOrigin> Origins);

  /// Adds a block, evicting others that are not pinned.
  void add(const std::string &Key, const BlockOrigin &Origin, TimePoint Now);

  /// Keeps present blocks from eviction until unpin().
  void pin(std::span<const std::string> Keys);
  void unpin(std::span<const std::string> Keys);

  /// Drops all blocks, as a weight swap does.
  void clear(TimePoint Now);

  const BlockOrigin *find(const std::string &Key) const;
  std::size_t size() const { return this->Blocks.size(); }
  std::size_t freeBlocks() const;
  std::uint64_t violations() const { return this->Violations; }
  std::uint64_t lastSequence() const { return this->Sequence; }
  const std::deque<CacheEvent> &events() const { return this->Events; }
  std::vector<std::string> keys() const;

private:
  struct Block {
    BlockOrigin Origin;
    int Pins = 0;
    std::list<std::string>::iterator Position; ///< In Order.
  };

  bool evictOne(TimePoint Now);
  void log(bool IsAdd, const std::string &Key, TimePoint Now);

  std::size_t Capacity;
  std::size_t MaxEvents;
  std::map<std::string, Block> Blocks;
  std::list<std::string> Order; ///< Least recently used first.
  std::deque<CacheEvent> Events;
  std::uint64_t Sequence = 0;
  std::uint64_t Violations = 0;
  std::size_t Pinned = 0; ///< Blocks with pins.
};

} // namespace galenaroute::emulator

#endif // GALENAROUTE_EMULATOR_PREFIXCACHE_H
