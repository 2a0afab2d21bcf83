#include "version/ObjectWatcher.h"

#include "process/Log.h"
#include "process/Rendezvous.h"

namespace galenaroute {

static std::uint64_t digestOf(std::string_view Name, std::uint64_t Version) {
  return stableHash(Name, Version);
}

ObjectWatcher::ObjectWatcher(EventLoop &Loop, Platform &Api, std::string Kind,
                             ObjectWatcherSettings Settings,
                             ObjectWatcherEvents Events)
    : Loop(Loop), Api(Api), Kind(std::move(Kind)), Settings(Settings),
      Events(std::move(Events)), NextRetry(Settings.Retry) {}

ObjectWatcher::~ObjectWatcher() { this->Timer.disconnect(); }

void ObjectWatcher::start() { this->list({}); }

void ObjectWatcher::heard() {
  this->AnsweredAt = this->HeardAt = EventLoop::now();
  this->NextRetry = this->Settings.Retry;
  if (this->IsLost)
    log(LogLevel::Info, "platform.regained", {{"kind", this->Kind}});
  this->IsLost = false;
}

void ObjectWatcher::retry() {
  if (!this->IsLost)
    log(LogLevel::Warn, "platform.lost", {{"kind", this->Kind}});
  this->IsLost = true;
  const bool OthersTell = this->ReliesOnOthers && this->HasRevision &&
                          (this->isCurrent() || this->HearsNews);
  const Duration Delay =
      OthersTell ? this->Settings.RetryBesideOthers : this->NextRetry;
  this->Timer.disconnect();
  this->Timer = this->Loop.timers().after(Delay, [this] {
    if (this->HasRevision)
      this->watch();
    else
      this->list({});
  });
  this->NextRetry = std::min(this->NextRetry * 2, this->Settings.MaxRetry);
}

void ObjectWatcher::list(const std::string &After) {
  if (After.empty())
    this->Listed.clear();
  this->Api.list(
      this->Kind, {}, After,
      [this, Alive = std::weak_ptr(this->Alive)](const PlatformList &Result) {
        if (!Alive.expired())
          this->onList(Result);
      });
}

void ObjectWatcher::onList(const PlatformList &Result) {
  if (Result.Status != PlatformStatus::Ok) {
    this->retry();
    return;
  }
  // Changes after the first page are taken up by the watch.
  if (this->Listed.empty())
    this->Revision = Result.Revision;
  for (const PlatformObject &Each : Result.Objects) {
    this->Listed.insert(Each.Key.Name);
    this->take(Each);
  }
  if (Result.More && !Result.Objects.empty()) {
    this->list(Result.Objects.back().Key.Name);
    return;
  }
  this->HasRevision = true;
  std::erase_if(this->Known, [this](const auto &Each) {
    if (this->Listed.contains(Each.first))
      return false;
    this->Digest ^= digestOf(Each.first, Each.second);
    return true;
  });
  this->heard();
  this->Events.OnListed(this->Listed);
  this->goOn();
}

/// Whether news from others makes a call of its own needless.
bool ObjectWatcher::isNewsEnough() const {
  return this->ReliesOnOthers && this->HearsNews && this->isCurrent();
}

/// Follows further changes, by a call or by news.
void ObjectWatcher::goOn() {
  if (!this->isNewsEnough()) {
    this->watch();
    return;
  }
  // An answer to an earlier call is not waited for.
  ++this->Round;
  this->Timer.disconnect();
  this->IsResting = true;
}

bool ObjectWatcher::isCurrent() const {
  return this->HeardAt &&
         EventLoop::now() - *this->HeardAt <= this->Settings.MaxSilence;
}

void ObjectWatcher::watch() {
  const std::uint64_t Asked = ++this->Round;
  this->Timer.disconnect();
  this->IsResting = false;
  this->WaitsLong = this->ReliesOnOthers && this->isCurrent();
  this->Api.watch(
      this->Kind, this->Revision,
      this->WaitsLong ? this->Settings.LongWait : this->Settings.Wait,
      [this, Asked,
       Alive = std::weak_ptr(this->Alive)](const PlatformList &Result) {
        if (!Alive.expired() && Asked == this->Round)
          this->onWatch(Result);
      });
}

void ObjectWatcher::onWatch(const PlatformList &Result) {
  this->WaitsLong = false;
  if (Result.Status == PlatformStatus::Expired) {
    log(LogLevel::Warn, "platform.history_gone",
        {{"kind", this->Kind}, {"revision", std::to_string(this->Revision)}});
    this->HasRevision = false;
    this->list({});
    return;
  }
  if (Result.Status != PlatformStatus::Ok) {
    this->retry();
    return;
  }
  this->heard();
  const std::uint64_t Since = this->Revision;
  if (Result.Revision > this->Revision)
    this->Revision = Result.Revision;
  for (const PlatformObject &Each : Result.Objects)
    this->take(Each);
  if (!Result.Objects.empty() && !this->ReliesOnOthers)
    this->OnNews({this->Kind, Since, this->Revision, Result.Objects});
  if (Result.Objects.empty() || this->BatchDelay == Duration::zero()) {
    this->goOn();
    return;
  }
  this->Timer =
      this->Loop.timers().after(this->BatchDelay, [this] { this->goOn(); });
}

void ObjectWatcher::receive(const ObjectNews &News) {
  if (!this->IsResting || News.Since > this->Revision ||
      News.Revision <= this->Revision)
    return;
  this->Revision = News.Revision;
  for (const PlatformObject &Each : News.Objects) {
    const auto It = this->Known.find(Each.Key.Name);
    if (It == this->Known.end() || It->second < Each.Version)
      this->take(Each);
  }
  this->HeardAt = EventLoop::now();
  this->BehindSince.reset();
}

/// Takes in an object and what others compare.
void ObjectWatcher::take(const PlatformObject &Object) {
  this->LastChange = std::max(this->LastChange, Object.Version);
  this->forget(Object.Key.Name);
  if (!Object.Deleted) {
    this->Known[Object.Key.Name] = Object.Version;
    this->Digest ^= digestOf(Object.Key.Name, Object.Version);
  }
  this->Events.OnObject(Object);
}

void ObjectWatcher::forget(const std::string &Name) {
  const auto It = this->Known.find(Name);
  if (It == this->Known.end())
    return;
  this->Digest ^= digestOf(Name, It->second);
  this->Known.erase(It);
}

ObjectContact ObjectWatcher::contact(TimePoint Now) const {
  return {this->LastChange, this->Digest,
          Now - this->AnsweredAt.value_or(TimePoint{})};
}

void ObjectWatcher::noteContact(const ObjectContact &Told, TimePoint Now) {
  if (!this->HasRevision || Told.LastChange < this->LastChange)
    return;
  if (Told.LastChange == this->LastChange && Told.Digest == this->Digest) {
    this->HeardAt = std::max(*this->HeardAt, Now - Told.Age);
    this->BehindSince.reset();
    return;
  }
  if (!this->BehindSince)
    this->BehindSince = Now;
}

void ObjectWatcher::check(TimePoint Now) {
  // With the timer set, the next call is about to be sent anyway.
  if (!this->HasRevision || !this->Timer.empty())
    return;
  const bool IsBehind =
      this->BehindSince &&
      Now - *this->BehindSince > this->Settings.BehindLimit + this->BatchDelay;
  const bool IsSilent = this->WaitsLong && !this->isCurrent();
  const bool EndsRest = this->IsResting && !this->isNewsEnough();
  if (!IsBehind && !IsSilent && !EndsRest)
    return;
  log(LogLevel::Info, "platform.watch_again",
      {{"kind", this->Kind},
       {"reason", IsBehind               ? "others know more"
                  : this->ReliesOnOthers ? "nobody tells"
                                         : "watches closely now"},
       {"last_change", std::to_string(this->LastChange)}});
  this->BehindSince.reset();
  this->watch();
}

} // namespace galenaroute
