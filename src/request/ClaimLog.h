// Decision: at-most-once claims of one range of keys.
//
// The claims are kept in numbered segments in the platform (ClaimRecord.h).
// All records go into the highest segment by conditional updates; a segment is
// sealed when it is large, and the next one is created on the condition that
// it does not exist.
//
//   ClaimLog Log(Settings, Range);
//   ClaimActions Actions = apply(Log, ClaimArrived{Request}, Time);
//   ... carry out Actions.Op, then apply(Log, OpFinished{...}, Time)
//
// Guarantees, for any number of daemons that apply this to one range at the
// same time, with any pauses between a decision and its write:
// - Granted is answered only for a claim that was read in, or written to, the
//   segment under the version on which the decision was based, so two holders
//   never hold a key at once.
// - A write whose outcome is unknown, or that conflicts, is followed by a read
//   and a new decision; nothing is concluded from the lost reply. The write
//   may still land later: then the claim in it is found by a later read.
// - A claim that is found to be held by another request is passed on only when
//   the daemon that made it says that it will never send the call.
// - Unavailable says nothing about the log: the claim may become durable.
//   Its holder must not send.
// - Memory is bounded by MaxWaiting, MaxIndexedKeys and the size of a segment.
//
// Retention goes by the wall clocks of the daemons, which must agree to within
// a small part of it.

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
  /// Every append writes the whole segment, so its size is the cost of a
  /// write; at 32 KB about 200 claims share the cost of sealing.
  std::size_t SegmentBytes = 32 << 10;
  /// With SegmentBytes this stays far below the platform's limit of 1 MB.
  std::size_t MaxGroupBytes = 192 << 10;
  std::size_t MaxWaiting = 1000;
  /// About 4 MB. When it is reached, new keys are refused until retention
  /// removes old ones; forgetting a key early could run its call twice.
  std::size_t MaxIndexedKeys = 60000;
  /// Keys of sealed segments that were read for a repeat.
  std::size_t MaxCachedRecords = 256;
  Duration GroupDelay = std::chrono::milliseconds(3);
  /// 16 ranges at this interval make 320 writes/s at most, whatever the
  /// number of calls; the platform sustains several hundred.
  Duration WriteInterval = std::chrono::milliseconds(50);
  Duration MinBackoff = std::chrono::milliseconds(100);
  Duration MaxBackoff = std::chrono::seconds(2);
  Duration Retention = std::chrono::hours(24);
};

/// What is asked of the log.
enum class ClaimAsk { Claim, Finish, Release };

struct ClaimRequest {
  std::uint64_t Id = 0; ///< Chosen by the shell; returned in the reply.
  ClaimAsk Ask = ClaimAsk::Claim;
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
  Stored,    ///< The finish or release is durable.
  Superseded ///< Finish: the key is no longer held by this holder.
};

struct ClaimReply {
  std::uint64_t Id = 0;
  ClaimVerdict Verdict = ClaimVerdict::Unavailable;
  ClaimOutcome Outcome; ///< Only for Ran.
};

/// What the daemon that made a claim says about it.
enum class HolderState {
  Held,       ///< It may send the call, or has sent it.
  NotHeld,    ///< It will never send the call, or its finish is durable.
  Gone,       ///< The process that made the claim has ended.
  Unreachable ///< No answer in time.
};

/// A call to the platform. One at a time is underway per range.
struct ClaimOp {
  enum class Kind { List, Get, Put, Remove };
  Kind What = Kind::List;
  std::uint64_t Segment = 0; ///< List: those after it. Else: this one.
  std::uint64_t IfVersion = 0;
  ClaimSegment Value; ///< Only for Put.
};

/// How a call ended, reduced to what matters here.
enum class ClaimOpEnd {
  Ok,
  Refused, ///< Conflict or not found: nothing was written.
  Unavailable,
  Unknown
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
  std::uint64_t Version = 0;   ///< After a Put that ended Ok.
  std::vector<Object> Objects; ///< After a List, in order, or a Get.
  bool More = false;
};
struct HolderAnswered {
  std::string Holder;
  HolderState State = HolderState::Unreachable;
};
/// A wake-up, and the occasion for retention.
struct ClaimWake {};

using ClaimEvent =
    std::variant<ClaimArrived, ClaimOpDone, HolderAnswered, ClaimWake>;

struct ClaimActions {
  std::optional<ClaimOp> Op;
  std::vector<ClaimReply> Replies;
  std::set<std::string> AskHolders;
  std::optional<TimePoint> WakeAt;
};

/// Now, by both clocks.
struct ClaimTime {
  TimePoint Now;
  std::int64_t WallMs = 0;
};

/// The whole state of the decision. Change it only through apply().
struct ClaimLog {
  struct Waiting {
    ClaimRequest Request;
    TimePoint Arrived;
    std::string Asked;                 ///< The holder that was asked about.
    std::optional<HolderState> Answer; ///< Its answer.
  };
  struct Grouped {
    Waiting From;
    ClaimReply Reply;
  };
  struct SealedSegment {
    std::uint64_t Version = 0;
    std::int64_t SealedMs = 0;
  };

  ClaimLogSettings Settings;
  unsigned Range = 0;

  // The view: what the last read or write showed.
  bool Loaded = false;
  bool NeedsCreate = false;  ///< The highest segment is sealed.
  std::uint64_t Segment = 0; ///< The current one; 0: none yet.
  std::uint64_t Version = 0;
  ClaimSegment Current;
  std::size_t CurrentBytes = 0;
  std::map<std::string, std::size_t> CurrentIndex; ///< Key to last position.
  std::unordered_map<std::string, std::uint64_t> SealedIndex;
  std::map<std::uint64_t, SealedSegment> Sealed;
  std::map<std::string, ClaimRecord> Cache; ///< Read from sealed segments.
  std::uint64_t LastSealed = 0; ///< All up to it are in SealedIndex.
  TimePoint ViewAsOf;           ///< The view was current at this time.

  // The call underway.
  std::optional<ClaimOp> Op;
  TimePoint OpStarted;
  std::vector<Grouped> Group; ///< Answered when the Put is durable.
  std::optional<ClaimOpDone::Object> Tail; ///< The last object of a List.
  TimePoint ListStarted;

  std::deque<Waiting> Queue;
  TimePoint NextWrite;
  TimePoint RetryAt;
  Duration Backoff{};
};

/// Takes \p Event into \p Log at \p Time and returns what follows from it.
ClaimActions apply(ClaimLog &Log, const ClaimEvent &Event,
                   const ClaimTime &Time);

/// Returns whether the log can be dropped from memory without loss.
inline bool isIdle(const ClaimLog &Log) { return Log.Queue.empty() && !Log.Op; }

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CLAIMLOG_H
