// Tests of the links between daemons over real sockets.

#include "process/PeerNetwork.h"

#include "FakePlatform.h"
#include "StallableProxy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using testing_support::FakePlatform;
using testing_support::StallableProxy;

class PeerNetworkTest : public testing::Test {
protected:
  PeerSettings settings(const std::string &Zone,
                        std::vector<SocketAddress> Seeds) {
    PeerSettings Result;
    Result.Deployment = "test";
    Result.Self.Zone = Zone;
    Result.Self.PeerAddress = {"127.0.0.1", 0};
    Result.Self.CallerAddress = {"127.0.0.1", 80};
    Result.Listen = {"127.0.0.1", 0};
    Result.Seeds = std::move(Seeds);
    Result.Link.HeartbeatPeriod = 40ms;
    Result.Link.Deadline = 150ms;
    Result.TickPeriod = 20ms;
    Result.VmReaderPeriod = 50ms;
    Result.Membership.ProbePeriod = 50ms;
    Result.Membership.SuspectTimeout = 300ms;
    return Result;
  }

  std::unique_ptr<PeerNetwork> start(const PeerSettings &With) {
    auto Result = std::make_unique<PeerNetwork>(this->Loop, this->Events,
                                                this->Api, With);
    Result->start();
    return Result;
  }

  bool waitFor(const std::function<bool()> &Done) {
    return this->Loop.runUntil(Done, 5s);
  }

  EventLoop Loop;
  Timeline Events{"test", 1000};
  FakePlatform Api;
};

std::size_t liveCount(const PeerNetwork &Of) {
  return liveMembers(Of.members()).size();
}

TEST_F(PeerNetworkTest, FindsAllDaemonsFromOneSeedAndDeliversMessages) {
  const auto First = this->start(this->settings("a", {}));
  std::vector<std::unique_ptr<PeerNetwork>> Rest;
  Rest.reserve(5);
  for (int I = 0; I < 5; ++I)
    Rest.push_back(this->start(
        this->settings(I % 2 == 0 ? "a" : "b", {First->self().PeerAddress})));
  ASSERT_TRUE(this->waitFor([&] {
    return liveCount(*First) == 6 &&
           std::all_of(Rest.begin(), Rest.end(),
                       [](const auto &Each) { return liveCount(*Each) == 6; });
  }));
  std::vector<std::string> Received;
  Rest[4]->handle("note", [&](const std::string &From, const json &Body) {
    Received.push_back(From + Body.at("text").get<std::string>());
  });
  EXPECT_TRUE(Rest[0]->send(Rest[4]->self().Id, {"note", {{"text", "x"}}}));
  EXPECT_TRUE(this->waitFor([&] { return !Received.empty(); }));
  EXPECT_EQ(Received.front(), Rest[0]->self().Id + "x");
}

// Guards against suspecting a healthy daemon because one connection to it
// stalled: a new connection must be tried first.
TEST_F(PeerNetworkTest, ReplacesAStalledLinkWithoutSuspectingThePeer) {
  StallableProxy Proxy(this->Loop);
  auto Finder = this->start(this->settings("a", {}));
  // The proxy must know the port that the daemon behind it will bind.
  PeerSettings Behind = this->settings("a", {});
  Behind.Listen = Finder->self().PeerAddress;
  Behind.Self.PeerAddress = Proxy.Address;
  Proxy.Target = Behind.Listen;
  Finder.reset();
  const auto Peer = this->start(Behind);
  const auto Near = this->start(this->settings("a", {Proxy.Address}));
  ASSERT_TRUE(this->waitFor(
      [&] { return liveCount(*Near) == 2 && liveCount(*Peer) == 2; }));
  bool Suspected = false;
  const auto Watch = [&] {
    for (const auto &[Id, Each] : Near->members().Members)
      Suspected = Suspected || Each.Info.State != MemberState::Alive;
  };
  Near->MembersChanged.connect(Watch);
  const std::size_t Before = Proxy.accepted();
  Proxy.stall();
  ASSERT_TRUE(this->waitFor([&] { return Proxy.accepted() > Before; }));
  this->Loop.runUntil([] { return false; }, 500ms);
  EXPECT_FALSE(Suspected);
  int Received = 0;
  Peer->handle("note", [&](const std::string &, const json &) { ++Received; });
  Near->send(Peer->self().Id, {"note"});
  EXPECT_TRUE(this->waitFor([&] { return Received == 1; }));
}

// Guards against returning the address of a killed daemon for long.
TEST_F(PeerNetworkTest, DeclaresAStoppedDaemonDead) {
  const auto First = this->start(this->settings("a", {}));
  auto Second = this->start(this->settings("a", {First->self().PeerAddress}));
  ASSERT_TRUE(this->waitFor([&] { return liveCount(*First) == 2; }));
  const std::string Id = Second->self().Id;
  Second.reset();
  EXPECT_TRUE(this->waitFor([&] {
    return First->members().Members.at(Id).Info.State == MemberState::Dead;
  }));
}

