#include "request/AttemptRules.h"

#include <algorithm>

namespace galenaroute {

namespace {

/// The handlers of events.
class Stepper : public AttemptRules {
public:
  using AttemptRules::AttemptRules;

  void on(const attempt::Start &) {
    if (this->State.Policy.NeedsClaim) {
      this->State.Phase = AttemptPhase::Claiming;
      this->State.ClaimPending = true;
      this->addAction(Kind::Claim);
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
      // The caller disconnected or was answered; nothing was or will be sent.
      if (Granted)
        this->release();
      return;
    }
    switch (Event.Status) {
    case ClaimStatus::Granted:
      return this->choose();
    case ClaimStatus::Ran:
      this->State.Phase = AttemptPhase::Finished;
      this->addAction(Kind::Replay);
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
    this->State.EmptyResumes = 0;
    this->State.ReturnedToSilent = false;
    ++this->State.Sends;
    this->open(false);
    this->addAction(Kind::Send);
    this->record("attempt.start", Event.Attempt + " at " + Event.Upstream);
  }

  void on(const attempt::NoneAvailable &Event) {
    if (this->State.Phase == AttemptPhase::Choosing)
      this->giveUp(Event.Kind);
  }

  void on(const attempt::Head &Event) {
    if (Event.Status == 200)
      this->continueSilent(Event.Connection);
    if (!this->isCurrent(Event.Connection))
      return;
    this->State.HeadStatus = Event.Status;
    this->State.LastProgress = this->Now;
    // The engine has moved the run to this connection.
    if (Event.Status == 200)
      this->closeSilent();
  }

  void on(const attempt::Line &Event) {
    if (!this->State.Policy.Model)
      return;
    if (Event.Attempt == this->State.Attempt)
      this->continueSilent(Event.Connection);
    if (!this->isCurrent(Event.Connection))
      return;
    if (!this->isCurrentAttempt(Event.Attempt))
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
    this->closeSilent();
    this->State.ReturnedToSilent = false;
    this->State.EmptyResumes = 0;
    this->State.Offset = Event.Offset + 1;
    this->acceptText(Event.Text);
  }

  void on(const attempt::Done &Event) {
    if (this->State.Policy.Model && Event.Attempt == this->State.Attempt)
      this->continueSilent(Event.Connection);
    if (!this->isCurrent(Event.Connection) || !this->State.Policy.Model ||
        !this->isCurrentAttempt(Event.Attempt))
      return;
    const bool Wanted = this->State.Phase == AttemptPhase::Connected;
    if (Wanted && !Event.IsComplete) {
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
    AttemptAction &Last = this->addAction(Kind::Complete);
    Last.Connection = Event.Connection;
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
    // A silent call of a plain service that ends with an answer is the first to
    // go on. One that fails leaves the others to it.
    if (!this->State.Policy.Model && Event.Complete &&
        !isPlainBusy(Event.Status))
      this->continueSilent(Event.Connection);
    std::erase_if(this->State.Silent, [&](const SilentConnection &Each) {
      return Each.Connection == Event.Connection;
    });
    if (!this->isCurrent(Event.Connection))
      return;
    this->State.Connection = 0;
    if (this->State.Phase == AttemptPhase::Lingering) {
      // The engine finished or moved the stream to another connection.
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
    if (this->Now >= attemptDeadline(this->State))
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
    this->State.CallerDisconnected = true;
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
      // The outcome of a call that must not be repeated is stored for a later
      // request with its key, so that call continues.
      if (!this->State.Policy.Repeatable && this->State.Connection != 0)
        break;
      if (this->State.ClaimHeld)
        return this->release();
      if (this->State.TextDelivered &&
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
    if (!HasRun || !this->State.TextDelivered)
      return;
    this->State.CallerDisconnected = true;
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
  Result.TextDelivered = true;
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
    return std::min(State.WakeAt, attemptDeadline(State));
  case AttemptPhase::Connected: {
    if (!State.Policy.Repeatable)
      return TimePoint::max();
    const TimePoint Stall = State.Paused
                                ? TimePoint::max()
                                : State.LastProgress + State.Policy.Stall;
    return std::min(Stall, attemptDeadline(State));
  }
  default:
    return attemptDeadline(State);
  }
}

} // namespace galenaroute
