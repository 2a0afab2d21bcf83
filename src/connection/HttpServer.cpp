#include "connection/HttpServer.h"

#include "process/ErrorKind.h"

#include <cerrno>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace galenaroute {

namespace {

struct BufferDeleter {
  void operator()(evbuffer *Buffer) const { evbuffer_free(Buffer); }
};
using BufferPtr = std::unique_ptr<evbuffer, BufferDeleter>;

BufferPtr makeBuffer(std::string_view Bytes) {
  BufferPtr Result(evbuffer_new());
  evbuffer_add(Result.get(), Bytes.data(), Bytes.size());
  return Result;
}

std::string_view methodName(evhttp_cmd_type Method) {
  switch (Method) {
  case EVHTTP_REQ_GET:
    return "GET";
  case EVHTTP_REQ_POST:
    return "POST";
  case EVHTTP_REQ_HEAD:
    return "HEAD";
  case EVHTTP_REQ_PUT:
    return "PUT";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  case EVHTTP_REQ_OPTIONS:
    return "OPTIONS";
  case EVHTTP_REQ_PATCH:
    return "PATCH";
  default:
    return "";
  }
}

HttpRequest readRequest(evhttp_request *Request) {
  HttpRequest Result;
  Result.Method = methodName(evhttp_request_get_command(Request));
  const std::string_view Uri = evhttp_request_get_uri(Request);
  const std::size_t Question = Uri.find('?');
  Result.Path = Uri.substr(0, Question);
  if (Question != std::string_view::npos)
    Result.Query = Uri.substr(Question + 1);
  const evkeyvalq *Fields = evhttp_request_get_input_headers(Request);
  for (const evkeyval *Each = Fields->tqh_first; Each;
       Each = Each->next.tqe_next)
    Result.Headers.add(Each->key, Each->value);
  evbuffer *Body = evhttp_request_get_input_buffer(Request);
  Result.Body.resize(evbuffer_get_length(Body));
  evbuffer_remove(Body, Result.Body.data(), Result.Body.size());
  return Result;
}

} // namespace

/// Counts one finished answer as unsent until the kernel has taken it or its
/// connection is gone.
struct HttpReply::FlushWatch {
  std::shared_ptr<std::size_t> Unsent;

  static void onComplete(evhttp_request *Request, void *Self) {
    evhttp_connection_set_closecb(evhttp_request_get_connection(Request),
                                  nullptr, nullptr);
    end(Self);
  }
  static void onClose(evhttp_connection *, void *Self) { end(Self); }
  static void end(void *Self) {
    auto *Watch = static_cast<FlushWatch *>(Self);
    --*Watch->Unsent;
    delete Watch;
  }
};

HttpReply::HttpReply(evhttp_request *Request) : Request(Request) {
  evhttp_connection *Connection = evhttp_request_get_connection(Request);
  bufferevent *Stream = evhttp_connection_get_bufferevent(Connection);
  // evhttp stops reading while a request is open, so it does not see that the
  // caller went away. Reading on instead is not possible: evhttp ends the
  // process when it gets pipelined bytes in that state.
  this->CloseEvent = event_new(
      bufferevent_get_base(Stream), bufferevent_getfd(Stream), EV_CLOSED,
      [](evutil_socket_t, short, void *Self) {
        static_cast<HttpReply *>(Self)->connectionLost();
      },
      this);
  event_add(this->CloseEvent, nullptr);
  evhttp_connection_set_closecb(
      Connection,
      [](evhttp_connection *, void *Self) {
        auto *Reply = static_cast<HttpReply *>(Self);
        if (Reply->isClosed())
          return;
        Reply->detach();
        Reply->Closed.emit();
      },
      this);
}

HttpReply::~HttpReply() {
  if (!this->isClosed())
    this->abort();
}

void HttpReply::detach() {
  if (this->Request) {
    evhttp_connection *Connection =
        evhttp_request_get_connection(this->Request);
    if (Connection)
      evhttp_connection_set_closecb(Connection, nullptr, nullptr);
  }
  if (this->CloseEvent)
    event_free(this->CloseEvent);
  this->CloseEvent = nullptr;
  this->Request = nullptr;
}

void HttpReply::watchFlush(evhttp_request *Answered) {
  if (!this->Unsent)
    return;
  ++*this->Unsent;
  auto *Watch = new FlushWatch{this->Unsent};
  evhttp_request_set_on_complete_cb(Answered, &FlushWatch::onComplete, Watch);
  evhttp_connection_set_closecb(evhttp_request_get_connection(Answered),
                                &FlushWatch::onClose, Watch);
}

void HttpReply::connectionLost() {
  if (this->isClosed())
    return;
  evhttp_connection *Connection = evhttp_request_get_connection(this->Request);
  this->detach();
  evhttp_connection_free(Connection);
  this->Closed.emit();
}

void HttpReply::addHeaders(const HttpHeaders &Headers) {
  evkeyvalq *Fields = evhttp_request_get_output_headers(this->Request);
  for (const HttpHeaders::Field &Each : Headers)
    evhttp_add_header(Fields, Each.Name.c_str(), Each.Value.c_str());
}

void HttpReply::send(int Status, const HttpHeaders &Headers,
                     std::string_view Body) {
  if (this->isClosed())
    return;
  this->addHeaders(Headers);
  evhttp_request *Answered = this->Request;
  this->detach();
  this->watchFlush(Answered);
  evhttp_send_reply(Answered, Status, nullptr, makeBuffer(Body).get());
}

void HttpReply::startStream(int Status, const HttpHeaders &Headers) {
  if (this->isClosed())
    return;
  this->Streaming = true;
  this->addHeaders(Headers);
  evhttp_send_reply_start(this->Request, Status, nullptr);
}

