// The configuration of call forwarding: routes by host and path, services,
// customers' keys and limits.
//
//   const ForwardRoute *Route = findRoute(Config, Host, Path);
//   const ForwardCustomer *Customer = findCustomer(Config, Key);
//
// A ForwardConfig is immutable once it is in force and is shared as
// std::shared_ptr<const ForwardConfig>; each call uses the one that was in
// force when it began.

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
  Resumable,  ///< An event stream that another upstream can continue.
};

/// A service that receives a share of a route's traffic.
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
  bool IsPublic = false;      ///< Calls need no API key.
  bool CarriesPrompt = false; ///< Calls identify the parts of their prompts.
  Duration Timeout = std::chrono::seconds(30); ///< For a call as a whole.
  Duration Target =
      std::chrono::seconds(1); ///< To the response or first event.
  Duration GapTarget{};        ///< For the time between two events of a stream.
  /// How long callers wait for the first event of a stream before they abandon
  /// it; zero if unknown.
  Duration Patience{};
  int Priority = 0;     ///< 0 is the most urgent.
  int MaxUpstreams = 1; ///< Limit of the upstreams that one call is sent to.
  std::vector<WeightedService> Services;
};

/// The properties of the model engines of a service.
struct EngineSpec {
  int Slots = 1; ///< Calls that run in one batch.
  std::uint64_t CacheTokens = 0;
  std::uint64_t BytesPerToken = 0;
  std::string Model;
};

/// A KV cache store.
struct StoreSpec {
  SocketAddress Address;
  std::string Zone;
  std::uint64_t CacheTokens = 0;
  Duration Latency{};     ///< Before each transfer.
  int MaxWatchers = 4;    ///< Limit of concurrent long polls for events.
  bool IsManaged = false; ///< The gateways manage its contents.
};

struct ForwardService {
  std::string Name;
  int MaxConnections = 100; ///< Limit of each upstream, over all gateways.
  /// Calls per second that a cold upstream accepts from all gateways; zero if
  /// they don't need a limit.
  double ColdCallsPerSecond = 0;
  std::optional<EngineSpec> Engine;
  std::optional<StoreSpec> Store;
  /// The different priorities of its routes, the most urgent first; set by
  /// ForwardConfig::index().
  std::vector<int> Priorities;
  /// Whether a less urgent route has a latency target at least MinTargetSpread
  /// times as long as a more urgent one, so that its calls can wait; set by
  /// ForwardConfig::index().
  bool ReservesCapacity = false;
};

/// Callers abandon a stream after about four targets without an event, so a
/// call with that target can wait for as long as callers of the urgent route
/// would. Between routes with more similar targets, capacity that is kept free
/// for the urgent ones makes as many of the other calls late.
inline constexpr int MinTargetSpread = 4;

struct ForwardCustomer {
  std::string Name;
  std::vector<std::string> Keys;
  std::optional<int> Priority; ///< Overrides the route's priority.
  bool IsIsolated = false;     ///< Shares no cache with other customers.
  /// Its share of engine time relative to other customers while calls are
  /// queued; 1 if nothing is given. Above 0.
  std::optional<double> Weight;
};

/// Limits of requests from callers.
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
  bool HasWeights = false; ///< Of customers; set by index().

  /// Builds the indexes below and the priorities of the services; call once
  /// after the lists are complete.
  void index();

  /// Indexes into Routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> RoutesByHost;
  std::unordered_map<std::string, std::size_t> CustomerByKey;
};

using ForwardConfigPtr = std::shared_ptr<const ForwardConfig>;

/// Returns the route with the longest prefix of \p Path at \p Host, or null.
const ForwardRoute *findRoute(const ForwardConfig &Config,
                              std::string_view Host, std::string_view Path);

/// Returns the customer with the API key \p Key, or null.
const ForwardCustomer *findCustomer(const ForwardConfig &Config,
                                    const std::string &Key);

/// Returns the service of a call, chosen by weight. \p Draw is a random number
/// in [0, 1).
const std::string &chooseService(const ForwardRoute &Route, double Draw);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_FORWARDCONFIG_H
