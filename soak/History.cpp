#include "History.h"

#include "PromptChecks.h"
#include "SoakWeights.h"

#include <algorithm>
#include <set>

namespace galenaroute::soak {

using Broken = std::vector<BrokenPromise>;

/// Shares of calls served before and after the last fault are compared over at
/// least this many calls.
static constexpr std::size_t LeastCallsToCompare = 20;
static constexpr double LeastServedShare = 0.25;

std::string answerOf(const std::string &Call, const std::string &Body) {
  return "answer to " + Call + " of " + std::to_string(Body.size()) + ":" +
         Body;
}

static bool promisesNotRun(int Status) {
  return Status == 503 || Status == 429 || Status == 408 || Status == 421;
}

static bool isServed(const CallerView &Call) {
  return Call.Status == 200 && Call.IsWhole;
}

static void checkAnswers(const SoakHistory &History, Broken &Found) {
  for (const auto &[Id, Call] : History.Calls) {
    if (isServed(Call) && Call.Answer != answerOf(Id, Call.Body))
      Found.push_back({"own whole answer", Id, "got '" + Call.Answer + "'"});
    if (Call.Status >= 300 && Call.Status < 500 && !promisesNotRun(Call.Status))
      Found.push_back({"proper calls are not denied", Id,
                       "status " + std::to_string(Call.Status)});
  }
}

static void checkArrivals(const SoakHistory &History, const SoakBounds &Bounds,
                          Broken &Found) {
  std::map<std::string, std::set<std::string>> Ran;
  std::map<std::string, std::size_t> Runs;
  for (const UpstreamView &Each : History.Arrivals) {
    const auto Call = History.Calls.find(Each.Call);
    if (Call == History.Calls.end()) {
      Found.push_back({"only calls of callers run", Each.Call, Each.Upstream});
      continue;
    }
    if (Each.Path != Call->second.Path || Each.Body != Call->second.Body)
      Found.push_back(
          {"calls are unchanged", Each.Call,
           Each.Path + " with " + std::to_string(Each.Body.size()) + " bytes"});
    if (!Each.HasRun)
      continue;
    ++Runs[Each.Call];
    Ran[Each.Call].insert(Each.Upstream);
  }
  for (const auto &[Id, Count] : Runs) {
    const CallerView &Call = History.Calls.at(Id);
    const std::string Text = "ran " + std::to_string(Count) + " times";
    if (Call.IsOnce && Count > 1)
      Found.push_back({"at most once", Id, Text});
    if (!Call.IsOnce && Ran[Id].size() > Bounds.MaxUpstreams)
      Found.push_back({"at most two upstreams", Id, Text});
    if (promisesNotRun(Call.Status))
      Found.push_back({"not run is true", Id,
                       "status " + std::to_string(Call.Status) + ", " + Text});
  }
}

bool isInTouch(const SoakHistory &History, const SoakBounds &Bounds,
               std::size_t Daemon, TimePoint At) {
  return std::none_of(History.Disturbances.begin(), History.Disturbances.end(),
                      [&](const Disturbance &Each) {
                        return (!Each.Daemon || *Each.Daemon == Daemon) &&
                               Each.From <= At &&
                               At <= Each.Until + Bounds.Contact;
                      });
}

static void checkCrashes(const SoakHistory &History, const SoakBounds &Bounds,
                         Broken &Found) {
  using Content = std::pair<std::string, std::string>; // path and body
  std::map<Content, std::vector<TimePoint>> Crashes;
  std::map<Content, std::size_t> Later;
  const std::vector<TimePoint> Losses = lossesOfEvidence(History, Bounds);
  std::size_t Lost = 0;
  for (const UpstreamView &Each : History.Arrivals) {
    for (; Lost < Losses.size() && Losses[Lost] <= Each.At; ++Lost)
      Crashes.clear();
    std::vector<TimePoint> &Seen = Crashes[{Each.Path, Each.Body}];
    const auto Call = History.Calls.find(Each.Call);
    if (Seen.size() >= Bounds.CrashesAllowed &&
        Each.At > Seen[Bounds.CrashesAllowed - 1] + Bounds.Contact &&
        Call != History.Calls.end() &&
        isInTouch(History, Bounds, Call->second.Daemon, Each.At))
      ++Later[{Each.Path, Each.Body}];
    if (Each.HasCrashed)
      Seen.push_back(Each.At);
  }
  for (const auto &[Content, Count] : Later)
    if (Count > Bounds.CrashesAllowed)
      Found.push_back({"a crashing call is refused", "",
                       std::to_string(Count) + " later sends of " +
                           Content.first + " after it had crashed three"});
}

/// Arrivals beyond the first of each call, in any window.
static void checkRetries(const SoakHistory &History, const SoakBounds &Bounds,
                         Broken &Found) {
  std::set<std::string> Seen;
  std::vector<TimePoint> Repeats;
  for (const UpstreamView &Each : History.Arrivals)
    if (!Seen.insert(Each.Call).second)
      Repeats.push_back(Each.At);
  std::vector<TimePoint> Sent;
  for (const auto &[Id, Call] : History.Calls)
    if (!Call.IsForEngines)
      Sent.push_back(Call.SentAt);
  std::sort(Sent.begin(), Sent.end());
  const auto CountIn = [](const std::vector<TimePoint> &All, TimePoint From,
                          TimePoint To) {
    return static_cast<double>(std::upper_bound(All.begin(), All.end(), To) -
                               std::lower_bound(All.begin(), All.end(), From));
  };
  for (const TimePoint End : Repeats) {
    const TimePoint From = End - Bounds.RetryWindow;
    // The window, the one before it, or the one half a window before.
    const double Calls =
        std::max({CountIn(Sent, From, End),
                  CountIn(Sent, From - Bounds.RetryWindow, From),
                  CountIn(Sent, From - Bounds.RetryWindow / 2,
                          End - Bounds.RetryWindow / 2)});
    const double Count = CountIn(Repeats, From, End);
    if (Count <= Bounds.RetryShare * Calls + Bounds.RetrySlack)
      continue;
    Found.push_back({"retries stay within the allowance", "",
                     std::to_string(Count) + " repeats in a window with " +
                         std::to_string(Calls) + " calls"});
    return;
  }
}

static void checkStops(const SoakHistory &History, const SoakBounds &Bounds,
                       Broken &Found) {
  for (const StopView &Each : History.Stops) {
    if (Each.WasDisturbed)
      continue;
    const std::string Name = "daemon " + std::to_string(Each.Daemon);
    if (!Each.EndedAt || *Each.EndedAt - Each.At > Bounds.Grace)
      Found.push_back({"a planned stop ends in time", "", Name});
    else if (Each.ExitCode != 0)
      Found.push_back({"a planned stop ends in time", "",
                       Name + " ended with " + std::to_string(Each.ExitCode)});
  }
}

static void checkRecovery(const SoakHistory &History, const SoakBounds &Bounds,
                          Broken &Found) {
  std::size_t Later = 0;
  std::size_t Served = 0;
  for (const auto &[Id, Call] : History.Calls) {
    if (Call.IsCrashing || Call.SentAt < History.LastFaultAt + Bounds.Recovery)
      continue;
    ++Later;
    Served += isServed(Call);
  }
  if (Later >= LeastCallsToCompare &&
      static_cast<double>(Served) <
          LeastServedShare * static_cast<double>(Later))
    Found.push_back({"service recovers", "",
                     std::to_string(Served) + " of " + std::to_string(Later) +
                         " calls served after the last fault"});
}

/// Upstreams get no more calls than the limits that they stated allow. A
/// restart or a freeze excuses a daemon, the loss of the store does not.
static void checkRateLimits(const SoakHistory &History,
                            const SoakBounds &Bounds, Broken &Found) {
  for (const auto &[Upstream, Seen] : History.RateLimits) {
    testing_support::RateLimitHistory Judged = Seen;
    for (const Disturbance &Each : History.Disturbances)
      if (Each.Daemon && !Each.IsStoreOnly)
        Judged.excuse(*Each.Daemon, Each.From, Each.Until + Bounds.Contact);
    if (const auto Excess = findExcess(Judged, {}))
      Found.push_back(
          {"stated limits are kept", "", Upstream + ": " + Excess->toString()});
  }
}

std::vector<BrokenPromise> checkHistory(const SoakHistory &History,
                                        const SoakBounds &Bounds) {
  Broken Found;
  checkAnswers(History, Found);
  checkArrivals(History, Bounds, Found);
  checkCrashes(History, Bounds, Found);
  checkRetries(History, Bounds, Found);
  checkStops(History, Bounds, Found);
  checkRateLimits(History, Bounds, Found);
  checkWeights(History, Bounds, Found);
  checkRecovery(History, Bounds, Found);
  checkPrompts(History, Bounds, Found);
  checkConnections(History, Bounds, Found);
  checkSilences(History, Bounds, Found);
  checkConfigOrder(History, Found);
  checkConfigTimes(History, Bounds, Found);
  checkOrders(History, Bounds, Found);
  checkRewrites(History, Bounds, Found);
  return Found;
}

} // namespace galenaroute::soak
