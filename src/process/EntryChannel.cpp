#include "process/EntryChannel.h"

#include "connection/BufferedSocket.h"
#include "process/Log.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace galenaroute {

EntryChannel::EntryChannel(EventLoop &Loop, const SocketAddress &Own,
                           OnMessage Deliver)
    : Loop(Loop), Deliver(std::move(Deliver)),
      Binding(Loop, Own, [this, Own] { return this->tryBind(Own); }) {}

/// Returns zero or an errno.
int EntryChannel::tryBind(const SocketAddress &Own) {
  const sockaddr_in Address = socketAddressOf(Own);
  const int Bound =
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Bound < 0)
    return errno;
  if (::bind(Bound, reinterpret_cast<const sockaddr *>(&Address),
             sizeof Address) != 0) {
    const int Error = errno;
    evutil_closesocket(Bound);
    return Error;
  }
  this->Readable = event_new(
      this->Loop.base(), Bound, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void *Self) {
        static_cast<EntryChannel *>(Self)->receive();
      },
      this);
  if (!this->Readable || event_add(this->Readable, nullptr) != 0) {
    if (this->Readable)
      event_free(std::exchange(this->Readable, nullptr));
    evutil_closesocket(Bound);
    return ENOMEM;
  }
  this->Socket = Bound;
  return 0;
}

EntryChannel::~EntryChannel() {
  if (this->Socket < 0)
    return;
  event_free(this->Readable);
  evutil_closesocket(this->Socket);
}

void EntryChannel::send(const SocketAddress &To, const std::string &Bytes) {
  if (!this->isBound())
    return;
  const sockaddr_in Address = socketAddressOf(To);
  const ssize_t Sent =
      ::sendto(this->Socket, Bytes.data(), Bytes.size(), 0,
               reinterpret_cast<const sockaddr *>(&Address), sizeof Address);
  // No retry is needed: gossip is periodic, so the next message replaces a lost
  // one.
  if (Sent < 0)
    log(LogLevel::Debug, "gossip.send_failed",
        {{"to", To.toString()}, {"error", std::strerror(errno)}});
}

void EntryChannel::receive() {
  std::array<char, MaxBytes> Buffer{};
  while (true) {
    const ssize_t Length =
        ::recv(this->Socket, Buffer.data(), Buffer.size(), 0);
    if (Length < 0)
      return;
    try {
      this->Deliver(decodeGossip(
          std::string_view(Buffer.data(), static_cast<std::size_t>(Length))));
    } catch (const std::exception &Failure) {
      log(LogLevel::Warn, "gossip.malformed", {{"message", Failure.what()}});
    }
  }
}

} // namespace galenaroute
