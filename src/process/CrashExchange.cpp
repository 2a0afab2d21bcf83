#include "process/CrashExchange.h"

#include "process/ErrorKind.h"
#include "process/GossipMessages.h"
#include "process/Log.h"
#include "process/Rendezvous.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace galenaroute {

using nlohmann::json;

/// Entries that combine the crash reports of a key. With three, one may be dead
/// and another one unreachable.
static constexpr std::size_t Aggregators = 3;
/// Keys with this many crashes are broadcast. Harmless calls that were running
/// during a crash seldom see a second one.
static constexpr std::size_t CrashesToBroadcast = 2;
/// Keys with this many crashes are persisted, so that their count does not
/// restart at zero each time that all entries are killed.
static constexpr std::size_t CrashesToPersist = CrashesToBroadcast;
/// One crash of an upstream breaks several calls within this time; their
/// reports are sent in one message.
static constexpr auto FlushDelay = std::chrono::milliseconds(20);
static constexpr std::size_t MaxReportsPerRound = 16;
/// Reports and observations in one message, about 30 bytes each; keeps it below
/// EntryChannel::MaxBytes.
static constexpr std::size_t MaxItemsPerMessage = 400;
/// The entries that know an answer broadcast it after a random time of up to
/// this for each entry, so that the first one spares the others.
static constexpr Duration ReplySpreadPerEntry = std::chrono::milliseconds(1);
/// Between two such broadcasts of a key. An entry that was suspended dates
/// crashes later than the others, so that they cannot agree.
static constexpr Duration ReplyPeriod = std::chrono::seconds(1);
static constexpr std::size_t MaxReplies = 256;
/// The reports on the keys that were observed at one crash arrive within this
/// time; only together they tell which calls are refused.
static constexpr Duration RefusalsDelay = std::chrono::milliseconds(100);
/// Keys persisted on the platform, up to 600 bytes each.
static constexpr std::size_t MaxStored = 32;
/// A suspect key is written after one to one and a half times this delay.
/// One crash makes several keys suspect, with different aggregators, and
/// most of them are cleared soon.
static constexpr Duration PersistDelay = std::chrono::milliseconds(300);
/// Between attempts after the platform did not answer or a concurrent write
/// won.
static constexpr Duration SyncRetry = std::chrono::milliseconds(500);
/// Between reads while this entry is isolated.
static constexpr auto IsolatedReadPeriod = std::chrono::seconds(1);

static constexpr std::string_view StoredKind = "crashing-contents";
static constexpr std::string_view StoredName = "recent";

static ObjectKey storedKey(std::uint64_t Era) {
  return {std::string(StoredKind), eraName(StoredName, Era)};
}

CrashExchange::CrashExchange(CrashExchangeParts Parts)
    : Parts(std::move(Parts)) {}

CrashExchange::~CrashExchange() {
  this->FlushTimer.disconnect();
  this->SyncTimer.disconnect();
  this->ReplyTimer.disconnect();
  this->RefusalsTimer.disconnect();
}

void CrashExchange::start() { this->readAllEras(); }

void CrashExchange::onEraChanged() {
  this->IsWritePending |= std::any_of(
      this->Persisted.begin(), this->Persisted.end(),
      [this](std::uint64_t Key) { return this->isAggregatorOf(Key); });
  log(LogLevel::Info, "content.stored_dropped",
      {{"keys", std::to_string(this->Persisted.size())},
       {"writes_again", this->IsWritePending ? "yes" : "no"}});
  if (this->IsWritePending)
    this->syncLater(PersistDelay);
}

void CrashExchange::publish(std::uint64_t Key, std::size_t Cleared) {
  this->Pending[Key] |= Cleared >= CrashesToBroadcast;
  this->persistIfSuspect(Key);
  this->removeIfCleared(Key);
  this->noteRefusals(Key);
  if (this->FlushTimer.empty())
    this->FlushTimer =
        this->Parts.Loop.timers().after(FlushDelay, [this] { this->flush(); });
}

