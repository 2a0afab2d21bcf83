// Tests daemon processes while the platform's store returns from a copy some
// seconds old.

#include "CrashingUpstreams.h"
#include "FakePlatformServer.h"
#include "LimitedUpstreams.h"
#include "PlainConfig.h"
#include "PlatformDaemons.h"
#include "ProcessHarness.h"
#include "StallableProxy.h"
#include "WeightedEngines.h"

#include <csignal>
#include <gtest/gtest.h>
#include <regex>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;
using nlohmann::json;

constexpr std::size_t DaemonCount = 4;

class RestoredStoreProcessTest : public testing::Test {
protected:
  void startDaemon(std::size_t Index) {
    const std::string Path = this->Places.writeSettings(
        this->Harness.folder(), Index, "z",
        Index == Linked ? this->Link.Address : this->Api.address());
    this->Daemons[Index] =
        &this->Harness.start("galenaroute-platform", {"--settings", Path});
    this->Runs.push_back(this->Daemons[Index]);
  }
  /// Starts all daemons and waits until they know one another.
  void startAll() {
    this->Link.Target = this->Api.address();
    for (std::size_t I = 0; I < DaemonCount; ++I)
      this->startDaemon(I);
    for (std::size_t I = 0; I < DaemonCount; ++I)
      this->waitUntilReady(I);
    this->wait(1500ms);
  }
  void waitUntilReady(std::size_t Index) {
    this->Harness.waitFor("daemon " + std::to_string(Index), [&] {
      return this->Harness.get(this->Places.readyAddress(Index), "/api/ready")
                 .Status == 200;
    });
  }
  void kill(std::size_t Index) {
    this->Daemons[Index]->signal(SIGKILL);
    this->Daemons[Index]->wait(5s);
  }
  void wait(Duration Time) {
    this->Harness.loop().runUntil([] { return false; }, Time);
  }
  template <typename Condition>
  bool waitFor(Duration Limit, const Condition &Done) {
    return this->Harness.loop().runUntil(Done, Limit);
  }

  static constexpr std::size_t Linked = 3; ///< Reaches the store by Link.
  const PlatformDaemons Places{.Count = DaemonCount, .Network = 7};
  ProcessHarness Harness{GALENAROUTE_BUILD_DIR};
  FakePlatformServer Api{this->Harness.loop()};
  StallableProxy Link{this->Harness.loop()};
  Program *Daemons[DaemonCount] = {};
  std::vector<Program *> Runs; ///< All processes started.
};

/// Configuration N has the routes `/v1/` to `/vN/`.
class RestoredConfigTest : public RestoredStoreProcessTest {
protected:
  RestoredConfigTest() {
    this->configure(1);
    this->writeServer();
    this->startAll();
  }

  void configure(int Version) {
    json Config = plainConfig();
    Config["version"] = Version;
    const json Route = Config["routes"][1];
    Config["routes"] = json::array();
    for (int I = 1; I <= Version; ++I) {
      Config["routes"].push_back(Route);
      Config["routes"].back()["name"] = "v" + std::to_string(I);
      Config["routes"].back()["pathPrefix"] = "/v" + std::to_string(I) + "/";
    }
    this->Api.put("config", "main", Config);
    this->Newest = Version;
    this->NewestAt = EventLoop::now();
  }
  /// Registers the server again, which takes one revision.
  void writeServer() {
    this->Api.put("servers", "d0",
                  {{"service", "d"},
                   {"address", this->Server.address().toString()},
                   {"zone", "z"},
                   {"version", "1"},
                   {"slots", 50},
                   {"state", "ready"},
                   {"sequence", ++this->ServerWrites},
                   {"born", 1}});
  }

