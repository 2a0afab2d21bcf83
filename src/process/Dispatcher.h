// Decides for each request when it is sent and to which upstream. Combines
// routing, admission, the crash guard and the cache index.
//
//   DispatchTicket Ticket(Dispatch, std::move(Request));
//   Ticket.choose(Avoid, [&](const DispatchDecision &Answer) { ... });
//   // after the request was sent to Answer.Upstream:
//   Ticket.firstToken();  Ticket.finished(Tokens);  // or failed()
//
// The first choice for a request passes through the queue of its class and
// customer; later choices for the same request reuse its admission. The
// callback may run inside choose() or later, and never after the ticket is
// destroyed.
//
// Guarantees: a chosen upstream belongs to the configuration snapshot that the
// request holds; all admission slots and outstanding work counted for a ticket
// are released when it is destroyed.

#ifndef GALENAROUTE_PROCESS_DISPATCHER_H
#define GALENAROUTE_PROCESS_DISPATCHER_H

#include "process/CacheTransfers.h"
#include "process/LoadPoller.h"
#include "process/Timeline.h"
#include "request/Admission.h"
#include "request/CrashGuard.h"
#include "request/SlowUpstreams.h"

#include <nlohmann/json_fwd.hpp>

namespace galenaroute {

/// The block keys of one prompt for each weight version, computed on first use.
/// Upstreams run different versions while weights are replaced.
class PromptKeys {
public:
  using Hash =
      std::function<std::vector<BlockKey>(std::string_view WeightVersion)>;

  PromptKeys() = default;
  explicit PromptKeys(Hash Compute) : Compute(std::move(Compute)) {}

  const std::vector<BlockKey> &forVersion(std::string_view WeightVersion);

private:
  Hash Compute;
  std::map<std::string, std::vector<BlockKey>, std::less<>> Known;
};

/// The properties of a request that routing and admission use.
struct DispatchRequest {
  ConfigurationPtr Config;
  std::string RequestId;
  std::string Service;
  std::string Customer;
  double PromptTokens = 0; ///< Zero for calls of plain services.
  double RequestedTokens = 0;
  std::vector<BlockKey> Keys; ///< For the declared weight version.
  std::shared_ptr<PromptKeys> KeysByVersion; ///< Null for plain services.
  /// Identifies the prompt to the crash guard; unused for plain services.
  Digest Content;
  /// Deadline for the first token of a stream, or for the complete response.
  TimePoint Deadline;
  bool Streaming = false;
};

/// The upstream chosen for a request, or the reason for its refusal.
struct DispatchDecision {
  std::optional<AdmissionRefusal> Refusal;
  std::string Upstream;
  std::string Attempt; ///< A new attempt id.
  int Priority = 0;
  /// Weight version that the upstream runs; block keys sent there must be
  /// computed for it.
  std::string WeightVersion;
};

struct DispatcherSettings {
  std::string Self; ///< This gateway's name among its peers.
  std::string Zone;
  RoutePolicy Policy = RoutePolicy::ExpectedTime;
  SlotLimits Slots;
  PromptClassLimits Classes;
  LoadPollerSettings Polls;
  Duration DigestPeriod = Milliseconds(100);
  /// Interval at which an unchanged digest is repeated, before peers discard it
  /// as stale.
  Duration DigestRepeat = Milliseconds(1000);
  /// Time after the last request at which the gateway counts as idle.
  Duration IdleAfter = std::chrono::seconds(2);
};

/// Returns the policy called \p Name, such as `expected-time`, or nullopt if
/// there is none.
std::optional<RoutePolicy> routePolicyFromName(std::string_view Name);

class Dispatcher {
public:
  Dispatcher(EventLoop &Loop, HttpClient &Http, Timeline &Events,
             DispatcherSettings Settings, std::uint64_t Seed);
  ~Dispatcher();
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  /// Applies the upstreams, stores and limits of \p Config.
  void setConfig(ConfigurationPtr Config);

  /// Sets the addresses of VMs that are leaving.
  void setLeaving(std::set<std::string> Leaving);

  /// Sets this gateway's name among its peers, which is used to divide shares
  /// consistently.
  void setSelf(const std::string &Name);

  /// Emitted with the body of a `load` message for peers: at most once per
  /// DigestPeriod while it changes, every DigestRepeat while it doesn't, and
  /// never while it is empty.
  sigc::signal<void(const nlohmann::json &Body)> LoadDigest;
  /// Applies a peer's `load` message. Throws if it is malformed.
  void onLoadDigest(const std::string &Peer, const nlohmann::json &Body);

  /// Emitted with the body of a `crash` message for peers when crash signatures
  /// have changed.
  sigc::signal<void(const nlohmann::json &Body)> CrashDigest;
  /// Returns a `crash` message body with all known signatures, for a peer that
  /// has just started.
  nlohmann::json crashDigest() const;
  /// Applies a peer's `crash` message. Throws if it is malformed.
  void onCrashDigest(const nlohmann::json &Body);

  /// Returns `{"SERVICE":{"queued":[..],"upstreams":{NAME:{...}}}}`.
  nlohmann::json status() const;

  /// Returns the number of load reports requested so far.
  std::uint64_t polls() const { return this->Poller.calls(); }

