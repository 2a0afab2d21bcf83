#include "process/ForwardGateway.h"

#include "process/ErrorKind.h"
#include "process/GossipMessages.h"
#include "process/Log.h"
#include "process/Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace galenaroute {

using nlohmann::json;

static constexpr auto GossipPeriod = std::chrono::milliseconds(500);
static constexpr auto HousekeepingPeriod = std::chrono::milliseconds(100);
/// From when outdated parts are not fetched any more until they are freed; the
/// other entries learn of new weights, and fetches under way end.
static constexpr auto FreeDelay = std::chrono::milliseconds(1500);
/// How long a notice of withheld upstreams holds; each round renews it.
static constexpr auto WithheldNoticeTime = std::chrono::milliseconds(700);
/// The configuration counts as current while the platform was heard within
/// this time; watches return at least every 1.5 s.
static constexpr auto MaxConfigAge = std::chrono::milliseconds(2500);
/// Addresses in one answer to a caller.
static constexpr std::size_t MaxAddresses = 8;
/// New calls are taken for this long after a stop was asked for, since callers
/// keep an address for some time.
static constexpr auto TakeAfterStop = std::chrono::milliseconds(2800);
/// Requests that callers had sent when new connections were refused arrive
/// within this time.
static constexpr auto LastRequests = std::chrono::milliseconds(300);
/// A stop ends this long before the platform would kill the process.
static constexpr auto StopMargin = std::chrono::milliseconds(400);
/// Calls in progress for each core at which an entry counts as busy.
static constexpr double CallsPerCore = 400;
/// Share of a service's engines that may load weights at the same time; more
/// would slow each other down.
static constexpr double LoadShare = 1.0 / 6;
/// A rollout passes over the engines in waves, and each waits for the next
/// look.
static constexpr auto OrderPeriod = std::chrono::milliseconds(200);
/// Engines are kept free of new work before they load weights: until all
/// entries have told of their calls there, and until these have ended. At 21
/// engines of Cedarline that took 2.5 to 5.5 s; the last ones end under the
/// order.
static constexpr auto OrderPreparation = std::chrono::milliseconds(400);
static constexpr auto MaxOrderPreparation = std::chrono::milliseconds(2500);
static constexpr int PreparingPerLoad = 1;
/// A call that has not begun this long before the limit is taken back.
static constexpr auto WeightsMargin = std::chrono::milliseconds(400);
/// Kind of the objects that keep when weights were named, by model.
static constexpr std::string_view HistoryKind = "weight-history";
/// From here on calls avoid engines with older weights, as a share of the time
/// that the platform allows.
static constexpr double OldWeightsShare = 0.75;

/// Up to this many entries all watch the platform closely and ask all stores.
/// With more, a few of each availability zone do, and calls stay few.
static constexpr std::size_t MaxCloseWatchers = 10;
static constexpr std::size_t CloseWatchersPerZone = 2;
/// Where not all watch closely, changes of upstreams are taken in batches. A
/// call that goes to an upstream that has just left is sent again elsewhere.
static constexpr auto BatchDelayPerEntry = std::chrono::milliseconds(10);
static constexpr Duration MaxBatchDelay = std::chrono::milliseconds(500);

/// Whether the platform was heard lately, last \p At.
static bool isRecent(std::optional<TimePoint> At) {
  return At && EventLoop::now() - *At <= MaxConfigAge;
}

static EntryRecord selfNews(const GatewaySettings &Settings) {
  EntryRecord Self;
  Self.Id = Settings.NodeId;
  Self.Incarnation = wallMilliseconds();
  Self.Callers = Settings.Callers;
  Self.Gossip = Settings.Gossip;
  Self.Zone = Settings.Zone;
  Self.Capacity = Settings.Cores;
  return Self;
}

