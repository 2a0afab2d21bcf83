#include "request/PrefillQueue.h"

namespace galenaroute {

std::uint32_t prefillWork(std::uint32_t TokensToPrefill,
                          std::uint32_t TokensToFetch,
                          const PrefillQueueSettings &Settings) {
  return Settings.TokensPerCall + TokensToPrefill +
         static_cast<std::uint32_t>(TokensToFetch * Settings.FetchShare);
}

Duration prefillWait(std::uint64_t WorkAhead,
                     const PrefillQueueSettings &Settings) {
  return fromSeconds(static_cast<double>(WorkAhead) * Settings.TokenMs / 1000);
}

bool mayQueue(std::uint64_t WorkAhead, std::size_t Class, Duration Target,
              const PrefillQueueSettings &Settings) {
  return prefillWait(WorkAhead, Settings) <=
         scaled(Target, Settings.MaxWaitShare[Class]);
}

} // namespace galenaroute
