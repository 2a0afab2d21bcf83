// Decision: which calls crash the upstreams that run them, as far as all
// entries together have seen.
//
//   CrashRecord Record;
//   if (noteCrash(Record, Content, Upstream, Now)) ...  // tell the others
//   if (refusedUntil(Record, Content, Now)) ...         // do not send it
//   mergeNews(Record, NewsFromAnother, Now);
//
// A call is known by a hash of its content, since its caller sends it again
// under a new id and to another entry. A send that ends without an answer is a
// sighting of a crash of that incarnation of the upstream. What several calls
// or entries see of one crash counts once. A success of the content clears what
// was seen before it.
//
// Guarantees: merging is idempotent. Bounded: contents with the fewest crashes
// are dropped first, of these the oldest.

#ifndef GALENAROUTE_REQUEST_CRASHRECORD_H
#define GALENAROUTE_REQUEST_CRASHRECORD_H

#include "process/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace galenaroute {

/// Crashes after which a call is not sent any more.
inline constexpr std::size_t MaxCrashes = 3;
/// How long a crash counts. After this time operators have seen the log lines
/// of the refusal, and the upstreams may have been mended.
inline constexpr Duration CrashMemory = std::chrono::minutes(10);
inline constexpr std::size_t MaxCrashContents = 2048;
/// Kept of one content; more crashes change no decision.
inline constexpr std::size_t MaxCrashSightings = 8;

struct CrashSighting {
  std::uint64_t Upstream = 0; ///< Names an incarnation, see incarnationKey().
  TimePoint At;
};

/// What is known of one content.
struct CrashEvidence {
  std::vector<CrashSighting> Sightings; ///< One for each crash.
  std::optional<TimePoint> ClearedAt;   ///< Its last success that was noted.
};

struct CrashRecord {
  std::unordered_map<std::uint64_t, CrashEvidence> Contents;
};

/// What entries tell one another of a content. Ages instead of times, since
/// clocks of different VMs differ.
struct CrashNews {
  struct Sighting {
    std::uint64_t Upstream = 0;
    Milliseconds Age{};
  };
  std::uint64_t Content = 0;
  std::vector<Sighting> Sightings;
  std::optional<Milliseconds> ClearedAge;
};

/// Names what a caller sends: the same when the call comes again.
std::uint64_t contentOf(std::string_view Customer, std::string_view Target,
                        std::string_view Body);

/// A content as log lines name it.
std::string contentName(std::uint64_t Content);

/// Names one incarnation of an upstream.
std::uint64_t incarnationKey(std::string_view UpstreamId, std::int64_t BornMs);

/// A send of the content ended without an answer. Returns whether this is a
/// crash that was not known.
bool noteCrash(CrashRecord &Record, std::uint64_t Content,
               std::uint64_t Upstream, TimePoint Now);

/// The content was answered. Returns how many crashes that clears.
std::size_t noteSuccess(CrashRecord &Record, std::uint64_t Content,
                        TimePoint Now);

std::size_t crashesOf(const CrashRecord &Record, std::uint64_t Content);

/// Returns until when calls of this content are refused, if they are.
std::optional<TimePoint> refusedUntil(const CrashRecord &Record,
                                      std::uint64_t Content, TimePoint Now);

/// Returns what to tell of a content.
CrashNews newsOf(const CrashRecord &Record, std::uint64_t Content,
                 TimePoint Now);

/// Takes in what another entry tells. Returns whether it changed anything.
bool mergeNews(CrashRecord &Record, const CrashNews &News, TimePoint Now);

/// Returns the contents with at least \p Least crashes, those with the most
/// first, at most \p Limit.
std::vector<std::uint64_t> suspectContents(const CrashRecord &Record,
                                           std::size_t Least,
                                           std::size_t Limit);

/// Forgets what is older than CrashMemory.
void expireCrashes(CrashRecord &Record, TimePoint Now);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CRASHRECORD_H
