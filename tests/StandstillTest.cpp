// Streams whose upstream is a process that stands still for a time and goes
// on: its kernel acknowledges, but it reads and writes nothing.

#include "ForwardRunFixture.h"

#include <thread>

namespace galenaroute {
namespace {

/// How long two upstreams may work on one stream.
constexpr Duration MaxOverlap = 400ms;
constexpr Duration ForGood = 1h;

/// One stream through a gateway of its own to two upstreams, of which the first
/// stands still.
class Standstill : public ForwardRunFixture {
public:
  static constexpr int EventCount = 8;

  Standstill(int EventsBefore, Duration For, Duration EventGap)
      : EventsBefore(EventsBefore), For(For), EventGap(EventGap) {
    for (ForwardRoute &Each : this->Config.Routes)
      Each.Timeout = 6s;
    this->Services.Config = std::make_shared<const ForwardConfig>(this->Config);
    this->Table.suspendUntil("u1", EventLoop::now() + 200ms);
    this->sendCall("/stream/a");
  }
  void TestBody() override {}

  void step() {
    this->Loop.runUntil([] { return false; }, Duration(500us));
    for (int I = 0; I < 2; ++I) {
      Upstream &Each = this->Upstreams[I];
      if (const int Socket = this->Servers[I].accept(); Socket >= 0)
        Each.Socket = std::make_unique<RawSocket>(Socket);
      if (Each.Socket && !Each.HasEnded && !(I == 0 && this->isStill()))
        this->serve(Each);
    }
    this->IsWhole = this->IsWhole || this->Caller->read().find(
                                         "\r\n0\r\n\r\n") != std::string::npos;
  }
  bool isOver() const {
    return this->IsWhole &&
           (this->Upstreams[0].HasEnded || this->For == ForGood);
  }
  bool isOtherTried() const { return this->Upstreams[1].FirstAt.has_value(); }
  /// Returns for how long an upstream that does not continue the stream worked
  /// on it after the other one had begun.
  Duration overlap() const {
    if (!this->isOtherTried())
      return Duration::zero();
    const Upstream &Other = this->Upstreams[1];
    const bool IsContinuedThere = Other.Next > EventCount;
    return (IsContinuedThere ? this->Upstreams[0] : Other).LastAt -
           *Other.FirstAt;
  }
  /// Returns when the other upstream was tried, from the begin of the silence.
  Duration triedAfter() const {
    return *this->Upstreams[1].FirstAt - *this->StillSince;
  }
  void expectWhole() {
    EXPECT_TRUE(this->IsWhole) << this->Caller->read();
    for (int I = 1; I <= EventCount; ++I)
      EXPECT_EQ(
          countOf(this->Caller->read(), "id: " + std::to_string(I) + "\n"), 1);
  }

private:
  struct Upstream {
    std::unique_ptr<RawSocket> Socket;
    bool HasEnded = false; ///< It has nothing to do for the stream any more.
    int Next = 0;
    TimePoint NextAt{};
    std::optional<TimePoint> FirstAt; ///< Of its events.
    TimePoint LastAt{};               ///< Of all that it did for the stream.
  };

  bool isStill() {
    if (!this->StillSince &&
        this->Upstreams[0].Next == this->EventsBefore + 1 &&
        this->hasCallerEvents())
      this->StillSince = EventLoop::now();
    return this->StillSince && EventLoop::now() - *this->StillSince < this->For;
  }
  bool hasCallerEvents() {
    return this->EventsBefore == 0 ||
           this->Caller->read().find(
               "id: " + std::to_string(this->EventsBefore) + "\n") !=
               std::string::npos;
  }

  /// Writes the events that are due, and sees only afterwards whether its
  /// connection is closed.
  void serve(Upstream &At) {
    const TimePoint Now = EventLoop::now();
    if (At.Next == 0) {
      const std::string &Text = At.Socket->read();
      if (!Text.ends_with("\r\n\r\nbody"))
        return;
      const std::size_t Resume = Text.rfind("Last-Event-Id: ");
      At.Next = Resume == std::string::npos ? 1 : Text[Resume + 15] - '0' + 1;
      At.NextAt = Now + this->EventGap;
      At.Socket->writeSome(this->StreamHead);
      return;
    }
    if (Now >= At.NextAt) {
      At.NextAt = Now + this->EventGap;
      At.LastAt = Now;
      At.FirstAt = At.FirstAt.value_or(Now);
      At.Socket->writeSome(
          chunk("id: " + std::to_string(At.Next) + "\ndata: x\n\n"));
      if (++At.Next > EventCount) {
        At.Socket->writeSome("0\r\n\r\n");
        At.HasEnded = true;
      }
    }
    if (At.Socket->hasEnded()) {
      At.HasEnded = true;
      At.LastAt = Now;
    }
  }

