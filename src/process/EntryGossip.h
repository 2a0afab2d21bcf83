// Decision: which entries of the system are alive, learned by gossip.
//
//   EntryGossip Gossip(Self, Settings);
//   std::vector<EntryNews> News = Gossip.news(Now, Random);  // to send
//   Gossip.receive(News, Now);                               // as received
//
// Each entry counts its own heartbeats; whoever hears of a higher count takes
// the entry to be alive. Messages carry the sender and some of the entries
// that are alive, drawn anew each time. Guarantees: bounded message size; an
// entry that leaves is never reported alive again in the same incarnation.

#ifndef GALENAROUTE_PROCESS_ENTRYGOSSIP_H
#define GALENAROUTE_PROCESS_ENTRYGOSSIP_H

#include "connection/HttpTypes.h"
#include "process/Clock.h"

#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace galenaroute {

/// What an entry tells of itself, and others pass on.
struct EntryNews {
  std::string Id;
  std::int64_t Incarnation = 0; ///< Unix milliseconds of its start.
  std::uint64_t Heartbeat = 0;
  SocketAddress Callers; ///< Where callers connect.
  SocketAddress Gossip;  ///< Where gossip goes to.
  std::string Zone;
  double Capacity = 1; ///< Processor cores.
  double Busy = 0;     ///< Share of the processor in use.
  bool IsReady = false;
  bool IsLeaving = false;
  bool SeesPlatform = false; ///< The platform itself answered it lately.
};

struct EntryGossipSettings {
  /// An entry that is not heard of for this long counts as dead. News takes
  /// longer to go round when there are more entries than fit in a message, so
  /// the time grows with their number, unless others of its zone were reported
  /// meanwhile by noteSeen().
  Duration DeadAfter = std::chrono::milliseconds(1800);
  Duration DeadAfterPerEntry = std::chrono::milliseconds(40);
  /// A dead entry is forgotten after this time.
  Duration ForgetAfter = std::chrono::seconds(60);
  std::size_t MaxNews = 32; ///< In one message.
  std::size_t Fanout = 6;   ///< Messages in one round.
  /// Of these, to other zones where there are enough entries in the own one;
  /// bytes between zones are dear.
  std::size_t FarFanout = 1;
};

/// Names an entry in digests, see StatusRelay.
std::uint32_t entryKey(std::string_view EntryId);

class EntryGossip {
public:
  EntryGossip(EntryNews Self, EntryGossipSettings Settings)
      : Settings(Settings), Self(std::move(Self)) {}

  EntryNews &self() { return this->Self; }
  const EntryNews &self() const { return this->Self; }

  /// Counts a heartbeat and returns what to send.
  std::vector<EntryNews> news(TimePoint Now, std::mt19937_64 &Random);
  void receive(std::span<const EntryNews> News, TimePoint Now);
  /// Returns whom to send to in this round; \p Seeds are always among those
  /// chosen from while nobody else is known.
  std::vector<SocketAddress> targets(std::span<const SocketAddress> Seeds,
                                     TimePoint Now, std::mt19937_64 &Random);
  /// Others have heard of the entries with these entryKey()s just now.
  void noteSeen(std::span<const std::uint32_t> Keys, TimePoint Now);
  /// Returns what is known of an entry other than this one, or null.
  const EntryNews *find(std::string_view Id) const;
  /// Entries, other than this one, that are alive and not leaving.
  std::vector<EntryNews> alive(TimePoint Now) const;
  std::size_t countAlive(TimePoint Now) const;
  /// Entries, other than this one, that have not said that they leave, also
  /// those not heard of lately, until they are forgotten.
  std::size_t countKnown() const;
  /// The same entries as alive(), without a copy.
  template <typename Visitor>
  void forEachAlive(TimePoint Now, Visitor Visit) const {
    for (const auto &[Id, Each] : this->Others)
      if (this->isAlive(Each, Now) && !Each.News.IsLeaving)
        Visit(Each.News);
  }

private:
  struct Heard {
    EntryNews News;
    TimePoint At;
    std::uint32_t Key = 0; ///< See entryKey().
  };

  bool isAlive(const Heard &Entry, TimePoint Now) const;

  EntryGossipSettings Settings;
  EntryNews Self;
  std::map<std::string, Heard, std::less<>> Others;
  /// When an entry of each zone was last reported by noteSeen().
  std::map<std::string, TimePoint> ZoneSeenAt;
};

/// Chooses the addresses for a caller in \p Zone: entries of its zone first,
/// each drawn by the capacity that is left, so that many answers spread
/// callers by what the entries can carry.
std::vector<SocketAddress>
chooseEntryAddresses(std::span<const EntryNews> Ready, std::string_view Zone,
                     std::size_t Most, std::mt19937_64 &Random);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_ENTRYGOSSIP_H
