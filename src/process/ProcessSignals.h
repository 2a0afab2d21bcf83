// Signals that reach a daemon before its event loop handles them.
//
//   blockControlSignals();        // first in main(), see LaunchMain.cpp
//   ...
//   int runDaemon(...) {
//     Loop.onSignal(SIGTERM, ...);
//     unblockControlSignals();    // once all handlers are installed
//
// Guarantees: a SIGTERM, SIGINT or SIGHUP that arrives between the two calls is
// handled after the second one instead of ending the process.

#ifndef GALENAROUTE_PROCESS_PROCESSSIGNALS_H
#define GALENAROUTE_PROCESS_PROCESSSIGNALS_H

#include "process/Clock.h"

namespace galenaroute {

void blockControlSignals();
void unblockControlSignals();

/// Waits for SIGTERM or SIGINT while they are blocked. Returns whether one
/// arrived within \p Limit; it is then consumed.
bool awaitStopSignal(Duration Limit);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_PROCESSSIGNALS_H