  using OnChosen = std::function<void(const DispatchDecision &)>;

private:
  friend class DispatchTicket;
  struct QueuedRequest {
    DispatchRequest Request;
    PromptClass Class = PromptClass::Normal;
    std::vector<std::string> Avoid;
    OnChosen Done;
  };
  struct Service {
    UpstreamTracker Tracker;
    AdmissionState Admission;
    RouteState Route;
    std::map<std::uint64_t, QueuedRequest> Queue;
    PrefetchTable Prefetch;
    std::string WeightVersion;
    double MeanTokens = 0; ///< Mean length of finished responses.
    bool IsPumping = false;
  };

  Service &serviceState(const std::string &Name) {
    return this->Services[Name];
  }
  std::uint64_t newId() { return this->NextId++; }

  void enqueue(std::uint64_t Id, QueuedRequest Queued);
  /// Dispatches queued requests while upstreams have free slots.
  void pump(Service &State);
  /// Pumps the queues of all services on the next turn of the event loop.
  void schedulePump();
  /// Fills Views for \p Request and returns its cache reuse plan for each view.
  std::vector<ReusePlan> prepareViews(Service &State,
                                      const DispatchRequest &Request,
                                      PromptClass Class);
  /// Replaces the plans of upstreams that run a weight version other than the
  /// configured one.
  void planOtherVersions(const Service &State, const DispatchRequest &Request,
                         PromptClass Class, std::span<ReusePlan> Plans);
  void route(Service &State, const QueuedRequest &Queued, bool NeedsRoom);
  /// Returns the number of upstream slots that this gateway can expect to use.
  double usableSlots(const Service &State) const;
  /// Estimates the cost of a request and sets its class.
  AdmissionRequest makeAdmissionRequest(Service &State, std::uint64_t Id,
                                        QueuedRequest &Queued);
  void exportBlocks(Service &State, const DispatchRequest &Request,
                    const std::string &Upstream);
  void prefetch(Service &State, const ServiceConfig &Declared);
  TransferEndpoint engineEndpoint(const ServiceConfig &Service,
                                  const std::string &Upstream) const;
  TransferEndpoint storeEndpoint(const std::string &Store) const;
  void tick();
  void sendLoadDigest(TimePoint Now);
  void checkCrashes();
  /// Emits the crash signatures if they have changed since the last emission.
  void sendCrashDigest();
  nlohmann::json loadDigest() const;
  std::vector<PollTarget> pollTargets() const;
  void applyConfig();

  EventLoop &Loop;
  Timeline &Events;
  DispatcherSettings Settings;
  RandomGenerator Generator;
  ConfigurationPtr Config;
  std::set<std::string> Leaving;
  std::map<std::string, Service> Services;
  CrashGuard Guard;
  CacheIndex Index;
  LinkMap Links;
  LoadPoller Poller;
  CacheTransfers Transfers;
  std::vector<UpstreamView> Views; ///< Reused, to save allocations.
  std::uint64_t NextId = 1;
  std::uint64_t SentRevision = 0; ///< Guard.Revision at the last emission.
  TimePoint NextDigestAt{};
  std::vector<std::uint8_t> SentDigest; ///< The last digest sent, as CBOR.
  TimePoint DigestSentAt{};
  TimePoint LastRequestAt{};
  std::size_t OpenTickets = 0;
  TimePoint NextShareUpdate{};
  sigc::connection Timer;
  sigc::connection PumpTimer;
};

/// Tracks one request through admission, its attempts and its end.
class DispatchTicket {
public:
  DispatchTicket(Dispatcher &Owner, DispatchRequest Request);
  ~DispatchTicket();
  DispatchTicket(const DispatchTicket &) = delete;
  DispatchTicket &operator=(const DispatchTicket &) = delete;

  /// Chooses an upstream, preferably one not in \p Avoid, and passes the result
  /// to \p Done. A previous attempt that has not ended is recorded as
  /// cancelled.
  void choose(std::span<const std::string> Avoid,
              const Dispatcher::OnChosen &Done);

  /// Return the weight version of the chosen upstream and the block keys for
  /// it.
  const std::string &weightVersion() const { return this->WeightVersion; }
  const std::vector<BlockKey> &keys() const;

  /// Records the first token. \p UncachedTokens is the number of prompt tokens
  /// that the engine reports as computed, if it reports one.
  void firstToken(std::optional<double> UncachedTokens = {});
  /// Records that the current attempt completed with \p Tokens tokens.
  void finished(double Tokens);
  /// Records that the current attempt failed.
  void failed(AttemptFailure Failure);
  /// Records that the upstream refused the attempt because it runs another
  /// weight version.
  void versionMismatch();
  /// Records that the connection of the current attempt broke. The attempt may
  /// be resumed.
  void connectionBroke();

private:
  void chosen(const DispatchDecision &Answer);

  Dispatcher &Owner;
  DispatchRequest Request;
  std::uint64_t Id;
  bool Admitted = false;
  std::string Attempt; ///< Id of the attempt in flight; empty if there is none.
  std::string Upstream;
  std::string WeightVersion;
  PromptClass Class = PromptClass::Normal;
  TimePoint FirstSentAt{};
  /// Set while the current attempt has lost its connection.
  bool ConnectionBroken = false;
  /// Lets callbacks that outlive this ticket detect its destruction.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_DISPATCHER_H
