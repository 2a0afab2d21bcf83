// The weights of ForwardGateway: announced versions and their history, orders
// to load them, and cache blocks of outdated ones.

#include "process/ForwardGateway.h"
#include "process/Log.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace galenaroute {

using nlohmann::json;

/// Fraction of a service's engines that may load weights at the same time; more
/// would slow each other down.
static constexpr double MaxLoadingShare = 1.0 / 6;
/// Kind of the platform objects that record when each weight version was
/// announced, one object per model.
static constexpr std::string_view HistoryKind = "weight-history";

/// Notices on a version are sent for this long, or for twice the weights limit
/// if that is longer: later, all older weights are out of use anyway.
static constexpr Duration MinNoticeTime = std::chrono::seconds(120);
/// Time from the end of a stall until this process has read what was announced
/// before: the wait of a watch and the time until a lost one is repeated.
static constexpr Duration CatchUpTime = std::chrono::milliseconds(2500);

/// Messages that waited in the socket while this process stood still are read
/// within this time after the stall. The ages that they carry are too short.
static constexpr Duration StaleMessageTime = std::chrono::milliseconds(200);
/// Between attempts to read a history while the platform does not answer.
static constexpr Duration HistoryRetry = std::chrono::milliseconds(500);

/// A gateway that is stopping resigns its leases this long before the platform
/// would kill it. A lease that was not resigned is acquired a term later.
static constexpr Duration HandoverTime = std::chrono::milliseconds(1500);

/// Returns since when weights that are read now may have been announced without
/// this process noticing, or nothing. Nothing is announced while the platform
/// answers nobody.
std::optional<BootTime> ForwardGateway::weightsMissedSince(BootTime Now) const {
  if (const auto Stalled = this->Stalls.recentStall(Now, CatchUpTime))
    return Stalled;
  const auto Since = this->WeightNotices.unnoticedSince();
  if (!Since)
    return std::nullopt;
  const bool HearsNobody =
      this->KnownCount > 1 && this->Entries.countAlive(EventLoop::now()) == 0;
  const auto PeerAt = this->WeightNotices.peerAnsweredAt();
  const bool WasPeerAnswered =
      PeerAt && *PeerAt - *Since > this->WeightNotices.maxWatchTime();
  return HearsNobody || WasPeerAnswered ? Since : std::nullopt;
}

void ForwardGateway::onWeights(const PlatformObject &Object) {
  if (Object.Deleted)
    return;
  const auto Read = this->Parts.Source.readWeights(Object);
  if (!Read)
    return;
  this->detectStall();
  const BootTime Now = BootClock::now();
  noteVersion(this->Services.PartRights, Read->Model, Read->Version, Now);
  const auto Seen =
      noteNamed(this->Services.Weights[Read->Model], Read->Version,
                {.IsFirst = !this->WeightNotices.confirmedAt(),
                 .MissedSince = this->weightsMissedSince(Now)},
                this->Settings.WeightsLimit, Now);
  if (!Seen)
    return;
  if (Seen->Source != AnnouncementSource::Observed)
    this->readWeightHistory(Read->Model);
  log(LogLevel::Info, "weights.named",
      {{"model", Read->Model},
       {"version", std::to_string(Read->Version)},
       {"age_ms", std::to_string(toMilliseconds(Now - Seen->At))},
       {"source", std::string(toString(Seen->Source))}});
  this->updateOrders();
  this->Services.WeightsChanged.emit();
}

/// Lets calls that wait at engines rearm their timers, which do not advance
/// while the VM is suspended.
void ForwardGateway::detectStall() {
  const BootTime Now = BootClock::now();
  if (!this->Stalls.observe(Now))
    return;
  for (ObjectWatcher *Each : this->readAfterStalls()) {
    this->DoubtedAt = Now;
    Each->refresh();
  }
  this->SoftwareVersions.watcher().refresh();
  // Permits from before a suspension are dropped before a call uses them.
  if (this->Rates.hasLimits())
    this->updateRateMembers();
  this->Paths.notePause();
  this->Upstreams.noteStandstill();
  noteStandstill(this->Services.Backlog, EventLoop::now());
  this->Services.WeightsChanged.emit();
}

/// Returns whether messages that are read now may have waited in the socket
/// while this process stood still.
bool ForwardGateway::mayHoldStaleMessages() {
  this->detectStall();
  return this->Stalls.recentStall(BootClock::now(), StaleMessageTime)
      .has_value();
}

