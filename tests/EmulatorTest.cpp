// Tests of the emulators: what the other tests rely on when they use them.

#include "EngineEmulator.h"
#include "GeneratedText.h"
#include "PlatformEmulator.h"
#include "RawSocket.h"
#include "ServiceEmulator.h"
#include "StoreEmulator.h"
#include "WeightStoreEmulator.h"

#include "connection/PlatformClient.h"

#include <gtest/gtest.h>

namespace galenaroute::emulator {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

class EmulatorTest : public testing::Test {
protected:
  SocketAddress serve(Emulator &System) {
    this->Servers.push_back(std::make_unique<EmulatorServer>(
        this->Loop, System, SocketAddress{"127.0.0.1", 0}));
    return this->Servers.back()->address();
  }

  HttpResult call(HttpCall Call) {
    std::optional<HttpResult> Last;
    const auto Exchange = this->Client.start(
        std::move(Call),
        {.OnDone = [&](const HttpResult &Result) { Last = Result; }});
    EXPECT_TRUE(this->Loop.runUntil([&] { return Last.has_value(); }, 10s));
    return Last.value_or(HttpResult{});
  }
  HttpResult get(const SocketAddress &To, const std::string &Path) {
    return this->call(HttpCallBuilder(To).get(Path).build());
  }
  HttpResult post(const SocketAddress &To, const std::string &Path,
                  const json &Body) {
    return this->call(HttpCallBuilder(To).post(Path, Body.dump()).build());
  }

