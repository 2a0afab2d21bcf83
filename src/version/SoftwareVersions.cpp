#include "version/SoftwareVersions.h"

#include <algorithm>
#include <utility>

namespace galenaroute {

void noteKnown(SoftwareVersions &Versions, const std::string &Version,
               TimePoint Now) {
  Versions.KnownSince.try_emplace(Version, Now);
}

void noteRegistered(SoftwareVersions &Versions, const std::string &Version,
                    TimePoint Now) {
  Versions.RegisteredAt[Version] = Now;
  noteKnown(Versions, Version, Now);
}

static bool wasRegisteredSince(const SoftwareVersions &Versions,
                               const std::string &Version, TimePoint Since) {
  const auto Found = Versions.RegisteredAt.find(Version);
  return Found != Versions.RegisteredAt.end() && Found->second >= Since;
}

void noteStored(SoftwareVersions &Versions, std::set<std::string> Stored,
                Duration Retention, TimePoint Now) {
  Versions.Stored = std::move(Stored);
  for (const std::string &Each : Versions.Stored)
    noteKnown(Versions, Each, Now);
  const auto IsDropped = [&](const auto &Each) {
    return !Versions.Stored.contains(Each.first) &&
           !wasRegisteredSince(Versions, Each.first, Now - Retention);
  };
  std::erase_if(Versions.KnownSince, IsDropped);
  std::erase_if(Versions.RegisteredAt, [&](const auto &Each) {
    return !Versions.KnownSince.contains(Each.first);
  });
}

void dropStored(SoftwareVersions &Versions, TimePoint Now) {
  for (const std::string &Each : Versions.Stored)
    noteKnown(Versions, Each, Now);
  Versions.Stored.clear();
}

std::set<std::string> knownVersions(const SoftwareVersions &Versions) {
  std::set<std::string> Result = Versions.Stored;
  for (const auto &[Each, Since] : Versions.KnownSince)
    Result.insert(Each);
  return Result;
}

std::optional<std::string> onlyVersion(const SoftwareVersions &Versions) {
  const std::set<std::string> Known = knownVersions(Versions);
  return Known.size() == 1 ? std::optional(*Known.begin()) : std::nullopt;
}

std::set<std::string> versionsToStore(const SoftwareVersions &Versions,
                                      bool IsRegistryCurrent,
                                      Duration Retention, TimePoint Now) {
  std::set<std::string> Result = knownVersions(Versions);
  if (!IsRegistryCurrent)
    return Result;
  std::erase_if(Result, [&](const std::string &Each) {
    const auto Since = Versions.KnownSince.find(Each);
    return Since != Versions.KnownSince.end() &&
           Since->second < Now - Retention &&
           !wasRegisteredSince(Versions, Each, Now - Retention);
  });
  return Result;
}

} // namespace galenaroute
