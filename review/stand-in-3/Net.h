// A poll loop, timers and a small HTTP/1.1 server and client for the stand-ins
// of the review. One thread; nothing blocks.

#ifndef GALENAROUTE_REVIEW_STANDIN3_NET_H
#define GALENAROUTE_REVIEW_STANDIN3_NET_H

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;

inline std::int64_t nowMs() {
  static const Clock::time_point Start = Clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               Start)
      .count();
}

inline std::int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

struct Address {
  std::string Host;
  int Port = 0;
  std::string text() const { return Host + ":" + std::to_string(Port); }
  sockaddr_in socket() const {
    sockaddr_in Result{};
    Result.sin_family = AF_INET;
    Result.sin_port = htons(static_cast<std::uint16_t>(Port));
    inet_pton(AF_INET, Host.c_str(), &Result.sin_addr);
    return Result;
  }
};

class Loop {
public:
  using Action = std::function<void()>;
  using OnReady = std::function<void(short)>;

  void after(std::int64_t Ms, Action Do) {
    Timers.emplace(nowMs() + Ms, std::move(Do));
  }
  void watch(int Socket, short Events, OnReady Do) {
    Watched[Socket] = {Events, std::move(Do)};
  }
  void setEvents(int Socket, short Events) {
    if (const auto It = Watched.find(Socket); It != Watched.end())
      It->second.Events = Events;
  }
  void forget(int Socket) { Watched.erase(Socket); }
  void stop() { Stopped = true; }

  void run() {
    while (!Stopped) {
      std::int64_t Wait = 100;
      if (!Timers.empty())
        Wait =
            std::clamp<std::int64_t>(Timers.begin()->first - nowMs(), 0, 100);
      std::vector<pollfd> Polled;
      for (const auto &[Socket, Each] : Watched)
        Polled.push_back({Socket, Each.Events, 0});
      ::poll(Polled.data(), Polled.size(), static_cast<int>(Wait));
      for (const pollfd &Each : Polled) {
        if (Each.revents == 0)
          continue;
        const auto It = Watched.find(Each.fd);
        if (It == Watched.end())
          continue;
        const OnReady Do = It->second.Do;
        Do(Each.revents);
      }
      while (!Timers.empty() && Timers.begin()->first <= nowMs()) {
        const Action Do = std::move(Timers.begin()->second);
        Timers.erase(Timers.begin());
        Do();
      }
    }
  }

private:
  struct Watch {
    short Events = 0;
    OnReady Do;
  };
  std::map<int, Watch> Watched;
  std::multimap<std::int64_t, Action> Timers;
  bool Stopped = false;
};

/// A message head and body.
struct Message {
  std::string Start;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  std::string field(const std::string &Name) const {
    for (const auto &[Key, Value] : Fields)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return {};
  }
  bool has(const std::string &Name) const {
    return std::any_of(Fields.begin(), Fields.end(), [&](const auto &Each) {
      return strcasecmp(Each.first.c_str(), Name.c_str()) == 0;
    });
  }
  std::string method() const { return Start.substr(0, Start.find(' ')); }
  std::string target() const {
    const std::size_t First = Start.find(' ');
    return Start.substr(First + 1, Start.rfind(' ') - First - 1);
  }
  std::string path() const {
    const std::string All = target();
    return All.substr(0, All.find('?'));
  }
  std::string query(const std::string &Name) const {
    const std::string All = target();
    std::size_t At = All.find('?');
    while (At != std::string::npos) {
      const std::size_t End = All.find('&', At + 1);
      const std::string Item =
          All.substr(At + 1, End == std::string::npos ? End : End - At - 1);
      if (Item.rfind(Name + "=", 0) == 0)
        return Item.substr(Name.size() + 1);
      At = End;
    }
    return {};
  }
  int status() const {
    const std::size_t At = Start.find(' ');
    return At == std::string::npos ? 0 : std::atoi(Start.c_str() + At + 1);
  }
};

/// Takes a whole message with a length from \p Bytes. Returns whether there was
/// one.
inline bool takeMessage(std::string &Bytes, Message &Into) {
  const std::size_t End = Bytes.find("\r\n\r\n");
  if (End == std::string::npos)
    return false;
  Message Read;
  std::size_t At = Bytes.find("\r\n");
  Read.Start = Bytes.substr(0, At);
  while (At < End) {
    const std::size_t Next = Bytes.find("\r\n", At + 2);
    const std::string Line = Bytes.substr(At + 2, Next - At - 2);
    const std::size_t Colon = Line.find(':');
    std::string Value =
        Colon == std::string::npos ? "" : Line.substr(Colon + 1);
    while (!Value.empty() && Value.front() == ' ')
      Value.erase(0, 1);
    Read.Fields.emplace_back(Line.substr(0, Colon), Value);
    At = Next;
  }
  const std::size_t Length = static_cast<std::size_t>(
      std::atoll(Read.field("Content-Length").c_str()));
  if (Bytes.size() < End + 4 + Length)
    return false;
  Read.Body = Bytes.substr(End + 4, Length);
  Bytes.erase(0, End + 4 + Length);
  Into = std::move(Read);
  return true;
}

inline std::string decoded(const std::string &Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I)
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Result += static_cast<char>(
          std::strtol(Text.substr(I + 1, 2).c_str(), nullptr, 16));
      I += 2;
    } else {
      Result += Text[I];
    }
  return Result;
}

