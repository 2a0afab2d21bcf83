// The choice of the upstream that runs a request.
//
//   viewsOf(Tracker, Now, Views);             // see UpstreamTracker.h
//   std::optional<RouteChoice> Choice =
//       chooseUpstream(RoutePolicy::ExpectedTime, Request, Views, State,
//                      Generator);
//
// The policy ExpectedTime compares the expected time to first token:
//
//   network delay + wait for a free slot
//     + max(tokens ahead / prefill speed, import of cached blocks)
//     + uncached tokens of the request / prefill speed
//
// Affinity to cached blocks therefore gives way to load without a separate
// rule. The other policies are baselines.
//
// Guarantees: an upstream that takes no new work, has another weight version
// or is excluded is never chosen; the work is linear in the number of views,
// which the subset bounds; nothing is allocated.

#ifndef GALENAROUTE_REQUEST_ROUTING_H
#define GALENAROUTE_REQUEST_ROUTING_H

#include "process/Clock.h"
#include "request/PromptClass.h"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenaroute {

/// The generator that decisions draw from; the shell seeds it.
using RandomGenerator = std::mt19937_64;

enum class RoutePolicy {
  ExpectedTime,
  Random,
  RoundRobin,
  LeastOutstanding,
  Affinity, ///< The longest cached prefix, then rendezvous by prompt.
};

/// What an entry knows of one upstream when it decides. Text fields refer to
/// the tracker that made the view.
struct UpstreamView {
  std::string_view Name;
  std::string_view Zone;
  bool TakesNewWork = true;
  int Slots = 1;
  std::string_view WeightVersion; ///< Empty while unknown.

  bool HasReport = false;
  double ReportedTokens = 0; ///< Tokens queued for prefill when sampled.
  int ReportedRequests = 0;  ///< Running and queued when sampled.
  Duration ReportAge{};      ///< Since it was sampled.

  /// Uncached tokens sent by this entry and its peers for which no first token
  /// was seen, by class.
  std::array<double, PromptClassCount> PendingTokens{};
  /// Requests sent by this entry and its peers and not seen to end, by class.
  std::array<int, PromptClassCount> OutstandingByClass{};
  /// Uncached tokens that this entry sent since the report was sampled.
  double TokensSinceReport = 0;
  /// Requests that this entry sent since then, less those that ended.
  int RequestsSinceReport = 0;

  double PrefillTokensPerSecond = 0; ///< Zero while unknown.
  double DecodeTokensPerSecond = 0;  ///< Zero while unknown.
  Duration MeanService{};            ///< From sent to ended; zero: unknown.
  Duration NetworkDelay{};           ///< One way.
  /// Cached tokens of the prompt being routed; a hint. Set by the caller.
  double CachedTokens = 0;
  /// Tokens that are imported from a store while the prompt waits, and the time
  /// until they have arrived. Set by planReuse().
  double ImportedTokens = 0;
  Duration ImportTime{};
  /// From 0 to 1: below 1 while the upstream is weighted down as slow.
  double Share = 1;

  int outstanding() const;
};

/// How the slots of an upstream are divided among the classes.
struct SlotLimits {
  /// Part of the slots that only short work may take. Running work can't be
  /// preempted, so this part is never lent out.
  double ShortReserve = 0.25;
  /// Part of the slots that long work may take, which confines stragglers.
  double LongShare = 0.375;
};

/// The request to route.
struct RouteRequest {
  PromptClass Class = PromptClass::Normal;
  double PromptTokens = 0; ///< Zero for calls of plain services.
  double RequestedTokens = 0;
  std::string_view WeightVersion; ///< Empty: any version.
  /// Identifies the prompt's prefix for the policy Affinity.
  std::uint64_t AffinityHash = 0;
  /// Names of upstreams that this request has failed at.
  std::span<const std::string> Excluded;
  /// Whether only upstreams with a free place for the class are eligible.
  bool NeedsRoom = false;
  SlotLimits Limits;
};

/// State of the policies that keep any.
struct RouteState {
  std::uint64_t NextRoundRobin = 0;
};

/// Values assumed while nothing was observed, and the tolerance of ties.
struct RouteOptions {
  double DefaultPrefill = 8000; ///< Tokens per second.
  Duration DefaultService = Milliseconds(500);
  /// Estimates that differ by less than this share count as equal and are
  /// chosen among at random, so that entries with the same stale reports do
  /// not all send to the same upstream.
  double TieShare = 0.05;
  Duration TieTime = Milliseconds(1);
};

/// A chosen upstream.
struct RouteChoice {
  std::size_t Index = 0; ///< Into the views.
  Duration ExpectedFirstToken{};
  Duration ExpectedEnd{};
};

/// Returns the expected tokens that \p View prefills before a request of
/// \p Class: those of the same or a higher priority.
double tokensAhead(const UpstreamView &View, PromptClass Class,
                   const RouteOptions &Options);

/// Returns the expected time from now to the first token of \p Request at
/// \p View.
Duration expectedFirstToken(const UpstreamView &View,
                            const RouteRequest &Request,
                            const RouteOptions &Options);

/// Returns how many more requests of \p Class may be sent to \p View now.
int placesFor(const UpstreamView &View, PromptClass Class,
              const SlotLimits &Limits);

/// Returns whether \p View may run \p Request at all.
bool isEligible(const UpstreamView &View, const RouteRequest &Request);

/// Returns the upstream to send \p Request to, or nothing when none is
/// eligible. Upstreams in `Excluded` are chosen only if no other is eligible.
std::optional<RouteChoice>
chooseUpstream(RoutePolicy Policy, const RouteRequest &Request,
               std::span<const UpstreamView> Views, RouteState &State,
               RandomGenerator &Generator, const RouteOptions &Options = {});

/// Returns the indices of the at most \p Limit members of \p Names that the
/// cell or entry \p Key works with, in ascending order. All members when there
/// are at most \p Limit.
std::vector<std::size_t> rendezvousSubset(std::string_view Key,
                                          std::span<const std::string> Names,
                                          std::size_t Limit);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_ROUTING_H
