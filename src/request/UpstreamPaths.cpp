#include "request/UpstreamPaths.h"

#include <algorithm>
#include <set>

namespace galenaroute {

/// A single upstream that fails is down itself.
static constexpr std::size_t MinFailedUpstreams = 2;
/// Failures within less time may be those of one short disturbance.
static constexpr Duration MinFailureTime = std::chrono::milliseconds(150);
/// A failure that is not repeated within this time tells nothing of the path.
static constexpr Duration MaxFailureAge = std::chrono::seconds(2);
/// Gateways report what they hear each half second.
static constexpr Duration MaxReportAge = std::chrono::milliseconds(1500);
/// With this limit above MaxReportAge, one late report does not end a cut.
static constexpr Duration MaxUnheardTime = std::chrono::seconds(2);
static constexpr Duration TrialInterval = std::chrono::milliseconds(500);
/// Hysteresis keeps a path that works at times only from being used.
static constexpr std::size_t MinTrials = 3;
static constexpr Duration MinTrialTime = std::chrono::seconds(1);
static constexpr Duration MaxHeardAge = std::chrono::milliseconds(300);
static constexpr Duration MaxHearingAge = std::chrono::seconds(1);

static void addFailure(PathEvidence::FailuresByUpstream &Failures,
                       std::string_view Upstream, TimePoint Now) {
  Failures.try_emplace(std::string(Upstream), PathEvidence::Failures{Now, Now})
      .first->second.Last = Now;
}

void noteConnectFailed(PathEvidence &Evidence, std::string_view Upstream,
                       TimePoint Now) {
  addFailure(Evidence.ConnectFailures, Upstream, Now);
  Evidence.TrialsConnected.clear();
}

void noteLinkLost(PathEvidence &Evidence, std::string_view Upstream,
                  TimePoint Now) {
  addFailure(Evidence.LostLinks, Upstream, Now);
}

void noteConnected(PathEvidence &Evidence, std::string_view Upstream,
                   TimePoint Now) {
  Evidence.ConnectFailures.clear();
  Evidence.LostLinks.clear();
  if (Evidence.IsCut)
    Evidence.TrialsConnected.try_emplace(std::string(Upstream), Now);
}

void noteHeard(PathEvidence &Evidence, TimePoint Now) {
  Evidence.HeardAt = Now;
  Evidence.LostLinks.clear();
}

void noteEvent(PathEvidence &Evidence, PathEvent Event,
               std::string_view Upstream, TimePoint Now) {
  switch (Event) {
  case PathEvent::ConnectFailed:
    noteConnectFailed(Evidence, Upstream, Now);
    return;
  case PathEvent::LinkLost:
    noteLinkLost(Evidence, Upstream, Now);
    return;
  case PathEvent::Connected:
    noteConnected(Evidence, Upstream, Now);
    return;
  case PathEvent::Heard:
    noteHeard(Evidence, Now);
    return;
  }
}

void noteOthersHear(PathEvidence &Evidence, TimePoint Now) {
  Evidence.OthersHeardAt = Now;
}

void notePause(PathEvidence &Evidence) {
  Evidence.ConnectFailures.clear();
  Evidence.LostLinks.clear();
  Evidence.TrialsConnected.clear();
}

/// Returns whether other gateways have heard the service within \p MaxAge.
static bool doOthersHear(const PathEvidence &Evidence, TimePoint Now,
                         Duration MaxAge) {
  return Evidence.OthersHeardAt && Now - *Evidence.OthersHeardAt <= MaxAge;
}

static bool hasCutBegun(PathEvidence &Evidence, std::size_t RegisteredUpstreams,
                        TimePoint Now) {
  std::set<std::string_view> Failed;
  TimePoint First = Now;
  for (auto *Failures : {&Evidence.ConnectFailures, &Evidence.LostLinks}) {
    std::erase_if(*Failures, [Now](const auto &Each) {
      return Now - Each.second.Last > MaxFailureAge;
    });
    for (const auto &[Upstream, Each] : *Failures) {
      Failed.insert(Upstream);
      First = std::min(First, Each.First);
    }
  }
  return RegisteredUpstreams > 0 &&
         Failed.size() >= std::min(MinFailedUpstreams, RegisteredUpstreams) &&
         Now - First >= MinFailureTime &&
         doOthersHear(Evidence, Now, MaxReportAge);
}

static bool hasCutEnded(const PathEvidence &Evidence,
                        std::size_t RegisteredUpstreams, TimePoint Now) {
  if (!doOthersHear(Evidence, Now, MaxUnheardTime))
    return true;
  const auto &Trials = Evidence.TrialsConnected;
  if (Trials.empty() ||
      Trials.size() < std::min(MinTrials, RegisteredUpstreams))
    return false;
  const auto First = std::min_element(
      Trials.begin(), Trials.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  return Now - First->second >= MinTrialTime;
}

bool updateCut(PathEvidence &Evidence, std::size_t RegisteredUpstreams,
               TimePoint Now) {
  const bool Changes = Evidence.IsCut
                           ? hasCutEnded(Evidence, RegisteredUpstreams, Now)
                           : hasCutBegun(Evidence, RegisteredUpstreams, Now);
  if (!Changes)
    return false;
  Evidence.IsCut = !Evidence.IsCut;
  Evidence.NextTrialAt = Now + TrialInterval;
  notePause(Evidence);
  return true;
}

bool takeTrial(PathEvidence &Evidence, TimePoint Now) {
  if (!Evidence.IsCut || Now < Evidence.NextTrialAt)
    return false;
  Evidence.NextTrialAt = Now + TrialInterval;
  return true;
}

bool areOpenConnectionsUsable(const PathEvidence &Evidence, TimePoint Now) {
  return Evidence.HeardAt && Now - *Evidence.HeardAt <= MaxHeardAge;
}

bool hearsService(const PathEvidence &Evidence, TimePoint Now) {
  return !Evidence.IsCut && Evidence.HeardAt &&
         Now - *Evidence.HeardAt <= MaxHearingAge;
}

} // namespace galenaroute
