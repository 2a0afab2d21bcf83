// Streams of upstreams with two software versions before two gateways, each
// with its own connection to the platform.

#include "GatewayFleet.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;

/// A connection of one process to the platform that may be cut.
class CutPlatform : public FakePlatform {
public:
  using FakePlatform::FakePlatform;
  bool IsCut = false;       ///< Calls are not answered.
  bool DropsWrites = false; ///< Writes are not answered.

  void get(const ObjectKey &Key, OnResult Done) override {
    if (!this->IsCut)
      FakePlatform::get(Key, std::move(Done));
  }
  void put(const ObjectKey &Key, const nlohmann::json &Value,
           std::uint64_t IfVersion, OnResult Done) override {
    if (!this->IsCut && !this->DropsWrites)
      FakePlatform::put(Key, Value, IfVersion, std::move(Done));
  }
  void list(const std::string &Kind, const std::string &Prefix,
            const std::string &After, OnList Done) override {
    if (!this->IsCut)
      FakePlatform::list(Kind, Prefix, After, std::move(Done));
  }
  void watch(const std::string &Kind, std::uint64_t Since, Duration Wait,
             OnList Done) override {
    if (!this->IsCut)
      FakePlatform::watch(Kind, Since, Wait, std::move(Done));
  }
};

class SoftwareVersionsFleetTest : public testing::Test {
protected:
  struct Gateway {
    GatewaySettings Settings;
    std::unique_ptr<CutPlatform> Api;
    std::unique_ptr<ForwardGateway> Process;
  };
  /// A call that an upstream has read.
  struct Arrival {
    std::string Version;
    std::string Id;
    std::string Resumes;
  };

  SoftwareVersionsFleetTest() {
    nlohmann::json Config = plainConfig();
    Config["routes"].push_back(
        nlohmann::json::parse(R"({"name":"stream","host":"h",
          "pathPrefix":"/stream/","kind":"stream","resumable":true,
          "timeoutMs":9000,"targetLatencyMs":200,"priority":1,"service":"d",
          "maxAttempts":2,"public":true})"));
    this->Data->write({"config", "main"}, Config);
    for (std::size_t I = 0; I < this->Gateways.size(); ++I) {
      GatewaySettings &Each = this->Gateways[I].Settings;
      Each.NodeId = "n" + std::to_string(I);
      Each.IsFirstStart = true;
      Each.Zone = "z";
      Each.Callers = freeAddress();
      Each.Gossip = freeAddress();
    }
    for (Gateway &Each : this->Gateways)
      for (const Gateway &Other : this->Gateways)
        Each.Settings.GossipSeeds.push_back(Other.Settings.Gossip);
    for (std::size_t I = 0; I < this->Gateways.size(); ++I)
      this->start(I);
    this->PlatformTimer = this->Loop.timers().every(5ms, [this] {
      for (const Gateway &Each : this->Gateways)
        Each.Api->drain(40);
    });
  }
  ~SoftwareVersionsFleetTest() override { this->PlatformTimer.disconnect(); }

  /// Starts a gateway, or restarts it with no state.
  void start(std::size_t Index) {
    Gateway &Each = this->Gateways[Index];
    Each.Process.reset();
    Each.Api = std::make_unique<CutPlatform>(this->Data);
    Each.Process =
        std::make_unique<ForwardGateway>(this->Loop, Each.Settings,
                                         GatewayParts{.Api = *Each.Api,
                                                      .Source = this->Reader,
                                                      .Codec = this->Codec,
                                                      .Feed = this->Feed,
                                                      .Orders = this->Orders});
    Each.Process->start();
  }
  void awaitReady() {
    ASSERT_TRUE(this->Loop.runUntil(
        [this] {
          return this->Gateways[0].Process->isReady() &&
                 this->Gateways[1].Process->isReady();
        },
        3s));
    this->wait(600ms);
  }
  void wait(Duration Time) {
    this->Loop.runUntil([] { return false; }, Time);
  }

  /// Starts an upstream and registers it. It begins each stream with an event.
  void addUpstream(const std::string &Id, const std::string &Version) {
    const SocketAddress Address = freeAddress();
    this->Upstreams.push_back(std::make_unique<CallListener>(
        this->Loop, Address, CallerLimits{},
        [this, Version](const std::shared_ptr<IncomingCall> &Call) {
          const auto Field = [&](std::string_view Name) {
            return std::string(Call->Head.Headers.find(Name).value_or(""));
          };
          this->Arrivals.push_back(
              {Version, Field("Request-Id"), Field("Resumes")});
          Call->begin(200, {{"Request-Id", Field("Request-Id")},
                            {"Server-Stamp", "x"}});
          Call->write("id: 1\ndata: a\n\n");
          this->Open.push_back(Call);
        }));
    this->Data->write({"servers", Id}, {{"service", "d"},
                                        {"address", Address.toString()},
                                        {"zone", "z"},
                                        {"version", Version},
                                        {"slots", 50},
                                        {"state", "ready"},
                                        {"sequence", 1},
                                        {"born", 1}});
  }

