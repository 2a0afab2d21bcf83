#include "request/AttemptRules.h"

#include <algorithm>

namespace galenaroute {

/// Engine answers that mean the attempt was refused before it ran.
static bool isEngineRefusal(int Status) {
  return Status == 409 || Status == 429 || Status == 503;
}

/// Answers of plain services that another server may not give.
static bool isBusy(int Status) { return Status == 429 || Status == 503; }

TimePoint attemptDeadline(const AttemptState &State) {
  TimePoint Result =
      State.Policy.Streaming && State.TextGiven
          ? State.Policy.LastEnd
          : std::min(State.Policy.Deadline, State.Policy.LastEnd);
  if (State.Paused)
    Result = std::min(Result, State.PausedSince + State.Policy.MaxPause);
  return Result;
}

bool AttemptRules::isCurrent(std::uint64_t Connection) const {
  return Connection != 0 && Connection == this->State.Connection;
}

bool AttemptRules::isOwn(const std::string &Attempt) {
  if (Attempt == this->State.Attempt)
    return true;
  this->record("line.foreign", Attempt + " from " + this->State.Upstream);
  return false;
}

AttemptAction &AttemptRules::act(Kind What) {
  AttemptAction Added;
  Added.What = What;
  Added.Connection = this->State.Connection;
  Added.Offset = this->State.Offset;
  Added.Upstream = this->State.Upstream;
  Added.Attempt = this->State.Attempt;
  this->Actions.push_back(std::move(Added));
  return this->Actions.back();
}

void AttemptRules::record(std::string Name, std::string Text) {
  AttemptAction &Added = this->act(Kind::Record);
  Added.Name = std::move(Name);
  Added.Text = std::move(Text);
}

void AttemptRules::open(bool Resuming) {
  this->State.Phase = AttemptPhase::Connected;
  this->State.Connection = ++this->State.LastConnection;
  this->State.Resuming = Resuming;
  this->State.HeadStatus = 0;
  this->State.LastProgress = this->Now;
}

void AttemptRules::close() {
  if (this->State.Connection == 0)
    return;
  this->act(Kind::Close);
  this->State.Connection = 0;
}

void AttemptRules::choose() {
  this->State.Phase = AttemptPhase::Choosing;
  this->act(Kind::Choose);
}

void AttemptRules::resume() {
  this->open(true);
  this->act(Kind::Resume);
  this->record("attempt.resume", this->State.Attempt + " at offset " +
                                     std::to_string(this->State.Offset));
}

void AttemptRules::resumeLater() {
  if (this->State.SilentResumes >= this->State.Policy.MaxSilentResumes)
    return this->attemptLost();
  this->State.WakeAt =
      this->Now + (this->State.SilentResumes == 0
                       ? Duration::zero()
                       : this->State.Policy.ResumeDelay *
                             (1 << (this->State.SilentResumes - 1)));
  ++this->State.SilentResumes;
  this->State.Phase = AttemptPhase::Waiting;
  if (this->State.WakeAt <= this->Now)
    this->resume();
}

void AttemptRules::accept(const std::string &Text) {
  if (this->State.Policy.Streaming) {
    this->State.TextGiven = true;
    this->act(Kind::GiveText).Text = Text;
    return;
  }
  if (this->State.Text.size() + Text.size() >
      this->State.Policy.MaxAnswerBytes) {
    this->abandon();
    this->fail(ErrorKind::UpstreamFailed);
    return;
  }
  this->State.Text += Text;
}

void AttemptRules::endedModel(const attempt::Ended &Event) {
  const bool Running = this->State.HeadStatus == 200 || Event.Status == 200;
  if (this->State.Resuming) {
    if (Event.Complete && Event.Status == 404)
      this->attemptLost();
    else
      this->resumeLater();
    return;
  }
  if (!Event.BytesSent)
    return this->retryElsewhere();
  if (Running || !Event.Complete) {
    this->State.MayHaveRun = true;
    return this->resumeLater();
  }
  if (isEngineRefusal(Event.Status)) {
    this->State.Refused = true;
    this->record("attempt.refused", this->State.Upstream);
    // During a change of weights many calls meet another version than the
    // one reported. That is no sign of overload, so the budget is kept for
    // other failures.
    return this->retryElsewhere(/*IsFree=*/Event.Status == 409);
  }
  if (Event.Status == 400 || Event.Status == 413)
    return this->fail(ErrorKind::BadRequest);
  this->State.MayHaveRun = true;
  this->retryElsewhere();
}

void AttemptRules::endedPlain(const attempt::Ended &Event) {
  if (!Event.BytesSent)
    return this->retryElsewhere();
  this->State.MayHaveRun = true;
  if (!Event.Complete) {
    if (this->State.Policy.Repeatable)
      return this->retryElsewhere();
    this->storeOutcome(true);
    return this->fail(ErrorKind::OutcomeUnknown);
  }
  if (this->State.Policy.Repeatable && isBusy(Event.Status) && this->mayRetry())
    return this->retryElsewhere();
  this->storeOutcome(false);
  this->State.Phase = AttemptPhase::Finished;
  if (!this->State.CallerGone)
    this->act(Kind::Whole);
}

void AttemptRules::storeOutcome(bool MayHaveRun) {
  if (!this->State.ClaimHeld)
    return;
  this->State.ClaimHeld = false;
  this->act(Kind::StoreOutcome).MayHaveRun = MayHaveRun;
}

bool AttemptRules::mayRetry() const {
  return this->RetryAllowed && this->State.Sends < this->State.Policy.MaxSends;
}

void AttemptRules::attemptLost() {
  this->record("attempt.lost", this->State.Attempt);
  this->State.MayHaveRun = true;
  // The run may still go on behind a broken path.
  this->act(Kind::Cancel);
  this->retryElsewhere();
}

void AttemptRules::retryElsewhere(bool IsFree) {
  // After a refusal for its weight version the same upstream is worth one more
  // try: the version that it was thought to have is known to be old.
  if (IsFree && this->State.Mismatched != this->State.Upstream)
    this->State.Mismatched = this->State.Upstream;
  else
    this->State.Avoid.push_back(this->State.Upstream);
  // Another run gives another text, so none of this one may have been seen.
  if (this->State.TextGiven)
    return this->fail(ErrorKind::StreamLost);
  this->State.Text.clear();
  this->State.Offset = 0;
  // A call that must not repeat gets here only when no byte of it was sent.
  const bool HasSends = this->State.Sends < this->State.Policy.MaxSends;
  if (!HasSends || !(IsFree || this->RetryAllowed) || this->State.CallerGone)
    return this->giveUp();
  if (!IsFree)
    this->act(Kind::SpendRetry);
  this->record("retry", "after " + this->State.Upstream);
  this->choose();
}

void AttemptRules::giveUp(ErrorKind Reason) {
  // Sending the request again can't help, so its caller has to know.
  if (Reason == ErrorKind::CrashesUpstreams)
    return this->fail(Reason);
  if (this->State.MayHaveRun)
    return this->fail(ErrorKind::UpstreamFailed);
  const ErrorKind Failure =
      this->State.Refused ? ErrorKind::UpstreamRefused : Reason;
  if (!this->State.ClaimHeld)
    return this->fail(Failure);
  this->State.FailureAfterRelease = Failure;
  this->release();
}

void AttemptRules::release() {
  this->State.ClaimHeld = false;
  const bool Answered = this->State.Phase == AttemptPhase::Finished;
  this->State.Phase = Answered || this->State.CallerGone
                          ? AttemptPhase::Finished
                          : AttemptPhase::Releasing;
  this->act(Kind::Release);
}

void AttemptRules::fail(ErrorKind Failure) {
  this->State.Phase = AttemptPhase::Finished;
  if (!this->State.CallerGone)
    this->act(Kind::Fail).Error = Failure;
}

void AttemptRules::abandon() {
  const bool Cancels = this->State.Policy.Model &&
                       !this->State.Attempt.empty() &&
                       this->State.Phase != AttemptPhase::Choosing;
  this->close();
  if (Cancels)
    this->act(Kind::Cancel);
  this->State.Phase = AttemptPhase::Finished;
}

void AttemptRules::deadlinePassed() {
  switch (this->State.Phase) {
  case AttemptPhase::Claiming:
    return this->fail(ErrorKind::PlatformUnavailable);
  case AttemptPhase::Choosing:
    return this->giveUp();
  case AttemptPhase::Connected:
  case AttemptPhase::Waiting:
    // Only the end of the connection tells whether the call was sent; the
    // shell bounds the connection by the same deadline.
    if (!this->State.Policy.Repeatable)
      return;
    this->abandon();
    return this->fail(this->State.TextGiven ? ErrorKind::StreamLost
                                            : ErrorKind::DeadlineExceeded);
  default:
    return;
  }
}

void AttemptRules::checkStall() {
  if (this->State.Paused ||
      this->Now < this->State.LastProgress + this->State.Policy.Stall)
    return;
  if (this->State.Policy.Model) {
    this->record("attempt.stalled", this->State.Upstream);
    this->close();
    this->State.MayHaveRun = true;
    // An engine that answered the connection works, and may only have queued
    // the run; the deadline bounds how long that is waited for.
    if (this->State.HeadStatus == 200)
      this->resume();
    else
      this->resumeLater();
    return;
  }
  if (!this->State.Policy.Repeatable || !this->mayRetry()) {
    // Nothing better can be done than to wait for the deadline.
    this->State.LastProgress = this->Now;
    return;
  }
  this->record("attempt.stalled", this->State.Upstream);
  this->close();
  this->State.MayHaveRun = true;
  this->retryElsewhere();
}

} // namespace galenaroute
