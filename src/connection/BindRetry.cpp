#include "connection/BindRetry.h"

#include "connection/BufferedSocket.h"
#include "process/ErrorKind.h"
#include "process/Log.h"

#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace galenaroute {

static constexpr auto RetryPeriod = std::chrono::milliseconds(50);
static constexpr auto LogPeriod = std::chrono::seconds(10);

/// Returns whether \p Error lasts for as long as the process and its settings.
static bool isPermanent(int Error) {
  return Error == EACCES || Error == EAFNOSUPPORT || Error == EINVAL ||
         Error == EPROTONOSUPPORT;
}

BindRetry::BindRetry(EventLoop &Loop, SocketAddress Address, Attempt TryBind)
    : Address(std::move(Address)), TryBind(std::move(TryBind)) {
  const int Error = this->TryBind();
  if (isPermanent(Error))
    throw galenaroute::Error(ErrorKind::Internal,
                             "cannot listen on " + this->Address.toString() +
                                 ": " + std::strerror(Error));
  this->Bound = Error == 0;
  if (this->Bound)
    return;
  this->logWaiting(Error);
  this->Timer = Loop.timers().every(RetryPeriod, [this] { this->retry(); });
}

BindRetry::~BindRetry() { this->cancel(); }

void BindRetry::cancel() { this->Timer.disconnect(); }

void BindRetry::retry() {
  const int Error = this->TryBind();
  if (Error != 0) {
    if (EventLoop::now() - this->LoggedAt >= LogPeriod)
      this->logWaiting(Error);
    return;
  }
  this->Bound = true;
  this->cancel();
  log(LogLevel::Info, "listen.bound",
      {{"address", this->Address.toString()},
       {"waited_ms",
        std::to_string(toMilliseconds(EventLoop::now() - this->Since))}});
}

void BindRetry::logWaiting(int Error) {
  this->LoggedAt = EventLoop::now();
  log(LogLevel::Warn, "listen.waiting",
      {{"address", this->Address.toString()},
       {"error", std::strerror(Error)},
       {"waited_ms",
        std::to_string(toMilliseconds(this->LoggedAt - this->Since))}});
}

int listenAt(const SocketAddress &Address, int Backlog) {
  const sockaddr_in To = socketAddressOf(Address);
  const int Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return -1;
  const int On = 1;
  if (::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On) == 0 &&
      ::bind(Socket, reinterpret_cast<const sockaddr *>(&To), sizeof To) == 0 &&
      ::listen(Socket, Backlog) == 0)
    return Socket;
  const int Error = errno;
  evutil_closesocket(Socket);
  errno = Error;
  return -1;
}

} // namespace galenaroute
