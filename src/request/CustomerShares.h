// Shares engine capacity between customers by weight while calls are queued.
//
//   CustomerTimes Times;
//   addTime(Times, customerKey("marshals"), EngineMs, Settings, Now);
//   notePeerTimes(Times, Peer, Reported, Settings, Now);  // a status update
//   std::vector<double> Fair = fairTimes(Demands);
//   if (isFarBeyond(Demands[I].Ms, Fair[I], Settings)) refuse(...)
//
// Each gateway adds up the engine time that its customers used, halved every
// HalfLife, and reports the largest sums to the others. What others reported is
// halved in the same way from its receipt on, so that the use at a gateway that
// restarted or cannot be reached is neither forgotten at once nor kept.
//
// A customer's fair time is what it would have used if the time that all used
// had been divided by weight. Customers without queued calls keep what they
// used, and the time that they leave is divided among the others.
//
// Guarantees: times are bounded by MaxCustomers and MaxPeers; fairTimes() takes
// O(n log n). Customers are known by 32-bit keys; if the keys of two collide,
// they have one share.

#ifndef GALENAROUTE_REQUEST_CUSTOMERSHARES_H
#define GALENAROUTE_REQUEST_CUSTOMERSHARES_H

#include "process/Clock.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace galenaroute {

/// The key of a customer in messages between gateways.
using CustomerKey = std::uint32_t;

CustomerKey customerKey(std::string_view Name);

struct CustomerShareSettings {
  /// Use before a restart or a partition loses half of its effect in this time.
  Duration HalfLife = std::chrono::seconds(4);
  std::size_t MaxCustomers = 1024;
  std::size_t MaxPeers = 1024;
  std::size_t MaxReported = 8;   ///< Customers in one status update.
  std::size_t MaxForwarded = 24; ///< Customers in one list of a relay.
  double FarBeyond = 2; ///< Multiple of the fair time from which to refuse.
};

/// A sum of engine time that is halved every HalfLife after At.
struct DecayedTime {
  double Ms = 0;
  TimePoint At;
};

/// A customer's engine time as of its report.
struct CustomerTime {
  CustomerKey Customer = 0;
  double Ms = 0;
  bool operator==(const CustomerTime &) const = default;
};

/// The times that one gateway knows.
struct CustomerTimes {
  std::map<CustomerKey, DecayedTime> Own;
  /// By gateway and customer.
  std::map<std::string, std::map<CustomerKey, DecayedTime>, std::less<>> Peers;
};

/// Returns what is left of \p Time at \p Now.
double decayed(const DecayedTime &Time, const CustomerShareSettings &Settings,
               TimePoint Now);

/// Adds engine time that a call of \p Customer used. When there are too many
/// customers, the one that used the least is forgotten.
void addTime(CustomerTimes &Times, CustomerKey Customer, double Ms,
             const CustomerShareSettings &Settings, TimePoint Now);

/// Returns the largest own times, for a status update; the largest first.
std::vector<CustomerTime> largestTimes(const CustomerTimes &Times,
                                       const CustomerShareSettings &Settings,
                                       TimePoint Now);

/// Returns the sums of the times of all gateways, as far as they are known, by
/// customer; in no order of size.
std::vector<CustomerTime> totalTimes(const CustomerTimes &Times,
                                     const CustomerShareSettings &Settings,
                                     TimePoint Now);

/// Returns the sums of \p A and \p B by customer.
std::vector<CustomerTime> sumOf(std::span<const CustomerTime> A,
                                std::span<const CustomerTime> B);

/// Returns the \p Count largest of \p Times, the largest first.
std::vector<CustomerTime> largest(std::vector<CustomerTime> Times,
                                  std::size_t Count);

/// Replaces what \p Peer reported before. A gateway that has restarted must
/// report under a new name, so that its earlier report fades. Values that are
/// not numbers or negative are ignored, and so is what exceeds the bounds:
/// MaxForwarded customers, since \p Peer may be a relay.
void notePeerTimes(CustomerTimes &Times, std::string_view Peer,
                   std::span<const CustomerTime> Reported,
                   const CustomerShareSettings &Settings, TimePoint Now);

/// Returns the time of \p Customer at all gateways, as far as it is known.
double totalTime(const CustomerTimes &Times, CustomerKey Customer,
                 const CustomerShareSettings &Settings, TimePoint Now);

/// What a customer used and whether it wants more.
struct CustomerDemand {
  double Weight = 1; ///< Above 0.
  double Ms = 0;     ///< Used at all gateways.
  bool IsWaiting = false;
};

/// Returns the fair time of each of \p Demands, in ms. Their sum is that of the
/// times used.
std::vector<double> fairTimes(std::span<const CustomerDemand> Demands);

/// Returns the time for each unit of weight up to which a customer with queued
/// calls goes first: the level that fairTimes() returned \p Fair for. Customers
/// that ask for less stay below it.
double fairLevel(std::span<const CustomerDemand> Demands,
                 std::span<const double> Fair);

/// The use of a customer relative to its fair time. Calls of customers at a
/// lower level go first; within a level, their targets decide.
enum class ShareLevel {
  Below,
  Beyond, ///< Or at the fair time.
  FarBeyond,
};

ShareLevel shareLevel(double Ms, double FairMs,
                      const CustomerShareSettings &Settings);

/// Returns whether calls of a customer are refused before those of others.
bool isFarBeyond(double Ms, double FairMs,
                 const CustomerShareSettings &Settings);

/// Returns the fraction of the usual wait limit that holds for calls of a
/// customer at \p Level, in the queue and at admission.
double waitLimitShare(ShareLevel Level);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CUSTOMERSHARES_H
