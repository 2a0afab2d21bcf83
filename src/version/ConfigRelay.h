// Decision: which daemons watch the manifest, what to offer to whom, and from
// whom to fetch a newer configuration.
//
//   ConfigRelay State(Settings, "10.0.0.1:7000", Now, Seed);
//   for (const RelayAction &Each : apply(State, OfferHeard{...}, Now)) ...
//
// Two daemons of each zone watch the manifest, chosen by rendezvous hashing
// over the live ones, so that watches do not grow with the fleet. The others
// hear offers from their neighbours. A daemon that hears none for a while
// watches as well.
//
// A starting daemon reads the platform and asks its peers. It fetches nothing
// from peers until the platform or enough peers have answered, or a time has
// passed, so that one stale peer does not decide what it starts with.
//
// Guarantees: a fetch is only ever asked for an epoch above the one in force;
// at most one fetch is open; offers are repeated, so a lost message heals.

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
  /// Peers whose answers end the start of a daemon.
  std::size_t StartAnswers = 3;
  /// The longest time that a start waits for further answers after the first.
  Duration StartWait = std::chrono::milliseconds(1500);
  /// Six neighbours and 130 bytes an offer make 160 bytes a second.
  Duration OfferPeriod = std::chrono::seconds(5);
  Duration FetchTimeout = std::chrono::seconds(1);
  /// A daemon without any message for this long watches on its own.
  Duration IsolationTimeout = std::chrono::seconds(20);
};

/// Peers whose offers are remembered.
constexpr std::size_t MaxRememberedOffers = 16;

/// The whole state of the decision. Read freely; change only through apply().
struct ConfigRelay {
  ConfigRelay(ConfigRelaySettings Settings, std::string SelfId, TimePoint Now,
              std::uint64_t Seed)
      : Settings(Settings), SelfId(std::move(SelfId)), LastHeard(Now),
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
  std::set<std::string> ZoneMembers;         ///< Live, this daemon included.
  std::set<std::string> Answered;            ///< Peers heard while starting.
  std::map<std::string, ConfigOffer> Offers; ///< Above the epoch in force.
  std::optional<OpenFetch> Fetch;
  std::optional<TimePoint> StartEnd;
  TimePoint LastHeard;
  TimePoint NextOffer;
  std::mt19937_64 Random;
};

struct PeerUp {
  std::string Id;
};
struct OfferHeard {
  std::string From;
  ConfigOffer Offer;
};
/// Part of the fetched version came, and more is being asked for.
struct FetchProgressed {};
/// The data did not match or had nothing new.
struct FetchFailed {};
struct InForce {
  std::uint64_t Epoch = 0;
  std::string Hash;
};
/// The platform was read, whether it has a manifest or not.
struct PlatformAnswered {};
/// Live daemons of the own zone.
struct ZoneChanged {
  std::set<std::string> Members;
};
struct RelayTick {};

using RelayEvent =
    std::variant<PeerUp, OfferHeard, FetchProgressed, FetchFailed, InForce,
                 PlatformAnswered, ZoneChanged, RelayTick>;

/// Send the offer of what is in force to \p To, or to all neighbours.
struct SendOffer {
  std::string To; ///< Empty: all neighbours.
  ConfigOffer Offer;
};
/// Begin to fetch the offered version.
struct StartFetch {
  std::string From;
  ConfigOffer Offer;
};
struct SetWatching {
  bool Watch = false;
};

using RelayAction = std::variant<SendOffer, StartFetch, SetWatching>;

/// Takes \p Event into \p State and returns what the shell has to do.
std::vector<RelayAction> apply(ConfigRelay &State, const RelayEvent &Event,
                               TimePoint Now);

/// Returns whether \p SelfId is among the \p Count watchers of \p Members.
bool isWatcher(const std::set<std::string> &Members, const std::string &SelfId,
               std::size_t Count);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_CONFIGRELAY_H