  /// Returns the status of a call to a route that version \p Version added.
  int statusOf(std::size_t Daemon, int Version) {
    RawSocket Socket(RawSocket::connectTo(this->Places.callerAddress(Daemon)));
    Socket.write("POST /v" + std::to_string(Version) +
                 "/a HTTP/1.1\r\nHost: h\r\nRequest-Id: " +
                 callIdOf(Daemon, ++this->Calls) +
                 "\r\nContent-Length: 4\r\n\r\nbody");
    this->waitFor(CallLimit, [&] { return !Socket.read().empty(); });
    const std::string Answer = Socket.read();
    constexpr std::string_view Protocol = "HTTP/1.1 ";
    return Answer.starts_with(Protocol)
               ? std::atoi(Answer.c_str() + Protocol.size())
               : 0;
  }
  bool serves(std::size_t Daemon, int Version) {
    return this->statusOf(Daemon, Version) == 200;
  }
  /// Expects that a daemon serves the newest configuration within the time that
  /// the platform allows, from \p From on.
  void expectNewest(std::size_t Daemon, TimePoint From) {
    while (!this->serves(Daemon, this->Newest)) {
      if (EventLoop::now() - From > ApplyTime * 3) {
        ADD_FAILURE() << "daemon " << Daemon << " does not serve version "
                      << this->Newest;
        return;
      }
      this->wait(20ms);
    }
    EXPECT_LE(toMilliseconds(EventLoop::now() - From),
              toMilliseconds(ApplyTime))
        << "daemon " << Daemon << ", version " << this->Newest;
  }
  void expectNewestAtAll() {
    for (std::size_t I = 0; I < DaemonCount; ++I)
      this->expectNewest(I, this->NewestAt);
  }
  /// Expects that the versions in force only grew in each process.
  void expectNoneWentBack() {
    static const std::regex InForce(R"(config\.in_force.*version=\"?(\d+))");
    for (const Program *Each : this->Runs) {
      const std::string Output = Each->output();
      int Last = 0;
      for (std::sregex_iterator It(Output.begin(), Output.end(), InForce), End;
           It != End; ++It) {
        const int Version = std::stoi((*It)[1]);
        EXPECT_GT(Version, Last);
        Last = Version;
      }
      EXPECT_GT(Last, 0) << "no configuration in the log of a daemon";
    }
  }

  static constexpr Duration ApplyTime = 2s; ///< configApplyMs of the platform.
  static constexpr Duration CallLimit = 500ms;
  /// Within this time, each watch has ended and continues from the newest
  /// revision.
  static constexpr Duration WatchTime = 1700ms;
  LimitedUpstream Server{this->Harness.loop()};
  int Newest = 0;
  TimePoint NewestAt;
  int ServerWrites = 0;
  int Calls = 0;
};

// Guards against a daemon that watches from a revision which the restored store
// has given out again, and so misses the changes before it.
TEST_F(RestoredConfigTest, AFrozenDaemonServesTheNewestConfiguration) {
  constexpr int Lost = 8;
  // Fewer writes than were lost, and more.
  for (const int Written : {2, Lost + 4}) {
    this->Api.keepCopy();
    this->configure(this->Newest + 1);
    for (int I = 1; I < Lost; ++I)
      this->writeServer();
    this->expectNewestAtAll();
    this->wait(WatchTime);
    this->Daemons[2]->signal(SIGSTOP);
    this->Api.restore();
    this->configure(this->Newest + 1);
    for (int I = 1; I < Written; ++I)
      this->writeServer();
    for (const std::size_t Each : {0, 1, 3})
      this->expectNewest(Each, this->NewestAt);
    this->wait(ApplyTime);
    this->Daemons[2]->signal(SIGCONT);
    this->expectNewest(2, EventLoop::now());
  }
  this->expectNoneWentBack();
}

// Guards against a daemon that notices only one of two changes of the era, or
// takes the second store for the one that it knew.
TEST_F(RestoredConfigTest, TwoRestorationsInARow) {
  this->Api.keepCopy();
  this->configure(2);
  this->writeServer();
  this->expectNewestAtAll();
  this->wait(WatchTime);
  this->Daemons[2]->signal(SIGSTOP);
  this->Api.restore();
  this->configure(3);
  this->wait(300ms);
  this->Api.restore();
  this->configure(4);
  for (int I = 0; I < 4; ++I)
    this->writeServer();
  for (const std::size_t Each : {0, 1, 3})
    this->expectNewest(Each, this->NewestAt);
  this->wait(ApplyTime);
  this->Daemons[2]->signal(SIGCONT);
  this->expectNewest(2, EventLoop::now());
  this->configure(5);
  this->expectNewestAtAll();
  this->expectNoneWentBack();
}

