// What ForwardGateway tells the upstream table of the fleet, among which the
// room of brittle upstreams is divided. See docs/design/brittle-upstreams.md.

#include "process/ForwardGateway.h"
#include "process/Rendezvous.h"

#include <algorithm>

namespace galenaroute {

/// Gateways that are not heard keep their share, since they may only be
/// partitioned from this one. A process that has just started knows none yet
/// and assumes those of its settings.
void ForwardGateway::updateFleet() {
  std::vector<std::uint64_t> Others;
  this->Entries.forEachKnown(
      [&](const EntryRecord &Each) { Others.push_back(stableHash(Each.Id)); });
  const bool MayBeFirstRound =
      this->GatewayCount == 1 && this->mayPlatformLackObjects();
  const std::size_t Seeds = this->Settings.GossipSeeds.size();
  this->Upstreams.setFleet(
      std::max(this->KnownCount, MayBeFirstRound ? Seeds + 1 : 1),
      std::move(Others));
}

} // namespace galenaroute
