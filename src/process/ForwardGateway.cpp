#include "process/ForwardGateway.h"

#include "process/GossipMessages.h"
#include "process/Log.h"
#include "process/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace galenaroute {

static constexpr auto GossipPeriod = std::chrono::milliseconds(500);
static constexpr auto HousekeepingPeriod = std::chrono::milliseconds(100);
/// Validity of a notice that upstreams are withheld from new calls; each status
/// round renews it.
static constexpr auto WithheldNoticeTime = std::chrono::milliseconds(700);
/// The configuration counts as current if the platform was heard from within
/// this time; watches return at least every 1.5 s.
static constexpr auto MaxConfigAge = std::chrono::milliseconds(2500);
/// Maximum number of addresses in one response to a caller.
static constexpr std::size_t MaxAddresses = 8;
/// New calls are accepted for this long after a stop is requested, because
/// callers cache addresses for some time.
static constexpr auto AcceptAfterStop = std::chrono::milliseconds(2800);
/// Requests already sent when the listener closes arrive within this time.
static constexpr auto LateRequestTime = std::chrono::milliseconds(300);
/// A stop completes this long before the platform would kill the process.
static constexpr auto StopMargin = std::chrono::milliseconds(400);
/// The operator writes again within this time what the copy lacks from which
/// the platform was restored.
static constexpr Duration MaxRewriteTime = std::chrono::seconds(5);
/// Open calls per core at which a gateway reports full load.
static constexpr double CallsPerCore = 400;
/// A rollout updates the engines in waves, and each wave starts at the next
/// poll.
static constexpr auto OrderPeriod = std::chrono::milliseconds(200);
/// Engines receive no new work before they load weights, until all gateways
/// have reported their calls there and these calls have ended. With the 18 to
/// 21 engines of Cedarline this takes 2.5 to 5.5 s; calls that are still open
/// at the maximum finish while the order is in progress and occupy a load.
static constexpr auto MinOrderDrain = std::chrono::milliseconds(400);
static constexpr auto MaxOrderDrain = std::chrono::milliseconds(5000);
/// A drain takes longer than a load, so loads would wait for drained engines
/// if only as many were drained as may load.
static constexpr int DrainingPerLoad = 2;
/// A call that has not started this long before the weights limit is withdrawn.
static constexpr auto WeightsMargin = std::chrono::milliseconds(400);
/// After this fraction of the time that the platform allows, calls avoid
/// engines with older weights.
static constexpr double OldWeightsShare = 0.75;

/// Assumed where the platform does not state the memory of the machine.
static constexpr std::size_t DefaultMemoryBytes = std::size_t{1} << 30;

/// Up to this many gateways, each watches the platform and polls all stores
/// directly. In a larger fleet only a few in each availability zone do, which
/// bounds the load on the platform and the stores.
static constexpr std::size_t MaxPrimaryWatchers = 10;
/// Events of a store in one message to other gateways; more do not fit in it.
static constexpr std::size_t MaxForwardedEvents =
    EntryChannel::MaxBytes / sizeof(StoreEvent) * 8;
static constexpr std::size_t PrimaryWatchersPerZone = 2;
/// In a larger fleet, upstream changes are applied in batches. A call sent to
/// an upstream that has just left is retried elsewhere.
static constexpr auto BatchDelayPerGateway = std::chrono::milliseconds(10);
static constexpr Duration MaxBatchDelay = std::chrono::milliseconds(500);

/// Returns whether \p At, the time of the last contact with the platform, is
/// recent.
static bool isRecent(std::optional<TimePoint> At) {
  return At && EventLoop::now() - *At <= MaxConfigAge;
}

static void dropCompleteUntil(
    std::vector<std::pair<std::string, WatchProgress>> &Progress) {
  for (auto &[Kind, Each] : Progress)
    Each.CompleteUntil.reset();
}

static EntryRecord localRecord(const GatewaySettings &Settings) {
  EntryRecord Self;
  Self.Id = Settings.NodeId;
  Self.Incarnation = wallMilliseconds();
  Self.Callers = Settings.Callers;
  Self.Gossip = Settings.Gossip;
  Self.Zone = Settings.Zone;
  Self.Capacity = Settings.Cores;
  Self.Level = OwnLevel;
  Self.LeastPeerLevel = LeastPeerLevel;
  return Self;
}

