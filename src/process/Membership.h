// Decision: which daemons exist, which of them are alive, and to whom this
// daemon keeps links.
//
//   Membership State(Settings, Self);
//   MembershipActions Actions = apply(State, LinkLost{"10.0.0.2:7000"}, Now);
//
// Changes spread by flooding over the neighbour links, a bounded number of
// records a message; a new link gets all records. Each daemon is the only
// source of its own incarnation: it refutes a wrong suspicion by a higher one.
// A daemon is suspected only after a new connection to it has failed too, and
// is dead when the suspicion is not refuted in time.
//
// Guarantees: the number of neighbours does not depend on the number of
// members; records of equal incarnation only get worse, so all daemons agree
// in the end whatever the order of messages; memory is bounded by MaxMembers.

#ifndef GALENAROUTE_PROCESS_MEMBERSHIP_H
#define GALENAROUTE_PROCESS_MEMBERSHIP_H

#include "connection/PlatformClient.h"
#include "process/Clock.h"

#include <map>
#include <set>
#include <variant>

namespace galenaroute {

/// Ordered: of two records with one incarnation the later state holds.
enum class MemberState { Alive, Suspect, Dead };

/// What is gossiped about one daemon.
struct MemberInfo {
  std::string Id;
  /// Starts as the wall-clock time of the start in microseconds.
  std::uint64_t Incarnation = 0;
  std::string Zone;
  SocketAddress PeerAddress;   ///< For links between daemons.
  SocketAddress CallerAddress; ///< Returned by GET /v1/entries.
  MemberState State = MemberState::Alive;
  /// Set by the daemon itself; never taken back within one incarnation.
  bool Leaving = false;
  bool operator==(const MemberInfo &) const = default;
};

/// Incarnations above this are malformed; times in microseconds are below.
constexpr std::uint64_t MaxIncarnation = std::uint64_t{1} << 53;

/// What is known about another daemon.
struct Member {
  MemberInfo Info;
  TimePoint Since;        ///< When Info.State began, by this daemon's clock.
  std::uint32_t Load = 0; ///< Requests in progress, from its last heartbeat.
  bool Linked = false;
  TimePoint NextConnect; ///< Attempts to connect wait until then.
  int FailedConnects = 0;
};

struct MembershipSettings {
  std::size_t ZoneNeighbours = 4;
  std::size_t OtherZoneNeighbours = 2;
  /// Longer than a refutation takes over a few hops of gossip.
  Duration SuspectTimeout = std::chrono::seconds(2);
  Duration DeadRetention = std::chrono::minutes(10);
  Duration ReconnectDelay = std::chrono::seconds(1);
  Duration MaxReconnectDelay = std::chrono::seconds(30);
  /// How often an address that is not a live member is tried.
  Duration ProbePeriod = std::chrono::seconds(3);
  /// The same while this daemon has no link at all, so that a fleet whose
  /// daemons all start at once finds together quickly.
  Duration AloneProbePeriod = std::chrono::milliseconds(300);
  std::size_t MaxGossipItems = 32;
  std::size_t MaxMembers = 4096;
};

/// The whole state of the decision. Read freely; change only through apply().
struct Membership {
  MembershipSettings Settings;
  MemberInfo Self;
  std::map<std::string, Member> Members; ///< By id; without this daemon.
  std::vector<SocketAddress> Seeds;      ///< From the settings.
  std::vector<SocketAddress> Listed;     ///< Entries in the VM list.
  /// Entries that the VM list marks as leaving.
  std::set<SocketAddress> ListedLeaving;
  std::set<std::string> Changed; ///< Ids whose records wait to be gossiped.
  TimePoint NextProbe;
  std::size_t ProbeCursor = 0;
};

struct SeedsKnown {
  std::vector<SocketAddress> Addresses;
};
struct VmsListed {
  std::vector<VmRecord> Vms;
};
/// The entries that another daemon found marked as leaving in the VM list.
struct LeavingListed {
  std::set<SocketAddress> Entries;
};
/// The peer's hello on a new link.
struct LinkOpened {
  MemberInfo From;
};
/// The last link to the peer broke or went silent.
struct LinkLost {
  std::string Id;
};
/// The last link to the peer was closed because it was idle.
struct LinkReleased {
  std::string Id;
};
/// A connection to a known peer could not be made.
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
/// This daemon begins to leave.
struct SelfLeaving {};
struct MembershipTick {};

using MembershipEvent =
    std::variant<SeedsKnown, VmsListed, LeavingListed, LinkOpened, LinkLost,
                 LinkReleased, ConnectFailed, GossipReceived, LoadReported,
                 SelfLeaving, MembershipTick>;

/// What the shell has to do.
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
  bool MembersChanged = false; ///< A state, an address or a leaving mark.
};

/// Takes \p Event into \p State at \p Now and returns what follows from it.
MembershipActions apply(Membership &State, const MembershipEvent &Event,
                        TimePoint Now);

/// Returns the ids of the daemons to which links are kept, most in the own
/// zone, by rendezvous hashing over all members that are not dead.
std::vector<std::string> neighbours(const Membership &State);

/// Returns the members that are alive, this daemon included unless it leaves.
/// Leaving members are left out.
std::vector<MemberInfo> liveMembers(const Membership &State);

/// Returns whether the VM list marks this daemon's own VM as leaving.
bool isSelfListedLeaving(const Membership &State);

nlohmann::json toJson(const MemberInfo &Info);
/// Throws Error(BadRequest) or json::exception when \p Value is malformed.
MemberInfo memberInfoFromJson(const nlohmann::json &Value);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_MEMBERSHIP_H
