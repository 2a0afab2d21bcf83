// End-to-end tests of forwarded calls over real sockets: a caller, a run, and
// upstreams whose bytes the tests write.

#include "ForwardRunFixture.h"

#include <set>
#include <thread>

namespace galenaroute {
namespace {

class ForwardRunTest : public ForwardRunFixture {
protected:
  /// Returns an answer that is longer than what is buffered for its caller.
  std::string longStream() const {
    std::string Result = this->StreamHead;
    for (std::size_t I = 1; I <= 480; ++I)
      Result += chunk("id: " + std::to_string(I) +
                      "\ndata: " + std::string(32 << 10, 'x') + "\n\n");
    return Result;
  }
};

TEST_F(ForwardRunTest, PassesACallAndItsAnswerOnUnchanged) {
  this->sendCall("/once/a?b=c", "X-Own: 1\r\nTenant: other\r\nHold: 7\r\n");
  const auto Peer = this->waitForArrival();
  const std::string &Sent = Peer->read();
  EXPECT_TRUE(Sent.starts_with("POST /once/a?b=c HTTP/1.1\r\n")) << Sent;
  EXPECT_NE(Sent.find("X-Own: 1\r\n"), std::string::npos);
  EXPECT_NE(Sent.find("Tenant: c\r\n"), std::string::npos);
  EXPECT_EQ(Sent.find("other"), std::string::npos);
  EXPECT_EQ(Sent.find("Hold"), std::string::npos);
  EXPECT_EQ(Sent.find("key"), std::string::npos);
  Peer->write(head("201 Created", "Server-Stamp: x\r\nContent-Length: 2\r\n") +
              "ok");
  ASSERT_TRUE(this->callerReceives("\r\n\r\nok"));
  EXPECT_TRUE(this->Caller->read().starts_with("HTTP/1.1 201 "));
  EXPECT_NE(this->Caller->read().find("Server-Stamp: x"), std::string::npos);
}

// Guards against sends that the metrics of choices leave out.
TEST_F(ForwardRunTest, TheKindOfTheChosenUpstreamIsReported) {
  const auto Has = [&](const std::string &Series) {
    return this->Stats.toText().find("galenaroute_upstream_choice" + Series) !=
           std::string::npos;
  };
  this->sendCall("/once/a");
  this->waitForArrival();
  EXPECT_TRUE(Has("s_total{kind=\"random\",service=\"s\"} 1"));
  EXPECT_TRUE(Has("_load_count{service=\"s\"} 1"));
  EXPECT_FALSE(Has("_rank_count")) << "no prompt, no rank";
}

// Guards against a payment that runs twice: the connection broke after the call
// was sent, so it may have run.
TEST_F(ForwardRunTest, ACallThatMayHaveRunOnceIsNotSentAgainNorRefused) {
  this->sendCall("/once/a");
  this->waitForArrival()->close();
  ASSERT_TRUE(this->callerReceives("HTTP/1.1 502 "));
  EXPECT_TRUE(this->hasNoArrival());
}

TEST_F(ForwardRunTest, ARefusedCallGoesToAnotherUpstream) {
  this->sendCall("/once/a");
  this->waitForArrival()->write(
      head("503 Busy", "Not-Executed: 1\r\nContent-Length: 0\r\n"));
  this->waitForArrival()->write(
      head("200 OK", "Server-Stamp: x\r\nContent-Length: 2\r\n") + "ok");
  EXPECT_TRUE(this->callerReceives("HTTP/1.1 200 "));
}

// Guards against answering "not run" without a statement of the upstream.
TEST_F(ForwardRunTest, A503WithoutNotExecutedMayHaveRun) {
  this->sendCall("/once/a");
  this->waitForArrival()->write(head("503 Busy", "Content-Length: 0\r\n"));
  ASSERT_TRUE(this->callerReceives("HTTP/1.1 502 "));
  EXPECT_TRUE(this->hasNoArrival());
}

// Guards against a second payment: the caller sends a call again that an
// upstream has run and answered with a status that promises the contrary.
TEST_F(ForwardRunTest, AnAnswerOfACallThatMayHaveRunPromisesNothing) {
  for (const char *Status : {"408 Slow", "429 Many", "503 Busy"}) {
    this->sendCall("/once/a");
    this->waitForArrival()->write(
        head(Status, "Server-Stamp: x\r\nContent-Length: 0\r\n"));
    ASSERT_TRUE(this->callerReceives("HTTP/1.1 502 ")) << Status;
    EXPECT_EQ(this->Caller->text().find("Server-Stamp"), std::string::npos);
    EXPECT_TRUE(this->hasNoArrival());
  }
}

// Guards against lost or duplicated events when a stream is resumed at another
// upstream.
TEST_F(ForwardRunTest, AStreamIsResumedAfterItsLastWholeEvent) {
  this->sendCall("/stream/a");
  auto First = this->waitForArrival();
  First->write(this->StreamHead + chunk("id: 1\ndata: a\n\nid: 2\nda"));
  ASSERT_TRUE(this->callerReceives("data: a"));
  First->reset();
  const auto Second = this->waitForArrival();
  EXPECT_NE(Second->read().find("Last-Event-Id: 1\r\n"), std::string::npos);
  Second->write(this->StreamHead +
                chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") + "0\r\n\r\n");
  ASSERT_TRUE(this->callerReceives("\r\n0\r\n\r\n"));
  const std::string &Text = this->Caller->read();
  EXPECT_EQ(Text.find("data: a"), Text.rfind("data: a"));
  EXPECT_NE(Text.find("data: b"), std::string::npos);
  EXPECT_EQ(Text.find("HTTP/1.1"), Text.rfind("HTTP/1.1"));
}

// Guards against a truncated stream that appears complete to the caller.
TEST_F(ForwardRunTest, ABrokenStreamThatCannotBeResumedIsAborted) {
  this->sendCall("/oncestream/a");
  auto Peer = this->waitForArrival();
  Peer->write(this->StreamHead + chunk("id: 1\ndata: a\n\n"));
  ASSERT_TRUE(this->callerReceives("data: a"));
  Peer->reset();
  ASSERT_TRUE(this->waitUntil([&] { return this->Caller->hasEnded(); }));
  EXPECT_EQ(this->Caller->read().find("\r\n0\r\n\r\n"), std::string::npos);
}

// Guards against an answer that is held back because nothing states its end.
TEST_F(ForwardRunTest, AnAnswerWithoutFramingEndsWithItsConnection) {
  this->sendCall("/once/a");
  auto Peer = this->waitForArrival();
  Peer->write(this->UnframedHead + "o");
  Peer->write("k");
  Peer->close();
  ASSERT_TRUE(this->callerReceives("\r\n\r\nok"));
  EXPECT_TRUE(this->Caller->read().starts_with("HTTP/1.1 200 "));
}

// Guards against an answer without framing that is broken off by a reset and
// passed on as whole.
TEST_F(ForwardRunTest, AResetAnswerWithoutFramingIsNoSuccess) {
  this->sendCall("/once/a");
  auto Peer = this->waitForArrival();
  Peer->write(this->UnframedHead + "o");
  this->Loop.runUntil([] { return false; }, 100ms);
  Peer->reset();
  ASSERT_TRUE(this->callerReceives("HTTP/1.1 502 "));
  EXPECT_TRUE(this->hasNoArrival());
}

// Guards against a whole stream without framing that looks broken off.
TEST_F(ForwardRunTest, AStreamWithoutFramingEndsWithItsConnection) {
  this->sendCall("/oncestream/a");
  auto Peer = this->waitForArrival();
  Peer->write(this->UnframedHead + "id: 1\ndata: a\n\nid: 2\nda");
  ASSERT_TRUE(this->callerReceives("data: a"));
  Peer->write("ta: b\n\n");
  Peer->close();
  ASSERT_TRUE(this->callerReceives("\r\n0\r\n\r\n"));
  EXPECT_NE(this->Caller->read().find("data: b\n\n"), std::string::npos);
}

// Guards against a stream that ends inside an event and looks complete to the
// caller, since its connection ends in good order.
TEST_F(ForwardRunTest, AStreamWithoutFramingThatEndsInsideAnEventIsAborted) {
  this->sendCall("/oncestream/a");
  auto Peer = this->waitForArrival();
  Peer->write(this->UnframedHead + "id: 1\ndata: a\n\nid: 2\nda");
  ASSERT_TRUE(this->callerReceives("data: a"));
  Peer->close();
  ASSERT_TRUE(this->waitUntil([&] { return this->Caller->hasEnded(); }));
  EXPECT_EQ(this->Caller->read().find("\r\n0\r\n\r\n"), std::string::npos);
  EXPECT_EQ(this->Caller->read().find("id: 2"), std::string::npos);
}

// Guards against an empty stream in place of one that breaks off before its
// first whole event.
TEST_F(ForwardRunTest, AStreamThatEndsInsideItsFirstEventFails) {
  this->sendCall("/oncestream/a");
  auto Peer = this->waitForArrival();
  Peer->write(this->UnframedHead + "id: 1\nda");
  Peer->close();
  ASSERT_TRUE(this->callerReceives("HTTP/1.1 502 "));
  EXPECT_TRUE(this->hasNoArrival());
}

// Guards against a resumable stream that is given up when its connection ends
// in good order inside an event.
TEST_F(ForwardRunTest, AStreamWithoutFramingIsResumedAfterItsLastWholeEvent) {
  this->sendCall("/stream/a");
  auto First = this->waitForArrival();
  First->write(this->UnframedHead + "id: 1\ndata: a\n\nid: 2\nda");
  ASSERT_TRUE(this->callerReceives("data: a"));
  First->close();
  auto Second = this->waitForArrival();
  EXPECT_NE(Second->read().find("Last-Event-Id: 1\r\n"), std::string::npos);
  Second->write(this->UnframedHead + "id: 2\ndata: b\n\n");
  Second->close();
  ASSERT_TRUE(this->callerReceives("\r\n0\r\n\r\n"));
  EXPECT_EQ(countOf(this->Caller->read(), "id: 2\n"), 1);
}

TEST_F(ForwardRunTest, ACallerThatDisconnectsCancelsTheSend) {
  this->sendCall("/stream/a");
  const auto Peer = this->waitForArrival();
  this->Caller->close();
  EXPECT_TRUE(this->waitUntil([&] { return Peer->hasEnded(); }));
  EXPECT_TRUE(this->waitUntil([&] { return this->Services.OpenRuns == 0; }))
      << "the run has ended";
}

TEST_F(ForwardRunTest, ACallEndsByTheTimeoutOfItsRoute) {
  this->sendCall("/once/a");
  const auto Peer = this->waitForArrival();
  const TimePoint Begun = EventLoop::now();
  ASSERT_TRUE(this->callerReceives("HTTP/1.1 504 "));
  EXPECT_LT(EventLoop::now() - Begun, 1900ms);
}

// Guards against a call that is stuck at an upstream that does not answer while
// another one could run it.
TEST_F(ForwardRunTest, AStalledUpstreamIsReplaced) {
  this->sendCall("/safe/a");
  const auto Silent = this->waitForArrival();
  const auto Other = this->waitForArrival();
  Other->write(head("200 OK", "Server-Stamp: x\r\nContent-Length: 2\r\n") +
               "ok");
  EXPECT_TRUE(this->callerReceives("HTTP/1.1 200 "));
  EXPECT_TRUE(this->waitUntil([&] { return Silent->hasEnded(); }));
}

// Guards against rejecting a key or route as unknown while the configuration
// may be out of date.
TEST_F(ForwardRunTest,
       UnknownKeysAndRoutesAreRejectedOnlyByAFreshConfiguration) {
  this->Caller->write("GET /safe/a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                      "Authorization: Bearer new\r\n\r\n");
  ASSERT_TRUE(this->callerReceives("HTTP/1.1 401 "));
  this->IsFresh = false;
  this->Caller->write("GET /none/a HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\n"
                      "Authorization: Bearer key\r\n\r\n");
  ASSERT_TRUE(this->callerReceives("HTTP/1.1 503 "));
  EXPECT_NE(this->Caller->read().find("Retry-After: "), std::string::npos);
}

// Guards against accepting an answer without the upstream's stamp as a success.
TEST_F(ForwardRunTest, AnAnswerWithoutItsStampIsNoSuccess) {
  this->sendCall("/once/a");
  this->waitForArrival()->write(head("200 OK", "Content-Length: 2\r\n") + "no");
  EXPECT_TRUE(this->callerReceives("HTTP/1.1 502 "));
}

// Guards against calls to a server that announced in an answer that it leaves.
// Both calls would go to it, since the table has no other sign of it.
TEST_F(ForwardRunTest, NothingIsSentToAServerThatAnnouncedLeaving) {
  const std::string Ok =
      head("200 OK", "Server-Stamp: x\r\nContent-Length: 2\r\n") + "ok";
  std::set<std::string> Instances;
  this->sendCall("/once/a");
  auto Peer = this->waitForArrival();
  Instances.insert(instanceIn(Peer->read()));
  Peer->write(head("200 OK", "Server-Stamp: x\r\nServer-Leaving: 1\r\n"
                             "Content-Length: 2\r\n") +
              "ok");
  ASSERT_TRUE(this->callerReceives("\r\n\r\nok"));
  EXPECT_EQ(this->Caller->read().find("Server-Leaving"), std::string::npos);
  for (int I = 0; I < 6; ++I) {
    this->Caller =
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
    this->sendCall("/once/a");
    // Later calls may reuse the connection that the first one opened.
    if (I == 0)
      Peer = this->waitForArrival();
    else
      ASSERT_TRUE(this->waitUntil([&] {
        return Peer->read().find("body", Peer->read().size() - 4) !=
                   std::string::npos &&
               countOf(Peer->read(), "POST ") == I + 1;
      }));
    EXPECT_FALSE(Instances.contains(instanceIn(Peer->read())));
    Peer->write(Ok);
    ASSERT_TRUE(this->callerReceives("\r\n\r\nok"));
  }
}

// Guards against a server that announced that it leaves, or asked for a
// backoff, while its registry entry was gone: the answer must count when the
// entry returns, and only for the same incarnation.
TEST_F(ForwardRunTest, AnAnnouncementAfterTheEntryWasRemovedCounts) {
  for (const std::string Field : {"Server-Leaving: 1", "Retry-After: 30"}) {
    this->Caller =
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
    this->sendCall("/once/a");
    const auto Peer = this->waitForArrival();
    const std::string Id = instanceIn(Peer->read());
    RegisteredUpstream Entry = this->Table.find(Id)->Registered;
    this->Table.remove(Id, EventLoop::now());
    Peer->write(head("503 Busy", "Server-Stamp: x\r\nConnection: close\r\n" +
                                     Field + "\r\nContent-Length: 0\r\n"));
    ASSERT_TRUE(this->callerReceives("HTTP/1.1 50")) << Field;
    const auto IsUsed = [&] {
      this->Table.put(Entry, EventLoop::now());
      const UpstreamEntry &At = *this->Table.find(Id);
      return !At.isLeaving() && At.PausedUntil <= EventLoop::now();
    };
    EXPECT_FALSE(IsUsed()) << Field;
    Entry.BornMs = EventLoop::now().time_since_epoch().count();
    EXPECT_TRUE(IsUsed()) << Field;
  }
}

// Guards against the end of a call at a former incarnation that is counted as
// the end of a call at its successor, which then gets more calls than it has
// room for.
TEST_F(ForwardRunTest, TheEndOfACallAtAFormerIncarnationDoesNotCount) {
  for (const bool IsAnswered : {true, false}) {
    this->Caller =
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
    this->sendCall("/once/a");
    const auto Peer = this->waitForArrival();
    const std::string Id = instanceIn(Peer->read());
    RegisteredUpstream Successor = this->Table.find(Id)->Registered;
    ++Successor.BornMs;
    this->Table.put(Successor, EventLoop::now());
    this->Table.noteSent(Id, 100, 200);
    if (IsAnswered)
      Peer->write(head("200 OK", "Server-Stamp: x\r\nConnection: close\r\n"
                                 "Content-Length: 0\r\n"));
    else
      this->Caller->close();
    this->Loop.runUntil([] { return false; }, 100ms);
    const UpstreamEntry &At = *this->Table.find(Id);
    EXPECT_EQ(At.OwnCalls, 1) << IsAnswered;
    EXPECT_EQ(At.TokensAhead, 100U) << IsAnswered;
    this->Table.noteEnded(Id, 200, std::nullopt);
    this->Table.notePrefillEnded(Id, 100);
  }
}

// Guards against calls to a server that asked for a backoff, and against
// queueing calls in vain when all servers of a service have asked for one.
TEST_F(ForwardRunTest, WhenAllServersAskForABackoffCallsAreRefusedAtOnce) {
  this->sendCall("/once/a");
  const std::string Refusal =
      head("503 Busy", "Not-Executed: 1\r\nRetry-After: 2.5\r\n"
                       "Content-Length: 0\r\n");
  this->waitForArrival()->write(Refusal);
  this->waitForArrival()->write(Refusal);
  ASSERT_TRUE(this->callerReceives("HTTP/1.1 503 "));
  this->Caller =
      std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
  const TimePoint Begun = EventLoop::now();
  this->sendCall("/once/a");
  ASSERT_TRUE(this->callerReceives("HTTP/1.1 503 "));
  EXPECT_LT(EventLoop::now() - Begun, 200ms);
  const std::string &Text = this->Caller->read();
  const double After = std::stod(Text.substr(Text.find("Retry-After: ") + 13));
  EXPECT_GT(After, 2.0);
  EXPECT_LT(After, 4.0);
  EXPECT_TRUE(this->hasNoArrival());
}

// Guards against sending a call whose content was blocked for crashing
// upstreams after it arrived: by the end of its own send, or while it was
// queued.
TEST_F(ForwardRunTest, ACallInProgressIsNotRetriedOnceItsContentIsBlocked) {
  const TimePoint Now = EventLoop::now();
  const std::uint64_t Content = callContentHash("c", "/safe/a", "body");
  this->sendCall("/safe/a");
  const auto Peer = this->waitForArrival();
  for (std::uint64_t Upstream = 1; Upstream < MaxCrashes; ++Upstream)
    noteCrash(this->Services.Crashes, Content, Upstream, Now);
  Peer->reset();
  ASSERT_TRUE(this->callerReceives("HTTP/1.1 502 "));
  EXPECT_TRUE(this->hasNoArrival());
}

TEST_F(ForwardRunTest, AQueuedCallIsRefusedOnceItsContentIsBlocked) {
  for (const std::string Id : {"u0", "u1"})
    this->Table.suspendUntil(Id, EventLoop::now() + 300ms);
  this->sendCall("/once/a");
  this->Loop.runUntil([] { return false; }, 100ms);
  for (std::uint64_t Upstream = 1; Upstream <= MaxCrashes; ++Upstream)
    noteCrash(this->Services.Crashes, callContentHash("c", "/once/a", "body"),
              Upstream, EventLoop::now());
  ASSERT_TRUE(this->callerReceives("HTTP/1.1 503 "));
  EXPECT_NE(this->Caller->read().find("Retry-After: "), std::string::npos);
  EXPECT_TRUE(this->hasNoArrival());
}

// Guards against counting no crash of an upstream that closes its connection as
// it begins to write a stream without a length.
TEST_F(ForwardRunTest, AStreamThatEndsWithoutAWholeEventIsBroken) {
  for (const std::string Text : {"", "id: 1\ndata: x\n"}) {
    this->Caller =
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
    this->Table.noteSuccess("u0");
    this->sendCall("/oncestream/a");
    const auto Peer = this->waitForArrival();
    Peer->write(head("200 OK", "Server-Stamp: x\r\nConnection: close\r\n") +
                Text);
    Peer->close();
    ASSERT_TRUE(this->callerReceives("HTTP/1.1 502 "));
    this->Services.Crashes = {};
  }
}

constexpr const char *Parts = "Prompt-Prefix: aa:10,bb:20,cc:5\r\n";

std::vector<std::uint64_t> partKeys() {
  return crashKeys(0, "s", std::vector<PromptPart>{{"aa"}, {"bb"}, {"cc"}});
}

// Guards against calls that share a crashing part passing as long as no two of
// them are alike.
TEST_F(ForwardRunTest, ABrokenSendIsRecordedForThePartsOfItsPrompt) {
  this->sendCall("/once/a", Parts);
  const auto Peer = this->waitForArrival();
  Peer->write(head("200 OK", "Server-Stamp: x\r\nContent-Length: 20\r\n"));
  Peer->reset();
  ASSERT_TRUE(this->callerReceives("HTTP/1.1 502 "));
  const auto Keys = partKeys();
  EXPECT_EQ(crashCount(this->Services.Crashes, Keys[1]), 1u);
  EXPECT_EQ(crashCount(this->Services.Crashes, Keys[2]), 1u);
}

// Guards against suspecting a part of a stream that was being answered.
TEST_F(ForwardRunTest, AStreamWithTwoEventsClearsThePartsOfItsPrompt) {
  const auto Keys = partKeys();
  noteCrash(this->Services.Crashes, Keys[1], 99, EventLoop::now());
  this->sendCall("/oncestream/a", Parts);
  const auto Peer = this->waitForArrival();
  Peer->write(head("200 OK", "Server-Stamp: x\r\nConnection: close\r\n") +
              "id: 1\ndata: x\n\n");
  ASSERT_TRUE(this->callerReceives("id: 1"));
  EXPECT_EQ(crashCount(this->Services.Crashes, Keys[1]), 1u);
  Peer->write("id: 2\ndata: x\n\n");
  ASSERT_TRUE(this->callerReceives("id: 2"));
  EXPECT_EQ(crashCount(this->Services.Crashes, Keys[1]), 0u);
  Peer->reset();
  ASSERT_TRUE(this->waitUntil([&] { return this->Caller->hasEnded(); }));
  EXPECT_EQ(crashCount(this->Services.Crashes, Keys[1]), 0u);
  EXPECT_EQ(crashCount(this->Services.Crashes, Keys[2]), 0u);
}

// Guards against clearing a crashing part by an answer that a crash has cut off
// where its end cannot be told from that.
TEST_F(ForwardRunTest, AnAnswerThatEndsWithItsConnectionClearsNoCrash) {
  for (const std::string More :
       {"Connection: close\r\n", "Content-Length: 2\r\n"}) {
    const auto Keys = partKeys();
    noteCrash(this->Services.Crashes, Keys[1], 99, EventLoop::now());
    this->Caller =
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
    this->sendCall("/once/a", Parts);
    const auto Peer = this->waitForArrival();
    Peer->write(head("200 OK", "Server-Stamp: x\r\n" + More) + "ok");
    Peer->close();
    ASSERT_TRUE(this->callerReceives("HTTP/1.1 200 "));
    EXPECT_EQ(crashCount(this->Services.Crashes, Keys[1]),
              More.starts_with("Connection") ? 1u : 0u);
  }
}

// Guards against a crash by a call that was sent before its part was blocked.
TEST_F(ForwardRunTest, ASendWithoutAnAnswerIsWithdrawnOnceItsPartIsBlocked) {
  this->sendCall("/once/a", Parts);
  const auto Peer = this->waitForArrival();
  this->Services.RefusalsChanged.emit();
  EXPECT_FALSE(this->Loop.runUntil([&] { return Peer->hasEnded(); }, 100ms));
  for (std::uint64_t Upstream = 1; Upstream <= MaxCrashes; ++Upstream)
    noteCrash(this->Services.Crashes, partKeys()[2], Upstream,
              EventLoop::now());
  this->Services.RefusalsChanged.emit();
  ASSERT_TRUE(this->waitUntil([&] { return Peer->hasEnded(); }));
  ASSERT_TRUE(this->callerReceives("HTTP/1.1 502 "));
  EXPECT_TRUE(this->hasNoArrival());
}

// Guards against abandoning a slow send for a retry that is not allowed.
TEST_F(ForwardRunTest, ASlowSendOfBlockedContentContinues) {
  this->sendCall("/safe/a");
  const auto Peer = this->waitForArrival();
  for (std::uint64_t Upstream = 1; Upstream <= MaxCrashes; ++Upstream)
    noteCrash(this->Services.Crashes, callContentHash("c", "/safe/a", "body"),
              Upstream, EventLoop::now());
  this->Loop.runUntil([] { return false; }, 700ms);
  Peer->write(head("200 OK", "Server-Stamp: x\r\nContent-Length: 2\r\n") +
              "ok");
  EXPECT_TRUE(this->callerReceives("HTTP/1.1 200 "));
}

// Guards against calls that wait for their deadline behind an answer whose
// status has no meaning, and against its body reaching a caller.
TEST_F(ForwardRunTest, AnAnswerWithAStatusOutsideItsRangeIsBroken) {
  for (const char *Status : {"000 None", "101 Switching", "600 Odd"}) {
    const std::string Answer =
        head(Status, "Server-Stamp: x\r\nContent-Length: 3\r\n") + "odd";
    const TimePoint From = EventLoop::now();
    this->sendCall("/once/a");
    this->waitForArrival()->write(Answer);
    EXPECT_TRUE(this->callerReceives("HTTP/1.1 502 ")) << Status;
    EXPECT_TRUE(this->hasNoArrival()) << Status;
    this->sendCall("/safe/a");
    this->waitForArrival()->write(Answer);
    this->waitForArrival()->write(
        head("200 OK", "Server-Stamp: x\r\nContent-Length: 2\r\n") + "ok");
    EXPECT_TRUE(this->callerReceives("HTTP/1.1 200 ")) << Status;
    EXPECT_EQ(this->Caller->text().find("odd"), std::string::npos) << Status;
    EXPECT_LT(EventLoop::now() - From, 1s) << Status;
    this->Caller =
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
  }
}

// Guards against a late duplicate of an answer, with or without the id of its
// call, reaching the next caller on a reused connection.
TEST_F(ForwardRunTest, ALateDuplicateAnswerReachesNoOtherCaller) {
  for (const std::string Id : {"Request-Id: r1\r\n", ""}) {
    this->Table.remove("u1", EventLoop::now());
    this->Pool.closeIdle(this->Servers[0].Address);
    this->Caller =
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
    const std::string Copy = "HTTP/1.1 200 OK\r\n" + Id +
                             "Server-Stamp: x\r\nContent-Length: 5\r\n\r\n"
                             "first";
    this->sendCall("/once/a");
    const auto Peer = this->waitForArrival();
    Peer->write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: x\r\n"
                "Content-Length: 5\r\n\r\nfirst");
    ASSERT_TRUE(this->callerReceives("first"));
    RawSocket Next(RawSocket::connectTo(this->Address));
    Next.write("POST /once/b HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\n"
               "Authorization: Bearer key\r\nContent-Length: 4\r\n\r\nbody");
    ASSERT_TRUE(this->waitUntil([&] {
      return Peer->read().find("Request-Id: r2") != std::string::npos;
    })) << "the connection is reused";
    Peer->write(Copy);
    Peer->write("HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nServer-Stamp: y\r\n"
                "Content-Length: 6\r\n\r\nsecond");
    ASSERT_TRUE(this->waitUntil([&] {
      return Next.read().find("second") != std::string::npos;
    })) << Next.read();
    EXPECT_EQ(Next.read().find("first"), std::string::npos);
  }
}

// Guards against cutting a slow but healthy stream while no other upstream has
// capacity to resume it.
TEST_F(ForwardRunTest, ASlowStreamContinuesWhileNoOtherUpstreamHasCapacity) {
  this->sendCall("/stream/a");
  const auto Peer = this->waitForArrival();
  Peer->write(this->StreamHead + chunk("id: 1\ndata: a\n\n"));
  ASSERT_TRUE(this->callerReceives("data: a"));
  for (const char *Id : {"u0", "u1"})
    this->Table.suspendUntil(Id, EventLoop::now() + 10s);
  // Longer than the stall limit between events.
  this->Loop.runUntil([] { return false; }, 1200ms);
  Peer->write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  EXPECT_TRUE(this->callerReceives("data: b"));
}

// Guards against a stalled stream that is kept open by occasional bytes or
// comments.
TEST_F(ForwardRunTest, AStalledStreamWithTrickledBytesIsResumedElsewhere) {
  for (const std::string Trickle : {"x", ": still here\n\n"}) {
    this->Caller =
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
    this->sendCall("/stream/a");
    const auto Stalled = this->waitForArrival();
    Stalled->write(this->StreamHead + chunk("id: 1\ndata: a\n\n"));
    ASSERT_TRUE(this->callerReceives("data: a"));
    int Other = -1;
    TimePoint NextByte = EventLoop::now();
    ASSERT_TRUE(this->Loop.runUntil(
        [&] {
          if (EventLoop::now() >= NextByte) {
            Stalled->writeSome(chunk(Trickle));
            NextByte = EventLoop::now() + 50ms;
          }
          for (const RawListener &Each : this->Servers)
            if (Other < 0)
              Other = Each.accept();
          return Other >= 0;
        },
        1400ms))
        << Trickle;
    RawSocket Second(Other);
    Second.writeSome(this->StreamHead + chunk("id: 2\ndata: b\n\n") +
                     "0\r\n\r\n");
    EXPECT_TRUE(this->callerReceives("data: b"));
    EXPECT_TRUE(this->waitUntil([&] { return Stalled->hasEnded(); }));
  }
}

// Guards against an unterminated event, which would be buffered until the
// deadline of the call.
TEST_F(ForwardRunTest, AnUnterminatedEventBreaksTheSend) {
  this->sendCall("/oncestream/a");
  const auto Peer = this->waitForArrival();
  Peer->write(this->StreamHead + chunk("id: 1\ndata: a\n\n"));
  ASSERT_TRUE(this->callerReceives("data: a"));
  const std::string Block = chunk(std::string(60000, 'x'));
  const TimePoint Begun = EventLoop::now();
  ASSERT_TRUE(this->waitUntil([&] {
    Peer->writeSome(Block);
    return this->Caller->hasEnded();
  }));
  EXPECT_LT(EventLoop::now() - Begun, 1s) << "before the deadline of the call";
  EXPECT_EQ(this->Caller->read().find("\r\n0\r\n\r\n"), std::string::npos);
}

// Guards against a stream that goes on behind an event that was dropped, since
// later bytes of the same read put off its end.
TEST_F(ForwardRunTest, NothingFollowsAnEventThatIsTooLong) {
  for (const std::string Path : {"/oncestream/a", "/stream/a"}) {
    this->Caller =
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
    this->sendCall(Path);
    const auto Peer = this->waitForArrival();
    Peer->write(this->StreamHead + chunk("id: 1\ndata: a\n\n"));
    ASSERT_TRUE(this->callerReceives("data: a"));
    const std::string Rest =
        chunk("id: 2\ndata: " +
              std::string(EventSplitter::MaxEventBytes, 'x')) +
        chunk("\n\nid: 3\ndata: c\n\n") + "0\r\n\r\n";
    std::string_view Unsent = Rest;
    this->waitUntil([&] {
      Unsent.remove_prefix(Peer->writeSome(Unsent));
      return Unsent.empty();
    });
    this->Loop.runUntil([] { return false; }, 300ms);
    EXPECT_EQ(countOf(this->Caller->read(), "data: c"), 0) << Path;
  }
}

// Guards against ending a stream whose reader is slower than its upstream. The
// upstream waits instead, and memory stays bounded.
TEST_F(ForwardRunTest, AStreamFasterThanItsReaderIsForwardedWhole) {
  this->Config.Routes[3].Timeout = 20s;
  this->Services.Config = std::make_shared<const ForwardConfig>(this->Config);
  this->sendCall("/oncestream/a");
  const auto Peer = this->waitForArrival();
  constexpr std::size_t EventCount = 480;
  std::string Stream = this->StreamHead;
  for (std::size_t I = 1; I <= EventCount; ++I)
    Stream += chunk("id: " + std::to_string(I) +
                    "\ndata: " + std::string(32 << 10, 'x') + "\n\n");
  Stream += "0\r\n\r\n";
  std::string_view Unsent = Stream;
  const auto Send = [&] {
    Unsent.remove_prefix(Peer->writeSome(Unsent.substr(0, 256 << 10)));
    return Unsent.empty();
  };
  EXPECT_FALSE(this->Loop.runUntil(Send, 1500ms))
      << "the whole stream was taken in though nobody reads it";
  std::size_t Read = 0;
  std::string End;
  EXPECT_TRUE(this->Loop.runUntil(
      [&] {
        Send();
        std::string Part;
        do {
          Part = this->Caller->take(512 << 10);
          Read += Part.size();
          End = (End + Part)
                    .substr(std::max<std::size_t>(End.size() + Part.size(), 5) -
                            5);
        } while (!Part.empty());
        return End == "0\r\n\r\n" || this->Caller->hasEnded();
      },
      10s));
  EXPECT_EQ(End, "0\r\n\r\n") << Read << " bytes of " << Stream.size();
  EXPECT_GE(Read, EventCount * (32 << 10));
}

// Guards against giving up a stream for its silence while its upstream waits
// for a slow reader.
TEST_F(ForwardRunTest, AStreamThatWaitsForItsReaderIsNotResumedElsewhere) {
  this->Config.Routes[0].Timeout = 20s;
  this->Services.Config = std::make_shared<const ForwardConfig>(this->Config);
  this->sendCall("/stream/a");
  const auto Peer = this->waitForArrival();
  const std::string Stream = this->longStream();
  std::string_view Unsent = Stream;
  EXPECT_FALSE(this->Loop.runUntil(
      [&] {
        Unsent.remove_prefix(Peer->writeSome(Unsent.substr(0, 256 << 10)));
        return Peer->hasEnded();
      },
      3s));
  EXPECT_FALSE(Unsent.empty()) << "the upstream never had to wait";
  EXPECT_TRUE(this->hasNoArrival());
}

// Guards against taking bytes that have waited for a slow reader for a sign
// that their upstream still runs.
TEST_F(ForwardRunTest, BytesThatWaitedForTheirReaderDoNotShowALiveUpstream) {
  this->Config.Routes[0].Timeout = 20s;
  this->Services.Config = std::make_shared<const ForwardConfig>(this->Config);
  this->sendCall("/stream/a");
  const auto Peer = this->waitForArrival();
  const std::string Stream = this->longStream();
  std::string_view Unsent = Stream;
  EXPECT_FALSE(this->Loop.runUntil(
      [&] {
        Unsent.remove_prefix(Peer->writeSome(Unsent.substr(0, 256 << 10)));
        return Unsent.empty();
      },
      1500ms));
  // The upstream writes nothing from here on.
  const TimePoint Stopped = EventLoop::now();
  std::size_t Read = 0;
  this->Loop.runUntil(
      [&] {
        Read += this->Caller->take(512 << 10).size();
        return false;
      },
      500ms);
  EXPECT_GT(Read, std::size_t{2} << 20);
  for (const char *Each : {"u0", "u1"})
    EXPECT_LE(this->Table.find(Each)->HeardAt, Stopped) << Each;
}

// Guards against giving up a sound stream whose events arrived while the
// process stood still.
TEST_F(ForwardRunTest,
       AStreamThatGoesOnDuringAStandstillIsNotResumedElsewhere) {
  this->sendCall("/stream/a");
  const auto Peer = this->waitForArrival();
  Peer->write(this->StreamHead + chunk("id: 1\ndata: a\n\n"));
  ASSERT_TRUE(this->callerReceives("data: a"));
  Peer->write(chunk("id: 2\ndata: b\n\n"));
  // Longer than the stall limit between events.
  std::this_thread::sleep_for(900ms);
  EXPECT_TRUE(this->hasNoArrival());
  EXPECT_FALSE(Peer->hasEnded());
  EXPECT_TRUE(this->callerReceives("data: b"));
}

} // namespace
} // namespace galenaroute
