#include "version/ObjectWatcher.h"

#include "process/CallbackGuard.h"
#include "process/Log.h"
#include "process/Rendezvous.h"

namespace galenaroute {

/// Wait of a watch that is to be answered at once.
static constexpr Duration MinWait = std::chrono::milliseconds(1);

/// A watch that is answered sooner had a change to report when it arrived.
static constexpr Duration PromptAnswer = std::chrono::milliseconds(500);

static std::uint64_t digestOf(std::string_view Name, std::uint64_t Version) {
  return stableHash(Name, Version);
}

ObjectWatcher::ObjectWatcher(EventLoop &Loop, Platform &Api, std::string Kind,
                             ObjectWatcherSettings Settings,
                             ObjectWatcherEvents Events)
    : Loop(Loop), Api(Api), Kind(std::move(Kind)), Settings(Settings),
      Events(std::move(Events)), NextRetry(Settings.Retry) {
  this->EraChanges = Api.Era.Changed.connect(
      [this](const EraChange &Change) { this->dropEra(Change); });
}

ObjectWatcher::~ObjectWatcher() {
  this->Timer.disconnect();
  this->EraChanges.disconnect();
}

void ObjectWatcher::start() {
  this->IsStarted = true;
  this->list({});
}

/// Drops what belongs to the era before: its revisions say nothing about the
/// present ones. The objects stay in use until they are listed.
void ObjectWatcher::dropEra(const EraChange &Change) {
  if (!this->IsStarted)
    return;
  log(LogLevel::Info, "platform.revisions_dropped",
      {{"kind", this->Kind},
       {"era", std::to_string(Change.Now)},
       {"before", std::to_string(Change.Before)},
       {"revision", std::to_string(this->Revision)},
       {"last_change", std::to_string(this->LastChange)},
       {"objects", std::to_string(this->Known.size())}});
  this->Revision = this->UnchangedSince = this->LastChange = this->Digest = 0;
  this->Known.clear();
  this->CompleteUntil.reset();
  this->OwnCompleteUntil.reset();
  this->NextRetry = this->Settings.Retry;
  this->listAnew();
}

/// Lists everything, whatever call is pending.
void ObjectWatcher::listAnew() {
  this->Timer.disconnect();
  this->HasRevision = this->IsIdle = this->IsLongPoll = false;
  this->IsEraDoubted = false;
  this->BehindSince.reset();
  this->list({});
}

void ObjectWatcher::onResponse() {
  this->AnsweredAt = this->ConfirmedAt = EventLoop::now();
  this->NextRetry = this->Settings.Retry;
  if (this->IsDisconnected)
    log(LogLevel::Info, "platform.regained", {{"kind", this->Kind}});
  this->IsDisconnected = false;
}

Duration ObjectWatcher::maxWatchTime() const {
  return this->Settings.Wait + this->BatchDelay + PromptAnswer;
}

/// To be called before the objects of an answer are applied.
void ObjectWatcher::noteAnswer(BootTime SentAt) {
  const BootTime Now = BootClock::now();
  const bool HasWaited = Now - SentAt > PromptAnswer;
  this->UnnoticedSince.reset();
  if (!HasWaited && this->CompleteUntil &&
      Now - *this->CompleteUntil > this->maxWatchTime())
    this->UnnoticedSince = this->CompleteUntil;
}

void ObjectWatcher::noteComplete(BootTime Until) {
  this->OwnCompleteUntil = Until;
  this->CompleteUntil = std::max(this->CompleteUntil, this->OwnCompleteUntil);
}

void ObjectWatcher::retry() {
  if (!this->IsDisconnected)
    log(LogLevel::Warn, "platform.lost", {{"kind", this->Kind}});
  this->IsDisconnected = true;
  const bool PeersReport = this->IsSecondary && this->HasRevision &&
                           (this->isCurrent() || this->ExpectsUpdates);
  const Duration Delay =
      PeersReport ? this->Settings.SecondaryRetry : this->NextRetry;
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
  this->IsFirstPage = After.empty();
  if (this->IsFirstPage) {
    this->Listed.clear();
    this->ListSentAt = BootClock::now();
  }
  const std::uint64_t Call = ++this->Generation;
  this->Api.list(this->Kind, {}, After,
                 [this, Call, Alive = std::weak_ptr(this->Alive)](
                     const PlatformList &Result) {
                   if (!Alive.expired() && Call == this->Generation)
                     this->onList(Result);
                 });
}

void ObjectWatcher::onList(const PlatformList &Result) {
  if (Result.Status != PlatformStatus::Ok) {
    this->retry();
    return;
  }
  // The watch starts from the first page's revision, so it also returns changes
  // made while later pages were read. Its objects may all be unreadable.
  if (this->IsFirstPage)
    this->Revision = this->UnchangedSince = Result.Revision;
  // A list does not wait for changes, however long its answer takes.
  this->noteAnswer(BootClock::now());
  for (const PlatformObject &Each : Result.Objects) {
    this->Listed.insert(Each.Key.Name);
    this->applyObject(Each);
  }
  if (const std::string Last = Result.lastName();
      Result.More && !Last.empty()) {
    this->list(Last);
    return;
  }
  this->HasRevision = true;
  log(LogLevel::Info, "platform.listed",
      {{"kind", this->Kind},
       {"era", std::to_string(this->Api.Era.current())},
       {"revision", std::to_string(this->Revision)},
       {"objects", std::to_string(this->Listed.size())}});
  std::erase_if(this->Known, [this](const auto &Each) {
    if (this->Listed.contains(Each.first))
      return false;
    this->Digest ^= digestOf(Each.first, Each.second);
    return true;
  });
  this->onResponse();
  this->noteComplete(this->ListSentAt);
  runGuarded("watch.listed", [&] { this->Events.OnListed(this->Listed); });
  this->awaitChanges();
}

/// Returns whether forwarded changes make a watch unnecessary.
bool ObjectWatcher::areUpdatesSufficient() const {
  return this->IsSecondary && this->ExpectsUpdates && this->isCurrent();
}

/// Waits for further changes, from a new watch or forwarded by peers.
void ObjectWatcher::awaitChanges() {
  if (!this->areUpdatesSufficient()) {
    this->watch();
    return;
  }
  // Responses to earlier calls are ignored from now on.
  ++this->Generation;
  this->Timer.disconnect();
  this->IsIdle = true;
}

bool ObjectWatcher::isCurrent() const {
  return this->ConfirmedAt && EventLoop::now() - *this->ConfirmedAt <=
                                  this->Settings.MaxConfirmationAge;
}

void ObjectWatcher::refresh() {
  if (this->HasRevision)
    this->watch(MinWait);
}

/// Starts a watch. \p Wait replaces the wait of the settings.
void ObjectWatcher::watch(std::optional<Duration> Wait) {
  const std::uint64_t Call = ++this->Generation;
  this->Timer.disconnect();
  this->IsIdle = false;
  this->IsLongPoll = !Wait && this->IsSecondary && this->isCurrent();
  this->Api.watch(
      this->Kind, this->Revision,
      Wait.value_or(this->IsLongPoll ? this->Settings.LongWait
                                     : this->Settings.Wait),
      [this, Call, SentAt = BootClock::now(),
       Alive = std::weak_ptr(this->Alive)](const PlatformList &Result) {
        if (!Alive.expired() && Call == this->Generation)
          this->onWatch(Result, SentAt);
      });
}

void ObjectWatcher::onWatch(const PlatformList &Result, BootTime SentAt) {
  this->IsLongPoll = false;
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
  this->onResponse();
  const std::uint64_t Since = this->UnchangedSince;
  if (Result.Revision > this->Revision)
    this->Revision = Result.Revision;
  if (!Result.Objects.empty())
    this->UnchangedSince = this->Revision;
  this->noteAnswer(SentAt);
  for (const PlatformObject &Each : Result.Objects)
    this->applyObject(Each);
  this->noteComplete(SentAt);
  if (!Result.Objects.empty() && !this->IsSecondary)
    this->OnUpdates({this->Kind, Since, this->Revision, Result.Objects,
                     this->Api.Era.current()});
  if (Result.Objects.empty() || this->BatchDelay == Duration::zero()) {
    this->awaitChanges();
    return;
  }
  this->Timer = this->Loop.timers().after(this->BatchDelay,
                                          [this] { this->awaitChanges(); });
}

void ObjectWatcher::receive(const ObjectUpdates &Updates) {
  if (!this->IsIdle || Updates.Era != this->Api.Era.current() ||
      Updates.Since > this->Revision || Updates.Revision <= this->Revision)
    return;
  this->Revision = this->UnchangedSince = Updates.Revision;
  this->UnnoticedSince.reset();
  for (const PlatformObject &Each : Updates.Objects) {
    const auto It = this->Known.find(Each.Key.Name);
    if (It == this->Known.end() || It->second < Each.Version)
      this->applyObject(Each);
  }
  this->ConfirmedAt = EventLoop::now();
  this->BehindSince.reset();
}

/// Applies an object to the view and to the digest that peers compare.
void ObjectWatcher::applyObject(const PlatformObject &Object) {
  this->LastChange = std::max(this->LastChange, Object.Version);
  this->eraseKnown(Object.Key.Name);
  if (!Object.Deleted) {
    this->Known[Object.Key.Name] = Object.Version;
    this->Digest ^= digestOf(Object.Key.Name, Object.Version);
  }
  // The watch goes on beside an object that cannot be applied.
  runGuarded("watch.object", [&] { this->Events.OnObject(Object); });
}

void ObjectWatcher::eraseKnown(const std::string &Name) {
  const auto It = this->Known.find(Name);
  if (It == this->Known.end())
    return;
  this->Digest ^= digestOf(Name, It->second);
  this->Known.erase(It);
}

WatchProgress ObjectWatcher::progress(TimePoint Now) const {
  return {this->LastChange, this->Digest,
          Now - this->AnsweredAt.value_or(TimePoint{}), this->Api.Era.current(),
          this->OwnCompleteUntil};
}

void ObjectWatcher::notePeerProgress(const WatchProgress &Peer, TimePoint Now) {
  const std::uint64_t Era = this->Api.Era.current();
  this->PeerAnsweredAt = std::max(this->PeerAnsweredAt,
                                  std::optional(BootClock::now() - Peer.Age));
  if (!this->HasRevision || Peer.Era < Era)
    return;
  this->IsEraDoubted |= Peer.Era > Era;
  if (!this->IsEraDoubted && Peer.Digest == this->Digest) {
    this->ConfirmedAt = std::max(*this->ConfirmedAt, Now - Peer.Age);
    this->CompleteUntil = std::max(this->CompleteUntil, Peer.CompleteUntil);
    this->BehindSince.reset();
    return;
  }
  if (Peer.Era == Era && Peer.LastChange < this->LastChange)
    return;
  if (!this->BehindSince)
    this->BehindSince = Now;
}

void ObjectWatcher::check(TimePoint Now) {
  // While the timer is set, the next call is due anyway.
  if (!this->HasRevision || !this->Timer.empty())
    return;
  const bool IsBehind =
      this->BehindSince &&
      Now - *this->BehindSince > this->Settings.MaxPeerLead + this->BatchDelay;
  const bool IsUnconfirmed = this->IsLongPoll && !this->isCurrent();
  const bool LeavesIdle = this->IsIdle && !this->areUpdatesSufficient();
  if (!IsBehind && !IsUnconfirmed && !LeavesIdle)
    return;
  log(LogLevel::Info, "platform.watch_again",
      {{"kind", this->Kind},
       {"reason", this->IsEraDoubted  ? "peers report a newer era"
                  : IsBehind          ? "peers are ahead"
                  : this->IsSecondary ? "no progress reports from peers"
                                      : "became a primary watcher"},
       {"last_change", std::to_string(this->LastChange)}});
  if (this->IsEraDoubted) {
    this->listAnew();
    return;
  }
  this->BehindSince.reset();
  this->watch();
}

} // namespace galenaroute
