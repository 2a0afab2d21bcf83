#include "request/CrashRecord.h"

#include "process/Rendezvous.h"

#include <algorithm>
#include <cstdio>
#include <tuple>

namespace galenaroute {

std::uint64_t callContentHash(std::string_view Customer,
                              std::string_view Target, std::string_view Body) {
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

/// Broken sends to one incarnation within this time belong to one crash. A
/// crashed upstream takes longer to restart, and its registry entry may name
/// the old incarnation for some time after that.
static constexpr Duration SameCrashWindow = std::chrono::seconds(2);

static TimePoint lastCrash(const CrashEvidence &Evidence) {
  TimePoint Last = TimePoint::min();
  for (const CrashObservation &Each : Evidence.Observations)
    Last = std::max(Last, Each.At);
  return Last;
}

/// Returns the sort key for eviction; the lowest is evicted first.
static auto evictionRank(const CrashEvidence &Evidence) {
  return std::tuple(Evidence.Observations.size(),
                    std::max(lastCrash(Evidence),
                             Evidence.ClearedAt.value_or(TimePoint::min())));
}

static void evictExcess(CrashRecord &Record) {
  while (Record.Contents.size() > MaxCrashContents)
    Record.Contents.erase(std::min_element(
        Record.Contents.begin(), Record.Contents.end(),
        [](const auto &A, const auto &B) {
          return evictionRank(A.second) < evictionRank(B.second);
        }));
}

/// Returns whether \p Seen was added as a new crash.
static bool addObservation(CrashEvidence &Evidence,
                           const CrashObservation &Seen) {
  if (Evidence.ClearedAt && Seen.At <= *Evidence.ClearedAt)
    return false;
  for (CrashObservation &Each : Evidence.Observations)
    if (Each.Upstream == Seen.Upstream && Each.At - Seen.At < SameCrashWindow &&
        Seen.At - Each.At < SameCrashWindow) {
      // A relayed observation appears later by its transit time.
      Each.At = std::min(Each.At, Seen.At);
      return false;
    }
  if (Evidence.Observations.size() >= MaxCrashObservations)
    return false;
  Evidence.Observations.push_back(Seen);
  return true;
}

bool noteCrash(CrashRecord &Record, std::uint64_t Content,
               std::uint64_t Upstream, TimePoint Now) {
  const bool IsNew = addObservation(Record.Contents[Content], {Upstream, Now});
  evictExcess(Record);
  return IsNew;
}

/// Removes the crashes up to \p At and returns how many there were.
static std::size_t clearUntil(CrashEvidence &Evidence, TimePoint At) {
  Evidence.ClearedAt =
      Evidence.ClearedAt ? std::max(*Evidence.ClearedAt, At) : At;
  return std::erase_if(
      Evidence.Observations,
      [&](const CrashObservation &Each) { return Each.At <= At; });
}

std::size_t noteSuccess(CrashRecord &Record, std::uint64_t Content,
                        TimePoint Now) {
  const auto It = Record.Contents.find(Content);
  return It == Record.Contents.end() ? 0 : clearUntil(It->second, Now);
}

std::size_t crashCount(const CrashRecord &Record, std::uint64_t Content) {
  const auto It = Record.Contents.find(Content);
  return It == Record.Contents.end() ? 0 : It->second.Observations.size();
}

std::optional<TimePoint> refusedUntil(const CrashRecord &Record,
                                      std::uint64_t Content, TimePoint Now) {
  const auto It = Record.Contents.find(Content);
  if (It == Record.Contents.end() ||
      It->second.Observations.size() < MaxCrashes)
    return std::nullopt;
  const TimePoint Until = lastCrash(It->second) + CrashRetention;
  return Until > Now ? std::optional(Until) : std::nullopt;
}

static Milliseconds ageOf(TimePoint At, TimePoint Now) {
  return std::max(std::chrono::duration_cast<Milliseconds>(Now - At),
                  Milliseconds(0));
}

CrashReport crashReport(const CrashRecord &Record, std::uint64_t Content,
                        TimePoint Now) {
  CrashReport Report;
  Report.Content = Content;
  const auto It = Record.Contents.find(Content);
  if (It == Record.Contents.end())
    return Report;
  for (const CrashObservation &Each : It->second.Observations)
    Report.Observations.push_back({Each.Upstream, ageOf(Each.At, Now)});
  if (It->second.ClearedAt)
    Report.ClearedAge = ageOf(*It->second.ClearedAt, Now);
  return Report;
}

/// Compares in milliseconds, since an invalid age may overflow a Duration.
static bool isRecent(Milliseconds Age) {
  return Age < std::chrono::duration_cast<Milliseconds>(CrashRetention);
}

bool mergeReport(CrashRecord &Record, const CrashReport &Report,
                 TimePoint Now) {
  bool Changed = false;
  // A negative age must not extend a refusal beyond its maximum.
  const auto TimeOf = [&](Milliseconds Age) {
    return Now - std::max(Age, Milliseconds(0));
  };
  const auto Known = Record.Contents.find(Report.Content);
  if (Report.ClearedAge && isRecent(*Report.ClearedAge) &&
      (Known != Record.Contents.end() || !Report.Observations.empty()))
    Changed = clearUntil(Record.Contents[Report.Content],
                         TimeOf(*Report.ClearedAge)) > 0;
  for (const CrashReport::Observation &Each : Report.Observations)
    if (isRecent(Each.Age))
      Changed |= addObservation(Record.Contents[Report.Content],
                                {Each.Upstream, TimeOf(Each.Age)});
  evictExcess(Record);
  return Changed;
}

std::vector<std::uint64_t> suspectContents(const CrashRecord &Record,
                                           std::size_t MinCrashes,
                                           std::size_t Limit) {
  std::vector<std::uint64_t> Result;
  for (const auto &[Content, Evidence] : Record.Contents)
    if (Evidence.Observations.size() >= MinCrashes)
      Result.push_back(Content);
  std::sort(Result.begin(), Result.end(), [&](auto A, auto B) {
    return std::tuple(evictionRank(Record.Contents.at(B)), B) <
           std::tuple(evictionRank(Record.Contents.at(A)), A);
  });
  if (Result.size() > Limit)
    Result.resize(Limit);
  return Result;
}

void expireCrashes(CrashRecord &Record, TimePoint Now) {
  for (auto It = Record.Contents.begin(); It != Record.Contents.end();) {
    CrashEvidence &Evidence = It->second;
    std::erase_if(Evidence.Observations, [&](const CrashObservation &Seen) {
      return Now - Seen.At >= CrashRetention;
    });
    const bool IsClearedLately =
        Evidence.ClearedAt && Now - *Evidence.ClearedAt < CrashRetention;
    It = Evidence.Observations.empty() && !IsClearedLately
             ? Record.Contents.erase(It)
             : std::next(It);
  }
}

} // namespace galenaroute
