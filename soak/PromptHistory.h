// What callers and upstreams saw of prompts during a soak, some of whose parts
// crash upstreams.

#ifndef GALENAROUTE_SOAK_PROMPTHISTORY_H
#define GALENAROUTE_SOAK_PROMPTHISTORY_H

#include "process/Clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenaroute::soak {

/// A call with a prompt that a caller sent.
struct PromptView {
  std::size_t Daemon = 0;
  std::string Key;
  std::string FirstPart;
  TimePoint SentAt;
  int Events = 0;       ///< Whole events of the answer received.
  bool IsWhole = false; ///< The answer was ended as a whole one.
};

/// A prompt part that crashes upstreams.
struct CrashingPartView {
  std::string Key;       ///< Of the calls with the part.
  std::string FirstPart; ///< Of these calls.
  TimePoint From;        ///< The first call with the part.
  TimePoint Until;       ///< The last one.
  std::vector<TimePoint> Crashes;
};

/// A call with a crashing part that reached an upstream.
struct PartArrival {
  std::string Part;
  std::size_t Daemon = 0;
  TimePoint At;
};

struct PromptHistory {
  std::vector<PromptView> Sound; ///< Calls without a crashing part.
  std::map<std::string, CrashingPartView> Parts;
  std::vector<PartArrival> Arrivals; ///< In order of time.
  int EventsOfWhole = 0;             ///< Events of each whole answer.
};

} // namespace galenaroute::soak

#endif // GALENAROUTE_SOAK_PROMPTHISTORY_H
