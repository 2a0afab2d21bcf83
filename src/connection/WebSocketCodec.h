// One end of a WebSocket connection without a socket.
//
// Bytes received are fed in, bytes to be sent come out through a callback, so
// that libevent keeps the only event loop:
//
//   WebSocketCodec Codec(WebSocketCodec::Role::Client, "10.0.0.1:7000",
//                        MaxMessageBytes, {OnOpen, OnMessage, OnOutput});
//   Codec.start();
//   if (!Codec.feed(Bytes, Count)) closeTheSocket();
//
// This header is plain C++17 and hides websocketpp, which does not compile as
// C++20. Guarantees: messages over the limit, text frames and protocol errors
// fail the connection, after which feed() and send() return false. The object
// must not be destroyed inside one of its callbacks.

#ifndef GALENAROUTE_CONNECTION_WEBSOCKETCODEC_H
#define GALENAROUTE_CONNECTION_WEBSOCKETCODEC_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace galenaroute {

class WebSocketCodec {
public:
  enum class Role { Client, Server };

  struct Callbacks {
    std::function<void()> OnOpen; ///< The handshake is complete.
    std::function<void(const std::string &Payload)> OnMessage;
    std::function<void(const char *Bytes, std::size_t Count)> OnOutput;
  };

  /// \p Host is the `HOST:PORT` of the handshake; only clients need it.
  WebSocketCodec(Role Side, const std::string &Host,
                 std::size_t MaxMessageBytes, Callbacks Handlers);
  ~WebSocketCodec();
  WebSocketCodec(const WebSocketCodec &) = delete;
  WebSocketCodec &operator=(const WebSocketCodec &) = delete;

  /// Begins the handshake.
  void start();

  /// Takes bytes received; returns false when the connection has failed or was
  /// closed by the other end.
  bool feed(const char *Bytes, std::size_t Count);

  /// Sends one binary message; returns false when the connection is not open.
  bool send(const std::string &Payload);

private:
  struct Connection;
  std::unique_ptr<Connection> Impl;
};

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_WEBSOCKETCODEC_H
