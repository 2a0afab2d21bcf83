// One call on its way to a plain service.
//
// A call that must not repeat is claimed first, where it has a key, and sent
// once on a new connection.

#ifndef GALENAROUTE_REQUEST_PLAINRUN_H
#define GALENAROUTE_REQUEST_PLAINRUN_H

#include "request/RequestRun.h"

#include <optional>
#include <string>

namespace galenaroute {

/// A call as it is forwarded.
struct PlainCall {
  std::string Method;
  std::string Target; ///< Path below the service and query, percent-encoded.
  HttpHeaders Headers;
  std::string Body;
  std::string Key; ///< Identifies a call that must not repeat; may be empty.
  bool Repeatable = false;
};

/// Returns \p Path below the service as declarations are matched against it:
/// decoded, and without empty segments. Throws Error(BadRequest) on `.` and
/// `..`, with which a call could be sent under another declaration.
std::string declaredPath(std::string_view Path);

/// Returns the fields of \p Headers that are passed on: neither those of the
/// connection nor the customer's credentials.
HttpHeaders forwardedHeaders(const HttpHeaders &Headers);

class PlainRun : public RequestRun {
public:
  PlainRun(RequestContext &Context, const RequestInfo &Info, PlainCall Call);

private:
  void execute(const AttemptAction &Action) override;
  void claim();
  void release();
  void storeOutcome(bool MayHaveRun);
  void send(const AttemptAction &Action);

  PlainCall Call;
  ClaimAnswer Claim;
  HttpResult Result; ///< Of the last connection that ended.
  std::unique_ptr<HttpExchange> Exchange;
  DispatchTicket Ticket;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_PLAINRUN_H
