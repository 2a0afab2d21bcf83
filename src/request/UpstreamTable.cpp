#include "request/UpstreamTable.h"

#include "process/Log.h"
#include "process/Rendezvous.h"
#include "request/CrashRecord.h"
#include "request/PromptReuse.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace galenaroute {

/// Maximum incarnations remembered as leaving or paused. A fleet of thousands
/// of upstreams replaces a few hundred a day.
static constexpr std::size_t MaxAnnouncements = 4096;
/// Maximum upstreams remembered that were removed without an announcement.
static constexpr std::size_t MaxLapsedUpstreams = 4096;

/// Minimum connections of a gateway to an upstream.
static constexpr std::size_t MinConnectionShare = 2;

std::size_t connectionShare(std::size_t MaxConnections,
                            std::size_t KnownGateways) {
  return std::max(MinConnectionShare, MaxConnections / KnownGateways);
}

UpstreamTable::UpstreamTable(UpstreamTableSettings Settings,
                             ConnectionCapacityOf CapacityOf)
    : Settings(std::move(Settings)), CapacityOf(std::move(CapacityOf)),
      Credits(stableHash(this->Settings.GatewayId)) {}

void UpstreamTable::put(const RegisteredUpstream &Upstream, TimePoint Now) {
  const auto It = this->Entries.find(Upstream.Id);
  const bool IsKnown = It != this->Entries.end();
  const bool IsRestarted =
      IsKnown && (It->second.Registered.BornMs != Upstream.BornMs ||
                  !(It->second.Registered.Address == Upstream.Address));
  if (IsRestarted)
    this->remove(Upstream.Id, Now);
  UpstreamEntry &Entry = this->Entries[Upstream.Id];
  const bool Changed =
      !IsKnown || IsRestarted ||
      Entry.Registered.IsLeaving != Upstream.IsLeaving ||
      Entry.Registered.SoftwareVersion != Upstream.SoftwareVersion ||
      Entry.Registered.WeightVersions != Upstream.WeightVersions;
  Entry.Registered = Upstream;
  Entry.Incarnation = incarnationKey(Upstream.Id, Upstream.BornMs);
  Entry.UseKey = useKey(Upstream.Id);
  Entry.MissingSince.reset();
  // A registry that was restored from a copy may list it as ready again.
  if (Upstream.IsLeaving && Upstream.BornMs != 0)
    this->announcementOf(Entry.Incarnation, Now).IsLeaving = true;
  const auto Known = this->Announcements.find(Entry.Incarnation);
  const Announcement Announced =
      Known == this->Announcements.end() ? Announcement{} : Known->second;
  Entry.AnnouncedLeaving = Announced.IsLeaving;
  Entry.PausedUntil = std::max(Entry.PausedUntil, Announced.PausedUntil);
  Entry.WarmUpEnd = Now + Upstream.WarmUp;
  if (!Upstream.WeightVersions.empty())
    Entry.WeightVersion = std::max(Upstream.WeightVersions.begin()->second,
                                   Entry.WeightVersion.value_or(0));
  if (Changed && this->Brittle.contains(Upstream.Service))
    this->updateAllowances(Upstream.Service);
  if (Changed)
    log(LogLevel::Info, "upstream.registered",
        {{"upstream", Upstream.Id},
         {"service", Upstream.Service},
         {"address", Upstream.Address.toString()},
         {"born_ms", std::to_string(Upstream.BornMs)},
         {"leaving", Upstream.IsLeaving ? "yes" : "no"},
         {"software", Upstream.SoftwareVersion},
         {"weights", std::to_string(Entry.WeightVersion.value_or(0))}});
  if (const auto Found = this->Lapsed.find(Upstream.Id);
      Found != this->Lapsed.end()) {
    const LapsedUpstream Before = Found->second;
    this->Lapsed.erase(Found);
    if (!IsKnown && Upstream.BornMs != 0 &&
        Before.Incarnation == Entry.Incarnation)
      this->OnReturned(Entry, Before.RemovedAt);
  }
}

