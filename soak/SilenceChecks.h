// What callers and upstreams that fall silent saw of each other, and the
// promises that this can break; see History.h.

#ifndef GALENAROUTE_SOAK_SILENCECHECKS_H
#define GALENAROUTE_SOAK_SILENCECHECKS_H

#include "ConnectionChecks.h"

#include <set>

namespace galenaroute::soak {

/// A whole request to upstreams that fall silent.
struct SilenceCallView : KeptCallView {
  bool MayRepeat = false; ///< Or be resumed.
  bool IsStream = false;
  int EventsOfWhole = 0;
  std::vector<int> Events;   ///< Ids, as the caller read them.
  std::set<std::string> Ran; ///< Upstreams that ran it.
  std::size_t Runs = 0;
};

/// An upstream whose machine was silent until it was replaced.
struct GoneView {
  std::string Upstream;
  TimePoint From;
  TimePoint Until; ///< When it was replaced, or is planned to be.
};

struct SilenceHistory {
  std::map<std::string, SilenceCallView> Calls; ///< By id.
  std::vector<LimitView> Timeouts; ///< Of their routes, in order of time.
  std::vector<GoneView> Gone;
};

/// The silence of an upstream that goes on is no reason to end an answer or to
/// fail a call. One for good is noticed before the deadline, and most calls
/// that may be repeated are served elsewhere. Calls run once, or on two
/// upstreams if they may be repeated, and callers get each event once.
void checkSilences(const SoakHistory &History, const SoakBounds &Bounds,
                   std::vector<BrokenPromise> &Found);

} // namespace galenaroute::soak

#endif // GALENAROUTE_SOAK_SILENCECHECKS_H
