// Detects and refuses requests that crash the upstreams that run them.
//
//   Digest Content = contentDigest(Model, Body);
//   if (isRefused(Guard, Content, Now))
//     throw Error(ErrorKind::CrashesUpstreams, ...);
//   noteRunning(Guard, Attempt, Content, "steward-1", Now);
//   noteEnded(Guard, Attempt, Now);             // the attempt has finished
//   noteBroken(Guard, Attempt, Now);            // its connection has broken
//   detectCrashes(Guard, Now);                  // after noteBroken(), and on a
//                                               // timer
//
// An upstream counts as crashed when all of this gateway's connections to it
// break within a short time while requests run there. The contents of those
// requests become suspect. A content that was running at crashes of two
// upstreams is refused by this gateway and, through the signatures that peers
// exchange, by all gateways. Contents are identified by a digest that doesn't
// depend on the customer or the request id, so sending the same request again
// doesn't evade the refusal.
//
// A suspect that finishes on any upstream is cleared on all gateways.
// upstreamsToAvoid() isolates suspects from each other, so that the next crash
// shows which of them causes it. A refusal ends after a time that grows with
// each further crash. When several upstreams lose their connections at once,
// the network is the likelier cause and those suspicions are withdrawn.
//
// Guarantees: memory is bounded.

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
  Duration SuspicionTtl = std::chrono::minutes(5);
  /// Duration of the refusal after UpstreamsToRefuse crashes; it doubles with
  /// each further one.
  Duration InitialRefusal = std::chrono::minutes(1);
  Duration MaxRefusal = std::chrono::minutes(30);
  std::size_t MaxSuspects = 4096;
  std::size_t MaxUpstreamsPerSuspect = 8;
  /// At least this many upstreams, which are also more than half of those in
  /// use, that lose their connections together indicate a network fault.
  std::size_t NetworkFault = 3;
};

/// The evidence against one content.
struct Suspicion {
  std::set<std::string> Upstreams; ///< Those that crashed while it ran there.
  TimePoint LastCrash;
};

/// A suspect content, as exchanged between peers. Carries an age instead of a
/// time, since the clocks of VMs differ.
struct CrashSignature {
  Digest Content;
  std::vector<std::string> Upstreams; ///< Empty: cleared.
  Milliseconds Age{};
};

/// An attempt that is running or whose connection has just broken.
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
  /// When each content was cleared, so that a late signature of an older crash
  /// doesn't make it suspect again.
  std::unordered_map<Digest, TimePoint> Cleared;
  /// Crashes within the last window, which may turn out to be a network fault.
  std::vector<DetectedCrash> Recent;
  /// Increases with every change in what exportSignatures() returns, other than
  /// ages.
  std::uint64_t Revision = 0;
};

/// Returns the digest that identifies the content of a request. It is the same
/// for all customers.
Digest contentDigest(std::string_view Service, std::string_view Body);

void noteRunning(CrashGuard &Guard, const std::string &Attempt,
                 const Digest &Content, const std::string &Upstream,
                 TimePoint Now);

/// Records that the attempt has finished: its content did not crash the
/// upstream.
void noteEnded(CrashGuard &Guard, const std::string &Attempt, TimePoint Now);

/// Records that a request with this content has finished, in any attempt.
void noteContentFinished(CrashGuard &Guard, const Digest &Content,
                         TimePoint Now);

/// Records that the connection of the attempt broke before the response was
/// complete.
void noteBroken(CrashGuard &Guard, const std::string &Attempt, TimePoint Now);

/// Forgets an attempt that was cancelled locally or never reached the upstream,
/// which neither incriminates nor clears its content.
void noteCancelled(CrashGuard &Guard, const std::string &Attempt);

/// Marks the contents that were running at crashed upstreams as suspect, and
/// removes expired entries. Returns the crashes, whose signatures must be sent
/// to peers.
std::vector<DetectedCrash> detectCrashes(CrashGuard &Guard, TimePoint Now);

/// Returns whether requests with this content are refused.
bool isRefused(const CrashGuard &Guard, const Digest &Content, TimePoint Now);

/// Returns the upstreams to which a suspect must not be sent now: those that
/// crashed while it ran there, and those that run another suspect. Empty unless
/// \p Content is suspect.
std::vector<std::string> upstreamsToAvoid(const CrashGuard &Guard,
                                          const Digest &Content);

/// Returns the upstream that currently runs the suspect \p Content, if any.
/// Further requests with the same content go there, so that many copies crash
/// only one upstream.
std::optional<std::string> upstreamOfSuspect(const CrashGuard &Guard,
                                             const Digest &Content);

/// Returns up to \p Limit signatures to send to peers, the most recent first.
std::vector<CrashSignature> exportSignatures(const CrashGuard &Guard,
                                             std::size_t Limit, TimePoint Now);

/// Merges the signatures of a peer; returns whether they changed anything.
bool importSignatures(CrashGuard &Guard,
                      std::span<const CrashSignature> Signatures,
                      TimePoint Now);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CRASHGUARD_H
