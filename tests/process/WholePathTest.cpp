// End-to-end tests with real daemons and emulators.

#include "GeneratedText.h"
#include "process/BuildVersion.h"
#include "process/ListingText.h"
#include "process/ProcessHarness.h"

#include <csignal>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace galenaroute::testing_support {
namespace {

using namespace std::chrono_literals;
using emulator::wholeAnswer;
using nlohmann::json;
using testing::HasSubstr;

class WholePathTest : public testing::Test {
protected:
  /// Starts the processes of a small deployment and applies its listing.
  void deploy(const std::vector<std::string> &EngineFlags = {}) {
    this->Platform = &this->Harness.startEmulator("platform", {});
    for (std::size_t I = 0; I < 2; ++I) {
      this->Engines.push_back(
          &this->Harness.startEmulator("engine", EngineFlags));
      this->Parts.Engines.push_back({"steward-" + std::to_string(I + 1),
                                     this->Engines.back()->address(),
                                     this->Parts.Zones[I]});
    }
    this->Desk = &this->Harness.startEmulator("service", {});
    this->Parts.PlainServers = {
        {"desk-1", this->Desk->address(), this->Parts.Zones[0]}};
    const Program &Store = this->Harness.startEmulator("store", {});
    this->Parts.Stores = {
        {"handbook-cache", Store.address(), this->Parts.Zones[0]}};
    this->Daemons = this->Harness.startDaemons(
        this->Platform->address(), this->Parts.Zones, {"--keep-ms", "200"});
    this->Harness.applyListing(this->Platform->address(),
                               listingText(this->Parts));
    for (const Program *Each : this->Daemons)
      this->Harness.waitFor("a ready daemon", [&] {
        return this->Harness.getJson(Each->address(), "/v1/status")
            .value("ready", false);
      });
  }

  static HttpCallBuilder prompt(const Program &Entry, const std::string &Text,
                                int Tokens) {
    const json Body = {
        {"prompt", Text}, {"max_tokens", Tokens}, {"stream", true}};
    return HttpCallBuilder(Entry.address())
        .post("/v1/completions", Body.dump())
        .header("Authorization", "Bearer marshals-key");
  }

  HttpResult pay(const Program &Entry, const std::string &Key) {
    return this->Harness.call(
        HttpCallBuilder(Entry.address())
            .post("/services/entries-desk/payments", "{}")
            .header("Authorization", "Bearer marshals-key")
            .header("Idempotency-Key", Key)
            .build());
  }

  /// A streamed call that stays open during other steps of a test.
  struct OpenStream {
    std::string Body;
    std::optional<HttpResult> End;
    std::unique_ptr<HttpExchange> Call;
  };

  /// Starts a stream and waits for its first events.
  std::unique_ptr<OpenStream> open(const Program &Entry,
                                   const std::string &Text, int Tokens) {
    auto Result = std::make_unique<OpenStream>();
    Result->Call = this->Harness.client().start(
        prompt(Entry, Text, Tokens).build(),
        {.OnChunk =
             [To = Result.get()](std::string_view Bytes) { To->Body += Bytes; },
         .OnDone = [To = Result.get()](
                       const HttpResult &Ended) { To->End = Ended; }});
    this->Harness.waitFor("the first events", [&] {
      return parseEvents(Result->Body).size() >= 5;
    });
    return Result;
  }

  std::uint64_t accepted(const Program &Engine) {
    return this->Harness.getJson(Engine.address(), "/admin/stats")
        .value("accepted", std::uint64_t{0});
  }

