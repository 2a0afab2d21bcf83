// Estimates the contents of one engine's KV cache from the calls that this
// process has sent to it.
//
//   EngineMemory Memory;
//   Memory.touch(partKey(Scope, Part), Tokens, CapacityTokens);
//   if (Memory.holds(partKey(Scope, Part))) ...
//
// The least recently used parts are evicted first, as in the engine itself. A
// wrong estimate only costs prefill time, since the engine checks its cache
// itself.
//
// Guarantees: memory is bounded by the capacity of the engine in tokens.

#ifndef GALENAROUTE_REQUEST_ENGINEMEMORY_H
#define GALENAROUTE_REQUEST_ENGINEMEMORY_H

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace galenaroute {

class EngineMemory {
public:
  /// Records that a call that uses \p Part, a partKey(), was sent.
  void touch(const std::string &Part, std::uint32_t Tokens,
             std::uint64_t CapacityTokens) {
    const auto It = this->Parts.find(Part);
    if (It != this->Parts.end()) {
      this->Recent.splice(this->Recent.begin(), this->Recent, It->second);
      return;
    }
    this->Recent.push_front({Part, Tokens});
    this->Parts[Part] = this->Recent.begin();
    this->Used += Tokens;
    while (this->Used > CapacityTokens && this->Recent.size() > 1) {
      this->Used -= this->Recent.back().Tokens;
      this->Parts.erase(this->Recent.back().Part);
      this->Recent.pop_back();
    }
  }

  bool holds(const std::string &Part) const {
    return this->Parts.contains(Part);
  }

private:
  struct Entry {
    std::string Part;
    std::uint32_t Tokens;
  };
  std::list<Entry> Recent; ///< Most recently used first.
  std::unordered_map<std::string, std::list<Entry>::iterator> Parts;
  std::uint64_t Used = 0;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_ENGINEMEMORY_H
