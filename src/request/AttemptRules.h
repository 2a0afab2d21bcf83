// Transitions shared by the event handlers in Attempt.cpp. Internal to the
// attempt state machine; use Attempt.h.

#ifndef GALENAROUTE_REQUEST_ATTEMPTRULES_H
#define GALENAROUTE_REQUEST_ATTEMPTRULES_H

#include "request/Attempt.h"

namespace galenaroute {

/// Returns the deadline for answering the request of \p State.
TimePoint attemptDeadline(const AttemptState &State);

/// Returns whether a plain service is overloaded; another server may not be.
bool isPlainBusy(int Status);

/// One step of the state machine: the state and the actions so far.
class AttemptRules {
public:
  AttemptRules(AttemptState State, TimePoint Now, bool RetryAllowed)
      : State(std::move(State)), Now(Now), RetryAllowed(RetryAllowed) {}

  AttemptStep take() {
    if (this->State.Phase == AttemptPhase::Finished)
      this->closeSilent();
    return {std::move(this->State), std::move(this->Actions)};
  }

protected:
  using Kind = AttemptAction::Kind;

  bool isCurrent(std::uint64_t Connection) const;

  /// Returns whether a line belongs to the current attempt; records it if not.
  bool isCurrentAttempt(const std::string &Attempt);

  AttemptAction &addAction(Kind What);

  void record(std::string Name, std::string Text);

  void open(bool Resuming);

  void close();

  /// Keeps the current connection open as a silent one.
  void setSilent();

  /// Closes all silent connections.
  void closeSilent();

  /// Makes the silent connection \p Connection the current one. Returns false
  /// if there is none.
  bool continueSilent(std::uint64_t Connection);

  /// Waits for the last silent connection again. Returns false if there is
  /// none.
  bool returnToSilent();

  void choose();

  void resume();

  /// Resumes with exponential backoff, or treats the attempt as lost.
  void resumeLater();

  /// Delivers text to a streaming caller, or collects it.
  void acceptText(const std::string &Text);

  void endedModel(const attempt::Ended &Event);

  void endedPlain(const attempt::Ended &Event);

  void storeOutcome(bool MayHaveRun);

  bool mayRetry() const;

  /// Handles an attempt that the engine no longer has or whose engine cannot be
  /// reached.
  void attemptLost();

  /// Sends the whole request again if that is allowed, or gives up. A free
  /// retry is not charged to the budget.
  void retryElsewhere(bool IsFree = false);

  /// Fails the request with the error that fits all sends so far; \p Reason
  /// applies if none of them reached an upstream.
  void giveUp(ErrorKind Reason = ErrorKind::NoUpstream);

  /// Releases the claim; a caller that is still connected is answered
  /// afterwards.
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