void UpstreamTable::remove(std::string_view Id, TimePoint Now) {
  const auto It = this->Entries.find(Id);
  if (It == this->Entries.end())
    return;
  log(LogLevel::Info, "upstream.gone", {{"upstream", It->first}});
  const UpstreamEntry Removed = std::move(It->second);
  this->Entries.erase(It);
  this->OnUnavailable(Removed.Registered.Address);
  if (Removed.isLeaving())
    return;
  this->rememberLapsed(Removed, Now);
  this->OnUnexpectedEnd(Removed);
}

void UpstreamTable::retain(const std::set<std::string> &Ids, TimePoint Now) {
  for (auto &[Id, Entry] : this->Entries)
    if (!Ids.contains(Id) && !Entry.MissingSince)
      Entry.MissingSince = Now;
}

void UpstreamTable::expire(TimePoint Now) {
  std::vector<std::string> Expired;
  for (const auto &[Id, Entry] : this->Entries)
    if (Entry.MissingSince &&
        Now - *Entry.MissingSince > this->Settings.MissingRetention)
      Expired.push_back(Id);
  for (const std::string &Id : Expired)
    this->remove(Id, Now);
  std::vector<std::string> Forgotten;
  for (const auto &[Service, Statement] : this->Brittle)
    if (Statement && isForgotten(*Statement, Now, this->Settings.Brittle))
      Forgotten.push_back(Service);
  for (const std::string &Service : Forgotten)
    this->endBrittle(Service, "not_heard");
}

bool UpstreamTable::setEvacuated(std::string_view Zone, bool Evacuated) {
  const auto It = this->EvacuatedZones.find(Zone);
  const bool IsKnown = It != this->EvacuatedZones.end();
  if (IsKnown == Evacuated)
    return false;
  if (!Evacuated) {
    this->EvacuatedZones.erase(It);
    return true;
  }
  this->EvacuatedZones.emplace(Zone);
  for (const auto &[Id, Entry] : this->Entries)
    if (Entry.Registered.Zone == Zone)
      this->OnUnavailable(Entry.Registered.Address);
  return true;
}

bool UpstreamTable::isServiceEvacuated(std::string_view Service) const {
  if (this->EvacuatedZones.empty())
    return false;
  bool HasUpstreams = false;
  for (const auto &[Id, Entry] : this->Entries) {
    if (Entry.Registered.Service != Service || Entry.isLeaving())
      continue;
    if (!this->isEvacuated(Entry))
      return false;
    HasUpstreams = true;
  }
  return HasUpstreams;
}

bool UpstreamTable::hasSoftware(std::string_view Service,
                                std::string_view Version) const {
  return std::any_of(this->Entries.begin(), this->Entries.end(),
                     [&](const auto &Each) {
                       const UpstreamEntry &Entry = Each.second;
                       return Entry.Registered.Service == Service &&
                              Entry.Registered.SoftwareVersion == Version &&
                              !Entry.isLeaving() && !this->isEvacuated(Entry);
                     });
}

const UpstreamEntry *UpstreamTable::find(std::string_view Id) const {
  const auto It = this->Entries.find(Id);
  return It == this->Entries.end() ? nullptr : &It->second;
}

UpstreamEntry *UpstreamTable::findMutable(std::string_view Id) {
  const auto It = this->Entries.find(Id);
  return It == this->Entries.end() ? nullptr : &It->second;
}

double UpstreamTable::failureScore(const UpstreamEntry &Entry,
                                   TimePoint Now) const {
  if (Entry.FailureScore <= 0)
    return 0;
  return Entry.FailureScore *
         std::exp2(-toSeconds(Now - Entry.FailureAt) /
                   toSeconds(this->Settings.FailureHalfLife));
}

bool UpstreamTable::isEligible(const UpstreamEntry &Entry,
                               const UpstreamQuery &Query,
                               TimePoint Now) const {
  if (Entry.Registered.Service != Query.Service || Entry.isLeaving() ||
      this->isEvacuated(Entry) || Now < Entry.SuspendedUntil ||
      Now < Entry.PausedUntil)
    return false;
  if (Entry.WeightVersion && *Entry.WeightVersion < Query.MinWeightVersion)
    return false;
  if (Query.SoftwareVersion &&
      Entry.Registered.SoftwareVersion != *Query.SoftwareVersion)
    return false;
  if (std::find(Query.ExcludedSoftware.begin(), Query.ExcludedSoftware.end(),
                Entry.Registered.SoftwareVersion) !=
      Query.ExcludedSoftware.end())
    return false;
  return std::find(Query.Excluded.begin(), Query.Excluded.end(),
                   Entry.Registered.Id) == Query.Excluded.end();
}

