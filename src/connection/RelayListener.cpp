#include "connection/RelayListener.h"

#include "connection/RelayedConnection.h"
#include "process/CallbackGuard.h"
#include "process/Log.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <event2/listener.h>
#include <netinet/in.h>
#include <vector>

namespace galenaroute {

static constexpr int ListenBacklog = 128;
/// After a failure to accept, as when descriptors are short.
static constexpr Duration AcceptPause = std::chrono::milliseconds(100);

RelayListener::RelayListener(EventLoop &Loop, const SocketAddress &Address,
                             RelayListenerParts Parts)
    : Loop(Loop), Parts(std::move(Parts)),
      Binding(Loop, Address,
              [this, Address] { return this->tryListen(Address); }) {}

RelayListener::~RelayListener() {
  this->stop();
  const auto All = this->Connections;
  for (const auto &Each : All)
    Each->abort();
}

/// Returns zero or an errno.
int RelayListener::tryListen(const SocketAddress &Address) {
  const int Bound = listenAt(Address, ListenBacklog);
  if (Bound < 0)
    return errno;
  this->Listener = evconnlistener_new(
      this->Loop.base(),
      [](evconnlistener *, evutil_socket_t Socket, sockaddr *From, int,
         void *Self) {
        runGuarded("relay.accept", [&] {
          char Host[INET_ADDRSTRLEN] = "";
          inet_ntop(AF_INET,
                    &reinterpret_cast<const sockaddr_in *>(From)->sin_addr,
                    Host, sizeof Host);
          static_cast<RelayListener *>(Self)->accept(Socket, Host);
        });
      },
      this, LEV_OPT_CLOSE_ON_FREE, /*backlog=*/0, Bound);
  if (!this->Listener) {
    evutil_closesocket(Bound);
    return ENOMEM;
  }
  evconnlistener_set_error_cb(this->Listener, [](evconnlistener *, void *Self) {
    const int Reason = errno;
    runGuarded("relay.accept_error", [&] {
      static_cast<RelayListener *>(Self)->onAcceptError(Reason);
    });
  });
  return 0;
}

void RelayListener::onAcceptError(int Reason) {
  log(LogLevel::Warn, "accept.failed",
      {{"listener", "relay"}, {"error", std::strerror(Reason)}});
  evconnlistener_disable(this->Listener);
  this->PauseTimer.disconnect();
  this->PauseTimer = this->Loop.timers().after(
      AcceptPause, [this] { evconnlistener_enable(this->Listener); });
}

void RelayListener::stop() {
  this->Binding.cancel();
  this->PauseTimer.disconnect();
  if (this->Listener)
    evconnlistener_free(this->Listener);
  this->Listener = nullptr;
}

void RelayListener::accept(int Socket, std::string_view Host) {
  const bool HasRoom = this->Connections.size() < this->Limits.MaxConnections;
  if (!HasRoom || !this->Parts.MayUse(Host)) {
    log(LogLevel::Warn, "relay.not_accepted",
        {{"from", std::string(Host)},
         {"reason", HasRoom ? "not a known gateway" : "too many connections"},
         {"connections", std::to_string(this->Connections.size())}});
    evutil_closesocket(Socket);
    return;
  }
  const auto Accepted = std::make_shared<RelayedConnection>(*this, Socket);
  this->Connections.insert(Accepted);
  Accepted->start();
}

void RelayListener::forget(
    const std::shared_ptr<RelayedConnection> &Connection) {
  this->Connections.erase(Connection);
}

std::size_t RelayListener::connectionsTo(const SocketAddress &To) const {
  return static_cast<std::size_t>(
      std::count_if(this->Connections.begin(), this->Connections.end(),
                    [&](const auto &Each) { return Each->to() == To; }));
}

} // namespace galenaroute
