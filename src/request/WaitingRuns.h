// The queue of forwarded calls that wait for an upstream.
//
//   WaitingRuns Waiting(Loop);
//   Waiting.add(Run);
//   Waiting.wake();      // when capacity may have become free
//
// ForwardQueue decides the order of calls and when they time out. Calls that a
// silent upstream may still answer come after those that no upstream has.
// Guarantees: a pass over the queue stops sending either kind after a bounded
// number of failed tries; a call is sent, refused or kept, never dropped.

#ifndef GALENAROUTE_REQUEST_WAITINGRUNS_H
#define GALENAROUTE_REQUEST_WAITINGRUNS_H

#include "process/EventLoop.h"
#include "request/ForwardQueue.h"
#include "request/QueueAdmission.h"

#include <memory>
#include <vector>

namespace galenaroute {

class ForwardRun;

/// The calls of one service that wait for an upstream.
class WaitingRuns {
public:
  explicit WaitingRuns(EventLoop &Loop) : Loop(Loop) {}
  ~WaitingRuns() { this->Timer.disconnect(); }

  void add(std::shared_ptr<ForwardRun> Run);
  /// Schedules a pass over the queue, since capacity may have become free.
  void wake();
  /// Returns the longest wait of the queued calls.
  Duration longestWait(TimePoint Now) const;
  /// Counts the calls that no upstream has and any may have.
  std::size_t size() const;
  /// Returns whether a call that size() counts goes before a new one.
  bool hasAheadOf(const WaitingCall &Next, TimePoint Now) const;
  /// Returns the work of the calls with a class that no upstream has, as of the
  /// last pass over the queue.
  const QueuedWork &backlog() const { return this->Backlog; }
  /// Lets the next pass refuse the calls that would wait in vain, as after a
  /// time in which this process stood still.
  void assessAgain() { this->IsAssessmentDue = !this->Runs.empty(); }

private:
  void dispatch();
  void addToBacklog(const ForwardRun &Run, const WaitingCall &Call,
                    TimePoint Now);

  EventLoop &Loop;
  ForwardQueueSettings Settings;
  std::vector<std::shared_ptr<ForwardRun>> Runs;
  QueuedWork Backlog;
  bool IsAssessmentDue = false;
  bool IsWakeScheduled = false;
  sigc::connection Timer;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_WAITINGRUNS_H
