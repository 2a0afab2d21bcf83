// Executes one open request by driving the state machine of Attempt.h.
//
// A run converts events of the caller, the upstream and its timer into events
// for stepAttempt() and executes the resulting actions. The subclasses ModelRun
// and PlainRun implement the actions that depend on the kind of service.
//
// Guarantees: every run ends, and is then destroyed from the event loop, never
// from within its own callbacks. A run uses one configuration throughout.

#ifndef GALENAROUTE_REQUEST_REQUESTRUN_H
#define GALENAROUTE_REQUEST_REQUESTRUN_H

#include "connection/Engine.h"
#include "process/DaemonSettings.h"
#include "process/Dispatcher.h"
#include "process/EventLoop.h"
#include "process/Metrics.h"
#include "process/Timeline.h"
#include "request/Attempt.h"
#include "request/CallerReply.h"
#include "request/ClaimGate.h"
#include "request/RetryBudget.h"
#include "version/Configuration.h"

#include <deque>
#include <map>
#include <memory>

namespace galenaroute {

class OpenRequests;

/// The services of the process that requests use. Outlives all requests.
struct RequestContext {
  const DaemonSettings &Settings;
  EventLoop &Loop;
  HttpClient &Http;
  Engine &Engines;
  Dispatcher &Dispatch;
  ClaimGate &Claims;
  Timeline &Events;
  Metrics &Stats;
  OpenRequests &Open;
  RetryBudget &Retries;
};

/// One authenticated request to a service.
struct RequestInfo {
  ConfigurationPtr Config;
  std::string Customer;
  std::string Service;
  TimePoint Arrived;
  CallerReply Reply;

  const std::string &id() const { return this->Reply.requestId(); }
};

class RequestRun {
public:
  virtual ~RequestRun();
  RequestRun(const RequestRun &) = delete;
  RequestRun &operator=(const RequestRun &) = delete;

  /// Starts the run. Must be called once.
  void start() { this->post(attempt::Start{}); }

  const std::string &customer() const { return this->Info.Customer; }

  /// Returns whether the run streams \p Attempt.
  bool hasAttempt(std::string_view Attempt) const {
    return this->State.Attempt == Attempt;
  }

  /// Ends the run because another request of its caller resumes its stream.
  void takeOver();

protected:
  RequestRun(RequestContext &Context, RequestInfo Info, AttemptState State);

  /// Handles \p Event now, or after the event that is being handled.
  void post(AttemptEvent Event);

  /// Executes an action that depends on the kind of service.
  virtual void execute(const AttemptAction &Action) = 0;

  /// Chooses an upstream through \p Ticket and posts the result.
  void choose(DispatchTicket &Ticket);

  /// Reports to \p Ticket how a connection to an upstream ended.
  static void report(DispatchTicket &Ticket, const HttpResult &Result);

  /// Returns the address of the upstream \p Name of this request's service, or
  /// null if there is none.
  const SocketAddress *addressOf(std::string_view Name) const;

  const ServiceConfig &service() const {
    return *this->Info.Config->findService(this->Info.Service);
  }

  RequestContext &Context;
  RequestInfo Info;
  AttemptState State;
  int Priority = 0; ///< The engine priority from the last choice.

private:
  void handle(const AttemptAction &Action);
  void record(const AttemptAction &Action);
  void fail(ErrorKind Kind);
  void armTimer();
  void endIfFinished();

  std::deque<AttemptEvent> Queue;
  bool IsStepping = false;
  bool HasEnded = false;
  std::string Outcome = "caller_left";
  /// Why no upstream was chosen, for the error response.
  std::optional<AdmissionRefusal> Refusal;
  sigc::connection Timer;
  sigc::connection CallerClosed;
};

/// The open requests of the process.
class OpenRequests {
public:
  OpenRequests(EventLoop &Loop, Metrics &Stats) : Loop(Loop), Stats(Stats) {}
  ~OpenRequests();

  void add(std::unique_ptr<RequestRun> Run);

  /// Destroys \p Run from the event loop, after its callbacks have returned.
  void remove(const RequestRun *Run);

  /// Returns the run of \p Customer that streams \p Attempt, or null if there
  /// is none.
  RequestRun *findStream(std::string_view Customer, std::string_view Attempt);

  std::size_t count() const { return this->Runs.size(); }
  int countOf(const std::string &Customer) const;

  /// Emitted when the last request has ended.
  sigc::signal<void()> Emptied;

private:
  EventLoop &Loop;
  Metrics &Stats;
  std::map<const RequestRun *, std::unique_ptr<RequestRun>> Runs;
  std::map<std::string, int> ByCustomer;
  std::vector<std::unique_ptr<RequestRun>> Ended;
  sigc::connection Collect;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_REQUESTRUN_H
