#include "process/EntryGossip.h"

#include "process/Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace galenaroute {

/// With fewer entries than this in its zone, a caller also gets entries of
/// other zones; all callers of the zone would overload them.
static constexpr std::size_t MinOwnZone = 2;
/// Share of its capacity that even a saturated entry is weighted with.
static constexpr double MinFreeShare = 0.15;

std::uint32_t entryKey(std::string_view EntryId) {
  return static_cast<std::uint32_t>(stableHash(EntryId));
}

bool EntryGossip::isAlive(const KnownEntry &Entry, TimePoint Now) const {
  const Duration Age = Now - Entry.At;
  if (Age < this->Settings.DeadAfter)
    return true;
  const auto Zone = this->ZoneSeenAt.find(Entry.Record.Zone);
  if (Zone != this->ZoneSeenAt.end() &&
      Zone->second - Entry.At >= this->Settings.DeadAfter)
    return false;
  const std::size_t Beyond =
      this->Others.size() > this->Settings.MaxRecords
          ? this->Others.size() - this->Settings.MaxRecords
          : 0;
  return Age < this->Settings.DeadAfter + this->Settings.DeadAfterPerEntry *
                                              static_cast<std::int64_t>(Beyond);
}

void EntryGossip::markSeen(std::span<const std::uint32_t> Keys, TimePoint Now) {
  const std::unordered_set<std::uint32_t> Seen(Keys.begin(), Keys.end());
  for (auto &[Id, Each] : this->Others)
    if (Seen.contains(Each.Key)) {
      Each.At = std::max(Each.At, Now);
      this->ZoneSeenAt[Each.Record.Zone] = Now;
    }
}

const EntryRecord *EntryGossip::find(std::string_view Id) const {
  const auto It = this->Others.find(Id);
  return It == this->Others.end() ? nullptr : &It->second.Record;
}

std::vector<EntryRecord> EntryGossip::makeGossip(TimePoint Now,
                                                 std::mt19937_64 &Random) {
  ++this->Self.Heartbeat;
  this->Self.KnownEntries = this->countKnown() + 1;
  std::vector<const KnownEntry *> Recent;
  for (const auto &[Id, Each] : this->Others)
    if (this->isAlive(Each, Now))
      Recent.push_back(&Each);
  // A fixed order would send the same entries every time.
  std::shuffle(Recent.begin(), Recent.end(), Random);
  if (Recent.size() > this->Settings.MaxRecords - 1)
    Recent.resize(this->Settings.MaxRecords - 1);
  std::vector<EntryRecord> Result{this->Self};
  Result.reserve(Recent.size() + 1);
  for (const KnownEntry *Each : Recent)
    Result.push_back(Each->Record);
  return Result;
}

static bool isNewer(const EntryRecord &A, const EntryRecord &B) {
  if (A.Incarnation != B.Incarnation)
    return A.Incarnation > B.Incarnation;
  return A.Heartbeat > B.Heartbeat;
}

