// Decides which weight versions of a model may still be used.
//
//   noteAnnounced(Weights, Version, {Now, AnnouncementSource::Observed});
//   const std::uint64_t Oldest = oldestAllowed(Weights, Limit, Now);
//   mergeNotices(WeightsByModel, weightNotices(...), Now);  // from a peer
//
// A version is announced once, for the whole fleet, but each process learns of
// it at another time, some of them much later: they were frozen, cut off or not
// yet started. Processes therefore tell each other the ages of the versions
// that they know, and all use the earliest observation.
//
// A new version may be announced before all engines have loaded the one before
// it; each announcement has its own time limit. Guarantees: merging is
// idempotent and independent of the order; a date known from a weaker source
// never replaces one from a stronger source; at most MaxAnnouncedWeights
// versions of a model are recorded, the oldest ones are dropped.

#ifndef GALENAROUTE_VERSION_ANNOUNCEDWEIGHTS_H
#define GALENAROUTE_VERSION_ANNOUNCEDWEIGHTS_H

#include "process/BootClock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenaroute {

/// How the time of an announcement is known, weakest first.
enum class AnnouncementSource {
  Assumed,  ///< Found at a start or after a stall: the earliest possible time.
  Stored,   ///< Stored on the platform, as a time of day.
  Observed, ///< Seen by a running process of the fleet.
};

struct Announcement {
  BootTime At;
  AnnouncementSource Source = AnnouncementSource::Observed;
};

/// The announced weight versions of one model.
struct AnnouncedWeights {
  std::map<std::uint64_t, Announcement> Announced; ///< By version.

  std::uint64_t newest() const {
    return this->Announced.empty() ? 0 : this->Announced.rbegin()->first;
  }
};

/// The announced weight versions by model.
using AnnouncedWeightsByModel = std::map<std::string, AnnouncedWeights>;

inline constexpr std::size_t MaxAnnouncedWeights = 16;
/// Models known from other processes only, beyond which notices are ignored.
inline constexpr std::size_t MaxNoticedModels = 64;
/// Notices sent for one model, those of its newest versions.
inline constexpr std::size_t MaxNoticesPerModel = 4;

/// Tells another process how long ago a version was announced. Carries an age
/// instead of a time, since the clocks of VMs differ.
struct WeightNotice {
  std::string Model;
  std::uint64_t Version = 0;
  Milliseconds Age{};
};

/// What a process knows of the time before it read a version on the platform.
struct WeightsReading {
  bool IsFirst = false; ///< Nothing was read before: the process has started.
  /// Since when the process may have missed the announcement: it stood still,
  /// or the platform answered other processes only.
  std::optional<BootTime> MissedSince;
};

/// Records a version that the platform names at \p Now. One that was found at
/// the start, or whose announcement may have been missed, is dated as early as
/// possible, since that date must not replace one that another process stored;
/// \p Limit is the age at which older weights are out of use. A version that is
/// not newer than the known ones keeps its date, since the platform also lists
/// unchanged objects again. Returns the date of a new version.
std::optional<Announcement> noteNamed(AnnouncedWeights &Weights,
                                      std::uint64_t Version,
                                      const WeightsReading &Reading,
                                      Duration Limit, BootTime Now);

/// Records when \p Version was announced, unless a stronger source or an
/// earlier time of the same source is known. Returns whether anything changed.
bool noteAnnounced(AnnouncedWeights &Weights, std::uint64_t Version,
                   Announcement Seen);

/// Restores the announcement times that a process stored in \p History: Unix
/// milliseconds by version. \p WallMs is the wall-clock time at \p Now, which
/// may be behind that of the writer by \p MaxClockError.
void restoreAnnounced(AnnouncedWeights &Weights,
                      const std::map<std::uint64_t, std::int64_t> &History,
                      std::int64_t WallMs, Duration MaxClockError,
                      BootTime Now);

/// Returns when \p Known was observed by whoever dated it, to store that time
/// again: without the allowance of restoreAnnounced() for clock errors.
BootTime observedAt(const Announcement &Known, Duration MaxClockError);

/// Returns when the first version newer than \p Version was announced, or
/// nothing.
std::optional<BootTime> supersededAt(const AnnouncedWeights &Weights,
                                     std::uint64_t Version);

/// Returns the oldest version that may be used if each one must be out of use
/// within \p Limit after a newer one was announced.
std::uint64_t oldestAllowed(const AnnouncedWeights &Weights, Duration Limit,
                            BootTime Now);

/// Returns the notices for other processes on versions that were observed at
/// most \p MaxAge ago.
std::vector<WeightNotice> weightNotices(const AnnouncedWeightsByModel &All,
                                        Duration MaxAge, BootTime Now);

/// Merges the notices of another process. Their dates count as \p Source: one
/// that may be late is assumed. Returns whether anything changed.
bool mergeNotices(AnnouncedWeightsByModel &All,
                  std::span<const WeightNotice> Notices, BootTime Now,
                  AnnouncementSource Source = AnnouncementSource::Observed);

/// Returns the form of \p Source that log lines use.
std::string_view toString(AnnouncementSource Source);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_ANNOUNCEDWEIGHTS_H
