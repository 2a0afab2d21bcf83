#include "process/StreamOriginStore.h"

#include "process/Clock.h"
#include "process/ErrorKind.h"
#include "process/Log.h"

#include <charconv>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace galenaroute {

using nlohmann::json;

static constexpr std::string_view StoredKind = "stream-versions";
static constexpr std::string_view GatewayPrefix = "gateway.";
/// Of the sets of software versions that builds before SoftwareVersionStore
/// store here.
static constexpr std::string_view ServicePrefix = "service.";

/// Between two writes of a gateway in a small fleet. What was begun since the
/// last one is lost if all processes are killed.
static constexpr Duration MinPeriod = std::chrono::milliseconds(100);
/// Writes per second of all gateways together in a small fleet. Platforms
/// accept 400 there, and 1,200 in one of ten times the size: their rates grow
/// about as the square root.
static constexpr double SmallFleetWritesPerSecond = 60;
static constexpr double SmallFleet = 6; ///< Gateways.
/// Objects that were not written for so long belong to gateways or eras that
/// are gone.
static constexpr std::int64_t MaxObjectAgeMs = 600'000;
static constexpr std::size_t KeyDigits = 16;

StreamOriginStore::StreamOriginStore(StreamOriginStoreParts Parts)
    : Parts(std::move(Parts)) {}

StreamOriginStore::~StreamOriginStore() { this->Timer.disconnect(); }

Duration StreamOriginStore::periodFor(std::size_t Gateways) {
  const auto Count = static_cast<double>(Gateways);
  const double PerSecond =
      SmallFleetWritesPerSecond * std::sqrt(std::max(1.0, Count / SmallFleet));
  return std::max(MinPeriod, fromSeconds(Count / PerSecond));
}

void StreamOriginStore::start() { this->tick(); }

void StreamOriginStore::tick() {
  const TimePoint Now = EventLoop::now();
  this->Timer = this->Parts.Loop.timers().after(
      periodFor(this->Parts.GatewayCount()), [this] { this->tick(); });
  this->Parts.Streams.expire(Now);
  if (!this->HasListed)
    this->list();
  if (!this->Parts.NeedsRecords()) {
    this->Progress.UnstoredSince.reset();
    return;
  }
  if (this->HasListed)
    this->storeRecords();
  this->tellRecords(Now);
}

bool StreamOriginStore::hasUnstored() const {
  return this->Progress.Stored != this->Parts.Streams.countBegun() ||
         this->StoredReceived != this->ReceivedCount;
}

/// Tells others the records of this process if they could not be stored for
/// some periods.
void StreamOriginStore::tellRecords(TimePoint Now) {
  if (this->Progress.Stored == this->Parts.Streams.countBegun())
    return;
  if (!this->Progress.UnstoredSince)
    this->Progress.UnstoredSince = Now;
  if (!this->isLate())
    return;
  StreamRecordProgress Next = this->Progress;
  const StreamRecordUpdates News = takeUpdates(this->Parts.Streams, Next);
  if (News.empty())
    return;
  // What nobody keeps is told once somebody does.
  const bool IsKept = this->Parts.Tell && this->Parts.Tell(News);
  if (IsKept)
    this->Progress = Next;
  if (!std::exchange(this->IsTelling, true))
    log(LogLevel::Warn, "streams.told",
        {{"message", "records cannot be stored; other gateways get them"},
         {"kept", IsKept ? "yes" : "no"}});
}

bool StreamOriginStore::isLate() const {
  return isStoringLate(this->Progress, EventLoop::now(),
                       periodFor(this->Parts.GatewayCount()));
}

void StreamOriginStore::onStored(std::uint64_t Begun, std::uint64_t Received) {
  this->Progress.Stored = Begun;
  this->Progress.UnstoredSince.reset();
  this->StoredReceived = Received;
  if (std::exchange(this->IsTelling, false))
    log(LogLevel::Info, "streams.stored_again", {});
}

