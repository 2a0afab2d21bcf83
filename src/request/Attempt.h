// The state machine of one request over its attempts at upstreams.
//
//   AttemptStep Step =
//       stepAttempt(std::move(State), attempt::Start{}, Now, RetryAllowed);
//   for (const AttemptAction &Each : Step.Actions) ...   // in order
//   // at nextWake(Step.State): send attempt::Tick{}
//
// An attempt is one run of the request at one upstream; a connection carries an
// attempt, or the rest of one when a stream is resumed. The caller of
// stepAttempt() performs all I/O: it executes the actions and reports the
// results as events.
//
// Guarantees, for any order of events:
// - the delivered text is a prefix of the answer of one attempt, and Complete
//   follows only if that attempt reported its end and no text is missing;
// - exactly one of Complete, Replay and Fail is emitted, unless the caller has
//   disconnected;
// - a call that is not repeatable is sent again only while it is known that no
//   byte of it reached the kernel;
// - silence alone ends nothing that may be repeated: a silent connection stays
//   open while another one is tried, the first that goes on is continued, and
//   the others are closed;
// - Fail carries a kind whose table row says "not run" only when every send
//   failed before a byte was sent, or was refused by an engine before running.

#ifndef GALENAROUTE_REQUEST_ATTEMPT_H
#define GALENAROUTE_REQUEST_ATTEMPT_H

#include "process/Clock.h"
#include "process/ErrorKind.h"
#include "request/ClaimGate.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace galenaroute {

/// Limits and properties of a request, fixed when it begins.
struct AttemptPolicy {
  /// Model engines stream numbered text and can resume it; plain services
  /// return one complete answer.
  bool Model = true;
  bool Repeatable = true;
  bool Streaming = false; ///< Text is delivered as it arrives.
  bool NeedsClaim = false;
  int MaxSends = 3;
  /// Maximum consecutive resumes without new text; the attempt then counts as
  /// lost.
  int MaxEmptyResumes = 3;
  Duration Stall = std::chrono::seconds(2);
  Duration ResumeDelay = std::chrono::milliseconds(50); ///< Doubles each time.
  /// How long the run of a streamed answer continues after its caller
  /// disconnected, so that the caller can resume it.
  Duration Linger = std::chrono::seconds(2);
  /// Deadline of a complete answer, or of the first text of a stream.
  TimePoint Deadline = TimePoint::max();
  /// Deadline of the whole stream.
  TimePoint StreamDeadline = TimePoint::max();
  /// How long a caller may block on flow control.
  Duration MaxPause = std::chrono::seconds(30);
  std::size_t MaxAnswerBytes = 8 << 20; ///< Limit of collected text.
};

enum class AttemptPhase {
  Claiming,
  Choosing,
  Connected, ///< A connection is open or being opened.
  Waiting,   ///< Backing off before a resume.
  Releasing, ///< Releasing the claim of a call that was not sent.
  Lingering, ///< The caller disconnected; the run continues for a while.
  Finished,
};

/// A connection that made no progress within the stall limit and stays open
/// while another one is tried.
struct SilentConnection {
  std::uint64_t Connection = 0;
  std::string Upstream;
  bool Resuming = false;
  int HeadStatus = 0;
};

/// The state of one request, changed only by stepAttempt().
struct AttemptState {
  AttemptPolicy Policy;
  AttemptPhase Phase = AttemptPhase::Choosing;
  std::string Upstream;         ///< Of the current attempt.
  std::string Attempt;          ///< Id of the current attempt; empty: none.
  std::uint64_t Offset = 0;     ///< Where the next text of the attempt starts.
  std::string Text;             ///< Collected text, if not streaming.
  bool TextDelivered = false;   ///< The caller has text of the attempt.
  std::uint64_t Connection = 0; ///< Number of the current one; 0: none.
  std::uint64_t LastConnection = 0; ///< The highest number used so far.
  bool Resuming = false; ///< Whether the current connection is a resume.
  int HeadStatus = 0;    ///< Status of the current connection; 0: no head yet.
  std::vector<SilentConnection> Silent;
  /// The silent connection is the current one again, after its resumes failed.
  bool ReturnedToSilent = false;
  int Sends = 0;
  int EmptyResumes = 0;
  bool MayHaveRun = false;   ///< Some send may have run.
  bool Refused = false;      ///< Some send was refused before running.
  bool ClaimHeld = false;    ///< A claim was granted and not yet finished.
  bool ClaimPending = false; ///< A claim was requested and not yet answered.
  bool CallerDisconnected = false;
  bool Paused = false; ///< The caller blocks on flow control.
  ErrorKind FailureAfterRelease = ErrorKind::NoUpstream;
  std::string
      MismatchedUpstream; ///< Upstream that last refused the weight version.
  std::vector<std::string> Avoid; ///< Upstreams that failed this request.
  TimePoint LastProgress{};
  TimePoint PausedSince{};
  TimePoint WakeAt = TimePoint::max();
};

