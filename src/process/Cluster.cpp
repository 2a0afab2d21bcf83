#include "process/Cluster.h"

#include "process/Rendezvous.h"
#include "process/Sha256.h"

#include <algorithm>

namespace galenaroute {

/// Digests of load are useful while they are fresher than load reports.
static constexpr auto DigestPeriod = Milliseconds(250);
/// An entry without work still says so, since limits are divided among the
/// entries that were heard of.
static constexpr auto IdleDigestPeriod = std::chrono::seconds(1);
/// Daemons that exchange digests, at most.
static constexpr std::size_t MaxCell = 8;
/// Shorter than the margin of the order lease.
static constexpr auto OrderCallTimeout = Milliseconds(1000);

static std::int64_t wallMillis() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
      .count();
}

WatchedConfig::WatchedConfig(Platform &Api, TimerService &Timers)
    : Watcher(Api, Timers, {}) {
  this->Watcher.Changed.connect(
      [this](const ConfigurationPtr &Next) { this->Changed.emit(Next); });
}

Cluster::Cluster(EventLoop &Loop, HttpClient &Http, Timeline &Events,
                 UpstreamPools &Pools, const DaemonSettings &Settings)
    : Loop(Loop), Pools(Pools), Settings(Settings),
      Api(Http, Settings.Platform), Config(this->Api, Loop.timers()),
      Peers(Loop, Events, this->Api, this->peerSettings()),
      Claims(this->Api, this->claimPorts(), {}, randomId()),
      UpstreamCalls(Http, OrderCallTimeout) {
  this->Orders = OrderControllerBuilder(Loop, this->Api, this->UpstreamCalls)
                     .self(Settings.NodeId + "#" + randomId())
                     .preferred([this](std::string_view Service) {
                       return this->isPreferredFor(Service);
                     })
                     .events(Events)
                     .build();
  this->Config.Changed.connect([this](const ConfigurationPtr &Next) {
    this->Orders->setConfiguration(Next);
  });
  for (const std::string &Type : ClaimService::messageTypes())
    this->Peers.handle(Type, [this, Type](const std::string &From,
                                          const nlohmann::json &Body) {
      this->Claims.onMessage(Type, From, Body);
    });
  this->Peers.handle(
      "load", [this](const std::string &From, const nlohmann::json &Body) {
        this->Pools.noteDigest(From, Body);
      });
  this->Peers.MembersChanged.connect(
      [this] { this->Pools.setEntries(this->liveIds().size()); });
  this->Peers.VmsRead.connect([this](const std::vector<VmRecord> &Vms) {
    std::set<std::string> Leaving;
    for (const VmRecord &Each : Vms)
      if (Each.Leaving && Each.Role == "upstream")
        Leaving.insert(Each.Address.toString());
    this->Pools.setLeaving(std::move(Leaving));
  });
}

Cluster::~Cluster() {
  this->ClaimTimer.disconnect();
  this->DigestTimer.disconnect();
}

PeerSettings Cluster::peerSettings() const {
  PeerSettings Result;
  Result.Self.Zone = this->Settings.Zone;
  Result.Self.PeerAddress = this->Settings.PeerAdvertise;
  Result.Self.CallerAddress = this->Settings.Advertise;
  Result.Listen = this->Settings.PeerListen;
  for (const SocketAddress &Each : this->Settings.Seeds)
    if (Each != this->Settings.PeerAdvertise)
      Result.Seeds.push_back(Each);
  return Result;
}

ClaimPorts Cluster::claimPorts() {
  return {.SelfId = [this] { return this->Peers.self().Id; },
          .Send =
              [this](const std::string &To, const PeerMessage &Message) {
                return this->Peers.send(To, Message);
              },
          .LiveIds = [this] { return this->liveIds(); },
          .IsGone =
              [this](const std::string &Id) {
                const auto &All = this->Peers.members().Members;
                const auto It = All.find(Id);
                return It != All.end() &&
                       It->second.Info.State == MemberState::Dead;
              },
          .Time =
              [] {
                return ClaimTime{EventLoop::now(), wallMillis()};
              },
          .WakeAfter =
              [this](Duration Delay) {
                this->ClaimTimer.disconnect();
                this->ClaimTimer = this->Loop.timers().after(
                    Delay, [this] { this->Claims.run(); });
              }};
}

std::vector<std::string> Cluster::liveIds() const {
  std::vector<std::string> Result;
  for (const MemberInfo &Each : liveMembers(this->Peers.members()))
    Result.push_back(Each.Id);
  return Result;
}

bool Cluster::isPreferredFor(std::string_view Service) const {
  const std::string &Self = this->Peers.self().Id;
  if (this->Peers.self().Leaving)
    return false;
  const std::uint64_t Own = rendezvousWeight(Service, Self);
  const std::vector<std::string> Ids = this->liveIds();
  return std::all_of(Ids.begin(), Ids.end(), [&](const std::string &Each) {
    return Each == Self || rendezvousWeight(Service, Each) < Own;
  });
}

void Cluster::start() {
  this->Peers.start();
  this->Config.watcher().start();
  this->DigestTimer =
      this->Loop.timers().every(DigestPeriod, [this] { this->sendDigest(); });
}

void Cluster::leave() {
  this->Peers.leave();
  this->Orders->resign();
}

EntriesAnswer Cluster::entries() {
  return chooseEntries(this->Peers.members(), this->Peers.load(),
                       {.Keep = this->Settings.KeepEntries}, this->Random);
}

void Cluster::setLoad(std::size_t Requests) {
  this->Peers.setLoad(static_cast<std::uint32_t>(Requests));
}

void Cluster::sendDigest() {
  std::vector<MemberInfo> Members = liveMembers(this->Peers.members());
  const std::string &Self = this->Peers.self().Id;
  // In a larger fleet only daemons of the own zone share upstreams.
  if (Members.size() > MaxCell)
    std::erase_if(Members, [&](const MemberInfo &Each) {
      return Each.Zone != this->Settings.Zone;
    });
  if (Members.size() > MaxCell)
    Members.resize(MaxCell);
  const TimePoint Now = EventLoop::now();
  if (!this->Pools.hasWork() && Now < this->LastDigest + IdleDigestPeriod)
    return;
  this->LastDigest = Now;
  const nlohmann::json Digest = this->Pools.digest();
  for (const MemberInfo &Each : Members)
    if (Each.Id != Self)
      this->Peers.send(Each.Id, {"load", Digest});
}

void Cluster::addStatus(nlohmann::json &Status) const {
  nlohmann::json List = nlohmann::json::array();
  for (const auto &[Id, Each] : this->Peers.members().Members)
    List.push_back(
        {{"id", Id},
         {"zone", Each.Info.Zone},
         {"state", Each.Info.State == MemberState::Alive     ? "alive"
                   : Each.Info.State == MemberState::Suspect ? "suspect"
                                                             : "dead"},
         {"leaving", Each.Info.Leaving},
         {"linked", Each.Linked}});
  Status["peers"] = std::move(List);
  Status["peer_id"] = this->Peers.self().Id;
  Status["orders_held"] = this->Orders->heldServices();
}

} // namespace galenaroute
