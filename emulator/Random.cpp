#include "Random.h"

namespace galenaroute::emulator {

bool happens(Random &Generator, double Share) {
  return std::uniform_real_distribution<double>()(Generator) < Share;
}

} // namespace galenaroute::emulator
