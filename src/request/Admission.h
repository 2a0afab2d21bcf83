// Whether and when a request may be sent to an upstream.
//
//   AdmissionDecision Decision = offer(State, Request, Rate, Now, Generator);
//   // Decision.Refusal is final; otherwise the request waits in its queue.
//   while (auto Next = takeNext(State, roomOf(Views, Limits), Now))
//     send(Next->Id);
//   finish(State, Id, ActualCost, Now);
//   for (const AdmissionRefusal &Refusal : expire(State, Now, Generator)) ...
//
// Customers receive weighted fair shares by start-time fair queueing over all
// their classes; a customer without work takes no part, so its room is lent
// out. Classes share upstreams by start-time fair queueing with fixed weights,
// within the slots that freeSlotsFor() leaves each of them. A request is
// refused as soon as the estimate says that its queue is too long for its
// deadline.
//
// Guarantees: queues are bounded; a queued request is started, refused or
// cancelled exactly once; it is refused no later than half-way to its latest
// start; between two customers with work waiting in the same class, the
// difference of cost/weight is bounded by one request of each; deciding is
// O(log n) in queued requests and customers.

#ifndef GALENAROUTE_REQUEST_ADMISSION_H
#define GALENAROUTE_REQUEST_ADMISSION_H

#include "process/ErrorKind.h"
#include "request/Routing.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace galenaroute {

struct AdmissionOptions {
  /// Requests queued at most per class.
  std::size_t MaxQueuedPerClass = 512;
  /// Shares of the classes while all have work waiting. Cost is the expected
  /// time in a slot, so a short request waits for few long ones.
  std::array<double, PromptClassCount> ClassWeights{16, 4, 1};
  /// Part of the time up to the latest start that may be spent in the queue, so
  /// that a refusal leaves the caller time to act.
  double PatienceShare = 0.5;
  /// Part of the slots that each class can use, see SlotLimits.
  std::array<double, PromptClassCount> ClassSlots{1, 0.75, 0.375};
  /// How many slot seconds, per weight, a customer or class may be owed.
  /// Without a bound, one that could not be served for long would take all
  /// slots later.
  double MaxCredit = 1;
  Duration ShortestRetry = Milliseconds(100);
  Duration LongestRetry = std::chrono::seconds(30);
  /// A peer's use of a limit is dropped when it is older than this.
  Duration MaxUseAge = std::chrono::seconds(2);
};

/// A request that asks to be admitted.
struct AdmissionRequest {
  std::uint64_t Id = 0;
  std::string Customer;
  double Weight = 1;
  int MaxInFlight = 64; ///< Over all entries.
  PromptClass Class = PromptClass::Normal;
  /// Expected time in a slot, in seconds.
  double Cost = 0.1;
  /// Expected time from sending to the end, on an upstream with room.
  Duration ExpectedRun{};
  TimePoint Deadline;
};

/// A final refusal; the request has not run.
struct AdmissionRefusal {
  std::uint64_t Id = 0;
  ErrorKind Kind = ErrorKind::Overloaded;
  Milliseconds RetryAfter{};
  std::string Message;
};

struct AdmissionDecision {
  std::optional<AdmissionRefusal> Refusal;
  Duration ExpectedWait{};
};

/// A request taken from its queue.
struct AdmittedRequest {
  std::uint64_t Id = 0;
  PromptClass Class = PromptClass::Normal;
  Duration Waited{};
};

/// Free places by class.
using ClassRoom = std::array<int, PromptClassCount>;

/// One customer's use of its limit at one entry, as peers exchange it.
struct CustomerUse {
  std::string Customer;
  int InFlight = 0;
  int Queued = 0;
  std::int64_t WaitMs = 0; ///< Of the request that has been queued longest.
};

struct QueuedRequest {
  AdmissionRequest Request;
  std::int64_t Serial = 0;
  TimePoint QueuedAt;
  TimePoint GiveUpAt;
};

struct PeerUse {
  int InFlight = 0;
  int Queued = 0;
  std::int64_t WaitMs = 0;
};

