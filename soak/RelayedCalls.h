// Finds in the logs of daemons which of them relayed a call.
//
//   for (std::string Line; std::getline(Log, Line);)
//     if (const auto Relayed = relayedCallIn(Line)) ...

#ifndef GALENAROUTE_SOAK_RELAYEDCALLS_H
#define GALENAROUTE_SOAK_RELAYEDCALLS_H

#include <optional>
#include <string_view>

namespace galenaroute::soak {

/// A call that a daemon sent to an upstream through another daemon.
struct RelayedCall {
  std::string_view Id;
  std::string_view HelperHost;
};

/// Returns what a line of a log tells of a relayed call, if it does. The views
/// are parts of \p Line.
std::optional<RelayedCall> relayedCallIn(std::string_view Line);

} // namespace galenaroute::soak

#endif // GALENAROUTE_SOAK_RELAYEDCALLS_H
