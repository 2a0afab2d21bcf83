// Tests of LoadPoller and of the report decoders, against the emulators.

#include "EngineEmulator.h"
#include "ServiceEmulator.h"
#include "StoreEmulator.h"

#include "process/LoadPoller.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using emulator::EngineEmulator;
using emulator::EngineSettings;
using nlohmann::json;

const TimePoint Start{1000s};

const std::vector<std::string> GoodReports{
    R"({"age_ms":200,"running":3,"queued":1,"queued_tokens":900,"slots":8,)"
    R"("free_blocks":4,"weight_version":"v1","prefill_tokens_per_second":2e4})",
    R"({"seq":7,"first":5,"events":[{"seq":7,"op":"add","key":"00"}]})",
    R"({"seq":7,"keys":["00"]})", R"({"blocks":[{"key":"00"}],"more":true})"};

// Guards against a corrupted report that crashes the daemon, or whose numbers
// make an upstream look infinitely fast or empty.
RC_GTEST_PROP(ReportsProperty, CorruptedReportsAreBoundedOrDropped, ()) {
  std::string Text = *rc::gen::elementOf(GoodReports);
  const int Changes = *rc::gen::inRange(1, 6);
  for (int I = 0; I < Changes; ++I)
    Text[*rc::gen::inRange<std::size_t>(0, Text.size())] = *rc::gen::element(
        '-', '9', 'e', '"', '{', '}', '[', ']', ',', '\0', '\xff', 'n');
  if (const auto Report = parseLoadReport(Text, Start)) {
    RC_ASSERT(Report->QueuedTokens >= 0 && Report->QueuedTokens <= 1e12);
    RC_ASSERT(Report->PrefillTokensPerSecond >= 0);
    RC_ASSERT(Report->Running >= 0 && Report->Slots >= 0);
    RC_ASSERT(Report->SampledAt <= Start);
  }
  (void)parseCacheEvents(Text);
  (void)parseBlockListing(Text);
}

// Guards against decoders that reject well-formed reports.
TEST(ReportsTest, DecodesWellFormedReports) {
  const auto Report = parseLoadReport(GoodReports[0], Start);
  ASSERT_TRUE(Report);
  EXPECT_EQ(Report->SampledAt, Start - 200ms);
  EXPECT_EQ(Report->Running, 3);
  EXPECT_EQ(Report->PrefillTokensPerSecond, 20000);
  EXPECT_EQ(parseCacheEvents(GoodReports[1])->First, 5U);
  EXPECT_EQ(parseBlockListing(GoodReports[2])->Seq, 7U);
  EXPECT_TRUE(parseBlockListing(GoodReports[3])->More);
  EXPECT_FALSE(parseLoadReport(R"({"age_ms":-1})", Start));
  EXPECT_FALSE(parseLoadReport(R"({"running":1e300})", Start));
}

class LoadPollerTest : public testing::Test {
protected:
  SocketAddress serve(emulator::Emulator &System) {
    this->Servers.push_back(std::make_unique<emulator::EmulatorServer>(
        this->Loop, System, SocketAddress{"127.0.0.1", 0}));
    return this->Servers.back()->address();
  }
  HttpResult post(const SocketAddress &To, const std::string &Path,
                  const json &Body) {
    std::optional<HttpResult> Last;
    const auto Exchange = this->Http.start(
        HttpCallBuilder(To).post(Path, Body.dump()).build(),
        {.OnDone = [&](const HttpResult &Result) { Last = Result; }});
    EXPECT_TRUE(this->Loop.runUntil([&] { return Last.has_value(); }, 10s));
    return Last.value_or(HttpResult{});
  }
  /// Runs a prompt of whole blocks and returns their keys.
  std::vector<BlockKey> prompt(const SocketAddress &To, const std::string &Id,
                               char Letter) {
    const std::string Text(3 * BlockBytes, Letter);
    auto Keys = blockKeys({"c", "m", "v1", ""}, Text);
    json Hex = json::array();
    for (const BlockKey &Key : Keys)
      Hex.push_back(toHex(Key));
    EXPECT_TRUE(this->post(To, "/v1/generate",
                           {{"attempt", Id},
                            {"customer", "c"},
                            {"prompt", Text},
                            {"block_keys", Hex},
                            {"prompt_tokens", 3000},
                            {"max_tokens", 1},
                            {"weight_version", "v1"}})
                    .isSuccess());
    return Keys;
  }
  std::size_t blocksAt(std::string_view Holder,
                       std::span<const BlockKey> Keys) {
    for (const HeldPrefix &Held : heldPrefixes(this->Index, Keys))
      if (Held.Holder == Holder)
        return Held.Blocks;
    return 0;
  }

  EventLoop Loop;
  HttpClient Http{Loop};
  RandomGenerator Generator{1};
  CacheIndex Index;
  LoadPollerSettings Settings{.LoadPeriod = 20ms,
                              .EventPeriod = 30ms,
                              .StorePeriod = 50ms,
                              .RelistDelay = 50ms,
                              .Timeout = 200ms};
  std::vector<std::unique_ptr<emulator::EmulatorServer>> Servers;
};

