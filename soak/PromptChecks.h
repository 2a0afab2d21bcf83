// The promises on prompts; see History.h.

#ifndef GALENAROUTE_SOAK_PROMPTCHECKS_H
#define GALENAROUTE_SOAK_PROMPTCHECKS_H

#include "History.h"

namespace galenaroute::soak {

void checkPrompts(const SoakHistory &History, const SoakBounds &Bounds,
                  std::vector<BrokenPromise> &Found);

} // namespace galenaroute::soak

#endif // GALENAROUTE_SOAK_PROMPTCHECKS_H
