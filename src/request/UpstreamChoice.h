// Decision: to which upstream a forwarded call is sent.
//
//   std::optional<std::size_t> Best = chooseUpstream(Candidates, Settings);
//
// The choice is by expected extra time, in milliseconds: distance, load, the
// prompt tokens that would have to be read again, weights that are being
// replaced, and doubt after failures. It answers two loads: swings of demand
// within seconds, where load terms spread calls, and prompts that return to
// long shared parts, where the reuse term keeps each subject at its home.
// Cost: one pass over the candidates.

#ifndef GALENAROUTE_REQUEST_UPSTREAMCHOICE_H
#define GALENAROUTE_REQUEST_UPSTREAMCHOICE_H

#include "request/ForwardCall.h"

#include <span>

namespace galenaroute {

/// What is known of one upstream that may take a call.
struct UpstreamCandidate {
  bool IsSameZone = true;
  int OwnCalls = 0;         ///< Of this process, under way.
  int OwnCallsAtReport = 0; ///< The same when Load was reported.
  /// Of the other entries, under way; nothing when they have not told.
  std::optional<int> CallsOfOthers;
  std::optional<UpstreamLoad> Load;
  Duration LoadAge{};
  int Slots = 1;
  double FailureScore = 0;   ///< Recent failures, decayed.
  bool HasConnection = true; ///< An idle connection, or room for a new one.
  bool NeedsNewConnection = false;
  bool HasOldWeights = false;
  /// Prompt tokens that other calls still have it read, all callers counted.
  double TokensAhead = 0;
  /// Prompt tokens of this call that would be read, and that would be fetched.
  std::uint32_t TokensToRead = 0;
  std::uint32_t TokensToFetch = 0;
  std::uint32_t TokensToFetchFar = 0; ///< From another zone.
  /// Of TokensToRead, those that some upstream or store has: reading them
  /// again is work that reuse would save.
  std::uint32_t TokensToReadAgain = 0;
  bool IsHome = false; ///< Where prompts of this subject go when all is equal.
};

/// Costs in milliseconds of waiting that they are worth.
struct UpstreamChoiceSettings {
  double OtherZoneMs = 10;
  /// A slot in use slows the other runs of a batch.
  double BusySlotMs = 3;
  /// A call that waits at an upstream, for a slot or for memory.
  double WaitingCallMs = 60;
  double FailureMs = 400;
  double NewConnectionMs = 6;
  double OldWeightsMs = 150;
  /// Engines read about 100 prompt tokens in a millisecond.
  double ReadTokenMs = 0.01;
  /// Work that could have been saved costs more than the time it takes.
  double ReadAgainTokenMs = 0.1;
  double FetchTokenMs = 0.0015;
  /// A fetch from another zone takes twice as long and is dear.
  double FetchFarTokenMs = 0.006;
  /// Callers' daemons that see a new subject at once choose the same engine.
  double NotHomeMs = 60;
  /// A load report loses its weight in this time.
  Duration LoadHalfLife = std::chrono::milliseconds(1500);
};

/// Returns how many runs the upstream is expected to have, all callers
/// counted: as the other entries told, or else the last report, corrected by
/// what this process has begun and ended since, and trusted less as it ages.
double expectedRuns(const UpstreamCandidate &Candidate,
                    const UpstreamChoiceSettings &Settings);

/// Returns the expected extra time in milliseconds.
double expectedCostMs(const UpstreamCandidate &Candidate,
                      const UpstreamChoiceSettings &Settings);

/// Returns the position of the cheapest candidate with a connection to be
/// had, or nothing.
std::optional<std::size_t>
chooseUpstream(std::span<const UpstreamCandidate> Candidates,
               const UpstreamChoiceSettings &Settings);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_UPSTREAMCHOICE_H
