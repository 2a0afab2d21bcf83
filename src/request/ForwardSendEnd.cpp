// The end of a send of a ForwardRun: its outcome, the updates of the shared
// records, and the next step.

#include "process/FatalSignals.h"
#include "process/Log.h"
#include "request/CrashSuspects.h"
#include "request/ForwardRun.h"

namespace galenaroute {

/// How long an upstream that refused a call gets no further calls.
static constexpr Duration RefusalBackoff = std::chrono::milliseconds(500);
/// Extension of the stall limit for a busy upstream. Callers give up after 2 s
/// without an event.
static constexpr Duration BusyStallExtension = std::chrono::milliseconds(1000);
/// Weight of each outcome in the failure score of the upstream. One that cannot
/// be connected to is down; one that answers with an error is up, and the call
/// may be the cause; one that is too slow for a caller may only be busy.
static constexpr double NotSentFailureWeight = 3;
static constexpr double BrokenFailureWeight = 1;
static constexpr double StalledFailureWeight = 1;
static constexpr double FailedFailureWeight = 0.1;

SendOutcome ForwardRun::outcomeOf(const ForwardSend &Send,
                                  UpstreamEnd End) const {
  switch (End) {
  case UpstreamEnd::ConnectFailed:
    return SendOutcome::NotSent;
  case UpstreamEnd::Cut:
  case UpstreamEnd::Malformed:
    return SendOutcome::Broken;
  case UpstreamEnd::Complete:
    break;
  }
  // Its answer was dropped in part.
  if (Send.IsBroken)
    return SendOutcome::Broken;
  const CallAnswer &Read = Send.Answer;
  if (Read.NotRun || Read.IsMisdirected)
    return SendOutcome::NotRun;
  if (!Read.IsSigned || Read.IsEncoded)
    return SendOutcome::Broken;
  // Only a stream that was resumed after its last event may be empty.
  const bool MayBeEmpty = Send.IsFramed && this->LastEvent;
  if (this->isStreamAnswer(Send) &&
      (Send.Splitter.hasPartialEvent() || (Send.Events == 0 && !MayBeEmpty)))
    return SendOutcome::Broken;
  return Read.Status >= 500 ? SendOutcome::Failed : SendOutcome::Succeeded;
}

void ForwardRun::onEnd(const std::shared_ptr<ForwardSend> &Send,
                       UpstreamEnd End) {
  const bool WasSent = Send->Exchange->wasSent();
  if (!Send->IsBroken)
    Send->Cause = Send->Exchange->cause();
  Send->Exchange.reset();
  SendOutcome Outcome = this->outcomeOf(*Send, End);
  if (Outcome == SendOutcome::Broken && !WasSent)
    Outcome = SendOutcome::NotSent;
  this->onOutcome(Send, Outcome);
}

/// Returns why another upstream was tried beside \p Send, for the log.
static std::string stalledBy(const ForwardSend &Send) {
  return Send.StalledBy ? std::string(toString(*Send.StalledBy)) : "-";
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

/// Returns whether the answer to \p Send shows that the upstream did not crash
/// as it began to write. One that ends with its connection does not show this.
bool ForwardRun::isProvenAnswer(const ForwardSend &Send) const {
  return Send.IsFramed || Send.Events >= MinEventsOfAnswer;
}

/// Clears the parts of the prompt: an upstream has begun to answer the call.
/// The whole content may still crash it.
void ForwardRun::notePartsAnswered(TimePoint Now) {
  for (const ClearedKey &Each :
       noteAnsweredParts(this->Services.Crashes, this->Services.Answered,
                         this->CrashKeys, Now))
    this->Services.OnCrashesChanged(Each.Key, Each.Crashes);
}

/// Returns \p Send, which ends without an answer, with the keys that may have
/// crashed its upstream.
UnansweredSend ForwardRun::suspectSend(const ForwardSend &Send,
                                       TimePoint Now) const {
  UnansweredSend Suspect{Send.Incarnation, this->CrashKeys, Send.SentAt, Now};
  if (Send.Events >= MinEventsOfAnswer)
    Suspect.Keys.resize(1);
  return Suspect;
}

/// Records a possible crash: \p Send ended without an answer.
void ForwardRun::recordSendCrash(const ForwardSend &Send, TimePoint Now) {
  recordCrash(this->Services, this->suspectSend(Send, Now), Send.UpstreamId,
              this->Call.Id);
}

/// Notes that \p Send was abandoned, or its link was silent, without an answer.
/// It counts as a crash if the upstream has ended or ends soon.
void ForwardRun::noteUnansweredSend(const ForwardSend &Send, TimePoint Now) {
  const UpstreamEntry *At = this->Services.Upstreams.find(Send.UpstreamId);
  if (!At || At->Incarnation != Send.Incarnation) {
    this->recordSendCrash(Send, Now);
    return;
  }
  if (Now - std::max(At->ProgressAt, Send.SentAt) >= MinCrashSilence)
    noteUnanswered(this->Services.Unanswered, this->suspectSend(Send, Now));
}

/// Returns whether the upstream under the id of \p Send is still the process
/// that it was sent to, in whose counts it is.
bool ForwardRun::isAtIncarnation(const ForwardSend &Send) const {
  const UpstreamEntry *At = this->Services.Upstreams.find(Send.UpstreamId);
  return At && At->Incarnation == Send.Incarnation;
}

/// Takes \p Send out of the counts of its upstream.
void ForwardRun::noteSendEnded(const ForwardSend &Send) {
  if (this->isAtIncarnation(Send))
    this->Services.Upstreams.noteEnded(Send.UpstreamId, this->callTokens(),
                                       Send.Class);
}

/// Notes what a direct connection has shown.
void ForwardRun::notePath(const ForwardSend &Send, PathEvent Event) {
  if (!Send.Path.Helper)
    this->Services.OnPath(this->Service->Name, Send.UpstreamId, Event);
}

/// Notes what the end of \p Send shows of its path.
void ForwardRun::notePathOfOutcome(const ForwardSend &Send,
                                   SendOutcome Outcome) {
  if (Send.Path.Helper) {
    if (Send.Cause == UpstreamCause::HelperFailed)
      this->Services.OnHelperFailed(Send.Path.Helper->Address);
    return;
  }
  // Other causes are faults of this machine, such as a lack of descriptors.
  if (Outcome == SendOutcome::NotSent && Send.Cause != UpstreamCause::None &&
      Send.Cause != UpstreamCause::Other) {
    this->UnreachedUpstreams.push_back(Send.UpstreamId);
    this->notePath(Send, PathEvent::ConnectFailed);
  } else if (Outcome == SendOutcome::Broken &&
             (Send.Cause == UpstreamCause::Reset ||
              Send.Cause == UpstreamCause::NoAcknowledgment)) {
    this->notePath(Send, PathEvent::LinkLost);
  }
}

/// Lets the call try again the upstreams that it did not reach directly once
/// other gateways are used.
void ForwardRun::retryUnreached() {
  if (this->UnreachedUpstreams.empty() ||
      !this->Services.IsPathCut(this->Service->Name))
    return;
  for (const std::string &Each : this->UnreachedUpstreams)
    std::erase(this->TriedUpstreams, Each);
  this->UnreachedUpstreams.clear();
}

/// Updates the shared records with the outcome of \p Send.
void ForwardRun::noteOutcome(ForwardSend &Send, SendOutcome Outcome) {
  UpstreamTable &Upstreams = this->Services.Upstreams;
  const TimePoint Now = EventLoop::now();
  this->notePrefillEnded(Send);
  this->noteSendEnded(Send);
  if (Send.Class && Outcome == SendOutcome::Succeeded)
    Upstreams.noteCallTime(this->Service->Name, *Send.Class, Now - Send.SentAt);
  if (Outcome != SendOutcome::NotRun && Outcome != SendOutcome::NotSent)
    this->noteEngineTime(Send);
  this->queue().wake();
  this->notePathOfOutcome(Send, Outcome);
  switch (Outcome) {
  case SendOutcome::Succeeded:
    Upstreams.noteSuccess(Send.UpstreamId);
    if (this->isProvenAnswer(Send)) {
      if (const std::size_t Cleared =
              noteSuccess(this->Services.Crashes, this->Signature, Now);
          Cleared > 0)
        this->Services.OnCrashesChanged(this->Signature, Cleared);
      // With another status, the prompt need not have been read.
      if (Send.Answer.Status < 300)
        this->notePartsAnswered(Now);
    } else {
      noteUnanswered(this->Services.Unanswered, this->suspectSend(Send, Now));
    }
    return;
  case SendOutcome::Failed:
    Upstreams.noteFailure(Send.UpstreamId, FailedFailureWeight, Now);
    return;
  case SendOutcome::NotRun:
    // An answer that states its weights has been noted already.
    if (const AnnouncedWeights *Named = this->namedWeights();
        Named && Send.Answer.IsMisdirected && !Send.Answer.WeightVersion)
      Upstreams.noteWeights(Send.UpstreamId, Named->newest());
    Upstreams.suspendUntil(Send.UpstreamId, Now + RefusalBackoff);
    return;
  case SendOutcome::NotSent:
    // The upstream may be sound.
    if (Send.Cause == UpstreamCause::HelperFailed ||
        (!Send.Path.Helper && this->Services.IsPathCut(this->Service->Name)))
      return;
    Upstreams.noteFailure(Send.UpstreamId, NotSentFailureWeight, Now);
    return;
  case SendOutcome::Stalled:
    this->noteUnansweredSend(Send, Now);
    if (!Send.IsStalled)
      Upstreams.noteFailure(Send.UpstreamId, StalledFailureWeight, Now);
    return;
  case SendOutcome::Broken:
    // An upstream whose answer was dropped has not ended.
    if (isTooLarge(Send.Cause))
      this->Services.Pool.budget()->Exceeded.emit(toString(Send.Cause));
    // A silent link does not show that the upstream has ended, nor does the end
    // of a helper.
    else if (Send.Cause == UpstreamCause::NoAcknowledgment ||
             Send.Cause == UpstreamCause::HelperFailed)
      this->noteUnansweredSend(Send, Now);
    else
      this->recordSendCrash(Send, Now);
    if (Send.Cause != UpstreamCause::HelperFailed)
      Upstreams.noteFailure(Send.UpstreamId, BrokenFailureWeight, Now);
    return;
  }
}

/// Returns the progress of the call, for nextStep(). Sends in flight may run,
/// also while they are still being connected.
ForwardProgress ForwardRun::progress() {
  ForwardProgress Result{.Repeat = this->Route->Repeat,
                         .Sends = this->Sends,
                         .PossibleRuns = this->PossibleRuns,
                         .MaxUpstreams = this->Route->MaxUpstreams,
                         .ConnectFailures = this->ConnectFailures,
                         .HasBudget = hasRetry(this->budget()),
                         .TimeLeft = this->timeLeft()};
  const int InFlight = static_cast<int>(this->Live.size());
  Result.Sends += InFlight;
  Result.PossibleRuns += InFlight;
  return Result;
}

/// Returns whether \p Send, which has ended with \p Outcome, answers the call
/// or completes its stream.
bool ForwardRun::isContinuation(const ForwardSend &Send,
                                SendOutcome Outcome) const {
  return Outcome == SendOutcome::Succeeded &&
         (this->Current != Phase::Streaming || this->isStreamAnswer(Send));
}

void ForwardRun::onOutcome(const std::shared_ptr<ForwardSend> &Send,
                           SendOutcome Outcome) {
  Send->disconnectTimers();
  if (this->Current == Phase::Done)
    return;
  const bool WasLatest = Send == this->Live.back();
  std::erase(this->Live, Send);
  this->noteOutcome(*Send, Outcome);
  if (Outcome == SendOutcome::NotSent) {
    ++this->ConnectFailures;
  } else {
    ++this->Sends;
    if (Outcome != SendOutcome::NotRun)
      ++this->PossibleRuns;
  }
  if (this->isContinuation(*Send, Outcome))
    this->cancelSends("superseded");
  const ForwardStep Step = nextStep(this->progress(), Outcome);
  if (Outcome != SendOutcome::Succeeded || !this->Live.empty())
    this->logSendEnded(*Send, Outcome, this->nextName(Step));
  if (!this->Live.empty()) {
    this->continueOthers(Send, Outcome, WasLatest);
    return;
  }
  switch (Step) {
  case ForwardStep::Deliver:
    this->deliver(*Send);
    return;
  case ForwardStep::Retry:
    if (Outcome != SendOutcome::NotSent)
      spendRetry(this->budget());
    this->attempt();
    return;
  case ForwardStep::Refuse:
    this->refuse(this->Sends > 0 ? "upstreams refused the call"
                                 : "no upstream was reached",
                 this->retryAfter());
    return;
  case ForwardStep::Fail:
    this->fail(ErrorKind::UpstreamFailed, toString(Outcome));
    return;
  }
}

/// Goes on with the sends that are still in flight after \p Ended, which did
/// not answer the call.
void ForwardRun::continueOthers(const std::shared_ptr<ForwardSend> &Ended,
                                SendOutcome Outcome, bool WasLatest) {
  if (Outcome == SendOutcome::Failed && this->Current != Phase::Streaming)
    this->ServerError = Ended;
  if (Outcome == SendOutcome::NotSent)
    returnRetry(this->budget());
  if (WasLatest)
    this->tryAnother(this->Live.back());
}

/// Returns what follows a send, for the log.
std::string_view ForwardRun::nextName(ForwardStep Step) const {
  if (!this->Live.empty())
    return "others";
  switch (Step) {
  case ForwardStep::Deliver:
    return "deliver";
  case ForwardStep::Retry:
    return "retry";
  case ForwardStep::Refuse:
    return "refuse";
  case ForwardStep::Fail:
    return "fail";
  }
  return "unknown";
}

void ForwardRun::logSendEnded(const ForwardSend &Send, SendOutcome Outcome,
                              std::string_view Next) {
  this->Services.Stats.decision("send." + std::string(toString(Outcome)));
  log(LogLevel::Warn, "call.send_ended",
      {{"call", this->Call.Id},
       {"content", keyName(this->Signature)},
       {"upstream", Send.UpstreamId},
       {"outcome", std::string(toString(Outcome))},
       {"cause", std::string(toString(Send.Cause))},
       {"silent_ms",
        std::to_string(toMilliseconds(EventLoop::now() - Send.ProgressAt))},
       {"stalled", stalledBy(Send)},
       {"status", std::to_string(Send.HasAnswer ? Send.Answer.Status : 0)},
       {"after_ms",
        std::to_string(toMilliseconds(EventLoop::now() - Send.SentAt))},
       {"possible_runs", std::to_string(this->PossibleRuns)},
       {"budget_left", std::to_string(this->budget().Available)},
       {"software", Send.SoftwareVersion},
       {"software_wanted", this->Origin ? this->Origin->Version : "-"},
       {"next", std::string(Next)}});
}

/// Returns whether the upstream has begun to answer \p Send. The head of a
/// stream may be sent while the call still waits.
bool ForwardRun::hasBegun(const ForwardSend &Send) const {
  return Send.Events > 0 || (Send.HasAnswer && !this->isStreamAnswer(Send));
}

/// Withdraws the sends that have got no answer yet once the call is blocked,
/// since they would crash an upstream when that begins to write.
void ForwardRun::onRefusalsChanged() {
  const RunningCall Scope(this->Call.Id);
  if (this->Current == Phase::Done || this->Live.empty() ||
      !refusedUntil(this->Services.Crashes, this->CrashKeys, EventLoop::now()))
    return;
  const auto Self = this->shared_from_this();
  const auto Sends = this->Live;
  for (const auto &Each : Sends)
    if (!this->hasBegun(*Each))
      this->cancelSend(*Each, "content_blocked");
  if (this->Live.empty())
    this->endIfBlocked();
  else if (this->Live.size() < Sends.size())
    this->armStallTimer(this->Live.back());
}

void ForwardRun::onStall(const std::shared_ptr<ForwardSend> &Send,
                         StallCheck Check) {
  const RunningCall Scope(this->Call.Id);
  if (this->Current == Phase::Done || !Send->Exchange)
    return;
  // What arrived, as while the process stood still, is read first.
  if (Check == StallCheck::First && Send->Exchange->hasUnreadInput()) {
    Send->StallTimer = this->Services.Loop.timers().after(
        UnreadInputDelay, [Self = this->shared_from_this(), Send] {
          Self->onStall(Send, StallCheck::Repeated);
        });
    return;
  }
  // An upstream that makes progress on other calls is busy, not stalled; its
  // limit is extended once.
  const UpstreamEntry *At = this->Services.Upstreams.find(Send->UpstreamId);
  if (At && At->ProgressAt > Send->ProgressAt && !Send->HasStalledOnce) {
    Send->HasStalledOnce = true;
    Send->StallTimer = this->Services.Loop.timers().after(
        BusyStallExtension, [Self = this->shared_from_this(), Send] {
          Self->onStall(Send, StallCheck::First);
        });
    return;
  }
  this->tryAnother(Send);
}

/// Tries another upstream beside \p Silent, which makes no progress, if one has
/// capacity now or other calls wait for one.
void ForwardRun::tryAnother(const std::shared_ptr<ForwardSend> &Silent) {
  if (this->staysWithSendsInFlight())
    return;
  if (this->queue().size() > 0)
    this->enqueue();
  else if (!this->trySend())
    this->armStallTimer(Silent);
}

/// Returns whether the call is not to be sent to another upstream now, and arms
/// the timer after which this is checked again.
bool ForwardRun::staysWithSendsInFlight() {
  const auto Latest = this->Live.back();
  if (!this->canTryAnother())
    this->armStallTimer(Latest);
  else if (!this->mayGoOnElsewhere())
    this->armSilenceCheck(Latest);
  else
    return false;
  this->IsQueued = false;
  return true;
}

/// Returns whether no upstream that the call was sent to may work on it for
/// long once it goes on at another one.
bool ForwardRun::mayGoOnElsewhere() {
  if (!this->Route->IsStream && !this->Service->Engine)
    return true;
  // Each check counts for the time for which links are found silent.
  bool IsExplained = this->isWithdrawnFromAll();
  for (const auto &Each : this->Live)
    IsExplained = this->silenceOf(*Each) != Silence::Unexplained && IsExplained;
  return IsExplained;
}

void ForwardRun::armSilenceCheck(const std::shared_ptr<ForwardSend> &Send) {
  Send->StallTimer.disconnect();
  if (Send->IsPaused)
    return;
  const TimePoint Now = EventLoop::now();
  const Duration SinceHeard = this->sinceHeard(*Send, Now);
  if (!std::exchange(Send->IsHeldBack, true))
    log(LogLevel::Info, "call.send_silent",
        {{"call", this->Call.Id},
         {"upstream", Send->UpstreamId},
         {"after_ms", std::to_string(toMilliseconds(Now - Send->SentAt))},
         {"silent_ms", std::to_string(toMilliseconds(Now - Send->ProgressAt))},
         {"heard_ms", std::to_string(toMilliseconds(SinceHeard))}});
  Duration Next = SilenceCheckInterval;
  if (const Duration Limit = this->maxSilence(); SinceHeard < Limit)
    Next = std::min(Next, Limit - SinceHeard);
  Send->StallTimer = this->Services.Loop.timers().after(
      Next, [Self = this->shared_from_this(), Send] {
        Self->onStall(Send, StallCheck::First);
      });
}

/// Returns whether the upstreams of the sends that were withdrawn have noticed
/// it, are not reached, or were silent for longer than a sound one.
bool ForwardRun::isWithdrawnFromAll() {
  const TimePoint Now = EventLoop::now();
  std::erase_if(this->Withdrawn, [this, Now](const auto &Each) {
    const Duration SinceHeard = this->sinceHeard(*Each, Now);
    return SinceHeard < Now - Each->WithdrawnAt ||
           SinceHeard >= this->maxSilence();
  });
  return this->Withdrawn.empty();
}

/// Returns whether the call may be sent to another upstream beside the sends in
/// flight.
bool ForwardRun::canTryAnother() {
  return this->ConnectFailures < MaxConnectFailures &&
         nextStep(this->progress(), SendOutcome::Stalled) ==
             ForwardStep::Retry &&
         !refusedUntil(this->Services.Crashes, this->CrashKeys,
                       EventLoop::now());
}

/// Checks what explains that \p Send, which is in flight, makes no progress.
Silence ForwardRun::silenceOf(ForwardSend &Send) {
  const TimePoint Now = EventLoop::now();
  if (!Send.Exchange->isLinkSilent())
    Send.LinkSilentSince.reset();
  else if (!Send.LinkSilentSince)
    Send.LinkSilentSince = Now;
  SilentSend View{.WasSent = Send.Exchange->wasSent(),
                  .SinceProgress = Now - Send.ProgressAt,
                  .SinceHeard = this->sinceHeard(Send, Now),
                  .MaxSilence = this->maxSilence()};
  if (Send.LinkSilentSince)
    View.LinkSilentFor = Now - *Send.LinkSilentSince;
  return explainSilence(View);
}

Duration ForwardRun::maxSilence() const {
  return galenaroute::maxSilence(*this->Route, this->FirstEventAt.has_value());
}

/// Returns how long ago the upstream of \p Send sent bytes of any answer.
Duration ForwardRun::sinceHeard(const ForwardSend &Send, TimePoint Now) const {
  const UpstreamEntry *At = this->Services.Upstreams.find(Send.UpstreamId);
  const bool IsSame = At && At->Incarnation == Send.Incarnation;
  return Now - (IsSame ? std::max(At->HeardAt, Send.HeardAt) : Send.HeardAt);
}

/// Notes that \p Send makes no progress and that the call is sent to the
/// upstream \p Other too.
void ForwardRun::noteStalled(ForwardSend &Send, std::string_view Other) {
  const TimePoint Now = EventLoop::now();
  Send.StalledBy = this->silenceOf(Send);
  if (Send.StalledBy == Silence::Link)
    this->notePath(Send, PathEvent::LinkLost);
  if (!std::exchange(Send.IsStalled, true)) {
    this->Services.Upstreams.noteFailure(Send.UpstreamId, StalledFailureWeight,
                                         Now);
    this->Services.Stats.decision("send.stalled");
  }
  log(LogLevel::Warn, "call.send_stalled",
      {{"call", this->Call.Id},
       {"upstream", Send.UpstreamId},
       {"after_ms", std::to_string(toMilliseconds(Now - Send.SentAt))},
       {"silent_ms", std::to_string(toMilliseconds(Now - Send.ProgressAt))},
       {"heard_ms",
        std::to_string(toMilliseconds(this->sinceHeard(Send, Now)))},
       {"reason", std::string(toString(*Send.StalledBy))},
       {"other", std::string(Other)}});
}

void ForwardRun::cancelSends(std::string_view Reason) {
  const auto Sends = this->Live;
  for (const auto &Each : Sends)
    this->cancelSend(*Each, Reason);
}

/// Cancels \p Send with \p Reason as its outcome.
void ForwardRun::cancelSend(ForwardSend &Send, std::string_view Reason) {
  const bool WasSent = Send.Exchange->wasSent();
  Send.Exchange.reset();
  Send.disconnectTimers();
  std::erase_if(this->Live,
                [&Send](const auto &Each) { return Each.get() == &Send; });
  this->Services.Stats.decision("send." + std::string(Reason));
  log(LogLevel::Info, "call.send_ended",
      {{"call", this->Call.Id},
       {"content", keyName(this->Signature)},
       {"upstream", Send.UpstreamId},
       {"outcome", std::string(Reason)},
       {"stalled", stalledBy(Send)},
       {"status", std::to_string(Send.HasAnswer ? Send.Answer.Status : 0)},
       {"after_ms",
        std::to_string(toMilliseconds(EventLoop::now() - Send.SentAt))}});
  this->notePrefillEnded(Send);
  this->noteSendEnded(Send);
  if (WasSent) {
    this->noteEngineTime(Send);
    ++this->Sends;
    ++this->PossibleRuns;
    this->noteUnansweredSend(Send, EventLoop::now());
  }
}

} // namespace galenaroute
