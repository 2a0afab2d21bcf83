// Tests that configurations applied with the command-line tool reach real
// daemons, also during a platform outage and after a restoration.

#include "process/ListingText.h"
#include "process/ProcessHarness.h"
#include "version/ConfigObjects.h"

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
    this->Daemons.push_back(&this->Harness.start(
        "galenarouted",
        {"--listen", Caller.toString(), "--peer-listen", Peer.toString(),
         "--platform", this->Platform.address().toString(), "--zone", Zone,
         "--seeds", this->Seeds}));
    this->Callers.push_back(Caller);
    this->Harness.waitFor("an answer of the daemon", [&] {
      return this->Harness.get(Caller, "/v1/status").isSuccess();
    });
  }

  /// Applies a listing and waits until the daemons have it. Returns the exit
  /// code and the output.
  std::pair<int, std::string> apply(const std::string &WeightVersion,
                                    bool Wait = true) {
    ListingParts Parts;
    Parts.Engines = {{"steward-1", ProcessHarness::freeAddress(), "derwent"}};
    Parts.PlainServers = {{"desk-1", ProcessHarness::freeAddress(), "derwent"}};
    Parts.WeightVersion = WeightVersion;
    const std::string File = this->Harness.folder() + "/listing.toml";
    std::ofstream(File) << listingText(Parts);
    std::string Entries;
    for (const SocketAddress &Each : this->Callers)
      Entries += (Entries.empty() ? "" : ",") + Each.toString();
    std::vector<std::string> Arguments = {
        "--platform", this->Platform.address().toString(),
        "--entries",  Entries,
        "apply",      File};
    if (Wait)
      Arguments.emplace_back("--wait");
    return this->Harness.run("galenaroute", Arguments);
  }

  /// Returns the platform to its state at \p Time.
  void restore(TimePoint Time) {
    const double Age = toSeconds(EventLoop::now() - Time);
    ASSERT_EQ(this->Harness
                  .post(this->Platform.address(), "/admin/fault",
                        {{"restore_s", Age}})
                  .Status,
              200);
  }

  /// Waits until all daemons have \p Epoch in force, and checks that none goes
  /// back meanwhile.
  void waitForEpoch(std::uint64_t Epoch) {
    this->Harness.waitFor("epoch " + std::to_string(Epoch), [&] {
      bool HaveAll = true;
      for (const SocketAddress &Each : this->Callers) {
        const std::uint64_t Now = this->epochAt(Each);
        EXPECT_GE(Now, this->Seen[Each]) << Each.toString();
        this->Seen[Each] = Now;
        HaveAll = HaveAll && Now == Epoch;
      }
      return HaveAll;
    });
  }

  std::uint64_t epochAt(const SocketAddress &Daemon) {
    const auto Status = this->Harness.getJson(Daemon, "/v1/status");
    return Status.is_object() ? Status.value("epoch", std::uint64_t{0}) : 0;
  }

  ProcessHarness Harness{GALENAROUTE_BUILD_DIR};
  Program &Platform;
  std::vector<SocketAddress> Callers;
  std::vector<Program *> Daemons;
  std::map<SocketAddress, std::uint64_t> Seen; ///< Epochs in force.
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

// Guards against a configuration that a restoration of the platform takes back
// for good, and against one that daemons ignore after it.
TEST_F(ConfigProcessTest, TheVersionInForceOutlastsARestoration) {
  for (int I = 0; I < 3; ++I)
    this->startDaemon("derwent");
  ASSERT_EQ(this->apply("v1").first, 0);
  const TimePoint Copied = EventLoop::now();
  ASSERT_EQ(this->apply("v2").first, 0);
  this->waitForEpoch(2);
  this->restore(Copied);
  this->startDaemon("huon");
  this->waitForEpoch(2);
  // Without peers, the platform alone tells a daemon the configuration.
  this->Seeds.clear();
  this->startDaemon("huon");
  this->waitForEpoch(2);
  ASSERT_EQ(this->apply("v3").first, 0);
  this->waitForEpoch(EpochsPerEra + 1);
}

// Guards against a new configuration that gets the epoch of the one that was
// taken back, so that daemons which had that one in force ignore it.
TEST_F(ConfigProcessTest,
       AnApplyAfterARestorationReachesDaemonsThatStoodStill) {
  for (int I = 0; I < 3; ++I)
    this->startDaemon("derwent");
  ASSERT_EQ(this->apply("v1").first, 0);
  const TimePoint Copied = EventLoop::now();
  ASSERT_EQ(this->apply("v2").first, 0);
  this->waitForEpoch(2);
  for (Program *Each : this->Daemons)
    Each->signal(SIGSTOP);
  this->restore(Copied);
  ASSERT_EQ(this->apply("v3", /*Wait=*/false).first, 0);
  for (Program *Each : this->Daemons)
    Each->signal(SIGCONT);
  this->startDaemon("huon");
  this->waitForEpoch(EpochsPerEra + 1);
}

} // namespace
} // namespace galenaroute::testing_support
