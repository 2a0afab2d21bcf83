// What an entry knows of the upstreams of one service, kept up to date by
// events.
//
//   UpstreamTracker Tracker;
//   setUpstreams(Tracker, Service, "entry-3", "derwent", Leaving);
//   noteSent(Tracker, {.Attempt = Id, .Upstream = "steward-1", ...}, Now);
//   noteFirstToken(Tracker, Id, {}, Now);
//   noteFinished(Tracker, Id, Tokens, Now);   // or noteFailed()
//   std::vector<UpstreamView> Views;
//   viewsOf(Tracker, Now, Views);             // input of chooseUpstream()
//
// Every attempt that was noted as sent must be noted as finished or failed.
// Events of unknown attempts and upstreams are ignored, since a configuration
// change may have removed the upstream meanwhile. Memory is bounded by the
// subset size, the attempts in flight and the number of peers.

#ifndef GALENAROUTE_REQUEST_UPSTREAMTRACKER_H
#define GALENAROUTE_REQUEST_UPSTREAMTRACKER_H

#include "request/Routing.h"
#include "version/Configuration.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace galenaroute {

/// One answer to `GET /v1/load`, with `age_ms` turned into a time.
struct LoadReport {
  TimePoint SampledAt;
  int Running = 0;
  int Queued = 0;
  double QueuedTokens = 0;
  int FreeBlocks = 0;
  std::string WeightVersion;
  bool HasWeights = true; ///< False while an engine loads new ones.
  double PrefillTokensPerSecond = 0;
  int Slots = 0; ///< Zero: as configured.
};

/// Work of one entry at one upstream, as it is exchanged between peers.
struct UpstreamWork {
  std::string Upstream;
  std::array<double, PromptClassCount> PendingTokens{};
  std::array<int, PromptClassCount> Outstanding{};
};

/// An attempt at the moment it is sent.
struct SentAttempt {
  std::string Attempt;
  std::string Upstream;
  PromptClass Class = PromptClass::Normal;
  double UncachedTokens = 0;
  double RequestedTokens = 0;
};

/// How an attempt failed.
enum class AttemptFailure {
  Connect,  ///< No connection; nothing was sent.
  Broken,   ///< The connection broke or went silent.
  Refused,  ///< The upstream refused for lack of capacity.
  Cancelled ///< This entry gave up on it; says nothing about the upstream.
};

struct TrackerOptions {
  std::size_t SubsetLimit = 64;
  /// A report older than this says nothing any more.
  Duration MaxReportAge = std::chrono::seconds(3);
  /// A peer's digest older than this is dropped: the peer may be gone.
  Duration MaxDigestAge = std::chrono::seconds(2);
  std::size_t MaxPeers = 16;
  /// Own speed observations older than this yield to the load report.
  Duration MaxSpeedAge = std::chrono::seconds(10);
  /// Weight of a new observation in the moving averages.
  double Smoothing = 0.2;
  /// Smaller samples measure the fixed cost of a step, not the speed.
  double MinSampleTokens = 500;
  /// After this many failures in a row no new work is sent for a while, which
  /// doubles from the first to the second value.
  int FailuresBeforePause = 2;
  Duration FirstPause = Milliseconds(200);
  Duration LongestPause = std::chrono::seconds(5);
  Duration RefusedPause = Milliseconds(50);
  bool IgnorePauses = false;
  /// Delays assumed until a round trip was measured.
  Duration SameZoneDelay = std::chrono::microseconds(300);
  Duration OtherZoneDelay = Milliseconds(3);
};

/// An attempt that is in flight.
struct AttemptInFlight {
  std::string Upstream;
  std::uint64_t Serial = 0; ///< Ascending in the order of sending.
  PromptClass Class = PromptClass::Normal;
  TimePoint SentAt;
  std::optional<TimePoint> FirstTokenAt;
  double UncachedTokens = 0;
  double TokensAhead = 0; ///< Estimated when it was sent.
  bool WaitedForSlot = false;
};

/// A peer's part of the work at one upstream.
struct PeerShare {
  TimePoint ReceivedAt;
  std::array<double, PromptClassCount> PendingTokens{};
  std::array<int, PromptClassCount> Outstanding{};
};

