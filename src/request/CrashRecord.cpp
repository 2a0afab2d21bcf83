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

std::vector<std::uint64_t> crashKeys(std::uint64_t Content,
                                     std::string_view Service,
                                     std::span<const PromptPart> Parts) {
  std::vector<std::uint64_t> Keys = {Content};
  if (Parts.empty())
    return Keys;
  const std::uint64_t Scope = stableHash("\n", stableHash(Service));
  for (const PromptPart &Each :
       Parts.first(std::min(Parts.size() - 1, MaxSuspectParts))) {
    const std::uint64_t Key = stableHash(Each.Id, Scope);
    if (std::find(Keys.begin(), Keys.end(), Key) == Keys.end())
      Keys.push_back(Key);
  }
  return Keys;
}

std::string keyName(std::uint64_t Key) {
  char Text[17];
  std::snprintf(Text, sizeof Text, "%016llx",
                static_cast<unsigned long long>(Key));
  return Text;
}

std::uint64_t incarnationKey(std::string_view UpstreamId, std::int64_t BornMs) {
  return stableHash(std::to_string(BornMs), stableHash(UpstreamId));
}

/// Broken sends to one incarnation within this time belong to one crash. A
/// crashed upstream takes longer to restart, and its registry entry may name
/// the old incarnation for some time after that.
static constexpr Duration SameCrashWindow = std::chrono::seconds(2);

/// Keys observed at one incarnation within this time were at the same crash. A
/// send that stalled ends some seconds earlier than one that was reset.
static constexpr Duration BesideWindow = std::chrono::seconds(4);

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

/// Updates the set of established keys after a change of \p Key.
static void updateEstablished(CrashRecord &Record, std::uint64_t Key) {
  const auto It = Record.Keys.find(Key);
  if (It != Record.Keys.end() &&
      It->second.Observations.size() >=
          (It->second.ClearedAt ? MaxCrashesOnceAnswered : MaxCrashes))
    Record.Established.insert(Key);
  else
    Record.Established.erase(Key);
}

