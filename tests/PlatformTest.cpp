// Tests of the adapter between the outside platform's protocol and galenaroute.

#include "platform/CallHeaders.h"
#include "platform/EngineCalls.h"
#include "platform/ObjectReader.h"
#include "platform/Settings.h"
#include "platform/SettingsReload.h"
#include "process/ErrorKind.h"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace galenaroute::platform {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

HttpHead headOf(HttpHeaders Headers) {
  HttpHead Head;
  Head.Method = "POST";
  Head.Target = "/a/b?c";
  Head.Headers = std::move(Headers);
  return Head;
}

TEST(CallHeadersTest, ReadsACall) {
  const CallHeaders Codec;
  const CallRequest Call =
      Codec.readRequest(headOf({{"host", "h"},
                                {"Request-Id", "9c"},
                                {"Model", "m"},
                                {"Prompt-Prefix", "5c1e:800,91bd:410,e440:250"},
                                {"Deadline-Ms", "1500"},
                                {"Last-Event-Id", "12"},
                                {"Authorization", "Bearer key"},
                                {"Connection", "close, X-Hop, Model"},
                                {"X-Hop", "1"},
                                {"Cache-Salt", "evil"}}));
  EXPECT_EQ(Call.Id, "9c");
  EXPECT_EQ(Call.Host, "h");
  EXPECT_EQ(Call.Key, "key");
  EXPECT_EQ(Call.path(), "/a/b");
  EXPECT_EQ(Call.TimeLeft, 1500ms);
  EXPECT_EQ(Call.ResumeAfter, 12U);
  ASSERT_EQ(Call.Parts.size(), 3U);
  EXPECT_EQ(Call.Parts[1].Id, "91bd");
  EXPECT_EQ(Call.Parts[1].Tokens, 410U);
  EXPECT_EQ(lastSharedPart(Call.Parts), "91bd");
  EXPECT_EQ(Call.ForwardedHeaders.find("Model"), "m")
      << "a field that identifies a call is never treated as hop-by-hop";
  EXPECT_FALSE(Call.ForwardedHeaders.find("X-Hop"));
  EXPECT_FALSE(Call.ForwardedHeaders.find("Cache-Salt"));
  EXPECT_FALSE(Call.ForwardedHeaders.find("Authorization"));
}

TEST(CallHeadersTest, RejectsRepeatedAndMalformedFields) {
  const CallHeaders Codec;
  EXPECT_THROW(
      Codec.readRequest(headOf({{"Request-Id", "a"}, {"request-id", "b"}})),
      Error);
  EXPECT_THROW(Codec.readRequest(headOf({{"Prompt-Prefix", "5c1e"}})), Error);
  EXPECT_THROW(Codec.readRequest(headOf({{"Prompt-Prefix", "5c:1x"}})), Error);
}

TEST(CallHeadersTest, WritesTheGatewaysFields) {
  const CallHeaders Codec;
  CallRequest Call = Codec.readRequest(
      headOf({{"Host", "h"}, {"Request-Id", "9c"}, {"Deadline-Ms", "900"}}));
  SendPlan Plan;
  Plan.Instance = "i-7";
  Plan.Customer = "c";
  Plan.TimeLeft = 812ms;
  Plan.WeightVersion = 3;
  Plan.CacheScope = "w3";
  Plan.Fetch = {{"10.0.0.1:80", 800}, {}, {}};
  Plan.FetchUntilMs = 5000;
  Plan.Save = {{}, {"10.0.0.2:80", 0}, {}};
  const std::string Text = Codec.writeRequest(Call, Plan, "xyz");
  for (const char *Line :
       {"POST /a/b?c HTTP/1.1\r\n", "Request-Id: 9c\r\n",
        "Deadline-Ms: 812\r\n", "Expect-Instance: i-7\r\n", "Tenant: c\r\n",
        "Expect-Version: 3\r\n", "Cache-Salt: w3\r\n",
        "Kv-Fetch: 10.0.0.1:80/800,-,-\r\n", "Kv-Until: 5000\r\n",
        "Kv-Save: -,10.0.0.2:80,-\r\n", "Content-Length: 3\r\n"})
    EXPECT_NE(Text.find(Line), std::string::npos) << Line << Text;
  EXPECT_EQ(Text.find("Deadline-Ms: 900"), std::string::npos);
  EXPECT_TRUE(Text.ends_with("\r\n\r\nxyz"));
}

