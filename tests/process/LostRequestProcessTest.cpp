// Tests that a daemon process answers or refuses every whole request that
// reaches it, while it stands still and while its surroundings change.

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

class LostRequestProcessTest : public testing::Test {
protected:
  /// Starts the daemon with \p Limits in its configuration and, unless 0, at
  /// most \p Descriptors file descriptors.
  void start(const nlohmann::json &Limits, int Descriptors = 0) {
    this->configure(1, Limits);
    this->Api.put("servers", "u0",
                  {{"service", "d"},
                   {"address", this->Upstream.address().toString()},
                   {"zone", "z"},
                   {"version", "1"},
                   {"slots", 50},
                   {"state", "ready"},
                   {"sequence", 1},
                   {"born", 1}});
    this->Settings = this->Places.writeSettings(this->Harness.folder(), 0, "z",
                                                this->Api.address());
    if (Descriptors == 0) {
      this->Daemon = &this->Harness.start("galenaroute-platform",
                                          {"--settings", this->Settings});
    } else {
      this->LimitedDaemon = std::make_unique<Program>(
          "/bin/sh",
          std::vector<std::string>{
              "-c", R"(ulimit -n "$0" && exec "$1" --settings "$2")",
              std::to_string(Descriptors),
              std::string(GALENAROUTE_BUILD_DIR) + "/galenaroute-platform",
              this->Settings},
          this->Harness.folder() + "/limited.log");
      this->Daemon = this->LimitedDaemon.get();
    }
    this->Harness.waitFor("the daemon", [&] {
      return this->Harness.get(this->Places.readyAddress(0), "/api/ready")
                 .Status == 200;
    });
    this->wait(200ms);
  }
  void configure(int Version, const nlohmann::json &Limits) {
    nlohmann::json Config = plainConfig();
    Config["version"] = Version;
    Config["limits"] = Limits;
    this->Api.put("config", "main", Config);
  }

  void connect(std::size_t Count = 40) {
    for (std::size_t I = 0; I < Count; ++I)
      this->Callers.push_back(std::make_unique<RawSocket>(
          RawSocket::connectTo(this->Places.callerAddress(0))));
  }
  /// Sends a whole request on each connection.
  void send() {
    for (const auto &Each : this->Callers)
      Each->writeSome("POST /safe/a HTTP/1.1\r\nHost: h\r\nRequest-Id: 0-" +
                      std::to_string(++this->Sent) +
                      "\r\nContent-Length: 4\r\n\r\nbody");
  }
  /// Sends a whole request on each connection while the daemon stands still.
  /// \p Change is called before.
  void sendToStopped(const std::function<void()> &Change = [] {}) {
    this->Daemon->signal(SIGSTOP);
    Change();
    this->send();
    this->wait(800ms);
    this->Daemon->signal(SIGCONT);
  }
  /// Waits until each connection has \p Count whole answers. Returns how many
  /// have.
  std::size_t answered(std::size_t Count = 1) {
    std::size_t Found = 0;
    this->Harness.loop().runUntil(
        [&] {
          Found = 0;
          for (const auto &Each : this->Callers)
            Found += answersIn(Each->read()) >= Count;
          return Found == this->Callers.size();
        },
        2s);
    return Found;
  }
  static std::size_t answersIn(std::string_view Text) {
    std::size_t Count = 0;
    for (std::size_t At = Text.find("HTTP/1.1 "); At != std::string_view::npos;
         At = Text.find("HTTP/1.1 ", At + 1)) {
      const std::string_view Status = Text.substr(At + 9, 3);
      Count += Status == "200" || Status == "503";
    }
    return Count;
  }
  void wait(Duration Time) {
    this->Harness.loop().runUntil([] { return false; }, Time);
  }

  const PlatformDaemons Places{.Count = 1, .Network = 9, .GraceSeconds = 8};
  ProcessHarness Harness{GALENAROUTE_BUILD_DIR};
  FakePlatformServer Api{this->Harness.loop()};
  LimitedUpstream Upstream{this->Harness.loop(), 5ms};
  std::string Settings; ///< Path of the daemon's settings file.
  std::unique_ptr<Program> LimitedDaemon;
  Program *Daemon = nullptr;
  std::vector<std::unique_ptr<RawSocket>> Callers;
  int Sent = 0;
};

// Guards against closing as idle the connections whose requests arrived while
// the process stood still.
TEST_F(LostRequestProcessTest, ThatArriveWhileItStandsStill) {
  this->start({{"idleTimeoutMs", 1000}});
  this->connect();
  this->wait(500ms);
  this->sendToStopped();
  EXPECT_EQ(this->answered(), this->Callers.size());
}

