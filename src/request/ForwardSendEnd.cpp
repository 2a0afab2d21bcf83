// The end of a send of a ForwardRun: its outcome, the updates of the shared
// records, and the next step.

#include "process/Log.h"
#include "request/CrashSuspects.h"
#include "request/ForwardRun.h"

namespace galenaroute {

/// How long an upstream that refused a call gets no further calls.
static constexpr Duration RefusalBackoff = std::chrono::milliseconds(500);
/// Extension of the stall limit for a busy upstream. Callers give up after 2 s
/// without an event.
static constexpr Duration BusyStallExtension = std::chrono::milliseconds(1000);
/// Enough for the loop to handle input that waits.
static constexpr Duration UnreadInputDelay = std::chrono::milliseconds(20);
/// Weight of each outcome in the failure score of the upstream. One that cannot
/// be connected to is down; one that answers with an error is up, and the call
/// may be the cause; one that is too slow for a caller may only be busy.
static constexpr double NotSentFailureWeight = 3;
static constexpr double BrokenFailureWeight = 1;
static constexpr double StalledFailureWeight = 1;
static constexpr double FailedFailureWeight = 0.1;

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
  // Only a stream that was resumed after its last event may be empty.
  const bool MayBeEmpty = this->IsFramed && this->LastEvent;
  if (this->isStreamAnswer() &&
      (this->Splitter.hasPartialEvent() || (this->Events == 0 && !MayBeEmpty)))
    return SendOutcome::Broken;
  return Read.Status >= 500 ? SendOutcome::Failed : SendOutcome::Succeeded;
}

void ForwardRun::onEnd(UpstreamEnd End) {
  const bool WasSent = this->Exchange->wasSent();
  const UpstreamCause Cause = this->Exchange->cause();
  this->Exchange.reset();
  SendOutcome Outcome = this->outcomeOf(End);
  if (Outcome == SendOutcome::Broken && !WasSent)
    Outcome = SendOutcome::NotSent;
  this->onOutcome(Outcome, Cause);
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
  for (const std::uint64_t Key :
       noteBrokenSend(Services.Crashes, Services.Answered, Send)) {
    log(LogLevel::Warn, "content.broke",
        {{"content", keyName(Key)},
         {"call", Call},
         {"upstream", UpstreamId},
         {"crashes", std::to_string(crashCount(Services.Crashes, Key))}});
    Services.OnCrashesChanged(Key, 0);
  }
}

/// Returns whether the answer received shows that the upstream did not crash as
/// it began to write. One that ends with its connection does not show this.
bool ForwardRun::isProvenAnswer() const {
  return this->IsFramed || this->Events >= MinEventsOfAnswer;
}

/// Clears the parts of the prompt: an upstream has begun to answer the call.
/// The whole content may still crash it.
void ForwardRun::notePartsAnswered(TimePoint Now) {
  for (const ClearedKey &Each :
       noteAnsweredParts(this->Services.Crashes, this->Services.Answered,
                         this->CrashKeys, Now))
    this->Services.OnCrashesChanged(Each.Key, Each.Crashes);
}

/// Returns the send in flight, which ends without an answer, with the keys that
/// may have crashed its upstream.
UnansweredSend ForwardRun::suspectSend(TimePoint Now) const {
  UnansweredSend Send{this->Incarnation, this->CrashKeys, this->SentAt, Now};
  if (this->Events >= MinEventsOfAnswer)
    Send.Keys.resize(1);
  return Send;
}

/// Records a possible crash: the send in flight ended without an answer.
void ForwardRun::recordSendCrash(TimePoint Now) {
  recordCrash(this->Services, this->suspectSend(Now), this->UpstreamId,
              this->Call.Id);
}

/// Notes that the send in flight was abandoned without an answer. It counts as
/// a crash if the upstream has ended or ends soon.
void ForwardRun::noteUnansweredSend(TimePoint Now) {
  const UpstreamEntry *At = this->Services.Upstreams.find(this->UpstreamId);
  if (!At || At->Incarnation != this->Incarnation) {
    this->recordSendCrash(Now);
    return;
  }
  if (Now - std::max(At->ProgressAt, this->SentAt) >= MinCrashSilence)
    noteUnanswered(this->Services.Unanswered, this->suspectSend(Now));
}

/// Updates the shared records with the outcome of a send.
void ForwardRun::noteOutcome(SendOutcome Outcome) {
  UpstreamTable &Upstreams = this->Services.Upstreams;
  const TimePoint Now = EventLoop::now();
  this->notePrefillEnded();
  Upstreams.noteEnded(this->UpstreamId, this->callTokens());
  this->queue().wake();
  switch (Outcome) {
  case SendOutcome::Succeeded:
    Upstreams.noteSuccess(this->UpstreamId);
    if (this->isProvenAnswer()) {
      if (const std::size_t Cleared =
              noteSuccess(this->Services.Crashes, this->Signature, Now);
          Cleared > 0)
        this->Services.OnCrashesChanged(this->Signature, Cleared);
      // With another status, the prompt need not have been read.
      if (this->Answer.Status < 300)
        this->notePartsAnswered(Now);
    } else {
      noteUnanswered(this->Services.Unanswered, this->suspectSend(Now));
    }
    return;
  case SendOutcome::Failed:
    Upstreams.noteFailure(this->UpstreamId, FailedFailureWeight, Now);
    return;
  case SendOutcome::NotRun:
    // An answer that states its weights has been noted already.
    if (const AnnouncedWeights *Named = this->namedWeights();
        Named && this->Answer.IsMisdirected && !this->Answer.WeightVersion)
      Upstreams.noteWeights(this->UpstreamId, Named->newest());
    Upstreams.suspendUntil(this->UpstreamId, Now + RefusalBackoff);
    return;
  case SendOutcome::NotSent:
    Upstreams.noteFailure(this->UpstreamId, NotSentFailureWeight, Now);
    return;
  case SendOutcome::Stalled:
    this->noteUnansweredSend(Now);
    Upstreams.noteFailure(this->UpstreamId, StalledFailureWeight, Now);
    return;
  case SendOutcome::Broken:
    this->recordSendCrash(Now);
    Upstreams.noteFailure(this->UpstreamId, BrokenFailureWeight, Now);
    return;
  }
}

