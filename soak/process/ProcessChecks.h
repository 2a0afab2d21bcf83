// The promises that a process soak checks; see docs/soak.md.
//
//   for (const BrokenPromise &Each : checkProcesses(History, {})) ...
//
// Each check reads only the history.

#ifndef GALENAROUTE_SOAK_PROCESS_PROCESSCHECKS_H
#define GALENAROUTE_SOAK_PROCESS_PROCESSCHECKS_H

#include "ProcessHistory.h"

namespace galenaroute::process_soak {

/// Bounds of the rules and the settings of the run.
struct ProcessBounds {
  Duration Contact = std::chrono::seconds(3);
  Duration Grace = std::chrono::seconds(8);
  Duration LossSlack = std::chrono::milliseconds(200);
  Duration Recovery = std::chrono::seconds(12);
  Duration Timeout = std::chrono::seconds(5); ///< Of all routes.
  /// In which an upstream must have stopped once another one has begun.
  Duration Handover = std::chrono::milliseconds(400);
  /// A process that is silent for longer counts as out of reach.
  Duration LongestSilence = std::chrono::seconds(2);
  int EventsOfWhole = 12;
  std::size_t MemoryBytes = 48 << 20; ///< `limits.memoryMb` of the daemons.
  std::size_t Descriptors = 4096;     ///< Open at a time, at most.
};

struct BrokenPromise {
  std::string Promise;
  std::string Request; ///< Empty: none in particular.
  std::string What;
};
using BrokenPromises = std::vector<BrokenPromise>;

/// No process ends but by SIGKILL, or in good order after SIGTERM.
void checkEnds(const ProcessHistory &History, const ProcessBounds &Bounds,
               BrokenPromises &Found);
/// Each start ends up serving.
void checkStarts(const ProcessHistory &History, const ProcessBounds &Bounds,
                 BrokenPromises &Found);
/// What must not be repeated runs at most once.
void checkRunsOnce(const ProcessHistory &History, const ProcessBounds &Bounds,
                   BrokenPromises &Found);
/// No upstream works on a stream after another one has begun it.
void checkHandovers(const ProcessHistory &History, const ProcessBounds &Bounds,
                    BrokenPromises &Found);
/// What was refused as not run has not run.
void checkRefusals(const ProcessHistory &History, const ProcessBounds &Bounds,
                   BrokenPromises &Found);
/// Each whole request gets an answer, and each answer its end.
void checkAnswers(const ProcessHistory &History, const ProcessBounds &Bounds,
                  BrokenPromises &Found);
/// A stream has each event once and in order, up to its end, also over the
/// requests that take it up.
void checkEvents(const ProcessHistory &History, const ProcessBounds &Bounds,
                 BrokenPromises &Found);
/// Answers belong to their requests.
void checkOwnAnswers(const ProcessHistory &History, const ProcessBounds &Bounds,
                     BrokenPromises &Found);
/// The events of a stream are of one version of an upstream's software, also
/// over the requests that take it up.
void checkVersions(const ProcessHistory &History, const ProcessBounds &Bounds,
                   BrokenPromises &Found);
/// Requests that take up streams go on half as often as new streams begin.
void checkTakeUps(const ProcessHistory &History, const ProcessBounds &Bounds,
                  BrokenPromises &Found);
/// Calls are served again after the last fault.
void checkRecovery(const ProcessHistory &History, const ProcessBounds &Bounds,
                   BrokenPromises &Found);

/// Memory and open descriptors of each daemon stay within their bounds.
void checkResources(const ProcessHistory &History, const ProcessBounds &Bounds,
                    BrokenPromises &Found);
/// Each daemon serves an ordinary request once all clients have gone.
void checkLastRequests(const ProcessHistory &History,
                       const ProcessBounds &Bounds, BrokenPromises &Found);

/// Sanitizers have nothing to report.
void checkSanitizers(const ProcessHistory &History, const ProcessBounds &Bounds,
                     BrokenPromises &Found);

BrokenPromises checkProcesses(const ProcessHistory &History,
                              const ProcessBounds &Bounds);

/// How many streams more than one upstream began.
std::size_t countHandovers(const ProcessHistory &History);

/// Streams that began, of all that did where nothing excuses a failure.
struct BeginCounts {
  std::size_t New = 0;
  std::size_t NewBegun = 0;
  std::size_t TakenUp = 0;
  std::size_t WentOn = 0;
};
BeginCounts countBegins(const ProcessHistory &History,
                        const ProcessBounds &Bounds);

} // namespace galenaroute::process_soak

#endif // GALENAROUTE_SOAK_PROCESS_PROCESSCHECKS_H
