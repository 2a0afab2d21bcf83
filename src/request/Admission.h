// Admission control: decides whether and when a request is sent upstream.
//
//   AdmissionDecision Decision = offer(State, Request, Slots, Now, Generator);
//   // Decision.Refusal is final; otherwise the request waits in its queue.
//   while (auto Next = takeNext(State, freeClassSlots(Views, Limits), Now))
//     send(Next->Id);
//   finish(State, Id, ActualCost);
//   for (const AdmissionRefusal &Refusal : expire(State, Slots, Now,
//   Generator))
//     ...
//
// Customers receive weighted fair shares by start-time fair queueing across
// all prompt classes. Idle customers don't count, so their share goes to the
// others. Classes share upstreams by start-time fair queueing with fixed
// weights, within the slots that placesFor() grants each class. A request is
// refused as soon as its expected queueing time is too long for its deadline.
//
// Guarantees: queues are bounded; a queued request is started, refused or
// cancelled exactly once; by default it is refused no later than half-way to
// its latest start; between two customers with requests queued in the same
// class, the difference of cost/weight is bounded by one request of each; each
// decision takes O(log n) in queued requests and customers.

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
  /// Maximum number of queued requests per class.
  std::size_t MaxQueuedPerClass = 512;
  /// Relative shares of the classes while all have queued requests. Shares are
  /// in cost, which is the expected time in a slot, so a short request waits
  /// for few long ones.
  std::array<double, PromptClassCount> ClassWeights{16, 4, 1};
  /// Fraction of the time up to the latest start that a request may spend in
  /// the queue, so that a refusal leaves the caller time to retry elsewhere.
  double MaxQueueTimeShare = 0.5;
  /// Fraction of the slots that each class may use; see SlotLimits.
  std::array<double, PromptClassCount> ClassSlots{1, 0.75, 0.375};
  /// Maximum credit of a customer or class, in slot seconds per weight. Without
  /// a bound, one that could not be served for a long time would later take all
  /// slots.
  double MaxCredit = 1;
  Duration MinRetryAfter = Milliseconds(100);
  Duration MaxRetryAfter = std::chrono::seconds(30);
  /// Usage reported by a peer is dropped when it is older than this.
  Duration MaxUseAge = std::chrono::seconds(2);
};

/// A request to be admitted.
struct AdmissionRequest {
  std::uint64_t Id = 0;
  std::string Customer;
  double Weight = 1;
  int MaxInFlight = 64; ///< Over all gateways.
  PromptClass Class = PromptClass::Normal;
  /// Expected time in a slot, in seconds.
  double Cost = 0.1;
  /// Expected time from sending to completion, on an upstream with free slots.
  Duration ExpectedRun{};
  TimePoint Deadline;
};

/// A final refusal. The request was not sent.
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

/// Free upstream slots by class.
using FreeClassSlots = std::array<int, PromptClassCount>;

/// A customer's requests at one gateway, as exchanged between peers.
struct CustomerUse {
  std::string Customer;
  int InFlight = 0;
  int Queued = 0;
  std::int64_t WaitMs = 0; ///< Of the request queued the longest.
};

struct QueuedRequest {
  AdmissionRequest Request;
  std::int64_t Serial = 0;
  TimePoint QueuedAt;
  TimePoint QueueDeadline;
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
  /// Maximum in flight at this gateway until the next refreshGrants().
  int Grant = 0;
  double Tag = 0; ///< Virtual start time of its next request.
  /// Request ids by serial number, for each class.
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

/// The queues of one service at one gateway.
struct AdmissionState {
  AdmissionOptions Options;
  std::unordered_map<std::uint64_t, QueuedRequest> Queued;
  std::unordered_map<std::uint64_t, RunningRequest> Running;
  std::map<std::string, CustomerState, std::less<>> Customers;
  /// Customers that may start a request of the class, ordered by tag.
  std::array<std::set<std::pair<double, std::string>>, PromptClassCount> Ready;
  std::set<std::pair<TimePoint, std::uint64_t>> ByQueueDeadline;
  std::array<std::size_t, PromptClassCount> QueuedCount{};
  std::array<double, PromptClassCount> QueuedCost{};
  /// Sum of the weights of the customers with requests queued in the class.
  std::array<double, PromptClassCount> WaitingWeight{};
  std::array<double, PromptClassCount> ClassTags{};
  /// Virtual times of the customers in each class, and of the classes. A
  /// customer or class that becomes active starts at this time.
  std::array<double, PromptClassCount> CustomerTime{};
  double ClassTime = 0;
  std::int64_t NextSerial = 0;
  std::int64_t FrontSerial = -1; ///< For requests that are requeued.
  std::string Self;              ///< The name of this gateway among its peers.
  /// The time of each peer's last report.
  std::map<std::string, TimePoint, std::less<>> Peers;
};

/// Returns the expected queueing time of a request of \p Class from
/// \p Customer, where \p Slots is this gateway's share of the upstream slots.
Duration expectedWait(const AdmissionState &State, std::string_view Customer,
                      double Weight, PromptClass Class, double Slots);

/// Enqueues \p Request or refuses it. \p Slots is this gateway's share of the
/// upstream slots.
AdmissionDecision offer(AdmissionState &State, const AdmissionRequest &Request,
                        double Slots, TimePoint Now,
                        RandomGenerator &Generator);

/// Returns the free slots at those of \p Views that take new work.
FreeClassSlots freeClassSlots(std::span<const UpstreamView> Views,
                              const SlotLimits &Limits);

/// Dequeues the next request to send, if any may be sent.
std::optional<AdmittedRequest>
takeNext(AdmissionState &State, const FreeClassSlots &FreeSlots, TimePoint Now);

/// Records that a started request has ended. \p ActualCost, in slot seconds,
/// replaces the estimate that was charged to the customer.
void finish(AdmissionState &State, std::uint64_t Id,
            std::optional<double> ActualCost);

/// Returns a started request that could not be sent to the front of its queue,
/// without charging its customer twice.
void requeue(AdmissionState &State, const AdmissionRequest &Request,
             TimePoint Now);

/// Removes a queued request whose caller has disconnected; returns whether it
/// was queued.
bool cancel(AdmissionState &State, std::uint64_t Id);

/// Removes the requests whose time in the queue is over and returns their
/// refusals.
std::vector<AdmissionRefusal> expire(AdmissionState &State, double Slots,
                                     TimePoint Now, RandomGenerator &Generator);

/// Replaces the usage reported by \p Peer.
void notePeerUse(AdmissionState &State, std::string_view Peer,
                 std::span<const CustomerUse> Use, TimePoint Now);

/// Divides \p Limit among gateways that have \p Demand requests each by max-min
/// fairness: equal shares, where what a gateway doesn't need goes to the
/// others. Capacity beyond the total demand is spread equally. Remainders go
/// to the first gateways. The shares add up to \p Limit.
std::vector<int> divideLimit(int Limit, std::span<const int> Demand);

/// Recomputes how many requests of each customer this gateway may have in
/// flight. Called once per exchange of digests. Gateways that have the same
/// digests together stay within the limit, and each one with queued requests
/// gets its share as soon as requests at the others end.
void refreshGrants(AdmissionState &State, TimePoint Now);

/// Returns the usage at this gateway, to send to peers.
std::vector<CustomerUse> ownUse(const AdmissionState &State, TimePoint Now);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_ADMISSION_H
