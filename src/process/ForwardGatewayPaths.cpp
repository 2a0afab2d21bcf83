// The part of ForwardGateway that opens connections to upstreams for other
// gateways, and has them open some for its own calls.

#include "process/ForwardGateway.h"

#include <algorithm>

namespace galenaroute {

/// A call over another gateway uses two descriptors there.
static constexpr std::size_t DescriptorsPerRelay = 28;
static constexpr std::size_t MinRelayedConnections = 2;

/// Lets calls use the connections of other gateways.
void ForwardGateway::connectPaths() {
  this->Services.PathTo = [this](const UpstreamEntry &To, Duration MaxIdle,
                                 bool MayTry) {
    return this->Paths.pathTo(To, MaxIdle, MayTry);
  };
  this->Services.IsPathCut = [this](const std::string &Service) {
    return this->Paths.isCut(Service);
  };
  this->Services.OnPath = [this](const std::string &Service,
                                 std::string_view Upstream, PathEvent Event) {
    this->Paths.note(Service, Upstream, Event);
  };
  this->Services.OnHelperFailed = [this](const SocketAddress &Helper) {
    this->Paths.noteHelperFailed(Helper);
  };
}

void ForwardGateway::startRelays() {
  this->Relays = std::make_unique<RelayListener>(
      this->Loop, this->Settings.Gossip,
      RelayListenerParts{
          .MayUse =
              [this](std::string_view Host) { return this->isGateway(Host); },
          .AddressOf =
              [this](const RelayRequest &Request) {
                return this->relayTarget(Request);
              }});
  this->updateRelayLimits();
}

void ForwardGateway::updateRelayLimits() {
  if (this->Relays)
    this->Relays->setLimits(
        {.MaxConnections =
             std::max(MinRelayedConnections,
                      reserveDescriptors(this->Settings.MaxDescriptors) /
                          DescriptorsPerRelay)});
}

/// Returns whether a gateway that is known has this IP address.
bool ForwardGateway::isGateway(std::string_view Host) const {
  const auto &Seeds = this->Settings.GossipSeeds;
  return this->Entries.isKnownHost(Host) ||
         std::any_of(Seeds.begin(), Seeds.end(),
                     [Host](const auto &Each) { return Each.Host == Host; });
}

/// Returns whether a backoff that \p Entry has asked for is told to the other
/// gateways. It addresses the VM that the upstream sees, which is that of the
/// helper of a relayed connection.
bool ForwardGateway::sharesPauseOf(const UpstreamEntry &Entry,
                                   TimePoint Now) const {
  return Entry.PausedUntil > Now &&
         (this->Relays->connections() > 0 ||
          this->Paths.isCut(Entry.Registered.Service));
}

/// Returns the address of an upstream that this gateway may connect to for
/// another one.
std::optional<SocketAddress>
ForwardGateway::relayTarget(const RelayRequest &Request) const {
  const UpstreamEntry *To = this->Upstreams.find(Request.Upstream);
  if (!To || To->Incarnation != Request.Incarnation || To->isLeaving() ||
      To->PausedUntil > EventLoop::now() || this->Upstreams.isEvacuated(*To) ||
      !this->Services.Config || this->Paths.isCut(To->Registered.Service))
    return std::nullopt;
  const auto Service =
      this->Services.Config->Services.find(To->Registered.Service);
  if (Service == this->Services.Config->Services.end() ||
      this->Relays->connectionsTo(To->Registered.Address) >=
          connectionShare(
              static_cast<std::size_t>(Service->second.MaxConnections),
              this->KnownCount))
    return std::nullopt;
  return To->Registered.Address;
}

} // namespace galenaroute