  EventLoop Loop;
  HttpClient Client{Loop};
  std::vector<std::unique_ptr<EmulatorServer>> Servers;
};

EngineSettings fastEngine() {
  EngineSettings Result;
  Result.DecodeStep = 2ms;
  Result.EventDelay = 0ms;
  Result.LoadLag = 0ms;
  return Result;
}

json prompt(const std::string &Attempt, const std::string &Text, int Tokens) {
  return {{"attempt", Attempt},
          {"customer", "a"},
          {"prompt", Text},
          {"max_tokens", Tokens},
          {"weight_version", "v1"}};
}

/// Joins the text of the lines and returns the last line in \p Done.
std::string joinLines(const std::string &Body, json &Done) {
  std::istringstream Lines(Body);
  std::string Result;
  for (std::string Line; std::getline(Lines, Line);) {
    Done = json::parse(Line);
    Result += Done.value("text", "");
  }
  return Result;
}

// Guards against an answer that depends on more than the prompt, with which
// no test could tell whether a caller got the whole right answer.
TEST_F(EmulatorTest, EngineAnswersWithTheTextOfThePrompt) {
  EngineEmulator Engine(this->Loop, this->Client, fastEngine());
  const SocketAddress To = this->serve(Engine);
  const HttpResult Result =
      this->post(To, "/v1/generate", prompt("x", "hello", 20));
  json Done;
  EXPECT_EQ(joinLines(Result.Body, Done), wholeAnswer("hello", 20));
  EXPECT_EQ(Done.value("finish", ""), "stop");
  EXPECT_EQ(Done.value("tokens", 0), 20);
}

// Guards against a stream that cannot be resumed, or by another customer.
TEST_F(EmulatorTest, EngineResumesAStreamForItsCustomerOnly) {
  EngineEmulator Engine(this->Loop, this->Client, fastEngine());
  const SocketAddress To = this->serve(Engine);
  auto First = this->Client.start(
      HttpCallBuilder(To)
          .post("/v1/generate", prompt("x", "hello", 30).dump())
          .build(),
      {});
  this->Loop.runUntil([] { return false; }, 30ms);
  First.reset();
  EXPECT_EQ(this->get(To, "/v1/attempts/x?offset=7&customer=b").Status, 404);
  const HttpResult Rest = this->get(To, "/v1/attempts/x?offset=7&customer=a");
  json Done;
  const std::string Head = wholeAnswer("hello", 7);
  EXPECT_EQ(Head + joinLines(Rest.Body, Done), wholeAnswer("hello", 30));
}

// Guards against reused blocks of other content going unnoticed.
TEST_F(EmulatorTest, EngineCachesPrefixesAndReportsEvents) {
  EngineSettings Settings = fastEngine();
  Settings.CacheBlocks = 3;
  EngineEmulator Engine(this->Loop, this->Client, Settings);
  const SocketAddress To = this->serve(Engine);
  const std::string Text(8200, 'p');
  json Body = prompt("x", Text, 1);
  Body["block_keys"] = {"k1", "k2"};
  json Done;
  joinLines(this->post(To, "/v1/generate", Body).Body, Done);
  EXPECT_EQ(Done.value("cached_tokens", -1), 0);
  Body["attempt"] = "y";
  joinLines(this->post(To, "/v1/generate", Body).Body, Done);
  EXPECT_EQ(Done.value("cached_tokens", -1), 2000);
  // Two more blocks evict one of the first two.
  Body["attempt"] = "z";
  Body["prompt"] = std::string(8000, 'q');
  Body["block_keys"] = {"k3", "k4"};
  this->post(To, "/v1/generate", Body);
  const json Events = json::parse(this->get(To, "/v1/cache/events").Body);
  EXPECT_EQ(Events["events"].size(), 5U);
  // The same keys with another customer's prompt are a violation.
  Body["attempt"] = "v";
  Body["customer"] = "b";
  this->post(To, "/v1/generate", Body);
  const json Stats = json::parse(this->get(To, "/admin/stats").Body);
  EXPECT_GT(Stats["cache_violations"], 0);
}

// Guards against orders of a superseded holder taking effect.
TEST_F(EmulatorTest, EngineLoadsWeightsAndChecksFences) {
  WeightStoreEmulator Weights(this->Loop, {.LoadTime = 100ms, .FreeLoads = 1});
  EngineSettings Settings = fastEngine();
  Settings.Orders.WeightStore = this->serve(Weights);
  EngineEmulator Engine(this->Loop, this->Client, Settings);
  const SocketAddress To = this->serve(Engine);
  EXPECT_EQ(
      this->post(To, "/v1/orders", {{"fence", 5}, {"weight_version", "v2"}})
          .Status,
      200);
  EXPECT_EQ(this->post(To, "/v1/orders", {{"fence", 4}}).Status, 412);
  EXPECT_EQ(this->post(To, "/v1/generate", prompt("x", "p", 1)).Status, 409);
  EXPECT_TRUE(this->Loop.runUntil(
      [&] {
        return json::parse(
                   this->get(To, "/v1/orders").Body)["weight_version"] == "v2";
      },
      5s));
}

// Guards against a crash that leaves connections or memory behind.
TEST_F(EmulatorTest, EngineCrashesOnAMarkedPromptAndComesBack) {
  EngineEmulator Engine(this->Loop, this->Client, fastEngine());
  const SocketAddress To = this->serve(Engine);
  this->post(To, "/admin/fault",
             {{"crash_marker", "boom"},
              {"crash_delay_ms", 5},
              {"crash_restart_ms", 100}});
  EXPECT_EQ(this->post(To, "/v1/generate", prompt("x", "boom", 500)).End,
            HttpEnd::Cut);
  EXPECT_FALSE(this->get(To, "/v1/load").isSuccess());
  EXPECT_TRUE(this->Loop.runUntil(
      [&] { return this->get(To, "/v1/load").isSuccess(); }, 5s));
  EXPECT_TRUE(this->post(To, "/v1/generate", prompt("x", "ok", 5)).isSuccess());
}

// Guards against a crash that comes before the answer instead of inside it.
TEST_F(EmulatorTest, EngineCrashesInsideTheFirstLineOfAMarkedPrompt) {
  EngineEmulator Engine(this->Loop, this->Client, fastEngine());
  const SocketAddress To = this->serve(Engine);
  for (const double Share : {0.0, 1.0}) {
    this->post(To, "/admin/fault",
               {{"crash_marker", "boom"},
                {"crash_at_answer", true},
                {"crash_restart_ms", 100},
                {"unframed_share", Share}});
    const HttpResult Result =
        this->post(To, "/v1/generate", prompt("x", "boom", 500));
    EXPECT_EQ(Result.Status, 200);
    EXPECT_FALSE(Result.Body.empty());
    EXPECT_EQ(Result.Body.find('\n'), std::string::npos);
    EXPECT_TRUE(this->Loop.runUntil(
        [&] { return this->get(To, "/v1/load").isSuccess(); }, 5s));
  }
}

// Guards against streams without framing that are framed after all, or whose
// connection stays open behind them.
TEST_F(EmulatorTest, EngineStreamsWithoutFraming) {
  EngineSettings Settings = fastEngine();
  Settings.UnframedShare = 1;
  EngineEmulator Engine(this->Loop, this->Client, Settings);
  const SocketAddress To = this->serve(Engine);
  RawSocket Caller(RawSocket::connectTo(To));
  const std::string Body = prompt("x", "hello", 20).dump();
  Caller.write("POST /v1/generate HTTP/1.1\r\nHost: h\r\nConnection: "
               "keep-alive\r\nContent-Length: " +
               std::to_string(Body.size()) + "\r\n\r\n" + Body);
  ASSERT_TRUE(this->Loop.runUntil([&] { return Caller.hasEnded(); }, 5s));
  const std::string &Text = Caller.read();
  const std::size_t Head = Text.find("\r\n\r\n");
  ASSERT_NE(Head, std::string::npos);
  EXPECT_EQ(Text.substr(0, Head).find("Content-Length"), std::string::npos);
  EXPECT_EQ(Text.substr(0, Head).find("chunked"), std::string::npos);
  json Done;
  EXPECT_EQ(joinLines(Text.substr(Head + 4), Done), wholeAnswer("hello", 20));
  EXPECT_EQ(Done.value("finish", ""), "stop");
}

// Guards against a stream that breaks off between two lines, where nothing
// shows that it is not whole, and against a run that ends with it.
TEST_F(EmulatorTest, EngineBreaksStreamsOffInsideALine) {
  EngineEmulator Engine(this->Loop, this->Client, fastEngine());
  const SocketAddress To = this->serve(Engine);
  for (const double Share : {0.0, 1.0}) {
    this->post(To, "/admin/fault",
               {{"broken_off_share", 1}, {"unframed_share", Share}});
    const std::string Attempt = Share > 0 ? "unframed" : "chunked";
    const HttpResult Broken =
        this->post(To, "/v1/generate", prompt(Attempt, "hello", 20));
    EXPECT_EQ(Broken.End, Share > 0 ? HttpEnd::Complete : HttpEnd::Cut);
    const std::size_t Line = Broken.Body.find('\n');
    ASSERT_NE(Line, std::string::npos);
    EXPECT_EQ(json::parse(Broken.Body.substr(0, Line)).at("offset"), 0);
    EXPECT_GT(Broken.Body.size(), Line + 1);
    EXPECT_EQ(Broken.Body.find('\n', Line + 1), std::string::npos);
    this->post(To, "/admin/fault", {{"broken_off_share", 0}});
    const HttpResult Rest =
        this->get(To, "/v1/attempts/" + Attempt + "?offset=1&customer=a");
    json Done;
    EXPECT_EQ(wholeAnswer("hello", 1) + joinLines(Rest.Body, Done),
              wholeAnswer("hello", 20));
  }
}

// Guards against one short prompt waiting for the whole of a long one.
TEST(BatchTest, SharesPrefillAndStartsByPriority) {
  BatchState State{.Slots = 2, .MaxQueued = 2};
  EXPECT_TRUE(enqueue(State, {.Id = "long", .Uncached = 1000, .MaxTokens = 1}));
  EXPECT_TRUE(enqueue(State, {.Id = "short", .Uncached = 10, .MaxTokens = 2}));
  startWaiting(State);
  EXPECT_TRUE(enqueue(
      State, {.Id = "late", .Priority = 1, .Uncached = 10, .MaxTokens = 1}));
  EXPECT_TRUE(enqueue(
      State, {.Id = "early", .Priority = 2, .Uncached = 10, .MaxTokens = 1}));
  EXPECT_FALSE(enqueue(State, {.Id = "over"}));
  const std::vector<BatchEvent> Events = step(State, 100);
  ASSERT_EQ(Events.size(), 2U);
  EXPECT_EQ(Events[1].Id, "short");
  EXPECT_DOUBLE_EQ(findRunning(State, "long")->Uncached, 910);
  step(State, 100);
  EXPECT_EQ(startWaiting(State), std::vector<std::string>{"early"});
}

// Guards against a torn block entering an engine's cache.
TEST_F(EmulatorTest, KvBlocksMoveThroughAStore) {
  EngineSettings Settings = fastEngine();
  EngineEmulator Source(this->Loop, this->Client, Settings);
  EngineEmulator Target(this->Loop, this->Client, Settings);
  StoreEmulator Store(this->Loop, {});
  const SocketAddress From = this->serve(Source);
  const SocketAddress To = this->serve(Target);
  const SocketAddress At = this->serve(Store);
  json Body = prompt("x", std::string(8000, 'p'), 1);
  Body["block_keys"] = {"k1", "k2"};
  this->post(From, "/v1/generate", Body);
  // The second block is torn in the store, and must not be imported.
  const json Transfer = {{"store", At.toString()}, {"keys", {"k1"}}};
  this->post(From, "/v1/kv/export", Transfer);
  this->post(At, "/admin/fault", {{"partial_writes", 1}});
  this->post(From, "/v1/kv/export",
             {{"store", At.toString()}, {"keys", {"k2"}}});
  const json Result = json::parse(
      this->post(To, "/v1/kv/import",
                 {{"store", At.toString()}, {"keys", {"k1", "k2", "k3"}}})
          .Body);
  EXPECT_EQ(Result["imported"], json({"k1"}));
  EXPECT_EQ(Result["bad"], json({"k2"}));
  EXPECT_EQ(Result["missing"], json({"k3"}));
}

// Guards against a store that keeps a block whose digest does not match.
TEST_F(EmulatorTest, StoreChecksDigestsAndFills) {
  StoreEmulator Store(this->Loop, {.MemoryBytes = 10, .DiskBytes = 10});
  const SocketAddress To = this->serve(Store);
  const auto Put = [&](const std::string &Key, const std::string &Content,
                       const std::string &Digest) {
    return this
        ->call(HttpCallBuilder(To)
                   .put("/v1/blocks/" + Key, Content)
                   .header("X-Length", std::to_string(Content.size()))
                   .header("X-Digest", Digest)
                   .header("X-Generation", "1")
                   .build())
        .Status;
  };
  const std::string Content = "12345678";
  EXPECT_EQ(Put("a", Content, "bad"), 400);
  for (const char *Key : {"a", "b", "c"})
    EXPECT_EQ(Put(Key, Content, sha256Hex(Content)), 200);
  EXPECT_EQ(this->get(To, "/v1/blocks/a").Status, 404);
  EXPECT_EQ(this->get(To, "/v1/blocks/b").Body, Content);
  this->post(To, "/admin/fault", {{"fill", true}});
  EXPECT_EQ(Put("d", Content, sha256Hex(Content)), 507);
}

class PlatformEmulatorTest : public EmulatorTest {
protected:
  PlatformResult put(const ObjectKey &Key, const json &Value,
                     std::uint64_t IfVersion) {
    std::optional<PlatformResult> Last;
    this->Api.put(Key, Value, IfVersion,
                  [&](const PlatformResult &Result) { Last = Result; });
    EXPECT_TRUE(this->Loop.runUntil([&] { return Last.has_value(); }, 5s));
    return Last.value_or(PlatformResult{});
  }

