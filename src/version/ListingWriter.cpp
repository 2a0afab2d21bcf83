#include "version/Listing.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace galenaroute {

namespace {

/// Returns \p Text as a TOML basic string. Listings contain no control
/// characters, so only quotes and backslashes need escaping.
std::string quote(std::string_view Text) {
  std::string Result = "\"";
  for (const char C : Text) {
    if (C == '"' || C == '\\')
      Result += '\\';
    Result += C;
  }
  return Result + "\"";
}

std::string array(const std::vector<std::string> &Values) {
  std::string Result = "[";
  for (const std::string &Each : Values)
    Result += (Result.size() > 1 ? ", " : "") + quote(Each);
  return Result + "]";
}

/// Returns the shortest text that parses to the same number.
std::string number(double Value) { return nlohmann::json(Value).dump(); }

void writeService(std::ostream &Out, const ServiceConfig &Service) {
  const bool IsModel = Service.Kind == ServiceKind::Model;
  Out << "\n[[service]]\nname = " << quote(Service.Name)
      << "\nkind = " << (IsModel ? "\"model\"" : "\"plain\"") << "\n";
  if (IsModel)
    Out << "model = " << quote(Service.Model)
        << "\nweight_version = " << quote(Service.WeightVersion)
        << "\nadapters = " << array(Service.Adapters)
        << "\nchecks_fence = " << (Service.ChecksFence ? "true" : "false")
        << "\nmax_concurrent_loads = " << Service.MaxConcurrentLoads << "\n";
  Out << "slots = " << Service.Slots
      << "\ndeadline_ms = " << Service.Deadline.count()
      << "\ndepends_on = " << array(Service.DependsOn) << "\nupstreams = [\n";
  for (const UpstreamConfig &Each : Service.Upstreams) {
    Out << "  { name = " << quote(Each.Name)
        << ", address = " << quote(Each.Address.toString())
        << ", zone = " << quote(Each.Zone);
    if (Each.State == UpstreamState::Leaving)
      Out << ", state = \"leaving\"";
    Out << " },\n";
  }
  Out << "]\n";
  if (Service.Calls.empty())
    return;
  Out << "calls = [\n";
  for (const CallConfig &Each : Service.Calls)
    Out << "  { method = " << quote(Each.Method)
        << ", path = " << quote(Each.Path)
        << ", repeatable = " << (Each.Repeatable ? "true" : "false") << " },\n";
  Out << "]\n";
}

} // namespace

std::string writeListing(const Configuration &Config) {
  std::ostringstream Out;
  Out << "[deployment]\nname = " << quote(Config.Deployment.Name) << "\n";
  if (!Config.Deployment.Region.empty())
    Out << "region = " << quote(Config.Deployment.Region) << "\n";
  Out << "zones = " << array(Config.Deployment.Zones) << "\n";
  for (const auto &[Name, Store] : Config.Stores)
    Out << "\n[[store]]\nname = " << quote(Name)
        << "\naddress = " << quote(Store.Address.toString())
        << "\nzone = " << quote(Store.Zone)
        << "\nlink_mbps = " << number(Store.LinkMbps) << "\n";
  for (const auto &[Name, Service] : Config.Services)
    writeService(Out, Service);
  for (const auto &[Name, Customer] : Config.Customers)
    Out << "\n[[customer]]\nname = " << quote(Name)
        << "\nkey_sha256 = " << quote(Customer.KeySha256)
        << "\nweight = " << number(Customer.Weight)
        << "\nmax_in_flight = " << Customer.MaxInFlight << "\n";
  return Out.str();
}

} // namespace galenaroute
