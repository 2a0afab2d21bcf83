// An HTTP/1.1 client on the event loop, a thin layer over evhttp.
//
//   HttpClient Client(Loop);
//   auto Exchange = Client.start(
//       HttpCallBuilder(Address).post("/v1/generate", Body).build(),
//       {.OnChunk = [](std::string_view Bytes) { ... },
//        .OnDone = [](const HttpResult &Result) { ... }});
//
// Guarantees: OnDone is called exactly once unless the exchange is destroyed
// first, and then nothing is called any more; nothing is called inside
// start(). HttpResult::BytesSent tells whether any byte of the call reached
// the kernel, so that a caller can know that the call has not run. A call is
// never sent twice by the client itself. An answer that exceeds its limit, or
// that the budget of all answers has no room for, ends its exchange.

#ifndef GALENAROUTE_CONNECTION_HTTPCLIENT_H
#define GALENAROUTE_CONNECTION_HTTPCLIENT_H

#include "connection/HttpTypes.h"
#include "connection/ResponseBudget.h"
#include "process/EventLoop.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

struct evhttp_connection;

namespace galenaroute {

/// One call, with its limits.
struct HttpCall {
  SocketAddress To;
  std::string Method = "GET";
  std::string Path = "/"; ///< With the query, percent-encoded.
  HttpHeaders Headers;
  std::string Body;
  Duration ConnectTimeout = std::chrono::milliseconds(500);
  /// The longest time without a byte from the other end.
  Duration IdleTimeout = std::chrono::seconds(10);
  /// The longest time for the whole exchange; zero means no limit.
  Duration TotalTimeout{};
  /// Of the answer.
  std::size_t MaxBodyBytes = 64 << 20;
  /// Whether an idle kept connection may be used. A kept connection may have
  /// gone silent, so calls that must not repeat use a new one.
  bool ReuseConnection = true;
};

/// Builds an HttpCall.
class HttpCallBuilder {
public:
  explicit HttpCallBuilder(SocketAddress To) { this->Call.To = std::move(To); }

  HttpCallBuilder &get(std::string Path) {
    return this->method("GET", std::move(Path), {});
  }
  HttpCallBuilder &post(std::string Path, std::string Body) {
    return this->method("POST", std::move(Path), std::move(Body));
  }
  HttpCallBuilder &put(std::string Path, std::string Body) {
    return this->method("PUT", std::move(Path), std::move(Body));
  }
  HttpCallBuilder &method(std::string Method, std::string Path,
                          std::string Body) {
    this->Call.Method = std::move(Method);
    this->Call.Path = std::move(Path);
    this->Call.Body = std::move(Body);
    return *this;
  }
  HttpCallBuilder &header(std::string_view Name, std::string_view Value) {
    this->Call.Headers.add(Name, Value);
    return *this;
  }
  HttpCallBuilder &connectTimeout(Duration Limit) {
    this->Call.ConnectTimeout = Limit;
    return *this;
  }
  HttpCallBuilder &idleTimeout(Duration Limit) {
    this->Call.IdleTimeout = Limit;
    return *this;
  }
  HttpCallBuilder &totalTimeout(Duration Limit) {
    this->Call.TotalTimeout = Limit;
    return *this;
  }
  HttpCallBuilder &maxBodyBytes(std::size_t Limit) {
    this->Call.MaxBodyBytes = Limit;
    return *this;
  }
  HttpCallBuilder &newConnection() {
    this->Call.ReuseConnection = false;
    return *this;
  }
  HttpCall build() { return std::move(this->Call); }

private:
  HttpCall Call;
};

/// How an exchange ended.
enum class HttpEnd {
  Complete,      ///< The whole answer was received.
  ConnectFailed, ///< No connection; nothing was sent.
  TimedOut,      ///< A time limit passed.
  Cut,           ///< The connection broke or the answer was malformed.
  TooLarge,      ///< The answer exceeded a limit of its size.
};

/// The end of an exchange.
struct HttpResult {
  HttpEnd End = HttpEnd::Cut;
  int Status = 0; ///< Zero when no status line was received.
  HttpHeaders Headers;
  std::string Body;       ///< Empty when OnChunk was given.
  bool BytesSent = false; ///< Whether the kernel took any byte of the call.

  bool isSuccess() const {
    return this->End == HttpEnd::Complete && this->Status >= 200 &&
           this->Status < 300;
  }
};

/// What is called as an exchange goes on. All but OnDone are optional.
struct HttpCallbacks {
  std::function<void(int Status, const HttpHeaders &Headers)> OnHead;
  std::function<void(std::string_view Bytes)> OnChunk;
  std::function<void(const HttpResult &Result)> OnDone;
};

/// A call that is underway. Destroying it cancels the call and closes its
/// connection.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  /// Stops reading the answer, so that the other end is slowed by TCP flow
  /// control. At most the bytes already received are still handed on; the idle
  /// limit does not count meanwhile.
  virtual void pauseReading() = 0;

  /// Reads on after pauseReading().
  virtual void resumeReading() = 0;
};

/// Starts calls and keeps idle connections.
class HttpClient {
public:
  /// \p Budget bounds the answers that are collected, together with those of
  /// others that share it.
  explicit HttpClient(EventLoop &Loop, std::shared_ptr<ResponseBudget> Budget =
                                           std::make_shared<ResponseBudget>());
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts \p Call.
  [[nodiscard]] std::unique_ptr<HttpExchange> start(HttpCall Call,
                                                    HttpCallbacks Callbacks);

  /// Starts \p Call and keeps it alive until it ends.
  void startDetached(HttpCall Call,
                     std::function<void(const HttpResult &Result)> OnDone);

private:
  class Exchange;
  struct Idle {
    evhttp_connection *Connection;
    TimePoint Since;
  };

  evhttp_connection *connect(const HttpCall &Call);
  void keep(const SocketAddress &To, evhttp_connection *Connection);
  void dispose(evhttp_connection *Connection);
  void collect();

  EventLoop &Loop;
  std::shared_ptr<ResponseBudget> Budget;
  std::map<SocketAddress, std::vector<Idle>> IdleConnections;
  // Connections are freed by a timer, because evhttp still uses them after it
  // has called back.
  std::vector<evhttp_connection *> Disposed;
  std::map<std::uint64_t, std::unique_ptr<HttpExchange>> Detached;
  std::uint64_t NextDetached = 0;
  sigc::connection CollectTimer;
  sigc::connection IdleTimer;
};

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_HTTPCLIENT_H