ForwardGateway::ForwardGateway(EventLoop &Loop, GatewaySettings Given,
                               GatewayParts Parts)
    : Loop(Loop), Settings(std::move(Given)), Parts(Parts), Pool(Loop),
      Upstreams(
          this->Settings.Upstreams,
          [this](const UpstreamEntry &Entry) { return this->roomOf(Entry); }),
      Services{.Loop = Loop,
               .Codec = Parts.Codec,
               .Pool = Pool,
               .Upstreams = Upstreams,
               .Stats = Stats,
               .Random = Random},
      Stores(Loop, Parts.Feed),
      Configs(Loop, Parts.Api, Parts.Source.configKind(), {},
              {.OnObject =
                   [this](const PlatformObject &Object) {
                     this->onConfig(Object);
                   }}),
      Registry(Loop, Parts.Api, Parts.Source.upstreamKind(), {},
               {.OnObject =
                    [this](const PlatformObject &Object) {
                      this->onUpstream(Object);
                    },
                .OnListed =
                    [this](const std::set<std::string> &Names) {
                      this->Upstreams.retain(Names, EventLoop::now());
                    }}),
      WeightNotices(Loop, Parts.Api, Parts.Source.weightsKind(), {},
                    {.OnObject =
                         [this](const PlatformObject &Object) {
                           this->onWeights(Object);
                         }}),
      Entries(selfNews(this->Settings), {}),
      Statuses(
          this->Entries,
          [this](const SocketAddress &To, const std::string &Bytes) {
            this->Channel->send(To, Bytes);
          },
          this->statusEvents()),
      Crashes(
          {.Loop = Loop,
           .Record = this->Services.Crashes,
           .Api = Parts.Api,
           .Entries = this->Entries,
           .Send = [this](const SocketAddress &To, const std::string &Bytes) {
             this->Channel->send(To, Bytes);
           }}) {
  this->Upstreams.OnGone = [this](const SocketAddress &Address) {
    this->Pool.closeIdle(Address);
  };
  this->Upstreams.OnEnded = [this](const RegisteredUpstream &Ended) {
    this->noteEnded(Ended);
  };
  this->applySettings();
  for (ObjectWatcher *Each : {&this->Registry, &this->WeightNotices})
    Each->OnNews = [this](const ObjectNews &News) {
      this->tellZone({.Objects = News});
    };
  this->Stores.OnUpdate = [this](const StoreUpdate &News) {
    this->tellZone({.Store = News});
  };
  this->Services.OnCrashesChanged = [this](std::uint64_t Content,
                                           std::size_t Cleared) {
    this->Crashes.publish(Content, Cleared);
  };
  this->Services.OnSent = [this](const UpstreamEntry &To,
                                 std::uint32_t Tokens) {
    this->Statuses.publishIncrement(this->Upstreams.ownUseOf(To), Tokens,
                                    EventLoop::now());
    this->flushSoon();
  };
  this->Services.IsConfigFresh = [this] {
    return isRecent(this->Configs.heardAt());
  };
  this->Orders =
      OrderControllerBuilder(Loop, Parts.Api, Parts.Orders)
          .self(this->Settings.NodeId + "#" +
                std::to_string(this->Entries.self().Incarnation))
          .lease(this->Settings.LeaseTerm, this->Settings.LeaseTerm / 5,
                 this->Settings.LeaseTerm * 3 / 5)
          .period(OrderPeriod)
          .preparation(OrderPreparation, MaxOrderPreparation, PreparingPerLoad)
          .preferred([this](std::string_view Service) {
            return this->isPreferredFor(Service);
          })
          .next([this](std::string_view Service) {
            return this->isAmongHolders(Service, /*Count=*/2);
          })
          .build();
}

/// Brings the settings that may change into force.
void ForwardGateway::applySettings() {
  this->Entries.self().Capacity = this->Settings.Cores;
  this->shareRetries();
  this->Services.WeightsLimit = this->Settings.WeightsLimit - WeightsMargin;
  this->Services.OldWeightsLimit =
      fromSeconds(toSeconds(this->Settings.WeightsLimit) * OldWeightsShare);
  if (this->Listener && this->Services.Config)
    this->Listener->setLimits(this->callerLimits());
}

