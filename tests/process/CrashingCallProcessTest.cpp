// Plays a call that ends upstreams before real daemons that are killed, frozen
// and restarted.

#include "CrashingUpstreams.h"
#include "PlainConfig.h"
#include "PlatformStandIn.h"
#include "ProcessHarness.h"

#include <csignal>
#include <fstream>
#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;
using nlohmann::json;

class CrashingCallProcessTest : public testing::Test {
protected:
  CrashingCallProcessTest() { this->Api.put("config", "main", plainConfig()); }

  /// Each daemon has a loopback address of its own, since its ports are the
  /// same on all VMs.
  static std::string hostOf(std::size_t Index) {
    return "127.0.0." + std::to_string(Index + 2);
  }
  static SocketAddress callersOf(std::size_t Index) {
    return {hostOf(Index), CallerPort};
  }

  void start(std::size_t Index) {
    const std::string Path =
        this->Harness.folder() + "/daemon" + std::to_string(Index) + ".toml";
    const std::string Host = hostOf(Index);
    std::string Seeds;
    for (std::size_t I = 0; I < DaemonCount; ++I)
      Seeds += (I == 0 ? "\"" : ",\"") + hostOf(I) + ":1\"";
    std::ofstream(Path)
        << "node = \"n" << Index << "\"\nzone = \"z\"\nipAddr = \"" << Host
        << "\"\ninternalPorts = [" << GossipPort << ", " << GossipPort + 9
        << "]\nseedAddrs = [" << Seeds << "]\n[listen]\nfront = \"" << Host
        << ":" << CallerPort << "\"\nready = \"" << Host << ":"
        << CallerPort + 1 << "\"\ndirectory = \"" << Host << ":"
        << CallerPort + 2
        << "\"\n[limits]\ncpuShare = 1.0\ncpuCores = 1\nmaxFds = 4096\n"
           "[bounds]\nretryBudgetRatio = 0.2\nbudgetSlack = 54\ngraceS = 2\n"
           "leaseMs = 3000\nversionMs = 15000\nttl_max_s = 5\n"
           "[platform]\naddress = \""
        << this->Api.address().toString() << "\"\n";
    this->Daemons[Index] =
        &this->Harness.start("galenaroute-platform", {"--settings", Path});
  }
  void waitUntilReady() {
    for (std::size_t I = 0; I < DaemonCount; ++I)
      this->Harness.waitFor("daemon " + std::to_string(I), [&] {
        const SocketAddress Ready{hostOf(I), CallerPort + 1};
        return this->Harness.get(Ready, "/api/ready").Status == 200;
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
      this->Crashing.send(callersOf(I), "/once/a", "crash");
      this->wait(100ms);
    }
  }
  void wait(Duration Time) {
    this->Harness.loop().runUntil([] { return false; }, Time);
  }

  static constexpr std::size_t DaemonCount = 4;
  static constexpr std::uint16_t CallerPort = 18005;
  static constexpr std::uint16_t GossipPort = 17700;
  ProcessHarness Harness{GALENAROUTE_BUILD_DIR};
  PlatformStandIn Api{this->Harness.loop()};
  int Born = 0;
  std::unique_ptr<CrashingUpstreams> Upstreams;
  Callers Crashing;
  Program *Daemons[DaemonCount] = {};
};

// Guards against daemons that each let the call through, also after all of them
// were killed, and one that was frozen meanwhile.
TEST_F(CrashingCallProcessTest, ItStaysRefusedThroughKillsAndFreezes) {
  for (std::size_t I = 0; I < DaemonCount; ++I)
    this->start(I);
  this->startUpstreams();
  this->waitUntilReady();
  // Until all know one another.
  this->wait(1500ms);
  this->Daemons[DaemonCount - 1]->signal(SIGSTOP);
  for (std::size_t I = 0; I < 3; ++I) {
    this->Crashing.send(callersOf(I), "/once/a", "crash");
    this->wait(200ms);
  }
  EXPECT_EQ(this->Upstreams->Crashes.size(), 3u);
  this->Daemons[DaemonCount - 1]->signal(SIGCONT);
  this->wait(1s);
  this->sendToAll();
  EXPECT_EQ(this->Upstreams->Crashes.size(), 3u);
  EXPECT_FALSE(this->Api.read("crashing-contents", "recent").empty());

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
