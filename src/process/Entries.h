// Decision: which addresses GET /v1/entries returns.
//
// Callers try the addresses in order and keep the answer for a while, so the
// order is drawn at random, weighted by load, for each answer: the calls of
// many callers spread over all entries.
//
// Guarantees: a leaving or dead daemon is never returned; entries of the own
// zone come first, and at least one of another zone follows when there is one,
// so that the loss of a zone does not strand its callers. A suspect daemon is
// returned only when nothing else is known.

#ifndef GALENAROUTE_PROCESS_ENTRIES_H
#define GALENAROUTE_PROCESS_ENTRIES_H

#include "process/Membership.h"

#include <random>

namespace galenaroute {

struct EntriesSettings {
  std::size_t MaxEntries = 4;
};

/// One address for callers.
struct Entry {
  SocketAddress Address;
  std::string Zone;
};

/// Chooses the entries of one answer, in the order to try them. \p SelfLoad
/// counts the requests in progress at this daemon. How long callers may keep
/// the answer is a setting of the daemon (`--keep-ms`).
std::vector<Entry> chooseEntries(const Membership &Members,
                                 std::uint32_t SelfLoad,
                                 const EntriesSettings &Settings,
                                 std::mt19937_64 &Random);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_ENTRIES_H
