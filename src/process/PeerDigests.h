// Connects the dispatcher to the other daemons: digests of load, use of limits
// and crash signatures.
//
// Load digests go to neighbours only, so that their cost doesn't grow with the
// fleet. Crash signatures are passed on by whoever learns something new from
// them, so they reach all daemons.

#ifndef GALENAROUTE_PROCESS_PEERDIGESTS_H
#define GALENAROUTE_PROCESS_PEERDIGESTS_H

#include "process/Dispatcher.h"
#include "process/PeerNetwork.h"

namespace galenaroute {

/// Both must outlive the messages; call once, before the network starts.
void connectDigests(Dispatcher &Dispatch, PeerNetwork &Peers);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_PEERDIGESTS_H