std::optional<UpstreamUse>
UpstreamTable::peerUseAt(const UpstreamEntry &Entry) const {
  const std::size_t Reporting = this->PeerUse.gatewayCount();
  if (Reporting == 0 || this->GatewayCount < 2)
    return std::nullopt;
  UpstreamUse Result = this->PeerUse.of(Entry.UseKey);
  // Gateways without a report are assumed to send as much as the others.
  const double Scale =
      std::max(1.0, static_cast<double>(this->GatewayCount - 1) /
                        static_cast<double>(Reporting));
  const auto Scaled = [Scale](std::uint64_t Value) {
    return static_cast<std::uint64_t>(static_cast<double>(Value) * Scale);
  };
  Result.Calls = Scaled(Result.Calls);
  Result.Tokens = Scaled(Result.Tokens);
  Result.TokensAhead = Scaled(Result.TokensAhead);
  for (std::uint64_t &Each : Result.ClassCalls)
    Each = Scaled(Each);
  return Result;
}

std::uint64_t UpstreamTable::totalCallsAt(const UpstreamEntry &Entry) const {
  const auto PeerUse = this->peerUseAt(Entry);
  return static_cast<std::uint64_t>(Entry.OwnCalls) +
         (PeerUse ? PeerUse->Calls : 0);
}

/// Returns the calls at an engine. Without reports of the other gateways, these
/// are the own calls and those in a recent load report.
EngineCalls UpstreamTable::callsAt(const UpstreamEntry &Entry,
                                   const std::optional<UpstreamUse> &PeerUse,
                                   TimePoint Now) const {
  EngineCalls Result;
  Result.Slots = Entry.Registered.Slots;
  Result.Calls = static_cast<std::uint64_t>(Entry.OwnCalls);
  if (PeerUse)
    Result.Calls += PeerUse->Calls;
  else if (Entry.Load && Now - Entry.ReportedAt < this->Settings.MaxReportAge)
    Result.Calls =
        std::max(Result.Calls, static_cast<std::uint64_t>(Entry.Load->Running +
                                                          Entry.Load->Waiting));
  std::uint64_t Left = Result.Calls;
  for (std::size_t I = 0; I < ReportedClasses; ++I) {
    const std::uint64_t Reported =
        static_cast<std::uint64_t>(Entry.OwnClassCalls[I]) +
        (PeerUse ? PeerUse->ClassCalls[I] : 0);
    Result.ClassCalls[I] = std::min(Left, Reported);
    Left -= Result.ClassCalls[I];
  }
  Result.ClassCalls.back() = Left;
  return Result;
}

RoomEstimate &UpstreamTable::mutableEstimate(std::string_view Service) {
  const auto Found = this->Estimates.find(Service);
  return Found != this->Estimates.end() ? Found->second
                                        : this->Estimates[std::string(Service)];
}

const RoomEstimate &UpstreamTable::estimateOf(std::string_view Service) const {
  static const RoomEstimate Initial;
  const auto Found = this->Estimates.find(Service);
  return Found == this->Estimates.end() ? Initial : Found->second;
}

void UpstreamTable::noteWanted(const UpstreamQuery &Query, TimePoint Now) {
  if (!Query.Class)
    return;
  RoomEstimate &Estimate = this->mutableEstimate(Query.Service);
  Estimate.WantedAt[*Query.Class] = Now;
  Estimate.EngineTokens = Query.EngineTokens;
}

void UpstreamTable::noteCallTime(std::string_view Service, std::size_t Class,
                                 Duration Elapsed) {
  galenaroute::noteCallTime(this->mutableEstimate(Service), Class, Elapsed);
}