void ForwardGateway::sendWeightNotices(std::span<const SocketAddress> Targets) {
  const std::vector<WeightNotice> Notices =
      weightNotices(this->Services.Weights,
                    std::max(MinNoticeTime, this->Settings.WeightsLimit * 2),
                    BootClock::now());
  if (Notices.empty())
    return;
  const std::string Message =
      encodeGossip({.Weights = Notices, .WeightsLevel = OwnLevel});
  for (const SocketAddress &To : Targets)
    this->Channel->send(To, Message);
}

void ForwardGateway::onWeightNotices(std::span<const WeightNotice> Notices,
                                     BuildLevel Level) {
  if (this->mayHoldStaleMessages())
    return;
  for (const WeightNotice &Each : Notices)
    noteVersion(this->Services.PartRights, Each.Model, Each.Version,
                BootClock::now());
  // A gateway of an earlier build may have observed a version only after it was
  // cut off from the platform.
  const AnnouncementSource Source = keeps(Level, FleetRule::CautiousDates)
                                        ? AnnouncementSource::Observed
                                        : AnnouncementSource::Assumed;
  if (!mergeNotices(this->Services.Weights, Notices, BootClock::now(), Source))
    return;
  for (const WeightNotice &Each : Notices)
    log(LogLevel::Info, "weights.told",
        {{"model", Each.Model},
         {"version", std::to_string(Each.Version)},
         {"age_ms", std::to_string(Each.Age.count())}});
  this->updateOrders();
  this->Services.WeightsChanged.emit();
}

static ObjectKey historyKey(const std::string &Model, std::uint64_t Era) {
  return {std::string(HistoryKind), eraName(Model, Era)};
}

/// Announcement times in Unix milliseconds by version.
using WeightHistory = std::map<std::uint64_t, std::int64_t>;

/// Adds the announcement times that an object stores to \p History.
static void addHistory(WeightHistory &History, const PlatformObject &Stored) {
  try {
    for (const json &Each : Stored.Value)
      History.try_emplace(Each.at(0), Each.at(1));
  } catch (const json::exception &Failure) {
    // The next write replaces the malformed object.
    log(LogLevel::Warn, "weights.history_malformed",
        {{"name", Stored.Key.Name}, {"message", Failure.what()}});
  }
}

/// Reads when the weight versions of \p Model were announced, in any era.
void ForwardGateway::readWeightHistory(const std::string &Model) {
  this->Parts.Api.list(
      std::string(HistoryKind), {}, {},
      [this, Model,
       Alive = std::weak_ptr(this->Alive)](const PlatformList &Result) {
        if (Alive.expired())
          return;
        if (Result.Status != PlatformStatus::Ok) {
          log(LogLevel::Warn, "weights.history_not_read", {{"model", Model}});
          sigc::connection &Timer = this->HistoryTimers[Model];
          Timer.disconnect();
          Timer = this->Loop.timers().after(
              HistoryRetry, [this, Model] { this->readWeightHistory(Model); });
          return;
        }
        WeightHistory History;
        for (const PlatformObject &Each : Result.Objects)
          if (isNameInAnyEra(Each.Key.Name, Model))
            addHistory(History, Each);
        const std::int64_t WallMs = wallMilliseconds();
        restoreAnnounced(this->Services.Weights[Model], History, WallMs,
                         this->Settings.MaxClockError, BootClock::now());
        log(LogLevel::Info, "weights.history",
            {{"model", Model},
             {"versions", std::to_string(History.size())},
             {"newest_age_ms",
              History.empty()
                  ? "-"
                  : std::to_string(WallMs - History.rbegin()->second)}});
        this->updateOrders();
        this->Services.WeightsChanged.emit();
      });
}

/// Stores when the newest versions were announced, for processes that start
/// when no other one is running. One live gateway does it for each model, so
/// that another one takes over from a gateway that stands still.
void ForwardGateway::storeWeightHistories() {
  if (!this->reachesPlatform())
    return;
  const auto Live = this->liveGatewayIds(
      [](const EntryRecord &Each) { return Each.ReachesPlatform; });
  for (const auto &[Model, Weights] : this->Services.Weights) {
    const std::uint64_t Newest = Weights.newest();
    if (Newest <= this->StoredWeights[Model] ||
        Weights.Announced.at(Newest).Source == AnnouncementSource::Assumed ||
        this->PendingHistories.contains(Model) ||
        !this->isAssigned(Model, /*Count=*/1, Live))
      continue;
    this->storeWeightHistory(Model, Newest);
  }
}

