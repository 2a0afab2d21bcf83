// Decision: which sends that were given up went to an upstream that had ended.
//
//   noteUnanswered(Sends, Upstream, Content, Now);
//   for (const auto &Each : takeUnanswered(Sends, Upstream, Now)) ...  // it
//   ended
//
// An upstream that crashes without closing its connections looks slow. The
// sends to it end as stalled, timed out or left by their callers, some seconds
// before its entry in the registry lapses. Bounded: the oldest go first.

#ifndef GALENAROUTE_REQUEST_UNANSWEREDSENDS_H
#define GALENAROUTE_REQUEST_UNANSWEREDSENDS_H

#include "process/Clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace galenaroute {

struct UnansweredSend {
  std::uint64_t Upstream = 0; ///< See incarnationKey().
  std::uint64_t Content = 0;
  TimePoint EndedAt;
};

struct UnansweredSends {
  std::deque<UnansweredSend> Sends; ///< The oldest first.
};

/// An entry of the registry lapses after three heartbeats, 3.6 s on the
/// platform, and its removal is told within a second or two.
inline constexpr Duration UnansweredRetention = std::chrono::seconds(6);
inline constexpr std::size_t MaxUnansweredSends = 1024;
/// An upstream that was heard of within this time has not crashed.
inline constexpr Duration MinCrashSilence = std::chrono::milliseconds(300);

inline void noteUnanswered(UnansweredSends &All, std::uint64_t Upstream,
                           std::uint64_t Content, TimePoint Now) {
  while (!All.Sends.empty() &&
         (All.Sends.size() >= MaxUnansweredSends ||
          Now - All.Sends.front().EndedAt > UnansweredRetention))
    All.Sends.pop_front();
  All.Sends.push_back({Upstream, Content, Now});
}

/// Returns the sends that were given up at \p Upstream shortly before it ended,
/// and forgets them.
inline std::vector<UnansweredSend>
takeUnanswered(UnansweredSends &All, std::uint64_t Upstream, TimePoint Now) {
  std::vector<UnansweredSend> Result;
  std::erase_if(All.Sends, [&](const UnansweredSend &Each) {
    if (Each.Upstream != Upstream)
      return false;
    if (Now - Each.EndedAt <= UnansweredRetention)
      Result.push_back(Each);
    return true;
  });
  return Result;
}

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_UNANSWEREDSENDS_H
