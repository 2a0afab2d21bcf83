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

bool awaitStopSignal(Duration Limit) {
  using namespace std::chrono;
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  const auto Seconds = duration_cast<seconds>(Limit);
  const timespec Wait{
      static_cast<time_t>(Seconds.count()),
      static_cast<long>(duration_cast<nanoseconds>(Limit - Seconds).count())};
  return sigtimedwait(&Set, nullptr, &Wait) > 0;
}

} // namespace galenaroute