void ForwardGateway::storeWeightHistory(const std::string &Model,
                                        std::uint64_t Version) {
  this->PendingHistories.insert(Model);
  const ObjectKey Key = historyKey(Model, this->Parts.Api.Era.current());
  this->Parts.Api.get(Key, [this, Key, Model, Version,
                            Alive = std::weak_ptr(this->Alive)](
                               const PlatformResult &Result) {
    if (Alive.expired())
      return;
    if (Result.Status != PlatformStatus::Ok &&
        Result.Status != PlatformStatus::NotFound) {
      this->PendingHistories.erase(Model);
      return;
    }
    // After a change of the era, the next gossip round begins anew.
    if (!(Key == historyKey(Model, this->Parts.Api.Era.current()))) {
      this->PendingHistories.erase(Model);
      return;
    }
    WeightHistory History;
    if (Result.Status == PlatformStatus::Ok)
      addHistory(History, Result.Object);
    const BootTime Now = BootClock::now();
    const std::size_t Stored = History.size();
    for (const auto &[Each, Known] : this->Services.Weights[Model].Announced)
      if (Known.Source != AnnouncementSource::Assumed)
        History.try_emplace(
            Each,
            wallMilliseconds() -
                toMilliseconds(
                    Now - observedAt(Known, this->Settings.MaxClockError)));
    if (History.size() == Stored) {
      this->StoredWeights[Model] = Version;
      this->PendingHistories.erase(Model);
      return;
    }
    while (History.size() > MaxAnnouncedWeights)
      History.erase(History.begin());
    json Value = json::array();
    for (const auto &[Each, Since] : History)
      Value.push_back({Each, Since});
    this->Parts.Api.put(
        Key, Value,
        Result.Status == PlatformStatus::Ok ? Result.Object.Version
                                            : Platform::MustNotExist,
        [this, Key, Model, Version,
         Alive = std::weak_ptr(this->Alive)](const PlatformResult &Written) {
          if (Alive.expired())
            return;
          this->PendingHistories.erase(Model);
          // A failed write is repeated in the next gossip round.
          const bool IsWritten = Written.Status == PlatformStatus::Ok;
          log(IsWritten ? LogLevel::Info : LogLevel::Warn,
              IsWritten ? "weights.history_written"
                        : "weights.history_not_written",
              {{"name", Key.Name}, {"version", std::to_string(Version)}});
          if (IsWritten)
            this->StoredWeights[Model] = Version;
        });
  });
}

/// Passes the known engines and their target weights to the order controller.
void ForwardGateway::updateOrders() {
  if (!this->Services.Config)
    return;
  auto Next = std::make_shared<Configuration>();
  for (const auto &[Name, Service] : this->Services.Config->Services) {
    if (!Service.Engine)
      continue;
    const auto Named = this->Services.Weights.find(Service.Engine->Model);
    if (Named == this->Services.Weights.end())
      continue;
    ServiceConfig Wanted;
    Wanted.Name = Name;
    Wanted.Kind = ServiceKind::Model;
    Wanted.Model = Service.Engine->Model;
    Wanted.WeightVersion = std::to_string(Named->second.newest());
    Wanted.ChecksFence = this->Settings.ChecksFence;
    // Engines with the oldest weights first; among equals, the least busy.
    using Rank = std::pair<std::uint64_t, std::uint64_t>;
    std::vector<std::pair<Rank, UpstreamConfig>> Ranked;
    for (const auto &[Id, Entry] : this->Upstreams.entries())
      if (Entry.Registered.Service == Name && !Entry.isLeaving() &&
          !this->Upstreams.isEvacuated(Entry))
        Ranked.push_back({{Entry.WeightVersion.value_or(0),
                           this->Upstreams.totalCallsAt(Entry)},
                          {.Name = Id,
                           .Address = Entry.Registered.Address,
                           .Zone = Entry.Registered.Zone}});
    std::stable_sort(
        Ranked.begin(), Ranked.end(),
        [](const auto &A, const auto &B) { return A.first < B.first; });
    for (auto &[Order, Upstream] : Ranked)
      Wanted.Upstreams.push_back(std::move(Upstream));
    Wanted.MaxConcurrentLoads = std::max(
        1,
        static_cast<int>(std::ceil(
            MaxLoadingShare * static_cast<double>(Wanted.Upstreams.size()))));
    Next->Services[Name] = std::move(Wanted);
  }
  this->Orders->setConfiguration(std::move(Next));
}

