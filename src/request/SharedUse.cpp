#include "request/SharedUse.h"

#include "process/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace galenaroute {

std::uint32_t useKey(std::string_view UpstreamId) {
  return static_cast<std::uint32_t>(stableHash(UpstreamId));
}

bool isEmpty(const UpstreamUse &Use) {
  return Use.Calls == 0 && Use.Tokens == 0 && Use.TokensAhead == 0;
}

void add(UpstreamUse &Sum, const UpstreamUse &Part) {
  Sum.Calls += Part.Calls;
  Sum.Tokens += Part.Tokens;
  Sum.TokensAhead += Part.TokensAhead;
}

UpstreamUse without(const UpstreamUse &Of, const UpstreamUse &Part) {
  return {Of.Calls - std::min(Of.Calls, Part.Calls),
          Of.Tokens - std::min(Of.Tokens, Part.Tokens),
          Of.TokensAhead - std::min(Of.TokensAhead, Part.TokensAhead)};
}

UpstreamUse replaceItem(std::vector<UseItem> &Items, const UseItem &Next) {
  const auto Same =
      std::find_if(Items.begin(), Items.end(),
                   [&](const UseItem &Each) { return Each.Key == Next.Key; });
  if (Same == Items.end()) {
    Items.push_back(Next);
    return {};
  }
  return std::exchange(Same->Use, Next.Use);
}

void SharedUse::note(const std::string &Entry, std::vector<UseItem> Items,
                     TimePoint Now, std::size_t Members) {
  Told &Kept = this->Entries[Entry];
  for (const UseItem &Each : Kept.Items)
    this->subtract(Each);
  for (const UseItem &Each : Items)
    this->add(Each);
  Kept = {std::move(Items), Now, Members};
}

std::size_t SharedUse::entries() const {
  std::size_t Count = 0;
  for (const auto &[Entry, Each] : this->Entries)
    Count += Each.Members;
  return Count;
}

void SharedUse::noteOne(const std::string &Entry, const UseItem &Item,
                        TimePoint Now) {
  const auto [It, IsNew] = this->Entries.try_emplace(Entry);
  Told &Kept = It->second;
  if (IsNew)
    Kept.At = Now;
  this->subtract({Item.Key, replaceItem(Kept.Items, Item)});
  this->add(Item);
}

void SharedUse::noteAdded(const std::string &Entry, const UseItem &Item) {
  const auto It = this->Entries.find(Entry);
  if (It == this->Entries.end())
    return;
  It->second.Items.push_back(Item);
  this->add(Item);
}

void SharedUse::add(const UseItem &Item) {
  if (isEmpty(Item.Use))
    return;
  galenaroute::add(this->Sums[Item.Key], Item.Use);
}

void SharedUse::subtract(const UseItem &Item) {
  if (isEmpty(Item.Use))
    return;
  const auto It = this->Sums.find(Item.Key);
  UpstreamUse &Sum = It->second;
  Sum = without(Sum, Item.Use);
  if (isEmpty(Sum))
    this->Sums.erase(It);
}

void SharedUse::expire(TimePoint Now) {
  std::erase_if(this->Entries, [&](const auto &Each) {
    if (Now - Each.second.At <= this->MaxAge)
      return false;
    for (const UseItem &Item : Each.second.Items)
      this->subtract(Item);
    return true;
  });
}

UpstreamUse SharedUse::of(std::uint32_t Key) const {
  const auto It = this->Sums.find(Key);
  return It == this->Sums.end() ? UpstreamUse{} : It->second;
}

} // namespace galenaroute