// Guards against a daemon that serves an older configuration than the others
// since it started while the copy was in force, or that keeps what it knew
// before it lost the store.
TEST_F(RestoredConfigTest, DaemonsThatStartOrAreCutOffDuringTheRestoration) {
  this->Api.keepCopy();
  this->configure(2);
  for (int I = 0; I < 4; ++I)
    this->writeServer();
  this->expectNewestAtAll();
  this->wait(WatchTime);
  this->Link.setSilent(true);
  this->kill(1);
  this->Api.restore();
  const TimePoint StartedAt = EventLoop::now();
  this->startDaemon(1);
  this->Harness.waitFor("the configuration of the copy", [&] {
    return this->Daemons[1]->output().find("config.in_force") !=
           std::string::npos;
  });
  this->wait(1s);
  EXPECT_EQ(this->statusOf(1, 1), 503);
  EXPECT_EQ(
      this->Harness.get(this->Places.readyAddress(1), "/api/ready").Status,
      503);
  // It does not wait for ever for a version that may never be written again.
  this->waitUntilReady(1);
  EXPECT_LT(toMilliseconds(EventLoop::now() - StartedAt), 7000);
  EXPECT_EQ(this->statusOf(1, 1), 200);
  // The store holds version 1, but none of these goes back to it.
  for (const std::size_t Each : {0, 2, 3})
    EXPECT_TRUE(this->serves(Each, 2)) << "daemon " << Each;

  this->configure(3);
  for (int I = 0; I < 6; ++I)
    this->writeServer();
  for (const std::size_t Each : {0, 1, 2})
    this->expectNewest(Each, this->NewestAt);
  this->Link.setSilent(false);
  this->Link.cut();
  this->expectNewest(Linked, EventLoop::now());
  this->expectNoneWentBack();
}

/// Engines whose weights the daemons' orders load.
class RestoredWeightsTest : public RestoredStoreProcessTest {
protected:
  struct SeenOrder {
    TimePoint At;
    std::string Holder;
    std::uint64_t Fence = 0;
  };

  RestoredWeightsTest() {
    this->Api.put("config", "main", weightedConfig(2));
    this->name(1);
    for (std::size_t I = 0; I < 3; ++I)
      this->Engines.push_back(std::make_unique<WeightedEngine>(
          this->Harness.loop(), this->Seen,
          WeightedEngineSettings{
              .OnOrder =
                  [this](const std::string &Holder, std::uint64_t Fence) {
                    this->Orders.push_back({EventLoop::now(), Holder, Fence});
                  }},
          [this, I](const SocketAddress &At, std::uint64_t Version) {
            this->Api.put(
                "servers", "e" + std::to_string(I),
                {{"service", "m"},
                 {"address", At.toString()},
                 {"zone", "z"},
                 {"version", "1"},
                 {"slots", 2},
                 {"state", "ready"},
                 {"sequence", Version},
                 {"born", 1},
                 {"models", {{{"name", "w"}, {"version", Version}}}}});
          }));
    this->startAll();
  }
  void name(std::uint64_t Version) {
    this->Api.put("versions", "w", {{"model", "w"}, {"version", Version}});
  }
  /// The daemon that sent the last order.
  std::size_t lastHolder() const {
    return std::stoul(this->Orders.back().Holder.substr(1));
  }
  bool waitForOrder(Duration Limit, const std::string &NotFrom = "") {
    const std::size_t Before = this->Orders.size();
    return this->waitFor(Limit, [&] {
      return this->Orders.size() > Before &&
             this->Orders.back().Holder != NotFrom;
    });
  }
  void expectOneHolderAtATime() const {
    std::map<std::uint64_t, std::string> Holders;
    for (std::size_t I = 0; I < this->Orders.size(); ++I) {
      const SeenOrder &Each = this->Orders[I];
      EXPECT_EQ(Holders.try_emplace(Each.Fence, Each.Holder).first->second,
                Each.Holder)
          << "two holders with fence " << Each.Fence;
      if (I == 0)
        continue;
      const SeenOrder &Last = this->Orders[I - 1];
      EXPECT_GE(Each.Fence, Last.Fence)
          << Each.Holder << " after " << Last.Holder;
      if (Each.Holder != Last.Holder) {
        EXPECT_GE(toMilliseconds(Each.At - Last.At), toMilliseconds(LeaseTime))
            << Each.Holder << " after " << Last.Holder;
      }
    }
  }

  static constexpr Duration LeaseTime = 3s; ///< As in PlatformDaemons.
  WeightsHistory Seen;
  std::vector<SeenOrder> Orders;
  std::vector<std::unique_ptr<WeightedEngine>> Engines;
};

