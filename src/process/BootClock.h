// Time that also advances while the VM is suspended, and the detection of
// periods in which the process did not run.
//
//   StallDetector Stalls(BootClock::now());
//   if (Stalls.observe(BootClock::now())) ...  // several times a second
//
// Ages that other VMs rely on are measured with BootClock. Its times are
// comparable only within one VM.

#ifndef GALENAROUTE_PROCESS_BOOTCLOCK_H
#define GALENAROUTE_PROCESS_BOOTCLOCK_H

#include "process/Clock.h"

#include <optional>

namespace galenaroute {

/// Monotonic time that also advances while the VM is suspended.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;

  static time_point now() {
    timespec Boot{};
    clock_gettime(CLOCK_BOOTTIME, &Boot);
    return time_point(std::chrono::seconds(Boot.tv_sec) +
                      std::chrono::nanoseconds(Boot.tv_nsec));
  }
};
using BootTime = BootClock::time_point;

/// Upper limit of an age that another process reports; larger numbers would
/// overflow a time.
inline constexpr Milliseconds MaxReportedAge = std::chrono::hours(24);

/// Detects periods in which the process did not run: it was stopped, or its VM
/// was frozen or suspended.
class StallDetector {
public:
  /// Shorter periods may be the work of one event.
  static constexpr Duration MinStall = std::chrono::milliseconds(1000);

  explicit StallDetector(BootTime Now) : SeenAt(Now) {}

  /// To be called several times a second. Returns whether a stall has ended.
  bool observe(BootTime Now) {
    const bool HasStalled = Now - this->SeenAt >= MinStall;
    if (HasStalled) {
      this->BeganAt = this->SeenAt;
      this->EndedAt = Now;
    }
    this->SeenAt = Now;
    return HasStalled;
  }

  /// Returns when a stall began that ended less than \p Within before \p Now,
  /// or nothing.
  std::optional<BootTime> recentStall(BootTime Now, Duration Within) const {
    if (!this->EndedAt || Now - *this->EndedAt >= Within)
      return std::nullopt;
    return this->BeganAt;
  }

private:
  BootTime SeenAt;
  BootTime BeganAt;
  std::optional<BootTime> EndedAt;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_BOOTCLOCK_H
