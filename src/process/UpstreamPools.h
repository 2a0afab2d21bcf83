// The pools of all services, kept in step with the configuration, the VM list,
// the load reports and the peers.

#ifndef GALENAROUTE_PROCESS_UPSTREAMPOOLS_H
#define GALENAROUTE_PROCESS_UPSTREAMPOOLS_H

#include "connection/HttpClient.h"
#include "process/ServicePool.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>

namespace galenaroute {

/// Parses an answer to `GET /v1/load` that was received at \p Now; nothing
/// when it is malformed.
std::optional<LoadReport> parseLoadReport(std::string_view Body, TimePoint Now);

class UpstreamPools {
public:
  UpstreamPools(EventLoop &Loop, HttpClient &Http, PoolOptions Options);
  ~UpstreamPools();
  UpstreamPools(const UpstreamPools &) = delete;
  UpstreamPools &operator=(const UpstreamPools &) = delete;

  void setConfiguration(ConfigurationPtr Next);

  /// Takes over which VMs are leaving, as addresses.
  void setLeaving(std::set<std::string> Addresses);

  void setEntries(std::size_t Count);

  /// Returns the pool of \p Service. A service that was removed from the
  /// configuration keeps its pool for the requests that began before.
  ServicePool &of(const std::string &Service);

  /// Returns the digest of this entry's work for its peers.
  nlohmann::json digest() const;

  /// Takes over the digest of \p Peer; throws json::exception when malformed.
  void noteDigest(const std::string &Peer, const nlohmann::json &Digest);

  std::size_t queued() const;

  /// Returns whether any request is queued or running.
  bool hasWork() const;

private:
  void update();
  void poll();
  void pollOne(const std::string &Service, const UpstreamConfig &Upstream);

  EventLoop &Loop;
  HttpClient &Http;
  PoolOptions Options;
  ConfigurationPtr Current;
  std::set<std::string> Leaving;
  std::size_t Entries = 1;
  std::map<std::string, std::unique_ptr<ServicePool>> Pools;
  /// Polls that are open, by service and upstream.
  std::map<std::pair<std::string, std::string>, std::unique_ptr<HttpExchange>>
      Polls;
  std::size_t PollCursor = 0;
  sigc::connection PollTimer;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_UPSTREAMPOOLS_H
