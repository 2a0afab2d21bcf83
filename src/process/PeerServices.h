// What a daemon does together with the others: links, membership, the entries
// for callers and the claims of calls that must not repeat.
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

/// Returns the settings of the links of a daemon. Throws Error(BadRequest)
/// when the node id cannot be part of a claim's holder.
PeerSettings peerSettings(const DaemonSettings &Settings);

class PeerServices {
public:
  PeerServices(EventLoop &Loop, Timeline &Events, Platform &Api,
               PeerSettings Settings);
  ~PeerServices();
  PeerServices(const PeerServices &) = delete;
  PeerServices &operator=(const PeerServices &) = delete;

  /// Follows the state of \p Node, which must outlive the loop's last turn:
  /// the others learn when it leaves and how many requests it has, and it
  /// leaves when the VM list says so.
  void attach(Daemon &Node);

  /// Starts to listen for other daemons and to look for them.
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
