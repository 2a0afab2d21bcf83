// The services of a daemon that involve its peers: links and membership, the
// entry list for callers, and claims on calls that must not run twice.
//
//   PeerServices Peers(Loop, Events, Api, peerSettings(Settings));
//   auto Node = DaemonBuilder(Loop, Settings).claims(Peers.claims())...;
//   Peers.attach(*Node);
//   Peers.start();

#ifndef GALENAROUTE_PROCESS_PEERSERVICES_H
#define GALENAROUTE_PROCESS_PEERSERVICES_H

#include "process/Daemon.h"
#include "process/Entries.h"
#include "process/PeerNetwork.h"
#include "request/ClaimService.h"

namespace galenaroute {

/// Returns the peer settings of a daemon. Throws Error(BadRequest) if the node
/// id cannot be part of a claim's holder.
PeerSettings peerSettings(const DaemonSettings &Settings);

class PeerServices {
public:
  PeerServices(EventLoop &Loop, Timeline &Events, Platform &Api,
               PeerSettings Settings);
  ~PeerServices();
  PeerServices(const PeerServices &) = delete;
  PeerServices &operator=(const PeerServices &) = delete;

  /// Tracks \p Node, which must outlive the last iteration of the loop:
  /// publishes its load and that it leaves, and drains it when the VM list
  /// marks it as leaving.
  void attach(Daemon &Node);

  /// Starts to listen for peers and to connect to them.
  void start();

  std::vector<EntryAddress> entries();
  std::shared_ptr<ClaimGate> claims() { return this->Claims; }
  bool isSettled() const { return this->Claims->isSettled(); }
  PeerNetwork &network() { return this->Network; }
  const PeerNetwork &network() const { return this->Network; }

private:
  ClaimPorts claimPorts();

  EventLoop &Loop;
  PeerNetwork Network;
  std::shared_ptr<ClaimService> Claims;
  std::mt19937_64 Random{std::random_device{}()};
  sigc::connection ClaimTimer;
  sigc::connection LoadTimer;
  sigc::connection LeavingChange;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_PEERSERVICES_H
