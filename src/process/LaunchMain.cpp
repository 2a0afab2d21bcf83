// The executable of a daemon: blocks the control signals, opens the standard
// descriptors, then loads the daemon as a shared library from its own folder
// and runs it.
//
// Loading and relocating the C++ libraries takes milliseconds, in which a
// signal would take its default action and end the process. This executable
// needs only the C library.

#include "process/DaemonEntry.h"
#include "process/ProcessSignals.h"

#include <cstdio>
#include <cstdlib>
#include <dlfcn.h>
#include <fcntl.h>
#include <unistd.h>

/// Opens the standard descriptors that are closed. The next files that the
/// process opens would take their numbers, and log lines would be written to
/// them.
static void openStandardDescriptors() {
  int Next = STDIN_FILENO;
  while (Next >= STDIN_FILENO && Next <= STDERR_FILENO)
    Next = open("/dev/null", O_RDWR);
  if (Next > STDERR_FILENO)
    close(Next);
}

int main(int Argc, char **Argv) {
  galenaroute::blockControlSignals();
  openStandardDescriptors();
  void *const Library = dlopen(GALENAROUTE_DAEMON_LIBRARY, RTLD_NOW);
  if (Library == nullptr) {
    std::fprintf(stderr, "cannot load the daemon: %s\n", dlerror());
    return EXIT_FAILURE;
  }
  auto *const Run =
      reinterpret_cast<decltype(&runDaemon)>(dlsym(Library, "runDaemon"));
  if (Run == nullptr) {
    std::fprintf(stderr, "cannot start the daemon: %s\n", dlerror());
    return EXIT_FAILURE;
  }
  return Run(Argc, Argv);
}
