#include "request/Attempt.h"

#include <algorithm>

namespace galenaroute {

namespace {

using Kind = AttemptAction::Kind;

/// Engine answers that mean the attempt was refused before it ran.
bool isEngineRefusal(int Status) {
  return Status == 409 || Status == 429 || Status == 503;
}

/// Answers of plain services that another server may not give.
bool isBusy(int Status) { return Status == 429 || Status == 503; }

/// One step: the state, the actions so far, and the rules.
class Stepper {
public:
  Stepper(AttemptState State, TimePoint Now, bool RetryAllowed)
      : State(std::move(State)), Now(Now), RetryAllowed(RetryAllowed) {}

  AttemptStep take() {
    return {std::move(this->State), std::move(this->Actions)};
  }

  void on(const attempt::Start &) {
    if (this->State.Policy.NeedsClaim) {
      this->State.Phase = AttemptPhase::Claiming;
      this->State.ClaimPending = true;
      this->act(Kind::Claim);
    } else if (!this->State.Attempt.empty()) {
      this->resume();
    } else {
      this->choose();
    }
  }

  void on(const attempt::ClaimAnswered &Event) {
    if (!this->State.ClaimPending)
      return;
    this->State.ClaimPending = false;
    const bool Granted = Event.Status == ClaimStatus::Granted;
    this->State.ClaimHeld = Granted;
    if (this->State.Phase != AttemptPhase::Claiming) {
      // The caller left or was answered; nothing was or will be sent.
      if (Granted)
        this->release();
      return;
    }
    switch (Event.Status) {
    case ClaimStatus::Granted:
      return this->choose();
    case ClaimStatus::Ran:
      this->State.Phase = AttemptPhase::Finished;
      this->act(Kind::Replay);
      return;
    case ClaimStatus::InProgress:
      return this->fail(ErrorKind::DuplicateInProgress);
    case ClaimStatus::MayHaveRun:
      return this->fail(ErrorKind::DuplicateMayHaveRun);
    case ClaimStatus::Mismatch:
      return this->fail(ErrorKind::Conflict);
    case ClaimStatus::Unavailable:
      return this->fail(ErrorKind::PlatformUnavailable);
    }
  }

  void on(const attempt::Released &Event) {
    if (this->State.Phase != AttemptPhase::Releasing)
      return;
    this->fail(Event.Durable ? this->State.FailureAfterRelease
                             : ErrorKind::OutcomeUnknown);
  }

  void on(const attempt::Chosen &Event) {
    if (this->State.Phase != AttemptPhase::Choosing)
      return;
    this->State.Upstream = Event.Upstream;
    this->State.Attempt = Event.Attempt;
    this->State.Offset = 0;
    this->State.SilentResumes = 0;
    ++this->State.Sends;
    this->open(false);
    this->act(Kind::Send);
    this->record("attempt.start", Event.Attempt + " at " + Event.Upstream);
  }

  void on(const attempt::NoneAvailable &Event) {
    if (this->State.Phase == AttemptPhase::Choosing)
      this->giveUp(Event.Kind);
  }

  void on(const attempt::Head &Event) {
    if (!this->isCurrent(Event.Connection))
      return;
    this->State.HeadStatus = Event.Status;
    this->State.LastProgress = this->Now;
  }

  void on(const attempt::Line &Event) {
    if (!this->isCurrent(Event.Connection) || !this->State.Policy.Model)
      return;
    if (!this->isOwn(Event.Attempt))
      return;
    this->State.LastProgress = this->Now;
    if (this->State.Phase == AttemptPhase::Lingering)
      return;
    if (Event.Offset < this->State.Offset) {
      this->record("line.repeated", std::to_string(Event.Offset));
      return;
    }
    if (Event.Offset > this->State.Offset) {
      this->record("line.gap", std::to_string(this->State.Offset) + " to " +
                                   std::to_string(Event.Offset));
      this->close();
      this->resumeLater();
      return;
    }
    this->State.SilentResumes = 0;
    this->State.Offset = Event.Offset + 1;
    this->accept(Event.Text);
  }

  void on(const attempt::Done &Event) {
    if (!this->isCurrent(Event.Connection) || !this->State.Policy.Model ||
        !this->isOwn(Event.Attempt))
      return;
    const bool Wanted = this->State.Phase == AttemptPhase::Connected;
    if (Wanted && !Event.Whole) {
      this->record("attempt.ended_early", this->State.Upstream);
      this->close();
      return this->attemptLost();
    }
    if (Wanted && Event.Tokens != this->State.Offset) {
      this->record("line.gap", std::to_string(this->State.Offset) + " of " +
                                   std::to_string(Event.Tokens));
      this->close();
      return this->resumeLater();
    }
    this->State.Phase = AttemptPhase::Finished;
    this->State.Connection = 0;
    this->record("attempt.end", "whole");
    if (!Wanted)
      return;
    AttemptAction &Last = this->act(Kind::Whole);
    Last.Text = std::move(this->State.Text);
  }

