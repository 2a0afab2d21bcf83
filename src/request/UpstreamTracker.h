// Tracks the state of the upstreams of one service at one gateway, updated by
// events.
//
//   UpstreamTracker Tracker;
//   setUpstreams(Tracker, Service, "gateway-3", "derwent", Leaving);
//   noteSent(Tracker, {.Attempt = Id, .Upstream = "steward-1", ...}, Now);
//   noteFirstToken(Tracker, Id, {}, Now);
//   noteFinished(Tracker, Id, Tokens, Now);   // or noteFailed()
//   std::vector<UpstreamView> Views;
//   viewsOf(Tracker, Now, Views);             // input of chooseUpstream()
//
// Every attempt passed to noteSent() must be passed to noteFinished() or
// noteFailed(). Guarantees: events of unknown attempts and upstreams are
// ignored, since a configuration change may have removed the upstream; memory
// is bounded by the subset size, the attempts in flight and the number of
// peers.

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

/// Work of one gateway at one upstream, as exchanged between peers.
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
  Connect,  ///< No connection could be made; nothing was sent.
  Broken,   ///< The connection broke or timed out.
  Refused,  ///< The upstream refused for lack of capacity.
  Cancelled ///< Cancelled by this gateway; not a failure of the upstream.
};

struct TrackerOptions {
  std::size_t SubsetLimit = 64;
  /// Older load reports are ignored.
  Duration MaxReportAge = std::chrono::seconds(3);
  /// Older digests of a peer are ignored, since the peer may be gone.
  Duration MaxDigestAge = std::chrono::seconds(2);
  std::size_t MaxPeers = 16;
  /// Older own speed observations are replaced by the load report.
  Duration MaxSpeedAge = std::chrono::seconds(10);
  /// Weight of a new observation in the moving averages.
  double Smoothing = 0.2;
  /// Smaller samples measure the fixed cost of a step instead of the speed.
  double MinSampleTokens = 500;
  /// After this many consecutive failures no new work is sent to the upstream
  /// for a pause that doubles from InitialPause to MaxPause.
  int FailuresBeforePause = 2;
  Duration InitialPause = Milliseconds(200);
  Duration MaxPause = std::chrono::seconds(5);
  Duration RefusedPause = Milliseconds(50);
  bool IgnorePauses = false;
  /// One-way delays assumed until a round trip was measured.
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

/// The work of a peer at one upstream.
struct PeerShare {
  TimePoint ReceivedAt;
  std::array<double, PromptClassCount> PendingTokens{};
  std::array<int, PromptClassCount> Outstanding{};
};

/// A change of this gateway's work, kept until a load report covers it.
struct WorkChange {
  TimePoint At;
  double Tokens = 0;
  int Requests = 0;
};

/// The tracked state of one upstream.
struct UpstreamRecord {
  std::string Zone;
  bool Live = true;
  int Slots = 1;
  std::optional<LoadReport> Report;
  std::deque<WorkChange> ChangesSinceReport;
  double TokensSinceReport = 0;
  int RequestsSinceReport = 0;

  std::array<double, PromptClassCount> OwnPending{};
  std::array<int, PromptClassCount> OwnOutstanding{};
  /// Attempts without a first token, by serial.
  std::map<std::uint64_t, AttemptInFlight> AwaitingFirstToken;
  std::map<std::string, PeerShare, std::less<>> Peers;

  double ObservedPrefill = 0; ///< Tokens per second; zero: none yet.
  double ObservedDecode = 0;
  Duration MeanService{};
  TimePoint PrefillObservedAt;
  TimePoint DecodeObservedAt;
  Duration NetworkDelay{};
  bool NetworkMeasured = false;

  int ConsecutiveFailures = 0;
  TimePoint PausedUntil;

  // Set by updateShares(), see SlowUpstreams.h.
  double Share = 1;
  TimePoint ProbeAt;
  Duration ProbeInterval{}; ///< Doubles with each probe.
  Duration MaxProbeInterval{};
  double ProbeSpeed = 0; ///< Prefill speed assumed for a probe.
};

/// The state of the upstreams of one service in this gateway's subset.
struct UpstreamTracker {
  TrackerOptions Options;
  RouteOptions Route;
  std::map<std::string, UpstreamRecord, std::less<>> Upstreams;
  std::unordered_map<std::string, AttemptInFlight> Attempts;
  std::uint64_t NextSerial = 0;
};

/// Sets the upstreams to those of \p Service. Upstreams in \p Leaving, by name
/// or address, get no new work. \p Cell is the key of the subset; gateways that
/// exchange digests use the same one.
void setUpstreams(UpstreamTracker &Tracker, const ServiceConfig &Service,
                  std::string_view Cell, std::string_view OwnZone,
                  const std::set<std::string> &Leaving);

void noteSent(UpstreamTracker &Tracker, const SentAttempt &Sent, TimePoint Now);

/// \p UncachedTokens is the number of tokens that the engine reports to have
/// computed, if it does.
void noteFirstToken(UpstreamTracker &Tracker, const std::string &Attempt,
                    std::optional<double> UncachedTokens, TimePoint Now);

void noteFinished(UpstreamTracker &Tracker, const std::string &Attempt,
                  double GeneratedTokens, TimePoint Now);

void noteFailed(UpstreamTracker &Tracker, const std::string &Attempt,
                AttemptFailure Failure, TimePoint Now);

/// Clears the reported weight version of \p Upstream after it refused an
/// attempt for that version; until the next report it is assumed to have the
/// declared one.
void noteVersionMismatch(UpstreamTracker &Tracker, std::string_view Upstream);

void noteLoadReport(UpstreamTracker &Tracker, std::string_view Upstream,
                    LoadReport Report, TimePoint Now);

/// Updates the minimum round trip to \p Upstream; longer ones include queueing
/// and are ignored.
void noteRoundTrip(UpstreamTracker &Tracker, std::string_view Upstream,
                   Duration RoundTrip);

/// Replaces the recorded work of \p Peer.
void notePeerDigest(UpstreamTracker &Tracker, std::string_view Peer,
                    std::span<const UpstreamWork> Work, TimePoint Now);

void removePeer(UpstreamTracker &Tracker, std::string_view Peer);

/// Returns the work of this gateway, to send to peers. Upstreams without work
/// are omitted.
std::vector<UpstreamWork> ownWork(const UpstreamTracker &Tracker);

/// Returns the view of one upstream.
UpstreamView viewOf(std::string_view Name, const UpstreamRecord &Record,
                    const TrackerOptions &Options, TimePoint Now);

/// Fills \p Views with the views of all upstreams, in the order of their names.
/// When every live upstream is paused after failures, the pauses are ignored,
/// since any of them may have recovered.
void viewsOf(const UpstreamTracker &Tracker, TimePoint Now,
             std::vector<UpstreamView> &Views);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_UPSTREAMTRACKER_H
