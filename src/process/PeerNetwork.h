// The links of this daemon to the others, and what it knows about them.
//
//   PeerNetwork Peers(Loop, Events, Api, Settings);
//   Peers.handle("claim", [](const std::string &From, const json &Body) {...});
//   Peers.start();
//   Peers.send("10.0.0.2:7000", {"claim", Body});
//
// Links to a fixed number of neighbours stay open however large the fleet is;
// a link to any other daemon is opened on the first message to it and closed
// when idle. The decisions are in process/Membership.h.
//
// Guarantees: messages on one link keep their order; a message may be lost
// when its link breaks, and is never delivered twice; a malformed message, or
// a handler that throws, closes its link only; unknown types are ignored.

#ifndef GALENAROUTE_PROCESS_PEERNETWORK_H
#define GALENAROUTE_PROCESS_PEERNETWORK_H

#include "connection/PeerLink.h"
#include "process/Membership.h"

#include <deque>

struct evconnlistener;

namespace galenaroute {

struct PeerSettings {
  /// Daemons of different deployments refuse each other.
  std::string Deployment;
  /// Id defaults to the peer address, Incarnation to the wall-clock time. A
  /// peer address with port zero takes the port that was bound.
  MemberInfo Self;
  SocketAddress Listen;
  std::vector<SocketAddress> Seeds;
  PeerLinkLimits Link;
  MembershipSettings Membership;
  Duration TickPeriod = std::chrono::milliseconds(200);
  Duration IdleLimit = std::chrono::seconds(30);
  /// Two daemons of each zone read the VM list often and tell the others what
  /// is leaving; the others read it in case those two are cut off. With ten
  /// zones and 960 daemons this makes 42 reads a second.
  std::size_t VmReadersPerZone = 2;
  Duration VmReaderPeriod = std::chrono::seconds(2);
  Duration VmFallbackPeriod = std::chrono::seconds(30);
  std::size_t MaxLinks = 1024;
  /// Messages that wait for a link to be opened.
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

  /// Binds the socket and begins to look for other daemons. Throws Error when
  /// the address cannot be bound.
  void start();

  /// Calls \p Handle for each message of \p Type.
  void handle(const std::string &Type, Handler Handle);

  /// Sends to the daemon \p To, over a new link if needed. Returns false when
  /// the message was certainly not sent; true promises nothing.
  bool send(const std::string &To, const PeerMessage &Message);

  /// Sends to all neighbours with an open link.
  void sendToNeighbours(const PeerMessage &Message);

  /// Tells all daemons that this one is leaving.
  void leave();

  /// Sets the number of requests in progress that heartbeats report.
  void setLoad(std::uint32_t Load) { this->SelfLoad = Load; }
  std::uint32_t load() const { return this->SelfLoad; }

  const Membership &members() const { return this->State; }
  const MemberInfo &self() const { return this->State.Self; }
  std::size_t openLinks() const;

  /// Emitted after a member appeared or changed its state.
  sigc::signal<void()> MembersChanged;
  /// Emitted with the id of a daemon to which a link was opened.
  sigc::signal<void(const std::string &)> LinkUp;
  /// Emitted after each read of the VM list, by this daemon or by one that told
  /// it; in the second case with the leaving VMs only.
  sigc::signal<void(const std::vector<VmRecord> &)> VmsRead;

private:
  struct Link {
    std::unique_ptr<PeerLink> Wire;
    std::string PeerId; ///< Empty until the peer's hello.
    std::string Wanted; ///< The daemon expected at an outbound link, if known.
    SocketAddress To;
    bool Outbound = false;
    bool Released = false; ///< Closing because idle; not used any more.
    TimePoint LastUse;
    std::deque<PeerMessage> Waiting;
  };
  using LinkId = std::uint64_t;

  void accept(int Socket);
  Link &add(std::unique_ptr<PeerLink> Wire);
  Link *connect(const std::string &Wanted, const SocketAddress &To);
  Link *openLinkTo(const std::string &Id);
  void onMessage(LinkId Id, const PeerMessage &Message);
  void onHello(Link &Over, const nlohmann::json &Body);
  void onClosed(LinkId Id, const std::string &Reason);
  void step(const MembershipEvent &Event);
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
  std::vector<VmRecord> LeavingVms; ///< As last read by any daemon.
  HybridTime LeavingTime;           ///< When it was read; zero: never.
  std::map<LinkId, Link> Links;
  LinkId NextLink = 0;
  std::vector<std::unique_ptr<PeerLink>> Finished;
  sigc::connection TickTimer;
  // Callbacks of the platform check it, because they may outlive this object.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_PEERNETWORK_H