/// Divides the allowance of retries among the entries. Those not heard of keep
/// their share, since they may only be cut off from this one.
void ForwardGateway::shareRetries() {
  const RetryBudget Share =
      shareOfBudget(this->Settings.RetryShare, this->Settings.RetrySlack,
                    this->Entries.countKnown() + 1);
  this->Services.NewBudget = Share;
  for (auto &[Name, Budget] : this->Services.Budgets) {
    Budget.Share = Share.Share;
    Budget.Most = Share.Most;
  }
}

void ForwardGateway::reload(const GatewaySettings &Next) {
  this->Settings = Next;
  this->applySettings();
}

CallerLimits ForwardGateway::callerLimits() const {
  const ForwardLimits &Limits = this->Services.Config->Limits;
  return {.Message = {.MaxHeadBytes = Limits.MaxHeaderBytes,
                      .MaxBodyBytes = Limits.MaxBodyBytes},
          .HeadTimeout = Limits.HeaderTimeout,
          .IdleTimeout = Limits.IdleTimeout,
          .MaxConnections = this->Settings.MaxConnections};
}

ForwardGateway::~ForwardGateway() {
  for (sigc::connection &Each : this->Timers)
    Each.disconnect();
  this->StatusTimer.disconnect();
  this->FlushTimer.disconnect();
}

void ForwardGateway::start() {
  this->Listener = std::make_unique<CallListener>(
      this->Loop, this->Settings.Callers,
      CallerLimits{.MaxConnections = this->Settings.MaxConnections},
      [this](std::shared_ptr<IncomingCall> Call) {
        this->onCall(std::move(Call));
      });
  this->Channel = std::make_unique<EntryChannel>(
      this->Loop, this->Settings.Gossip,
      [this](GossipMessage Message) { this->onMessage(std::move(Message)); });
  this->Configs.start();
  this->Registry.start();
  this->WeightNotices.start();
  this->Crashes.start();
  this->gossip();
  this->tellStatus();
  this->Timers.push_back(
      this->Loop.timers().every(GossipPeriod, [this] { this->gossip(); }));
  this->Timers.push_back(this->Loop.timers().every(HousekeepingPeriod, [this] {
    const auto At = this->Registry.heardAt();
    // Without contact nothing says that a missing entry is gone.
    if (At && EventLoop::now() - *At < MaxConfigAge)
      this->Upstreams.expire(EventLoop::now());
    this->sweepStores();
    this->checkStop();
  }));
}

void ForwardGateway::onCall(std::shared_ptr<IncomingCall> Call) {
  std::make_shared<ForwardRun>(this->Services, std::move(Call))->start();
}

void ForwardGateway::onConfig(const PlatformObject &Object) {
  if (Object.Deleted)
    return;
  auto Read = this->Parts.Source.readConfig(Object);
  if (!Read)
    return;
  // A configuration never goes back within one process.
  if (this->Services.Config && Read->Version <= this->Services.Config->Version)
    return;
  Read->index();
  log(LogLevel::Info, "config.in_force",
      {{"version", std::to_string(Read->Version)},
       {"routes", std::to_string(Read->Routes.size())},
       {"services", std::to_string(Read->Services.size())},
       {"customers", std::to_string(Read->Customers.size())}});
  this->Services.Config =
      std::make_shared<const ForwardConfig>(std::move(*Read));
  const ForwardConfig &Config = *this->Services.Config;
  this->Stats.ConfigEpoch.Set(static_cast<double>(Config.Version));
  this->Stores.follow(Config);
  this->Services.Stores = this->Stores.views();
  this->Listener->setLimits(this->callerLimits());
  this->updateOrders();
}

void ForwardGateway::onUpstream(const PlatformObject &Object) {
  if (Object.Deleted) {
    this->Upstreams.remove(Object.Key.Name);
    this->updateOrders();
    return;
  }
  if (auto Read = this->Parts.Source.readUpstream(Object)) {
    this->Upstreams.put(*Read, EventLoop::now());
    this->updateOrders();
  }
}

