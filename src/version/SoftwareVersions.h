// The software versions of the upstreams of a service, by which it is known
// whether all streams of the service were begun by one version.
//
//   noteRegistered(Versions, "1.4", Now);
//   if (mayBeginStream(Versions, "1.4", Clocks)) ...
//   if (const auto Only = onlyVersion(Versions, CompleteUntil, Clocks)) ...
//
// The platform stores a set of versions for each service. A process begins a
// stream at a version only SettleTime after it has read that the version is in
// the set, and takes the only version in the set for the origin of a stream
// only up to MaxViewAge, which is less, after the moment until which its view
// of the set is complete. A version that this view lacks was stored after that
// moment, so that no stream of it can have begun yet, whoever was cut off or
// stood still meanwhile. Both times are measured by clocks that also advance
// during a suspension, each within one process.
//
// A version stays in the set until no upstream with it was registered for as
// long as its streams may be taken up.

#ifndef GALENAROUTE_VERSION_SOFTWAREVERSIONS_H
#define GALENAROUTE_VERSION_SOFTWAREVERSIONS_H

#include "process/BootClock.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace galenaroute {

/// The stored set of a service.
struct StoredVersions {
  /// When each version was added, in Unix milliseconds; zero for those that no
  /// view of the set lacks.
  std::map<std::string, std::int64_t> AddedMs;
  /// No version is missing whose streams began after this time; zero if none
  /// can be missing. A platform that was restored from a copy has lost what it
  /// stored before.
  std::int64_t CompleteSinceMs = 0;

  bool operator==(const StoredVersions &) const = default;
};

struct SoftwareVersions {
  /// From reading that a version is stored to its first stream, see above.
  static constexpr Duration SettleTime = std::chrono::milliseconds(1000);
  static constexpr Duration MaxViewAge = std::chrono::milliseconds(800);
  /// The same beside gateways of an earlier build, which begin streams at a
  /// version as soon as it registers; counted from the attempt that takes up a
  /// stream. Such a stream would have to begin, break off and be taken up
  /// within this time.
  static constexpr Duration MaxUnsettledViewAge =
      std::chrono::milliseconds(250);
  /// A write without an answer may take effect so much later than the time at
  /// which it says that a version was added.
  static constexpr Duration MaxWriteDelay = std::chrono::seconds(30);

  /// The set in the present era of the platform, if there is one.
  std::optional<StoredVersions> Stored;
  /// When this process first read that a version is stored.
  std::map<std::string, BootTime> ReadAt;
  /// The same as StoredVersions::AddedMs, of earlier eras.
  std::map<std::string, std::int64_t> EarlierAddedMs;
  /// Versions that have settled. A restoration of the platform does not change
  /// that their streams exist.
  std::set<std::string> Settled;
  /// An earlier build has stored a set, in which no version is missing.
  bool HasEarlierSet = false;
  /// Since when this process knows of each version, stored or registered.
  std::map<std::string, TimePoint> KnownSince;
  /// When this process last saw each version registered.
  std::map<std::string, TimePoint> RegisteredAt;
};

/// The clocks by which decisions on versions are made.
struct VersionClocks {
  TimePoint Now;
  BootTime Boot;
  std::int64_t WallMs = 0;
  /// By how much the wall clocks of two processes may differ.
  Duration MaxClockError = std::chrono::seconds(5);
};

void noteRegistered(SoftwareVersions &Versions, const std::string &Version,
                    TimePoint Now);
/// Notes the set that the platform stores. Other processes have dropped what is
/// missing in it.
void noteStored(SoftwareVersions &Versions, StoredVersions Stored,
                Duration Retention, const VersionClocks &Clocks);
/// Notes the set that the platform has stored in an earlier era.
void noteEarlierStored(SoftwareVersions &Versions, const StoredVersions &Stored,
                       TimePoint Now);
/// Notes the set that an earlier build has stored in the present era. It does
/// not replace what is known.
void noteEarlierSet(SoftwareVersions &Versions,
                    const std::set<std::string> &Stored, TimePoint Now);
/// Notes that the platform was restored from a copy, or lacks the set.
void dropStored(SoftwareVersions &Versions);
/// Updates which versions have settled. Returns whether one has now.
bool updateSettled(SoftwareVersions &Versions, const VersionClocks &Clocks);

/// Returns the versions that may have begun a stream.
std::set<std::string> knownVersions(const SoftwareVersions &Versions);
/// Returns whether a new stream may be sent to an upstream of \p Version.
bool mayBeginStream(const SoftwareVersions &Versions,
                    const std::string &Version);
/// Returns the only version that may have begun a stream which is still taken
/// up, or nothing. \p CompleteUntil is the moment until which the view of the
/// stored set is complete.
std::optional<std::string> onlyVersion(const SoftwareVersions &Versions,
                                       std::optional<BootTime> CompleteUntil,
                                       Duration Retention,
                                       const VersionClocks &Clocks);
/// Returns whether onlyVersion() may answer for all streams that began up to
/// now, in a process with a current view.
bool isAnsweredByOnlyVersion(const SoftwareVersions &Versions,
                             Duration Retention, const VersionClocks &Clocks);
/// Returns the set that the platform should store. No version is dropped from
/// it unless the registry was read recently. \p IsFirstStart tells that the
/// platform has never stored a set.
StoredVersions versionsToStore(const SoftwareVersions &Versions,
                               bool IsRegistryCurrent, bool IsFirstStart,
                               Duration Retention, const VersionClocks &Clocks);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_SOFTWAREVERSIONS_H