ForwardGateway::ForwardGateway(EventLoop &Loop, GatewaySettings InitialSettings,
                               GatewayParts Parts)
    : Loop(Loop), Settings(std::move(InitialSettings)), Parts(Parts),
      Memory(memoryLimits(this->usableMemory())), Pool(Loop, Parts.Answers),
      Upstreams(this->Settings.Upstreams,
                [this](const UpstreamEntry &Entry) {
                  return this->connectionRoom(Entry);
                }),
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
      Entries(localRecord(this->Settings), {}),
      Paths({.Pool = Pool,
             .Upstreams = Upstreams,
             .Entries = Entries,
             .Stats = Stats,
             .OnChanged = [this](const std::string &) { this->wakeQueues(); }}),
      Statuses(
          this->Entries,
          [this](const SocketAddress &To, const std::string &Bytes) {
            this->Channel->send(To, Bytes);
          },
          this->statusEvents()),
      Crashes({.Loop = Loop,
               .Record = this->Services.Crashes,
               .Api = Parts.Api,
               .Entries = this->Entries,
               .Send =
                   [this](const SocketAddress &To, const std::string &Bytes) {
                     this->Channel->send(To, Bytes);
                   },
               .LastAnswered =
                   [this](std::uint64_t Key) {
                     return lastAnswered(this->Services.Answered, Key);
                   },
               .OnRefusalsChanged =
                   [this] { this->Services.RefusalsChanged.emit(); }}),
      Rates(this->Entries, this->rateParts()),
      SoftwareVersions(this->softwareVersionParts()),
      StreamStore(this->streamStoreParts()) {
  this->Upstreams.OnUnavailable = [this](const SocketAddress &Address) {
    this->Pool.closeIdle(Address);
  };
  this->Upstreams.OnUnexpectedEnd = [this](const UpstreamEntry &Ended) {
    this->onUpstreamEnded(Ended);
  };
  this->Upstreams.OnReturned = [this](const UpstreamEntry &Returned,
                                      TimePoint RemovedAt) {
    this->onUpstreamReturned(Returned, RemovedAt);
  };
  this->Memory.OnRefusal = [this](std::string_view Reason) {
    this->Stats.decision("door." + std::string(Reason));
  };
  this->applySettings();
  this->watchEvacuations();
  if (this->Evacuations || this->Settings.HasColdBound)
    this->Services.MaySend = [this] { return this->knowsUpstreams(); };
  for (ObjectWatcher *Each : this->forwardedWatchers())
    Each->OnUpdates = [this](const ObjectUpdates &News) {
      this->sendToZone({.Objects = News});
    };
  this->Stores.OnUpdate = [this](const StoreUpdate &News) {
    if (News.Batch.Events.size() <= MaxForwardedEvents)
      this->sendToZone({.Store = News});
  };
  this->Stores.OnMalformed = [this] {
    this->Stats.decision("store.malformed");
  };
  this->Services.OnCrashesChanged = [this](std::uint64_t Key,
                                           std::size_t Cleared) {
    this->Crashes.publish(Key, Cleared);
  };
  this->connectRates();
  this->connectStreams();
  this->connectPaths();
  this->Services.OnSent = [this](const UpstreamEntry &To,
                                 std::uint32_t Tokens) {
    if (this->Rates.limitOf(To.Incarnation))
      this->Stats.decision("permit.used");
    this->Rates.take(To.Incarnation);
    this->Statuses.publishIncrement(this->Upstreams.ownUseOf(To), Tokens,
                                    EventLoop::now());
    this->scheduleFlush();
  };
  this->Services.IsConfigFresh = [this] {
    return isRecent(this->Configs.confirmedAt());
  };
  this->Services.IsConfigOutdated = [this] { return this->isConfigOutdated(); };
  this->Orders =
      OrderControllerBuilder(Loop, Parts.Api, Parts.Orders)
          .self(this->Settings.NodeId + "#" +
                std::to_string(this->Entries.self().Incarnation))
          .lease(this->Settings.LeaseTerm, this->Settings.LeaseTerm / 5,
                 this->Settings.LeaseTerm * 3 / 5)
          .period(OrderPeriod)
          .drainTimes(MinOrderDrain, MaxOrderDrain, DrainingPerLoad)
          .preferred([this](std::string_view Service) {
            return this->isPreferredFor(Service);
          })
          .standby([this](std::string_view Service) {
            return this->isLeaseCandidate(Service, /*Count=*/2);
          })
          .build();
}

RateExchangeParts ForwardGateway::rateParts() {
  return {.Loop = this->Loop,
          .Send =
              [this](const SocketAddress &To, const std::string &Bytes) {
                this->Channel->send(To, Bytes);
              },
          .OnPermits = [this] { this->wakeQueues(); },
          .IdOf = [this](std::uint64_t Upstream) -> std::optional<std::string> {
            for (const auto &[Id, Entry] : this->Upstreams.entries())
              if (Entry.Incarnation == Upstream)
                return Id;
            return std::nullopt;
          }};
}

SoftwareVersionStoreParts ForwardGateway::softwareVersionParts() {
  return {.Loop = this->Loop,
          .Api = this->Parts.Api,
          .RegisteredVersions = [this] { return this->registeredVersions(); },
          .IsRegistryCurrent =
              [this] { return isRecent(this->Registry.confirmedAt()); },
          .IsFirstStart = this->Settings.IsFirstStart,
          .MaxClockError = this->Settings.MaxClockError,
          .HasEarlierSets = [this] { return this->StreamStore.hasListed(); }};
}

/// Lets calls and the choice of upstreams use the shared rate limits.
void ForwardGateway::connectRates() {
  this->Upstreams.PermissionOf = [this](const UpstreamEntry &Entry) {
    return this->permissionToCall(Entry);
  };
  this->Services.OnRateLimit = [this](const UpstreamEntry &From,
                                      std::optional<double> PerSecond) {
    this->Rates.noteAnswer(From.Incarnation, PerSecond);
  };
  this->Services.RequestPermits = [this](const UpstreamEntry &To,
                                         std::uint32_t Calls) {
    this->Stats.decision("permit.wanted");
    this->Rates.request(To.Incarnation, Calls);
  };
}

