// Loads a daemon from the bytes of its shared library, which its executable
// carries (see LaunchMain.cpp).
//
//   LoadedDaemon Loaded = loadFromMemory(Image);
//   if (Loaded.Library == nullptr)
//     Loaded = loadFromFile(Image, "/tmp");
//
// Guarantees: needs only the C library; leaves no file behind and no
// descriptor open.

#ifndef GALENAROUTE_PROCESS_DAEMONIMAGE_H
#define GALENAROUTE_PROCESS_DAEMONIMAGE_H

#include <array>
#include <string_view>

namespace galenaroute {

struct LoadedDaemon {
  /// The handle of dlopen(), or null.
  void *Library = nullptr;
  /// The step that failed and its reason, as text that ends with a zero.
  std::array<char, 512> Error{};
};

/// Loads the library \p Image through a file that exists in memory only. Fails
/// where the kernel does not offer such files or does not let them be executed.
LoadedDaemon loadFromMemory(std::string_view Image);

/// Loads the library \p Image through a temporary file in \p Folder, which must
/// be writable and not mounted noexec.
LoadedDaemon loadFromFile(std::string_view Image, const char *Folder);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_DAEMONIMAGE_H
