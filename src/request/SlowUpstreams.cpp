#include "request/SlowUpstreams.h"

#include <algorithm>
#include <numeric>

namespace galenaroute {

/// Returns the median of the positive \p Values, the higher of the two middle
/// ones, or zero if there are fewer than three: with two values it is unknown
/// which one is the outlier.
static double medianOf(std::vector<double> Values) {
  std::erase_if(Values, [](double Value) { return Value <= 0; });
  if (Values.size() < 3)
    return 0;
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

std::vector<double> relativeSpeeds(const UpstreamTracker &Tracker) {
  std::vector<double> Prefill, Decode, Calls;
  for (const auto &[Name, Record] : Tracker.Upstreams) {
    Prefill.push_back(Record.ObservedPrefill);
    Decode.push_back(Record.ObservedDecode);
    // The duration of a prompt depends on its length, so it is used only for
    // calls without tokens.
    const bool IsPlain = Record.ObservedPrefill <= 0 &&
                         Record.ObservedDecode <= 0 &&
                         Record.MeanService > Duration::zero();
    Calls.push_back(IsPlain ? 1 / toSeconds(Record.MeanService) : 0);
  }
  std::vector<double> Speeds(Prefill.size(), 1);
  for (const std::vector<double> *Values : {&Prefill, &Decode, &Calls}) {
    const double Median = medianOf(*Values);
    for (std::size_t I = 0; I < Values->size(); ++I)
      if (Median > 0 && (*Values)[I] > 0)
        Speeds[I] = std::min(Speeds[I], (*Values)[I] / Median);
  }
  return Speeds;
}

std::vector<bool> chooseSlow(std::span<const double> Speeds,
                             const std::vector<bool> &WasSlow,
                             const SlowOptions &Options) {
  std::vector<std::size_t> Slowest;
  for (std::size_t I = 0; I < Speeds.size(); ++I)
    if (Speeds[I] < (WasSlow[I] ? Options.LeaveAbove : Options.EnterBelow))
      Slowest.push_back(I);
  std::stable_sort(
      Slowest.begin(), Slowest.end(),
      [&](std::size_t A, std::size_t B) { return Speeds[A] < Speeds[B]; });
  // Avoiding more than half would overload the rest and slow it down, too.
  Slowest.resize(std::min(Slowest.size(), Speeds.size() / 2));
  std::vector<bool> Slow(Speeds.size(), false);
  for (const std::size_t I : Slowest)
    Slow[I] = true;
  return Slow;
}

void updateShares(UpstreamTracker &Tracker, const SlowOptions &Options,
                  TimePoint Now) {
  const std::vector<double> All = relativeSpeeds(Tracker);
  std::vector<UpstreamRecord *> Records;
  std::vector<double> Speeds;
  std::vector<bool> WasSlow;
  std::vector<double> Prefill;
  std::size_t I = 0;
  for (auto &[Name, Record] : Tracker.Upstreams) {
    const double Speed = All[I++];
    if (!Record.Live) {
      Record.Share = 1;
      continue;
    }
    WasSlow.push_back(Record.Share < 1);
    Records.push_back(&Record);
    Speeds.push_back(Speed);
    Prefill.push_back(Record.ObservedPrefill);
  }
  const std::vector<bool> Slow = chooseSlow(Speeds, WasSlow, Options);
  const double MedianPrefill = medianOf(Prefill);
  for (std::size_t J = 0; J < Records.size(); ++J) {
    UpstreamRecord &Record = *Records[J];
    if (!Slow[J]) {
      Record.Share = 1;
      Record.ProbeAt = {};
      Record.ProbeInterval = {};
      continue;
    }
    if (Record.Share >= 1) {
      Record.ProbeInterval = Options.InitialProbeInterval;
      Record.ProbeAt = Now + Record.ProbeInterval;
    }
    Record.Share = std::clamp(Speeds[J], Options.MinShare, 0.99);
    Record.ProbeSpeed = MedianPrefill;
    Record.MaxProbeInterval = Options.MaxProbeInterval;
  }
}

} // namespace galenaroute