  ProcessHarness Harness{GALENAROUTE_BUILD_DIR};
  ListingParts Parts;
  Program *Platform = nullptr;
  Program *Desk = nullptr;
  std::vector<Program *> Engines;
  std::vector<Program *> Daemons;
};

// Guards against responses that belong to another prompt, and against running a
// payment twice when its caller retries it at another daemon.
TEST_F(WholePathTest, StreamsAnswersAndRunsAPaymentOnce) {
  this->deploy();
  for (const Program *Each : this->Daemons) {
    const std::string Text = "which bib at " + Each->address().toString();
    const HttpResult Result =
        this->Harness.call(prompt(*Each, Text, 40).build());
    EXPECT_TRUE(Result.isSuccess());
    const std::vector<StreamEvent> Events = parseEvents(Result.Body);
    EXPECT_EQ(eventText(Events), wholeAnswer(Text, 40));
    ASSERT_FALSE(Events.empty());
    EXPECT_EQ(Events.back().Data, "[DONE]");
  }
  const HttpResult First = this->pay(*this->Daemons[0], "order-1");
  const HttpResult Again = this->pay(*this->Daemons[1], "order-1");
  EXPECT_EQ(First.Status, 200) << First.Body;
  EXPECT_EQ(Again.Status, 200) << Again.Body;
  EXPECT_EQ(First.Body, Again.Body);
  const json Runs = this->Harness.getJson(this->Desk->address(), "/admin/runs");
  EXPECT_EQ(Runs["total"], 1);
}

// Guards against lost or repeated text when the daemon of a stream is killed.
TEST_F(WholePathTest, ResumesAtAnotherEntryAfterAKill) {
  this->deploy({"--decode-ms", "20"});
  const std::string Text = "the whole handbook";
  std::string Body;
  std::optional<HttpResult> End;
  const auto Exchange = this->Harness.client().start(
      prompt(*this->Daemons[0], Text, 100).build(),
      {.OnChunk = [&](std::string_view Bytes) { Body += Bytes; },
       .OnDone = [&](const HttpResult &Result) { End = Result; }});
  this->Harness.waitFor("the first events",
                        [&] { return parseEvents(Body).size() >= 10; });
  this->Daemons[0]->signal(SIGKILL);
  this->Harness.waitFor("the end", [&] { return End.has_value(); });
  EXPECT_NE(End->End, HttpEnd::Complete);
  const std::vector<StreamEvent> Head = parseEvents(Body);
  ASSERT_LT(Head.size(), 100U);
  const HttpResult Rest =
      this->Harness.call(prompt(*this->Daemons[1], Text, 100)
                             .header("Last-Event-ID", Head.back().Id)
                             .build());
  EXPECT_TRUE(Rest.isSuccess()) << Rest.Body;
  const std::vector<StreamEvent> Tail = parseEvents(Rest.Body);
  EXPECT_EQ(eventText(Head) + eventText(Tail), wholeAnswer(Text, 100));
  ASSERT_FALSE(Tail.empty());
  EXPECT_EQ(Tail.back().Data, "[DONE]");
}

// Guards against a graceful stop that interrupts streams, refuses calls while
// callers may still use a cached address, or never completes.
TEST_F(WholePathTest, AStoppedDaemonFinishesItsStreams) {
  this->deploy({"--decode-ms", "20"});
  const auto Stream = this->open(*this->Daemons[0], "the rules", 100);
  this->Daemons[0]->signal(SIGTERM);
  const HttpResult Late =
      this->Harness.call(prompt(*this->Daemons[0], "quick", 5).build());
  EXPECT_EQ(eventText(parseEvents(Late.Body)), wholeAnswer("quick", 5));
  this->Harness.waitFor("the end of the stream",
                        [&] { return Stream->End.has_value(); });
  EXPECT_EQ(Stream->End->End, HttpEnd::Complete);
  const std::vector<StreamEvent> Events = parseEvents(Stream->Body);
  EXPECT_EQ(eventText(Events), wholeAnswer("the rules", 100));
  EXPECT_EQ(Events.back().Data, "[DONE]");
  EXPECT_EQ(this->Daemons[0]->wait(10s), 0);
}

// Guards against sending new work to an upstream that the platform lists as
// leaving, and against interrupting calls already running there.
TEST_F(WholePathTest, ALeavingEngineGetsNoNewWorkAndFinishesItsOwn) {
  this->deploy({"--decode-ms", "20"});
  const auto Stream = this->open(*this->Daemons[0], "the handbook", 200);
  const std::size_t Leaving = this->accepted(*this->Engines[0]) > 0 ? 0 : 1;
  const json Vms = {
      {"vms",
       {{{"address", this->Engines[Leaving]->address().toString()},
         {"zone", this->Parts.Zones[Leaving]},
         {"role", "upstream"},
         {"state", "leaving"}}}},
      {"lag_ms", 0}};
  this->Harness.post(this->Platform->address(), "/admin/vms", Vms);
  // Two daemons of each zone read the list every 2 s and forward it to the
  // others.
  this->Harness.loop().runUntil([] { return false; }, 4s);
  const std::uint64_t Before = this->accepted(*this->Engines[Leaving]);
  for (int I = 0; I < 12; ++I) {
    const std::string Text = "question " + std::to_string(I);
    const HttpResult Result = this->Harness.call(
        prompt(*this->Daemons[static_cast<std::size_t>(I) % 3], Text, 5)
            .build());
    EXPECT_EQ(eventText(parseEvents(Result.Body)), wholeAnswer(Text, 5));
  }
  EXPECT_EQ(this->accepted(*this->Engines[Leaving]), Before);
  this->Harness.waitFor("the end of the stream",
                        [&] { return Stream->End.has_value(); });
  EXPECT_EQ(eventText(parseEvents(Stream->Body)),
            wholeAnswer("the handbook", 200));
}

// Guards against an upgrade whose progress nobody can see.
TEST_F(WholePathTest, TheToolShowsTheBuildOfEachDaemon) {
  this->deploy();
  std::string Entries;
  for (const Program *Each : this->Daemons)
    Entries += (Entries.empty() ? "" : ",") + Each->address().toString();
  const auto [Code, Text] =
      this->Harness.run("galenaroute", {"status", "--entries", Entries});
  EXPECT_EQ(Code, 0);
  EXPECT_THAT(Text, HasSubstr("BUILD"));
  std::size_t Shown = 0;
  for (std::size_t At = 0;
       (At = Text.find(buildVersion(), At)) != std::string::npos; ++At)
    ++Shown;
  EXPECT_EQ(Shown, this->Daemons.size()) << Text;
}

} // namespace
} // namespace galenaroute::testing_support