// Guards against daemons that send work to a leaving VM because they do not
// read the VM list themselves, also when they start after it was read.
TEST_F(PeerNetworkTest, ForwardsWhichVmsAreLeaving) {
  const auto Reader = this->start(this->settings("a", {}));
  this->Api.drain();
  FakePlatform UnresponsiveApi;
  const auto StartWithoutApi = [&] {
    auto Result = std::make_unique<PeerNetwork>(
        this->Loop, this->Events, UnresponsiveApi,
        this->settings("a", {Reader->self().PeerAddress}));
    Result->start();
    return Result;
  };
  const auto First = StartWithoutApi();
  ASSERT_TRUE(this->waitFor([&] { return liveCount(*First) == 2; }));
  std::vector<VmRecord> Seen;
  const auto Note = [&](const std::vector<VmRecord> &Vms) { Seen = Vms; };
  First->VmsRead.connect(Note);
  const SocketAddress Upstream{"10.0.0.9", 9000};
  this->Api.Vms = {{Upstream, "a", "upstream", true},
                   {Reader->self().PeerAddress, "a", "entry", true}};
  const auto IsForwarded = [&] {
    this->Api.drain();
    return Seen.size() == 2;
  };
  ASSERT_TRUE(this->waitFor(IsForwarded));
  EXPECT_EQ(Seen[0].Address, Upstream);
  EXPECT_TRUE(Seen[0].Leaving);
  EXPECT_EQ(liveCount(*First), 1U);
  EXPECT_TRUE(isSelfListedLeaving(Reader->members()));
  Seen.clear();
  const auto Second = StartWithoutApi();
  Second->VmsRead.connect(Note);
  EXPECT_TRUE(this->waitFor(IsForwarded));
}

// Guards against a malformed message that closes more than its own link.
TEST_F(PeerNetworkTest, AMalformedMessageClosesItsLinkOnly) {
  const auto First = this->start(this->settings("a", {}));
  const auto Second =
      this->start(this->settings("a", {First->self().PeerAddress}));
  ASSERT_TRUE(this->waitFor([&] { return liveCount(*First) == 2; }));
  PeerLinkLimits Limits;
  const auto Bad = PeerLink::connect(this->Loop, this->Events,
                                     First->self().PeerAddress, Limits);
  bool BadClosed = false;
  Bad->Opened.connect([&] { Bad->send({"hello", {{"id", 7}}}); });
  Bad->Closed.connect([&](const std::string &) { BadClosed = true; });
  EXPECT_TRUE(this->waitFor([&] { return BadClosed; }));
  int Received = 0;
  First->handle("note", [&](const std::string &, const json &) { ++Received; });
  Second->send(First->self().Id, {"note"});
  EXPECT_TRUE(this->waitFor([&] { return Received == 1; }));
  EXPECT_EQ(liveCount(*First), 2U);
}

// Guards against unbounded memory while a peer does not read.
TEST_F(PeerNetworkTest, ClosesALinkWhoseOutputQueueIsFull) {
  StallableProxy Proxy(this->Loop);
  const auto Peer = this->start(this->settings("a", {}));
  Proxy.Target = Peer->self().PeerAddress;
  PeerLinkLimits Limits;
  Limits.MaxQueueBytes = 100000;
  const auto Link =
      PeerLink::connect(this->Loop, this->Events, Proxy.Address, Limits);
  ASSERT_TRUE(this->waitFor([&] { return Link->isOpen(); }));
  Proxy.stall();
  const PeerMessage Large{"x", {{"pad", std::string(50000, 'p')}}};
  int Sent = 0;
  while (Link->send(Large) && Sent < 1000)
    ++Sent;
  EXPECT_LT(Sent, 1000);
  EXPECT_TRUE(Link->isClosed());
}

// Guards against a crash or an exception on damaged input, and against stack
// overflow by deep nesting.
RC_GTEST_PROP(PeerMessageTest, DamagedBytesNeverThrow, ()) {
  std::string Bytes = encodePeerMessage(
      {"gossip", {{"members", {1, 2, {{"id", "x"}}}}}, {1000, 2}});
  const int Changes = *rc::gen::inRange(1, 6);
  for (int I = 0; I < Changes; ++I)
    Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] =
        *rc::gen::arbitrary<char>();
  Bytes.resize(*rc::gen::inRange<std::size_t>(0, Bytes.size() + 1));
  const auto Result = decodePeerMessage(Bytes);
  if (Result)
    RC_ASSERT(Result->Body.is_object());
}

TEST(PeerMessageTest, RefusesDeepNestingAndRoundTrips) {
  // An array, an array without a length, a text and bytes in chunks, a tag.
  for (const char Opening : {'\x81', '\x9f', '\x7f', '\x5f', '\xc1'})
    EXPECT_FALSE(decodePeerMessage(std::string(200000, Opening)))
        << static_cast<int>(Opening);
  const auto Result =
      decodePeerMessage(encodePeerMessage({"load", {{"n", 3}}, {1234567, 8}}));
  ASSERT_TRUE(Result);
  EXPECT_EQ(Result->Type, "load");
  EXPECT_EQ(Result->Body, json({{"n", 3}}));
  EXPECT_EQ(Result->Time, (HybridTime{1234567, 8}));
}

} // namespace
} // namespace galenaroute
