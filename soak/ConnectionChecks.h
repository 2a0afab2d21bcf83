// What callers that keep their connections saw, and the promises on whole
// requests and begun answers that it can break; see History.h.

#ifndef GALENAROUTE_SOAK_CONNECTIONCHECKS_H
#define GALENAROUTE_SOAK_CONNECTIONCHECKS_H

#include "process/Clock.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace galenaroute::soak {

struct BrokenPromise;
struct SoakBounds;
struct SoakHistory;

/// A whole request on a connection that its caller keeps.
struct KeptCallView {
  std::size_t Daemon = 0;
  TimePoint IdleSince; ///< When the idle period before the request began.
  TimePoint SentAt;
  Duration Deadline{};
  std::optional<TimePoint> EndedAt; ///< By an answer, an end or the caller.
  int Status = 0;                   ///< 0: no head of an answer was read.
  std::size_t ReadBytes = 0;
  bool IsWhole = false;          ///< The answer ended as its head said.
  bool IsOwn = false;            ///< The answer names the call.
  bool HasGivenUp = false;       ///< The caller closed the connection.
  bool HasBrokenOff = false;     ///< The upstream broke off its answer.
  std::set<std::size_t> Helpers; ///< Daemons that relayed it to upstreams.
};

/// A limit of the configuration that the store has acknowledged.
struct LimitView {
  TimePoint At;
  Duration Limit{};
};

struct ConnectionHistory {
  std::map<std::string, KeptCallView> Calls; ///< By id.
  std::vector<LimitView> IdleLimits;         ///< In order of time.
};

/// Returns the smallest of \p Limits that applied at some moment of a time: the
/// newest, and the one before for as long as \p ApplyTime after it.
Duration smallestLimitIn(const std::vector<LimitView> &Limits, TimePoint From,
                         TimePoint To, Duration ApplyTime);
Duration idleLimitIn(const ConnectionHistory &History, TimePoint From,
                     TimePoint To, Duration ApplyTime);

/// Returns whether a call was cut by its upstream, by a kill of the daemon or
/// of one that relayed it, or by the end of a planned stop of these.
bool hasExcuse(const SoakHistory &History, const SoakBounds &Bounds,
               const KeptCallView &Call);
/// Returns whether a call lasted until its deadline.
bool hasReachedDeadline(const KeptCallView &Call);
std::string describe(const KeptCallView &Call, Duration Limit);

/// A whole request gets an answer or a refusal, and an answer that has begun is
/// carried to its end. Freezes, hang-ups, the loss of the store and changes of
/// the configuration are no excuse; kills are.
void checkConnection(const SoakHistory &History, const SoakBounds &Bounds,
                     const std::string &Id, const KeptCallView &Call,
                     std::vector<BrokenPromise> &Found);
void checkConnections(const SoakHistory &History, const SoakBounds &Bounds,
                      std::vector<BrokenPromise> &Found);

} // namespace galenaroute::soak

#endif // GALENAROUTE_SOAK_CONNECTIONCHECKS_H
