#include "version/SoftwareVersions.h"

#include <algorithm>
#include <utility>

namespace galenaroute {

void noteRegistered(SoftwareVersions &Versions, const std::string &Version,
                    TimePoint Now) {
  Versions.RegisteredAt[Version] = Now;
  Versions.KnownSince.try_emplace(Version, Now);
}

void noteEarlierStored(SoftwareVersions &Versions, const StoredVersions &Stored,
                       TimePoint Now) {
  for (const auto &[Each, AddedMs] : Stored.AddedMs) {
    Versions.KnownSince.try_emplace(Each, Now);
    Versions.EarlierAddedMs[Each] = AddedMs;
  }
}

void noteEarlierSet(SoftwareVersions &Versions,
                    const std::set<std::string> &Stored, TimePoint Now) {
  Versions.HasEarlierSet = true;
  for (const std::string &Each : Stored) {
    Versions.KnownSince.try_emplace(Each, Now);
    // Its streams may have begun long ago.
    Versions.EarlierAddedMs.try_emplace(Each, 0);
  }
}

static bool isStored(const SoftwareVersions &Versions,
                     const std::string &Version) {
  return Versions.Stored && Versions.Stored->AddedMs.contains(Version);
}

static bool wasRegisteredSince(const SoftwareVersions &Versions,
                               const std::string &Version, TimePoint Since) {
  const auto Found = Versions.RegisteredAt.find(Version);
  return Found != Versions.RegisteredAt.end() && Found->second >= Since;
}

void noteStored(SoftwareVersions &Versions, StoredVersions Stored,
                Duration Retention, const VersionClocks &Clocks) {
  Versions.Stored = std::move(Stored);
  for (const auto &[Each, AddedMs] : Versions.Stored->AddedMs) {
    Versions.KnownSince.try_emplace(Each, Clocks.Now);
    Versions.ReadAt.try_emplace(Each, Clocks.Boot);
  }
  std::erase_if(Versions.KnownSince, [&](const auto &Each) {
    return !isStored(Versions, Each.first) &&
           !wasRegisteredSince(Versions, Each.first, Clocks.Now - Retention);
  });
  const auto IsUnknown = [&](const std::string &Version) {
    return !Versions.KnownSince.contains(Version);
  };
  std::erase_if(Versions.RegisteredAt,
                [&](const auto &Each) { return IsUnknown(Each.first); });
  std::erase_if(Versions.ReadAt, [&](const auto &Each) {
    return !isStored(Versions, Each.first);
  });
  std::erase_if(Versions.EarlierAddedMs,
                [&](const auto &Each) { return IsUnknown(Each.first); });
  std::erase_if(Versions.Settled, IsUnknown);
  updateSettled(Versions, Clocks);
}

void dropStored(SoftwareVersions &Versions) {
  if (Versions.Stored)
    for (const auto &[Each, AddedMs] : Versions.Stored->AddedMs)
      Versions.EarlierAddedMs[Each] = AddedMs;
  Versions.Stored.reset();
  Versions.HasEarlierSet = false;
  Versions.ReadAt.clear();
}

/// Returns whether every process whose view may be used to join streams has
/// read that \p Version is stored.
static bool hasSettled(const SoftwareVersions &Versions,
                       const std::string &Version, std::int64_t AddedMs,
                       const VersionClocks &Clocks) {
  const Duration SinceAdded = Milliseconds(Clocks.WallMs - AddedMs);
  return AddedMs == 0 ||
         Versions.ReadAt.at(Version) + SoftwareVersions::SettleTime <=
             Clocks.Boot ||
         SinceAdded >= SoftwareVersions::SettleTime +
                           SoftwareVersions::MaxWriteDelay +
                           Clocks.MaxClockError;
}

bool updateSettled(SoftwareVersions &Versions, const VersionClocks &Clocks) {
  if (!Versions.Stored)
    return false;
  bool HasChanged = false;
  for (const auto &[Each, AddedMs] : Versions.Stored->AddedMs)
    if (!Versions.Settled.contains(Each) &&
        hasSettled(Versions, Each, AddedMs, Clocks))
      HasChanged |= Versions.Settled.insert(Each).second;
  return HasChanged;
}

std::set<std::string> knownVersions(const SoftwareVersions &Versions) {
  std::set<std::string> Result;
  for (const auto &[Each, Since] : Versions.KnownSince)
    Result.insert(Each);
  return Result;
}

bool mayBeginStream(const SoftwareVersions &Versions,
                    const std::string &Version) {
  return Versions.Settled.contains(Version);
}

bool isAnsweredByOnlyVersion(const SoftwareVersions &Versions,
                             Duration Retention, const VersionClocks &Clocks) {
  if (!Versions.Stored || Versions.Stored->AddedMs.size() != 1 ||
      Versions.KnownSince.size() != 1)
    return false;
  const std::int64_t Since = Versions.Stored->CompleteSinceMs;
  return Since == 0 || Milliseconds(Clocks.WallMs - Since) >=
                           Retention + Clocks.MaxClockError;
}

std::optional<std::string> onlyVersion(const SoftwareVersions &Versions,
                                       std::optional<BootTime> CompleteUntil,
                                       Duration Retention,
                                       const VersionClocks &Clocks) {
  if (!CompleteUntil ||
      Clocks.Boot - *CompleteUntil > SoftwareVersions::MaxViewAge ||
      !isAnsweredByOnlyVersion(Versions, Retention, Clocks))
    return std::nullopt;
  return Versions.Stored->AddedMs.begin()->first;
}

/// Returns what StoredVersions::AddedMs is to say of a version that is added.
static std::int64_t addedMs(const SoftwareVersions &Versions,
                            const std::string &Version, bool IsFirstStart,
                            const VersionClocks &Clocks) {
  if (const auto Earlier = Versions.EarlierAddedMs.find(Version);
      Earlier != Versions.EarlierAddedMs.end())
    return Earlier->second;
  const bool IsCreated = !Versions.Stored;
  return IsCreated && (IsFirstStart || Versions.KnownSince.size() == 1)
             ? 0
             : Clocks.WallMs;
}

StoredVersions versionsToStore(const SoftwareVersions &Versions,
                               bool IsRegistryCurrent, bool IsFirstStart,
                               Duration Retention,
                               const VersionClocks &Clocks) {
  StoredVersions Result;
  if (Versions.Stored)
    Result = *Versions.Stored;
  else if (!IsFirstStart && !Versions.HasEarlierSet)
    Result.CompleteSinceMs = Clocks.WallMs;
  for (const auto &[Each, Since] : Versions.KnownSince)
    if (!Result.AddedMs.contains(Each))
      Result.AddedMs[Each] = addedMs(Versions, Each, IsFirstStart, Clocks);
  if (!IsRegistryCurrent)
    return Result;
  std::erase_if(Result.AddedMs, [&](const auto &Each) {
    const auto Since = Versions.KnownSince.find(Each.first);
    return Since != Versions.KnownSince.end() &&
           Since->second < Clocks.Now - Retention &&
           !wasRegisteredSince(Versions, Each.first, Clocks.Now - Retention);
  });
  return Result;
}

} // namespace galenaroute
