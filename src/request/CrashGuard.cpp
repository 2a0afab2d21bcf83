#include "request/CrashGuard.h"

#include <algorithm>

namespace galenaroute {

Digest contentDigest(std::string_view Service, std::string_view Body) {
  return digestOf({Service, Body});
}

static void removeAttempt(CrashGuard &Guard, const std::string &Attempt) {
  const auto It = Guard.Attempts.find(Attempt);
  if (It == Guard.Attempts.end())
    return;
  const auto Group = Guard.AttemptsByUpstream.find(It->second.Upstream);
  Group->second.erase(Attempt);
  if (Group->second.empty())
    Guard.AttemptsByUpstream.erase(Group);
  Guard.Attempts.erase(It);
}

/// Removes the elements with the oldest times while \p Items exceeds \p Limit.
/// Each removal scans all elements, but only when the limit is exceeded.
template <typename Map, typename TimeOf>
static void dropOldest(Map &Items, std::size_t Limit, TimeOf &&Time) {
  while (Items.size() > Limit)
    Items.erase(std::min_element(Items.begin(), Items.end(),
                                 [&](const auto &A, const auto &B) {
                                   return Time(A.second) < Time(B.second);
                                 }));
}

void noteRunning(CrashGuard &Guard, const std::string &Attempt,
                 const Digest &Content, const std::string &Upstream,
                 TimePoint Now) {
  removeAttempt(Guard, Attempt);
  Guard.Attempts.emplace(Attempt, GuardedAttempt{Content, Upstream, Now, {}});
  Guard.AttemptsByUpstream[Upstream].insert(Attempt);
}

static void clear(CrashGuard &Guard, const Digest &Content, TimePoint At) {
  if (Guard.Suspects.erase(Content) == 0)
    return;
  ++Guard.Revision;
  Guard.Cleared.insert_or_assign(Content, At);
  dropOldest(Guard.Cleared, Guard.Options.MaxSuspects,
             [](TimePoint Time) { return Time; });
}

void noteEnded(CrashGuard &Guard, const std::string &Attempt, TimePoint Now) {
  const auto It = Guard.Attempts.find(Attempt);
  if (It == Guard.Attempts.end())
    return;
  const Digest Content = It->second.Content;
  removeAttempt(Guard, Attempt);
  clear(Guard, Content, Now);
}

void noteContentFinished(CrashGuard &Guard, const Digest &Content,
                         TimePoint Now) {
  clear(Guard, Content, Now);
}

void noteBroken(CrashGuard &Guard, const std::string &Attempt, TimePoint Now) {
  const auto It = Guard.Attempts.find(Attempt);
  if (It != Guard.Attempts.end() && !It->second.BrokenAt)
    It->second.BrokenAt = Now;
}

void noteCancelled(CrashGuard &Guard, const std::string &Attempt) {
  removeAttempt(Guard, Attempt);
}

static void addSuspect(CrashGuard &Guard, const Digest &Content,
                       const std::string &Upstream, TimePoint At) {
  const auto Cleared = Guard.Cleared.find(Content);
  if (Cleared != Guard.Cleared.end()) {
    if (Cleared->second >= At)
      return;
    Guard.Cleared.erase(Cleared);
  }
  Suspicion &Entry = Guard.Suspects[Content];
  // A relayed signature differs in age by its transit time, which alone must
  // not count as a change.
  if (Entry.Upstreams.size() < Guard.Options.MaxUpstreamsPerSuspect &&
      Entry.Upstreams.insert(Upstream).second)
    ++Guard.Revision;
  Entry.LastCrash = std::max(Entry.LastCrash, At);
  dropOldest(Guard.Suspects, Guard.Options.MaxSuspects,
             [](const Suspicion &Item) { return Item.LastCrash; });
}

/// Returns the crash of \p Upstream if its attempts indicate one. Attempts that
/// can be removed from the guard are added to \p Settled.
static std::optional<DetectedCrash>
findCrash(const CrashGuard &Guard, const std::string &Upstream,
          const std::set<std::string> &Names, TimePoint Now,
          std::vector<std::string> &Settled) {
  std::optional<TimePoint> First;
  for (const std::string &Name : Names)
    if (const auto &Broken = Guard.Attempts.at(Name).BrokenAt)
      First = First ? std::min(*First, *Broken) : *Broken;
  if (!First)
    return std::nullopt;
  DetectedCrash Crash{Upstream, *First, {}};
  std::vector<std::string> Broken;
  bool AllBroken = true;
  for (const std::string &Name : Names) {
    const GuardedAttempt &Attempt = Guard.Attempts.at(Name);
    if (Attempt.BrokenAt) {
      Crash.At = std::max(Crash.At, *Attempt.BrokenAt);
      Crash.Contents.push_back(Attempt.Content);
      Broken.push_back(Name);
    } else if (Attempt.StartedAt <= *First) {
      // An attempt that started later may run on the restarted upstream.
      AllBroken = false;
    }
  }
  // If another request still runs, the upstream is alive and only individual
  // connections broke.
  const bool WindowOver = Now - *First >= Guard.Options.Window;
  if (AllBroken || WindowOver)
    Settled.insert(Settled.end(), Broken.begin(), Broken.end());
  if (!AllBroken || Crash.At - *First > Guard.Options.Window)
    return std::nullopt;
  return Crash;
}

/// Withdraws the suspicions raised by \p Crash, which was a network fault.
static void withdraw(CrashGuard &Guard, const DetectedCrash &Crash) {
  for (const Digest &Content : Crash.Contents) {
    const auto It = Guard.Suspects.find(Content);
    if (It == Guard.Suspects.end())
      continue;
    It->second.Upstreams.erase(Crash.Upstream);
    if (It->second.Upstreams.empty())
      Guard.Suspects.erase(It);
  }
}

static void forgetExpired(CrashGuard &Guard, TimePoint Now) {
  const CrashGuardOptions &Options = Guard.Options;
  std::erase_if(Guard.Suspects, [&](const auto &Item) {
    const bool MayBeRefused =
        Item.second.Upstreams.size() >=
        static_cast<std::size_t>(Options.UpstreamsToRefuse);
    return Now - Item.second.LastCrash >
           (MayBeRefused ? std::max(Options.SuspicionTtl, Options.MaxRefusal)
                         : Options.SuspicionTtl);
  });
  std::erase_if(Guard.Cleared, [&](const auto &Item) {
    return Now - Item.second > Options.SuspicionTtl;
  });
  std::erase_if(Guard.Recent, [&](const DetectedCrash &Crash) {
    return Now - Crash.At > Options.Window;
  });
}

std::vector<DetectedCrash> detectCrashes(CrashGuard &Guard, TimePoint Now) {
  forgetExpired(Guard, Now);
  std::vector<DetectedCrash> Crashes;
  std::vector<std::string> Settled;
  const std::size_t InUse = Guard.AttemptsByUpstream.size();
  for (const auto &[Upstream, Names] : Guard.AttemptsByUpstream)
    if (auto Crash = findCrash(Guard, Upstream, Names, Now, Settled))
      Crashes.push_back(std::move(*Crash));
  for (const DetectedCrash &Crash : Crashes) {
    for (const Digest &Content : Crash.Contents)
      addSuspect(Guard, Content, Crash.Upstream, Crash.At);
    Guard.Recent.push_back(Crash);
  }
  for (const std::string &Name : Settled)
    removeAttempt(Guard, Name);
  if (Guard.Recent.size() >= Guard.Options.NetworkFault &&
      2 * Guard.Recent.size() > InUse) {
    for (const DetectedCrash &Crash : Guard.Recent)
      withdraw(Guard, Crash);
    Crashes.clear();
  }
  return Crashes;
}

bool isRefused(const CrashGuard &Guard, const Digest &Content, TimePoint Now) {
  const auto It = Guard.Suspects.find(Content);
  if (It == Guard.Suspects.end())
    return false;
  const int Beyond = static_cast<int>(It->second.Upstreams.size()) -
                     Guard.Options.UpstreamsToRefuse;
  if (Beyond < 0)
    return false;
  // After a refusal ends, one attempt at a time is admitted as a probe. It
  // clears a harmless content; another crash makes the next refusal longer.
  if (upstreamOfSuspect(Guard, Content))
    return true;
  const Duration Refusal = std::min<Duration>(Guard.Options.InitialRefusal *
                                                  (1 << std::min(Beyond, 16)),
                                              Guard.Options.MaxRefusal);
  return Now - It->second.LastCrash < Refusal;
}

std::vector<std::string> upstreamsToAvoid(const CrashGuard &Guard,
                                          const Digest &Content) {
  std::vector<std::string> Avoid;
  const auto It = Guard.Suspects.find(Content);
  if (It == Guard.Suspects.end())
    return Avoid;
  Avoid.assign(It->second.Upstreams.begin(), It->second.Upstreams.end());
  for (const auto &[Attempt, Running] : Guard.Attempts)
    if (!Running.BrokenAt && Running.Content != Content &&
        Guard.Suspects.contains(Running.Content))
      Avoid.push_back(Running.Upstream);
  return Avoid;
}

std::optional<std::string> upstreamOfSuspect(const CrashGuard &Guard,
                                             const Digest &Content) {
  if (Guard.Suspects.contains(Content))
    for (const auto &[Attempt, Running] : Guard.Attempts)
      if (!Running.BrokenAt && Running.Content == Content)
        return Running.Upstream;
  return std::nullopt;
}

std::vector<CrashSignature> exportSignatures(const CrashGuard &Guard,
                                             std::size_t Limit, TimePoint Now) {
  std::vector<std::pair<TimePoint, CrashSignature>> All;
  for (const auto &[Content, Entry] : Guard.Suspects)
    All.emplace_back(
        Entry.LastCrash,
        CrashSignature{
            Content, {Entry.Upstreams.begin(), Entry.Upstreams.end()}, {}});
  for (const auto &[Content, At] : Guard.Cleared)
    All.emplace_back(At, CrashSignature{Content, {}, {}});
  const std::size_t Count = std::min(All.size(), Limit);
  std::partial_sort(
      All.begin(), All.begin() + static_cast<std::ptrdiff_t>(Count), All.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  std::vector<CrashSignature> Signatures;
  Signatures.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I) {
    All[I].second.Age =
        std::max(std::chrono::duration_cast<Milliseconds>(Now - All[I].first),
                 Milliseconds(0));
    Signatures.push_back(std::move(All[I].second));
  }
  return Signatures;
}

bool importSignatures(CrashGuard &Guard,
                      std::span<const CrashSignature> Signatures,
                      TimePoint Now) {
  const std::uint64_t Before = Guard.Revision;
  for (const CrashSignature &Signature : Signatures) {
    // A negative age must not extend a suspicion beyond its maximum.
    const TimePoint At = Now - std::max(Signature.Age, Milliseconds(0));
    if (Signature.Upstreams.empty()) {
      const auto It = Guard.Suspects.find(Signature.Content);
      if (It != Guard.Suspects.end() && It->second.LastCrash < At)
        clear(Guard, Signature.Content, At);
      continue;
    }
    for (const std::string &Upstream : Signature.Upstreams)
      addSuspect(Guard, Signature.Content, Upstream, At);
  }
  return Guard.Revision != Before;
}

} // namespace galenaroute