/// Adds the calls of this gateway at an engine to \p Sum.
static void addOwnCalls(ByClass<std::uint64_t> &Sum,
                        const UpstreamEntry &Entry) {
  int Left = Entry.OwnCalls;
  for (std::size_t I = 0; I < ReportedClasses; ++I) {
    Sum[I] += static_cast<std::uint64_t>(Entry.OwnClassCalls[I]);
    Left -= Entry.OwnClassCalls[I];
  }
  Sum.back() += static_cast<std::uint64_t>(std::max(0, Left));
}

void UpstreamTable::updateEstimates(TimePoint Now) {
  const bool HearsOthers = this->PeerUse.gatewayCount() > 0;
  for (auto &[Service, Estimate] : this->Estimates) {
    FleetUse Sum;
    ByClass<std::uint64_t> OwnCalls{};
    FreeRoom Free;
    for (const auto &[Id, Entry] : this->Entries) {
      if (Entry.Registered.Service != Service || Entry.isLeaving() ||
          this->isEvacuated(Entry))
        continue;
      const auto PeerUse = this->peerUseAt(Entry);
      const EngineCalls Calls = this->callsAt(Entry, PeerUse, Now);
      std::optional<std::uint64_t> TokensFree;
      if (Estimate.EngineTokens > 0 && PeerUse) {
        const auto Usable = static_cast<std::uint64_t>(
            static_cast<double>(Estimate.EngineTokens) *
            this->Settings.MaxMemoryUse);
        TokensFree =
            Usable - std::min(Usable, Entry.OwnTokens + PeerUse->Tokens);
      }
      addFreeRoom(Free, Estimate, Calls, TokensFree, Now, this->Settings.Room);
      if (Now < Entry.PausedUntil || Now < Entry.SuspendedUntil)
        continue;
      Sum.Slots += static_cast<std::uint64_t>(Calls.Slots);
      ++Sum.Engines;
      for (std::size_t I = 0; I < PriorityClasses; ++I)
        Sum.ClassCalls[I] += Calls.ClassCalls[I];
      addOwnCalls(OwnCalls, Entry);
    }
    noteFleetUse(Estimate, Sum, Now, this->Settings.Room);
    // Without reports, the others are assumed to have as many calls in flight.
    if (!HearsOthers)
      for (std::size_t I = 0; I < PriorityClasses; ++I)
        Estimate.Latest.ClassCalls[I] = OwnCalls[I] * this->GatewayCount;
    refillBudgets(Estimate, Free, this->GatewayCount);
  }
}

ServiceSlots UpstreamTable::slotsOf(std::string_view Service) const {
  const RoomEstimate &Estimate = this->estimateOf(Service);
  const FleetUse &Use = Estimate.Latest;
  ServiceSlots Result{.Slots = Use.Slots,
                      .ClassCalls = Use.ClassCalls,
                      .Gateways = this->GatewayCount,
                      .At = Estimate.UpdatedAt};
  const double EngineTokens =
      static_cast<double>(Estimate.EngineTokens) * this->Settings.MaxMemoryUse;
  for (std::size_t I = 0; I < PriorityClasses; ++I)
    if (Estimate.TokensPerCall[I] > 0)
      Result.MemoryCalls[I] =
          Use.Engines *
          static_cast<std::uint64_t>(EngineTokens / Estimate.TokensPerCall[I]);
  return Result;
}

Duration UpstreamTable::slotTime(std::string_view Service, std::size_t Class,
                                 Duration Default) const {
  const double Seconds = this->estimateOf(Service).SecondsPerCall[Class];
  return Seconds > 0 ? fromSeconds(Seconds) : Default;
}

void UpstreamTable::noteStandstill() {
  for (auto &[Service, Estimate] : this->Estimates)
    resetEstimate(Estimate);
}

std::vector<UseItem> UpstreamTable::ownUse() const {
  std::vector<UseItem> Result;
  for (const auto &[Id, Entry] : this->Entries)
    if (Entry.WeightVersion && Entry.OwnCalls > 0)
      Result.push_back(this->ownUseOf(Entry));
  return Result;
}

