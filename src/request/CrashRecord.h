// Records which calls crash the upstreams that run them, as observed by all
// gateways together.
//
//   const std::vector<std::uint64_t> Keys = crashKeys(Content, Service, Parts);
//   if (refusedUntil(Record, Keys, Now)) ...        // do not send the call
//   if (noteCrash(Record, Keys[I], Upstream, Now)) ...  // report it to peers
//   mergeReport(Record, ReportOfPeer, Now);
//
// A call has several keys: a hash of its content, because callers retry with a
// new id and through another gateway, and one for each part of its prompt but
// the last, because calls that share such a part need not be alike. A send that
// ends without a response is an observation, for each key, of a crash of that
// incarnation of the upstream. Observations of the same crash by several calls
// or gateways count once. An answer clears the earlier observations of the keys
// of its call.
//
// One crash breaks all calls at the upstream, so harmless keys are observed
// beside the one that causes it. Up to MaxExcusedCrashes, a crash does not
// count against a call if a key that the call does not have was observed at it
// too and has at least as many crashes. A key that was answered before needs
// more crashes, since a common part is observed at most crashes that others
// cause.
//
// Guarantees: merging is idempotent; memory is bounded. Keys with the fewest
// crashes are evicted first, the oldest of them before the others.

#ifndef GALENAROUTE_REQUEST_CRASHRECORD_H
#define GALENAROUTE_REQUEST_CRASHRECORD_H

#include "process/Clock.h"
#include "request/ForwardCall.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace galenaroute {

/// Number of crashes from which on a call is refused.
inline constexpr std::size_t MaxCrashes = 3;
/// Number of crashes from which on other keys do not excuse a key. With several
/// causes, a harmless part beside all of them has more crashes than each.
inline constexpr std::size_t MaxExcusedCrashes = 6;
/// As MaxCrashes, for a key that was answered before. Fewer crashes than this
/// happen between two answers to calls with a common part.
inline constexpr std::size_t MaxCrashesOnceAnswered = 12;
/// How long a crash counts. By then operators have seen the log lines of the
/// refusal and may have fixed the upstreams.
inline constexpr Duration CrashRetention = std::chrono::minutes(10);
inline constexpr std::size_t MaxCrashKeys = 4096;
/// Maximum incarnations that are remembered as running.
inline constexpr std::size_t MaxRunningUpstreams = 4096;
/// Maximum kept per key. The crashes of several keys are compared, so more are
/// kept than MaxCrashes.
inline constexpr std::size_t MaxCrashObservations = 16;
/// Maximum parts of a prompt that are recorded for one call.
inline constexpr std::size_t MaxSuspectParts = 32;

struct CrashObservation {
  std::uint64_t Upstream = 0; ///< See incarnationKey().
  TimePoint At;
};

/// The crashes of one key.
struct CrashEvidence {
  std::vector<CrashObservation> Observations; ///< One per crash.
  std::optional<TimePoint> ClearedAt;         ///< The last recorded answer.
};

struct CrashRecord {
  std::unordered_map<std::uint64_t, CrashEvidence> Keys;
  /// Keys with enough crashes that calls with them may be refused.
  std::unordered_set<std::uint64_t> Established;
  /// When incarnations that seemed to have ended were found to run.
  std::unordered_map<std::uint64_t, TimePoint> RunningAt;
};

/// The crashes of one key, as exchanged between gateways. Carries ages
/// instead of times, since the clocks of VMs differ.
struct CrashReport {
  struct Observation {
    std::uint64_t Upstream = 0;
    Milliseconds Age{};
  };
  std::uint64_t Key = 0;
  std::vector<Observation> Observations;
  std::optional<Milliseconds> ClearedAge;
};

/// Returns the hash that identifies a call's content across retries.
std::uint64_t callContentHash(std::string_view Customer,
                              std::string_view Target, std::string_view Body);

/// Returns the keys of a call: \p Content, the hash of its content, and one for
/// each part of its prompt but the last, which no other call shares.
std::vector<std::uint64_t> crashKeys(std::uint64_t Content,
                                     std::string_view Service,
                                     std::span<const PromptPart> Parts);

/// Returns the form of \p Key that log lines use.
std::string keyName(std::uint64_t Key);

/// Returns the key of one incarnation of an upstream; a restart changes it.
std::uint64_t incarnationKey(std::string_view UpstreamId, std::int64_t BornMs);

/// Records that a send of a call with the key ended without a response. Returns
/// whether this is a crash that was not known before.
bool noteCrash(CrashRecord &Record, std::uint64_t Key, std::uint64_t Upstream,
               TimePoint Now);

/// Records that a call with the key was answered. Returns how many crashes this
/// clears.
std::size_t noteSuccess(CrashRecord &Record, std::uint64_t Key, TimePoint Now);

/// Records that the incarnation runs, so that it has not crashed before.
/// Returns the keys with crashes of it, which no longer count, also when other
/// gateways report them.
std::vector<std::uint64_t> noteRunning(CrashRecord &Record,
                                       std::uint64_t Upstream, TimePoint Now);

/// Returns the number of crashes at which the key was observed.
std::size_t crashCount(const CrashRecord &Record, std::uint64_t Key);

/// Returns until when calls with these keys are refused, or nothing if they are
/// not.
std::optional<TimePoint> refusedUntil(const CrashRecord &Record,
                                      std::span<const std::uint64_t> Keys,
                                      TimePoint Now);
/// The same for a call with a single key.
std::optional<TimePoint> refusedUntil(const CrashRecord &Record,
                                      std::uint64_t Key, TimePoint Now);

/// Returns the report on a key for other gateways.
CrashReport crashReport(const CrashRecord &Record, std::uint64_t Key,
                        TimePoint Now);

/// Merges the report of another gateway. Returns whether it changed anything.
bool mergeReport(CrashRecord &Record, const CrashReport &Report, TimePoint Now);

/// Returns whether an answer is known here that \p Report lacks: it names none,
/// or lists crashes that were cleared since.
bool isOutdated(const CrashRecord &Record, const CrashReport &Report,
                TimePoint Now);

/// Returns up to \p Limit keys with at least \p MinCrashes crashes, those with
/// the most crashes first.
std::vector<std::uint64_t> suspectKeys(const CrashRecord &Record,
                                       std::size_t MinCrashes,
                                       std::size_t Limit);

/// Removes what is older than CrashRetention.
void expireCrashes(CrashRecord &Record, TimePoint Now);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CRASHRECORD_H
