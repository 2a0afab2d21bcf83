#include "SilenceChecks.h"

#include "History.h"

#include <algorithm>

namespace galenaroute::soak {

/// A machine that is silent for longer may be taken for gone.
static constexpr Duration LongestSilence = std::chrono::milliseconds(1800);
/// A link to a machine that is silent for good is given up within this time.
static constexpr Duration DeadLinkLimit = std::chrono::milliseconds(4500);
/// Calls beside a machine that is silent for good are judged over at least this
/// many.
static constexpr std::size_t LeastCallsBesideGone = 20;
static constexpr double LeastServedBesideGone = 0.6;

/// Returns whether a machine that is silent for good may have ended a call: it
/// ran there, or it ran nowhere and may have been sent there.
static bool wasLostForGood(const SilenceHistory &History,
                           const SilenceCallView &Call) {
  return std::any_of(
      History.Gone.begin(), History.Gone.end(), [&](const GoneView &Each) {
        return Each.From + LongestSilence <= *Call.EndedAt &&
               Call.SentAt <= Each.Until &&
               (Call.Ran.empty() || Call.Ran.contains(Each.Upstream));
      });
}

/// Returns whether a call that may run nowhere else ended on a machine that was
/// silent for good for less time than it takes to give its link up.
static bool endedBesideNewSilence(const SilenceHistory &History,
                                  const SoakBounds &Bounds,
                                  const SilenceCallView &Call) {
  const std::size_t MaxUpstreams = Call.MayRepeat ? Bounds.MaxUpstreams : 1;
  return Call.Ran.size() >= MaxUpstreams &&
         std::any_of(History.Gone.begin(), History.Gone.end(),
                     [&](const GoneView &Each) {
                       return Call.Ran.contains(Each.Upstream) &&
                              Each.From <= *Call.EndedAt &&
                              *Call.EndedAt < Each.From + DeadLinkLimit;
                     });
}

/// Returns whether the daemon stood still during a call.
static bool wasFrozen(const SoakHistory &History, const KeptCallView &Call) {
  return std::any_of(History.Disturbances.begin(), History.Disturbances.end(),
                     [&](const Disturbance &Each) {
                       return !Each.IsStoreOnly &&
                              (!Each.Daemon || *Each.Daemon == Call.Daemon) &&
                              Each.From <= *Call.EndedAt &&
                              Call.SentAt <= Each.Until;
                     });
}

static void checkEvents(const std::string &Id, const SilenceCallView &Call,
                        std::vector<BrokenPromise> &Found) {
  int Expected = 0;
  const bool IsInOrder =
      std::all_of(Call.Events.begin(), Call.Events.end(),
                  [&](int Each) { return Each == ++Expected; });
  const bool IsServed = Call.IsWhole && Call.Status == 200;
  if (IsInOrder && (!IsServed || Expected == Call.EventsOfWhole))
    return;
  std::string Text = "events";
  for (const int Each : Call.Events)
    Text += " " + std::to_string(Each);
  Found.push_back({"a whole stream has each event once", Id,
                   Text + " of " + std::to_string(Call.EventsOfWhole)});
}

static void checkRuns(const SoakBounds &Bounds, const std::string &Id,
                      const SilenceCallView &Call,
                      std::vector<BrokenPromise> &Found) {
  const std::string Text = "ran " + std::to_string(Call.Runs) + " times, on " +
                           std::to_string(Call.Ran.size()) + " upstreams";
  if (!Call.MayRepeat && Call.Runs > 1)
    Found.push_back({"at most once", Id, Text});
  if (Call.MayRepeat && Call.Ran.size() > Bounds.MaxUpstreams)
    Found.push_back({"at most two upstreams", Id, Text});
  const bool SaysNotRun = Call.Status == 503 || Call.Status == 429 ||
                          Call.Status == 408 || Call.Status == 421;
  if (SaysNotRun && Call.Runs > 0)
    Found.push_back({"not run is true", Id, Text});
}

/// Retries have an allowance, so that single calls may fail.
static void checkBesideGone(const SoakHistory &History,
                            const SoakBounds &Bounds,
                            std::vector<BrokenPromise> &Found) {
  std::size_t Count = 0;
  std::size_t Served = 0;
  for (const auto &Each : History.Silences.Calls) {
    const SilenceCallView &Call = Each.second;
    const bool IsBeside = std::any_of(
        History.Silences.Gone.begin(), History.Silences.Gone.end(),
        [&](const GoneView &Gone) {
          return Gone.From <= Call.SentAt && Call.SentAt <= Gone.Until;
        });
    if (!Call.MayRepeat || !IsBeside || !Call.EndedAt ||
        hasExcuse(History, Bounds, Call) || wasFrozen(History, Call))
      continue;
    ++Count;
    Served += Call.IsWhole && Call.Status == 200;
  }
  if (Count >= LeastCallsBesideGone &&
      static_cast<double>(Served) <
          LeastServedBesideGone * static_cast<double>(Count))
    Found.push_back({"calls are served beside a machine that is gone", "",
                     std::to_string(Served) + " of " + std::to_string(Count)});
}

void checkSilences(const SoakHistory &History, const SoakBounds &Bounds,
                   std::vector<BrokenPromise> &Found) {
  for (const auto &[Id, Call] : History.Silences.Calls) {
    checkRuns(Bounds, Id, Call, Found);
    if (!Call.EndedAt)
      continue;
    // Another answer than the lost one is due where a call may be repeated.
    if (!wasLostForGood(History.Silences, Call) ||
        (Call.MayRepeat && Call.Status == 0))
      checkConnection(History, Bounds, Id, Call, Found);
    if (Call.IsStream)
      checkEvents(Id, Call, Found);
    const Duration Limit = idleLimitIn(History.Connections, Call.IdleSince,
                                       Call.SentAt, Bounds.ConfigApply);
    if (hasExcuse(History, Bounds, Call))
      continue;
    const bool WasLost = wasLostForGood(History.Silences, Call);
    const bool HasFailed = Call.IsWhole && Call.Status >= 500 &&
                           Call.Status != 503 && !hasReachedDeadline(Call) &&
                           !WasLost;
    if (HasFailed)
      Found.push_back({"silence is no failure", Id, describe(Call, Limit)});
    const bool IsServed = Call.IsWhole && Call.Status == 200;
    const bool WasHeld = hasReachedDeadline(Call) && !IsServed;
    if (WasHeld && !wasFrozen(History, Call) &&
        !endedBesideNewSilence(History.Silences, Bounds, Call))
      Found.push_back(
          {"no call is held until its deadline", Id, describe(Call, Limit)});
  }
  checkBesideGone(History, Bounds, Found);
}

} // namespace galenaroute::soak
