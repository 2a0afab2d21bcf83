#include "connection/BufferedSocket.h"

#include "process/ErrorKind.h"
#include "process/Log.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <new>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace galenaroute {

/// Keep-alive probes: the first after this many seconds without traffic, then
/// one a second. Linux ends the connection with the first probe that is due
/// later than the user timeout, whatever their count; a kernel that ignores the
/// timeout does so after three unanswered ones.
static constexpr int KeepAliveIdleSeconds = 1;
static constexpr int KeepAliveProbeSeconds = 1;
static constexpr int KeepAliveProbes = 3;

static void setOption(int Socket, int Level, int Name, int Value) {
  if (setsockopt(Socket, Level, Name, &Value, sizeof Value) != 0)
    log(LogLevel::Warn, "socket.option_refused",
        {{"option", std::to_string(Name)}, {"error", std::strerror(errno)}});
}

BufferEventPtr newBufferEvent(event_base *Base, int Socket) {
  BufferEventPtr Result(bufferevent_socket_new(
      Base, Socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  if (!Result) {
    if (Socket >= 0)
      evutil_closesocket(Socket);
    throw std::bad_alloc();
  }
  return Result;
}

/// The kernel doubles both sizes. The first gives the window that connections
/// begin with by default; a smaller one is less than a segment on loopback,
/// which delays each window.
static constexpr int ReceiveQueueBytes = 64 << 10;
static constexpr int SendQueueBytes = 32 << 10;

void limitQueues(int Socket) {
  setOption(Socket, SOL_SOCKET, SO_RCVBUF, ReceiveQueueBytes);
  setOption(Socket, SOL_SOCKET, SO_SNDBUF, SendQueueBytes);
}

void setUserTimeout(int Socket, Duration Timeout) {
  setOption(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(toMilliseconds(Timeout)));
}

void setSocketLimits(int Socket, Duration UserTimeout) {
  setOption(Socket, IPPROTO_TCP, TCP_NODELAY, 1);
  setUserTimeout(Socket, UserTimeout);
  setOption(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveProbeSeconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

void allowListeningOnLocalPort(int Socket) {
  if (Socket >= 0)
    setOption(Socket, SOL_SOCKET, SO_REUSEADDR, 1);
}

void bindToHost(bufferevent *Event, const std::string &Host) {
  const sockaddr_in Own = socketAddressOf({Host, 0});
  const int Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket >= 0 && ::bind(Socket, reinterpret_cast<const sockaddr *>(&Own),
                            sizeof Own) == 0) {
    bufferevent_setfd(Event, Socket);
    return;
  }
  log(LogLevel::Warn, "socket.bind_failed",
      {{"host", Host}, {"error", std::strerror(errno)}});
  if (Socket >= 0)
    evutil_closesocket(Socket);
}

std::optional<std::size_t> unacknowledgedBytes(int Socket) {
  int Bytes = 0;
  if (::ioctl(Socket, SIOCOUTQ, &Bytes) != 0)
    return std::nullopt;
  return static_cast<std::size_t>(Bytes);
}

std::optional<std::size_t> waitingConnections(int ListeningSocket) {
  tcp_info Info{};
  socklen_t Size = sizeof Info;
  if (::getsockopt(ListeningSocket, IPPROTO_TCP, TCP_INFO, &Info, &Size) != 0 ||
      Info.tcpi_state != TCP_LISTEN)
    return std::nullopt;
  // For a listening socket, Linux reports the length of its queue here.
  return Info.tcpi_unacked;
}

bool isLinkSilent(int Socket) {
  tcp_info Info{};
  socklen_t Size = sizeof Info;
  if (::getsockopt(Socket, IPPROTO_TCP, TCP_INFO, &Info, &Size) == 0)
    return Info.tcpi_probes > 0 || Info.tcpi_retransmits > 0;
  static bool IsLogged = false;
  if (!std::exchange(IsLogged, true))
    log(LogLevel::Warn, "socket.info_unavailable",
        {{"error", std::strerror(errno)}});
  return false;
}

bool isPending(bufferevent *Event, short PollEvents) {
  pollfd Socket{
      .fd = bufferevent_getfd(Event), .events = PollEvents, .revents = 0};
  return ::poll(&Socket, 1, 0) > 0;
}

bool hasUnreadInput(bufferevent *Event) {
  return evbuffer_get_length(bufferevent_get_input(Event)) > 0 ||
         isPending(Event, POLLIN);
}

sockaddr_in socketAddressOf(const SocketAddress &Address) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Address.Port);
  if (inet_pton(AF_INET, Address.Host.c_str(), &Result.sin_addr) != 1)
    throw Error(ErrorKind::BadRequest,
                "not an IPv4 address: " + Address.toString());
  return Result;
}

std::string_view firstBytes(evbuffer *Buffer) {
  const std::size_t Length = evbuffer_get_contiguous_space(Buffer);
  if (Length == 0)
    return {};
  return {reinterpret_cast<const char *>(
              evbuffer_pullup(Buffer, static_cast<ev_ssize_t>(Length))),
          Length};
}

} // namespace galenaroute
