#include "process/ProcessHarness.h"

#include "FreeAddress.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace galenaroute::testing_support {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

/// Shown of a program's output when a wait on it runs out.
constexpr std::size_t ShownOutput = 2000;

std::string lastPart(const std::string &Text) {
  return Text.size() > ShownOutput ? Text.substr(Text.size() - ShownOutput)
                                   : Text;
}

} // namespace

Program::Program(const std::string &Path,
                 const std::vector<std::string> &Arguments, std::string LogPath)
    : LogPath(std::move(LogPath)) {
  std::vector<char *> Argv = {const_cast<char *>(Path.c_str())};
  for (const std::string &Each : Arguments)
    Argv.push_back(const_cast<char *>(Each.c_str()));
  Argv.push_back(nullptr);
  const int Log = open(this->LogPath.c_str(),
                       O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t Parent = getpid();
  this->Id = fork();
  if (this->Id < 0)
    throw std::runtime_error("cannot start " + Path);
  if (this->Id == 0) {
    // Nothing may outlive the tests, also when they crash.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != Parent)
      _exit(127);
    dup2(Log, STDOUT_FILENO);
    dup2(Log, STDERR_FILENO);
    // A listening socket that a program keeps open would go on accepting after
    // this process has closed it.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(Path.c_str(), Argv.data());
    _exit(127);
  }
  close(Log);
}

Program::~Program() {
  if (!this->isRunning())
    return;
  this->stop();
}

bool Program::reap(bool Block) {
  if (this->ExitCode)
    return true;
  int Status = 0;
  if (waitpid(this->Id, &Status, Block ? 0 : WNOHANG) != this->Id)
    return false;
  this->ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
  return true;
}

bool Program::isRunning() { return !this->reap(false); }

void Program::signal(int Number) {
  if (this->isRunning())
    kill(this->Id, Number);
}

int Program::wait(Duration Limit) {
  const TimePoint End = EventLoop::now() + Limit;
  while (!this->reap(false)) {
    if (EventLoop::now() >= End)
      throw std::runtime_error("process " + std::to_string(this->Id) +
                               " does not end:\n" + lastPart(this->output()));
    std::this_thread::sleep_for(5ms);
  }
  return *this->ExitCode;
}

int Program::stop(Duration Limit) {
  this->signal(SIGCONT);
  this->signal(SIGTERM);
  try {
    return this->wait(Limit);
  } catch (const std::runtime_error &) {
    this->signal(SIGKILL);
    this->reap(true);
    return *this->ExitCode;
  }
}

std::string Program::output() const {
  std::ifstream File(this->LogPath);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::vector<StreamEvent> parseEvents(std::string_view Body) {
  std::vector<StreamEvent> Result;
  StreamEvent Current;
  while (true) {
    const std::size_t End = Body.find('\n');
    if (End == std::string_view::npos)
      return Result;
    const std::string_view Line = Body.substr(0, End);
    Body.remove_prefix(End + 1);
    if (Line.starts_with("id: ")) {
      Current.Id = Line.substr(4);
    } else if (Line.starts_with("data: ")) {
      Current.Data = Line.substr(6);
    } else if (Line.empty() && !Current.Data.empty()) {
      Result.push_back(std::move(Current));
      Current = {};
    }
  }
}

std::string eventText(const std::vector<StreamEvent> &Events) {
  std::string Result;
  for (const StreamEvent &Each : Events) {
    const json Body = json::parse(Each.Data, nullptr, false);
    if (!Body.is_object() || !Body.contains("choices"))
      continue;
    const json &Choice = Body["choices"].at(0);
    Result += Choice.contains("delta") ? Choice["delta"].value("content", "")
                                       : Choice.value("text", "");
  }
  return Result;
}

ProcessHarness::ProcessHarness(std::string BuildDir)
    : BuildDir(std::move(BuildDir)) {
  std::string Template = this->BuildDir + "/process-XXXXXX";
  if (!mkdtemp(Template.data()))
    throw std::runtime_error("cannot create a folder below " + this->BuildDir);
  this->Folder = Template;
}

ProcessHarness::~ProcessHarness() {
  // All get the signal before the first is waited for, so that their times to
  // stop overlap.
  for (const auto &Each : this->Programs) {
    Each->signal(SIGCONT);
    Each->signal(SIGTERM);
  }
  this->Programs.clear();
  // KEEP_LOGS leaves the output of the programs for reading.
  if (!std::getenv("KEEP_LOGS")) {
    std::error_code Ignored;
    std::filesystem::remove_all(this->Folder, Ignored);
  }
}

SocketAddress ProcessHarness::freeAddress() {
  return galenaroute::freeAddress();
}

Program &ProcessHarness::start(const std::string &Name,
                               const std::vector<std::string> &Arguments) {
  const std::filesystem::path Path =
      std::filesystem::path(this->BuildDir) / Name;
  const std::string Log = this->Folder + "/" +
                          std::to_string(this->Programs.size()) + "-" +
                          Path.filename().string() + ".log";
  this->Programs.push_back(
      std::make_unique<Program>(Path.string(), Arguments, Log));
  return *this->Programs.back();
}

Program &ProcessHarness::startEmulator(const std::string &Kind,
                                       std::vector<std::string> Arguments) {
  const SocketAddress At = freeAddress();
  Arguments.insert(Arguments.begin(), {Kind, "--listen", At.toString()});
  Program &Started = this->start("galenaroute-emulator", Arguments);
  Started.setAddress(At);
  static const std::map<std::string, std::string> Paths = {
      {"platform", "/admin/stats"},
      {"engine", "/v1/load"},
      {"store", "/v1/usage"},
      {"weights", "/admin/stats"},
      {"service", "/v1/load"}};
  this->waitUntilAnswers(Started, Paths.at(Kind));
  return Started;
}

std::vector<Program *>
ProcessHarness::startDaemons(const SocketAddress &Platform,
                             const std::vector<std::string> &Zones,
                             const std::vector<std::string> &Extra) {
  std::vector<SocketAddress> Peers;
  std::string Seeds;
  for (std::size_t I = 0; I < Zones.size(); ++I) {
    Peers.push_back(freeAddress());
    Seeds += (I == 0 ? "" : ",") + Peers.back().toString();
  }
  std::vector<Program *> Result;
  for (std::size_t I = 0; I < Zones.size(); ++I) {
    const SocketAddress At = freeAddress();
    std::vector<std::string> Arguments = {"--listen",      At.toString(),
                                          "--peer-listen", Peers[I].toString(),
                                          "--platform",    Platform.toString(),
                                          "--zone",        Zones[I],
                                          "--seeds",       Seeds};
    Arguments.insert(Arguments.end(), Extra.begin(), Extra.end());
    Result.push_back(&this->start("galenarouted", Arguments));
    Result.back()->setAddress(At);
    this->Entries.push_back(At);
  }
  for (Program *Each : Result)
    this->waitUntilAnswers(*Each, "/v1/status");
  return Result;
}

std::pair<int, std::string>
ProcessHarness::run(const std::string &Name,
                    const std::vector<std::string> &Arguments, Duration Limit) {
  Program &Started = this->start(Name, Arguments);
  const int Code = Started.wait(Limit);
  return {Code, Started.output()};
}

void ProcessHarness::applyListing(const SocketAddress &Platform,
                                  const std::string &Listing) {
  const std::string Path = this->Folder + "/listing.toml";
  std::ofstream(Path) << Listing;
  std::vector<std::string> Arguments = {"apply", "--platform",
                                        Platform.toString(), "--wait", Path};
  if (!this->Entries.empty()) {
    std::string List;
    for (const SocketAddress &Each : this->Entries)
      List += (List.empty() ? "" : ",") + Each.toString();
    Arguments.insert(Arguments.end(), {"--entries", List});
  }
  const auto [Code, Output] = this->run("galenaroute", Arguments);
  if (Code != 0)
    throw std::runtime_error("apply failed with " + std::to_string(Code) +
                             ":\n" + Output);
}

HttpResult ProcessHarness::call(HttpCall Call) {
  std::optional<HttpResult> Last;
  const auto Exchange = this->Client.start(
      std::move(Call),
      {.OnDone = [&](const HttpResult &Result) { Last = Result; }});
  this->waitFor(
      "an answer", [&] { return Last.has_value(); }, 60s);
  return *Last;
}

HttpResult ProcessHarness::get(const SocketAddress &To,
                               const std::string &Path) {
  return this->call(HttpCallBuilder(To).get(Path).build());
}

HttpResult ProcessHarness::post(const SocketAddress &To,
                                const std::string &Path, const json &Body) {
  return this->call(HttpCallBuilder(To).post(Path, Body.dump()).build());
}

json ProcessHarness::getJson(const SocketAddress &To, const std::string &Path) {
  return json::parse(this->get(To, Path).Body, nullptr,
                     /*allow_exceptions=*/false);
}

void ProcessHarness::waitFor(const std::string &What,
                             const std::function<bool()> &Done,
                             Duration Limit) {
  if (!this->Loop.runUntil(Done, Limit))
    throw std::runtime_error("timed out waiting for " + What);
}

void ProcessHarness::waitUntilAnswers(Program &Of, const std::string &Path) {
  const TimePoint End = EventLoop::now() + 15s;
  while (!this->get(Of.address(), Path).isSuccess()) {
    if (!Of.isRunning() || EventLoop::now() >= End)
      throw std::runtime_error("no answer at " + Of.address().toString() +
                               ":\n" + lastPart(Of.output()));
    this->Loop.runUntil([] { return false; }, 20ms);
  }
}

} // namespace galenaroute::testing_support
