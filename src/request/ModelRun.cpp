#include "request/ModelRun.h"

#include "process/Sha256.h"

#include <algorithm>
#include <chrono>

namespace galenaroute {

/// Interval at which a paused stream checks whether its caller has caught up.
static constexpr auto BufferPoll = std::chrono::milliseconds(20);

/// Estimates tokens as 4 bytes of text each, in place of a tokenizer.
static std::uint64_t tokensOf(std::string_view Text) {
  return (Text.size() + 3) / 4;
}

static AttemptPolicy policyOf(const RequestContext &Context,
                              const RequestInfo &Info, bool Streaming) {
  const DaemonSettings &Settings = Context.Settings;
  AttemptPolicy Policy;
  Policy.Streaming = Streaming;
  Policy.MaxSends = Settings.MaxSends;
  Policy.Stall = Settings.StallTimeout;
  Policy.Linger = Settings.Linger;
  Policy.Deadline =
      Info.Arrived + Info.Config->findService(Info.Service)->Deadline;
  Policy.StreamDeadline = Info.Arrived + Settings.MaxStream;
  Policy.MaxPause = Settings.MaxCallerPause;
  Policy.MaxAnswerBytes = Settings.MaxAnswerBytes;
  return Policy;
}

static AttemptState stateOf(const RequestContext &Context,
                            const RequestInfo &Info,
                            const PromptRequest &Prompt,
                            const std::optional<ResumePoint> &From) {
  const AttemptPolicy Policy = policyOf(Context, Info, Prompt.Stream);
  if (From)
    return resumedAttempt(Policy, From->Upstream, From->Attempt, From->Offset);
  return newAttempt(Policy);
}

static DispatchRequest dispatchOf(const RequestInfo &Info,
                                  const PromptRequest &Prompt) {
  const ServiceConfig &Service = *Info.Config->findService(Info.Service);
  // The run owns Info and Prompt and outlives its ticket.
  const auto KeysOf = [&Info, &Prompt, &Service](std::string_view Version) {
    return blockKeys({Info.Customer, Service.Model, Version, Prompt.Adapter},
                     Prompt.Prompt);
  };
  return {.Config = Info.Config,
          .RequestId = Info.id(),
          .Service = Info.Service,
          .Customer = Info.Customer,
          // 0 would mark the request as one without a prompt.
          .PromptTokens = std::max(estimateTokens(Prompt.Prompt), 1.0),
          .RequestedTokens = static_cast<double>(Prompt.MaxTokens),
          .Keys = KeysOf(Service.WeightVersion),
          .KeysByVersion = std::make_shared<PromptKeys>(KeysOf),
          .Content = contentDigest(Service.Model + "/" + Prompt.Adapter,
                                   Prompt.Prompt),
          .Deadline = Info.Arrived + Service.Deadline,
          .Streaming = Prompt.Stream};
}

ModelRun::ModelRun(RequestContext &Context, const RequestInfo &Given,
                   PromptRequest Asked, const std::optional<ResumePoint> &From)
    : RequestRun(Context, Given, stateOf(Context, Given, Asked, From)),
      Prompt(std::move(Asked)),
      Ticket(Context.Dispatch, dispatchOf(this->Info, this->Prompt)) {
  this->Head = {
      this->Prompt.Api, this->Info.id(), this->service().Model,
      std::chrono::system_clock::to_time_t(std::chrono::system_clock::now())};
  this->End.PromptTokens = tokensOf(this->Prompt.Prompt);
}

ModelRun::~ModelRun() {
  this->ClosedTimer.disconnect();
  this->BufferTimer.disconnect();
}

void ModelRun::execute(const AttemptAction &Action) {
  using Kind = AttemptAction::Kind;
  switch (Action.What) {
  case Kind::Choose:
    return this->choose(this->Ticket);
  case Kind::Send:
    return this->send(Action);
  case Kind::Resume:
    return this->resume(Action);
  case Kind::Close:
    return this->close(Action.Connection);
  case Kind::Cancel:
    if (const SocketAddress *To = this->addressOf(Action.Upstream))
      this->Context.Engines.cancel(*To, Action.Attempt);
    return;
  case Kind::DeliverText:
    return this->sendText(Action);
  case Kind::Complete:
    return this->finish(Action);
  default:
    return;
  }
}

void ModelRun::send(const AttemptAction &Action) {
  this->closeReplaced();
  std::vector<std::string> Keys;
  for (const BlockKey &Key : this->Ticket.keys())
    Keys.push_back(toHex(Key));
  this->Streams[Action.Connection] = this->Context.Engines.generate(
      *this->addressOf(Action.Upstream),
      {.Attempt = Action.Attempt,
       .Customer = this->Info.Customer,
       .Prompt = this->Prompt.Prompt,
       .BlockKeys = Keys,
       .PromptTokens = this->End.PromptTokens,
       .MaxTokens = this->Prompt.MaxTokens,
       .Priority = this->Priority,
       .WeightVersion = this->Ticket.weightVersion(),
       .Adapter = this->Prompt.Adapter},
      this->callbacks(Action.Connection));
}

void ModelRun::resume(const AttemptAction &Action) {
  this->closeReplaced();
  auto &Stream = this->Streams[Action.Connection];
  Stream = this->Context.Engines.resume(
      *this->addressOf(Action.Upstream), Action.Attempt, this->Info.Customer,
      Action.Offset, this->callbacks(Action.Connection));
  if (this->State.Paused)
    Stream->pauseReading();
}

EngineCallbacks ModelRun::callbacks(std::uint64_t Connection) {
  return {.OnHead =
              [this, Connection](int Status) {
                this->post(attempt::Head{Connection, Status});
              },
          .OnLine =
              [this, Connection](std::optional<EngineLine> Line) {
                this->onLine(Connection, std::move(Line));
              },
          .OnEnd =
              [this, Connection](const HttpResult &Result) {
                if (Connection == this->State.Connection)
                  report(this->Ticket, Result);
                this->post(attempt::Ended{Connection,
                                          Result.End == HttpEnd::Complete,
                                          Result.BytesSent, Result.Status});
              }};
}

void ModelRun::onLine(std::uint64_t Connection,
                      std::optional<EngineLine> Line) {
  if (!Line)
    return this->post(attempt::BadLine{Connection});
  if (Line->Attempt == this->State.Attempt)
    this->Ticket.firstToken();
  if (!Line->IsDone)
    return this->post(attempt::Line{Connection, std::move(Line->Attempt),
                                    Line->Offset, std::move(Line->Text)});
  if (Line->Attempt == this->State.Attempt) {
    this->End.Tokens = Line->Tokens;
    this->End.CachedTokens = Line->CachedTokens;
    this->End.Finish = Line->Finish;
  }
  const bool Whole = Line->Finish == "stop" || Line->Finish == "length";
  this->post(
      attempt::Done{Connection, std::move(Line->Attempt), Line->Tokens, Whole});
}

void ModelRun::closeReplaced() {
  std::vector<std::uint64_t> Replaced;
  for (const auto &[Connection, Stream] : this->Streams)
    if (std::none_of(this->State.Silent.begin(), this->State.Silent.end(),
                     [Number = Connection](const SilentConnection &Each) {
                       return Each.Connection == Number;
                     }))
      Replaced.push_back(Connection);
  for (const std::uint64_t Each : Replaced)
    this->close(Each);
}

void ModelRun::close(std::uint64_t Connection) {
  auto Node = this->Streams.extract(Connection);
  if (!Node)
    return;
  this->Closed.push_back(std::move(Node.mapped()));
  if (this->Closed.size() == 1)
    this->ClosedTimer = this->Context.Loop.timers().after(
        Duration::zero(), [this] { this->Closed.clear(); });
}

void ModelRun::sendText(const AttemptAction &Action) {
  const TimePoint Now = EventLoop::now();
  if (this->LastTokenAt == TimePoint{})
    this->Context.Stats.firstToken(this->Info.Service,
                                   Now - this->Info.Arrived);
  else
    this->Context.Stats.tokenGap(this->Info.Service, Now - this->LastTokenAt);
  this->LastTokenAt = Now;
  this->Info.Reply.event(
      toString(ResumePoint{Action.Upstream, Action.Attempt, Action.Offset}),
      textEvent(this->Head, Action.Text));
  if (this->State.Paused || this->Info.Reply.bufferedBytes() <=
                                this->Context.Settings.MaxCallerBufferBytes)
    return;
  // The caller reads more slowly than the engine generates. Pausing the
  // engine's connection applies backpressure instead of buffering the text
  // here.
  this->post(attempt::Paused{});
  for (const auto &[Connection, Stream] : this->Streams)
    Stream->pauseReading();
  this->BufferTimer = this->Context.Loop.timers().every(
      BufferPoll, [this] { this->checkBuffer(); });
}

void ModelRun::checkBuffer() {
  if (this->Info.Reply.bufferedBytes() >
      this->Context.Settings.MaxCallerBufferBytes / 2)
    return;
  this->BufferTimer.disconnect();
  for (const auto &[Connection, Stream] : this->Streams)
    Stream->resumeReading();
  this->post(attempt::Unpaused{});
}

void ModelRun::finish(const AttemptAction &Action) {
  if (auto Node = this->Streams.extract(Action.Connection))
    this->Context.Engines.finish(std::move(Node.mapped()));
  this->Ticket.finished(static_cast<double>(this->End.Tokens));
  this->Context.Stats.promptTokens(this->Info.Service,
                                   static_cast<double>(this->End.PromptTokens),
                                   static_cast<double>(this->End.CachedTokens));
  if (!this->Prompt.Stream) {
    this->Info.Reply.send(200, "application/json",
                          wholeBody(this->Head, Action.Text, this->End));
    return;
  }
  this->Info.Reply.event(
      toString(ResumePoint{Action.Upstream, Action.Attempt, Action.Offset}),
      endEvent(this->Head, this->End));
  this->Info.Reply.finishEvents();
}

} // namespace galenaroute
