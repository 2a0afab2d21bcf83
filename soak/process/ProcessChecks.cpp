#include "ProcessChecks.h"

#include <algorithm>
#include <csignal>
#include <set>

namespace galenaroute::process_soak {

/// A request that was read by an upstream this long after its process went on
/// may have been sent at any time before.
static constexpr Duration WakeSlack = std::chrono::milliseconds(200);
/// The timeout of a route may pass this much sooner than the caller sees it.
static constexpr Duration TimerSlack = std::chrono::milliseconds(50);
static constexpr std::size_t FewestRecovered = 20;
static constexpr std::size_t FewestTakeUps = 12;

static std::string milliseconds(Duration Time) {
  return std::to_string(toMilliseconds(Time)) + " ms";
}

static bool overlaps(const Span &One, TimePoint From, TimePoint Until) {
  return One.From <= Until && One.Until >= From;
}

static Duration overlap(const std::vector<Span> &Spans, TimePoint From,
                        TimePoint Until) {
  Duration Sum = Duration::zero();
  for (const Span &Each : Spans)
    Sum += std::max(Duration::zero(),
                    std::min(Each.Until, Until) - std::max(Each.From, From));
  return Sum;
}

template <typename Key>
static const std::vector<Span> &
spansOf(const std::map<Key, std::vector<Span>> &All, const Key &Of) {
  static const std::vector<Span> Nothing;
  const auto Found = All.find(Of);
  return Found == All.end() ? Nothing : Found->second;
}

static std::optional<TimePoint> firstSignal(const LifeView &Life, int Number) {
  for (const SignalView &Each : Life.Signals)
    if (Each.Number == Number)
      return Each.At;
  return std::nullopt;
}

/// Whether the daemon was frozen, or one of its processes started, ended or got
/// SIGKILL or SIGTERM.
static bool wasDisturbed(const ProcessHistory &History, std::size_t Daemon,
                         TimePoint From, TimePoint Until) {
  const auto IsWithin = [&](TimePoint At) { return At >= From && At <= Until; };
  for (const Span &Each : spansOf(History.Freezes, Daemon))
    if (overlaps(Each, From, Until))
      return true;
  return std::any_of(
      History.Lives.begin(), History.Lives.end(), [&](const LifeView &Each) {
        return Each.Daemon == Daemon &&
               (IsWithin(Each.StartedAt) ||
                (Each.EndedAt && IsWithin(*Each.EndedAt)) ||
                std::any_of(Each.Signals.begin(), Each.Signals.end(),
                            [&](const SignalView &Signal) {
                              return Signal.Number != SIGHUP &&
                                     IsWithin(Signal.At);
                            }));
      });
}

static const std::vector<WorkView> &worksOf(const ProcessHistory &History,
                                            const std::string &Id) {
  static const std::vector<WorkView> Nothing;
  const auto Found = History.Works.find(Id);
  return Found == History.Works.end() ? Nothing : Found->second;
}

void checkEnds(const ProcessHistory &History, const ProcessBounds &Bounds,
               BrokenPromises &Found) {
  for (const LifeView &Each : History.Lives) {
    if (!Each.EndedAt)
      continue;
    const auto Term = firstSignal(Each, SIGTERM);
    const auto Kill = firstSignal(Each, SIGKILL);
    const std::string Name =
        "daemon " + std::to_string(Each.Daemon) + " process " +
        std::to_string(Each.Process) + " ended with " +
        std::to_string(Each.ExitCode) + " " +
        milliseconds(*Each.EndedAt - Each.StartedAt) + " after its start";
    const bool IsKilled = Each.ExitCode == -SIGKILL && Kill;
    const bool IsStopped = Each.ExitCode == 0 && Term;
    if (!IsKilled && !IsStopped) {
      Found.push_back({"no process ends by itself", "", Name});
      continue;
    }
    if (!Term)
      continue;
    const Duration Frozen =
        overlap(spansOf(History.Freezes, Each.Daemon), *Term, *Each.EndedAt);
    if (*Each.EndedAt - *Term > Bounds.Grace + Frozen)
      Found.push_back({"a planned stop ends in time", "",
                       Name + ", " + milliseconds(*Each.EndedAt - *Term) +
                           " after SIGTERM"});
  }
}

void checkStarts(const ProcessHistory &History, const ProcessBounds &Bounds,
                 BrokenPromises &Found) {
  for (const LifeView &Each : History.Lives) {
    if (Each.ReadyAt || !Each.AloneAt)
      continue;
    TimePoint Until = Each.EndedAt.value_or(History.EndedAt);
    for (const SignalView &Signal : Each.Signals)
      if (Signal.Number != SIGHUP)
        Until = std::min(Until, Signal.At);
    const TimePoint From = std::max(Each.StartedAt, *Each.AloneAt);
    const Duration Frozen =
        overlap(spansOf(History.Freezes, Each.Daemon), From, Until) +
        overlap(History.StoreFreezes, From, Until);
    if (Until - From > Bounds.Recovery + Frozen)
      Found.push_back({"each start ends up serving", "",
                       "daemon " + std::to_string(Each.Daemon) + " process " +
                           std::to_string(Each.Process) + " was not ready " +
                           milliseconds(Until - From) + " after its start"});
  }
}

void checkRunsOnce(const ProcessHistory &History, const ProcessBounds &,
                   BrokenPromises &Found) {
  for (const auto &[Id, Request] : History.Requests) {
    const auto &Works = worksOf(History, Id);
    if (!Request.mayRepeat() && Works.size() > 1)
      Found.push_back({"runs at most once", Id,
                       "accepted " + std::to_string(Works.size()) + " times"});
  }
}

/// Whether \p One was sent before \p Other: it was accepted sooner, or its
/// process stood still when the other was accepted, and it begins no later
/// although the other has not stopped.
static bool isEarlier(const ProcessHistory &History, const WorkView &One,
                      const WorkView &Other) {
  if (One.AcceptedAt <= Other.AcceptedAt)
    return true;
  const bool HasBroken =
      Other.OverAt && !Other.HasEnded && *Other.OverAt <= One.AcceptedAt;
  if (HasBroken || One.After > Other.After)
    return false;
  const auto &Silences = spansOf(History.Silences, One.Upstream);
  return std::any_of(Silences.begin(), Silences.end(), [&](const Span &Each) {
    return Each.From <= Other.AcceptedAt && Each.Until <= One.AcceptedAt &&
           One.AcceptedAt <= Each.Until + WakeSlack;
  });
}

void checkHandovers(const ProcessHistory &History, const ProcessBounds &Bounds,
                    BrokenPromises &Found) {
  for (const auto &[Id, Request] : History.Requests) {
    if (!Request.isStream())
      continue;
    const auto &Works = worksOf(History, Id);
    Duration Longest = Duration::zero();
    BrokenPromise Worst;
    for (const WorkView &Second : Works)
      for (const WorkView &First : Works) {
        if (&First == &Second || !Second.BegunAt ||
            !isEarlier(History, First, Second))
          continue;
        // A request runs from its first event on. One that is read late,
        // together with the close of its connection, has not run.
        if (First.AcceptedAt > *Second.BegunAt && !First.BegunAt)
          continue;
        const Duration Late = First.LastAt - *Second.BegunAt;
        if (Late <= std::max(Longest, Bounds.Handover) ||
            wasDisturbed(History, Request.Daemon,
                         *Second.BegunAt - Bounds.Contact, First.LastAt))
          continue;
        const TimePoint From = *Second.BegunAt - Bounds.Contact;
        const auto IsExcused = [&](const std::vector<Span> &Spans,
                                   Duration Least) {
          return std::any_of(Spans.begin(), Spans.end(), [&](const Span &Each) {
            return Each.Until - Each.From > Least &&
                   overlaps(Each, From, First.LastAt);
          });
        };
        if (IsExcused(spansOf(History.Silences, First.Upstream),
                      Bounds.LongestSilence) ||
            IsExcused(History.StoreFreezes, Duration::zero()))
          continue;
        Longest = Late;
        const bool HasBegunLater = First.AcceptedAt > *Second.BegunAt;
        Worst = {HasBegunLater ? "the upstream before does not begin later"
                               : "the upstream before has stopped",
                 Id,
                 First.Upstream +
                     (HasBegunLater ? " read the request later, and was done "
                                    : " was at work ") +
                     milliseconds(Late) + " after " + Second.Upstream +
                     " had begun"};
      }
    if (Longest > Duration::zero())
      Found.push_back(Worst);
  }
}

void checkRefusals(const ProcessHistory &History, const ProcessBounds &,
                   BrokenPromises &Found) {
  static const std::set<int> Promises = {408, 421, 429, 503};
  for (const auto &[Id, Request] : History.Requests) {
    const auto &Works = worksOf(History, Id);
    if (Promises.contains(Request.Status) && !Request.IsStamped &&
        !Works.empty())
      Found.push_back({"not run is true", Id,
                       "answered " + std::to_string(Request.Status) +
                           " and accepted by " + Works.front().Upstream});
  }
}

/// Whether an upstream may have ended the answer. One that the caller has seen
/// nothing of must have begun: what the daemon had not sent yet is lost when it
/// resets the connection.
static bool mayBeBroken(const ProcessHistory &History, const RequestView &Of,
                        const std::vector<WorkView> &Works) {
  return std::any_of(Works.begin(), Works.end(), [&](const WorkView &Each) {
    if (Of.End == RequestEnd::None && !Each.BegunAt)
      return false;
    const auto End = History.UpstreamEnds.find(Each.Upstream);
    return Each.HasBroken ||
           (End != History.UpstreamEnds.end() && !Each.HasEnded &&
            !Each.HasFailed && End->second >= Each.AcceptedAt &&
            End->second <= Of.EndedAt);
  });
}

/// Whether a process of the daemon, or of one that relayed the request, was
/// killed or used up its grace time.
static bool mayBeKilled(const ProcessHistory &History,
                        const ProcessBounds &Bounds, const RequestView &Of) {
  return std::any_of(
      History.Lives.begin(), History.Lives.end(), [&](const LifeView &Each) {
        const bool IsPassed =
            Each.Daemon == Of.Daemon || Of.Helpers.contains(Each.Daemon);
        if (!IsPassed || Each.StartedAt > Of.EndedAt)
          return false;
        const auto Kill = firstSignal(Each, SIGKILL);
        const auto Term = firstSignal(Each, SIGTERM);
        return (Kill && *Kill >= Of.SentAt - Bounds.Contact &&
                *Kill <= Of.EndedAt) ||
               (Term && (!Each.EndedAt || *Each.EndedAt >= Of.SentAt) &&
                Of.EndedAt - *Term > Bounds.Grace * 5 / 6);
      });
}

void checkAnswers(const ProcessHistory &History, const ProcessBounds &Bounds,
                  BrokenPromises &Found) {
  for (const auto &[Id, Request] : History.Requests) {
    const auto &Works = worksOf(History, Id);
    const Duration Time = Request.EndedAt - Request.SentAt;
    const bool IsFrozen = overlap(spansOf(History.Freezes, Request.Daemon),
                                  Request.SentAt - Bounds.Contact,
                                  Request.EndedAt) > Duration::zero();
    if (mayBeKilled(History, Bounds, Request))
      continue;
    if (Request.End == RequestEnd::Expired) {
      if (!IsFrozen)
        Found.push_back({"a whole request gets an answer", Id,
                         "no answer within " + milliseconds(Time)});
      continue;
    }
    const bool HasNone = Request.End == RequestEnd::None;
    if ((!HasNone && Request.End != RequestEnd::Cut) ||
        Time >= std::min(Bounds.Timeout, Request.Limit) - TimerSlack ||
        // A request that crosses the close of its connection was not read.
        (HasNone && Works.empty() && Time <= Bounds.LossSlack) ||
        mayBeBroken(History, Request, Works))
      continue;
    Found.push_back({HasNone ? "a whole request gets an answer"
                             : "an answer is carried to its end",
                     Id,
                     "the connection to daemon " +
                         std::to_string(Request.Daemon) + " ended after " +
                         milliseconds(Time) +
                         (IsFrozen ? ", beside a freeze" : "")});
  }
}

using Attempt = std::pair<const std::string, RequestView>;

/// Returns the requests for each stream in order of time, by the first one that
/// brought an event.
static std::map<std::string, std::vector<const Attempt *>>
attemptsOf(const ProcessHistory &History) {
  std::map<std::string, std::vector<const Attempt *>> Result;
  for (const Attempt &Each : History.Requests)
    if (Each.second.isStream())
      Result[Each.second.First.empty() ? Each.first : Each.second.First]
          .push_back(&Each);
  for (auto &[First, Attempts] : Result)
    std::sort(Attempts.begin(), Attempts.end(), [](auto *One, auto *Other) {
      return One->second.SentAt < Other->second.SentAt;
    });
  return Result;
}

void checkEvents(const ProcessHistory &History, const ProcessBounds &Bounds,
                 BrokenPromises &Found) {
  for (const auto &[Id, Request] : History.Requests) {
    if (!Request.isStream() || Request.Status != 200)
      continue;
    bool IsInOrder = true;
    for (std::size_t I = 0; I < Request.Events.size(); ++I)
      IsInOrder = IsInOrder &&
                  Request.Events[I] == Request.After + static_cast<int>(I) + 1;
    const auto Count = static_cast<int>(Request.Events.size());
    if (!IsInOrder)
      Found.push_back({"events come once and in order", Id, ""});
    else if (Request.End == RequestEnd::Whole &&
             Request.After + Count != Bounds.EventsOfWhole)
      Found.push_back({"a whole stream has all events", Id,
                       std::to_string(Count) + " events"});
  }
  for (const auto &[First, Attempts] : attemptsOf(History)) {
    int Last = 0;
    for (const Attempt *Each : Attempts)
      for (const int Event : Each->second.Events) {
        if (Event != Last + 1 && Attempts.size() > 1)
          Found.push_back({"events go on where a stream broke off", Each->first,
                           "event " + std::to_string(Event) + " after " +
                               std::to_string(Last) + " of " + First});
        Last = Event;
      }
  }
}

/// Without the service. A stream without a record may go on at another service
/// of its route, but only if that has the same version.
static std::string_view softwareOf(std::string_view Version) {
  return Version.substr(Version.find('/') + 1);
}

void checkVersions(const ProcessHistory &History, const ProcessBounds &,
                   BrokenPromises &Found) {
  for (const auto &[First, Attempts] : attemptsOf(History)) {
    std::string Origin;
    std::string Other;
    const Attempt *Joined = nullptr;
    for (const Attempt *Each : Attempts)
      for (const std::string &Version : Each->second.Versions) {
        if (Origin.empty())
          Origin = Version;
        if (softwareOf(Version) != softwareOf(Origin) && Joined == nullptr) {
          Joined = Each;
          Other = Version;
        }
      }
    if (Joined != nullptr)
      Found.push_back(
          {"a stream holds events of one version", Joined->first,
           Other.append(" after ").append(Origin).append(" of ").append(
               First)});
  }
}

/// Whether two upstreams were there that can go on with a stream.
static bool hasTwoUpstreams(const ProcessHistory &History,
                            const std::string &Version, TimePoint From,
                            TimePoint Until) {
  return std::count_if(History.Upstreams.begin(), History.Upstreams.end(),
                       [&](const auto &Named) {
                         const UpstreamView &Each = Named.second;
                         return Each.Version == Version &&
                                Each.StartedAt <= From &&
                                Each.EndsAt.value_or(Until) >= Until;
                       }) >= 2;
}

BeginCounts countBegins(const ProcessHistory &History,
                        const ProcessBounds &Bounds) {
  BeginCounts Counts;
  for (const auto &[Id, Request] : History.Requests) {
    if (Request.Route != "stream" || Request.End == RequestEnd::Open ||
        Request.End == RequestEnd::Unsent)
      continue;
    const TimePoint From = Request.SentAt - Bounds.Contact;
    const TimePoint Until = Request.FirstEventAt.value_or(Request.EndedAt);
    if (wasDisturbed(History, Request.Daemon, From, Until) ||
        overlap(History.StoreFreezes, From, Until) > Duration::zero() ||
        overlap(spansOf(History.TurnedAway, Request.Daemon), From, Until) >
            Duration::zero())
      continue;
    const bool HasBegun = Request.Status == 200 && Request.FirstEventAt;
    if (Request.First.empty()) {
      ++Counts.New;
      Counts.NewBegun += HasBegun;
      continue;
    }
    const auto First = History.Requests.find(Request.First);
    if (First == History.Requests.end() || First->second.Versions.empty() ||
        !hasTwoUpstreams(History, First->second.Versions.front(), From, Until))
      continue;
    ++Counts.TakenUp;
    Counts.WentOn += HasBegun;
  }
  return Counts;
}

void checkTakeUps(const ProcessHistory &History, const ProcessBounds &Bounds,
                  BrokenPromises &Found) {
  const BeginCounts Counts = countBegins(History, Bounds);
  if (Counts.TakenUp >= FewestTakeUps &&
      2 * Counts.WentOn * Counts.New < Counts.NewBegun * Counts.TakenUp)
    Found.push_back({"streams are taken up", "",
                     std::to_string(Counts.WentOn) + " of " +
                         std::to_string(Counts.TakenUp) + " went on, " +
                         std::to_string(Counts.NewBegun) + " of " +
                         std::to_string(Counts.New) + " new ones began"});
}

void checkOwnAnswers(const ProcessHistory &History, const ProcessBounds &,
                     BrokenPromises &Found) {
  for (const auto &[Id, Request] : History.Requests) {
    if (!Request.Foreign.empty())
      Found.push_back({"answers are the caller's own", Id, Request.Foreign});
    if (Request.End == RequestEnd::Malformed)
      Found.push_back({"answers are the caller's own", Id, "malformed"});
  }
  for (const std::string &Each : History.Foreign)
    Found.push_back({"answers are the caller's own", "", Each});
}

void checkRecovery(const ProcessHistory &History, const ProcessBounds &Bounds,
                   BrokenPromises &Found) {
  struct {
    std::size_t Sent = 0;
    std::size_t Served = 0;
    bool isServed() const { return this->Served * 4 >= this->Sent; }
  } Before, After;
  for (const auto &[Id, Request] : History.Requests) {
    if (Request.SentAt >= History.LastFaultAt &&
        Request.SentAt < History.LastFaultAt + Bounds.Recovery)
      continue;
    auto &Count = Request.SentAt < History.LastFaultAt ? Before : After;
    ++Count.Sent;
    Count.Served += Request.Status == 200 && Request.End == RequestEnd::Whole;
  }
  if (After.Sent < FewestRecovered || (Before.isServed() && !After.isServed()))
    Found.push_back({"service recovers", "",
                     std::to_string(After.Served) + " of " +
                         std::to_string(After.Sent) + " requests were served"});
}

static std::string nameOf(const LifeView &Life) {
  return "daemon " + std::to_string(Life.Daemon) + " process " +
         std::to_string(Life.Process);
}

void checkResources(const ProcessHistory &History, const ProcessBounds &Bounds,
                    BrokenPromises &Found) {
  for (const LifeView &Each : History.Lives) {
    if (Each.MostMemory > Bounds.MemoryBytes)
      Found.push_back({"memory stays bounded", "",
                       nameOf(Each) + " held " +
                           std::to_string(Each.MostMemory) + " bytes"});
    if (Each.MostDescriptors > Bounds.Descriptors)
      Found.push_back({"descriptors stay bounded", "",
                       nameOf(Each) + " had " +
                           std::to_string(Each.MostDescriptors) + " open"});
  }
}

void checkLastRequests(const ProcessHistory &History, const ProcessBounds &,
                       BrokenPromises &Found) {
  for (const LifeView &Each : History.Lives)
    if (!Each.HasServedLast.value_or(true))
      Found.push_back({"daemons serve once clients have gone", "",
                       nameOf(Each) + " served no ordinary request"});
}

void checkSanitizers(const ProcessHistory &History, const ProcessBounds &,
                     BrokenPromises &Found) {
  for (const std::string &Each : History.SanitizerReports)
    Found.push_back({"sanitizers report nothing", "", Each});
}

BrokenPromises checkProcesses(const ProcessHistory &History,
                              const ProcessBounds &Bounds) {
  BrokenPromises Found;
  for (const auto &Check :
       {checkEnds, checkStarts, checkRunsOnce, checkHandovers, checkRefusals,
        checkAnswers, checkEvents, checkVersions, checkTakeUps, checkOwnAnswers,
        checkRecovery, checkResources, checkLastRequests, checkSanitizers})
    Check(History, Bounds, Found);
  return Found;
}

std::size_t countHandovers(const ProcessHistory &History) {
  return static_cast<std::size_t>(std::count_if(
      History.Works.begin(), History.Works.end(), [&](const auto &Each) {
        const auto Request = History.Requests.find(Each.first);
        return Request != History.Requests.end() &&
               Request->second.isStream() &&
               std::count_if(Each.second.begin(), Each.second.end(),
                             [](const WorkView &Work) {
                               return Work.BegunAt.has_value();
                             }) > 1;
      }));
}

} // namespace galenaroute::process_soak