UpstreamTable::CallPermission
ForwardGateway::permissionToCall(const UpstreamEntry &Entry) const {
  if (!this->Rates.hasLimits() || this->Rates.mayCall(Entry.Incarnation))
    return {};
  return {.MayCall = false,
          .ExpectedAt =
              this->Rates.expectedAt(Entry.Incarnation).value_or(TimePoint())};
}

/// Limits the rate of calls to an upstream that has just started.
void ForwardGateway::limitIfCold(const UpstreamEntry &Entry) {
  if (Entry.WarmUpEnd > EventLoop::now())
    this->limitCold(Entry, Entry.WarmUpEnd);
}

void ForwardGateway::limitCold(const UpstreamEntry &Entry, TimePoint Until) {
  if (!this->Services.Config)
    return;
  const auto Service =
      this->Services.Config->Services.find(Entry.Registered.Service);
  if (Service != this->Services.Config->Services.end() &&
      Service->second.ColdCallsPerSecond > 0)
    this->Rates.limitCold(Entry.Incarnation, Service->second.ColdCallsPerSecond,
                          Until);
}

void ForwardGateway::updateRateMembers() {
  // Without contact to the platform or to other gateways, this one may be cut
  // off from a fleet of which it has not heard yet.
  const bool MayBeCutOff = !this->reachesPlatform() && this->GatewayCount == 1;
  const std::size_t Seeds = this->Settings.GossipSeeds.size();
  this->Rates.updateMembers(
      std::max(this->KnownCount, MayBeCutOff ? Seeds + 1 : 1));
}

/// Returns the memory of the machine, or less if this process may not map as
/// much.
std::size_t ForwardGateway::usableMemory() const {
  const std::size_t Stated =
      this->Settings.MemoryBytes.value_or(DefaultMemoryBytes);
  return std::min(Stated, this->AddressSpace.value_or(Stated));
}

void ForwardGateway::setMemoryShort(bool Short) {
  this->Memory.setShort(Short);
  this->Parts.Answers->setShort(Short);
}

MemoryReserveEvents ForwardGateway::memoryEvents() {
  return {.OnReleased = [this] { this->setMemoryShort(true); },
          .OnShort = [this] { this->Stats.decision("memory.short"); },
          .Free = [this] { return this->Listener->shedLargest(); },
          .OnRestored = [this] { this->setMemoryShort(false); }};
}

/// Applies the settings that may change at run time.
void ForwardGateway::applySettings() {
  this->Entries.self().Capacity = this->Settings.Cores;
  this->Memory.setLimits(memoryLimits(this->usableMemory()));
  this->Parts.Answers->setWaitBytes(this->Memory.limit(MemoryPart::Upstreams));
  this->updateDescriptorShares();
  this->updateRelayLimits();
  this->updateRetryBudgets();
  this->Services.WeightsLimit = this->Settings.WeightsLimit - WeightsMargin;
  this->Services.PartTimes = partLeaseTimes(this->Settings.WeightsLimit);
  this->Services.OldWeightsLimit =
      fromSeconds(toSeconds(this->Settings.WeightsLimit) * OldWeightsShare);
  if (this->Listener && this->Services.Config)
    this->Listener->setLimits(this->callerLimits());
}

void ForwardGateway::updateDescriptorShares() {
  const std::size_t Available =
      reserveDescriptors(this->Settings.MaxDescriptors);
  const DescriptorShares Next = shareDescriptors(Available);
  if (std::exchange(this->Descriptors, Next) == Next)
    return;
  log(Available < this->Settings.MaxDescriptors ? LogLevel::Warn
                                                : LogLevel::Info,
      "descriptors.shared",
      {{"settings", std::to_string(this->Settings.MaxDescriptors)},
       {"available", std::to_string(Available)},
       {"calls", std::to_string(Next.Calls.Served)},
       {"refused", std::to_string(Next.Calls.Refused)},
       {"endpoint", std::to_string(Next.Endpoint.Served)}});
}

/// Divides the retry budget among the gateways. Unreachable gateways keep their
/// share, since they may only be partitioned from this one.
void ForwardGateway::updateRetryBudgets() {
  const RetryBudget Share = budgetPerProcess(
      this->Settings.RetryShare, this->Settings.RetrySlack, this->KnownCount);
  this->Services.NewBudget = Share;
  for (auto &[Name, Budget] : this->Services.Budgets) {
    Budget.Share = Share.Share;
    Budget.Capacity = Share.Capacity;
  }
}

void ForwardGateway::reload(const GatewaySettings &Next) {
  this->Settings = Next;
  this->applySettings();
}

