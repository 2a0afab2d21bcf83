// What the KV cache of one engine is believed to hold, from the calls that this
// process has sent there.
//
// The least recently used parts go first, as in the engine itself. A wrong
// belief costs a read, never a wrong answer, since the engine looks itself.
// Guarantees: bounded by the tokens that the engine can hold.

#ifndef GALENAROUTE_REQUEST_ENGINEMEMORY_H
#define GALENAROUTE_REQUEST_ENGINEMEMORY_H

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace galenaroute {

class EngineMemory {
public:
  /// Notes that a call which uses \p Part was sent; \p Part is a partKey().
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
