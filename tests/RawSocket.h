// Raw sockets for tests that send bytes which no regular client or server would
// send.

#ifndef GALENAROUTE_TESTS_RAWSOCKET_H
#define GALENAROUTE_TESTS_RAWSOCKET_H

#include "FreeAddress.h"
#include "connection/HttpTypes.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace galenaroute {

/// Begins or ends to drop all that arrives at \p Socket: its kernel
/// acknowledges nothing. Connections inherit this from the socket that listens
/// for them.
inline void setDropping(int Socket, bool Drops) {
  sock_filter AcceptNothing{.code = BPF_RET | BPF_K, .k = 0};
  const sock_fprog Filter{.len = 1, .filter = &AcceptNothing};
  if (setsockopt(Socket, SOL_SOCKET,
                 Drops ? SO_ATTACH_FILTER : SO_DETACH_FILTER, &Filter,
                 sizeof Filter) != 0 &&
      Drops)
    throw std::runtime_error("cannot attach a socket filter");
}

/// A non-blocking connection.
class RawSocket {
public:
  explicit RawSocket(int Socket) : Socket(Socket) {
    fcntl(Socket, F_SETFL, O_NONBLOCK);
  }
  ~RawSocket() { this->close(); }
  RawSocket(const RawSocket &) = delete;
  RawSocket &operator=(const RawSocket &) = delete;

  static int connectTo(const SocketAddress &To) {
    const int Socket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(To.Port);
    inet_pton(AF_INET, To.Host.c_str(), &Address.sin_addr);
    if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                  sizeof Address) != 0) {
      ::close(Socket);
      throw std::runtime_error("cannot connect to " + To.toString());
    }
    return Socket;
  }

  void write(std::string_view Bytes) {
    if (::write(this->Socket, Bytes.data(), Bytes.size()) !=
        static_cast<ssize_t>(Bytes.size()))
      throw std::runtime_error("cannot write");
  }

  /// Writes as much as the peer accepts without blocking. Returns the number of
  /// bytes written.
  std::size_t writeSome(std::string_view Bytes) {
    const ssize_t Written =
        ::send(this->Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    return Written > 0 ? static_cast<std::size_t>(Written) : 0;
  }

  /// Reads all available bytes. Returns everything read so far.
  const std::string &read() {
    char Buffer[4096];
    while (true) {
      const ssize_t Length = ::read(this->Socket, Buffer, sizeof Buffer);
      if (Length <= 0) {
        this->noteEnd(Length);
        return this->Text;
      }
      this->Text.append(Buffer, static_cast<std::size_t>(Length));
    }
  }
  /// Reads at most \p MaxBytes of the available bytes; see text().
  void readUpTo(std::size_t MaxBytes) {
    const std::size_t Before = this->Text.size();
    this->Text.resize(Before + MaxBytes);
    const ssize_t Length =
        ::read(this->Socket, this->Text.data() + Before, MaxBytes);
    this->Text.resize(Before +
                      static_cast<std::size_t>(std::max<ssize_t>(Length, 0)));
    if (Length <= 0)
      this->noteEnd(Length);
  }
  /// Returns everything read so far, since clearText().
  const std::string &text() const { return this->Text; }
  void clearText() { this->Text.clear(); }
  /// Returns whether reading has found the end of the connection.
  bool isOver() const { return this->Ended; }
  /// Reads and drops at most \p MaxBytes bytes. Returns the number of bytes
  /// read.
  std::size_t readSome(std::size_t MaxBytes) {
    return this->take(MaxBytes).size();
  }
  /// Reads at most \p MaxBytes bytes and returns them. read() does not return
  /// them again.
  std::string take(std::size_t MaxBytes) {
    std::string Buffer(MaxBytes, '\0');
    const ssize_t Length = ::read(this->Socket, Buffer.data(), Buffer.size());
    if (Length <= 0 && (Length == 0 || (errno != EAGAIN)))
      this->Ended = true;
    Buffer.resize(Length > 0 ? static_cast<std::size_t>(Length) : 0);
    return Buffer;
  }
  /// Ends the own side of the connection; the peer's side stays open.
  void endWriting() { ::shutdown(this->Socket, SHUT_WR); }
  bool hasEnded() {
    this->read();
    return this->Ended;
  }
  /// Returns whether the peer has reset the connection.
  bool wasReset() const { return this->Reset; }
  void close() {
    if (this->Socket >= 0)
      ::close(this->Socket);
    this->Socket = -1;
  }
  bool isClosed() const { return this->Socket < 0; }
  /// Drops all that arrives from the peer, as a machine does that has stopped
  /// or lost its link: the kernel acknowledges nothing until acceptArriving()
  /// is called.
  void dropArriving() { setDropping(this->Socket, true); }
  void acceptArriving() { setDropping(this->Socket, false); }
  /// Closes the connection with a reset.
  void reset() {
    const linger Now{1, 0};
    setsockopt(this->Socket, SOL_SOCKET, SO_LINGER, &Now, sizeof Now);
    this->close();
  }

private:
  void noteEnd(ssize_t Length) {
    this->Ended =
        this->Ended || Length == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    this->Reset = this->Reset || (Length < 0 && errno == ECONNRESET);
  }

  int Socket;
  std::string Text;
  bool Ended = false;
  bool Reset = false;
};

/// A listening socket on loopback.
class RawListener {
public:
  RawListener() : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Bound{};
    Bound.sin_family = AF_INET;
    Bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof Bound;
    if (bind(this->Socket, reinterpret_cast<sockaddr *>(&Bound), Size) != 0 ||
        listen(this->Socket, 16) != 0)
      throw std::runtime_error("cannot listen on loopback");
    getsockname(this->Socket, reinterpret_cast<sockaddr *>(&Bound), &Size);
    fcntl(this->Socket, F_SETFL, O_NONBLOCK);
    this->Address = {"127.0.0.1", ntohs(Bound.sin_port)};
  }
  ~RawListener() { ::close(this->Socket); }
  RawListener(const RawListener &) = delete;
  RawListener &operator=(const RawListener &) = delete;

  int id() const { return this->Socket; }
  /// Returns the socket of a new connection, or -1 if there is none.
  int accept() const { return ::accept(this->Socket, nullptr, nullptr); }
  /// Begins or ends to drop the opening packets of connections.
  void setDropping(bool Drops) {
    galenaroute::setDropping(this->Socket, Drops);
  }

  SocketAddress Address;

private:
  int Socket;
};

} // namespace galenaroute

#endif // GALENAROUTE_TESTS_RAWSOCKET_H