/// An upstream ended without notice: calls that were given up there shortly
/// before may have crashed it.
void ForwardGateway::noteEnded(const RegisteredUpstream &Ended) {
  const TimePoint Now = EventLoop::now();
  const std::uint64_t Upstream = incarnationKey(Ended.Id, Ended.BornMs);
  for (const UnansweredSend &Each :
       takeGivenUp(this->Services.GivenUp, Upstream, Now))
    recordCrash(this->Services, Each, Ended.Id, /*Call=*/"-");
}

void ForwardGateway::onWeights(const PlatformObject &Object) {
  if (Object.Deleted)
    return;
  const auto Read = this->Parts.Source.readWeights(Object);
  if (!Read)
    return;
  NamedWeights &Named = this->Services.Weights[Read->Model];
  if (Read->Version <= Named.newest())
    return;
  const bool IsFoundAtStart = !this->WeightNotices.heardAt();
  // Until the history is read, what is found at the start counts as named so
  // long ago that older weights may not be used any more.
  const Duration Age =
      IsFoundAtStart ? this->Settings.WeightsLimit : Duration::zero();
  noteNamed(Named, Read->Version, EventLoop::now() - Age);
  this->syncWeightHistory(Read->Model, IsFoundAtStart ? 0 : Read->Version);
  log(LogLevel::Info, "weights.named",
      {{"model", Read->Model}, {"version", std::to_string(Read->Version)}});
  this->updateOrders();
}

/// Returns the ids of the live entries that \p Counts accepts, this one not
/// included; valid until the next message is received.
std::vector<std::string_view>
ForwardGateway::aliveIds(const EntryFilter &Counts) const {
  std::vector<std::string_view> Result;
  this->Entries.forEachAlive(EventLoop::now(), [&](const EntryRecord &Each) {
    if (Counts(Each))
      Result.emplace_back(Each.Id);
  });
  return Result;
}

/// Whether this entry is among the first \p Count for \p Task, of itself and
/// \p Others.
bool ForwardGateway::isAmong(std::string_view Task, std::size_t Count,
                             std::span<const std::string_view> Others) const {
  return isAmongFirst(Task, this->Settings.NodeId, Count, Others,
                      [](std::string_view Id) { return Id; });
}

/// Reads when the versions of \p Model were named. With \p Version, which was
/// named just now, one entry adds it for those that start later.
void ForwardGateway::syncWeightHistory(const std::string &Model,
                                       std::uint64_t Version) {
  const ObjectKey Key{std::string(HistoryKind), Model};
  const bool Writes = Version != 0 && this->isAmong(Model, 1, this->aliveIds());
  if (Version != 0 && !Writes)
    return;
  const std::int64_t NamedMs = wallMilliseconds();
  this->Parts.Api.get(Key, [this, Key, Version, NamedMs,
                            Alive = std::weak_ptr(this->Alive)](
                               const PlatformResult &Result) {
    if (Alive.expired())
      return;
    std::map<std::uint64_t, std::int64_t> History;
    try {
      if (Result.Status == PlatformStatus::Ok)
        for (const json &Each : Result.Object.Value)
          History[Each.at(0)] = Each.at(1);
    } catch (const json::exception &Failure) {
      log(LogLevel::Warn, "weights.history_malformed",
          {{"model", Key.Name}, {"message", Failure.what()}});
    }
    if (Version == 0) {
      restoreNamed(this->Services.Weights[Key.Name], History,
                   wallMilliseconds(), EventLoop::now());
      log(LogLevel::Info, "weights.history",
          {{"model", Key.Name}, {"versions", std::to_string(History.size())}});
      this->updateOrders();
      return;
    }
    History[Version] = NamedMs;
    while (History.size() > MaxNamedWeights)
      History.erase(History.begin());
    json Value = json::array();
    for (const auto &[Each, Since] : History)
      Value.push_back({Each, Since});
    const std::uint64_t IfVersion = Result.Status == PlatformStatus::Ok
                                        ? Result.Object.Version
                                        : Platform::MustNotExist;
    this->Parts.Api.put(Key, Value, IfVersion,
                        [Key](const PlatformResult &Written) {
                          // Without it, a later start is only more careful.
                          if (Written.Status != PlatformStatus::Ok)
                            log(LogLevel::Warn, "weights.history_not_written",
                                {{"model", Key.Name}});
                        });
  });
}

