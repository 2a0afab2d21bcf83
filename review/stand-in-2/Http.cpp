#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

static sockaddr_in socketAddress(const Address &Of) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<std::uint16_t>(Of.Port));
  inet_pton(AF_INET, Of.Host.c_str(), &Result.sin_addr);
  return Result;
}

Address Address::parse(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  return {Text.substr(0, Colon), std::stoi(Text.substr(Colon + 1))};
}

std::string Message::query(const std::string &Name) const {
  const std::size_t Question = Target.find('?');
  if (Question == std::string::npos)
    return "";
  const std::string All = "&" + Target.substr(Question + 1);
  const std::size_t At = All.find("&" + Name + "=");
  if (At == std::string::npos)
    return "";
  const std::size_t Begin = At + Name.size() + 2;
  return All.substr(Begin, All.find('&', Begin) - Begin);
}

Stream::~Stream() { ::close(Socket); }

bool Stream::fill() {
  char Bytes[16384];
  const ssize_t Count = ::recv(Socket, Bytes, sizeof Bytes, 0);
  if (Count <= 0)
    return false;
  Buffer.append(Bytes, static_cast<std::size_t>(Count));
  return true;
}

bool Stream::readLine(std::string &Line) {
  std::size_t End;
  while ((End = Buffer.find('\n')) == std::string::npos)
    if (!fill())
      return false;
  Line = Buffer.substr(0, End);
  if (!Line.empty() && Line.back() == '\r')
    Line.pop_back();
  Buffer.erase(0, End + 1);
  return true;
}

bool Stream::readBytes(std::size_t Count, std::string &Bytes) {
  while (Buffer.size() < Count)
    if (!fill())
      return false;
  Bytes += Buffer.substr(0, Count);
  Buffer.erase(0, Count);
  return true;
}

bool Stream::readHead(Message &Into) {
  std::string Line;
  if (!readLine(Line))
    return false;
  const std::size_t First = Line.find(' ');
  const std::size_t Second = Line.find(' ', First + 1);
  if (First == std::string::npos)
    return false;
  Into.Method = Line.substr(0, First);
  Into.Target = Line.substr(First + 1, Second - First - 1);
  if (Into.Method.rfind("HTTP/", 0) == 0)
    Into.Status = std::atoi(Into.Target.c_str());
  while (readLine(Line)) {
    if (Line.empty())
      return true;
    const std::size_t Colon = Line.find(':');
    std::string Name = Line.substr(0, Colon);
    std::transform(Name.begin(), Name.end(), Name.begin(), ::tolower);
    std::size_t Begin = Colon + 1;
    while (Begin < Line.size() && Line[Begin] == ' ')
      ++Begin;
    Into.Fields[Name] = Line.substr(std::min(Begin, Line.size()));
  }
  return false;
}

bool Stream::readBody(Message &Of) {
  if (Of.field("transfer-encoding").empty()) {
    const std::string Length = Of.field("content-length");
    return Length.empty() || readBytes(std::stoul(Length), Of.Body);
  }
  std::string Line;
  while (readLine(Line)) {
    const std::size_t Size = std::stoul(Line, nullptr, 16);
    if (!readBytes(Size, Of.Body) || !readLine(Line))
      return false;
    if (Size == 0)
      return true;
  }
  return false;
}

bool Stream::write(const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Count =
        ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

bool Stream::isClosed() const {
  char Byte;
  const ssize_t Count = ::recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Stream::shut() { ::shutdown(Socket, SHUT_RDWR); }

std::string headOf(int Status, const Fields &Of) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " -\r\n";
  for (const auto &[Name, Value] : Of)
    Text += Name + ": " + Value + "\r\n";
  return Text + "\r\n";
}

bool answer(Stream &Peer, int Status, const Fields &Of,
            const std::string &Body) {
  Fields All = Of;
  All["Content-Length"] = std::to_string(Body.size());
  return Peer.write(headOf(Status, All) + Body);
}

Server::~Server() { stop(); }

void Server::start(const std::string &Host, Handler Next) {
  Answer = std::move(Next);
  Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  At = {Host, 0};
  sockaddr_in Own = socketAddress(At);
  socklen_t Size = sizeof Own;
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Own), sizeof Own) != 0 ||
      ::listen(Socket, 512) != 0 ||
      ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Own), &Size) != 0)
    throw std::runtime_error("cannot listen at " + Host);
  At.Port = ntohs(Own.sin_port);
  Acceptor = std::thread([this] {
    while (true) {
      const int Next = ::accept4(Socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (Next < 0)
        return;
      const int On = 1;
      ::setsockopt(Next, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
      std::thread(&Server::serve, this, std::make_shared<Stream>(Next))
          .detach();
    }
  });
}

void Server::serve(std::shared_ptr<Stream> Peer) {
  {
    const std::lock_guard Lock(Mutex);
    Open.insert(Peer);
  }
  while (true) {
    Message Request;
    if (!Peer->readHead(Request) || !Peer->readBody(Request) ||
        !Answer(Request, *Peer))
      break;
  }
  Peer->shut();
  const std::lock_guard Lock(Mutex);
  Open.erase(Peer);
}

void Server::stop() {
  if (Socket < 0)
    return;
  ::shutdown(Socket, SHUT_RDWR);
  Acceptor.join();
  ::close(Socket);
  Socket = -1;
  const std::lock_guard Lock(Mutex);
  for (const auto &Each : Open)
    Each->shut();
}

std::unique_ptr<Stream> connectTo(const Address &To, int TimeoutMs) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval Limit{TimeoutMs / 1000, (TimeoutMs % 1000) * 1000};
  ::setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
  const sockaddr_in Peer = socketAddress(To);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Peer),
                sizeof Peer) != 0) {
    ::close(Socket);
    return nullptr;
  }
  const int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  timeval Wait{20, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Wait, sizeof Wait);
  return std::make_unique<Stream>(Socket);
}

Message call(const Address &To, const std::string &Method,
             const std::string &Target, const Fields &Of,
             const std::string &Body) {
  const auto Peer = connectTo(To);
  if (!Peer)
    return {};
  std::string Text = Method + " " + Target + " HTTP/1.1\r\n";
  Fields All = Of;
  All.try_emplace("Host", To.text());
  All["Content-Length"] = std::to_string(Body.size());
  for (const auto &[Name, Value] : All)
    Text += Name + ": " + Value + "\r\n";
  Message Answer;
  if (!Peer->write(Text + "\r\n" + Body) || !Peer->readHead(Answer) ||
      !Peer->readBody(Answer))
    return {};
  return Answer;
}

bool isFree(const Address &At) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Own = socketAddress(At);
  const bool IsBound =
      ::bind(Socket, reinterpret_cast<const sockaddr *>(&Own), sizeof Own) == 0;
  ::close(Socket);
  return IsBound;
}

} // namespace review
