#include "process/ErrorKind.h"

#include <array>
#include <cassert>
#include <nlohmann/json.hpp>

namespace galenaroute {

static constexpr std::array<ErrorRow, 23> Rows = {{
    {ErrorKind::BadRequest, 400, "bad_request", RunState::NotRun, false},
    {ErrorKind::Unauthenticated, 401, "unauthenticated", RunState::NotRun,
     false},
    {ErrorKind::Forbidden, 403, "forbidden", RunState::NotRun, false},
    {ErrorKind::NotFound, 404, "not_found", RunState::NotRun, false},
    {ErrorKind::TooLarge, 413, "too_large", RunState::NotRun, false},
    {ErrorKind::Timeout, 408, "timeout", RunState::NotRun, false},
    {ErrorKind::Overloaded, 503, "overloaded", RunState::NotRun, true},
    {ErrorKind::CustomerLimit, 429, "customer_limit", RunState::NotRun, true},
    {ErrorKind::NoUpstream, 503, "no_upstream", RunState::NotRun, true},
    {ErrorKind::NotReady, 503, "not_ready", RunState::NotRun, true},
    {ErrorKind::Draining, 503, "draining", RunState::NotRun, true},
    {ErrorKind::PlatformUnavailable, 503, "platform_unavailable",
     RunState::NotRun, true},
    {ErrorKind::Conflict, 409, "conflict", RunState::NotRun, false},
    {ErrorKind::DuplicateInProgress, 409, "duplicate_in_progress",
     RunState::MayHaveRun, true},
    {ErrorKind::DuplicateMayHaveRun, 409, "duplicate_may_have_run",
     RunState::MayHaveRun, false},
    {ErrorKind::DuplicateRan, 409, "duplicate_ran", RunState::Ran, false},
    {ErrorKind::OutcomeUnknown, 502, "outcome_unknown", RunState::MayHaveRun,
     false},
    {ErrorKind::UpstreamFailed, 502, "upstream_failed", RunState::MayHaveRun,
     true},
    {ErrorKind::UpstreamRefused, 502, "upstream_refused", RunState::NotRun,
     true},
    {ErrorKind::StreamLost, 502, "stream_lost", RunState::MayHaveRun, true},
    {ErrorKind::CrashesUpstreams, 422, "crashes_upstreams",
     RunState::MayHaveRun, false},
    {ErrorKind::DeadlineExceeded, 504, "deadline_exceeded",
     RunState::MayHaveRun, true},
    {ErrorKind::Internal, 500, "internal", RunState::MayHaveRun, false},
}};

const ErrorRow &describeError(ErrorKind Kind) {
  const ErrorRow &Row = Rows.at(static_cast<std::size_t>(Kind));
  assert(Row.Kind == Kind && "the table follows the order of the enumeration");
  return Row;
}

std::span<const ErrorRow> allErrors() { return Rows; }

std::string_view toString(RunState Run) {
  switch (Run) {
  case RunState::NotRun:
    return "not_run";
  case RunState::MayHaveRun:
    return "may_have_run";
  case RunState::Ran:
    return "ran";
  }
  return "may_have_run";
}

std::string errorBody(ErrorKind Kind, std::string_view Message,
                      std::chrono::milliseconds RetryAfter) {
  const ErrorRow &Row = describeError(Kind);
  nlohmann::json Inner = {
      {"kind", Row.Code}, {"message", Message}, {"run", toString(Row.Run)}};
  if (Row.HasRetryAfter)
    Inner["retry_after_ms"] = RetryAfter.count();
  // Messages may quote untrusted input, so invalid UTF-8 is replaced.
  return nlohmann::json{{"error", Inner}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace galenaroute