TEST(CallHeadersTest, ReadsAResponse) {
  HttpHead Head = headOf({{"Request-Id", "9c"},
                          {"Server-Stamp", "s"},
                          {"Server-Load", "3,1,8,250"},
                          {"Weight-Versions", "4"},
                          {"Keep-Alive", "timeout=5"}});
  Head.Status = 200;
  const CallAnswer Answer = CallHeaders().readAnswer(Head);
  EXPECT_TRUE(Answer.IsSigned);
  EXPECT_FALSE(Answer.NotRun);
  ASSERT_TRUE(Answer.Load);
  EXPECT_EQ(Answer.Load->Running, 3);
  EXPECT_EQ(Answer.Load->Waiting, 1);
  EXPECT_DOUBLE_EQ(Answer.Load->Slowdown, 2.5);
  EXPECT_EQ(Answer.WeightVersion, 4U);
  EXPECT_TRUE(Answer.ForwardedHeaders.find("Server-Stamp"));
  EXPECT_FALSE(Answer.ForwardedHeaders.find("Keep-Alive"));
  EXPECT_FALSE(Answer.ForwardedHeaders.find("Server-Load"));
}

// Guards against a garbled load report: an infinite slowdown made the shares of
// all upstreams NaN, also for later calls.
TEST(CallHeadersTest, AGarbledLoadIsNoLoad) {
  for (const char *Load :
       {"0,0,8,inf", "0,0,8,1e300", "0,0,8,nan", "1e300,0,8,100",
        "-1e9,0,8,100", "0,-1,8,100", "x,0,8", "0,0"}) {
    HttpHead Head = headOf({{"Server-Load", Load}});
    Head.Status = 200;
    EXPECT_FALSE(CallHeaders().readAnswer(Head).Load) << Load;
  }
}

const char *const ConfigText = R"({"version":7,"routes":[
 {"name":"r1","host":"h","pathPrefix":"/a/","kind":"stream","timeoutMs":12000,
  "targetLatencyMs":400,"priority":1,"service":"m","maxAttempts":2,
  "public":false,"sticky":true,"resumable":true,"gapAimMs":300},
 {"name":"r2","host":"h","pathPrefix":"/b/","kind":"unsafe","timeoutMs":800,
  "split":[{"service":"m","weight":90},{"service":"d","weight":10}],
  "maxAttempts":1}],
 "services":[
 {"name":"k","kvStore":"172.20.0.6:8006","zone":"z","kvCapacity":288932,
  "maxInflight":12,"managed":true,"first_ms":0.5},
 {"name":"m","maxConns":620,"engine":{"slots":128,"kvCapacity":213382,
  "kvTokenBytes":18432,"models":[{"name":"daka"}]}},
 {"name":"d","maxConns":100}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
  "headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1,"isolated":true}]})";

TEST(ObjectReaderTest, ReadsAConfiguration) {
  ForwardConfig Config = configFromJson(json::parse(ConfigText));
  Config.index();
  EXPECT_EQ(Config.Version, 7U);
  const ForwardRoute *Stream = findRoute(Config, "h", "/a/x");
  ASSERT_NE(Stream, nullptr);
  EXPECT_EQ(Stream->Repeat, Repeatability::Resumable);
  EXPECT_TRUE(Stream->CarriesPrompt);
  EXPECT_EQ(Stream->GapTarget, 300ms);
  const ForwardRoute *Once = findRoute(Config, "h", "/b/");
  EXPECT_EQ(Once->Repeat, Repeatability::Once);
  EXPECT_EQ(Once->Services.size(), 2U);
  EXPECT_EQ(Config.Services.at("m").Engine->Model, "daka");
  EXPECT_EQ(Config.Services.at("k").Store->Latency, 500us);
  EXPECT_TRUE(findCustomer(Config, "k2")->IsIsolated);
  EXPECT_EQ(findCustomer(Config, "k3"), nullptr);
}

// Guards against a weight that is no positive number and makes shares infinite
// or the configuration unreadable.
TEST(ObjectReaderTest, ReadsWeightsOfCustomers) {
  json Value = json::parse(ConfigText);
  const auto WeightOf = [&](const json &Given) {
    Value["tenants"][0]["weight"] = Given;
    ForwardConfig Config = configFromJson(Value);
    Config.index();
    EXPECT_EQ(Config.HasWeights, Config.Customers[0].Weight.has_value());
    return Config.Customers[0].Weight;
  };
  EXPECT_EQ(WeightOf(2.5), 2.5);
  for (const json &Bad : {json(0), json(-1), json("2"), json(nullptr)})
    EXPECT_EQ(WeightOf(Bad), std::nullopt) << Bad;
}

// Guards against retrying a stream that must not run twice.
TEST(ObjectReaderTest, AStreamThatCannotBeResumedRunsOnce) {
  json Value = json::parse(ConfigText);
  Value["routes"][0]["resumable"] = false;
  EXPECT_EQ(configFromJson(Value).Routes[0].Repeat, Repeatability::Once);
}

json serverEntry() {
  return json::parse(
      R"({"service":"m","address":"10.128.0.9:8080","zone":"z","version":"v1",
  "slots":128,"state":"ready","coldLeftMs":0,"born":1789733162082,
  "models":[{"name":"daka","version":1,"adapters":[]}],"sequence":4})");
}

