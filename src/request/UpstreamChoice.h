// Chooses the upstream that a forwarded call is sent to.
//
//   std::optional<std::size_t> Best = chooseUpstream(Candidates, Settings);
//
// The cost of a candidate is its expected extra latency in milliseconds:
// network distance, load, prompt tokens to prefill, outdated weights and recent
// failures. The load terms spread calls when demand changes within seconds; the
// cache terms keep prompts that share long parts at their home engine. The
// choice takes one pass over the candidates.

#ifndef GALENAROUTE_REQUEST_UPSTREAMCHOICE_H
#define GALENAROUTE_REQUEST_UPSTREAMCHOICE_H

#include "request/ForwardCall.h"
#include "request/LoadEstimate.h"

#include <span>
#include <string_view>

namespace galenaroute {

/// Why an upstream is a candidate.
enum class ChoiceKind {
  Home,   ///< The home of the prompt's subject.
  Ranked, ///< One of the next engines by the rank of the subject.
  Holder, ///< Known to hold the shared parts of the prompt.
  Random, ///< Any other, as all for a call without a prompt.
};

std::string_view toString(ChoiceKind Kind);

/// Returns the kind of the candidate with index \p Index, of which the first
/// \p Ranked are ranked and the next \p Holders hold the shared parts.
ChoiceKind choiceKind(bool IsHome, std::size_t Index, std::size_t Ranked,
                      std::size_t Holders);

/// The known state of one upstream that may receive a call.
struct UpstreamCandidate {
  bool IsSameZone = true;
  int OwnCalls = 0;         ///< Calls of this process in flight.
  int OwnCallsAtReport = 0; ///< OwnCalls when Load was reported.
  /// Calls of the other gateways in flight; nothing without their reports.
  std::optional<int> PeerCalls;
  std::optional<UpstreamLoad> Load;
  Duration LoadAge{};
  /// After this time half of the reported calls have ended; nothing if unknown.
  std::optional<Duration> LoadHalfLife;
  /// Calls that the other gateways are expected to have sent since the load was
  /// reported and that still run, if they are spread evenly.
  double Arrivals = 0;
  int Slots = 1;
  double FailureScore = 0;   ///< Decayed sum of recent failure weights.
  bool HasConnection = true; ///< One is idle, or a new one may be opened.
  bool NeedsNewConnection = false;
  bool HasOldWeights = false;
  /// Prompt tokens of other calls, from all gateways, still to be prefilled.
  double TokensAhead = 0;
  /// Prompt tokens of this call to prefill, and to fetch from a store.
  std::uint32_t TokensToPrefill = 0;
  std::uint32_t TokensToFetch = 0;
  std::uint32_t TokensToFetchFar = 0; ///< From a store in another zone.
  /// The part of TokensToPrefill that another engine is believed to have
  /// cached, so that reuse would save the prefill.
  std::uint32_t TokensToRecompute = 0;
  bool IsHome = false;  ///< Preferred for prompts of this subject.
  std::size_t Rank = 0; ///< Among the ranked engines of the subject.
  ChoiceKind Kind = ChoiceKind::Random;
};

/// Cost weights, in milliseconds of latency.
struct UpstreamChoiceSettings {
  double OtherZoneMs = 10;
  /// For each slot in use, which slows the other runs of the batch.
  double BusySlotMs = 3;
  /// For each call that is queued at the upstream, for a slot or for memory.
  double WaitingCallMs = 60;
  double FailureMs = 400;
  double NewConnectionMs = 15;
  double OldWeightsMs = 150;
  /// Engines prefill about 100 prompt tokens per millisecond.
  double PrefillTokenMs = 0.01;
  /// Avoidable prefill costs more than its latency, since it takes capacity.
  double RecomputeTokenMs = 0.1;
  double FetchTokenMs = 0.0015;
  /// A fetch from another zone takes twice as long, and its traffic is
  /// expensive.
  double FetchFarTokenMs = 0.006;
  /// Makes all gateways choose the same engine for a new subject.
  double NotHomeMs = 60;
  /// For each rank below the home, so that the calls that a busy home leaves go
  /// to the same next engines from all gateways.
  double RankMs = 10;
  /// Half-life of the weight of a load report.
  Duration LoadHalfLife = std::chrono::milliseconds(1500);
};

/// Returns the expected number of runs at the upstream, of all gateways: from
/// the reports of the other gateways, or else from the upstream's last load
/// report, corrected by the calls that this process began and ended since, and
/// weighted down as it ages.
double expectedRuns(const UpstreamCandidate &Candidate,
                    const UpstreamChoiceSettings &Settings);

/// Returns the part of expectedCostMs() that differs between gateways: network
/// distance and connection.
double ownCostMs(const UpstreamCandidate &Candidate,
                 const UpstreamChoiceSettings &Settings);

/// Returns the expected extra latency in milliseconds.
double expectedCostMs(const UpstreamCandidate &Candidate,
                      const UpstreamChoiceSettings &Settings);

/// Returns the index of the cheapest candidate with an available connection, or
/// nothing.
std::optional<std::size_t>
chooseUpstream(std::span<const UpstreamCandidate> Candidates,
               const UpstreamChoiceSettings &Settings);

/// How calls move through the upstreams of a service.
struct ServiceFlow {
  /// Calls per second of all gateways to one upstream; nothing if unknown.
  std::optional<double> CallsPerSecond;
  /// Whether CallsPerSecond follows from the first calls of this process.
  bool IsNew = false;
  double MeanRuns = 0;      ///< At one upstream.
  std::size_t Gateways = 1; ///< That send calls.
  Duration PeerUseAge{};    ///< Of PeerCalls.
};

/// Sets what has become of the reported load since: LoadHalfLife and Arrivals.
void ageReports(std::span<UpstreamCandidate> Candidates,
                const ServiceFlow &Flow);

/// Returns how many calls a gateway may have in flight at upstreams with
/// \p Slots slots in total shortly after a standstill, at the end of which it
/// had \p CallsBefore. All calls that have arrived meanwhile would else be sent
/// at once and delay the calls of all other gateways.
double maxCallsAfterStandstill(int CallsBefore, double Slots,
                               std::size_t Gateways);

/// Returns the share of the calls that each candidate is to get; 0 for those
/// without an available connection. The calls that have arrived since the
/// reports are assumed to have gone to the candidates that are cheapest for the
/// gateways together, see LoadEstimate.h; of what is then cheapest for this
/// gateway, each candidate gets a share in the same proportion.
std::vector<double>
candidateShares(std::span<const UpstreamCandidate> Candidates,
                const UpstreamChoiceSettings &Settings);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_UPSTREAMCHOICE_H