/// Tells the order controller which engines there are and what they should
/// have.
void ForwardGateway::updateOrders() {
  if (!this->Services.Config)
    return;
  auto Next = std::make_shared<Configuration>();
  for (const auto &[Name, Service] : this->Services.Config->Services) {
    if (!Service.Engine)
      continue;
    const auto Named = this->Services.Weights.find(Service.Engine->Model);
    if (Named == this->Services.Weights.end())
      continue;
    ServiceConfig Wanted;
    Wanted.Name = Name;
    Wanted.Kind = ServiceKind::Model;
    Wanted.Model = Service.Engine->Model;
    Wanted.WeightVersion = std::to_string(Named->second.newest());
    Wanted.ChecksFence = this->Settings.ChecksFence;
    // Those that are furthest behind go first, of these the least busy.
    using Rank = std::pair<std::uint64_t, std::uint64_t>;
    std::vector<std::pair<Rank, UpstreamConfig>> Ranked;
    for (const auto &[Id, Entry] : this->Upstreams.entries())
      if (Entry.Registered.Service == Name && !Entry.isLeaving())
        Ranked.push_back(
            {{Entry.WeightVersion.value_or(0), this->Upstreams.callsAt(Entry)},
             {.Name = Id,
              .Address = Entry.Registered.Address,
              .Zone = Entry.Registered.Zone}});
    std::stable_sort(
        Ranked.begin(), Ranked.end(),
        [](const auto &A, const auto &B) { return A.first < B.first; });
    for (auto &[Order, Upstream] : Ranked)
      Wanted.Upstreams.push_back(std::move(Upstream));
    Wanted.MaxConcurrentLoads = std::max(
        1, static_cast<int>(std::ceil(
               LoadShare * static_cast<double>(Wanted.Upstreams.size()))));
    Next->Services[Name] = std::move(Wanted);
  }
  this->Orders->setConfiguration(std::move(Next));
}

/// Returns the oldest weights for which cache is still of use: those of the
/// engine furthest behind, or the newest once half of the engines have them,
/// since the stores' room is needed for these.
std::uint64_t ForwardGateway::leastUsefulWeights() const {
  std::uint64_t Newest = 0;
  for (const auto &[Model, Named] : this->Services.Weights)
    Newest = std::max(Newest, Named.newest());
  std::size_t Engines = 0;
  std::size_t Current = 0;
  std::uint64_t Least = Newest;
  for (const auto &[Id, Entry] : this->Upstreams.entries()) {
    if (!Entry.WeightVersion)
      continue;
    ++Engines;
    Current += *Entry.WeightVersion >= Newest;
    Least = std::min(Least, *Entry.WeightVersion);
  }
  return Current * 2 >= Engines ? Newest : Least;
}

/// Zones are only added: the homes of prompts should not move when a zone is
/// lost for a while.
void ForwardGateway::noteZones() {
  std::vector<std::string> &Zones = this->Services.Reuse.Zones;
  for (const auto &[Id, Entry] : this->Upstreams.entries())
    if (Entry.WeightVersion && std::find(Zones.begin(), Zones.end(),
                                         Entry.Registered.Zone) == Zones.end())
      Zones.push_back(Entry.Registered.Zone);
}

