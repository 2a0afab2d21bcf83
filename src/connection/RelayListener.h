// Connects other gateways to upstreams that they cannot reach themselves.
//
//   RelayListener Relays(Loop, Address, {.MayUse = ..., .AddressOf = ...});
//   Relays.setLimits({.MaxConnections = 200});
//   Relays.stop();
//
// A connection carries one request, see RelayProtocol.h, and then bytes in both
// directions, which are not interpreted. Each side is read only while less than
// MaxBacklog waits for the other one. An end of one side ends the other one in
// the same way: a reset by a reset, an orderly end after all bytes before it.
//
// Guarantees: a bounded number of connections and a bounded amount of memory
// for each; a connection from an address that MayUse does not accept is closed
// unread; a request that is malformed, late or too long closes its connection;
// nothing is sent to the upstream before the request was accepted.

#ifndef GALENAROUTE_CONNECTION_RELAYLISTENER_H
#define GALENAROUTE_CONNECTION_RELAYLISTENER_H

#include "connection/BindRetry.h"
#include "connection/RelayProtocol.h"
#include "process/EventLoop.h"

#include <memory>
#include <set>

struct evconnlistener;

namespace galenaroute {

class RelayedConnection;

struct RelayListenerParts {
  /// Returns whether a gateway with this IP address may use the listener.
  std::function<bool(std::string_view Host)> MayUse;
  /// Returns the address of an upstream that this gateway may open a connection
  /// to, or nothing.
  std::function<std::optional<SocketAddress>(const RelayRequest &Request)>
      AddressOf;
};

struct RelayLimits {
  std::size_t MaxConnections = 256;
  Duration RequestTimeout = std::chrono::seconds(1);
  Duration ConnectTimeout = std::chrono::milliseconds(400);
  /// See UpstreamExchangeSettings::UserTimeout.
  Duration UserTimeout = std::chrono::milliseconds(3500);
  /// For a side whose full window may be that of a sound reader: an upstream
  /// that reads a long request, and a gateway whose caller reads slowly.
  Duration LongTimeout = std::chrono::seconds(15);
};

class RelayListener {
public:
  /// Bytes that wait for one side of a connection before the other side is not
  /// read on.
  static constexpr std::size_t MaxBacklog = 32 << 10;

  RelayListener(EventLoop &Loop, const SocketAddress &Address,
                RelayListenerParts Parts);
  ~RelayListener();
  RelayListener(const RelayListener &) = delete;
  RelayListener &operator=(const RelayListener &) = delete;

  void setLimits(const RelayLimits &Next) { this->Limits = Next; }
  /// Accepts no further connections.
  void stop();
  bool isBound() const { return this->Binding.isBound(); }
  std::size_t connections() const { return this->Connections.size(); }
  /// Returns the open connections to an upstream.
  std::size_t connectionsTo(const SocketAddress &To) const;

private:
  friend class RelayedConnection;

  int tryListen(const SocketAddress &Address);
  void accept(int Socket, std::string_view Host);
  void onAcceptError(int Reason);
  void forget(const std::shared_ptr<RelayedConnection> &Connection);

  EventLoop &Loop;
  RelayListenerParts Parts;
  RelayLimits Limits;
  evconnlistener *Listener = nullptr;
  std::set<std::shared_ptr<RelayedConnection>> Connections;
  sigc::connection PauseTimer;
  BindRetry Binding;
};

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_RELAYLISTENER_H