// Guards against cache hints that stay wrong when events are late or lost, and
// against repeated listings because late events look like a restart.
TEST_F(LoadPollerTest, FollowsAnEngineWhoseEventsAreLateAndHaveGaps) {
  EngineSettings Engine;
  Engine.DecodeStep = 1ms;
  Engine.EventDelay = 100ms;
  Engine.EventGapShare = 0.5;
  EngineEmulator System(this->Loop, this->Http, Engine);
  const SocketAddress To = this->serve(System);
  LoadPoller Poller(this->Loop, this->Http, this->Index, this->Generator,
                    this->Settings);
  int Loads = 0;
  Poller.Loaded.connect(
      [&](const std::string &Name, const LoadReport &Report, Duration) {
        EXPECT_EQ(Name, "e");
        EXPECT_EQ(Report.Slots, 8);
        ++Loads;
      });
  Poller.setTargets({{"e", To, PollKind::Engine}});
  std::vector<std::vector<BlockKey>> Prompts;
  for (const char Letter : {'a', 'b', 'c', 'd'})
    Prompts.push_back(this->prompt(To, std::string(32, Letter), Letter));
  EXPECT_TRUE(this->Loop.runUntil(
      [&] {
        for (const auto &Keys : Prompts)
          if (this->blocksAt("e", Keys) != Keys.size())
            return false;
        return Loads > 3;
      },
      5s));
  EXPECT_TRUE(
      this->Loop.runUntil([&] { return !needsListing(this->Index, "e"); }, 5s));
  const auto Generation = this->Index.Holders.at("e").Generation;
  this->Loop.runUntil([] { return false; }, 300ms);
  EXPECT_EQ(this->Index.Holders.at("e").Generation, Generation);
  // A restart empties the cache.
  System.crash(0ms);
  EXPECT_TRUE(this->Loop.runUntil(
      [&] { return this->blocksAt("e", Prompts[0]) == 0; }, 5s));
  EXPECT_EQ(Poller.malformed(), 0U);
}

// Guards against stores that are never listed, and against cache hints of
// holders that were removed from the configuration.
TEST_F(LoadPollerTest, ListsStoresAndDropsRemovedTargets) {
  EngineSettings Engine;
  Engine.DecodeStep = 1ms;
  EngineEmulator System(this->Loop, this->Http, Engine);
  emulator::StoreEmulator Store(this->Loop, {});
  emulator::ServiceEmulator Service(this->Loop, {});
  const SocketAddress EngineAt = this->serve(System);
  const SocketAddress StoreAt = this->serve(Store);
  const auto Keys = this->prompt(EngineAt, std::string(32, 'a'), 'a');
  json Hex = json::array();
  for (const BlockKey &Key : Keys)
    Hex.push_back(toHex(Key));
  EXPECT_TRUE(this->post(EngineAt, "/v1/kv/export",
                         {{"store", StoreAt.toString()}, {"keys", Hex}})
                  .isSuccess());
  LoadPoller Poller(this->Loop, this->Http, this->Index, this->Generator,
                    this->Settings);
  bool HasPlainReport = false;
  Poller.Loaded.connect([&](const std::string &Name, const LoadReport &,
                            Duration) { HasPlainReport |= Name == "p"; });
  Poller.setTargets({{"s", StoreAt, PollKind::Store},
                     {"p", this->serve(Service), PollKind::Plain}});
  EXPECT_TRUE(this->Loop.runUntil(
      [&] {
        return HasPlainReport && this->blocksAt("s", Keys) == Keys.size();
      },
      5s));
  Poller.setTargets({});
  EXPECT_TRUE(heldPrefixes(this->Index, Keys).empty());
}

// Guards against calls piling up at an upstream that does not answer, and
// against an entry's polling load growing with the number of upstreams.
TEST_F(LoadPollerTest, CallsAreBounded) {
  HttpServer Unresponsive{this->Loop, {}};
  std::vector<std::shared_ptr<HttpReply>> Held;
  Unresponsive.handle(
      [&](const HttpRequest &, std::shared_ptr<HttpReply> Reply) {
        Held.push_back(std::move(Reply));
      });
  const SocketAddress To{"127.0.0.1", Unresponsive.listen({"127.0.0.1", 0})};
  this->Settings.MaxCallsPerSecond = 100;
  LoadPoller Poller(this->Loop, this->Http, this->Index, this->Generator,
                    this->Settings);
  std::vector<PollTarget> Targets;
  Targets.reserve(50);
  for (int I = 0; I < 50; ++I)
    Targets.push_back({"p" + std::to_string(I), To, PollKind::Plain});
  Poller.setTargets(Targets);
  this->Loop.runUntil([] { return false; }, 1s);
  // Once each at the start, then 100 per second.
  EXPECT_LE(Poller.calls(), 50U + 120U);
  EXPECT_GE(Poller.calls(), 60U);
}

} // namespace
} // namespace galenaroute
