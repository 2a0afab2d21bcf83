#include "request/ForwardRun.h"

#include "process/ErrorKind.h"
#include "process/FatalSignals.h"
#include "process/Log.h"

#include <algorithm>
#include <new>

namespace galenaroute {

/// Retry-After where the delay cannot be estimated.
static constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(250);
/// Retry-After while a service has no upstream, or none outside the evacuated
/// zones. A replacement registers within one heartbeat of its start.
static constexpr Duration NoUpstreamRetryAfter = std::chrono::seconds(1);
/// Jitter added to Retry-After, as a fraction of it, so that callers that were
/// refused together do not retry together.
static constexpr double RetryAfterJitter = 0.25;
/// Fraction of an engine's memory assumed to cache parts; running calls use the
/// rest.
static constexpr double CacheMemoryShare = 0.6;
/// Maximum upstreams that permits are requested from for one call. Permits that
/// come too late are returned unused.
static constexpr std::size_t MaxPermitRequests = 8;
/// Weight of a timeout in the failure score of the upstream, which may only be
/// busy; see the weights in ForwardSendEnd.cpp.
static constexpr double TimedOutFailureWeight = 0.5;

ForwardRun::ForwardRun(ForwardServices &Services,
                       std::shared_ptr<IncomingCall> Incoming)
    : Services(Services), Incoming(std::move(Incoming)),
      Config(Services.Config) {
  ++this->Services.OpenRuns;
}

ForwardRun::~ForwardRun() {
  --this->Services.OpenRuns;
  // The handlers of an exchange refer to this run.
  for (const auto &Each : this->Live)
    Each->Exchange.reset();
  this->DeadlineTimer.disconnect();
  this->WeightsChanged.disconnect();
  this->BacklogSent.disconnect();
  this->ProcessEnding.disconnect();
  this->RefusalsConnection.disconnect();
  this->WithdrawalTimer.disconnect();
  this->StreamsListed.disconnect();
  this->ListTimer.disconnect();
}

/// Returns a random number, uniform in [0, 1).
double ForwardRun::draw() {
  return std::uniform_real_distribution<double>(0, 1)(this->Services.Random);
}

Duration ForwardRun::timeLeft() const {
  return this->Deadline - EventLoop::now();
}

RetryBudget &ForwardRun::budget() {
  return this->Services.Budgets
      .try_emplace(this->Service->Name, this->Services.NewBudget)
      .first->second;
}

void ForwardRun::start() {
  // The signal connections keep the run alive until it is done.
  const auto Self = this->shared_from_this();
  this->Incoming->CallerLeft.connect([Self] { Self->onCallerLeft(); });
  this->BacklogSent =
      this->Incoming->BacklogSent.connect([this] { this->resumeUpstreams(); });
  this->ProcessEnding =
      this->Services.ProcessEnding.connect([this] { this->onProcessEnding(); });
  try {
    if (!this->admit())
      return;
  } catch (const Error &Failure) {
    this->fail(Failure.Kind, Failure.what());
    return;
  }
  this->DeadlineTimer = this->Services.Loop.timers().after(
      this->timeLeft(), [Self] { Self->onTimeout(); });
  if (this->isResumable() && this->Call.takesUpStream())
    this->findOrigin();
  else if (this->isResumable() && this->Services.LacksRecordKeepers())
    this->refuse("no gateway would know which software version began the "
                 "stream if this one ended",
                 DefaultRetryAfter);
  else
    this->beginForwarding();
}

/// Sends the call, whose service is known.
void ForwardRun::beginForwarding() {
  noteCall(this->budget());
  if (this->Service->Engine)
    this->WeightsChanged = this->Services.WeightsChanged.connect(
        [this] { this->armWeightsTimers(); });
  this->attempt();
}

/// Parses the call and finds its route, customer and service. Returns false if
/// the call was answered here.
bool ForwardRun::admit() {
  this->Call = this->Services.Codec.readRequest(this->Incoming->Head);
  const RunningCall Scope(this->Call.Id);
  if (this->Incoming->IsBeyondLimit) {
    this->refuse("too many connections are open", DefaultRetryAfter);
    return false;
  }
  if (!this->Config) {
    this->refuse("no configuration has been received yet",
                 std::chrono::seconds(1));
    return false;
  }
  if (this->Services.IsStopping) {
    this->refuse("this process is stopping", DefaultRetryAfter);
    return false;
  }
  if (this->Services.IsConfigOutdated()) {
    this->refuse("other gateways have a newer configuration",
                 std::chrono::seconds(1));
    return false;
  }
  const bool IsFresh = this->Services.IsConfigFresh();
  this->Route = findRoute(*this->Config, this->Call.Host, this->Call.path());
  if (!this->Route) {
    if (!IsFresh) {
      this->refuse("the configuration may be out of date", DefaultRetryAfter);
      return false;
    }
    throw Error(ErrorKind::NotFound, "no route for this host and path");
  }
  if (this->Incoming->IsBodyDropped) {
    this->refuse("the route was configured while the request was read",
                 DefaultRetryAfter);
    return false;
  }
  this->Customer = findCustomer(*this->Config, this->Call.Key);
  if (!this->Customer && this->Config->NeedsKeys && !this->Route->IsPublic) {
    if (!IsFresh) {
      this->refuse("the configuration may be out of date", DefaultRetryAfter);
      return false;
    }
    throw Error(ErrorKind::Unauthenticated, "unknown API key");
  }
  if (this->Call.Id.empty())
    throw Error(ErrorKind::BadRequest, "the request has no request id");
  const auto Found =
      this->Config->Services.find(chooseService(*this->Route, this->draw()));
  if (Found == this->Config->Services.end()) {
    this->refuse("the service of the route is not configured",
                 DefaultRetryAfter);
    return false;
  }
  const Duration Limit = std::min(
      this->Call.TimeLeft.value_or(this->Route->Timeout), this->Route->Timeout);
  this->Deadline = this->Incoming->Arrived + Limit;
  this->LastEvent = this->Call.ResumeAfter;
  this->Signature = callContentHash(this->Customer ? this->Customer->Name : "",
                                    this->Call.Target, this->Incoming->Body);
  this->setService(Found->second);
  if (this->isResumable())
    this->Stream = streamKey(this->Customer ? this->Customer->Name : "",
                             this->Call.Resumes.empty() ? this->Call.Id
                                                        : this->Call.Resumes);
  return true;
}

void ForwardRun::setService(const ForwardService &Next) {
  this->Service = &Next;
  this->CrashKeys = crashKeys(this->Signature, Next.Name, this->Call.Parts);
}

std::string ForwardRun::cacheScope(std::optional<std::uint64_t> Version) const {
  return scopeOf(
      this->Service->Engine->Model, Version.value_or(0),
      this->Customer && this->Customer->IsIsolated ? this->Customer->Name : "");
}

/// Returns how long from \p Now on stored parts of the service's model that
/// were computed with \p Version may be used.
Duration ForwardRun::partsUsableFor(std::uint64_t Version, BootTime Now) const {
  return usableFor(this->Services.PartRights, this->Services.PartTimes,
                   this->Service->Engine->Model, Version, Now);
}

PartReusePlan ForwardRun::planCache(std::optional<std::uint64_t> Version) {
  if (!this->Route->CarriesPrompt || !this->Service->Engine)
    return {};
  // Read before BootClock, so that a stall in between shortens the fetch.
  const TimePoint Now = EventLoop::now();
  return planReuse(this->Call.Parts, this->cacheScope(Version),
                   this->Services.Stores, this->Services.Reuse,
                   this->partsUsableFor(Version.value_or(0), BootClock::now()),
                   Now);
}

/// Returns the weights named for the service's model, or null.
const AnnouncedWeights *ForwardRun::namedWeights() const {
  if (!this->Service->Engine)
    return nullptr;
  const auto Found = this->Services.Weights.find(this->Service->Engine->Model);
  return Found == this->Services.Weights.end() ? nullptr : &Found->second;
}

UpstreamQuery ForwardRun::query() const {
  UpstreamQuery Query;
  Query.Service = this->Service->Name;
  Query.Excluded = this->TriedUpstreams;
  Query.Draw = this->Services.Random();
  if (this->Origin)
    Query.SoftwareVersion = this->Origin->Version;
  else if (this->isResumable())
    Query.ExcludedSoftware =
        this->Services.UnsettledVersions(this->Service->Name);
  if (!this->Service->Engine)
    return Query;
  if (const AnnouncedWeights *Named = this->namedWeights()) {
    Query.NewestWeightVersion = Named->newest();
    Query.MinWeightVersion =
        oldestAllowed(*Named, this->Services.OldWeightsLimit, BootClock::now());
  }
  Query.Subject = lastSharedPart(this->Call.Parts);
  Query.HomeZone = homeZone(Query.Subject, this->Services.Reuse.Zones);
  Query.Parts = this->Call.Parts;
  Query.ScopeOf = [this](std::uint64_t Weights) {
    return this->cacheScope(Weights);
  };
  Query.StoredIn = [this, Now = BootClock::now()](
                       const std::string &Key,
                       std::uint32_t Tokens) -> const StoreView * {
    if (const auto Weights = weightsOf(Key);
        !Weights ||
        this->partsUsableFor(Weights->Version, Now) <= Duration::zero())
      return nullptr;
    return storeHolding(Key, Tokens, this->Services.Stores,
                        this->Services.Reuse, EventLoop::now());
  };
  Query.EngineTokens = this->Service->Engine->CacheTokens;
  Query.CallTokens = this->callTokens();
  Query.IsUrgent = this->priority().Customer == 0;
  Query.Class = this->priorityClass();
  Query.Target = this->Route->Target;
  Query.ShortCallTokens =
      Query.EngineTokens /
      static_cast<std::uint64_t>(std::max(1, this->Service->Engine->Slots));
  Query.ToTarget =
      this->Incoming->Arrived + this->Route->Target - EventLoop::now();
  Query.MemoryTokens = static_cast<std::uint64_t>(
      CacheMemoryShare *
      static_cast<double>(this->Service->Engine->CacheTokens));
  return Query;
}

void ForwardRun::attempt() {
  const RunningCall Scope(this->Call.Id);
  if (this->Current == Phase::Done)
    return;
  this->WaitingSince = EventLoop::now();
  if (this->endIfBlocked() || this->endIfNoUpstreamOfVersion() ||
      this->refuseIfNoCapacity())
    return;
  if (!this->isWithdrawnFromAll()) {
    this->WithdrawalTimer = this->Services.Loop.timers().after(
        SilenceCheckInterval,
        [Self = this->shared_from_this()] { Self->attempt(); });
    return;
  }
  // Calls that are queued already may be more urgent.
  const bool MayGoFirst =
      this->priorityClass()
          ? !this->queue().hasAheadOf(this->waiting(), EventLoop::now())
          : this->queue().size() == 0;
  if (MayGoFirst && this->trySend())
    return;
  if (this->refuseForBacklog(this->queue().backlog()))
    return;
  this->enqueue();
}

void ForwardRun::enqueue() {
  this->WaitingSince = EventLoop::now();
  this->IsQueued = true;
  if (this->hasShares())
    this->Services.Customers.noteQueued(EventLoop::now());
  this->queue().add(this->shared_from_this());
}

/// Refuses the call if no upstream will accept calls within its queueing time.
/// Returns whether it did.
bool ForwardRun::refuseIfNoCapacity() {
  if (this->Sends > 0 || this->ConnectFailures > 0)
    return false;
  const TimePoint Now = EventLoop::now();
  const auto AvailableAt =
      this->Services.Upstreams.availableAt(this->Service->Name);
  if (!AvailableAt && this->endIfEvacuated())
    return true;
  if (!AvailableAt) {
    this->refuse("the service has no upstream", NoUpstreamRetryAfter);
    return true;
  }
  if (*AvailableAt <= Now ||
      !hasQueueTimedOut(this->waiting(), {}, *AvailableAt))
    return false;
  this->refuse("all upstreams asked for a backoff or limit their rate",
               scaled(*AvailableAt - Now, 1 + RetryAfterJitter * this->draw()));
  return true;
}

/// Ends the call if its content or a part of its prompt is blocked for crashing
/// upstreams, which may have become known since the call arrived. Returns
/// whether it did.
bool ForwardRun::endIfBlocked() {
  const TimePoint Now = EventLoop::now();
  const auto Until = refusedUntil(this->Services.Crashes, this->CrashKeys, Now);
  if (!Until)
    return false;
  this->Services.Stats.decision("content.refused");
  this->refuseOrFail(
      "calls with this content or prompt part crashed the upstreams that ran "
      "them",
      *Until - Now);
  return true;
}

/// Ends the call if all upstreams of its service are in evacuated zones.
/// Returns whether it did.
bool ForwardRun::endIfEvacuated() {
  if (!this->Services.Upstreams.isServiceEvacuated(this->Service->Name))
    return false;
  this->Services.Stats.decision("zone.no_upstream_left");
  this->refuseOrFail(
      "all upstreams of the service are in evacuated zones",
      scaled(NoUpstreamRetryAfter, 1 + RetryAfterJitter * this->draw()));
  return true;
}

bool ForwardRun::trySend() {
  const RunningCall Scope(this->Call.Id);
  if (!this->Live.empty() && this->staysWithSendsInFlight())
    return true;
  if (this->Live.empty() && this->endIfBlocked())
    return true;
  if (!this->Services.MaySend())
    return false;
  if (this->Live.empty() &&
      (this->endIfEvacuated() || this->endIfNoUpstreamOfVersion()))
    return true;
  this->retryUnreached();
  const UpstreamQuery Query = this->query();
  this->Services.Upstreams.noteWanted(Query, EventLoop::now());
  const UpstreamTable::Chosen To =
      this->Services.Upstreams.choose(Query, EventLoop::now());
  this->requestPermits(To);
  if (!To.Entry && To.WithoutAllowance > 0)
    this->Services.Stats.decision("brittle.no_allowance");
  if (!To.Entry)
    return false;
  this->Services.Upstreams.noteChoice(To, Query.Service, EventLoop::now());
  this->noteQueueLeft();
  this->IsQueued = false;
  if (!this->Live.empty()) {
    spendRetry(this->budget());
    this->noteStalled(*this->Live.back(), To.Entry->Registered.Id);
  }
  try {
    this->send(To, Query);
  } catch (const std::bad_alloc &) {
    this->cancelSends("memory_short");
    this->refuseOrFail("memory is short", DefaultRetryAfter);
  }
  return true;
}

/// Requests permits for upstreams that were left out for lack of one: for the
/// queued calls if none was chosen, else for a later call. Beginning at a
/// random upstream spreads the requests of the gateways.
void ForwardRun::requestPermits(const UpstreamTable::Chosen &Choice) {
  const auto &Lacking = Choice.WithoutPermit;
  if (Lacking.empty())
    return;
  const std::size_t First = this->Services.Random() % Lacking.size();
  if (Choice.Entry) {
    this->Services.RequestPermits(*Lacking[First], 1);
    return;
  }
  const std::size_t Count = std::min(Lacking.size(), MaxPermitRequests);
  const auto Calls =
      static_cast<std::uint32_t>((this->queue().size() + Count) / Count);
  for (std::size_t I = 0; I < Count; ++I)
    this->Services.RequestPermits(*Lacking[(First + I) % Lacking.size()],
                                  Calls);
}

WaitingRuns &ForwardRun::queue() {
  auto &Found = this->Services.Queues[this->Service->Name];
  if (!Found)
    Found = std::make_unique<WaitingRuns>(this->Services.Loop);
  return *Found;
}

/// Returns the maximum number of tokens that the call needs at an engine.
std::uint32_t ForwardRun::callTokens() const {
  std::uint32_t Tokens = this->Call.OutputTokens;
  for (const PromptPart &Each : this->Call.Parts)
    Tokens += Each.Tokens;
  return Tokens;
}

CallPriority ForwardRun::priority() const {
  return callPriority(this->Customer ? this->Customer->Priority : std::nullopt,
                      this->Route->Priority);
}

/// Returns the class of the call if capacity of its service is reserved by
/// class. The route tells the work of a call, and so the capacity that it
/// needs.
std::optional<std::size_t> ForwardRun::priorityClass() const {
  if (!this->Service->Engine || !this->Service->ReservesCapacity ||
      !this->Services.Upstreams.isLargeFleet())
    return std::nullopt;
  return galenaroute::priorityClass(this->Service->Priorities,
                                    this->Route->Priority);
}

/// Returns whether customers have shares of the engine time of the service.
bool ForwardRun::hasShares() const {
  return this->Customer && this->Service->Engine &&
         (this->Config->HasWeights || this->priorityClass());
}

/// Returns the level of the call's customer. A call that was sent before may
/// have used engine time, and keeps its full wait.
ShareLevel ForwardRun::shareLevel() const {
  if (!this->hasShares())
    return ShareLevel::Beyond;
  const ShareLevel Level = this->Services.Customers.levelOf(
      customerKey(this->Customer->Name), EventLoop::now());
  return this->Sends > 0 ? std::min(Level, ShareLevel::Beyond) : Level;
}

/// Notes how long the call was queued before it was sent or refused.
void ForwardRun::noteQueueLeft() {
  if (!this->IsQueued || !this->hasShares())
    return;
  const TimePoint Now = EventLoop::now();
  this->Services.Customers.noteQueued(Now);
  if (hasWaitedLong(this->waiting(), {}, Now))
    this->Services.Customers.noteShort(customerKey(this->Customer->Name), Now);
}

/// Adds the time of \p Send, which has ended, to that of the customer.
void ForwardRun::noteEngineTime(const ForwardSend &Send) {
  const TimePoint Now = EventLoop::now();
  if (this->hasShares())
    this->Services.Customers.noteEnded(customerKey(this->Customer->Name),
                                       Now - Send.SentAt, Now);
}

/// Returns whether other customers' calls of the same route go after this one.
/// The backlog by class does not tell these calls from those ahead.
bool ForwardRun::hasLessUrgentCustomers() const {
  static constexpr int NoPriority = -1;
  const int Own = this->Customer ? this->Customer->Priority.value_or(NoPriority)
                                 : NoPriority;
  return std::any_of(
      this->Config->Customers.begin(), this->Config->Customers.end(),
      [&](const ForwardCustomer &Each) {
        return Each.Priority.value_or(NoPriority) != Own &&
               callPriority(Each.Priority, this->Service->Priorities.back())
                       .Customer > this->priority().Customer;
      });
}

/// Returns whether no upstream can have the call, and its place in the queues
/// of all gateways follows from its class.
bool ForwardRun::mayRefuseForBacklog() const {
  const bool WasSent = this->Current != Phase::Waiting || this->Sends > 0 ||
                       this->PossibleRuns > 0 || this->ConnectFailures > 0 ||
                       !this->Live.empty() || !this->Withdrawn.empty() ||
                       this->Call.ResumeAfter;
  return !WasSent && this->priorityClass() && this->Services.MaySend() &&
         !this->hasLessUrgentCustomers();
}

bool ForwardRun::refuseForBacklog(const QueuedWork &OwnAhead) {
  if (!this->mayRefuseForBacklog())
    return false;
  static constexpr AdmissionSettings Settings;
  const TimePoint Now = EventLoop::now();
  const ServiceSlots Slots =
      this->Services.Upstreams.slotsOf(this->Service->Name);
  const std::size_t Class = *this->priorityClass();
  if (!mayRefuse(Slots, this->Services.Backlog, Class, Now, Settings))
    return false;
  const WaitingCall Waiting = this->waiting();
  const AdmissionCall Call{.Class = Class,
                           .UntilLate = lateFrom(Waiting, {}) - Now,
                           .MaxWait = maxQueueWait(Waiting, {}) -
                                      (Now - Waiting.WaitingSince)};
  const WaitEstimate Expected = expectedWait(
      Slots, OwnAhead,
      backlogOfOthers(this->Services.Backlog, useKey(this->Service->Name), Now),
      Call, Settings);
  if (Expected.Wait <= Call.MaxWait)
    return false;
  this->WaitExpected = Expected;
  if (this->hasShares()) {
    this->Services.Customers.noteQueued(Now);
    this->Services.Customers.noteShort(customerKey(this->Customer->Name), Now);
  }
  this->refuse("the calls queued ahead would take too long",
               backlogRetryAfter(Expected.Wait - Call.MaxWait, this->timeLeft(),
                                 this->draw()));
  return true;
}

WaitingCall ForwardRun::waiting() const {
  const std::optional<std::size_t> Class = this->priorityClass();
  // The shared parts are assumed to be cached.
  const Duration Work = Class ? tokenWork(this->Call.Parts.empty()
                                              ? 0
                                              : this->Call.Parts.back().Tokens,
                                          this->Call.OutputTokens)
                              : Duration::zero();
  return {.Priority = queueRank(this->priority()),
          .Class = Class,
          .Work = Work,
          .SlotTime = Class ? this->Services.Upstreams.slotTime(
                                  this->Service->Name, *Class, Work)
                            : Duration::zero(),
          .Arrived = this->Incoming->Arrived,
          .WaitingSince = this->WaitingSince,
          .TargetAt = this->Incoming->Arrived + this->Route->Target,
          .Deadline = this->Deadline,
          .Patience =
              this->Route->IsStream ? this->Route->Patience : Duration::zero(),
          .Share = this->shareLevel()};
}

void ForwardRun::onQueueTimeout(Duration LongestWait) {
  const RunningCall Scope(this->Call.Id);
  this->noteQueueLeft();
  this->IsQueued = false;
  if (!this->Live.empty()) {
    this->armStallTimer(this->Live.back());
    return;
  }
  const bool IsFarBeyond = this->shareLevel() == ShareLevel::FarBeyond;
  if (IsFarBeyond)
    this->Services.Stats.decision("customer.beyond_share");
  this->refuseOrFail(
      IsFarBeyond ? "the customer is far beyond its share of the capacity"
                  : "no upstream has free capacity",
      retryAfterDelay(LongestWait, this->timeLeft(), this->draw()));
}

/// Ends a call that has no send in flight: refuses it if it cannot have run,
/// and fails it otherwise.
void ForwardRun::refuseOrFail(std::string_view Reason, Duration RetryAfter) {
  if (this->Current == Phase::Streaming || this->PossibleRuns > 0)
    this->fail(ErrorKind::UpstreamFailed, Reason);
  else
    this->refuse(Reason, RetryAfter);
}

void ForwardRun::onTimeout() {
  const RunningCall Scope(this->Call.Id);
  if (this->Current == Phase::Done)
    return;
  const auto Self = this->shared_from_this();
  for (const auto &Each : this->Live)
    this->Services.Upstreams.noteFailure(
        Each->UpstreamId, TimedOutFailureWeight, EventLoop::now());
  this->cancelSends("timed_out");
  if (this->Current == Phase::Streaming) {
    this->Incoming->abort();
    this->finish("deadline_exceeded");
  } else if (this->PossibleRuns == 0) {
    this->refuse("the deadline passed before the call was sent",
                 DefaultRetryAfter);
  } else {
    this->fail(ErrorKind::DeadlineExceeded, "the deadline passed");
  }
}

void ForwardRun::onCallerLeft() {
  const RunningCall Scope(this->Call.Id);
  if (this->Current == Phase::Done)
    return;
  const auto Self = this->shared_from_this();
  this->cancelSends("caller_left");
  this->finish("caller_left");
}

/// Answers the call, since a closed connection would tell its caller less.
void ForwardRun::onProcessEnding() {
  const RunningCall Scope(this->Call.Id);
  if (this->Current == Phase::Done)
    return;
  const auto Self = this->shared_from_this();
  this->cancelSends("process_ended");
  this->refuseOrFail("this process ends", DefaultRetryAfter);
}

/// Returns whether a caller takes \p Status as the promise that its call has
/// not run and will not.
static bool promisesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// Ends the call with the answer of \p Send, which has ended. Only an upstream
/// that states so has not run the call, so the status alone must not promise it
/// to the caller of a call that runs at most once.
void ForwardRun::deliver(ForwardSend &Send) {
  // An answer that is dropped clears the signals that keep the run.
  const auto Self = this->shared_from_this();
  this->UpstreamId = Send.UpstreamId;
  if (this->isStreamAnswer(Send)) {
    this->beginStream(Send);
    this->Incoming->finish();
  } else if (this->Current == Phase::Streaming) {
    // Another upstream did not continue the resumed stream.
    this->Incoming->abort();
    this->finish("stream_lost");
    return;
  } else if (Send.IsBroken) {
    const UpstreamCause Cause = Send.Cause;
    this->ServerError.reset();
    this->fail(ErrorKind::UpstreamFailed, toString(Cause));
    return;
  } else if (this->Route->Repeat == Repeatability::Once &&
             promisesNotRun(Send.Answer.Status)) {
    this->ServerError.reset();
    this->fail(ErrorKind::UpstreamFailed,
               "the status of the answer promises that the call has not run");
    return;
  } else {
    const bool IsKept = this->Incoming->send(
        Send.Answer.Status, Send.Answer.ForwardedHeaders, Send.Body);
    Send.Body = {};
    Send.BodyCharge.reset();
    if (!IsKept) {
      this->finish("answer_dropped");
      return;
    }
  }
  this->finish(Send.Answer.Status < 500 ? "ok" : "upstream_error");
}

Duration ForwardRun::retryAfter() {
  return retryAfterDelay(this->queue().longestWait(EventLoop::now()),
                         this->timeLeft(), this->draw());
}

void ForwardRun::refuse(std::string_view Reason, Duration RetryAfter) {
  const ErrorRow &Row = describeError(ErrorKind::NoUpstream);
  log(LogLevel::Warn, "call.refused",
      {{"call", this->Call.Id},
       {"content", keyName(this->Signature)},
       {"reason", std::string(Reason)},
       {"sends", std::to_string(this->Sends)},
       {"priority",
        this->Service ? std::to_string(queueRank(this->priority())) : "-"},
       {"queued", this->Service ? std::to_string(this->queue().size()) : "-"},
       {"backlog_ms", this->WaitExpected
                          ? std::to_string(this->WaitExpected->BacklogMs)
                          : "-"},
       {"expected_wait_ms", this->WaitExpected ? std::to_string(toMilliseconds(
                                                     this->WaitExpected->Wait))
                                               : "-"},
       {"retry_after_ms", std::to_string(toMilliseconds(RetryAfter))}});
  this->Services.Stats.refused(std::string(Reason));
  HttpHeaders Headers =
      this->Services.Codec.localAnswerHeaders(this->Call.Id, RetryAfter);
  Headers.add("Content-Type", "application/json");
  this->Incoming->send(
      Row.HttpStatus, Headers,
      errorBody(Row.Kind, Reason,
                std::chrono::ceil<std::chrono::milliseconds>(RetryAfter)));
  this->finish("refused");
}

void ForwardRun::fail(ErrorKind Kind, std::string_view Reason) {
  log(LogLevel::Warn, "call.failed",
      {{"call", this->Call.Id},
       {"kind", std::string(describeError(Kind).Code)},
       {"reason", std::string(Reason)},
       {"sends", std::to_string(this->Sends)},
       {"possible_runs", std::to_string(this->PossibleRuns)}});
  if (this->Current == Phase::Streaming) {
    this->Incoming->abort();
    this->finish("stream_lost");
    return;
  }
  if (this->ServerError) {
    this->deliver(*this->ServerError);
    return;
  }
  HttpHeaders Headers =
      this->Services.Codec.localAnswerHeaders(this->Call.Id, std::nullopt);
  Headers.add("Content-Type", "application/json");
  this->Incoming->send(describeError(Kind).HttpStatus, Headers,
                       errorBody(Kind, Reason, {}));
  this->finish(describeError(Kind).Code);
}

void ForwardRun::finish(std::string_view Outcome) {
  // The connections that are cut below may hold the last references.
  const auto Self = this->shared_from_this();
  const Duration Elapsed = EventLoop::now() - this->Incoming->Arrived;
  log(LogLevel::Info, "call.ended",
      {{"call", this->Call.Id},
       {"route", this->Route ? this->Route->Name : "-"},
       {"upstream", this->UpstreamId.empty() ? "-" : this->UpstreamId},
       {"outcome", std::string(Outcome)},
       {"sends", std::to_string(this->Sends)},
       {"first_event_ms",
        this->FirstEventAt ? std::to_string(toMilliseconds(
                                 *this->FirstEventAt - this->Incoming->Arrived))
                           : "-"},
       {"longest_pause_ms", std::to_string(toMilliseconds(this->LongestPause))},
       {"elapsed_ms", std::to_string(toMilliseconds(Elapsed))},
       {"config", std::to_string(this->Config ? this->Config->Version : 0)}});
  this->Services.Stats.requestEnded(this->Service ? this->Service->Name : "-",
                                    std::string(Outcome), Elapsed);
  this->Current = Phase::Done;
  this->IsQueued = false;
  this->DeadlineTimer.disconnect();
  this->WeightsChanged.disconnect();
  this->BacklogSent.disconnect();
  this->ProcessEnding.disconnect();
  this->RefusalsConnection.disconnect();
  this->WithdrawalTimer.disconnect();
  this->StreamsListed.disconnect();
  this->ListTimer.disconnect();
  if (this->isResumable())
    this->Services.Streams.noteEnded(this->Stream, Outcome == "ok",
                                     EventLoop::now());
  // Drops the last reference after the caller of this function has returned.
  this->Services.Loop.timers().after(
      Duration::zero(), [Self] { Self->Incoming->CallerLeft.clear(); });
}

} // namespace galenaroute
