#include "Net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

std::int64_t nowMs() {
  using namespace std::chrono;
  static const steady_clock::time_point Begun = steady_clock::now();
  return duration_cast<milliseconds>(steady_clock::now() - Begun).count();
}

void sleepMs(std::int64_t Time) {
  if (Time > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(Time));
}

void sleepUntilMs(std::int64_t At) { sleepMs(At - nowMs()); }

static std::string word(const std::string &Line, int Index) {
  std::size_t From = 0;
  for (int I = 0; I < Index; ++I) {
    From = Line.find(' ', From);
    if (From == std::string::npos)
      return "";
    ++From;
  }
  return Line.substr(From, Line.find(' ', From) - From);
}

std::string Message::method() const { return word(this->Start, 0); }
std::string Message::target() const { return word(this->Start, 1); }
int Message::status() const { return std::atoi(word(this->Start, 1).c_str()); }

bool Message::has(std::string_view Name) const {
  return std::any_of(
      this->Fields.begin(), this->Fields.end(), [&](const auto &Each) {
        return Each.first.size() == Name.size() &&
               strncasecmp(Each.first.data(), Name.data(), Name.size()) == 0;
      });
}

std::string Message::field(std::string_view Name) const {
  for (const auto &[Key, Value] : this->Fields)
    if (Key.size() == Name.size() &&
        strncasecmp(Key.data(), Name.data(), Name.size()) == 0)
      return Value;
  return "";
}

static sockaddr_in socketAddress(const Address &Of) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<std::uint16_t>(Of.Port));
  if (inet_pton(AF_INET, Of.Host.c_str(), &Result.sin_addr) != 1)
    throw std::runtime_error("not an IPv4 address: " + Of.Host);
  return Result;
}

int Connection::connectTo(const Address &To, int TimeoutMs) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return -1;
  const int One = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  fcntl(Socket, F_SETFL, fcntl(Socket, F_GETFL) | O_NONBLOCK);
  const sockaddr_in At = socketAddress(To);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&At), sizeof At) !=
      0) {
    pollfd Wait{Socket, POLLOUT, 0};
    int Failure = errno == EINPROGRESS ? 0 : errno;
    socklen_t Size = sizeof Failure;
    if (Failure == 0 &&
        (::poll(&Wait, 1, TimeoutMs) <= 0 ||
         getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Failure, &Size) != 0))
      Failure = ETIMEDOUT;
    if (Failure != 0) {
      ::close(Socket);
      return -1;
    }
  }
  return Socket;
}

void Connection::close() {
  if (this->Socket >= 0)
    ::close(this->Socket);
  this->Socket = -1;
}

Connection::Fill Connection::fill(std::int64_t UntilMs) {
  while (true) {
    char Bytes[16384];
    const ssize_t Got = ::recv(this->Socket, Bytes, sizeof Bytes, MSG_DONTWAIT);
    if (Got > 0) {
      this->Buffer.append(Bytes, static_cast<std::size_t>(Got));
      return Fill::Data;
    }
    if (Got == 0 || (errno != EAGAIN && errno != EINTR))
      return Fill::End;
    const std::int64_t Left = UntilMs - nowMs();
    if (Left <= 0)
      return Fill::TimedOut;
    pollfd Wait{this->Socket, POLLIN, 0};
    ::poll(&Wait, 1, static_cast<int>(std::min<std::int64_t>(Left, 1000)));
  }
}

