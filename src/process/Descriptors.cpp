#include "process/Descriptors.h"

#include "process/Log.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <sys/resource.h>

namespace galenaroute {

/// Descriptors kept for connections to upstreams and the platform, for refused
/// and other connections, and for files.
static constexpr std::size_t ReservedDescriptors = 1200;

std::size_t reserveDescriptors(std::size_t Wanted) {
  rlimit Limit{};
  if (::getrlimit(RLIMIT_NOFILE, &Limit) != 0) {
    log(LogLevel::Warn, "descriptors.limit_unknown",
        {{"error", std::strerror(errno)}});
    return Wanted;
  }
  if (Limit.rlim_cur >= Wanted)
    return Wanted;
  const rlimit Raised{.rlim_cur = std::min<rlim_t>(Wanted, Limit.rlim_max),
                      .rlim_max = Limit.rlim_max};
  if (Raised.rlim_cur > Limit.rlim_cur) {
    if (::setrlimit(RLIMIT_NOFILE, &Raised) == 0)
      Limit = Raised;
    else
      log(LogLevel::Warn, "descriptors.limit_not_raised",
          {{"error", std::strerror(errno)}});
  }
  return static_cast<std::size_t>(Limit.rlim_cur);
}

DescriptorShares shareDescriptors(std::size_t Available) {
  const std::size_t Least = Available / 4;
  return {
      .Calls = {.Served = Available > ReservedDescriptors
                              ? std::max(Available - ReservedDescriptors, Least)
                              : Least,
                .Refused = std::clamp<std::size_t>(Available / 16, 2, 256)},
      .Endpoint = {.Served = std::clamp<std::size_t>(Available / 64, 2, 64),
                   .Refused = std::clamp<std::size_t>(Available / 256, 2, 16)}};
}

} // namespace galenaroute
