// Spreads calls over upstreams whose reported load is not current.
//
//   SendRate Rate;
//   Rate.add(Now); // for each call sent
//   std::vector<double> Arrived = fill(Targets, Arrivals);
//   const auto Index = Credits.best(Keys, Shares);
//   Credits.note(Keys, Shares, *Index);
//
// All gateways see the same reports, so that those which each choose the
// cheapest upstream send the calls of a whole report interval to the same one.
// The fill assumes that the calls which arrive within the interval each go to
// the cheapest upstream at that time; the calls of each gateway are divided in
// the same proportion. With current reports this is the cheapest upstream; the
// older the reports, the more evenly calls are spread over the free capacity.
//
// The calls of one gateway are divided by credits and not at random: random
// draws overload upstreams by chance, which is most visible with few gateways.
//
// Guarantees: time is linear in the number of targets; credits are bounded.

#ifndef GALENAROUTE_REQUEST_LOADESTIMATE_H
#define GALENAROUTE_REQUEST_LOADESTIMATE_H

#include "process/Clock.h"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace galenaroute {

/// The cost of further calls at one upstream, in milliseconds of latency.
struct FillTarget {
  double CostMs = 0;     ///< Of the next call.
  double FreeSlots = 0;  ///< Calls that begin without waiting.
  double BusySlotMs = 3; ///< Added by each of those.
  double WaitingMs = 60; ///< Added by each further call.
};

/// Returns how many of \p Calls each target gets if each call goes to the
/// cheapest one, as fractions of calls.
std::vector<double> fill(std::span<const FillTarget> Targets, double Calls);

/// Adds calls to a target, which raises its cost.
void addCalls(FillTarget &Target, double Calls);

/// Divides calls among upstreams in proportion to shares that change from call
/// to call: an upstream gains credit by its share of each call, and loses one
/// for each call it gets.
class ShareCredits {
public:
  /// Gateways with different seeds begin with different upstreams.
  explicit ShareCredits(std::uint64_t Seed) : Seed(Seed) {}

  /// Returns the index with the most credit among those with a share, or
  /// nothing if there is none. \p Keys identify the upstreams.
  std::optional<std::size_t> best(std::span<const std::uint32_t> Keys,
                                  std::span<const double> Shares) const;
  /// Notes that a call was sent to the upstream with index \p Chosen.
  void note(std::span<const std::uint32_t> Keys, std::span<const double> Shares,
            std::size_t Chosen);

private:
  double creditOf(std::uint32_t Key) const;

  std::uint64_t Seed;
  /// By key; bounded by MaxCredits.
  std::unordered_map<std::uint32_t, double> Credits;
};

/// The rate at which calls are sent, over the last seconds.
class SendRate {
public:
  void add(TimePoint Now);
  /// Returns calls per second; 0 before the first call.
  double perSecond(TimePoint Now) const;
  /// Returns whether the first call was sent so recently that the rate is
  /// little known.
  bool isNew(TimePoint Now) const;
  /// Returns whether no call was sent for so long that, by the rate, this
  /// process must have stood still.
  bool isInterrupted(TimePoint Now) const;

private:
  double countAt(TimePoint Now) const;

  double Count = 0; ///< Decayed, at UpdatedAt.
  TimePoint UpdatedAt;
  std::optional<TimePoint> FirstAt;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_LOADESTIMATE_H
