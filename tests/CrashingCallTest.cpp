// Sends a call that crashes every upstream that runs it to several gateways.

#include "CrashingUpstreams.h"
#include "GatewayFleet.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;

class CrashingCallTest : public testing::Test {
protected:
  void wait(Duration Time) {
    this->Fleet.Loop.runUntil([] { return false; }, Time);
  }
  /// Sends the crashing call to each gateway in turn, each time together with a
  /// harmless one.
  void sendInTurn(const std::string &Path, int Count, Duration Gap) {
    for (int I = 0; I < Count; ++I) {
      const std::size_t At = static_cast<std::size_t>(I) % this->Fleet.size();
      this->Crashing.send(this->Fleet.callerAddress(At), Path, "crash");
      this->Harmless.send(this->Fleet.callerAddress(At), "/safe/b",
                          "sound" + std::to_string(I));
      this->wait(Gap);
    }
  }
  /// Sends calls that are never alike, the crashing ones with the part `bad`.
  /// All have the same first part.
  void sendUnlike(const std::string &Path, int Count, Duration Gap) {
    for (int I = 0; I < Count; ++I) {
      const std::size_t At = static_cast<std::size_t>(I) % this->Fleet.size();
      const std::string Own = std::to_string(++this->Unlike);
      this->Crashing.send(this->Fleet.callerAddress(At), Path, "crash" + Own,
                          "Prompt-Prefix: aa:10,bad:10," + Own + ":5\r\n");
      this->Harmless.send(this->Fleet.callerAddress(At), "/safe/b",
                          "sound" + Own,
                          "Prompt-Prefix: aa:10,bb:10," + Own + ":5\r\n");
      this->wait(Gap);
    }
  }
  CrashingUpstreams::Register registry() {
    return [this](const std::string &Id, const SocketAddress *At) {
      if (At)
        this->Fleet.registerUpstream(Id, *At);
      else
        this->Fleet.unregisterUpstream(Id);
    };
  }
  /// Returns the number of crashes later than \p Delay after the third.
  std::size_t crashesAfterThird(const CrashingUpstreams &Upstreams,
                                Duration Delay) {
    const auto &At = Upstreams.Crashes;
    return At.size() < 3 ? 0
                         : static_cast<std::size_t>(std::count_if(
                               At.begin(), At.end(), [&](TimePoint Each) {
                                 return Each > At[2] + Delay;
                               }));
  }

  static constexpr std::size_t GatewayCount = 5;
  GatewayFleet Fleet{GatewayCount};
  Callers Crashing;
  Callers Harmless;
  int Unlike = 0;
};

/// Time from the third crash until all gateways refuse the call.
constexpr auto LearningTime = 500ms;

// Guards against each process counting crashes on its own, so that a fleet
// loses three upstreams per process.
TEST_F(CrashingCallTest, ACallThatEndedThreeUpstreamsIsRefusedByAllGateways) {
  CrashingUpstreams Upstreams(this->Fleet.Loop, this->registry(), 12,
                              CrashKind::Reset);
  ASSERT_TRUE(
      this->Fleet.Loop.runUntil([&] { return this->Fleet.isReady(); }, 3s));
  this->wait(600ms);
  this->sendInTurn("/once/a", 25, 100ms);
  EXPECT_GE(Upstreams.Crashes.size(), 3u);
  EXPECT_EQ(this->crashesAfterThird(Upstreams, LearningTime), 0u)
      << Upstreams.Crashes.size() << " crashes";
  EXPECT_GT(this->Crashing.count("503"), 10u);
  EXPECT_GT(this->Harmless.count("200"), 20u);
}

