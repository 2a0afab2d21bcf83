#include "process/CrashExchange.h"

#include "process/ErrorKind.h"
#include "process/GossipMessages.h"
#include "process/Log.h"
#include "process/Rendezvous.h"

#include <algorithm>
#include <charconv>

namespace galenaroute {

using nlohmann::json;

/// Entries that combine the crash reports of a content. With three, one may be
/// dead and another one unreachable.
static constexpr std::size_t Aggregators = 3;
/// Contents with this many crashes are broadcast. Harmless calls that were
/// running during a crash seldom see a second one.
static constexpr std::size_t CrashesToBroadcast = 2;
/// Contents with this many crashes are persisted, so that the count of a call
/// does not restart at zero each time that all entries are killed.
static constexpr std::size_t CrashesToPersist = CrashesToBroadcast;
/// One crash of an upstream breaks several calls within this time; their
/// reports are sent in one message.
static constexpr auto FlushDelay = std::chrono::milliseconds(20);
/// About 120 bytes each.
static constexpr std::size_t MaxReportsPerRound = 16;
/// Keeps a message below EntryChannel::MaxBytes.
static constexpr std::size_t MaxReportsPerMessage = 64;
/// Contents persisted on the platform, about 150 bytes each.
static constexpr std::size_t MaxStored = 32;
/// A suspect content is written after one to one and a half times this delay.
/// One crash makes several contents suspect, with different aggregators, and
/// most of them are cleared soon.
static constexpr Duration PersistDelay = std::chrono::milliseconds(300);
/// Between attempts after the platform did not answer or a concurrent write
/// won.
static constexpr Duration SyncRetry = std::chrono::milliseconds(500);
/// Between reads while this entry is isolated.
static constexpr auto IsolatedReadPeriod = std::chrono::seconds(1);

static const ObjectKey &storedKey() {
  static const ObjectKey Key{"crashing-contents", "recent"};
  return Key;
}

CrashExchange::CrashExchange(CrashExchangeParts Parts)
    : Parts(std::move(Parts)) {}

CrashExchange::~CrashExchange() {
  this->FlushTimer.disconnect();
  this->SyncTimer.disconnect();
}

void CrashExchange::start() { this->sync(); }

void CrashExchange::publish(std::uint64_t Content, std::size_t Cleared) {
  this->Pending[Content] |= Cleared >= CrashesToBroadcast;
  this->persistIfSuspect(Content);
  this->removeIfCleared(Content);
  if (this->FlushTimer.empty())
    this->FlushTimer =
        this->Parts.Loop.timers().after(FlushDelay, [this] { this->flush(); });
}

/// Returns the aggregators of \p Content other than this entry.
std::vector<SocketAddress>
CrashExchange::aggregatorsOf(std::uint64_t Content) const {
  const std::string Key = contentName(Content);
  std::vector<std::pair<std::uint64_t, SocketAddress>> All;
  this->Parts.Entries.forEachAlive(
      EventLoop::now(), [&](const EntryRecord &Each) {
        All.emplace_back(rendezvousWeight(Key, Each.Id), Each.Gossip);
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

bool CrashExchange::isAggregatorOf(std::uint64_t Content) const {
  std::vector<std::string_view> Others;
  this->Parts.Entries.forEachAlive(
      EventLoop::now(),
      [&](const EntryRecord &Each) { Others.emplace_back(Each.Id); });
  return isAmongFirst(contentName(Content), this->Parts.Entries.self().Id,
                      Aggregators, Others,
                      [](std::string_view Id) { return Id; });
}

/// Returns reports on at most \p Limit contents with at least \p MinCrashes
/// crashes.
std::vector<CrashReport>
CrashExchange::suspectReports(std::size_t MinCrashes, std::size_t Limit) const {
  const TimePoint Now = EventLoop::now();
  std::vector<CrashReport> Reports;
  for (const std::uint64_t Each :
       suspectContents(this->Parts.Record, MinCrashes, Limit))
    Reports.push_back(crashReport(this->Parts.Record, Each, Now));
  return Reports;
}

static void send(const CrashExchangeParts &Parts, const SocketAddress &To,
                 std::span<const CrashReport> Reports) {
  for (; !Reports.empty(); Reports = Reports.subspan(
                               std::min(Reports.size(), MaxReportsPerMessage)))
    Parts.Send(
        To, encodeGossip(
                {.Crashes = {Reports.begin(),
                             Reports.begin() +
                                 static_cast<std::ptrdiff_t>(std::min(
                                     Reports.size(), MaxReportsPerMessage))}}));
}

void CrashExchange::flush() {
  this->FlushTimer.disconnect();
  const TimePoint Now = EventLoop::now();
  std::map<SocketAddress, std::vector<CrashReport>> Messages;
  std::vector<CrashReport> ForAll;
  for (const auto &[Content, ToAll] : this->Pending) {
    CrashReport Report = crashReport(this->Parts.Record, Content, Now);
    if (ToAll || Report.Observations.size() >= CrashesToBroadcast)
      ForAll.push_back(std::move(Report));
    else
      for (const SocketAddress &To : this->aggregatorsOf(Content))
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
  const TimePoint Now = EventLoop::now();
  for (const CrashReport &Each : Reports) {
    if (!mergeReport(this->Parts.Record, Each, Now))
      continue;
    const std::size_t Crashes = crashCount(this->Parts.Record, Each.Content);
    if (Crashes >= CrashesToBroadcast)
      log(LogLevel::Warn, "content.told",
          {{"content", contentName(Each.Content)},
           {"crashes", std::to_string(Crashes)},
           {"told", std::to_string(Each.Observations.size())}});
    // The sender has broadcast what it knows; this entry sends what goes beyond
    // that.
    if (Crashes > Each.Observations.size())
      this->publish(Each.Content);
    else
      this->persistIfSuspect(Each.Content);
    this->removeIfCleared(Each.Content);
  }
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

/// Has the aggregators persist a content once it has crashed several upstreams,
/// and again once it is refused.
void CrashExchange::persistIfSuspect(std::uint64_t Content) {
  const std::size_t Crashes = crashCount(this->Parts.Record, Content);
  const bool IsSuspect =
      Crashes >= CrashesToPersist && this->Persisted.insert(Content).second;
  const bool IsRefused =
      Crashes >= MaxCrashes && this->LoggedRefusals.insert(Content).second;
  if (IsRefused)
    log(LogLevel::Warn, "content.refused",
        {{"content", contentName(Content)},
         {"crashes", std::to_string(Crashes)}});
  if ((!IsRefused && !IsSuspect) || !this->isAggregatorOf(Content))
    return;
  this->IsWritePending = true;
  if (IsRefused)
    this->sync();
  else
    this->syncLater(PersistDelay);
}

/// Removes a content from the platform after a success has cleared it.
void CrashExchange::removeIfCleared(std::uint64_t Content) {
  if (crashCount(this->Parts.Record, Content) >= CrashesToPersist ||
      this->Persisted.erase(Content) == 0)
    return;
  log(LogLevel::Info, "content.cleared", {{"content", contentName(Content)}});
  if (!this->isAggregatorOf(Content))
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

/// Reads the persisted contents, and writes them back if there is a change.
void CrashExchange::sync() {
  this->SyncTimer.disconnect();
  if (this->IsSyncing)
    return;
  this->IsSyncing = true;
  this->SyncedAt = EventLoop::now();
  this->Parts.Api.get(storedKey(), [this, Alive = std::weak_ptr(this->Alive)](
                                       const PlatformResult &Result) {
    if (!Alive.expired())
      this->onStored(Result);
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
          {contentName(Seen.Upstream), WallMs - Seen.Age.count()});
    Result.push_back({contentName(Each.Content), std::move(Observations)});
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
    Report.Content = hashFromText(Each.at(0));
    for (const json &Seen : Each.at(1))
      Report.Observations.push_back(
          {hashFromText(Seen.at(0)),
           Milliseconds(WallMs - Seen.at(1).get<std::int64_t>())});
    Result.push_back(std::move(Report));
  }
  return Result;
}

void CrashExchange::onStored(const PlatformResult &Result) {
  this->IsSyncing = false;
  if (Result.Status != PlatformStatus::Ok &&
      Result.Status != PlatformStatus::NotFound) {
    this->syncLater(SyncRetry);
    return;
  }
  // Number of stored crashes by content.
  std::map<std::uint64_t, std::size_t> Stored;
  if (Result.Status == PlatformStatus::Ok)
    try {
      for (const CrashReport &Each :
           fromStored(Result.Object.Value, wallMilliseconds())) {
        Stored[Each.Content] = Each.Observations.size();
        this->restore(Each);
      }
    } catch (const std::exception &Failure) {
      // The next write replaces the malformed object.
      log(LogLevel::Warn, "content.stored_malformed",
          {{"message", Failure.what()}});
    }
  if (!this->IsWritePending)
    return;
  this->IsWritePending = false;
  const std::vector<CrashReport> Reports =
      this->suspectReports(CrashesToPersist, MaxStored);
  std::map<std::uint64_t, std::size_t> Wanted;
  for (const CrashReport &Each : Reports)
    Wanted[Each.Content] = Each.Observations.size();
  // Another aggregator may have written the same.
  if (Wanted != Stored)
    this->write(Reports, Result.Status == PlatformStatus::Ok
                             ? Result.Object.Version
                             : Platform::MustNotExist);
}

/// Merges a stored content. Crashes that this entry knows of are left out: the
/// writer's clock may differ, so that a crash would count twice.
void CrashExchange::restore(CrashReport Stored) {
  const CrashReport Known =
      crashReport(this->Parts.Record, Stored.Content, EventLoop::now());
  std::erase_if(Stored.Observations, [&](const CrashReport::Observation &Each) {
    return std::any_of(Known.Observations.begin(), Known.Observations.end(),
                       [&](const CrashReport::Observation &Own) {
                         return Own.Upstream == Each.Upstream;
                       });
  });
  if (!mergeReport(this->Parts.Record, Stored, EventLoop::now()))
    return;
  this->Persisted.insert(Stored.Content);
  log(LogLevel::Warn, "content.restored",
      {{"content", contentName(Stored.Content)},
       {"crashes",
        std::to_string(crashCount(this->Parts.Record, Stored.Content))}});
}

void CrashExchange::write(std::span<const CrashReport> Reports,
                          std::uint64_t IfVersion) {
  this->IsSyncing = true;
  this->Parts.Api.put(
      storedKey(), toStored(Reports, wallMilliseconds()), IfVersion,
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