  PlatformResult remove(const ObjectKey &Key, std::uint64_t IfVersion) {
    std::optional<PlatformResult> Last;
    this->Api.remove(Key, IfVersion,
                     [&](const PlatformResult &Result) { Last = Result; });
    EXPECT_TRUE(this->Loop.runUntil([&] { return Last.has_value(); }, 5s));
    return Last.value_or(PlatformResult{});
  }
  PlatformList list(const std::string &Kind) {
    std::optional<PlatformList> Last;
    this->Api.list(Kind, "", "",
                   [&](const PlatformList &Result) { Last = Result; });
    EXPECT_TRUE(this->Loop.runUntil([&] { return Last.has_value(); }, 5s));
    return Last.value_or(PlatformList{});
  }
  PlatformList watch(const std::string &Kind, std::uint64_t Since,
                     Duration Wait) {
    std::optional<PlatformList> Last;
    this->Api.watch(Kind, Since, Wait,
                    [&](const PlatformList &Result) { Last = Result; });
    EXPECT_TRUE(this->Loop.runUntil([&] { return Last.has_value(); }, 5s));
    return Last.value_or(PlatformList{});
  }
  void pass(Duration Time) {
    this->Loop.runUntil([] { return false; }, Time);
  }
  /// Returns to the state of 50 ms ago.
  void restore() {
    this->post(this->At, "/admin/fault", {{"restore_s", 0.05}});
  }

