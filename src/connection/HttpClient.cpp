#include "connection/HttpClient.h"

#include "connection/BufferedSocket.h"
#include "process/CallbackGuard.h"
#include "process/Log.h"

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

/// Idle connections kept for one address.
constexpr std::size_t MaxIdlePerAddress = 8;
/// A path in the network forgets idle connections, so they are not kept long.
constexpr auto MaxIdleAge = std::chrono::seconds(5);
constexpr ev_ssize_t MaxResponseHeaderBytes = 64 << 10;
/// Bytes before the end of the final head. evhttp limits each head, but reads
/// interim ones without end and keeps their fields.
constexpr std::size_t MaxBytesBeforeBody = 2 * MaxResponseHeaderBytes;
/// Bytes that evhttp may leave unread, beyond a body that is taken from it as
/// it arrives. It waits without a limit for the end of the line that begins a
/// chunk.
constexpr std::size_t MaxUnparsedBytes = 256 << 10;

evhttp_cmd_type methodOf(std::string_view Name) {
  if (Name == "POST")
    return EVHTTP_REQ_POST;
  if (Name == "PUT")
    return EVHTTP_REQ_PUT;
  if (Name == "DELETE")
    return EVHTTP_REQ_DELETE;
  if (Name == "HEAD")
    return EVHTTP_REQ_HEAD;
  if (Name == "PATCH")
    return EVHTTP_REQ_PATCH;
  if (Name == "OPTIONS")
    return EVHTTP_REQ_OPTIONS;
  return EVHTTP_REQ_GET;
}

} // namespace

class HttpClient::Exchange : public HttpExchange {
public:
  Exchange(HttpClient &Client, HttpCall Call, HttpCallbacks Callbacks)
      : Client(Client), Call(std::move(Call)), Callbacks(std::move(Callbacks)),
        Held(Client.Budget, [this] { this->exceed("memory_short"); }) {}

  ~Exchange() override { this->release(false); }

  void pauseReading() override {
    if (!this->Connection || this->Paused)
      return;
    this->Paused = true;
    this->applyPause();
  }

  void resumeReading() override {
    if (!this->Connection || !this->Paused || this->Excess)
      return;
    this->Paused = false;
    this->LastByte = EventLoop::now();
    bufferevent_enable(evhttp_connection_get_bufferevent(this->Connection),
                       EV_READ);
  }

  void begin() {
    this->Started = this->LastByte = EventLoop::now();
    this->Connection = this->Client.connect(this->Call);
    if (!this->Connection) {
      this->finishLater(HttpEnd::ConnectFailed);
      return;
    }
    bufferevent *Stream = evhttp_connection_get_bufferevent(this->Connection);
    this->Sent = evbuffer_add_cb(
        bufferevent_get_output(Stream),
        [](evbuffer *, const evbuffer_cb_info *Info, void *Self) {
          if (Info->n_deleted > 0)
            static_cast<Exchange *>(Self)->Result.BytesSent = true;
        },
        this);
    this->Received = evbuffer_add_cb(
        bufferevent_get_input(Stream),
        [](evbuffer *, const evbuffer_cb_info *Info, void *Self) {
          if (Info->n_added > 0)
            static_cast<Exchange *>(Self)->onReceived(Info->n_added);
        },
        this);
    evhttp_request *Request = evhttp_request_new(&Exchange::onDone, this);
    this->Request = Request;
    evhttp_request_set_header_cb(Request, &Exchange::onHead);
    evhttp_request_set_chunked_cb(Request, &Exchange::onChunk);
    evhttp_request_set_error_cb(Request, &Exchange::onError);
    evkeyvalq *Fields = evhttp_request_get_output_headers(Request);
    evhttp_add_header(Fields, "Host", this->Call.To.toString().c_str());
    for (const HttpHeaders::Field &Each : this->Call.Headers)
      evhttp_add_header(Fields, Each.Name.c_str(), Each.Value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(Request),
                 this->Call.Body.data(), this->Call.Body.size());
    this->IsStarting = true;
    const int Failure = evhttp_make_request(this->Connection, Request,
                                            methodOf(this->Call.Method),
                                            this->Call.Path.c_str());
    this->IsStarting = false;
    if (!this->Request)
      return; // The connect has failed at once; see onDone().
    if (Failure != 0) {
      // evhttp has freed the request.
      this->Request = nullptr;
      this->finishLater(HttpEnd::ConnectFailed);
      return;
    }
    allowListeningOnLocalPort(bufferevent_getfd(Stream));
    this->checkTimeouts();
  }

private:
  /// Gives the connection back, or closes it.
  void release(bool Reusable) {
    this->Timer.disconnect();
    if (!this->Connection)
      return;
    bufferevent *Stream = evhttp_connection_get_bufferevent(this->Connection);
    if (this->Sent)
      evbuffer_remove_cb_entry(bufferevent_get_output(Stream), this->Sent);
    this->Sent = nullptr;
    if (this->Received)
      evbuffer_remove_cb_entry(bufferevent_get_input(Stream), this->Received);
    this->Received = nullptr;
    this->abandonRequest();
    if (Reusable)
      this->Client.keep(this->Call.To, this->Connection);
    else
      this->Client.dispose(this->Connection);
    this->Connection = nullptr;
  }

