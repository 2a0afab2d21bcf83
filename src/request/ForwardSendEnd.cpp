// How a send of a run ends: its outcome, what the shared records learn from it,
// and the next step.

#include "process/Log.h"
#include "request/ForwardRun.h"

namespace galenaroute {

/// How long an upstream that refused a call gets no other one.
static constexpr Duration ClosedAfterRefusal = std::chrono::milliseconds(500);
/// How much longer a busy upstream gets. Callers give up after 2 s without an
/// event.
static constexpr Duration BusyStall = std::chrono::milliseconds(1000);
/// How much each end of a send counts as a failure of the upstream. One that
/// cannot be connected to is down; one that answers with an error works, and
/// the error may lie in the call; one too slow for a caller may only be busy.
static constexpr double NotSentWeight = 3;
static constexpr double BrokenWeight = 1;
static constexpr double StalledWeight = 1;
static constexpr double FailedWeight = 0.1;

SendOutcome ForwardRun::outcomeOf(UpstreamEnd End) const {
  switch (End) {
  case UpstreamEnd::ConnectFailed:
    return SendOutcome::NotSent;
  case UpstreamEnd::Cut:
  case UpstreamEnd::Malformed:
    return SendOutcome::Broken;
  case UpstreamEnd::Complete:
    break;
  }
  const CallAnswer &Read = this->Answer;
  if (Read.NotRun || Read.IsMisdirected)
    return SendOutcome::NotRun;
  if (!Read.IsSigned || Read.IsEncoded)
    return SendOutcome::Broken;
  if (this->isStreamAnswer() && this->Splitter.hasPartialEvent())
    return SendOutcome::Broken;
  return Read.Status >= 500 ? SendOutcome::Failed : SendOutcome::Succeeded;
}

void ForwardRun::onEnd(UpstreamEnd End) {
  const bool WasSent = this->Exchange->wasSent();
  this->Exchange.reset();
  SendOutcome Outcome = this->outcomeOf(End);
  if (Outcome == SendOutcome::Broken && !WasSent)
    Outcome = SendOutcome::NotSent;
  this->onOutcome(Outcome);
}

static std::string_view toString(SendOutcome Outcome) {
  switch (Outcome) {
  case SendOutcome::NotSent:
    return "not_sent";
  case SendOutcome::NotRun:
    return "not_run";
  case SendOutcome::Succeeded:
    return "succeeded";
  case SendOutcome::Failed:
    return "failed";
  case SendOutcome::Broken:
    return "broken";
  case SendOutcome::Stalled:
    return "stalled";
  }
  return "unknown";
}

void recordCrash(ForwardServices &Services, const UnansweredSend &Send,
                 const std::string &UpstreamId, const std::string &Call) {
  CrashRecord &Record = Services.Crashes;
  if (!noteCrash(Record, Send.Content, Send.Upstream, Send.EndedAt))
    return;
  log(LogLevel::Warn, "content.broke",
      {{"content", contentName(Send.Content)},
       {"call", Call},
       {"upstream", UpstreamId},
       {"crashes", std::to_string(crashCount(Record, Send.Content))}});
  Services.OnCrashesChanged(Send.Content, 0);
}

/// The send under way ended without an answer; the upstream may have crashed.
void ForwardRun::noteCrashOf(TimePoint Now) {
  recordCrash(this->Services, {this->Incarnation, this->Signature, Now},
              this->UpstreamId, this->Call.Id);
}

/// The send under way was given up without its answer. If the upstream has
/// ended, or ends soon, this was a crash.
void ForwardRun::noteGivenUpSend(TimePoint Now) {
  const UpstreamEntry *At = this->Services.Upstreams.find(this->UpstreamId);
  if (!At || incarnationKey(At->Registered.Id, At->Registered.BornMs) !=
                 this->Incarnation) {
    this->noteCrashOf(Now);
    return;
  }
  if (Now - std::max(At->ProgressAt, this->SentAt) >= SilenceOfCrash)
    noteGivenUp(this->Services.GivenUp, this->Incarnation, this->Signature,
                Now);
}

/// Teaches the shared records what a send has shown.
void ForwardRun::noteOutcome(SendOutcome Outcome) {
  UpstreamTable &Upstreams = this->Services.Upstreams;
  const TimePoint Now = EventLoop::now();
  this->noteStarted();
  Upstreams.noteEnded(this->UpstreamId, this->callTokens());
  this->queue().wake();
  switch (Outcome) {
  case SendOutcome::Succeeded:
    Upstreams.noteSuccess(this->UpstreamId);
    if (const std::size_t Cleared =
            noteSuccess(this->Services.Crashes, this->Signature, Now);
        Cleared > 0)
      this->Services.OnCrashesChanged(this->Signature, Cleared);
    return;
  case SendOutcome::Failed:
    Upstreams.noteFailure(this->UpstreamId, FailedWeight, Now);
    return;
  case SendOutcome::NotRun:
    if (const NamedWeights *Named = this->namedWeights();
        Named && this->Answer.IsMisdirected)
      Upstreams.noteWeights(this->UpstreamId, Named->newest());
    Upstreams.noteClosed(this->UpstreamId, Now + ClosedAfterRefusal);
    return;
  case SendOutcome::NotSent:
    Upstreams.noteFailure(this->UpstreamId, NotSentWeight, Now);
    return;
  case SendOutcome::Stalled:
    this->noteGivenUpSend(Now);
    Upstreams.noteFailure(this->UpstreamId, StalledWeight, Now);
    return;
  case SendOutcome::Broken:
    this->noteCrashOf(Now);
    Upstreams.noteFailure(this->UpstreamId, BrokenWeight, Now);
    return;
  }
}

/// How far the call has come, for nextStep().
ForwardProgress ForwardRun::progress() {
  return {.Repeat = this->Route->Repeat,
          .Sends = this->Sends,
          .PossibleRuns = this->PossibleRuns,
          .MaxUpstreams = this->Route->MaxUpstreams,
          .ConnectFailures = this->ConnectFailures,
          .HasBudget = hasRetry(this->budget()),
          .TimeLeft = this->timeLeft()};
}

void ForwardRun::onOutcome(SendOutcome Outcome) {
  this->StallTimer.disconnect();
  if (this->Current == Phase::Done)
    return;
  this->noteOutcome(Outcome);
  if (Outcome == SendOutcome::NotSent) {
    ++this->ConnectFailures;
  } else {
    ++this->Sends;
    if (Outcome != SendOutcome::NotRun)
      ++this->PossibleRuns;
  }
  const ForwardStep Step = nextStep(this->progress(), Outcome);
  if (Outcome != SendOutcome::Succeeded) {
    this->Services.Stats.decision("send." + std::string(toString(Outcome)));
    log(LogLevel::Warn, "call.send_ended",
        {{"call", this->Call.Id},
         {"content", contentName(this->Signature)},
         {"upstream", this->UpstreamId},
         {"outcome", std::string(toString(Outcome))},
         {"status", std::to_string(this->HasAnswer ? this->Answer.Status : 0)},
         {"after_ms",
          std::to_string(toMilliseconds(EventLoop::now() - this->SentAt))},
         {"possible_runs", std::to_string(this->PossibleRuns)},
         {"budget_left", std::to_string(this->budget().Left)},
         {"next", Step == ForwardStep::Retry     ? "retry"
                  : Step == ForwardStep::Deliver ? "deliver"
                  : Step == ForwardStep::Refuse  ? "refuse"
                                                 : "fail"}});
  }
  switch (Step) {
  case ForwardStep::Deliver:
    this->deliver();
    return;
  case ForwardStep::Retry:
    if (Outcome != SendOutcome::NotSent)
      spendRetry(this->budget());
    this->attempt();
    return;
  case ForwardStep::Refuse:
    this->refuse("upstreams refused the call", this->retryAfter());
    return;
  case ForwardStep::Fail:
    this->fail(ErrorKind::UpstreamFailed, toString(Outcome));
    return;
  }
}

void ForwardRun::onStall() {
  if (this->Current == Phase::Done || !this->Exchange)
    return;
  // An upstream that answers others is only busy; it gets longer.
  const UpstreamEntry *At = this->Services.Upstreams.find(this->UpstreamId);
  if (At && At->ProgressAt > this->ProgressAt && !this->HasStalledOnce) {
    this->HasStalledOnce = true;
    this->StallTimer = this->Services.Loop.timers().after(
        BusyStall, [Self = this->shared_from_this()] { Self->onStall(); });
    return;
  }
  // A slow upstream is left only for one that takes the call now. Otherwise a
  // sound stream would be cut because the fleet is busy.
  if (this->mayGoElsewhere()) {
    this->abandonSend(SendOutcome::Stalled);
    return;
  }
  this->armStall();
}

/// Whether the send under way may be given up and another upstream is free.
bool ForwardRun::mayGoElsewhere() {
  ForwardProgress Progress = this->progress();
  if (this->Exchange->wasSent()) {
    ++Progress.Sends;
    ++Progress.PossibleRuns;
  }
  const TimePoint Now = EventLoop::now();
  return nextStep(Progress, SendOutcome::Stalled) == ForwardStep::Retry &&
         !refusedUntil(this->Services.Crashes, this->Signature, Now) &&
         this->Services.Upstreams.choose(this->query(), Now).Entry != nullptr;
}

/// Gives up the send under way, if there is one, for \p Reason.
void ForwardRun::endSend(std::string_view Reason) {
  if (!this->Exchange)
    return;
  const bool WasSent = this->Exchange->wasSent();
  this->Exchange.reset();
  this->Services.Stats.decision("send." + std::string(Reason));
  log(LogLevel::Info, "call.send_ended",
      {{"call", this->Call.Id},
       {"content", contentName(this->Signature)},
       {"upstream", this->UpstreamId},
       {"outcome", std::string(Reason)},
       {"status", std::to_string(this->HasAnswer ? this->Answer.Status : 0)},
       {"after_ms",
        std::to_string(toMilliseconds(EventLoop::now() - this->SentAt))}});
  this->noteStarted();
  this->Services.Upstreams.noteEnded(this->UpstreamId, this->callTokens());
  if (!WasSent)
    return;
  ++this->PossibleRuns;
  this->noteGivenUpSend(EventLoop::now());
}

} // namespace galenaroute