bool Connection::isClosedByPeer() {
  char Byte;
  const ssize_t Got = ::recv(this->Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got == 0 || (Got < 0 && errno != EAGAIN && errno != EINTR);
}

ReadEnd Connection::readHead(Message &Into, std::int64_t UntilMs) {
  Into = {};
  std::size_t End;
  while ((End = this->Buffer.find("\r\n\r\n")) == std::string::npos) {
    const bool IsEmpty = this->Buffer.empty();
    switch (this->fill(UntilMs)) {
    case Fill::Data:
      break;
    case Fill::End:
      return IsEmpty ? ReadEnd::Closed : ReadEnd::Cut;
    case Fill::TimedOut:
      return ReadEnd::TimedOut;
    }
  }
  const std::string Head = this->Buffer.substr(0, End + 2);
  this->Buffer.erase(0, End + 4);
  std::size_t From = Head.find("\r\n");
  Into.Start = Head.substr(0, From);
  for (From += 2; From < Head.size();) {
    const std::size_t Next = Head.find("\r\n", From);
    const std::string Line = Head.substr(From, Next - From);
    const std::size_t Colon = Line.find(':');
    std::string Value =
        Colon == std::string::npos ? "" : Line.substr(Colon + 1);
    Value.erase(0, Value.find_first_not_of(' '));
    Into.Fields.emplace_back(Line.substr(0, Colon), Value);
    From = Next + 2;
  }
  return ReadEnd::Whole;
}

ReadEnd Connection::readBytes(std::string &Into, std::size_t Count,
                              std::int64_t UntilMs) {
  while (this->Buffer.size() < Count) {
    const Fill How = this->fill(UntilMs);
    if (How != Fill::Data)
      return How == Fill::End ? ReadEnd::Cut : ReadEnd::TimedOut;
  }
  Into.append(this->Buffer, 0, Count);
  this->Buffer.erase(0, Count);
  return ReadEnd::Whole;
}

ReadEnd Connection::readChunks(std::string &Into, std::int64_t UntilMs) {
  while (true) {
    std::size_t End;
    while ((End = this->Buffer.find("\r\n")) == std::string::npos) {
      const Fill How = this->fill(UntilMs);
      if (How != Fill::Data)
        return How == Fill::End ? ReadEnd::Cut : ReadEnd::TimedOut;
    }
    const std::size_t Size =
        std::stoul(this->Buffer.substr(0, End), nullptr, 16);
    this->Buffer.erase(0, End + 2);
    std::string Chunk;
    const ReadEnd How = this->readBytes(Chunk, Size + 2, UntilMs);
    if (How != ReadEnd::Whole)
      return How;
    Into.append(Chunk, 0, Size);
    if (Size == 0)
      return ReadEnd::Whole;
  }
}

ReadEnd Connection::readRequest(Message &Into, std::int64_t UntilMs) {
  const ReadEnd How = this->readHead(Into, UntilMs);
  if (How != ReadEnd::Whole)
    return How;
  const std::size_t Length =
      std::strtoul(Into.field("Content-Length").c_str(), nullptr, 10);
  return this->readBytes(Into.Body, Length, UntilMs);
}

ReadEnd Connection::readResponse(Message &Into, std::int64_t UntilMs) {
  const ReadEnd How = this->readHead(Into, UntilMs);
  if (How != ReadEnd::Whole)
    return How;
  if (Into.has("Transfer-Encoding"))
    return this->readChunks(Into.Body, UntilMs);
  if (!Into.has("Content-Length"))
    return ReadEnd::Cut; // The gateway always frames its answers.
  const std::size_t Length =
      std::strtoul(Into.field("Content-Length").c_str(), nullptr, 10);
  return this->readBytes(Into.Body, Length, UntilMs);
}

bool Connection::write(std::string_view Bytes, std::int64_t UntilMs) {
  while (!Bytes.empty()) {
    const ssize_t Sent = ::send(this->Socket, Bytes.data(), Bytes.size(),
                                MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Sent > 0) {
      Bytes.remove_prefix(static_cast<std::size_t>(Sent));
      continue;
    }
    if (Sent < 0 && errno != EAGAIN && errno != EINTR)
      return false;
    const std::int64_t Left = UntilMs - nowMs();
    if (Left <= 0)
      return false;
    pollfd Wait{this->Socket, POLLOUT, 0};
    ::poll(&Wait, 1, static_cast<int>(std::min<std::int64_t>(Left, 1000)));
  }
  return true;
}

std::string
formatResponse(int Status,
               const std::vector<std::pair<std::string, std::string>> &Fields,
               std::string_view Body) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " Status\r\n";
  for (const auto &[Name, Value] : Fields)
    Text += Name + ": " + Value + "\r\n";
  Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
  Text += Body;
  return Text;
}

Listener::Listener(const std::string &Host, int Port, Handler Serve)
    : Serve(std::move(Serve)),
      Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int One = 1;
  setsockopt(this->Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  sockaddr_in At = socketAddress({Host, Port});
  socklen_t Size = sizeof At;
  if (::bind(this->Socket, reinterpret_cast<sockaddr *>(&At), sizeof At) != 0 ||
      ::listen(this->Socket, 256) != 0 ||
      ::getsockname(this->Socket, reinterpret_cast<sockaddr *>(&At), &Size) !=
          0)
    throw std::runtime_error("cannot listen on " + Host);
  this->At = {Host, ntohs(At.sin_port)};
  this->Accepting = std::thread([this] { this->acceptAll(); });
}

void Listener::acceptAll() {
  while (!this->Stopping) {
    pollfd Wait{this->Socket, POLLIN, 0};
    if (::poll(&Wait, 1, 50) <= 0)
      continue;
    const int Next = ::accept4(this->Socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (Next < 0)
      continue;
    const int One = 1;
    setsockopt(Next, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
    {
      const std::lock_guard Guard(this->Lock);
      this->Open.insert(Next);
    }
    ++this->Running;
    std::thread([this, Next] {
      Connection Served(Next);
      this->Serve(Served);
      {
        const std::lock_guard Guard(this->Lock);
        this->Open.erase(Next);
        Served.close();
      }
      --this->Running;
    }).detach();
  }
}

void Listener::stop() {
  if (this->Stopping.exchange(true))
    return;
  this->Accepting.join();
  ::close(this->Socket);
  {
    const std::lock_guard Guard(this->Lock);
    for (const int Each : this->Open)
      ::shutdown(Each, SHUT_RDWR);
  }
  while (this->Running > 0)
    sleepMs(5);
}

Listener::~Listener() { this->stop(); }

} // namespace review
