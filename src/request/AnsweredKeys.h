// Remembers for which keys of calls this process has lately seen an answer.
//
//   noteAnswered(Answered, Key, Now);
//   if (const auto At = lastAnswered(Answered, Key); At && *At >= CrashedAt)
//   ...
//
// An upstream that answers a call was not crashed by any part of its prompt.
// See CrashRecord.h for the keys.
//
// Guarantees: memory is bounded; an answer is remembered for at least
// AnsweredRetention unless there are more than MaxAnsweredKeys keys.

#ifndef GALENAROUTE_REQUEST_ANSWEREDKEYS_H
#define GALENAROUTE_REQUEST_ANSWEREDKEYS_H

#include "process/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>

namespace galenaroute {

/// Covers the time until a crash without notice is detected and reported.
inline constexpr Duration AnsweredRetention = std::chrono::seconds(10);
/// Maximum in each of the two generations.
inline constexpr std::size_t MaxAnsweredKeys = 4096;

struct AnsweredKeys {
  std::unordered_map<std::uint64_t, TimePoint> Current;
  /// The generation before, which is dropped when the next one begins.
  std::unordered_map<std::uint64_t, TimePoint> Previous;
  TimePoint CurrentSince;
};

/// Records that a call with \p Key was answered.
inline void noteAnswered(AnsweredKeys &Answered, std::uint64_t Key,
                         TimePoint Now) {
  if (Answered.Current.size() >= MaxAnsweredKeys ||
      Now - Answered.CurrentSince >= AnsweredRetention) {
    Answered.Previous = std::exchange(Answered.Current, {});
    Answered.CurrentSince = Now;
  }
  Answered.Current.insert_or_assign(Key, Now);
}

/// Returns when a call with \p Key was last answered, if that is known.
inline std::optional<TimePoint> lastAnswered(const AnsweredKeys &Answered,
                                             std::uint64_t Key) {
  for (const auto *Each : {&Answered.Current, &Answered.Previous})
    if (const auto Found = Each->find(Key); Found != Each->end())
      return Found->second;
  return std::nullopt;
}

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_ANSWEREDKEYS_H
