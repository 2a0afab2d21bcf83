// Starts and stops real programs for process tests and the load tool.
//
//   ProcessHarness Harness(BuildDir);
//   Program &Platform = Harness.startEmulator("platform", {});
//   HttpResult Result =
//       Harness.call(HttpCallBuilder(Platform.address()).get("/...").build());
//   Platform.signal(SIGSTOP);
//
// Guarantees: every program started is ended when the harness goes out of
// scope, first by SIGTERM, and by SIGKILL when it does not end in time; a
// program also ends when the process of the harness dies. Ports come from the
// kernel. A wait that runs out throws std::runtime_error with the last lines
// of the program's output.

#ifndef GALENAROUTE_TESTS_PROCESS_PROCESSHARNESS_H
#define GALENAROUTE_TESTS_PROCESS_PROCESSHARNESS_H

#include "connection/HttpClient.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace galenaroute::testing_support {

/// One program that the harness started.
class Program {
public:
  /// Starts \p Path with \p Arguments; its output goes to \p LogPath.
  Program(const std::string &Path, const std::vector<std::string> &Arguments,
          std::string LogPath);
  ~Program();
  Program(const Program &) = delete;
  Program &operator=(const Program &) = delete;

  /// Sends a signal, unless the program has ended.
  void signal(int Number);

  /// Ends the program by SIGTERM, and by SIGKILL after \p Limit. Returns the
  /// exit code, or minus the signal that ended it.
  int stop(Duration Limit = std::chrono::seconds(15));

  /// Waits for the program to end by itself; returns its exit code, or minus
  /// the signal that ended it. Throws when it does not end in time.
  int wait(Duration Limit);

  bool isRunning();
  pid_t id() const { return this->Id; }
  const SocketAddress &address() const { return this->Address; }
  void setAddress(const SocketAddress &Value) { this->Address = Value; }

  /// Returns all output so far.
  std::string output() const;

private:
  bool reap(bool Block);

  pid_t Id;
  std::string LogPath;
  SocketAddress Address;
  std::optional<int> ExitCode;
};

/// One event of a streamed answer.
struct StreamEvent {
  std::string Id;
  std::string Data;
};

/// Splits server-sent events; a last event that is not whole is left out.
std::vector<StreamEvent> parseEvents(std::string_view Body);

/// Returns the text that \p Events carry, of completions and of chats.
std::string eventText(const std::vector<StreamEvent> &Events);

/// The programs of one test and a client to call them.
class ProcessHarness {
public:
  /// \p BuildDir holds the programs; output goes to a new folder below it.
  explicit ProcessHarness(std::string BuildDir);
  ~ProcessHarness();
  ProcessHarness(const ProcessHarness &) = delete;
  ProcessHarness &operator=(const ProcessHarness &) = delete;

  /// Returns an address on loopback whose port is free.
  static SocketAddress freeAddress();

  /// Starts a program of the build folder, or of an absolute path, without
  /// waiting for it.
  Program &start(const std::string &Name,
                 const std::vector<std::string> &Arguments);

  /// Starts an emulator at a free address and waits until it answers.
  Program &startEmulator(const std::string &Kind,
                         std::vector<std::string> Arguments);

  /// Starts daemons with free addresses, one per zone given, which know each
  /// other as seeds, and waits until each answers.
  std::vector<Program *> startDaemons(const SocketAddress &Platform,
                                      const std::vector<std::string> &Zones,
                                      const std::vector<std::string> &Extra);

  /// Runs a program to its end; throws when it takes longer than \p Limit.
  /// Returns the exit code and the output.
  std::pair<int, std::string> run(const std::string &Name,
                                  const std::vector<std::string> &Arguments,
                                  Duration Limit = std::chrono::seconds(30));

  /// Writes \p Listing to a file and applies it with `galenaroute apply
  /// --wait` at all daemons started; throws when that fails.
  void applyListing(const SocketAddress &Platform, const std::string &Listing);

  HttpResult call(HttpCall Call);
  HttpResult get(const SocketAddress &To, const std::string &Path);
  HttpResult post(const SocketAddress &To, const std::string &Path,
                  const nlohmann::json &Body);
  nlohmann::json getJson(const SocketAddress &To, const std::string &Path);

  /// Waits until \p Done holds; throws with \p What when it does not.
  void waitFor(const std::string &What, const std::function<bool()> &Done,
               Duration Limit = std::chrono::seconds(15));

  /// Waits until \p Of answers GET \p Path with a success.
  void waitUntilAnswers(Program &Of, const std::string &Path);

  EventLoop &loop() { return this->Loop; }
  HttpClient &client() { return this->Client; }
  const std::string &folder() const { return this->Folder; }

private:
  std::string BuildDir;
  std::string Folder;
  EventLoop Loop;
  HttpClient Client{Loop};
  std::vector<std::unique_ptr<Program>> Programs;
  std::vector<SocketAddress> Entries; ///< Of all daemons started.
};

} // namespace galenaroute::testing_support

#endif // GALENAROUTE_TESTS_PROCESS_PROCESSHARNESS_H
