// Decides for each request when it is sent and to which upstream: the shell
// around routing, admission, the crash guard and the cache index.
//
//   DispatchTicket Ticket(Dispatch, std::move(Request));
//   Ticket.choose(Avoid, [&](const DispatchAnswer &Answer) { ... });
//   // after Answer.Upstream was sent to:
//   Ticket.firstToken();  Ticket.finished(Tokens);  // or failed()
//
// The first choice of a request goes through the queue of its class and
// customer; later choices of the same request keep its place. An answer comes
// at once or later; after the ticket is destroyed none comes.
//
// Guarantees: a chosen upstream belongs to the configuration that the request
// keeps; every place and all work counted for a ticket are given back when it
// is destroyed.

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

/// The block keys of one prompt for each weight version, computed when first
/// asked for. Upstreams run different versions while weights are replaced.
class PromptKeys {
public:
  using Hash =
      std::function<std::vector<BlockKey>(std::string_view WeightVersion)>;

  PromptKeys() = default;
  explicit PromptKeys(Hash Compute) : Compute(std::move(Compute)) {}

  const std::vector<BlockKey> &of(std::string_view WeightVersion);

private:
  Hash Compute;
  std::map<std::string, std::vector<BlockKey>, std::less<>> Known;
};

/// A request as the decisions see it.
struct DispatchRequest {
  ConfigurationPtr Config;
  std::string RequestId;
  std::string Service;
  std::string Customer;
  double PromptTokens = 0; ///< Zero for calls of plain services.
  double RequestedTokens = 0;
  std::vector<BlockKey> Keys;            ///< For the declared weight version.
  std::shared_ptr<PromptKeys> OtherKeys; ///< Null for plain services.
  Digest Content; ///< For the crash guard; only of prompts.
  /// For the first token of a stream, or for the whole answer.
  TimePoint Deadline;
  bool Streaming = false;
};

/// Where to send a request, or why not to.
struct DispatchAnswer {
  std::optional<AdmissionRefusal> Refusal;
  std::string Upstream;
  std::string Attempt; ///< A new attempt id.
  int Priority = 0;
  /// What the upstream runs; the block keys sent there must be of it.
  std::string WeightVersion;
};

struct DispatcherSettings {
  std::string Self; ///< This entry's name among its peers.
  std::string Zone;
  RoutePolicy Policy = RoutePolicy::ExpectedTime;
  SlotLimits Slots;
  PromptClassLimits Classes;
  LoadPollerSettings Polls;
  Duration DigestPeriod = Milliseconds(100);
  /// An unchanged digest is repeated before peers drop it as old.
  Duration DigestRepeat = Milliseconds(1000);
  /// This long after the last request the entry counts as idle.
  Duration IdleAfter = std::chrono::seconds(2);
};

/// Returns the policy called \p Name, such as `expected-time`; nothing when
/// there is none.
std::optional<RoutePolicy> routePolicyFromName(std::string_view Name);

class Dispatcher {
public:
  Dispatcher(EventLoop &Loop, HttpClient &Http, Timeline &Events,
             DispatcherSettings Settings, std::uint64_t Seed);
  ~Dispatcher();
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  /// Takes over the upstreams, stores and limits of \p Config.
  void setConfig(ConfigurationPtr Config);

  /// Takes over the names and addresses of leaving VMs.
  void setLeaving(std::set<std::string> Leaving);

  /// Sets this entry's name among its peers, by which they agree on shares.
  void setSelf(const std::string &Name);

  /// Emitted with the body of a `load` message for peers: at most once in a
  /// DigestPeriod when it has changed, every DigestRepeat when it has not, and
  /// not at all while there is nothing to tell.
  sigc::signal<void(const nlohmann::json &Body)> LoadDigest;
  /// Takes over the `load` message of a peer; throws on a malformed one.
  void onLoadDigest(const std::string &Peer, const nlohmann::json &Body);

  /// Emitted when signatures of crashes have changed, with the body of a
  /// `crash` message for peers.
  sigc::signal<void(const nlohmann::json &Body)> CrashDigest;
  /// Returns such a body with all that is known now, for a peer that starts.
  nlohmann::json crashDigest() const;
  /// Takes over the `crash` message of a peer; throws on a malformed one.
  void onCrashDigest(const nlohmann::json &Body);

  /// Returns `{"SERVICE":{"queued":[..],"upstreams":{NAME:{...}}}}`.
  nlohmann::json status() const;

