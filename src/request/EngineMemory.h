// Estimates the contents of one engine's KV cache from the calls that this
// process has sent to it.
//
//   EngineMemory Memory;
//   Memory.touch(partKey(Scope, Part), Tokens, CapacityTokens);
//   if (Memory.holds(partKey(Scope, Part))) ...
//   if (Memory.holds(partHash(partKey(Scope, Part)))) ... // without hashing
//
// The least recently used parts are evicted first, as in the engine itself. A
// wrong estimate only costs prefill time, since the engine checks its cache
// itself.
//
// Guarantees: memory is bounded by the capacity of the engine in tokens.

#ifndef GALENAROUTE_REQUEST_ENGINEMEMORY_H
#define GALENAROUTE_REQUEST_ENGINEMEMORY_H

#include "process/Rendezvous.h"

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace galenaroute {

/// Returns the key of a part, a partKey(), in EngineMemory. Parts whose hashes
/// collide only count as cached when they are not.
inline std::uint64_t partHash(std::string_view Part) {
  return stableHash(Part);
}

class EngineMemory {
public:
  /// Records that a call that uses \p Part, a partKey(), was sent.
  void touch(std::string_view Part, std::uint32_t Tokens,
             std::uint64_t CapacityTokens) {
    const std::uint64_t Key = partHash(Part);
    const auto It = this->Parts.find(Key);
    if (It != this->Parts.end()) {
      this->Recent.splice(this->Recent.begin(), this->Recent, It->second);
      return;
    }
    this->Recent.push_front({Key, Tokens});
    this->Parts[Key] = this->Recent.begin();
    this->Used += Tokens;
    while (this->Used > CapacityTokens && this->Recent.size() > 1) {
      this->Used -= this->Recent.back().Tokens;
      this->Parts.erase(this->Recent.back().Part);
      this->Recent.pop_back();
    }
  }

  bool holds(std::string_view Part) const {
    return this->holds(partHash(Part));
  }
  bool holds(std::uint64_t PartHash) const {
    return this->Parts.contains(PartHash);
  }

private:
  struct Entry {
    std::uint64_t Part;
    std::uint32_t Tokens;
  };
  std::list<Entry> Recent; ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> Parts;
  std::uint64_t Used = 0;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_ENGINEMEMORY_H