  const int EventsBefore;
  const Duration For;
  const Duration EventGap;
  Upstream Upstreams[2];
  std::optional<TimePoint> StillSince;
  bool IsWhole = false;
};

void play(std::vector<std::unique_ptr<Standstill>> &Scenes) {
  const TimePoint Until = EventLoop::now() + 6s;
  while (EventLoop::now() < Until &&
         !std::all_of(Scenes.begin(), Scenes.end(),
                      [](const auto &Each) { return Each->isOver(); }))
    for (const auto &Each : Scenes)
      Each->step();
}

class StandstillTest : public testing::TestWithParam<int> {};

// Guards against a stream that goes on at another upstream while the process
// of the first one, which stood still, works on it again.
TEST_P(StandstillTest, NoTwoUpstreamsWorkOnAStream) {
  std::mt19937 Draw(static_cast<unsigned>(GetParam()));
  std::vector<std::unique_ptr<Standstill>> Scenes;
  std::vector<Duration> Times;
  for (int I = 0; I < 12; ++I) {
    Times.push_back(std::chrono::milliseconds(200 + Draw() % 1601));
    const int EventsBefore = static_cast<int>(Draw() % 4);
    Scenes.push_back(std::make_unique<Standstill>(
        EventsBefore, Times.back(),
        std::chrono::milliseconds(20 + Draw() % 60)));
  }
  play(Scenes);
  int Overlaps = 0;
  for (std::size_t I = 0; I < Scenes.size(); ++I) {
    SCOPED_TRACE(toMilliseconds(Times[I]));
    Scenes[I]->expectWhole();
    Overlaps += Scenes[I]->overlap() > MaxOverlap;
    EXPECT_LE(toMilliseconds(Scenes[I]->overlap()), toMilliseconds(MaxOverlap));
  }
  this->RecordProperty("overlaps", Overlaps);
}

INSTANTIATE_TEST_SUITE_P(Drawn, StandstillTest, testing::Range(1, 6));

// Guards against a stream that is lost since no other upstream is tried beside
// a process that stands still for good.
TEST(StandstillForGoodTest, AnotherUpstreamIsTriedAfterALongSilence) {
  std::vector<std::unique_ptr<Standstill>> Scenes;
  for (const int EventsBefore : {0, 1, 3})
    Scenes.push_back(std::make_unique<Standstill>(EventsBefore, ForGood, 40ms));
  play(Scenes);
  for (const auto &Each : Scenes) {
    Each->expectWhole();
    ASSERT_TRUE(Each->isOtherTried());
    EXPECT_GT(Each->triedAfter(), 1500ms);
    EXPECT_LT(Each->triedAfter(), 2200ms);
  }
}

class SilentStreamTest : public ForwardRunFixture {
protected:
  SilentStreamTest() {
    for (ForwardRoute &Each : this->Config.Routes)
      Each.Timeout = 6s;
    this->Services.Config = std::make_shared<const ForwardConfig>(this->Config);
  }
  std::unique_ptr<RawSocket> beginStream(RawSocket &From) {
    From.write("POST /stream/a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
               "Authorization: Bearer key\r\nContent-Length: 4\r\n\r\nbody");
    auto Peer = this->waitForArrival();
    Peer->write(this->StreamHead + chunk("id: 1\ndata: a\n\n"));
    EXPECT_TRUE(this->waitUntil(
        [&] { return From.read().find("data: a") != std::string::npos; }));
    return Peer;
  }
  /// Returns when a call arrives at an upstream, from now.
  Duration timeToArrival(const std::function<void()> &Step = [] {}) {
    const TimePoint Begun = EventLoop::now();
    int Socket = -1;
    this->Loop.runUntil(
        [&] {
          Step();
          for (const RawListener &Each : this->Servers)
            Socket = Socket < 0 ? Each.accept() : Socket;
          return Socket >= 0;
        },
        4s);
    this->Other = std::make_unique<RawSocket>(Socket);
    return EventLoop::now() - Begun;
  }
  std::unique_ptr<RawSocket> Other;
};

// Guards against a stream that waits for an upstream that is not reached.
TEST_F(SilentStreamTest, AnotherUpstreamIsTriedSoonBesideADeadLink) {
  const auto Silent = this->beginStream(*this->Caller);
  Silent->dropArriving();
  const Duration After = this->timeToArrival();
  EXPECT_GT(After, 800ms);
  EXPECT_LT(After, 1500ms);
}

// Guards against a stream that waits for an upstream that works on others.
TEST_F(SilentStreamTest, AnotherUpstreamIsTriedSoonBesideABusyOne) {
  this->Table.suspendUntil("u1", EventLoop::now() + 300ms);
  RawSocket SecondCaller(RawSocket::connectTo(this->Address));
  const auto Busy = this->beginStream(SecondCaller);
  const auto Silent = this->beginStream(*this->Caller);
  TimePoint NextAt = EventLoop::now();
  int Next = 2;
  const Duration After = this->timeToArrival([&] {
    if (EventLoop::now() < NextAt)
      return;
    NextAt = EventLoop::now() + 50ms;
    Busy->write(chunk("id: " + std::to_string(Next++) + "\ndata: x\n\n"));
  });
  EXPECT_GT(After, 700ms);
  EXPECT_LT(After, 1200ms);
  this->Other->read();
  this->Other->writeSome(this->StreamHead + chunk("id: 2\ndata: b\n\n"));
  EXPECT_TRUE(this->waitUntil([&] { return Silent->hasEnded(); }));
}

// Guards against a queued stream that is sent to another upstream on outdated
// evidence: the upstream that worked on others stands still meanwhile.
TEST_F(SilentStreamTest, AQueuedStreamIsSentOnRecentEvidenceOnly) {
  this->Table.suspendUntil("u1", EventLoop::now() + 300ms);
  RawSocket SecondCaller(RawSocket::connectTo(this->Address));
  const auto Busy = this->beginStream(SecondCaller);
  const auto Silent = this->beginStream(*this->Caller);
  for (const char *Id : {"u0", "u1"})
    this->Table.suspendUntil(Id, EventLoop::now() + 1400ms);
  RawSocket Queued(RawSocket::connectTo(this->Address));
  Queued.write("POST /once/b HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\n"
               "Authorization: Bearer key\r\nContent-Length: 4\r\n\r\nbody");
  // The upstream works until the stream waits in the queue.
  for (int I = 2; I < 20; ++I) {
    this->Loop.runUntil([] { return false; }, 50ms);
    Busy->write(chunk("id: " + std::to_string(I) + "\ndata: x\n\n"));
  }
  const TimePoint Until = EventLoop::now() + 1400ms;
  std::vector<std::unique_ptr<RawSocket>> Arrived;
  this->Loop.runUntil(
      [&] {
        for (const RawListener &Each : this->Servers)
          if (const int Socket = Each.accept(); Socket >= 0)
            Arrived.push_back(std::make_unique<RawSocket>(Socket));
        return EventLoop::now() >= Until;
      },
      2s);
  for (const auto &Each : Arrived)
    EXPECT_EQ(Each->read().find("/stream/"), std::string::npos);
  EXPECT_EQ(Arrived.size(), 1U);
}

// Guards against a call that is withdrawn for older weights and goes on at
// another upstream while the first one may begin it after a standstill.
TEST_F(SilentStreamTest, AWithdrawnStreamWaitsUntilItsUpstreamIsHeard) {
  this->Config.Services["s"].Engine = EngineSpec{.Slots = 4, .Model = "m"};
  this->Services.Config = std::make_shared<const ForwardConfig>(this->Config);
  this->Services.WeightsLimit = 400ms;
  this->Table.noteWeights("u0", 1);
  this->Table.noteWeights("u1", 2);
  this->Table.suspendUntil("u1", EventLoop::now() + 100ms);
  this->sendCall("/stream/a");
  const auto Still = this->waitForArrival();
  const TimePoint Begun = EventLoop::now();
  noteAnnounced(this->Services.Weights["m"], 2, {BootClock::now()});
  this->Services.WeightsChanged.emit();
  this->timeToArrival();
  EXPECT_TRUE(Still->hasEnded());
  EXPECT_GT(EventLoop::now() - Begun, 1700ms);
  EXPECT_LT(EventLoop::now() - Begun, 2300ms);
}

} // namespace
} // namespace galenaroute
