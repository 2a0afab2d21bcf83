// State machine of the at-most-once log of one range of keys.
//
// Claims are stored in numbered segments in the platform; see ClaimRecord.h.
// Records are appended to the highest segment by conditional updates. A segment
// that has grown large is sealed, and the next one is created on the condition
// that it doesn't exist.
//
//   ClaimLog Log{.Settings = Settings, .Range = Range};
//   ClaimActions Actions = apply(Log, ClaimArrived{Request}, Time);
//   ... // execute Actions.Op
//   Actions = apply(Log, ClaimOpDone{...}, Time);
//
// Guarantees, for any number of gateways that apply this to one range
// concurrently, with any delay between a decision and its write:
// - Granted is returned only for a claim that was read from, or written to, the
//   segment version on which the decision was based. So two holders never hold
//   a key at the same time.
// - A write that conflicts, or whose outcome is unknown, is followed by a read
//   and a new decision. A lost reply never counts as success or failure. If the
//   write takes effect later, a later read finds its claims.
// - A key that another request holds is granted only if the gateway that made
//   the claim confirms that it will never send the call.
// - Unavailable says nothing about the log: the claim may still become durable,
//   so its holder must not send the call.
// - Memory is bounded by MaxWaiting, MaxIndexedKeys and the size of a segment.
//
// The platform may be restored from an old copy, see PlatformEra.h. Records
// that were durable are then gone, and versions are given out again. Therefore:
// - Each era has segments of its own, so that a write of an earlier era cannot
//   replace records of a later one. Own records in segments of an earlier era
//   are appended again, since other gateways may have read those before.
// - Records that this gateway made durable within RecoveryPeriod are kept in
//   memory. Every read of the log shows which of them are gone, and these are
//   appended again before anything is decided.
// - A new era drops the view. Claims that were not answered by then are
//   refused, because whether they are durable is not known.
// - For RecoveryDelay after a new era was noticed, nothing is decided, so that
//   other gateways can append their records.
// - An outcome is stored even if the claim is gone.
// A call may still run twice where the gateway that made its claim durable has
// ended, or learns of the new era later than RecoveryDelay after the gateway
// that decides on the repeat.
//
// Retention depends on the wall clocks of the gateways, whose differences must
// be small compared to the retention time.

#ifndef GALENAROUTE_REQUEST_CLAIMLOG_H
#define GALENAROUTE_REQUEST_CLAIMLOG_H

#include "request/ClaimRecord.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>

