#include "connection/PeerLink.h"

#include "connection/BufferedSocket.h"
#include "process/CborDepth.h"
#include "process/ErrorKind.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>

namespace galenaroute {

using nlohmann::json;

namespace {

/// The CBOR reader recurses once per level, so hostile nesting would exhaust
/// the stack. Our own messages have five levels at most.
constexpr std::size_t MaxDepth = 16;

/// A stamp further ahead than this comes from a broken clock and would pull
/// the clocks of all daemons along.
constexpr std::int64_t MaxAheadMicros = 60'000'000;

std::int64_t wallMicros() {
  using namespace std::chrono;
  return duration_cast<microseconds>(system_clock::now().time_since_epoch())
      .count();
}

} // namespace

std::string encodePeerMessage(const PeerMessage &Message) {
  json Whole = Message.Body;
  Whole["t"] = Message.Type;
  Whole["at"] = {Message.Time.Micros, Message.Time.Counter};
  std::string Result;
  json::to_cbor(Whole, Result);
  return Result;
}

std::optional<PeerMessage> decodePeerMessage(std::string_view Bytes) {
  try {
    if (!isBoundedCbor(Bytes, MaxDepth))
      return std::nullopt;
    json Whole = json::from_cbor(Bytes.begin(), Bytes.end(), /*strict=*/true,
                                 /*allow_exceptions=*/false);
    if (!Whole.is_object())
      return std::nullopt;
    const json &Time = Whole.at("at");
    if (!Time.is_array() || Time.size() != 2 || !Time[0].is_number_integer() ||
        !Time[1].is_number_integer())
      return std::nullopt;
    PeerMessage Result;
    Result.Type = Whole.at("t").get<std::string>();
    Result.Time = {Time[0].get<std::int64_t>(), Time[1].get<std::uint32_t>()};
    Whole.erase("t");
    Whole.erase("at");
    Result.Body = std::move(Whole);
    return Result;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

std::unique_ptr<PeerLink> PeerLink::connect(EventLoop &Loop, Timeline &Events,
                                            const SocketAddress &To,
                                            const PeerLinkLimits &Limits) {
  std::unique_ptr<PeerLink> Result(
      new PeerLink(Loop, Events, Limits, WebSocketCodec::Role::Client));
  Result->attach(-1);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(To.Port);
  if (inet_pton(AF_INET, To.Host.c_str(), &Address.sin_addr) != 1 ||
      bufferevent_socket_connect(Result->Stream,
                                 reinterpret_cast<sockaddr *>(&Address),
                                 sizeof(Address)) != 0)
    Result->close("cannot connect to " + To.toString());
  else
    allowListeningOnLocalPort(bufferevent_getfd(Result->Stream));
  return Result;
}

std::unique_ptr<PeerLink> PeerLink::accept(EventLoop &Loop, Timeline &Events,
                                           int Socket,
                                           const PeerLinkLimits &Limits) {
  std::unique_ptr<PeerLink> Result(
      new PeerLink(Loop, Events, Limits, WebSocketCodec::Role::Server));
  Result->attach(Socket);
  Result->Codec->start();
  return Result;
}

PeerLink::PeerLink(EventLoop &Loop, Timeline &Events,
                   const PeerLinkLimits &Limits, WebSocketCodec::Role Side)
    : Loop(Loop), Events(Events), Limits(Limits), Side(Side),
      LastHeard(EventLoop::now()), LastBeat(this->LastHeard) {
  // The host of the handshake has no use here, and an address from gossip may
  // not be valid in a URI.
  this->Codec = std::make_unique<WebSocketCodec>(
      Side, "peer", Limits.MaxMessageBytes,
      WebSocketCodec::Callbacks{
          [this] {
            if (this->State != LinkState::Connecting)
              return;
            this->State = LinkState::Open;
            this->Opened.emit();
          },
          [this](const std::string &Payload) { this->receive(Payload); },
          [this](const char *Bytes, std::size_t Count) {
            if (this->State != LinkState::Closed)
              bufferevent_write(this->Stream, Bytes, Count);
          }});
  this->BeatTimer =
      Loop.timers().every(Limits.HeartbeatPeriod, [this] { this->beat(); });
}

PeerLink::~PeerLink() {
  this->BeatTimer.disconnect();
  this->CloseTimer.disconnect();
  this->State = LinkState::Closed;
  this->Codec.reset();
  if (this->Stream)
    bufferevent_free(this->Stream);
}

void PeerLink::attach(int Socket) {
  this->Stream =
      bufferevent_socket_new(this->Loop.base(), Socket,
                             BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  if (!this->Stream)
    throw Error(ErrorKind::Internal, "cannot create a peer connection");
  bufferevent_setcb(
      this->Stream,
      [](bufferevent *, void *Self) {
        static_cast<PeerLink *>(Self)->readInput();
      },
      nullptr,
      [](bufferevent *, short What, void *Self) {
        static_cast<PeerLink *>(Self)->onEvent(What);
      },
      this);
  // Bounds what one read of the socket takes into memory.
  bufferevent_setwatermark(this->Stream, EV_READ, 0,
                           this->Limits.MaxMessageBytes);
  bufferevent_enable(this->Stream, EV_READ | EV_WRITE);
}

void PeerLink::onEvent(short What) {
  if (this->State == LinkState::Closed)
    return;
  if (What & BEV_EVENT_CONNECTED) {
    const int On = 1;
    setsockopt(bufferevent_getfd(this->Stream), IPPROTO_TCP, TCP_NODELAY, &On,
               sizeof(On));
    this->Codec->start();
    return;
  }
  if (What & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    this->close(this->State == LinkState::Open ? "connection lost"
                                               : "connection refused");
}

void PeerLink::readInput() {
  evbuffer *Input = bufferevent_get_input(this->Stream);
  char Piece[16384];
  while (this->State != LinkState::Closed) {
    const int Count = evbuffer_remove(Input, Piece, sizeof(Piece));
    if (Count <= 0)
      return;
    if (!this->Codec->feed(Piece, static_cast<std::size_t>(Count)))
      this->close("WebSocket protocol error");
  }
}

void PeerLink::receive(const std::string &Payload) {
  if (this->State != LinkState::Open)
    return;
  const std::optional<PeerMessage> Message = decodePeerMessage(Payload);
  if (!Message) {
    this->close("malformed message");
    return;
  }
  this->LastHeard = EventLoop::now();
  if (Message->Time.Micros <= wallMicros() + MaxAheadMicros)
    this->Events.observe(Message->Time);
  if (Message->Type == "ping")
    this->send(this->heartbeat("pong"));
  this->Received.emit(*Message);
}

bool PeerLink::send(const PeerMessage &Message) {
  if (this->State != LinkState::Open)
    return false;
  PeerMessage Stamped = Message;
  Stamped.Time = this->Events.stamp();
  const std::string Bytes = encodePeerMessage(Stamped);
  if (Bytes.size() > this->Limits.MaxMessageBytes)
    return false;
  const std::size_t Waiting =
      evbuffer_get_length(bufferevent_get_output(this->Stream));
  if (Waiting + Bytes.size() > this->Limits.MaxQueueBytes) {
    this->close("output queue is full");
    return false;
  }
  return this->Codec->send(Bytes);
}

void PeerLink::close(const std::string &Reason) {
  if (this->State == LinkState::Closed)
    return;
  this->State = LinkState::Closed;
  this->BeatTimer.disconnect();
  bufferevent_disable(this->Stream, EV_READ | EV_WRITE);
  // The receiver of Closed may destroy links, which is safe only outside of
  // the codec's callbacks.
  this->CloseTimer = this->Loop.timers().after(
      Duration::zero(), [this, Reason] { this->Closed.emit(Reason); });
}

PeerMessage PeerLink::heartbeat(const char *Type) const {
  PeerMessage Result{Type};
  if (this->PingBody)
    Result.Body = this->PingBody();
  return Result;
}

void PeerLink::beat() {
  const TimePoint Now = EventLoop::now();
  // After a pause of this process, input that arrived meanwhile has not been
  // read yet; the peer gets one more deadline.
  if (Now - this->LastBeat > this->Limits.HeartbeatPeriod * 2)
    this->LastHeard = Now;
  this->LastBeat = Now;
  if (Now - this->LastHeard > this->Limits.Deadline) {
    this->close(this->State == LinkState::Open ? "silent past the deadline"
                                               : "connection timed out");
    return;
  }
  if (this->State == LinkState::Open &&
      this->Side == WebSocketCodec::Role::Client)
    this->send(this->heartbeat("ping"));
}

} // namespace galenaroute
