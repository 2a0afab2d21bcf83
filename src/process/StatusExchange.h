// Exchanges the load and status of this entry with the other entries: directly
// in a small fleet, over relays in a large one (see StatusRelay).
//
//   StatusExchange Exchange(Entries, Send, Events);
//   Exchange.publish(Status, Now);            // once every period()
//   Exchange.receive(Status, Now);            // on a message
//   Exchange.receive(Digest, Now);
//
// The relays follow from the entries known to be alive: the largest ones of
// each zone, as many as the zone has groups. Entries may disagree on this for a
// while; an entry that receives statuses for a relay acts as one in any case.
//
// Guarantees: an entry that hears nothing from its relay for RelayTimeout
// switches to another one. The calls of an entry are never counted as calls of
// others.

#ifndef GALENAROUTE_PROCESS_STATUSEXCHANGE_H
#define GALENAROUTE_PROCESS_STATUSEXCHANGE_H

#include "process/GossipMessages.h"

#include <deque>
#include <functional>
#include <set>

namespace galenaroute {

/// Callbacks with what the other entries have published.
struct StatusEvents {
  /// The calls in flight of \p Members entries; replaces the last use from \p
  /// From.
  std::function<void(const std::string &From, std::vector<UseItem> Use,
                     std::size_t Members)>
      OnUse;
  /// Replaces the use of one upstream only; sent between two statuses.
  std::function<void(const std::string &From, const UseItem &Item)>
      OnUpstreamUse;
  /// Adds to the last use from \p From.
  std::function<void(const std::string &From, const UseItem &Item)> OnAdded;
  std::function<void(std::span<const std::string> Ids)> OnWithheld;
  std::function<void(const std::string &Kind, const WatchProgress &Progress)>
      OnProgress;
  /// Replaces the engine times by customer from \p From. \p IsFleet says that
  /// they are sums which include those that this entry has published.
  std::function<void(const std::string &From,
                     const std::vector<CustomerTime> &Customers, bool IsFleet)>
      OnCustomers =
          [](const std::string &, const std::vector<CustomerTime> &, bool) {};
  /// The backlog of \p Members entries; replaces the last one from \p From.
  std::function<void(const std::string &From, std::vector<BacklogItem> Backlog,
                     std::size_t Members)>
      OnBacklog = [](const std::string &, const std::vector<BacklogItem> &,
                     std::size_t) {};
};

/// Returns the relays of one zone, chosen from its live entries \p Zone. The
/// entries with the most capacity are chosen, since relaying costs processor
/// time.
std::vector<const EntryRecord *>
chooseRelays(std::span<const EntryRecord *const> Zone);

class StatusExchange {
public:
  using SendTo =
      std::function<void(const SocketAddress &To, const std::string &Bytes)>;

  StatusExchange(EntryGossip &Entries, SendTo Send, StatusEvents Events)
      : Entries(Entries), Send(std::move(Send)), Events(std::move(Events)) {}

  /// Time between two statuses.
  Duration period() const;
  /// How long a published status is valid.
  Duration maxAge() const;
  /// Returns whether statuses are sent over relays.
  bool usesRelays() const { return this->IsLarge; }

  /// Chooses the relays from the live entries; to be called a few times a
  /// second.
  void update(TimePoint Now);
  void publish(EntryStatus Own, TimePoint Now);
  /// Publishes the use after one new call at once if its prompt takes long to
  /// process. Until the next status, others would choose the same engine.
  void publishIncrement(const UseItem &Item, std::uint32_t TokensToRead,
                        TimePoint Now);
  void receive(EntryStatus Status, TimePoint Now);
  void receive(StatusDigest Digest, TimePoint Now);
  void receive(const AddedUseBatch &Batch, TimePoint Now);
  /// Returns whether this entry, as a relay, has increments to forward. They
  /// are sent in batches: flush() is to be called flushPeriod() later.
  bool hasPending() const {
    return !this->OwnAdded.empty() || !this->OtherAdded.empty();
  }
  void flush();
  Duration flushPeriod() const;

private:
  /// A relay of the own zone.
  struct Candidate {
    std::string Id;
    SocketAddress Address;
  };

  void sendToAll(const EntryStatus &Own, TimePoint Now);
  void sendTo(std::string_view Id, const std::string &Bytes);
  void actAsRelay(TimePoint Now);
  bool isRelay() const;
  const Candidate *selectRelay(TimePoint Now);
  std::set<std::string> peers() const;
  void recordSent(std::uint64_t Number, std::vector<UseItem> Own);
  void forwardIncrement(const EntryStatus &Increment);
  void applyAdded(std::span<const AddedUse> Items);
  void sendToMembers(const std::string &Bytes);
  void apply(const StatusDigest &Digest, TimePoint Now);
  std::vector<UseItem> subtractOwn(const StatusDigest &Digest) const;
  std::vector<BacklogItem> subtractOwnBacklog(const StatusDigest &Digest) const;

  EntryGossip &Entries;
  SendTo Send;
  StatusEvents Events;
  StatusRelay Relay;
  std::size_t Count = 1; ///< Live entries including this one.
  bool IsLarge = false;
  std::vector<Candidate> ZoneRelays;    ///< In order of preference.
  std::vector<std::string> OtherRelays; ///< Of all zones, without this entry.
  bool IsElected = false;   ///< Whether this entry is one of the relays.
  std::string CurrentRelay; ///< Id of the relay in use.
  TimePoint LastHeardAt;    ///< The last message of that relay.
  std::map<std::string, TimePoint> AvoidUntil; ///< By relay id.
  std::uint64_t Sequence = 0;
  std::uint64_t Round = 0;
  /// Increments to forward: of the own group, and of other groups.
  std::vector<AddedUse> OwnAdded;
  std::vector<AddedUse> OtherAdded;
  /// The use that this entry published recently, by sequence number.
  std::deque<std::pair<std::uint64_t, std::vector<UseItem>>> SentStatuses;
  /// The backlogs published recently, by sequence number.
  std::deque<std::pair<std::uint64_t, std::vector<BacklogItem>>> SentBacklogs;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_STATUSEXCHANGE_H
