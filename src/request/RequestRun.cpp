#include "request/RequestRun.h"

#include "process/Log.h"
#include "process/Sha256.h"

#include <utility>

namespace galenaroute {

static std::string messageOf(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::NoUpstream:
    return "no upstream of the service can take the call; nothing was sent";
  case ErrorKind::UpstreamRefused:
    return "every upstream that was tried refused the call before running it";
  case ErrorKind::UpstreamFailed:
    return "the upstreams that were tried failed while running the call";
  case ErrorKind::StreamLost:
    return "the stream cannot be continued where it broke";
  case ErrorKind::OutcomeUnknown:
    return "the call was sent, and whether it ran is not known";
  case ErrorKind::DeadlineExceeded:
    return "the deadline of the service passed before the answer was whole";
  case ErrorKind::PlatformUnavailable:
    return "the call could not be claimed, so it was not sent";
  case ErrorKind::DuplicateInProgress:
    return "another request with this key has not finished";
  case ErrorKind::DuplicateMayHaveRun:
    return "a call with this key was sent earlier, and whether it ran is not "
           "known";
  case ErrorKind::Conflict:
    return "this key was used by a different call; use a new key";
  case ErrorKind::BadRequest:
    return "the engine rejected the request as malformed or too long";
  default:
    return "the request failed";
  }
}

RequestRun::RequestRun(RequestContext &Context, RequestInfo Given,
                       AttemptState State)
    : Context(Context), Info(std::move(Given)), State(std::move(State)) {
  this->CallerClosed = this->Info.Reply.closed().connect(
      [this] { this->post(attempt::CallerLeft{}); });
  static std::uint64_t NextId = 0;
  const CustomerConfig &Customer =
      this->Info.Config->Customers.at(this->Info.Customer);
  this->Work.Id = ++NextId;
  this->Work.Customer = Customer.Name;
  this->Work.Weight = Customer.Weight;
  this->Work.MaxInFlight = Customer.MaxInFlight;
  this->Work.Deadline = this->State.Policy.Deadline;
  this->Work.Streaming = this->State.Policy.Streaming;
}

RequestRun::~RequestRun() {
  this->Timer.disconnect();
  this->CallerClosed.disconnect();
}

void RequestRun::begin() {
  if (!this->State.Attempt.empty())
    return this->post(attempt::Start{});
  this->pool().offer(
      this->Work,
      {.OnAdmitted =
           [this] {
             this->Context.Events.record("request.admitted", this->Info.id(),
                                         toString(this->Work.Class));
             this->post(attempt::Start{});
           },
       .OnRefused =
           [this](const AdmissionRefusal &Refusal) {
             this->Context.Events.record("request.refused", this->Info.id(),
                                         Refusal.Message);
             this->State.Phase = AttemptPhase::Finished;
             this->fail(
                 Error(Refusal.Kind, Refusal.Message, Refusal.RetryAfter));
             this->endIfOver();
           }});
}

void RequestRun::choose() {
  // The attempt before did not bring the answer.
  this->noteFailed(this->Failure == AttemptFailure::Cancelled
                       ? AttemptFailure::Broken
                       : this->Failure);
  const auto Found = this->pool().choose(this->Work, this->State.Avoid);
  if (!Found || !this->addressOf(Found->Name))
    return this->post(attempt::NoneAvailable{});
  this->Chosen = *Found;
  this->post(attempt::Chosen{Found->Name, randomId()});
}

void RequestRun::noteSent(const AttemptAction &Action) {
  this->NotedAttempt = Action.Attempt;
  this->Failure = AttemptFailure::Cancelled;
  this->pool().noteSent(Action.Attempt, Action.Upstream, this->Work);
}

void RequestRun::noteFinished(double Tokens) {
  if (!this->NotedAttempt.empty())
    this->pool().noteFinished(std::exchange(this->NotedAttempt, {}), Tokens,
                              this->Work);
}

void RequestRun::noteFailed(AttemptFailure Failure) {
  if (!this->NotedAttempt.empty())
    this->pool().noteFailed(std::exchange(this->NotedAttempt, {}), Failure);
}

AttemptFailure RequestRun::failureOf(const HttpResult &Result) {
  if (!Result.BytesSent)
    return AttemptFailure::Connect;
  if (Result.End != HttpEnd::Complete)
    return AttemptFailure::Broken;
  if (Result.Status == 429 || Result.Status == 503)
    return AttemptFailure::Refused;
  // Another weight version, for instance, says nothing about its health.
  return Result.Status >= 500 ? AttemptFailure::Broken
                              : AttemptFailure::Cancelled;
}

