#include "process/DaemonImage.h"

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

namespace galenaroute {

static void describe(LoadedDaemon &Loaded, const char *Step,
                     const char *Reason) {
  std::snprintf(Loaded.Error.data(), Loaded.Error.size(), "%.100s: %.400s",
                Step, Reason);
}

static bool writeWhole(int File, std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Written = write(File, Bytes.data(), Bytes.size());
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Written));
  }
  return true;
}

/// Writes \p Image to the open file \p File, which is found at \p Path, and
/// loads it.
static LoadedDaemon loadThrough(int File, const char *Path,
                                std::string_view Image) {
  LoadedDaemon Loaded;
  if (!writeWhole(File, Image)) {
    describe(Loaded, "write", std::strerror(errno));
    return Loaded;
  }
  Loaded.Library = dlopen(Path, RTLD_NOW);
  if (Loaded.Library == nullptr)
    describe(Loaded, "dlopen", dlerror());
  return Loaded;
}

LoadedDaemon loadFromMemory(std::string_view Image) {
  const int File = memfd_create("galenaroute-daemon", MFD_CLOEXEC);
  if (File < 0) {
    LoadedDaemon Loaded;
    describe(Loaded, "memfd_create", std::strerror(errno));
    return Loaded;
  }
  std::array<char, 32> Path{};
  std::snprintf(Path.data(), Path.size(), "/proc/self/fd/%d", File);
  const LoadedDaemon Loaded = loadThrough(File, Path.data(), Image);
  close(File);
  return Loaded;
}

LoadedDaemon loadFromFile(std::string_view Image, const char *Folder) {
  std::array<char, 256> Path{};
  std::snprintf(Path.data(), Path.size(), "%s/galenaroute-daemon-XXXXXX",
                Folder);
  const int File = mkostemp(Path.data(), O_CLOEXEC);
  if (File < 0) {
    LoadedDaemon Loaded;
    describe(Loaded, Path.data(), std::strerror(errno));
    return Loaded;
  }
  const LoadedDaemon Loaded = loadThrough(File, Path.data(), Image);
  close(File);
  unlink(Path.data());
  return Loaded;
}

} // namespace galenaroute