// Guards against missing a crash that breaks no connection: the send only
// appears slow until the registry reports that its upstream ended.
TEST_F(CrashingCallTest, ACallThatEndedThreeUpstreamsSilentlyIsRefused) {
  CrashingUpstreams Upstreams(this->Fleet.Loop, this->registry(), 12,
                              CrashKind::Silent);
  ASSERT_TRUE(
      this->Fleet.Loop.runUntil([&] { return this->Fleet.isReady(); }, 3s));
  this->wait(600ms);
  this->sendInTurn("/once/a", 24, 250ms);
  EXPECT_GE(Upstreams.Crashes.size(), 3u);
  EXPECT_EQ(this->crashesAfterThird(Upstreams, 3s), 0u)
      << Upstreams.Crashes.size() << " crashes";
  EXPECT_GT(this->Crashing.count("503"), 5u);
  EXPECT_GT(this->Harmless.count("200"), 15u);
}

// Guards against losing crash records when all gateways restart.
TEST_F(CrashingCallTest, ARefusedCallStaysRefusedWhenAllGatewaysRestart) {
  CrashingUpstreams Upstreams(this->Fleet.Loop, this->registry(), 12,
                              CrashKind::Reset);
  ASSERT_TRUE(
      this->Fleet.Loop.runUntil([&] { return this->Fleet.isReady(); }, 3s));
  this->wait(600ms);
  this->sendInTurn("/once/a", 5, 100ms);
  ASSERT_GE(Upstreams.Crashes.size(), 3u);
  this->wait(500ms);
  const std::size_t Before = Upstreams.Crashes.size();
  for (std::size_t I = 0; I < this->Fleet.size(); ++I)
    this->Fleet.stop(I);
  for (std::size_t I = 0; I < this->Fleet.size(); ++I)
    this->Fleet.start(I);
  ASSERT_TRUE(
      this->Fleet.Loop.runUntil([&] { return this->Fleet.isReady(); }, 3s));
  this->wait(300ms);
  this->sendInTurn("/once/a", 10, 50ms);
  EXPECT_EQ(Upstreams.Crashes.size(), Before);
}

// Guards against evidence that is kept only for calls that repeat: calls that
// share a crashing part end an upstream each if no two of them are alike.
TEST_F(CrashingCallTest, CallsThatShareACrashingPartAreRefusedByAllGateways) {
  CrashingUpstreams Upstreams(this->Fleet.Loop, this->registry(), 12,
                              CrashKind::ResetAfterHead);
  ASSERT_TRUE(
      this->Fleet.Loop.runUntil([&] { return this->Fleet.isReady(); }, 3s));
  this->wait(600ms);
  this->sendUnlike("/once/a", 25, 100ms);
  EXPECT_GE(Upstreams.Crashes.size(), 3u);
  EXPECT_EQ(this->crashesAfterThird(Upstreams, LearningTime), 0u)
      << Upstreams.Crashes.size() << " crashes";
  EXPECT_GT(this->Crashing.count("503"), 10u);
  EXPECT_GT(this->Harmless.count("200"), 20u);
}

// Guards against losing the crashes of a part when all gateways restart.
TEST_F(CrashingCallTest, ARefusedPartStaysRefusedWhenAllGatewaysRestart) {
  CrashingUpstreams Upstreams(this->Fleet.Loop, this->registry(), 12,
                              CrashKind::ResetAfterHead);
  ASSERT_TRUE(
      this->Fleet.Loop.runUntil([&] { return this->Fleet.isReady(); }, 3s));
  this->wait(600ms);
  this->sendUnlike("/once/a", 5, 100ms);
  ASSERT_GE(Upstreams.Crashes.size(), 3u);
  this->wait(500ms);
  const std::size_t Before = Upstreams.Crashes.size();
  for (std::size_t I = 0; I < this->Fleet.size(); ++I)
    this->Fleet.stop(I);
  for (std::size_t I = 0; I < this->Fleet.size(); ++I)
    this->Fleet.start(I);
  ASSERT_TRUE(
      this->Fleet.Loop.runUntil([&] { return this->Fleet.isReady(); }, 3s));
  this->wait(300ms);
  this->sendUnlike("/once/a", 10, 50ms);
  EXPECT_EQ(Upstreams.Crashes.size(), Before);
}

} // namespace
} // namespace galenaroute