  /// Returns the number of reports asked for so far.
  std::uint64_t polls() const { return this->Poller.calls(); }

  using OnChosen = std::function<void(const DispatchAnswer &)>;

private:
  friend class DispatchTicket;
  struct Waiting {
    DispatchRequest Request;
    PromptClass Class = PromptClass::Normal;
    std::vector<std::string> Avoid;
    OnChosen Done;
  };
  struct Service {
    UpstreamTracker Tracker;
    AdmissionState Admission;
    RouteState Route;
    std::map<std::uint64_t, Waiting> Queue;
    PrefetchTable Prefetch;
    std::string WeightVersion;
    double MeanTokens = 0; ///< Of finished answers.
    bool IsPumping = false;
  };

  Service &serviceOf(const std::string &Name) { return this->Services[Name]; }
  std::uint64_t newId() { return this->NextId++; }

  void enqueue(std::uint64_t Id, Waiting Entry);
  /// Sends out what there is room for.
  void pump(Service &Of);
  /// Pumps all services once the loop is out of its callbacks.
  void schedulePump();
  /// Fills Views for \p Request and returns its reuse plan at each.
  std::vector<ReusePlan>
  prepareViews(Service &Of, const DispatchRequest &Request, PromptClass Class);
  /// Replaces the plans of upstreams that run another weight version than the
  /// declared one.
  void planOtherVersions(const Service &Of, const DispatchRequest &Request,
                         PromptClass Class, std::span<ReusePlan> Plans);
  void route(Service &Of, const Waiting &Entry, bool NeedsRoom);
  /// Returns the slots of all upstreams that this entry can expect to use.
  double slotsOf(const Service &Of) const;
  /// Estimates the request and sets its class.
  AdmissionRequest admissionOf(Service &Of, std::uint64_t Id, Waiting &Entry);
  void exportBlocks(Service &Of, const DispatchRequest &Request,
                    const std::string &Upstream);
  void prefetch(Service &Of, const ServiceConfig &Declared);
  TransferEnd endOf(const ServiceConfig &Service,
                    const std::string &Upstream) const;
  TransferEnd storeEnd(const std::string &Store) const;
  void tick();
  void sendLoadDigest(TimePoint Now);
  void checkCrashes();
  /// Sends the signatures if they have changed since they were last sent.
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
  std::uint64_t SentRevision = 0; ///< Of the guard.
  TimePoint NextExchange{};
  std::vector<std::uint8_t> SentDigest; ///< CBOR of the last one.
  TimePoint DigestSentAt{};
  TimePoint LastRequestAt{};
  std::size_t OpenTickets = 0;
  TimePoint NextShares{};
  sigc::connection Timer;
  sigc::connection PumpTimer;
};

/// One request's place in the decisions.
class DispatchTicket {
public:
  DispatchTicket(Dispatcher &Of, DispatchRequest Request);
  ~DispatchTicket();
  DispatchTicket(const DispatchTicket &) = delete;
  DispatchTicket &operator=(const DispatchTicket &) = delete;

  /// Chooses an upstream, in preference one that is not in \p Avoid. The
  /// attempt before, if it has not ended, counts as cancelled.
  void choose(std::span<const std::string> Avoid,
              const Dispatcher::OnChosen &Done);

  /// The weight version of the chosen upstream, and the keys for it.
  const std::string &weightVersion() const { return this->WeightVersion; }
  const std::vector<BlockKey> &keys() const;

  /// \p UncachedTokens is what the engine says it had to compute, if it does.
  void firstToken(std::optional<double> UncachedTokens = {});
  /// The current attempt has given its whole answer.
  void finished(double Tokens);
  void failed(AttemptFailure Failure);
  /// The upstream refused the attempt since it runs another weight version.
  void versionMismatch();
  /// The connection of the current attempt broke; it may be resumed.
  void broke();

private:
  void chosen(const DispatchAnswer &Answer);

  Dispatcher &Of;
  DispatchRequest Request;
  std::uint64_t Id;
  bool Admitted = false;
  std::string Attempt; ///< Of the attempt in flight; empty: none.
  std::string Upstream;
  std::string WeightVersion;
  PromptClass Class = PromptClass::Normal;
  TimePoint FirstSentAt{};
  bool HasBroken = false; ///< The connection of the current attempt.
  /// Guards answers that arrive after this ticket is destroyed.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_DISPATCHER_H
