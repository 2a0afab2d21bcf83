#include "ConnectionChecks.h"

#include "History.h"

#include <algorithm>

namespace galenaroute::soak {

/// A request that is sent this shortly before a process ends may cross the end.
static constexpr Duration CrossingTime = std::chrono::milliseconds(200);
/// Share of an idle limit after which callers do not reuse a connection.
static constexpr double ReuseShare = 0.8;
/// An answer that ends this shortly before its deadline has reached it.
static constexpr Duration DeadlineSlack = std::chrono::milliseconds(250);
/// Share of the grace time after which a stop may end answers under way.
static constexpr double StopShare = 5.0 / 6;

Duration smallestLimitIn(const std::vector<LimitView> &Limits, TimePoint From,
                         TimePoint To, Duration ApplyTime) {
  Duration Smallest = Duration::max();
  for (std::size_t I = 0; I < Limits.size(); ++I) {
    const bool IsLast = I + 1 == Limits.size();
    if (Limits[I].At <= To && (IsLast || Limits[I + 1].At + ApplyTime >= From))
      Smallest = std::min(Smallest, Limits[I].Limit);
  }
  return Smallest;
}

Duration idleLimitIn(const ConnectionHistory &History, TimePoint From,
                     TimePoint To, Duration ApplyTime) {
  return smallestLimitIn(History.IdleLimits, From, To, ApplyTime);
}

/// Returns whether a call passes a daemon.
static bool passes(const KeptCallView &Call, std::size_t Daemon) {
  return Call.Daemon == Daemon || Call.Helpers.contains(Daemon);
}

/// Returns whether a daemon of the call was killed, or began again, around it.
static bool wasKilled(const SoakHistory &History, const SoakBounds &Bounds,
                      const KeptCallView &Call) {
  return std::any_of(History.Disturbances.begin(), History.Disturbances.end(),
                     [&](const Disturbance &Each) {
                       return Each.Kind == DisturbanceKind::Kill &&
                              (!Each.Daemon || passes(Call, *Each.Daemon)) &&
                              Each.From <= *Call.EndedAt &&
                              Call.SentAt <= Each.Until + Bounds.Contact;
                     });
}

/// Returns whether a planned stop may have ended the call: late in its grace
/// time, or because the request crossed the end of the process.
static bool wasStopped(const SoakHistory &History, const SoakBounds &Bounds,
                       const KeptCallView &Call) {
  return std::any_of(
      History.Stops.begin(), History.Stops.end(), [&](const StopView &Each) {
        if (!passes(Call, Each.Daemon) || Each.At > *Call.EndedAt)
          return false;
        const bool EndsLate =
            *Call.EndedAt >= Each.At + Bounds.Grace * StopShare;
        const bool Crosses =
            Each.EndedAt && Call.SentAt + CrossingTime >= *Each.EndedAt;
        const bool IsOver =
            Each.EndedAt && Call.SentAt > *Each.EndedAt + CrossingTime;
        return !IsOver && (EndsLate || Crosses);
      });
}

std::string describe(const KeptCallView &Call, Duration Limit) {
  const auto Ms = [](Duration Time) {
    return std::to_string(toMilliseconds(Time)) + " ms";
  };
  return "daemon " + std::to_string(Call.Daemon) + ", sent after " +
         Ms(Call.SentAt - Call.IdleSince) + " idle, limit " + Ms(Limit) +
         ", status " + std::to_string(Call.Status) + ", " +
         std::to_string(Call.ReadBytes) + " bytes, ended after " +
         Ms(*Call.EndedAt - Call.SentAt) +
         (Call.HasGivenUp ? " by the caller" : "");
}

bool hasReachedDeadline(const KeptCallView &Call) {
  return *Call.EndedAt >= Call.SentAt + Call.Deadline - DeadlineSlack;
}

bool hasExcuse(const SoakHistory &History, const SoakBounds &Bounds,
               const KeptCallView &Call) {
  return Call.HasBrokenOff || wasKilled(History, Bounds, Call) ||
         wasStopped(History, Bounds, Call);
}

void checkConnection(const SoakHistory &History, const SoakBounds &Bounds,
                     const std::string &Id, const KeptCallView &Call,
                     std::vector<BrokenPromise> &Found) {
  if (!Call.EndedAt)
    return;
  const Duration Limit = idleLimitIn(History.Connections, Call.IdleSince,
                                     Call.SentAt, Bounds.ConfigApply);
  if (Call.IsWhole) {
    if (Call.Status == 200 && !Call.IsOwn)
      Found.push_back({"own whole answer", Id, describe(Call, Limit)});
    else if (Call.Status >= 300 && Call.Status < 500 && Call.Status != 408 &&
             Call.Status != 421 && Call.Status != 429)
      Found.push_back(
          {"proper calls are not denied", Id, describe(Call, Limit)});
    return;
  }
  const bool WasIdleTooLong = Call.Status == 0 && Limit != Duration::max() &&
                              Call.SentAt - Call.IdleSince > Limit * ReuseShare;
  if (WasIdleTooLong || hasReachedDeadline(Call) ||
      hasExcuse(History, Bounds, Call))
    return;
  Found.push_back({Call.Status == 0 ? "a whole request gets an answer"
                                    : "a begun answer is carried to its end",
                   Id, describe(Call, Limit)});
}

void checkConnections(const SoakHistory &History, const SoakBounds &Bounds,
                      std::vector<BrokenPromise> &Found) {
  for (const auto &[Id, Call] : History.Connections.Calls)
    checkConnection(History, Bounds, Id, Call, Found);
}

} // namespace galenaroute::soak
