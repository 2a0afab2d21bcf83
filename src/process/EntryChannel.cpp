#include "process/EntryChannel.h"

#include "connection/BufferedSocket.h"
#include "process/ErrorKind.h"
#include "process/Log.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace galenaroute {

EntryChannel::EntryChannel(EventLoop &Loop, const SocketAddress &Own,
                           OnMessage Deliver)
    : Deliver(std::move(Deliver)),
      Socket(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0)) {
  const sockaddr_in Address = socketAddressOf(Own);
  if (this->Socket < 0 ||
      ::bind(this->Socket, reinterpret_cast<const sockaddr *>(&Address),
             sizeof Address) != 0) {
    const std::string Reason = std::strerror(errno);
    if (this->Socket >= 0)
      evutil_closesocket(this->Socket);
    throw Error(ErrorKind::Internal,
                "cannot listen on " + Own.toString() + ": " + Reason);
  }
  this->Readable = event_new(
      Loop.base(), this->Socket, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void *Self) {
        static_cast<EntryChannel *>(Self)->receive();
      },
      this);
  event_add(this->Readable, nullptr);
}

EntryChannel::~EntryChannel() {
  event_free(this->Readable);
  evutil_closesocket(this->Socket);
}

void EntryChannel::send(const SocketAddress &To, const std::string &Bytes) {
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
