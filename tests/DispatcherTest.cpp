// Tests the choice of upstream and the time of dispatch in a daemon, with
// emulated engines and stores.

#include "EngineEmulator.h"
#include "StoreEmulator.h"

#include "process/Daemon.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using emulator::EngineEmulator;
using emulator::EngineSettings;
using nlohmann::json;

class DispatcherTest : public testing::Test {
protected:
  DispatcherTest() {
    this->Engine.DecodeStep = 2ms;
    this->Engine.LoadLag = 20ms;
    this->Engine.EventDelay = 20ms;
    this->Settings.Listen = {"127.0.0.1", 0};
    this->Settings.Advertise = {"127.0.0.1", 9};
    this->Settings.Zone = "a";
    this->Model.Name = this->Model.Model = "m";
    this->Model.WeightVersion = "v1";
    this->Model.Slots = static_cast<int>(this->Engine.Slots);
    this->Model.Deadline = 5s;
  }

  void start(int Engines) {
    for (int I = 0; I < Engines; ++I) {
      this->Systems.push_back(std::make_unique<EngineEmulator>(
          this->Loop, this->Http, this->Engine));
      this->Model.Upstreams.push_back(
          {"e" + std::to_string(I), this->serve(*this->Systems.back()), "a"});
    }
    auto Config = std::make_shared<Configuration>();
    Config->Epoch = 1;
    Config->Services = {{"m", this->Model}};
    Config->Stores = this->Stores;
    Config->Customers = {{"c", {"c", sha256Hex("key"), 1, 64}}};
    this->Source->set(Config);
    this->Node =
        DaemonBuilder(this->Loop, this->Settings).config(this->Source).build();
    this->To = {"127.0.0.1", this->Node->start()};
    // Wait for the first load reports.
    this->Loop.runUntil([] { return false; }, 150ms);
  }

  SocketAddress serve(emulator::Emulator &System) {
    this->Servers.push_back(std::make_unique<emulator::EmulatorServer>(
        this->Loop, System, SocketAddress{"127.0.0.1", 0}));
    return this->Servers.back()->address();
  }

  /// Sends a prompt and stores its result in Results[\p Id].
  void send(const std::string &Id, const std::string &Prompt, int Tokens) {
    const json Body = {{"prompt", Prompt}, {"max_tokens", Tokens}};
    this->Open.push_back(
        this->Http.start(HttpCallBuilder(this->To)
                             .post("/v1/completions", Body.dump())
                             .header("Authorization", "Bearer key")
                             .idleTimeout(20s)
                             .build(),
                         {.OnDone = [this, Id](const HttpResult &Result) {
                           this->Order.push_back(Id);
                           this->Results[Id] = Result;
                         }}));
  }
  HttpResult prompt(const std::string &Text, int Tokens = 4) {
    const std::string Id = "p" + std::to_string(this->Results.size());
    this->send(Id, Text, Tokens);
    EXPECT_TRUE(
        this->Loop.runUntil([&] { return this->Results.contains(Id); }, 20s));
    return this->Results[Id];
  }
  std::string kindOf(const HttpResult &Result) {
    return json::parse(Result.Body)["error"].value("kind", "");
  }
  HttpResult get(const SocketAddress &From, const std::string &Path) {
    std::optional<HttpResult> Last;
    const auto Exchange = this->Http.start(
        HttpCallBuilder(From).get(Path).build(),
        {.OnDone = [&](const HttpResult &Result) { Last = Result; }});
    this->Loop.runUntil([&] { return Last.has_value(); }, 5s);
    return Last.value_or(HttpResult{});
  }
  std::string timeline() { return this->get(this->To, "/v1/timeline").Body; }
  void post(std::size_t Engine, const std::string &Path, const json &Body) {
    bool IsDone = false;
    const auto Exchange = this->Http.start(
        HttpCallBuilder(this->Model.Upstreams[Engine].Address)
            .post(Path, Body.dump())
            .build(),
        {.OnDone = [&](const HttpResult &) { IsDone = true; }});
    EXPECT_TRUE(this->Loop.runUntil([&] { return IsDone; }, 5s));
  }

  EventLoop Loop;
  HttpClient Http{Loop};
  EngineSettings Engine;
  ServiceConfig Model;
  std::map<std::string, StoreConfig> Stores;
  DaemonSettings Settings;
  std::vector<std::unique_ptr<EngineEmulator>> Systems;
  std::vector<std::unique_ptr<emulator::EmulatorServer>> Servers;
  std::shared_ptr<FixedConfig> Source = std::make_shared<FixedConfig>();
  std::unique_ptr<Daemon> Node;
  SocketAddress To;
  std::vector<std::unique_ptr<HttpExchange>> Open;
  std::map<std::string, HttpResult> Results;
  std::vector<std::string> Order;
};