/// Returns the progress of the call, for nextStep().
ForwardProgress ForwardRun::progress() {
  return {.Repeat = this->Route->Repeat,
          .Sends = this->Sends,
          .PossibleRuns = this->PossibleRuns,
          .MaxUpstreams = this->Route->MaxUpstreams,
          .ConnectFailures = this->ConnectFailures,
          .HasBudget = hasRetry(this->budget()),
          .TimeLeft = this->timeLeft()};
}

void ForwardRun::onOutcome(SendOutcome Outcome, UpstreamCause Cause) {
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
         {"content", keyName(this->Signature)},
         {"upstream", this->UpstreamId},
         {"outcome", std::string(toString(Outcome))},
         {"cause", std::string(toString(Cause))},
         {"silent_ms",
          std::to_string(toMilliseconds(EventLoop::now() - this->ProgressAt))},
         {"status", std::to_string(this->HasAnswer ? this->Answer.Status : 0)},
         {"after_ms",
          std::to_string(toMilliseconds(EventLoop::now() - this->SentAt))},
         {"possible_runs", std::to_string(this->PossibleRuns)},
         {"budget_left", std::to_string(this->budget().Available)},
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

/// Returns whether the upstream has begun to answer the send in flight. The
/// head of a stream may be sent while the call still waits.
bool ForwardRun::hasBegun() const {
  return this->Events > 0 || (this->HasAnswer && !this->isStreamAnswer());
}

/// Withdraws a send that has got no answer yet once the call is blocked, since
/// it would crash the upstream when that begins to write.
void ForwardRun::onRefusalsChanged() {
  if (this->Current == Phase::Done || !this->Exchange || this->hasBegun() ||
      !refusedUntil(this->Services.Crashes, this->CrashKeys, EventLoop::now()))
    return;
  const auto Self = this->shared_from_this();
  this->cancelSend("content_blocked");
  this->endIfBlocked();
}

void ForwardRun::onStall(StallCheck Check) {
  if (this->Current == Phase::Done || !this->Exchange)
    return;
  // What arrived while the process stood still is read first.
  if (Check == StallCheck::First && this->Exchange->hasUnreadInput()) {
    this->StallTimer = this->Services.Loop.timers().after(
        UnreadInputDelay, [Self = this->shared_from_this()] {
          Self->onStall(StallCheck::Repeated);
        });
    return;
  }
  // An upstream that makes progress on other calls is busy, not stalled; its
  // limit is extended once.
  const UpstreamEntry *At = this->Services.Upstreams.find(this->UpstreamId);
  if (At && At->ProgressAt > this->ProgressAt && !this->HasStalledOnce) {
    this->HasStalledOnce = true;
    this->StallTimer = this->Services.Loop.timers().after(
        BusyStallExtension, [Self = this->shared_from_this()] {
          Self->onStall(StallCheck::First);
        });
    return;
  }
  // A slow send is abandoned only if another upstream has capacity now.
  // Otherwise a healthy stream would be cut because the fleet is busy.
  if (this->canFailOver()) {
    this->abandonSend(SendOutcome::Stalled);
    return;
  }
  this->armStallTimer();
}

/// Returns whether the send in flight may be abandoned and another upstream has
/// capacity for the call.
bool ForwardRun::canFailOver() {
  ForwardProgress Progress = this->progress();
  if (this->Exchange->wasSent()) {
    ++Progress.Sends;
    ++Progress.PossibleRuns;
  }
  const TimePoint Now = EventLoop::now();
  return nextStep(Progress, SendOutcome::Stalled) == ForwardStep::Retry &&
         !refusedUntil(this->Services.Crashes, this->CrashKeys, Now) &&
         this->Services.Upstreams.choose(this->query(), Now).Entry != nullptr;
}

/// Cancels the send in flight, if there is one, with \p Reason as its outcome.
void ForwardRun::cancelSend(std::string_view Reason) {
  if (!this->Exchange)
    return;
  const bool WasSent = this->Exchange->wasSent();
  this->Exchange.reset();
  this->Services.Stats.decision("send." + std::string(Reason));
  log(LogLevel::Info, "call.send_ended",
      {{"call", this->Call.Id},
       {"content", keyName(this->Signature)},
       {"upstream", this->UpstreamId},
       {"outcome", std::string(Reason)},
       {"status", std::to_string(this->HasAnswer ? this->Answer.Status : 0)},
       {"after_ms",
        std::to_string(toMilliseconds(EventLoop::now() - this->SentAt))}});
  this->notePrefillEnded();
  this->Services.Upstreams.noteEnded(this->UpstreamId, this->callTokens());
  if (!WasSent)
    return;
  ++this->PossibleRuns;
  this->noteUnansweredSend(EventLoop::now());
}

} // namespace galenaroute
