#include "request/RequestRun.h"

#include "process/Log.h"

namespace galenaroute {

static std::string messageOf(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::NoUpstream:
    return "no upstream of the service can accept the call; it was not sent";
  case ErrorKind::UpstreamRefused:
    return "all upstreams that were tried refused the call before running it";
  case ErrorKind::UpstreamFailed:
    return "the upstreams that were tried failed while running the call";
  case ErrorKind::StreamLost:
    return "the stream was interrupted and cannot be resumed";
  case ErrorKind::OutcomeUnknown:
    return "the call was sent, but it is not known whether it ran";
  case ErrorKind::DeadlineExceeded:
    return "the deadline of the service passed before the response was "
           "complete";
  case ErrorKind::PlatformUnavailable:
    return "the idempotency key could not be claimed, so the call was not sent";
  case ErrorKind::DuplicateInProgress:
    return "another request with this idempotency key is still in progress";
  case ErrorKind::DuplicateMayHaveRun:
    return "a call with this idempotency key was sent earlier, but it is not "
           "known whether it ran";
  case ErrorKind::Conflict:
    return "this idempotency key was used for a different call; use a new key";
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
  noteCall(this->Context.Retries);
}

RequestRun::~RequestRun() {
  this->Timer.disconnect();
  this->CallerClosed.disconnect();
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
                    hasRetry(this->Context.Retries));
    this->State = std::move(Step.State);
    for (const AttemptAction &Each : Step.Actions)
      this->handle(Each);
  }
  this->IsStepping = false;
  this->armTimer();
  this->endIfFinished();
}

void RequestRun::handle(const AttemptAction &Action) {
  using Kind = AttemptAction::Kind;
  switch (Action.What) {
  case Kind::Record:
    return this->record(Action);
  case Kind::SpendRetry:
    return spendRetry(this->Context.Retries);
  case Kind::Fail:
    return this->fail(Action.Error);
  case Kind::Complete:
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

void RequestRun::fail(ErrorKind Kind) {
  const std::string Code(describeError(Kind).Code);
  this->Outcome = Code;
  this->Context.Events.record("request.failed", this->Info.id(), Code);
  if (this->Refusal && this->Refusal->Kind == Kind)
    this->Info.Reply.fail(
        Error(Kind, this->Refusal->Message, this->Refusal->RetryAfter));
  else
    this->Info.Reply.fail(Error(Kind, messageOf(Kind)));
}

void RequestRun::choose(DispatchTicket &Ticket) {
  Ticket.choose(this->State.Avoid, [this](const DispatchDecision &Answer) {
    this->Refusal = Answer.Refusal;
    this->Priority = Answer.Priority;
    if (Answer.Refusal)
      this->post(attempt::NoneAvailable{Answer.Refusal->Kind});
    else
      this->post(attempt::Chosen{Answer.Upstream, Answer.Attempt});
  });
}

void RequestRun::report(DispatchTicket &Ticket, const HttpResult &Result) {
  if (Result.End == HttpEnd::ConnectFailed)
    Ticket.failed(AttemptFailure::Connect);
  else if (Result.End == HttpEnd::Complete && Result.Status == 409)
    Ticket.versionMismatch();
  else if (Result.End == HttpEnd::Complete && Result.Status == 429)
    Ticket.failed(AttemptFailure::Refused);
  else if (Result.End != HttpEnd::Complete && Result.BytesSent)
    Ticket.connectionBroke();
}

const SocketAddress *RequestRun::addressOf(std::string_view Name) const {
  for (const UpstreamConfig &Each : this->service().Upstreams)
    if (Each.Name == Name)
      return &Each.Address;
  return nullptr;
}

void RequestRun::armTimer() {
  this->Timer.disconnect();
  const TimePoint Wake = nextWake(this->State);
  if (Wake != TimePoint::max())
    this->Timer = this->Context.Loop.timers().after(
        Wake - EventLoop::now(), [this] { this->post(attempt::Tick{}); });
}

void RequestRun::endIfFinished() {
  if (this->HasEnded || this->State.Phase != AttemptPhase::Finished ||
      this->State.ClaimPending)
    return;
  this->HasEnded = true;
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
  ++this->ByCustomer[Added->customer()];
  this->Runs.emplace(Added, std::move(Run));
  this->Stats.OpenRequests.Set(static_cast<double>(this->Runs.size()));
  Added->start();
}

void OpenRequests::remove(const RequestRun *Run) {
  auto Node = this->Runs.extract(Run);
  if (!Node)
    return;
  const auto Count = this->ByCustomer.find(Run->customer());
  if (--Count->second == 0)
    this->ByCustomer.erase(Count);
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

int OpenRequests::countOf(const std::string &Customer) const {
  const auto It = this->ByCustomer.find(Customer);
  return It == this->ByCustomer.end() ? 0 : It->second;
}

} // namespace galenaroute
