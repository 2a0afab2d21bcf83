// The configuration that a listing declares, as plain structs.
//
//   nlohmann::json Value = toJson(Service);
//   ServiceConfig Service = serviceFromJson(Value); // throws Error(BadRequest)
//
// A Configuration is immutable once it is in force; it is shared as
// std::shared_ptr<const Configuration>, and each request uses the one that was
// in force when it began. The platform stores records one by one, so each kind
// of record has its own conversions to and from JSON.

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

/// The kind of a service.
enum class ServiceKind {
  Model, ///< Model engines that take prompts.
  Plain, ///< Plain HTTP services.
};

/// The operator's declaration of whether an upstream takes new work.
enum class UpstreamState { Live, Leaving };

/// One back-end server of a service.
struct UpstreamConfig {
  std::string Name; ///< Unique within the listing.
  SocketAddress Address;
  std::string Zone;
  UpstreamState State = UpstreamState::Live;
  bool operator==(const UpstreamConfig &) const = default;
};

/// A method and path of a plain service, and whether calls may be retried.
struct CallConfig {
  std::string Method;
  std::string Path; ///< Path prefix relative to the service.
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
  int Slots = 8; ///< Requests that one upstream runs concurrently.
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

/// A customer and its share of the capacity.
struct CustomerConfig {
  std::string Name;
  std::string KeySha256; ///< Lower-case hex digest of the bearer key.
  double Weight = 1;
  int MaxInFlight = 64; ///< Over all gateways.
  bool operator==(const CustomerConfig &) const = default;
};

/// The deployment as a whole.
struct DeploymentConfig {
  std::string Name;
  std::string Region;
  std::vector<std::string> Zones;
  bool operator==(const DeploymentConfig &) const = default;
};

/// One version of everything that the operators declared.
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

/// Returns whether \p Method on \p Path of \p Service may be repeated. The
/// longest matching declaration applies; undeclared calls are repeatable if
/// their method is GET, HEAD or OPTIONS.
bool isRepeatable(const ServiceConfig &Service, std::string_view Method,
                  std::string_view Path);

nlohmann::json toJson(const DeploymentConfig &Value);
nlohmann::json toJson(const UpstreamConfig &Value);
nlohmann::json toJson(const ServiceConfig &Value);
nlohmann::json toJson(const StoreConfig &Value);
nlohmann::json toJson(const CustomerConfig &Value);

/// These throw Error(BadRequest) when \p Value is malformed.
DeploymentConfig deploymentFromJson(const nlohmann::json &Value);
UpstreamConfig upstreamFromJson(const nlohmann::json &Value);
ServiceConfig serviceFromJson(const nlohmann::json &Value);
StoreConfig storeFromJson(const nlohmann::json &Value);
CustomerConfig customerFromJson(const nlohmann::json &Value);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_CONFIGURATION_H
