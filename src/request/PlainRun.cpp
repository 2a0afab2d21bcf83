#include "request/PlainRun.h"

#include "process/Sha256.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace galenaroute {

/// Returns whether the field must not be forwarded: hop-by-hop fields,
/// credentials, and fields that the gateway sets itself.
static bool isUnforwardedField(std::string_view Name) {
  static constexpr std::array<std::string_view, 12> Names = {
      "connection",
      "keep-alive",
      "proxy-authenticate",
      "proxy-connection",
      "te",
      "trailer",
      "transfer-encoding",
      "upgrade",
      "content-length",
      "host",
      "x-request-id",
      "expect"};
  std::string Lower(Name);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Lower == "authorization" ||
         std::find(Names.begin(), Names.end(), Lower) != Names.end();
}

HttpHeaders forwardedHeaders(const HttpHeaders &Headers) {
  HttpHeaders Result;
  for (const HttpHeaders::Field &Each : Headers)
    if (!isUnforwardedField(Each.Name))
      Result.add(Each.Name, Each.Value);
  return Result;
}

std::string declaredPath(std::string_view Path) {
  std::string Result;
  std::string Decoded = percentDecode(Path);
  std::string_view Rest = Decoded;
  while (!Rest.empty()) {
    const std::size_t End = Rest.find('/');
    const std::string_view Segment = Rest.substr(0, End);
    if (Segment == "." || Segment == "..")
      throw Error(ErrorKind::BadRequest,
                  "the path must not contain '.' or '..' segments");
    if (!Segment.empty())
      Result.append("/").append(Segment);
    if (End == std::string_view::npos)
      break;
    Rest.remove_prefix(End + 1);
  }
  return Result.empty() ? "/" : Result;
}

static AttemptState stateOf(const RequestContext &Context,
                            const RequestInfo &Info, const PlainCall &Call) {
  AttemptPolicy Policy;
  Policy.Model = false;
  Policy.Repeatable = Call.Repeatable;
  Policy.NeedsClaim = !Call.Repeatable && !Call.Key.empty();
  Policy.MaxSends = Context.Settings.MaxSends;
  Policy.Stall = Context.Settings.StallTimeout;
  Policy.Deadline =
      Info.Arrived + Info.Config->findService(Info.Service)->Deadline;
  return newAttempt(Policy);
}

PlainRun::PlainRun(RequestContext &Context, const RequestInfo &Given,
                   PlainCall Asked)
    : RequestRun(Context, Given, stateOf(Context, Given, Asked)),
      Call(std::move(Asked)),
      Ticket(Context.Dispatch, {.Config = this->Info.Config,
                                .RequestId = this->Info.id(),
                                .Service = this->Info.Service,
                                .Customer = this->Info.Customer,
                                .Deadline = this->State.Policy.Deadline}) {}

void PlainRun::execute(const AttemptAction &Action) {
  using Kind = AttemptAction::Kind;
  switch (Action.What) {
  case Kind::Claim:
    return this->claim();
  case Kind::Release:
    return this->release();
  case Kind::StoreOutcome:
    return this->storeOutcome(Action.MayHaveRun);
  case Kind::Choose:
    return this->choose(this->Ticket);
  case Kind::Send:
    return this->send(Action);
  case Kind::Close:
    if (Action.Connection == this->TicketConnection)
      this->Ticket.failed(AttemptFailure::Cancelled);
    this->Exchanges.erase(Action.Connection);
    return;
  case Kind::Complete:
    this->Info.Reply.send(this->Result.Status,
                          forwardedHeaders(this->Result.Headers),
                          this->Result.Body);
    return;
  case Kind::Replay:
    if (!this->Claim.Outcome.BodyStored) {
      this->Info.Reply.fail(
          Error(ErrorKind::DuplicateRan,
                "the call ran with status " +
                    std::to_string(this->Claim.Outcome.Status) +
                    "; its response was too large to be stored"));
      return;
    }
    this->Info.Reply.send(this->Claim.Outcome.Status,
                          this->Claim.Outcome.ContentType,
                          this->Claim.Outcome.Body);
    return;
  default:
    return;
  }
}

void PlainRun::claim() {
  // The run stays open until the gate has answered, so `this` stays valid.
  this->Context.Claims.claim(
      {this->Info.Customer, this->Info.Service, this->Call.Key},
      sha256Hex(this->Call.Method + "\n" + this->Call.Target + "\n" +
                this->Call.Body),
      [this](const ClaimAnswer &Answer) {
        this->Claim = Answer;
        this->post(attempt::ClaimAnswered{Answer.Status});
      });
}

void PlainRun::release() {
  // Without a caller nothing waits for the release, and the run may be
  // destroyed before it completes.
  if (this->State.Phase != AttemptPhase::Releasing)
    return this->Context.Claims.release(this->Claim.Token, [](bool) {});
  this->Context.Claims.release(this->Claim.Token, [this](bool Durable) {
    this->post(attempt::Released{Durable});
  });
}

void PlainRun::storeOutcome(bool MayHaveRun) {
  ClaimOutcome Outcome;
  Outcome.Ran = !MayHaveRun;
  if (Outcome.Ran) {
    Outcome.Status = this->Result.Status;
    Outcome.ContentType =
        this->Result.Headers.find("Content-Type").value_or("");
    Outcome.Body = this->Result.Body;
  }
  this->Context.Claims.finish(this->Claim.Token, Outcome);
}

void PlainRun::send(const AttemptAction &Action) {
  HttpCallBuilder Builder(*this->addressOf(Action.Upstream));
  Builder.method(this->Call.Method, this->Call.Target, this->Call.Body)
      .header("X-Request-Id", this->Info.id())
      .header("X-Customer", this->Info.Customer)
      .connectTimeout(this->Context.Settings.ConnectTimeout);
  for (const HttpHeaders::Field &Each : this->Call.Headers)
    Builder.header(Each.Name, Each.Value);
  // stepAttempt() detects stalls of repeatable calls. For others, only the end
  // of the exchange shows whether a byte was sent, so the exchange may use all
  // the time to the deadline.
  const Duration Left = std::max<Duration>(
      this->State.Policy.Deadline - EventLoop::now(), Milliseconds(1));
  Builder.totalTimeout(Left).idleTimeout(Left);
  if (!this->Call.Repeatable)
    Builder.newConnection();
  HttpCall Sent = Builder.build();
  Sent.MaxBodyBytes = this->Context.Settings.MaxAnswerBytes;
  this->TicketConnection = Action.Connection;
  this->Exchanges[Action.Connection] = this->Context.Http.start(
      std::move(Sent), {.OnDone = [this, Connection = Action.Connection](
                                      const HttpResult &Ended) {
        if (Connection == this->TicketConnection) {
          if (Ended.End == HttpEnd::Complete && Ended.Status != 429)
            this->Ticket.finished(0);
          else
            report(this->Ticket, Ended);
        }
        this->Result = Ended;
        this->post(attempt::Ended{Connection, Ended.End == HttpEnd::Complete,
                                  Ended.BytesSent, Ended.Status});
      }});
}

} // namespace galenaroute
