// Decision: the course of one request over its attempts at upstreams.
//
// An attempt is one run of the request at one upstream; a connection carries
// an attempt, or the rest of one when a stream is resumed. The shell turns
// what happens into events, and carries out the actions in order:
//
//   AttemptStep Step = stepAttempt(std::move(State), attempt::Start{}, Now,
//   ...); for (const AttemptAction &Each : Step.Actions) ... wake up at
//   nextWake(Step.State) with attempt::Tick{}
//
// Guarantees, for any order of events:
// - the text handed on is a prefix of the answer of one attempt, and Whole
//   follows only when that attempt reported its end and no text is missing;
// - exactly one of Whole, Replay and Fail is emitted, unless the caller left;
// - a call that is not repeatable is sent again only while it is known that no
//   byte of it reached the kernel;
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

/// What the request allows, fixed when it begins.
struct AttemptPolicy {
  /// Model engines stream numbered text and resume it; plain services give one
  /// whole answer.
  bool Model = true;
  bool Repeatable = true;
  bool Streaming = false; ///< Text is handed on as it comes.
  bool NeedsClaim = false;
  int MaxSends = 3;
  /// Connections in a row that may bring nothing before the attempt counts as
  /// lost.
  int MaxSilentResumes = 3;
  Duration Stall = std::chrono::seconds(2);
  Duration ResumeDelay = std::chrono::milliseconds(50); ///< Doubles each time.
  /// How long the run of a streamed answer is kept at the engine after its
  /// caller left, so that the caller can resume it.
  Duration Linger = std::chrono::seconds(2);
  /// For the whole answer, or for the first text of a streamed one.
  TimePoint Deadline = TimePoint::max();
  TimePoint LastEnd = TimePoint::max(); ///< For streamed answers as a whole.
  /// How long a caller may fail to take text.
  Duration MaxPause = std::chrono::seconds(30);
  std::size_t MaxAnswerBytes = 8 << 20; ///< For text that is collected.
};

enum class AttemptPhase {
  Claiming,
  Choosing,
  Connected, ///< A connection is open or being opened.
  Waiting,   ///< For the time to resume.
  Releasing, ///< The claim of a call that was not sent.
  Lingering, ///< The caller left; the engine's run is kept for a while.
  Finished,
};

/// The state of one request. Plain data; only stepAttempt() changes it.
struct AttemptState {
  AttemptPolicy Policy;
  AttemptPhase Phase = AttemptPhase::Choosing;
  std::string Upstream;         ///< Of the current attempt.
  std::string Attempt;          ///< Its id; empty: none yet.
  std::uint64_t Offset = 0;     ///< Where the next text of the attempt starts.
  std::string Text;             ///< Collected, when not streaming.
  bool TextGiven = false;       ///< Whether the caller has text of the attempt.
  std::uint64_t Connection = 0; ///< The current one; 0: none.
  std::uint64_t LastConnection = 0; ///< Numbers used so far.
  bool Resuming = false; ///< Whether the current connection is a resume.
  int HeadStatus = 0;    ///< Of the current connection; 0: no head yet.
  int Sends = 0;
  int SilentResumes = 0;
  bool MayHaveRun = false;   ///< Some send may have run.
  bool Refused = false;      ///< Some send was refused before running.
  bool ClaimHeld = false;    ///< A granted claim that was not finished.
  bool ClaimPending = false; ///< The answer to a claim is due.
  bool CallerGone = false;
  bool Paused = false; ///< The caller does not take text.
  ErrorKind FailureAfterRelease = ErrorKind::NoUpstream;
  std::string Mismatched; ///< Upstream that last refused the weight version.
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
/// One token of text; offsets count tokens.
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
  std::uint64_t Tokens; ///< Of the whole answer.
  bool Whole = true;    ///< False: the run was ended early, as by a cancel.
};
/// A reply line that is none of the above.
struct BadLine {
  std::uint64_t Connection;
};
/// The end of a connection, whole or not.
struct Ended {
  std::uint64_t Connection;
  bool Complete;
  bool BytesSent; ///< Whether the kernel took any byte of the call.
  int Status;
};
struct Tick {};
struct CallerLeft {};
/// The caller came back and resumed the run over another request.
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

/// One thing for the shell to do.
struct AttemptAction {
  enum class Kind {
    Claim,
    Release,
    StoreOutcome, ///< Finish the claim; MayHaveRun tells how.
    Choose,       ///< Choose an upstream that is not in State.Avoid.
    SpendRetry,   ///< Take one retry from the budget.
    Send,         ///< The whole request, on Connection.
    Resume,       ///< The attempt from Offset, on a new Connection.
    Close,        ///< Connection; its events may still come and are ignored.
    Cancel,       ///< Attempt at Upstream.
    GiveText,     ///< Text to a streaming caller; Offset follows it.
    Whole,        ///< End the answer as whole; Text is the collected text.
    Replay,       ///< Answer with the stored outcome of the claim.
    Fail,         ///< Answer with Error.
    Record,       ///< Put Text on the time line under Name.
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

/// Returns the state of a request whose caller has the text of \p Attempt up
/// to \p Offset.
AttemptState resumedAttempt(const AttemptPolicy &Policy, std::string Upstream,
                            std::string Attempt, std::uint64_t Offset);

/// Returns what follows from \p Event at \p Now. \p RetryAllowed tells whether
/// the retry budget has a retry left.
AttemptStep stepAttempt(AttemptState State, const AttemptEvent &Event,
                        TimePoint Now, bool RetryAllowed);

/// Returns when a Tick is due, or TimePoint::max().
TimePoint nextWake(const AttemptState &State);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_ATTEMPT_H
