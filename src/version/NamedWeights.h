// Decision: which weights of a model may still be used.
//
// New weights may be named before the ones before them are everywhere, and
// each naming has its own time limit. Bounded: what every engine has left
// behind is forgotten.

#ifndef GALENAROUTE_VERSION_NAMEDWEIGHTS_H
#define GALENAROUTE_VERSION_NAMEDWEIGHTS_H

#include "process/Clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace galenaroute {

/// The weights of one model that were named, and when.
struct NamedWeights {
  std::map<std::uint64_t, TimePoint> NamedAt; ///< By version.

  std::uint64_t newest() const {
    return this->NamedAt.empty() ? 0 : this->NamedAt.rbegin()->first;
  }
};

inline constexpr std::size_t MaxNamedWeights = 16;

/// Notes that \p Version was named; ignores one that is not newer.
inline void noteNamed(NamedWeights &Weights, std::uint64_t Version,
                      TimePoint Now) {
  if (Version <= Weights.newest())
    return;
  Weights.NamedAt[Version] = Now;
  if (Weights.NamedAt.size() > MaxNamedWeights)
    Weights.NamedAt.erase(Weights.NamedAt.begin());
}

/// Takes in when versions were named, as another process wrote it down: Unix
/// milliseconds by version. \p WallMs is the time of day at \p Now. Versions
/// that are not in \p History are left as they are.
inline void restoreNamed(NamedWeights &Weights,
                         const std::map<std::uint64_t, std::int64_t> &History,
                         std::int64_t WallMs, TimePoint Now) {
  for (const auto &[Version, NamedMs] : History)
    Weights.NamedAt[Version] =
        Now -
        std::chrono::milliseconds(std::max<std::int64_t>(0, WallMs - NamedMs));
  while (Weights.NamedAt.size() > MaxNamedWeights)
    Weights.NamedAt.erase(Weights.NamedAt.begin());
}

/// Returns when the first weights newer than \p Version were named; nothing
/// when there are none.
inline std::optional<TimePoint> supersededAt(const NamedWeights &Weights,
                                             std::uint64_t Version) {
  const auto Next = Weights.NamedAt.upper_bound(Version);
  if (Next == Weights.NamedAt.end())
    return std::nullopt;
  return Next->second;
}

/// Returns the oldest version that may be used when each must be given up
/// within \p Limit after a newer one was named.
inline std::uint64_t leastAllowed(const NamedWeights &Weights, Duration Limit,
                                  TimePoint Now) {
  std::uint64_t Least = 0;
  for (const auto &[Version, Since] : Weights.NamedAt)
    if (Now - Since > Limit)
      Least = Version;
  return Least;
}

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_NAMEDWEIGHTS_H
