#include "version/ConfigExchange.h"

#include "process/ErrorKind.h"

#include <algorithm>

namespace galenaroute {

using nlohmann::json;

ConfigExchange::ConfigExchange(ConfigWatcher &Watcher, SendFn Send,
                               const ConfigRelaySettings &Settings,
                               std::string SelfId, TimePoint Now,
                               std::uint64_t Seed)
    : Watcher(Watcher), Send(std::move(Send)),
      State(Settings, std::move(SelfId), Now, Seed), Now(Now) {
  this->Changed = Watcher.Changed.connect(
      [this](const ConfigurationPtr &) { this->onVersionChanged(); });
  // Few daemons read the platform often, so its era travels with the offers.
  this->EraChanged = Watcher.era().Changed.connect([this](const EraChange &) {
    this->sendOffer("", {this->State.Epoch, this->State.Hash, false, 0});
  });
  this->onVersionChanged();
  this->Watcher.setWatching(this->State.Watching);
}

ConfigExchange::~ConfigExchange() {
  this->Changed.disconnect();
  this->EraChanged.disconnect();
}

void ConfigExchange::sendOffer(const std::string &To, ConfigOffer Offer) {
  Offer.Era = this->Watcher.era().current();
  this->Send(To, "config-offer", toJson(Offer));
}

void ConfigExchange::onVersionChanged() {
  const ConfigVersionPtr &Version = this->Watcher.version();
  if (!Version)
    return;
  this->CachedVersions.push_back(Version);
  if (this->CachedVersions.size() > MaxCachedVersions)
    this->CachedVersions.erase(this->CachedVersions.begin());
  this->step(InForce{Version->ManifestData.Epoch, Version->Hash});
}

void ConfigExchange::step(const RelayEvent &Event) {
  for (const RelayAction &Each : apply(this->State, Event, this->Now))
    this->perform(Each);
}

void ConfigExchange::perform(const RelayAction &Action) {
  if (const auto *Offer = std::get_if<SendOffer>(&Action)) {
    this->sendOffer(Offer->To, Offer->Offer);
  } else if (const auto *Start = std::get_if<StartFetch>(&Action)) {
    this->Parts = {};
    this->fetch(Start->From, Start->Offer.Hash, {});
  } else if (const auto *Watching = std::get_if<SetWatching>(&Action)) {
    this->Watcher.setWatching(Watching->Watch);
  }
}

void ConfigExchange::fetch(const std::string &From, const std::string &Hash,
                           std::vector<std::string> Objects) {
  if (Objects.size() > MaxFetchObjects)
    Objects.resize(MaxFetchObjects);
  const ConfigVersionPtr &Current = this->Watcher.version();
  this->Send(From, "config-fetch",
             toJson(ConfigFetch{Hash, Current ? Current->Hash : "",
                                std::move(Objects)}));
}

void ConfigExchange::receive(const std::string &From, const std::string &Type,
                             const json &Body, TimePoint Now) {
  this->Now = Now;
  if (Type == "config-offer") {
    ConfigOffer Offer = configOfferFromJson(Body);
    this->Watcher.hearOfEra(Offer.Era);
    this->step(OfferReceived{From, std::move(Offer)});
  } else if (Type == "config-fetch") {
    // If the requested version is no longer cached, the fetch times out and the
    // peer uses a later offer.
    if (const auto Data =
            answerFetch(configFetchFromJson(Body), this->CachedVersions))
      this->Send(From, "config-data", toJson(*Data));
  } else if (Type == "config-data") {
    this->receiveData(From, configDataFromJson(Body));
  }
}

void ConfigExchange::receiveData(const std::string &From,
                                 const ConfigData &Data) {
  // Ignore late and duplicate responses.
  if (!this->State.Fetch || this->State.Fetch->From != From ||
      this->State.Fetch->Offer.Hash != Data.Hash)
    return;
  const ConfigVersionPtr Current = this->Watcher.version();
  if (!Data.Base.empty() && Current && Current->Hash != Data.Base &&
      std::any_of(this->CachedVersions.begin(), this->CachedVersions.end(),
                  [&](const ConfigVersionPtr &Each) {
                    return Each->Hash == Data.Base;
                  })) {
    // Another version came into force since the fetch was sent.
    this->fetch(From, Data.Hash, {});
    return;
  }
  try {
    if (!mergeData(this->Parts, Data, Current)) {
      this->step(FetchFailed{});
      return;
    }
    std::vector<std::string> Missing =
        missingObjects(this->Parts.ManifestData, this->Parts.Objects);
    if (!Missing.empty()) {
      this->step(FetchProgressed{});
      this->fetch(From, Data.Hash, std::move(Missing));
      return;
    }
    ConfigVersionPtr Next =
        assembleVersion(this->Parts.ManifestData, this->Parts.Objects);
    this->Parts = {};
    if (!this->Watcher.adopt(std::move(Next)))
      this->step(FetchFailed{});
  } catch (const Error &) {
    this->Parts = {};
    this->step(FetchFailed{});
    throw;
  }
}

void ConfigExchange::peerUp(const std::string &Id, TimePoint Now) {
  this->Now = Now;
  this->step(PeerUp{Id});
}

void ConfigExchange::setZoneMembers(std::set<std::string> Members,
                                    TimePoint Now) {
  this->Now = Now;
  this->step(ZoneChanged{std::move(Members)});
}

void ConfigExchange::tick(TimePoint Now) {
  this->Now = Now;
  if (this->State.Starting && this->Watcher.hasAnswered())
    this->step(PlatformAnswered{});
  this->step(RelayTick{});
}

} // namespace galenaroute
