#include "process/StoreFollower.h"

#include "process/Log.h"

#include <algorithm>

namespace galenaroute {

/// How long a call waits for events. Shorter waits detect an unreachable store
/// sooner, but calls with waits below 200 ms would count as probes.
static constexpr auto EventWait = std::chrono::milliseconds(600);
/// The wait where a store cannot hold an open call of each entry.
static constexpr auto SharedEventWait = std::chrono::milliseconds(200);
/// Pause between calls, so that events of a busy store come in batches.
static constexpr auto PollPeriod = std::chrono::milliseconds(120);
/// Pause per entry where the entries share the open calls of a store.
static constexpr auto PollPeriodPerEntry = std::chrono::milliseconds(9);
/// Lists are read this many times less often where entries share the open calls
/// or receive updates from another entry.
static constexpr int SharedListFactor = 10;
/// A few events get lost, so the whole list is read periodically.
static constexpr auto ListPeriod = std::chrono::seconds(10);
/// Minimum time between two calls to free parts of a store, so that events can
/// first report what was freed.
static constexpr auto FreePeriod = std::chrono::seconds(1);
/// An entry polls a store itself after this long without an update. Updates
/// come at least every EventWait plus PollPeriod. Shorter than
/// ReuseSettings::MaxStoreAge.
static constexpr auto MaxUpdateGap = std::chrono::milliseconds(1000);
static constexpr auto UpdateCheckPeriod = std::chrono::milliseconds(250);
static constexpr auto RetryPeriod = std::chrono::milliseconds(400);
/// After this many consecutive refusals, or responses that cannot be read, each
/// further one doubles the pause, up to MaxDoublings times. When 295 entries
/// start, all of them poll each store before they know of one another, and a
/// store takes a dozen calls at a time. A response that cannot be read may take
/// megabytes and the time to receive them.
static constexpr int RetriesBeforeBackoff = 2;
static constexpr int MaxDoublings = 3;

StoreFollower::StoreFollower(EventLoop &Loop, CacheFeed &Feed)
    : Loop(Loop), Feed(Feed) {}

StoreFollower::~StoreFollower() {
  for (const auto &[Name, Each] : this->Stores)
    Each->Timer.disconnect();
}

void StoreFollower::follow(const ForwardConfig &Config) {
  std::erase_if(this->Stores, [&](const auto &Each) {
    const auto It = Config.Services.find(Each.first);
    const bool Keeps = It != Config.Services.end() && It->second.Store &&
                       It->second.Store->Address == Each.second->Address;
    if (!Keeps)
      Each.second->Timer.disconnect();
    return !Keeps;
  });
  for (const auto &[Name, Service] : Config.Services) {
    if (!Service.Store || !Service.Store->IsManaged ||
        this->Stores.contains(Name))
      continue;
    auto Added = std::make_unique<Store>();
    Added->Address = Service.Store->Address;
    Added->Zone = Service.Store->Zone;
    Added->MaxWatchers = Service.Store->MaxWatchers;
    Added->Latency = Service.Store->Latency;
    // The first call starts with the oldest event that the store retains.
    Added->ListedAt = EventLoop::now();
    Added->CapacityTokens = Service.Store->CacheTokens;
    this->Stores[Name] = std::move(Added);
    this->poll(Name);
  }
}

std::vector<StoreView> StoreFollower::views() {
  std::vector<StoreView> Result;
  for (const auto &[Name, Each] : this->Stores)
    Result.push_back({Each->Address.toString(), Each->Zone,
                      Each->CapacityTokens, Each->Latency, &Each->Contents});
  return Result;
}

void StoreFollower::freeOutdated(const VersionsByModel &Oldest) {
  const TimePoint Now = EventLoop::now();
  for (const auto &[Name, Each] : this->Stores) {
    if (Each->IsUnreachable || !Each->Contents.IsKnown ||
        Now - Each->FreedAt < FreePeriod)
      continue;
    std::vector<std::pair<std::string, std::string>> Parts;
    for (const std::string &Key : outdatedParts(Each->Contents, Oldest)) {
      const std::size_t Slash = Key.rfind('/');
      Parts.emplace_back(Key.substr(0, Slash), Key.substr(Slash + 1));
    }
    if (Parts.empty())
      continue;
    Each->FreedAt = Now;
    log(LogLevel::Info, "store.free",
        {{"store", Name},
         {"parts", std::to_string(Parts.size())},
         {"first", Parts.front().first}});
    this->Feed.free(Each->Address, Each->Contents.Epoch, Parts);
  }
}

/// Returns whether the entries are too many for each to have a call open at the
/// store. Some calls are left for lists and frees.
static bool exceedsWatchers(std::size_t Followers, int MaxWatchers) {
  return Followers + 2 > static_cast<std::size_t>(std::max(2, MaxWatchers));
}

Duration StoreFollower::pollPeriod(const Store &Polled) const {
  if (!exceedsWatchers(this->Followers, Polled.MaxWatchers))
    return PollPeriod;
  return std::max<Duration>(PollPeriod, PollPeriodPerEntry *
                                            static_cast<int>(this->Followers));
}

void StoreFollower::poll(const std::string &Name) {
  const auto It = this->Stores.find(Name);
  if (It == this->Stores.end())
    return;
  Store &Polled = *It->second;
  if (!Polled.IsAssigned && !Polled.NeedsList && !Polled.HasMissedEvents &&
      Polled.Contents.IsKnown &&
      EventLoop::now() - Polled.Contents.ReportedAt < MaxUpdateGap) {
    this->pollLater(Name, UpdateCheckPeriod);
    return;
  }
  // The store may be replaced by one at another address before it answers.
  const auto Done = [this, Name, Session = std::weak_ptr(Polled.Session)](
                        std::optional<StoreEventBatch> Batch) {
    if (!Session.expired())
      this->onBatch(Name, std::move(Batch));
  };
  if (Polled.NeedsList)
    this->Feed.list(Polled.Address, Done);
  else
    this->Feed.events(Polled.Address, Polled.Contents.Next,
                      this->eventWait(Polled), Done);
}

/// Returns how long a call waits for events.
Duration StoreFollower::eventWait(const Store &Polled) const {
  // A call that only catches up must not occupy a slot of one that waits.
  if (!Polled.IsAssigned)
    return Duration::zero();
  return exceedsWatchers(this->Followers, Polled.MaxWatchers)
             ? Duration(SharedEventWait)
             : Duration(EventWait);
}

/// Returns the pause before the next call to a store after consecutive failures
/// of one kind.
static Duration backoffAfter(int Failures) {
  const int Doublings =
      std::clamp(Failures - RetriesBeforeBackoff, 0, MaxDoublings);
  return RetryPeriod * (1 << Doublings);
}

void StoreFollower::pollLater(const std::string &Name, Duration Delay) {
  this->Stores[Name]->Timer =
      this->Loop.timers().after(Delay, [this, Name] { this->poll(Name); });
}

void StoreFollower::assign(
    const std::function<bool(std::string_view Store)> &IsAssigned) {
  for (const auto &[Name, Each] : this->Stores)
    Each->IsAssigned = IsAssigned(Name);
}

void StoreFollower::receive(const StoreUpdate &Update) {
  const auto It = this->Stores.find(Update.Store);
  if (It == this->Stores.end())
    return;
  Store &Followed = *It->second;
  const StoreContents &Known = Followed.Contents;
  // After a restart of the store, or if this entry is ahead, its own call
  // resolves the difference.
  if (Followed.IsAssigned || Followed.NeedsList || !Known.IsKnown ||
      Known.Epoch != Update.Batch.Epoch || Update.Batch.Next < Known.Next)
    return;
  if (Update.Since > Known.Next) {
    Followed.HasMissedEvents = true;
    return;
  }
  applyEvents(Followed.Contents, Update.Batch, EventLoop::now());
}

void StoreFollower::onBatch(const std::string &Name,
                            std::optional<StoreEventBatch> Batch) {
  const auto It = this->Stores.find(Name);
  if (It == this->Stores.end())
    return;
  Store &Polled = *It->second;
  if (!Batch || Batch->IsMalformed) {
    if (!Polled.IsUnreachable)
      log(LogLevel::Warn, "store.lost", {{"store", Name}});
    // The store may have restarted unnoticed and be writing its parts anew.
    Polled.IsUnreachable = true;
    Polled.NeedsList = true;
    Polled.Contents.IsKnown = false;
    Polled.Malformed = Batch ? Polled.Malformed + 1 : 0;
    if (Batch)
      this->OnMalformed();
    this->pollLater(Name, backoffAfter(Polled.Malformed));
    return;
  }
  Polled.Malformed = 0;
  if (Batch->IsBusy) {
    // The known contents remain valid until they are too old.
    this->pollLater(Name, backoffAfter(++Polled.Refusals));
    return;
  }
  Polled.Refusals = 0;
  if (Polled.IsUnreachable)
    log(LogLevel::Info, "store.regained", {{"store", Name}});
  Polled.IsUnreachable = false;
  Polled.HasMissedEvents = false;
  const std::uint64_t Since = Polled.Contents.Next;
  const bool Restarted =
      Polled.Contents.IsKnown && Polled.Contents.Epoch != Batch->Epoch;
  const TimePoint Now = EventLoop::now();
  if (Batch->IsList)
    Polled.ListedAt = Now;
  const bool IsShared = exceedsWatchers(this->Followers, Polled.MaxWatchers) ||
                        !Polled.IsAssigned;
  Polled.NeedsList =
      Batch->HasGap || (Restarted && !Batch->IsList) ||
      Now - Polled.ListedAt >=
          (IsShared ? ListPeriod * SharedListFactor : ListPeriod);
  if (Restarted || Batch->HasGap)
    log(LogLevel::Info, "store.contents_unsure",
        {{"store", Name},
         {"epoch", std::to_string(Batch->Epoch)},
         {"gap", Batch->HasGap ? "yes" : "no"}});
  applyEvents(Polled.Contents, *Batch, Now);
  if (Polled.IsAssigned && !Batch->IsList && !Batch->HasGap && !Restarted)
    this->OnUpdate({Name, Since, *Batch});
  this->pollLater(Name,
                  Batch->IsList ? Duration::zero() : this->pollPeriod(Polled));
}

} // namespace galenaroute