void EntryGossip::receive(std::span<const EntryRecord> Records, TimePoint Now) {
  for (const EntryRecord &Each : Records) {
    if (Each.Id == this->Self.Id || Each.Id.empty())
      continue;
    const auto It = this->Others.find(Each.Id);
    if (It == this->Others.end()) {
      this->Others[Each.Id] = {Each, Now, entryKey(Each.Id)};
      continue;
    }
    if (!isNewer(Each, It->second.Record))
      continue;
    const bool Left = It->second.Record.IsLeaving &&
                      It->second.Record.Incarnation == Each.Incarnation;
    const EntryRecord Known = std::exchange(It->second.Record, Each);
    It->second.At = Now;
    It->second.Record.IsLeaving |= Left;
    // A gateway of an earlier build forwards records without their levels.
    if (Known.Incarnation != Each.Incarnation)
      continue;
    It->second.Record.Level = std::max(Each.Level, Known.Level);
    It->second.Record.LeastPeerLevel =
        std::max(Each.LeastPeerLevel, Known.LeastPeerLevel);
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
    (!this->isAlive(Each, Now)             ? Rest
     : Each.Record.Zone == this->Self.Zone ? Near
                                           : Far)
        .push_back(Each.Record.Gossip);
  std::shuffle(Near.begin(), Near.end(), Random);
  std::shuffle(Far.begin(), Far.end(), Random);
  const std::size_t ToFar = std::min(
      Far.size(), std::max(this->Settings.OtherZoneFanout,
                           this->Settings.Fanout -
                               std::min(this->Settings.Fanout, Near.size())));
  std::vector<SocketAddress> Alive(
      Far.begin(), Far.begin() + static_cast<std::ptrdiff_t>(ToFar));
  for (const SocketAddress &Each : Near)
    if (Alive.size() < this->Settings.Fanout)
      Alive.push_back(Each);
  // An entry considered dead may only be partitioned, so one is tried each
  // round.
  if (!Rest.empty()) {
    std::shuffle(Rest.begin(), Rest.end(), Random);
    const std::size_t Count = Alive.empty() ? Rest.size() : 1;
    for (std::size_t I = 0; I < Count; ++I)
      if (!(Rest[I] == this->Self.Gossip))
        Alive.push_back(Rest[I]);
  }
  return Alive;
}

std::vector<EntryRecord> EntryGossip::alive(TimePoint Now) const {
  std::vector<EntryRecord> Result;
  this->forEachAlive(Now,
                     [&](const EntryRecord &Each) { Result.push_back(Each); });
  return Result;
}

bool EntryGossip::isKnownHost(std::string_view Host) const {
  return std::any_of(this->Others.begin(), this->Others.end(),
                     [Host](const auto &Each) {
                       return Each.second.Record.Gossip.Host == Host;
                     });
}

bool EntryGossip::doAllKeep(FleetRule Rule) const {
  return std::all_of(this->Others.begin(), this->Others.end(),
                     [Rule](const auto &Each) {
                       return keeps(Each.second.Record.Level, Rule);
                     });
}

std::size_t EntryGossip::countAlive(TimePoint Now) const {
  std::size_t Count = 0;
  this->forEachAlive(Now, [&](const EntryRecord &) { ++Count; });
  return Count;
}

std::size_t EntryGossip::countKnown() const {
  return static_cast<std::size_t>(std::count_if(
      this->Others.begin(), this->Others.end(),
      [](const auto &Each) { return !Each.second.Record.IsLeaving; }));
}

std::size_t EntryGossip::fleetSize(TimePoint Now) const {
  std::size_t Size = this->countKnown() + 1;
  this->forEachAlive(Now, [&](const EntryRecord &Each) {
    Size = std::max<std::size_t>(Size, Each.KnownEntries);
  });
  return Size;
}

std::vector<SocketAddress>
chooseEntryAddresses(std::span<const EntryRecord> Ready, std::string_view Zone,
                     std::size_t MaxAddresses, std::mt19937_64 &Random) {
  struct Drawn {
    const EntryRecord *Entry;
    bool IsNear;
    double Key;
  };
  std::vector<Drawn> All;
  std::size_t Near = 0;
  std::uniform_real_distribution<double> Uniform(1e-9, 1);
  for (const EntryRecord &Each : Ready) {
    const bool IsNear = Each.Zone == Zone;
    Near += IsNear;
    const double Weight =
        std::max(1e-3, Each.Capacity * std::max(MinFreeShare, 1 - Each.Busy));
    // Weighted sampling without replacement: the largest u^(1/w) first.
    All.push_back({&Each, IsNear, std::pow(Uniform(Random), 1 / Weight)});
  }
  std::sort(All.begin(), All.end(), [](const Drawn &A, const Drawn &B) {
    return A.IsNear != B.IsNear ? A.IsNear : A.Key > B.Key;
  });
  if (Near >= MinOwnZone)
    All.resize(Near);
  if (All.size() > MaxAddresses)
    All.resize(MaxAddresses);
  std::vector<SocketAddress> Result;
  Result.reserve(All.size());
  for (const Drawn &Each : All)
    Result.push_back(Each.Entry->Callers);
  return Result;
}

} // namespace galenaroute
