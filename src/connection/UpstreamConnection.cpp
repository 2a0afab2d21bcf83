#include "connection/UpstreamConnection.h"

#include "process/CallbackGuard.h"
#include "process/Log.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <utility>

namespace galenaroute {

/// Used where an upstream does not tell how long it keeps a connection.
static constexpr auto DefaultKeepTime = std::chrono::seconds(3);
/// Taken off the time that an upstream tells, since its close may be under
/// way when a request is sent.
static constexpr auto KeepTimeMargin = std::chrono::milliseconds(400);
/// An idle connection over a helper takes two descriptors there.
static constexpr auto MaxRelayedKeepTime = std::chrono::seconds(1);
/// Enough for the loop to handle a connection that is established.
static constexpr auto PendingConnectDelay = std::chrono::milliseconds(20);
/// Answers before the one awaited that are skipped on one connection: late ones
/// to earlier requests, and interim ones. A server in trouble may send them
/// without end.
static constexpr int MaxSkippedAnswers = 4;
static constexpr HttpParserLimits AnswerLimits{.MaxHeadBytes = 64 << 10,
                                               .MaxBodyBytes = 16 << 20};

/// Refusals that one connection may carry; it is closed with the last of them.
static constexpr std::size_t MaxRefusedCalls = 32;

/// Longer requests may fill the receive window of an upstream that does not
/// read.
static constexpr std::size_t LongRequestBytes = 32 << 10;

static UpstreamCause causeOf(HttpFault Fault) {
  switch (Fault) {
  case HttpFault::HeadTooLarge:
    return UpstreamCause::HeadTooLarge;
  case HttpFault::BodyTooLarge:
    return UpstreamCause::BodyTooLarge;
  case HttpFault::None:
  case HttpFault::Malformed:
    return UpstreamCause::None;
  }
  return UpstreamCause::None;
}

UpstreamConnection::UpstreamConnection(UpstreamPool &Pool, SocketAddress To,
                                       std::optional<RelayHelper> Helper)
    : Pool(Pool), To(std::move(To)), Helper(std::move(Helper)),
      Event(newBufferEvent(Pool.Loop.base(), -1)),
      Parser(HttpParser::Side::Response, AnswerLimits,
             {.OnHead = [this](HttpHead &Head) { return this->onHead(Head); },
              .OnBody =
                  [this](std::string_view Bytes) {
                    if (!this->IsForeign && this->Current)
                      this->Events.OnBody(Bytes);
                  },
              .OnComplete = [this] { this->onComplete(); }}) {}

/// Runs a callback of the connection. If it throws, the call that waits for the
/// answer is ended as after a malformed one.
template <typename Function>
void UpstreamConnection::guard(void *Self, std::string_view Where,
                               Function Action) {
  const auto Kept = static_cast<UpstreamConnection *>(Self)->shared_from_this();
  if (runGuarded(Where, [&] { Action(*Kept); }))
    return;
  runGuarded("upstream.end", [&] {
    if (!Kept->Current) {
      Kept->Pool.forget(Kept);
      return;
    }
    if (Kept->Helper)
      Kept->Current->Cause = UpstreamCause::HelperFailed;
    Kept->end(UpstreamEnd::Malformed, false);
  });
}

bool UpstreamConnection::connect() {
  bufferevent_setcb(
      this->Event.get(),
      [](bufferevent *, void *Self) {
        guard(Self, "upstream.read",
              [](UpstreamConnection &Of) { Of.onReadable(); });
      },
      nullptr,
      [](bufferevent *, short What, void *Self) {
        guard(Self, "upstream.event",
              [What](UpstreamConnection &Of) { Of.onEvent(What); });
      },
      this);
  if (this->Helper && !this->Helper->SourceHost.empty())
    bindToHost(this->Event.get(), this->Helper->SourceHost);
  const sockaddr_in Address =
      socketAddressOf(this->Helper ? this->Helper->Address : this->To);
  const bool IsStarted =
      bufferevent_socket_connect(this->Event.get(),
                                 reinterpret_cast<const sockaddr *>(&Address),
                                 sizeof Address) == 0;
  allowListeningOnLocalPort(bufferevent_getfd(this->Event.get()));
  return IsStarted;
}

void UpstreamConnection::begin(UpstreamExchange &For, std::string Text,
                               const UpstreamExchangeSettings &With,
                               UpstreamExchangeEvents Handlers) {
  this->Current = &For;
  this->Settings = With;
  this->Events = std::move(Handlers);
  this->Request = std::move(Text);
  this->IsForeign = false;
  this->AnswerDone = false;
  this->IsPaused = false;
  this->SkippedAnswers = 0;
  this->KeepAlive = true;
  For.Kept = this->ServedBefore;
  if (this->Connected) {
    this->onConnected();
    return;
  }
  this->ConnectTimer =
      this->Pool.Loop.timers().after(With.ConnectTimeout, [this] {
        this->onConnectTimeout(ConnectCheck::First);
      });
}

void UpstreamConnection::onConnectTimeout(ConnectCheck Check) {
  // A connection that was established while the process stood still has not
  // been seen by the loop yet.
  if (Check == ConnectCheck::First && isPending(this->Event.get(), POLLOUT)) {
    this->ConnectTimer =
        this->Pool.Loop.timers().after(PendingConnectDelay, [this] {
          this->onConnectTimeout(ConnectCheck::Repeated);
        });
    return;
  }
  this->Current->Cause = this->Helper ? UpstreamCause::HelperFailed
                                      : UpstreamCause::ConnectTimeout;
  this->end(UpstreamEnd::ConnectFailed, false);
}

/// The connection is established, to the helper if it is relayed.
void UpstreamConnection::onLinkConnected() {
  if (!this->Helper) {
    this->onConnected();
    return;
  }
  const int Socket = bufferevent_getfd(this->Event.get());
  setSocketLimits(Socket, this->Settings.UserTimeout);
  const std::string Asked =
      encodeRelayRequest({.Upstream = this->Helper->Upstream,
                          .Incarnation = this->Helper->Incarnation});
  bufferevent_write(this->Event.get(), Asked.data(), Asked.size());
  bufferevent_enable(this->Event.get(), EV_READ | EV_WRITE);
}

/// The connection to the upstream is established.
void UpstreamConnection::onConnected() {
  this->ConnectTimer.disconnect();
  if (!this->Connected)
    this->Events.OnConnected();
  const Duration Timeout = this->Request.size() > LongRequestBytes
                               ? std::max(this->Settings.UserTimeout,
                                          this->Settings.LongRequestTimeout)
                               : this->Settings.UserTimeout;
  const int Socket = bufferevent_getfd(this->Event.get());
  if (!this->Connected)
    setSocketLimits(Socket, Timeout);
  else if (Timeout != this->UserTimeout)
    setUserTimeout(Socket, Timeout);
  this->Connected = true;
  this->UserTimeout = Timeout;
  this->Current->Sent =
      bufferevent_write(this->Event.get(), this->Request.data(),
                        this->Request.size()) == 0;
  dropText(this->Request);
  // Without memory for the request nothing was sent. The exchange ends from the
  // loop, since nothing is called inside start().
  if (!this->Current->Sent)
    bufferevent_trigger_event(this->Event.get(), BEV_EVENT_ERROR,
                              BEV_TRIG_DEFER_CALLBACKS);
  bufferevent_enable(this->Event.get(), EV_READ | EV_WRITE);
}

bool UpstreamConnection::isBadAnswer() const {
  return this->Parser.fault() != HttpFault::None ||
         this->SkippedAnswers > MaxSkippedAnswers;
}

void UpstreamConnection::onReadable() {
  evbuffer *Input = bufferevent_get_input(this->Event.get());
  while (this->Current && !this->AnswerDone) {
    if (this->IsPaused)
      return;
    const std::string_view Bytes = firstBytes(Input);
    if (Bytes.empty())
      return;
    const std::size_t Used = this->feed(Bytes);
    evbuffer_drain(Input, Used);
    // The call may have ended or been cancelled while it was handed the answer.
    if (!this->Current)
      return;
    if (this->isBadAnswer()) {
      this->Current->Cause = causeOf(this->Parser.fault());
      this->end(UpstreamEnd::Malformed, false);
      return;
    }
  }
  if (this->Current) {
    this->endComplete();
    return;
  }
  // Bytes that nothing asked for belong to no request.
  if (!this->Current && evbuffer_get_length(Input) > 0) {
    if (!this->Helper)
      log(LogLevel::Warn, "upstream.unexpected_bytes",
          {{"upstream", this->To.toString()},
           {"bytes", std::to_string(evbuffer_get_length(Input))}});
    this->Pool.forget(this->shared_from_this());
  }
}

/// Handles the first of \p Bytes. Returns how many.
std::size_t UpstreamConnection::feed(std::string_view Bytes) {
  if (!this->Helper)
    return this->Parser.feed(Bytes);
  return this->Frames.feed(Bytes,
                           [this](RelayFrame Frame, std::string_view Data) {
                             this->onFrame(Frame, Data);
                           });
}

/// Hands bytes of the upstream to the parser until the answer is complete.
/// Returns how many.
std::size_t UpstreamConnection::parse(std::string_view Bytes) {
  std::size_t Used = 0;
  while (Used < Bytes.size() && this->Current && !this->AnswerDone &&
         !this->isBadAnswer())
    Used += this->Parser.feed(Bytes.substr(Used));
  return Used;
}

/// Handles what the helper of a relayed connection reports.
void UpstreamConnection::onFrame(RelayFrame Frame, std::string_view Bytes) {
  switch (Frame) {
  case RelayFrame::Connected:
    this->onConnected();
    return;
  case RelayFrame::Failed:
    this->Current->Cause = UpstreamCause::RelayFailed;
    this->end(UpstreamEnd::ConnectFailed, false);
    return;
  case RelayFrame::Refused:
    this->Current->Cause = UpstreamCause::HelperFailed;
    this->end(UpstreamEnd::ConnectFailed, false);
    return;
  case RelayFrame::Data:
    this->HasSurplus |= this->parse(Bytes) < Bytes.size();
    return;
  case RelayFrame::Finished:
    this->onEndOfUpstream(UpstreamCause::Closed, /*IsOrderly=*/true);
    return;
  case RelayFrame::Reset:
    this->onEndOfUpstream(UpstreamCause::Reset, /*IsOrderly=*/false);
    return;
  }
}

void UpstreamConnection::noteKeepTime(const HttpHead &Head) {
  Duration Keep = DefaultKeepTime;
  if (const auto Text = Head.Headers.find("Keep-Alive")) {
    const std::size_t At = Text->find("timeout=");
    int Seconds = 0;
    if (At != std::string_view::npos &&
        std::from_chars(Text->data() + At + 8, Text->data() + Text->size(),
                        Seconds)
                .ec == std::errc())
      Keep = std::chrono::seconds(Seconds) - KeepTimeMargin;
  }
  if (this->Helper)
    Keep = std::min<Duration>(Keep, MaxRelayedKeepTime);
  this->KeepUntil = EventLoop::now() + Keep;
}

bool UpstreamConnection::onHead(HttpHead &Head) {
  if (Head.Status < 200) {
    // An interim answer; the final one follows.
    this->IsForeign = true;
    ++this->SkippedAnswers;
    return true;
  }
  if (!Head.KeepAlive)
    this->KeepAlive = false;
  this->HasFraming =
      Head.HasFraming || Head.Status == 204 || Head.Status == 304;
  this->noteKeepTime(Head);
  this->IsForeign = this->Current && !this->Events.OnHead(Head);
  if (this->IsForeign) {
    // Framing that cannot be trusted once is not trusted for another request.
    this->KeepAlive = false;
    ++this->SkippedAnswers;
  }
  return !this->Settings.IsHead;
}

void UpstreamConnection::onComplete() {
  if (!this->Current)
    return;
  if (this->IsForeign) {
    this->IsForeign = false;
    return;
  }
  this->AnswerDone = true;
}

void UpstreamConnection::endComplete() {
  const bool Written =
      evbuffer_get_length(bufferevent_get_output(this->Event.get())) == 0;
  this->end(UpstreamEnd::Complete,
            this->KeepAlive && this->HasFraming && Written);
}

/// Returns why the connection ended. \p Error is the errno of its socket.
static UpstreamCause causeOf(short What, int Error, const SocketAddress &To) {
  if (!(What & BEV_EVENT_ERROR))
    return What & BEV_EVENT_EOF ? UpstreamCause::Closed : UpstreamCause::None;
  switch (Error) {
  case ECONNRESET:
  case EPIPE:
    return UpstreamCause::Reset;
  case ETIMEDOUT:
  // Reported in place of ETIMEDOUT where a router has told the reason.
  case EHOSTUNREACH:
  case ENETUNREACH:
    return UpstreamCause::NoAcknowledgment;
  case ECONNREFUSED:
    return UpstreamCause::Refused;
  default:
    log(LogLevel::Warn, "upstream.socket_error",
        {{"upstream", To.toString()}, {"error", std::strerror(Error)}});
    return UpstreamCause::Other;
  }
}

void UpstreamConnection::onEvent(short What) {
  // The error is that of the last call on the socket.
  const int Error = EVUTIL_SOCKET_ERROR();
  if (What & BEV_EVENT_CONNECTED) {
    if (this->Current)
      this->onLinkConnected();
    return;
  }
  if (!this->Current) {
    this->Pool.forget(this->shared_from_this());
    return;
  }
  // A helper that ends without a frame for the end was itself ended.
  this->Current->Cause = this->Helper ? UpstreamCause::HelperFailed
                                      : causeOf(What, Error, this->To);
  if (!this->Connected) {
    this->end(UpstreamEnd::ConnectFailed, false);
    return;
  }
  // What arrived before the end is read first.
  this->IsPaused = false;
  this->onReadable();
  if (this->Current)
    this->onEndOfUpstream(this->Current->Cause, !this->Helper &&
                                                    (What & BEV_EVENT_EOF) &&
                                                    !(What & BEV_EVENT_ERROR));
}

/// Ends the exchange, whose upstream has closed its side in good order or not.
void UpstreamConnection::onEndOfUpstream(UpstreamCause Cause, bool IsOrderly) {
  this->Current->Cause = Cause;
  const bool EndsAnswer = IsOrderly && !this->AnswerDone && !this->HasFraming &&
                          this->Parser.isInMessage();
  if (!EndsAnswer) {
    this->finishExchange();
    return;
  }
  this->Rest = {untakenBytes(this->Event.get()), EventLoop::now()};
  if (this->Helper && this->Rest.Bytes > 0) {
    // The helper reports the end once the upstream has taken all bytes that
    // have reached the helper, and drops later ones.
    this->Current->Cause = UpstreamCause::HelperFailed;
    this->end(UpstreamEnd::Cut, false);
    return;
  }
  // A reset may have arrived behind the end of the answer.
  if (!this->Helper &&
      (this->Rest.Bytes > 0 || isPending(this->Event.get(), 0)))
    this->armRestCheck();
  else
    this->finishAnswer();
}

void UpstreamConnection::armRestCheck() {
  this->RestTimer.disconnect();
  this->RestTimer = this->Pool.Loop.timers().after(RestCheckInterval, [this] {
    guard(this, "upstream.rest",
          [](UpstreamConnection &Of) { Of.onRestCheck(); });
  });
}

/// Checks whether the upstream takes the rest of the request. It has ended an
/// answer without a length before, and whether that is whole shows only then.
void UpstreamConnection::onRestCheck() {
  if (!this->Current)
    return;
  switch (updateRest(this->Rest, this->Event.get(), EventLoop::now())) {
  case RestState::Pending:
    this->armRestCheck();
    return;
  case RestState::Taken:
    this->finishAnswer();
    return;
  case RestState::Reset:
    this->Current->Cause = UpstreamCause::Reset;
    this->end(UpstreamEnd::Cut, false);
    return;
  case RestState::Stuck:
    this->end(UpstreamEnd::Cut, false);
    return;
  }
}

/// Ends an answer without a length at the end of its connection.
void UpstreamConnection::finishAnswer() {
  this->Parser.finish();
  if (this->Current)
    this->finishExchange();
}

/// Ends the exchange, whose connection has ended.
void UpstreamConnection::finishExchange() {
  if (this->AnswerDone)
    this->endComplete();
  else
    this->end(UpstreamEnd::Cut, false);
}

void UpstreamConnection::end(UpstreamEnd How, bool Reuse) {
  const auto Self = this->shared_from_this();
  this->ConnectTimer.disconnect();
  this->RestTimer.disconnect();
  UpstreamExchangeEvents Handlers = std::move(this->Events);
  this->Events = {};
  this->Current->Connection.reset();
  this->Current = nullptr;
  const bool HasRest =
      this->HasSurplus ||
      evbuffer_get_length(bufferevent_get_input(this->Event.get())) > 0;
  if (Reuse && !HasRest)
    this->Pool.release(Self);
  else
    this->Pool.forget(Self);
  Handlers.OnEnd(How);
}

void UpstreamConnection::cancel() {
  this->ConnectTimer.disconnect();
  this->RestTimer.disconnect();
  // The handlers stay, since one of them may be running.
  this->Current = nullptr;
  this->Pool.forget(this->shared_from_this());
}

void UpstreamConnection::pauseReading() {
  this->IsPaused = true;
  bufferevent_disable(this->Event.get(), EV_READ);
}

void UpstreamConnection::resumeReading() {
  this->IsPaused = false;
  bufferevent_enable(this->Event.get(), EV_READ);
  if (evbuffer_get_length(bufferevent_get_input(this->Event.get())) > 0)
    bufferevent_trigger(this->Event.get(), EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

void UpstreamConnection::noteRefusal() {
  this->RefusedCalls.push_back(std::hash<std::string>()(this->Settings.CallId));
  // The copy of a refusal cannot be told from another answer to a call without
  // an id.
  if (this->Settings.CallId.empty() ||
      this->RefusedCalls.size() >= MaxRefusedCalls)
    this->KeepAlive = false;
}

bool UpstreamConnection::hasUnreadInput() const {
  return this->Connected && galenaroute::hasUnreadInput(this->Event.get());
}

} // namespace galenaroute
