// Random numbers of the emulators: one seeded generator per process, so that a
// run repeats.

#ifndef GALENAROUTE_EMULATOR_RANDOM_H
#define GALENAROUTE_EMULATOR_RANDOM_H

#include <random>

namespace galenaroute::emulator {

using Random = std::mt19937_64;

/// Returns true with probability \p Share, which is from 0 to 1.
bool happens(Random &Generator, double Share);

} // namespace galenaroute::emulator

#endif // GALENAROUTE_EMULATOR_RANDOM_H