/// A connection that a peer has opened.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  using OnRequest =
      std::function<void(std::shared_ptr<Connection>, const Message &)>;

  Connection(Loop &Events, int Socket, OnRequest Do)
      : Events(Events), Socket(Socket), Do(std::move(Do)) {}

  void start() {
    Events.watch(Socket, POLLIN,
                 [Self = shared_from_this()](short) { Self->onReady(); });
  }
  /// While true, nothing is read, as by a process that stands still.
  void setSilent(bool Silent) {
    IsSilent = Silent;
    update();
  }
  void answer(int Status, const std::string &Body,
              const std::string &MoreFields = {}) {
    send("HTTP/1.1 " + std::to_string(Status) +
         " X\r\nContent-Type: application/json\r\n" + MoreFields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body);
  }
  void send(const std::string &Bytes) {
    if (Socket < 0)
      return;
    Out += Bytes;
    flush();
  }
  bool isOpen() const { return Socket >= 0; }
  /// Ends the connection once all is sent.
  void closeAfterSend() {
    Closes = true;
    flush();
  }
  /// Ends the connection with a reset, as a process that crashes.
  void reset() {
    const linger Reset{.l_onoff = 1, .l_linger = 0};
    if (Socket >= 0)
      ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof Reset);
    close();
  }
  void close() {
    if (Socket < 0)
      return;
    const auto Self = shared_from_this();
    Events.forget(Socket);
    ::close(Socket);
    Socket = -1;
    if (OnClose)
      OnClose();
  }
  std::function<void()> OnClose;
  bool IsBusy = false; ///< A request is being answered.

  void next() {
    IsBusy = false;
    parse();
  }

private:
  void update() {
    if (Socket >= 0)
      Events.setEvents(
          Socket, static_cast<short>((IsSilent ? 0 : POLLIN) |
                                     (Out.empty() || IsSilent ? 0 : POLLOUT)));
  }
  void onReady() {
    if (Socket < 0 || IsSilent)
      return;
    char Buffer[65536];
    const auto Self = shared_from_this();
    while (Socket >= 0) {
      const ssize_t Read = ::recv(Socket, Buffer, sizeof Buffer, MSG_DONTWAIT);
      if (Read > 0) {
        In.append(Buffer, static_cast<std::size_t>(Read));
        continue;
      }
      if (Read == 0 || (errno != EAGAIN && errno != EINTR)) {
        parse();
        close();
        return;
      }
      break;
    }
    parse();
    flush();
  }
  void parse() {
    Message Read;
    const auto Self = shared_from_this();
    while (Socket >= 0 && !IsBusy && takeMessage(In, Read))
      Do(Self, Read);
  }
  void flush() {
    while (Socket >= 0 && !Out.empty() && !IsSilent) {
      const ssize_t Sent =
          ::send(Socket, Out.data(), Out.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      if (Sent <= 0) {
        if (errno == EAGAIN)
          break;
        close();
        return;
      }
      Out.erase(0, static_cast<std::size_t>(Sent));
    }
    if (Socket >= 0 && Closes && Out.empty())
      close();
    update();
  }

  Loop &Events;
  int Socket;
  OnRequest Do;
  std::string In;
  std::string Out;
  bool IsSilent = false;
  bool Closes = false;
};

/// Accepts connections at an address.
class Listener {
public:
  Listener(Loop &Events, Address At, Connection::OnRequest Do)
      : Events(Events), At(std::move(At)), Do(std::move(Do)) {
    open();
  }
  ~Listener() { shut(); }

  bool isOpen() const { return Socket >= 0; }
  void open() {
    if (Socket >= 0)
      return;
    Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int One = 1;
    ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
    const sockaddr_in Own = At.socket();
    if (::bind(Socket, reinterpret_cast<const sockaddr *>(&Own), sizeof Own) !=
            0 ||
        ::listen(Socket, 256) != 0) {
      std::fprintf(stderr, "cannot listen at %s: %s\n", At.text().c_str(),
                   std::strerror(errno));
      std::exit(2);
    }
    if (At.Port == 0) {
      sockaddr_in Got{};
      socklen_t Size = sizeof Got;
      ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Got), &Size);
      At.Port = ntohs(Got.sin_port);
    }
    Events.watch(Socket, POLLIN, [this](short) { accept(); });
  }
  /// Stops to listen.
  void shut() {
    if (Socket < 0)
      return;
    Events.forget(Socket);
    ::close(Socket);
    Socket = -1;
  }
  /// Stands still or goes on, with all its connections.
  void setSilent(bool Silent) {
    IsSilent = Silent;
    if (Socket >= 0)
      Events.setEvents(Socket, Silent ? 0 : POLLIN);
    for (const auto &Each : Open)
      if (const auto To = Each.lock())
        To->setSilent(Silent);
  }
  void resetAll() {
    const auto All = Open;
    for (const auto &Each : All)
      if (const auto To = Each.lock())
        To->reset();
    Open.clear();
  }
  const Address &address() const { return At; }

private:
  void accept() {
    if (IsSilent)
      return;
    while (true) {
      const int Next =
          ::accept4(Socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (Next < 0)
        return;
      const int One = 1;
      ::setsockopt(Next, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
      const auto Added = std::make_shared<Connection>(Events, Next, Do);
      std::erase_if(Open, [](const auto &Each) {
        const auto To = Each.lock();
        return !To || !To->isOpen();
      });
      Open.push_back(Added);
      Added->start();
    }
  }

  Loop &Events;
  Address At;
  Connection::OnRequest Do;
  int Socket = -1;
  bool IsSilent = false;
  std::vector<std::weak_ptr<Connection>> Open;
};

} // namespace standin

#endif // GALENAROUTE_REVIEW_STANDIN3_NET_H
