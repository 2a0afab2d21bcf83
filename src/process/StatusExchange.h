// Tells the other entries what this one does, and hears the same of them:
// directly in a small fleet, over relays in a large one (see StatusRelay).
//
//   StatusExchange Exchange(Entries, Send, Events);
//   Exchange.tell(Status, Now);               // once every period()
//   Exchange.receive(Status, Now);            // as messages come
//   Exchange.receive(Digest, Now);
//
// Who is a relay follows from the entries known to be alive: in each zone the
// largest ones, as many as there are groups. Views may differ for a while; an
// entry that gets statuses for a relay acts as one, whatever it thinks itself.
//
// Guarantees: an entry that hears nothing from its relay for SilenceLimit goes
// to the next one; what it has under way itself is never in what it takes to
// be the others' use.

#ifndef GALENAROUTE_PROCESS_STATUSEXCHANGE_H
#define GALENAROUTE_PROCESS_STATUSEXCHANGE_H

#include "process/GossipMessages.h"

#include <deque>
#include <functional>
#include <set>

namespace galenaroute {

/// What an exchange reports of the other entries.
struct StatusEvents {
  /// Calls of \p Members entries under way; replaces what \p From told before.
  std::function<void(const std::string &From, std::vector<UseItem> Use,
                     std::size_t Members)>
      OnUse;
  /// The same at one upstream, told between two statuses.
  std::function<void(const std::string &From, const UseItem &Item)> OnPart;
  /// Calls on top of those that \p From told.
  std::function<void(const std::string &From, const UseItem &Item)> OnAdded;
  std::function<void(std::span<const std::string> Ids)> OnWithheld;
  std::function<void(const std::string &Kind, const WatchProgress &Told)>
      OnContact;
};

/// The entries that pass statuses on in one zone, by \p Zone's live entries:
/// the largest first, so that the work falls on those that carry it easily.
std::vector<const EntryNews *>
chooseRelays(std::span<const EntryNews *const> Zone);

class StatusExchange {
public:
  using SendTo =
      std::function<void(const SocketAddress &To, const std::string &Bytes)>;

  StatusExchange(EntryGossip &Entries, SendTo Send, StatusEvents Events)
      : Entries(Entries), Send(std::move(Send)), Events(std::move(Events)) {}

  /// Between two statuses.
  Duration period() const;
  /// How long what an entry told counts.
  Duration maxAge() const;
  /// Whether statuses go over relays.
  bool usesRelays() const { return this->IsLarge; }

  /// Looks at who is alive; to be called a few times a second.
  void update(TimePoint Now);
  void tell(EntryStatus Own, TimePoint Now);
  /// Tells of one call at once, if its prompt takes long to read. Until the
  /// next status, the others would send theirs to the same engine.
  void tellPart(const UseItem &Item, std::uint32_t TokensToRead, TimePoint Now);
  void receive(EntryStatus Status, TimePoint Now);
  void receive(StatusDigest Digest, TimePoint Now);
  void receive(const AddedUseNews &News, TimePoint Now);
  /// A relay passes on new calls in batches: whether any wait. flush() is to be
  /// called a flushPeriod() later.
  bool hasPending() const {
    return !this->OwnAdded.empty() || !this->OtherAdded.empty();
  }
  void flush();
  Duration flushPeriod() const;

private:
  /// A relay of this entry's zone.
  struct Candidate {
    std::string Id;
    SocketAddress Address;
  };

  void tellAll(const EntryStatus &Own, TimePoint Now);
  void sendTo(std::string_view Id, const std::string &Bytes);
  void actAsRelay(TimePoint Now);
  bool isRelay() const;
  const Candidate *ownRelay(TimePoint Now);
  std::set<std::string> peers() const;
  void remember(std::uint64_t Number, std::vector<UseItem> Own);
  void notePart(const EntryStatus &Part);
  void takeAdded(std::span<const AddedUse> Items);
  void sendToMembers(const std::string &Bytes);
  void take(const StatusDigest &Digest, TimePoint Now);
  std::vector<UseItem> withoutOwn(const StatusDigest &Digest) const;

  EntryGossip &Entries;
  SendTo Send;
  StatusEvents Events;
  StatusRelay Relay;
  std::size_t Count = 1; ///< Entries alive, this one included.
  bool IsLarge = false;
  std::vector<Candidate> Relays;        ///< Of the own zone, in own order.
  std::vector<std::string> OtherRelays; ///< Of all zones, without this entry.
  bool IsChosen = false;                ///< As one of the relays.
  std::string Current;                  ///< Id of the relay in use.
  TimePoint HeardAt;                    ///< From the relay in use.
  std::map<std::string, TimePoint> SilentUntil; ///< Relays to avoid.
  std::uint64_t Sequence = 0;
  std::uint64_t Round = 0;
  /// New calls to pass on: of the own group, and of others.
  std::vector<AddedUse> OwnAdded;
  std::vector<AddedUse> OtherAdded;
  /// What this entry told lately.
  std::deque<std::pair<std::uint64_t, std::vector<UseItem>>> Told;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_STATUSEXCHANGE_H