// Guards against a holder that finds its old record in the restored store, and
// against fences that the restored store lets be given out again.
TEST_F(RestoredWeightsTest, AFrozenHolderSendsNoOrdersAfterItsSuccessor) {
  // The engines refuse orders, so that the holder repeats them.
  this->name(2);
  ASSERT_TRUE(this->waitForOrder(10s));
  this->Api.keepCopy();
  const std::string First = this->Orders.back().Holder;
  const std::size_t Frozen = this->lastHolder();
  this->Daemons[Frozen]->signal(SIGSTOP);
  ASSERT_TRUE(this->waitForOrder(20s, First));
  this->Api.restore();
  this->name(3);
  this->Daemons[Frozen]->signal(SIGCONT);
  const std::uint64_t Before = this->Orders.back().Fence;
  this->wait(LeaseTime * 3);
  this->expectOneHolderAtATime();
  // In a new era, a lease takes effect after two of its terms at most.
  EXPECT_GT(this->Orders.back().Fence, Before)
      << "no orders after the restoration";
}

// Guards against announcement times that are gone from the restored store, so
// that a daemon which restarts dates the weights anew.
TEST_F(RestoredWeightsTest, HistoriesOfWeightsAreStoredAgain) {
  // Returns the time at which version 2 was announced, as it is stored.
  const auto StoredAt = [this](const std::string &Name) -> std::int64_t {
    json Stored;
    const bool IsStored = this->waitFor(5s, [&] {
      Stored = this->Api.read("weight-history", Name);
      return Stored.size() == 1 && Stored[0][0] == 2;
    });
    EXPECT_TRUE(IsStored) << Name << " is " << Stored;
    return IsStored ? Stored[0][1].get<std::int64_t>() : 0;
  };
  this->Api.keepCopy();
  this->name(2);
  const std::int64_t Before = StoredAt("w.era-1");
  this->wait(1s);
  this->Api.restore();
  this->name(2);
  EXPECT_NEAR(StoredAt("w.era-2"), Before, 100);

  for (std::size_t I = 0; I < DaemonCount; ++I)
    this->kill(I);
  for (std::size_t I = 0; I < DaemonCount; ++I)
    this->startDaemon(I);
  for (std::size_t I = 0; I < DaemonCount; ++I)
    this->waitUntilReady(I);
  static const std::regex History(R"(weights\.history .*versions=\"?1\b)");
  for (std::size_t I = 0; I < DaemonCount; ++I)
    EXPECT_TRUE(this->waitFor(
        2s,
        [&] { return std::regex_search(this->Daemons[I]->output(), History); }))
        << "daemon " << I;
}

class RestoredCrashRecordTest : public RestoredStoreProcessTest {
protected:
  RestoredCrashRecordTest() {
    this->Api.put("config", "main", plainConfig());
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
        8, CrashKind::Reset);
    this->startAll();
  }

  int Born = 0;
  std::unique_ptr<CrashingUpstreams> Upstreams;
  Callers Crashing;
};

// Guards against a crash record that is gone from the restored store, so that
// daemons which all restart let the call through again.
TEST_F(RestoredCrashRecordTest, CrashRecordsAreStoredAgain) {
  this->Api.keepCopy();
  for (std::size_t I = 0; I < 3; ++I) {
    this->Crashing.send(this->Places.callerAddress(I), "/once/a", "crash");
    this->wait(200ms);
  }
  EXPECT_EQ(this->Upstreams->Crashes.size(), 3U);
  const auto IsStored = [this](const std::string &Name) {
    return this->waitFor(
        5s, [&] { return !this->Api.read("crashing-contents", Name).empty(); });
  };
  ASSERT_TRUE(IsStored("recent.era-1"));
  // The servers register again, as they were before the copy was in force.
  this->wait(1s);
  this->Api.restore();
  EXPECT_TRUE(IsStored("recent.era-2"));

  for (std::size_t I = 0; I < DaemonCount; ++I)
    this->kill(I);
  for (std::size_t I = 0; I < DaemonCount; ++I)
    this->startDaemon(I);
  for (std::size_t I = 0; I < DaemonCount; ++I)
    this->waitUntilReady(I);
  for (std::size_t I = 0; I < DaemonCount; ++I) {
    this->Crashing.send(this->Places.callerAddress(I), "/once/a", "crash");
    this->wait(100ms);
  }
  EXPECT_EQ(this->Upstreams->Crashes.size(), 3U);
}

} // namespace
} // namespace galenaroute
