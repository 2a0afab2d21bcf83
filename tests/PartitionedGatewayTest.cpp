// Two gateways, one of which is cut off from the upstreams: its registry names
// them at addresses where nothing answers.

#include "GatewayFleet.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;

/// Replaces the addresses of upstreams, and when they started.
class MovedPlatform : public FakePlatform {
public:
  using FakePlatform::FakePlatform;
  std::map<std::string, std::string> Addresses; ///< New ones by old ones.
  std::optional<int> Born;

  void list(const std::string &Kind, const std::string &Prefix,
            const std::string &After, OnList Done) override {
    FakePlatform::list(Kind, Prefix, After, this->moving(std::move(Done)));
  }
  void watch(const std::string &Kind, std::uint64_t Since, Duration Wait,
             OnList Done) override {
    FakePlatform::watch(Kind, Since, Wait, this->moving(std::move(Done)));
  }

private:
  OnList moving(OnList Done) {
    return [this, Done = std::move(Done)](const PlatformList &Read) {
      PlatformList Moved = Read;
      for (PlatformObject &Each : Moved.Objects)
        if (Each.Value.contains("address"))
          if (const auto New = this->Addresses.find(Each.Value["address"]);
              New != this->Addresses.end())
            Each.Value["address"] = New->second;
      for (PlatformObject &Each : Moved.Objects)
        if (this->Born && Each.Value.contains("born"))
          Each.Value["born"] = *this->Born;
      Done(Moved);
    };
  }
};

enum class CutKind { Refused, Silent };

class PartitionedGatewayTest : public testing::TestWithParam<CutKind> {
protected:
  static constexpr std::size_t Cut = 0; ///< Index of the gateway that is cut.

  struct Gateway {
    GatewaySettings Settings;
    std::unique_ptr<MovedPlatform> Api;
    std::unique_ptr<ForwardGateway> Process;
  };

  PartitionedGatewayTest() {
    this->Data->write({"config", "main"}, plainConfig());
    for (std::size_t I = 0; I < this->Gateways.size(); ++I) {
      Gateway &Each = this->Gateways[I];
      Each.Settings.NodeId = "n" + std::to_string(I);
      Each.Settings.IsFirstStart = true;
      Each.Settings.Zone = "z";
      Each.Settings.Callers = freeAddress();
      Each.Settings.Gossip = freeAddress();
      Each.Api = std::make_unique<MovedPlatform>(this->Data);
    }
    this->Lost.setDropping(true);
    for (int I = 0; I < 3; ++I)
      this->addUpstream("u" + std::to_string(I));
    for (Gateway &Each : this->Gateways) {
      for (const Gateway &Other : this->Gateways)
        Each.Settings.GossipSeeds.push_back(Other.Settings.Gossip);
      Each.Process = std::make_unique<ForwardGateway>(
          this->Loop, Each.Settings,
          GatewayParts{.Api = *Each.Api,
                       .Source = this->Reader,
                       .Codec = this->Codec,
                       .Feed = this->Feed,
                       .Orders = this->Orders});
      Each.Process->start();
    }
    this->PlatformTimer = this->Loop.timers().every(5ms, [this] {
      for (const Gateway &Each : this->Gateways)
        Each.Api->drain(40);
    });
  }
  ~PartitionedGatewayTest() override {
    this->PlatformTimer.disconnect();
    this->NeighbourTimer.disconnect();
  }

  void addUpstream(const std::string &Id) {
    const SocketAddress Address = freeAddress();
    this->Upstreams.push_back(std::make_unique<CallListener>(
        this->Loop, Address, CallerLimits{},
        [this](const std::shared_ptr<IncomingCall> &Call) {
          const std::string Id(
              Call->Head.Headers.find("Request-Id").value_or(""));
          ++this->Runs[Id];
          Call->begin(200, {{"Request-Id", Id}, {"Server-Stamp", "x"}});
          Call->write("answer");
          Call->finish();
        }));
    this->Gateways[Cut].Api->Addresses[Address.toString()] =
        (GetParam() == CutKind::Silent ? this->Lost.Address : freeAddress())
            .toString();
    this->Data->write({"servers", Id}, {{"service", "d"},
                                        {"address", Address.toString()},
                                        {"zone", "z"},
                                        {"version", "1"},
                                        {"slots", 50},
                                        {"state", "ready"},
                                        {"sequence", 1},
                                        {"born", 1}});
  }
  void wait(Duration Time) {
    this->Loop.runUntil([] { return false; }, Time);
  }