UseItem UpstreamTable::ownUseOf(const UpstreamEntry &Entry) const {
  UseItem Result{Entry.UseKey,
                 {static_cast<std::uint64_t>(Entry.OwnCalls), Entry.OwnTokens,
                  Entry.TokensAhead}};
  for (std::size_t I = 0; I < ReportedClasses; ++I)
    Result.Use.ClassCalls[I] =
        static_cast<std::uint64_t>(Entry.OwnClassCalls[I]);
  return Result;
}

void UpstreamTable::noteSent(std::string_view Id, std::uint32_t PromptTokens,
                             std::uint32_t CallTokens,
                             std::optional<std::size_t> Class) {
  if (UpstreamEntry *Entry = this->findMutable(Id)) {
    ++Entry->OwnCalls;
    Entry->TokensAhead += PromptTokens;
    Entry->OwnTokens += CallTokens;
    if (Class && *Class < ReportedClasses)
      ++Entry->OwnClassCalls[*Class];
    if (Class) {
      RoomEstimate &Estimate = this->mutableEstimate(Entry->Registered.Service);
      noteCallTokens(Estimate, *Class, CallTokens);
      spendBudget(Estimate, *Class);
    }
  }
}

void UpstreamTable::notePrefillEnded(std::string_view Id,
                                     std::uint32_t PromptTokens) {
  if (UpstreamEntry *Entry = this->findMutable(Id))
    Entry->TokensAhead -=
        std::min<std::uint64_t>(Entry->TokensAhead, PromptTokens);
}

void UpstreamTable::noteParts(std::string_view Id, const UpstreamQuery &Query) {
  UpstreamEntry *Entry = this->findMutable(Id);
  if (!Entry || Query.Parts.empty())
    return;
  const std::string Scope = Query.ScopeOf(Entry->WeightVersion.value_or(0));
  for (const PromptPart &Part : Query.Parts)
    Entry->Memory.touch(partKey(Scope, Part.Id), Part.Tokens,
                        Query.MemoryTokens);
}

void UpstreamTable::suspendUntil(std::string_view Id, TimePoint Until) {
  if (UpstreamEntry *Entry = this->findMutable(Id))
    Entry->SuspendedUntil = std::max(Entry->SuspendedUntil, Until);
}

void UpstreamTable::notePaused(std::string_view Id, std::uint64_t Incarnation,
                               TimePoint Until, TimePoint Now) {
  Announcement &Announced = this->announcementOf(Incarnation, Now);
  if (Until <= Announced.PausedUntil)
    return;
  Announced.PausedUntil = Until;
  if (UpstreamEntry *Entry = this->findMutable(Id);
      Entry && Entry->Incarnation == Incarnation)
    Entry->PausedUntil = Until;
  log(LogLevel::Info, "upstream.paused",
      {{"upstream", std::string(Id)},
       {"for_ms", std::to_string(toMilliseconds(Until - Now))}});
}

void UpstreamTable::rememberLapsed(const UpstreamEntry &Upstream,
                                   TimePoint Now) {
  if (this->Lapsed.size() >= MaxLapsedUpstreams)
    this->Lapsed.erase(
        std::min_element(this->Lapsed.begin(), this->Lapsed.end(),
                         [](const auto &A, const auto &B) {
                           return A.second.RemovedAt < B.second.RemovedAt;
                         }));
  this->Lapsed[Upstream.Registered.Id] = {Upstream.Incarnation, Now};
}

/// Returns what is remembered of an incarnation. Makes room for a new one by
/// removing backoffs that have ended, or else the oldest announcement.
UpstreamTable::Announcement &
UpstreamTable::announcementOf(std::uint64_t Incarnation, TimePoint Now) {
  const auto Found = this->Announcements.find(Incarnation);
  if (Found != this->Announcements.end()) {
    Found->second.NotedAt = Now;
    return Found->second;
  }
  if (this->Announcements.size() >= MaxAnnouncements)
    std::erase_if(this->Announcements, [Now](const auto &Each) {
      return !Each.second.IsLeaving && Each.second.PausedUntil <= Now;
    });
  if (this->Announcements.size() >= MaxAnnouncements)
    this->Announcements.erase(
        std::min_element(this->Announcements.begin(), this->Announcements.end(),
                         [](const auto &A, const auto &B) {
                           return A.second.NotedAt < B.second.NotedAt;
                         }));
  Announcement &Added = this->Announcements[Incarnation];
  Added.NotedAt = Now;
  return Added;
}