void ForwardGateway::addDoorLimits(CallerLimits &Limits, MemoryPart Part) {
  Limits.Message.MaxFields = this->Settings.Door.MaxFields;
  Limits.Message.MaxListItems = this->Settings.Door.MaxListItems;
  Limits.GiveWayAfter = this->Settings.Door.GiveWayAfter;
  Limits.Memory = &this->Memory;
  Limits.Part = Part;
  Limits.LimitsQueues = this->Settings.MemoryBytes.has_value();
}

CallerLimits ForwardGateway::callerLimits() {
  CallerLimits Result{.MaxConnections = this->Descriptors.Calls.Served,
                      .MaxRefused = this->Descriptors.Calls.Refused};
  this->addDoorLimits(Result, MemoryPart::Calls);
  if (!this->Services.Config)
    return Result;
  const ForwardLimits &Limits = this->Services.Config->Limits;
  Result.Message.MaxHeadBytes = Limits.MaxHeaderBytes;
  Result.Message.MaxBodyBytes = Limits.MaxBodyBytes;
  Result.HeadTimeout = Limits.HeaderTimeout;
  Result.IdleTimeout = Limits.IdleTimeout;
  return Result;
}

/// Returns whether a request with \p Head may be sent on.
bool ForwardGateway::keepsBody(const HttpHead &Head) const {
  if (!this->Services.Config)
    return false;
  CallRequest Call;
  Call.Target = Head.Target;
  return findRoute(*this->Services.Config,
                   Head.Headers.find("Host").value_or(""),
                   Call.path()) != nullptr;
}

ForwardGateway::~ForwardGateway() {
  for (sigc::connection &Each : this->Timers)
    Each.disconnect();
  this->StatusTimer.disconnect();
  this->FlushTimer.disconnect();
  this->EraChanges.disconnect();
  this->AnswersExceeded.disconnect();
  for (auto &[Model, Timer] : this->HistoryTimers)
    Timer.disconnect();
}

void ForwardGateway::start() {
  this->Listener = std::make_unique<CallListener>(
      this->Loop, this->Settings.Callers, this->callerLimits(),
      [this](std::shared_ptr<IncomingCall> Call) {
        this->onCall(std::move(Call));
      });
  this->Listener->setBodyFilter(
      [this](const HttpHead &Head) { return this->keepsBody(Head); });
  this->Channel = std::make_unique<EntryChannel>(
      this->Loop, this->Settings.Gossip,
      [this](GossipMessage Message) { this->onMessage(std::move(Message)); });
  this->startRelays();
  this->AnswersExceeded =
      this->Parts.Answers->Exceeded.connect([this](std::string_view Reason) {
        this->Stats.decision("answer." + std::string(Reason));
      });
  this->EraChanges = this->Parts.Api.Era.Changed.connect(
      [this](const EraChange &Change) { this->onEraChanged(Change); });
  this->Configs.start();
  this->Registry.start();
  this->WeightNotices.start();
  if (this->Evacuations)
    this->Evacuations->start();
  this->Crashes.start();
  this->SoftwareVersions.start();
  this->StreamStore.start();
  this->gossip();
  this->publishStatus();
  this->Timers.push_back(
      this->Loop.timers().every(GossipPeriod, [this] { this->gossip(); }));
  this->Timers.push_back(this->Loop.timers().every(HousekeepingPeriod, [this] {
    this->detectStall();
    this->Paths.update();
    const auto At = this->Registry.confirmedAt();
    // Without contact to the platform, a missing upstream can't be
    // distinguished from an outage, so none is expired.
    if (At && EventLoop::now() - *At < MaxConfigAge)
      this->Upstreams.expire(EventLoop::now());
    if (this->Rates.hasLimits())
      this->updateRateMembers();
    this->closeEvacuated();
    this->renewPartRights();
    this->freeOutdatedParts();
    this->checkStop();
  }));
}

/// The platform was restored from a copy, so what this gateway stored there may
/// be gone. The next gossip round writes the histories of weights again.
void ForwardGateway::onEraChanged(const EraChange &Change) {
  log(LogLevel::Info, "platform.stored_dropped",
      {{"era", std::to_string(Change.Now)},
       {"before", std::to_string(Change.Before)},
       {"histories", std::to_string(this->StoredWeights.size())}});
  this->EraSince = EventLoop::now();
  this->StoredWeights.clear();
  this->Crashes.onEraChanged();
  this->SoftwareVersions.onEraChanged();
  this->StreamStore.onEraChanged();
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
  // Configuration versions never decrease within one process.
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
  this->ResumableServices.clear();
  std::set<std::set<std::string>> PerRoute;
  for (const ForwardRoute &Route : Config.Routes) {
    if (!Route.IsStream || Route.Repeat != Repeatability::Resumable)
      continue;
    std::set<std::string> Names;
    for (const WeightedService &Each : Route.Services)
      Names.insert(Each.Service);
    this->ResumableServices.insert(Names.begin(), Names.end());
    PerRoute.insert(std::move(Names));
  }
  this->SoftwareVersions.setServices(std::move(PerRoute));
  // The views refer to stores that follow() may remove before it fails.
  this->Services.Stores.clear();
  this->Stores.follow(Config);
  this->Services.Stores = this->Stores.views();
  this->setCustomers(Config);
  this->Listener->setLimits(this->callerLimits());
  for (const auto &[Id, Entry] : this->Upstreams.entries())
    this->limitIfCold(Entry);
  this->updateOrders();
}