/// Stops the use of outdated parts and, a while later, frees them.
void ForwardGateway::sweepStores() {
  const TimePoint Now = EventLoop::now();
  this->noteZones();
  const std::uint64_t Least = this->leastUsefulWeights();
  if (Least > this->Services.Reuse.LeastWeights) {
    this->Services.Reuse.LeastWeights = Least;
    this->LeastWeightsSince = Now;
  }
  if (Now - this->LeastWeightsSince < FreeDelay || this->StopAskedAt)
    return;
  if (this->isAmong("stores", 1, this->aliveIds()))
    this->Stores.freeOutdated(this->Services.Reuse.LeastWeights);
}

bool ForwardGateway::needsOrders(std::string_view Service) const {
  const auto Found = this->Services.Config->Services.find(Service);
  if (Found == this->Services.Config->Services.end() || !Found->second.Engine)
    return false;
  const auto Named = this->Services.Weights.find(Found->second.Engine->Model);
  if (Named == this->Services.Weights.end())
    return false;
  for (const auto &[Id, Entry] : this->Upstreams.entries())
    if (Entry.Registered.Service == Service && !Entry.isLeaving() &&
        Entry.WeightVersion.value_or(0) < Named->second.newest())
      return true;
  return false;
}

/// Whether this entry should hold the lease of \p Service: it does already, or
/// there is something to order and it is the first of those alive.
bool ForwardGateway::isPreferredFor(std::string_view Service) {
  if (this->StopAskedAt || !this->Services.Config)
    return false;
  return (this->Orders && this->Orders->holds(Service)) ||
         this->isAmongHolders(Service, /*Count=*/1);
}

/// Whether there is something to order for \p Service and this entry is among
/// the first \p Count of those alive that should hold its lease.
bool ForwardGateway::isAmongHolders(std::string_view Service,
                                    std::size_t Count) {
  if (this->StopAskedAt || !this->Services.Config ||
      !this->needsOrders(Service) || !this->seesPlatform())
    return false;
  return this->isAmong(Service, Count,
                       this->aliveIds([](const EntryRecord &Each) {
                         return Each.ReachesPlatform;
                       }));
}

std::size_t ForwardGateway::entryCount() const { return this->EntryCount; }

/// Each entry may use its share of the connections that an upstream accepts.
UpstreamTable::Room ForwardGateway::roomOf(const UpstreamEntry &Entry) const {
  UpstreamTable::Room Result;
  const SocketAddress &To = Entry.Registered.Address;
  Result.HasIdle = this->Pool.hasIdle(To, MaxIdleRepeatable);
  if (!this->Services.Config)
    return Result;
  const auto Found =
      this->Services.Config->Services.find(Entry.Registered.Service);
  if (Found == this->Services.Config->Services.end())
    return Result;
  const std::size_t Share = std::max<std::size_t>(
      2, static_cast<std::size_t>(Found->second.MaxConnections) /
             this->entryCount());
  Result.MayOpen = this->Pool.connections(To) < Share;
  return Result;
}

bool ForwardGateway::isReady() const {
  return !this->StopAskedAt && this->Services.Config &&
         !this->Upstreams.entries().empty();
}

std::vector<SocketAddress> ForwardGateway::addressesFor(std::string_view Zone) {
  std::vector<EntryRecord> Ready;
  for (EntryRecord &Each : this->Entries.alive(EventLoop::now()))
    if (Each.IsReady)
      Ready.push_back(std::move(Each));
  if (this->isReady() || Ready.empty())
    Ready.push_back(this->Entries.self());
  return chooseEntryAddresses(Ready, Zone, MaxAddresses, this->Random);
}

void ForwardGateway::gossip() {
  const TimePoint Now = EventLoop::now();
  EntryRecord &Self = this->Entries.self();
  Self.IsReady = this->isReady();
  Self.ReachesPlatform = this->seesPlatform();
  Self.IsLeaving = this->StopAskedAt.has_value();
  Self.Busy = std::min(1.0, static_cast<double>(this->Services.Open) /
                                (CallsPerCore * this->Settings.Cores));
  this->EntryCount = this->Entries.countAlive(Now) + 1;
  this->Statuses.update(Now);
  this->divideWatches();
  const std::size_t Count = this->entryCount();
  this->Upstreams.setSenders(Count);
  this->Stores.setFollowers(
      Count > MaxCloseWatchers ? this->Services.Reuse.Zones.size() + 1 : Count);
  this->shareRetries();
  const std::string Message =
      encodeGossip({.Records = this->Entries.makeGossip(Now, this->Random)});
  const std::vector<SocketAddress> Targets =
      this->Entries.targets(this->Settings.GossipSeeds, Now, this->Random);
  for (const SocketAddress &To : Targets)
    this->Channel->send(To, Message);
  this->Crashes.onGossipRound(Targets);
}

