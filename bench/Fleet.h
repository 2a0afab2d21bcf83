// The programs of one run: emulators and daemons of a deployment of the design
// page, scaled to one machine.

#ifndef GALENAROUTE_BENCH_FLEET_H
#define GALENAROUTE_BENCH_FLEET_H

#include "process/ListingText.h"
#include "process/ProcessHarness.h"

namespace galenaroute::bench {

struct FleetSettings {
  std::string BuildDir;
  std::string Deployment = "harwood"; ///< Or `cedarline`.
  std::string Policy = "expected-time";
  double Scale = 0.5; ///< Of the number of engines.
  std::uint64_t Seed = 1;
};

/// What the emulators counted during a run.
struct FleetCounts {
  double PromptTokens = 0;
  double CachedTokens = 0;
  double CacheViolations = 0;
  double LinkBusyShare = 0; ///< Mean over the store links.
  double KvMegabytes = 0;   ///< Over the engines' links.
  double RepeatedPayments = 0;
};

class Fleet {
public:
  /// Starts the programs, applies the listing and waits until all daemons are
  /// ready. Throws std::runtime_error when that fails.
  explicit Fleet(const FleetSettings &Settings);

  /// Slows a sixth of the engines by five for \p Span, with late reports.
  void slowEngines(Duration Span);

  FleetCounts counts();
  std::size_t customers() const { return this->Parts.Customers.size(); }
  std::string customerKey(std::size_t Index) const {
    return this->Parts.Customers.at(Index) + "-key";
  }
  const SocketAddress &entry(std::uint64_t Index) const {
    return this->Daemons[Index % this->Daemons.size()]->address();
  }
  const testing_support::ListingParts &parts() const { return this->Parts; }
  testing_support::ProcessHarness &harness() { return this->Harness; }

private:
  void startEngines(std::size_t Count);
  /// Prints what the daemons recorded of \p Request, so that a fault that a
  /// run shows can be traced.
  void printTimeline(const std::string &Request);

  FleetSettings Settings;
  testing_support::ProcessHarness Harness;
  testing_support::ListingParts Parts;
  std::vector<testing_support::Program *> Engines;
  std::vector<testing_support::Program *> Stores;
  std::vector<testing_support::Program *> PlainServers;
  std::vector<testing_support::Program *> Daemons;
};

} // namespace galenaroute::bench

#endif // GALENAROUTE_BENCH_FLEET_H
