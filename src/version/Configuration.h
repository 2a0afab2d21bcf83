// The configuration that a listing declares, as plain structs.
//
// A Configuration is immutable once it is in force; it is shared as
// std::shared_ptr<const Configuration>, and each request keeps the one with
// which it began. Objects are stored in the platform one by one, so each kind
// converts to and from JSON on its own:
//
//   nlohmann::json Value = toJson(Service);
//   ServiceConfig Service = serviceFromJson(Value);  // throws
//   Error(BadRequest)

#ifndef GALENAROUTE_VERSION_CONFIGURATION_H
#define GALENAROUTE_VERSION_CONFIGURATION_H

#include "connection/HttpTypes.h"
#include "process/Clock.h"

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace galenaroute {

/// What a service is.
enum class ServiceKind {
  Model, ///< Model engines that take prompts.
  Plain, ///< Plain HTTP services.
};

/// Whether an upstream takes new work, as the operator declares it.
enum class UpstreamState { Live, Leaving };

/// One back-end server of a service.
struct UpstreamConfig {
  std::string Name; ///< Unique within the listing.
  SocketAddress Address;
  std::string Zone;
  UpstreamState State = UpstreamState::Live;
  bool operator==(const UpstreamConfig &) const = default;
};

/// A call of a plain service, with what may be done on failure.
struct CallConfig {
  std::string Method;
  std::string Path; ///< Prefix of the path below the service.
  bool Repeatable = false;
  bool operator==(const CallConfig &) const = default;
};

/// A service and what it depends on.
struct ServiceConfig {
  std::string Name;
  ServiceKind Kind = ServiceKind::Model;
  std::string Model;         ///< Model services only.
  std::string WeightVersion; ///< Model services only.
  std::vector<std::string> Adapters;
  std::vector<UpstreamConfig> Upstreams;
  std::vector<std::string> DependsOn; ///< Names of stores and services.
  std::vector<CallConfig> Calls;      ///< Plain services only.
  bool ChecksFence = false;
  int MaxConcurrentLoads = 1;
  int Slots = 8; ///< Requests that one upstream runs at a time.
  Milliseconds Deadline{30000};
  bool operator==(const ServiceConfig &) const = default;
};

/// A KV cache store VM.
struct StoreConfig {
  std::string Name;
  SocketAddress Address;
  std::string Zone;
  double LinkMbps = 1000; ///< Megabits per second.
  bool operator==(const StoreConfig &) const = default;
};

/// A customer and its share.
struct CustomerConfig {
  std::string Name;
  std::string KeySha256; ///< Lower-case hex digest of the bearer key.
  double Weight = 1;
  int MaxInFlight = 64; ///< Over all entries.
  bool operator==(const CustomerConfig &) const = default;
};

/// The deployment as a whole.
struct DeploymentConfig {
  std::string Name;
  std::string Region;
  std::vector<std::string> Zones;
  bool operator==(const DeploymentConfig &) const = default;
};

/// One version of all that the operators declared.
struct Configuration {
  std::uint64_t Epoch = 0; ///< Grows with each accepted change; 0: none yet.
  DeploymentConfig Deployment;
  std::map<std::string, ServiceConfig> Services;
  std::map<std::string, StoreConfig> Stores;
  std::map<std::string, CustomerConfig> Customers;

  /// Returns the service called \p Name, or null.
  const ServiceConfig *findService(std::string_view Name) const;

  /// Returns the model service that serves \p Model, or the only one when
  /// \p Model is empty; null when there is none.
  const ServiceConfig *findModel(std::string_view Model) const;

  /// Returns the customer whose key has the digest \p KeySha256, or null.
  const CustomerConfig *findCustomerByDigest(std::string_view KeySha256) const;

  bool operator==(const Configuration &) const = default;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Returns whether \p Method on \p Path below \p Service may be repeated. The
/// longest matching declaration decides; undeclared calls are repeatable when
/// their method is GET, HEAD or OPTIONS.
bool isRepeatable(const ServiceConfig &Service, std::string_view Method,
                  std::string_view Path);

nlohmann::json toJson(const DeploymentConfig &Value);
nlohmann::json toJson(const UpstreamConfig &Value);
nlohmann::json toJson(const ServiceConfig &Value);
nlohmann::json toJson(const StoreConfig &Value);
nlohmann::json toJson(const CustomerConfig &Value);

/// These throw Error(BadRequest) when \p Value does not have the right shape.
DeploymentConfig deploymentFromJson(const nlohmann::json &Value);
UpstreamConfig upstreamFromJson(const nlohmann::json &Value);
ServiceConfig serviceFromJson(const nlohmann::json &Value);
StoreConfig storeFromJson(const nlohmann::json &Value);
CustomerConfig customerFromJson(const nlohmann::json &Value);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_CONFIGURATION_H
