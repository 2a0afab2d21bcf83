// The file descriptors of the process and how its connections share them.
//
//   const std::size_t Available = reserveDescriptors(Settings.MaxDescriptors);
//   const DescriptorShares Shares = shareDescriptors(Available);
//
// Guarantees: the shares of one listener for calls and three for other requests
// leave a sixth of the descriptors, or 700, whichever is less, to connections
// to upstreams and the platform and to files.

#ifndef GALENAROUTE_PROCESS_DESCRIPTORS_H
#define GALENAROUTE_PROCESS_DESCRIPTORS_H

#include <cstddef>

namespace galenaroute {

/// Connections that a listener keeps open at a time.
struct ListenerShare {
  std::size_t Served = 0;
  std::size_t Refused = 0; ///< Further ones, each until its call is refused.

  bool operator==(const ListenerShare &) const = default;
};

struct DescriptorShares {
  ListenerShare Calls;    ///< The listener for forwarded calls.
  ListenerShare Endpoint; ///< Each listener for other requests.

  bool operator==(const DescriptorShares &) const = default;
};

/// Raises the limit of the process to \p Wanted descriptors, or as far as the
/// hard limit allows. Returns the smaller of \p Wanted and the limit in force.
/// Logs a limit that cannot be read or raised.
std::size_t reserveDescriptors(std::size_t Wanted);

DescriptorShares shareDescriptors(std::size_t Available);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_DESCRIPTORS_H
