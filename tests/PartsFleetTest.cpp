// Tests that gateways free no stored part while another one may have it
// fetched, over several gateways, each with a connection of its own to the
// platform, and a store that sees frees.

#include "FakePlatform.h"
#include "LimitedUpstreams.h"
#include "RawSocket.h"
#include "platform/CallHeaders.h"
#include "platform/ObjectReader.h"
#include "process/ForwardGateway.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;
using nlohmann::json;

/// A store that holds the parts it is given, and the fetches that gateways
/// allowed engines.
class FakePartStore : public CacheFeed {
public:
  explicit FakePartStore(EventLoop &Loop) : Loop(Loop) {}
  ~FakePartStore() override {
    for (sigc::connection &Each : this->Timers)
      Each.disconnect();
  }

  static std::int64_t clockMs() {
    return toMilliseconds(BootClock::now().time_since_epoch());
  }
  void add(const std::string &Scope, const std::string &Part) {
    this->Log.push_back({true, Scope, Part, 2000});
  }
  void noteFetch(const std::string &Scope, std::int64_t UntilMs) {
    ++this->Fetches[Scope];
    std::int64_t &Until = this->InUseUntilMs[Scope];
    Until = std::max(Until, UntilMs);
  }

  void events(const SocketAddress &, std::uint64_t Since, Duration,
              OnBatch Done) override {
    this->answer(Since, std::move(Done), /*IsList=*/false);
  }
  void list(const SocketAddress &, OnBatch Done) override {
    this->answer(0, std::move(Done), /*IsList=*/true);
  }
  void
  free(const SocketAddress &, std::uint64_t,
       std::span<const std::pair<std::string, std::string>> Parts) override {
    for (const auto &[Scope, Part] : Parts) {
      ++this->Frees[Scope];
      if (this->InUseUntilMs[Scope] > clockMs())
        ++this->FreedInUse;
      this->Log.push_back({false, Scope, Part, 0});
    }
  }

  std::map<std::string, int> Fetches; ///< By scope.
  std::map<std::string, int> Frees;
  int FreedInUse = 0;

private:
  void answer(std::uint64_t Since, OnBatch Done, bool IsList) {
    this->Timers.push_back(this->Loop.timers().after(
        5ms, [this, Since, IsList, Done = std::move(Done)] {
          StoreEventBatch Batch{.Epoch = 1,
                                .Next = this->Log.size(),
                                .ClockMs = clockMs(),
                                .IsList = IsList};
          if (Since < this->Log.size())
            Batch.Events.assign(this->Log.begin() +
                                    static_cast<std::ptrdiff_t>(Since),
                                this->Log.end());
          Done(Batch);
        }));
  }

  EventLoop &Loop;
  std::vector<StoreEvent> Log;
  std::map<std::string, std::int64_t> InUseUntilMs;
  std::vector<sigc::connection> Timers;
};

/// Notes which parts each request lets an engine fetch.
class FetchCodec : public platform::CallHeaders {
public:
  explicit FetchCodec(FakePartStore &Store) : Store(Store) {}
  std::string writeRequest(const CallRequest &Call, const SendPlan &Plan,
                           std::string_view Body) const override {
    if (!Plan.Fetch.empty() && Plan.FetchUntilMs)
      this->Store.noteFetch(Plan.CacheScope, *Plan.FetchUntilMs);
    return CallHeaders::writeRequest(Call, Plan, Body);
  }

private:
  FakePartStore &Store;
};

class IdleOrders : public UpstreamOrders {
public:
  void observe(const SocketAddress &, OnObservation) override {}
  void send(const Order &, OnAnswer) override {}
};

json partsConfig(const SocketAddress &Store) {
  json Config = json::parse(R"({
    "version":1,
    "routes":[{"name":"r","host":"h","pathPrefix":"/chat/","kind":"safe",
      "timeoutMs":30000,"targetLatencyMs":20000,"priority":1,"service":"m",
      "maxAttempts":2,"public":true,"sticky":true}],
    "services":[
      {"name":"m","maxConns":400,"engine":{"slots":50,"kvCapacity":100000,
       "kvTokenBytes":1,"models":[{"name":"w"}]}},
      {"name":"kv","zone":"z","kvCapacity":1000000,"managed":true,
       "maxInflight":16,"engine":{}}]})");
  Config["services"][1].erase("engine");
  Config["services"][1]["kvStore"] = Store.toString();
  return Config;
}

class PartsFleetTest : public testing::Test {
protected:
  static constexpr Duration WeightsLimit = 4s;
  /// The scopes of versions 1 and 2.
  const std::string Old = scopeOf("w", 1, "");
  const std::string New = scopeOf("w", 2, "");

  struct Gateway {
    std::unique_ptr<FakePlatform> Api;
    GatewaySettings Settings;
    std::unique_ptr<ForwardGateway> Process;
  };

  void SetUp() override {
    this->Data->write({"config", "main"}, partsConfig(freeAddress()));
    this->name(1);
    this->announceEngine(1);
    for (const std::string &Scope : {Old, New})
      this->Store.add(Scope, "aa");
    this->Timer = this->Loop.timers().every(5ms, [this] {
      for (Gateway &Each : this->Gateways)
        Each.Api->drain(40);
    });
  }
  void TearDown() override { this->Timer.disconnect(); }

