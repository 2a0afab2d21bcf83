// Tests of daemons that start while their addresses are still in use.

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

class AddressInUseProcessTest : public testing::Test {
protected:
  AddressInUseProcessTest() {
    this->Api.put("config", "main", plainConfig());
    this->Api.put("servers", "u0",
                  {{"service", "d"},
                   {"address", this->Upstream.address().toString()},
                   {"zone", "z"},
                   {"version", "1"},
                   {"slots", 50},
                   {"state", "ready"},
                   {"sequence", 1},
                   {"born", 1}});
  }

  Program &start(std::size_t Index = 0) {
    const std::string Settings = this->Places.writeSettings(
        this->Harness.folder(), Index, "z", this->Api.address());
    return this->Harness.start("galenaroute-platform",
                               {"--settings", Settings});
  }
  int readiness(std::size_t Index = 0) {
    return this->Harness.get(this->Places.readyAddress(Index), "/api/ready")
        .Status;
  }
  /// Returns whether the daemon becomes ready before it ends.
  bool becomesReady(Program &Daemon, std::size_t Index = 0) {
    this->Harness.loop().runUntil(
        [&] { return !Daemon.isRunning() || this->readiness(Index) == 200; },
        10s);
    return Daemon.isRunning() && this->readiness(Index) == 200;
  }
  /// Returns whether the log of \p Daemon has \p Event for \p Address.
  static bool hasLogged(const Program &Daemon, const std::string &Event,
                        const SocketAddress &Address) {
    return Daemon.output().find("event=" + Event + " address=" +
                                Address.toString()) != std::string::npos;
  }
  void waitForLog(const Program &Daemon, const std::string &Event,
                  const SocketAddress &Address) {
    this->Harness.waitFor(Event,
                          [&] { return hasLogged(Daemon, Event, Address); });
  }
  /// Connects a socket whose own address is \p From and which has no
  /// SO_REUSEADDR.
  std::unique_ptr<RawSocket> connectFrom(const SocketAddress &From) const {
    const auto Resolve = [](const SocketAddress &Of) {
      sockaddr_in Result{};
      Result.sin_family = AF_INET;
      Result.sin_port = htons(Of.Port);
      inet_pton(AF_INET, Of.Host.c_str(), &Result.sin_addr);
      return Result;
    };
    const sockaddr_in Own = Resolve(From);
    const sockaddr_in To = Resolve(this->Other.Address);
    const int Socket = socket(AF_INET, SOCK_STREAM, 0);
    if (bind(Socket, reinterpret_cast<const sockaddr *>(&Own), sizeof Own) !=
            0 ||
        ::connect(Socket, reinterpret_cast<const sockaddr *>(&To), sizeof To) !=
            0)
      throw std::runtime_error("cannot connect from the address of a daemon");
    return std::make_unique<RawSocket>(Socket);
  }
  std::unique_ptr<RawSocket> call() {
    auto Caller = std::make_unique<RawSocket>(
        RawSocket::connectTo(this->Places.callerAddress(0)));
    Caller->writeSome("POST /safe/a HTTP/1.1\r\nHost: h\r\nConnection: close"
                      "\r\nRequest-Id: 0-" +
                      std::to_string(++this->Sent) +
                      "\r\nContent-Length: 4\r\n\r\nbody");
    return Caller;
  }
  void wait(Duration Time) {
    this->Harness.loop().runUntil([] { return false; }, Time);
  }

  const PlatformDaemons Places{.Count = 2, .Network = 61, .GraceSeconds = 8};
  ProcessHarness Harness{GALENAROUTE_BUILD_DIR};
  FakePlatformServer Api{this->Harness.loop()};
  LimitedUpstream Upstream{this->Harness.loop(), 800ms};
  const RawListener Other;
  int Sent = 0;
};

// Guards against a start that fails because the predecessor still drains, and
// against requests that get no answer while one process replaces another.
TEST_F(AddressInUseProcessTest, ASuccessorTakesOverFromADrainingProcess) {
  Program &Before = this->start();
  ASSERT_TRUE(this->becomesReady(Before));
  this->wait(300ms);
  Before.signal(SIGTERM);
  Program &After = this->start();

  // The predecessor accepts for 2.8 s.
  std::vector<std::unique_ptr<RawSocket>> Callers;
  std::size_t Refused = 0;
  std::unique_ptr<RawSocket> Late; ///< Accepted by the successor.
  bool WasRunning = false;         ///< The predecessor, at that time.
  sigc::connection Steps = this->Harness.loop().timers().every(25ms, [&] {
    try {
      Callers.push_back(this->call());
    } catch (const std::exception &) {
      ++Refused;
    }
    if (!Late &&
        hasLogged(After, "listen.bound", this->Places.callerAddress(0))) {
      WasRunning = Before.isRunning();
      Late = this->call();
    }
  });
  this->Harness.loop().runUntil([&] { return Late || !After.isRunning(); },
                                10s);
  this->wait(500ms);
  Steps.disconnect();
  ASSERT_TRUE(After.isRunning()) << After.output();
  ASSERT_TRUE(Late);
  EXPECT_TRUE(WasRunning) << "calls were in progress at the predecessor";
  this->Harness.loop().runUntil(
      [&] {
        return std::all_of(Callers.begin(), Callers.end(),
                           [](const auto &Each) { return Each->hasEnded(); });
      },
      3s);
  for (const auto &Each : Callers)
    EXPECT_TRUE(Each->read().starts_with("HTTP/1.1 200 ")) << Each->read();
  EXPECT_TRUE(Late->read().starts_with("HTTP/1.1 200 ")) << Late->read();
  // The successor tries every 50 ms.
  EXPECT_LE(Refused, 4U);
  EXPECT_EQ(Before.wait(10s), 0);
  EXPECT_TRUE(this->becomesReady(After)) << After.output();
  EXPECT_EQ(After.stop(), 0);
}