namespace galenaroute {

struct ClaimLogSettings {
  /// Size from which on a segment is sealed. Every append writes the whole
  /// segment, so this bounds the cost of a write. At 32 KB a segment holds
  /// about 200 claims, over which the cost of sealing is amortized.
  std::size_t SegmentBytes = 32 << 10;
  /// Maximum size of one group commit. Together with SegmentBytes it stays far
  /// below the platform's limit of 1 MB per object.
  std::size_t MaxGroupBytes = 192 << 10;
  std::size_t MaxWaiting = 1000;
  /// Takes about 4 MB. When this is reached, new keys are refused until
  /// retention removes old ones, because evicting a key early could run its
  /// call twice.
  std::size_t MaxIndexedKeys = 60000;
  /// Records that were read from sealed segments to answer repeats.
  std::size_t MaxCachedRecords = 256;
  Duration GroupDelay = std::chrono::milliseconds(3);
  /// Minimum time between writes. With 16 ranges this allows at most 320
  /// writes/s for any number of calls; the platform sustains several hundred.
  Duration WriteInterval = std::chrono::milliseconds(50);
  Duration MinBackoff = std::chrono::milliseconds(100);
  Duration MaxBackoff = std::chrono::seconds(2);
  Duration Retention = std::chrono::hours(24);
  /// Longer than a copy from which the platform is restored is old.
  Duration RecoveryPeriod = std::chrono::minutes(1);
  /// Covers a read and a write of a range, with the back-off after a failure.
  /// Shorter than ClaimServiceSettings::ClaimTimeout, so that calls wait.
  Duration RecoveryDelay = std::chrono::seconds(1);
  /// Limit of the records remembered for RecoveryPeriod; the oldest are
  /// forgotten. Holds 250 with the largest bodies, 5000 without.
  std::size_t MaxRecentBytes = 1 << 20;
};

/// Segment numbers of one era of the platform; the first era is 1.
inline constexpr std::uint64_t SegmentsPerEra = 1'000'000;

/// The kinds of requests to the log.
enum class ClaimRequestKind { Claim, Finish, Release };

struct ClaimRequest {
  std::uint64_t Id = 0; ///< Chosen by the caller; returned in the reply.
  ClaimRequestKind Kind = ClaimRequestKind::Claim;
  ClaimRecord Record; ///< Outcome only for Finish.
  TimePoint Deadline;
};

enum class ClaimVerdict {
  Granted,
  InProgress,
  MayHaveRun,
  Ran,
  Mismatch,
  Unavailable,
  Stored,    ///< The Finish or Release is durable.
  Superseded ///< Finish: this holder no longer holds the key.
};

struct ClaimReply {
  std::uint64_t Id = 0;
  ClaimVerdict Verdict = ClaimVerdict::Unavailable;
  ClaimOutcome Outcome; ///< Only for Ran.
};

/// The state of a claim according to the gateway that made it.
enum class HolderState {
  Held,       ///< The gateway may send the call, or has sent it.
  NotHeld,    ///< It will never send the call, or the outcome is durable.
  Gone,       ///< The process that made the claim has ended.
  Unreachable ///< The gateway did not respond in time.
};

/// An operation on the platform. At most one per range is in progress.
struct ClaimOp {
  enum class Kind { List, Get, Put, Remove };
  Kind What = Kind::List;
  std::uint64_t Segment = 0; ///< The segment; for List, those after it.
  std::uint64_t IfVersion = 0;
  ClaimSegment Value; ///< Only for Put.
};

/// The result of a platform operation.
enum class ClaimOpEnd {
  Ok,
  Refused,     ///< Conflict or not found; nothing was written.
  Unavailable, ///< The platform is unavailable; nothing was written.
  Unknown      ///< A write may or may not take effect.
};

struct ClaimArrived {
  ClaimRequest Request;
};
struct ClaimOpDone {
  struct Object {
    std::uint64_t Segment = 0;
    std::uint64_t Version = 0;
    ClaimSegment Value;
  };
  ClaimOpEnd End = ClaimOpEnd::Unknown;
  std::uint64_t Version = 0;   ///< The new version, after a successful Put.
  std::vector<Object> Objects; ///< After a List, in order, or a Get.
  bool More = false;
  std::uint64_t Era = 0; ///< Of the platform at the end of the operation.
};
struct HolderAnswered {
  std::string Holder;
  HolderState State = HolderState::Unreachable;
};
/// The platform has answered in a new era. The result of an operation that was
/// in progress is still reported.
struct ClaimEraChanged {};
/// The timer set by ClaimActions::WakeAt has expired, or retention is due.
struct ClaimWake {};

using ClaimEvent = std::variant<ClaimArrived, ClaimOpDone, HolderAnswered,
                                ClaimEraChanged, ClaimWake>;

struct ClaimActions {
  std::optional<ClaimOp> Op;
  std::vector<ClaimReply> Replies;
  std::set<std::string> QueryHolders;
  std::optional<TimePoint> WakeAt;
};

/// The current time of the steady and the wall clock.
struct ClaimTime {
  TimePoint Now;
  std::int64_t WallMs = 0;
};

/// The state of the log of one range. Modified only by apply().
struct ClaimLog {
  struct Waiting {
    ClaimRequest Request;
    TimePoint Arrived;
    std::string QueriedHolder;               ///< The holder that was queried.
    std::optional<HolderState> HolderAnswer; ///< The response to that query.
  };
  struct Grouped {
    Waiting From;
    ClaimReply Reply;
    bool IsAppended = false; ///< The record becomes durable with the Put.
  };
  struct SealedSegment {
    std::uint64_t Version = 0;
    std::int64_t SealedMs = 0;
  };

  ClaimLogSettings Settings;
  unsigned Range = 0;

  // The view: the log as of the last read or write.
  bool Loaded = false;
  bool NeedsCreate = false;  ///< The highest segment is sealed.
  std::uint64_t Segment = 0; ///< The current segment; 0 if none.
  std::uint64_t Version = 0;
  ClaimSegment Current;
  std::size_t CurrentBytes = 0;
  std::map<std::string, std::size_t> CurrentIndex; ///< Key to last position.
  std::unordered_map<std::string, std::uint64_t> SealedIndex;
  std::map<std::uint64_t, SealedSegment> Sealed;
  std::map<std::string, ClaimRecord> Cache; ///< Read from sealed segments.
  std::uint64_t LastSealed = 0; ///< SealedIndex covers segments up to this.
  TimePoint ViewAsOf;           ///< The view was current at this time.

  // The operation in progress.
  std::optional<ClaimOp> Op;
  TimePoint OpStarted;
  std::vector<Grouped> Group; ///< Replies to send when the Put is durable.
  std::optional<ClaimOpDone::Object> Tail; ///< The last object listed so far.
  TimePoint ListStarted;

  // Recovery after a restoration of the platform.
  std::uint64_t Era = 0; ///< Of the view.
  struct RecentRecord {
    ClaimRecord Record;
    TimePoint Written;
    std::size_t Bytes = 0;
  };
  std::deque<RecentRecord> Recent; ///< Records of this gateway, oldest first.
  std::size_t RecentBytes = 0;
  bool NeedsRecovery = false; ///< The view must be compared with Recent.
  bool IsOpOutdated = false;  ///< Op began in an earlier era.
  TimePoint DecidesFrom;      ///< RecoveryDelay after the era changed.

  std::deque<Waiting> Queue;
  TimePoint NextWrite;
  TimePoint RetryAt;
  Duration Backoff{};
};

/// Applies \p Event to \p Log at \p Time and returns the resulting actions.
ClaimActions apply(ClaimLog &Log, const ClaimEvent &Event,
                   const ClaimTime &Time);

/// Returns whether the log can be removed from memory without losing requests
/// or records that a restoration may take back.
inline bool isIdle(const ClaimLog &Log) {
  return Log.Queue.empty() && !Log.Op && Log.Recent.empty();
}

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CLAIMLOG_H
