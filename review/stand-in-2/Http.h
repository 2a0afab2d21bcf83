// Blocking HTTP/1.1 for the stand-ins: a server with one thread for each
// connection, and a client. Loopback addresses only.

#ifndef GALENAROUTE_REVIEW_HTTP_H
#define GALENAROUTE_REVIEW_HTTP_H

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

struct Address {
  std::string Host;
  int Port = 0;
  std::string text() const { return Host + ":" + std::to_string(Port); }
  static Address parse(const std::string &Text);
};

/// A request or the head of an answer. Names of fields are in lower case.
struct Message {
  std::string Method;
  std::string Target;
  int Status = 0;
  std::map<std::string, std::string> Fields;
  std::string Body;
  std::string field(const std::string &Name) const {
    const auto It = Fields.find(Name);
    return It == Fields.end() ? "" : It->second;
  }
  std::string path() const { return Target.substr(0, Target.find('?')); }
  std::string query(const std::string &Name) const;
};

/// A socket that is read by lines and blocks.
class Stream {
public:
  explicit Stream(int Socket) : Socket(Socket) {}
  ~Stream();
  Stream(const Stream &) = delete;
  Stream &operator=(const Stream &) = delete;

  bool readLine(std::string &Line);
  bool readBytes(std::size_t Count, std::string &Bytes);
  bool readHead(Message &Into);
  /// Reads the body of \p Of by its length or its chunks.
  bool readBody(Message &Of);
  bool write(const std::string &Bytes);
  /// Returns whether the peer has closed the connection.
  bool isClosed() const;
  void shut();

private:
  bool fill();
  int Socket;
  std::string Buffer;
};

using Fields = std::map<std::string, std::string>;

std::string headOf(int Status, const Fields &Of);

class Server {
public:
  /// Answers one request; returns whether the connection is kept.
  using Handler = std::function<bool(const Message &Request, Stream &Peer)>;

  ~Server();
  void start(const std::string &Host, Handler Answer);
  const Address &address() const { return At; }
  void stop();

private:
  void serve(std::shared_ptr<Stream> Peer);

  Address At;
  Handler Answer;
  int Socket = -1;
  std::thread Acceptor;
  std::mutex Mutex;
  std::set<std::shared_ptr<Stream>> Open;
};

/// Sends a whole answer.
bool answer(Stream &Peer, int Status, const Fields &Of,
            const std::string &Body);

/// Connects, or returns null.
std::unique_ptr<Stream> connectTo(const Address &To, int TimeoutMs = 1000);

/// Sends a request and reads the whole answer. Status 0: none came.
Message call(const Address &To, const std::string &Method,
             const std::string &Target, const Fields &Of = {},
             const std::string &Body = {});

/// Returns whether nothing is bound to \p At.
bool isFree(const Address &At);

} // namespace review

#endif // GALENAROUTE_REVIEW_HTTP_H