void ForwardGateway::setCustomers(const ForwardConfig &Config) {
  CustomerWeights Weights;
  this->CustomerNames.clear();
  for (const ForwardCustomer &Each : Config.Customers) {
    const CustomerKey Key = customerKey(Each.Name);
    this->CustomerNames[Key] = Each.Name;
    Weights[Key] = Each.Weight.value_or(1);
  }
  this->Services.Customers.setWeights(std::move(Weights));
}

void ForwardGateway::updateCustomerMetrics() {
  std::map<std::string, double> Named;
  for (const CustomerTime &Each :
       this->Services.Customers.largestOwn(EventLoop::now()))
    if (const auto Name = this->CustomerNames.find(Each.Customer);
        Name != this->CustomerNames.end())
      Named[Name->second] = Each.Ms;
  this->Stats.customerTimes(Named);
}

void ForwardGateway::onUpstream(const PlatformObject &Object) {
  if (Object.Deleted) {
    this->Upstreams.remove(Object.Key.Name, EventLoop::now());
    this->updateOrders();
    return;
  }
  if (auto Read = this->Parts.Source.readUpstream(Object)) {
    this->Upstreams.put(*Read, EventLoop::now());
    if (this->ResumableServices.contains(Read->Service))
      this->SoftwareVersions.noteUpstream(Read->Service, Read->SoftwareVersion);
    this->limitIfCold(*this->Upstreams.find(Read->Id));
  } else {
    // What it named before is no longer registered.
    this->Upstreams.remove(Object.Key.Name, EventLoop::now());
  }
  this->updateOrders();
}

/// Handles an upstream that ended without notice: calls that timed out there
/// shortly before may have crashed it, unless it answered others after them.
void ForwardGateway::onUpstreamEnded(const UpstreamEntry &Ended) {
  for (const UnansweredSend &Each : takeUnanswered(
           this->Services.Unanswered, Ended.Incarnation, EventLoop::now()))
    if (Each.EndedAt >= Ended.ProgressAt)
      recordCrash(this->Services, Each, Ended.Registered.Id, /*Call=*/"-");
}

/// Handles an upstream that only its registry entry had left, so that no call
/// has crashed it.
void ForwardGateway::onUpstreamReturned(const UpstreamEntry &Returned,
                                        TimePoint RemovedAt) {
  // A copy from which the platform was restored lists ended upstreams, too.
  if (this->mayPlatformLackObjects() && RemovedAt < this->EraSince)
    return;
  for (const std::uint64_t Key : noteRunning(
           this->Services.Crashes, Returned.Incarnation, EventLoop::now())) {
    log(LogLevel::Info, "content.not_broken",
        {{"content", keyName(Key)},
         {"upstream", Returned.Registered.Id},
         {"crashes", std::to_string(crashCount(this->Services.Crashes, Key))}});
    this->Services.OnCrashesChanged(Key, 0);
  }
}

/// Returns the ids of the other live gateways that \p Filter accepts. The views
/// stay valid until the next message is received.
std::vector<std::string_view>
ForwardGateway::liveGatewayIds(const GatewayFilter &Filter) const {
  std::vector<std::string_view> Result;
  this->Entries.forEachAlive(EventLoop::now(), [&](const EntryRecord &Each) {
    if (Filter(Each))
      Result.emplace_back(Each.Id);
  });
  return Result;
}

/// Returns whether this gateway is one of the \p Count that rendezvous hashing
/// assigns to \p Task, out of itself and \p Others.
bool ForwardGateway::isAssigned(
    std::string_view Task, std::size_t Count,
    std::span<const std::string_view> Others) const {
  return isAmongFirst(Task, this->Settings.NodeId, Count, Others,
                      [](std::string_view Id) { return Id; });
}

std::size_t ForwardGateway::gatewayCount() const { return this->GatewayCount; }

/// Limits each gateway to an equal share of the connections that an upstream
/// accepts. Unreachable gateways keep their share, since they may only be
/// partitioned from this one.
UpstreamTable::ConnectionCapacity
ForwardGateway::connectionRoom(const UpstreamEntry &Entry) const {
  UpstreamTable::ConnectionCapacity Result;
  const SocketAddress &To = Entry.Registered.Address;
  Result.HasIdle = this->Paths.isCut(Entry.Registered.Service)
                       ? this->Pool.hasAnyIdle(To, MaxIdleRepeatable)
                       : this->Pool.hasIdle(To, MaxIdleRepeatable);
  if (!this->Services.Config)
    return Result;
  const auto Found =
      this->Services.Config->Services.find(Entry.Registered.Service);
  if (Found == this->Services.Config->Services.end())
    return Result;
  Result.MayOpen =
      this->Pool.connections(To) <
      connectionShare(static_cast<std::size_t>(Found->second.MaxConnections),
                      this->KnownCount);
  return Result;
}