  /// Keeps a connection that is about to be closed from calling back and from
  /// sending. It is freed later, and its events come in until then: they would
  /// reach whatever exchange has the address of this one by that time, and a
  /// call that was reported as not sent would still go out.
  void abandonRequest() {
    if (!this->Request)
      return;
    this->Request->cb = [](evhttp_request *, void *) {};
    evhttp_request_set_header_cb(this->Request, nullptr);
    evhttp_request_set_chunked_cb(this->Request, nullptr);
    evhttp_request_set_error_cb(this->Request, nullptr);
    this->Request = nullptr;
    shutdown(
        bufferevent_getfd(evhttp_connection_get_bufferevent(this->Connection)),
        SHUT_RDWR);
  }

  /// evhttp starts to read by itself when it has sent the call, so a pause is
  /// applied again as bytes come in.
  void applyPause() {
    if (this->Paused)
      bufferevent_disable(evhttp_connection_get_bufferevent(this->Connection),
                          EV_READ);
  }

  void finishLater(HttpEnd End) {
    // The check of the time limits is still due. It must not outlive this.
    this->Timer.disconnect();
    this->Timer = this->Client.Loop.timers().after(
        Duration::zero(), [this, End] { this->finish(End); });
  }

  /// Returns whether the answer ended before its connection did. One with
  /// neither a length nor chunks ends with the connection.
  bool isFramed() const {
    const HttpResult &Answer = this->Result;
    return Answer.Status == 204 || Answer.Status == 304 ||
           Answer.Headers.find("Content-Length") ||
           Answer.Headers.find("Transfer-Encoding");
  }

  /// Drops the answer, which exceeds the limit that \p Reason names. The
  /// exchange ends outside of evhttp, which may be reading from it.
  void exceed(std::string_view Reason) {
    if (!this->Connection || this->Excess)
      return;
    this->noteExcess(Reason);
    dropText(this->Result.Body);
    bufferevent *Stream = evhttp_connection_get_bufferevent(this->Connection);
    bufferevent_disable(Stream, EV_READ);
    this->finishLater(HttpEnd::TooLarge);
  }

  void noteExcess(std::string_view Reason) {
    this->Excess = true;
    log(LogLevel::Warn, "http.answer_too_large",
        {{"peer", this->Call.To.toString()},
         {"path", this->Call.Path.substr(0, this->Call.Path.find('?'))},
         {"reason", std::string(Reason)},
         {"body_bytes", std::to_string(this->Result.Body.size())},
         {"max_bytes", std::to_string(this->Call.MaxBodyBytes)}});
    this->Client.Budget->Exceeded.emit(Reason);
  }

  /// Called as bytes arrive, before evhttp parses them.
  void onReceived(std::size_t Bytes) {
    if (!this->Connection || this->Excess)
      return;
    if (!this->HasHead) {
      this->BytesBeforeBody += Bytes;
      if (this->BytesBeforeBody > MaxBytesBeforeBody) {
        this->exceed("head_too_large");
        return;
      }
    }
    const std::size_t Unparsed = evbuffer_get_length(bufferevent_get_input(
        evhttp_connection_get_bufferevent(this->Connection)));
    if (Unparsed > MaxUnparsedBytes) {
      this->exceed("chunk_too_large");
      return;
    }
    if (!this->Held.set(Unparsed + this->Result.Body.size()))
      this->exceed("memory_short");
  }

