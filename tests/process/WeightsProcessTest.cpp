// Tests when daemon processes stop using older weights of a model.

#include "FakePlatformServer.h"
#include "PlatformDaemons.h"
#include "ProcessHarness.h"
#include "WeightedEngines.h"
#include "connection/PlatformEra.h"
#include "process/Rendezvous.h"

#include <csignal>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;
using nlohmann::json;

class WeightsProcessTest : public testing::Test {
protected:
  WeightsProcessTest() {
    this->Api.put("config", "main", weightedConfig(Slots));
  }

  /// Starts the engines, the daemons and the callers.
  void start() {
    this->name(1);
    for (std::size_t I = 0; I < EngineCount; ++I)
      this->addEngine(I);
    for (std::size_t I = 0; I < DaemonCount; ++I)
      this->startDaemon(I);
    for (std::size_t I = 0; I < DaemonCount; ++I)
      this->Harness.waitFor("daemon " + std::to_string(I), [&] {
        return this->Harness.get(this->Places.readyAddress(I), "/api/ready")
                   .Status == 200;
      });
    // Waits until all know one another.
    this->wait(4s);
  }
  void startDaemon(std::size_t Index) {
    const std::string Path = this->Places.writeSettings(
        this->Harness.folder(), Index, "z", this->Api.address());
    this->Daemons[Index] =
        &this->Harness.start("galenaroute-platform", {"--settings", Path});
    this->IsDown[Index] = false;
  }
  void addEngine(std::size_t Index) {
    this->Engines.push_back(std::make_unique<WeightedEngine>(
        this->Harness.loop(), this->Seen,
        WeightedEngineSettings{
            .Slots = Slots,
            .RunTime = RunTime,
            .LoadTime = this->LoadTime,
            .OnOrder =
                [this](const std::string &Holder, std::uint64_t Fence) {
                  this->Orders.push_back({EventLoop::now(), Holder, Fence});
                }},
        [this, Index](const SocketAddress &At, std::uint64_t Version) {
          this->Api.put("servers", "e" + std::to_string(Index),
                        {{"service", "m"},
                         {"address", At.toString()},
                         {"zone", "z"},
                         {"version", "1"},
                         {"slots", Slots},
                         {"state", "ready"},
                         {"sequence", Version},
                         {"born", 1},
                         {"models", {{{"name", "w"}, {"version", Version}}}}});
        }));
  }

  /// Names new weights; the first \p Loads engines load them, the others refuse
  /// orders.
  void name(std::uint64_t Version, std::size_t Loads = 0) {
    this->Api.put("versions", "w", {{"model", "w"}, {"version", Version}});
    this->NamedAt = EventLoop::now();
    this->Seen.named(this->NamedAt, Version);
    for (std::size_t I = 0; I < Loads; ++I)
      this->Engines[I]->load(Version);
  }

  void freeze(std::size_t Daemon) {
    this->DownSince[Daemon] = EventLoop::now();
    this->IsDown[Daemon] = true;
    this->Daemons[Daemon]->signal(SIGSTOP);
  }
  void thaw(std::size_t Daemon) {
    this->Daemons[Daemon]->signal(SIGCONT);
    this->IsDown[Daemon] = false;
    this->Seen.excuse(Daemon, this->DownSince[Daemon], EventLoop::now());
  }
  void restart(std::size_t Daemon) {
    const TimePoint From = EventLoop::now();
    this->IsDown[Daemon] = true;
    this->Daemons[Daemon]->signal(SIGKILL);
    this->Daemons[Daemon]->wait(5s);
    this->startDaemon(Daemon);
    this->Seen.excuse(Daemon, From, EventLoop::now());
  }
  /// Restarts all daemons; none runs meanwhile.
  void restartAll() {
    const TimePoint From = EventLoop::now();
    for (std::size_t I = 0; I < DaemonCount; ++I) {
      this->IsDown[I] = true;
      this->Daemons[I]->signal(SIGKILL);
    }
    for (Program *Each : this->Daemons)
      Each->wait(5s);
    for (std::size_t I = 0; I < DaemonCount; ++I) {
      this->startDaemon(I);
      this->Seen.excuse(I, From, EventLoop::now());
    }
  }
  /// The daemon that records when a version was announced.
  std::size_t historyWriter() const {
    std::size_t Best = 0;
    for (std::size_t I = 1; I < DaemonCount; ++I)
      if (rendezvousWeight("w", "n" + std::to_string(I)) >
          rendezvousWeight("w", "n" + std::to_string(Best)))
        Best = I;
    return Best;
  }

