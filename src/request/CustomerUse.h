// The shares of customers as one gateway knows them, for its queues.
//
//   CustomerUse Use;
//   Use.setWeights(Weights);                    // a configuration in force
//   Use.noteEnded(Key, EngineTime, Now);        // a send has ended
//   Use.noteQueued(Now);                        // a call waits for an upstream
//   Use.noteShort(Key, Now);                    // a call waited for long
//   Use.noteReport(Peer, Reported, Now);        // a status update
//   Call.Share = Use.levelOf(Key, Now);
//   Status.Customers = Use.report(Now);
//
// The decisions are those of CustomerShares. A customer is short of capacity
// for a half-life after one of its calls has waited for long: at one gateway,
// few customers have a queued call at any moment, and those that wait briefly
// get all that they ask for.
//
// Guarantees: state is bounded as in CustomerShares; levelOf() takes one
// look-up in a table that is renewed every UpdatePeriod; report() is empty
// unless a call was queued within the last half-life.

#ifndef GALENAROUTE_REQUEST_CUSTOMERUSE_H
#define GALENAROUTE_REQUEST_CUSTOMERUSE_H

#include "request/CustomerShares.h"

#include <optional>

namespace galenaroute {

using CustomerWeights = std::map<CustomerKey, double>;

class CustomerUse {
public:
  /// The period of status updates.
  static constexpr Duration UpdatePeriod = std::chrono::milliseconds(100);

  /// Customers that \p Weights lacks have the weight 1.
  void setWeights(CustomerWeights Weights);
  /// Adds the time for which a send of a call had a slot of an engine.
  void noteEnded(CustomerKey Customer, Duration EngineTime, TimePoint Now);
  void noteQueued(TimePoint Now) { this->QueuedAt = Now; }
  void noteShort(CustomerKey Customer, TimePoint Now);
  /// Replaces the report of \p Peer, unless \p Reported is empty.
  void noteReport(std::string_view Peer, std::span<const CustomerTime> Reported,
                  TimePoint Now);

  ShareLevel levelOf(CustomerKey Customer, TimePoint Now);
  /// Returns the list for a status update. It is kept for withoutOwn().
  std::vector<CustomerTime> report(TimePoint Now);
  /// Returns \p Fleet, sums that include this gateway's last report, without
  /// that report.
  std::vector<CustomerTime> withoutOwn(std::vector<CustomerTime> Fleet,
                                       TimePoint Now) const;
  /// Returns the largest times of this gateway.
  std::vector<CustomerTime> largestOwn(TimePoint Now) const {
    return largestTimes(this->Times, this->Settings, Now);
  }

private:
  void update(TimePoint Now);
  bool isWithinHalfLife(std::optional<TimePoint> At, TimePoint Now) const {
    return At && Now - *At < this->Settings.HalfLife;
  }

  CustomerShareSettings Settings;
  CustomerTimes Times;
  CustomerWeights Weights;
  std::map<CustomerKey, TimePoint> ShortAt;
  std::map<CustomerKey, ShareLevel> Levels;
  std::optional<TimePoint> UpdatedAt; ///< Of Levels.
  std::optional<TimePoint> QueuedAt;
  std::vector<CustomerTime> LastReport;
  TimePoint LastReportAt;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CUSTOMERUSE_H
