// Finding the daemons and calling all of them.

#ifndef GALENAROUTE_CLI_FLEET_H
#define GALENAROUTE_CLI_FLEET_H

#include "cli/Cli.h"

namespace galenaroute {

/// The answer of one daemon.
struct DaemonAnswer {
  SocketAddress Address;
  nlohmann::json Body; ///< Null unless the daemon answered with JSON and 2xx.
  std::string Problem; ///< Why Body is null.
};

/// Calls open at a time; the fleet may have 960 daemons.
constexpr std::size_t FleetParallel = 64;

/// Returns the addresses of --entries or, without them, of the entry VMs in
/// the VM list that are not leaving. Throws Error(PlatformUnavailable) when
/// the list cannot be read.
std::vector<SocketAddress> findDaemons(CliContext &Context);

/// Sends one request to each of \p To and returns the answers in that order.
std::vector<DaemonAnswer> callDaemons(CliContext &Context,
                                      const std::vector<SocketAddress> &To,
                                      const std::string &Method,
                                      const std::string &Path);

} // namespace galenaroute

#endif // GALENAROUTE_CLI_FLEET_H
