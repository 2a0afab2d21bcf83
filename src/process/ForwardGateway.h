// A gateway that forwards callers' requests to registered upstreams.
//
//   ForwardGateway Gateway(Loop, Settings, Parts);
//   Gateway.Stopped.connect([&] { Loop.stop(); });
//   Gateway.start();
//
// Owns the state shared by all calls and keeps it current: the configuration,
// the upstream registry, the requested weight versions and the evacuated zones
// are watched on the platform, cache contents are followed through the stores'
// event feeds, the other gateways are discovered by gossip, and orders to load
// new weights are issued under a lease. Wire formats are supplied through the
// interfaces in GatewayParts.

#ifndef GALENAROUTE_PROCESS_FORWARDGATEWAY_H
#define GALENAROUTE_PROCESS_FORWARDGATEWAY_H

#include "connection/RelayListener.h"
#include "process/CrashExchange.h"
#include "process/Descriptors.h"
#include "process/EntryChannel.h"
#include "process/GatewayPaths.h"
#include "process/MemoryReserve.h"
#include "process/RateExchange.h"
#include "process/SoftwareVersionStore.h"
#include "process/StatusExchange.h"
#include "process/StoreFollower.h"
#include "process/StreamOriginStore.h"
#include "request/ForwardRun.h"
#include "version/ForwardSource.h"
#include "version/ObjectWatcher.h"
#include "version/OrderController.h"

namespace galenaroute {

/// Limits on what clients may make the process hold.
struct DoorSettings {
  std::size_t MaxFields = 256; ///< Header fields of a request.
  /// Items in one header field, such as parts of a prompt.
  std::size_t MaxListItems = 1024;
  /// A request or unread answer without progress for this long may be ended
  /// while memory is short.
  Duration GiveWayAfter = std::chrono::seconds(1);
};

struct GatewaySettings {
  std::string NodeId;
  std::string Zone;
  SocketAddress Callers; ///< Listening address for callers.
  SocketAddress Gossip;
  std::vector<SocketAddress> GossipSeeds;
  double Cores = 1;
  std::size_t MaxDescriptors = 4096; ///< The process may have fewer.
  /// Retry budget of all gateways together: a fraction of the calls plus a
  /// fixed number for each window.
  double RetryShare = 0.2;
  double RetrySlack = 50;
  /// How long open calls may continue after a stop is requested.
  Duration Grace = std::chrono::seconds(8);
  bool ChecksFence =
      false; ///< Upstreams reject orders with a stale fencing token.
  Duration LeaseTerm = std::chrono::seconds(3);
  /// After this time from the announcement of new weights, older ones may not
  /// be used.
  Duration WeightsLimit = std::chrono::seconds(15);
  /// The whole system starts for the first time.
  bool IsFirstStart = false;
  /// By how much the times of day of two VMs may differ, also of one VM before
  /// and after a restart.
  Duration MaxClockError = std::chrono::seconds(5);
  /// Memory of the machine in bytes, if the platform states it.
  std::optional<std::size_t> MemoryBytes;
  DoorSettings Door;
  /// Time from the request to evacuate a zone until its upstreams get no more
  /// calls; nothing if zones are not evacuated.
  std::optional<Duration> EvacuationLimit;
  /// Whether the calls to a cold upstream in any second are bounded, also those
  /// of a process that was suspended when the upstream became cold.
  bool HasColdBound = false;
  UpstreamTableSettings Upstreams;
};

struct GatewayParts {
  Platform &Api;
  const ForwardSource &Source;
  const CallCodec &Codec;
  CacheFeed &Feed;
  UpstreamOrders &Orders;
  /// Bounds the answers that the process collects.
  std::shared_ptr<ResponseBudget> Answers = std::make_shared<ResponseBudget>();
};

class ForwardGateway {
public:
  ForwardGateway(EventLoop &Loop, GatewaySettings Settings, GatewayParts Parts);
  ~ForwardGateway();
  ForwardGateway(const ForwardGateway &) = delete;
  ForwardGateway &operator=(const ForwardGateway &) = delete;

  void start();

