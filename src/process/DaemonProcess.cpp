#include "process/DaemonProcess.h"

#include "process/PeerDigests.h"
#include "process/Rendezvous.h"
#include "process/Sha256.h"

namespace galenaroute {

/// Shorter than the safety margin of a lease, so that no order is in flight
/// when the lease expires.
static constexpr auto OrderTimeout = std::chrono::milliseconds(1000);

DaemonProcess::DaemonProcess(EventLoop &Loop, const DaemonSettings &Settings)
    : Loop(Loop), Callers(Settings.Listen), PeerAddress(Settings.PeerListen),
      PlatformHttp(Loop), Api(PlatformHttp, Settings.Platform),
      Events(
          std::make_shared<Timeline>(Settings.NodeId, Settings.TimelineEvents)),
      Config(std::make_shared<ConfigWatcher>(Api, Loop.timers(),
                                             ConfigWatcherOptions{})),
      Peers(Loop, *Events, Api, peerSettings(Settings)),
      ConfigsOfPeers(Loop, Peers.network(), *Config),
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
  this->PeerBinding.emplace(this->Loop, this->PeerAddress,
                            [this] { return this->listenForPeers(); });
}

int DaemonProcess::listenForPeers() {
  if (const int Failure = this->Peers.network().tryListen())
    return Failure;
  this->CallerBinding.emplace(this->Loop, this->Callers,
                              [this] { return this->listenForCallers(); });
  return 0;
}

/// Joins the other daemons, which name this one to callers, once it accepts
/// calls.
int DaemonProcess::listenForCallers() {
  if (const int Failure = this->Node->tryStart())
    return Failure;
  this->Peers.start();
  this->ConfigsOfPeers.start();
  return 0;
}

void DaemonProcess::drain() {
  // A process that is about to end must not take the addresses from its
  // successor.
  for (std::optional<BindRetry> *Each :
       {&this->PeerBinding, &this->CallerBinding})
    if (*Each)
      (*Each)->cancel();
  this->Node->drain();
}

bool DaemonProcess::isPreferredFor(std::string_view Service) const {
  const PeerNetwork &Network = this->Peers.network();
  return isAmongFirst(
      Service, Network.self().Id, 1, liveMembers(Network.members()),
      [](const MemberInfo &Each) -> std::string_view { return Each.Id; });
}

void DaemonProcess::onVms(const std::vector<VmRecord> &Vms) {
  std::set<std::string> Leaving;
  for (const VmRecord &Each : Vms)
    if (Each.Leaving && Each.Role == "upstream")
      Leaving.insert(Each.Address.toString());
  this->Node->dispatcher().setLeaving(std::move(Leaving));
}

} // namespace galenaroute