/// Returns whether the platform may not have back yet what a restoration took
/// away: this process has just started, or noticed the restoration.
bool ForwardGateway::mayPlatformLackObjects() const {
  return EventLoop::now() - this->EraSince < MaxRewriteTime;
}

bool ForwardGateway::isReady() const {
  return !this->StopRequestedAt && this->Listener && this->Channel &&
         this->Listener->isBound() && this->Channel->isBound() &&
         this->Services.Config && !this->Upstreams.entries().empty() &&
         (!this->Evacuations || this->HasEvacuations) &&
         !this->isConfigOutdated();
}

/// Returns whether this process has started with a configuration that is older
/// than that of other gateways, or stood still while they received it and the
/// platform then lost it, and awaits the newer one.
bool ForwardGateway::isConfigOutdated() const {
  const TimePoint Now = EventLoop::now();
  if (!this->Services.Config || !this->mayPlatformLackObjects())
    return false;
  std::uint64_t Newest = 0;
  this->Entries.forEachAlive(Now, [&](const EntryRecord &Each) {
    Newest = std::max(Newest, Each.ConfigVersion);
  });
  return Newest > this->Services.Config->Version;
}

void ForwardGateway::logConfigOutdated() {
  const bool IsOutdated = this->isConfigOutdated();
  if (IsOutdated != this->WasConfigOutdated)
    log(LogLevel::Info, IsOutdated ? "config.outdated" : "config.wait_ended",
        {{"version", std::to_string(this->Services.Config->Version)}});
  this->WasConfigOutdated = IsOutdated;
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
  this->logConfigOutdated();
  this->updateCustomerMetrics();
  Self.IsReady = this->isReady();
  Self.ConfigVersion =
      this->Services.Config ? this->Services.Config->Version : 0;
  Self.ReachesPlatform = this->reachesPlatform();
  Self.IsLeaving = this->StopRequestedAt.has_value();
  Self.Heard = this->Paths.heardServices();
  Self.Busy = std::min(1.0, static_cast<double>(this->Services.OpenRuns) /
                                (CallsPerCore * this->Settings.Cores));
  this->GatewayCount = this->Entries.countAlive(Now) + 1;
  this->KnownCount = this->Entries.fleetSize(Now);
  // The others cannot be heard yet, and have their shares all the same.
  if (!this->Channel->isBound())
    this->KnownCount =
        std::max(this->KnownCount, this->Settings.GossipSeeds.size() + 1);
  this->Statuses.update(Now);
  this->updateRateMembers();
  this->assignWatchers();
  const std::size_t Count = this->gatewayCount();
  this->Upstreams.setGatewayCount(Count);
  this->updateFleet();
  this->reportBuilds();
  this->Stores.setFollowers(Count > MaxPrimaryWatchers
                                ? this->Services.Reuse.Zones.size() + 1
                                : Count);
  this->updateRetryBudgets();
  this->Services.StreamStorePeriod = StreamOriginStore::periodFor(Count);
  const std::string Message =
      encodeGossip({.Records = this->Entries.makeGossip(Now, this->Random)});
  const std::vector<SocketAddress> Targets =
      this->Entries.targets(this->Settings.GossipSeeds, Now, this->Random);
  for (const SocketAddress &To : Targets)
    this->Channel->send(To, Message);
  this->sendWeightNotices(Targets);
  this->storeWeightHistories();
  this->Crashes.onGossipRound(Targets);
  std::unordered_set<std::uint64_t> Registered;
  if (this->Rates.hasLimits())
    for (const auto &[Id, Entry] : this->Upstreams.entries())
      Registered.insert(Entry.Incarnation);
  this->Rates.onGossipRound(Targets, Registered, this->Random);
}

StatusEvents ForwardGateway::statusEvents() {
  return {.OnUse =
              [this](const std::string &From, std::vector<UseItem> Use,
                     std::size_t Members) {
                this->Upstreams.peerUse().setReport(From, std::move(Use),
                                                    EventLoop::now(), Members);
              },
          .OnUpstreamUse =
              [this](const std::string &From, const UseItem &Item) {
                this->Upstreams.peerUse().updateItem(From, Item,
                                                     EventLoop::now());
              },
          .OnAdded =
              [this](const std::string &From, const UseItem &Item) {
                this->Upstreams.peerUse().addItem(From, Item);
              },
          .OnWithheld =
              [this](std::span<const std::string> Ids) {
                this->excludeWithheld(Ids);
              },
          .OnProgress =
              [this](const std::string &Kind, const WatchProgress &Progress) {
                for (ObjectWatcher *Each : this->watchers())
                  if (Each->kind() == Kind)
                    Each->notePeerProgress(Progress, EventLoop::now());
              },
          .OnCustomers =
              [this](const std::string &From, std::vector<CustomerTime> Times,
                     bool IsFleet) {
                const TimePoint Now = EventLoop::now();
                CustomerUse &Customers = this->Services.Customers;
                if (IsFleet)
                  Times = Customers.withoutOwn(std::move(Times), Now);
                Customers.noteReport(From, Times, Now);
              },
          .OnBacklog =
              [this](const std::string &From, std::vector<BacklogItem> Backlog,
                     std::size_t Members) {
                setReport(this->Services.Backlog, From, std::move(Backlog),
                          EventLoop::now(), Members);
              }};
}

