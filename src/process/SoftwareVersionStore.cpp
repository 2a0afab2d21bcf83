#include "process/SoftwareVersionStore.h"

#include "process/Log.h"
#include "request/StreamOrigins.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace galenaroute {

using nlohmann::json;

static constexpr std::string_view StoredKind = "software-versions";
/// Of a platform that was never restored.
static constexpr std::uint64_t FirstEra = 1;
static constexpr Duration UpdatePeriod = std::chrono::milliseconds(100);
/// Each refresh gives up a watch that waits at the platform.
static constexpr Duration RefreshInterval =
    SoftwareVersions::MaxUnsettledViewAge;
/// A refresh is not given up for another one within this time, so that the view
/// is confirmed also while the platform answers slowly.
static constexpr Duration MaxRefreshTime = std::chrono::milliseconds(800);
/// Objects that were not written for so long belong to eras that are gone.
static constexpr std::int64_t MaxObjectAgeMs = 600'000;

SoftwareVersionStore::SoftwareVersionStore(SoftwareVersionStoreParts Given)
    : Parts(std::move(Given)),
      Watcher(
          this->Parts.Loop, this->Parts.Api, std::string(StoredKind), {},
          {.OnObject =
               [this](const PlatformObject &Object) { this->onObject(Object); },
           .OnListed = [this](const auto &) { this->tick(); }}) {}

SoftwareVersionStore::~SoftwareVersionStore() { this->Timer.disconnect(); }

VersionClocks SoftwareVersionStore::clocks() const {
  return {.Now = EventLoop::now(),
          .Boot = BootClock::now(),
          .WallMs = wallMilliseconds(),
          .MaxClockError = this->Parts.MaxClockError};
}

void SoftwareVersionStore::start() {
  this->Watcher.start();
  this->Timer =
      this->Parts.Loop.timers().every(UpdatePeriod, [this] { this->tick(); });
}

void SoftwareVersionStore::setServices(
    std::set<std::set<std::string>> PerRoute) {
  this->Groups = std::move(PerRoute);
  this->tick();
}

void SoftwareVersionStore::tick() {
  const TimePoint Now = EventLoop::now();
  for (const auto &[Name, Versions] : this->Parts.RegisteredVersions())
    for (const std::string &Each : Versions)
      noteRegistered(this->Services[Name].Versions, Each, Now);
  bool HasSettled = false;
  for (auto &[Name, Each] : this->Services) {
    HasSettled |= updateSettled(Each.Versions, this->clocks());
    this->update(Name, Each);
  }
  if (HasSettled)
    this->Settled.emit();
}

void SoftwareVersionStore::noteUpstream(const std::string &Name,
                                        const std::string &Version) {
  Service &Of = this->Services[Name];
  const bool IsKnown = Of.Versions.KnownSince.contains(Version);
  noteRegistered(Of.Versions, Version, EventLoop::now());
  if (!IsKnown)
    this->update(Name, Of);
}

/// Updates what follows from the versions of a service, and stores them.
void SoftwareVersionStore::update(const std::string &Name, Service &Of) {
  Of.Unsettled.clear();
  for (const std::string &Each : knownVersions(Of.Versions))
    if (!mayBeginStream(Of.Versions, Each))
      Of.Unsettled.push_back(Each);
  this->store(Name, Of);
}

void SoftwareVersionStore::noteEarlierSet(
    const std::string &Name, const std::set<std::string> &Versions) {
  Service &Of = this->Services[Name];
  if (!Of.WasStored)
    galenaroute::noteEarlierSet(Of.Versions, Versions, EventLoop::now());
}

void SoftwareVersionStore::onEraChanged() {
  for (auto &[Name, Each] : this->Services) {
    dropStored(Each.Versions);
    Each.Revision = Platform::MustNotExist;
  }
}

void SoftwareVersionStore::refresh() {
  const BootTime Now = BootClock::now();
  const auto Until = this->Watcher.ownCompleteUntil();
  const bool IsAnswered =
      Until && this->RefreshedAt && *Until >= *this->RefreshedAt;
  const Duration Interval = IsAnswered ? RefreshInterval : MaxRefreshTime;
  if ((Until && Now - *Until < RefreshInterval) ||
      (this->RefreshedAt && Now - *this->RefreshedAt < Interval))
    return;
  this->RefreshedAt = Now;
  this->Watcher.refresh();
}