void UpstreamTable::noteLeaving(std::string_view Id, std::uint64_t Incarnation,
                                TimePoint Now) {
  Announcement &Announced = this->announcementOf(Incarnation, Now);
  if (std::exchange(Announced.IsLeaving, true))
    return;
  UpstreamEntry *Entry = this->findMutable(Id);
  const bool IsRegistered = Entry && Entry->Incarnation == Incarnation;
  log(LogLevel::Info, "upstream.leaving",
      {{"upstream", std::string(Id)},
       {"born_ms",
        IsRegistered ? std::to_string(Entry->Registered.BornMs) : "-"}});
  if (!IsRegistered)
    return;
  Entry->AnnouncedLeaving = true;
  this->OnUnavailable(Entry->Registered.Address);
}

std::optional<TimePoint>
UpstreamTable::availableAt(std::string_view Service) const {
  std::optional<TimePoint> First;
  for (const auto &[Id, Entry] : this->Entries) {
    if (Entry.Registered.Service != Service || Entry.isLeaving() ||
        this->isEvacuated(Entry))
      continue;
    const TimePoint At =
        std::max(Entry.PausedUntil, this->PermissionOf(Entry).ExpectedAt);
    if (!First || At < *First)
      First = At;
    // Shortcut for the common case without a backoff; every call comes here.
    if (*First == TimePoint{})
      break;
  }
  return First;
}

void UpstreamTable::noteEnded(std::string_view Id, std::uint32_t CallTokens,
                              std::optional<std::size_t> Class) {
  UpstreamEntry *Entry = this->findMutable(Id);
  if (!Entry)
    return;
  Entry->OwnCalls = std::max(0, Entry->OwnCalls - 1);
  Entry->OwnTokens -= std::min<std::uint64_t>(Entry->OwnTokens, CallTokens);
  if (Class && *Class < ReportedClasses)
    Entry->OwnClassCalls[*Class] =
        std::max(0, Entry->OwnClassCalls[*Class] - 1);
  if (Class)
    returnBudget(this->mutableEstimate(Entry->Registered.Service), *Class);
}

void UpstreamTable::noteLoad(std::string_view Id, const UpstreamLoad &Load,
                             TimePoint Now) {
  UpstreamEntry *Entry = this->findMutable(Id);
  if (!Entry)
    return;
  Entry->Load = Load;
  Entry->OwnCallsAtReport = Entry->OwnCalls;
  Entry->ReportedAt = Now;
}

void UpstreamTable::noteFailure(std::string_view Id, double Weight,
                                TimePoint Now) {
  UpstreamEntry *Entry = this->findMutable(Id);
  if (!Entry)
    return;
  Entry->FailureScore = std::min(this->failureScore(*Entry, Now) + Weight,
                                 this->Settings.MaxFailureScore);
  Entry->FailureAt = Now;
}

void UpstreamTable::clearFailures(std::string_view Service) {
  for (auto &[Id, Entry] : this->Entries)
    if (Entry.Registered.Service == Service)
      Entry.FailureScore = 0;
}

void UpstreamTable::noteProgress(std::string_view Id, TimePoint Now) {
  if (UpstreamEntry *Entry = this->findMutable(Id))
    Entry->ProgressAt = Now;
}

void UpstreamTable::noteHeard(std::string_view Id, TimePoint Now) {
  if (UpstreamEntry *Entry = this->findMutable(Id))
    Entry->HeardAt = Now;
}

void UpstreamTable::noteSuccess(std::string_view Id) {
  if (UpstreamEntry *Entry = this->findMutable(Id))
    Entry->FailureScore /= 2;
}

void UpstreamTable::noteWeights(std::string_view Id, std::uint64_t Version) {
  UpstreamEntry *Entry = this->findMutable(Id);
  if (!Entry || (Entry->WeightVersion && *Entry->WeightVersion >= Version))
    return;
  Entry->WeightVersion = Version;
  log(LogLevel::Info, "upstream.weights",
      {{"upstream", Entry->Registered.Id},
       {"weights", std::to_string(Version)}});
}

} // namespace galenaroute