/// Drops outdated reports of the other gateways' backlogs, and returns the work
/// that is queued here.
std::vector<BacklogItem> ForwardGateway::updateBacklog(TimePoint Now) {
  FleetBacklog &Reported = this->Services.Backlog;
  Reported.MaxAge = this->Statuses.maxAge();
  expireReports(Reported, Now);
  const bool IsReassessing = takeReassessment(Reported, Now);
  std::vector<BacklogItem> Result;
  for (const auto &[Service, Queue] : this->Services.Queues) {
    if (IsReassessing)
      Queue->assessAgain();
    const QueuedWork &Work = Queue->backlog();
    const bool WasEmpty = !this->ServicesWithBacklog.contains(Service);
    if (isEmpty(Work) && WasEmpty)
      continue;
    // Set to zero once after the queue has become empty.
    if (isEmpty(Work))
      this->ServicesWithBacklog.erase(Service);
    else
      this->ServicesWithBacklog.insert(Service);
    for (std::size_t I = 0; I < PriorityClasses; ++I)
      this->Stats.backlog(
          Service, I, static_cast<double>(Work.OnTimeMs[I] + Work.LateMs[I]));
    Result.push_back({useKey(Service), Work});
  }
  limitItems(Result);
  return Result;
}

/// Publishes this gateway's load and watch positions to the other gateways.
void ForwardGateway::publishStatus() {
  const TimePoint Now = EventLoop::now();
  this->Upstreams.peerUse().setMaxAge(this->Statuses.maxAge());
  this->Upstreams.peerUse().expire(Now);
  this->Upstreams.updateEstimates(Now);
  this->StatusTimer = this->Loop.timers().after(
      this->Statuses.period(), [this] { this->publishStatus(); });
  EntryStatus Status;
  Status.From = this->Settings.NodeId;
  Status.Use = this->Upstreams.ownUse();
  Status.Incarnation = this->Entries.self().Incarnation;
  Status.Customers = this->Services.Customers.report(Now);
  Status.Backlog = this->updateBacklog(Now);
  if (this->Services.Config)
    for (const auto &[Name, Service] : this->Services.Config->Services)
      if (Service.Engine)
        for (std::string &Id : this->Orders->withheld(Name))
          Status.Withheld.push_back(std::move(Id));
  this->excludeWithheld(Status.Withheld);
  // The registry also announces a leaving server to the other gateways, but
  // later.
  for (const auto &[Id, Entry] : this->Upstreams.entries())
    if ((Entry.AnnouncedLeaving && !Entry.Registered.IsLeaving) ||
        this->sharesPauseOf(Entry, Now))
      Status.Withheld.push_back(Id);
  for (ObjectWatcher *Each : this->watchers())
    Each->check(Now);
  if (this->reachesPlatform())
    for (const ObjectWatcher *Each : this->watchers())
      if (Each->hasProgress())
        Status.Progress.emplace_back(Each->kind(), Each->progress(Now));
  this->Statuses.publish(std::move(Status), Now);
}

/// Schedules the next batch of forwarded status updates if this gateway is a
/// relay.
void ForwardGateway::scheduleFlush() {
  if (!this->Statuses.hasPending() || !this->FlushTimer.empty())
    return;
  this->FlushTimer =
      this->Loop.timers().after(this->Statuses.flushPeriod(), [this] {
        this->FlushTimer.disconnect();
        this->Statuses.flush();
      });
}

std::vector<ObjectWatcher *> ForwardGateway::watchers() {
  std::vector<ObjectWatcher *> Result = this->forwardedWatchers();
  Result.push_back(&this->Configs);
  return Result;
}

/// Returns the watchers whose changes the primary watchers of a large fleet
/// forward. Every gateway watches configurations itself: they must take effect
/// everywhere quickly and don't fit into a datagram.
std::vector<ObjectWatcher *> ForwardGateway::forwardedWatchers() {
  std::vector<ObjectWatcher *> Result{&this->Registry, &this->WeightNotices,
                                      &this->SoftwareVersions.watcher()};
  if (this->Evacuations)
    Result.push_back(&*this->Evacuations);
  return Result;
}

/// Decides whether this gateway watches the platform directly or relies on
/// gateways that do, and which stores it polls on behalf of its zone.
void ForwardGateway::assignWatchers() {
  const std::size_t Count = this->gatewayCount();
  const auto SameZone = this->liveGatewayIds(
      [this](const EntryRecord &Each) { return this->isInSameZone(Each); });
  const auto IsPrimary = [&](std::string_view Task, std::size_t WatcherCount) {
    return Count <= MaxPrimaryWatchers ||
           this->isAssigned(Task, WatcherCount, SameZone);
  };
  const bool IsPrimaryWatcher = IsPrimary("platform", PrimaryWatchersPerZone);
  for (ObjectWatcher *Each : this->watchers())
    Each->setSecondary(!IsPrimaryWatcher);
  for (ObjectWatcher *Each : this->forwardedWatchers())
    Each->expectUpdates(Count > MaxPrimaryWatchers);
  this->Stores.assign(
      [&](std::string_view Store) { return IsPrimary(Store, 1); });
  this->Registry.setBatchDelay(
      Count > MaxPrimaryWatchers
          ? std::min<Duration>(MaxBatchDelay,
                               BatchDelayPerGateway *
                                   static_cast<std::int64_t>(Count))
          : Duration::zero());
}