static void evictExcess(CrashRecord &Record) {
  while (Record.Keys.size() > MaxCrashKeys) {
    const auto First = std::min_element(Record.Keys.begin(), Record.Keys.end(),
                                        [](const auto &A, const auto &B) {
                                          return evictionRank(A.second) <
                                                 evictionRank(B.second);
                                        });
    Record.Established.erase(First->first);
    Record.Keys.erase(First);
  }
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

/// Returns whether the upstream was found to run after \p Seen.
static bool isDisproved(const CrashRecord &Record,
                        const CrashObservation &Seen) {
  const auto It = Record.RunningAt.find(Seen.Upstream);
  return It != Record.RunningAt.end() && Seen.At <= It->second;
}

bool noteCrash(CrashRecord &Record, std::uint64_t Key, std::uint64_t Upstream,
               TimePoint Now) {
  const bool IsNew = addObservation(Record.Keys[Key], {Upstream, Now});
  updateEstablished(Record, Key);
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

std::vector<std::uint64_t> noteRunning(CrashRecord &Record,
                                       std::uint64_t Upstream, TimePoint Now) {
  auto &RunningAt = Record.RunningAt;
  if (RunningAt.size() >= MaxRunningUpstreams)
    RunningAt.erase(std::min_element(
        RunningAt.begin(), RunningAt.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; }));
  RunningAt.insert_or_assign(Upstream, Now);
  std::vector<std::uint64_t> Result;
  for (auto &[Key, Evidence] : Record.Keys)
    if (std::erase_if(Evidence.Observations, [&](const CrashObservation &Seen) {
          return isDisproved(Record, Seen);
        }) > 0)
      Result.push_back(Key);
  for (const std::uint64_t Key : Result)
    updateEstablished(Record, Key);
  return Result;
}

std::size_t noteSuccess(CrashRecord &Record, std::uint64_t Key, TimePoint Now) {
  const auto It = Record.Keys.find(Key);
  if (It == Record.Keys.end())
    return 0;
  const std::size_t Cleared = clearUntil(It->second, Now);
  updateEstablished(Record, Key);
  return Cleared;
}

std::size_t crashCount(const CrashRecord &Record, std::uint64_t Key) {
  const auto It = Record.Keys.find(Key);
  return It == Record.Keys.end() ? 0 : It->second.Observations.size();
}

/// Returns whether \p Evidence has an observation of the crash \p Of.
static bool hasObserved(const CrashEvidence &Evidence,
                        const CrashObservation &Of) {
  return std::any_of(Evidence.Observations.begin(), Evidence.Observations.end(),
                     [&](const CrashObservation &Each) {
                       return Each.Upstream == Of.Upstream &&
                              Each.At - Of.At < BesideWindow &&
                              Of.At - Each.At < BesideWindow;
                     });
}

/// Returns the keys other than \p Own that may have caused crashes which are
/// recorded for a key with \p Crashes crashes.
static std::vector<const CrashEvidence *>
otherCauses(const CrashRecord &Record, std::span<const std::uint64_t> Own,
            std::size_t Crashes) {
  std::vector<const CrashEvidence *> Result;
  for (const std::uint64_t Each : Record.Established)
    if (std::find(Own.begin(), Own.end(), Each) == Own.end())
      if (const CrashEvidence &Other = Record.Keys.at(Each);
          Other.Observations.size() >= Crashes)
        Result.push_back(&Other);
  return Result;
}

std::optional<TimePoint> refusedUntil(const CrashRecord &Record,
                                      std::span<const std::uint64_t> Keys,
                                      TimePoint Now) {
  std::optional<TimePoint> Result;
  for (const std::uint64_t Key : Keys) {
    if (!Record.Established.contains(Key))
      continue;
    const CrashEvidence &Evidence = Record.Keys.at(Key);
    const TimePoint Until = lastCrash(Evidence) + CrashRetention;
    if (Until <= Now || (Result && Until <= *Result))
      continue;
    if (Evidence.Observations.size() >= MaxExcusedCrashes) {
      Result = Until;
      continue;
    }
    const auto Others = otherCauses(Record, Keys, Evidence.Observations.size());
    const auto Unexplained = std::count_if(
        Evidence.Observations.begin(), Evidence.Observations.end(),
        [&](const CrashObservation &Seen) {
          return std::none_of(Others.begin(), Others.end(),
                              [&](const CrashEvidence *Other) {
                                return hasObserved(*Other, Seen);
                              });
        });
    if (static_cast<std::size_t>(Unexplained) >= MaxCrashes)
      Result = Until;
  }
  return Result;
}

std::optional<TimePoint> refusedUntil(const CrashRecord &Record,
                                      std::uint64_t Key, TimePoint Now) {
  return refusedUntil(Record, std::span(&Key, 1), Now);
}

static Milliseconds ageOf(TimePoint At, TimePoint Now) {
  return std::max(std::chrono::duration_cast<Milliseconds>(Now - At),
                  Milliseconds(0));
}

CrashReport crashReport(const CrashRecord &Record, std::uint64_t Key,
                        TimePoint Now) {
  CrashReport Report;
  Report.Key = Key;
  const auto It = Record.Keys.find(Key);
  if (It == Record.Keys.end())
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

/// Returns when something of that age happened. A negative age must not extend
/// a refusal beyond its maximum.
static TimePoint timeOf(Milliseconds Age, TimePoint Now) {
  return Now - std::max(Age, Milliseconds(0));
}

bool mergeReport(CrashRecord &Record, const CrashReport &Report,
                 TimePoint Now) {
  bool Changed = false;
  if (Report.ClearedAge && isRecent(*Report.ClearedAge) &&
      (Record.Keys.contains(Report.Key) || !Report.Observations.empty()))
    Changed = clearUntil(Record.Keys[Report.Key],
                         timeOf(*Report.ClearedAge, Now)) > 0;
  for (const CrashReport::Observation &Each : Report.Observations)
    if (const CrashObservation Seen{Each.Upstream, timeOf(Each.Age, Now)};
        isRecent(Each.Age) && !isDisproved(Record, Seen))
      Changed |= addObservation(Record.Keys[Report.Key], Seen);
  updateEstablished(Record, Report.Key);
  evictExcess(Record);
  return Changed;
}

bool isOutdated(const CrashRecord &Record, const CrashReport &Report,
                TimePoint Now) {
  const auto It = Record.Keys.find(Report.Key);
  if (It == Record.Keys.end() || !It->second.ClearedAt)
    return false;
  if (!Report.ClearedAge)
    return true;
  return std::any_of(Report.Observations.begin(), Report.Observations.end(),
                     [&](const CrashReport::Observation &Each) {
                       return isRecent(Each.Age) &&
                              timeOf(Each.Age, Now) <= *It->second.ClearedAt;
                     });
}

std::vector<std::uint64_t> suspectKeys(const CrashRecord &Record,
                                       std::size_t MinCrashes,
                                       std::size_t Limit) {
  std::vector<std::uint64_t> Result;
  for (const auto &[Key, Evidence] : Record.Keys)
    if (Evidence.Observations.size() >= MinCrashes)
      Result.push_back(Key);
  std::sort(Result.begin(), Result.end(), [&](auto A, auto B) {
    return std::tuple(evictionRank(Record.Keys.at(B)), B) <
           std::tuple(evictionRank(Record.Keys.at(A)), A);
  });
  if (Result.size() > Limit)
    Result.resize(Limit);
  return Result;
}

void expireCrashes(CrashRecord &Record, TimePoint Now) {
  std::erase_if(Record.RunningAt, [&](const auto &Each) {
    return Now - Each.second >= CrashRetention;
  });
  for (auto It = Record.Keys.begin(); It != Record.Keys.end();) {
    const auto Current = It++;
    CrashEvidence &Evidence = Current->second;
    std::erase_if(Evidence.Observations, [&](const CrashObservation &Seen) {
      return Now - Seen.At >= CrashRetention;
    });
    updateEstablished(Record, Current->first);
    const bool IsClearedLately =
        Evidence.ClearedAt && Now - *Evidence.ClearedAt < CrashRetention;
    if (Evidence.Observations.empty() && !IsClearedLately)
      Record.Keys.erase(Current);
  }
}

} // namespace galenaroute
