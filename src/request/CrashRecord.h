// Decision: which calls seem to crash the upstreams that run them.
//
// A call is known by a hash of its content, since its caller sends it again
// under a new id. Each send that breaks without an answer counts against the
// content, each success clears it. Bounded: the oldest records go first.

#ifndef GALENAROUTE_REQUEST_CRASHRECORD_H
#define GALENAROUTE_REQUEST_CRASHRECORD_H

#include "process/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace galenaroute {

struct CrashRecord {
  struct Entry {
    int Breaks = 0;
    TimePoint Last;
  };
  std::map<std::uint64_t, Entry> Entries;
};

/// Breaks after which a call is not sent any more.
inline constexpr int MaxBreaks = 3;
/// How long a record is kept after the last break.
inline constexpr Duration CrashMemory = std::chrono::seconds(60);
inline constexpr std::size_t MaxCrashEntries = 2048;

inline void noteBreak(CrashRecord &Record, std::uint64_t Content,
                      TimePoint Now) {
  std::erase_if(Record.Entries, [&](const auto &Each) {
    return Now - Each.second.Last > CrashMemory;
  });
  if (Record.Entries.size() >= MaxCrashEntries)
    Record.Entries.erase(Record.Entries.begin());
  auto &Entry = Record.Entries[Content];
  ++Entry.Breaks;
  Entry.Last = Now;
}

inline void noteSuccess(CrashRecord &Record, std::uint64_t Content) {
  Record.Entries.erase(Content);
}

inline int breaksOf(const CrashRecord &Record, std::uint64_t Content) {
  const auto It = Record.Entries.find(Content);
  return It == Record.Entries.end() ? 0 : It->second.Breaks;
}

inline bool seemsToCrash(const CrashRecord &Record, std::uint64_t Content,
                         TimePoint Now) {
  const auto It = Record.Entries.find(Content);
  return It != Record.Entries.end() && It->second.Breaks >= MaxBreaks &&
         Now - It->second.Last <= CrashMemory;
}

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CRASHRECORD_H
