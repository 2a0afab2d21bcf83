// Accepts callers' connections and hands over whole requests.
//
//   CallListener Listener(Loop, Address, Limits,
//                         [](std::shared_ptr<IncomingCall> Call) { ... });
//
// A request is handed over once its body is complete. Requests that are
// malformed or too large are answered here and their connection is closed.
//
// Some connections beyond the limit are accepted so that their calls can be
// refused with an answer. Further ones wait in the queue of the socket until a
// caller has received its refusal.
//
// Guarantees: the answer to a request reaches only the connection on which the
// request came, and only while that request is the one being answered;
// CallerLeft is emitted at most once, when the caller closes or resets the
// connection before its answer is complete, and never inside a method of
// IncomingCall. Bytes that a caller sends meanwhile wait in a bounded buffer.
// With a memory budget, what each connection holds is charged. A request for
// which there is no room is answered with 503 and not handed over; a connection
// that holds much and makes no progress gives way to it. An answer for which
// there is no room closes its connection.

#ifndef GALENAROUTE_CONNECTION_CALLLISTENER_H
#define GALENAROUTE_CONNECTION_CALLLISTENER_H

#include "connection/BindRetry.h"
#include "connection/HttpParser.h"
#include "process/EventLoop.h"
#include "process/MemoryBudget.h"

#include <memory>
#include <optional>
#include <set>
#include <span>

struct evconnlistener;

namespace galenaroute {

class CallerConnection;

/// What a caller may send and how long it may take.
struct CallerLimits {
  HttpParserLimits Message;
  Duration HeadTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
  /// Calls on connections beyond this limit are marked, see
  /// IncomingCall::IsBeyondLimit.
  std::size_t MaxConnections = 3000;
  /// Connections beyond the limit that are open at a time.
  std::size_t MaxRefused = 64;
  /// Charged with what connections hold; null if that is not limited. Must not
  /// change, and must outlive the listener.
  MemoryBudget *Memory = nullptr;
  MemoryPart Part = MemoryPart::Calls;
  /// Whether the kernel's queues of the connections have a fixed size. Applies
  /// from when the address is taken.
  bool LimitsQueues = false;
  /// A connection without progress for this long may give way to others.
  Duration GiveWayAfter = std::chrono::seconds(1);
};

/// A request that waits for its answer.
class IncomingCall {
public:
  using Header = HttpHeaders::Field;

  HttpHead Head;
  std::string Body;
  TimePoint Arrived; ///< When the first byte of the request was read.
  /// The connection exceeds the limit of connections, so the call should be
  /// refused. The connection closes after the answer.
  bool IsBeyondLimit = false;
  /// The body was not kept, see CallListener::setBodyFilter().
  bool IsBodyDropped = false;

  sigc::signal<void()> CallerLeft;
  /// Emitted when unsentBytes() has fallen to LowBacklog or below, never inside
  /// a method of IncomingCall.
  sigc::signal<void()> BacklogSent;
  static constexpr std::size_t LowBacklog = 256 << 10;

  /// Sends a complete answer. Returns false if there is no room for it and the
  /// connection was closed instead.
  bool send(int Status, const HttpHeaders &Headers, std::string_view Body);

  /// Begins an answer that ends with finish() or abort().
  void begin(int Status, const HttpHeaders &Headers);
  void write(std::string_view Bytes);
  void finish();

  /// Ends the connection so that the answer is seen to be incomplete.
  void abort();

  bool isOpen() const { return !this->Connection.expired(); }
  /// Bytes of the answer that the caller has not taken yet.
  std::size_t unsentBytes() const;
  /// Returns false if memory is short and a part of the answer is still unsent.
  /// BacklogSent is emitted once the caller takes more.
  bool mayGrow() const;

private:
  friend class CallerConnection;
  std::weak_ptr<CallerConnection> Connection;
};

class CallListener {
public:
  using Handler = std::function<void(std::shared_ptr<IncomingCall> Call)>;

  /// Listens on \p Address, as soon as it is available; see BindRetry. Throws
  /// Error if it is no address on which this process may listen.
  CallListener(EventLoop &Loop, const SocketAddress &Address,
               CallerLimits Limits, Handler OnCall);
  ~CallListener();
  CallListener(const CallListener &) = delete;
  CallListener &operator=(const CallListener &) = delete;

  /// Applies to connections from their next request on. A shorter timeout does
  /// not apply to an idle period or an answer that began before.
  void setLimits(const CallerLimits &Next);
  /// Requests whose head \p Keeps rejects are handed over without their body,
  /// which is read and dropped.
  void setBodyFilter(std::function<bool(const HttpHead &Head)> Keeps) {
    this->KeepsBody = std::move(Keeps);
  }

  /// Returns whether the address has been taken, so that callers can connect.
  bool isBound() const { return this->Binding.isBound(); }

  /// From now on each answer closes its connection.
  void closeAfterAnswers() { this->Closing = true; }
  /// Takes in the connections that wait and refuses further ones, or gives up
  /// waiting for the address. Connections that are open are still served.
  void stopAccepting();
  /// Ends the largest connection that nothing promises an answer of a running
  /// call, also one that makes progress. Returns whether there was one.
  bool shedLargest();
  /// Returns whether no request is being read or answered, or waits unread in a
  /// socket, and no caller is sending the rest of a refused one.
  bool isQuiet() const;
  /// Closes all connections, so that answers under way are seen to be
  /// incomplete.
  void abortAll();

private:
  friend class CallerConnection;
  int tryListen(const SocketAddress &Address);
  void accept(int Socket);
  void erase(const std::shared_ptr<CallerConnection> &Closed);
  void updateAccepting();
  void onAcceptError(int Reason);
  void sweep();
  void reclaimRefused();
  std::optional<std::size_t> waiting() const;
  void noteLimit();
  void checkLimitEnd(TimePoint Now);
  bool shedOne(const CallerConnection *For);
  bool shed(const CallerConnection *For, Duration MinSilence);
  void shedExcess();

  EventLoop &Loop;
  CallerLimits Limits;
  Handler OnCall;
  std::function<bool(const HttpHead &Head)> KeepsBody = [](const HttpHead &) {
    return true;
  };
  TimePoint NextShedAt; ///< No connection gives way before.
  /// Null until the address is taken and after stopAccepting().
  evconnlistener *Listener = nullptr;
  std::set<std::shared_ptr<CallerConnection>> Connections;
  bool Closing = false;
  bool IsAccepting = true;
  bool IsPaused = false; ///< Descriptors or memory are short.
  /// Of Connections, those beyond the limit.
  std::set<std::shared_ptr<CallerConnection>> BeyondLimit;
  /// A time in which the limit of connections is exceeded.
  struct LimitPeriod {
    TimePoint Since;
    TimePoint LastAt; ///< When a connection was last beyond the limit.
    std::size_t Refused = 0;
    std::size_t MostWaiting = 0;
  };
  std::optional<LimitPeriod> AtLimit;
  sigc::connection SweepTimer;
  sigc::connection PauseTimer;
  sigc::connection ReclaimTimer;
  BindRetry Binding;
};

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_CALLLISTENER_H