struct CustomerState {
  double Weight = 1;
  int MaxInFlight = 0;
  int InFlight = 0;
  /// How many this entry may have in flight until the next refreshGrants().
  int Grant = 0;
  double Tag = 0; ///< Virtual time at which its next request starts.
  /// Ids by serial, by class.
  std::array<std::map<std::int64_t, std::uint64_t>, PromptClassCount> Queues;
  std::array<double, PromptClassCount> QueuedCost{};
  std::map<std::string, PeerUse, std::less<>> Peers;

  int queued() const;
};

struct RunningRequest {
  std::string Customer;
  PromptClass Class = PromptClass::Normal;
  double Cost = 0;
};

/// The queues of one service at one entry.
struct AdmissionState {
  AdmissionOptions Options;
  std::unordered_map<std::uint64_t, QueuedRequest> Queued;
  std::unordered_map<std::uint64_t, RunningRequest> Running;
  std::map<std::string, CustomerState, std::less<>> Customers;
  /// Customers that may start a request of the class, by tag.
  std::array<std::set<std::pair<double, std::string>>, PromptClassCount> Ready;
  std::set<std::pair<TimePoint, std::uint64_t>> ByGiveUp;
  std::array<std::size_t, PromptClassCount> QueuedCount{};
  std::array<double, PromptClassCount> QueuedCost{};
  /// Weights of the customers with work waiting in the class.
  std::array<double, PromptClassCount> WaitingWeight{};
  std::array<double, PromptClassCount> ClassTags{};
  /// Virtual time of the customers in each class, and of the classes. Those
  /// that become active start there.
  std::array<double, PromptClassCount> CustomerTime{};
  double ClassTime = 0;
  std::int64_t NextSerial = 0;
  std::int64_t FrontSerial = -1; ///< For requests that are put back.
  std::string Self;              ///< This entry's name among its peers.
  /// When each peer was last heard of.
  std::map<std::string, TimePoint, std::less<>> Peers;
};

/// Returns the expected time in the queue of a request of \p Class of
/// \p Customer, where this entry's part of all slots is \p Slots.
Duration expectedWait(const AdmissionState &State, std::string_view Customer,
                      double Weight, PromptClass Class, double Slots);

/// Queues \p Request or refuses it. \p Slots is the number of upstream slots
/// that this entry can expect to use, its part of those that entries share.
AdmissionDecision offer(AdmissionState &State, const AdmissionRequest &Request,
                        double Slots, TimePoint Now,
                        RandomGenerator &Generator);

/// Returns the free places at \p Views that take new work.
ClassRoom roomOf(std::span<const UpstreamView> Views, const SlotLimits &Limits);

/// Takes the next request to send out of its queue, if any may be sent.
std::optional<AdmittedRequest> takeNext(AdmissionState &State,
                                        const ClassRoom &Room, TimePoint Now);

/// Takes note that a started request has ended. \p ActualCost, in seconds of a
/// slot, replaces the estimate in the customer's account.
void finish(AdmissionState &State, std::uint64_t Id,
            std::optional<double> ActualCost);

/// Puts a started request that could not be sent back to the front of its
/// queue, without charging its customer twice.
void requeue(AdmissionState &State, const AdmissionRequest &Request,
             TimePoint Now);

/// Drops a queued request whose caller has gone; returns whether it was queued.
bool cancel(AdmissionState &State, std::uint64_t Id);

/// Takes out the requests that waited for too long and returns their refusals.
std::vector<AdmissionRefusal> expire(AdmissionState &State, double Slots,
                                     TimePoint Now, RandomGenerator &Generator);

/// Replaces what is known of the use of \p Peer.
void notePeerUse(AdmissionState &State, std::string_view Peer,
                 std::span<const CustomerUse> Use, TimePoint Now);

/// Divides \p Limit among entries that have \p Demand requests each: equal
/// parts, of which the rest that some don't need goes to the others, and what
/// nobody needs is spread equally. Remainders go to the first entries. The
/// result adds up to \p Limit.
std::vector<int> divideLimit(int Limit, std::span<const int> Demand);

/// Computes anew how many requests of each customer this entry may have in
/// flight. Called once per exchange of digests. Entries that decide on the same
/// digests stay within the limit together, and each that has requests waiting
/// gets its part as soon as requests of the others end.
void refreshGrants(AdmissionState &State, TimePoint Now);

/// Returns this entry's own use, to send to peers.
std::vector<CustomerUse> ownUse(const AdmissionState &State, TimePoint Now);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_ADMISSION_H
