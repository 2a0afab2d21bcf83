#include "process/ProcessSignals.h"

#include <csignal>
#include <initializer_list>

namespace galenaroute {

static void changeMask(int How) {
  sigset_t Set;
  sigemptyset(&Set);
  for (const int Each : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&Set, Each);
  pthread_sigmask(How, &Set, nullptr);
}

void blockControlSignals() { changeMask(SIG_BLOCK); }

void unblockControlSignals() { changeMask(SIG_UNBLOCK); }

} // namespace galenaroute
