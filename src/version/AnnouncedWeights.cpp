#include "version/AnnouncedWeights.h"

#include <algorithm>

namespace galenaroute {

/// Earlier observations of the same announcement replace later ones only if
/// they differ by more, since a relayed age is shorter by its transit time.
static constexpr Duration AgeNoise = std::chrono::milliseconds(20);

std::optional<Announcement> noteNamed(AnnouncedWeights &Weights,
                                      std::uint64_t Version,
                                      const WeightsReading &Reading,
                                      Duration Limit, BootTime Now) {
  if (Version <= Weights.newest())
    return std::nullopt;
  Announcement Seen{Now, AnnouncementSource::Observed};
  if (Reading.IsFirst)
    Seen = {Now - Limit, AnnouncementSource::Assumed};
  else if (Reading.MissedSince)
    Seen = {*Reading.MissedSince, AnnouncementSource::Assumed};
  noteAnnounced(Weights, Version, Seen);
  return Seen;
}

bool noteAnnounced(AnnouncedWeights &Weights, std::uint64_t Version,
                   Announcement Seen) {
  const auto [It, IsNew] = Weights.Announced.try_emplace(Version, Seen);
  if (!IsNew) {
    const Announcement &Known = It->second;
    const bool IsEarlier =
        Known.Source == Seen.Source && Known.At - Seen.At > AgeNoise;
    if (Seen.Source <= Known.Source && !IsEarlier)
      return false;
    It->second = Seen;
  }
  if (Weights.Announced.size() <= MaxAnnouncedWeights)
    return true;
  const bool IsDropped = Weights.Announced.begin()->first == Version;
  Weights.Announced.erase(Weights.Announced.begin());
  return !IsDropped;
}

void restoreAnnounced(AnnouncedWeights &Weights,
                      const std::map<std::uint64_t, std::int64_t> &History,
                      std::int64_t WallMs, Duration MaxClockError,
                      BootTime Now) {
  for (const auto &[Version, AnnouncedMs] : History) {
    const Duration Age =
        Milliseconds(std::max<std::int64_t>(0, WallMs - AnnouncedMs));
    noteAnnounced(Weights, Version,
                  {Now - Age - MaxClockError, AnnouncementSource::Stored});
  }
}

BootTime observedAt(const Announcement &Known, Duration MaxClockError) {
  return Known.Source == AnnouncementSource::Stored ? Known.At + MaxClockError
                                                    : Known.At;
}

std::optional<BootTime> supersededAt(const AnnouncedWeights &Weights,
                                     std::uint64_t Version) {
  const auto Next = Weights.Announced.upper_bound(Version);
  if (Next == Weights.Announced.end())
    return std::nullopt;
  return Next->second.At;
}

std::uint64_t oldestAllowed(const AnnouncedWeights &Weights, Duration Limit,
                            BootTime Now) {
  std::uint64_t Oldest = 0;
  for (const auto &[Version, Known] : Weights.Announced)
    if (Now - Known.At > Limit)
      Oldest = Version;
  return Oldest;
}

std::vector<WeightNotice> weightNotices(const AnnouncedWeightsByModel &All,
                                        Duration MaxAge, BootTime Now) {
  std::vector<WeightNotice> Result;
  for (const auto &[Model, Weights] : All) {
    std::size_t Count = 0;
    for (auto It = Weights.Announced.rbegin();
         It != Weights.Announced.rend() && Count < MaxNoticesPerModel; ++It) {
      if (It->second.Source != AnnouncementSource::Observed ||
          Now - It->second.At > MaxAge)
        continue;
      Result.push_back({Model, It->first,
                        std::chrono::floor<Milliseconds>(Now - It->second.At)});
      ++Count;
    }
  }
  return Result;
}

bool mergeNotices(AnnouncedWeightsByModel &All,
                  std::span<const WeightNotice> Notices, BootTime Now,
                  AnnouncementSource Source) {
  bool Changed = false;
  for (const WeightNotice &Each : Notices) {
    if (!All.contains(Each.Model) && All.size() >= MaxNoticedModels)
      continue;
    const Milliseconds Age =
        std::clamp(Each.Age, Milliseconds(0), MaxReportedAge);
    Changed |=
        noteAnnounced(All[Each.Model], Each.Version, {Now - Age, Source});
  }
  return Changed;
}

std::string_view toString(AnnouncementSource Source) {
  switch (Source) {
  case AnnouncementSource::Assumed:
    return "assumed";
  case AnnouncementSource::Stored:
    return "stored";
  case AnnouncementSource::Observed:
    return "observed";
  }
  return "unknown";
}

} // namespace galenaroute
