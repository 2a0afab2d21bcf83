#include "process/ServicePool.h"

#include <algorithm>
#include <numeric>

namespace galenaroute {

/// How often shares and limits are computed anew. Digests of peers arrive at
/// about this rate.
static constexpr auto TickPeriod = Milliseconds(200);
/// Assumed until a decode speed was observed.
static constexpr double DefaultDecode = 50;
/// Weight of a new observation in the moving average of answer lengths.
static constexpr double AnswerSmoothing = 0.05;

ServicePool::ServicePool(EventLoop &Loop, const PoolOptions &Options)
    : Loop(Loop), Options(Options) {
  this->Admission.Self = Options.Node;
  this->Retries.Share = Options.RetryShare;
  this->TickTimer = Loop.timers().every(TickPeriod, [this] { this->tick(); });
}

ServicePool::~ServicePool() {
  this->ExpiryTimer.disconnect();
  this->TickTimer.disconnect();
}

void ServicePool::setService(const ServiceConfig &Next,
                             const std::set<std::string> &Leaving) {
  setUpstreams(this->Tracker, Next, this->Options.Cell, this->Options.Zone,
               Leaving);
  this->pump();
}

std::vector<UpstreamView> ServicePool::views() const {
  std::vector<UpstreamView> Result;
  viewsOf(this->Tracker, EventLoop::now(), Result);
  return Result;
}

double ServicePool::ownSlots(std::span<const UpstreamView> Views) const {
  double Slots = 0;
  for (const UpstreamView &Each : Views)
    if (Each.TakesNewWork)
      Slots += Each.Slots;
  return Slots / static_cast<double>(this->Entries);
}

/// Returns the mean of \p Value over \p Views where it is known.
template <typename Fn>
static double meanOf(std::span<const UpstreamView> Views, double Default,
                     Fn Value) {
  double Sum = 0;
  int Count = 0;
  for (const UpstreamView &Each : Views)
    if (const double Known = Value(Each); Known > 0) {
      Sum += Known;
      ++Count;
    }
  return Count == 0 ? Default : Sum / Count;
}

double ServicePool::costOf(const RequestWork &Work,
                           std::span<const UpstreamView> Views) const {
  const RouteOptions &Route = this->Tracker.Route;
  if (Work.PromptTokens <= 0)
    return meanOf(
        Views, toSeconds(Route.DefaultService),
        [](const UpstreamView &V) { return toSeconds(V.MeanService); });
  const double Prefill =
      meanOf(Views, Route.DefaultPrefill,
             [](const UpstreamView &V) { return V.PrefillTokensPerSecond; });
  const double Decode = meanOf(Views, DefaultDecode, [](const UpstreamView &V) {
    return V.DecodeTokensPerSecond;
  });
  return Work.PromptTokens / Prefill +
         Work.RequestedTokens * this->AnswerShare / Decode;
}

void ServicePool::offer(const RequestWork &Work, AdmissionCallbacks Callbacks) {
  const std::vector<UpstreamView> Views = this->views();
  AdmissionRequest Request;
  Request.Id = Work.Id;
  Request.Customer = Work.Customer;
  Request.Weight = Work.Weight;
  Request.MaxInFlight = Work.MaxInFlight;
  Request.Class = Work.Class;
  Request.Cost = this->costOf(Work, Views);
  // A decode speed that was only assumed must not refuse a request.
  RequestWork UntilDeadline = Work;
  const bool HasDecode =
      std::any_of(Views.begin(), Views.end(), [](const UpstreamView &V) {
        return V.DecodeTokensPerSecond > 0;
      });
  if (Work.Streaming || !HasDecode)
    UntilDeadline.RequestedTokens = 0;
  Request.ExpectedRun = fromSeconds(this->costOf(UntilDeadline, Views));
  Request.Deadline = Work.Deadline;
  const AdmissionDecision Decision =
      galenaroute::offer(this->Admission, Request, this->ownSlots(Views),
                         EventLoop::now(), this->Generator);
  if (Decision.Refusal)
    return Callbacks.OnRefused(*Decision.Refusal);
  noteCall(this->Retries);
  this->Queue.emplace(Work.Id, Waiting{Work, std::move(Callbacks)});
  this->pump();
}

void ServicePool::pump() {
  // Admitted requests may end at once and call leave(), which comes back here.
  if (this->IsPumping)
    return;
  this->IsPumping = true;
  while (!this->Queue.empty()) {
    ClassRoom Room = roomOf(this->views(), SlotLimits{});
    for (int &Places : Room)
      Places -= static_cast<int>(this->Unsent.size());
    const auto Next = takeNext(this->Admission, Room, EventLoop::now());
    if (!Next)
      break;
    auto Node = this->Queue.extract(Next->Id);
    this->Unsent.emplace(Next->Id, Next->Class);
    Node.mapped().Callbacks.OnAdmitted();
  }
  this->IsPumping = false;
  this->armExpiry();
}

void ServicePool::armExpiry() {
  this->ExpiryTimer.disconnect();
  const auto Next = nextExpiry(this->Admission);
  if (Next)
    this->ExpiryTimer = this->Loop.timers().after(
        *Next - EventLoop::now(), [this] { this->expireQueued(); });
}

void ServicePool::expireQueued() {
  for (const AdmissionRefusal &Each :
       expire(this->Admission, this->ownSlots(this->views()), EventLoop::now(),
              this->Generator)) {
    auto Node = this->Queue.extract(Each.Id);
    if (Node)
      Node.mapped().Callbacks.OnRefused(Each);
  }
  this->armExpiry();
}

void ServicePool::leave(std::uint64_t Id) {
  this->Unsent.erase(Id);
  this->Queue.erase(Id);
  if (!cancel(this->Admission, Id))
    finish(this->Admission, Id, std::nullopt);
  this->pump();
}

std::optional<ChosenUpstream>
ServicePool::choose(const RequestWork &Work,
                    std::span<const std::string> Avoid) {
  const std::vector<UpstreamView> Views = this->views();
  RouteRequest Request;
  Request.Class = Work.Class;
  Request.PromptTokens = Work.PromptTokens;
  Request.RequestedTokens = Work.RequestedTokens;
  Request.AffinityHash = Work.AffinityHash;
  Request.Excluded = Avoid;
  // While a new version is being loaded, the servers that still run the old
  // one keep serving; a free place at the declared version comes first.
  struct Try {
    std::string_view Version;
    bool NeedsRoom;
  };
  const std::array<Try, 4> Tries = {{{Work.WeightVersion, true},
                                     {{}, true},
                                     {Work.WeightVersion, false},
                                     {{}, false}}};
  for (const Try &Each : Tries) {
    Request.WeightVersion = Each.Version;
    Request.NeedsRoom = Each.NeedsRoom;
    const auto Choice =
        chooseUpstream(this->Options.Policy, Request, Views, this->Route,
                       this->Generator, this->Tracker.Route);
    if (Choice)
      return ChosenUpstream{std::string(Views[Choice->Index].Name),
                            std::string(Views[Choice->Index].WeightVersion)};
  }
  return std::nullopt;
}

void ServicePool::noteSent(const std::string &Attempt,
                           const std::string &Upstream,
                           const RequestWork &Work) {
  this->Unsent.erase(Work.Id);
  galenaroute::noteSent(this->Tracker,
                        {.Attempt = Attempt,
                         .Upstream = Upstream,
                         .Class = Work.Class,
                         .UncachedTokens = Work.PromptTokens,
                         .RequestedTokens = Work.RequestedTokens},
                        EventLoop::now());
}

void ServicePool::noteFirstToken(const std::string &Attempt) {
  galenaroute::noteFirstToken(this->Tracker, Attempt, std::nullopt,
                              EventLoop::now());
}

void ServicePool::noteFinished(const std::string &Attempt, double Tokens,
                               const RequestWork &Work) {
  if (Work.RequestedTokens > 0)
    this->AnswerShare +=
        AnswerSmoothing * (Tokens / Work.RequestedTokens - this->AnswerShare);
  galenaroute::noteFinished(this->Tracker, Attempt, Tokens, EventLoop::now());
  this->pump();
}

void ServicePool::noteFailed(const std::string &Attempt,
                             AttemptFailure Failure) {
  galenaroute::noteFailed(this->Tracker, Attempt, Failure, EventLoop::now());
  this->pump();
}

void ServicePool::noteLoad(std::string_view Upstream, LoadReport Report,
                           Duration RoundTrip) {
  noteRoundTrip(this->Tracker, Upstream, RoundTrip);
  noteLoadReport(this->Tracker, Upstream, std::move(Report), EventLoop::now());
  this->pump();
}

void ServicePool::notePeer(const std::string &Peer,
                           std::span<const UpstreamWork> Work,
                           std::span<const CustomerUse> Use) {
  const TimePoint Now = EventLoop::now();
  notePeerDigest(this->Tracker, Peer, Work, Now);
  notePeerUse(this->Admission, Peer, Use, Now);
}

std::vector<CustomerUse> ServicePool::use() const {
  return ownUse(this->Admission, EventLoop::now());
}

std::vector<std::string> ServicePool::upstreams() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Record] : this->Tracker.Upstreams)
    Names.push_back(Name);
  return Names;
}

void ServicePool::tick() {
  const TimePoint Now = EventLoop::now();
  refreshGrants(this->Admission, Now);
  updateShares(this->Tracker, this->Slow, Now);
  // Pauses of upstreams that failed end without an event.
  this->pump();
}

} // namespace galenaroute