// Guards against registry entries with missing or mistyped fields, which other
// writers may create: they must be skipped.
TEST(ObjectReaderTest, SkipsMalformedServerEntries) {
  const ObjectReader Reader;
  EXPECT_TRUE(
      Reader.readUpstream({.Key = {"servers", "i-1"}, .Value = serverEntry()}));
  for (const char *Key : {"service", "address", "zone", "slots", "state"}) {
    json Missing = serverEntry();
    Missing.erase(Key);
    EXPECT_FALSE(
        Reader.readUpstream({.Key = {"servers", "i-1"}, .Value = Missing}))
        << Key;
    json Wrong = serverEntry();
    Wrong[Key] = json::object();
    EXPECT_FALSE(
        Reader.readUpstream({.Key = {"servers", "i-1"}, .Value = Wrong}))
        << Key;
  }
  json State = serverEntry();
  State["state"] = "sleeping";
  EXPECT_FALSE(
      Reader.readUpstream({.Key = {"servers", "i-1"}, .Value = State}));
  json Born = serverEntry();
  Born["born"] = "yesterday";
  EXPECT_FALSE(Reader.readUpstream({.Key = {"servers", "i-1"}, .Value = Born}));
  EXPECT_FALSE(
      Reader.readUpstream({.Key = {"servers", "i-1"}, .Value = json("bytes")}));
}

// Guards against a decoder that throws, and so ends the process, on a damaged
// object.
RC_GTEST_PROP(ObjectReaderProperty, DamagedObjectsDoNotThrow, ()) {
  std::string Text =
      *rc::gen::element(std::string(ConfigText), serverEntry().dump());
  const auto At = *rc::gen::inRange<std::size_t>(0, Text.size());
  Text[At] = *rc::gen::inRange<char>(32, 126);
  const json Value = json::parse(Text, nullptr, false);
  const ObjectReader Reader;
  Reader.readConfig({.Key = {"config", "main"}, .Value = Value});
  Reader.readUpstream({.Key = {"servers", "i"}, .Value = Value});
  Reader.readWeights({.Key = {"versions", "m"}, .Value = Value});
}

TEST(EngineCallsTest, ReadsCacheContents) {
  const StoreEventBatch Events = readCacheBatch(
      R"({"epoch":77120,"next":120,"lost":true,"clock_ms":5000.5,
  "events":[[119,"+","s1","5c1e07a2",800,"m"],[120,"-","s1","91bd",0,"m"]]})",
      false);
  EXPECT_EQ(Events.Epoch, 77120U);
  EXPECT_TRUE(Events.HasGap);
  EXPECT_EQ(Events.ClockMs, 5000);
  ASSERT_EQ(Events.Events.size(), 2U);
  EXPECT_TRUE(Events.Events[0].IsAdded);
  EXPECT_EQ(Events.Events[0].Scope, "s1");
  EXPECT_FALSE(Events.Events[1].IsAdded);
  const StoreEventBatch List = readCacheBatch(
      R"({"epoch":1,"next":2,"held":[["s1","5c",800,"m"]],"partial":[]})",
      true);
  EXPECT_TRUE(List.IsList);
  EXPECT_EQ(List.Events.at(0).Tokens, 800U);
}

