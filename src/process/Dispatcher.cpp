#include "process/Dispatcher.h"

#include "process/Log.h"
#include "process/Sha256.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace galenaroute {

static constexpr auto TickPeriod = std::chrono::milliseconds(20);
/// Retry delay for callers when no upstream is available; the next
/// configuration or VM list may add one.
static constexpr auto NoUpstreamRetry = std::chrono::seconds(1);
/// Assumed until responses have been measured.
static constexpr double FirstMeanTokens = 64;
static constexpr double FirstDecodeSpeed = 50;

std::optional<RoutePolicy> routePolicyFromName(std::string_view Name) {
  if (Name == "expected-time")
    return RoutePolicy::ExpectedTime;
  if (Name == "random")
    return RoutePolicy::Random;
  if (Name == "round-robin")
    return RoutePolicy::RoundRobin;
  if (Name == "least-outstanding")
    return RoutePolicy::LeastOutstanding;
  if (Name == "affinity")
    return RoutePolicy::Affinity;
  return std::nullopt;
}

Dispatcher::Dispatcher(EventLoop &Loop, HttpClient &Http, Timeline &Events,
                       DispatcherSettings Given, std::uint64_t Seed)
    : Loop(Loop), Events(Events), Settings(std::move(Given)), Generator(Seed),
      Poller(Loop, Http, this->Index, this->Generator, this->Settings.Polls),
      Transfers(Http, this->Index, this->Links) {
  this->Poller.Loaded.connect([this](const std::string &Name,
                                     const LoadReport &Report,
                                     Duration RoundTrip) {
    const std::size_t Slash = Name.find('/');
    for (auto &[ServiceName, State] : this->Services) {
      // Poll targets of plain services are named SERVICE/UPSTREAM.
      if (Slash != std::string::npos && Name.substr(0, Slash) != ServiceName)
        continue;
      const std::string Upstream =
          Slash == std::string::npos ? Name : Name.substr(Slash + 1);
      noteLoadReport(State.Tracker, Upstream, Report, EventLoop::now());
      noteRoundTrip(State.Tracker, Upstream, RoundTrip);
    }
  });
  this->Timer = Loop.timers().every(TickPeriod, [this] { this->tick(); });
}

Dispatcher::~Dispatcher() {
  this->Timer.disconnect();
  this->PumpTimer.disconnect();
}

void Dispatcher::setConfig(ConfigurationPtr Next) {
  this->Config = std::move(Next);
  this->applyConfig();
}

void Dispatcher::setSelf(const std::string &Name) {
  this->Settings.Self = Name;
  for (auto &[Service, State] : this->Services)
    State.Admission.Self = Name;
}

void Dispatcher::setLeaving(std::set<std::string> Names) {
  // The list of VMs is read every 2 s and rarely changes.
  if (Names == this->Leaving)
    return;
  this->Leaving = std::move(Names);
  this->applyConfig();
}

void Dispatcher::applyConfig() {
  if (!this->Config)
    return;
  for (const auto &[Name, Declared] : this->Config->Services) {
    Service &State = this->Services[Name];
    State.Admission.Self = this->Settings.Self;
    // All gateways of a zone form one cell, as long as they fit into it (design
    // section 7.6).
    setUpstreams(State.Tracker, Declared, this->Settings.Zone,
                 this->Settings.Zone, this->Leaving);
    if (State.WeightVersion != Declared.WeightVersion)
      State.Prefetch.Prompts.clear();
    State.WeightVersion = Declared.WeightVersion;
  }
  for (auto &[Name, State] : this->Services)
    if (!this->Config->Services.contains(Name))
      State.Tracker.Upstreams.clear();
  std::erase_if(this->Links, [&](const auto &Item) {
    return !this->Config->Stores.contains(Item.first);
  });
  for (const auto &[Name, Store] : this->Config->Stores)
    if (!this->Links.contains(Name))
      this->Links[Name].BytesPerSecond = Store.LinkMbps * 1e6 / 8;
  this->Poller.setTargets(this->pollTargets());
  this->schedulePump();
}

std::vector<PollTarget> Dispatcher::pollTargets() const {
  std::vector<PollTarget> Targets;
  for (const auto &[Name, Declared] : this->Config->Services) {
    const auto &Known = this->Services.at(Name).Tracker.Upstreams;
    const bool IsModel = Declared.Kind == ServiceKind::Model;
    for (const UpstreamConfig &Each : Declared.Upstreams)
      if (Known.contains(Each.Name))
        Targets.push_back({IsModel ? Each.Name : Name + "/" + Each.Name,
                           Each.Address,
                           IsModel ? PollKind::Engine : PollKind::Plain});
  }
  for (const auto &[Name, Store] : this->Config->Stores)
    Targets.push_back({Name, Store.Address, PollKind::Store});
  return Targets;
}

