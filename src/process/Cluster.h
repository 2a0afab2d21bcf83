// The parts of a daemon that follow the platform and the other daemons: the
// configuration, membership, claims, orders to upstreams and the exchange of
// load.
//
//   Cluster Fleet(Loop, Http, Events, Pools, Settings);
//   Fleet.start();
//   ... Fleet.config(), Fleet.claims(), Fleet.entries() ...
//   Fleet.leave();

#ifndef GALENAROUTE_PROCESS_CLUSTER_H
#define GALENAROUTE_PROCESS_CLUSTER_H

#include "process/DaemonSettings.h"
#include "process/Entries.h"
#include "process/PeerNetwork.h"
#include "process/UpstreamPools.h"
#include "request/ClaimService.h"
#include "version/ConfigSource.h"
#include "version/ConfigWatcher.h"
#include "version/OrderController.h"

#include <memory>

namespace galenaroute {

/// The configuration that a watcher of the platform holds.
class WatchedConfig : public ConfigSource {
public:
  WatchedConfig(Platform &Api, TimerService &Timers);
  ConfigurationPtr current() const override { return this->Watcher.current(); }
  ConfigWatcher &watcher() { return this->Watcher; }

private:
  ConfigWatcher Watcher;
};

class Cluster {
public:
  Cluster(EventLoop &Loop, HttpClient &Http, Timeline &Events,
          UpstreamPools &Pools, const DaemonSettings &Settings);
  ~Cluster();
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;

  /// Binds the peer address and begins to follow the platform.
  void start();

  /// Tells the other daemons that this one is leaving, and gives up what it
  /// holds for all. Claims go on until they are settled.
  void leave();

  ConfigSource &config() { return this->Config; }
  ClaimGate &claims() { return this->Claims; }
  EntriesAnswer entries();

  /// Returns whether nothing is left that only this process can finish.
  bool isSettled() const { return this->Claims.isSettled(); }

  /// Sets the number of open requests that peers are told.
  void setLoad(std::size_t Requests);

  /// Adds what is known of the peers and the platform to a status.
  void addStatus(nlohmann::json &Status) const;

private:
  ClaimPorts claimPorts();
  PeerSettings peerSettings() const;
  bool isPreferredFor(std::string_view Service) const;
  std::vector<std::string> liveIds() const;
  void sendDigest();

  EventLoop &Loop;
  UpstreamPools &Pools;
  const DaemonSettings &Settings;
  HttpPlatform Api;
  WatchedConfig Config;
  PeerNetwork Peers;
  ClaimService Claims;
  HttpUpstreamOrders UpstreamCalls;
  std::unique_ptr<OrderController> Orders;
  std::mt19937_64 Random{std::random_device{}()};
  TimePoint LastDigest{};
  sigc::connection ClaimTimer;
  sigc::connection DigestTimer;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_CLUSTER_H
