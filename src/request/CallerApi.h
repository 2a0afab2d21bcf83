// The HTTP API for callers: authenticates requests and dispatches them to runs.
//
//   CallerApi Api(Context, Config, Hooks);
//   Server.handle([&](auto Request, auto Reply) { Api.handle(...); });
//
// Guarantees: every response carries a request id; a request of one customer
// never reaches a run of another; a request refused before its run is created
// is answered "not run".

#ifndef GALENAROUTE_REQUEST_CALLERAPI_H
#define GALENAROUTE_REQUEST_CALLERAPI_H

#include "request/ModelRun.h"
#include "request/PlainRun.h"
#include "version/ConfigSource.h"

#include <functional>
#include <nlohmann/json_fwd.hpp>

namespace galenaroute {

/// The drain state of a gateway, as reported to callers.
enum class ServingState {
  Serving,
  Withdrawn, ///< Not in the gateway list, but still serving.
  Finishing, ///< Refuses new requests.
};

/// A gateway address for callers.
struct EntryAddress {
  std::string Address;
  std::string Zone;
};

/// Functions that the daemon supplies.
struct CallerApiHooks {
  std::function<std::vector<EntryAddress>()> Entries;
  std::function<ServingState()> State;
  std::function<void()> Drain;
  /// Adds the fields of other components to the response of /v1/status.
  std::function<void(nlohmann::json &)> AddStatus;
};

class CallerApi {
public:
  CallerApi(RequestContext &Context, const ConfigSource &Config,
            CallerApiHooks Hooks);

  /// Handles one request; the response may follow asynchronously.
  void handle(HttpRequest Request, const std::shared_ptr<HttpReply> &Http);

private:
  void dispatch(HttpRequest &Request, CallerReply &Reply, bool HasCallerId);
  void dispatchOperator(const HttpRequest &Request, CallerReply &Reply);
  void prompt(const HttpRequest &Request, CallerReply &Reply, PromptApi Api);
  void service(HttpRequest &Request, CallerReply &Reply, bool HasCallerId);

  /// Authenticates \p Request and returns its RequestInfo. Throws an Error if
  /// authentication fails or no new requests are accepted.
  RequestInfo admit(const HttpRequest &Request, const CallerReply &Reply);
  void checkOperator(const HttpRequest &Request) const;
  nlohmann::json status() const;

  RequestContext &Context;
  const ConfigSource &Config;
  CallerApiHooks Hooks;
  TimePoint Started = EventLoop::now();
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CALLERAPI_H
