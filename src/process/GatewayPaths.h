// Chooses for each send whether it goes directly to its upstream or over
// another gateway, see docs/design/partitioned-gateways.md.
//
//   GatewayPaths Paths(Parts);
//   Paths.note(Service, Upstream, PathEvent::ConnectFailed);
//   UpstreamPath By = Paths.pathTo(Upstream, MaxIdle, MayTry);
//   Paths.update(); // Several times a second.
//
// Guarantees: without another gateway that hears the service, sends go
// directly. Memory is bounded by the registered services and upstreams and the
// live gateways.

#ifndef GALENAROUTE_PROCESS_GATEWAYPATHS_H
#define GALENAROUTE_PROCESS_GATEWAYPATHS_H

#include "connection/UpstreamPool.h"
#include "process/EntryGossip.h"
#include "process/Metrics.h"
#include "request/UpstreamPaths.h"
#include "request/UpstreamTable.h"

namespace galenaroute {

struct GatewayPathsParts {
  UpstreamPool &Pool;
  UpstreamTable &Upstreams;
  const EntryGossip &Entries;
  Metrics &Stats;
  /// Called when the path of a service has changed.
  std::function<void(const std::string &Service)> OnChanged;
};

class GatewayPaths {
public:
  explicit GatewayPaths(GatewayPathsParts Parts) : Parts(std::move(Parts)) {}

  void note(const std::string &Service, std::string_view Upstream,
            PathEvent Event);
  /// Notes that the helper at \p Address has failed.
  void noteHelperFailed(const SocketAddress &Address);
  void notePause();
  /// Reads what the other gateways hear, and updates the state of all paths.
  void update();

  bool isCut(std::string_view Service) const;
  /// Returns the path for a send. Idle connections older than \p MaxIdle are
  /// not used; with \p MayTry, the send may find out whether a cut has ended.
  UpstreamPath pathTo(const UpstreamEntry &To, Duration MaxIdle, bool MayTry);
  /// Returns the useKey() of the services that this gateway hears directly.
  std::vector<std::uint32_t> heardServices() const;

private:
  void updateCut(const std::string &Service, PathEvidence &Evidence);
  std::optional<RelayHelper> helperFor(const UpstreamEntry &To) const;

  GatewayPathsParts Parts;
  std::map<std::string, PathEvidence, std::less<>> Services;
  /// Until when helpers that have failed are left out.
  std::map<SocketAddress, TimePoint> FailedHelpers;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_GATEWAYPATHS_H
