// Plays a call that ends the upstreams that run it, at several gateways.

#include "GatewayFleet.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using testing_support::GatewayFleet;

/// How an upstream ends under the crashing call.
enum class CrashKind {
  Reset, ///< Its connections break.
  Silent ///< Nothing comes any more; its entry lapses.
};

/// Upstreams of which a call whose body begins with "crash" ends whichever runs
/// it. They are back after a while, as new incarnations.
class CrashingUpstreams {
public:
  CrashingUpstreams(GatewayFleet &Fleet, std::size_t Count, CrashKind Kind)
      : Fleet(Fleet), Kind(Kind) {
    this->All.resize(Count);
    for (std::size_t I = 0; I < Count; ++I)
      this->start(I);
  }
  ~CrashingUpstreams() {
    for (sigc::connection &Each : this->Timers)
      Each.disconnect();
  }

  std::vector<TimePoint> Crashes; ///< When a call ended an upstream.

private:
  struct Upstream {
    std::shared_ptr<CallListener> Listener;
    std::string Id;
    bool HasEnded = false;
  };

  void start(std::size_t Index) {
    Upstream &Each = this->All[Index];
    const SocketAddress Address = freeAddress();
    Each.Id =
        "u" + std::to_string(Index) + "-" + std::to_string(++this->Starts);
    Each.HasEnded = false;
    Each.Listener = std::make_shared<CallListener>(
        this->Fleet.Loop, Address, CallerLimits{},
        [this, Index, Id = Each.Id](const std::shared_ptr<IncomingCall> &Call) {
          this->run(Index, Id, Call);
        });
    this->Fleet.registerUpstream(Each.Id, Address);
  }

  void run(std::size_t Index, const std::string &Id,
           const std::shared_ptr<IncomingCall> &Call) {
    Upstream &Each = this->All[Index];
    if (Each.Id != Id || Each.HasEnded) {
      this->Unanswered.push_back(Call);
      return;
    }
    if (!Call->Body.starts_with("crash")) {
      const auto CallId = Call->Head.Headers.find("Request-Id");
      Call->send(200,
                 {{"Request-Id", std::string(CallId.value_or(""))},
                  {"Server-Stamp", "x"}},
                 "answer");
      return;
    }
    this->Crashes.push_back(EventLoop::now());
    this->Unanswered.push_back(Call);
    Each.HasEnded = true;
    // Ended outside the handler, which the listener is still in.
    this->after(0ms, [this, Index] { this->end(Index); });
  }

  void end(std::size_t Index) {
    Upstream &Each = this->All[Index];
    if (this->Kind == CrashKind::Reset) {
      Each.Listener->stopAccepting();
      Each.Listener->abortAll();
    }
    // A silent one keeps its connections open.
    this->Ended.push_back(std::move(Each.Listener));
    this->after(500ms,
                [this, Id = Each.Id] { this->Fleet.unregisterUpstream(Id); });
    this->after(600ms, [this, Index] { this->start(Index); });
  }

  void after(Duration Delay, std::function<void()> Action) {
    this->Timers.push_back(
        this->Fleet.Loop.timers().after(Delay, std::move(Action)));
  }

  GatewayFleet &Fleet;
  CrashKind Kind;
  std::vector<Upstream> All;
  std::vector<std::shared_ptr<CallListener>> Ended;
  std::vector<std::shared_ptr<IncomingCall>> Unanswered;
  int Starts = 0;
  std::vector<sigc::connection> Timers;
};

/// Callers of a fleet that send one request each, on a new connection.
class Callers {
public:
  explicit Callers(GatewayFleet &Fleet) : Fleet(Fleet) {}

  void send(std::size_t Gateway, const std::string &Path,
            const std::string &Body) {
    const std::string Id = "r" + std::to_string(++this->Sent);
    auto Socket = std::make_unique<RawSocket>(
        RawSocket::connectTo(this->Fleet.callersOf(Gateway)));
    Socket->write("POST " + Path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + Id +
                  "\r\nContent-Length: " + std::to_string(Body.size()) +
                  "\r\n\r\n" + Body);
    this->Open.push_back(std::move(Socket));
  }
  /// Counts answers that begin with \p Status.
  std::size_t count(const std::string &Status) {
    std::size_t Result = 0;
    for (const auto &Each : this->Open)
      Result += Each->read().starts_with("HTTP/1.1 " + Status);
    return Result;
  }

private:
  GatewayFleet &Fleet;
  std::vector<std::unique_ptr<RawSocket>> Open;
  int Sent = 0;
};

class CrashingCallTest : public testing::Test {
protected:
  void wait(Duration Time) {
    this->Fleet.Loop.runUntil([] { return false; }, Time);
  }
  /// Sends the crashing call to each gateway in turn, with a sound one beside.
  void sendInTurn(const std::string &Path, int Count, Duration Gap) {
    for (int I = 0; I < Count; ++I) {
      const std::size_t At = static_cast<std::size_t>(I) % this->Fleet.size();
      this->Crashing.send(At, Path, "crash");
      this->Sound.send(At, "/safe/b", "sound" + std::to_string(I));
      this->wait(Gap);
    }
  }
  /// Crashes from \p Delay after the third on.
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
  Callers Crashing{Fleet};
  Callers Sound{Fleet};
};

/// From the third crash until all gateways refuse the call.
constexpr auto LearningTime = 500ms;

// Guards against each process counting crashes for itself, so that a fleet
// loses three upstreams for each of its processes.
TEST_F(CrashingCallTest, ACallThatEndedThreeUpstreamsIsRefusedByAllGateways) {
  CrashingUpstreams Upstreams(this->Fleet, 12, CrashKind::Reset);
  ASSERT_TRUE(
      this->Fleet.Loop.runUntil([&] { return this->Fleet.isReady(); }, 3s));
  this->wait(600ms);
  this->sendInTurn("/once/a", 25, 100ms);
  EXPECT_GE(Upstreams.Crashes.size(), 3u);
  EXPECT_EQ(this->crashesAfterThird(Upstreams, LearningTime), 0u)
      << Upstreams.Crashes.size() << " crashes";
  EXPECT_GT(this->Crashing.count("503"), 10u);
  EXPECT_GT(this->Sound.count("200"), 20u);
}

// Guards against a crash that is not counted since no connection broke: the
// send only looks slow until the registry tells that its upstream ended.
TEST_F(CrashingCallTest, ACallThatEndedThreeUpstreamsSilentlyIsRefused) {
  CrashingUpstreams Upstreams(this->Fleet, 12, CrashKind::Silent);
  ASSERT_TRUE(
      this->Fleet.Loop.runUntil([&] { return this->Fleet.isReady(); }, 3s));
  this->wait(600ms);
  this->sendInTurn("/once/a", 24, 250ms);
  EXPECT_GE(Upstreams.Crashes.size(), 3u);
  EXPECT_EQ(this->crashesAfterThird(Upstreams, 3s), 0u)
      << Upstreams.Crashes.size() << " crashes";
  EXPECT_GT(this->Crashing.count("503"), 5u);
  EXPECT_GT(this->Sound.count("200"), 15u);
}

// Guards against processes that forget what crashes upstreams when all of them
// start again.
TEST_F(CrashingCallTest, ARefusedCallStaysRefusedWhenAllGatewaysRestart) {
  CrashingUpstreams Upstreams(this->Fleet, 12, CrashKind::Reset);
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

} // namespace
} // namespace galenaroute