/// Returns the aggregators of \p Key other than this entry.
std::vector<SocketAddress>
CrashExchange::aggregatorsOf(std::uint64_t Key) const {
  const std::string Name = keyName(Key);
  std::vector<std::pair<std::uint64_t, SocketAddress>> All;
  this->Parts.Entries.forEachAlive(
      EventLoop::now(), [&](const EntryRecord &Each) {
        All.emplace_back(rendezvousWeight(Name, Each.Id), Each.Gossip);
      });
  const std::size_t Count = std::min(All.size(), Aggregators);
  std::partial_sort(
      All.begin(), All.begin() + static_cast<std::ptrdiff_t>(Count), All.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  std::vector<SocketAddress> Result;
  for (std::size_t I = 0; I < Count; ++I)
    Result.push_back(All[I].second);
  return Result;
}

bool CrashExchange::isAggregatorOf(std::uint64_t Key) const {
  std::vector<std::string_view> Others;
  this->Parts.Entries.forEachAlive(
      EventLoop::now(),
      [&](const EntryRecord &Each) { Others.emplace_back(Each.Id); });
  return isAmongFirst(keyName(Key), this->Parts.Entries.self().Id, Aggregators,
                      Others, [](std::string_view Id) { return Id; });
}

/// Returns reports on at most \p Limit keys with at least \p MinCrashes
/// crashes.
std::vector<CrashReport>
CrashExchange::suspectReports(std::size_t MinCrashes, std::size_t Limit) const {
  const TimePoint Now = EventLoop::now();
  std::vector<CrashReport> Reports;
  for (const std::uint64_t Each :
       suspectKeys(this->Parts.Record, MinCrashes, Limit))
    Reports.push_back(crashReport(this->Parts.Record, Each, Now));
  return Reports;
}

static void send(const CrashExchangeParts &Parts, const SocketAddress &To,
                 std::span<const CrashReport> Reports) {
  GossipMessage Message;
  std::size_t Items = 0;
  const auto SendMessage = [&] {
    if (!Message.Crashes.empty())
      Parts.Send(To, encodeGossip(std::exchange(Message, {})));
    Items = 0;
  };
  for (const CrashReport &Each : Reports) {
    if (Items + 1 + Each.Observations.size() > MaxItemsPerMessage)
      SendMessage();
    Items += 1 + Each.Observations.size();
    Message.Crashes.push_back(Each);
  }
  SendMessage();
}

void CrashExchange::flush() {
  this->FlushTimer.disconnect();
  const TimePoint Now = EventLoop::now();
  std::map<SocketAddress, std::vector<CrashReport>> Messages;
  std::vector<CrashReport> ForAll;
  for (const auto &[Key, ToAll] : this->Pending) {
    CrashReport Report = crashReport(this->Parts.Record, Key, Now);
    if (ToAll || Report.Observations.size() >= CrashesToBroadcast)
      ForAll.push_back(std::move(Report));
    else
      for (const SocketAddress &To : this->aggregatorsOf(Key))
        Messages[To].push_back(Report);
  }
  this->Pending.clear();
  for (const auto &[To, Reports] : Messages)
    send(this->Parts, To, Reports);
  if (!ForAll.empty())
    this->Parts.Entries.forEachAlive(Now, [&](const EntryRecord &Each) {
      send(this->Parts, Each.Gossip, ForAll);
    });
}

void CrashExchange::receive(std::span<const CrashReport> Reports) {
  for (const CrashReport &Each : Reports)
    this->merge(Each);
}

/// Merges the report of another entry.
void CrashExchange::merge(const CrashReport &Report) {
  CrashRecord &Record = this->Parts.Record;
  const TimePoint Now = EventLoop::now();
  const std::uint64_t Key = Report.Key;
  bool Changed = mergeReport(Record, Report, Now);
  if (const auto At = this->Parts.LastAnswered(Key))
    Changed |= noteSuccess(Record, Key, *At) > 0;
  const bool IsOutdated = isOutdated(Record, Report, Now);
  if (IsOutdated && Report.Observations.size() >= CrashesToBroadcast)
    this->replyLater(Report);
  else if (const auto It = this->Replies.find(Key);
           !IsOutdated && Report.ClearedAge && It != this->Replies.end())
    It->second = {Now + ReplyPeriod, /*IsSent=*/true};
  if (!Changed)
    return;
  const std::size_t Crashes = crashCount(Record, Key);
  if (Crashes >= CrashesToBroadcast)
    log(LogLevel::Warn, "content.told",
        {{"content", keyName(Key)},
         {"crashes", std::to_string(Crashes)},
         {"told", std::to_string(Report.Observations.size())}});
  // The sender has broadcast what it knows. Only aggregators send what goes
  // beyond that: all entries have received the same reports.
  if (Crashes > Report.Observations.size() &&
      (Report.Observations.size() < CrashesToBroadcast ||
       this->isAggregatorOf(Key)))
    this->publish(Key);
  else
    this->persistIfSuspect(Key);
  this->removeIfCleared(Key);
  this->noteRefusals(Key);
}

/// Schedules a broadcast that an answer has cleared the crashes of a report.
void CrashExchange::replyLater(const CrashReport &Outdated) {
  if (this->Replies.size() >= MaxReplies)
    return;
  const TimePoint Now = EventLoop::now();
  std::uniform_real_distribution<double> Spread(
      0, static_cast<double>(this->Parts.Entries.countAlive(Now)));
  this->Replies.try_emplace(
      Outdated.Key,
      Reply{Now + scaled(ReplySpreadPerEntry, Spread(this->Random))});
  this->sendReplies();
}

/// Broadcasts the answers that are due, and schedules the others.
void CrashExchange::sendReplies() {
  this->ReplyTimer.disconnect();
  const TimePoint Now = EventLoop::now();
  std::optional<TimePoint> Next;
  std::vector<CrashReport> Reports;
  for (auto It = this->Replies.begin(); It != this->Replies.end();) {
    auto &[Key, Reply] = *It;
    if (Reply.At <= Now && Reply.IsSent) {
      It = this->Replies.erase(It);
      continue;
    }
    if (Reply.At <= Now) {
      Reports.push_back(crashReport(this->Parts.Record, Key, Now));
      Reply = {Now + ReplyPeriod, /*IsSent=*/true};
    }
    Next = Next ? std::min(*Next, Reply.At) : Reply.At;
    ++It;
  }
  if (!Reports.empty())
    this->Parts.Entries.forEachAlive(Now, [&](const EntryRecord &Each) {
      send(this->Parts, Each.Gossip, Reports);
    });
  if (Next)
    this->ReplyTimer = this->Parts.Loop.timers().after(
        *Next - Now, [this] { this->sendReplies(); });
}

/// Reports a change of \p Key by which calls may have become refused, after
/// RefusalsDelay.
void CrashExchange::noteRefusals(std::uint64_t Key) {
  if (this->Parts.Record.Established.empty() || !this->RefusalsTimer.empty())
    return;
  // A key that was cleared may have excused another one.
  const std::size_t Crashes = crashCount(this->Parts.Record, Key);
  if (Crashes > 0 && Crashes < MaxCrashes)
    return;
  this->RefusalsTimer = this->Parts.Loop.timers().after(RefusalsDelay, [this] {
    this->RefusalsTimer.disconnect();
    this->Parts.OnRefusalsChanged();
  });
}

void CrashExchange::onGossipRound(std::span<const SocketAddress> Targets) {
  const TimePoint Now = EventLoop::now();
  expireCrashes(this->Parts.Record, Now);
  std::erase_if(this->Persisted, [this](std::uint64_t Each) {
    return crashCount(this->Parts.Record, Each) < CrashesToPersist;
  });
  std::erase_if(this->LoggedRefusals, [this](std::uint64_t Each) {
    return crashCount(this->Parts.Record, Each) < MaxCrashes;
  });
  if (this->isIsolated() && Now - this->SyncedAt >= IsolatedReadPeriod)
    this->sync();
  const std::vector<CrashReport> Reports =
      this->suspectReports(CrashesToBroadcast, MaxReportsPerRound);
  if (Reports.empty())
    return;
  for (const SocketAddress &To : Targets)
    send(this->Parts, To, Reports);
}

bool CrashExchange::isIsolated() const {
  const EntryGossip &Entries = this->Parts.Entries;
  const TimePoint Now = EventLoop::now();
  return 2 * (Entries.countAlive(Now) + 1) < Entries.fleetSize(Now);
}

/// Has the aggregators persist a key once it has crashed several upstreams,
/// and again once it is refused.
void CrashExchange::persistIfSuspect(std::uint64_t Key) {
  const std::size_t Crashes = crashCount(this->Parts.Record, Key);
  const bool IsSuspect =
      Crashes >= CrashesToPersist && this->Persisted.insert(Key).second;
  const bool IsRefused =
      Crashes >= MaxCrashes && this->LoggedRefusals.insert(Key).second;
  if (IsRefused)
    log(LogLevel::Warn, "content.refused",
        {{"content", keyName(Key)}, {"crashes", std::to_string(Crashes)}});
  if ((!IsRefused && !IsSuspect) || !this->isAggregatorOf(Key))
    return;
  this->IsWritePending = true;
  if (IsRefused)
    this->sync();
  else
    this->syncLater(PersistDelay);
}

/// Removes a key from the platform after a success has cleared it.
void CrashExchange::removeIfCleared(std::uint64_t Key) {
  if (crashCount(this->Parts.Record, Key) >= CrashesToPersist ||
      this->Persisted.erase(Key) == 0)
    return;
  log(LogLevel::Info, "content.cleared", {{"content", keyName(Key)}});
  if (!this->isAggregatorOf(Key))
    return;
  this->IsWritePending = true;
  this->syncLater(PersistDelay);
}

/// Schedules sync() after one to one and a half times \p Delay, unless it is
/// scheduled already.
void CrashExchange::syncLater(Duration Delay) {
  if (!this->SyncTimer.empty())
    return;
  std::uniform_real_distribution<double> Spread(1, 1.5);
  this->SyncTimer = this->Parts.Loop.timers().after(
      scaled(Delay, Spread(this->Random)), [this] { this->sync(); });
}

/// Reads the keys that were persisted in any era.
void CrashExchange::readAllEras() {
  this->IsSyncing = true;
  this->SyncedAt = EventLoop::now();
  this->Parts.Api.list(
      std::string(StoredKind), {}, {},
      [this, Alive = std::weak_ptr(this->Alive)](const PlatformList &Result) {
        if (Alive.expired())
          return;
        this->IsSyncing = false;
        if (Result.Status != PlatformStatus::Ok) {
          this->syncLater(SyncRetry);
          return;
        }
        this->HasReadAllEras = true;
        for (const PlatformObject &Each : Result.Objects)
          if (isNameInAnyEra(Each.Key.Name, StoredName))
            this->restoreAll(Each);
        if (this->IsWritePending)
          this->sync();
      });
}

/// Reads the persisted keys, and writes them back if there is a change.
void CrashExchange::sync() {
  this->SyncTimer.disconnect();
  if (this->IsSyncing)
    return;
  if (!this->HasReadAllEras) {
    this->readAllEras();
    return;
  }
  this->IsSyncing = true;
  this->SyncedAt = EventLoop::now();
  const ObjectKey Key = storedKey(this->Parts.Api.Era.current());
  this->Parts.Api.get(Key, [this, Key, Alive = std::weak_ptr(this->Alive)](
                               const PlatformResult &Result) {
    if (!Alive.expired())
      this->onStored(Key, Result);
  });
}

/// Hashes are stored as text because not all JSON readers keep 64-bit integers.
static json toStored(std::span<const CrashReport> Reports,
                     std::int64_t WallMs) {
  json Result = json::array();
  for (const CrashReport &Each : Reports) {
    json Observations = json::array();
    for (const CrashReport::Observation &Seen : Each.Observations)
      Observations.push_back(
          {keyName(Seen.Upstream), WallMs - Seen.Age.count()});
    Result.push_back({keyName(Each.Key), std::move(Observations)});
  }
  return Result;
}

static std::uint64_t hashFromText(const std::string &Text) {
  std::uint64_t Value = 0;
  const auto Read =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value, 16);
  if (Read.ec != std::errc() || Read.ptr != Text.data() + Text.size())
    throw Error(ErrorKind::BadRequest, "malformed content hash: " + Text);
  return Value;
}

