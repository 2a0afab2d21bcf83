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
  for (std::size_t I = 0; I < ReportedClasses; ++I)
    Sum.ClassCalls[I] += Part.ClassCalls[I];
}

UpstreamUse saturatingDifference(const UpstreamUse &Of,
                                 const UpstreamUse &Part) {
  UpstreamUse Result{Of.Calls - std::min(Of.Calls, Part.Calls),
                     Of.Tokens - std::min(Of.Tokens, Part.Tokens),
                     Of.TokensAhead -
                         std::min(Of.TokensAhead, Part.TokensAhead)};
  for (std::size_t I = 0; I < ReportedClasses; ++I)
    Result.ClassCalls[I] =
        Of.ClassCalls[I] - std::min(Of.ClassCalls[I], Part.ClassCalls[I]);
  return Result;
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

void SharedUse::setReport(const std::string &Gateway,
                          std::vector<UseItem> Items, TimePoint Now,
                          std::size_t Members) {
  Report &Current = this->Reports[Gateway];
  for (const UseItem &Each : Current.Items)
    this->subtract(Each);
  for (const UseItem &Each : Items)
    this->add(Each);
  Current = {std::move(Items), Now, Members};
}

std::size_t SharedUse::gatewayCount() const {
  std::size_t Count = 0;
  for (const auto &[Gateway, Each] : this->Reports)
    Count += Each.Members;
  return Count;
}

void SharedUse::updateItem(const std::string &Gateway, const UseItem &Item,
                           TimePoint Now) {
  const auto [It, IsNew] = this->Reports.try_emplace(Gateway);
  Report &Current = It->second;
  if (IsNew)
    Current.At = Now;
  this->subtract({Item.Key, replaceItem(Current.Items, Item)});
  this->add(Item);
}

void SharedUse::addItem(const std::string &Gateway, const UseItem &Item) {
  const auto It = this->Reports.find(Gateway);
  if (It == this->Reports.end())
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
  Sum = saturatingDifference(Sum, Item.Use);
  if (isEmpty(Sum))
    this->Sums.erase(It);
}

void SharedUse::expire(TimePoint Now) {
  std::erase_if(this->Reports, [&](const auto &Each) {
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
