#include "connection/RelayedConnection.h"

#include "process/CallbackGuard.h"
#include "process/ErrorKind.h"
#include "process/Log.h"

#include <algorithm>
#include <netinet/in.h>
#include <utility>

namespace galenaroute {

/// Longer requests may fill the receive window of an upstream that does not
/// read.
static constexpr std::size_t LongRequestBytes = 32 << 10;

RelayedConnection::RelayedConnection(RelayListener &Owner, int Socket)
    : Owner(Owner), Gateway(newBufferEvent(Owner.Loop.base(), Socket)) {
  setSocketLimits(Socket, Owner.Limits.LongTimeout);
}

RelayedConnection::~RelayedConnection() { this->Timer.disconnect(); }

/// Runs a callback of the connection, and closes it if that throws.
template <typename Function>
void RelayedConnection::guard(void *Self, std::string_view Where,
                              Function Action) {
  const auto Kept = static_cast<RelayedConnection *>(Self)->shared_from_this();
  if (!runGuarded(Where, [&] { Action(*Kept); }))
    runGuarded("relay.end", [&] { Kept->close(); });
}

void RelayedConnection::setCallbacks(bufferevent *Event, Side Of) {
  if (Of == Side::Gateway)
    bufferevent_setcb(
        Event,
        [](bufferevent *, void *Self) {
          guard(Self, "relay.read",
                [](auto &At) { At.onReadable(Side::Gateway); });
        },
        [](bufferevent *, void *Self) {
          guard(Self, "relay.written",
                [](auto &At) { At.onWritten(Side::Gateway); });
        },
        [](bufferevent *, short What, void *Self) {
          guard(Self, "relay.event",
                [What](auto &At) { At.onEvent(Side::Gateway, What); });
        },
        this);
  else
    bufferevent_setcb(
        Event,
        [](bufferevent *, void *Self) {
          guard(Self, "relay.read",
                [](auto &At) { At.onReadable(Side::Upstream); });
        },
        [](bufferevent *, void *Self) {
          guard(Self, "relay.written",
                [](auto &At) { At.onWritten(Side::Upstream); });
        },
        [](bufferevent *, short What, void *Self) {
          guard(Self, "relay.event",
                [What](auto &At) { At.onEvent(Side::Upstream, What); });
        },
        this);
  bufferevent_setwatermark(Event, EV_READ, 0, RelayListener::MaxBacklog);
  bufferevent_setwatermark(Event, EV_WRITE, RelayListener::MaxBacklog / 2, 0);
}

void RelayedConnection::start() {
  this->setCallbacks(this->Gateway.get(), Side::Gateway);
  bufferevent_enable(this->Gateway.get(), EV_READ | EV_WRITE);
  this->armTimer(this->Owner.Limits.RequestTimeout);
}

/// Closes the connection after \p Delay.
void RelayedConnection::armTimer(Duration Delay) {
  this->Timer.disconnect();
  this->Timer = this->Owner.Loop.timers().after(Delay, [this] {
    const auto Self = this->shared_from_this();
    if (this->Current == Phase::Connecting)
      this->endWithoutUpstream(RelayFrame::Failed);
    else
      this->close();
  });
}

void RelayedConnection::onReadable(Side From) {
  if (From == Side::Upstream)
    this->forwardToGateway();
  else if (this->Current == Phase::Request)
    this->readRequest();
  else if (this->Current == Phase::Open || this->Current == Phase::Finishing)
    this->forwardToUpstream();
  else if (this->Current == Phase::Ending)
    this->dropRequest();
}

void RelayedConnection::readRequest() {
  evbuffer *Input = bufferevent_get_input(this->Gateway.get());
  const std::size_t Length =
      std::min(evbuffer_get_length(Input), MaxRelayRequestBytes);
  std::string_view Bytes(reinterpret_cast<const char *>(evbuffer_pullup(
                             Input, static_cast<ev_ssize_t>(Length))),
                         Length);
  const std::size_t Before = Bytes.size();
  try {
    auto Read = takeRelayRequest(Bytes);
    if (!Read)
      return;
    this->Request = std::move(*Read);
  } catch (const Error &Failure) {
    log(LogLevel::Warn, "relay.rejected", {{"reason", Failure.what()}});
    this->close();
    return;
  }
  evbuffer_drain(Input, Before - Bytes.size());
  this->connect();
}

void RelayedConnection::connect() {
  const auto Found = this->Owner.Parts.AddressOf(this->Request);
  if (!Found) {
    log(LogLevel::Info, "relay.refused",
        {{"upstream", this->Request.Upstream}});
    this->endWithoutUpstream(RelayFrame::Refused);
    return;
  }
  this->To = *Found;
  this->Current = Phase::Connecting;
  this->Upstream = newBufferEvent(this->Owner.Loop.base(), -1);
  this->setCallbacks(this->Upstream.get(), Side::Upstream);
  const sockaddr_in Address = socketAddressOf(this->To);
  this->armTimer(this->Owner.Limits.ConnectTimeout);
  if (bufferevent_socket_connect(this->Upstream.get(),
                                 reinterpret_cast<const sockaddr *>(&Address),
                                 sizeof Address) != 0) {
    this->endWithoutUpstream(RelayFrame::Failed);
    return;
  }
  allowListeningOnLocalPort(bufferevent_getfd(this->Upstream.get()));
}

void RelayedConnection::onConnected() {
  this->Timer.disconnect();
  this->Current = Phase::Open;
  setSocketLimits(bufferevent_getfd(this->Upstream.get()),
                  this->Owner.Limits.UserTimeout);
  bufferevent_enable(this->Upstream.get(), EV_READ | EV_WRITE);
  const std::string Head = relayFrameHead(RelayFrame::Connected);
  bufferevent_write(this->Gateway.get(), Head.data(), Head.size());
  this->forwardToUpstream();
}

/// Reports that there is no connection to the upstream.
void RelayedConnection::endWithoutUpstream(RelayFrame Why) {
  this->endUpstream(Why);
}

void RelayedConnection::forwardToUpstream() {
  evbuffer *Output = bufferevent_get_output(this->Upstream.get());
  const std::size_t Length =
      evbuffer_get_length(bufferevent_get_input(this->Gateway.get()));
  bufferevent_read_buffer(this->Gateway.get(), Output);
  const std::size_t Before = this->SentSinceHeard;
  this->SentSinceHeard += Length;
  this->Rest.ChangedAt = EventLoop::now();
  if (Before <= LongRequestBytes && this->SentSinceHeard > LongRequestBytes)
    setUserTimeout(bufferevent_getfd(this->Upstream.get()),
                   this->Owner.Limits.LongTimeout);
  if (evbuffer_get_length(Output) >= RelayListener::MaxBacklog)
    bufferevent_disable(this->Gateway.get(), EV_READ);
}

void RelayedConnection::forwardToGateway() {
  if (this->Current != Phase::Open)
    return;
  evbuffer *Input = bufferevent_get_input(this->Upstream.get());
  evbuffer *Output = bufferevent_get_output(this->Gateway.get());
  if (std::exchange(this->SentSinceHeard, 0) > LongRequestBytes)
    setUserTimeout(bufferevent_getfd(this->Upstream.get()),
                   this->Owner.Limits.UserTimeout);
  while (const std::size_t Length =
             std::min(evbuffer_get_length(Input), MaxRelayFrameBytes)) {
    const std::string Head = relayFrameHead(RelayFrame::Data, Length);
    evbuffer_add(Output, Head.data(), Head.size());
    evbuffer_remove_buffer(Input, Output, Length);
  }
  if (evbuffer_get_length(Output) >= RelayListener::MaxBacklog)
    bufferevent_disable(this->Upstream.get(), EV_READ);
}

void RelayedConnection::onWritten(Side To) {
  const bool IsRead =
      this->Current == Phase::Open ||
      (this->Current == Phase::Finishing && To == Side::Upstream);
  if (!IsRead)
    return;
  bufferevent_enable(
      (To == Side::Gateway ? this->Upstream : this->Gateway).get(), EV_READ);
}

void RelayedConnection::onEvent(Side Of, short What) {
  if (Of == Side::Gateway) {
    // The call has ended or was cancelled, or its gateway is not reached.
    this->close();
    return;
  }
  if (What & BEV_EVENT_CONNECTED) {
    if (this->Current == Phase::Connecting)
      this->onConnected();
    return;
  }
  if (this->Current == Phase::Connecting) {
    this->endWithoutUpstream(RelayFrame::Failed);
    return;
  }
  if (this->Current != Phase::Open && this->Current != Phase::Finishing)
    return;
  // What arrived before the end is forwarded first.
  this->forwardToGateway();
  if (What & BEV_EVENT_ERROR) {
    this->endUpstream(RelayFrame::Reset);
    return;
  }
  this->Current = Phase::Finishing;
  this->Rest = {untakenBytes(this->Upstream.get()), EventLoop::now()};
  this->armRestCheck();
}

void RelayedConnection::armRestCheck() {
  this->Timer.disconnect();
  this->Timer = this->Owner.Loop.timers().after(RestCheckInterval, [this] {
    guard(this, "relay.rest", [](auto &At) { At.onRestCheck(); });
  });
}

/// Checks whether the upstream, which has closed its side, takes the rest of
/// the request. How long the request is, only the gateway knows.
void RelayedConnection::onRestCheck() {
  switch (updateRest(this->Rest, this->Upstream.get(), EventLoop::now())) {
  case RestState::Pending:
    this->armRestCheck();
    return;
  case RestState::Taken:
    this->endUpstream(RelayFrame::Finished);
    return;
  case RestState::Stuck:
  case RestState::Reset:
    this->endUpstream(RelayFrame::Reset);
    return;
  }
}

void RelayedConnection::endUpstream(RelayFrame How) {
  this->Upstream.reset();
  this->endGateway(How);
}

/// Reports the end of the connection to the upstream. The gateway then closes
/// its side. Closing it here would discard what the gateway has not read yet if
/// a part of its request is still unread.
void RelayedConnection::endGateway(RelayFrame How) {
  this->Current = Phase::Ending;
  const std::string Head = relayFrameHead(How);
  bufferevent_write(this->Gateway.get(), Head.data(), Head.size());
  this->dropRequest();
  bufferevent_enable(this->Gateway.get(), EV_READ);
  this->armTimer(this->Owner.Limits.LongTimeout);
}

/// Reads and drops what the gateway still sends.
void RelayedConnection::dropRequest() {
  evbuffer *Input = bufferevent_get_input(this->Gateway.get());
  evbuffer_drain(Input, evbuffer_get_length(Input));
}

static void reset(bufferevent *Event) {
  const linger Now{.l_onoff = 1, .l_linger = 0};
  if (const int Socket = bufferevent_getfd(Event); Socket >= 0)
    setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Now, sizeof Now);
}

void RelayedConnection::abort() {
  reset(this->Gateway.get());
  if (this->Upstream)
    reset(this->Upstream.get());
  this->close();
}

void RelayedConnection::close() {
  this->Timer.disconnect();
  for (bufferevent *Each : {this->Gateway.get(), this->Upstream.get()}) {
    if (!Each)
      continue;
    bufferevent_disable(Each, EV_READ | EV_WRITE);
    bufferevent_setcb(Each, nullptr, nullptr, nullptr, nullptr);
  }
  // Frees the sockets once the callback at hand has ended.
  this->Owner.forget(this->shared_from_this());
}

} // namespace galenaroute