static std::vector<CrashReport> fromStored(const json &Value,
                                           std::int64_t WallMs) {
  std::vector<CrashReport> Result;
  for (const json &Each : Value) {
    CrashReport Report;
    Report.Key = hashFromText(Each.at(0));
    for (const json &Seen : Each.at(1))
      Report.Observations.push_back(
          {hashFromText(Seen.at(0)),
           Milliseconds(WallMs - Seen.at(1).get<std::int64_t>())});
    Result.push_back(std::move(Report));
  }
  return Result;
}

/// Merges the keys of a stored object. Returns the numbers of their crashes.
std::map<std::uint64_t, std::size_t>
CrashExchange::restoreAll(const PlatformObject &Stored) {
  std::map<std::uint64_t, std::size_t> Crashes;
  try {
    for (const CrashReport &Each :
         fromStored(Stored.Value, wallMilliseconds())) {
      Crashes[Each.Key] = Each.Observations.size();
      this->restore(Each);
    }
  } catch (const std::exception &Failure) {
    // The next write replaces the malformed object.
    log(LogLevel::Warn, "content.stored_malformed",
        {{"name", Stored.Key.Name}, {"message", Failure.what()}});
  }
  return Crashes;
}

void CrashExchange::onStored(const ObjectKey &Key,
                             const PlatformResult &Result) {
  this->IsSyncing = false;
  if (Result.Status != PlatformStatus::Ok &&
      Result.Status != PlatformStatus::NotFound) {
    this->syncLater(SyncRetry);
    return;
  }
  std::map<std::uint64_t, std::size_t> Stored;
  if (Result.Status == PlatformStatus::Ok)
    Stored = this->restoreAll(Result.Object);
  if (!this->IsWritePending)
    return;
  // The era has changed since the read.
  if (!(Key == storedKey(this->Parts.Api.Era.current()))) {
    this->sync();
    return;
  }
  this->IsWritePending = false;
  std::vector<CrashReport> Reports =
      this->suspectReports(CrashesToPersist, MaxCrashKeys);
  // The stored form has no answers, without which a key that was answered
  // before would be refused too soon.
  std::erase_if(Reports, [this](const CrashReport &Each) {
    return Each.ClearedAge &&
           !this->Parts.Record.Established.contains(Each.Key);
  });
  if (Reports.size() > MaxStored)
    Reports.resize(MaxStored);
  std::map<std::uint64_t, std::size_t> Wanted;
  for (const CrashReport &Each : Reports)
    Wanted[Each.Key] = Each.Observations.size();
  // Another aggregator may have written the same.
  if (Wanted != Stored)
    this->write(Key, Reports,
                Result.Status == PlatformStatus::Ok ? Result.Object.Version
                                                    : Platform::MustNotExist);
}

