// Decision: what a relay passes on of the statuses that its group sends.
//
// Where every entry tells every other, messages grow with the square of the
// fleet: at 295 entries each took in 333 a second, most of them from another
// zone, and a status was 0.9 s old when the next one came. Instead, entries
// send their status to a relay of their own zone; relays exchange the sums of
// their groups and return the sum over the fleet to their group. Each entry
// then sends and takes in one message a period, at any size.
//
//   StatusRelay Relay;
//   Relay.noteStatus(Status, Now);                  // from the group
//   Relay.noteGroup(Digest, Now);                   // from other relays
//   Relay.expire(Now, MaxAge);
//   send(OtherRelay, Relay.groupDigest(Now));
//   send(Member, Relay.fleetDigest(Now));
//
// Guarantees: an entry or group that falls silent counts for MaxAge only; a
// repeated or older message changes nothing; a digest is bounded in size.

#ifndef GALENAROUTE_PROCESS_STATUSRELAY_H
#define GALENAROUTE_PROCESS_STATUSRELAY_H

#include "process/EntryGossip.h"
#include "request/SharedUse.h"
#include "version/ObjectWatcher.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace galenaroute {

/// What an entry tells all others of itself.
struct EntryStatus {
  std::string From; ///< Id of the entry.
  /// Counts the statuses of one entry, so that it finds its own part of a sum.
  std::uint64_t Sequence = 0;
  /// What it has under way at engines: at all, or at those in which a message
  /// between two statuses tells of a new call.
  std::vector<UseItem> Use;
  bool IsPart = false;     ///< Says nothing of other engines, and nothing else.
  bool IsForRelay = false; ///< To be passed on by the receiver.
  /// Upstreams that get no new work, since this entry has ordered or is about
  /// to order them to load weights, or since they said that they leave.
  std::vector<std::string> Withheld;
  /// How it follows the platform's objects, by kind; only where the platform
  /// answered it lately.
  std::vector<std::pair<std::string, WatchProgress>> Contacts;
};

/// Statuses of many entries in one.
struct StatusDigest {
  std::string From;          ///< Id of the relay.
  bool IsOfGroup = false;    ///< Of its own group only, for other relays.
  std::uint32_t Members = 0; ///< Entries whose calls are in Use.
  std::vector<UseItem> Use;  ///< Sums.
  std::vector<std::string> Withheld;
  std::vector<std::pair<std::string, WatchProgress>> Contacts;
  std::vector<std::uint32_t> Alive; ///< entryKey() of the members.
  /// The last status that was counted of each member of the relay's own group.
  std::vector<std::pair<std::uint32_t, std::uint64_t>> Counted;
};

/// A call that an entry has just sent.
struct AddedUse {
  std::uint32_t Entry = 0; ///< Its entryKey().
  UseItem Item;            ///< What the call adds.
};

/// Calls sent since the last digest, from a relay.
struct AddedUseNews {
  std::string From;       ///< Id of the relay.
  bool IsOfGroup = false; ///< Of its own group only, for other relays.
  std::vector<AddedUse> Items;
};

class StatusRelay {
public:
  /// Engines in one digest; the busiest are kept. A larger digest would not
  /// fit in a message.
  static constexpr std::size_t MaxUse = 800;

  void noteStatus(EntryStatus Status, TimePoint Now);
  void noteGroup(StatusDigest Digest, TimePoint Now);
  /// Takes in a part of a status, and returns what it adds to the part before.
  std::optional<AddedUse> notePart(const EntryStatus &Part);
  /// Takes in what other relays' groups have added since their digests.
  void noteAdded(const std::string &Relay, std::span<const AddedUse> Items);
  /// Forgets what is older than \p MaxAge.
  void expire(TimePoint Now, Duration MaxAge);

  /// The sum over the group, and over all groups heard.
  StatusDigest groupDigest(const std::string &Self, TimePoint Now) const;
  StatusDigest fleetDigest(const std::string &Self, TimePoint Now) const;
  /// Ids of the entries of the group, and of the relays heard lately.
  std::vector<std::string> members() const;
  bool hasMembers() const { return !this->Members.empty(); }
  std::vector<std::string> peers() const;

private:
  template <typename Message> struct Heard {
    Message Last;
    TimePoint At;
  };

  std::map<std::string, Heard<EntryStatus>> Members;
  std::map<std::string, Heard<StatusDigest>> Groups;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_STATUSRELAY_H
