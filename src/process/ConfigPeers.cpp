#include "process/ConfigPeers.h"

namespace galenaroute {

ConfigPeers::ConfigPeers(EventLoop &Loop, PeerNetwork &Network,
                         ConfigWatcher &Watcher)
    : Loop(Loop), Network(Network), Watcher(Watcher) {
  for (const char *Type : {"config-offer", "config-fetch", "config-data"})
    Network.handle(Type, [this, Type](const std::string &From,
                                      const nlohmann::json &Body) {
      if (this->Exchange)
        this->Exchange->receive(From, Type, Body, EventLoop::now());
    });
}

ConfigPeers::~ConfigPeers() {
  this->LinkUp.disconnect();
  this->MembersChanged.disconnect();
  this->TickTimer.disconnect();
}

void ConfigPeers::start() {
  this->Exchange = std::make_unique<ConfigExchange>(
      this->Watcher,
      [this](const std::string &To, const char *Type,
             const nlohmann::json &Body) {
        if (To.empty())
          this->Network.sendToNeighbours({Type, Body});
        else
          this->Network.send(To, {Type, Body});
      },
      ConfigRelaySettings{}, this->Network.self().Id, EventLoop::now(),
      std::random_device{}());
  this->LinkUp = this->Network.LinkUp.connect([this](const std::string &Id) {
    this->Exchange->peerUp(Id, EventLoop::now());
  });
  this->MembersChanged =
      this->Network.MembersChanged.connect([this] { this->updateMembers(); });
  this->TickTimer =
      this->Loop.timers().every(std::chrono::milliseconds(200), [this] {
        this->Exchange->tick(EventLoop::now());
      });
  this->updateMembers();
}

void ConfigPeers::updateMembers() {
  std::set<std::string> Ids = {this->Network.self().Id};
  for (const MemberInfo &Each : liveMembers(this->Network.members()))
    if (Each.Zone == this->Network.self().Zone)
      Ids.insert(Each.Id);
  this->Exchange->setZoneMembers(std::move(Ids), EventLoop::now());
}

} // namespace galenaroute
