// Sends planned calls to a fleet at their times and records what came back.

#ifndef GALENAROUTE_BENCH_LOADRUN_H
#define GALENAROUTE_BENCH_LOADRUN_H

#include "Fleet.h"
#include "Workload.h"

#include <span>

namespace galenaroute::bench {

/// How a call ended for its caller.
enum class Outcome {
  Answered, ///< The whole right answer.
  Refused,  ///< An error that says that the call has not run.
  Lost,     ///< Anything else: cut, incomplete, or it may have run.
  Wrong,    ///< A whole answer with the wrong text.
};

/// What came of one call.
struct CallRecord {
  Duration At{}; ///< Planned time, from the start of the run.
  CallClass Class = CallClass::Short;
  Outcome End = Outcome::Lost;
  /// From the planned time to the first event, or to the answer of a plain
  /// service; negative when there was none.
  double FirstSeconds = -1;
};

struct RunRecord {
  std::vector<CallRecord> Calls;
  FleetCounts Counts;
};

/// Runs \p Calls; returns when all have ended, or \p Drain after the last.
RunRecord runLoad(Fleet &Target, std::span<const PlannedCall> Calls,
                  const WorkloadSettings &Settings, Duration Drain);

} // namespace galenaroute::bench

#endif // GALENAROUTE_BENCH_LOADRUN_H
