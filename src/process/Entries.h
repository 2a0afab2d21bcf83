// Chooses the daemon addresses that GET /v1/entries returns.
//
// Callers try the addresses in order and cache the response for a while. The
// order is therefore random for each response, weighted by load, which spreads
// the calls of many callers over all entries.
//
// Guarantees: leaving and dead daemons are never returned; entries in the local
// zone come first, followed by at least one in another zone if there is any, so
// that callers survive the loss of a zone. Suspect daemons are returned only if
// no other daemon is known.

#ifndef GALENAROUTE_PROCESS_ENTRIES_H
#define GALENAROUTE_PROCESS_ENTRIES_H

#include "process/Membership.h"

#include <random>

namespace galenaroute {

struct EntriesSettings {
  std::size_t MaxEntries = 4;
};

/// A daemon address for callers.
struct Entry {
  SocketAddress Address;
  std::string Zone;
};

/// Returns the entries for one response, in the order to try them. \p SelfLoad
/// is the number of requests in progress at this daemon. How long callers may
/// cache the response is set by `--keep-ms`.
std::vector<Entry> chooseEntries(const Membership &Members,
                                 std::uint32_t SelfLoad,
                                 const EntriesSettings &Settings,
                                 std::mt19937_64 &Random);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_ENTRIES_H
