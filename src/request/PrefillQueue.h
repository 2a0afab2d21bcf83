// Estimates how long a call waits in the prefill queue of an engine.
//
//   const std::uint32_t Work = prefillWork(TokensToPrefill, TokensToFetch, {});
//   if (mayQueue(WorkAhead, Class, Target, {})) ...
//
// An engine prefills one prompt after the other. At a peak, a prompt of 12,000
// tokens keeps the calls behind it waiting for a quarter of a second and more,
// and a fetch from a busy store does the same. What is ahead of a call is
// therefore counted as work: the fixed cost of each call, the tokens to prefill
// and the tokens to fetch, in prompt tokens that take as long to prefill.
//
// Calls of less urgent classes, which are long, join a short queue only, so
// that urgent calls find one in which they can still be on time.

#ifndef GALENAROUTE_REQUEST_PREFILLQUEUE_H
#define GALENAROUTE_REQUEST_PREFILLQUEUE_H

#include "request/EngineRoom.h"

namespace galenaroute {

struct PrefillQueueSettings {
  /// Fixed cost of a call: each prefill step also decodes the running calls.
  std::uint32_t TokensPerCall = 1000;
  /// Work of a token that is fetched from a store.
  double FetchShare = 0.4;
  /// Time for a token of work at an engine that decodes other calls.
  double TokenMs = 0.022;
  /// Fraction of its target that a call of each class may wait.
  ByClass<double> MaxWaitShare = {0.5, 0.4, 0.04};
};

/// Returns the work of a call.
std::uint32_t prefillWork(std::uint32_t TokensToPrefill,
                          std::uint32_t TokensToFetch,
                          const PrefillQueueSettings &Settings);

/// Returns the expected wait behind \p WorkAhead.
Duration prefillWait(std::uint64_t WorkAhead,
                     const PrefillQueueSettings &Settings);

/// Returns whether a call with the latency target \p Target may be sent to an
/// engine with \p WorkAhead in its prefill queue.
bool mayQueue(std::uint64_t WorkAhead, std::size_t Class, Duration Target,
              const PrefillQueueSettings &Settings);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_PREFILLQUEUE_H