void StreamOriginStore::receive(const StreamRecordUpdates &News) {
  const TimePoint Now = EventLoop::now();
  for (const StreamRecordGroup &Group : News)
    for (const StreamKey Key : Group.Keys) {
      // A repeated message needs no write.
      const auto &Known = this->Parts.Streams.records();
      const auto Found = Known.find(Key);
      const bool IsNew =
          Found == Known.end() || !(Found->second.Origin == Group.Origin);
      this->Parts.Streams.add(Key, Group.Origin, Now);
      this->ReceivedCount += IsNew;
    }
}

void StreamOriginStore::onEraChanged() {
  this->IsOwnUnknown = true;
  this->Progress.Stored = 0;
  this->StoredReceived = 0;
}

void StreamOriginStore::list() {
  if (this->IsListing)
    return;
  this->IsListing = true;
  this->ListedStreams = StreamOrigins(MaxListed);
  this->listAfter({});
}

void StreamOriginStore::listAfter(const std::string &Name) {
  this->Parts.Api.list(
      std::string(StoredKind), {}, Name,
      [this, Alive = std::weak_ptr(this->Alive)](const PlatformList &Page) {
        if (!Alive.expired())
          this->onPage(Page);
      });
}

void StreamOriginStore::onPage(const PlatformList &Page) {
  if (Page.Status == PlatformStatus::Ok) {
    for (const PlatformObject &Each : Page.Objects)
      this->readObject(Each);
    if (Page.More && !Page.lastName().empty()) {
      this->listAfter(Page.lastName());
      return;
    }
    if (!std::exchange(this->HasListed, true))
      this->IsOwnUnknown = false;
  }
  this->IsListing = false;
  this->Listed.emit(Page.Status == PlatformStatus::Ok ? &this->ListedStreams
                                                      : nullptr);
  this->ListedStreams = StreamOrigins(MaxListed);
}

void StreamOriginStore::readObject(const PlatformObject &Object) {
  try {
    if (Object.Key.Name.starts_with(GatewayPrefix))
      this->readRecords(Object);
    else if (Object.Key.Name.starts_with(ServicePrefix))
      this->readEarlierSet(Object);
    if (!this->HasListed)
      this->removeOutdated(Object, Object.Value.at("written_ms"));
  } catch (const std::exception &Failure) {
    // The next write replaces a malformed object of this era.
    log(LogLevel::Warn, "streams.stored_malformed",
        {{"name", Object.Key.Name}, {"message", Failure.what()}});
  }
}

static StreamKey keyFromText(std::string_view Text) {
  StreamKey Key = 0;
  const auto Read =
      std::from_chars(Text.data(), Text.data() + Text.size(), Key, 16);
  if (Read.ec != std::errc() || Read.ptr != Text.data() + Text.size())
    throw Error(ErrorKind::BadRequest,
                "malformed key of a stream: " + std::string(Text));
  return Key;
}

static void addRecords(StreamOrigins &Into, const json &Value) {
  for (const json &Group : Value.at("streams")) {
    const StreamOrigin Origin{Group.at("service"), Group.at("version")};
    const std::string Keys = Group.at("keys");
    for (std::size_t I = 0; I < Keys.size(); I += KeyDigits)
      Into.add(keyFromText(std::string_view(Keys).substr(I, KeyDigits)), Origin,
               EventLoop::now());
  }
}

void StreamOriginStore::readRecords(const PlatformObject &Object) {
  addRecords(this->ListedStreams, Object.Value);
  if (Object.Key == this->ownKey() && !this->HasListed)
    this->adoptOwn(Object);
}

void StreamOriginStore::readEarlierSet(const PlatformObject &Object) {
  const std::string Service = Object.Value.at("service");
  if (Object.Key == this->keyOf(std::string(ServicePrefix) + Service))
    this->Parts.OnEarlierSet(Service, Object.Value.at("versions"));
}

