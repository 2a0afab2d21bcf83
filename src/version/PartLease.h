// Decides until when stored KV cache parts of a weight version may be used, and
// when they may be freed.
//
//   noteVersion(Lease, Model, Version, Now); // when a version is heard of
//   confirm(Lease, AsOf);         // all that was named until AsOf is known
//   usableFor(Lease, Times, Model, Version, Now); // before a fetch
//   oldestKept(Lease, Times, Model, Now);         // before a free
//
// Any process may be cut off from the others, stand still or start, so none can
// be asked whether it still uses a part. Instead, the right to use the parts of
// a version ends by itself: UseTime after the last moment at which the process
// knows that no newer version had been named. It is renewed by each answer of
// the platform. A process frees the parts of a version KeepTime after it
// learned of a newer one. A version is learned after it was named and rights
// are renewed before that, so every right has ended KeepTime - UseTime before
// the first free, whatever the two processes know of each other.
//
// All times are of BootClock, which goes on while a process or its VM is
// suspended.
//
// Guarantees: memory is bounded by MaxAnnouncedWeights versions of
// MaxNoticedModels models. A version that is dropped only shortens rights and
// delays frees.

#ifndef GALENAROUTE_VERSION_PARTLEASE_H
#define GALENAROUTE_VERSION_PARTLEASE_H

#include "process/BootClock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace galenaroute {

struct PartLeaseTimes {
  /// How long parts may be used after the last confirmation.
  Duration UseTime = std::chrono::seconds(13);
  /// How long parts are kept after newer weights became known. The difference
  /// to UseTime covers the time that a confirmation travels between processes.
  Duration KeepTime = std::chrono::seconds(15);
};

/// Returns the times for weights that go out of use within \p WeightsLimit
/// after newer ones were named.
PartLeaseTimes partLeaseTimes(Duration WeightsLimit);

/// What a process knows of a named weight version.
struct KnownWeights {
  BootTime LearnedAt; ///< When this process first heard of the version.
  /// The last moment at which the version is known not to have been named;
  /// nothing if it was found at the start.
  std::optional<BootTime> UnnamedAt;
};

struct PartLease {
  /// The latest moment for which all named versions are known.
  std::optional<BootTime> ConfirmedAt;
  /// The named versions by model.
  std::map<std::string, std::map<std::uint64_t, KnownWeights>> Known;
};

/// Notes that all versions that were named until \p AsOf are known.
void confirm(PartLease &Lease, BootTime AsOf);

/// Notes that this process has heard of \p Version at \p Now, from the platform
/// or from another process. Repeated calls have no effect.
void noteVersion(PartLease &Lease, const std::string &Model,
                 std::uint64_t Version, BootTime Now);

/// Returns how long from \p Now on stored parts that were computed with \p
/// Version may be used; zero if they may not.
Duration usableFor(const PartLease &Lease, const PartLeaseTimes &Times,
                   const std::string &Model, std::uint64_t Version,
                   BootTime Now);

/// Returns the oldest version whose parts must be kept; those of older ones are
/// no longer used by any process.
std::uint64_t oldestKept(const PartLease &Lease, const PartLeaseTimes &Times,
                         const std::string &Model, BootTime Now);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_PARTLEASE_H
