#include "request/AttemptRules.h"

#include <algorithm>

namespace galenaroute {

/// Returns whether an engine refused the attempt before running it.
static bool isEngineRefusal(int Status) {
  return Status == 409 || Status == 429 || Status == 503;
}

bool isPlainBusy(int Status) { return Status == 429 || Status == 503; }

TimePoint attemptDeadline(const AttemptState &State) {
  TimePoint Result =
      State.Policy.Streaming && State.TextDelivered
          ? State.Policy.StreamDeadline
          : std::min(State.Policy.Deadline, State.Policy.StreamDeadline);
  if (State.Paused)
    Result = std::min(Result, State.PausedSince + State.Policy.MaxPause);
  return Result;
}

bool AttemptRules::isCurrent(std::uint64_t Connection) const {
  return Connection != 0 && Connection == this->State.Connection;
}

bool AttemptRules::isCurrentAttempt(const std::string &Attempt) {
  if (Attempt == this->State.Attempt)
    return true;
  this->record("line.foreign", Attempt + " from " + this->State.Upstream);
  return false;
}

AttemptAction &AttemptRules::addAction(Kind What) {
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
  AttemptAction &Added = this->addAction(Kind::Record);
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
  this->addAction(Kind::Close);
  this->State.Connection = 0;
}

void AttemptRules::setSilent() {
  this->State.Silent.push_back({this->State.Connection, this->State.Upstream,
                                this->State.Resuming, this->State.HeadStatus});
  this->State.Connection = 0;
}

void AttemptRules::closeSilent() {
  for (const SilentConnection &Each : this->State.Silent) {
    AttemptAction &Added = this->addAction(Kind::Close);
    Added.Connection = Each.Connection;
    Added.Upstream = Each.Upstream;
  }
  this->State.Silent.clear();
}

bool AttemptRules::continueSilent(std::uint64_t Connection) {
  const auto It = std::find_if(
      this->State.Silent.begin(), this->State.Silent.end(),
      [&](const auto &Each) { return Each.Connection == Connection; });
  if (It == this->State.Silent.end())
    return false;
  const SilentConnection Continued = *It;
  this->State.Silent.erase(It);
  this->close();
  this->State.Connection = Continued.Connection;
  this->State.Upstream = Continued.Upstream;
  this->State.Resuming = Continued.Resuming;
  this->State.HeadStatus = Continued.HeadStatus;
  this->State.LastProgress = this->Now;
  if (this->State.Phase != AttemptPhase::Lingering)
    this->State.Phase = AttemptPhase::Connected;
  return true;
}

bool AttemptRules::returnToSilent() {
  if (this->State.Silent.empty())
    return false;
  this->record("attempt.awaited", this->State.Silent.back().Upstream);
  return this->continueSilent(this->State.Silent.back().Connection);
}

void AttemptRules::choose() {
  this->State.Phase = AttemptPhase::Choosing;
  this->addAction(Kind::Choose);
}

void AttemptRules::resume() {
  this->open(true);
  this->addAction(Kind::Resume);
  this->record("attempt.resume", this->State.Attempt + " at offset " +
                                     std::to_string(this->State.Offset));
}

void AttemptRules::resumeLater() {
  if (this->State.EmptyResumes >= this->State.Policy.MaxEmptyResumes) {
    // The engine may still go on with the stream, for example if it accepts no
    // new connections while it stops.
    this->State.ReturnedToSilent = this->returnToSilent();
    if (!this->State.ReturnedToSilent)
      this->attemptLost();
    return;
  }
  this->State.WakeAt =
      this->Now + (this->State.EmptyResumes == 0
                       ? Duration::zero()
                       : this->State.Policy.ResumeDelay *
                             (1 << (this->State.EmptyResumes - 1)));
  ++this->State.EmptyResumes;
  this->State.Phase = AttemptPhase::Waiting;
  if (this->State.WakeAt <= this->Now)
    this->resume();
}

void AttemptRules::acceptText(const std::string &Text) {
  if (this->State.Policy.Streaming) {
    this->State.TextDelivered = true;
    this->addAction(Kind::DeliverText).Text = Text;
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
    // During a rollout of weights many calls find another version than the one
    // reported. That does not indicate overload, so it is not charged to the
    // budget.
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
  if (this->State.Policy.Repeatable && isPlainBusy(Event.Status)) {
    if (this->mayRetry())
      return this->retryElsewhere();
    if (this->returnToSilent())
      return;
  }
  this->storeOutcome(false);
  this->State.Phase = AttemptPhase::Finished;
  if (!this->State.CallerDisconnected)
    this->addAction(Kind::Complete);
}

void AttemptRules::storeOutcome(bool MayHaveRun) {
  if (!this->State.ClaimHeld)
    return;
  this->State.ClaimHeld = false;
  this->addAction(Kind::StoreOutcome).MayHaveRun = MayHaveRun;
}

bool AttemptRules::mayRetry() const {
  return this->RetryAllowed && this->State.Sends < this->State.Policy.MaxSends;
}

void AttemptRules::attemptLost() {
  this->closeSilent();
  this->record("attempt.lost", this->State.Attempt);
  this->State.MayHaveRun = true;
  // The run may still be in progress behind a broken network path.
  this->addAction(Kind::Cancel);
  this->retryElsewhere();
}

void AttemptRules::retryElsewhere(bool IsFree) {
  // After a refusal for its weight version the same upstream is tried once
  // more, since the cached version is now known to be outdated.
  if (IsFree && this->State.MismatchedUpstream != this->State.Upstream)
    this->State.MismatchedUpstream = this->State.Upstream;
  else
    this->State.Avoid.push_back(this->State.Upstream);
  // Another run generates another text, so a retry is impossible once the
  // caller has received text of this one.
  if (this->State.TextDelivered)
    return this->fail(ErrorKind::StreamLost);
  this->State.Text.clear();
  this->State.Offset = 0;
  // A call that must not be repeated gets here only if no byte of it was sent.
  const bool HasSends = this->State.Sends < this->State.Policy.MaxSends;
  if (!HasSends || !(IsFree || this->RetryAllowed) ||
      this->State.CallerDisconnected)
    return this->giveUp();
  if (!IsFree)
    this->addAction(Kind::SpendRetry);
  this->record("retry", "after " + this->State.Upstream);
  this->choose();
}

void AttemptRules::giveUp(ErrorKind Reason) {
  // A retry by the caller can't help, so it gets the specific error.
  if (Reason == ErrorKind::CrashesUpstreams)
    return this->fail(Reason);
  if (this->returnToSilent())
    return;
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
  this->State.Phase = Answered || this->State.CallerDisconnected
                          ? AttemptPhase::Finished
                          : AttemptPhase::Releasing;
  this->addAction(Kind::Release);
}

void AttemptRules::fail(ErrorKind Failure) {
  this->State.Phase = AttemptPhase::Finished;
  if (!this->State.CallerDisconnected)
    this->addAction(Kind::Fail).Error = Failure;
}

void AttemptRules::abandon() {
  const bool Cancels = this->State.Policy.Model &&
                       !this->State.Attempt.empty() &&
                       this->State.Phase != AttemptPhase::Choosing;
  this->close();
  if (Cancels)
    this->addAction(Kind::Cancel);
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
    // Only the end of the connection shows whether the call was sent; the
    // caller of stepAttempt() limits the connection by the same deadline.
    if (!this->State.Policy.Repeatable)
      return;
    this->abandon();
    return this->fail(this->State.TextDelivered ? ErrorKind::StreamLost
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
    this->State.MayHaveRun = true;
    if (this->State.ReturnedToSilent) {
      this->close();
      return this->attemptLost();
    }
    // The run is carried by one connection, so one that is silent is enough.
    if (this->State.Silent.empty())
      this->setSilent();
    else
      this->close();
    // An engine that has sent a response head works and may only have queued
    // the run; the deadline limits the wait.
    if (this->State.HeadStatus == 200)
      this->resume();
    else
      this->resumeLater();
    return;
  }
  if (!this->State.Policy.Repeatable || !this->mayRetry()) {
    // No retry is allowed, so the call waits for its deadline.
    this->State.LastProgress = this->Now;
    return;
  }
  this->record("attempt.stalled", this->State.Upstream);
  this->setSilent();
  this->State.MayHaveRun = true;
  this->retryElsewhere();
}

} // namespace galenaroute
