// The configuration by which calls are forwarded: routes by host and path,
// services, customers' keys and limits.
//
//   const ForwardRoute *Route = findRoute(Config, Host, Path);
//   const ForwardCustomer *Customer = findCustomer(Config, Key);
//
// A ForwardConfig is immutable once it is in force and is shared as
// std::shared_ptr<const ForwardConfig>; each call keeps the one with which it
// began.

#ifndef GALENAROUTE_VERSION_FORWARDCONFIG_H
#define GALENAROUTE_VERSION_FORWARDCONFIG_H

#include "connection/HttpTypes.h"
#include "process/Clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenaroute {

/// How often a call may run.
enum class Repeatability {
  Repeatable, ///< Any number of times.
  Once,       ///< At most once for each attempt of the caller.
  Resumable,  ///< An event stream that another upstream may go on with.
};

/// A part of a route's traffic.
struct WeightedService {
  std::string Service;
  double Weight = 1;
};

struct ForwardRoute {
  std::string Name;
  std::string Host;
  std::string PathPrefix; ///< Begins and ends with a slash.
  Repeatability Repeat = Repeatability::Once;
  bool IsStream = false;
  bool IsPublic = false;      ///< Needs no key.
  bool CarriesPrompt = false; ///< Calls name the parts of their prompts.
  Duration Timeout = std::chrono::seconds(30); ///< Longest time in the system.
  Duration Target = std::chrono::seconds(1); ///< To the answer or first event.
  Duration GapTarget{}; ///< Longest good pause between events.
  /// How long callers of a stream wait for its first event; zero: not known.
  Duration Patience{};
  int Priority = 0;     ///< 0 is the most urgent.
  int MaxUpstreams = 1; ///< To which one call may be sent.
  std::vector<WeightedService> Services;
};

/// What the model engines of a service are.
struct EngineSpec {
  int Slots = 1; ///< Runs in one batch.
  std::uint64_t CacheTokens = 0;
  std::uint64_t BytesPerToken = 0;
  std::string Model;
};

/// A KV cache store whose contents this system manages.
struct StoreSpec {
  SocketAddress Address;
  std::string Zone;
  std::uint64_t CacheTokens = 0;
  Duration Latency{};  ///< Before each transfer.
  int MaxWatchers = 4; ///< Event calls that it holds at a time.
  bool IsManaged = false;
};

struct ForwardService {
  std::string Name;
  int MaxConnections = 100; ///< Each upstream accepts from all callers.
  std::optional<EngineSpec> Engine;
  std::optional<StoreSpec> Store;
};

struct ForwardCustomer {
  std::string Name;
  std::vector<std::string> Keys;
  std::optional<int> Priority; ///< Overrides that of the route.
  bool IsIsolated = false;     ///< Shares no cache with other customers.
};

/// What callers may send.
struct ForwardLimits {
  std::size_t MaxHeaderBytes = 16 << 10;
  std::size_t MaxBodyBytes = 4 << 20;
  Duration HeaderTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
};

struct ForwardConfig {
  std::uint64_t Version = 0;
  std::vector<ForwardRoute> Routes;
  std::map<std::string, ForwardService, std::less<>> Services;
  std::vector<ForwardCustomer> Customers;
  ForwardLimits Limits;
  bool NeedsKeys = false;

  /// Fills the indexes below; call once after the lists are complete.
  void index();

  /// Routes of a host, longest prefix first; positions in Routes.
  std::unordered_map<std::string, std::vector<std::size_t>> RoutesByHost;
  std::unordered_map<std::string, std::size_t> CustomerByKey;
};

using ForwardConfigPtr = std::shared_ptr<const ForwardConfig>;

/// Returns the route with the longest prefix of \p Path at \p Host, or null.
const ForwardRoute *findRoute(const ForwardConfig &Config,
                              std::string_view Host, std::string_view Path);

/// Returns the customer that holds \p Key, or null.
const ForwardCustomer *findCustomer(const ForwardConfig &Config,
                                    const std::string &Key);

/// Chooses the service of a call; \p Draw is uniform in [0, 1).
const std::string &chooseService(const ForwardRoute &Route, double Draw);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_FORWARDCONFIG_H