  void on(const attempt::BadLine &Event) {
    if (!this->isCurrent(Event.Connection) || !this->State.Policy.Model)
      return;
    this->record("line.malformed", this->State.Upstream);
    this->close();
    this->resumeLater();
  }

  void on(const attempt::Ended &Event) {
    if (!this->isCurrent(Event.Connection))
      return;
    this->State.Connection = 0;
    if (this->State.Phase == AttemptPhase::Lingering) {
      // The engine finished, or gave the stream to another connection.
      this->State.Phase = AttemptPhase::Finished;
      return;
    }
    this->record("attempt.end", "status=" + std::to_string(Event.Status) +
                                    (Event.Complete ? "" : " cut") +
                                    (Event.BytesSent ? "" : " not sent"));
    if (this->State.Policy.Model)
      this->endedModel(Event);
    else
      this->endedPlain(Event);
  }

  void on(const attempt::Tick &) {
    if (this->State.Phase == AttemptPhase::Finished ||
        this->State.Phase == AttemptPhase::Releasing)
      return;
    if (this->State.Phase == AttemptPhase::Lingering) {
      if (this->Now >= this->State.WakeAt)
        this->abandon();
      return;
    }
    if (this->Now >= this->deadline())
      return this->deadlinePassed();
    if (this->State.Phase == AttemptPhase::Waiting) {
      if (this->Now >= this->State.WakeAt)
        this->resume();
      return;
    }
    if (this->State.Phase == AttemptPhase::Connected)
      this->checkStall();
  }

  void on(const attempt::CallerLeft &) {
    this->State.CallerGone = true;
    switch (this->State.Phase) {
    case AttemptPhase::Finished:
    case AttemptPhase::Lingering:
    case AttemptPhase::Releasing:
      return;
    case AttemptPhase::Claiming:
      this->State.Phase = AttemptPhase::Finished;
      break;
    case AttemptPhase::Choosing:
    case AttemptPhase::Waiting:
    case AttemptPhase::Connected:
      // The outcome of a call that must not repeat is stored for a later
      // request with its key, so that call goes on.
      if (!this->State.Policy.Repeatable && this->State.Connection != 0)
        break;
      if (this->State.ClaimHeld)
        return this->release();
      if (this->State.TextGiven &&
          this->State.Phase != AttemptPhase::Choosing) {
        this->State.Phase = this->State.Connection != 0
                                ? AttemptPhase::Lingering
                                : AttemptPhase::Finished;
        this->State.WakeAt = this->Now + this->State.Policy.Linger;
        break;
      }
      this->abandon();
      break;
    }
    this->record("caller.left", "");
  }

  void on(const attempt::TakenOver &) {
    const bool HasRun = this->State.Phase == AttemptPhase::Connected ||
                        this->State.Phase == AttemptPhase::Waiting ||
                        this->State.Phase == AttemptPhase::Lingering;
    if (!HasRun || !this->State.TextGiven)
      return;
    this->State.CallerGone = true;
    this->close();
    this->State.Phase = AttemptPhase::Finished;
    this->record("caller.moved", this->State.Attempt);
  }

  void on(const attempt::Paused &) {
    if (this->State.Paused)
      return;
    this->State.Paused = true;
    this->State.PausedSince = this->Now;
  }

  void on(const attempt::Unpaused &) {
    this->State.Paused = false;
    this->State.LastProgress = this->Now;
  }

  static TimePoint deadline(const AttemptState &State) {
    TimePoint Result =
        State.Policy.Streaming && State.TextGiven
            ? State.Policy.LastEnd
            : std::min(State.Policy.Deadline, State.Policy.LastEnd);
    if (State.Paused)
      Result = std::min(Result, State.PausedSince + State.Policy.MaxPause);
    return Result;
  }

private:
  bool isCurrent(std::uint64_t Connection) const {
    return Connection != 0 && Connection == this->State.Connection;
  }

  /// Returns whether a line belongs to this attempt, and records it when not.
  bool isOwn(const std::string &Attempt) {
    if (Attempt == this->State.Attempt)
      return true;
    this->record("line.foreign", Attempt + " from " + this->State.Upstream);
    return false;
  }

  AttemptAction &act(Kind What) {
    AttemptAction Added;
    Added.What = What;
    Added.Connection = this->State.Connection;
    Added.Offset = this->State.Offset;
    Added.Upstream = this->State.Upstream;
    Added.Attempt = this->State.Attempt;
    this->Actions.push_back(std::move(Added));
    return this->Actions.back();
  }

  void record(std::string Name, std::string Text) {
    AttemptAction &Added = this->act(Kind::Record);
    Added.Name = std::move(Name);
    Added.Text = std::move(Text);
  }

  void open(bool Resuming) {
    this->State.Phase = AttemptPhase::Connected;
    this->State.Connection = ++this->State.LastConnection;
    this->State.Resuming = Resuming;
    this->State.HeadStatus = 0;
    this->State.LastProgress = this->Now;
  }

