#include "version/ObjectWatcher.h"

#include "process/Log.h"

namespace galenaroute {

ObjectWatcher::ObjectWatcher(EventLoop &Loop, Platform &Api, std::string Kind,
                             ObjectWatcherSettings Settings,
                             ObjectWatcherEvents Events)
    : Loop(Loop), Api(Api), Kind(std::move(Kind)), Settings(Settings),
      Events(std::move(Events)), NextRetry(Settings.Retry) {}

ObjectWatcher::~ObjectWatcher() { this->Timer.disconnect(); }

void ObjectWatcher::start() { this->list({}); }

void ObjectWatcher::heard() {
  this->HeardAt = EventLoop::now();
  this->NextRetry = this->Settings.Retry;
  if (this->IsLost)
    log(LogLevel::Info, "platform.regained", {{"kind", this->Kind}});
  this->IsLost = false;
}

void ObjectWatcher::retry() {
  if (!this->IsLost)
    log(LogLevel::Warn, "platform.lost", {{"kind", this->Kind}});
  this->IsLost = true;
  this->Timer = this->Loop.timers().after(this->NextRetry, [this] {
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
    this->Events.OnObject(Each);
  }
  if (Result.More && !Result.Objects.empty()) {
    this->list(Result.Objects.back().Key.Name);
    return;
  }
  this->HasRevision = true;
  this->heard();
  this->Events.OnListed(this->Listed);
  this->watch();
}

void ObjectWatcher::watch() {
  this->Api.watch(
      this->Kind, this->Revision, this->Settings.Wait,
      [this, Alive = std::weak_ptr(this->Alive)](const PlatformList &Result) {
        if (!Alive.expired())
          this->onWatch(Result);
      });
}

void ObjectWatcher::onWatch(const PlatformList &Result) {
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
  if (Result.Revision > this->Revision)
    this->Revision = Result.Revision;
  for (const PlatformObject &Each : Result.Objects)
    this->Events.OnObject(Each);
  this->watch();
}

} // namespace galenaroute
