#include "request/CrashRecord.h"

#include "process/Rendezvous.h"

#include <algorithm>
#include <cstdio>
#include <tuple>

namespace galenaroute {

std::uint64_t contentOf(std::string_view Customer, std::string_view Target,
                        std::string_view Body) {
  return stableHash(Body, stableHash(Target, stableHash(Customer)));
}

std::string contentName(std::uint64_t Content) {
  char Text[17];
  std::snprintf(Text, sizeof Text, "%016llx",
                static_cast<unsigned long long>(Content));
  return Text;
}

std::uint64_t incarnationKey(std::string_view UpstreamId, std::int64_t BornMs) {
  return stableHash(std::to_string(BornMs), stableHash(UpstreamId));
}

/// Ends that are seen at one incarnation within this time are of one crash. A
/// crashed upstream needs longer to be back, and its entry in the registry may
/// name the old incarnation for some time after that.
static constexpr Duration CrashSpan = std::chrono::seconds(2);

static TimePoint lastCrash(const CrashEvidence &Evidence) {
  TimePoint Last = TimePoint::min();
  for (const CrashSighting &Each : Evidence.Sightings)
    Last = std::max(Last, Each.At);
  return Last;
}

/// Orders contents by how soon they may be dropped.
static auto rankOf(const CrashEvidence &Evidence) {
  return std::tuple(Evidence.Sightings.size(),
                    std::max(lastCrash(Evidence),
                             Evidence.ClearedAt.value_or(TimePoint::min())));
}

static void dropLeast(CrashRecord &Record) {
  while (Record.Contents.size() > MaxCrashContents)
    Record.Contents.erase(
        std::min_element(Record.Contents.begin(), Record.Contents.end(),
                         [](const auto &A, const auto &B) {
                           return rankOf(A.second) < rankOf(B.second);
                         }));
}

/// Returns whether \p Seen was added.
static bool addSighting(CrashEvidence &Evidence, const CrashSighting &Seen) {
  if (Evidence.ClearedAt && Seen.At <= *Evidence.ClearedAt)
    return false;
  for (CrashSighting &Each : Evidence.Sightings)
    if (Each.Upstream == Seen.Upstream && Each.At - Seen.At < CrashSpan &&
        Seen.At - Each.At < CrashSpan) {
      // What went round seems later by its time on the way.
      Each.At = std::min(Each.At, Seen.At);
      return false;
    }
  if (Evidence.Sightings.size() >= MaxCrashSightings)
    return false;
  Evidence.Sightings.push_back(Seen);
  return true;
}

bool noteCrash(CrashRecord &Record, std::uint64_t Content,
               std::uint64_t Upstream, TimePoint Now) {
  const bool IsNew = addSighting(Record.Contents[Content], {Upstream, Now});
  dropLeast(Record);
  return IsNew;
}

/// Returns how many sightings were dropped.
static std::size_t clearUntil(CrashEvidence &Evidence, TimePoint At) {
  Evidence.ClearedAt =
      Evidence.ClearedAt ? std::max(*Evidence.ClearedAt, At) : At;
  return std::erase_if(Evidence.Sightings, [&](const CrashSighting &Each) {
    return Each.At <= At;
  });
}

std::size_t noteSuccess(CrashRecord &Record, std::uint64_t Content,
                        TimePoint Now) {
  const auto It = Record.Contents.find(Content);
  return It == Record.Contents.end() ? 0 : clearUntil(It->second, Now);
}

std::size_t crashesOf(const CrashRecord &Record, std::uint64_t Content) {
  const auto It = Record.Contents.find(Content);
  return It == Record.Contents.end() ? 0 : It->second.Sightings.size();
}

std::optional<TimePoint> refusedUntil(const CrashRecord &Record,
                                      std::uint64_t Content, TimePoint Now) {
  const auto It = Record.Contents.find(Content);
  if (It == Record.Contents.end() || It->second.Sightings.size() < MaxCrashes)
    return std::nullopt;
  const TimePoint Until = lastCrash(It->second) + CrashMemory;
  return Until > Now ? std::optional(Until) : std::nullopt;
}

static Milliseconds ageOf(TimePoint At, TimePoint Now) {
  return std::max(std::chrono::duration_cast<Milliseconds>(Now - At),
                  Milliseconds(0));
}

CrashNews newsOf(const CrashRecord &Record, std::uint64_t Content,
                 TimePoint Now) {
  CrashNews News;
  News.Content = Content;
  const auto It = Record.Contents.find(Content);
  if (It == Record.Contents.end())
    return News;
  for (const CrashSighting &Each : It->second.Sightings)
    News.Sightings.push_back({Each.Upstream, ageOf(Each.At, Now)});
  if (It->second.ClearedAt)
    News.ClearedAge = ageOf(*It->second.ClearedAt, Now);
  return News;
}

/// Compared in milliseconds, since a wrong age may not fit in a Duration.
static bool isRecent(Milliseconds Age) {
  return Age < std::chrono::duration_cast<Milliseconds>(CrashMemory);
}

bool mergeNews(CrashRecord &Record, const CrashNews &News, TimePoint Now) {
  bool Changed = false;
  // A wrong age must not make a refusal last longer than it may.
  const auto TimeOf = [&](Milliseconds Age) {
    return Now - std::max(Age, Milliseconds(0));
  };
  const auto Known = Record.Contents.find(News.Content);
  if (News.ClearedAge && isRecent(*News.ClearedAge) &&
      (Known != Record.Contents.end() || !News.Sightings.empty()))
    Changed =
        clearUntil(Record.Contents[News.Content], TimeOf(*News.ClearedAge)) > 0;
  for (const CrashNews::Sighting &Each : News.Sightings)
    if (isRecent(Each.Age))
      Changed |= addSighting(Record.Contents[News.Content],
                             {Each.Upstream, TimeOf(Each.Age)});
  dropLeast(Record);
  return Changed;
}

std::vector<std::uint64_t> suspectContents(const CrashRecord &Record,
                                           std::size_t Least,
                                           std::size_t Limit) {
  std::vector<std::uint64_t> Result;
  for (const auto &[Content, Evidence] : Record.Contents)
    if (Evidence.Sightings.size() >= Least)
      Result.push_back(Content);
  std::sort(Result.begin(), Result.end(), [&](auto A, auto B) {
    return std::tuple(rankOf(Record.Contents.at(B)), B) <
           std::tuple(rankOf(Record.Contents.at(A)), A);
  });
  if (Result.size() > Limit)
    Result.resize(Limit);
  return Result;
}

void expireCrashes(CrashRecord &Record, TimePoint Now) {
  for (auto It = Record.Contents.begin(); It != Record.Contents.end();) {
    CrashEvidence &Evidence = It->second;
    std::erase_if(Evidence.Sightings, [&](const CrashSighting &Seen) {
      return Now - Seen.At >= CrashMemory;
    });
    const bool IsClearedLately =
        Evidence.ClearedAt && Now - *Evidence.ClearedAt < CrashMemory;
    It = Evidence.Sightings.empty() && !IsClearedLately
             ? Record.Contents.erase(It)
             : std::next(It);
  }
}

} // namespace galenaroute
