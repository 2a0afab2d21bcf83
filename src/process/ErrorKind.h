// Error kinds and the table that maps each kind to its error response.
//
// Every failure reported to a caller has exactly one kind. Its table row gives
// the HTTP status, the code in the error body, whether the call ran, and
// whether a later retry can succeed:
//
//   throw Error(ErrorKind::Overloaded, "queue of class short is full");
//   const ErrorRow &Row = describeError(ErrorKind::Overloaded);
//
// Guarantee: RunState::NotRun is used only for kinds raised before any byte of
// the call was sent to an upstream, or when every attempt is known to have done
// no work.

#ifndef GALENAROUTE_PROCESS_ERRORKIND_H
#define GALENAROUTE_PROCESS_ERRORKIND_H

#include <chrono>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace galenaroute {

/// Whether a failed call has run at an upstream.
enum class RunState { NotRun, MayHaveRun, Ran };

/// All error kinds. Each has one row in the table of describeError().
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

/// The error response for one kind.
struct ErrorRow {
  ErrorKind Kind;
  int HttpStatus;
  std::string_view Code; ///< `error.kind` in the response body.
  RunState Run;
  bool HasRetryAfter; ///< Whether the response has a Retry-After header.
};

/// Returns the row of \p Kind.
const ErrorRow &describeError(ErrorKind Kind);

/// Returns all rows, in the order of the enumeration.
std::span<const ErrorRow> allErrors();

/// Returns `not_run`, `may_have_run` or `ran`.
std::string_view toString(RunState Run);

/// The exception type used throughout the system.
class Error : public std::runtime_error {
public:
  Error(ErrorKind Kind, const std::string &Message,
        std::chrono::milliseconds RetryAfter = {})
      : std::runtime_error(Message), Kind(Kind), RetryAfter(RetryAfter) {}

  ErrorKind Kind;
  /// Suggested delay before a retry; zero if there is no estimate.
  std::chrono::milliseconds RetryAfter;
};

/// Returns the JSON body of the error response:
/// `{"error":{"kind","message","run","retry_after_ms"}}`.
std::string errorBody(ErrorKind Kind, std::string_view Message,
                      std::chrono::milliseconds RetryAfter);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_ERRORKIND_H
