#include "process/CrashExchange.h"

#include "process/ErrorKind.h"
#include "process/GossipMessages.h"
#include "process/Log.h"
#include "process/Rendezvous.h"

#include <algorithm>
#include <charconv>

namespace galenaroute {

using nlohmann::json;

/// Entries that put together the crashes of a content. With three, one may die
/// and one may be cut off.
static constexpr std::size_t Keepers = 3;
/// Contents with this many crashes are told to all. Sound calls that were
/// running at a crash seldom see a second one.
static constexpr std::size_t CrashesToTellAll = 2;
/// Contents with this many crashes are kept on the platform, so that a call
/// does not begin anew each time that all entries are killed.
static constexpr std::size_t CrashesToKeep = CrashesToTellAll;
/// Crashes of one upstream break several calls within this time; they go in one
/// message.
static constexpr auto FlushDelay = std::chrono::milliseconds(20);
/// In one message of a round, about 120 bytes each.
static constexpr std::size_t MaxNewsOfRound = 16;
/// In any message, so that it stays below EntryChannel::MaxBytes.
static constexpr std::size_t MaxNews = 64;
/// Kept on the platform; about 150 bytes each.
static constexpr std::size_t MaxStored = 32;
/// A content that is only suspect is written this much later, and up to half as
/// long again: one crash makes several contents suspect, which have different
/// keepers, and most of them are cleared soon.
static constexpr Duration KeepDelay = std::chrono::milliseconds(300);
/// Between attempts while the platform does not answer or another entry has
/// written meanwhile.
static constexpr Duration SyncRetry = std::chrono::milliseconds(500);
/// Between reads while this entry is cut off from the others.
static constexpr auto CutOffPeriod = std::chrono::seconds(1);

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

void CrashExchange::tell(std::uint64_t Content, std::size_t Cleared) {
  this->Pending[Content] |= Cleared >= CrashesToTellAll;
  this->keepIfSuspect(Content);
  this->withdrawIfCleared(Content);
  if (this->FlushTimer.empty())
    this->FlushTimer =
        this->Parts.Loop.timers().after(FlushDelay, [this] { this->flush(); });
}

/// Returns the keepers of \p Content other than this entry.
std::vector<SocketAddress>
CrashExchange::keepersOf(std::uint64_t Content) const {
  const std::string Key = contentName(Content);
  std::vector<std::pair<std::uint64_t, SocketAddress>> All;
  this->Parts.Entries.forEachAlive(
      EventLoop::now(), [&](const EntryNews &Each) {
        All.emplace_back(rendezvousWeight(Key, Each.Id), Each.Gossip);
      });
  const std::size_t Count = std::min(All.size(), Keepers);
  std::partial_sort(
      All.begin(), All.begin() + static_cast<std::ptrdiff_t>(Count), All.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  std::vector<SocketAddress> Result;
  for (std::size_t I = 0; I < Count; ++I)
    Result.push_back(All[I].second);
  return Result;
}

bool CrashExchange::isKeeperOf(std::uint64_t Content) const {
  std::vector<std::string_view> Others;
  this->Parts.Entries.forEachAlive(
      EventLoop::now(),
      [&](const EntryNews &Each) { Others.emplace_back(Each.Id); });
  return isAmongFirst(contentName(Content), this->Parts.Entries.self().Id,
                      Keepers, Others, [](std::string_view Id) { return Id; });
}

/// Returns what is known of contents with at least \p Least crashes, at most
/// \p Limit of them.
std::vector<CrashReport> CrashExchange::suspectNews(std::size_t Least,
                                                    std::size_t Limit) const {
  const TimePoint Now = EventLoop::now();
  std::vector<CrashReport> News;
  for (const std::uint64_t Each :
       suspectContents(this->Parts.Record, Least, Limit))
    News.push_back(crashReport(this->Parts.Record, Each, Now));
  return News;
}

static void send(const CrashExchangeParts &Parts, const SocketAddress &To,
                 std::span<const CrashReport> News) {
  for (; !News.empty(); News = News.subspan(std::min(News.size(), MaxNews)))
    Parts.Send(
        To, encodeGossip({.Crashes = {News.begin(),
                                      News.begin() +
                                          static_cast<std::ptrdiff_t>(std::min(
                                              News.size(), MaxNews))}}));
}

void CrashExchange::flush() {
  this->FlushTimer.disconnect();
  const TimePoint Now = EventLoop::now();
  std::map<SocketAddress, std::vector<CrashReport>> Messages;
  std::vector<CrashReport> ForAll;
  for (const auto &[Content, ToAll] : this->Pending) {
    CrashReport News = crashReport(this->Parts.Record, Content, Now);
    if (ToAll || News.Observations.size() >= CrashesToTellAll)
      ForAll.push_back(std::move(News));
    else
      for (const SocketAddress &To : this->keepersOf(Content))
        Messages[To].push_back(News);
  }
  this->Pending.clear();
  for (const auto &[To, News] : Messages)
    send(this->Parts, To, News);
  if (!ForAll.empty())
    this->Parts.Entries.forEachAlive(Now, [&](const EntryNews &Each) {
      send(this->Parts, Each.Gossip, ForAll);
    });
}

void CrashExchange::receive(std::span<const CrashReport> News) {
  const TimePoint Now = EventLoop::now();
  for (const CrashReport &Each : News) {
    if (!mergeReport(this->Parts.Record, Each, Now))
      continue;
    const std::size_t Crashes = crashCount(this->Parts.Record, Each.Content);
    if (Crashes >= CrashesToTellAll)
      log(LogLevel::Warn, "content.told",
          {{"content", contentName(Each.Content)},
           {"crashes", std::to_string(Crashes)},
           {"told", std::to_string(Each.Observations.size())}});
    // The sender has told everybody what it knows. What it did not know is
    // this entry's to tell.
    if (Crashes > Each.Observations.size())
      this->tell(Each.Content);
    else
      this->keepIfSuspect(Each.Content);
    this->withdrawIfCleared(Each.Content);
  }
}

void CrashExchange::round(std::span<const SocketAddress> Targets) {
  const TimePoint Now = EventLoop::now();
  expireCrashes(this->Parts.Record, Now);
  std::erase_if(this->Kept, [this](std::uint64_t Each) {
    return crashCount(this->Parts.Record, Each) < CrashesToKeep;
  });
  std::erase_if(this->Refused, [this](std::uint64_t Each) {
    return crashCount(this->Parts.Record, Each) < MaxCrashes;
  });
  if (this->isCutOff() && Now - this->SyncedAt >= CutOffPeriod)
    this->sync();
  const std::vector<CrashReport> News =
      this->suspectNews(CrashesToTellAll, MaxNewsOfRound);
  if (News.empty())
    return;
  for (const SocketAddress &To : Targets)
    send(this->Parts, To, News);
}

bool CrashExchange::isCutOff() const {
  const EntryGossip &Entries = this->Parts.Entries;
  return 2 * (Entries.countAlive(EventLoop::now()) + 1) <
         Entries.countKnown() + 1;
}

/// Has the keepers write a content to the platform when it has crashed several
/// upstreams, and again when it is refused.
void CrashExchange::keepIfSuspect(std::uint64_t Content) {
  const std::size_t Crashes = crashCount(this->Parts.Record, Content);
  const bool IsSuspect =
      Crashes >= CrashesToKeep && this->Kept.insert(Content).second;
  const bool IsRefused =
      Crashes >= MaxCrashes && this->Refused.insert(Content).second;
  if (IsRefused)
    log(LogLevel::Warn, "content.refused",
        {{"content", contentName(Content)},
         {"crashes", std::to_string(Crashes)}});
  if ((!IsRefused && !IsSuspect) || !this->isKeeperOf(Content))
    return;
  this->HasToWrite = true;
  if (IsRefused)
    this->sync();
  else
    this->syncLater(KeepDelay);
}

/// Has a content that has succeeded since removed from the platform.
void CrashExchange::withdrawIfCleared(std::uint64_t Content) {
  if (crashCount(this->Parts.Record, Content) >= CrashesToKeep ||
      this->Kept.erase(Content) == 0)
    return;
  log(LogLevel::Info, "content.cleared", {{"content", contentName(Content)}});
  if (!this->isKeeperOf(Content))
    return;
  this->HasToWrite = true;
  this->syncLater(KeepDelay);
}

/// Calls sync() after \p Delay or up to half as long again, unless a call is
/// due already.
void CrashExchange::syncLater(Duration Delay) {
  if (!this->SyncTimer.empty())
    return;
  std::uniform_real_distribution<double> Spread(1, 1.5);
  this->SyncTimer = this->Parts.Loop.timers().after(
      scaled(Delay, Spread(this->Random)), [this] { this->sync(); });
}

/// Reads what the platform keeps, and writes it if there is something to add.
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

/// Hashes go as text: not all readers of JSON keep 64 bits of a number.
static json toStored(std::span<const CrashReport> News, std::int64_t WallMs) {
  json Result = json::array();
  for (const CrashReport &Each : News) {
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
    throw Error(ErrorKind::BadRequest, "not a content: " + Text);
  return Value;
}

static std::vector<CrashReport> fromStored(const json &Value,
                                           std::int64_t WallMs) {
  std::vector<CrashReport> Result;
  for (const json &Each : Value) {
    CrashReport News;
    News.Content = hashFromText(Each.at(0));
    for (const json &Seen : Each.at(1))
      News.Observations.push_back(
          {hashFromText(Seen.at(0)),
           Milliseconds(WallMs - Seen.at(1).get<std::int64_t>())});
    Result.push_back(std::move(News));
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
  // How many crashes of each content are stored.
  std::map<std::uint64_t, std::size_t> Stored;
  if (Result.Status == PlatformStatus::Ok)
    try {
      for (const CrashReport &Each :
           fromStored(Result.Object.Value, wallMilliseconds())) {
        Stored[Each.Content] = Each.Observations.size();
        this->restore(Each);
      }
    } catch (const std::exception &Failure) {
      // Overwritten by the next content that is kept.
      log(LogLevel::Warn, "content.stored_malformed",
          {{"message", Failure.what()}});
    }
  if (!this->HasToWrite)
    return;
  this->HasToWrite = false;
  const std::vector<CrashReport> News =
      this->suspectNews(CrashesToKeep, MaxStored);
  std::map<std::uint64_t, std::size_t> Wanted;
  for (const CrashReport &Each : News)
    Wanted[Each.Content] = Each.Observations.size();
  // Another keeper may have written the same.
  if (Wanted != Stored)
    this->write(News, Result.Status == PlatformStatus::Ok
                          ? Result.Object.Version
                          : Platform::MustNotExist);
}

/// Takes in a content as it is stored. Crashes that this entry knows of are
/// left out: the writer's clock may differ, so that one would count twice.
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
  this->Kept.insert(Stored.Content);
  log(LogLevel::Warn, "content.restored",
      {{"content", contentName(Stored.Content)},
       {"crashes",
        std::to_string(crashCount(this->Parts.Record, Stored.Content))}});
}

void CrashExchange::write(std::span<const CrashReport> News,
                          std::uint64_t IfVersion) {
  this->IsSyncing = true;
  this->Parts.Api.put(
      storedKey(), toStored(News, wallMilliseconds()), IfVersion,
      [this,
       Alive = std::weak_ptr(this->Alive)](const PlatformResult &Written) {
        if (Alive.expired())
          return;
        this->IsSyncing = false;
        if (Written.Status == PlatformStatus::Ok) {
          if (this->HasToWrite)
            this->sync();
          return;
        }
        log(LogLevel::Info, "content.not_stored",
            {{"status", Written.Status == PlatformStatus::Conflict
                            ? "conflict"
                            : "no_answer"}});
        this->HasToWrite = true;
        this->syncLater(SyncRetry);
      });
}

} // namespace galenaroute
