// Points and spans of time as decision code sees them.
//
// Decisions never read a clock; they take a TimePoint. The shell passes
// EventLoop::now(), tests pass what they like. Monotonic time orders events
// inside one process only; wall-clock time is used where a value leaves it.

#ifndef GALENAROUTE_PROCESS_CLOCK_H
#define GALENAROUTE_PROCESS_CLOCK_H

#include <chrono>
#include <ctime>

namespace galenaroute {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;

/// Returns \p Span in whole milliseconds, rounded up, so that a positive time
/// to wait never becomes zero.
inline std::int64_t toMilliseconds(Duration Span) {
  return std::chrono::ceil<Milliseconds>(Span).count();
}

/// Returns \p Span in seconds.
inline double toSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

/// Returns \p Seconds as a Duration.
inline Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

/// Returns \p Span times \p Factor.
inline Duration scaled(Duration Span, double Factor) {
  return fromSeconds(toSeconds(Span) * Factor);
}

/// Returns the Unix time in milliseconds.
inline std::int64_t wallMilliseconds() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Returns for how long the VM has been suspended since it started. Monotonic
/// time does not count a suspension.
inline Duration suspendedTime() {
  timespec Boot{};
  timespec Monotonic{};
  clock_gettime(CLOCK_MONOTONIC, &Monotonic);
  clock_gettime(CLOCK_BOOTTIME, &Boot);
  return std::chrono::seconds(Boot.tv_sec - Monotonic.tv_sec) +
         std::chrono::nanoseconds(Boot.tv_nsec - Monotonic.tv_nsec);
}

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_CLOCK_H
