// Sends that are abandoned although their upstreams are sound.

#include "ForwardRunFixture.h"

#include <thread>

namespace galenaroute {
namespace {

class WeightsDeadlineTest : public ForwardRunFixture {
protected:
  WeightsDeadlineTest() {
    this->Config.Services["s"].Engine = EngineSpec{.Slots = 4, .Model = "m"};
    this->Services.Config = std::make_shared<const ForwardConfig>(this->Config);
    this->Services.WeightsLimit = 400ms;
    for (int I = 0; I < 2; ++I)
      this->Table.noteWeights("u" + std::to_string(I), 1);
  }

  void announceNewWeights() {
    noteAnnounced(this->Services.Weights["m"], 2, {BootClock::now()});
    this->Services.WeightsChanged.emit();
  }
};

// Guards against a call that is withdrawn for older weights although it has
// begun on them: its first event waits in the socket.
TEST_F(WeightsDeadlineTest, ACallThatBeganDuringAStandstillIsNotWithdrawn) {
  this->sendCall("/oncestream/a");
  const auto Peer = this->waitForArrival();
  this->announceNewWeights();
  Peer->write(this->StreamHead + chunk("id: 1\ndata: a\n\n"));
  std::this_thread::sleep_for(600ms);
  EXPECT_TRUE(this->callerReceives("data: a")) << this->Caller->read();
  EXPECT_FALSE(Peer->hasEnded());
}

// Guards against a withdrawal that is put off without end while bytes arrive
// that are no event.
TEST_F(WeightsDeadlineTest, ACallThatHasNotBegunIsWithdrawn) {
  this->sendCall("/oncestream/a");
  const auto Peer = this->waitForArrival();
  this->announceNewWeights();
  Peer->write(this->StreamHead);
  std::this_thread::sleep_for(600ms);
  EXPECT_TRUE(this->waitUntil([&] { return Peer->hasEnded(); }));
}

} // namespace
} // namespace galenaroute
