// A link between two daemons: CBOR messages in binary WebSocket frames.
//
//   auto Link = PeerLink::connect(Loop, Timeline, Address, Limits);
//   Link->Opened.connect([&] { Link->send({"hello", Body}); });
//   Link->Received.connect([&](const PeerMessage &Message) { ... });
//   Link->Closed.connect([&](const std::string &Reason) { ... });
//
// The connecting end sends `ping`, the other answers `pong`; both are handled
// here, and carry what PingBody returns. Each message carries a stamp of the
// hybrid clock, so that the time lines of all daemons merge.
//
// Guarantees: a message that is too large, malformed or nested too deeply
// closes this link only; a link on which nothing was heard for Deadline is
// closed, and so is one whose peer does not take its output; Closed is emitted
// once, and nothing after it. A link must not be destroyed inside its signals.

#ifndef GALENAROUTE_CONNECTION_PEERLINK_H
#define GALENAROUTE_CONNECTION_PEERLINK_H

#include "connection/HttpTypes.h"
#include "connection/WebSocketCodec.h"
#include "process/EventLoop.h"
#include "process/Timeline.h"

#include <nlohmann/json.hpp>
#include <optional>

struct bufferevent;

namespace galenaroute {

/// One message. \p Body is an object; its members `t` and `at` are reserved.
struct PeerMessage {
  std::string Type;
  nlohmann::json Body = nlohmann::json::object();
  HybridTime Time; ///< Set by the sending link.
};

/// Returns the CBOR bytes of \p Message.
std::string encodePeerMessage(const PeerMessage &Message);

/// Returns the message in \p Bytes, or nothing when they are malformed.
std::optional<PeerMessage> decodePeerMessage(std::string_view Bytes);

/// Limits of a link. A ping and its pong cost about 60 bytes a period, which
/// keeps a daemon with twelve links under 1 KB/s.
struct PeerLinkLimits {
  std::size_t MaxMessageBytes = 256 << 10;
  std::size_t MaxQueueBytes = 2 << 20;
  Duration HeartbeatPeriod = std::chrono::seconds(1);
  Duration Deadline = std::chrono::milliseconds(2500);
};

class PeerLink {
public:
  /// Starts to connect to \p To; a failure is reported by Closed.
  static std::unique_ptr<PeerLink> connect(EventLoop &Loop, Timeline &Events,
                                           const SocketAddress &To,
                                           const PeerLinkLimits &Limits);

  /// Takes over the accepted \p Socket.
  static std::unique_ptr<PeerLink> accept(EventLoop &Loop, Timeline &Events,
                                          int Socket,
                                          const PeerLinkLimits &Limits);
  ~PeerLink();
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;

  /// Sends \p Message; returns false when the link is not open, or closes it
  /// because too much output is waiting. Messages over the size limit are
  /// refused without closing the link.
  bool send(const PeerMessage &Message);

  /// Closes the link; Closed is emitted from the loop with \p Reason.
  void close(const std::string &Reason);

  bool isOpen() const { return this->State == LinkState::Open; }
  bool isClosed() const { return this->State == LinkState::Closed; }

  /// Returns the members to add to each ping and pong.
  std::function<nlohmann::json()> PingBody;

  sigc::signal<void()> Opened;
  /// Emitted for all messages, `ping` and `pong` included.
  sigc::signal<void(const PeerMessage &)> Received;
  sigc::signal<void(const std::string &)> Closed;

private:
  enum class LinkState { Connecting, Open, Closed };

  PeerLink(EventLoop &Loop, Timeline &Events, const PeerLinkLimits &Limits,
           WebSocketCodec::Role Side);
  void attach(int Socket);
  void readInput();
  void onEvent(short What);
  void receive(const std::string &Payload);
  void beat();
  PeerMessage heartbeat(const char *Type) const;

  EventLoop &Loop;
  Timeline &Events;
  PeerLinkLimits Limits;
  WebSocketCodec::Role Side;
  LinkState State = LinkState::Connecting;
  bufferevent *Stream = nullptr;
  std::unique_ptr<WebSocketCodec> Codec;
  TimePoint LastHeard;
  TimePoint LastBeat;
  sigc::connection BeatTimer;
  sigc::connection CloseTimer;
};

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_PEERLINK_H
