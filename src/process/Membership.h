// Tracks which daemons exist and which of them are alive, and chooses the
// neighbours that this daemon keeps links to. Does no I/O.
//
//   Membership State(Settings, Self);
//   MembershipActions Actions = apply(State, LinkLost{"10.0.0.2:7000"}, Now);
//
// Changes are flooded over the links to neighbours, a bounded number of records
// per message; a new link receives all records. Only a daemon itself raises its
// incarnation, which refutes a wrong suspicion. A daemon is suspected only
// after a new connection to it has failed too, and declared dead when the
// suspicion is not refuted in time.
//
// Guarantees: the number of neighbours does not depend on the number of
// members. For one incarnation, the state of a record only advances from alive
// to dead, so all daemons converge whatever the order of messages. Memory is
// bounded by MaxMembers.

#ifndef GALENAROUTE_PROCESS_MEMBERSHIP_H
#define GALENAROUTE_PROCESS_MEMBERSHIP_H

#include "connection/PlatformClient.h"
#include "process/Clock.h"

#include <map>
#include <set>
#include <variant>

namespace galenaroute {

/// Ordered: of two records with the same incarnation, the later state wins.
enum class MemberState { Alive, Suspect, Dead };

/// The gossiped record of a daemon.
struct MemberInfo {
  std::string Id;
  /// Initially the wall-clock time of the start in microseconds.
  std::uint64_t Incarnation = 0;
  std::string Zone;
  SocketAddress PeerAddress;   ///< For links between daemons.
  SocketAddress CallerAddress; ///< Returned by GET /v1/entries.
  MemberState State = MemberState::Alive;
  /// Set by the daemon itself and never reset within one incarnation.
  bool Leaving = false;
  bool operator==(const MemberInfo &) const = default;
};

/// Greater incarnations are malformed; times in microseconds are below it.
constexpr std::uint64_t MaxIncarnation = std::uint64_t{1} << 53;

/// The local view of another daemon.
struct Member {
  MemberInfo Info;
  TimePoint Since;        ///< Start of Info.State by this daemon's clock.
  std::uint32_t Load = 0; ///< Requests in progress, from its last heartbeat.
  bool Linked = false;
  TimePoint NextConnect; ///< No attempt to connect before this time.
  int FailedConnects = 0;
};

struct MembershipSettings {
  std::size_t ZoneNeighbours = 4;
  std::size_t OtherZoneNeighbours = 2;
  /// Longer than a refutation needs over a few hops of gossip.
  Duration SuspectTimeout = std::chrono::seconds(2);
  Duration DeadRetention = std::chrono::minutes(10);
  Duration ReconnectDelay = std::chrono::seconds(1);
  Duration MaxReconnectDelay = std::chrono::seconds(30);
  /// Period of probes to addresses without a live member.
  Duration ProbePeriod = std::chrono::seconds(3);
  /// ProbePeriod while this daemon has no link, so that a fleet whose daemons
  /// start at the same time connects quickly.
  Duration IsolatedProbePeriod = std::chrono::milliseconds(300);
  std::size_t MaxGossipItems = 32;
  std::size_t MaxMembers = 4096;
};

/// The complete membership state. To be changed only through apply().
struct Membership {
  MembershipSettings Settings;
  MemberInfo Self;
  std::map<std::string, Member> Members; ///< By id, without this daemon.
  std::vector<SocketAddress> Seeds;      ///< From the settings.
  std::vector<SocketAddress>
      Listed; ///< Addresses of the entries in the VM list.
  /// The entries that the VM list marks as leaving.
  std::set<SocketAddress> ListedLeaving;
  std::set<std::string>
      Changed; ///< Ids whose records are still to be gossiped.
  TimePoint NextProbe;
  std::size_t ProbeCursor = 0;
};

struct SeedsKnown {
  std::vector<SocketAddress> Addresses;
};
struct VmsListed {
  std::vector<VmRecord> Vms;
};
/// The entries marked as leaving in the VM list, as read by another daemon.
struct LeavingListed {
  std::set<SocketAddress> Entries;
};
/// A new link has received the peer's hello.
struct LinkOpened {
  MemberInfo From;
};
/// The last link to the peer failed or timed out.
struct LinkLost {
  std::string Id;
};
/// The last link to the peer was closed for being idle.
struct LinkReleased {
  std::string Id;
};
/// A connection attempt to a known peer has failed.
struct ConnectFailed {
  std::string Id;
};
struct GossipReceived {
  std::vector<MemberInfo> Records;
};
struct LoadReported {
  std::string Id;
  std::uint32_t Load = 0;
};
/// This daemon starts to leave.
struct SelfLeaving {};
struct MembershipTick {};

using MembershipEvent =
    std::variant<SeedsKnown, VmsListed, LeavingListed, LinkOpened, LinkLost,
                 LinkReleased, ConnectFailed, GossipReceived, LoadReported,
                 SelfLeaving, MembershipTick>;

/// The I/O that the caller has to perform.
struct MembershipActions {
  struct Connect {
    std::string Id; ///< Empty when only the address is known.
    SocketAddress To;
  };
  struct Gossip {
    std::string To;
    std::vector<MemberInfo> Records;
  };
  std::vector<Connect> Connects;
  std::vector<Gossip> Gossips;
  bool MembersChanged = false; ///< A state, an address or a leaving flag.
};

/// Applies \p Event to \p State at \p Now and returns the resulting actions.
MembershipActions apply(Membership &State, const MembershipEvent &Event,
                        TimePoint Now);

/// Returns the ids of the daemons to keep links to, most of them in the own
/// zone, chosen by rendezvous hashing over all members that are not dead.
std::vector<std::string> neighbours(const Membership &State);

/// Returns the members that are alive and not leaving, including this daemon.
std::vector<MemberInfo> liveMembers(const Membership &State);

/// Returns whether the VM list marks this daemon's VM as leaving.
bool isSelfListedLeaving(const Membership &State);

nlohmann::json toJson(const MemberInfo &Info);
/// Throws Error(BadRequest) or json::exception when \p Value is malformed.
MemberInfo memberInfoFromJson(const nlohmann::json &Value);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_MEMBERSHIP_H