  void finish(HttpEnd End) {
    if (this->Excess)
      End = HttpEnd::TooLarge;
    this->Result.End = End;
    this->release(End == HttpEnd::Complete && this->Call.ReuseConnection &&
                  this->isFramed());
    // The callback may destroy this exchange, so nothing follows it.
    const auto OnDone = std::move(this->Callbacks.OnDone);
    const HttpResult Last = std::move(this->Result);
    // The owner may keep an exchange that has ended.
    static_cast<void>(this->Held.set(0));
    if (OnDone)
      runGuarded("http.done", [&] { OnDone(Last); });
  }

  void checkTimeouts() {
    const TimePoint Now = EventLoop::now();
    if (this->Paused)
      this->LastByte = Now;
    TimePoint Deadline = this->Result.BytesSent
                             ? this->LastByte + this->Call.IdleTimeout
                             : this->Started + this->Call.ConnectTimeout;
    if (this->Call.TotalTimeout > Duration::zero())
      Deadline = std::min(Deadline, this->Started + this->Call.TotalTimeout);
    if (Now >= Deadline) {
      this->finish(this->Result.BytesSent ? HttpEnd::TimedOut
                                          : HttpEnd::ConnectFailed);
      return;
    }
    // The idle limit may be the shorter one, and starts to count when the first
    // byte is sent, so the next check is never further away than that.
    const Duration Wait = std::min(Deadline - Now, this->Call.IdleTimeout);
    this->Timer = this->Client.Loop.timers().after(
        Wait, [this] { this->checkTimeouts(); });
  }

  static void copyHead(Exchange &Self, evhttp_request *Request) {
    Self.Result.Status = evhttp_request_get_response_code(Request);
    Self.Result.Headers = {};
    const evkeyvalq *Fields = evhttp_request_get_input_headers(Request);
    for (const evkeyval *Each = Fields->tqh_first; Each;
         Each = Each->next.tqe_next)
      Self.Result.Headers.add(Each->key, Each->value);
  }

  static int onHead(evhttp_request *Request, void *Arg) {
    auto &Self = *static_cast<Exchange *>(Arg);
    if (!Self.Connection)
      return 0;
    Self.LastByte = EventLoop::now();
    Self.applyPause();
    // evhttp reports interim heads, too.
    Self.HasHead = evhttp_request_get_response_code(Request) != 100;
    copyHead(Self, Request);
    if (Self.Callbacks.OnHead)
      runGuarded("http.head", [&] {
        Self.Callbacks.OnHead(Self.Result.Status, Self.Result.Headers);
      });
    return 0;
  }

  static void onChunk(evhttp_request *Request, void *Arg) {
    auto &Self = *static_cast<Exchange *>(Arg);
    evbuffer *Input = evhttp_request_get_input_buffer(Request);
    std::string Bytes(evbuffer_get_length(Input), '\0');
    evbuffer_remove(Input, Bytes.data(), Bytes.size());
    if (!Self.Connection || Self.Excess)
      return;
    Self.LastByte = EventLoop::now();
    Self.applyPause();
    if (Self.Callbacks.OnChunk)
      runGuarded("http.chunk", [&] { Self.Callbacks.OnChunk(Bytes); });
    else if (Self.Result.Body.size() + Bytes.size() > Self.Call.MaxBodyBytes)
      Self.exceed("body_too_large");
    else
      Self.Result.Body += Bytes;
  }

  /// Called by evhttp before onDone() without a request.
  static void onError(evhttp_request_error Error, void *Arg) {
    auto &Self = *static_cast<Exchange *>(Arg);
    if (!Self.Connection || Self.Excess)
      return;
    if (Error == EVREQ_HTTP_DATA_TOO_LONG)
      Self.noteExcess("body_too_large");
    else if (Error == EVREQ_HTTP_INVALID_HEADER && !Self.HasHead &&
             Self.BytesBeforeBody > MaxResponseHeaderBytes)
      Self.noteExcess("head_too_large");
  }

  static void onDone(evhttp_request *Request, void *Arg) {
    auto &Self = *static_cast<Exchange *>(Arg);
    // evhttp frees the request when this returns.
    Self.Request = nullptr;
    if (!Self.Connection)
      return;
    // The owner of this exchange does not know it yet.
    if (Self.IsStarting) {
      Self.finishLater(HttpEnd::ConnectFailed);
      return;
    }
    if (!Request || evhttp_request_get_response_code(Request) == 0) {
      Self.finish(Self.Result.BytesSent ? HttpEnd::Cut
                                        : HttpEnd::ConnectFailed);
      return;
    }
    if (Self.Excess) {
      Self.finish(HttpEnd::TooLarge);
      return;
    }
    copyHead(Self, Request);
    evbuffer *Input = evhttp_request_get_input_buffer(Request);
    if (evbuffer_get_length(Input) > 0)
      onChunk(Request, Arg);
    Self.finish(HttpEnd::Complete);
  }

