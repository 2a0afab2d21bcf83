// Tests of the exchange of crash signatures between daemons over real sockets.

#include "process/PeerDigests.h"
#include "FakePlatform.h"
#include "process/Daemon.h"
#include "process/Sha256.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

class PeerDigestsTest : public testing::Test {
protected:
  struct Node {
    std::unique_ptr<Daemon> Calls;
    std::unique_ptr<PeerNetwork> Peers;
  };

  Node start(std::vector<SocketAddress> Seeds) {
    DaemonSettings Settings;
    Settings.Listen = {"127.0.0.1", 0};
    Settings.Advertise = {"127.0.0.1", 9};
    Settings.Zone = "a";
    PeerSettings Of;
    Of.Deployment = "test";
    Of.Self.Zone = "a";
    Of.Self.PeerAddress = {"127.0.0.1", 0};
    Of.Self.CallerAddress = {"127.0.0.1", 80};
    Of.Listen = {"127.0.0.1", 0};
    Of.Seeds = std::move(Seeds);
    Of.TickPeriod = 20ms;
    Node Result;
    Result.Calls = DaemonBuilder(this->Loop, Settings).build();
    Result.Peers =
        std::make_unique<PeerNetwork>(this->Loop, this->Events, this->Api, Of);
    connectDigests(Result.Calls->dispatcher(), *Result.Peers);
    Result.Peers->start();
    return Result;
  }

  EventLoop Loop;
  Timeline Events{"test", 1000};
  testing_support::FakePlatform Api;
};

// Guards against a restarted daemon that lets a call crash further upstreams
// although all other daemons refuse it.
TEST_F(PeerDigestsTest, ADaemonThatStartsLearnsWhichCallsCrashUpstreams) {
  const Node First = this->start({});
  const std::string Content = sha256Hex("crash");
  First.Calls->dispatcher().onCrashDigest(
      {{"signatures", {{Content, {"u1", "u2"}, 1000}}}});
  const Node Second = this->start({First.Peers->self().PeerAddress});
  json Learned;
  Second.Calls->dispatcher().CrashDigest.connect(
      [&](const json &Body) { Learned = Body; });
  ASSERT_TRUE(this->Loop.runUntil([&] { return !Learned.is_null(); }, 3s));
  EXPECT_EQ(Learned.at("signatures").at(0).at(0), Content);
  EXPECT_EQ(Learned.at("signatures").at(0).at(1).size(), 2u);
}

} // namespace
} // namespace galenaroute
