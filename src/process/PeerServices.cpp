#include "process/PeerServices.h"

#include "process/ErrorKind.h"
#include "process/Sha256.h"

#include <algorithm>

namespace galenaroute {

static ClaimTime claimTime() {
  using namespace std::chrono;
  return {EventLoop::now(),
          duration_cast<Milliseconds>(system_clock::now().time_since_epoch())
              .count()};
}

PeerSettings peerSettings(const DaemonSettings &Settings) {
  constexpr std::size_t MaxIdBytes = 128;
  const std::string &Id = Settings.NodeId;
  if (Id.empty() || Id.size() > MaxIdBytes ||
      std::any_of(Id.begin(), Id.end(),
                  [](char C) { return C <= ' ' || C > '~' || C == '|'; }))
    throw Error(ErrorKind::BadRequest,
                "node-id: value '" + Id +
                    "' is not 1 to 128 printable characters without spaces "
                    "and '|'");
  PeerSettings Result;
  Result.Self.Id = Id;
  Result.Self.Zone = Settings.Zone;
  Result.Self.PeerAddress = Settings.PeerAdvertise;
  Result.Self.CallerAddress = Settings.Advertise;
  Result.Listen = Settings.PeerListen;
  Result.Seeds = Settings.Seeds;
  return Result;
}

PeerServices::PeerServices(EventLoop &Loop, Timeline &Events, Platform &Api,
                           PeerSettings Settings)
    : Loop(Loop), Network(Loop, Events, Api, std::move(Settings)),
      Claims(std::make_shared<ClaimService>(
          Api, this->claimPorts(), ClaimServiceSettings(), randomId())) {
  for (const std::string &Type : ClaimService::messageTypes())
    this->Network.handle(Type, [this, Type](const std::string &From,
                                            const nlohmann::json &Body) {
      this->Claims->onMessage(Type, From, Body);
    });
}

PeerServices::~PeerServices() {
  this->ClaimTimer.disconnect();
  this->LoadTimer.disconnect();
  this->LeavingChange.disconnect();
}

ClaimPorts PeerServices::claimPorts() {
  ClaimPorts Ports;
  Ports.SelfId = [this] { return this->Network.self().Id; };
  Ports.Send = [this](const std::string &To, const PeerMessage &Message) {
    return this->Network.send(To, Message);
  };
  Ports.LiveIds = [this] {
    std::vector<std::string> Result;
    for (MemberInfo &Each : liveMembers(this->Network.members()))
      Result.push_back(std::move(Each.Id));
    return Result;
  };
  Ports.IsGone = [this](const std::string &Id) {
    const auto &Known = this->Network.members().Members;
    const auto It = Known.find(Id);
    return It == Known.end() || It->second.Info.State == MemberState::Dead;
  };
  Ports.Time = claimTime;
  Ports.WakeAfter = [this](Duration Delay) {
    this->ClaimTimer.disconnect();
    this->ClaimTimer =
        this->Loop.timers().after(Delay, [this] { this->Claims->run(); });
  };
  return Ports;
}

void PeerServices::attach(Daemon &Node) {
  Node.Withdrawn.connect([this] { this->Network.leave(); });
  this->LoadTimer =
      this->Loop.timers().every(std::chrono::milliseconds(500), [this, &Node] {
        this->Network.setLoad(static_cast<std::uint32_t>(Node.openRequests()));
      });
  this->LeavingChange = this->Network.MembersChanged.connect([this, &Node] {
    if (isSelfListedLeaving(this->Network.members()))
      Node.drain();
  });
}

void PeerServices::start() { this->Network.start(); }

std::vector<EntryAddress> PeerServices::entries() {
  std::vector<EntryAddress> Result;
  for (const Entry &Each : chooseEntries(
           this->Network.members(), this->Network.load(), {}, this->Random))
    Result.push_back({Each.Address.toString(), Each.Zone});
  return Result;
}

} // namespace galenaroute
