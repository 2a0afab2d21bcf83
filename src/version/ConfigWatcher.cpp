#include "version/ConfigWatcher.h"

#include "process/ErrorKind.h"
#include "process/Log.h"

namespace galenaroute {

ConfigWatcher::ConfigWatcher(Platform &Api, TimerService &Timers,
                             const ConfigWatcherOptions &Options)
    : Api(Api), Timers(Timers), Options(Options), Random(Options.Seed),
      Store(Api, Timers,
            {.FirstBackoff = Options.FirstBackoff, .Seed = Options.Seed}) {
  this->EraChanged = Api.Era.Changed.connect([this](const EraChange &) {
    if (!this->Session)
      return;
    this->setWatching(false);
    this->setWatching(true);
  });
}

ConfigWatcher::~ConfigWatcher() {
  this->Timer.disconnect();
  this->EraChanged.disconnect();
  this->RepublishTimer.disconnect();
}

ConfigurationPtr ConfigWatcher::current() const {
  return this->InForce ? this->InForce->Config : nullptr;
}

std::uint64_t ConfigWatcher::epoch() const {
  return this->InForce ? this->InForce->ManifestData.Epoch : 0;
}

bool ConfigWatcher::adopt(ConfigVersionPtr Next) {
  if (!Next || Next->ManifestData.Epoch <= this->epoch())
    return false;
  this->InForce = std::move(Next);
  // A slot may adopt another version, so keep a reference of our own.
  const ConfigurationPtr Now = this->InForce->Config;
  this->Changed.emit(Now);
  this->checkStored();
  return true;
}

void ConfigWatcher::setWatching(bool Watch) {
  if (Watch == (this->Session != nullptr))
    return;
  this->Timer.disconnect();
  this->RepublishTimer.disconnect();
  this->IsStoredKnown = false;
  this->Session = Watch ? std::make_shared<int>(0) : nullptr;
  this->Attempt = 0;
  if (Watch)
    this->read();
}

void ConfigWatcher::schedule(Duration Delay, std::function<void()> Step) {
  this->Timer.disconnect();
  this->Timer = this->Timers.after(Delay, this->guarded(std::move(Step)));
}

void ConfigWatcher::retry(std::string Why) {
  this->Problem = std::move(Why);
  this->schedule(configBackoff(this->Attempt++, this->Options.FirstBackoff,
                               this->Options.MaxBackoff, this->Random),
                 [this] { this->read(); });
}

void ConfigWatcher::read() {
  fetchVersion(this->Api, this->InForce, this->epoch(),
               this->guarded([this](const FetchResult &Result) {
                 this->onFetched(Result);
               }));
}

void ConfigWatcher::onFetched(const FetchResult &Result) {
  if (Result.Status != PlatformStatus::Ok) {
    this->retry(Result.Problem);
    return;
  }
  this->Answered = true;
  this->Attempt = 0;
  this->Problem.clear();
  this->StoredEpoch = Result.ManifestData ? Result.ManifestData->Epoch : 0;
  this->IsStoredKnown = true;
  const std::weak_ptr<int> Before = this->Session;
  this->adopt(Result.Version);
  // A slot of Changed may have stopped watching.
  if (Before.expired())
    return;
  this->checkStored();
  this->watch(Result.Revision);
}

void ConfigWatcher::hearOfEra(std::uint64_t Told) {
  if (Told <= this->Api.Era.current() || this->IsAskingForEra)
    return;
  this->IsAskingForEra = true;
  this->Api.get(ManifestKey, [this, Alive = std::weak_ptr<int>(this->Alive)](
                                 const PlatformResult &) {
    // Only the era that the answer tells is of use; a peer tells it again.
    if (!Alive.expired())
      this->IsAskingForEra = false;
  });
}

void ConfigWatcher::checkStored() {
  if (!this->IsStoredKnown || this->epoch() <= this->StoredEpoch ||
      this->IsRepublishing || this->RepublishTimer.connected())
    return;
  // An epoch that came from a peer may be stored, and other watchers may store
  // one that was lost meanwhile.
  this->RepublishTimer = this->Timers.after(
      configBackoff(this->RepublishAttempt, this->Options.FirstBackoff,
                    this->Options.MaxBackoff, this->Random),
      [this] { this->republish(); });
}

void ConfigWatcher::republish() {
  if (this->epoch() <= this->StoredEpoch)
    return;
  this->IsRepublishing = true;
  this->Store.republish(this->InForce,
                        [this, Alive = std::weak_ptr<int>(this->Alive)](
                            const ApplyResult &Result) {
                          if (!Alive.expired())
                            this->onRepublished(Result);
                        });
}

void ConfigWatcher::onRepublished(const ApplyResult &Result) {
  this->IsRepublishing = false;
  if (Result.End == ApplyOutcome::Applied ||
      Result.End == ApplyOutcome::Conflict) {
    this->RepublishAttempt = 0;
    this->StoredEpoch = Result.Epoch;
  } else {
    ++this->RepublishAttempt;
    log(LogLevel::Warn, "config.not_stored_again",
        {{"epoch", std::to_string(this->epoch())}, {"reason", Result.Message}});
  }
  this->checkStored();
}

void ConfigWatcher::watch(std::uint64_t Revision) {
  this->Api.watch(ManifestKey.Kind, Revision, this->Options.WatchWait,
                  this->guarded([this, Revision](const PlatformList &Result) {
                    this->onWatch(Revision, Result);
                  }));
}

void ConfigWatcher::onWatch(std::uint64_t Since, const PlatformList &Result) {
  if (Result.Status == PlatformStatus::Expired) {
    this->schedule(this->Options.MinWatchGap, [this] { this->read(); });
    return;
  }
  if (Result.Status != PlatformStatus::Ok) {
    this->retry("the platform does not answer the watch");
    return;
  }
  this->Attempt = 0;
  this->Problem.clear();
  FetchResult Next;
  Next.Status = PlatformStatus::Ok;
  Next.Revision = std::max(Since, Result.Revision);
  for (const PlatformObject &Each : Result.Objects) {
    if (Each.Deleted || Each.Key.Name != ManifestKey.Name)
      continue;
    try {
      Next.ManifestData = manifestFromJson(Each.Value);
    } catch (const Error &Failure) {
      this->retry(Failure.what());
      return;
    }
  }
  if (Next.ManifestData)
    this->StoredEpoch = Next.ManifestData->Epoch;
  this->checkStored();
  if (Next.ManifestData && Next.ManifestData->Epoch > this->epoch()) {
    fetchObjects(this->Api, this->InForce, std::move(Next),
                 this->guarded([this](const FetchResult &Fetched) {
                   this->onFetched(Fetched);
                 }));
    return;
  }
  this->schedule(this->Options.MinWatchGap,
                 [this, Revision = Next.Revision] { this->watch(Revision); });
}

} // namespace galenaroute
