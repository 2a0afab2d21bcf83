// Decision: in which order calls that wait for an upstream are sent, and when
// waiting ends.
//
// The load this answers: demand that doubles within seconds, or half of the
// engines away for new weights. In first-come order every call would then be
// late. Here calls that can still meet their target go first, the more urgent
// before the less, and those that are late anyway use what is left over; a
// call is refused while its caller still has time to come back.
//
//   std::vector<std::size_t> Order = sendingOrder(Calls, Now);
//   if (isWaitOver(Calls[I], Settings, Now)) refuse(...)

#ifndef GALENAROUTE_REQUEST_FORWARDQUEUE_H
#define GALENAROUTE_REQUEST_FORWARDQUEUE_H

#include "process/Clock.h"

#include <cstddef>
#include <span>
#include <vector>

namespace galenaroute {

/// A call that waits for an upstream.
struct WaitingCall {
  int Priority = 0; ///< 0 is the most urgent.
  TimePoint Arrived;
  TimePoint WaitingSince;
  TimePoint TargetAt; ///< An answer is late after this.
  TimePoint EndAt;    ///< The caller or the route gives up.
  /// How long its caller waits for a first sign; zero for as long as EndAt.
  Duration Patience{};
};

struct ForwardQueueSettings {
  /// Part of its whole time that a call may wait. The rest lets its caller
  /// come back once, and the call run.
  double MaxWaitShare = 0.25;
  /// Part of its caller's patience that a call may wait; the answer must begin
  /// in the rest.
  double MaxPatienceShare = 0.5;
  /// A call that is to be on time needs about this much of its target.
  double RunShare = 0.25;
  Duration LeastWait = std::chrono::milliseconds(40);
};

/// Returns the positions of \p Calls in the order in which to send them.
std::vector<std::size_t> sendingOrder(std::span<const WaitingCall> Calls,
                                      const ForwardQueueSettings &Settings,
                                      TimePoint Now);

/// Whether a call has waited for as long as it may.
bool isWaitOver(const WaitingCall &Call, const ForwardQueueSettings &Settings,
                TimePoint Now);

/// Returns when a refused caller should come back: the longer, the longer calls
/// wait now, within the part of its time that callers honour.
/// \p Draw is uniform in [0, 1).
Duration comeBackAfter(Duration OldestWait, Duration TimeLeft, double Draw);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_FORWARDQUEUE_H