double Dispatcher::usableSlots(const Service &State) const {
  double Total = 0, Peers = 0;
  std::vector<UpstreamView> Views;
  viewsOf(State.Tracker, EventLoop::now(), Views);
  for (const UpstreamView &View : Views)
    if (View.TakesNewWork) {
      Total += View.Slots;
      Peers += View.outstanding();
    }
  for (const UpstreamWork &Own : ownWork(State.Tracker))
    for (const int Count : Own.Outstanding)
      Peers -= Count;
  // At least an equal share, or all that the peers leave unused.
  return std::max(
      Total - Peers,
      Total / (1.0 + static_cast<double>(State.Admission.Peers.size())));
}

static double medianOr(std::vector<double> Values, double Default) {
  std::erase_if(Values, [](double Value) { return Value <= 0; });
  if (Values.empty())
    return Default;
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

AdmissionRequest Dispatcher::makeAdmissionRequest(Service &State,
                                                  std::uint64_t Id,
                                                  QueuedRequest &Queued) {
  const DispatchRequest &Request = Queued.Request;
  std::vector<UpstreamView> Views;
  viewsOf(State.Tracker, EventLoop::now(), Views);
  std::vector<double> Prefill, Decode, Service;
  for (const UpstreamView &View : Views) {
    Prefill.push_back(View.PrefillTokensPerSecond);
    Decode.push_back(View.DecodeTokensPerSecond);
    Service.push_back(toSeconds(View.MeanService));
  }
  double FirstTokenTime = 0, TotalTime = 0;
  if (Request.PromptTokens > 0) {
    std::size_t Cached = 0;
    for (const HeldPrefix &Held : heldPrefixes(this->Index, Request.Keys))
      if (Held.Kind == HolderKind::Engine)
        Cached = std::max(Cached, Held.Blocks);
    const double Uncached = std::max(
        Request.PromptTokens - static_cast<double>(Cached * BlockTokens), 0.0);
    Queued.Class = classifyPrompt({Uncached, Request.RequestedTokens},
                                  this->Settings.Classes);
    FirstTokenTime =
        Uncached / medianOr(Prefill, State.Tracker.Route.DefaultPrefill);
    // The requested number is an upper limit that most responses don't reach.
    const double Tokens =
        std::min(Request.RequestedTokens,
                 State.MeanTokens > 0 ? State.MeanTokens : FirstMeanTokens);
    TotalTime = FirstTokenTime + Tokens / medianOr(Decode, FirstDecodeSpeed);
  } else {
    Queued.Class = PromptClass::Short;
    FirstTokenTime = TotalTime = medianOr(Service, 0.05);
  }
  AdmissionRequest Result{.Id = Id,
                          .Customer = Request.Customer,
                          .Class = Queued.Class,
                          .Cost = TotalTime,
                          .ExpectedRun = fromSeconds(
                              Request.Streaming ? FirstTokenTime : TotalTime),
                          .Deadline = Request.Deadline};
  if (const auto It = Request.Config->Customers.find(Request.Customer);
      It != Request.Config->Customers.end()) {
    Result.Weight = It->second.Weight;
    Result.MaxInFlight = It->second.MaxInFlight;
  }
  return Result;
}

static DispatchDecision makeRefusal(std::uint64_t Id, ErrorKind Kind,
                                    Milliseconds RetryAfter,
                                    std::string Message) {
  return {.Refusal =
              AdmissionRefusal{Id, Kind, RetryAfter, std::move(Message)}};
}

void Dispatcher::enqueue(std::uint64_t Id, QueuedRequest Queued) {
  Service &State = this->Services[Queued.Request.Service];
  const bool AnyLive = std::any_of(
      State.Tracker.Upstreams.begin(), State.Tracker.Upstreams.end(),
      [](const auto &Item) { return Item.second.Live; });
  if (!AnyLive)
    return Queued.Done(makeRefusal(Id, ErrorKind::NoUpstream, NoUpstreamRetry,
                                   "the service has no live upstream"));
  const TimePoint Now = EventLoop::now();
  notePromptUse(State.Prefetch, Queued.Request.Customer, Queued.Request.Keys,
                Now);
  const AdmissionRequest Request =
      this->makeAdmissionRequest(State, Id, Queued);
  const AdmissionDecision Decision = offer(
      State.Admission, Request, this->usableSlots(State), Now, this->Generator);
  if (Decision.Refusal) {
    this->Events.record("admission.refused", Queued.Request.RequestId,
                        Decision.Refusal->Message);
    return Queued.Done({.Refusal = Decision.Refusal});
  }
  State.Queue.emplace(Id, std::move(Queued));
  this->pump(State);
}

void Dispatcher::pump(Service &State) {
  // A callback may enqueue another request; the outer loop picks it up.
  if (State.IsPumping)
    return;
  State.IsPumping = true;
  while (!State.Queue.empty()) {
    viewsOf(State.Tracker, EventLoop::now(), this->Views);
    const auto Next = takeNext(
        State.Admission, freeClassSlots(this->Views, this->Settings.Slots),
        EventLoop::now());
    if (!Next)
      break;
    auto Node = State.Queue.extract(Next->Id);
    this->route(State, Node.mapped(), true);
  }
  State.IsPumping = false;
}

void Dispatcher::schedulePump() {
  if (this->PumpTimer.connected())
    return;
  this->PumpTimer = this->Loop.timers().after(Duration::zero(), [this] {
    this->PumpTimer.disconnect();
    for (auto &[Name, State] : this->Services)
      this->pump(State);
  });
}

static PromptToPlan promptToPlan(const DispatchRequest &Request,
                                 PromptClass Class) {
  return {.Customer = Request.Customer,
          .Class = Class,
          .PromptTokens = Request.PromptTokens,
          .Blocks = Request.Keys.size()};
}

const std::vector<BlockKey> &
PromptKeys::forVersion(std::string_view WeightVersion) {
  auto It = this->Known.find(WeightVersion);
  if (It == this->Known.end())
    It = this->Known
             .emplace(std::string(WeightVersion), this->Compute(WeightVersion))
             .first;
  return It->second;
}

std::vector<ReusePlan> Dispatcher::prepareViews(Service &State,
                                                const DispatchRequest &Request,
                                                PromptClass Class) {
  viewsOf(State.Tracker, EventLoop::now(), this->Views);
  if (Request.Config != this->Config) {
    // The request holds an older configuration snapshot, which has no address
    // for upstreams added since.
    const ServiceConfig *Own = Request.Config->findService(Request.Service);
    for (UpstreamView &View : this->Views) {
      const bool IsKnown =
          Own && std::any_of(Own->Upstreams.begin(), Own->Upstreams.end(),
                             [&](const UpstreamConfig &Each) {
                               return Each.Name == View.Name;
                             });
      View.TakesNewWork = View.TakesNewWork && IsKnown;
    }
  }
  if (const auto PinnedUpstream =
          upstreamOfSuspect(this->Guard, Request.Content))
    for (UpstreamView &View : this->Views)
      View.TakesNewWork = View.TakesNewWork && View.Name == *PinnedUpstream;
  std::vector<ReusePlan> Plans = planReuse(
      heldPrefixes(this->Index, Request.Keys), promptToPlan(Request, Class),
      this->Links, this->Views, this->Transfers.plan(), State.Tracker.Route);
  this->planOtherVersions(State, Request, Class, Plans);
  return Plans;
}

void Dispatcher::planOtherVersions(const Service &State,
                                   const DispatchRequest &Request,
                                   PromptClass Class,
                                   std::span<ReusePlan> Plans) {
  if (!Request.KeysByVersion)
    return;
  const std::string &Declared =
      Request.Config->findService(Request.Service)->WeightVersion;
  for (std::size_t I = 0; I < Plans.size(); ++I) {
    UpstreamView &View = this->Views[I];
    if (View.WeightVersion.empty() || View.WeightVersion == Declared)
      continue;
    std::vector<HeldPrefix> Held = heldPrefixes(
        this->Index, Request.KeysByVersion->forVersion(View.WeightVersion));
    // Blocks of a version that is being replaced aren't imported from stores.
    std::erase_if(Held, [](const HeldPrefix &Each) {
      return Each.Kind != HolderKind::Engine;
    });
    Plans[I] =
        planReuse(Held, promptToPlan(Request, Class), {}, std::span(&View, 1),
                  this->Transfers.plan(), State.Tracker.Route)
            .front();
  }
}

void Dispatcher::route(Service &State, const QueuedRequest &Queued,
                       bool NeedsRoom) {
  const DispatchRequest &Request = Queued.Request;
  const std::vector<ReusePlan> Plans =
      this->prepareViews(State, Request, Queued.Class);
  std::vector<std::string> Avoid = Queued.Avoid;
  for (std::string &Name : upstreamsToAvoid(this->Guard, Request.Content))
    Avoid.push_back(std::move(Name));
  const ServiceConfig *Declared = Request.Config->findService(Request.Service);
  RouteRequest Wanted{
      .Class = Queued.Class,
      .PromptTokens = Request.PromptTokens,
      .RequestedTokens = Request.RequestedTokens,
      // WeightVersion stays unset: during a rollout upstreams of both versions
      // serve, because requiring the new one would leave only those already
      // updated.
      .AffinityHash = std::hash<Digest>()(
          Request.Keys.empty() ? Request.Content : Request.Keys.front()),
      .Excluded = Avoid,
      .NeedsFreeSlot = NeedsRoom,
      .Limits = this->Settings.Slots};
  auto Choice =
      chooseUpstream(this->Settings.Policy, Wanted, this->Views, State.Route,
                     this->Generator, State.Tracker.Route);
  // The upstreams with free slots may be excluded for this request; engines
  // queue requests, too.
  Wanted.NeedsFreeSlot = false;
  if (!Choice)
    Choice = chooseUpstream(this->Settings.Policy, Wanted, this->Views,
                            State.Route, this->Generator, State.Tracker.Route);
  const bool IsAvoided =
      Choice &&
      std::find(Queued.Avoid.begin(), Queued.Avoid.end(),
                this->Views[Choice->Index].Name) != Queued.Avoid.end();
  if (!Choice || IsAvoided)
    return Queued.Done(makeRefusal(0, ErrorKind::NoUpstream, NoUpstreamRetry,
                                   "no upstream can take the request now"));
  const UpstreamView &View = this->Views[Choice->Index];
  const ReusePlan &Plan = Plans[Choice->Index];
  const TimePoint Now = EventLoop::now();
  DispatchDecision Answer{.Upstream = std::string(View.Name),
                          .Attempt = randomId(),
                          .Priority = enginePriority(Queued.Class),
                          .WeightVersion =
                              View.WeightVersion.empty()
                                  ? Declared->WeightVersion
                                  : std::string(View.WeightVersion)};
  noteSent(
      State.Tracker,
      {.Attempt = Answer.Attempt,
       .Upstream = Answer.Upstream,
       .Class = Queued.Class,
       .UncachedTokens = std::max(
           Request.PromptTokens - View.CachedTokens - View.ImportedTokens, 0.0),
       .RequestedTokens = Request.RequestedTokens},
      Now);
  if (Request.PromptTokens > 0)
    noteRunning(this->Guard, Answer.Attempt, Request.Content, Answer.Upstream,
                Now);
  if (Plan.Store.empty())
    return Queued.Done(Answer);
  const auto Keys =
      std::span(Request.Keys)
          .subspan(Plan.EngineBlocks, Plan.EndBlock - Plan.EngineBlocks);
  this->Events.record("cache.import", Request.RequestId,
                      std::to_string(Keys.size()) + " blocks from " +
                          Plan.Store);
  // A cancelled import wastes the transfer and gives no measurement of the
  // link, so an import may take up to half of the time needed to recompute the
  // blocks.
  const Duration Recompute = fromSeconds(
      View.ImportedTokens / (View.PrefillTokensPerSecond > 0
                                 ? View.PrefillTokensPerSecond
                                 : State.Tracker.Route.DefaultPrefill));
  this->Transfers.import(
      Request.Customer, this->engineEndpoint(*Declared, Answer.Upstream),
      this->storeEndpoint(Plan.Store), Keys,
      std::max<Duration>(2 * Plan.ImportTime + Milliseconds(50), Recompute / 2),
      [Done = Queued.Done, Answer] { Done(Answer); });
}

TransferEndpoint Dispatcher::engineEndpoint(const ServiceConfig &Service,
                                            const std::string &Upstream) const {
  for (const UpstreamConfig &Each : Service.Upstreams)
    if (Each.Name == Upstream)
      return {Upstream, Each.Address};
  return {Upstream, {}};
}

TransferEndpoint Dispatcher::storeEndpoint(const std::string &Store) const {
  const auto It = this->Config->Stores.find(Store);
  return {Store, It == this->Config->Stores.end() ? SocketAddress{}
                                                  : It->second.Address};
}

void Dispatcher::exportBlocks(Service &State, const DispatchRequest &Request,
                              const std::string &Upstream) {
  const ServiceConfig *Declared = Request.Config->findService(Request.Service);
  LinkMap Usable;
  for (const std::string &Name : Declared->DependsOn)
    if (const auto It = this->Links.find(Name); It != this->Links.end())
      Usable.insert(*It);
  const auto Record = State.Tracker.Upstreams.find(Upstream);
  const auto Plan = planExport(heldPrefixes(this->Index, Request.Keys),
                               Request.Keys, Request.Customer, Usable,
                               Record == State.Tracker.Upstreams.end()
                                   ? 0
                                   : Record->second.ObservedPrefill,
                               this->Transfers.plan());
  if (!Plan)
    return;
  this->Events.record("cache.export", Request.RequestId,
                      std::to_string(Plan->EndBlock - Plan->FirstBlock) +
                          " blocks to " + Plan->Store);
  this->Transfers.exportTo(
      Request.Customer, this->engineEndpoint(*Declared, Upstream),
      this->storeEndpoint(Plan->Store),
      std::span(Request.Keys)
          .subspan(Plan->FirstBlock, Plan->EndBlock - Plan->FirstBlock));
}

void Dispatcher::prefetch(Service &State, const ServiceConfig &Declared) {
  const auto Plans =
      planPrefetch(State.Prefetch, this->Index, this->Links, EventLoop::now());
  for (const PrefetchPlan &Plan : Plans) {
    viewsOf(State.Tracker, EventLoop::now(), this->Views);
    const RouteRequest Wanted{.WeightVersion = Declared.WeightVersion,
                              .AffinityHash =
                                  std::hash<Digest>()(Plan.Keys.front())};
    const auto Choice =
        chooseUpstream(RoutePolicy::Affinity, Wanted, this->Views, State.Route,
                       this->Generator, State.Tracker.Route);
    if (!Choice)
      return;
    const std::string Upstream(this->Views[Choice->Index].Name);
    this->Events.record("cache.prefetch", {},
                        std::to_string(Plan.Keys.size()) + " blocks to " +
                            Upstream);
    this->Transfers.import(Plan.Customer,
                           this->engineEndpoint(Declared, Upstream),
                           this->storeEndpoint(Plan.Store), Plan.Keys,
                           std::chrono::seconds(10), [] {});
  }
}

void Dispatcher::tick() {
  const TimePoint Now = EventLoop::now();
  for (auto &[Name, State] : this->Services) {
    if (!State.Queue.empty())
      for (AdmissionRefusal &Refusal :
           expire(State.Admission, this->usableSlots(State), Now,
                  this->Generator)) {
        auto Node = State.Queue.extract(Refusal.Id);
        if (!Node)
          continue;
        this->Events.record("admission.expired",
                            Node.mapped().Request.RequestId, Refusal.Message);
        Node.mapped().Done({.Refusal = std::move(Refusal)});
      }
    this->pump(State);
  }
  if (Now >= this->NextShareUpdate && this->Config) {
    this->NextShareUpdate = Now + std::chrono::seconds(1);
    for (auto &[Name, State] : this->Services) {
      updateShares(State.Tracker, {}, Now);
      if (const ServiceConfig *Declared = this->Config->findService(Name))
        this->prefetch(State, *Declared);
    }
    this->checkCrashes();
  }
  if (Now >= this->NextDigestAt) {
    this->NextDigestAt = Now + this->Settings.DigestPeriod;
    for (auto &[Name, State] : this->Services)
      refreshGrants(State.Admission, Now);
    this->sendLoadDigest(Now);
    if (this->OpenTickets == 0 &&
        Now - this->LastRequestAt > this->Settings.IdleAfter)
      this->Poller.setActive(false);
  }
}

void Dispatcher::checkCrashes() {
  const auto Crashes = detectCrashes(this->Guard, EventLoop::now());
  for (const DetectedCrash &Crash : Crashes) {
    this->Events.record("upstream.crashed", {}, Crash.Upstream);
    log(LogLevel::Warn, "upstream.crashed",
        {{"upstream", Crash.Upstream},
         {"requests", std::to_string(Crash.Contents.size())}});
  }
  this->sendCrashDigest();
}

void Dispatcher::sendCrashDigest() {
  if (this->SentRevision == this->Guard.Revision)
    return;
  this->SentRevision = this->Guard.Revision;
  this->CrashDigest.emit(this->crashDigest());
}

} // namespace galenaroute