// Guards against applying lowered limits to connections and requests that are
// within the limits in force before.
TEST_F(LostRequestProcessTest, BesideLoweredLimits) {
  const nlohmann::json Before = {{"idleTimeoutMs", 1500},
                                 {"headerTimeoutMs", 2000},
                                 {"maxHeaderBytes", 16384},
                                 {"maxBodyBytes", 100000}};
  const nlohmann::json After = {{"idleTimeoutMs", 300},
                                {"headerTimeoutMs", 300},
                                {"maxHeaderBytes", 4096},
                                {"maxBodyBytes", 1000}};
  this->start(Before);
  this->connect();
  this->wait(500ms);
  this->sendToStopped([&] { this->configure(2, After); });
  EXPECT_EQ(this->answered(), this->Callers.size());

  // The same with a process that runs on.
  this->configure(3, Before);
  this->wait(300ms);
  this->Callers.clear();
  this->connect();
  this->wait(600ms);
  this->configure(4, After);
  this->wait(600ms);
  this->send();
  EXPECT_EQ(this->answered(), this->Callers.size());
}

// Guards against requests that are lost while the store does not answer and
// after it went back to a copy.
TEST_F(LostRequestProcessTest, WhileTheStoreIsAwayAndRestored) {
  const nlohmann::json Limits = {{"idleTimeoutMs", 2000}};
  this->start(Limits);
  this->Api.keepCopy();
  this->configure(2, Limits);
  this->wait(300ms);
  this->connect();
  this->wait(500ms);
  this->sendToStopped([&] { this->Api.setSilent(true); });
  EXPECT_EQ(this->answered(1), this->Callers.size()) << "the store is away";
  this->wait(1500ms);
  this->sendToStopped([&] {
    this->Api.restore();
    this->Api.setSilent(false);
  });
  EXPECT_EQ(this->answered(2), this->Callers.size()) << "it was restored";
  this->wait(1500ms);
  this->send();
  EXPECT_EQ(this->answered(3), this->Callers.size()) << "later";
}

// Guards against requests that are lost beside a reload of the settings.
TEST_F(LostRequestProcessTest, BesideAReloadOfTheSettings) {
  this->start({{"idleTimeoutMs", 1000}});
  this->connect();
  this->wait(500ms);
  this->sendToStopped([&] {
    std::ofstream(this->Settings, std::ios::app) << "\n# changed\n";
    this->Daemon->signal(SIGHUP);
  });
  EXPECT_EQ(this->answered(), this->Callers.size());
  this->send();
  this->Daemon->signal(SIGHUP);
  EXPECT_EQ(this->answered(2), this->Callers.size());
}

// Guards against requests that are lost when a process is told to end while it
// stands still.
TEST_F(LostRequestProcessTest, AtAStop) {
  this->start({{"idleTimeoutMs", 1000}});
  this->connect();
  this->wait(500ms);
  this->sendToStopped([&] { this->Daemon->signal(SIGTERM); });
  EXPECT_EQ(this->answered(), this->Callers.size());
  EXPECT_EQ(this->Daemon->wait(10s), 0);
}

// Guards against callers that use up the descriptors which upstreams need.
TEST_F(LostRequestProcessTest, BesideIdleCallersOfAProcessWithFewDescriptors) {
  this->start({{"idleTimeoutMs", 5000}}, 300);
  this->connect();
  std::vector<std::unique_ptr<RawSocket>> Idle(400);
  for (std::unique_ptr<RawSocket> &Each : Idle)
    Each = std::make_unique<RawSocket>(
        RawSocket::connectTo(this->Places.callerAddress(0)));
  this->wait(300ms);
  this->send();
  EXPECT_EQ(this->answered(), this->Callers.size());
  for (const auto &Each : this->Callers)
    EXPECT_TRUE(Each->text().starts_with("HTTP/1.1 200 ")) << Each->text();
  EXPECT_EQ(this->Daemon->output().find("accept.failed"), std::string::npos);
}

// Guards against a process that ends as soon as it goes on after a standstill
// near the end of its stop: connections that it has only then accepted, and
// their requests, would be reset.
TEST_F(LostRequestProcessTest, AtTheEndOfAStopInWhichItStoodStill) {
  this->start({{"idleTimeoutMs", 5000}});
  this->Daemon->signal(SIGTERM);
  this->wait(2500ms);
  this->Daemon->signal(SIGSTOP);
  this->wait(100ms);
  this->connect();
  this->wait(900ms);
  this->Daemon->signal(SIGCONT);
  this->wait(100ms);
  this->send();
  EXPECT_EQ(this->answered(), this->Callers.size());
  EXPECT_EQ(this->Daemon->wait(10s), 0);
}

} // namespace
} // namespace galenaroute
