#include "version/PartLease.h"

#include "version/AnnouncedWeights.h"

#include <algorithm>

namespace galenaroute {

/// A confirmation that another process passes on may have waited for this long
/// in a network or in the socket of a process that stood still, unnoticed.
static constexpr Duration MaxConfirmationTransit = std::chrono::seconds(2);

PartLeaseTimes partLeaseTimes(Duration WeightsLimit) {
  return {.UseTime = WeightsLimit - MaxConfirmationTransit,
          .KeepTime = WeightsLimit};
}

void confirm(PartLease &Lease, BootTime AsOf) {
  if (!Lease.ConfirmedAt || *Lease.ConfirmedAt < AsOf)
    Lease.ConfirmedAt = AsOf;
}

void noteVersion(PartLease &Lease, const std::string &Model,
                 std::uint64_t Version, BootTime Now) {
  if (!Lease.Known.contains(Model) && Lease.Known.size() >= MaxNoticedModels)
    return;
  auto &Versions = Lease.Known[Model];
  Versions.try_emplace(Version, KnownWeights{Now, Lease.ConfirmedAt});
  if (Versions.size() > MaxAnnouncedWeights)
    Versions.erase(Versions.begin());
}

Duration usableFor(const PartLease &Lease, const PartLeaseTimes &Times,
                   const std::string &Model, std::uint64_t Version,
                   BootTime Now) {
  if (!Lease.ConfirmedAt)
    return Duration::zero();
  BootTime Since = *Lease.ConfirmedAt;
  if (const auto Found = Lease.Known.find(Model); Found != Lease.Known.end()) {
    const auto &Versions = Found->second;
    // A dropped version may have superseded it.
    if (Versions.size() >= MaxAnnouncedWeights &&
        Version < Versions.begin()->first)
      return Duration::zero();
    for (auto Newer = Versions.upper_bound(Version); Newer != Versions.end();
         ++Newer) {
      if (!Newer->second.UnnamedAt)
        return Duration::zero();
      Since = std::min(Since, *Newer->second.UnnamedAt);
    }
  }
  return std::max<Duration>(Duration::zero(), Since + Times.UseTime - Now);
}

std::uint64_t oldestKept(const PartLease &Lease, const PartLeaseTimes &Times,
                         const std::string &Model, BootTime Now) {
  std::uint64_t Oldest = 0;
  if (const auto Found = Lease.Known.find(Model); Found != Lease.Known.end())
    for (const auto &[Version, Known] : Found->second)
      if (Now - Known.LearnedAt >= Times.KeepTime)
        Oldest = Version;
  return Oldest;
}

} // namespace galenaroute