  /// Applies the settings that may change while the process runs: seeds,
  /// capacity, connection and retry limits, grace period, weights limit.
  void reload(const GatewaySettings &Next);
  /// Begins a graceful stop.
  void drain();
  sigc::signal<void()> Stopped;

  /// Returns whether this gateway should receive callers' connections.
  bool isReady() const;
  /// Returns gateway addresses for a caller in \p Zone, in order of preference.
  std::vector<SocketAddress> addressesFor(std::string_view Zone);
  const UpstreamTable &upstreams() const { return this->Upstreams; }
  Metrics &stats() { return this->Stats; }
  const DescriptorShares &descriptors() const { return this->Descriptors; }
  /// What follows when the memory reserve of the process is given up; valid
  /// after start().
  MemoryReserveEvents memoryEvents();
  /// Adds to \p Limits those of the machine's memory and of `[door]`.
  void addDoorLimits(CallerLimits &Limits, MemoryPart Part);

private:
  std::size_t usableMemory() const;
  void setMemoryShort(bool Short);
  void applySettings();
  void updateRetryBudgets();
  CallerLimits callerLimits();
  bool keepsBody(const HttpHead &Head) const;
  void updateDescriptorShares();
  void onEraChanged(const EraChange &Change);
  void onConfig(const PlatformObject &Object);
  void onUpstream(const PlatformObject &Object);
  void onUpstreamEnded(const UpstreamEntry &Ended);
  void onUpstreamReturned(const UpstreamEntry &Returned, TimePoint RemovedAt);
  void onWeights(const PlatformObject &Object);
  using GatewayFilter = std::function<bool(const EntryRecord &Entry)>;
  static bool acceptsAny(const EntryRecord &) { return true; }

  std::vector<std::string_view>
  liveGatewayIds(const GatewayFilter &Filter = acceptsAny) const;
  bool isAssigned(std::string_view Task, std::size_t Count,
                  std::span<const std::string_view> Others) const;
  bool isInSameZone(const EntryRecord &Other) const;
  void readWeightHistory(const std::string &Model);
  void storeWeightHistories();
  void storeWeightHistory(const std::string &Model, std::uint64_t Version);
  void sendWeightNotices(std::span<const SocketAddress> Targets);
  void onWeightNotices(std::span<const WeightNotice> Notices, BuildLevel Level);
  void detectStall();
  void watchEvacuations();
  void onEvacuation(const PlatformObject &Object);
  void onEvacuationsListed(const std::set<std::string> &Names);
  void setEvacuated(const std::string &Zone, bool Evacuated);
  void closeEvacuated();
  void wakeQueues();
  bool knowsUpstreams();
  std::vector<ObjectWatcher *> readAfterStalls();
  bool mayHoldStaleMessages();
  void onCall(std::shared_ptr<IncomingCall> Call);
  void gossip();
  std::vector<BacklogItem> updateBacklog(TimePoint Now);
  void publishStatus();
  void scheduleFlush();
  StatusEvents statusEvents();
  void setCustomers(const ForwardConfig &Config);
  void updateCustomerMetrics();
  void sendToZone(const GossipMessage &Message);
  RateExchangeParts rateParts();
  SoftwareVersionStoreParts softwareVersionParts();
  StreamOriginStoreParts streamStoreParts();
  bool tellStreams(const StreamRecordUpdates &News);
  bool lacksRecordKeepers() const;
  void reportBuilds();
  void connectStreams();
  VersionsByService registeredVersions() const;
  void connectRates();
  void updateRateMembers();
  void updateFleet();
  void limitIfCold(const UpstreamEntry &Entry);
  void limitCold(const UpstreamEntry &Entry, TimePoint Until);
  UpstreamTable::CallPermission
  permissionToCall(const UpstreamEntry &Entry) const;
  void assignWatchers();
  std::vector<ObjectWatcher *> watchers();
  std::vector<ObjectWatcher *> forwardedWatchers();
  bool reachesPlatform() const;
  void onMessage(GossipMessage Message);
  void excludeWithheld(std::span<const std::string> Ids);
  void updateOrders();
  void renewPartRights();
  void freeOutdatedParts();
  void updateZones();
  bool needsOrders(std::string_view Service) const;
  std::optional<BootTime> weightsMissedSince(BootTime Now) const;
  bool mayFinishOrders() const;
  bool isPreferredFor(std::string_view Service);
  bool isLeaseCandidate(std::string_view Service, std::size_t Count);
  void checkStop();
  UpstreamTable::ConnectionCapacity
  connectionRoom(const UpstreamEntry &Entry) const;
  std::size_t gatewayCount() const;
  void connectPaths();
  void startRelays();
  void updateRelayLimits();
  bool isGateway(std::string_view Host) const;
  bool sharesPauseOf(const UpstreamEntry &Entry, TimePoint Now) const;
  std::optional<SocketAddress> relayTarget(const RelayRequest &Request) const;
  bool mayPlatformLackObjects() const;
  bool isConfigOutdated() const;
  void logConfigOutdated();