/// Returns whether the platform recently responded to this gateway directly.
bool ForwardGateway::reachesPlatform() const {
  return isRecent(this->Configs.answeredAt());
}

/// Forwards what this gateway learned from the platform or a store to the other
/// gateways of its zone.
void ForwardGateway::sendToZone(const GossipMessage &Message) {
  if (this->gatewayCount() <= MaxPrimaryWatchers)
    return;
  const std::string Bytes = encodeGossip(Message);
  // Entries that miss an oversized update fetch the changes themselves.
  if (Bytes.size() > EntryChannel::MaxBytes)
    return;
  this->Entries.forEachAlive(EventLoop::now(), [&](const EntryRecord &Each) {
    if (this->isInSameZone(Each))
      this->Channel->send(Each.Gossip, Bytes);
  });
}

bool ForwardGateway::isInSameZone(const EntryRecord &Other) const {
  return Other.Zone == this->Settings.Zone;
}

/// Excludes upstreams that load weights, or are about to, from new calls.
void ForwardGateway::excludeWithheld(std::span<const std::string> Ids) {
  for (const std::string &Id : Ids)
    this->Upstreams.suspendUntil(Id, EventLoop::now() + WithheldNoticeTime);
}

void ForwardGateway::onMessage(GossipMessage Message) {
  if (this->mayHoldStaleMessages()) {
    // The ages are too short by the time that the message waited.
    dropCompleteUntil(Message.Status.Progress);
    dropCompleteUntil(Message.Digest.Progress);
  }
  this->Entries.receive(Message.Records, EventLoop::now());
  if (!Message.Status.From.empty())
    this->Statuses.receive(std::move(Message.Status), EventLoop::now());
  if (!Message.Digest.From.empty())
    this->Statuses.receive(std::move(Message.Digest), EventLoop::now());
  if (!Message.Added.From.empty())
    this->Statuses.receive(Message.Added, EventLoop::now());
  this->scheduleFlush();
  this->Crashes.receive(Message.Crashes);
  if (!Message.Weights.empty())
    this->onWeightNotices(Message.Weights, Message.WeightsLevel);
  if (!Message.Rates.From.empty())
    this->Rates.receive(Message.Rates);
  if (!Message.Streams.empty())
    this->StreamStore.receive(Message.Streams);
  if (Message.Store)
    this->Stores.receive(*Message.Store);
  if (Message.Objects)
    for (ObjectWatcher *Each : this->watchers())
      if (Each->kind() == Message.Objects->Kind)
        Each->receive(*Message.Objects);
}

void ForwardGateway::drain() {
  if (this->StopRequestedAt)
    return;
  log(LogLevel::Info, "process.stopping",
      {{"open_calls", std::to_string(this->Services.OpenRuns)}});
  this->StopRequestedAt = EventLoop::now();
  this->Stats.Draining.Set(1);
  // A process that is about to end must not take the address from its
  // successor.
  if (!this->Listener->isBound())
    this->Listener->stopAccepting();
  this->Listener->closeAfterAnswers();
  this->Relays->stop();
  // Resigns the leases of rollouts that have ended.
  this->Orders->tick(EventLoop::now());
  this->Rates.leave();
  this->gossip();
}

void ForwardGateway::checkStop() {
  if (!this->StopRequestedAt)
    return;
  const Duration Since = EventLoop::now() - *this->StopRequestedAt;
  if (Since >= AcceptAfterStop && !this->RefusingSince) {
    this->Services.IsStopping = true;
    this->Listener->stopAccepting();
    this->RefusingSince = EventLoop::now();
  }
  // Requests that arrive on open connections are now rejected as not run; the
  // process keeps running until every request it has read is answered.
  // The time for late requests counts from the end of accepting, which comes
  // late if the process stood still.
  const bool IsIdle =
      this->Services.OpenRuns == 0 && this->Relays->connections() == 0 &&
      this->Orders->hasResigned() && this->RefusingSince &&
      EventLoop::now() - *this->RefusingSince >= LateRequestTime &&
      this->Listener->isQuiet();
  if (!IsIdle) {
    if (Since < this->Settings.Grace - StopMargin)
      return;
    // The answers to the calls that are still open are written until the next
    // check.
    if (!std::exchange(this->HasEndedCalls, true)) {
      this->Services.IsStopping = true;
      this->Services.ProcessEnding.emit();
      return;
    }
  }
  this->Listener->abortAll();
  log(LogLevel::Info, "process.stopped",
      {{"open_calls", std::to_string(this->Services.OpenRuns)}});
  this->StopRequestedAt = EventLoop::now() + std::chrono::hours(1);
  this->Stopped.emit();
}

} // namespace galenaroute
