// Tests a call that crashes upstreams against daemon processes that are killed,
// frozen and restarted.

#include "CrashingUpstreams.h"
#include "FakePlatformServer.h"
#include "PlainConfig.h"
#include "PlatformDaemons.h"
#include "ProcessHarness.h"

#include <csignal>
#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;
using nlohmann::json;

class CrashingCallProcessTest : public testing::Test {
protected:
  CrashingCallProcessTest() { this->Api.put("config", "main", plainConfig()); }

  SocketAddress callerAddress(std::size_t Index) const {
    return this->Places.callerAddress(Index);
  }

  void start(std::size_t Index) {
    const std::string Path = this->Places.writeSettings(
        this->Harness.folder(), Index, "z", this->Api.address());
    this->Daemons[Index] =
        &this->Harness.start("galenaroute-platform", {"--settings", Path});
  }
  void waitUntilReady() {
    for (std::size_t I = 0; I < DaemonCount; ++I)
      this->Harness.waitFor("daemon " + std::to_string(I), [&] {
        return this->Harness.get(this->Places.readyAddress(I), "/api/ready")
                   .Status == 200;
      });
  }

  void startUpstreams() {
    this->Upstreams = std::make_unique<CrashingUpstreams>(
        this->Harness.loop(),
        [this](const std::string &Id, const SocketAddress *At) {
          this->Api.put("servers", Id,
                        At ? json{{"service", "d"},
                                  {"address", At->toString()},
                                  {"zone", "z"},
                                  {"version", "1"},
                                  {"slots", 50},
                                  {"state", "ready"},
                                  {"sequence", 1},
                                  {"born", ++this->Born}}
                           : json());
        },
        10, CrashKind::Reset);
  }

  void sendToAll() {
    for (std::size_t I = 0; I < DaemonCount; ++I) {
      this->Crashing.send(callerAddress(I), "/once/a", "crash");
      this->wait(100ms);
    }
  }
  void wait(Duration Time) {
    this->Harness.loop().runUntil([] { return false; }, Time);
  }

  static constexpr std::size_t DaemonCount = 4;
  const PlatformDaemons Places{.Count = DaemonCount};
  ProcessHarness Harness{GALENAROUTE_BUILD_DIR};
  FakePlatformServer Api{this->Harness.loop()};
  int Born = 0;
  std::unique_ptr<CrashingUpstreams> Upstreams;
  Callers Crashing;
  Program *Daemons[DaemonCount] = {};
};

// Guards against daemons that each let the call through, also after all of them
// were killed and one was frozen meanwhile.
TEST_F(CrashingCallProcessTest, TheCallStaysRefusedAfterKillsAndFreezes) {
  for (std::size_t I = 0; I < DaemonCount; ++I)
    this->start(I);
  this->startUpstreams();
  this->waitUntilReady();
  // Waits until all know one another.
  this->wait(1500ms);
  this->Daemons[DaemonCount - 1]->signal(SIGSTOP);
  for (std::size_t I = 0; I < 3; ++I) {
    this->Crashing.send(callerAddress(I), "/once/a", "crash");
    this->wait(200ms);
  }
  EXPECT_EQ(this->Upstreams->Crashes.size(), 3u);
  this->Daemons[DaemonCount - 1]->signal(SIGCONT);
  this->wait(1s);
  this->sendToAll();
  EXPECT_EQ(this->Upstreams->Crashes.size(), 3u);
  EXPECT_FALSE(this->Api.read("crashing-contents", "recent.era-1").empty());

  for (Program *Each : this->Daemons)
    Each->signal(SIGKILL);
  for (Program *Each : this->Daemons)
    Each->wait(5s);
  for (std::size_t I = 0; I < DaemonCount; ++I)
    this->start(I);
  this->waitUntilReady();
  this->sendToAll();
  EXPECT_EQ(this->Upstreams->Crashes.size(), 3u);
  EXPECT_EQ(this->Crashing.count("503"), 2 * DaemonCount);
}

} // namespace
} // namespace galenaroute