void RequestRun::takeOver() {
  this->post(attempt::TakenOver{});
  if (this->State.Phase == AttemptPhase::Finished)
    this->Info.Reply.abort();
}

void RequestRun::post(AttemptEvent Event) {
  this->Queue.push_back(std::move(Event));
  if (this->IsStepping)
    return;
  this->IsStepping = true;
  while (!this->Queue.empty()) {
    const AttemptEvent Next = std::move(this->Queue.front());
    this->Queue.pop_front();
    AttemptStep Step =
        stepAttempt(std::move(this->State), Next, EventLoop::now(),
                    hasRetry(this->pool().retries()));
    this->State = std::move(Step.State);
    for (const AttemptAction &Each : Step.Actions)
      this->handle(Each);
  }
  this->IsStepping = false;
  this->arm();
  this->endIfOver();
}

void RequestRun::handle(const AttemptAction &Action) {
  using Kind = AttemptAction::Kind;
  switch (Action.What) {
  case Kind::Record:
    return this->record(Action);
  case Kind::SpendRetry:
    spendRetry(this->pool().retries());
    return;
  case Kind::Fail:
    return this->fail(Error(Action.Error, messageOf(Action.Error)));
  case Kind::Choose:
    return this->choose();
  case Kind::Whole:
  case Kind::Replay:
    this->Outcome = "ok";
    return this->execute(Action);
  default:
    return this->execute(Action);
  }
}

void RequestRun::record(const AttemptAction &Action) {
  this->Context.Events.record(Action.Name, this->Info.id(), Action.Text);
  this->Context.Stats.decision(Action.Name);
  log(LogLevel::Debug, Action.Name,
      {{"request", this->Info.id()}, {"detail", Action.Text}});
}

void RequestRun::fail(const Error &Failure) {
  const std::string Code(describeError(Failure.Kind).Code);
  this->Outcome = Code;
  this->Context.Events.record("request.failed", this->Info.id(), Code);
  this->Info.Reply.fail(Failure);
}

const SocketAddress *RequestRun::addressOf(std::string_view Name) const {
  for (const UpstreamConfig &Each : this->service().Upstreams)
    if (Each.Name == Name)
      return &Each.Address;
  return nullptr;
}

void RequestRun::arm() {
  this->Timer.disconnect();
  const TimePoint Wake = nextWake(this->State);
  if (Wake != TimePoint::max())
    this->Timer = this->Context.Loop.timers().after(
        Wake - EventLoop::now(), [this] { this->post(attempt::Tick{}); });
}

void RequestRun::endIfOver() {
  if (this->HasEnded || this->State.Phase != AttemptPhase::Finished ||
      this->State.ClaimPending)
    return;
  this->HasEnded = true;
  this->noteFailed(this->Failure);
  this->pool().leave(this->Work.Id);
  const Duration Elapsed = EventLoop::now() - this->Info.Arrived;
  this->Context.Stats.requestEnded(this->Info.Service, this->Outcome, Elapsed);
  this->Context.Events.record("request.finished", this->Info.id(),
                              this->Outcome);
  log(LogLevel::Info, "request.finished",
      {{"request", this->Info.id()},
       {"customer", this->Info.Customer},
       {"service", this->Info.Service},
       {"outcome", this->Outcome},
       {"sends", std::to_string(this->State.Sends)},
       {"ms", std::to_string(toMilliseconds(Elapsed))}});
  this->Context.Open.remove(this);
}

OpenRequests::~OpenRequests() { this->Collect.disconnect(); }

void OpenRequests::add(std::unique_ptr<RequestRun> Run) {
  RequestRun *Added = Run.get();
  this->Runs.emplace(Added, std::move(Run));
  this->Stats.OpenRequests.Set(static_cast<double>(this->Runs.size()));
  Added->begin();
}

void OpenRequests::remove(const RequestRun *Run) {
  auto Node = this->Runs.extract(Run);
  if (!Node)
    return;
  this->Stats.OpenRequests.Set(static_cast<double>(this->Runs.size()));
  this->Ended.push_back(std::move(Node.mapped()));
  if (this->Ended.size() > 1)
    return;
  this->Collect = this->Loop.timers().after(Duration::zero(), [this] {
    const auto Destroyed = std::move(this->Ended);
    this->Ended.clear();
    if (this->Runs.empty())
      this->Emptied.emit();
  });
}

RequestRun *OpenRequests::findStream(std::string_view Customer,
                                     std::string_view Attempt) {
  for (const auto &[Run, Owned] : this->Runs)
    if (Run->customer() == Customer && Run->hasAttempt(Attempt))
      return Owned.get();
  return nullptr;
}

} // namespace galenaroute
