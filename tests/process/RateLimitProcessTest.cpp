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
  void expectLimitsKept() const {
    for (std::size_t I = 0; I < this->Upstreams.size(); ++I) {
      const auto Found = findExcess(this->Upstreams[I]->Seen, {});
      EXPECT_FALSE(Found) << "upstream " << I << ": " << Found->toString();
    }
  }
  /// Expects that at least \p MinShare of each stated limit was used.
  void expectLimitsUsed(TimePoint From, TimePoint To, double MinShare) const {
    for (std::size_t I = 0; I < this->Upstreams.size(); ++I) {
      const double Used = usedShare(this->Upstreams[I]->Seen, From, To);
      RecordProperty("used" + std::to_string(I), std::to_string(Used));
      EXPECT_GE(Used, MinShare) << "upstream " << I;
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
  this->expectLimitsKept();
  // The others have room for all calls.
  this->Callers.stop();
  this->wait(500ms);
  EXPECT_GE(this->Callers.count("200"),
            static_cast<std::size_t>(this->Callers.sent()) * 99 / 100);
}

// Guards against limits that go unused under overload, and against calls that
// wait for a permit until their deadline.
TEST_F(RateLimitProcessTest, AnOverloadedServiceUsesItsLimits) {
  this->start(3, 10ms);
  const double Limits[] = {20, 8, 2.5};
  for (std::size_t I = 0; I < 3; ++I)
    this->Upstreams[I]->setLimit(Limits[I]);
  this->wait(2s);
  const TimePoint From = EventLoop::now();
  this->wait(8s);
  this->expectLimitsKept();
  this->expectLimitsUsed(From, EventLoop::now(), 0.75);
  std::size_t Refused = 0;
  for (const SteadyCallers::Ended &Each : this->Callers.answers()) {
    if (!Each.Answer.starts_with("HTTP/1.1 503"))
      continue;
    ++Refused;
    EXPECT_NE(Each.Answer.find("Retry-After: "), std::string::npos);
    EXPECT_LT(Each.Took, 900ms);
  }
  EXPECT_GT(Refused, 200U);
}

// Guards against permits of two issuers at once, and of one that is gone.
TEST_F(RateLimitProcessTest, ALimitHoldsWhileDaemonsFreezeAndRestart) {
  this->start(3, 10ms);
  this->Upstreams[0]->setLimit(3);
  this->Upstreams[1]->setLimit(25);
  this->Upstreams[2]->setLimit(10);
  this->wait(3s);
  const auto Disturb = [this](std::size_t Daemon, Duration For) {
    const TimePoint Now = EventLoop::now();
    for (const auto &Each : this->Upstreams)
      Each->Seen.excuse(Daemon, Now, Now + For + 3s);
  };
  const TimePoint From = EventLoop::now();
  for (std::size_t Round = 0; Round < 2; ++Round) {
    const std::size_t Killed = Round;
    const std::size_t Frozen = Round + 2;
    const std::size_t Stopped = Round + 4;
    Disturb(Killed, 1s);
    this->Daemons[Killed]->signal(SIGKILL);
    this->Daemons[Killed]->wait(5s);
    Disturb(Frozen, 3s);
    this->Daemons[Frozen]->signal(SIGSTOP);
    this->wait(1s);
    this->startDaemon(Killed);
    this->wait(2s);
    this->Daemons[Frozen]->signal(SIGCONT);
    Disturb(Stopped, 4s);
    this->Daemons[Stopped]->signal(SIGTERM);
    this->wait(1s);
    this->Daemons[Stopped]->wait(5s);
    this->startDaemon(Stopped);
    this->wait(2s);
  }
  this->expectLimitsKept();
  this->expectLimitsUsed(From, EventLoop::now(), 0.4);
}

} // namespace
} // namespace galenaroute