StatusEvents ForwardGateway::statusEvents() {
  return {
      .OnUse =
          [this](const std::string &From, std::vector<UseItem> Use,
                 std::size_t Members) {
            this->Upstreams.othersUse().note(From, std::move(Use),
                                             EventLoop::now(), Members);
          },
      .OnUpstreamUse =
          [this](const std::string &From, const UseItem &Item) {
            this->Upstreams.othersUse().noteOne(From, Item, EventLoop::now());
          },
      .OnAdded =
          [this](const std::string &From, const UseItem &Item) {
            this->Upstreams.othersUse().noteAdded(From, Item);
          },
      .OnWithheld =
          [this](std::span<const std::string> Ids) { this->noteWithheld(Ids); },
      .OnProgress =
          [this](const std::string &Kind, const ObjectContact &Told) {
            for (ObjectWatcher *Each : this->watchers())
              if (Each->kind() == Kind)
                Each->noteContact(Told, EventLoop::now());
          }};
}

/// Tells the other entries of what this one does.
void ForwardGateway::tellStatus() {
  const TimePoint Now = EventLoop::now();
  this->Upstreams.othersUse().setMaxAge(this->Statuses.maxAge());
  this->Upstreams.othersUse().expire(Now);
  this->StatusTimer = this->Loop.timers().after(this->Statuses.period(),
                                                [this] { this->tellStatus(); });
  EntryStatus Status;
  Status.From = this->Settings.NodeId;
  Status.Use = this->Upstreams.ownUse();
  if (this->Services.Config)
    for (const auto &[Name, Service] : this->Services.Config->Services)
      if (Service.Engine)
        for (std::string &Id : this->Orders->withheld(Name))
          Status.Withheld.push_back(std::move(Id));
  this->noteWithheld(Status.Withheld);
  // The registry tells the others of a server that leaves, but later.
  for (const auto &[Id, Entry] : this->Upstreams.entries())
    if (Entry.SaidLeaving && !Entry.Registered.IsLeaving)
      Status.Withheld.push_back(Id);
  for (ObjectWatcher *Each : this->watchers())
    Each->check(Now);
  if (this->seesPlatform())
    for (const ObjectWatcher *Each : this->watchers())
      Status.Progress.emplace_back(Each->kind(), Each->contact(Now));
  this->Statuses.publish(std::move(Status), Now);
}

/// Passes new calls on in batches, where this entry is a relay.
void ForwardGateway::flushSoon() {
  if (!this->Statuses.hasPending() || !this->FlushTimer.empty())
    return;
  this->FlushTimer =
      this->Loop.timers().after(this->Statuses.flushPeriod(), [this] {
        this->FlushTimer.disconnect();
        this->Statuses.flush();
      });
}

std::array<ObjectWatcher *, 3> ForwardGateway::watchers() {
  return {&this->Configs, &this->Registry, &this->WeightNotices};
}

