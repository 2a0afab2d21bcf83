#include "process/DaemonProcess.h"

#include "process/PeerDigests.h"
#include "process/Rendezvous.h"
#include "process/Sha256.h"

namespace galenaroute {

/// Shorter than the margin of a lease, so that no order is under way when the
/// lease ends.
static constexpr auto OrderTimeout = std::chrono::milliseconds(1000);

WatchedConfig::WatchedConfig(Platform &Api, TimerService &Timers)
    : Watcher(Api, Timers, {}) {
  this->Watcher.Changed.connect(
      [this](const ConfigurationPtr &Next) { this->Changed.emit(Next); });
}

DaemonProcess::DaemonProcess(EventLoop &Loop, const DaemonSettings &Settings)
    : PlatformHttp(Loop), Api(PlatformHttp, Settings.Platform),
      Events(
          std::make_shared<Timeline>(Settings.NodeId, Settings.TimelineEvents)),
      Config(std::make_shared<WatchedConfig>(Api, Loop.timers())),
      Peers(Loop, *Events, Api, peerSettings(Settings)),
      Node(DaemonBuilder(Loop, Settings)
               .config(Config)
               .timeline(Events)
               .claims(Peers.claims())
               .entries([this] { return this->Peers.entries(); })
               .settled([this] { return this->Peers.isSettled(); })
               .build()),
      UpstreamCalls(PlatformHttp, OrderTimeout),
      Orders(OrderControllerBuilder(Loop, Api, UpstreamCalls)
                 .self(Settings.NodeId + "#" + randomId())
                 .preferred([this](std::string_view Service) {
                   return this->isPreferredFor(Service);
                 })
                 .events(*Events)
                 .build()) {
  this->Peers.attach(*this->Node);
  connectDigests(this->Node->dispatcher(), this->Peers.network());
  this->Peers.network().VmsRead.connect(
      sigc::mem_fun(*this, &DaemonProcess::onVms));
  this->Config->Changed.connect([this](const ConfigurationPtr &Next) {
    this->Orders->setConfiguration(Next);
  });
  this->Node->Withdrawn.connect([this] { this->Orders->resign(); });
  this->Node->Stopped.connect([this] { this->Stopped.emit(); });
}

DaemonProcess::~DaemonProcess() = default;

void DaemonProcess::start() {
  this->Node->start();
  this->Peers.start();
  this->Config->watcher().start();
}

bool DaemonProcess::isPreferredFor(std::string_view Service) const {
  const PeerNetwork &Network = this->Peers.network();
  const std::string &Self = Network.self().Id;
  const std::uint64_t Own = rendezvousWeight(Service, Self);
  for (const MemberInfo &Each : liveMembers(Network.members()))
    if (Each.Id != Self && rendezvousWeight(Service, Each.Id) > Own)
      return false;
  return true;
}

void DaemonProcess::onVms(const std::vector<VmRecord> &Vms) {
  std::set<std::string> Leaving;
  for (const VmRecord &Each : Vms)
    if (Each.Leaving && Each.Role == "upstream")
      Leaving.insert(Each.Address.toString());
  this->Node->dispatcher().setLeaving(std::move(Leaving));
}

} // namespace galenaroute