namespace attempt {

struct Start {};
struct ClaimAnswered {
  ClaimStatus Status;
};
struct Released {
  bool Durable;
};
/// The answer to Choose.
struct Chosen {
  std::string Upstream;
  std::string Attempt; ///< 128 random bits in hex.
};
struct NoneAvailable {
  ErrorKind Kind = ErrorKind::NoUpstream;
};
struct Head {
  std::uint64_t Connection;
  int Status;
};
/// Text at \c Offset of an attempt; a line is one token, and offsets count
/// tokens.
struct Line {
  std::uint64_t Connection;
  std::string Attempt;
  std::uint64_t Offset;
  std::string Text;
};
/// The engine's report that all text of the attempt was sent.
struct Done {
  std::uint64_t Connection;
  std::string Attempt;
  std::uint64_t Tokens;   ///< Of the whole answer.
  bool IsComplete = true; ///< False: the run ended early, as after a cancel.
};
/// A malformed or unknown reply line.
struct BadLine {
  std::uint64_t Connection;
};
/// The end of a connection, complete or truncated.
struct Ended {
  std::uint64_t Connection;
  bool Complete;
  bool BytesSent; ///< Whether the kernel took any byte of the call.
  int Status;
};
struct Tick {};
struct CallerLeft {};
/// The caller reconnected and resumed the run with another request.
struct TakenOver {};
struct Paused {};
struct Unpaused {};

} // namespace attempt

using AttemptEvent =
    std::variant<attempt::Start, attempt::ClaimAnswered, attempt::Released,
                 attempt::Chosen, attempt::NoneAvailable, attempt::Head,
                 attempt::Line, attempt::Done, attempt::BadLine, attempt::Ended,
                 attempt::Tick, attempt::CallerLeft, attempt::TakenOver,
                 attempt::Paused, attempt::Unpaused>;

/// An action for the caller of stepAttempt().
struct AttemptAction {
  enum class Kind {
    Claim,
    Release,
    StoreOutcome, ///< Finish the claim with the outcome MayHaveRun.
    Choose,       ///< Choose an upstream that is not in State.Avoid.
    SpendRetry,   ///< Take one retry from the budget.
    Send,         ///< Send the whole request on Connection.
    Resume,       ///< Resume the attempt from Offset on a new Connection.
    Close,        ///< Close Connection; its later events are ignored.
    Cancel,       ///< Cancel Attempt at Upstream.
    DeliverText,  ///< Deliver Text to a streaming caller; Offset follows it.
    Complete,     ///< Complete the answer; Text is the collected text.
    Replay,       ///< Answer with the stored outcome of the claim.
    Fail,         ///< Answer with Error.
    Record,       ///< Add Text to the timeline under Name.
  };
  Kind What = Kind::Record;
  std::uint64_t Connection = 0;
  std::uint64_t Offset = 0;
  std::string Upstream;
  std::string Attempt;
  std::string Text;
  std::string Name;
  ErrorKind Error = ErrorKind::Internal;
  bool MayHaveRun = false;
};

struct AttemptStep {
  AttemptState State;
  std::vector<AttemptAction> Actions;
};

/// Returns the state of a request that has not started.
AttemptState newAttempt(const AttemptPolicy &Policy);

/// Returns the state of a request whose caller has received the text of
/// \p Attempt up to \p Offset.
AttemptState resumedAttempt(const AttemptPolicy &Policy, std::string Upstream,
                            std::string Attempt, std::uint64_t Offset);

/// Returns the next state and the actions for \p Event at \p Now.
/// \p RetryAllowed is whether the retry budget has a retry left.
AttemptStep stepAttempt(AttemptState State, const AttemptEvent &Event,
                        TimePoint Now, bool RetryAllowed);

/// Returns when the next Tick is due, or TimePoint::max() for none.
TimePoint nextWake(const AttemptState &State);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_ATTEMPT_H