  void name(std::uint64_t Version) {
    this->Data->write({"versions", "w"},
                      {{"model", "w"}, {"version", Version}});
  }
  /// All engines are one upstream here, which is never ordered to load.
  void announceEngine(std::uint64_t Version) {
    this->Data->write({"servers", "e"},
                      {{"service", "m"},
                       {"address", this->Engine.address().toString()},
                       {"zone", "z"},
                       {"version", "1"},
                       {"slots", 50},
                       {"state", "ready"},
                       {"sequence", 1},
                       {"born", 1},
                       {"models", {{{"name", "w"}, {"version", Version}}}}});
  }
  /// Adds a gateway that hears of no other one and reads \p Data.
  Gateway &addGateway(const std::shared_ptr<FakeStore> &Data) {
    Gateway Added;
    Added.Api = std::make_unique<FakePlatform>(Data);
    Added.Settings.NodeId = "n" + std::to_string(this->Gateways.size());
    Added.Settings.Zone = "z";
    Added.Settings.Callers = freeAddress();
    Added.Settings.Gossip = freeAddress();
    Added.Settings.WeightsLimit = WeightsLimit;
    this->Gateways.push_back(std::move(Added));
    Gateway &Result = this->Gateways.back();
    Result.Process =
        std::make_unique<ForwardGateway>(this->Loop, Result.Settings,
                                         GatewayParts{.Api = *Result.Api,
                                                      .Source = this->Reader,
                                                      .Codec = this->Codec,
                                                      .Feed = this->Store,
                                                      .Orders = this->Orders});
    Result.Process->start();
    this->Loop.runUntil([&] { return Result.Process->isReady(); }, 1s);
    return Result;
  }
  void callThrough(const Gateway &Through) {
    RawSocket Caller(RawSocket::connectTo(Through.Settings.Callers));
    Caller.write("POST /chat/a HTTP/1.1\r\nHost: h\r\nRequest-Id: c" +
                 std::to_string(++this->Calls) +
                 "\r\nModel: w\r\nToken-Usage: 2100,5\r\n"
                 "Prompt-Prefix: aa:2000,bb:100\r\nDeadline-Ms: 5000\r\n"
                 "Content-Length: 0\r\n\r\n");
    this->Loop.runUntil([&] { return !Caller.read().empty(); }, 2s);
  }
  /// Sends one call after the other through \p Through.
  void callFor(Duration For, const Gateway &Through) {
    const TimePoint End = EventLoop::now() + For;
    while (EventLoop::now() < End) {
      this->callThrough(Through);
      this->Loop.runUntil([] { return false; }, 50ms);
    }
  }

  EventLoop Loop;
  FakePartStore Store{Loop};
  const FetchCodec Codec{Store};
  const platform::ObjectReader Reader{};
  IdleOrders Orders;
  std::shared_ptr<FakeStore> Data = std::make_shared<FakeStore>();
  LimitedUpstream Engine{Loop};
  std::deque<Gateway> Gateways;
  sigc::connection Timer;
  int Calls = 0;
};

// Guards against a right that ends although the platform answers.
TEST_F(PartsFleetTest, PartsOfPresentWeightsStayInUse) {
  Gateway &Only = this->addGateway(this->Data);
  this->callFor(WeightsLimit + 1s, Only);
  const int Before = this->Store.Fetches[Old];
  EXPECT_GT(Before, 0);
  this->callFor(500ms, Only);
  EXPECT_GT(this->Store.Fetches[Old], Before);
  EXPECT_EQ(this->Store.Frees[Old], 0);
}

// Guards against parts that are freed while a gateway that is cut off, and so
// does not hear of the newer weights, has them fetched.
TEST_F(PartsFleetTest, AGatewayThatIsCutOffStopsBeforePartsAreFreed) {
  this->addGateway(this->Data);
  Gateway &CutOff = this->addGateway(this->Data);
  this->callFor(500ms, CutOff);
  EXPECT_GT(this->Store.Fetches[Old], 0);
  CutOff.Api->Outage = true;
  this->name(2);
  this->announceEngine(2);
  this->callFor(WeightsLimit + 2s, CutOff);
  EXPECT_EQ(this->Store.FreedInUse, 0);
  EXPECT_GT(this->Store.Frees[Old], 0);
  EXPECT_EQ(this->Store.Frees[New], 0);
  const int Before = this->Store.Fetches[Old];
  this->callFor(300ms, CutOff);
  EXPECT_EQ(this->Store.Fetches[Old], Before);
}

// Guards against a gateway that has just started, knows of newer weights but of
// no engine yet, and frees the parts that all engines still use.
TEST_F(PartsFleetTest, AGatewayThatHasJustStartedFreesNothingInUse) {
  Gateway &Running = this->addGateway(this->Data);
  this->callFor(500ms, Running);
  this->name(2);
  const auto WithoutEngines = std::make_shared<FakeStore>(*this->Data);
  WithoutEngines->Objects.erase("servers");
  this->addGateway(WithoutEngines);
  this->callFor(WeightsLimit + 1s, Running);
  EXPECT_EQ(this->Store.FreedInUse, 0);
  EXPECT_GT(this->Store.Frees[Old], 0);
}

} // namespace
} // namespace galenaroute