  EventLoop &Loop;
  GatewaySettings Settings;
  DescriptorShares Descriptors;
  GatewayParts Parts;
  std::mt19937_64 Random{std::random_device{}()};
  Metrics Stats;
  /// That was free when this process started; nothing if it is not limited.
  std::optional<std::size_t> AddressSpace = freeAddressSpace();
  MemoryBudget Memory;
  UpstreamPool Pool;
  UpstreamTable Upstreams;
  ForwardServices Services;
  StoreFollower Stores;
  ObjectWatcher Configs;
  ObjectWatcher Registry;
  ObjectWatcher WeightNotices;
  /// Nothing if zones are not evacuated.
  std::optional<ObjectWatcher> Evacuations;
  bool HasEvacuations = false; ///< They were listed since the start.
  /// The end of a stall since which what readAfterStalls() names has not been
  /// read.
  std::optional<BootTime> DoubtedAt;
  /// Evacuated zones that a restored platform does not list.
  std::set<std::string> UnlistedEvacuations;
  EntryGossip Entries;
  GatewayPaths Paths;
  StatusExchange Statuses;
  CrashExchange Crashes;
  RateExchange Rates;
  SoftwareVersionStore SoftwareVersions;
  StreamOriginStore StreamStore;
  /// Whose streams may be taken up, by the configuration in force.
  std::set<std::string, std::less<>> ResumableServices;
  /// Live gateways including this one; updated by gossip().
  std::size_t GatewayCount = 1;
  /// Known gateways including this one and those that are not heard; updated by
  /// gossip().
  std::size_t KnownCount = 1;
  std::unique_ptr<OrderController> Orders;
  std::unique_ptr<CallListener> Listener;
  std::unique_ptr<EntryChannel> Channel;
  std::unique_ptr<RelayListener> Relays;
  std::string ReportedLevels; ///< Of builds, when reported last.
  /// When this process started or noticed that the platform was restored.
  TimePoint EraSince = EventLoop::now();
  bool WasConfigOutdated = false; ///< In the last gossip round.
  StallDetector Stalls{BootClock::now()};
  /// Names of the customers in force, for metrics.
  std::map<CustomerKey, std::string> CustomerNames;
  /// Newest version by model whose announcement is stored on the platform.
  std::map<std::string, std::uint64_t> StoredWeights;
  /// Models whose history is being written.
  std::set<std::string> PendingHistories;
  std::optional<TimePoint> StopRequestedAt;
  std::optional<TimePoint> RefusingSince; ///< During a stop.
  bool HasEndedCalls = false; ///< Those still open near the end of a stop.
  std::vector<sigc::connection> Timers;
  sigc::connection EraChanges;
  sigc::connection AnswersExceeded;
  sigc::connection StatusTimer;
  /// The services whose last reported backlog was not zero.
  std::set<std::string> ServicesWithBacklog;
  sigc::connection FlushTimer;
  /// Retries to read weight histories, by model.
  std::map<std::string, sigc::connection> HistoryTimers;
  // Lets callbacks that outlive the gateway detect its destruction.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_FORWARDGATEWAY_H
