// The executable of a daemon: blocks the control signals, opens the standard
// descriptors, then loads the daemon, a shared library that the executable
// carries as bytes, and runs it.
//
// Loading and relocating the C++ libraries takes milliseconds, in which a
// signal would take its default action and end the process. This executable
// needs only the C library. It carries the daemon because a library beside it
// is found only where the loader knows the executable's folder: no daemon
// started where /proc/self/exe named another one.

#include "process/DaemonEntry.h"
#include "process/DaemonImage.h"
#include "process/ProcessSignals.h"
#include "process/ThreadStacks.h"

#include <cstdio>
#include <cstdlib>
#include <dlfcn.h>
#include <fcntl.h>
#include <unistd.h>

// Defined in DaemonImage.S.in.
extern "C" const char GalenarouteDaemonImage[];
extern "C" const char GalenarouteDaemonImageEnd[];

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

/// Returns the daemon's library, or null after a message.
static void *loadDaemon() {
  const std::string_view Image(
      GalenarouteDaemonImage,
      static_cast<std::size_t>(GalenarouteDaemonImageEnd -
                               GalenarouteDaemonImage));
  const galenaroute::LoadedDaemon InMemory = galenaroute::loadFromMemory(Image);
  if (InMemory.Library != nullptr)
    return InMemory.Library;
  const galenaroute::LoadedDaemon InFile =
      galenaroute::loadFromFile(Image, "/tmp");
  if (InFile.Library == nullptr)
    std::fprintf(stderr,
                 "cannot load the daemon: from memory: %s; from a "
                 "temporary file: %s\n",
                 InMemory.Error.data(), InFile.Error.data());
  return InFile.Library;
}

int main(int Argc, char **Argv) {
  galenaroute::blockControlSignals();
  openStandardDescriptors();
  galenaroute::limitThreadStacks();
  void *const Library = loadDaemon();
  if (Library == nullptr)
    return EXIT_FAILURE;
  auto *const Run =
      reinterpret_cast<decltype(&runDaemon)>(dlsym(Library, "runDaemon"));
  if (Run == nullptr) {
    std::fprintf(stderr, "cannot start the daemon: %s\n", dlerror());
    return EXIT_FAILURE;
  }
  return Run(Argc, Argv);
}
