#include "process/StoreFollower.h"

#include "process/Log.h"

#include <algorithm>

namespace galenaroute {

/// How long a call waits for events. Shorter waits show a lost store sooner;
/// waits under 200 ms would be counted as probes.
static constexpr auto EventWait = std::chrono::milliseconds(600);
/// The same where a store could not hold a waiting call of each entry.
static constexpr auto SharedEventWait = std::chrono::milliseconds(200);
/// Between calls, so that a busy store's events come in batches.
static constexpr auto AskPeriod = std::chrono::milliseconds(120);
/// The same for each entry where calls take turns.
static constexpr auto AskPeriodPerEntry = std::chrono::milliseconds(9);
/// Where calls take turns or others tell, lists are read this many times less
/// often.
static constexpr int SharedListFactor = 10;
/// A few events never arrive, so the whole list is read now and then.
static constexpr auto ListPeriod = std::chrono::seconds(10);
/// Between two calls to free parts of one store; events tell what was freed.
static constexpr auto FreePeriod = std::chrono::seconds(1);
/// News of a store comes at least every EventWait and AskPeriod; without any
/// for this long an entry asks itself. Shorter than ReuseSettings::MaxStoreAge.
static constexpr auto NewsSilence = std::chrono::milliseconds(1000);
static constexpr auto NewsCheckPeriod = std::chrono::milliseconds(250);
static constexpr auto RetryPeriod = std::chrono::milliseconds(400);
/// After this many refusals in a row the pause doubles with each, up to the
/// longest one. At the start of 295 entries, all ask each store before they
/// know of one another, and a store takes a dozen calls at a time.
static constexpr int QuickRetries = 2;
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
    // The first call starts at the first event that the store still has.
    Added->ListedAt = EventLoop::now();
    Added->CapacityTokens = Service.Store->CacheTokens;
    this->Stores[Name] = std::move(Added);
    this->ask(Name);
  }
}

std::vector<StoreView> StoreFollower::places() {
  std::vector<StoreView> Result;
  for (const auto &[Name, Each] : this->Stores)
    Result.push_back({Each->Address.toString(), Each->Zone,
                      Each->CapacityTokens, Each->Latency, &Each->Contents});
  return Result;
}

void StoreFollower::freeOutdated(std::uint64_t LeastWeights) {
  const TimePoint Now = EventLoop::now();
  for (const auto &[Name, Each] : this->Stores) {
    if (Each->IsLost || !Each->Contents.IsKnown ||
        Now - Each->FreedAt < FreePeriod)
      continue;
    std::vector<std::pair<std::string, std::string>> Parts;
    for (const std::string &Key : outdatedParts(Each->Contents, LeastWeights)) {
      const std::size_t Slash = Key.find('/');
      Parts.emplace_back(Key.substr(0, Slash), Key.substr(Slash + 1));
    }
    if (Parts.empty())
      continue;
    Each->FreedAt = Now;
    log(LogLevel::Info, "store.free",
        {{"store", Name},
         {"parts", std::to_string(Parts.size())},
         {"least_weights", std::to_string(LeastWeights)}});
    this->Feed.free(Each->Address, Each->Contents.Epoch, Parts);
  }
}

/// Whether not all entries can have a call waiting at the store; some room is
/// left for lists and frees.
static bool takesTurns(std::size_t Followers, int MaxWatchers) {
  return Followers + 2 > static_cast<std::size_t>(std::max(2, MaxWatchers));
}

Duration StoreFollower::askPeriod(const Store &Asked) const {
  if (!takesTurns(this->Followers, Asked.MaxWatchers))
    return AskPeriod;
  return std::max<Duration>(AskPeriod, AskPeriodPerEntry *
                                           static_cast<int>(this->Followers));
}

void StoreFollower::ask(const std::string &Name) {
  const auto It = this->Stores.find(Name);
  if (It == this->Stores.end())
    return;
  Store &Asked = *It->second;
  if (!Asked.IsAsked && !Asked.NeedsList && !Asked.HasMissed &&
      Asked.Contents.IsKnown &&
      EventLoop::now() - Asked.Contents.ReportedAt < NewsSilence) {
    this->askLater(Name, NewsCheckPeriod);
    return;
  }
  const auto Done = [this, Name, Alive = std::weak_ptr(this->Alive)](
                        std::optional<StoreEventBatch> Batch) {
    if (!Alive.expired())
      this->onBatch(Name, std::move(Batch));
  };
  if (Asked.NeedsList)
    this->Feed.list(Asked.Address, Done);
  else
    this->Feed.events(Asked.Address, Asked.Contents.Next, this->waitFor(Asked),
                      Done);
}

