// An HTTP/1.1 server on the event loop, a thin layer over evhttp.
//
//   HttpServer Server(Loop, {});
//   Server.handle([](HttpRequest Request, std::shared_ptr<HttpReply> Reply) {
//     Reply->send(200, {}, "hello");
//   });
//   Server.listen({"127.0.0.1", 8080});
//
// Guarantees: bodies and headers over the limits are refused before the
// handler sees them; a slow sender is cut after IdleTimeout; a handler may
// answer at any later time; writes to a reply whose caller has gone are
// ignored, and its Closed signal is emitted once.

#ifndef GALENAROUTE_CONNECTION_HTTPSERVER_H
#define GALENAROUTE_CONNECTION_HTTPSERVER_H

#include "connection/HttpTypes.h"
#include "process/EventLoop.h"

#include <functional>
#include <memory>

struct evhttp;
struct evhttp_bound_socket;
struct event;
struct evhttp_request;

namespace galenaroute {

class Error;

/// A whole request as received.
struct HttpRequest {
  std::string Method;
  std::string Path;  ///< Still percent-encoded.
  std::string Query; ///< Without the question mark; may be empty.
  HttpHeaders Headers;
  std::string Body;
};

/// The answer to one request. Either send() is called once, or startStream(),
/// write() any number of times, and endStream().
class HttpReply {
public:
  explicit HttpReply(evhttp_request *Request);
  ~HttpReply();
  HttpReply(const HttpReply &) = delete;
  HttpReply &operator=(const HttpReply &) = delete;

  /// Answers with a whole body.
  void send(int Status, const HttpHeaders &Headers, std::string_view Body);

  /// Begins a chunked answer.
  void startStream(int Status, const HttpHeaders &Headers);

  /// Begins an answer with neither a length nor chunks; its end is that of the
  /// connection.
  void startUnframedStream(int Status, const HttpHeaders &Headers);

  /// Sends one chunk; an empty \p Chunk is ignored, since it would end the
  /// stream.
  void write(std::string_view Chunk);

  /// Ends a chunked answer as whole.
  void endStream();

  /// Closes the connection without ending the answer, so that the caller sees
  /// that it is not whole.
  void abort();

  /// Sends \p LastChunk of a stream, which must not be empty, and then closes
  /// the connection as abort() does.
  void abortAfter(std::string_view LastChunk);

  /// Returns whether nothing more can be sent: answered, aborted or gone.
  bool isClosed() const { return this->Request == nullptr; }

  /// Returns whether startStream() was called.
  bool isStreaming() const { return this->Streaming; }

  /// Returns the bytes written that the kernel has not taken yet.
  std::size_t bufferedBytes() const;

  /// Emitted once when the caller goes away before the answer is finished.
  sigc::signal<void()> Closed;

private:
  friend class HttpServer;
  struct FlushWatch;
  void connectionLost();
  void detach();
  void watchFlush(evhttp_request *Answered);
  void addHeaders(const HttpHeaders &Headers);

  evhttp_request *Request;
  event *CloseEvent = nullptr;
  bool Streaming = false;
  std::shared_ptr<std::size_t> Unsent; ///< Of the server; may be null.
};

/// Limits on what callers may send.
struct HttpServerLimits {
  std::size_t MaxBodyBytes = 8 << 20;
  std::size_t MaxHeaderBytes = 32 << 10;
  Duration IdleTimeout = std::chrono::seconds(30);
};

/// Accepts connections and hands whole requests to one handler.
class HttpServer {
public:
  using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

  HttpServer(EventLoop &Loop, const HttpServerLimits &Limits);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Sets the handler of all requests. An Error thrown by it becomes the
  /// answer of its kind.
  void handle(Handler Handle) { this->Handle = std::move(Handle); }

  /// Accepts connections at \p Address; returns the port, which is chosen by
  /// the kernel where \p Address has port zero. Throws Error(Internal) when
  /// that fails.
  std::uint16_t listen(const SocketAddress &Address);

  /// The same without an exception: returns zero, or an errno. For BindRetry.
  int tryListen(const SocketAddress &Address);
  /// Returns the port of the last successful listen() or tryListen().
  std::uint16_t port() const { return this->Port; }

  /// Accepts no more connections; open ones go on.
  void stopListening();

  /// Returns the number of finished answers that the kernel has not taken
  /// completely; a process that ends earlier cuts them.
  std::size_t unsentReplies() const { return *this->Unsent; }

private:
  static void dispatch(evhttp_request *Request, void *Self);

  EventLoop &Loop;
  evhttp *Http;
  evhttp_bound_socket *Socket = nullptr;
  std::uint16_t Port = 0;
  Handler Handle;
  std::shared_ptr<std::size_t> Unsent = std::make_shared<std::size_t>(0);
};

/// Answers with the table row of \p Kind. An open stream gets an error event
/// and its connection is closed without the end of the chunked body.
void sendError(HttpReply &Reply, const Error &Failure,
               const HttpHeaders &Headers = {});

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_HTTPSERVER_H