  void close() {
    if (this->State.Connection == 0)
      return;
    this->act(Kind::Close);
    this->State.Connection = 0;
  }

  void choose() {
    this->State.Phase = AttemptPhase::Choosing;
    this->act(Kind::Choose);
  }

  void resume() {
    this->open(true);
    this->act(Kind::Resume);
    this->record("attempt.resume", this->State.Attempt + " at offset " +
                                       std::to_string(this->State.Offset));
  }

  /// Resumes after a delay that grows, or gives the attempt up as lost.
  void resumeLater() {
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

  void accept(const std::string &Text) {
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

  void endedModel(const attempt::Ended &Event) {
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

  void endedPlain(const attempt::Ended &Event) {
    if (!Event.BytesSent)
      return this->retryElsewhere();
    this->State.MayHaveRun = true;
    if (!Event.Complete) {
      if (this->State.Policy.Repeatable)
        return this->retryElsewhere();
      this->storeOutcome(true);
      return this->fail(ErrorKind::OutcomeUnknown);
    }
    if (this->State.Policy.Repeatable && isBusy(Event.Status) &&
        this->mayRetry())
      return this->retryElsewhere();
    this->storeOutcome(false);
    this->State.Phase = AttemptPhase::Finished;
    if (!this->State.CallerGone)
      this->act(Kind::Whole);
  }

  void storeOutcome(bool MayHaveRun) {
    if (!this->State.ClaimHeld)
      return;
    this->State.ClaimHeld = false;
    this->act(Kind::StoreOutcome).MayHaveRun = MayHaveRun;
  }

  bool mayRetry() const {
    return this->RetryAllowed &&
           this->State.Sends < this->State.Policy.MaxSends;
  }

  /// The engine no longer has the attempt, or cannot be reached.
  void attemptLost() {
    this->record("attempt.lost", this->State.Attempt);
    this->State.MayHaveRun = true;
    // The run may still go on behind a broken path.
    this->act(Kind::Cancel);
    this->retryElsewhere();
  }

  void retryElsewhere(bool IsFree = false) {
    // After a refusal for its weight version the same upstream is worth one
    // more try: the version that it was thought to have is known to be old.
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

  void giveUp(ErrorKind Reason = ErrorKind::NoUpstream) {
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

  /// Gives the claim back; the caller, if still there, is answered afterwards.
  void release() {
    this->State.ClaimHeld = false;
    const bool Answered = this->State.Phase == AttemptPhase::Finished;
    this->State.Phase = Answered || this->State.CallerGone
                            ? AttemptPhase::Finished
                            : AttemptPhase::Releasing;
    this->act(Kind::Release);
  }

  void fail(ErrorKind Failure) {
    this->State.Phase = AttemptPhase::Finished;
    if (!this->State.CallerGone)
      this->act(Kind::Fail).Error = Failure;
  }

  /// Closes the connection and cancels the run.
  void abandon() {
    const bool Cancels = this->State.Policy.Model &&
                         !this->State.Attempt.empty() &&
                         this->State.Phase != AttemptPhase::Choosing;
    this->close();
    if (Cancels)
      this->act(Kind::Cancel);
    this->State.Phase = AttemptPhase::Finished;
  }

  TimePoint deadline() const { return deadline(this->State); }

  void deadlinePassed() {
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

  void checkStall() {
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

  AttemptState State;
  std::vector<AttemptAction> Actions;
  TimePoint Now;
  bool RetryAllowed;
};

} // namespace

AttemptState newAttempt(const AttemptPolicy &Policy) {
  AttemptState Result;
  Result.Policy = Policy;
  return Result;
}

AttemptState resumedAttempt(const AttemptPolicy &Policy, std::string Upstream,
                            std::string Attempt, std::uint64_t Offset) {
  AttemptState Result = newAttempt(Policy);
  Result.Upstream = std::move(Upstream);
  Result.Attempt = std::move(Attempt);
  Result.Offset = Offset;
  Result.TextGiven = true;
  Result.MayHaveRun = true;
  return Result;
}

AttemptStep stepAttempt(AttemptState State, const AttemptEvent &Event,
                        TimePoint Now, bool RetryAllowed) {
  Stepper Step(std::move(State), Now, RetryAllowed);
  std::visit([&](const auto &Each) { Step.on(Each); }, Event);
  return Step.take();
}

TimePoint nextWake(const AttemptState &State) {
  switch (State.Phase) {
  case AttemptPhase::Finished:
  case AttemptPhase::Releasing:
    return TimePoint::max();
  case AttemptPhase::Lingering:
    return State.WakeAt;
  case AttemptPhase::Waiting:
    return std::min(State.WakeAt, Stepper::deadline(State));
  case AttemptPhase::Connected: {
    if (!State.Policy.Repeatable)
      return TimePoint::max();
    const TimePoint Stall = State.Paused
                                ? TimePoint::max()
                                : State.LastProgress + State.Policy.Stall;
    return std::min(Stall, Stepper::deadline(State));
  }
  default:
    return Stepper::deadline(State);
  }
}

} // namespace galenaroute