  std::unique_ptr<RawSocket> send(std::size_t Index, const std::string &Path) {
    auto Caller = std::make_unique<RawSocket>(
        RawSocket::connectTo(this->Gateways[Index].Settings.Callers));
    Caller->write("POST " + Path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: r" +
                  std::to_string(++this->Sent) +
                  "\r\nContent-Length: 0\r\n\r\n");
    return Caller;
  }
  /// Lets the neighbour have calls of its own, so that it hears the upstreams.
  void keepNeighbourBusy() {
    this->NeighbourTimer = this->Loop.timers().every(50ms, [this] {
      this->NeighbourCaller = this->send(1 - Cut, "/safe/n");
    });
  }

  /// Sends calls to the cut gateway. Returns how many were served, and how many
  /// were sent.
  std::pair<int, int> play(const std::string &Path, Duration Time) {
    std::vector<std::unique_ptr<RawSocket>> Callers;
    const TimePoint End = EventLoop::now() + Time;
    while (EventLoop::now() < End) {
      Callers.push_back(this->send(Cut, Path));
      this->wait(50ms);
    }
    this->wait(1500ms);
    int Served = 0;
    for (const auto &Each : Callers)
      Served += Each->read().starts_with("HTTP/1.1 200") &&
                Each->text().find("answer") != std::string::npos;
    return {Served, static_cast<int>(Callers.size())};
  }

  EventLoop Loop;
  std::array<Gateway, 2> Gateways;
  std::map<std::string, int> Runs; ///< Of calls, by id.

private:
  std::shared_ptr<FakeStore> Data = std::make_shared<FakeStore>();
  RawListener Lost; ///< Does not answer.
  const platform::ObjectReader Reader;
  const platform::CallHeaders Codec;
  NoStores Feed;
  NoOrders Orders;
  std::vector<std::unique_ptr<CallListener>> Upstreams;
  int Sent = 0;
  std::unique_ptr<RawSocket> NeighbourCaller;
  sigc::connection PlatformTimer;
  sigc::connection NeighbourTimer;
};

// Guards against callers who are not served by a gateway that is cut off while
// its neighbour reaches all upstreams.
TEST_P(PartitionedGatewayTest, CallersOfACutGatewayAreServed) {
  ASSERT_TRUE(this->Loop.runUntil(
      [this] {
        return this->Gateways[0].Process->isReady() &&
               this->Gateways[1].Process->isReady();
      },
      3s));
  this->keepNeighbourBusy();
  this->play("/safe/a", 1500ms);
  for (const char *Path : {"/safe/a", "/once/a"}) {
    const auto [Served, Calls] = this->play(Path, 1500ms);
    EXPECT_GE(Served, Calls - Calls / 10) << Path;
  }
  for (const auto &[Id, Count] : this->Runs)
    EXPECT_EQ(Count, 1) << Id;
}

// Guards against calls that run at another incarnation of an upstream than
// their gateway has chosen, whose software may differ: the helper knows a later
// one.
TEST_P(PartitionedGatewayTest, AnotherIncarnationOfAnUpstreamIsNotUsed) {
  this->Gateways[Cut].Api->Born = 0;
  ASSERT_TRUE(this->Loop.runUntil(
      [this] {
        return this->Gateways[0].Process->isReady() &&
               this->Gateways[1].Process->isReady();
      },
      3s));
  this->keepNeighbourBusy();
  this->play("/safe/a", 1500ms);
  const auto [Served, Calls] = this->play("/safe/a", 1500ms);
  EXPECT_GT(Calls, 0);
  EXPECT_EQ(Served, 0);
}

INSTANTIATE_TEST_SUITE_P(Cuts, PartitionedGatewayTest,
                         testing::Values(CutKind::Refused, CutKind::Silent),
                         [](const auto &Info) {
                           return Info.param == CutKind::Refused ? "Refused"
                                                                 : "Silent";
                         });

} // namespace
} // namespace galenaroute
