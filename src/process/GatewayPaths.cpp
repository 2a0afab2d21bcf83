#include "process/GatewayPaths.h"

#include "process/Log.h"
#include "process/Rendezvous.h"

#include <algorithm>
#include <set>

namespace galenaroute {

static constexpr Duration HelperBackoff = std::chrono::seconds(1);

void GatewayPaths::note(const std::string &Service, std::string_view Upstream,
                        PathEvent Event) {
  PathEvidence &Evidence = this->Services[Service];
  noteEvent(Evidence, Event, Upstream, EventLoop::now());
  if (Event != PathEvent::Heard)
    this->updateCut(Service, Evidence);
}

void GatewayPaths::noteHelperFailed(const SocketAddress &Address) {
  this->FailedHelpers[Address] = EventLoop::now() + HelperBackoff;
  this->Parts.Stats.decision("path.helper_failed");
}

void GatewayPaths::notePause() {
  for (auto &[Service, Evidence] : this->Services)
    galenaroute::notePause(Evidence);
}

void GatewayPaths::updateCut(const std::string &Service,
                             PathEvidence &Evidence) {
  const auto &Entries = this->Parts.Upstreams.entries();
  const auto Registered = static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &Each) {
        return Each.second.Registered.Service == Service;
      }));
  if (!galenaroute::updateCut(Evidence, Registered, EventLoop::now()))
    return;
  log(LogLevel::Warn, Evidence.IsCut ? "path.cut" : "path.restored",
      {{"service", Service}, {"upstreams", std::to_string(Registered)}});
  this->Parts.Stats.decision(Evidence.IsCut ? "path.cut" : "path.restored");
  // The failures were those of the path.
  if (Evidence.IsCut)
    this->Parts.Upstreams.clearFailures(Service);
  this->Parts.OnChanged(Service);
}

void GatewayPaths::update() {
  const TimePoint Now = EventLoop::now();
  std::erase_if(this->FailedHelpers,
                [Now](const auto &Each) { return Each.second <= Now; });
  std::set<std::uint32_t> Heard;
  this->Parts.Entries.forEachAlive(Now, [&](const EntryRecord &Each) {
    Heard.insert(Each.Heard.begin(), Each.Heard.end());
  });
  // A gateway that leaves waits for the connections that it has relayed.
  this->Parts.Pool.closeIdleRelayed([this, Now](const SocketAddress &Helper) {
    bool IsAlive = false;
    this->Parts.Entries.forEachAlive(Now, [&](const EntryRecord &Each) {
      IsAlive = IsAlive || Each.Gossip == Helper;
    });
    return IsAlive;
  });
  for (auto &[Service, Evidence] : this->Services) {
    if (Heard.contains(useKey(Service)))
      noteOthersHear(Evidence, Now);
    this->updateCut(Service, Evidence);
  }
}

bool GatewayPaths::isCut(std::string_view Service) const {
  const auto Found = this->Services.find(Service);
  return Found != this->Services.end() && Found->second.IsCut;
}

UpstreamPath GatewayPaths::pathTo(const UpstreamEntry &To, Duration MaxIdle,
                                  bool MayTry) {
  const auto Found = this->Services.find(To.Registered.Service);
  if (Found == this->Services.end() || !Found->second.IsCut)
    return {};
  const TimePoint Now = EventLoop::now();
  if (MayTry && takeTrial(Found->second, Now)) {
    this->Parts.Stats.decision("path.trial");
    return {.IsTrial = true};
  }
  if (areOpenConnectionsUsable(Found->second, Now) &&
      this->Parts.Pool.hasIdle(To.Registered.Address, MaxIdle))
    return {};
  UpstreamPath Result{.Helper = this->helperFor(To)};
  this->Parts.Stats.decision(Result.Helper ? "path.relayed" : "path.no_helper");
  return Result;
}

/// Returns the gateway that connects to \p To for this one: one of the own zone
/// if there is any. The hash includes this gateway, since otherwise all cut
/// gateways would use one helper for an upstream.
std::optional<RelayHelper>
GatewayPaths::helperFor(const UpstreamEntry &To) const {
  const std::uint32_t Key = useKey(To.Registered.Service);
  const EntryRecord &Self = this->Parts.Entries.self();
  const std::uint64_t Task = stableHash(To.Registered.Id, stableHash(Self.Id));
  const EntryRecord *Best = nullptr;
  std::pair<bool, std::uint64_t> BestRank;
  this->Parts.Entries.forEachAlive(
      EventLoop::now(), [&](const EntryRecord &Each) {
        if (!Each.IsReady || this->FailedHelpers.contains(Each.Gossip) ||
            std::find(Each.Heard.begin(), Each.Heard.end(), Key) ==
                Each.Heard.end())
          return;
        const std::pair<bool, std::uint64_t> Rank(
            Each.Zone == Self.Zone,
            rendezvousWeight(Task, stableHash(Each.Id)));
        if (Best && Rank <= BestRank)
          return;
        Best = &Each;
        BestRank = Rank;
      });
  if (!Best)
    return std::nullopt;
  return RelayHelper{.Address = Best->Gossip,
                     .SourceHost = Self.Gossip.Host,
                     .Upstream = To.Registered.Id,
                     .Incarnation = To.Incarnation};
}

std::vector<std::uint32_t> GatewayPaths::heardServices() const {
  const TimePoint Now = EventLoop::now();
  std::vector<std::uint32_t> Result;
  for (const auto &[Service, Evidence] : this->Services)
    if (hearsService(Evidence, Now) && Result.size() < MaxHeardServices)
      Result.push_back(useKey(Service));
  return Result;
}

} // namespace galenaroute
