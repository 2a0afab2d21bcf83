// Checks that no call begins on outdated weights, from what the engines see.
//
//   WeightsHistory Seen;
//   Seen.named(Now, 2);                   // the store acknowledged version 2
//   Seen.began({.At = Now, .Weights = 1, .Gateway = 3, .SentAt = Sent});
//   for (const OutdatedCall &Each : findOutdated(Seen, Bounds)) ...
//
// The bound is the platform's rule VERSION: a call that a gateway in touch sent
// may not begin on older weights later than a limit after newer ones were
// acknowledged. Only time without disruption of the store or a link counts
// towards the limit, in one stretch.

#ifndef GALENAROUTE_TESTS_WEIGHTSCHECK_H
#define GALENAROUTE_TESTS_WEIGHTSCHECK_H

#include "process/Clock.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace galenaroute::testing_support {

struct WeightsBounds {
  Duration Limit = std::chrono::seconds(15);
  /// A gateway is in touch if it was not disturbed for this long.
  Duration Contact = std::chrono::seconds(3);
};

/// What the engines of one model saw.
class WeightsHistory {
public:
  struct Named {
    TimePoint At;
    std::uint64_t Version = 0;
  };
  /// A call that left the queue of an engine.
  struct Begin {
    TimePoint At;
    std::uint64_t Weights = 0;
    std::size_t Gateway = 0;
    TimePoint SentAt;
    std::string Call = {};
  };
  struct Excuse {
    std::size_t Gateway = 0;
    TimePoint From;
    TimePoint Until;
  };
  struct Span {
    TimePoint From;
    TimePoint Until;
  };

  void named(TimePoint At, std::uint64_t Version) {
    this->Namings.push_back({At, Version});
  }
  void began(const Begin &Call) { this->All.push_back(Call); }
  /// The gateway was frozen, killed, started or cut off in this time.
  void excuse(std::size_t Gateway, TimePoint From, TimePoint Until) {
    this->Excuses.push_back({Gateway, From, Until});
  }
  /// The store or a link was disrupted in this time.
  void interrupt(TimePoint From, TimePoint Until) {
    const auto At = std::upper_bound(
        this->Interruptions.begin(), this->Interruptions.end(), From,
        [](TimePoint Time, const Span &Each) { return Time < Each.From; });
    this->Interruptions.insert(At, {From, Until});
  }

  const std::vector<Named> &namings() const { return this->Namings; }
  const std::vector<Begin> &begins() const { return this->All; }

  /// Returns whether a gateway was in touch when it sent a call.
  bool isInTouch(std::size_t Gateway, TimePoint SentAt,
                 Duration Contact) const {
    return std::none_of(
        this->Excuses.begin(), this->Excuses.end(), [&](const Excuse &Each) {
          return Each.Gateway == Gateway && Each.From <= SentAt &&
                 SentAt <= Each.Until + Contact;
        });
  }
  /// Returns the longest stretch without an interruption.
  Duration longestStretch(TimePoint From, TimePoint To) const {
    Duration Longest{};
    TimePoint Since = From;
    for (const Span &Each : this->Interruptions) {
      if (Each.From >= To)
        break;
      if (Each.Until <= Since)
        continue;
      Longest = std::max<Duration>(Longest, Each.From - Since);
      Since = Each.Until;
    }
    return std::max<Duration>(Longest, To - Since);
  }
  /// Returns how many calls began on \p Weights in this time.
  std::size_t beginsIn(TimePoint From, TimePoint To,
                       std::uint64_t Weights) const {
    return static_cast<std::size_t>(std::count_if(
        this->All.begin(), this->All.end(), [&](const Begin &One) {
          return From < One.At && One.At <= To && One.Weights == Weights;
        }));
  }

private:
  std::vector<Named> Namings;
  std::vector<Begin> All;
  std::vector<Excuse> Excuses;
  std::vector<Span> Interruptions; ///< By From.
};

/// A call that began too late on older weights.
struct OutdatedCall {
  WeightsHistory::Begin Call;
  std::uint64_t Named = 0;
  Duration After{}; ///< The acknowledgement of the newer version.

  std::string toString() const {
    return "call " + this->Call.Call + " of gateway " +
           std::to_string(this->Call.Gateway) + " began on version " +
           std::to_string(this->Call.Weights) + ", " +
           std::to_string(toMilliseconds(this->After)) + " ms after version " +
           std::to_string(this->Named) + " was acknowledged";
  }
};

/// Returns the calls that break the rule, in the order of their beginnings.
inline std::vector<OutdatedCall> findOutdated(const WeightsHistory &Seen,
                                              const WeightsBounds &Bounds) {
  std::vector<OutdatedCall> Found;
  for (const WeightsHistory::Begin &Call : Seen.begins()) {
    const auto Newer = std::find_if(
        Seen.namings().begin(), Seen.namings().end(),
        [&](const WeightsHistory::Named &Each) {
          return Each.Version > Call.Weights && Each.At < Call.At &&
                 Seen.longestStretch(Each.At, Call.At) > Bounds.Limit;
        });
    if (Newer != Seen.namings().end() &&
        Seen.isInTouch(Call.Gateway, Call.SentAt, Bounds.Contact))
      Found.push_back({Call, Newer->Version, Call.At - Newer->At});
  }
  return Found;
}

} // namespace galenaroute::testing_support

#endif // GALENAROUTE_TESTS_WEIGHTSCHECK_H