  /// Stops the daemon that holds the lease, unless it is being stopped, and
  /// starts those again that have ended.
  void stopHolder() {
    for (std::size_t I = 0; I < DaemonCount; ++I)
      if (this->IsDown[I] && !this->Daemons[I]->isRunning())
        this->startDaemon(I);
    const json Lease = this->Api.read("lease", eraName("m", this->Api.era()));
    const std::string Holder =
        Lease.is_object() ? Lease.value("holder", "") : "";
    for (std::size_t I = 0; I < DaemonCount; ++I)
      if (!this->IsDown[I] && Holder.starts_with(Places.nameOf(I) + "#")) {
        this->Daemons[I]->signal(SIGTERM);
        this->IsDown[I] = true;
      }
  }
  std::size_t enginesWith(std::uint64_t Version) const {
    return static_cast<std::size_t>(std::count_if(
        this->Engines.begin(), this->Engines.end(),
        [&](const auto &Each) { return Each->version() == Version; }));
  }
  /// Expects that orders of two holders are a lease term apart.
  void expectNoTurns() const {
    for (std::size_t I = 1; I < this->Orders.size(); ++I)
      if (this->Orders[I].Fence != this->Orders[I - 1].Fence) {
        EXPECT_GE(this->Orders[I].At - this->Orders[I - 1].At, LeaseTerm)
            << this->Orders[I - 1].Holder << ", then "
            << this->Orders[I].Holder;
      }
  }

  void expectNothingOutdated() {
    const auto Found = findOutdated(this->Seen, Bounds);
    std::map<std::size_t, std::size_t> ByDaemon;
    for (const OutdatedCall &Each : Found)
      ++ByDaemon[Each.Call.Gateway];
    std::string Counts;
    for (const auto &[Daemon, Count] : ByDaemon)
      Counts +=
          " " + std::to_string(Count) + " by daemon " + std::to_string(Daemon);
    EXPECT_TRUE(Found.empty()) << Found.size() << " calls," << Counts
                               << "; the first: " << Found.front().toString()
                               << "; the last: " << Found.back().toString();
  }
  /// Expects that engines with the newest weights run at half of their rate or
  /// more from the limit on.
  void expectServedByNewest(std::uint64_t Newest, std::size_t Engines) {
    const TimePoint From = this->NamedAt + Bounds.Limit;
    const TimePoint To = EventLoop::now();
    const auto Began =
        static_cast<double>(this->Seen.beginsIn(From, To, Newest));
    const double Capacity = static_cast<double>(Engines * Slots) *
                            toSeconds(To - From) / toSeconds(RunTime);
    RecordProperty("began", std::to_string(Began / Capacity));
    EXPECT_GE(Began, Capacity / 2);
  }
  /// Expects that older weights were used while they could be.
  void expectOlderWereUsed(std::uint64_t Older) {
    EXPECT_GT(
        this->Seen.beginsIn(this->NamedAt, this->NamedAt + Bounds.Limit, Older),
        0U);
  }

  void sendOnce(std::size_t Daemon) {
    const std::string Id = callIdOf(Daemon, ++this->SentOnce + 1'000'000);
    auto Socket = std::make_unique<RawSocket>(
        RawSocket::connectTo(this->Places.callerAddress(Daemon)));
    Socket->write("POST /once/a HTTP/1.1\r\nHost: h\r\nRequest-Id: " + Id +
                  "\r\nContent-Length: 4\r\n\r\nbody");
    this->OnceCalls.push_back(std::move(Socket));
  }
  std::size_t waitingAt(std::size_t FirstEngine) const {
    std::size_t Count = 0;
    for (std::size_t I = FirstEngine; I < EngineCount; ++I)
      Count += this->Engines[I]->waiting();
    return Count;
  }
  void wait(Duration Time) {
    this->Harness.loop().runUntil([] { return false; }, Time);
  }
  void waitUntil(TimePoint At) { this->wait(At - EventLoop::now()); }

