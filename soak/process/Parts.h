// The parts of a process soak that run as processes of their own. Each runs
// until it gets SIGTERM and has ended what it had begun.

#ifndef GALENAROUTE_SOAK_PROCESS_PARTS_H
#define GALENAROUTE_SOAK_PROCESS_PARTS_H

#include <cstdint>
#include <string>
#include <vector>

namespace galenaroute::process_soak {

/// Events of a whole stream.
constexpr int EventsOfStream = 12;

/// An event of the stream that answers \p Call, written by \p Writer, a service
/// and its version. All of a long stream together exceed what kernels buffer of
/// a connection.
std::string eventOf(const std::string &Call, int Number,
                    const std::string &Writer, bool IsLong);

struct PartOptions {
  std::string JournalPath;
  std::uint64_t Seed = 0;
  std::string Store; ///< Address.
  /// Of an upstream; of the store, where it listens without an answer.
  std::string Address;
  // Of an upstream.
  std::string Id;
  std::string Service;
  std::string Version; ///< Of its software.
  // Of callers.
  std::vector<std::string> Daemons; ///< Addresses.
  /// Of callers or misbehaving clients; of the store, daemons.
  std::size_t Count = 0;
  std::string Prefix; ///< Of the ids of requests.
  /// Of misbehaving clients, in which they open their connections; of the
  /// store, in which another writer changes entries.
  std::int64_t LengthMs = 0;
  // Of the store.
  /// To which it writes its address, the one for control, and those for the
  /// daemons, one a line.
  std::string AddressFile;
};

void runUpstream(const PartOptions &Options);
void runCallers(const PartOptions &Options);
/// Clients that misbehave, one connection each.
void runMisbehaving(const PartOptions &Options);
void runStore(const PartOptions &Options);

} // namespace galenaroute::process_soak

#endif // GALENAROUTE_SOAK_PROCESS_PARTS_H
