// A process that forwards callers' requests to registered upstreams.
//
//   ForwardGateway Gateway(Loop, Settings, Parts);
//   Gateway.Stopped.connect([&] { Loop.stop(); });
//   Gateway.start();
//
// Owns what all calls share and keeps it up to date: the configuration, the
// upstreams and the named weights follow the platform's objects, cache
// contents follow the stores' feeds, other entries are known by gossip, and
// orders for new weights are given under a lease. What is read and written on
// the wire comes in through the interfaces in GatewayParts.

#ifndef GALENAROUTE_PROCESS_FORWARDGATEWAY_H
#define GALENAROUTE_PROCESS_FORWARDGATEWAY_H

#include "process/CrashExchange.h"
#include "process/EntryChannel.h"
#include "process/StatusExchange.h"
#include "process/StoreFollower.h"
#include "request/ForwardRun.h"
#include "version/ForwardSource.h"
#include "version/ObjectWatcher.h"
#include "version/OrderController.h"

#include <array>

namespace galenaroute {

struct GatewaySettings {
  std::string NodeId;
  std::string Zone;
  SocketAddress Callers; ///< Where callers connect.
  SocketAddress Gossip;
  std::vector<SocketAddress> GossipSeeds;
  double Cores = 1;
  std::size_t MaxConnections = 3000;
  /// Retries that all entries together may cause: a share of the calls, and a
  /// number for each window on top.
  double RetryShare = 0.2;
  double RetrySlack = 50;
  /// After a stop was asked for: how long calls may go on.
  Duration Grace = std::chrono::seconds(8);
  bool ChecksFence = false; ///< Upstreams refuse orders with an old fence.
  Duration LeaseTerm = std::chrono::seconds(3);
  /// From the naming of weights until no older ones may be used.
  Duration WeightsLimit = std::chrono::seconds(15);
  UpstreamTableSettings Upstreams;
};

struct GatewayParts {
  Platform &Api;
  const ForwardSource &Source;
  const CallCodec &Codec;
  CacheFeed &Feed;
  UpstreamOrders &Orders;
};

class ForwardGateway {
public:
  ForwardGateway(EventLoop &Loop, GatewaySettings Settings, GatewayParts Parts);
  ~ForwardGateway();
  ForwardGateway(const ForwardGateway &) = delete;
  ForwardGateway &operator=(const ForwardGateway &) = delete;

  void start();

  /// Takes over the settings that may change while the process runs: seeds,
  /// capacity, limits of connections and retries, grace, time for weights.
  void reload(const GatewaySettings &Next);
  /// Begins a graceful stop.
  void drain();
  sigc::signal<void()> Stopped;

  /// Whether callers should come here.
  bool isReady() const;
  /// Addresses for a caller in \p Zone.
  std::vector<SocketAddress> addressesFor(std::string_view Zone);
  const UpstreamTable &upstreams() const { return this->Upstreams; }
  Metrics &stats() { return this->Stats; }

private:
  void applySettings();
  void shareRetries();
  CallerLimits callerLimits() const;
  void onConfig(const PlatformObject &Object);
  void onUpstream(const PlatformObject &Object);
  void noteEnded(const RegisteredUpstream &Ended);
  void onWeights(const PlatformObject &Object);
  using EntryFilter = std::function<bool(const EntryRecord &Entry)>;
  static bool acceptsAny(const EntryRecord &) { return true; }

  std::vector<std::string_view>
  aliveIds(const EntryFilter &Counts = acceptsAny) const;
  bool isAmong(std::string_view Task, std::size_t Count,
               std::span<const std::string_view> Others) const;
  bool isNear(const EntryRecord &Other) const;
  void syncWeightHistory(const std::string &Model, std::uint64_t Version);
  void onCall(std::shared_ptr<IncomingCall> Call);
  void gossip();
  void tellStatus();
  void flushSoon();
  StatusEvents statusEvents();
  void tellZone(const GossipMessage &Message);
  void divideWatches();
  std::array<ObjectWatcher *, 3> watchers();
  bool seesPlatform() const;
  void onMessage(GossipMessage Message);
  void noteWithheld(std::span<const std::string> Ids);
  void updateOrders();
  std::uint64_t leastUsefulWeights() const;
  void sweepStores();
  void noteZones();
  bool needsOrders(std::string_view Service) const;
  bool isPreferredFor(std::string_view Service);
  bool isAmongHolders(std::string_view Service, std::size_t Count);
  void checkStop();
  UpstreamTable::Room roomOf(const UpstreamEntry &Entry) const;
  std::size_t entryCount() const;

  EventLoop &Loop;
  GatewaySettings Settings;
  GatewayParts Parts;
  std::mt19937_64 Random{std::random_device{}()};
  Metrics Stats;
  UpstreamPool Pool;
  UpstreamTable Upstreams;
  ForwardServices Services;
  StoreFollower Stores;
  ObjectWatcher Configs;
  ObjectWatcher Registry;
  ObjectWatcher WeightNotices;
  EntryGossip Entries;
  StatusExchange Statuses;
  CrashExchange Crashes;
  std::size_t EntryCount = 1; ///< Alive, this one included; as of gossip().
  std::unique_ptr<OrderController> Orders;
  std::unique_ptr<CallListener> Listener;
  std::unique_ptr<EntryChannel> Channel;
  TimePoint LeastWeightsSince;
  std::optional<TimePoint> StopAskedAt;
  std::vector<sigc::connection> Timers;
  sigc::connection StatusTimer;
  sigc::connection FlushTimer;
  // Callbacks that outlive the gateway find this expired.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_FORWARDGATEWAY_H
