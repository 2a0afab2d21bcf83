// What all emulators share: the interface of one emulated system, the server
// in front of it, and helpers for JSON over HTTP.
//
//   StoreEmulator Store(Loop, Settings);
//   EmulatorServer Server(Loop, Store, {"127.0.0.1", 0});
//   use(Server.address());
//
// A malformed request is answered 400 and never ends the process.

#ifndef GALENAROUTE_EMULATOR_EMULATOR_H
#define GALENAROUTE_EMULATOR_EMULATOR_H

#include "connection/HttpServer.h"
#include "process/Sha256.h"

#include <nlohmann/json.hpp>

namespace galenaroute::emulator {

using ReplyPtr = std::shared_ptr<HttpReply>;

/// One emulated system.
class Emulator {
public:
  virtual ~Emulator() = default;

  /// Answers \p Request now or later. Throws Error or json::exception on a
  /// malformed request.
  virtual void answer(const HttpRequest &Request, const ReplyPtr &Reply) = 0;

  /// Emitted when the emulated system crashes; it accepts connections again
  /// after the given time, without what it held in memory.
  sigc::signal<void(Duration RestartAfter)> Crashed;
};

/// Listens for one emulator.
class EmulatorServer {
public:
  /// Port zero of \p Listen stands for any free port.
  EmulatorServer(EventLoop &Loop, Emulator &System, const SocketAddress &Listen,
                 std::size_t MaxBodyBytes = 64 << 20);
  ~EmulatorServer();
  EmulatorServer(const EmulatorServer &) = delete;
  EmulatorServer &operator=(const EmulatorServer &) = delete;

  const SocketAddress &address() const { return this->Address; }

private:
  void answer(const HttpRequest &Request, const ReplyPtr &Reply);
  void goDown(Duration RestartAfter);

  EventLoop &Loop;
  Emulator &System;
  HttpServer Server;
  SocketAddress Address;
  bool IsDown = false;
  sigc::connection CrashSubscription;
  sigc::connection RestartTimer;
};

/// Answers with \p Body as JSON.
void sendJson(HttpReply &Reply, int Status, const nlohmann::json &Body,
              HttpHeaders Headers = {});

/// Parses \p Body, which must be a JSON object; throws Error(BadRequest).
nlohmann::json parseObject(std::string_view Body);

/// Returns the decoded segments of \p Path: `/a/b%2Fc` becomes `a`, `b/c`.
std::vector<std::string> splitPath(std::string_view Path);

/// Returns the number \p Key of the query, or \p Default when it is absent;
/// throws Error(BadRequest) when it is not a number.
std::uint64_t queryNumber(std::string_view Query, std::string_view Key,
                          std::uint64_t Default);

} // namespace galenaroute::emulator

#endif // GALENAROUTE_EMULATOR_EMULATOR_H