void HttpReply::startUnframedStream(int Status, const HttpHeaders &Headers) {
  if (this->isClosed())
    return;
  // evhttp frames no answer to HTTP/1.0 and closes the connection behind it,
  // unless the caller wants to keep it.
  this->Request->major = 1;
  this->Request->minor = 0;
  evhttp_remove_header(evhttp_request_get_input_headers(this->Request),
                       "Connection");
  HttpHeaders All = Headers;
  All.add("Connection", "close");
  this->startStream(Status, All);
}

void HttpReply::write(std::string_view Chunk) {
  if (this->isClosed() || Chunk.empty())
    return;
  evhttp_send_reply_chunk(this->Request, makeBuffer(Chunk).get());
}

void HttpReply::endStream() {
  if (this->isClosed())
    return;
  evhttp_request *Answered = this->Request;
  this->detach();
  this->watchFlush(Answered);
  evhttp_send_reply_end(Answered);
}

void HttpReply::abort() {
  if (this->isClosed())
    return;
  evhttp_connection *Connection = evhttp_request_get_connection(this->Request);
  this->detach();
  evhttp_connection_free(Connection);
}

void HttpReply::abortAfter(std::string_view LastChunk) {
  if (this->isClosed())
    return;
  evhttp_request *Answered = this->Request;
  this->detach();
  this->watchFlush(Answered);
  evhttp_send_reply_chunk_with_cb(
      Answered, makeBuffer(LastChunk).get(),
      [](evhttp_connection *Connection, void *) {
        evhttp_connection_free(Connection);
      },
      nullptr);
}

std::size_t HttpReply::bufferedBytes() const {
  if (this->isClosed())
    return 0;
  bufferevent *Stream = evhttp_connection_get_bufferevent(
      evhttp_request_get_connection(this->Request));
  return evbuffer_get_length(bufferevent_get_output(Stream));
}

HttpServer::HttpServer(EventLoop &Loop, const HttpServerLimits &Limits)
    : Loop(Loop), Http(evhttp_new(Loop.base())) {
  if (!this->Http)
    throw std::runtime_error("cannot create the HTTP server");
  evhttp_set_max_body_size(this->Http,
                           static_cast<ev_ssize_t>(Limits.MaxBodyBytes));
  evhttp_set_max_headers_size(this->Http,
                              static_cast<ev_ssize_t>(Limits.MaxHeaderBytes));
  const auto Micros =
      std::chrono::duration_cast<std::chrono::microseconds>(Limits.IdleTimeout)
          .count();
  const timeval Idle{static_cast<time_t>(Micros / 1000000),
                     static_cast<suseconds_t>(Micros % 1000000)};
  evhttp_set_timeout_tv(this->Http, &Idle);
  evhttp_set_allowed_methods(
      this->Http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                      EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                      EVHTTP_REQ_PATCH);
  evhttp_set_default_content_type(this->Http, "application/json");
  evhttp_set_gencb(this->Http, &HttpServer::dispatch, this);
}

HttpServer::~HttpServer() { evhttp_free(this->Http); }

std::uint16_t HttpServer::listen(const SocketAddress &Address) {
  if (const int Failure = this->tryListen(Address))
    throw Error(ErrorKind::Internal, "cannot listen at " + Address.toString() +
                                         ": " + std::strerror(Failure));
  return this->Port;
}

int HttpServer::tryListen(const SocketAddress &Address) {
  errno = 0;
  this->Socket = evhttp_bind_socket_with_handle(
      this->Http, Address.Host.c_str(), Address.Port);
  if (!this->Socket)
    return errno != 0 ? errno : EINVAL; // The host name has no address.
  sockaddr_in Bound{};
  socklen_t Size = sizeof(Bound);
  getsockname(evhttp_bound_socket_get_fd(this->Socket),
              reinterpret_cast<sockaddr *>(&Bound), &Size);
  this->Port = ntohs(Bound.sin_port);
  return 0;
}

void HttpServer::stopListening() {
  if (this->Socket)
    evhttp_del_accept_socket(this->Http, this->Socket);
  this->Socket = nullptr;
}

void HttpServer::dispatch(evhttp_request *Request, void *Self) {
  auto *Server = static_cast<HttpServer *>(Self);
  evhttp_connection *Connection = evhttp_request_get_connection(Request);
  const int Enable = 1;
  // Tokens are small writes; without this they wait for acknowledgements.
  setsockopt(bufferevent_getfd(evhttp_connection_get_bufferevent(Connection)),
             IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof(Enable));
  auto Reply = std::make_shared<HttpReply>(Request);
  Reply->Unsent = Server->Unsent;
  try {
    Server->Handle(readRequest(Request), Reply);
  } catch (const Error &Failure) {
    sendError(*Reply, Failure);
  } catch (const std::exception &Failure) {
    sendError(*Reply, Error(ErrorKind::Internal, Failure.what()));
  }
}

void sendError(HttpReply &Reply, const Error &Failure,
               const HttpHeaders &Headers) {
  const std::string Body =
      errorBody(Failure.Kind, Failure.what(), Failure.RetryAfter);
  if (Reply.isStreaming()) {
    Reply.abortAfter("data: " + Body + "\n\n");
    return;
  }
  const ErrorRow &Row = describeError(Failure.Kind);
  HttpHeaders All = Headers;
  All.add("Content-Type", "application/json");
  if (Row.HasRetryAfter)
    All.add("Retry-After",
            std::to_string(
                std::chrono::ceil<std::chrono::seconds>(Failure.RetryAfter)
                    .count()));
  Reply.send(Row.HttpStatus, All, Body);
}

} // namespace galenaroute
