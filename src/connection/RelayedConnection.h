// One connection of a RelayListener: the side of the gateway that asked for it
// and the side of the upstream.

#ifndef GALENAROUTE_CONNECTION_RELAYEDCONNECTION_H
#define GALENAROUTE_CONNECTION_RELAYEDCONNECTION_H

#include "connection/BufferedSocket.h"
#include "connection/RelayListener.h"
#include "connection/RequestRest.h"

namespace galenaroute {

class RelayedConnection
    : public std::enable_shared_from_this<RelayedConnection> {
public:
  RelayedConnection(RelayListener &Owner, int Socket);
  ~RelayedConnection();
  RelayedConnection(const RelayedConnection &) = delete;
  RelayedConnection &operator=(const RelayedConnection &) = delete;

  void start();
  /// Ends both sides with a reset.
  void abort();
  /// Returns the address of the upstream, once it is known.
  const SocketAddress &to() const { return this->To; }

private:
  enum class Side { Gateway, Upstream };
  enum class Phase { Request, Connecting, Open, Finishing, Ending };

  void setCallbacks(bufferevent *Event, Side Of);
  template <typename Function>
  static void guard(void *Self, std::string_view Where, Function Action);
  void onReadable(Side From);
  void onWritten(Side To);
  void onEvent(Side Of, short What);
  void readRequest();
  void connect();
  void onConnected();
  void endWithoutUpstream(RelayFrame Why);
  void forwardToUpstream();
  void forwardToGateway();
  void endUpstream(RelayFrame How);
  void endGateway(RelayFrame How);
  void armRestCheck();
  void onRestCheck();
  void dropRequest();
  void close();
  void armTimer(Duration Delay);

  RelayListener &Owner;
  BufferEventPtr Gateway;
  BufferEventPtr Upstream;
  RelayRequest Request;
  SocketAddress To;
  Phase Current = Phase::Request;
  /// Bytes for the upstream since it was last heard.
  std::size_t SentSinceHeard = 0;
  RequestRest Rest; ///< After the upstream has closed its side.
  sigc::connection Timer;
};

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_RELAYEDCONNECTION_H
