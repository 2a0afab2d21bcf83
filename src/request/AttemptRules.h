// The steps that the event handlers of Attempt.cpp share; internal to the
// attempt decision.

#ifndef GALENAROUTE_REQUEST_ATTEMPTRULES_H
#define GALENAROUTE_REQUEST_ATTEMPTRULES_H

#include "request/Attempt.h"

namespace galenaroute {

/// Returns when \p State must be answered at the latest.
TimePoint attemptDeadline(const AttemptState &State);

/// One step: the state, the actions so far, and what may be done.
class AttemptRules {
public:
  AttemptRules(AttemptState State, TimePoint Now, bool RetryAllowed)
      : State(std::move(State)), Now(Now), RetryAllowed(RetryAllowed) {}

  AttemptStep take() {
    return {std::move(this->State), std::move(this->Actions)};
  }

protected:
  using Kind = AttemptAction::Kind;

  bool isCurrent(std::uint64_t Connection) const;

  /// Returns whether a line belongs to this attempt, and records it when not.
  bool isOwn(const std::string &Attempt);

  AttemptAction &act(Kind What);

  void record(std::string Name, std::string Text);

  void open(bool Resuming);

  void close();

  void choose();

  void resume();

  /// Resumes after a delay that grows, or gives the attempt up as lost.
  void resumeLater();

  /// Hands text on or collects it.
  void accept(const std::string &Text);

  void endedModel(const attempt::Ended &Event);

  void endedPlain(const attempt::Ended &Event);

  void storeOutcome(bool MayHaveRun);

  bool mayRetry() const;

  /// The engine no longer has the attempt, or cannot be reached.
  void attemptLost();

  /// Sends the whole request again where that is allowed, else gives up. A
  /// free retry is not taken from the budget.
  void retryElsewhere(bool IsFree = false);

  /// Answers with what is known of all sends; \p Reason applies when none of
  /// them reached an upstream.
  void giveUp(ErrorKind Reason = ErrorKind::NoUpstream);

  /// Gives the claim back; the caller, if still there, is answered afterwards.
  void release();

  void fail(ErrorKind Failure);

  /// Closes the connection and cancels the run.
  void abandon();

  void deadlinePassed();

  void checkStall();

  AttemptState State;
  std::vector<AttemptAction> Actions;
  TimePoint Now;
  bool RetryAllowed;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_ATTEMPTRULES_H
