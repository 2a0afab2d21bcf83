#include "PollLoop.h"

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace galenaroute::process_soak {

using namespace std::chrono_literals;

static constexpr Duration LongestWait = 20ms;
static constexpr int Backlog = 512;

static volatile std::sig_atomic_t Terminated = 0;

void catchTermination() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { Terminated = 1; });
}

bool isTerminated() { return Terminated != 0; }

void PollLoop::watch(int Socket, Handler Do) {
  this->Sockets[Socket] = {std::move(Do), false, ++this->LastNumber};
}

void PollLoop::setWriting(int Socket, bool Enabled) {
  const auto Found = this->Sockets.find(Socket);
  if (Found != this->Sockets.end())
    Found->second.Writes = Enabled;
}

void PollLoop::fireTimers() {
  const TimePoint Now = Clock::now();
  while (!this->Timers.empty() && this->Timers.begin()->first <= Now) {
    const auto Node = this->Timers.extract(this->Timers.begin());
    Node.mapped()();
  }
}

void PollLoop::run(const std::function<bool()> &IsOver) {
  std::vector<pollfd> Polled;
  std::vector<std::uint64_t> Numbers;
  while (!IsOver()) {
    this->fireTimers();
    Polled.clear();
    Numbers.clear();
    for (const auto &[Socket, Each] : this->Sockets) {
      Polled.push_back(
          {Socket, static_cast<short>(POLLIN | (Each.Writes ? POLLOUT : 0)),
           0});
      Numbers.push_back(Each.Number);
    }
    Duration Wait = LongestWait;
    if (!this->Timers.empty())
      Wait = std::clamp(this->Timers.begin()->first - Clock::now(),
                        Duration::zero(), Wait);
    poll(Polled.data(), Polled.size(), static_cast<int>(toMilliseconds(Wait)));
    for (std::size_t I = 0; I < Polled.size(); ++I) {
      if (Polled[I].revents == 0)
        continue;
      const auto Found = this->Sockets.find(Polled[I].fd);
      if (Found == this->Sockets.end() || Found->second.Number != Numbers[I])
        continue;
      // The handler may remove itself.
      const Handler Do = Found->second.Do;
      Do((Polled[I].revents & (POLLIN | POLLERR | POLLHUP)) != 0,
         (Polled[I].revents & (POLLOUT | POLLERR)) != 0);
    }
  }
}

static sockaddr_in parseAddress(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  if (inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Result.sin_addr) !=
      1)
    throw std::runtime_error("not an address: " + Address);
  return Result;
}

static int openSocket() {
  const int Socket =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    throw std::runtime_error("cannot open a socket");
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  return Socket;
}

int listenAt(const std::string &Address) {
  const sockaddr_in At = parseAddress(Address);
  const int Socket = openSocket();
  const int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&At), sizeof At) != 0 ||
      listen(Socket, Backlog) != 0) {
    close(Socket);
    throw std::runtime_error("cannot listen at " + Address);
  }
  return Socket;
}

/// Begins to connect; closes the socket if that fails.
static int beginConnecting(int Socket, const std::string &Address) {
  const sockaddr_in To = parseAddress(Address);
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&To), sizeof To) ==
          0 ||
      errno == EINPROGRESS)
    return Socket;
  close(Socket);
  return -1;
}

int connectTo(const std::string &Address, int ReceiveBytes) {
  const int Socket = openSocket();
  if (ReceiveBytes != 0)
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
               sizeof ReceiveBytes);
  return beginConnecting(Socket, Address);
}

int connectFrom(const std::string &Own, const std::string &Address) {
  const sockaddr_in From = parseAddress(Own);
  const int Socket = openSocket();
  // Connections that have ended are no obstacle; this one is.
  int Reuse = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Reuse, sizeof Reuse);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&From), sizeof From) !=
      0) {
    close(Socket);
    return -1;
  }
  Reuse = 0;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Reuse, sizeof Reuse);
  return beginConnecting(Socket, Address);
}

ReadResult readAll(int Socket, std::string &Text, std::size_t Most) {
  char Buffer[16384];
  while (Text.size() < Most) {
    const ssize_t Count = read(Socket, Buffer, sizeof Buffer);
    if (Count > 0)
      Text.append(Buffer, static_cast<std::size_t>(Count));
    else if (Count == 0 || (errno != EAGAIN && errno != EINTR))
      return ReadResult::Closed;
    else
      break;
  }
  return ReadResult::Open;
}

bool writeSome(int Socket, std::string &Text) {
  const ssize_t Count =
      send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (Count < 0)
    return errno == EAGAIN || errno == EINTR;
  Text.erase(0, static_cast<std::size_t>(Count));
  return true;
}

void resetSocket(int Socket) {
  const linger Now{1, 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Now, sizeof Now);
  close(Socket);
}

} // namespace galenaroute::process_soak