std::optional<Duration> SoftwareVersionStore::viewAge() const {
  const auto Until = this->Watcher.ownCompleteUntil();
  return Until ? std::optional(BootClock::now() - *Until) : std::nullopt;
}

std::optional<std::string>
SoftwareVersionStore::onlyVersion(std::string_view Name) const {
  const auto Found = this->Services.find(Name);
  if (Found == this->Services.end())
    return std::nullopt;
  return galenaroute::onlyVersion(Found->second.Versions,
                                  this->Watcher.ownCompleteUntil(),
                                  StreamOrigins::Retention, this->clocks());
}

std::span<const std::string>
SoftwareVersionStore::unsettledVersions(std::string_view Name) const {
  const auto Found = this->Services.find(Name);
  return Found == this->Services.end()
             ? std::span<const std::string>()
             : std::span<const std::string>(Found->second.Unsettled);
}

bool SoftwareVersionStore::needsRecords() const {
  const VersionClocks Clocks = this->clocks();
  return std::any_of(
      this->Groups.begin(), this->Groups.end(), [&](const auto &Group) {
        std::set<std::string> All;
        for (const std::string &Name : Group) {
          const auto Found = this->Services.find(Name);
          if (Found == this->Services.end())
            continue;
          if (!isAnsweredByOnlyVersion(Found->second.Versions,
                                       StreamOrigins::Retention, Clocks))
            return true;
          All.merge(knownVersions(Found->second.Versions));
        }
        return All.size() > 1;
      });
}

void SoftwareVersionStore::onObject(const PlatformObject &Object) {
  try {
    this->readObject(Object);
  } catch (const std::exception &Failure) {
    // The next write replaces a malformed object of this era.
    log(LogLevel::Warn, "streams.stored_malformed",
        {{"name", Object.Key.Name}, {"message", Failure.what()}});
    this->dropMalformed(Object);
  }
}

/// Drops the set that a malformed object has replaced, which may have named
/// further versions.
void SoftwareVersionStore::dropMalformed(const PlatformObject &Object) {
  for (auto &[Name, Each] : this->Services) {
    if (!(Object.Key == this->keyOf(Name)))
      continue;
    dropStored(Each.Versions);
    this->update(Name, Each);
  }
}

/// Notes the revision of \p Object if it is that of a service in this era, also
/// if it cannot be read, so that the next write replaces it.
void SoftwareVersionStore::noteRevision(const PlatformObject &Object) {
  for (auto &[Name, Each] : this->Services) {
    if (!(Object.Key == this->keyOf(Name)))
      continue;
    Each.Revision = Object.Deleted ? Platform::MustNotExist : Object.Version;
    Each.RetryAt.reset();
    if (!Object.Deleted)
      continue;
    dropStored(Each.Versions);
    this->update(Name, Each);
  }
}

void SoftwareVersionStore::readObject(const PlatformObject &Object) {
  this->noteRevision(Object);
  if (Object.Deleted)
    return;
  const std::string Name = Object.Value.at("service");
  StoredVersions Stored;
  Stored.CompleteSinceMs = Object.Value.at("complete_since_ms");
  for (const json &Each : Object.Value.at("versions"))
    Stored.AddedMs[Each.at("version")] = Each.at("added_ms");
  Service &Of = this->Services[Name];
  if (Object.Key == this->keyOf(Name)) {
    Of.Revision = Object.Version;
    this->noteStoredSet(Name, Of, std::move(Stored));
    return;
  }
  noteEarlierStored(Of.Versions, Stored, EventLoop::now());
  this->update(Name, Of);
  this->removeOutdated(Object);
}