// Guards against a response that lacks its rows, or has rows of another shape,
// being taken for an empty store.
TEST(EngineCallsTest, RefusesMalformedCacheContents) {
  for (const std::string Text :
       {"", "[]", "{}", R"({"epoch":1,"next":2})",
        R"({"epoch":1,"next":2,"events":{}})",
        R"({"epoch":1,"next":2,"events":[1]})",
        R"({"epoch":1,"next":2,"events":[[1,"+","s",2,3]]})",
        R"({"epoch":1,"next":2,"events":[[1,"+","s","p",3],]})",
        R"({"epoch":1,"next":2,"events":[],"events":[]})",
        R"({"epoch":"x","next":2,"events":[]})",
        R"({"epoch":1,"next":2,"events":[[1,"+","s","p",3])"})
    EXPECT_THROW(readCacheBatch(Text, false), std::exception) << Text;
}

const std::string SettingsText = R"(node = "n1"
ipAddr = "10.1.0.40"
zone = "derwent"
internalPorts = [7700,7715]
seedAddrs = ["10.1.0.40:8000","10.2.0.37:8000"]
[listen]
front = "10.1.0.40:8005"
ready = "10.1.0.40:8002"
directory = "10.1.0.40:8009"
[limits]
cpuShare = 0.25
cpuCores = 1
maxFds = 4100
[bounds]
graceS = 8
retryBudgetRatio = 0.2
budgetSlack = 54
requireFencing = false
leaseMs = 3000
versionMs = 15000
ttl_max_s = 5
[platform]
address = "10.200.1.7:8007"
unknown = "ignored"
)";

TEST(SettingsTest, ReadsTheFile) {
  const PlatformSettings Settings = parseSettings(SettingsText);
  EXPECT_EQ(Settings.Gateway.NodeId, "n1");
  EXPECT_EQ(Settings.Gateway.Gossip.toString(), "10.1.0.40:7700");
  ASSERT_EQ(Settings.Gateway.GossipSeeds.size(), 2U);
  EXPECT_EQ(Settings.Gateway.GossipSeeds[1].toString(), "10.2.0.37:7700");
  EXPECT_EQ(Settings.Store.toString(), "10.200.1.7:8007");
  EXPECT_EQ(Settings.Gateway.Grace, 8s);
  EXPECT_EQ(Settings.AddressTtl, 2s);
}

// Guards against a daemon that pays for watching evacuations where no zone is
// evacuated, and against a limit that takes effect without its watch.
TEST(SettingsTest, ZonesAreEvacuatedOnlyWithTheBound) {
  EXPECT_FALSE(parseSettings(SettingsText).Gateway.EvacuationLimit);
  std::string Text = SettingsText;
  Text.replace(Text.find("leaseMs"), 0, "evacuateMs = 5000\n");
  PlatformSettings Next = parseSettings(Text);
  EXPECT_EQ(Next.Gateway.EvacuationLimit, 5s);
  retainRestartOnlySettings(Next, parseSettings(SettingsText));
  EXPECT_FALSE(Next.Gateway.EvacuationLimit);
}

// Guards against a change for deployments without a bound for cold upstreams.
TEST(SettingsTest, ColdUpstreamsAreBoundedOnlyWithTheBound) {
  EXPECT_FALSE(parseSettings(SettingsText).Gateway.HasColdBound);
  std::string Text = SettingsText;
  const std::size_t At = Text.find("leaseMs");
  Text.replace(At, 0, "coldOverage = 1.5\ncoldSlack = 5\n");
  EXPECT_TRUE(parseSettings(Text).Gateway.HasColdBound);
  Text.replace(Text.find("coldSlack = 5"), 13, "coldSlack = -1");
  EXPECT_THROW(parseSettings(Text), Error);
}

// Guards against an error message that does not tell the operator which setting
// to change and which values are allowed.
TEST(SettingsTest, ErrorNamesTheSettingAndTheAllowedRange) {
  std::string Text = SettingsText;
  Text.replace(Text.find("cpuShare = 0.25"), 15, "cpuShare = -1  ");
  try {
    parseSettings(Text);
    FAIL();
  } catch (const Error &Failure) {
    const std::string Message = Failure.what();
    EXPECT_NE(Message.find("limits.cpuShare"), std::string::npos) << Message;
    EXPECT_NE(Message.find("-1"), std::string::npos) << Message;
    EXPECT_NE(Message.find("0.001 to 1024"), std::string::npos) << Message;
  }
  EXPECT_THROW(parseSettings("node = 5"), Error);
  EXPECT_THROW(parseSettings("not toml at all = = ="), Error);
}

