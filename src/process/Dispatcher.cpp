#include "process/Dispatcher.h"

#include "process/Log.h"
#include "process/Sha256.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace galenaroute {

static constexpr auto TickPeriod = std::chrono::milliseconds(20);
/// When there is no upstream at all, the next configuration or VM list may
/// bring one.
static constexpr auto NoUpstreamRetry = std::chrono::seconds(1);
/// Assumed until answers were seen.
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
    for (auto &[ServiceName, Of] : this->Services) {
      // Names of plain services' targets begin with the service.
      if (Slash != std::string::npos && Name.substr(0, Slash) != ServiceName)
        continue;
      const std::string Upstream =
          Slash == std::string::npos ? Name : Name.substr(Slash + 1);
      noteLoadReport(Of.Tracker, Upstream, Report, EventLoop::now());
      noteRoundTrip(Of.Tracker, Upstream, RoundTrip);
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
  for (auto &[Service, Of] : this->Services)
    Of.Admission.Self = Name;
}

void Dispatcher::setLeaving(std::set<std::string> Names) {
  // The list of VMs is read every 2 s and seldom differs.
  if (Names == this->Leaving)
    return;
  this->Leaving = std::move(Names);
  this->applyConfig();
}

void Dispatcher::applyConfig() {
  if (!this->Config)
    return;
  for (const auto &[Name, Declared] : this->Config->Services) {
    Service &Of = this->Services[Name];
    Of.Admission.Self = this->Settings.Self;
    // All entries of a zone share one cell until there are more than a cell
    // holds, see design section 7.6.
    setUpstreams(Of.Tracker, Declared, this->Settings.Zone, this->Settings.Zone,
                 this->Leaving);
    if (Of.WeightVersion != Declared.WeightVersion)
      Of.Prefetch.Prompts.clear();
    Of.WeightVersion = Declared.WeightVersion;
  }
  for (auto &[Name, Of] : this->Services)
    if (!this->Config->Services.contains(Name))
      Of.Tracker.Upstreams.clear();
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

double Dispatcher::slotsOf(const Service &Of) const {
  double Total = 0, Peers = 0;
  std::vector<UpstreamView> Views;
  viewsOf(Of.Tracker, EventLoop::now(), Views);
  for (const UpstreamView &View : Views)
    if (View.TakesNewWork) {
      Total += View.Slots;
      Peers += View.outstanding();
    }
  for (const UpstreamWork &Own : ownWork(Of.Tracker))
    for (const int Count : Own.Outstanding)
      Peers -= Count;
  // At least an equal part, and whatever the peers leave.
  return std::max(Total - Peers,
                  Total /
                      (1.0 + static_cast<double>(Of.Admission.Peers.size())));
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

AdmissionRequest Dispatcher::admissionOf(Service &Of, std::uint64_t Id,
                                         Waiting &Entry) {
  const DispatchRequest &Request = Entry.Request;
  std::vector<UpstreamView> Views;
  viewsOf(Of.Tracker, EventLoop::now(), Views);
  std::vector<double> Prefill, Decode, Service;
  for (const UpstreamView &View : Views) {
    Prefill.push_back(View.PrefillTokensPerSecond);
    Decode.push_back(View.DecodeTokensPerSecond);
    Service.push_back(toSeconds(View.MeanService));
  }
  double First = 0, Whole = 0;
  if (Request.PromptTokens > 0) {
    std::size_t Cached = 0;
    for (const HeldPrefix &Held : heldPrefixes(this->Index, Request.Keys))
      if (Held.Kind == HolderKind::Engine)
        Cached = std::max(Cached, Held.Blocks);
    const double Uncached = std::max(
        Request.PromptTokens - static_cast<double>(Cached * BlockTokens), 0.0);
    Entry.Class = classifyPrompt({Uncached, Request.RequestedTokens},
                                 this->Settings.Classes);
    First = Uncached / medianOr(Prefill, Of.Tracker.Route.DefaultPrefill);
    // The requested number is a limit that most answers stay below.
    const double Tokens =
        std::min(Request.RequestedTokens,
                 Of.MeanTokens > 0 ? Of.MeanTokens : FirstMeanTokens);
    Whole = First + Tokens / medianOr(Decode, FirstDecodeSpeed);
  } else {
    Entry.Class = PromptClass::Short;
    First = Whole = medianOr(Service, 0.05);
  }
  AdmissionRequest Result{.Id = Id,
                          .Customer = Request.Customer,
                          .Class = Entry.Class,
                          .Cost = Whole,
                          .ExpectedRun =
                              fromSeconds(Request.Streaming ? First : Whole),
                          .Deadline = Request.Deadline};
  if (const auto It = Request.Config->Customers.find(Request.Customer);
      It != Request.Config->Customers.end()) {
    Result.Weight = It->second.Weight;
    Result.MaxInFlight = It->second.MaxInFlight;
  }
  return Result;
}

static DispatchAnswer refusalOf(std::uint64_t Id, ErrorKind Kind,
                                Milliseconds RetryAfter, std::string Message) {
  return {.Refusal =
              AdmissionRefusal{Id, Kind, RetryAfter, std::move(Message)}};
}

void Dispatcher::enqueue(std::uint64_t Id, Waiting Entry) {
  Service &Of = this->Services[Entry.Request.Service];
  const bool AnyLive =
      std::any_of(Of.Tracker.Upstreams.begin(), Of.Tracker.Upstreams.end(),
                  [](const auto &Item) { return Item.second.Live; });
  if (!AnyLive)
    return Entry.Done(refusalOf(Id, ErrorKind::NoUpstream, NoUpstreamRetry,
                                "the service has no live upstream"));
  const TimePoint Now = EventLoop::now();
  notePromptUse(Of.Prefetch, Entry.Request.Customer, Entry.Request.Keys, Now);
  const AdmissionRequest Request = this->admissionOf(Of, Id, Entry);
  const AdmissionDecision Decision =
      offer(Of.Admission, Request, this->slotsOf(Of), Now, this->Generator);
  if (Decision.Refusal) {
    this->Events.record("admission.refused", Entry.Request.RequestId,
                        Decision.Refusal->Message);
    return Entry.Done({.Refusal = Decision.Refusal});
  }
  Of.Queue.emplace(Id, std::move(Entry));
  this->pump(Of);
}

void Dispatcher::pump(Service &Of) {
  // A callback of this loop may ask for the next choice; the loop goes on.
  if (Of.IsPumping)
    return;
  Of.IsPumping = true;
  while (!Of.Queue.empty()) {
    viewsOf(Of.Tracker, EventLoop::now(), this->Views);
    const auto Next = takeNext(
        Of.Admission, freeClassSlots(this->Views, this->Settings.Slots),
        EventLoop::now());
    if (!Next)
      break;
    auto Node = Of.Queue.extract(Next->Id);
    this->route(Of, Node.mapped(), true);
  }
  Of.IsPumping = false;
}

void Dispatcher::schedulePump() {
  if (this->PumpTimer.connected())
    return;
  this->PumpTimer = this->Loop.timers().after(Duration::zero(), [this] {
    this->PumpTimer.disconnect();
    for (auto &[Name, Of] : this->Services)
      this->pump(Of);
  });
}

static PromptToPlan promptToPlan(const DispatchRequest &Request,
                                 PromptClass Class) {
  return {.Customer = Request.Customer,
          .Class = Class,
          .PromptTokens = Request.PromptTokens,
          .Blocks = Request.Keys.size()};
}

const std::vector<BlockKey> &PromptKeys::of(std::string_view WeightVersion) {
  auto It = this->Known.find(WeightVersion);
  if (It == this->Known.end())
    It = this->Known
             .emplace(std::string(WeightVersion), this->Compute(WeightVersion))
             .first;
  return It->second;
}

std::vector<ReusePlan> Dispatcher::prepareViews(Service &Of,
                                                const DispatchRequest &Request,
                                                PromptClass Class) {
  viewsOf(Of.Tracker, EventLoop::now(), this->Views);
  if (Request.Config != this->Config) {
    // The request keeps its own configuration, in which a newer upstream has
    // no address.
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
  if (const auto Only = upstreamOfSuspect(this->Guard, Request.Content))
    for (UpstreamView &View : this->Views)
      View.TakesNewWork = View.TakesNewWork && View.Name == *Only;
  std::vector<ReusePlan> Plans = planReuse(
      heldPrefixes(this->Index, Request.Keys), promptToPlan(Request, Class),
      this->Links, this->Views, this->Transfers.plan(), Of.Tracker.Route);
  this->planOtherVersions(Of, Request, Class, Plans);
  return Plans;
}

void Dispatcher::planOtherVersions(const Service &Of,
                                   const DispatchRequest &Request,
                                   PromptClass Class,
                                   std::span<ReusePlan> Plans) {
  if (!Request.OtherKeys)
    return;
  const std::string &Declared =
      Request.Config->findService(Request.Service)->WeightVersion;
  for (std::size_t I = 0; I < Plans.size(); ++I) {
    UpstreamView &View = this->Views[I];
    if (View.WeightVersion.empty() || View.WeightVersion == Declared)
      continue;
    std::vector<HeldPrefix> Held =
        heldPrefixes(this->Index, Request.OtherKeys->of(View.WeightVersion));
    // Blocks of a version that is about to go are not worth an import.
    std::erase_if(Held, [](const HeldPrefix &Each) {
      return Each.Kind != HolderKind::Engine;
    });
    Plans[I] =
        planReuse(Held, promptToPlan(Request, Class), {}, std::span(&View, 1),
                  this->Transfers.plan(), Of.Tracker.Route)
            .front();
  }
}

void Dispatcher::route(Service &Of, const Waiting &Entry, bool NeedsRoom) {
  const DispatchRequest &Request = Entry.Request;
  const std::vector<ReusePlan> Plans =
      this->prepareViews(Of, Request, Entry.Class);
  std::vector<std::string> Avoid = Entry.Avoid;
  for (std::string &Name : upstreamsToAvoid(this->Guard, Request.Content))
    Avoid.push_back(std::move(Name));
  const ServiceConfig *Declared = Request.Config->findService(Request.Service);
  RouteRequest Wanted{
      .Class = Entry.Class,
      .PromptTokens = Request.PromptTokens,
      .RequestedTokens = Request.RequestedTokens,
      // While weights are replaced, upstreams of either version serve: waiting
      // for the new one would leave only those that are done.
      .AffinityHash = std::hash<Digest>()(
          Request.Keys.empty() ? Request.Content : Request.Keys.front()),
      .Excluded = Avoid,
      .NeedsFreeSlot = NeedsRoom,
      .Limits = this->Settings.Slots};
  auto Choice = chooseUpstream(this->Settings.Policy, Wanted, this->Views,
                               Of.Route, this->Generator, Of.Tracker.Route);
  // Room elsewhere may be of no use to this request; engines queue, too.
  Wanted.NeedsFreeSlot = false;
  if (!Choice)
    Choice = chooseUpstream(this->Settings.Policy, Wanted, this->Views,
                            Of.Route, this->Generator, Of.Tracker.Route);
  const bool IsAvoided =
      Choice && std::find(Entry.Avoid.begin(), Entry.Avoid.end(),
                          this->Views[Choice->Index].Name) != Entry.Avoid.end();
  if (!Choice || IsAvoided)
    return Entry.Done(refusalOf(0, ErrorKind::NoUpstream, NoUpstreamRetry,
                                "no upstream can take the request now"));
  const UpstreamView &View = this->Views[Choice->Index];
  const ReusePlan &Plan = Plans[Choice->Index];
  const TimePoint Now = EventLoop::now();
  DispatchAnswer Answer{.Upstream = std::string(View.Name),
                        .Attempt = randomId(),
                        .Priority = enginePriority(Entry.Class),
                        .WeightVersion = View.WeightVersion.empty()
                                             ? Declared->WeightVersion
                                             : std::string(View.WeightVersion)};
  noteSent(
      Of.Tracker,
      {.Attempt = Answer.Attempt,
       .Upstream = Answer.Upstream,
       .Class = Entry.Class,
       .UncachedTokens = std::max(
           Request.PromptTokens - View.CachedTokens - View.ImportedTokens, 0.0),
       .RequestedTokens = Request.RequestedTokens},
      Now);
  if (Request.PromptTokens > 0)
    noteRunning(this->Guard, Answer.Attempt, Request.Content, Answer.Upstream,
                Now);
  if (Plan.Store.empty())
    return Entry.Done(Answer);
  const auto Keys =
      std::span(Request.Keys)
          .subspan(Plan.EngineBlocks, Plan.EndBlock - Plan.EngineBlocks);
  this->Events.record("cache.import", Request.RequestId,
                      std::to_string(Keys.size()) + " blocks from " +
                          Plan.Store);
  // Giving up loses what was transferred and teaches nothing about the link, so
  // an import may take up to half of the time that recomputing would.
  const Duration Recompute = fromSeconds(
      View.ImportedTokens / (View.PrefillTokensPerSecond > 0
                                 ? View.PrefillTokensPerSecond
                                 : Of.Tracker.Route.DefaultPrefill));
  this->Transfers.import(
      Request.Customer, this->endOf(*Declared, Answer.Upstream),
      this->storeEnd(Plan.Store), Keys,
      std::max<Duration>(2 * Plan.ImportTime + Milliseconds(50), Recompute / 2),
      [Done = Entry.Done, Answer] { Done(Answer); });
}

TransferEnd Dispatcher::endOf(const ServiceConfig &Service,
                              const std::string &Upstream) const {
  for (const UpstreamConfig &Each : Service.Upstreams)
    if (Each.Name == Upstream)
      return {Upstream, Each.Address};
  return {Upstream, {}};
}

TransferEnd Dispatcher::storeEnd(const std::string &Store) const {
  const auto It = this->Config->Stores.find(Store);
  return {Store, It == this->Config->Stores.end() ? SocketAddress{}
                                                  : It->second.Address};
}

void Dispatcher::exportBlocks(Service &Of, const DispatchRequest &Request,
                              const std::string &Upstream) {
  const ServiceConfig *Declared = Request.Config->findService(Request.Service);
  LinkMap Usable;
  for (const std::string &Name : Declared->DependsOn)
    if (const auto It = this->Links.find(Name); It != this->Links.end())
      Usable.insert(*It);
  const auto Record = Of.Tracker.Upstreams.find(Upstream);
  const auto Plan = planExport(
      heldPrefixes(this->Index, Request.Keys), Request.Keys, Request.Customer,
      Usable,
      Record == Of.Tracker.Upstreams.end() ? 0 : Record->second.ObservedPrefill,
      this->Transfers.plan());
  if (!Plan)
    return;
  this->Events.record("cache.export", Request.RequestId,
                      std::to_string(Plan->EndBlock - Plan->FirstBlock) +
                          " blocks to " + Plan->Store);
  this->Transfers.exportTo(
      Request.Customer, this->endOf(*Declared, Upstream),
      this->storeEnd(Plan->Store),
      std::span(Request.Keys)
          .subspan(Plan->FirstBlock, Plan->EndBlock - Plan->FirstBlock));
}

void Dispatcher::prefetch(Service &Of, const ServiceConfig &Declared) {
  const auto Plans =
      planPrefetch(Of.Prefetch, this->Index, this->Links, EventLoop::now());
  for (const PrefetchPlan &Plan : Plans) {
    viewsOf(Of.Tracker, EventLoop::now(), this->Views);
    const RouteRequest Wanted{.WeightVersion = Declared.WeightVersion,
                              .AffinityHash =
                                  std::hash<Digest>()(Plan.Keys.front())};
    const auto Choice =
        chooseUpstream(RoutePolicy::Affinity, Wanted, this->Views, Of.Route,
                       this->Generator, Of.Tracker.Route);
    if (!Choice)
      return;
    const std::string Upstream(this->Views[Choice->Index].Name);
    this->Events.record("cache.prefetch", {},
                        std::to_string(Plan.Keys.size()) + " blocks to " +
                            Upstream);
    this->Transfers.import(Plan.Customer, this->endOf(Declared, Upstream),
                           this->storeEnd(Plan.Store), Plan.Keys,
                           std::chrono::seconds(10), [] {});
  }
}

void Dispatcher::tick() {
  const TimePoint Now = EventLoop::now();
  for (auto &[Name, Of] : this->Services) {
    if (!Of.Queue.empty())
      for (AdmissionRefusal &Refusal :
           expire(Of.Admission, this->slotsOf(Of), Now, this->Generator)) {
        auto Node = Of.Queue.extract(Refusal.Id);
        if (!Node)
          continue;
        this->Events.record("admission.expired",
                            Node.mapped().Request.RequestId, Refusal.Message);
        Node.mapped().Done({.Refusal = std::move(Refusal)});
      }
    this->pump(Of);
  }
  if (Now >= this->NextShares && this->Config) {
    this->NextShares = Now + std::chrono::seconds(1);
    for (auto &[Name, Of] : this->Services) {
      updateShares(Of.Tracker, {}, Now);
      if (const ServiceConfig *Declared = this->Config->findService(Name))
        this->prefetch(Of, *Declared);
    }
    this->checkCrashes();
  }
  if (Now >= this->NextExchange) {
    this->NextExchange = Now + this->Settings.DigestPeriod;
    for (auto &[Name, Of] : this->Services)
      refreshGrants(Of.Admission, Now);
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
