// Tests upstreams that state a rate limit behind daemon processes.

#include "FakePlatformServer.h"
#include "LimitedUpstreams.h"
#include "PlainConfig.h"
#include "PlatformDaemons.h"
#include "ProcessHarness.h"

#include <csignal>
#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;

class RateLimitProcessTest : public testing::Test {
protected:
  RateLimitProcessTest() { this->Api.put("config", "main", plainConfig()); }

  /// Starts the daemons before \p Upstreams upstreams, and the callers.
  void start(std::size_t Upstreams, Duration CallGap) {
    this->addUpstreams(Upstreams);
    for (std::size_t I = 0; I < DaemonCount; ++I)
      this->startDaemon(I);
    for (std::size_t I = 0; I < DaemonCount; ++I)
      this->Harness.waitFor("daemon " + std::to_string(I), [&] {
        return this->Harness.get(this->Places.readyAddress(I), "/api/ready")
                   .Status == 200;
      });
    // Waits until all know one another.
    this->wait(4s);
    this->Callers.start(CallGap);
    this->wait(1s);
  }

  void startDaemon(std::size_t Index) {
    const std::string Path = this->Places.writeSettings(
        this->Harness.folder(), Index, "z", this->Api.address());
    this->Daemons[Index] =
        &this->Harness.start("galenaroute-platform", {"--settings", Path});
  }
  void addUpstreams(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      this->Upstreams.push_back(
          std::make_unique<LimitedUpstream>(this->Harness.loop(), 5ms));
      this->Api.put("servers", "u" + std::to_string(I),
                    {{"service", "d"},
                     {"address", this->Upstreams[I]->address().toString()},
                     {"zone", "z"},
                     {"version", "1"},
                     {"slots", 50},
                     {"state", "ready"},
                     {"sequence", 1},
                     {"born", 1}});
    }
  }
  void wait(Duration Time) {
    this->Harness.loop().runUntil([] { return false; }, Time);
  }

  static constexpr std::size_t DaemonCount = 6;
  const PlatformDaemons Places{.Count = DaemonCount, .Network = 3};
  ProcessHarness Harness{GALENAROUTE_BUILD_DIR};
  FakePlatformServer Api{this->Harness.loop()};
  Program *Daemons[DaemonCount] = {};
  std::vector<std::unique_ptr<LimitedUpstream>> Upstreams;
  SteadyCallers Callers{this->Harness.loop(), DaemonCount,
                        [this](std::size_t Daemon) {
                          return this->Places.callerAddress(Daemon);
                        }};
};

// Guards against daemons that ignore a stated limit, or each use all of it.
TEST_F(RateLimitProcessTest, AStatedLimitHoldsOverAllDaemons) {
  this->start(4, 8ms);
  this->Upstreams[0]->setLimit(2);
  this->Upstreams[1]->setLimit(12);
  this->wait(10s);
  for (std::size_t I = 0; I < 2; ++I) {
    const auto Found = findExcess(this->Upstreams[I]->Seen, {});
    EXPECT_FALSE(Found) << "upstream " << I << ": " << Found->toString();
  }
  // The others have room for all calls.
  this->Callers.stop();
  this->wait(500ms);
  EXPECT_GE(this->Callers.count("200"),
            static_cast<std::size_t>(this->Callers.sent()) * 99 / 100);
}

} // namespace
} // namespace galenaroute