// Guards against a start that fails because the kernel has not yet released the
// sockets of a predecessor that was killed.
TEST_F(AddressInUseProcessTest, AStartRightAfterAKillSucceeds) {
  constexpr int Rounds = 30;
  int Ready = 0;
  Program *Last = &this->start();
  ASSERT_TRUE(this->becomesReady(*Last));
  for (int I = 0; I < Rounds; ++I) {
    Last->signal(SIGKILL);
    Last = &this->start();
    Ready += this->becomesReady(*Last);
  }
  EXPECT_EQ(Ready, Rounds);
}

// Guards against a start that fails while a connection has the port as its own,
// and against naming an entry to callers that does not accept them yet.
TEST_F(AddressInUseProcessTest, AnEntryIsNamedOnlyOnceItListens) {
  Program &Peer = this->start(0);
  const auto Holder = this->connectFrom(this->Places.callerAddress(1));
  Program &Waiting = this->start(1);
  ASSERT_TRUE(this->becomesReady(Peer, 0));
  this->waitForLog(Waiting, "listen.waiting", this->Places.callerAddress(1));
  const auto IsNamed = [&] {
    const SocketAddress Directory{this->Places.hostOf(0),
                                  PlatformDaemons::DirectoryPort};
    return this->Harness.get(Directory, "/api/resolve?zone=z")
               .Body.find(this->Places.callerAddress(1).toString()) !=
           std::string::npos;
  };
  EXPECT_FALSE(this->Harness.loop().runUntil(
      [&] { return IsNamed() || this->readiness(1) == 200; }, 2s));
  EXPECT_EQ(this->readiness(1), 503);

  Holder->reset();
  EXPECT_TRUE(this->becomesReady(Waiting, 1)) << Waiting.output();
  EXPECT_TRUE(
      hasLogged(Waiting, "listen.bound", this->Places.callerAddress(1)));
  this->Harness.waitFor("the entry to be named", IsNamed);
}

// Guards against a stop that never ends, or ends with an error, because the
// process waits for its address.
TEST_F(AddressInUseProcessTest, AProcessThatWaitsStopsInTime) {
  // No other test leaves connections to this address in TIME_WAIT.
  constexpr std::size_t Index = 2;
  const auto Holder = this->connectFrom(this->Places.callerAddress(Index));
  Program &Waiting = this->start(Index);
  this->waitForLog(Waiting, "listen.waiting",
                   this->Places.callerAddress(Index));
  Waiting.signal(SIGTERM);
  EXPECT_EQ(Waiting.wait(std::chrono::seconds(this->Places.GraceSeconds)), 0);
}

// Guards against a start of the product's own daemon that fails while one of
// its addresses is in use, and against a stop that fails then.
TEST_F(AddressInUseProcessTest, TheOwnDaemonWaitsForItsAddresses) {
  const Program &Platform = this->Harness.startEmulator("platform", {});
  const SocketAddress Callers = ProcessHarness::freeAddress();
  const SocketAddress Peers = ProcessHarness::freeAddress();
  const auto Start = [&]() -> Program & {
    Program &Result = this->Harness.start(
        "galenarouted",
        {"--listen", Callers.toString(), "--peer-listen", Peers.toString(),
         "--platform", Platform.address().toString(), "--zone", "z", "--seeds",
         Peers.toString(), "--keep-ms", "200"});
    Result.setAddress(Callers);
    return Result;
  };
  const auto CallerHolder = this->connectFrom(Callers);
  const auto PeerHolder = this->connectFrom(Peers);
  Program &Stopped = Start();
  Program &Waiting = Start();
  for (const Program *Each : {&Stopped, &Waiting})
    this->waitForLog(*Each, "listen.waiting", Peers);
  Stopped.signal(SIGTERM);
  EXPECT_EQ(Stopped.wait(10s), 0);
  PeerHolder->reset();
  this->waitForLog(Waiting, "listen.waiting", Callers);
  CallerHolder->reset();
  this->Harness.waitUntilAnswers(Waiting, "/v1/status");
  EXPECT_EQ(Waiting.stop(), 0);
}

} // namespace
} // namespace galenaroute