/// Takes over the records that a predecessor of this process has stored, which
/// the next write would replace.
void StreamOriginStore::adoptOwn(const PlatformObject &Object) {
  this->OwnRevision = Object.Version;
  try {
    addRecords(this->Parts.Streams, Object.Value);
  } catch (const std::exception &Failure) {
    log(LogLevel::Warn, "streams.stored_malformed",
        {{"name", Object.Key.Name}, {"message", Failure.what()}});
  }
}

void StreamOriginStore::removeOutdated(const PlatformObject &Object,
                                       std::int64_t WrittenMs) {
  if (wallMilliseconds() - WrittenMs < MaxObjectAgeMs)
    return;
  if (Object.Key == this->ownKey())
    return;
  this->Parts.Api.remove(
      Object.Key, Object.Version,
      [Name = Object.Key.Name](const PlatformResult &Done) {
        if (Done.Status == PlatformStatus::Ok)
          log(LogLevel::Info, "streams.stored_removed", {{"name", Name}});
      });
}

/// Returns the key of an object of this era.
ObjectKey StreamOriginStore::keyOf(const std::string &Name) const {
  return {std::string(StoredKind),
          eraName(Name, this->Parts.Api.Era.current())};
}

ObjectKey StreamOriginStore::ownKey() const {
  return this->keyOf(std::string(GatewayPrefix) + this->Parts.NodeId);
}

static std::string keyText(StreamKey Key) {
  char Text[KeyDigits + 1];
  std::snprintf(Text, sizeof Text, "%016llx",
                static_cast<unsigned long long>(Key));
  return Text;
}

/// Stores the records of this process if there are new ones.
void StreamOriginStore::storeRecords() {
  if (this->IsWriting || !this->hasUnstored())
    return;
  if (this->IsOwnUnknown) {
    this->readOwn();
    return;
  }
  std::map<std::pair<std::string, std::string>, std::string> Keys;
  for (const auto &[Key, Each] : this->Parts.Streams.records())
    if (!Each.IsAmbiguous)
      Keys[{Each.Origin.Service, Each.Origin.Version}] += keyText(Key);
  json Groups = json::array();
  for (auto &[Origin, Text] : Keys)
    Groups.push_back({{"service", Origin.first},
                      {"version", Origin.second},
                      {"keys", std::move(Text)}});
  this->IsWriting = true;
  this->Parts.Api.put(
      this->ownKey(),
      {{"written_ms", wallMilliseconds()}, {"streams", std::move(Groups)}},
      this->OwnRevision,
      [this, Begun = this->Parts.Streams.countBegun(),
       Received = this->ReceivedCount,
       Alive = std::weak_ptr(this->Alive)](const PlatformResult &Written) {
        if (Alive.expired())
          return;
        this->IsWriting = false;
        if (Written.Status == PlatformStatus::Ok) {
          this->OwnRevision = Written.Object.Version;
          this->onStored(Begun, Received);
        } else if (Written.Status != PlatformStatus::Unavailable) {
          this->IsOwnUnknown = true;
        }
      });
}

/// Reads the own object, whose revision is not known.
void StreamOriginStore::readOwn() {
  this->IsWriting = true;
  const ObjectKey Key = this->ownKey();
  this->Parts.Api.get(Key, [this, Key, Alive = std::weak_ptr(this->Alive)](
                               const PlatformResult &Read) {
    if (Alive.expired())
      return;
    this->IsWriting = false;
    if (!(Key == this->ownKey()) || (Read.Status != PlatformStatus::Ok &&
                                     Read.Status != PlatformStatus::NotFound))
      return;
    this->OwnRevision = Platform::MustNotExist;
    if (Read.Status == PlatformStatus::Ok)
      this->adoptOwn(Read.Object);
    this->IsOwnUnknown = false;
    this->storeRecords();
  });
}

} // namespace galenaroute