// Guards against short prompts queueing behind long ones: their reserved slots
// stay free regardless of the queue.
TEST_F(DispatcherTest, ShortPromptsDoNotWaitForLongOnes) {
  this->Model.Deadline = 60s;
  this->start(1);
  for (int I = 0; I < 12; ++I)
    this->send("long" + std::to_string(I),
               std::string(40000, static_cast<char>('a' + I)), 300);
  this->Loop.runUntil([] { return false; }, 100ms);
  const TimePoint Before = EventLoop::now();
  EXPECT_EQ(this->prompt("which bib?").Status, 200);
  EXPECT_LT(EventLoop::now() - Before, 500ms);
  EXPECT_TRUE(this->Order.size() < 5) << "most long ones still run or wait";
}

// Guards against queueing prompts until their deadline although they can't be
// answered in time.
TEST_F(DispatcherTest, RefusesAtOnceWhatCannotMeetItsDeadline) {
  this->Engine.Slots = 1;
  this->Model.Slots = 1;
  this->Engine.PrefillTokensPerSecond = 2000;
  this->start(1);
  for (int I = 0; I < 30; ++I)
    this->send("p" + std::to_string(I),
               std::string(8000, static_cast<char>('a' + I)), 4);
  this->Loop.runUntil([] { return false; }, 300ms);
  int Refused = 0;
  for (const auto &[Id, Result] : this->Results)
    if (Result.Status == 503) {
      ++Refused;
      EXPECT_EQ(this->kindOf(Result), "overloaded");
      EXPECT_TRUE(Result.Headers.find("Retry-After"));
    }
  EXPECT_GT(Refused, 10);
  ASSERT_TRUE(
      this->Loop.runUntil([&] { return this->Results.size() == 30; }, 20s));
  // Accepted prompts are answered, or refused when half of the time to their
  // deadline has passed.
  int Answered = 0;
  for (const auto &[Id, Result] : this->Results) {
    Answered += Result.Status == 200 ? 1 : 0;
    EXPECT_TRUE(Result.Status == 200 || this->kindOf(Result) == "overloaded")
        << Result.Body;
  }
  EXPECT_GE(Answered, 2);
}

// Guards against one prompt crashing every engine, including when its caller
// retries it.
TEST_F(DispatcherTest, RefusesAPromptThatCrashedTwoEngines) {
  this->start(4);
  for (std::size_t I = 0; I < 4; ++I)
    this->post(I, "/admin/fault",
               {{"crash_marker", "poison"}, {"crash_restart_ms", 20000}});
  for (int I = 0; I < 3; ++I) {
    const HttpResult Result = this->prompt("poison pill", 50);
    EXPECT_NE(Result.Status, 200);
    EXPECT_TRUE(I == 0 || this->kindOf(Result) == "crashes_upstreams")
        << Result.Body;
  }
  int Alive = 0;
  for (std::size_t I = 0; I < 4; ++I) {
    const HttpResult Load =
        this->get(this->Model.Upstreams[I].Address, "/v1/load");
    Alive += Load.isSuccess() ? 1 : 0;
  }
  EXPECT_GE(Alive, 2);
  EXPECT_EQ(this->prompt("an innocent question").Status, 200);
}

// Guards against recomputing a repeated prompt whose blocks are in a store, and
// against reusing its blocks for another weight version.
TEST_F(DispatcherTest, ReturningPromptsAreImportedFromAStore) {
  emulator::StoreEmulator Store(this->Loop, {});
  this->Stores = {{"s", {"s", this->serve(Store), "a", 1000}}};
  this->Model.DependsOn = {"s"};
  this->Engine.PrefillTokensPerSecond = 10000;
  this->start(2);
  const std::string Handbook(20 * BlockBytes, 'h');
  EXPECT_EQ(this->prompt(Handbook + "first").Status, 200);
  std::size_t Stored = 0;
  for (int I = 0; I < 100 && Stored < 20; ++I) {
    this->Loop.runUntil([] { return false; }, 50ms);
    Stored =
        json::parse(this->get(this->Stores["s"].Address, "/v1/blocks").Body)
            .at("blocks")
            .size();
  }
  ASSERT_EQ(Stored, 20U);
  // A crash clears the engines' caches.
  for (const auto &System : this->Systems)
    System->crash(0ms);
  // An idle gateway polls for cache events once per second, and lists blocks
  // after that.
  this->Loop.runUntil([] { return false; }, 3s);
  EXPECT_EQ(this->prompt(Handbook + "second").Status, 200);
  std::uint64_t Violations = 0, Cached = 0;
  for (const UpstreamConfig &Each : this->Model.Upstreams) {
    const json Stats =
        json::parse(this->get(Each.Address, "/admin/stats").Body);
    Violations += Stats.value("cache_violations", 0);
    Cached += Stats.value("cached_tokens", 0);
  }
  // The first run has no cache hits; the second recomputes no full block.
  EXPECT_EQ(Cached, 20000U) << this->timeline();
  EXPECT_EQ(Violations, 0U);
}

