// Recognises requests that crash the upstreams that run them.
//
//   Digest Content = contentDigest(Model, Body);
//   if (isRefused(Guard, Content, Now))
//     throw Error(ErrorKind::CrashesUpstreams, ...);
//   noteRunning(Guard, Attempt, Content, "steward-1", Now);
//   noteEnded(Guard, Attempt, Now);             // the attempt has finished
//   noteBroken(Guard, Attempt, Now);            // its connection has broken
//   detectCrashes(Guard, Now);                  // after that, and on a timer
//
// An upstream that loses all of this entry's connections within a short time
// while requests run there counts as crashed, and the contents of those
// requests become suspect. A content that was running at crashes of two
// upstreams is refused, on this entry and, through the signatures that peers
// exchange, on all of them. Contents are identified by a digest that doesn't
// depend on the customer or the request id, so a caller that sends the same
// request again changes nothing.
//
// A suspect that finishes anywhere is cleared everywhere. Suspects are kept
// apart by upstreamsToAvoid(), so that the next crash tells which of them
// causes it. A refusal ends after a time that grows with each further crash.
// When several upstreams lose their connections at once, the network is the
// likelier cause and those suspicions are withdrawn. Memory is bounded.

#ifndef GALENAROUTE_REQUEST_CRASHGUARD_H
#define GALENAROUTE_REQUEST_CRASHGUARD_H

#include "process/Clock.h"
#include "request/BlockChain.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenaroute {

struct CrashGuardOptions {
  /// Connections of a crashed upstream break within this time of each other.
  Duration Window = Milliseconds(500);
  int UpstreamsToRefuse = 2;
  Duration SuspectFor = std::chrono::minutes(5);
  /// The refusal after the second crash; it doubles with each further one.
  Duration RefuseFor = std::chrono::minutes(1);
  Duration LongestRefusal = std::chrono::minutes(30);
  std::size_t MaxSuspects = 4096;
  std::size_t MaxUpstreamsPerSuspect = 8;
  /// Upstreams that lose their connections together because of the network:
  /// this many, if they are also more than half of those in use.
  std::size_t NetworkFault = 3;
};

/// What is known of one content.
struct Suspicion {
  std::set<std::string> Upstreams; ///< Where it was running at a crash.
  TimePoint LastCrash;
};

/// One signature as peers exchange it. Ages instead of times, since clocks of
/// different VMs differ.
struct CrashSignature {
  Digest Content;
  std::vector<std::string> Upstreams; ///< Empty: cleared.
  Milliseconds Age{};
};

/// An attempt that runs or has just broken.
struct GuardedAttempt {
  Digest Content;
  std::string Upstream;
  TimePoint StartedAt;
  std::optional<TimePoint> BrokenAt;
};

/// A crash that was detected.
struct DetectedCrash {
  std::string Upstream;
  TimePoint At;
  std::vector<Digest> Contents;
};

struct CrashGuard {
  CrashGuardOptions Options;
  std::unordered_map<std::string, GuardedAttempt> Attempts;
  std::map<std::string, std::set<std::string>> AttemptsByUpstream;
  std::unordered_map<Digest, Suspicion> Suspects;
  /// When contents were cleared, so that a late signature of an older crash
  /// doesn't make them suspect again.
  std::unordered_map<Digest, TimePoint> Cleared;
  /// Crashes within the last window, which may turn out to be a network fault.
  std::vector<DetectedCrash> Recent;
  /// Grows with every change of what exportSignatures() returns, but for ages.
  std::uint64_t Revision = 0;
};

/// Identifies the content of a request: the same for all customers.
Digest contentDigest(std::string_view Service, std::string_view Body);

void noteRunning(CrashGuard &Guard, const std::string &Attempt,
                 const Digest &Content, const std::string &Upstream,
                 TimePoint Now);

/// The attempt has finished; its content did not crash the upstream.
void noteEnded(CrashGuard &Guard, const std::string &Attempt, TimePoint Now);

/// A request of this content has finished, whichever attempt it was.
void noteContentFinished(CrashGuard &Guard, const Digest &Content,
                         TimePoint Now);

/// The connection of the attempt broke before the answer was complete.
void noteBroken(CrashGuard &Guard, const std::string &Attempt, TimePoint Now);

/// The attempt was cancelled here or never reached the upstream; nothing can be
/// concluded.
void noteCancelled(CrashGuard &Guard, const std::string &Attempt);

/// Makes suspect what was running at upstreams that have crashed, and forgets
/// what has expired. Returns the crashes, whose signatures are to be sent to
/// peers.
std::vector<DetectedCrash> detectCrashes(CrashGuard &Guard, TimePoint Now);

/// Returns whether requests of this content are refused.
bool isRefused(const CrashGuard &Guard, const Digest &Content, TimePoint Now);

/// Returns the upstreams where a suspect must not run now: those where it was
/// running at a crash, and those that run another suspect. Empty unless
/// \p Content is suspect.
std::vector<std::string> upstreamsToAvoid(const CrashGuard &Guard,
                                          const Digest &Content);

/// Returns the upstream that runs a suspect now, if one does. Further requests
/// of the same content go there, so that many copies crash one upstream only.
std::optional<std::string> upstreamOfSuspect(const CrashGuard &Guard,
                                             const Digest &Content);

/// Returns the at most \p Limit most recent signatures, for peers.
std::vector<CrashSignature> exportSignatures(const CrashGuard &Guard,
                                             std::size_t Limit, TimePoint Now);

/// Takes over signatures of a peer; returns whether any of them was news.
bool importSignatures(CrashGuard &Guard,
                      std::span<const CrashSignature> Signatures,
                      TimePoint Now);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CRASHGUARD_H
