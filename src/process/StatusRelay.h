// Aggregates the statuses of a group of entries into digests. Does no I/O.
//
// If every entry sends its status to every other one, the number of messages
// grows with the square of the fleet. At 295 entries each one received 333 a
// second, most of them from another zone, and a status was 0.9 s old when the
// next one came. Instead, an entry sends its status to a relay of its own zone.
// Relays exchange the sums of their groups and return the sum of the fleet to
// their group, so that an entry sends and receives one message per period at
// any size.
//
//   StatusRelay Relay;
//   Relay.updateMember(Status, Now);                // from the group
//   Relay.updateGroup(Digest, Now);                 // from other relays
//   Relay.expire(Now, MaxAge);
//   send(OtherRelay, Relay.groupDigest(Self, Now));
//   send(Member, Relay.fleetDigest(Self, Now));
//
// Guarantees: an entry or group that stops sending is counted for MaxAge at
// most. Duplicate and reordered messages have no effect. A digest is bounded in
// size.

#ifndef GALENAROUTE_PROCESS_STATUSRELAY_H
#define GALENAROUTE_PROCESS_STATUSRELAY_H

#include "process/EntryGossip.h"
#include "request/CustomerShares.h"
#include "request/QueueAdmission.h"
#include "request/SharedUse.h"
#include "version/ObjectWatcher.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace galenaroute {

/// The status that an entry publishes to all others.
struct EntryStatus {
  std::string From; ///< Id of the entry.
  /// Number of the status; identifies the own part of a sum.
  std::uint64_t Sequence = 0;
  /// Calls in flight at all engines, or, in an incremental status that
  /// announces a new call, at the engines listed.
  std::vector<UseItem> Use;
  /// Work queued at the entry, by service; see QueueAdmission.h.
  std::vector<BacklogItem> Backlog;
  bool IsIncremental = false; ///< Only Use is set, and only for some engines.
  bool IsForRelay = false;    ///< The receiver shall forward it.
  /// Upstreams that get no new work: this entry has ordered them to load
  /// weights or is about to, or they have announced that they leave.
  std::vector<std::string> Withheld;
  /// How up to date its platform objects are, by kind; only if the platform has
  /// answered it recently.
  std::vector<std::pair<std::string, WatchProgress>> Progress;
  /// Start time of the entry; sent with Customers.
  std::int64_t Incarnation = 0;
  /// Its largest engine times by customer; see CustomerUse::report().
  std::vector<CustomerTime> Customers;
};

/// The sum of the statuses of many entries.
struct StatusDigest {
  std::string From;          ///< Id of the relay.
  bool IsGroupOnly = false;  ///< Covers the own group only; for other relays.
  std::uint32_t Members = 0; ///< Number of entries included in Use.
  std::vector<UseItem> Use;  ///< Sums.
  std::vector<BacklogItem> Backlog; ///< Sums.
  std::vector<std::string> Withheld;
  std::vector<std::pair<std::string, WatchProgress>> Progress;
  std::vector<std::uint32_t> Alive; ///< entryKey() of the members.
  /// Sequence number of the last status that is included, by member of the
  /// relay's own group.
  std::vector<std::pair<std::uint32_t, std::uint64_t>> LastSequences;
  /// The largest sums of engine time by customer.
  std::vector<CustomerTime> Customers;
};

/// Returns the name under which the engine times of an entry are kept. After a
/// restart it is another one, so that the earlier times fade.
std::string customerReportName(const EntryStatus &Status);

/// The use that a newly sent call adds.
struct AddedUse {
  std::uint32_t Entry = 0; ///< Its entryKey().
  UseItem Item;            ///< The increment.
};

/// New calls since the last digest, from a relay.
struct AddedUseBatch {
  std::string From;         ///< Id of the relay.
  bool IsGroupOnly = false; ///< Covers the own group only; for other relays.
  std::vector<AddedUse> Items;
};

class StatusRelay {
public:
  /// Engines in one digest; those in most use are listed. A larger digest would
  /// not fit in a message.
  static constexpr std::size_t MaxUse = 800;

  void updateMember(EntryStatus Status, TimePoint Now);
  void updateGroup(StatusDigest Digest, TimePoint Now);
  /// Merges an incremental status and returns what it adds.
  std::optional<AddedUse> applyIncrement(const EntryStatus &Increment);
  /// Merges increments to the last digest of another relay.
  void applyAdded(const std::string &Relay, std::span<const AddedUse> Items);
  /// Removes statuses and digests older than \p MaxAge.
  void expire(TimePoint Now, Duration MaxAge);

  /// Returns the sum over the group, or over all known groups.
  StatusDigest groupDigest(const std::string &Self, TimePoint Now) const;
  StatusDigest fleetDigest(const std::string &Self, TimePoint Now) const;
  /// Returns the ids of the group's entries, or of the other relays heard from
  /// recently.
  std::vector<std::string> members() const;
  bool hasMembers() const { return !this->Members.empty(); }
  std::vector<std::string> peers() const;

private:
  template <typename Message> struct Timestamped {
    Message Last;
    TimePoint At;
  };

  std::map<std::string, Timestamped<EntryStatus>> Members;
  std::map<std::string, Timestamped<StatusDigest>> Groups;
  CustomerShareSettings Shares;
  /// Engine times of the group's entries, and of other relays. They outlast
  /// expire(), since they fade.
  CustomerTimes MemberTimes;
  CustomerTimes GroupTimes;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_STATUSRELAY_H
