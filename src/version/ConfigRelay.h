// Decides which daemons watch the manifest, which offers to send, and from
// which peer to fetch a newer configuration. Pure state machine without I/O.
//
//   ConfigRelay State(Settings, "10.0.0.1:7000", Now, Seed);
//   for (const RelayAction &Each : apply(State, OfferReceived{...}, Now)) ...
//
// Two daemons of each zone watch the manifest, chosen by rendezvous hashing
// over the live ones, so that the number of watches does not grow with the
// fleet. The others receive offers from their neighbours. A daemon that
// receives none for IsolationTimeout watches as well.
//
// A starting daemon reads the platform and requests offers from its peers. It
// fetches nothing from peers until the platform or enough peers have responded,
// or a timeout has expired, so that one stale peer does not determine its first
// configuration.
//
// Guarantees: only epochs above the one in force are fetched; at most one fetch
// is open; offers are repeated, so that a lost message does no lasting harm.

#ifndef GALENAROUTE_VERSION_CONFIGRELAY_H
#define GALENAROUTE_VERSION_CONFIGRELAY_H

#include "process/Clock.h"
#include "version/ConfigMessages.h"

#include <random>
#include <set>
#include <variant>

namespace galenaroute {

struct ConfigRelaySettings {
  std::size_t WatchersPerZone = 2;
  /// Number of peers whose offers complete the startup of a daemon.
  std::size_t MinStartupOffers = 3;
  /// How long startup waits for further offers after the first one.
  Duration StartupTimeout = std::chrono::milliseconds(1500);
  /// With six neighbours and 130 bytes per offer, 160 bytes a second.
  Duration OfferPeriod = std::chrono::seconds(5);
  Duration FetchTimeout = std::chrono::seconds(1);
  /// A daemon that receives no message for this long watches the manifest.
  Duration IsolationTimeout = std::chrono::seconds(20);
};

/// Limit of the peers whose offers are stored.
constexpr std::size_t MaxStoredOffers = 16;

/// The complete state; to be modified only through apply().
struct ConfigRelay {
  ConfigRelay(ConfigRelaySettings Settings, std::string SelfId, TimePoint Now,
              std::uint64_t Seed)
      : Settings(Settings), SelfId(std::move(SelfId)), LastMessageAt(Now),
        NextOffer(Now), Random(Seed) {}

  struct OpenFetch {
    std::string From;
    ConfigOffer Offer;
    TimePoint Deadline;
  };

  ConfigRelaySettings Settings;
  std::string SelfId;
  std::uint64_t Epoch = 0; ///< In force.
  std::string Hash;
  bool Starting = true;
  bool Watching = true;
  std::set<std::string> ZoneMembers;         ///< Live, including this daemon.
  std::set<std::string> StartupPeers;        ///< Offered during startup.
  std::map<std::string, ConfigOffer> Offers; ///< Above the epoch in force.
  std::optional<OpenFetch> Fetch;
  std::optional<TimePoint> StartupDeadline;
  TimePoint LastMessageAt;
  TimePoint NextOffer;
  std::mt19937_64 Random;
};

struct PeerUp {
  std::string Id;
};
struct OfferReceived {
  std::string From;
  ConfigOffer Offer;
};
/// Part of the fetched version arrived, and the rest has been requested.
struct FetchProgressed {};
/// The data did not match their hash or contained nothing new.
struct FetchFailed {};
/// A version came into force.
struct InForce {
  std::uint64_t Epoch = 0;
  std::string Hash;
};
/// The platform answered a read, whether it has a manifest or not.
struct PlatformAnswered {};
/// The live daemons of this daemon's zone.
struct ZoneChanged {
  std::set<std::string> Members;
};
struct RelayTick {};

using RelayEvent =
    std::variant<PeerUp, OfferReceived, FetchProgressed, FetchFailed, InForce,
                 PlatformAnswered, ZoneChanged, RelayTick>;

/// Send an offer of the version in force.
struct SendOffer {
  std::string To; ///< Empty: all neighbours.
  ConfigOffer Offer;
};
/// Start to fetch the offered version.
struct StartFetch {
  std::string From;
  ConfigOffer Offer;
};
struct SetWatching {
  bool Watch = false;
};

using RelayAction = std::variant<SendOffer, StartFetch, SetWatching>;

/// Applies \p Event to \p State and returns the actions for the caller to
/// perform.
std::vector<RelayAction> apply(ConfigRelay &State, const RelayEvent &Event,
                               TimePoint Now);

/// Returns whether \p SelfId is one of the \p Count watchers among \p Members.
bool isWatcher(const std::set<std::string> &Members, const std::string &SelfId,
               std::size_t Count);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_CONFIGRELAY_H
