// Time types and conversions.
//
// Decision logic never reads a clock; it takes a TimePoint. Callers pass
// EventLoop::now(), tests pass any time. Monotonic time is comparable only
// within one process; wall-clock time is used for values that leave it.

#ifndef GALENAROUTE_PROCESS_CLOCK_H
#define GALENAROUTE_PROCESS_CLOCK_H

#include <chrono>
#include <ctime>

namespace galenaroute {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;

/// Returns \p Span in whole milliseconds, rounded up, so that a positive delay
/// never becomes zero.
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

/// Returns the total time for which the VM has been suspended since boot.
/// Monotonic time doesn't advance during a suspension.
inline Duration suspendedTime() {
  timespec Boot{};
  timespec Monotonic{};
  clock_gettime(CLOCK_MONOTONIC, &Monotonic);
  clock_gettime(CLOCK_BOOTTIME, &Boot);
  return std::chrono::seconds(Boot.tv_sec - Monotonic.tv_sec) +
         std::chrono::nanoseconds(Boot.tv_nsec - Monotonic.tv_nsec);
}

/// Detects that the VM was suspended, which the monotonic clock does not show.
class SuspensionDetector {
public:
  /// Returns whether the VM was suspended since the last call, or since the
  /// construction.
  bool wasSuspended() {
    const Duration Before = this->Last;
    this->Last = suspendedTime();
    return this->Last - Before > Noise;
  }

private:
  /// Differences of suspendedTime() up to this are measurement noise.
  static constexpr Duration Noise = std::chrono::milliseconds(50);

  Duration Last = suspendedTime();
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_CLOCK_H
