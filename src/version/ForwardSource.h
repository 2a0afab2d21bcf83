// The interface through which configurations, registered upstreams and named
// weights are read from the platform's objects.

#ifndef GALENAROUTE_VERSION_FORWARDSOURCE_H
#define GALENAROUTE_VERSION_FORWARDSOURCE_H

#include "connection/PlatformClient.h"
#include "request/UpstreamTable.h"
#include "version/ForwardConfig.h"

namespace galenaroute {

/// New weights of a model.
struct WeightsNotice {
  std::string Model;
  std::uint64_t Version = 0;
};

/// Decodes objects. Each function returns nothing, after a log line, for an
/// object that cannot be read or is of no concern.
class ForwardSource {
public:
  virtual ~ForwardSource() = default;
  virtual std::string configKind() const = 0;
  virtual std::string upstreamKind() const = 0;
  virtual std::string weightsKind() const = 0;
  virtual std::optional<ForwardConfig>
  readConfig(const PlatformObject &Object) const = 0;
  virtual std::optional<RegisteredUpstream>
  readUpstream(const PlatformObject &Object) const = 0;
  virtual std::optional<WeightsNotice>
  readWeights(const PlatformObject &Object) const = 0;
};

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_FORWARDSOURCE_H
