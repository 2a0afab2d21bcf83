// Forwards one call to a plain service.
//
// A non-idempotent call is sent at most once, on a new connection. If it has an
// idempotency key, the key is claimed first; see ClaimGate.h.

#ifndef GALENAROUTE_REQUEST_PLAINRUN_H
#define GALENAROUTE_REQUEST_PLAINRUN_H

#include "request/RequestRun.h"

#include <optional>
#include <string>

namespace galenaroute {

/// The call to forward.
struct PlainCall {
  std::string Method;
  std::string Target; ///< Path within the service and query, percent-encoded.
  HttpHeaders Headers;
  std::string Body;
  std::string Key; ///< The idempotency key; may be empty.
  bool Repeatable = false;
};

/// Returns \p Path in the normal form that route declarations are matched
/// against: decoded and without empty segments. Throws Error(BadRequest) on `.`
/// and `..` segments, which could match the declaration of another path.
std::string declaredPath(std::string_view Path);

/// Returns the fields of \p Headers to forward. This excludes hop-by-hop fields
/// and the customer's credentials.
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
  HttpResult Result; ///< Of the last exchange that ended.
  /// The open connections; all but the last one are silent.
  std::map<std::uint64_t, std::unique_ptr<HttpExchange>> Exchanges;
  DispatchTicket Ticket;
  std::uint64_t TicketConnection = 0; ///< The connection that Ticket tracks.
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_PLAINRUN_H