// Guards against limits on clients that are required, or taken without a check.
TEST(SettingsTest, LimitsOnClientsAreOptionalAndChecked) {
  const std::string Text(SettingsText);
  const PlatformSettings Default = parseSettings(Text);
  EXPECT_EQ(Default.Gateway.Door.MaxFields, 256U);
  EXPECT_EQ(Default.Gateway.Door.GiveWayAfter, std::chrono::seconds(1));
  const PlatformSettings Stated =
      parseSettings(Text + "\n[door]\nmaxFields = 40\nmaxListItems = 50\n"
                           "giveWayMs = 60\n");
  EXPECT_EQ(Stated.Gateway.Door.MaxFields, 40U);
  EXPECT_EQ(Stated.Gateway.Door.MaxListItems, 50U);
  EXPECT_EQ(Stated.Gateway.Door.GiveWayAfter, std::chrono::milliseconds(60));
  for (const char *const Bad :
       {"maxFields = 1", "maxListItems = \"many\"", "giveWayMs = 0"})
    EXPECT_THROW(parseSettings(Text + "\n[door]\n" + Bad + "\n"), Error) << Bad;
}

/// Provides a settings file that the tests rewrite.
class SettingsReloadTest : public testing::Test {
protected:
  SettingsReloadTest() {
    this->write(SettingsText);
    this->Reload.check("start");
  }
  ~SettingsReloadTest() override { std::remove(this->Path.c_str()); }
  void write(const std::string &Text) const {
    std::ofstream(this->Path) << Text;
  }
  static std::string with(const std::string &Old, const std::string &New) {
    std::string Text = SettingsText;
    Text.replace(Text.find(Old), Old.size(), New);
    return Text;
  }

  EventLoop Loop;
  const std::string Path =
      testing::TempDir() + "settings-" + std::to_string(getpid()) + ".toml";
  std::vector<PlatformSettings> Applied;
  SettingsReload Reload{
      Loop, this->Path, parseSettings(SettingsText),
      [this](const PlatformSettings &Next) { this->Applied.push_back(Next); }};
};

// Guards against a change that takes effect only after a restart.
TEST_F(SettingsReloadTest, AppliesAChangeWithAndWithoutASignal) {
  EXPECT_TRUE(this->Applied.empty());
  this->write(with("graceS = 8", "graceS = 6"));
  this->Reload.check("signal");
  ASSERT_EQ(this->Applied.size(), 1U);
  EXPECT_EQ(this->Applied[0].Gateway.Grace, 6s);
  this->write(with("graceS = 8", "graceS = 5"));
  ASSERT_TRUE(
      this->Loop.runUntil([&] { return this->Applied.size() == 2; }, 3s));
  EXPECT_EQ(this->Applied[1].Gateway.Grace, 5s);
  this->Reload.check("signal");
  EXPECT_EQ(this->Applied.size(), 2U) << "nothing has changed";
}

// Guards against a half-written, missing or invalid file that changes some of
// the settings in force.
TEST_F(SettingsReloadTest, ABadFileChangesNothingAndIsReadAgain) {
  this->write(SettingsText.substr(0, SettingsText.size() / 2));
  this->Reload.check("signal");
  std::string Wrong = with("graceS = 8", "graceS = 6");
  Wrong.replace(Wrong.find("cpuShare = 0.25"), 15, "cpuShare = -1  ");
  this->write(Wrong);
  this->Reload.check("signal");
  std::remove(this->Path.c_str());
  this->Reload.check("signal");
  EXPECT_TRUE(this->Applied.empty());
  EXPECT_EQ(this->Reload.inForce().Gateway.Grace, 8s);
  this->write(with("graceS = 8", "graceS = 6"));
  this->Reload.check("signal");
  EXPECT_EQ(this->Applied.size(), 1U);
}

// Guards against applying a new address or node id to a process whose sockets
// are already bound.
TEST_F(SettingsReloadTest, KeepsSettingsThatNeedARestart) {
  std::string Text = with("graceS = 8", "graceS = 6");
  Text.replace(Text.find("node = \"n1\""), 11, "node = \"n2\"");
  this->write(Text);
  this->Reload.check("signal");
  ASSERT_EQ(this->Applied.size(), 1U);
  EXPECT_EQ(this->Applied[0].Gateway.NodeId, "n1");
  EXPECT_EQ(this->Applied[0].Gateway.Grace, 6s);
}

