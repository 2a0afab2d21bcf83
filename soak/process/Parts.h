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

struct PartOptions {
  std::string JournalPath;
  std::uint64_t Seed = 0;
  std::string Store; ///< Address.
  // Of an upstream.
  std::string Id;
  std::string Address;
  std::string Service;
  std::string Version; ///< Of its software.
  // Of callers.
  std::vector<std::string> Daemons; ///< Addresses.
  std::size_t Count = 0;
  std::string Prefix; ///< Of the ids of requests.
  // Of misbehaving clients.
  std::int64_t LengthMs = 0; ///< In which they open their connections.
  // Of the store.
  std::string AddressFile; ///< To which it writes its address.
};

void runUpstream(const PartOptions &Options);
void runCallers(const PartOptions &Options);
/// Clients that misbehave, one connection each.
void runMisbehaving(const PartOptions &Options);
void runStore(const PartOptions &Options);

} // namespace galenaroute::process_soak

#endif // GALENAROUTE_SOAK_PROCESS_PARTS_H
