// Remembers abandoned sends, to find those whose upstream had crashed.
//
//   noteUnanswered(Sends, {Upstream, Keys, SentAt, Now});
//   // When the upstream has ended:
//   for (const auto &Each : takeUnanswered(Sends, Upstream, Now)) ...
//
// An upstream that crashes without closing its connections appears to be slow.
// The sends to it end as stalled, timed out or cancelled by their callers some
// seconds before its registry entry expires.
//
// Guarantee: memory is bounded by MaxUnansweredSends and the keys of a
// call; the oldest sends are dropped first.

#ifndef GALENAROUTE_REQUEST_UNANSWEREDSENDS_H
#define GALENAROUTE_REQUEST_UNANSWEREDSENDS_H

#include "process/Clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace galenaroute {

/// A send that was abandoned without an answer.
struct UnansweredSend {
  std::uint64_t Upstream = 0;      ///< See incarnationKey().
  std::vector<std::uint64_t> Keys; ///< Of the call, see crashKeys().
  TimePoint SentAt;
  TimePoint EndedAt;
};

struct UnansweredSends {
  std::deque<UnansweredSend> Sends; ///< The oldest first.
};

/// How long an abandoned send is remembered. A registry entry expires after
/// three heartbeats, 3.6 s on the platform, and its removal is published within
/// a second or two.
inline constexpr Duration UnansweredRetention = std::chrono::seconds(6);
inline constexpr std::size_t MaxUnansweredSends = 1024;
/// An upstream that made progress within this time is not assumed to have
/// crashed.
inline constexpr Duration MinCrashSilence = std::chrono::milliseconds(300);

/// Remembers \p Send, which was just abandoned.
inline void noteUnanswered(UnansweredSends &All, UnansweredSend Send) {
  while (!All.Sends.empty() &&
         (All.Sends.size() >= MaxUnansweredSends ||
          Send.EndedAt - All.Sends.front().EndedAt > UnansweredRetention))
    All.Sends.pop_front();
  All.Sends.push_back(std::move(Send));
}

/// Returns and removes the sends that were abandoned at \p Upstream shortly
/// before it ended.
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
