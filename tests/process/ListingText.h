// Writes listings for process tests and the load tool.

#ifndef GALENAROUTE_TESTS_PROCESS_LISTINGTEXT_H
#define GALENAROUTE_TESTS_PROCESS_LISTINGTEXT_H

#include "connection/HttpTypes.h"

#include <string>
#include <vector>

namespace galenaroute::testing_support {

/// One upstream or store of a listing.
struct ListedServer {
  std::string Name;
  SocketAddress Address;
  std::string Zone;
};

/// What a listing declares. Each customer's bearer key is its name followed by
/// `-key`.
struct ListingParts {
  std::string Deployment = "harwood";
  std::string Region = "tas-south";
  std::vector<std::string> Zones = {"derwent", "wellington", "huon"};
  std::string ModelService = "steward-models";
  std::string Model = "steward-7b";
  std::string WeightVersion = "v1";
  std::vector<ListedServer> Engines;
  int Slots = 8;
  int DeadlineMs = 30000;
  int MaxConcurrentLoads = 2;
  std::string PlainService = "entries-desk";
  std::vector<ListedServer> PlainServers;
  std::string PaidPath = "/payments"; ///< Calls to it must not repeat.
  std::string ReadPath = "/bibs";
  std::vector<ListedServer> Stores;
  int StoreLinkMbps = 800;
  std::vector<std::string> Customers = {"marshals"};
};

/// Returns the listing in TOML.
std::string listingText(const ListingParts &Parts);

} // namespace galenaroute::testing_support

#endif // GALENAROUTE_TESTS_PROCESS_LISTINGTEXT_H