  static constexpr std::size_t DaemonCount = 6;
  static constexpr std::size_t EngineCount = 8;
  static constexpr std::size_t Loading = 4;
  static constexpr int Slots = 2;
  static constexpr Duration RunTime = 100ms;
  /// More calls than the engines that load new weights can run, also without
  /// those of two daemons.
  static constexpr Duration CallGap = 6ms;
  /// In touch again, a daemon that was frozen over the naming has more than the
  /// limit behind it, and would use older weights for 3 s more.
  static constexpr WeightsBounds Bounds{.Limit = 8s};
  /// `leaseMs` of the daemons' settings.
  static constexpr Duration LeaseTerm = 3s;
  struct SeenOrder {
    TimePoint At;
    std::string Holder;      ///< Its node.
    std::uint64_t Fence = 0; ///< Differs between processes of one node.
  };
  PlatformDaemons Places{.Count = DaemonCount,
                         .Network = 6,
                         .VersionMs =
                             static_cast<int>(toMilliseconds(Bounds.Limit))};
  ProcessHarness Harness{GALENAROUTE_BUILD_DIR};
  FakePlatformServer Api{this->Harness.loop()};
  Program *Daemons[DaemonCount] = {};
  bool IsDown[DaemonCount] = {};
  TimePoint DownSince[DaemonCount] = {};
  TimePoint NamedAt;
  std::optional<Duration> LoadTime; ///< Engines refuse orders without it.
  std::vector<SeenOrder> Orders;
  WeightsHistory Seen;
  std::vector<std::unique_ptr<WeightedEngine>> Engines;
  std::vector<std::unique_ptr<RawSocket>> OnceCalls;
  int SentOnce = 0;
  SteadyCallers Callers{this->Harness.loop(), DaemonCount,
                        [this](std::size_t Daemon) {
                          if (this->IsDown[Daemon])
                            throw std::runtime_error("the daemon is down");
                          return this->Places.callerAddress(Daemon);
                        }};
};

// Guards against a daemon that dates a version by the end of its own freeze.
TEST_F(WeightsProcessTest, FrozenDaemonsKeepTheLimitOfAVersionNamedMeanwhile) {
  this->start();
  this->Callers.start(CallGap);
  this->wait(1s);
  for (const std::size_t Each : {0, 1})
    this->freeze(Each);
  this->wait(500ms);
  this->name(2, Loading);
  this->wait(6s);
  for (const std::size_t Each : {0, 1})
    this->thaw(Each);
  this->waitUntil(this->NamedAt + 13s);
  this->expectNothingOutdated();
  this->expectOlderWereUsed(1);
  this->expectServedByNewest(2, Loading);
}

// Guards against a date in the store that a daemon wrote after its own freeze.
TEST_F(WeightsProcessTest, ARestartedDaemonKeepsTheLimitAfterALateHistory) {
  this->start();
  this->Callers.start(CallGap);
  this->wait(1s);
  const std::size_t Writer = this->historyWriter();
  const std::size_t Restarted = (Writer + 1) % DaemonCount;
  this->freeze(Writer);
  this->wait(500ms);
  this->name(2, Loading);
  this->wait(5500ms);
  this->thaw(Writer);
  this->wait(500ms);
  this->restart(Restarted);
  this->waitUntil(this->NamedAt + 13s);
  this->expectNothingOutdated();
  this->expectOlderWereUsed(1);
  this->expectServedByNewest(2, Loading);
}

// Guards against daemons that start without a history of a version and use
// older weights too long.
TEST_F(WeightsProcessTest, RestartedDaemonsKeepTheLimitWithoutAHistory) {
  this->Api.rejectWrites("weight-history");
  this->start();
  this->Callers.start(CallGap);
  this->wait(1s);
  this->name(2, Loading);
  this->wait(1s);
  this->restart(0);
  this->wait(3s);
  this->restart(1);
  this->wait(1s);
  for (std::size_t I = 2; I < DaemonCount; ++I)
    this->restart(I);
  this->waitUntil(this->NamedAt + 13s);
  this->expectNothingOutdated();
  this->expectOlderWereUsed(1);
  this->expectServedByNewest(2, Loading);
}

