// A process that a soak starts, with limits of its own.
//
//   ChildProcess Daemon(Path, {"--settings", File}, LogPath, {.Files = 4200});
//   Daemon.signal(SIGSTOP);
//   if (Daemon.poll()) use(Daemon.exitCode());
//
// It is killed when the object goes out of scope, and by the kernel when the
// process that started it ends.

#ifndef GALENAROUTE_SOAK_PROCESS_CHILDPROCESS_H
#define GALENAROUTE_SOAK_PROCESS_CHILDPROCESS_H

#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace galenaroute::process_soak {

/// Limits of a process; 0 leaves that of the parent.
struct ProcessLimits {
  std::uint64_t Files = 0;
  std::uint64_t MemoryBytes = 0;
};

class ChildProcess {
public:
  /// Output is appended to \p LogPath.
  ChildProcess(const std::string &Path,
               const std::vector<std::string> &Arguments,
               const std::string &LogPath, const ProcessLimits &Limits);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Sends a signal, unless the process has ended.
  void signal(int Number);
  /// Returns whether the process has ended.
  bool poll();
  /// Minus the signal that ended it. Only once poll() has returned true.
  int exitCode() const { return *this->Code; }
  pid_t id() const { return this->Id; }
  /// The most bytes that were resident so far; 0 once it has ended.
  std::size_t mostMemory() const;
  /// How many descriptors are open; 0 once it has ended.
  std::size_t openDescriptors() const;

private:
  void reap(int Options);

  pid_t Id;
  std::optional<int> Code;
};

} // namespace galenaroute::process_soak

#endif // GALENAROUTE_SOAK_PROCESS_CHILDPROCESS_H
