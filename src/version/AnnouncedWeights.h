// Decides which weight versions of a model may still be used.
//
//   recordAnnounced(Weights, Version, Now);
//   const std::uint64_t Oldest = oldestAllowed(Weights, Limit, Now);
//
// A new version may be announced before all engines have loaded the one before
// it; each announcement has its own time limit. Guarantees: at most
// MaxAnnouncedWeights versions are recorded; the oldest ones are dropped.

#ifndef GALENAROUTE_VERSION_ANNOUNCEDWEIGHTS_H
#define GALENAROUTE_VERSION_ANNOUNCEDWEIGHTS_H

#include "process/Clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace galenaroute {

/// The announced weight versions of one model.
struct AnnouncedWeights {
  std::map<std::uint64_t, TimePoint> AnnouncedAt; ///< Announcement by version.

  std::uint64_t newest() const {
    return this->AnnouncedAt.empty() ? 0 : this->AnnouncedAt.rbegin()->first;
  }
};

inline constexpr std::size_t MaxAnnouncedWeights = 16;

/// Records the announcement of \p Version; ignores a version that is not newer.
inline void recordAnnounced(AnnouncedWeights &Weights, std::uint64_t Version,
                            TimePoint Now) {
  if (Version <= Weights.newest())
    return;
  Weights.AnnouncedAt[Version] = Now;
  if (Weights.AnnouncedAt.size() > MaxAnnouncedWeights)
    Weights.AnnouncedAt.erase(Weights.AnnouncedAt.begin());
}

/// Restores the announcement times that another process stored in \p History:
/// Unix milliseconds by version. \p WallMs is the wall-clock time at \p Now.
/// Versions that are not in \p History are left unchanged.
inline void
restoreAnnounced(AnnouncedWeights &Weights,
                 const std::map<std::uint64_t, std::int64_t> &History,
                 std::int64_t WallMs, TimePoint Now) {
  for (const auto &[Version, AnnouncedMs] : History)
    Weights.AnnouncedAt[Version] =
        Now - std::chrono::milliseconds(
                  std::max<std::int64_t>(0, WallMs - AnnouncedMs));
  while (Weights.AnnouncedAt.size() > MaxAnnouncedWeights)
    Weights.AnnouncedAt.erase(Weights.AnnouncedAt.begin());
}

/// Returns when the first version newer than \p Version was announced, or
/// nothing.
inline std::optional<TimePoint> supersededAt(const AnnouncedWeights &Weights,
                                             std::uint64_t Version) {
  const auto Next = Weights.AnnouncedAt.upper_bound(Version);
  if (Next == Weights.AnnouncedAt.end())
    return std::nullopt;
  return Next->second;
}

/// Returns the oldest version that may be used if each one must be out of use
/// within \p Limit after a newer one was announced.
inline std::uint64_t oldestAllowed(const AnnouncedWeights &Weights,
                                   Duration Limit, TimePoint Now) {
  std::uint64_t Oldest = 0;
  for (const auto &[Version, Since] : Weights.AnnouncedAt)
    if (Now - Since > Limit)
      Oldest = Version;
  return Oldest;
}

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_ANNOUNCEDWEIGHTS_H
