// One send of a forwarded call to an upstream, and what it has answered so far.
//
// ForwardRun makes the sends of its call and reads and changes them; see there.

#ifndef GALENAROUTE_REQUEST_FORWARDSEND_H
#define GALENAROUTE_REQUEST_FORWARDSEND_H

#include "connection/UpstreamPool.h"
#include "request/EventStream.h"
#include "request/ForwardCall.h"
#include "request/ForwardRules.h"

#include <sigc++/sigc++.h>

namespace galenaroute {

/// Enough for the loop to handle input that waits.
inline constexpr Duration UnreadInputDelay = std::chrono::milliseconds(20);

/// Interval of checks whether a call may go on at another upstream.
inline constexpr Duration SilenceCheckInterval = std::chrono::milliseconds(100);

struct ForwardSend {
  ForwardSend() = default;
  ~ForwardSend() { this->disconnectTimers(); }
  ForwardSend(const ForwardSend &) = delete;
  ForwardSend &operator=(const ForwardSend &) = delete;

  void disconnectTimers() {
    this->StallTimer.disconnect();
    this->WeightsTimer.disconnect();
    this->EndTimer.disconnect();
    this->RoomTimer.disconnect();
  }

  std::unique_ptr<UpstreamExchange> Exchange; ///< Null once it has ended.
  UpstreamPath Path;                          ///< To the upstream.
  UpstreamCause Cause = UpstreamCause::None;  ///< Of the end of its connection.
  std::string UpstreamId;
  std::uint64_t Incarnation = 0; ///< Of the upstream, see incarnationKey().
  std::string SoftwareVersion;   ///< Of the upstream at the send, as Weights.
  std::optional<std::uint64_t> Weights;
  CallAnswer Answer;
  bool HasAnswer = false;      ///< The head of the answer has been read.
  bool IsFramed = false;       ///< The answer states where it ends.
  bool HasStalledOnce = false; ///< Its stall limit was extended.
  bool IsHeldBack = false;     ///< No other is tried, see explainSilence().
  bool IsStalled = false;      ///< Another upstream was tried beside it.
  bool IsPaused = false;       ///< The upstream waits, see pauseUpstream().
  /// It was paused, so that what is read of its answer may have waited.
  bool WasPaused = false;
  bool IsBroken = false; ///< What follows in its answer is dropped.
  int Events = 0;        ///< Whole events received.
  std::string Body;
  /// What Body counts for; see ResponseBudget.
  std::optional<ResponseBudget::Charge> BodyCharge;
  std::size_t Length = 0; ///< Of the body, as the head states it.
  Duration RoomWait{};    ///< For which it was paused for lack of room.
  EventSplitter Splitter;
  /// Events without a number that came while another send may still go on.
  std::string HeldEvents;
  std::uint32_t TokensToPrefill = 0; ///< Expected when it was sent.
  /// Its work in the engine's prefill queue, until its answer begins; see
  /// UpstreamTable::noteSent().
  std::uint32_t PendingWork = 0;
  std::optional<std::size_t> Class; ///< Counted at the upstream.
  TimePoint SentAt;
  TimePoint ProgressAt;
  TimePoint HeardAt; ///< When bytes of its answer last arrived.
  /// Since when checks have found its link silent, without a break.
  std::optional<TimePoint> LinkSilentSince;
  TimePoint WithdrawnAt; ///< See ForwardRun::Withdrawn.
  /// What explained its silence when another upstream was tried beside it.
  std::optional<Silence> StalledBy;
  sigc::connection StallTimer;
  sigc::connection WeightsTimer;
  sigc::connection EndTimer;  ///< Ends it outside of its parser.
  sigc::connection RoomTimer; ///< Runs while it is paused for lack of room.
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_FORWARDSEND_H
