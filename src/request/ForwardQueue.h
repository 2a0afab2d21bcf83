// Decides the order in which queued calls are sent, and when a queued call
// times out.
//
//   std::vector<std::size_t> Order = sendingOrder(Calls, Settings, Now);
//   if (hasQueueTimedOut(Calls[I], Settings, Now)) refuse(...)
//
// Designed for overload: demand that doubles within seconds, or half of the
// engines reloading weights. First-come order would then make every call late.
// Calls that can still meet their target therefore go first, by priority, and
// calls that are late anyway use the remaining capacity. Among calls of equal
// lateness and priority, those of customers below their share go first; of
// these, calls with less than half of their target left go by work, since more
// of them can still be on time. A call is refused while its caller still has
// time to retry; calls of customers far beyond their share are refused earlier.

#ifndef GALENAROUTE_REQUEST_FORWARDQUEUE_H
#define GALENAROUTE_REQUEST_FORWARDQUEUE_H

#include "process/Clock.h"
#include "request/CustomerShares.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace galenaroute {

/// A call in the queue for an upstream.
struct WaitingCall {
  int Priority = 0; ///< 0 is the most urgent.
  /// The call's priorityClass(), if the service has several priorities.
  std::optional<std::size_t> Class;
  Duration Work{};     ///< Engine time by its tokens; set with Class.
  Duration SlotTime{}; ///< Time in a slot of the calls of its class, if known.
  TimePoint Arrived;
  TimePoint WaitingSince;
  TimePoint TargetAt; ///< An answer is late after this.
  TimePoint Deadline; ///< Of the caller or the route.
  /// How long its caller waits for the first event; zero: until Deadline.
  Duration Patience{};
  /// Of its customer, see CustomerUse; the same for all calls where customers
  /// have no shares.
  ShareLevel Share = ShareLevel::Beyond;
};

struct ForwardQueueSettings {
  /// Fraction of its total time that a call may wait. The rest leaves time for
  /// one retry by the caller and for the run.
  double MaxWaitShare = 0.25;
  /// Fraction of the caller's first-event timeout that a call may wait; the
  /// answer must begin in the rest.
  double MaxPatienceShare = 0.5;
  /// Fraction of its target that a call needs to run on time, approximately.
  double RunShare = 0.25;
  /// Calls with a smaller fraction of their target left are ordered by work.
  double OrderByWorkShare = 0.5;
  Duration MinWait = std::chrono::milliseconds(40);
  /// Fraction of the time that a call may wait after which its customer lacks
  /// capacity. Calls of customers that go first wait less.
  double LongWaitShare = 0.25;
};

/// Returns the positions of \p Calls in the order in which to send them.
std::vector<std::size_t> sendingOrder(std::span<const WaitingCall> Calls,
                                      const ForwardQueueSettings &Settings,
                                      TimePoint Now);

/// Returns whether \p Queued goes before the new call \p Next.
bool goesBefore(const WaitingCall &Queued, const WaitingCall &Next,
                const ForwardQueueSettings &Settings, TimePoint Now);

/// Returns how long a call may be queued.
Duration maxQueueWait(const WaitingCall &Call,
                      const ForwardQueueSettings &Settings);

/// Returns when a call becomes unlikely to meet its target, and goes after all
/// that still can.
TimePoint lateFrom(const WaitingCall &Call,
                   const ForwardQueueSettings &Settings);

/// Returns whether a call has waited for as long as it may.
bool hasQueueTimedOut(const WaitingCall &Call,
                      const ForwardQueueSettings &Settings, TimePoint Now);

/// Returns whether a call has waited for so long that its customer lacks
/// capacity.
bool hasWaitedLong(const WaitingCall &Call,
                   const ForwardQueueSettings &Settings, TimePoint Now);

/// Returns the Retry-After delay of a refused call. It grows with the current
/// queueing delay, up to the fraction of their time that callers honour.
/// \p Draw is uniform in [0, 1).
Duration retryAfterDelay(Duration LongestWait, Duration TimeLeft, double Draw);

/// Returns the Retry-After delay of a call that would wait for \p Excess longer
/// than it may, within the same bounds. \p Draw is uniform in [0, 1).
Duration backlogRetryAfter(Duration Excess, Duration TimeLeft, double Draw);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_FORWARDQUEUE_H
