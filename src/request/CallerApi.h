// The caller API of design section 7.1: authentication and the dispatch of
// requests to their runs.
//
//   CallerApi Api(Context, Config);
//   Server.handle([&](auto Request, auto Reply) { Api.handle(...); });
//
// Guarantees: every answer carries a request id; a request of one customer
// never reaches a run of another; a refusal before a run exists is "not run".

#ifndef GALENAROUTE_REQUEST_CALLERAPI_H
#define GALENAROUTE_REQUEST_CALLERAPI_H

#include "request/ModelRun.h"
#include "request/PlainRun.h"
#include "version/ConfigSource.h"

#include <functional>
#include <nlohmann/json_fwd.hpp>

namespace galenaroute {

/// What callers see of a daemon that is stopping.
enum class ServingState {
  Serving,
  Withdrawn, ///< Not among the entries; still serves.
  Finishing, ///< Takes no new requests.
};

/// One address that callers may use.
struct EntryAddress {
  std::string Address;
  std::string Zone;
};

/// The parts of the answers that the daemon supplies.
struct CallerApiHooks {
  std::function<std::vector<EntryAddress>()> Entries;
  std::function<ServingState()> State;
  std::function<void()> Drain;
  /// Adds what other parts report to the answer of /v1/status.
  std::function<void(nlohmann::json &)> AddStatus;
};

class CallerApi {
public:
  CallerApi(RequestContext &Context, const ConfigSource &Config,
            CallerApiHooks Hooks);

  /// Answers one request, now or later.
  void handle(HttpRequest Request, const std::shared_ptr<HttpReply> &Http);

private:
  void dispatch(HttpRequest &Request, CallerReply &Reply, bool OwnId);
  void dispatchOperator(const HttpRequest &Request, CallerReply &Reply);
  void prompt(const HttpRequest &Request, CallerReply &Reply, PromptApi Api);
  void service(HttpRequest &Request, CallerReply &Reply, bool OwnId);

  /// Returns the request of the customer that \p Request authenticates;
  /// throws an Error otherwise or when no more requests are taken.
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