/// How long a call for events waits.
Duration StoreFollower::waitFor(const Store &Asked) const {
  // One that only catches up must not keep the place of one that waits.
  if (!Asked.IsAsked)
    return Duration::zero();
  return takesTurns(this->Followers, Asked.MaxWatchers)
             ? Duration(SharedEventWait)
             : Duration(EventWait);
}

/// How long to leave a store alone that has refused calls.
static Duration pauseAfter(int Refusals) {
  const int Doublings = std::clamp(Refusals - QuickRetries, 0, MaxDoublings);
  return RetryPeriod * (1 << Doublings);
}

void StoreFollower::askLater(const std::string &Name, Duration Delay) {
  this->Stores[Name]->Timer =
      this->Loop.timers().after(Delay, [this, Name] { this->ask(Name); });
}

void StoreFollower::divide(
    const std::function<bool(std::string_view Store)> &IsAsked) {
  for (const auto &[Name, Each] : this->Stores)
    Each->IsAsked = IsAsked(Name);
}

void StoreFollower::receive(const StoreNews &News) {
  const auto It = this->Stores.find(News.Store);
  if (It == this->Stores.end())
    return;
  Store &Told = *It->second;
  const StoreContents &Known = Told.Contents;
  // After a restart, and where this entry is ahead, its own call settles it.
  if (Told.IsAsked || Told.NeedsList || !Known.IsKnown ||
      Known.Epoch != News.Batch.Epoch || News.Batch.Next < Known.Next)
    return;
  if (News.Since > Known.Next) {
    Told.HasMissed = true;
    return;
  }
  applyEvents(Told.Contents, News.Batch, EventLoop::now());
}

void StoreFollower::onBatch(const std::string &Name,
                            std::optional<StoreEventBatch> Batch) {
  const auto It = this->Stores.find(Name);
  if (It == this->Stores.end())
    return;
  Store &Asked = *It->second;
  if (!Batch) {
    if (!Asked.IsLost)
      log(LogLevel::Warn, "store.lost", {{"store", Name}});
    // It may have restarted unseen, so that parts are being written anew.
    Asked.IsLost = true;
    Asked.NeedsList = true;
    Asked.Contents.IsKnown = false;
    this->askLater(Name, RetryPeriod);
    return;
  }
  if (Batch->IsBusy) {
    // What is known stays of use until it is too old.
    this->askLater(Name, pauseAfter(++Asked.Refusals));
    return;
  }
  Asked.Refusals = 0;
  if (Asked.IsLost)
    log(LogLevel::Info, "store.regained", {{"store", Name}});
  Asked.IsLost = false;
  Asked.HasMissed = false;
  const std::uint64_t Since = Asked.Contents.Next;
  const bool Restarted =
      Asked.Contents.IsKnown && Asked.Contents.Epoch != Batch->Epoch;
  const TimePoint Now = EventLoop::now();
  if (Batch->IsList)
    Asked.ListedAt = Now;
  const bool IsShared =
      takesTurns(this->Followers, Asked.MaxWatchers) || !Asked.IsAsked;
  Asked.NeedsList = Batch->HasGap || (Restarted && !Batch->IsList) ||
                    Now - Asked.ListedAt >=
                        (IsShared ? ListPeriod * SharedListFactor : ListPeriod);
  if (Restarted || Batch->HasGap)
    log(LogLevel::Info, "store.contents_unsure",
        {{"store", Name},
         {"epoch", std::to_string(Batch->Epoch)},
         {"gap", Batch->HasGap ? "yes" : "no"}});
  applyEvents(Asked.Contents, *Batch, Now);
  if (Asked.IsAsked && !Batch->IsList && !Batch->HasGap && !Restarted)
    this->OnHeard({Name, Since, *Batch});
  this->askLater(Name,
                 Batch->IsList ? Duration::zero() : this->askPeriod(Asked));
}

} // namespace galenaroute
