#include "PrefixCache.h"

#include <algorithm>

namespace galenaroute::emulator {

std::size_t PrefixCache::match(std::span<const std::string> Keys,
                               std::span<const BlockOrigin> Origins) {
  std::size_t Count = 0;
  const std::size_t Limit = std::min(Keys.size(), Origins.size());
  while (Count < Limit) {
    const auto It = this->Blocks.find(Keys[Count]);
    if (It == this->Blocks.end())
      break;
    if (It->second.Origin != Origins[Count]) {
      ++this->Violations;
      break;
    }
    ++Count;
  }
  // Later blocks are useless without earlier ones, so they are marked first
  // and evicted first.
  for (std::size_t I = Count; I-- > 0;) {
    const auto Position = this->Blocks.at(Keys[I]).Position;
    this->Order.splice(this->Order.end(), this->Order, Position);
  }
  return Count;
}

void PrefixCache::add(const std::string &Key, const BlockOrigin &Origin,
                      TimePoint Now) {
  if (const auto It = this->Blocks.find(Key); It != this->Blocks.end()) {
    if (It->second.Origin != Origin)
      ++this->Violations;
    return;
  }
  while (this->Blocks.size() >= this->Capacity)
    if (!this->evictOne(Now))
      return;
  const auto Position = this->Order.insert(this->Order.end(), Key);
  this->Blocks[Key] = {Origin, 0, Position};
  this->log(true, Key, Now);
}

void PrefixCache::pin(std::span<const std::string> Keys) {
  for (const std::string &Each : Keys)
    if (const auto It = this->Blocks.find(Each); It != this->Blocks.end())
      if (It->second.Pins++ == 0)
        ++this->Pinned;
}

void PrefixCache::unpin(std::span<const std::string> Keys) {
  for (const std::string &Each : Keys)
    if (const auto It = this->Blocks.find(Each);
        It != this->Blocks.end() && It->second.Pins > 0)
      if (--It->second.Pins == 0)
        --this->Pinned;
}

void PrefixCache::clear(TimePoint Now) {
  for (const auto &[Key, Each] : this->Blocks)
    this->log(false, Key, Now);
  this->Blocks.clear();
  this->Order.clear();
  this->Pinned = 0;
}

const BlockOrigin *PrefixCache::find(const std::string &Key) const {
  const auto It = this->Blocks.find(Key);
  return It == this->Blocks.end() ? nullptr : &It->second.Origin;
}

std::size_t PrefixCache::freeBlocks() const {
  return this->Capacity - std::min(this->Capacity, this->Pinned);
}

std::vector<std::string> PrefixCache::keys() const {
  std::vector<std::string> Result;
  for (const auto &[Key, Each] : this->Blocks)
    Result.push_back(Key);
  return Result;
}

bool PrefixCache::evictOne(TimePoint Now) {
  for (const std::string &Each : this->Order) {
    const auto It = this->Blocks.find(Each);
    if (It->second.Pins > 0)
      continue;
    this->log(false, Each, Now);
    this->Order.erase(It->second.Position);
    this->Blocks.erase(It);
    return true;
  }
  return false;
}

void PrefixCache::log(bool IsAdd, const std::string &Key, TimePoint Now) {
  this->Events.push_back({++this->Sequence, IsAdd, Key, Now});
  if (this->Events.size() > this->MaxEvents)
    this->Events.pop_front();
}

} // namespace galenaroute::emulator