// Guards against restarted daemons that date a version anew when they list the
// store's objects again.
TEST_F(WeightsProcessTest, RestartedDaemonsKeepTheLimitWhenTheyListAgain) {
  this->start();
  this->Callers.start(CallGap);
  this->wait(1s);
  this->name(2, Loading);
  this->wait(2s);
  this->restartAll();
  this->waitUntil(this->NamedAt + 5s);
  this->Api.loseHistory();
  this->waitUntil(this->NamedAt + 13s);
  this->expectNothingOutdated();
  this->expectOlderWereUsed(1);
  this->expectServedByNewest(2, Loading);
}

// Guards against a call that was sent before a version was named and waits at
// an engine with older weights beyond the limit.
TEST_F(WeightsProcessTest, ACallThatWaitsAtAnEngineDoesNotBeginPastTheLimit) {
  this->start();
  for (const auto &Each : this->Engines)
    Each->hold();
  for (std::size_t I = 0; I < EngineCount * (Slots + 2); ++I) {
    this->sendOnce(I % DaemonCount);
    this->wait(20ms);
  }
  ASSERT_GT(this->waitingAt(Loading), 0U);
  for (std::size_t I = 0; I < Loading; ++I)
    this->Engines[I]->release();
  this->name(2, Loading);
  this->wait(1s);
  this->Callers.start(CallGap);
  this->waitUntil(this->NamedAt + Bounds.Limit + 1s);
  for (const auto &Each : this->Engines)
    Each->release();
  this->waitUntil(this->NamedAt + 11s);
  this->expectNothingOutdated();
  this->expectServedByNewest(2, Loading);
}

// Guards against a daemon that dates the first of two versions by the second.
TEST_F(WeightsProcessTest, FrozenDaemonsKeepTheLimitsOfTwoVersionsInARow) {
  this->start();
  this->Callers.start(CallGap);
  this->wait(1s);
  for (const std::size_t Each : {0, 1})
    this->freeze(Each);
  this->wait(500ms);
  // Two of the engines stay on each of the older versions.
  this->name(2, Loading + 2);
  const TimePoint FirstNamedAt = this->NamedAt;
  this->wait(2s);
  this->name(3, Loading);
  this->waitUntil(FirstNamedAt + 6s);
  for (const std::size_t Each : {0, 1})
    this->thaw(Each);
  this->waitUntil(this->NamedAt + 12s);
  this->expectNothingOutdated();
  EXPECT_GT(this->Seen.beginsIn(FirstNamedAt, FirstNamedAt + Bounds.Limit, 1),
            0U);
  this->expectOlderWereUsed(2);
  this->expectServedByNewest(3, Loading);
}

// Guards against a rollout that stands still while the daemons are stopped in
// turn: each holder of the lease is asked to stop 0.4 s after it has acquired
// it, and none but the first ever sent an order.
TEST_F(WeightsProcessTest, ARolloutGoesOnWhileHoldersAreStopped) {
  this->Places.GraceSeconds = 8;
  this->LoadTime = 2500ms;
  this->start();
  this->name(2);
  for (int I = 0; I < 30 * 5 && this->enginesWith(2) < EngineCount; ++I) {
    this->wait(200ms);
    if (I % 2 == 0)
      this->stopHolder();
  }
  EXPECT_EQ(this->enginesWith(2), EngineCount);
  // A node may hold the lease again with its next process.
  std::set<std::uint64_t> Holders;
  for (const SeenOrder &Each : this->Orders)
    Holders.insert(Each.Fence);
  RecordProperty("holders", std::to_string(Holders.size()));
  RecordProperty("took_ms", std::to_string(toMilliseconds(EventLoop::now() -
                                                          this->NamedAt)));
  EXPECT_GE(Holders.size(), 2U) << "the rollout was handed over";
  this->expectNoTurns();
}

} // namespace
} // namespace galenaroute
