// The closed list of error kinds and the table from a kind to its answer.
//
// Every failure that reaches a caller has exactly one kind. The table row
// gives the HTTP status, the code string in the error body, whether the call
// ran, and whether coming back later can help:
//
//   throw Error(ErrorKind::Overloaded, "queue of class short is full");
//   const ErrorRow &Row = describeError(ErrorKind::Overloaded);
//
// Guarantee: RunState::NotRun is used only for kinds that are raised before
// any byte of the call was sent to an upstream, or after every attempt is
// known to have done no work.

#ifndef GALENAROUTE_PROCESS_ERRORKIND_H
#define GALENAROUTE_PROCESS_ERRORKIND_H

#include <chrono>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace galenaroute {

/// Whether a call that was answered with an error has run at an upstream.
enum class RunState { NotRun, MayHaveRun, Ran };

/// All kinds of error. Each has one row in the table of describeError().
enum class ErrorKind {
  BadRequest,
  Unauthenticated,
  Forbidden,
  NotFound,
  TooLarge,
  Timeout,
  Overloaded,
  CustomerLimit,
  NoUpstream,
  NotReady,
  Draining,
  PlatformUnavailable,
  Conflict,
  DuplicateInProgress,
  DuplicateMayHaveRun,
  DuplicateRan,
  OutcomeUnknown,
  UpstreamFailed,
  UpstreamRefused,
  StreamLost,
  CrashesUpstreams,
  DeadlineExceeded,
  Internal,
};

/// One row of the table: what a caller is told for a kind.
struct ErrorRow {
  ErrorKind Kind;
  int HttpStatus;
  std::string_view Code; ///< `error.kind` in the answer's body.
  RunState Run;
  bool RetryHelps; ///< Whether the answer carries a Retry-After.
};

/// Returns the row of \p Kind.
const ErrorRow &describeError(ErrorKind Kind);

/// Returns all rows, in the order of the enumeration.
std::span<const ErrorRow> allErrors();

/// Returns `not_run`, `may_have_run` or `ran`.
std::string_view toString(RunState Run);

/// The exception that all parts throw.
class Error : public std::runtime_error {
public:
  Error(ErrorKind Kind, const std::string &Message,
        std::chrono::milliseconds RetryAfter = {})
      : std::runtime_error(Message), Kind(Kind), RetryAfter(RetryAfter) {}

  ErrorKind Kind;
  /// When to come back; zero where the thrower has no estimate.
  std::chrono::milliseconds RetryAfter;
};

/// Returns the JSON body of the error answer:
/// `{"error":{"kind","message","run","retry_after_ms"}}`.
std::string errorBody(ErrorKind Kind, std::string_view Message,
                      std::chrono::milliseconds RetryAfter);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_ERRORKIND_H
