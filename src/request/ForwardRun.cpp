#include "request/ForwardRun.h"

#include "process/ErrorKind.h"
#include "process/Log.h"

#include <algorithm>

namespace galenaroute {

/// A call that must not repeat uses only a connection that served shortly
/// before, since one that idles may be closing.
static constexpr Duration MaxIdleOnce = std::chrono::milliseconds(900);
/// Retry-After where nothing tells how long it will take.
static constexpr Duration LeastRetryAfter = std::chrono::milliseconds(250);
/// While a service has no upstream. A replacement registers within a heartbeat
/// of its start.
static constexpr Duration NoUpstreamRetryAfter = std::chrono::seconds(1);
/// Callers that were refused together come back over this share of the time on
/// top of it.
static constexpr double PauseSpread = 0.25;
/// The least time to give an upstream; less could not be used.
static constexpr Duration LeastSendTime = std::chrono::milliseconds(5);
/// Part of an engine's memory that is taken to hold parts for later; the rest
/// is in use by its runs.
static constexpr double MemoryShare = 0.6;
static constexpr std::size_t MaxStreamBacklog = 4 << 20;
/// How much running out of time counts as a failure of the upstream, which may
/// only be busy; see the weights in ForwardSendEnd.cpp.
static constexpr double TimedOutWeight = 0.5;

ForwardRun::ForwardRun(ForwardServices &Services,
                       std::shared_ptr<IncomingCall> Incoming)
    : Services(Services), Incoming(std::move(Incoming)),
      Config(Services.Config) {
  ++this->Services.Open;
}

ForwardRun::~ForwardRun() {
  --this->Services.Open;
  this->StallTimer.disconnect();
  this->EndTimer.disconnect();
  this->WeightsTimer.disconnect();
}

/// Returns a uniform number in [0, 1).
double ForwardRun::draw() {
  return std::uniform_real_distribution<double>(0, 1)(this->Services.Random);
}

Duration ForwardRun::timeLeft() const { return this->EndAt - EventLoop::now(); }

RetryBudget &ForwardRun::budget() {
  return this->Services.Budgets
      .try_emplace(this->Service->Name, this->Services.NewBudget)
      .first->second;
}

void ForwardRun::start() {
  // The connections hold the run until it is done.
  const auto Self = this->shared_from_this();
  this->Incoming->CallerLeft.connect([Self] { Self->onCallerLeft(); });
  try {
    if (!this->admit())
      return;
  } catch (const Error &Failure) {
    this->fail(Failure.Kind, Failure.what());
    return;
  }
  noteCall(this->budget());
  this->EndTimer = this->Services.Loop.timers().after(
      this->timeLeft(), [Self] { Self->onTimeout(); });
  this->attempt();
}

/// Reads the call and finds its route, customer and service. Returns false
/// when the call was answered.
bool ForwardRun::admit() {
  this->Call = this->Services.Codec.readRequest(this->Incoming->Head);
  if (!this->Config) {
    this->refuse("no configuration is known yet", std::chrono::seconds(1));
    return false;
  }
  if (this->Services.IsStopping) {
    this->refuse("this process is stopping", LeastRetryAfter);
    return false;
  }
  const bool IsFresh = this->Services.IsConfigFresh();
  this->Route = findRoute(*this->Config, this->Call.Host, this->Call.path());
  if (!this->Route) {
    if (!IsFresh) {
      this->refuse("the configuration may be out of date", LeastRetryAfter);
      return false;
    }
    throw Error(ErrorKind::NotFound, "no route for this host and path");
  }
  this->Customer = findCustomer(*this->Config, this->Call.Key);
  if (!this->Customer && this->Config->NeedsKeys && !this->Route->IsPublic) {
    if (!IsFresh) {
      this->refuse("the configuration may be out of date", LeastRetryAfter);
      return false;
    }
    throw Error(ErrorKind::Unauthenticated, "unknown key");
  }
  if (this->Call.Id.empty())
    throw Error(ErrorKind::BadRequest, "the request has no id");
  const auto Found =
      this->Config->Services.find(chooseService(*this->Route, this->draw()));
  if (Found == this->Config->Services.end()) {
    this->refuse("the route's service is not configured", LeastRetryAfter);
    return false;
  }
  this->Service = &Found->second;
  const Duration Limit = std::min(
      this->Call.TimeLeft.value_or(this->Route->Timeout), this->Route->Timeout);
  this->EndAt = this->Incoming->Arrived + Limit;
  this->LastEvent = this->Call.ResumeAfter;
  this->Signature = callContentHash(this->Customer ? this->Customer->Name : "",
                                    this->Call.Target, this->Incoming->Body);
  return true;
}

std::string ForwardRun::cacheScope(std::optional<std::uint64_t> Version) const {
  return scopeOf(
      Version.value_or(0),
      this->Customer && this->Customer->IsIsolated ? this->Customer->Name : "");
}

PartReusePlan ForwardRun::planCache(const std::string &Scope) {
  if (!this->Route->CarriesPrompt || !this->Service->Engine)
    return {};
  return planReuse(this->Call.Parts, Scope, this->Services.Stores,
                   this->Services.Reuse, EventLoop::now());
}

/// Returns the weights named for the service's model, or null.
const NamedWeights *ForwardRun::namedWeights() const {
  if (!this->Service->Engine)
    return nullptr;
  const auto Found = this->Services.Weights.find(this->Service->Engine->Model);
  return Found == this->Services.Weights.end() ? nullptr : &Found->second;
}

UpstreamQuery ForwardRun::query() const {
  UpstreamQuery Query;
  Query.Service = this->Service->Name;
  Query.Excluded = this->Tried;
  if (!this->Service->Engine)
    return Query;
  if (const NamedWeights *Named = this->namedWeights()) {
    Query.NewestWeights = Named->newest();
    Query.LeastWeights =
        leastAllowed(*Named, this->Services.OldWeightsLimit, EventLoop::now());
  }
  Query.Subject = lastSharedPart(this->Call.Parts);
  Query.Draw = this->Services.Random();
  Query.HomeZone = homeZone(Query.Subject, this->Services.Reuse.Zones);
  Query.Parts = this->Call.Parts;
  Query.ScopeOf = [this](std::uint64_t Weights) {
    return this->cacheScope(Weights);
  };
  Query.StoredIn = [this](const std::string &Key, std::uint32_t Tokens) {
    return storeHolding(Key, Tokens, this->Services.Stores,
                        this->Services.Reuse, EventLoop::now());
  };
  Query.EngineTokens = this->Service->Engine->CacheTokens;
  Query.CallTokens = this->callTokens();
  Query.IsUrgent = this->priority() == 0;
  Query.MemoryTokens = static_cast<std::uint64_t>(
      MemoryShare * static_cast<double>(this->Service->Engine->CacheTokens));
  return Query;
}

void ForwardRun::attempt() {
  if (this->Current == Phase::Done)
    return;
  this->WaitingSince = EventLoop::now();
  if (this->endIfCrashing() || this->refuseUnservable())
    return;
  // Those that wait already may be more urgent.
  if (this->queue().size() == 0 && this->trySend())
    return;
  this->queue().add(this->shared_from_this());
}

/// Refuses a call that no upstream will take while it may wait. Returns whether
/// it did.
bool ForwardRun::refuseUnservable() {
  if (this->Sends > 0 || this->ConnectFailures > 0)
    return false;
  const TimePoint Now = EventLoop::now();
  const auto OpensAt = this->Services.Upstreams.opensAt(this->Service->Name);
  if (!OpensAt) {
    this->refuse("the service has no upstream", NoUpstreamRetryAfter);
    return true;
  }
  if (*OpensAt <= Now || !isWaitOver(this->waiting(), {}, *OpensAt))
    return false;
  this->refuse("all upstreams asked for a pause",
               scaled(*OpensAt - Now, 1 + PauseSpread * this->draw()));
  return true;
}

/// Ends a call of a content that crashes upstreams, which may have become known
/// since the call arrived. Returns whether it did.
bool ForwardRun::endIfCrashing() {
  const TimePoint Now = EventLoop::now();
  const auto Until = refusedUntil(this->Services.Crashes, this->Signature, Now);
  if (!Until)
    return false;
  this->Services.Stats.decision("content.refused");
  this->giveUp("this call crashed the upstreams that ran it", *Until - Now);
  return true;
}

bool ForwardRun::trySend() {
  if (this->endIfCrashing())
    return true;
  const UpstreamQuery Query = this->query();
  const UpstreamTable::Chosen To =
      this->Services.Upstreams.choose(Query, EventLoop::now());
  if (!To.Entry)
    return false;
  this->TokensSent = To.TokensToRead;
  this->send(*To.Entry, Query);
  return true;
}

WaitingRuns &ForwardRun::queue() {
  auto &Found = this->Services.Waiting[this->Service->Name];
  if (!Found)
    Found = std::make_unique<WaitingRuns>(this->Services.Loop);
  return *Found;
}

/// Returns the tokens that the call needs at an engine, at most.
std::uint32_t ForwardRun::callTokens() const {
  std::uint32_t Tokens = this->Call.OutputTokens;
  for (const PromptPart &Each : this->Call.Parts)
    Tokens += Each.Tokens;
  return Tokens;
}

int ForwardRun::priority() const {
  return this->Customer && this->Customer->Priority ? *this->Customer->Priority
                                                    : this->Route->Priority;
}

WaitingCall ForwardRun::waiting() const {
  return {.Priority = this->priority(),
          .Arrived = this->Incoming->Arrived,
          .WaitingSince = this->WaitingSince,
          .TargetAt = this->Incoming->Arrived + this->Route->Target,
          .EndAt = this->EndAt,
          .Patience =
              this->Route->IsStream ? this->Route->Patience : Duration::zero()};
}

void ForwardRun::endWait(Duration OldestWait) {
  this->giveUp("no upstream is free",
               comeBackAfter(OldestWait, this->timeLeft(), this->draw()));
}

/// Ends a call that no send is under way for: as refused only where it has not
/// run.
void ForwardRun::giveUp(std::string_view Reason, Duration RetryAfter) {
  if (this->Current == Phase::Streaming || this->PossibleRuns > 0)
    this->fail(ErrorKind::UpstreamFailed, Reason);
  else
    this->refuse(Reason, RetryAfter);
}

SendPlan ForwardRun::planSend(const UpstreamEntry &To,
                              const PartReusePlan &Reuse) const {
  SendPlan Plan;
  Plan.Instance = To.Registered.Id;
  if (this->Customer)
    Plan.Customer = this->Customer->Name;
  Plan.TimeLeft = std::max(this->timeLeft(), LeastSendTime);
  Plan.ResumeAfter = this->LastEvent;
  if (!this->Service->Engine)
    return Plan;
  Plan.Urgency = std::clamp(this->priority(), 0, 9);
  Plan.WeightVersion = To.WeightVersion;
  Plan.CacheScope = this->cacheScope(To.WeightVersion);
  Plan.Fetch = Reuse.Fetch;
  Plan.Save = Reuse.Save;
  Plan.FetchUntilMs = Reuse.FetchUntilMs;
  return Plan;
}

void ForwardRun::send(const UpstreamEntry &To, const UpstreamQuery &Query) {
  const PartReusePlan Reuse =
      this->planCache(this->cacheScope(To.WeightVersion));
  const SendPlan Plan = this->planSend(To, Reuse);
  UpstreamExchangeSettings Settings;
  Settings.IsHead = this->Call.Method == "HEAD";
  Settings.MaxIdle = this->Route->Repeat == Repeatability::Once
                         ? MaxIdleOnce
                         : MaxIdleRepeatable;
  this->UpstreamId = To.Registered.Id;
  this->Incarnation = incarnationKey(To.Registered.Id, To.Registered.BornMs);
  this->Services.Upstreams.noteParts(this->UpstreamId, Query);
  this->Tried.push_back(this->UpstreamId);
  this->HasAnswer = false;
  this->Body.clear();
  this->Splitter.clear();
  this->SentAt = this->ProgressAt = EventLoop::now();
  this->HasStalledOnce = false;
  if (this->Current == Phase::Waiting)
    this->Current = Phase::Sent;
  this->Services.Upstreams.noteSent(this->UpstreamId, this->TokensSent,
                                    this->callTokens());
  this->Exchange = this->Services.Pool.start(
      To.Registered.Address,
      this->Services.Codec.writeRequest(this->Call, Plan, this->Incoming->Body),
      Settings,
      {.OnHead = [this](const HttpHead &Head) { return this->onHead(Head); },
       .OnBody = [this](std::string_view Bytes) { this->onBody(Bytes); },
       .OnEnd =
           [this](UpstreamEnd End) {
             const auto Self = this->shared_from_this();
             this->onEnd(End);
           }});
  const auto Others = this->Services.Upstreams.useOfOthers(To);
  log(LogLevel::Info, "call.sent",
      {{"call", this->Call.Id},
       {"content", contentName(this->Signature)},
       {"route", this->Route->Name},
       {"upstream", this->UpstreamId},
       {"send", std::to_string(this->Sends + 1)},
       {"left_ms", std::to_string(toMilliseconds(this->timeLeft()))},
       {"weights", std::to_string(To.WeightVersion.value_or(0))},
       {"own_calls", std::to_string(To.OwnCalls)},
       {"running", To.Load ? std::to_string(To.Load->Running) : "-"},
       {"waiting", To.Load ? std::to_string(To.Load->Waiting) : "-"},
       {"slowdown", To.Load ? std::to_string(To.Load->Slowdown) : "-"},
       {"own_tokens", std::to_string(To.OwnTokens)},
       {"tokens_ahead", std::to_string(To.TokensAhead)},
       {"others_calls", Others ? std::to_string(Others->Calls) : "-"},
       {"others_tokens", Others ? std::to_string(Others->Tokens) : "-"},
       {"others_ahead", Others ? std::to_string(Others->TokensAhead) : "-"},
       {"load_age_ms",
        To.Load ? std::to_string(toMilliseconds(this->SentAt - To.ReportedAt))
                : "-"},
       {"tokens_to_read", std::to_string(this->TokensSent)},
       {"stored_tokens", std::to_string(Reuse.StoredTokens)},
       {"shared_tokens", std::to_string(Reuse.SharedTokens)}});
  this->Services.OnSent(To, this->TokensSent);
  this->armStall();
  this->armWeightsLimit(To);
}

/// A call that waits at an engine with old weights must not begin there after
/// the time by which all should have the newer ones.
void ForwardRun::armWeightsLimit(const UpstreamEntry &To) {
  this->WeightsTimer.disconnect();
  if (!this->Service->Engine || !To.WeightVersion)
    return;
  const NamedWeights *Named = this->namedWeights();
  if (!Named)
    return;
  const auto Superseded = supersededAt(*Named, *To.WeightVersion);
  if (!Superseded)
    return;
  const Duration Left =
      *Superseded + this->Services.WeightsLimit - EventLoop::now();
  this->WeightsTimer = this->Services.Loop.timers().after(
      Left, [Self = this->shared_from_this()] { Self->takeBack(); });
}

void ForwardRun::takeBack() {
  if (this->Current == Phase::Done || !this->Exchange || this->FirstEventAt)
    return;
  this->abandonSend(SendOutcome::Stalled);
}

/// Cancels the send under way. \p IfSent is its outcome if the call was sent.
void ForwardRun::abandonSend(SendOutcome IfSent) {
  const bool WasSent = this->Exchange->wasSent();
  this->Exchange.reset();
  this->onOutcome(WasSent ? IfSent : SendOutcome::NotSent);
}

void ForwardRun::armStall() {
  this->StallTimer.disconnect();
  if (const auto Limit =
          stallLimit(*this->Route, this->FirstEventAt.has_value()))
    this->StallTimer = this->Services.Loop.timers().after(
        *Limit, [Self = this->shared_from_this()] { Self->onStall(); });
}

bool ForwardRun::onHead(const HttpHead &Head) {
  CallAnswer Read = this->Services.Codec.readAnswer(Head);
  // On a connection that has served before, what names no call may be a late
  // second copy of an earlier answer.
  const bool IsForeign = Read.CallId.empty()
                             ? this->Exchange->usedKeptConnection()
                             : Read.CallId != this->Call.Id;
  if (IsForeign) {
    log(LogLevel::Warn, "answer.foreign",
        {{"call", this->Call.Id},
         {"upstream", this->UpstreamId},
         {"answers", Read.CallId}});
    return false;
  }
  this->Answer = std::move(Read);
  this->HasAnswer = true;
  UpstreamTable &Upstreams = this->Services.Upstreams;
  const TimePoint Now = EventLoop::now();
  this->ProgressAt = Now;
  Upstreams.noteProgress(this->UpstreamId, Now);
  if (this->Answer.IsLeaving)
    Upstreams.noteLeaving(this->UpstreamId);
  if (this->Answer.RefusesFor)
    Upstreams.notePaused(this->UpstreamId, Now + *this->Answer.RefusesFor, Now);
  if (this->Answer.Load)
    Upstreams.noteLoad(this->UpstreamId, *this->Answer.Load, Now);
  if (this->Answer.WeightVersion)
    Upstreams.noteWeights(this->UpstreamId, *this->Answer.WeightVersion);
  return true;
}

/// Whether the answer being read is an event stream to pass on as it comes.
bool ForwardRun::isStreamAnswer() const {
  return this->Route->IsStream && this->Answer.Status == 200 &&
         this->Answer.IsSigned && !this->Answer.IsEncoded;
}

void ForwardRun::onBody(std::string_view Bytes) {
  if (!this->isStreamAnswer()) {
    this->Body += Bytes;
    return;
  }
  if (this->Splitter.feed(
          Bytes, [this](const StreamEvent &Event) { this->onEvent(Event); }))
    return;
  log(LogLevel::Warn, "stream.event_too_long",
      {{"call", this->Call.Id}, {"upstream", this->UpstreamId}});
  this->Splitter.clear();
  if (this->Current == Phase::Done)
    return;
  // Ended outside the parser, which is still reporting from these bytes.
  this->StallTimer.disconnect();
  this->StallTimer = this->Services.Loop.timers().after(
      Duration::zero(), [Self = this->shared_from_this()] {
        if (Self->Current != Phase::Done && Self->Exchange)
          Self->abandonSend(SendOutcome::Broken);
      });
}

void ForwardRun::onEvent(const StreamEvent &Event) {
  if (this->Current == Phase::Done)
    return;
  if (Event.Id && this->LastEvent && *Event.Id <= *this->LastEvent) {
    log(LogLevel::Warn, "stream.event_repeated",
        {{"call", this->Call.Id}, {"event", std::to_string(*Event.Id)}});
    return;
  }
  this->beginStream();
  const TimePoint Now = EventLoop::now();
  if (this->LastEventAt != TimePoint{})
    this->LongestPause = std::max(this->LongestPause, Now - this->LastEventAt);
  this->LastEventAt = this->ProgressAt = Now;
  if (Event.Id)
    this->LastEvent = Event.Id;
  this->Incoming->write(Event.Bytes);
  // In a numbered stream, an event without a number, such as a comment, is no
  // sign that the engine works on it.
  if (Event.Id || !this->LastEvent)
    this->armStall();
  if (this->Incoming->unsentBytes() > MaxStreamBacklog) {
    this->Incoming->abort();
    this->finish("caller_too_slow");
  }
}

/// The prompt of the send under way has been read, or never will be.
void ForwardRun::noteStarted() {
  if (this->TokensSent == 0)
    return;
  this->Services.Upstreams.noteStarted(this->UpstreamId, this->TokensSent);
  this->TokensSent = 0;
  this->queue().wake();
}

void ForwardRun::beginStream() {
  this->noteStarted();
  if (this->Current == Phase::Streaming)
    return;
  this->Current = Phase::Streaming;
  this->FirstEventAt = EventLoop::now();
  this->Services.Stats.firstToken(
      this->Service->Name, *this->FirstEventAt - this->Incoming->Arrived);
  this->Incoming->begin(this->Answer.Status, this->Answer.Passed);
}

void ForwardRun::onTimeout() {
  if (this->Current == Phase::Done)
    return;
  const auto Self = this->shared_from_this();
  if (this->Exchange)
    this->Services.Upstreams.noteFailure(this->UpstreamId, TimedOutWeight,
                                         EventLoop::now());
  this->endSend("timed_out");
  if (this->Current == Phase::Streaming) {
    this->Incoming->abort();
    this->finish("deadline_exceeded");
  } else if (this->PossibleRuns == 0) {
    this->refuse("the time ran out before the call was sent", LeastRetryAfter);
  } else {
    this->fail(ErrorKind::DeadlineExceeded, "the time ran out");
  }
}

void ForwardRun::onCallerLeft() {
  if (this->Current == Phase::Done)
    return;
  const auto Self = this->shared_from_this();
  this->endSend("caller_left");
  this->finish("caller_left");
}

void ForwardRun::deliver() {
  if (this->isStreamAnswer()) {
    this->beginStream();
    this->Incoming->finish();
  } else if (this->Current == Phase::Streaming) {
    // A resumed stream that another upstream would not go on with.
    this->Incoming->abort();
    this->finish("stream_lost");
    return;
  } else {
    this->Incoming->send(this->Answer.Status, this->Answer.Passed, this->Body);
  }
  this->finish(this->Answer.Status < 500 ? "ok" : "upstream_error");
}

Duration ForwardRun::retryAfter() {
  return comeBackAfter(this->queue().oldestWait(EventLoop::now()),
                       this->timeLeft(), this->draw());
}

void ForwardRun::refuse(std::string_view Reason, Duration RetryAfter) {
  const ErrorRow &Row = describeError(ErrorKind::NoUpstream);
  log(LogLevel::Warn, "call.refused",
      {{"call", this->Call.Id},
       {"content", contentName(this->Signature)},
       {"reason", std::string(Reason)},
       {"sends", std::to_string(this->Sends)},
       {"retry_after_ms", std::to_string(toMilliseconds(RetryAfter))}});
  HttpHeaders Headers =
      this->Services.Codec.ownAnswer(this->Call.Id, RetryAfter);
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
  HttpHeaders Headers =
      this->Services.Codec.ownAnswer(this->Call.Id, std::nullopt);
  Headers.add("Content-Type", "application/json");
  this->Incoming->send(describeError(Kind).HttpStatus, Headers,
                       errorBody(Kind, Reason, {}));
  this->finish(describeError(Kind).Code);
}

void ForwardRun::finish(std::string_view Outcome) {
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
  this->StallTimer.disconnect();
  this->EndTimer.disconnect();
  this->WeightsTimer.disconnect();
  // Ends the last reference, after the caller of this function is done.
  this->Services.Loop.timers().after(Duration::zero(),
                                     [Self = this->shared_from_this()] {
                                       Self->Incoming->CallerLeft.clear();
                                     });
}

} // namespace galenaroute
