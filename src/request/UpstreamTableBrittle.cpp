// The part of the table that divides the room of brittle upstreams among the
// gateways.

#include "process/Log.h"
#include "process/Rendezvous.h"
#include "request/UpstreamTable.h"

#include <algorithm>
#include <utility>

namespace galenaroute {

void UpstreamTable::setFleet(std::size_t Known,
                             std::vector<std::uint64_t> Others) {
  std::sort(Others.begin(), Others.end());
  if (Known == this->KnownGateways && Others == this->OtherGateways)
    return;
  this->KnownGateways = Known;
  this->OtherGateways = std::move(Others);
  for (const auto &[Service, Statement] : this->Brittle)
    this->updateAllowances(Service);
}

void UpstreamTable::noteBrittle(std::string_view Id,
                                std::optional<int> MaxRefusals, TimePoint Now) {
  const UpstreamEntry *Entry = this->find(Id);
  if (!Entry)
    return;
  const std::string Service = Entry->Registered.Service;
  const auto Found = this->Brittle.find(Service);
  if (Found == this->Brittle.end() && !MaxRefusals)
    return;
  std::optional<BrittleStatement> &Statement =
      Found != this->Brittle.end() ? Found->second : this->Brittle[Service];
  if (!noteStatement(Statement, MaxRefusals, Now, this->Settings.Brittle))
    return;
  if (!Statement) {
    this->endBrittle(Service, "answer");
    return;
  }
  log(LogLevel::Info, "service.brittle",
      {{"service", Service},
       {"upstream", std::string(Id)},
       {"max_refusals", std::to_string(Statement->MaxRefusals)},
       {"gateways", std::to_string(this->KnownGateways)}});
  this->updateAllowances(Service);
}

void UpstreamTable::endBrittle(std::string_view Service,
                               std::string_view Reason) {
  const std::string Name(Service);
  this->Brittle.erase(Name);
  for (auto &[Id, Entry] : this->Entries) {
    if (Entry.Registered.Service != Name)
      continue;
    Entry.Allowance.reset();
    Entry.RecentSends = {};
  }
  log(LogLevel::Info, "service.brittle_ended",
      {{"service", Name}, {"reason", std::string(Reason)}});
}

std::size_t UpstreamTable::positionAt(const UpstreamEntry &Entry) const {
  const std::uint64_t Own =
      rendezvousWeight(Entry.UseKey, stableHash(this->Settings.GatewayId));
  const auto Before = static_cast<std::size_t>(
      std::count_if(this->OtherGateways.begin(), this->OtherGateways.end(),
                    [&](std::uint64_t Each) {
                      return rendezvousWeight(Entry.UseKey, Each) > Own;
                    }));
  // Those whose ids are unknown may all come first.
  const std::size_t Counted = this->OtherGateways.size() + 1;
  return Before +
         (this->KnownGateways > Counted ? this->KnownGateways - Counted : 0);
}

void UpstreamTable::updateAllowances(std::string_view Service) {
  const auto Found = this->Brittle.find(Service);
  if (Found == this->Brittle.end() || !Found->second)
    return;
  const BrittleSettings &Brittle = this->Settings.Brittle;
  const auto ShareAt = [&](const UpstreamEntry &Entry) {
    return BrittleShare{
        .Slots = static_cast<std::size_t>(std::max(0, Entry.Registered.Slots)),
        .MaxRefusals = Found->second->MaxRefusals,
        .Gateways =
            std::max(this->KnownGateways, this->OtherGateways.size() + 1),
        .Position = this->positionAt(Entry)};
  };
  bool HasAllowance = false;
  std::size_t Upstreams = 0;
  UpstreamEntry *First = nullptr;
  std::uint64_t FirstWeight = 0;
  const std::uint64_t Self = stableHash(this->Settings.GatewayId);
  for (auto &[Id, Entry] : this->Entries) {
    if (Entry.Registered.Service != Service)
      continue;
    Entry.Allowance = allowanceAt(ShareAt(Entry), Brittle);
    if (Entry.isLeaving())
      continue;
    ++Upstreams;
    HasAllowance |= Entry.Allowance->MaxAwaited > 0;
    const std::uint64_t Weight = rendezvousWeight(Self, Entry.UseKey);
    if (!First || Weight > FirstWeight) {
      First = &Entry;
      FirstWeight = Weight;
    }
  }
  if (HasAllowance || !First)
    return;
  const BrittleShare Share = ShareAt(*First);
  First->Allowance = allowanceWithoutShare(Share, Upstreams, Brittle);
  // Such gateways begin one after another.
  if (First->RecentSends.LockedUntil.empty())
    First->RecentSends.LockedUntil.push_back(
        Found->second->StatedAt +
        scaled(First->Allowance->RefusalLock,
               static_cast<double>(Share.Position) /
                   static_cast<double>(Share.Gateways)));
}

bool UpstreamTable::hasAllowance(const UpstreamEntry &Entry,
                                 TimePoint Now) const {
  return !Entry.Allowance ||
         mayCall(*Entry.Allowance, Entry.RecentSends, Entry.OwnCalls, Now,
                 this->Settings.Brittle);
}

void UpstreamTable::noteAwaited(std::string_view Id, TimePoint SentAt) {
  UpstreamEntry *Entry = this->findMutable(Id);
  if (Entry && Entry->Allowance)
    galenaroute::noteAwaited(Entry->RecentSends, SentAt,
                             this->Settings.Brittle);
}

void UpstreamTable::noteAccepted(std::string_view Id, TimePoint SentAt) {
  if (UpstreamEntry *Entry = this->findMutable(Id))
    noteAnswered(Entry->RecentSends, SentAt);
}

void UpstreamTable::noteRefused(std::string_view Id, TimePoint SentAt,
                                TimePoint Now) {
  UpstreamEntry *Entry = this->findMutable(Id);
  if (Entry && Entry->Allowance)
    galenaroute::noteRefused(Entry->RecentSends, *Entry->Allowance, SentAt,
                             std::max(0, Entry->OwnCalls - 1), Now,
                             this->Settings.Brittle);
}

} // namespace galenaroute
