// Tracks by gossip which entries are alive. An entry is a gateway daemon that
// accepts calls from callers. Does no I/O.
//
//   EntryGossip Gossip(Self, Settings);
//   std::vector<EntryRecord> Records = Gossip.makeGossip(Now, Random); // to
//   send Gossip.receive(Received, Now);
//
// Each entry counts its own heartbeats; a higher count than the last one known
// shows that the entry is alive. A message carries the sender's record and a
// random sample of the live entries. Guarantees: bounded message size; an entry
// that has announced that it leaves is never reported alive again in the same
// incarnation.

#ifndef GALENAROUTE_PROCESS_ENTRYGOSSIP_H
#define GALENAROUTE_PROCESS_ENTRYGOSSIP_H

#include "connection/HttpTypes.h"
#include "process/Clock.h"
#include "process/FleetRules.h"

#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace galenaroute {

/// Maximum of EntryRecord::Heard.
inline constexpr std::size_t MaxHeardServices = 16;

/// An entry's state as it gossips it; other entries forward it.
struct EntryRecord {
  std::string Id;
  std::int64_t Incarnation = 0; ///< Start time in Unix milliseconds.
  std::uint64_t Heartbeat = 0;
  SocketAddress Callers; ///< Address for callers.
  SocketAddress Gossip;  ///< Address for gossip.
  std::string Zone;
  double Capacity = 1; ///< In processor cores.
  double Busy = 0;     ///< Share of the processor in use.
  bool IsReady = false;
  bool IsLeaving = false;
  bool ReachesPlatform = false; ///< The platform has answered it recently.
  bool IssuesPermits = false;   ///< See RateShares.
  /// Entries that it knows itself, including itself and those it does not hear.
  std::uint64_t KnownEntries = 1;
  /// Version of the configuration in force, zero before the first one.
  std::uint64_t ConfigVersion = 0;
  /// useKey() of services whose upstreams it has heard directly within the last
  /// second.
  std::vector<std::uint32_t> Heard;
  /// Of its build, see FleetRules.h.
  BuildLevel Level = 0;
  BuildLevel LeastPeerLevel = 0;
};

struct EntryGossipSettings {
  /// An entry without a heartbeat for this long is considered dead. When there
  /// are more entries than fit in a message, heartbeats take longer to spread,
  /// so the time grows with the number of entries, unless markSeen() has
  /// reported others of the entry's zone meanwhile.
  Duration DeadAfter = std::chrono::milliseconds(1800);
  Duration DeadAfterPerEntry = std::chrono::milliseconds(40);
  /// A dead entry is removed after this time.
  Duration ForgetAfter = std::chrono::seconds(60);
  std::size_t MaxRecords = 32; ///< Per message.
  std::size_t Fanout = 6;      ///< Messages per round.
  /// Messages of a round that go to other zones if the own zone has enough
  /// entries; traffic between zones is expensive.
  std::size_t OtherZoneFanout = 1;
};

/// Returns the short key of an entry in digests, see StatusRelay.
std::uint32_t entryKey(std::string_view EntryId);

class EntryGossip {
public:
  EntryGossip(EntryRecord Self, EntryGossipSettings Settings)
      : Settings(Settings), Self(std::move(Self)) {}

  EntryRecord &self() { return this->Self; }
  const EntryRecord &self() const { return this->Self; }

  /// Increments the heartbeat and returns the records to send.
  std::vector<EntryRecord> makeGossip(TimePoint Now, std::mt19937_64 &Random);
  void receive(std::span<const EntryRecord> Records, TimePoint Now);
  /// Returns the addresses to gossip to in this round. While no other entry is
  /// alive, they include all of \p Seeds.
  std::vector<SocketAddress> targets(std::span<const SocketAddress> Seeds,
                                     TimePoint Now, std::mt19937_64 &Random);
  /// Records that other entries have just heard from the entries with these
  /// entryKey()s.
  void markSeen(std::span<const std::uint32_t> Keys, TimePoint Now);
  /// Returns the record of an entry other than this one, or null.
  const EntryRecord *find(std::string_view Id) const;
  /// Returns whether another entry, also one that leaves or is considered dead,
  /// has the IP address \p Host.
  bool isKnownHost(std::string_view Host) const;
  /// Returns the other entries that are alive and not leaving.
  std::vector<EntryRecord> alive(TimePoint Now) const;
  std::size_t countAlive(TimePoint Now) const;
  /// Counts the other entries that have not announced that they leave,
  /// including those considered dead until they are removed.
  std::size_t countKnown() const;
  /// Returns the number of entries including this one and those that are not
  /// heard, as this entry or a live one knows it. An entry that starts in a
  /// partition learns it from the others of its side.
  std::size_t fleetSize(TimePoint Now) const;
  /// Visits the entries that countKnown() counts.
  template <typename Visitor> void forEachKnown(Visitor Visit) const {
    for (const auto &[Id, Each] : this->Others)
      if (!Each.Record.IsLeaving)
        Visit(Each.Record);
  }
  /// Returns whether all other entries keep \p Rule, also those that leave or
  /// are considered dead, until they are removed.
  bool doAllKeep(FleetRule Rule) const;
  /// Visits the same entries as alive() without copying them.
  template <typename Visitor>
  void forEachAlive(TimePoint Now, Visitor Visit) const {
    for (const auto &[Id, Each] : this->Others)
      if (this->isAlive(Each, Now) && !Each.Record.IsLeaving)
        Visit(Each.Record);
  }

  /// Visits the entries that are alive, also those that are leaving.
  template <typename Visitor>
  void forEachHeard(TimePoint Now, Visitor Visit) const {
    for (const auto &[Id, Each] : this->Others)
      if (this->isAlive(Each, Now))
        Visit(Each.Record);
  }

private:
  struct KnownEntry {
    EntryRecord Record;
    TimePoint At;
    std::uint32_t Key = 0; ///< See entryKey().
  };

  bool isAlive(const KnownEntry &Entry, TimePoint Now) const;

  EntryGossipSettings Settings;
  EntryRecord Self;
  std::map<std::string, KnownEntry, std::less<>> Others;
  /// The last markSeen() of any entry, by zone.
  std::map<std::string, TimePoint> ZoneSeenAt;
};

/// Chooses up to \p MaxAddresses addresses for a caller in \p Zone, entries of
/// its zone first. Each is sampled by its spare capacity, so that callers
/// spread in proportion to what the entries can serve.
std::vector<SocketAddress>
chooseEntryAddresses(std::span<const EntryRecord> Ready, std::string_view Zone,
                     std::size_t MaxAddresses, std::mt19937_64 &Random);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_ENTRYGOSSIP_H
