// Records which calls crash the upstreams that run them, as observed by all
// gateways together.
//
//   CrashRecord Record;
//   if (noteCrash(Record, Content, Upstream, Now)) ...  // report it to peers
//   if (refusedUntil(Record, Content, Now)) ...         // do not send the call
//   mergeReport(Record, ReportOfPeer, Now);
//
// A call is identified by a hash of its content, because callers retry with a
// new id and through another gateway. A send that ends without a response is an
// observation of a crash of that incarnation of the upstream. Observations of
// the same crash by several calls or gateways count once. A success of the
// content clears the earlier observations.
//
// Guarantees: merging is idempotent; memory is bounded. Contents with the
// fewest crashes are evicted first, the oldest of them before the others.

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

/// Number of crashes from which on a call is refused.
inline constexpr std::size_t MaxCrashes = 3;
/// How long a crash counts. By then operators have seen the log lines of the
/// refusal and may have fixed the upstreams.
inline constexpr Duration CrashRetention = std::chrono::minutes(10);
inline constexpr std::size_t MaxCrashContents = 2048;
/// Maximum kept per content. More crashes would not change any decision.
inline constexpr std::size_t MaxCrashObservations = 8;

struct CrashObservation {
  std::uint64_t Upstream = 0; ///< See incarnationKey().
  TimePoint At;
};

/// The crashes of one content.
struct CrashEvidence {
  std::vector<CrashObservation> Observations; ///< One per crash.
  std::optional<TimePoint> ClearedAt;         ///< The last recorded success.
};

struct CrashRecord {
  std::unordered_map<std::uint64_t, CrashEvidence> Contents;
};

/// The crashes of one content, as exchanged between gateways. Carries ages
/// instead of times, since the clocks of VMs differ.
struct CrashReport {
  struct Observation {
    std::uint64_t Upstream = 0;
    Milliseconds Age{};
  };
  std::uint64_t Content = 0;
  std::vector<Observation> Observations;
  std::optional<Milliseconds> ClearedAge;
};

/// Returns the hash that identifies a call's content across retries.
std::uint64_t callContentHash(std::string_view Customer,
                              std::string_view Target, std::string_view Body);

/// Returns the form of \p Content that log lines use.
std::string contentName(std::uint64_t Content);

/// Returns the key of one incarnation of an upstream; a restart changes it.
std::uint64_t incarnationKey(std::string_view UpstreamId, std::int64_t BornMs);

/// Records that a send of the content ended without a response. Returns whether
/// this is a crash that was not known before.
bool noteCrash(CrashRecord &Record, std::uint64_t Content,
               std::uint64_t Upstream, TimePoint Now);

/// Records that the content was answered. Returns how many crashes this clears.
std::size_t noteSuccess(CrashRecord &Record, std::uint64_t Content,
                        TimePoint Now);

/// Returns the number of crashes that count against the content.
std::size_t crashCount(const CrashRecord &Record, std::uint64_t Content);

/// Returns until when calls with this content are refused, or nothing if they
/// are not.
std::optional<TimePoint> refusedUntil(const CrashRecord &Record,
                                      std::uint64_t Content, TimePoint Now);

/// Returns the report on a content for other gateways.
CrashReport crashReport(const CrashRecord &Record, std::uint64_t Content,
                        TimePoint Now);

/// Merges the report of another gateway. Returns whether it changed anything.
bool mergeReport(CrashRecord &Record, const CrashReport &Report, TimePoint Now);

/// Returns up to \p Limit contents with at least \p MinCrashes crashes, those
/// with the most crashes first.
std::vector<std::uint64_t> suspectContents(const CrashRecord &Record,
                                           std::size_t MinCrashes,
                                           std::size_t Limit);

/// Removes what is older than CrashRetention.
void expireCrashes(CrashRecord &Record, TimePoint Now);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CRASHRECORD_H
