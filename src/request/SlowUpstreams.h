// Detects upstreams that are slow compared with the others of their service.
//
//   updateShares(Tracker, SlowOptions{}, Now);    // every second or so
//
// The load reports of an upstream show a slowdown by a noisy neighbour late, so
// the speeds observed by this gateway are compared: prefill, decode, and for
// plain services the duration of calls. An upstream below a fraction of the
// median gets a share below 1 in Routing.h until it recovers. A slow upstream
// gets little work, so it is probed periodically with one request that is
// routed as if it had the median speed.
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

/// Returns the speed of each upstream relative to the medians: the minimum of
/// prefill, decode and calls, at most 1; 1 where nothing was observed.
std::vector<double> relativeSpeeds(const UpstreamTracker &Tracker);

/// Returns which upstreams are slow, given their relative speeds and which of
/// them were slow before: never more than half.
std::vector<bool> chooseSlow(std::span<const double> Speeds,
                             const std::vector<bool> &WasSlow,
                             const SlowOptions &Options);

/// Sets the share and the probe schedule of each upstream of \p Tracker.
void updateShares(UpstreamTracker &Tracker, const SlowOptions &Options,
                  TimePoint Now);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_SLOWUPSTREAMS_H
