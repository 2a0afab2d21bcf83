// A link of limited bandwidth: transfers pass one after the other, so the time
// of one grows with what was asked for before it.

#ifndef GALENAROUTE_EMULATOR_LIMITEDLINK_H
#define GALENAROUTE_EMULATOR_LIMITEDLINK_H

#include "process/Clock.h"

#include <algorithm>
#include <cstdint>

namespace galenaroute::emulator {

class LimitedLink {
public:
  /// \p Mbps is in megabits per second and must be positive.
  explicit LimitedLink(double Mbps) : Mbps(Mbps) {}

  /// Takes the link for \p Bytes; returns the time until they have passed.
  Duration transfer(std::uint64_t Bytes, TimePoint Now) {
    const Duration Span =
        fromSeconds(static_cast<double>(Bytes) * 8 / (this->Mbps * 1e6));
    this->FreeAt = std::max(this->FreeAt, Now) + Span;
    this->Busy += Span;
    this->Bytes += Bytes;
    return this->FreeAt - Now;
  }

  void setMbps(double NewMbps) { this->Mbps = std::max(NewMbps, 0.001); }
  double mbps() const { return this->Mbps; }
  Duration busyTime() const { return this->Busy; }
  std::uint64_t bytes() const { return this->Bytes; }

private:
  double Mbps;
  TimePoint FreeAt{};
  Duration Busy{};
  std::uint64_t Bytes = 0;
};

} // namespace galenaroute::emulator

#endif // GALENAROUTE_EMULATOR_LIMITEDLINK_H
