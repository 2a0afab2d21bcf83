#include "request/ForwardQueue.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace galenaroute {

/// Lower bound of Retry-After. Jitter of up to 100 % is added so that callers
/// do not retry at the same time.
static constexpr Duration MinRetryAfter = std::chrono::milliseconds(250);
/// Callers honour a Retry-After of up to a third of their remaining time.
static constexpr double HonouredTimeShare = 0.3;

TimePoint lateFrom(const WaitingCall &Call,
                   const ForwardQueueSettings &Settings) {
  return Call.TargetAt -
         scaled(Call.TargetAt - Call.Arrived, Settings.RunShare);
}

/// Returns whether \p Call is unlikely to meet its target.
static bool isLate(const WaitingCall &Call,
                   const ForwardQueueSettings &Settings, TimePoint Now) {
  return Now > lateFrom(Call, Settings);
}

/// Returns whether \p Call, which is on time, is ordered by its work. Such
/// calls go before others of the same priority, whose targets are further away.
static bool isOrderedByWork(const WaitingCall &Call,
                            const ForwardQueueSettings &Settings,
                            TimePoint Now) {
  return Call.Class && !isLate(Call, Settings, Now) &&
         Call.TargetAt - Now <
             scaled(Call.TargetAt - Call.Arrived, Settings.OrderByWorkShare);
}

bool goesBefore(const WaitingCall &Queued, const WaitingCall &Next,
                const ForwardQueueSettings &Settings, TimePoint Now) {
  return std::tuple(isLate(Queued, Settings, Now), Queued.Priority,
                    Queued.Share) <=
         std::tuple(isLate(Next, Settings, Now), Next.Priority, Next.Share);
}

std::vector<std::size_t> sendingOrder(std::span<const WaitingCall> Calls,
                                      const ForwardQueueSettings &Settings,
                                      TimePoint Now) {
  std::vector<std::size_t> Order(Calls.size());
  std::iota(Order.begin(), Order.end(), 0);
  const auto Key = [&](std::size_t I) {
    const WaitingCall &Call = Calls[I];
    const bool ByWork = isOrderedByWork(Call, Settings, Now);
    return std::tuple(isLate(Call, Settings, Now), Call.Priority, Call.Share,
                      !ByWork, ByWork ? Call.Work : Duration::zero(),
                      Call.TargetAt);
  };
  std::stable_sort(
      Order.begin(), Order.end(),
      [&](std::size_t A, std::size_t B) { return Key(A) < Key(B); });
  return Order;
}

Duration maxQueueWait(const WaitingCall &Call,
                      const ForwardQueueSettings &Settings) {
  Duration Limit = scaled(Call.Deadline - Call.Arrived, Settings.MaxWaitShare);
  if (Call.Patience > Duration::zero())
    Limit = std::min(Limit, scaled(Call.Patience, Settings.MaxPatienceShare));
  return std::max(scaled(Limit, waitLimitShare(Call.Share)), Settings.MinWait);
}

bool hasQueueTimedOut(const WaitingCall &Call,
                      const ForwardQueueSettings &Settings, TimePoint Now) {
  return Now - Call.WaitingSince >= maxQueueWait(Call, Settings) ||
         Now >= Call.Deadline;
}

bool hasWaitedLong(const WaitingCall &Call,
                   const ForwardQueueSettings &Settings, TimePoint Now) {
  return Now - Call.WaitingSince >=
         scaled(maxQueueWait(Call, Settings), Settings.LongWaitShare);
}

Duration retryAfterDelay(Duration LongestWait, Duration TimeLeft, double Draw) {
  const Duration Wanted = scaled(MinRetryAfter + LongestWait * 2, 1 + Draw);
  return std::max(MinRetryAfter,
                  std::min(Wanted, scaled(TimeLeft, HonouredTimeShare)));
}

Duration backlogRetryAfter(Duration Excess, Duration TimeLeft, double Draw) {
  const Duration Limit =
      std::max(MinRetryAfter, scaled(TimeLeft, HonouredTimeShare));
  // Half of the limit leaves room for the jitter.
  const Duration Delay =
      std::max(MinRetryAfter, std::min(Excess, scaled(Limit, 0.5)));
  return std::min(Limit, scaled(Delay, 1 + Draw));
}

} // namespace galenaroute
