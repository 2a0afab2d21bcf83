#include "request/ForwardQueue.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace galenaroute {

/// Retry-After: at least this, and up to as much again at random, so that
/// callers do not come back together.
static constexpr Duration LeastComeBack = std::chrono::milliseconds(250);
/// Callers honour a Retry-After of up to a third of the time they have left.
static constexpr double HonouredShare = 0.3;

std::vector<std::size_t> sendingOrder(std::span<const WaitingCall> Calls,
                                      const ForwardQueueSettings &Settings,
                                      TimePoint Now) {
  std::vector<std::size_t> Order(Calls.size());
  std::iota(Order.begin(), Order.end(), 0);
  const auto Key = [&](std::size_t I) {
    const WaitingCall &Call = Calls[I];
    const Duration Run =
        scaled(Call.TargetAt - Call.Arrived, Settings.RunShare);
    const bool IsLate = Now + Run > Call.TargetAt;
    return std::tuple(IsLate, Call.Priority, Call.TargetAt);
  };
  std::stable_sort(
      Order.begin(), Order.end(),
      [&](std::size_t A, std::size_t B) { return Key(A) < Key(B); });
  return Order;
}

/// How long \p Call may wait.
static Duration longestWait(const WaitingCall &Call,
                            const ForwardQueueSettings &Settings) {
  Duration Most = scaled(Call.EndAt - Call.Arrived, Settings.MaxWaitShare);
  if (Call.Patience > Duration::zero())
    Most = std::min(Most, scaled(Call.Patience, Settings.MaxPatienceShare));
  return std::max(Most, Settings.LeastWait);
}

bool isWaitOver(const WaitingCall &Call, const ForwardQueueSettings &Settings,
                TimePoint Now) {
  return Now - Call.WaitingSince >= longestWait(Call, Settings) ||
         Now >= Call.EndAt;
}

Duration comeBackAfter(Duration OldestWait, Duration TimeLeft, double Draw) {
  const Duration Wanted = scaled(LeastComeBack + OldestWait * 2, 1 + Draw);
  return std::max(LeastComeBack,
                  std::min(Wanted, scaled(TimeLeft, HonouredShare)));
}

} // namespace galenaroute
