// Checks that an upstream gets no more calls than it accepts, from what the
// upstream sees.
//
//   RateLimitHistory Seen;
//   Seen.state(Now, 2.5);                 // from now on its answers state it
//   Seen.arrived(Now, Gateway);           // a call
//   Seen.passedOn(Now, Gateway);          // an answer with the limit
//   if (auto Found = findExcess(Seen, {})) ...
//
// The bound is the platform's rule LIMIT: in any window, calls of the gateways
// that had passed on an answer with a limit may be one and a half times what
// the limit allows, plus a fixed number.

#ifndef GALENAROUTE_TESTS_RATELIMITCHECK_H
#define GALENAROUTE_TESTS_RATELIMITCHECK_H

#include "process/Clock.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenaroute::testing_support {

struct RateLimitBounds {
  Duration Window = std::chrono::seconds(4);
  double Overage = 1.5;
  double Slack = 5;
  /// From the first answer with a limit until the bound applies.
  Duration Contact = std::chrono::seconds(3);
  /// From an answer that a gateway passed on until its calls count.
  Duration Notice = std::chrono::milliseconds(500);
  /// Whether calls of a disturbed gateway are left out, as the rule allows.
  bool HasExcuses = true;
};

/// What one upstream stated and received.
class RateLimitHistory {
public:
  struct Statement {
    TimePoint From;
    std::optional<double> PerSecond;
  };
  struct Arrival {
    TimePoint At;
    std::size_t Gateway = 0;
  };
  struct Excuse {
    std::size_t Gateway = 0;
    TimePoint From;
    TimePoint Until;
  };

  void state(TimePoint At, std::optional<double> PerSecond) {
    if (PerSecond && !this->FirstStated)
      this->FirstStated = At;
    if (!PerSecond)
      this->Told.clear();
    this->Statements.push_back({At, PerSecond});
  }
  /// Records a call and whether its gateway counts.
  void arrived(TimePoint At, std::size_t Gateway,
               const RateLimitBounds &Bounds = {}) {
    this->All.push_back({At, Gateway});
    const auto Since = this->Told.find(Gateway);
    if (this->limit() && Since != this->Told.end() &&
        At - Since->second >= Bounds.Notice)
      this->Counted.push_back({At, Gateway});
  }
  void passedOn(TimePoint At, std::size_t Gateway) {
    if (this->limit())
      this->Told.try_emplace(Gateway, At);
  }
  /// Notes that \p Gateway has restarted; it must be told again.
  void restarted(std::size_t Gateway) { this->Told.erase(Gateway); }
  /// Calls of \p Gateway do not count in this time.
  void excuse(std::size_t Gateway, TimePoint From, TimePoint Until) {
    this->Excuses.push_back({Gateway, From, Until});
  }

  std::optional<double> limit() const {
    return this->Statements.empty() ? std::nullopt
                                    : this->Statements.back().PerSecond;
  }
  const std::vector<Statement> &statements() const { return this->Statements; }
  const std::vector<Arrival> &arrivals() const { return this->All; }
  const std::vector<Arrival> &counted() const { return this->Counted; }
  std::optional<TimePoint> firstStated() const { return this->FirstStated; }
  bool isExcused(const Arrival &Call) const {
    return std::any_of(this->Excuses.begin(), this->Excuses.end(),
                       [&](const Excuse &Each) {
                         return Each.Gateway == Call.Gateway &&
                                Each.From <= Call.At && Call.At <= Each.Until;
                       });
  }
  std::size_t arrivalsIn(TimePoint From, TimePoint To) const {
    return static_cast<std::size_t>(
        std::count_if(this->All.begin(), this->All.end(), [&](const auto &One) {
          return From < One.At && One.At <= To;
        }));
  }

private:
  std::vector<Statement> Statements;
  std::vector<Arrival> All;
  std::vector<Arrival> Counted;
  std::vector<Excuse> Excuses;
  std::map<std::size_t, TimePoint> Told;
  std::optional<TimePoint> FirstStated;
};

/// Returns the number of calls that the statements allow between two times. A
/// limit holds for \p Notice longer than it was stated if the next one is
/// lower.
inline double allowedCalls(const RateLimitHistory &Of, TimePoint From,
                           TimePoint To, Duration Notice) {
  const auto &All = Of.statements();
  double Sum = 0;
  for (std::size_t I = 0; I < All.size(); ++I) {
    if (!All[I].PerSecond)
      continue;
    const bool HasNext = I + 1 < All.size();
    const TimePoint End = HasNext ? All[I + 1].From : TimePoint::max();
    const TimePoint Begin = std::max(From, All[I].From);
    const TimePoint Until = std::min(To, End);
    if (Begin < Until)
      Sum += *All[I].PerSecond * toSeconds(Until - Begin);
    // The time in which the gateways learn of a lower limit.
    if (!HasNext || !All[I + 1].PerSecond ||
        *All[I + 1].PerSecond >= *All[I].PerSecond)
      continue;
    const TimePoint Late = std::max(From, End);
    const TimePoint LateUntil = std::min(To, End + Notice);
    if (Late < LateUntil)
      Sum += (*All[I].PerSecond - *All[I + 1].PerSecond) *
             toSeconds(LateUntil - Late);
  }
  return Sum;
}

/// A window with too many calls.
struct RateLimitExcess {
  TimePoint At; ///< Its end.
  std::size_t Calls = 0;
  double Allowed = 0;

  std::string toString() const {
    return std::to_string(this->Calls) + " calls in a window, allowed " +
           std::to_string(this->Allowed);
  }
};

/// Returns the first window with more calls than allowed.
inline std::optional<RateLimitExcess>
findExcess(const RateLimitHistory &Seen, const RateLimitBounds &Bounds) {
  if (!Seen.firstStated())
    return std::nullopt;
  std::vector<TimePoint> Calls;
  for (const RateLimitHistory::Arrival &Each : Seen.counted())
    if (!Bounds.HasExcuses || !Seen.isExcused(Each))
      Calls.push_back(Each.At);
  std::size_t First = 0;
  for (std::size_t I = 0; I < Calls.size(); ++I) {
    while (Calls[First] <= Calls[I] - Bounds.Window)
      ++First;
    if (Calls[I] < *Seen.firstStated() + Bounds.Contact)
      continue;
    const double Allowed =
        Bounds.Overage * allowedCalls(Seen, Calls[I] - Bounds.Window, Calls[I],
                                      Bounds.Notice) +
        Bounds.Slack;
    const std::size_t Count = I - First + 1;
    if (static_cast<double>(Count) > Allowed)
      return RateLimitExcess{Calls[I], Count, Allowed};
  }
  return std::nullopt;
}

/// Returns the share of what was allowed between two times that was used.
inline double usedShare(const RateLimitHistory &Of, TimePoint From,
                        TimePoint To) {
  return static_cast<double>(Of.arrivalsIn(From, To)) /
         allowedCalls(Of, From, To, Duration::zero());
}

} // namespace galenaroute::testing_support

#endif // GALENAROUTE_TESTS_RATELIMITCHECK_H
