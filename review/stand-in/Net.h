// Blocking HTTP/1.1 over loopback sockets for the stand-ins of the cases.

#ifndef GALENAROUTE_REVIEW_NET_H
#define GALENAROUTE_REVIEW_NET_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

/// Milliseconds of the steady clock since the program started.
std::int64_t nowMs();
void sleepMs(std::int64_t Time);
void sleepUntilMs(std::int64_t At);

struct Address {
  std::string Host;
  int Port = 0;
  std::string text() const { return this->Host + ":" + std::to_string(Port); }
};

/// One HTTP message.
struct Message {
  std::string Start; ///< The request or status line.
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  std::string method() const;
  std::string target() const;
  int status() const;
  /// Returns the first value of a field, or an empty text.
  std::string field(std::string_view Name) const;
  bool has(std::string_view Name) const;
};

enum class ReadEnd {
  Whole,
  Closed,   ///< The connection ended before the first byte.
  Cut,      ///< The connection ended inside the message.
  TimedOut, ///< The message was not whole in time.
};

/// A connected socket with a read buffer.
class Connection {
public:
  explicit Connection(int Socket) : Socket(Socket) {}
  ~Connection() { this->close(); }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  static int connectTo(const Address &To, int TimeoutMs);

  ReadEnd readRequest(Message &Into, std::int64_t UntilMs);
  ReadEnd readResponse(Message &Into, std::int64_t UntilMs);
  bool write(std::string_view Bytes, std::int64_t UntilMs);
  /// Returns whether the peer has closed or reset the connection.
  bool isClosedByPeer();
  void close();
  int socket() const { return this->Socket; }

private:
  enum class Fill { Data, End, TimedOut };
  Fill fill(std::int64_t UntilMs);
  ReadEnd readHead(Message &Into, std::int64_t UntilMs);
  ReadEnd readBytes(std::string &Into, std::size_t Count, std::int64_t UntilMs);
  ReadEnd readChunks(std::string &Into, std::int64_t UntilMs);

  int Socket;
  std::string Buffer;
};

std::string
formatResponse(int Status,
               const std::vector<std::pair<std::string, std::string>> &Fields,
               std::string_view Body);

/// Accepts connections and serves each one on a thread of its own.
class Listener {
public:
  using Handler = std::function<void(Connection &Open)>;
  /// A port of 0 lets the kernel choose.
  Listener(const std::string &Host, int Port, Handler Serve);
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  Address address() const { return this->At; }
  /// Closes all connections and accepts no more.
  void stop();
  bool isStopping() const { return this->Stopping; }

private:
  void acceptAll();

  Handler Serve;
  Address At;
  int Socket;
  std::atomic<bool> Stopping = false;
  std::atomic<int> Running = 0;
  std::mutex Lock;
  std::set<int> Open;
  std::thread Accepting;
};

} // namespace review

#endif // GALENAROUTE_REVIEW_NET_H
