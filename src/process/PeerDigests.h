// Connects the dispatcher to its peers: digests of load and limits in use, and
// crash signatures.
//
// Load digests go to neighbours only, so that their cost does not grow with the
// fleet. A daemon that learns something new from crash signatures forwards
// them, so they reach all daemons.

#ifndef GALENAROUTE_PROCESS_PEERDIGESTS_H
#define GALENAROUTE_PROCESS_PEERDIGESTS_H

#include "process/Dispatcher.h"
#include "process/PeerNetwork.h"

namespace galenaroute {

/// To be called once before the network starts. Both arguments must outlive its
/// messages.
void connectDigests(Dispatcher &Dispatch, PeerNetwork &Peers);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_PEERDIGESTS_H
