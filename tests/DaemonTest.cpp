// Tests the path of a request through a daemon, from the caller's connection to
// scripted upstreams.

#include "DaemonFixture.h"

namespace galenaroute::testing_support {
namespace {

using namespace std::chrono_literals;

void answerWhole(const HttpRequest &Request, const ReplyPtr &Reply) {
  const std::string Id = attemptOf(Request);
  Reply->startStream(200, {});
  Reply->write(textLine(Id, 0, "bib"));
  Reply->write(textLine(Id, 1, " 7"));
  Reply->write(doneLine(Id, 2));
  Reply->endStream();
}

TEST_F(DaemonFixture, AnswersAPromptAsAWhole) {
  this->One.Answer = answerWhole;
  const HttpResult Result = this->prompt(false);
  ASSERT_EQ(Result.Status, 200) << Result.Body;
  const auto Body = nlohmann::json::parse(Result.Body);
  EXPECT_EQ(Body["choices"][0]["text"], "bib 7");
  EXPECT_TRUE(Result.Headers.find("X-Request-Id"));
}

TEST_F(DaemonFixture, StreamsEventsWithIdsUpToDone) {
  this->One.Answer = answerWhole;
  const HttpResult Result = this->prompt(true);
  EXPECT_EQ(Result.End, HttpEnd::Complete);
  EXPECT_NE(Result.Body.find("id: one~"), std::string::npos);
  EXPECT_TRUE(Result.Body.ends_with("data: [DONE]\n\n"));
}

// Guards against serving requests with a wrong key or none.
TEST_F(DaemonFixture, RefusesUnknownKeys) {
  EXPECT_EQ(this->prompt(false, credentials("wrong")).Status, 401);
  EXPECT_EQ(this->prompt(false, {}).Status, 401);
  EXPECT_TRUE(this->One.Requests.empty());
}

// Guards against lost or repeated text after an interrupted stream.
TEST_F(DaemonFixture, ResumesACutStreamAtItsOffset) {
  this->One.Answer = [](const HttpRequest &Request, const ReplyPtr &Reply) {
    const std::string Id = attemptOf(Request);
    Reply->startStream(200, {});
    if (Request.Method == "POST")
      return Reply->abortAfter(textLine(Id, 0, "bib"));
    EXPECT_EQ(Request.Query, "offset=1&customer=marshals");
    Reply->write(textLine(Id, 1, " 7") + doneLine(Id, 2));
    Reply->endStream();
  };
  const HttpResult Result = this->prompt(false);
  ASSERT_EQ(Result.Status, 200) << Result.Body;
  EXPECT_EQ(nlohmann::json::parse(Result.Body)["choices"][0]["text"], "bib 7");
  EXPECT_EQ(this->One.Requests.size(), 2U);
}

// Guards against waiting forever on a stalled connection.
TEST_F(DaemonFixture, ResumesASilentStreamOnANewConnection) {
  this->One.Answer = [](const HttpRequest &Request, const ReplyPtr &Reply) {
    const std::string Id = attemptOf(Request);
    Reply->startStream(200, {});
    if (Request.Method == "POST")
      return Reply->write(textLine(Id, 0, "bib"));
    Reply->write(textLine(Id, 1, " 7") + doneLine(Id, 2));
    Reply->endStream();
  };
  const HttpResult Result = this->prompt(true);
  EXPECT_TRUE(Result.Body.ends_with("data: [DONE]\n\n")) << Result.Body;
}

// Guards against the loss of a stream that goes on after a silence, at an
// engine that accepts no new connections.
TEST_F(DaemonFixture, ASilentStreamGoesOnWhenItCannotBeResumed) {
  this->Settings.StallTimeout = 300ms;
  this->One.Answer = [this](const HttpRequest &Request, const ReplyPtr &Reply) {
    const std::string Id = attemptOf(Request);
    Reply->startStream(200, {});
    Reply->write(textLine(Id, 0, "bib"));
    this->One.stop();
    this->Loop.timers().after(600ms, [Id, Reply] {
      Reply->write(textLine(Id, 1, " 7") + doneLine(Id, 2));
      Reply->endStream();
    });
  };
  const HttpResult Result = this->prompt(true);
  EXPECT_TRUE(Result.Body.ends_with("data: [DONE]\n\n")) << Result.Body;
  EXPECT_TRUE(this->Two.Requests.empty());
}

// Guards against the loss of an answer that comes after a silence, when the
// other upstream breaks the call.
TEST_F(DaemonFixture, ASilentCallIsAnsweredAfterTheOtherUpstreamBroke) {
  this->One.Answer = [this](const HttpRequest &, const ReplyPtr &Reply) {
    this->Loop.timers().after(500ms, [Reply] {
      Reply->send(200, {{"Content-Type", "text/plain"}}, "form 7");
    });
  };
  this->Two.Answer = [](const HttpRequest &, const ReplyPtr &Reply) {
    Reply->abort();
  };
  const HttpResult Result =
      this->call("GET", "/services/desk/forms", "", credentials());
  EXPECT_EQ(Result.Status, 200) << Result.Body;
  EXPECT_EQ(Result.Body, "form 7");
}

// Guards against text of another attempt in a caller's response.
TEST_F(DaemonFixture, DropsLinesOfOtherAttempts) {
  this->One.Answer = [](const HttpRequest &Request, const ReplyPtr &Reply) {
    const std::string Id = attemptOf(Request);
    Reply->startStream(200, {});
    Reply->write(textLine("another", 0, "secret") + textLine(Id, 0, "bib") +
                 doneLine("another", 1) + doneLine(Id, 1));
    Reply->endStream();
  };
  const HttpResult Result = this->prompt(true);
  EXPECT_EQ(Result.Body.find("secret"), std::string::npos);
  EXPECT_TRUE(Result.Body.ends_with("data: [DONE]\n\n"));
  const HttpResult Events = this->call("GET", "/v1/timeline", "", {});
  EXPECT_NE(Events.Body.find("line.foreign"), std::string::npos);
}

// Guards against mixing the output of two engines in one stream.
TEST_F(DaemonFixture, EndsAStreamWithAnErrorWhenItsRunIsLost) {
  this->One.Answer = [](const HttpRequest &Request, const ReplyPtr &Reply) {
    if (Request.Method != "POST")
      return Reply->send(404, {}, "");
    Reply->startStream(200, {});
    Reply->abortAfter(textLine(attemptOf(Request), 0, "bib"));
  };
  const HttpResult Result = this->prompt(true);
  EXPECT_EQ(Result.End, HttpEnd::Cut);
  EXPECT_NE(Result.Body.find("stream_lost"), std::string::npos);
  EXPECT_EQ(Result.Body.find("[DONE]"), std::string::npos);
  EXPECT_TRUE(this->Two.Requests.empty());
}

TEST_F(DaemonFixture, RetriesElsewhereWhenAnEngineRefuses) {
  this->One.Answer = [](const HttpRequest &, const ReplyPtr &Reply) {
    Reply->send(429, {}, "");
  };
  this->Two.Answer = answerWhole;
  EXPECT_EQ(this->prompt(false).Status, 200);
}

// Guards against reporting "may have run" for a call that no engine accepted.
TEST_F(DaemonFixture, AnswersNotRunWhenNothingWasSent) {
  this->One.stop();
  this->Two.stop();
  const HttpResult Result = this->prompt(false);
  EXPECT_EQ(Result.Status, 503);
  EXPECT_EQ(errorOf(Result, "run"), "not_run");
  EXPECT_TRUE(Result.Headers.find("Retry-After"));
}

TEST_F(DaemonFixture, ResumesForACallerByLastEventId) {
  const std::string Id(32, 'a');
  this->Two.Answer = [&](const HttpRequest &Request, const ReplyPtr &Reply) {
    EXPECT_EQ(Request.Path, "/v1/attempts/" + Id);
    EXPECT_EQ(Request.Query, "offset=5&customer=marshals");
    Reply->startStream(200, {});
    Reply->write(textLine(Id, 5, " 7") + doneLine(Id, 6));
    Reply->endStream();
  };
  HttpHeaders Headers = credentials();
  Headers.add("Last-Event-ID", "two~" + Id + "~5");
  const HttpResult Result = this->prompt(true, Headers);
  EXPECT_TRUE(Result.Body.ends_with("data: [DONE]\n\n")) << Result.Body;
  Headers = credentials();
  Headers.add("Last-Event-ID", "two~" + Id + "~5x");
  EXPECT_EQ(this->prompt(true, Headers).Status, 400);
}

// Guards against engines generating for callers that have disconnected.
TEST_F(DaemonFixture, CancelsTheRunOfACallerThatLeft) {
  this->start();
  auto Exchange =
      this->Client.start(HttpCallBuilder(this->To)
                             .post("/v1/completions", R"({"prompt":"x"})")
                             .header("Authorization", "Bearer marshal-key")
                             .build(),
                         {});
  ASSERT_TRUE(this->Loop.runUntil(
      [&] { return this->One.count("/v1/generate") == 1; }, 5s));
  Exchange.reset();
  EXPECT_TRUE(this->Loop.runUntil(
      [&] { return this->One.count("/v1/cancel") == 1; }, 5s));
}

class PaymentTest : public DaemonFixture {
protected:
  HttpResult pay(const std::string &Key) {
    HttpHeaders Headers = credentials();
    if (!Key.empty())
      Headers.add("Idempotency-Key", Key);
    return this->call("POST", "/services/desk/payments", "12 AUD", Headers);
  }
};

TEST_F(PaymentTest, RunsOnceAndReplaysTheStoredAnswer) {
  this->One.Answer = [](const HttpRequest &, const ReplyPtr &Reply) {
    Reply->send(201, {{"Content-Type", "text/plain"}}, "receipt");
  };
  for (int I = 0; I < 2; ++I) {
    const HttpResult Result = this->pay("k");
    EXPECT_EQ(Result.Status, 201);
    EXPECT_EQ(Result.Body, "receipt");
  }
  EXPECT_EQ(this->One.Requests.size() + this->Two.Requests.size(), 1U);
  EXPECT_FALSE(this->One.Requests.at(0).Headers.find("Authorization"));
}

// Guards against a duplicate payment after a lost reply.
TEST_F(PaymentTest, IsNotSentAgainWhenTheReplyIsLost) {
  this->One.Answer = this->Two.Answer =
      [](const HttpRequest &, const ReplyPtr &Reply) { Reply->abort(); };
  const HttpResult First = this->pay("k");
  EXPECT_EQ(errorOf(First, "run"), "may_have_run");
  const HttpResult Second = this->pay("k");
  EXPECT_EQ(errorOf(Second, "kind"), "duplicate_may_have_run");
  EXPECT_EQ(this->One.Requests.size() + this->Two.Requests.size(), 1U);
}

TEST_F(PaymentTest, WithoutAKeyGetsASingleSendAndNoClaim) {
  this->One.Answer = this->Two.Answer =
      [](const HttpRequest &, const ReplyPtr &Reply) { Reply->abort(); };
  EXPECT_EQ(errorOf(this->pay(""), "run"), "may_have_run");
  EXPECT_EQ(this->One.Requests.size() + this->Two.Requests.size(), 1U);
  EXPECT_TRUE(this->Claims->Stored.empty());
}

TEST_F(PaymentTest, ReleasesTheClaimBeforeItAnswersNotRun) {
  this->One.stop();
  this->Two.stop();
  EXPECT_EQ(errorOf(this->pay("k"), "run"), "not_run");
  EXPECT_EQ(this->Claims->Releases, 1);
}

TEST_F(PaymentTest, IsRefusedWhileClaimsAreUnavailable) {
  this->Claims->IsDown = true;
  EXPECT_EQ(errorOf(this->pay("k"), "kind"), "platform_unavailable");
  EXPECT_TRUE(this->One.Requests.empty());
}

// Guards against a graceful stop that interrupts a response in progress.
TEST_F(DaemonFixture, ADrainFinishesOpenRequests) {
  ReplyPtr Open;
  std::string Id;
  this->One.Answer = [&](const HttpRequest &Request, const ReplyPtr &Reply) {
    if (Request.Method != "POST")
      return;
    Id = attemptOf(Request);
    Reply->startStream(200, {});
    Open = Reply;
  };
  this->Settings.StallTimeout = 5s;
  this->start();
  std::optional<HttpResult> Last;
  const auto Exchange = this->Client.start(
      HttpCallBuilder(this->To)
          .post("/v1/completions", R"({"prompt":"x","stream":true})")
          .header("Authorization", "Bearer marshal-key")
          .build(),
      {.OnDone = [&](const HttpResult &Result) { Last = Result; }});
  ASSERT_TRUE(this->Loop.runUntil([&] { return Open != nullptr; }, 5s));
  bool HasStopped = false;
  this->Node->Stopped.connect([&] { HasStopped = true; });
  EXPECT_EQ(this->call("POST", "/v1/drain", "", {}).Status, 202);
  const HttpResult Entries = this->call("GET", "/v1/entries", "", {});
  EXPECT_TRUE(nlohmann::json::parse(Entries.Body)["entries"].empty());
  this->Two.Answer = answerWhole;
  EXPECT_EQ(this->prompt(false).Status, 200) << "still serves";
  EXPECT_FALSE(this->Loop.runUntil([&] { return HasStopped; }, 300ms));
  Open->write(textLine(Id, 0, "bib") + doneLine(Id, 1));
  Open->endStream();
  EXPECT_TRUE(this->Loop.runUntil([&] { return HasStopped; }, 5s));
  EXPECT_TRUE(this->Loop.runUntil([&] { return Last.has_value(); }, 5s));
  EXPECT_TRUE(Last->Body.ends_with("data: [DONE]\n\n"));
}

// Guards against unbounded buffering for a slow caller.
TEST_F(DaemonFixture, LimitsBufferingForASlowCaller) {
  this->Settings.MaxCallerBufferBytes = 4096;
  this->Settings.MaxCallerPause = 300ms;
  this->Settings.StallTimeout = 5s;
  ReplyPtr Open;
  this->One.Answer = [&](const HttpRequest &Request, const ReplyPtr &Reply) {
    if (Request.Path != "/v1/generate")
      return Reply->send(200, {}, "{}");
    Reply->startStream(200, {});
    for (int I = 0; I < 400; ++I)
      Reply->write(textLine(attemptOf(Request), I, std::string(60000, 'x')));
    Open = Reply;
  };
  this->start();
  auto Exchange = this->Client.start(
      HttpCallBuilder(this->To)
          .post("/v1/completions", R"({"prompt":"x","stream":true})")
          .header("Authorization", "Bearer marshal-key")
          .build(),
      {.OnHead = {}, .OnChunk = [](std::string_view) {}});
  Exchange->pauseReading();
  ASSERT_TRUE(this->Loop.runUntil([&] { return Open != nullptr; }, 5s));
  this->Loop.runUntil([] { return false; }, 200ms);
  // 24 MB are generated; all but the content of socket buffers must still be
  // buffered at the engine.
  EXPECT_GT(Open->bufferedBytes(), 8U << 20);
  EXPECT_TRUE(this->Loop.runUntil(
      [&] { return this->One.count("/v1/cancel") == 1; }, 5s));
}

} // namespace
} // namespace galenaroute::testing_support