void SoftwareVersionStore::noteStoredSet(const std::string &Name, Service &Of,
                                         StoredVersions Stored) {
  Of.WasStored = true;
  const std::size_t Before = Of.Versions.Settled.size();
  noteStored(Of.Versions, std::move(Stored), StreamOrigins::Retention,
             this->clocks());
  this->update(Name, Of);
  if (Of.Versions.Settled.size() > Before)
    this->Settled.emit();
}

/// Removes an object of an earlier era.
void SoftwareVersionStore::removeOutdated(const PlatformObject &Object) {
  const std::int64_t WrittenMs = Object.Value.at("written_ms");
  if (wallMilliseconds() - WrittenMs < MaxObjectAgeMs)
    return;
  this->Parts.Api.remove(
      Object.Key, Object.Version,
      [Name = Object.Key.Name](const PlatformResult &Done) {
        if (Done.Status == PlatformStatus::Ok)
          log(LogLevel::Info, "streams.stored_removed", {{"name", Name}});
      });
}

/// Returns the key of the object of a service in this era.
ObjectKey SoftwareVersionStore::keyOf(const std::string &Service) const {
  return {std::string(StoredKind),
          eraName(Service, this->Parts.Api.Era.current())};
}

/// Returns whether the platform has never stored a set of the service. A
/// platform that was restored from a copy may have lost one.
bool SoftwareVersionStore::isFirstStart(const Service &Of) const {
  return this->Parts.IsFirstStart && !Of.WasStored &&
         this->Parts.Api.Era.current() <= FirstEra;
}

/// Stores the versions of a service, unless that is done already. A write that
/// fails is repeated, less and less often, while it is still needed, and at
/// once when the watch shows another revision.
void SoftwareVersionStore::store(const std::string &Name, Service &Of) {
  if (!this->Watcher.hasProgress() || Of.IsWriting ||
      (Of.RetryAt && EventLoop::now() < *Of.RetryAt))
    return;
  if (!Of.Versions.Stored && !this->Parts.HasEarlierSets())
    return;
  const StoredVersions Wanted = versionsToStore(
      Of.Versions, this->Parts.IsRegistryCurrent(), this->isFirstStart(Of),
      StreamOrigins::Retention, this->clocks());
  if (Wanted.AddedMs.empty() ||
      (Of.Versions.Stored && Wanted == *Of.Versions.Stored))
    return;
  json Versions = json::array();
  for (const auto &[Each, AddedMs] : Wanted.AddedMs)
    Versions.push_back({{"version", Each}, {"added_ms", AddedMs}});
  Of.IsWriting = true;
  const ObjectKey Key = this->keyOf(Name);
  this->Parts.Api.put(
      Key,
      {{"service", Name},
       {"versions", std::move(Versions)},
       {"complete_since_ms", Wanted.CompleteSinceMs},
       {"written_ms", wallMilliseconds()}},
      Of.Revision,
      [this, Name, Key, Wanted,
       Alive = std::weak_ptr(this->Alive)](const PlatformResult &Written) {
        if (!Alive.expired())
          this->onWritten(Name, Key, Wanted, Written);
      });
}

void SoftwareVersionStore::onWritten(const std::string &Name,
                                     const ObjectKey &Key,
                                     const StoredVersions &Wanted,
                                     const PlatformResult &Written) {
  Service &Of = this->Services[Name];
  Of.IsWriting = false;
  if (Written.Status == PlatformStatus::Ok) {
    Of.NextRetry = MinRetry;
  } else {
    Of.RetryAt = EventLoop::now() + Of.NextRetry;
    Of.NextRetry = std::min(Of.NextRetry * 2, MaxRetry);
  }
  if (Written.Status != PlatformStatus::Ok || !(Key == this->keyOf(Name)) ||
      Written.Object.Version <= Of.Revision)
    return;
  Of.Revision = Written.Object.Version;
  std::string Text;
  for (const auto &[Each, AddedMs] : Wanted.AddedMs)
    Text += (Text.empty() ? "" : ",") + Each;
  log(LogLevel::Info, "streams.versions_stored",
      {{"service", Name},
       {"versions", Text},
       {"complete_since_ms", std::to_string(Wanted.CompleteSinceMs)}});
  this->noteStoredSet(Name, Of, Wanted);
}

} // namespace galenaroute
