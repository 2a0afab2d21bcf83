#include "process/EntryGossip.h"

#include "process/Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace galenaroute {

/// Fewer entries than this in a zone would be overrun if all its callers came
/// to them; entries of other zones are added.
static constexpr std::size_t LeastOwnZone = 2;
/// Part of the capacity that even a busy entry counts with.
static constexpr double LeastFree = 0.15;

std::uint32_t entryKey(std::string_view EntryId) {
  return static_cast<std::uint32_t>(stableHash(EntryId));
}

bool EntryGossip::isAlive(const Heard &Entry, TimePoint Now) const {
  const Duration Age = Now - Entry.At;
  if (Age < this->Settings.DeadAfter)
    return true;
  const auto Zone = this->ZoneSeenAt.find(Entry.News.Zone);
  if (Zone != this->ZoneSeenAt.end() &&
      Zone->second - Entry.At >= this->Settings.DeadAfter)
    return false;
  const std::size_t Beyond = this->Others.size() > this->Settings.MaxNews
                                 ? this->Others.size() - this->Settings.MaxNews
                                 : 0;
  return Age < this->Settings.DeadAfter + this->Settings.DeadAfterPerEntry *
                                              static_cast<std::int64_t>(Beyond);
}

void EntryGossip::noteSeen(std::span<const std::uint32_t> Keys, TimePoint Now) {
  const std::unordered_set<std::uint32_t> Seen(Keys.begin(), Keys.end());
  for (auto &[Id, Each] : this->Others)
    if (Seen.contains(Each.Key)) {
      Each.At = std::max(Each.At, Now);
      this->ZoneSeenAt[Each.News.Zone] = Now;
    }
}

const EntryNews *EntryGossip::find(std::string_view Id) const {
  const auto It = this->Others.find(Id);
  return It == this->Others.end() ? nullptr : &It->second.News;
}

std::vector<EntryNews> EntryGossip::news(TimePoint Now,
                                         std::mt19937_64 &Random) {
  ++this->Self.Heartbeat;
  std::vector<const Heard *> Recent;
  for (const auto &[Id, Each] : this->Others)
    if (this->isAlive(Each, Now))
      Recent.push_back(&Each);
  // A fixed order would tell of the same entries every time.
  std::shuffle(Recent.begin(), Recent.end(), Random);
  if (Recent.size() > this->Settings.MaxNews - 1)
    Recent.resize(this->Settings.MaxNews - 1);
  std::vector<EntryNews> Result{this->Self};
  Result.reserve(Recent.size() + 1);
  for (const Heard *Each : Recent)
    Result.push_back(Each->News);
  return Result;
}

static bool isNewer(const EntryNews &A, const EntryNews &B) {
  if (A.Incarnation != B.Incarnation)
    return A.Incarnation > B.Incarnation;
  return A.Heartbeat > B.Heartbeat;
}

void EntryGossip::receive(std::span<const EntryNews> News, TimePoint Now) {
  for (const EntryNews &Each : News) {
    if (Each.Id == this->Self.Id || Each.Id.empty())
      continue;
    const auto It = this->Others.find(Each.Id);
    if (It == this->Others.end()) {
      this->Others[Each.Id] = {Each, Now, entryKey(Each.Id)};
      continue;
    }
    if (!isNewer(Each, It->second.News))
      continue;
    const bool Left = It->second.News.IsLeaving &&
                      It->second.News.Incarnation == Each.Incarnation;
    It->second.News = Each;
    It->second.At = Now;
    It->second.News.IsLeaving |= Left;
  }
  std::erase_if(this->Others, [&](const auto &Each) {
    return Now - Each.second.At > this->Settings.ForgetAfter;
  });
}

std::vector<SocketAddress>
EntryGossip::targets(std::span<const SocketAddress> Seeds, TimePoint Now,
                     std::mt19937_64 &Random) {
  std::vector<SocketAddress> Near;
  std::vector<SocketAddress> Far;
  std::vector<SocketAddress> Rest(Seeds.begin(), Seeds.end());
  for (const auto &[Id, Each] : this->Others)
    (!this->isAlive(Each, Now)           ? Rest
     : Each.News.Zone == this->Self.Zone ? Near
                                         : Far)
        .push_back(Each.News.Gossip);
  std::shuffle(Near.begin(), Near.end(), Random);
  std::shuffle(Far.begin(), Far.end(), Random);
  const std::size_t ToFar = std::min(
      Far.size(), std::max(this->Settings.FarFanout,
                           this->Settings.Fanout -
                               std::min(this->Settings.Fanout, Near.size())));
  std::vector<SocketAddress> Alive(
      Far.begin(), Far.begin() + static_cast<std::ptrdiff_t>(ToFar));
  for (const SocketAddress &Each : Near)
    if (Alive.size() < this->Settings.Fanout)
      Alive.push_back(Each);
  // One that is not heard of may only be cut off; it is asked now and then.
  if (!Rest.empty()) {
    std::shuffle(Rest.begin(), Rest.end(), Random);
    const std::size_t Count = Alive.empty() ? Rest.size() : 1;
    for (std::size_t I = 0; I < Count; ++I)
      if (!(Rest[I] == this->Self.Gossip))
        Alive.push_back(Rest[I]);
  }
  return Alive;
}

std::vector<EntryNews> EntryGossip::alive(TimePoint Now) const {
  std::vector<EntryNews> Result;
  this->forEachAlive(Now,
                     [&](const EntryNews &Each) { Result.push_back(Each); });
  return Result;
}

std::size_t EntryGossip::countAlive(TimePoint Now) const {
  std::size_t Count = 0;
  this->forEachAlive(Now, [&](const EntryNews &) { ++Count; });
  return Count;
}

std::size_t EntryGossip::countKnown() const {
  return static_cast<std::size_t>(std::count_if(
      this->Others.begin(), this->Others.end(),
      [](const auto &Each) { return !Each.second.News.IsLeaving; }));
}

std::vector<SocketAddress>
chooseEntryAddresses(std::span<const EntryNews> Ready, std::string_view Zone,
                     std::size_t Most, std::mt19937_64 &Random) {
  struct Drawn {
    const EntryNews *Entry;
    bool IsNear;
    double Key;
  };
  std::vector<Drawn> All;
  std::size_t Near = 0;
  std::uniform_real_distribution<double> Uniform(1e-9, 1);
  for (const EntryNews &Each : Ready) {
    const bool IsNear = Each.Zone == Zone;
    Near += IsNear;
    const double Weight =
        std::max(1e-3, Each.Capacity * std::max(LeastFree, 1 - Each.Busy));
    // Weighted sampling without replacement: the largest u^(1/w) first.
    All.push_back({&Each, IsNear, std::pow(Uniform(Random), 1 / Weight)});
  }
  std::sort(All.begin(), All.end(), [](const Drawn &A, const Drawn &B) {
    return A.IsNear != B.IsNear ? A.IsNear : A.Key > B.Key;
  });
  if (Near >= LeastOwnZone)
    All.resize(Near);
  if (All.size() > Most)
    All.resize(Most);
  std::vector<SocketAddress> Result;
  Result.reserve(All.size());
  for (const Drawn &Each : All)
    Result.push_back(Each.Entry->Callers);
  return Result;
}

} // namespace galenaroute
