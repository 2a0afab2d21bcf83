// The executable of a daemon: blocks the control signals, then loads the
// daemon as a shared library from its own folder and runs it.
//
// Loading and relocating the C++ libraries takes milliseconds, in which a
// signal would take its default action and end the process. This executable
// needs only the C library.

#include "process/DaemonEntry.h"
#include "process/ProcessSignals.h"

#include <cstdio>
#include <cstdlib>
#include <dlfcn.h>

int main(int Argc, char **Argv) {
  galenaroute::blockControlSignals();
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
