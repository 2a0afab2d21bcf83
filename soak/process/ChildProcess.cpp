#include "ChildProcess.h"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <linux/close_range.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace galenaroute::process_soak {

static void limit(__rlimit_resource Resource, std::uint64_t Value) {
  if (Value == 0)
    return;
  const rlimit Limit{Value, Value};
  if (setrlimit(Resource, &Limit) != 0)
    _exit(126);
}

ChildProcess::ChildProcess(const std::string &Path,
                           const std::vector<std::string> &Arguments,
                           const std::string &LogPath,
                           const ProcessLimits &Limits) {
  std::vector<char *> Argv = {const_cast<char *>(Path.c_str())};
  for (const std::string &Each : Arguments)
    Argv.push_back(const_cast<char *>(Each.c_str()));
  Argv.push_back(nullptr);
  const int Log =
      open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t Parent = getpid();
  // The kernel closes the child's end of this pipe once the program is in
  // place. A signal before that would reach the handlers of the parent, which
  // the child has until then, and be lost.
  int Pipe[2];
  if (pipe2(Pipe, O_CLOEXEC) != 0)
    throw std::runtime_error("cannot open a pipe");
  this->Id = fork();
  if (this->Id < 0)
    throw std::runtime_error("cannot start " + Path);
  if (this->Id == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != Parent)
      _exit(127);
    // Handlers of the parent are gone with exec, what it ignores is not.
    std::signal(SIGPIPE, SIG_DFL);
    dup2(Log, STDOUT_FILENO);
    dup2(Log, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    limit(RLIMIT_NOFILE, Limits.Files);
    limit(RLIMIT_AS, Limits.MemoryBytes);
    execv(Path.c_str(), Argv.data());
    _exit(127);
  }
  close(Log);
  close(Pipe[1]);
  char Nothing = 0;
  while (read(Pipe[0], &Nothing, 1) < 0 && errno == EINTR) {
  }
  close(Pipe[0]);
}

ChildProcess::~ChildProcess() {
  this->signal(SIGKILL);
  this->reap(0);
}

void ChildProcess::reap(int Options) {
  int Status = 0;
  if (!this->Code && waitpid(this->Id, &Status, Options) == this->Id)
    this->Code = WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
}

bool ChildProcess::poll() {
  this->reap(WNOHANG);
  return this->Code.has_value();
}

std::size_t ChildProcess::mostMemory() const {
  constexpr std::string_view Field = "VmHWM:";
  std::ifstream File("/proc/" + std::to_string(this->Id) + "/status");
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with(Field))
      return std::stoul(Line.substr(Field.size())) << 10; // Stated in KiB.
  return 0;
}

std::size_t ChildProcess::openDescriptors() const {
  std::error_code Failure;
  std::filesystem::directory_iterator Each(
      "/proc/" + std::to_string(this->Id) + "/fd", Failure);
  std::size_t Result = 0;
  while (!Failure && Each != std::filesystem::directory_iterator()) {
    ++Result;
    Each.increment(Failure);
  }
  return Result;
}

void ChildProcess::signal(int Number) {
  if (!this->poll())
    kill(this->Id, Number);
}

} // namespace galenaroute::process_soak
