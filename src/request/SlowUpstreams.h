// Which upstreams are slow compared with the others of their service.
//
//   updateShares(Tracker, SlowOptions{}, Now);    // every second or so
//
// An upstream slowed by a noisy neighbour shows it late in its load reports,
// so speeds that this entry observed decide: prefill, decode, and for plain
// services the time of a call. An upstream below a part of the median gets a
// share below 1 in Routing.h until it is fast again. Because a slow upstream
// gets little work, it is probed: from time to time one request is sent as
// though it had the median speed.
//
// Guarantee: at most half of the live upstreams, rounded down, have a share
// below 1 at any time.

#ifndef GALENAROUTE_REQUEST_SLOWUPSTREAMS_H
#define GALENAROUTE_REQUEST_SLOWUPSTREAMS_H

#include "request/UpstreamTracker.h"

namespace galenaroute {

struct SlowOptions {
  // Hysteresis: an upstream near one threshold would otherwise change state
  // with every sample.
  double EnterBelow = 0.5;
  double LeaveAbove = 0.75;
  double MinShare = 0.05;
  Duration InitialProbeInterval = std::chrono::seconds(1);
  Duration MaxProbeInterval = std::chrono::seconds(8);
};

/// Returns the speed of each upstream relative to the medians: the lowest of
/// prefill, decode and calls, and at most 1; 1 where nothing is known.
std::vector<double> relativeSpeeds(const UpstreamTracker &Tracker);

/// Returns which upstreams to weight down, given their relative speeds and
/// which of them are weighted down now: never more than half.
std::vector<bool> chooseSlow(std::span<const double> Speeds,
                             const std::vector<bool> &WasSlow,
                             const SlowOptions &Options);

/// Sets the share and the probe of each upstream of \p Tracker.
void updateShares(UpstreamTracker &Tracker, const SlowOptions &Options,
                  TimePoint Now);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_SLOWUPSTREAMS_H
