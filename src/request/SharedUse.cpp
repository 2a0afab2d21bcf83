#include "request/SharedUse.h"

#include "process/Rendezvous.h"

namespace galenaroute {

std::uint32_t useKey(std::string_view UpstreamId) {
  return static_cast<std::uint32_t>(stableHash(UpstreamId));
}

void SharedUse::note(const std::string &Entry, std::vector<UseItem> Items,
                     TimePoint Now) {
  std::erase_if(Items, [](const UseItem &Each) {
    return Each.Use.Calls == 0 && Each.Use.Tokens == 0 &&
           Each.Use.TokensAhead == 0;
  });
  Told &Kept = this->Entries[Entry];
  this->subtract(Kept);
  for (const UseItem &Each : Items) {
    UpstreamUse &Sum = this->Sums[Each.Key];
    Sum.Calls += Each.Use.Calls;
    Sum.Tokens += Each.Use.Tokens;
    Sum.TokensAhead += Each.Use.TokensAhead;
  }
  Kept = {std::move(Items), Now};
}

void SharedUse::subtract(const Told &Old) {
  for (const UseItem &Each : Old.Items) {
    const auto It = this->Sums.find(Each.Key);
    UpstreamUse &Sum = It->second;
    Sum.Calls -= Each.Use.Calls;
    Sum.Tokens -= Each.Use.Tokens;
    Sum.TokensAhead -= Each.Use.TokensAhead;
    if (Sum.Calls == 0 && Sum.Tokens == 0 && Sum.TokensAhead == 0)
      this->Sums.erase(It);
  }
}

void SharedUse::expire(TimePoint Now) {
  std::erase_if(this->Entries, [&](const auto &Each) {
    if (Now - Each.second.At <= this->MaxAge)
      return false;
    this->subtract(Each.second);
    return true;
  });
}

UpstreamUse SharedUse::of(std::uint32_t Key) const {
  const auto It = this->Sums.find(Key);
  return It == this->Sums.end() ? UpstreamUse{} : It->second;
}

} // namespace galenaroute