  PlatformEmulator System{this->Loop, {.ReplyDelay = 0ms}};
  SocketAddress At = this->serve(this->System);
  HttpPlatform Api{this->Client, this->At};
};

// Guards against two writers both believing that their write won.
TEST_F(PlatformEmulatorTest, ChecksVersions) {
  const ObjectKey Key{"config", "a/b"};
  const PlatformResult First = this->put(Key, "v", Platform::MustNotExist);
  EXPECT_EQ(First.Status, PlatformStatus::Ok);
  EXPECT_EQ(this->put(Key, "w", Platform::MustNotExist).Status,
            PlatformStatus::Conflict);
  EXPECT_EQ(this->put(Key, "w", First.Object.Version).Status,
            PlatformStatus::Ok);
  EXPECT_EQ(this->put(Key, std::string(1 << 20, 'x'), First.Object.Version + 1)
                .Status,
            PlatformStatus::Unknown);
}

// Guards against a watch that misses a deletion or answers without cause.
TEST_F(PlatformEmulatorTest, WatchHoldsUntilAChange) {
  const auto First = this->put({"k", "a"}, 1, 0);
  std::optional<PlatformList> Seen;
  this->Api.watch("k", First.Object.Version, 5s,
                  [&](const PlatformList &Result) { Seen = Result; });
  this->Loop.runUntil([] { return false; }, 60ms);
  EXPECT_FALSE(Seen.has_value());
  std::optional<PlatformResult> Removed;
  this->Api.remove({"k", "a"}, First.Object.Version,
                   [&](const PlatformResult &Result) { Removed = Result; });
  ASSERT_TRUE(this->Loop.runUntil([&] { return Seen.has_value(); }, 2s));
  ASSERT_EQ(Seen->Objects.size(), 1U);
  EXPECT_TRUE(Seen->Objects[0].Deleted);
}

// Guards against faults that look alike: a lost reply has taken effect, an
// outage and a rate limit have not.
TEST_F(PlatformEmulatorTest, FaultsEndAsTheyShould) {
  this->post(this->At, "/admin/fault", {{"lose_replies", 1}});
  EXPECT_EQ(this->put({"k", "a"}, 1, 0).Status, PlatformStatus::Unknown);
  EXPECT_EQ(this->put({"k", "a"}, 1, 0).Status, PlatformStatus::Conflict);
  this->post(this->At, "/admin/fault", {{"writes_per_second", 0}});
  EXPECT_EQ(this->put({"k", "b"}, 1, 0).Status, PlatformStatus::Unavailable);
  this->post(this->At, "/admin/fault", {{"outage_ms", 10000}});
  EXPECT_EQ(this->put({"k", "b"}, 1, 0).Status, PlatformStatus::Unavailable);
}

// Guards against a restoration that keeps a change, loses an older one, or
// does not give out the revisions since the copy again.
TEST_F(PlatformEmulatorTest, RestoresObjectsAndRevisionsOfTheCopy) {
  const auto Kept = this->put({"k", "kept"}, 1, 0).Object.Version;
  const auto Changed = this->put({"k", "changed"}, 1, 0).Object.Version;
  this->pass(100ms);
  this->put({"k", "changed"}, 2, Changed);
  const auto Lost = this->put({"k", "lost"}, 1, 0).Object.Version;
  ASSERT_EQ(this->remove({"k", "kept"}, Kept).Status, PlatformStatus::Ok);
  ASSERT_EQ(this->Api.Era.current(), 1U);
  this->restore();

  const PlatformList After = this->list("k");
  EXPECT_EQ(this->Api.Era.current(), 2U);
  EXPECT_EQ(After.Revision, Changed);
  ASSERT_EQ(After.Objects.size(), 2U);
  EXPECT_EQ(After.Objects[0].Value, 1);
  EXPECT_EQ(After.Objects[0].Version, Changed);
  EXPECT_EQ(After.Objects[1].Key.Name, "kept");
  EXPECT_EQ(this->watch("k", Lost, 10ms).Status, PlatformStatus::Expired);
  EXPECT_EQ(this->put({"k", "other"}, 1, 0).Object.Version, Changed + 1);
  // The deletion that was undone must not be told.
  const PlatformList Seen = this->watch("k", Changed, 2s);
  ASSERT_EQ(Seen.Objects.size(), 1U);
  EXPECT_EQ(Seen.Objects[0].Key.Name, "other");
}

// Guards against a watch that waits on at a revision that was taken back, and
// against changes under revisions that a watch had checked before.
TEST_F(PlatformEmulatorTest, PendingWatchesOutlastARestorationAtOldRevisions) {
  const auto First = this->put({"k", "a"}, 1, 0).Object.Version;
  this->pass(100ms);
  const auto Second = this->put({"other", "b"}, 1, 0).Object.Version;
  std::optional<HttpResult> OfOld;
  std::optional<HttpResult> OfLost;
  const auto Watch = [&](std::uint64_t Since,
                         std::optional<HttpResult> &Answer) {
    return this->Client.start(
        HttpCallBuilder(this->At)
            .get("/v1/watch/k?since=" + std::to_string(Since))
            .build(),
        {.OnDone = [&](const HttpResult &Result) { Answer = Result; }});
  };
  const auto Old = Watch(First, OfOld);
  const auto Lost = Watch(Second, OfLost);
  this->pass(40ms);
  this->post(this->At, "/admin/fault", {{"restore_s", 0.09}});
  ASSERT_TRUE(this->Loop.runUntil([&] { return OfLost.has_value(); }, 2s));
  EXPECT_EQ(OfLost->Status, 410);
  EXPECT_EQ(OfLost->Headers.find("Platform-Era"), "2");
  EXPECT_FALSE(OfOld.has_value());
  this->list("k"); // A write of the earlier era would end with Unknown.
  EXPECT_EQ(this->put({"k", "c"}, 1, 0).Object.Version, Second);
  ASSERT_TRUE(this->Loop.runUntil([&] { return OfOld.has_value(); }, 2s));
  EXPECT_EQ(OfOld->Status, 200);
}

// Guards against watches that expire for ever because the oldest revision with
// known deletions is above the revision of the copy.
TEST_F(PlatformEmulatorTest, WatchesGoOnWhenForgottenDeletionsAreUndone) {
  PlatformEmulator Small(this->Loop, {.ReplyDelay = 0ms, .MaxDeletions = 1});
  const SocketAddress SmallAt = this->serve(Small);
  const auto Write = [&](const char *Method, const std::string &Name) {
    const std::string Body =
        Method == std::string("PUT") ? R"({"value":1})" : "";
    return this
        ->call(HttpCallBuilder(SmallAt)
                   .method(Method, "/v1/objects/k/" + Name, Body)
                   .build())
        .Status;
  };
  for (const char *Name : {"a", "b"})
    ASSERT_EQ(Write("PUT", Name), 200);
  this->pass(100ms);
  for (const char *Name : {"a", "b"})
    ASSERT_EQ(Write("DELETE", Name), 200);
  this->post(SmallAt, "/admin/fault", {{"restore_s", 0.05}});
  EXPECT_EQ(this->get(SmallAt, "/v1/watch/k?since=2&timeout_ms=10").Status,
            200);
  EXPECT_EQ(this->get(SmallAt, "/v1/watch/k?since=1&timeout_ms=10").Status,
            410);
}

// Guards against an answer from which a client cannot learn the era.
TEST_F(PlatformEmulatorTest, EveryAnswerTellsTheEra) {
  const auto EraOf = [](const HttpResult &Result) {
    return std::string(Result.Headers.find("Platform-Era").value_or("none"));
  };
  for (const char *Path :
       {"/v1/vms", "/v1/objects/k", "/v1/objects/k/missing",
        "/v1/watch/k?since=9", "/v1/objects/k?limit=x", "/nowhere"})
    EXPECT_EQ(EraOf(this->get(this->At, Path)), "1") << Path;
  this->post(this->At, "/admin/fault", {{"reads_per_second", 0}});
  EXPECT_EQ(EraOf(this->get(this->At, "/v1/vms")), "1");
  this->post(this->At, "/admin/fault",
             {{"restore_s", 0}, {"outage_ms", 10000}});
  EXPECT_EQ(EraOf(this->get(this->At, "/v1/vms")), "2");
}

// Guards against a count of runs that misses a repeated payment.
TEST_F(EmulatorTest, ServiceCountsRunsByKeyAlsoWhenTheReplyIsLost) {
  ServiceEmulator Service(this->Loop, {});
  const SocketAddress To = this->serve(Service);
  const auto Pay = [&] {
    return this->call(HttpCallBuilder(To)
                          .post("/payments", "{}")
                          .header("Idempotency-Key", "k")
                          .build());
  };
  this->post(To, "/admin/fault", {{"lose_replies", 1}, {"drop", 1}});
  EXPECT_FALSE(Pay().isSuccess());
  EXPECT_FALSE(Pay().isSuccess());
  EXPECT_TRUE(Pay().isSuccess());
  const json Runs = json::parse(this->get(To, "/admin/runs?key=k").Body);
  EXPECT_EQ(Runs["runs"]["k"], 2);
}

} // namespace
} // namespace galenaroute::emulator
