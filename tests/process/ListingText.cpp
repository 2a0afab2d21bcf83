#include "process/ListingText.h"

#include "process/Sha256.h"

#include <sstream>

namespace galenaroute::testing_support {

namespace {

std::string quoted(const std::string &Text) { return "\"" + Text + "\""; }

template <class Range, class Function>
std::string joined(const Range &Items, Function &&Print) {
  std::string Result;
  for (const auto &Each : Items)
    Result += (Result.empty() ? "" : ", ") + Print(Each);
  return "[" + Result + "]";
}

std::string upstreams(const std::vector<ListedServer> &Servers) {
  return joined(Servers, [](const ListedServer &Each) {
    return "{ name = " + quoted(Each.Name) +
           ", address = " + quoted(Each.Address.toString()) +
           ", zone = " + quoted(Each.Zone) + " }";
  });
}

} // namespace

std::string listingText(const ListingParts &Parts) {
  std::ostringstream Out;
  Out << "[deployment]\nname = " << quoted(Parts.Deployment)
      << "\nzones = " << joined(Parts.Zones, quoted)
      << "\nregion = " << quoted(Parts.Region) << "\n";
  for (const ListedServer &Each : Parts.Stores)
    Out << "\n[[store]]\nname = " << quoted(Each.Name)
        << "\naddress = " << quoted(Each.Address.toString())
        << "\nzone = " << quoted(Each.Zone)
        << "\nlink_mbps = " << Parts.StoreLinkMbps << "\n";
  Out << "\n[[service]]\nname = " << quoted(Parts.ModelService)
      << "\nkind = \"model\"\nmodel = " << quoted(Parts.Model)
      << "\nweight_version = " << quoted(Parts.WeightVersion)
      << "\nupstreams = " << upstreams(Parts.Engines) << "\ndepends_on = "
      << joined(Parts.Stores,
                [](const ListedServer &Each) { return quoted(Each.Name); })
      << "\nchecks_fence = true\nmax_concurrent_loads = "
      << Parts.MaxConcurrentLoads << "\nslots = " << Parts.Slots
      << "\ndeadline_ms = " << Parts.DeadlineMs << "\n";
  if (!Parts.PlainServers.empty())
    Out << "\n[[service]]\nname = " << quoted(Parts.PlainService)
        << "\nkind = \"plain\"\nupstreams = " << upstreams(Parts.PlainServers)
        << "\ncalls = [ { method = \"POST\", path = " << quoted(Parts.PaidPath)
        << ", repeatable = false }, { method = \"GET\", path = "
        << quoted(Parts.ReadPath) << ", repeatable = true } ]\n";
  for (const std::string &Each : Parts.Customers)
    Out << "\n[[customer]]\nname = " << quoted(Each)
        << "\nkey_sha256 = " << quoted(sha256Hex(Each + "-key"))
        << "\nweight = 1\nmax_in_flight = 512\n";
  return Out.str();
}

} // namespace galenaroute::testing_support