// Guards against refusing or delaying requests while weights are replaced, and
// against using cache blocks of one weight version with another.
TEST_F(DispatcherTest, ServesWithTheBlocksOfTheWeightsThatAnUpstreamHas) {
  this->start(1);
  const std::string Handbook(3 * BlockBytes, 'h');
  const auto CachedTokens = [&] {
    const HttpResult Result = this->prompt(Handbook + "which bib?");
    EXPECT_EQ(Result.Status, 200) << this->timeline();
    return json::parse(Result.Body)["usage"]["prompt_tokens_details"].value(
        "cached_tokens", -1);
  };
  EXPECT_EQ(CachedTokens(), 0);
  auto Next = std::make_shared<Configuration>(*this->Source->current());
  Next->Epoch = 2;
  Next->Services["m"].WeightVersion = "v2";
  this->Source->set(Next);
  // The engine still runs v1, so the blocks of v1 are valid.
  EXPECT_EQ(CachedTokens(), 3 * static_cast<int>(BlockTokens));
  this->post(0, "/v1/orders", {{"fence", 1}, {"weight_version", "v2"}});
  ASSERT_TRUE(this->Loop.runUntil(
      [&] {
        return json::parse(
                   this->get(this->Model.Upstreams[0].Address, "/v1/orders")
                       .Body)["weight_version"] == "v2";
      },
      5s));
  EXPECT_EQ(CachedTokens(), 0);
  EXPECT_EQ(CachedTokens(), 3 * static_cast<int>(BlockTokens));
  EXPECT_EQ(
      json::parse(
          this->get(this->Model.Upstreams[0].Address, "/admin/stats").Body)
          .value("cache_violations", -1),
      0);
}

// Guards against control traffic of idle gateways: digests every 100 ms and
// polls of each engine caused 15 to 22 KB/s per daemon.
TEST_F(DispatcherTest, AnIdleGatewaySendsNoDigestsAndPollsRarely) {
  this->start(1);
  EXPECT_EQ(this->prompt("which bib?").Status, 200);
  // The gateway counts as idle 2 s after its last request.
  this->Loop.runUntil([] { return false; }, 2500ms);
  int Digests = 0;
  this->Node->dispatcher().LoadDigest.connect([&](const json &) { ++Digests; });
  const auto PollCount = [this] {
    return static_cast<int>(this->Node->dispatcher().polls());
  };
  const int Before = PollCount();
  this->Loop.runUntil([] { return false; }, 2s);
  EXPECT_EQ(Digests, 0);
  // Load reports and cache events are each polled once per 0.75 to 1.25 s.
  EXPECT_LE(PollCount() - Before, 8);
  EXPECT_GE(PollCount() - Before, 2);
  this->send("long", std::string(40000, 'a'), 200);
  EXPECT_TRUE(this->Loop.runUntil([&] { return Digests > 0; }, 1s));
}

// Guards against digests that another daemon can't decode, and against
// malformed digests changing any state.
TEST_F(DispatcherTest, DigestsRoundTripAndMalformedOnesThrow) {
  this->start(1);
  json Load;
  this->Node->dispatcher().LoadDigest.connect(
      [&](const json &Body) { Load = Body; });
  this->send("a", std::string(40000, 'a'), 200);
  ASSERT_TRUE(this->Loop.runUntil(
      [&] {
        return Load.is_object() && !Load["services"]["m"]["work"].empty();
      },
      5s));
  Dispatcher &Dispatch = this->Node->dispatcher();
  const int Before = Dispatch.status()["m"]["upstreams"]["e0"]["outstanding"];
  Dispatch.onLoadDigest("peer", Load);
  EXPECT_EQ(Dispatch.status()["m"]["upstreams"]["e0"]["outstanding"],
            Before + 1);
  EXPECT_ANY_THROW(Dispatch.onLoadDigest("peer", json::object()));
  EXPECT_ANY_THROW(Dispatch.onLoadDigest(
      "peer", json::parse(R"({"services":{"m":{"work":[["e0",1,2]],)"
                          R"("use":[]}}})")));
  EXPECT_ANY_THROW(Dispatch.onCrashDigest(
      json::parse(R"({"signatures":[["zz",["e0"],5]]})")));
  EXPECT_EQ(Dispatch.status()["m"]["upstreams"]["e0"]["outstanding"],
            Before + 1);
}

} // namespace
} // namespace galenaroute
