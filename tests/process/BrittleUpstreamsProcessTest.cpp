// Tests upstreams that fall over under refusals behind daemon processes.

#include "BrittleUpstreams.h"
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

class BrittleUpstreamsProcessTest : public testing::Test {
protected:
  BrittleUpstreamsProcessTest() {
    this->Api.put("config", "main", plainConfig());
    this->Callers.HasOwnBodies = true;
  }

  /// Starts the daemons before the upstreams, and callers that offer more than
  /// fits.
  void start() {
    for (std::size_t I = 0; I < UpstreamCount; ++I) {
      this->Upstreams.push_back(std::make_unique<BrittleUpstream>(
          this->Harness.loop(), this->Settings));
      this->Api.put("servers", "u" + std::to_string(I),
                    {{"service", "d"},
                     {"address", this->Upstreams[I]->address().toString()},
                     {"zone", "z"},
                     {"version", "1"},
                     {"slots", this->Settings.Slots},
                     {"state", "ready"},
                     {"sequence", 1},
                     {"born", 1}});
    }
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
    this->wait(2s);
    for (const auto &Each : this->Upstreams)
      Each->setBrittle(true);
    this->wait(this->Settings.Contact);
    this->ServedBefore = this->served();
    this->BoundedSince = EventLoop::now();
  }
  void startDaemon(std::size_t Index) {
    const std::string Path = this->Places.writeSettings(
        this->Harness.folder(), Index, "z", this->Api.address());
    this->Daemons[Index] =
        &this->Harness.start("galenaroute-platform", {"--settings", Path});
  }
  int served() const {
    int Sum = 0;
    for (const auto &Each : this->Upstreams)
      Sum += Each->served();
    return Sum;
  }
  /// Expects no more falls than the platform's rule LIMIT allows, and that at
  /// least \p MinShare of the slots' time since the bound applies was used.
  void expectStanding(double MinShare) {
    int Falls = 0;
    for (std::size_t I = 0; I < this->Upstreams.size(); ++I) {
      const BrittleUpstream &Each = *this->Upstreams[I];
      Falls += Each.falls();
      std::printf("upstream %zu: %d falls, %d refused, at most %zu in 1 s\n", I,
                  Each.falls(), Each.refused(), Each.maxRefusedInASecond());
    }
    const double Used =
        (this->served() - this->ServedBefore) *
        toSeconds(this->Settings.RunTime) /
        (toSeconds(EventLoop::now() - this->BoundedSince) *
         static_cast<double>(this->Settings.Slots * UpstreamCount));
    std::printf("used: %.2f of the slots; %zu of %d calls served\n", Used,
                this->Callers.count("200"), this->Callers.sent());
    EXPECT_LE(Falls, 2 + static_cast<double>(UpstreamCount) / 10);
    EXPECT_GE(Used, MinShare);
  }
  void wait(Duration Time) {
    this->Harness.loop().runUntil([] { return false; }, Time);
  }

  static constexpr std::size_t DaemonCount = 6;
  static constexpr std::size_t UpstreamCount = 4;
  static constexpr Duration CallGap = 5ms;
  const PlatformDaemons Places{.Count = DaemonCount, .Network = 4};
  BrittleUpstreamSettings Settings;
  std::size_t BusyDaemons = DaemonCount; ///< That get calls.
  ProcessHarness Harness{GALENAROUTE_BUILD_DIR};
  FakePlatformServer Api{this->Harness.loop()};
  Program *Daemons[DaemonCount] = {};
  std::vector<std::unique_ptr<BrittleUpstream>> Upstreams;
  SteadyCallers Callers{
      this->Harness.loop(), DaemonCount, [this](std::size_t Daemon) {
        return this->Places.callerAddress(Daemon % this->BusyDaemons);
      }};
  int ServedBefore = 0;
  TimePoint BoundedSince;
};

// Guards against gateways that each send a call to the same free slot.
TEST_F(BrittleUpstreamsProcessTest, OverloadDoesNotMakeThemFall) {
  this->start();
  this->wait(12s);
  this->expectStanding(0.6);
  for (const SteadyCallers::Ended &Each : this->Callers.answers())
    if (Each.Answer.starts_with("HTTP/1.1 503")) {
      EXPECT_NE(Each.Answer.find("Retry-After: "), std::string::npos);
      EXPECT_LT(Each.Took, 900ms);
    }
}

// Guards against room that is lost while some gateways have no calls.
TEST_F(BrittleUpstreamsProcessTest, TwoBusyDaemonsUseTheRoomOfIdleOnes) {
  this->Settings.MaxRefusalsPerSecond = 12;
  this->BusyDaemons = 2;
  this->start();
  this->wait(8s);
  this->expectStanding(0.6);
}

// Guards against bounds that widen when a gateway restarts or stands still.
TEST_F(BrittleUpstreamsProcessTest, TheyStandWhileDaemonsFreezeAndRestart) {
  this->start();
  for (std::size_t Round = 0; Round < 2; ++Round) {
    this->Daemons[Round]->signal(SIGKILL);
    this->Daemons[Round]->wait(5s);
    this->Daemons[Round + 2]->signal(SIGSTOP);
    this->wait(1s);
    this->startDaemon(Round);
    this->wait(2s);
    this->Daemons[Round + 2]->signal(SIGCONT);
    this->Daemons[Round + 4]->signal(SIGTERM);
    this->wait(1s);
    this->Daemons[Round + 4]->wait(5s);
    this->startDaemon(Round + 4);
    this->wait(2s);
  }
  this->expectStanding(0.3);
}

} // namespace
} // namespace galenaroute
