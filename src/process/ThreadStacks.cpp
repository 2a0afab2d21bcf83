#include "process/ThreadStacks.h"

#include <cstddef>
#include <cstdio>
#include <pthread.h>

namespace galenaroute {

static constexpr std::size_t StackBytes = 256 << 10;

void limitThreadStacks() {
  pthread_attr_t Attributes;
  if (pthread_attr_init(&Attributes) != 0)
    return;
  // A process with larger stacks serves, too.
  if (pthread_attr_setstacksize(&Attributes, StackBytes) != 0 ||
      pthread_setattr_default_np(&Attributes) != 0)
    std::fputs("cannot limit the stacks of threads\n", stderr);
  pthread_attr_destroy(&Attributes);
}

} // namespace galenaroute
