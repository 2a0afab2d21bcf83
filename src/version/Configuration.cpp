#include "version/Configuration.h"

#include "process/ErrorKind.h"

#include <nlohmann/json.hpp>

namespace galenaroute {

using nlohmann::json;

const ServiceConfig *Configuration::findService(std::string_view Name) const {
  const auto It = this->Services.find(std::string(Name));
  return It == this->Services.end() ? nullptr : &It->second;
}

const ServiceConfig *Configuration::findModel(std::string_view Model) const {
  const ServiceConfig *Only = nullptr;
  for (const auto &[Name, Service] : this->Services) {
    if (Service.Kind != ServiceKind::Model)
      continue;
    if (!Model.empty() && (Service.Model == Model || Name == Model))
      return &Service;
    if (Model.empty() && Only)
      return nullptr;
    Only = &Service;
  }
  return Model.empty() ? Only : nullptr;
}

const CustomerConfig *
Configuration::findCustomerByDigest(std::string_view KeySha256) const {
  for (const auto &[Name, Customer] : this->Customers)
    if (Customer.KeySha256 == KeySha256)
      return &Customer;
  return nullptr;
}

bool isRepeatable(const ServiceConfig &Service, std::string_view Method,
                  std::string_view Path) {
  const CallConfig *Best = nullptr;
  for (const CallConfig &Each : Service.Calls) {
    if (Each.Method != Method || !Path.starts_with(Each.Path))
      continue;
    if (!Best || Each.Path.size() > Best->Path.size())
      Best = &Each;
  }
  if (Best)
    return Best->Repeatable;
  return Method == "GET" || Method == "HEAD" || Method == "OPTIONS";
}

json toJson(const DeploymentConfig &Value) {
  return {
      {"name", Value.Name}, {"region", Value.Region}, {"zones", Value.Zones}};
}

json toJson(const UpstreamConfig &Value) {
  return {{"name", Value.Name},
          {"address", Value.Address.toString()},
          {"zone", Value.Zone},
          {"state", Value.State == UpstreamState::Live ? "live" : "leaving"}};
}

json toJson(const ServiceConfig &Value) {
  json Upstreams = json::array();
  for (const UpstreamConfig &Each : Value.Upstreams)
    Upstreams.push_back(toJson(Each));
  json Calls = json::array();
  for (const CallConfig &Each : Value.Calls)
    Calls.push_back({{"method", Each.Method},
                     {"path", Each.Path},
                     {"repeatable", Each.Repeatable}});
  return {{"name", Value.Name},
          {"kind", Value.Kind == ServiceKind::Model ? "model" : "plain"},
          {"model", Value.Model},
          {"weight_version", Value.WeightVersion},
          {"adapters", Value.Adapters},
          {"upstreams", Upstreams},
          {"depends_on", Value.DependsOn},
          {"calls", Calls},
          {"checks_fence", Value.ChecksFence},
          {"max_concurrent_loads", Value.MaxConcurrentLoads},
          {"slots", Value.Slots},
          {"deadline_ms", Value.Deadline.count()}};
}

json toJson(const StoreConfig &Value) {
  return {{"name", Value.Name},
          {"address", Value.Address.toString()},
          {"zone", Value.Zone},
          {"link_mbps", Value.LinkMbps}};
}

json toJson(const CustomerConfig &Value) {
  return {{"name", Value.Name},
          {"key_sha256", Value.KeySha256},
          {"weight", Value.Weight},
          {"max_in_flight", Value.MaxInFlight}};
}

/// Runs \p Convert and rethrows JSON exceptions as Error(BadRequest).
template <typename Fn>
static auto converting(std::string_view What, Fn Convert) {
  try {
    return Convert();
  } catch (const json::exception &Failure) {
    throw Error(ErrorKind::BadRequest, "malformed " + std::string(What) +
                                           " object: " + Failure.what());
  }
}

DeploymentConfig deploymentFromJson(const json &Value) {
  return converting("deployment", [&] {
    return DeploymentConfig{Value.at("name"), Value.at("region"),
                            Value.at("zones")};
  });
}

UpstreamConfig upstreamFromJson(const json &Value) {
  return converting("upstream", [&] {
    return UpstreamConfig{
        Value.at("name"),
        SocketAddress::parse(Value.at("address").get<std::string>()),
        Value.at("zone"),
        Value.at("state") == "leaving" ? UpstreamState::Leaving
                                       : UpstreamState::Live};
  });
}

ServiceConfig serviceFromJson(const json &Value) {
  return converting("service", [&] {
    ServiceConfig Result;
    Result.Name = Value.at("name");
    Result.Kind =
        Value.at("kind") == "model" ? ServiceKind::Model : ServiceKind::Plain;
    Result.Model = Value.at("model");
    Result.WeightVersion = Value.at("weight_version");
    Value.at("adapters").get_to(Result.Adapters);
    for (const json &Each : Value.at("upstreams"))
      Result.Upstreams.push_back(upstreamFromJson(Each));
    Value.at("depends_on").get_to(Result.DependsOn);
    for (const json &Each : Value.at("calls"))
      Result.Calls.push_back(
          {Each.at("method"), Each.at("path"), Each.at("repeatable")});
    Result.ChecksFence = Value.at("checks_fence");
    Result.MaxConcurrentLoads = Value.at("max_concurrent_loads");
    Result.Slots = Value.at("slots");
    Result.Deadline = Milliseconds(Value.at("deadline_ms").get<std::int64_t>());
    return Result;
  });
}

StoreConfig storeFromJson(const json &Value) {
  return converting("store", [&] {
    return StoreConfig{
        Value.at("name"),
        SocketAddress::parse(Value.at("address").get<std::string>()),
        Value.at("zone"), Value.at("link_mbps")};
  });
}

CustomerConfig customerFromJson(const json &Value) {
  return converting("customer", [&] {
    return CustomerConfig{Value.at("name"), Value.at("key_sha256"),
                          Value.at("weight"), Value.at("max_in_flight")};
  });
}

} // namespace galenaroute
