// The interface that decodes the platform's objects into configurations,
// registered upstreams, weight announcements and evacuated zones.
//
//   if (const auto Config = Source.readConfig(Object)) ...

#ifndef GALENAROUTE_VERSION_FORWARDSOURCE_H
#define GALENAROUTE_VERSION_FORWARDSOURCE_H

#include "connection/PlatformClient.h"
#include "request/UpstreamTable.h"
#include "version/ForwardConfig.h"

namespace galenaroute {

/// An announcement that new weights of a model are to be loaded.
struct WeightsAnnouncement {
  std::string Model;
  std::uint64_t Version = 0;
};

/// Decodes objects. Each read function returns nothing for an object that is
/// malformed, which it logs, or that does not concern the gateways.
class ForwardSource {
public:
  virtual ~ForwardSource() = default;
  virtual std::string configKind() const = 0;
  virtual std::string upstreamKind() const = 0;
  virtual std::string weightsKind() const = 0;
  virtual std::string evacuationKind() const = 0;
  virtual std::optional<ForwardConfig>
  readConfig(const PlatformObject &Object) const = 0;
  virtual std::optional<RegisteredUpstream>
  readUpstream(const PlatformObject &Object) const = 0;
  virtual std::optional<WeightsAnnouncement>
  readWeights(const PlatformObject &Object) const = 0;
  /// Returns the zone that is evacuated while the object exists.
  virtual std::string readEvacuation(const PlatformObject &Object) const = 0;
};

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_FORWARDSOURCE_H
