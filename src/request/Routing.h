// Chooses the upstream that runs a request.
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
// Cache affinity is thereby weighed against load without a separate rule. The
// other policies are baselines.
//
// Guarantees: an upstream that takes no new work or has another weight version
// is never chosen; the work is linear in the number of views, which the subset
// bounds; nothing is allocated.

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

/// The random number generator of decisions; the caller seeds it.
using RandomGenerator = std::mt19937_64;

enum class RoutePolicy {
  ExpectedTime,
  Random,
  RoundRobin,
  LeastOutstanding,
  Affinity, ///< Longest cached prefix, ties by rendezvous hash of the prompt.
};

/// The state of one upstream as known to a gateway at the time of a decision.
/// Text fields refer to the tracker that made the view.
struct UpstreamView {
  std::string_view Name;
  std::string_view Zone;
  bool TakesNewWork = true;
  int Slots = 1;
  std::string_view WeightVersion; ///< Empty while unknown.

  bool HasReport = false;
  double ReportedTokens = 0; ///< Tokens queued for prefill when sampled.
  int ReportedRequests = 0;  ///< Running and queued when sampled.
  Duration ReportAge{};      ///< Time since it was sampled.

  /// Uncached tokens sent by this gateway and its peers without a first token
  /// yet, by class.
  std::array<double, PromptClassCount> PendingTokens{};
  /// Requests of this gateway and its peers in flight, by class.
  std::array<int, PromptClassCount> OutstandingByClass{};
  /// Uncached tokens that this gateway sent since the report was sampled.
  double TokensSinceReport = 0;
  /// Requests that this gateway sent since then, minus those that ended.
  int RequestsSinceReport = 0;

  double PrefillTokensPerSecond = 0; ///< Zero while unknown.
  double DecodeTokensPerSecond = 0;  ///< Zero while unknown.
  Duration MeanService{};            ///< Mean service time; zero: unknown.
  Duration NetworkDelay{};           ///< One way.
  /// Cached tokens of the prompt being routed; a hint. Set by the caller.
  double CachedTokens = 0;
  /// Tokens that are imported from a store while the prompt is queued, and the
  /// time until they have arrived. Set by planReuse().
  double ImportedTokens = 0;
  Duration ImportTime{};
  /// Routing weight in (0, 1]; below 1 while the upstream is slow.
  double Share = 1;

  int outstanding() const;
};

/// How the slots of an upstream are divided among the prompt classes.
struct SlotLimits {
  /// Fraction of the slots reserved for short work. Running work can't be
  /// preempted, so other work never borrows them.
  double ShortReserve = 0.25;
  /// Maximum fraction of the slots for long work, which limits stragglers.
  double LongShare = 0.375;
};

/// The request to route.
struct RouteRequest {
  PromptClass Class = PromptClass::Normal;
  double PromptTokens = 0; ///< Zero for calls to plain services.
  double RequestedTokens = 0;
  std::string_view WeightVersion; ///< Empty: any version.
  /// Hash of the prompt's prefix for the policy Affinity.
  std::uint64_t AffinityHash = 0;
  /// Names of upstreams at which this request has failed.
  std::span<const std::string> Excluded;
  /// Whether only upstreams with a free slot for the class are eligible.
  bool NeedsFreeSlot = false;
  SlotLimits Limits;
};

/// State kept between decisions.
struct RouteState {
  std::uint64_t NextRoundRobin = 0;
};

/// Defaults while nothing was observed, and the tolerance for ties.
struct RouteOptions {
  double DefaultPrefill = 8000; ///< Tokens per second.
  Duration DefaultService = Milliseconds(500);
  /// Upstreams whose estimates differ by less than this fraction count as tied,
  /// and one of them is chosen at random, so that gateways with the same stale
  /// reports do not all send to the same upstream.
  double TieShare = 0.05;
  Duration TieTime = Milliseconds(1);
};

/// A chosen upstream.
struct RouteChoice {
  std::size_t Index = 0; ///< Into the views.
  Duration ExpectedFirstToken{};
  Duration ExpectedEnd{};
};

/// Returns the expected number of tokens that \p View prefills before a request
/// of \p Class: those of the same or a higher priority.
double tokensAhead(const UpstreamView &View, PromptClass Class,
                   const RouteOptions &Options);

/// Returns the expected time from now to the first token of \p Request at
/// \p View.
Duration expectedFirstToken(const UpstreamView &View,
                            const RouteRequest &Request,
                            const RouteOptions &Options);

/// Returns the number of slots that are free for \p Class at \p View.
int freeSlotsFor(const UpstreamView &View, PromptClass Class,
                 const SlotLimits &Limits);

/// Returns whether \p View may run \p Request at all.
bool isEligible(const UpstreamView &View, const RouteRequest &Request);

/// Returns the upstream to send \p Request to, or nothing when none is
/// eligible. Upstreams in `Excluded` are chosen only if no other is eligible.
std::optional<RouteChoice>
chooseUpstream(RoutePolicy Policy, const RouteRequest &Request,
               std::span<const UpstreamView> Views, RouteState &State,
               RandomGenerator &Generator, const RouteOptions &Options = {});

/// Returns the indices of the subset of \p Names that the cell or gateway \p
/// Key uses, in ascending order. The subset has at most \p Limit members and is
/// chosen by rendezvous hashing.
std::vector<std::size_t> rendezvousSubset(std::string_view Key,
                                          std::span<const std::string> Names,
                                          std::size_t Limit);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_ROUTING_H