/// Adds the zones of newly seen engines. Zones are never removed, so that the
/// home zones of prompts don't move during a temporary zone failure.
void ForwardGateway::updateZones() {
  std::vector<std::string> &Zones = this->Services.Reuse.Zones;
  for (const auto &[Id, Entry] : this->Upstreams.entries())
    if (Entry.WeightVersion && std::find(Zones.begin(), Zones.end(),
                                         Entry.Registered.Zone) == Zones.end())
      Zones.push_back(Entry.Registered.Zone);
}

/// Renews the right to use stored parts by what is known of named weights.
void ForwardGateway::renewPartRights() {
  // A copy from which the platform was restored may lack the newest version
  // until the operator writes it again.
  const bool MayLackVersions =
      this->Parts.Api.Era.current() > 0 && this->mayPlatformLackObjects();
  if (const auto Until = this->WeightNotices.completeUntil();
      Until && !MayLackVersions)
    confirm(this->Services.PartRights, *Until);
}

/// Frees the stored parts of weights that no process uses any more.
void ForwardGateway::freeOutdatedParts() {
  this->updateZones();
  if (this->StopRequestedAt ||
      !this->isAssigned("stores", 1, this->liveGatewayIds()))
    return;
  const BootTime Now = BootClock::now();
  VersionsByModel Oldest;
  std::optional<std::uint64_t> OldestOfAll;
  for (const auto &[Model, Versions] : this->Services.PartRights.Known) {
    const std::uint64_t Kept = oldestKept(this->Services.PartRights,
                                          this->Services.PartTimes, Model, Now);
    Oldest[modelKey(Model)] = Kept;
    OldestOfAll = std::min(OldestOfAll.value_or(Kept), Kept);
  }
  Oldest[NoModel] = OldestOfAll.value_or(0);
  this->Stores.freeOutdated(Oldest);
}

bool ForwardGateway::needsOrders(std::string_view Service) const {
  const auto Found = this->Services.Config->Services.find(Service);
  if (Found == this->Services.Config->Services.end() || !Found->second.Engine)
    return false;
  const auto Named = this->Services.Weights.find(Found->second.Engine->Model);
  if (Named == this->Services.Weights.end())
    return false;
  for (const auto &[Id, Entry] : this->Upstreams.entries())
    if (Entry.Registered.Service == Service && !Entry.isLeaving() &&
        !this->Upstreams.isEvacuated(Entry) &&
        Entry.WeightVersion.value_or(0) < Named->second.newest())
      return true;
  return false;
}

/// Returns whether this gateway, which is stopping, may still send orders.
bool ForwardGateway::mayFinishOrders() const {
  const Duration Left =
      *this->StopRequestedAt + this->Settings.Grace - EventLoop::now();
  return Left > HandoverTime;
}

/// Returns whether this gateway should hold the lease of \p Service: it already
/// does, or orders are pending and it ranks first among the live gateways. A
/// gateway that is stopping keeps the lease for as long as it may finish a
/// rollout: its successor waits a lease term, and may be the next one to stop.
bool ForwardGateway::isPreferredFor(std::string_view Service) {
  if (!this->Services.Config)
    return false;
  if (this->StopRequestedAt)
    return this->mayFinishOrders() && this->Orders &&
           this->Orders->holds(Service) && this->needsOrders(Service);
  return (this->Orders && this->Orders->holds(Service)) ||
         this->isLeaseCandidate(Service, /*Count=*/1);
}

/// Returns whether orders are pending for \p Service and this gateway ranks
/// among the first \p Count live candidates for its lease.
bool ForwardGateway::isLeaseCandidate(std::string_view Service,
                                      std::size_t Count) {
  if (this->StopRequestedAt || !this->Services.Config ||
      !this->needsOrders(Service) || !this->reachesPlatform())
    return false;
  return this->isAssigned(Service, Count,
                          this->liveGatewayIds([](const EntryRecord &Each) {
                            return Each.ReachesPlatform;
                          }));
}

} // namespace galenaroute
