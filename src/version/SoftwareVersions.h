// The software versions of the upstreams of a service, by which it is known
// whether all streams of the service were begun by one version.
//
//   noteRegistered(Versions, "1.4", Now);
//   if (const auto Only = onlyVersion(Versions)) ...
//
// A version counts until no upstream with it was registered for as long as its
// streams may be taken up.

#ifndef GALENAROUTE_VERSION_SOFTWAREVERSIONS_H
#define GALENAROUTE_VERSION_SOFTWAREVERSIONS_H

#include "process/Clock.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace galenaroute {

struct SoftwareVersions {
  /// What the platform stores, as far as it was read.
  std::set<std::string> Stored;
  /// Since when this process knows of each version.
  std::map<std::string, TimePoint> KnownSince;
  /// When this process last saw each version registered.
  std::map<std::string, TimePoint> RegisteredAt;
};

void noteRegistered(SoftwareVersions &Versions, const std::string &Version,
                    TimePoint Now);
/// Notes what the platform stores. Other gateways have dropped what is missing.
void noteStored(SoftwareVersions &Versions, std::set<std::string> Stored,
                Duration Retention, TimePoint Now);
/// Notes a version that the platform has stored in an earlier era.
void noteKnown(SoftwareVersions &Versions, const std::string &Version,
               TimePoint Now);
/// Notes that the platform was restored from a copy.
void dropStored(SoftwareVersions &Versions, TimePoint Now);

/// Returns the versions that may have begun a stream.
std::set<std::string> knownVersions(const SoftwareVersions &Versions);
/// Returns the only version that may have begun a stream, or nothing.
std::optional<std::string> onlyVersion(const SoftwareVersions &Versions);
/// Returns the versions that the platform should store. None is dropped unless
/// the registry was read recently.
std::set<std::string> versionsToStore(const SoftwareVersions &Versions,
                                      bool IsRegistryCurrent,
                                      Duration Retention, TimePoint Now);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_SOFTWAREVERSIONS_H