/// Merges a stored key. Crashes that this entry knows of are left out: the
/// writer's clock may differ, so that a crash would count twice.
void CrashExchange::restore(CrashReport Stored) {
  const CrashReport Known =
      crashReport(this->Parts.Record, Stored.Key, EventLoop::now());
  std::erase_if(Stored.Observations, [&](const CrashReport::Observation &Each) {
    return std::any_of(Known.Observations.begin(), Known.Observations.end(),
                       [&](const CrashReport::Observation &Own) {
                         return Own.Upstream == Each.Upstream;
                       });
  });
  if (!mergeReport(this->Parts.Record, Stored, EventLoop::now()))
    return;
  this->noteRefusals(Stored.Key);
  this->Persisted.insert(Stored.Key);
  log(LogLevel::Warn, "content.restored",
      {{"content", keyName(Stored.Key)},
       {"crashes",
        std::to_string(crashCount(this->Parts.Record, Stored.Key))}});
}

void CrashExchange::write(const ObjectKey &Key,
                          std::span<const CrashReport> Reports,
                          std::uint64_t IfVersion) {
  this->IsSyncing = true;
  this->Parts.Api.put(
      Key, toStored(Reports, wallMilliseconds()), IfVersion,
      [this,
       Alive = std::weak_ptr(this->Alive)](const PlatformResult &Written) {
        if (Alive.expired())
          return;
        this->IsSyncing = false;
        if (Written.Status == PlatformStatus::Ok) {
          if (this->IsWritePending)
            this->sync();
          return;
        }
        log(LogLevel::Info, "content.not_stored",
            {{"status", Written.Status == PlatformStatus::Conflict
                            ? "conflict"
                            : "no_answer"}});
        this->IsWritePending = true;
        this->syncLater(SyncRetry);
      });
}

} // namespace galenaroute
