// The upstreams of one service, as this process uses them: the queue in front
// of them, the choice among them, and what is known of their load.
//
//   Pool.offer(Work, {.OnAdmitted = ..., .OnRefused = ...});  // then,
//   admitted: std::optional<ChosenUpstream> To = Pool.choose(Work, Avoid);
//   Pool.noteSent(Attempt, To->Name, Work);
//   Pool.noteFirstToken(...); Pool.noteFinished(...) or noteFailed(...);
//   Pool.leave(Work.Id);
//
// The decisions are in request/Admission.h, Routing.h, UpstreamTracker.h and
// SlowUpstreams.h; this class holds their states and calls them.
//
// Guarantees: of a request that was offered, exactly one of OnAdmitted and
// OnRefused is called, unless it leaves first; OnAdmitted may be called inside
// offer() and leave(), OnRefused of an offer that is refused at once too.

#ifndef GALENAROUTE_PROCESS_SERVICEPOOL_H
#define GALENAROUTE_PROCESS_SERVICEPOOL_H

#include "process/EventLoop.h"
#include "request/Admission.h"
#include "request/RetryBudget.h"
#include "request/SlowUpstreams.h"
#include "request/UpstreamTracker.h"

#include <functional>
#include <map>

namespace galenaroute {

/// What queueing and routing need to know of one request.
struct RequestWork {
  std::uint64_t Id = 0; ///< Unique in the process.
  std::string Customer;
  double Weight = 1;
  int MaxInFlight = 64;
  PromptClass Class = PromptClass::Short;
  double PromptTokens = 0; ///< Zero for calls of plain services.
  double RequestedTokens = 0;
  bool Streaming = false; ///< The deadline is for the first token.
  std::uint64_t AffinityHash = 0;
  std::string WeightVersion; ///< Preferred; empty: any.
  TimePoint Deadline;
};

struct ChosenUpstream {
  std::string Name;
  std::string WeightVersion; ///< That it reported; empty: unknown.
};

struct AdmissionCallbacks {
  std::function<void()> OnAdmitted;
  std::function<void(const AdmissionRefusal &)> OnRefused;
};

/// What all pools of a process share.
struct PoolOptions {
  RoutePolicy Policy = RoutePolicy::ExpectedTime;
  std::string Node;
  std::string Zone;
  std::string Cell; ///< Key of the subset of upstreams, see setUpstreams().
  double RetryShare = 0.1;
};

class ServicePool {
public:
  ServicePool(EventLoop &Loop, const PoolOptions &Options);
  ~ServicePool();
  ServicePool(const ServicePool &) = delete;
  ServicePool &operator=(const ServicePool &) = delete;

  /// Follows \p Next; upstreams that \p Leaving names, by name or address, take
  /// no new work.
  void setService(const ServiceConfig &Next,
                  const std::set<std::string> &Leaving);

  void offer(const RequestWork &Work, AdmissionCallbacks Callbacks);

  /// The request has ended, or its caller left the queue.
  void leave(std::uint64_t Id);

  std::optional<ChosenUpstream> choose(const RequestWork &Work,
                                       std::span<const std::string> Avoid);

  void noteSent(const std::string &Attempt, const std::string &Upstream,
                const RequestWork &Work);
  void noteFirstToken(const std::string &Attempt);
  void noteFinished(const std::string &Attempt, double Tokens,
                    const RequestWork &Work);
  void noteFailed(const std::string &Attempt, AttemptFailure Failure);
  void noteLoad(std::string_view Upstream, LoadReport Report,
                Duration RoundTrip);

  /// Takes over what a peer said of its work, and forgets it after a while.
  void notePeer(const std::string &Peer, std::span<const UpstreamWork> Work,
                std::span<const CustomerUse> Use);
  std::vector<UpstreamWork> work() const { return ownWork(this->Tracker); }
  std::vector<CustomerUse> use() const;

  /// Sets how many entries, this one included, share the upstreams.
  void setEntries(std::size_t Count) { this->Entries = std::max(Count, 1UL); }

  std::vector<std::string> upstreams() const;
  std::size_t queued() const { return this->Admission.Queued.size(); }
  bool hasWork() const {
    return !this->Admission.Queued.empty() || !this->Admission.Running.empty();
  }
  RetryBudget &retries() { return this->Retries; }

private:
  struct Waiting {
    RequestWork Work;
    AdmissionCallbacks Callbacks;
  };

  std::vector<UpstreamView> views() const;
  double ownSlots(std::span<const UpstreamView> Views) const;
  double costOf(const RequestWork &Work,
                std::span<const UpstreamView> Views) const;
  void pump();
  void expireQueued();
  void armExpiry();
  void tick();

  EventLoop &Loop;
  const PoolOptions &Options;
  UpstreamTracker Tracker;
  AdmissionState Admission;
  RouteState Route;
  RetryBudget Retries;
  SlowOptions Slow;
  RandomGenerator Generator{std::random_device{}()};
  std::map<std::uint64_t, Waiting> Queue;
  /// Requests that were admitted and not sent yet; they will take a place.
  std::map<std::uint64_t, PromptClass> Unsent;
  /// Moving average of generated tokens as a part of the requested ones, which
  /// are an upper bound.
  double AnswerShare = 0.5;
  std::size_t Entries = 1;
  bool IsPumping = false;
  sigc::connection ExpiryTimer;
  sigc::connection TickTimer;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_SERVICEPOOL_H