// Guards against ignoring an upstream's Retry-After, and against an unbounded
// pause because of a garbled number.
TEST(CallHeadersTest, ReadsRetryAfterAndServerLeaving) {
  const CallHeaders Codec;
  const auto Read = [&](int Status, HttpHeaders Headers) {
    HttpHead Head = headOf(std::move(Headers));
    Head.Status = Status;
    return Codec.readAnswer(Head);
  };
  EXPECT_EQ(Read(503, {{"Retry-After", "1.5"}}).PauseFor, 1500ms);
  EXPECT_EQ(Read(503, {{"Retry-After", "1e300"}}).PauseFor, 5min);
  EXPECT_EQ(Read(503, {{"Retry-After", "nan"}}).PauseFor, 1s);
  EXPECT_EQ(Read(503, {{"Retry-After", "-3"}}).PauseFor, 1s);
  EXPECT_EQ(
      Read(503, {{"Retry-After", "Fri, 04 Dec 2026 10:00:00 GMT"}}).PauseFor,
      1s);
  EXPECT_EQ(Read(503, {}).PauseFor, std::nullopt);
  EXPECT_EQ(Read(200, {{"Retry-After", "2"}}).PauseFor, std::nullopt);
  const CallAnswer Leaving = Read(200, {{"Server-Leaving", "1"}});
  EXPECT_TRUE(Leaving.IsLeaving);
  EXPECT_FALSE(Leaving.ForwardedHeaders.find("Server-Leaving"));
  EXPECT_FALSE(Read(200, {}).IsLeaving);
}

// Guards against ignoring a stated rate limit, passing it on to callers, and
// excluding an upstream because of a garbled number.
TEST(CallHeadersTest, ReadsTheRateLimitOfAnUpstream) {
  const CallHeaders Codec;
  const auto Read = [&](const std::string &Value) {
    HttpHead Head = headOf({{"Server-Limit", Value}});
    Head.Status = 200;
    return Codec.readAnswer(Head);
  };
  EXPECT_EQ(Read("2.5").RateLimit, 2.5);
  EXPECT_EQ(Read("0").RateLimit, 0.0);
  EXPECT_FALSE(Read("2.5").ForwardedHeaders.find("Server-Limit"));
  for (const char *Garbled : {"", "nan", "inf", "-1", "2,5", "many"})
    EXPECT_EQ(Read(Garbled).RateLimit, std::nullopt) << Garbled;
  EXPECT_EQ(Codec.readAnswer(headOf({})).RateLimit, std::nullopt);
}

// Guards against ignoring that an upstream is brittle, passing it on to
// callers, and a bound from a garbled number.
TEST(CallHeadersTest, ReadsThatAnUpstreamIsBrittle) {
  const CallHeaders Codec;
  const auto Read = [&](const std::string &Value) {
    return Codec.readAnswer(headOf({{"Server-Brittle", Value}}));
  };
  EXPECT_EQ(Read("6").MaxRefusalsPerSecond, 6);
  EXPECT_EQ(Read("0").MaxRefusalsPerSecond, 0);
  EXPECT_EQ(Read("1e300").MaxRefusalsPerSecond, 1000000);
  EXPECT_FALSE(Read("6").ForwardedHeaders.find("Server-Brittle"));
  for (const char *Garbled : {"", "nan", "-1", "many"})
    EXPECT_EQ(Read(Garbled).MaxRefusalsPerSecond, std::nullopt) << Garbled;
  EXPECT_EQ(Codec.readAnswer(headOf({})).MaxRefusalsPerSecond, std::nullopt);
}

TEST(CallHeadersTest, AHugeDeadlineDoesNotOverflow) {
  const CallHeaders Codec;
  EXPECT_EQ(Codec.readRequest(headOf({{"Deadline-Ms", "1e300"}})).TimeLeft,
            24h);
  EXPECT_EQ(Codec.readRequest(headOf({{"Deadline-Ms", "nan"}})).TimeLeft,
            std::nullopt);
  EXPECT_EQ(Codec.readRequest(headOf({{"Deadline-Ms", "-5"}})).TimeLeft,
            std::nullopt);
}

} // namespace
} // namespace galenaroute::platform
