// Tests that configurations applied with the command-line tool reach real
// daemons, also during a platform outage.

#include "process/ListingText.h"
#include "process/ProcessHarness.h"

#include <csignal>
#include <fstream>
#include <gtest/gtest.h>

namespace galenaroute::testing_support {
namespace {

using namespace std::chrono_literals;

class ConfigProcessTest : public testing::Test {
protected:
  ConfigProcessTest() : Platform(Harness.startEmulator("platform", {})) {}

  void startDaemon(const std::string &Zone) {
    const SocketAddress Caller = ProcessHarness::freeAddress();
    const SocketAddress Peer = ProcessHarness::freeAddress();
    this->Seeds += (this->Seeds.empty() ? "" : ",") + Peer.toString();
    this->Harness.start("galenarouted",
                        {"--listen", Caller.toString(), "--peer-listen",
                         Peer.toString(), "--platform",
                         this->Platform.address().toString(), "--zone", Zone,
                         "--seeds", this->Seeds});
    this->Callers.push_back(Caller);
    this->Harness.waitFor("an answer of the daemon", [&] {
      return this->Harness.get(Caller, "/v1/status").isSuccess();
    });
  }

  /// Applies a listing and waits until the daemons have it. Returns the exit
  /// code and the output.
  std::pair<int, std::string> apply(const std::string &WeightVersion) {
    ListingParts Parts;
    Parts.Engines = {{"steward-1", ProcessHarness::freeAddress(), "derwent"}};
    Parts.PlainServers = {{"desk-1", ProcessHarness::freeAddress(), "derwent"}};
    Parts.WeightVersion = WeightVersion;
    const std::string File = this->Harness.folder() + "/listing.toml";
    std::ofstream(File) << listingText(Parts);
    std::string Entries;
    for (const SocketAddress &Each : this->Callers)
      Entries += (Entries.empty() ? "" : ",") + Each.toString();
    return this->Harness.run("galenaroute",
                             {"--platform", this->Platform.address().toString(),
                              "--entries", Entries, "apply", File, "--wait"});
  }

  std::uint64_t epochAt(const SocketAddress &Daemon) {
    const auto Status = this->Harness.getJson(Daemon, "/v1/status");
    return Status.is_object() ? Status.value("epoch", std::uint64_t{0}) : 0;
  }

  ProcessHarness Harness{GALENAROUTE_BUILD_DIR};
  Program &Platform;
  std::vector<SocketAddress> Callers;
  std::string Seeds;
};

// Guards against changes that don't reach daemons without a platform watch, and
// against a daemon that starts during an outage and never gets a configuration.
TEST_F(ConfigProcessTest, ReachesAllDaemonsAndOneStartedInAnOutage) {
  for (int I = 0; I < 4; ++I)
    this->startDaemon("derwent");
  for (const char *Version : {"v1", "v2", "v3"}) {
    const auto [Code, Output] = this->apply(Version);
    ASSERT_EQ(Code, 0) << Output;
  }
  this->Platform.signal(SIGSTOP);
  this->startDaemon("huon");
  this->Harness.waitFor("the epoch of the peers", [&] {
    return this->epochAt(this->Callers.back()) == 3;
  });
  this->Platform.signal(SIGCONT);
  const auto [Code, Output] = this->apply("v4");
  EXPECT_EQ(Code, 0) << Output;
}

} // namespace
} // namespace galenaroute::testing_support