  HttpClient &Client;
  HttpCall Call;
  HttpCallbacks Callbacks;
  HttpResult Result;
  evhttp_connection *Connection = nullptr;
  evhttp_request *Request = nullptr; ///< While evhttp has it.
  evbuffer_cb_entry *Sent = nullptr;
  evbuffer_cb_entry *Received = nullptr;
  ResponseBudget::Charge Held;
  std::size_t BytesBeforeBody = 0;
  bool HasHead = false; ///< The final head was received.
  bool Excess = false;  ///< The answer exceeded a limit.
  bool Paused = false;
  bool IsStarting = false; ///< evhttp_make_request() has not returned.
  TimePoint Started;
  TimePoint LastByte;
  sigc::connection Timer;
};

HttpClient::HttpClient(EventLoop &Loop, std::shared_ptr<ResponseBudget> Budget)
    : Loop(Loop), Budget(std::move(Budget)) {
  this->IdleTimer = Loop.timers().every(std::chrono::seconds(1), [this] {
    const TimePoint Oldest = EventLoop::now() - MaxIdleAge;
    for (auto &[Address, Kept] : this->IdleConnections)
      std::erase_if(Kept, [&](const Idle &Each) {
        if (Each.Since >= Oldest)
          return false;
        this->dispose(Each.Connection);
        return true;
      });
    std::erase_if(this->IdleConnections,
                  [](const auto &Each) { return Each.second.empty(); });
  });
}

HttpClient::~HttpClient() {
  this->IdleTimer.disconnect();
  this->Detached.clear();
  for (auto &[Address, Kept] : this->IdleConnections)
    for (const Idle &Each : Kept)
      this->Disposed.push_back(Each.Connection);
  this->collect();
}

std::unique_ptr<HttpExchange> HttpClient::start(HttpCall Call,
                                                HttpCallbacks Callbacks) {
  auto Started =
      std::make_unique<Exchange>(*this, std::move(Call), std::move(Callbacks));
  Started->begin();
  return Started;
}

void HttpClient::startDetached(
    HttpCall Call, std::function<void(const HttpResult &Result)> OnDone) {
  const std::uint64_t Id = this->NextDetached++;
  HttpCallbacks Callbacks;
  Callbacks.OnDone = [this, Id,
                      OnDone = std::move(OnDone)](const HttpResult &Result) {
    // The exchange is kept alive until the callback returns.
    const auto Ended = this->Detached.extract(Id);
    OnDone(Result);
  };
  this->Detached.emplace(Id,
                         this->start(std::move(Call), std::move(Callbacks)));
}

evhttp_connection *HttpClient::connect(const HttpCall &Call) {
  const auto Kept = this->IdleConnections.find(Call.To);
  if (Call.ReuseConnection && Kept != this->IdleConnections.end() &&
      !Kept->second.empty()) {
    evhttp_connection *Result = Kept->second.back().Connection;
    Kept->second.pop_back();
    evhttp_connection_set_max_body_size(
        Result, static_cast<ev_ssize_t>(Call.MaxBodyBytes));
    return Result;
  }
  evhttp_connection *Result = evhttp_connection_base_new(
      this->Loop.base(), nullptr, Call.To.Host.c_str(), Call.To.Port);
  if (!Result)
    return nullptr;
  evhttp_connection_set_max_headers_size(Result, MaxResponseHeaderBytes);
  evhttp_connection_set_max_body_size(
      Result, static_cast<ev_ssize_t>(Call.MaxBodyBytes));
  return Result;
}

void HttpClient::keep(const SocketAddress &To, evhttp_connection *Connection) {
  std::vector<Idle> &Kept = this->IdleConnections[To];
  if (Kept.size() >= MaxIdlePerAddress)
    this->dispose(Connection);
  else
    Kept.push_back({Connection, EventLoop::now()});
}

void HttpClient::dispose(evhttp_connection *Connection) {
  this->Disposed.push_back(Connection);
  if (this->Disposed.size() == 1)
    this->CollectTimer = this->Loop.timers().after(Duration::zero(),
                                                   [this] { this->collect(); });
}

void HttpClient::collect() {
  this->CollectTimer.disconnect();
  for (evhttp_connection *Each : this->Disposed)
    evhttp_connection_free(Each);
  this->Disposed.clear();
}

} // namespace galenaroute
