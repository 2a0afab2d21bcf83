// The queue of forwarded calls that wait for an upstream.
//
//   WaitingRuns Waiting(Loop);
//   Waiting.add(Run);
//   Waiting.wake();      // when a call has ended, for example
//
// In which order calls are tried and when their wait ends is decided by the
// functions of ForwardQueue. Guarantees: a look at the queue tries a bounded
// number of calls in vain; a call is tried, refused or kept, never dropped.

#ifndef GALENAROUTE_REQUEST_WAITINGRUNS_H
#define GALENAROUTE_REQUEST_WAITINGRUNS_H

#include "process/EventLoop.h"
#include "request/ForwardQueue.h"

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
  /// Looks soon whether waiting calls can be sent, since something changed.
  void wake();
  /// How long the longest of them has waited.
  Duration oldestWait(TimePoint Now) const;
  std::size_t size() const { return this->Runs.size(); }

private:
  void dispatch();

  EventLoop &Loop;
  ForwardQueueSettings Settings;
  std::vector<std::shared_ptr<ForwardRun>> Runs;
  bool IsWakeScheduled = false;
  sigc::connection Timer;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_WAITINGRUNS_H
