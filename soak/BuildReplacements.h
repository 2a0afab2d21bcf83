// When the daemons of a soak with two builds are replaced, drawn from its seed.
//
//   for (const BuildReplacement &Each : drawReplacements(Seed, Daemons,
//   Length))
//     After(Each.At, ...);
//
// All begin with the old build, are replaced in turn by the new one, and then
// in another order by the old one again.

#ifndef GALENAROUTE_SOAK_BUILDREPLACEMENTS_H
#define GALENAROUTE_SOAK_BUILDREPLACEMENTS_H

#include "process/Clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace galenaroute::soak {

struct BuildReplacement {
  Duration At{}; ///< From the start of the time with faults.
  std::size_t Daemon = 0;
  bool IsToNew = false;
  bool Kills = false; ///< Else the daemon is asked to stop.
  Duration Away{};    ///< Until its successor starts.
};

/// Returns the replacements by time.
std::vector<BuildReplacement>
drawReplacements(std::uint64_t Seed, std::size_t Daemons, Duration Length);

} // namespace galenaroute::soak

#endif // GALENAROUTE_SOAK_BUILDREPLACEMENTS_H