/// A change of this entry's work, kept until a report covers it.
struct WorkChange {
  TimePoint At;
  double Tokens = 0;
  int Requests = 0;
};

/// What is known of one upstream.
struct UpstreamRecord {
  std::string Zone;
  bool Live = true;
  int Slots = 1;
  std::optional<LoadReport> Report;
  std::deque<WorkChange> SinceReport;
  double TokensSinceReport = 0;
  int RequestsSinceReport = 0;

  std::array<double, PromptClassCount> OwnPending{};
  std::array<int, PromptClassCount> OwnOutstanding{};
  /// Attempts without a first token, by serial.
  std::map<std::uint64_t, AttemptInFlight> Waiting;
  std::map<std::string, PeerShare, std::less<>> Peers;

  double ObservedPrefill = 0; ///< Tokens per second; zero: none yet.
  double ObservedDecode = 0;
  Duration MeanService{};
  TimePoint PrefillObservedAt;
  TimePoint DecodeObservedAt;
  Duration NetworkDelay{};
  bool NetworkMeasured = false;

  int FailuresInRow = 0;
  TimePoint PausedUntil;

  // Set by updateShares(), see SlowUpstreams.h.
  double Share = 1;
  TimePoint ProbeAt;
  Duration ProbeInterval{}; ///< Doubles with each probe.
  Duration LongestProbe{};
  double ProbeSpeed = 0; ///< Prefill speed assumed for a probe.
};

/// The state of all upstreams of one service in this entry's subset.
struct UpstreamTracker {
  TrackerOptions Options;
  RouteOptions Route;
  std::map<std::string, UpstreamRecord, std::less<>> Upstreams;
  std::unordered_map<std::string, AttemptInFlight> Attempts;
  std::uint64_t NextSerial = 0;
};

/// Takes over the upstreams of \p Service. Those that \p Leaving names, by name
/// or by address, take no new work. \p Cell is the key of the subset: entries
/// that exchange digests use the same one.
void setUpstreams(UpstreamTracker &Tracker, const ServiceConfig &Service,
                  std::string_view Cell, std::string_view OwnZone,
                  const std::set<std::string> &Leaving);

void noteSent(UpstreamTracker &Tracker, const SentAttempt &Sent, TimePoint Now);

/// \p UncachedTokens is what the engine says it had to compute, if it does.
void noteFirstToken(UpstreamTracker &Tracker, const std::string &Attempt,
                    std::optional<double> UncachedTokens, TimePoint Now);

void noteFinished(UpstreamTracker &Tracker, const std::string &Attempt,
                  double GeneratedTokens, TimePoint Now);

void noteFailed(UpstreamTracker &Tracker, const std::string &Attempt,
                AttemptFailure Failure, TimePoint Now);

void noteLoadReport(UpstreamTracker &Tracker, std::string_view Upstream,
                    LoadReport Report, TimePoint Now);

/// Takes note of the shortest round trip to \p Upstream that was seen; longer
/// ones include waiting and are ignored.
void noteRoundTrip(UpstreamTracker &Tracker, std::string_view Upstream,
                   Duration RoundTrip);

/// Replaces all that is known of the work of \p Peer.
void notePeerDigest(UpstreamTracker &Tracker, std::string_view Peer,
                    std::span<const UpstreamWork> Work, TimePoint Now);

void forgetPeer(UpstreamTracker &Tracker, std::string_view Peer);

/// Returns this entry's own work, to send to peers. Upstreams without work are
/// left out.
std::vector<UpstreamWork> ownWork(const UpstreamTracker &Tracker);

/// Returns the view of one upstream.
UpstreamView viewOf(std::string_view Name, const UpstreamRecord &Record,
                    const TrackerOptions &Options, TimePoint Now);

/// Fills \p Views with the views of all upstreams, in the order of their
/// names. When every live upstream is paused after failures, the pauses are
/// ignored: any of them may be the one that works again.
void viewsOf(const UpstreamTracker &Tracker, TimePoint Now,
             std::vector<UpstreamView> &Views);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_UPSTREAMTRACKER_H
