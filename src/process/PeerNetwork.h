// The network of daemons: links to peers, and membership.
//
//   PeerNetwork Peers(Loop, Events, Api, Settings);
//   Peers.handle("claim", [](const std::string &From, const json &Body) {...});
//   Peers.start();
//   Peers.send("10.0.0.2:7000", {"claim", Body});
//
// Links to a fixed number of neighbours stay open whatever the size of the
// fleet. A link to any other daemon is opened by the first message to it and
// closed when idle. The membership protocol is implemented in
// process/Membership.h.
//
// Guarantees: messages on one link keep their order. A message may be lost when
// its link fails, and is never delivered twice. A malformed message or a
// throwing handler closes only its link. Messages of unknown types are ignored.

#ifndef GALENAROUTE_PROCESS_PEERNETWORK_H
#define GALENAROUTE_PROCESS_PEERNETWORK_H

#include "connection/PeerLink.h"
#include "process/Membership.h"

#include <deque>

struct evconnlistener;

namespace galenaroute {

struct PeerSettings {
  /// Peers of other deployments are rejected.
  std::string Deployment;
  /// Id defaults to the peer address, Incarnation to the wall-clock time. A
  /// zero port of the peer address is replaced by the bound port.
  MemberInfo Self;
  SocketAddress Listen;
  std::vector<SocketAddress> Seeds;
  PeerLinkLimits Link;
  MembershipSettings Membership;
  Duration TickPeriod = std::chrono::milliseconds(200);
  Duration IdleLimit = std::chrono::seconds(30);
  /// This many daemons of each zone read the VM list often and send the leaving
  /// VMs to the others, which read the list rarely in case the readers are
  /// unreachable. With ten zones and 960 daemons, two per zone make 42 reads a
  /// second in all.
  std::size_t VmReadersPerZone = 2;
  Duration VmReaderPeriod = std::chrono::seconds(2);
  Duration VmFallbackPeriod = std::chrono::seconds(30);
  std::size_t MaxLinks = 1024;
  /// Messages queued while a link is being opened.
  std::size_t MaxWaiting = 256;
};

class PeerNetwork {
public:
  using Handler =
      std::function<void(const std::string &From, const nlohmann::json &Body)>;

  PeerNetwork(EventLoop &Loop, Timeline &Events, Platform &Api,
              PeerSettings Settings);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork &) = delete;
  PeerNetwork &operator=(const PeerNetwork &) = delete;

  /// Binds the socket, unless tryListen() has done so, and starts to connect to
  /// other daemons. Throws Error if the address cannot be bound.
  void start();
  /// Binds the socket; links are accepted from start() on. Returns zero or an
  /// errno.
  int tryListen();

  /// Calls \p Handle for each message of \p Type.
  void handle(const std::string &Type, Handler Handle);

  /// Sends to the daemon \p To, opening a link if needed. Returns false if the
  /// message was definitely not sent; true does not guarantee delivery.
  bool send(const std::string &To, const PeerMessage &Message);

  /// Sends to all neighbours with an open link.
  void sendToNeighbours(const PeerMessage &Message);

  /// Announces to all daemons that this one is leaving.
  void leave();

  /// Sets the number of requests in progress that heartbeats report.
  void setLoad(std::uint32_t Load) { this->SelfLoad = Load; }
  std::uint32_t load() const { return this->SelfLoad; }

  const Membership &members() const { return this->State; }
  const MemberInfo &self() const { return this->State.Self; }
  std::size_t openLinks() const;

  /// Emitted after a member was added or changed.
  sigc::signal<void()> MembersChanged;
  /// Emitted with the id of a daemon when a link to it has opened.
  sigc::signal<void(const std::string &)> LinkUp;
  /// Emitted when this daemon has read the VM list, or another one has sent its
  /// leaving VMs; in the second case with these only.
  sigc::signal<void(const std::vector<VmRecord> &)> VmsRead;

private:
  struct Link {
    std::unique_ptr<PeerLink> Connection;
    std::string PeerId;     ///< Empty before the peer's hello.
    std::string ExpectedId; ///< Expected peer of an outbound link, if known.
    SocketAddress To;
    bool Outbound = false;
    bool Released = false; ///< Being closed as idle; no longer used.
    TimePoint LastUse;
    std::deque<PeerMessage> Queue;
  };
  using LinkId = std::uint64_t;

  void accept(int Socket);
  Link &add(std::unique_ptr<PeerLink> Connection);
  Link *connect(const std::string &ExpectedId, const SocketAddress &To);
  Link *openLinkTo(const std::string &Id);
  void onMessage(LinkId Id, const PeerMessage &Message);
  void onHello(Link &Over, const nlohmann::json &Body);
  void onClosed(LinkId Id, const std::string &Reason);
  void applyEvent(const MembershipEvent &Event);
  void tick();
  bool isVmReader() const;
  void readVms();
  void onVms(const std::vector<VmRecord> &Vms);
  void onDrain(const nlohmann::json &Body);
  void sendLeaving();

  EventLoop &Loop;
  Timeline &Events;
  Platform &Api;
  PeerSettings Settings;
  Membership State;
  std::uint32_t SelfLoad = 0;
  evconnlistener *Listener = nullptr;
  std::map<std::string, Handler> Handlers;
  TimePoint NextVmRead;
  std::vector<VmRecord> LeavingVms; ///< From the last read by any daemon.
  HybridTime LeavingTime; ///< Time of that read; zero if there was none.
  std::map<LinkId, Link> Links;
  LinkId NextLink = 0;
  std::vector<std::unique_ptr<PeerLink>> Finished;
  sigc::connection TickTimer;
  // Checked by platform callbacks, which may outlive this object.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_PEERNETWORK_H