/// Decides whether this entry watches the platform closely or relies on those
/// that do, and which stores it asks for the others of its zone.
void ForwardGateway::divideWatches() {
  const std::size_t Count = this->entryCount();
  const auto Near = this->aliveIds(
      [this](const EntryRecord &Each) { return this->isNear(Each); });
  const auto IsClose = [&](std::string_view Task, std::size_t First) {
    return Count <= MaxCloseWatchers || this->isAmong(Task, First, Near);
  };
  const bool IsCloseWatcher = IsClose("platform", CloseWatchersPerZone);
  for (ObjectWatcher *Each : this->watchers())
    Each->rely(!IsCloseWatcher);
  // Configurations are watched by all: they must be in force everywhere soon,
  // and are too large for a message.
  for (ObjectWatcher *Each : {&this->Registry, &this->WeightNotices})
    Each->relyOnNews(Count > MaxCloseWatchers);
  this->Stores.assign(
      [&](std::string_view Store) { return IsClose(Store, 1); });
  this->Registry.setBatchDelay(
      Count > MaxCloseWatchers
          ? std::min<Duration>(MaxBatchDelay,
                               BatchDelayPerEntry *
                                   static_cast<std::int64_t>(Count))
          : Duration::zero());
}

/// Whether the platform itself answered this entry lately.
bool ForwardGateway::seesPlatform() const {
  return isRecent(this->Configs.answeredAt());
}

/// Passes on to the other entries of the zone what this one has heard for them.
void ForwardGateway::tellZone(const GossipMessage &Message) {
  if (this->entryCount() <= MaxCloseWatchers)
    return;
  const std::string Bytes = encodeGossip(Message);
  // Those that do not hear of so much at once ask themselves.
  if (Bytes.size() > EntryChannel::MaxBytes)
    return;
  this->Entries.forEachAlive(EventLoop::now(), [&](const EntryRecord &Each) {
    if (this->isNear(Each))
      this->Channel->send(Each.Gossip, Bytes);
  });
}

bool ForwardGateway::isNear(const EntryRecord &Other) const {
  return Other.Zone == this->Settings.Zone;
}

/// Keeps calls away from upstreams that load weights or are about to.
void ForwardGateway::noteWithheld(std::span<const std::string> Ids) {
  for (const std::string &Id : Ids)
    this->Upstreams.noteClosed(Id, EventLoop::now() + WithheldNoticeTime);
}

void ForwardGateway::onMessage(GossipMessage Message) {
  this->Entries.receive(Message.Records, EventLoop::now());
  if (!Message.Status.From.empty())
    this->Statuses.receive(std::move(Message.Status), EventLoop::now());
  if (!Message.Digest.From.empty())
    this->Statuses.receive(std::move(Message.Digest), EventLoop::now());
  if (!Message.Added.From.empty())
    this->Statuses.receive(Message.Added, EventLoop::now());
  this->flushSoon();
  this->Crashes.receive(Message.Crashes);
  if (Message.Store)
    this->Stores.receive(*Message.Store);
  if (Message.Objects)
    for (ObjectWatcher *Each : this->watchers())
      if (Each->kind() == Message.Objects->Kind)
        Each->receive(*Message.Objects);
}

void ForwardGateway::drain() {
  if (this->StopAskedAt)
    return;
  log(LogLevel::Info, "process.stopping",
      {{"open_calls", std::to_string(this->Services.Open)}});
  this->StopAskedAt = EventLoop::now();
  this->Stats.Draining.Set(1);
  this->Listener->closeAfterAnswers();
  this->Orders->resign();
  this->gossip();
}

void ForwardGateway::checkStop() {
  if (!this->StopAskedAt)
    return;
  const Duration Since = EventLoop::now() - *this->StopAskedAt;
  if (Since >= TakeAfterStop) {
    this->Services.IsStopping = true;
    this->Listener->stopAccepting();
  }
  // Requests that arrive on connections that are still open are refused as not
  // run; the process stays until all that it has read is answered.
  const bool IsIdle = this->Services.Open == 0 && this->Listener->isQuiet() &&
                      Since >= TakeAfterStop + LastRequests;
  if (!IsIdle && Since < this->Settings.Grace - StopMargin)
    return;
  this->Listener->abortAll();
  log(LogLevel::Info, "process.stopped",
      {{"open_calls", std::to_string(this->Services.Open)}});
  this->StopAskedAt = EventLoop::now() + std::chrono::hours(1);
  this->Stopped.emit();
}

} // namespace galenaroute