  /// Sends a call for a stream. Returns its id.
  std::string sendStream(std::size_t Index, const std::string &More = "") {
    std::string Id = "r" + std::to_string(++this->Sent);
    this->Callers.push_back(std::make_unique<RawSocket>(
        RawSocket::connectTo(this->Gateways[Index].Settings.Callers)));
    this->Callers.back()->write("POST /stream/a HTTP/1.1\r\nHost: h\r\n"
                                "Request-Id: " +
                                Id + "\r\nContent-Length: 0\r\n" + More +
                                "\r\n");
    return Id;
  }

  /// Sends streams to a gateway until one has begun at an upstream of
  /// \p Version. Returns its id, or nothing after \p Limit.
  std::optional<std::string>
  beginStreamAt(std::size_t Index, const std::string &Version, Duration Limit) {
    const TimePoint End = EventLoop::now() + Limit;
    while (EventLoop::now() < End) {
      this->sendStream(Index);
      this->wait(50ms);
      for (const Arrival &Each : this->Arrivals)
        if (Each.Version == Version)
          return Each.Id;
    }
    return std::nullopt;
  }

  /// Takes up the stream \p Id at a gateway. Returns the version of the
  /// upstream that it goes on at, or nothing if it is refused.
  std::optional<std::string> takeUp(std::size_t Index, const std::string &Id) {
    const std::string Own =
        this->sendStream(Index, "Last-Event-Id: 1\r\nResumes: " + Id + "\r\n");
    const auto Found = [&] {
      return std::find_if(this->Arrivals.begin(), this->Arrivals.end(),
                          [&](const Arrival &Each) { return Each.Id == Own; });
    };
    this->Loop.runUntil(
        [&] {
          return Found() != this->Arrivals.end() ||
                 !this->Callers.back()->read().empty();
        },
        3s);
    return Found() == this->Arrivals.end() ? std::nullopt
                                           : std::optional(Found()->Version);
  }

  EventLoop Loop;
  std::shared_ptr<FakeStore> Data = std::make_shared<FakeStore>();
  std::array<Gateway, 2> Gateways;
  std::vector<Arrival> Arrivals;

private:
  const platform::ObjectReader Reader;
  const platform::CallHeaders Codec;
  NoStores Feed;
  NoOrders Orders;
  std::vector<std::unique_ptr<CallListener>> Upstreams;
  std::vector<std::shared_ptr<IncomingCall>> Open;
  std::vector<std::unique_ptr<RawSocket>> Callers;
  std::size_t Sent = 0;
  sigc::connection PlatformTimer;
};

// Guards against a stream that goes on at the only version that a gateway knows
// while another one has registered since it last reached the platform.
TEST_F(SoftwareVersionsFleetTest, AnUnseenVersionIsNotJoined) {
  this->addUpstream("u1", "1");
  this->awaitReady();
  this->Gateways[1].Api->IsCut = true;
  this->wait(50ms); // For calls that were sent before.
  this->addUpstream("u2", "2");
  const auto Begun = this->beginStreamAt(0, "2", 6s);
  ASSERT_TRUE(Begun);
  EXPECT_EQ(this->takeUp(1, *Begun), std::nullopt);
}

// Guards against streams of a version that no other process can know of once
// the gateway that began them is gone.
TEST_F(SoftwareVersionsFleetTest, AVersionIsUsedOnlyOnceItIsStored) {
  this->addUpstream("u1", "1");
  this->awaitReady();
  for (const Gateway &Each : this->Gateways)
    Each.Api->DropsWrites = true;
  this->addUpstream("u2", "2");
  EXPECT_EQ(this->beginStreamAt(0, "2", 4s), std::nullopt);
}

// Guards against an upstream that is left out for good.
TEST_F(SoftwareVersionsFleetTest, ANewVersionIsUsedSoon) {
  this->addUpstream("u1", "1");
  this->awaitReady();
  this->addUpstream("u2", "2");
  EXPECT_TRUE(this->beginStreamAt(0, "2", 4s));
}

// Guards against streams that gateways of a build which stores its sets
// elsewhere, and no records of a single version, began before a gateway of this
// build starts: all were refused for 65 s.
TEST_F(SoftwareVersionsFleetTest, AStreamOfAnEarlierBuildIsTakenUp) {
  this->Data->write({"stream-versions", eraName("service.d", 0)},
                    {{"service", "d"}, {"versions", {"1"}}, {"written_ms", 1}});
  for (std::size_t I = 0; I < this->Gateways.size(); ++I) {
    this->Gateways[I].Settings.IsFirstStart = false;
    this->start(I);
  }
  this->addUpstream("u1", "1");
  this->awaitReady();
  EXPECT_EQ(this->takeUp(1, "begun-before"), "1");
}

// Guards against a stream that is refused although one version serves.
TEST_F(SoftwareVersionsFleetTest, AStreamOfTheOnlyVersionIsTakenUpAnywhere) {
  this->addUpstream("u1", "1");
  this->awaitReady();
  const auto Begun = this->beginStreamAt(0, "1", 2s);
  ASSERT_TRUE(Begun);
  EXPECT_EQ(this->takeUp(1, *Begun), "1");
}

} // namespace
} // namespace galenaroute
