// Tests of callers' and upstreams' connections of forwarded calls.

#include "RawSocket.h"
#include "connection/CallListener.h"
#include "connection/UpstreamPool.h"

#include <fstream>
#include <gtest/gtest.h>
#include <thread>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

class CallListenerTest : public testing::Test {
protected:
  void start(CallListener::Handler OnCall, CallerLimits Limits = {}) {
    this->Address = freeAddress();
    this->Listener = std::make_unique<CallListener>(this->Loop, this->Address,
                                                    Limits, std::move(OnCall));
  }
  bool until(const std::function<bool()> &Done) {
    return this->Loop.runUntil(Done, 3s);
  }

  EventLoop Loop;
  SocketAddress Address;
  std::unique_ptr<CallListener> Listener;
};

// Guards against a connection that is shut down before its answer was written.
TEST_F(CallListenerTest, AnswersBeforeItCloses) {
  this->start([](const std::shared_ptr<IncomingCall> &Call) {
    Call->send(200, {}, "whole");
  });
  RawSocket Caller(RawSocket::connectTo(this->Address));
  Caller.write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  ASSERT_TRUE(this->until([&] { return Caller.hasEnded(); }));
  EXPECT_TRUE(Caller.read().ends_with("\r\n\r\nwhole")) << Caller.read();
}

// Guards against the rest of a body being read as a request of its own: with
// two lengths, the daemon answered 200 by the first.
TEST_F(CallListenerTest, TwoLengthsAreRefusedAndNothingBehindIsRead) {
  int Calls = 0;
  this->start([&](const std::shared_ptr<IncomingCall> &Call) {
    ++Calls;
    Call->send(200, {}, {});
  });
  RawSocket Caller(RawSocket::connectTo(this->Address));
  Caller.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
               "Content-Length: 50\r\n\r\nhelloGET /hidden HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(this->until([&] { return Caller.hasEnded(); }));
  EXPECT_TRUE(Caller.read().starts_with("HTTP/1.1 400 ")) << Caller.read();
  EXPECT_EQ(Calls, 0);
}

TEST_F(CallListenerTest, ALargeHeadIsRefusedWith431) {
  this->start([](const std::shared_ptr<IncomingCall> &) {},
              {.Message = {.MaxHeadBytes = 2000}});
  RawSocket Caller(RawSocket::connectTo(this->Address));
  Caller.write("GET / HTTP/1.1\r\nA: " + std::string(20000, 'x') + "\r\n\r\n");
  ASSERT_TRUE(this->until([&] { return Caller.hasEnded(); }));
  EXPECT_TRUE(Caller.read().starts_with("HTTP/1.1 431 ")) << Caller.read();
}

TEST_F(CallListenerTest, TellsThatACallerHasLeft) {
  bool Left = false;
  std::shared_ptr<IncomingCall> Kept;
  this->start([&](const std::shared_ptr<IncomingCall> &Call) {
    Kept = Call;
    Call->CallerLeft.connect([&] { Left = true; });
  });
  RawSocket Caller(RawSocket::connectTo(this->Address));
  Caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(this->until([&] { return Kept != nullptr; }));
  Caller.close();
  ASSERT_TRUE(this->until([&] { return Left; }));
  EXPECT_FALSE(Kept->isOpen());
}

TEST_F(CallListenerTest, AnswersPipelinedRequestsInOrder) {
  std::vector<std::shared_ptr<IncomingCall>> Calls;
  this->start([&](const std::shared_ptr<IncomingCall> &Call) {
    Calls.push_back(Call);
  });
  RawSocket Caller(RawSocket::connectTo(this->Address));
  Caller.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
               "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(this->until([&] { return Calls.size() == 1; }));
  Calls[0]->send(200, {}, "first");
  ASSERT_TRUE(this->until([&] { return Calls.size() == 2; }));
  EXPECT_EQ(Calls[1]->Head.Target, "/b");
  Calls[1]->send(200, {}, "second");
  ASSERT_TRUE(this->until([&] { return Caller.read().ends_with("second"); }));
}

// Guards against an answer that breaks off halfway and reaches a caller without
// chunks as a complete success: for it, an orderly close is the end.
TEST_F(CallListenerTest, ACutAnswerWithoutFramingIsSeenToBeIncomplete) {
  std::shared_ptr<IncomingCall> Call;
  this->start([&](const std::shared_ptr<IncomingCall> &Arrived) {
    Call = Arrived;
    Call->begin(200, {});
    Call->write("half");
  });
  RawSocket Caller(RawSocket::connectTo(this->Address));
  Caller.write("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(this->until([&] { return Caller.read().ends_with("half"); }));
  Call->abort();
  ASSERT_TRUE(this->until([&] { return Caller.hasEnded(); }));
  EXPECT_TRUE(Caller.wasReset());
}

TEST_F(CallListenerTest, AWholeAnswerWithoutFramingEndsInGoodOrder) {
  this->start([&](const std::shared_ptr<IncomingCall> &Call) {
    Call->begin(200, {});
    Call->write("whole");
    Call->finish();
  });
  RawSocket Caller(RawSocket::connectTo(this->Address));
  Caller.write("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(this->until([&] { return Caller.hasEnded(); }));
  EXPECT_TRUE(Caller.read().ends_with("whole"));
  EXPECT_FALSE(Caller.wasReset());
}

// Guards against requests that are cut off because they wait to be accepted
// when the listener closes at a planned stop.
TEST_F(CallListenerTest, WhatWaitsToBeAcceptedIsServedBeforeItRefuses) {
  this->start([](const std::shared_ptr<IncomingCall> &Call) {
    Call->send(503, {}, "later");
  });
  std::vector<std::unique_ptr<RawSocket>> Callers;
  for (int I = 0; I < 50; ++I) {
    Callers.push_back(
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address)));
    Callers.back()->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  // The loop has not run, so all of them wait in the kernel.
  this->Listener->closeAfterAnswers();
  this->Listener->stopAccepting();
  EXPECT_THROW(RawSocket::connectTo(this->Address), std::runtime_error);
  for (const auto &Each : Callers)
    ASSERT_TRUE(this->until([&] { return Each->hasEnded(); }));
  for (const auto &Each : Callers) {
    EXPECT_TRUE(Each->read().ends_with("later"));
    EXPECT_FALSE(Each->wasReset());
  }
}

// Guards against a process that ends while a request is half read.
TEST_F(CallListenerTest, IsNotQuietWhileARequestIsReadOrAnswered) {
  std::shared_ptr<IncomingCall> Call;
  this->start(
      [&](const std::shared_ptr<IncomingCall> &Arrived) { Call = Arrived; });
  RawSocket Caller(RawSocket::connectTo(this->Address));
  EXPECT_TRUE(this->Listener->isQuiet());
  Caller.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Le");
  ASSERT_TRUE(this->until([&] { return !this->Listener->isQuiet(); }));
  Caller.write("ngth: 4\r\n\r\nbo");
  Caller.write("dy");
  ASSERT_TRUE(this->until([&] { return Call != nullptr; }));
  EXPECT_FALSE(this->Listener->isQuiet());
  Call->send(200, {}, "ok");
  EXPECT_TRUE(this->until([&] { return this->Listener->isQuiet(); }));
}

/// An upstream whose bytes a test writes by hand.
class UpstreamPoolTest : public testing::Test {
protected:
  struct Outcome {
    std::string Body;
    std::optional<UpstreamEnd> End;
    int Heads = 0;
  };

  std::unique_ptr<UpstreamExchange>
  start(Outcome &Into,
        const std::function<bool(const HttpHead &)> &Accepts = {}) {
    return this->Pool.start(
        this->Server.Address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", {},
        {.OnHead =
             [&Into, Accepts](const HttpHead &Head) {
               ++Into.Heads;
               return !Accepts || Accepts(Head);
             },
         .OnBody = [&Into](std::string_view Bytes) { Into.Body += Bytes; },
         .OnEnd = [&Into](UpstreamEnd End) { Into.End = End; }});
  }
  std::unique_ptr<RawSocket> accept() {
    int Socket = -1;
    EXPECT_TRUE(this->Loop.runUntil(
        [&] {
          if (Socket < 0)
            Socket = this->Server.accept();
          return Socket >= 0;
        },
        3s));
    return std::make_unique<RawSocket>(Socket);
  }
  bool ended(const Outcome &Of) {
    return this->Loop.runUntil([&] { return Of.End.has_value(); }, 3s);
  }

  EventLoop Loop;
  RawListener Server;
  UpstreamPool Pool{Loop};
};

constexpr std::string_view Whole =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Guards against log lines that do not tell a close, a reset and a refused
// connection apart.
TEST_F(UpstreamPoolTest, TellsWhatEndedAConnection) {
  Outcome Closed;
  const auto First = this->start(Closed);
  this->accept()->close();
  ASSERT_TRUE(this->ended(Closed));
  Outcome Reset;
  const auto Second = this->start(Reset);
  this->accept()->reset();
  ASSERT_TRUE(this->ended(Reset));
  Outcome Refused;
  const auto Third =
      this->Pool.start(freeAddress(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", {},
                       {.OnEnd = [&](UpstreamEnd End) { Refused.End = End; }});
  ASSERT_TRUE(this->ended(Refused));
  EXPECT_EQ(toString(First->cause()), "closed");
  EXPECT_EQ(toString(Second->cause()), "reset");
  EXPECT_EQ(toString(Third->cause()), "refused");
}

// Guards against bytes that were already parsed counting as left over, which
// opened a connection for every call.
TEST_F(UpstreamPoolTest, AConnectionIsUsedAgain) {
  Outcome First;
  Outcome Second;
  auto A = this->start(First);
  const auto Peer = this->accept();
  this->Loop.runUntil([&] { return !Peer->read().empty(); }, 3s);
  Peer->write(Whole);
  ASSERT_TRUE(this->ended(First));
  EXPECT_EQ(*First.End, UpstreamEnd::Complete);
  auto B = this->start(Second);
  EXPECT_TRUE(B->usedKeptConnection());
  Peer->write(Whole);
  ASSERT_TRUE(this->ended(Second));
  EXPECT_EQ(Second.Body, "ok");
  EXPECT_EQ(this->Pool.opened(), 1U);
}

// Guards against a call that is sent on a kept connection whose end has arrived
// while the loop was busy: one that must not be repeated got 502.
TEST_F(UpstreamPoolTest, AnIdleConnectionThatHasEndedIsNotUsedAgain) {
  for (const bool Resets : {false, true}) {
    Outcome First;
    Outcome Second;
    const auto A = this->start(First);
    const auto Peer = this->accept();
    this->Loop.runUntil([&] { return !Peer->read().empty(); }, 3s);
    Peer->write(Whole);
    ASSERT_TRUE(this->ended(First));
    Resets ? Peer->reset() : Peer->close();
    const auto B = this->start(Second);
    EXPECT_FALSE(B->usedKeptConnection());
    const auto Next = this->accept();
    this->Loop.runUntil([&] { return !Next->read().empty(); }, 3s);
    Next->write(Whole);
    ASSERT_TRUE(this->ended(Second));
    EXPECT_EQ(*Second.End, UpstreamEnd::Complete);
    this->Pool.closeIdle(this->Server.Address);
  }
}

// Guards against calls on a kept connection whose link has gone silent: each of
// them would wait until the kernel gives the connection up.
TEST_F(UpstreamPoolTest, AnIdleConnectionWithASilentLinkIsNotUsedAgain) {
  Outcome First;
  Outcome Second;
  Outcome Third;
  const auto A = this->start(First);
  const auto Peer = this->accept();
  Peer->write(Whole);
  ASSERT_TRUE(this->ended(First));
  this->Loop.runUntil([] { return false; }, 1200ms);
  const auto B = this->start(Second);
  EXPECT_TRUE(B->usedKeptConnection()) << "the probe was answered";
  Peer->write(Whole);
  ASSERT_TRUE(this->ended(Second));
  Peer->dropArriving();
  this->Loop.runUntil([] { return false; }, 1200ms);
  const auto C = this->start(Third);
  EXPECT_FALSE(C->usedKeptConnection());
  this->accept()->write(Whole);
  EXPECT_TRUE(this->ended(Third));
  EXPECT_EQ(this->Pool.connections(this->Server.Address), 1U);
}

// Guards against connections that are kept for long after their link has gone
// silent for good, with a request on the way and after it was acknowledged.
TEST_F(UpstreamPoolTest, ALinkThatStaysSilentIsNoticedWithinFiveSeconds) {
  Outcome Warm;
  Outcome OnTheWay;
  Outcome Acknowledged;
  const auto A = this->start(Warm);
  const auto First = this->accept();
  First->write(Whole);
  ASSERT_TRUE(this->ended(Warm));
  First->dropArriving();
  const TimePoint From = EventLoop::now();
  const auto B = this->start(OnTheWay);
  ASSERT_TRUE(B->usedKeptConnection());
  const auto C = this->start(Acknowledged);
  const auto Second = this->accept();
  this->Loop.runUntil([&] { return !Second->read().empty(); }, 3s);
  Second->dropArriving();
  for (const Outcome *Each : {&OnTheWay, &Acknowledged}) {
    ASSERT_TRUE(this->Loop.runUntil([&] { return Each->End.has_value(); }, 5s));
    const Duration After = EventLoop::now() - From;
    EXPECT_GT(After, 3s);
    EXPECT_LT(After, 5s);
    this->RecordProperty(Each == &OnTheWay ? "on_the_way_ms" : "waiting_ms",
                         std::to_string(toMilliseconds(After)));
  }
  EXPECT_EQ(toString(B->cause()), "no_acknowledgment");
  EXPECT_EQ(toString(C->cause()), "no_acknowledgment");
}

// Guards against idle connections that are kept for long after their link has
// gone silent, also behind a long request, which has a longer limit.
TEST_F(UpstreamPoolTest, ASilentLinkOfAnIdleConnectionIsNoticed) {
  for (const std::size_t BodyBytes : {0U, 100U << 10}) {
    const std::string Text =
        "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(BodyBytes) +
        "\r\n\r\n" + std::string(BodyBytes, 'x');
    std::optional<UpstreamEnd> End;
    const auto Exchange =
        this->Pool.start(this->Server.Address, Text, {},
                         {.OnHead = [](const HttpHead &) { return true; },
                          .OnBody = [](std::string_view) {},
                          .OnEnd = [&](UpstreamEnd How) { End = How; }});
    const auto Peer = this->accept();
    ASSERT_TRUE(this->Loop.runUntil(
        [&] { return Peer->read().size() == Text.size(); }, 3s));
    Peer->write("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=30\r\n"
                "Content-Length: 0\r\n\r\n");
    ASSERT_TRUE(this->Loop.runUntil([&] { return End.has_value(); }, 3s));
    ASSERT_EQ(this->Pool.connections(this->Server.Address), 1U);
    Peer->dropArriving();
    const TimePoint From = EventLoop::now();
    EXPECT_TRUE(this->Loop.runUntil(
        [&] { return this->Pool.connections(this->Server.Address) == 0; }, 5s))
        << BodyBytes;
    const Duration After = EventLoop::now() - From;
    EXPECT_GT(After, 3500ms);
    this->RecordProperty("idle_ms_" + std::to_string(BodyBytes),
                         std::to_string(toMilliseconds(After)));
    this->Pool.closeIdle(this->Server.Address);
  }
}

// Guards against a connection that counts as failed since the process stood
// still while it was established, and its timer ran first.
TEST_F(UpstreamPoolTest, AConnectDuringAStandstillSucceeds) {
  Outcome Into;
  const auto Exchange = this->start(Into);
  std::this_thread::sleep_for(600ms);
  this->Loop.runUntil([&] { return Exchange->wasSent() || Into.End; }, 1s);
  EXPECT_TRUE(Exchange->wasSent());
  this->accept()->write(Whole);
  ASSERT_TRUE(this->ended(Into));
  EXPECT_EQ(*Into.End, UpstreamEnd::Complete);
}

// Guards against a refused connection that is logged as one that took too long.
TEST_F(UpstreamPoolTest, ARefusalDuringAStandstillIsToldAsOne) {
  Outcome Into;
  const auto Exchange =
      this->Pool.start(freeAddress(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", {},
                       {.OnEnd = [&](UpstreamEnd End) { Into.End = End; }});
  std::this_thread::sleep_for(600ms);
  ASSERT_TRUE(this->ended(Into));
  EXPECT_EQ(*Into.End, UpstreamEnd::ConnectFailed);
  EXPECT_EQ(toString(Exchange->cause()), "refused");
}

// Guards against another call's late answer being handed on.
TEST_F(UpstreamPoolTest, SkipsAnAnswerToAnotherCall) {
  Outcome Into;
  auto Exchange = this->start(Into, [](const HttpHead &Head) {
    return Head.Headers.find("Id") == "mine";
  });
  const auto Peer = this->accept();
  Peer->write("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad"
              "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\ngood");
  ASSERT_TRUE(this->ended(Into));
  EXPECT_EQ(Into.Body, "good");
  EXPECT_EQ(this->Pool.connections(this->Server.Address), 0U)
      << "such a connection is not used again";
}

// Guards against a second answer reaching the next call.
TEST_F(UpstreamPoolTest, ExtraBytesEndTheConnection) {
  Outcome Into;
  auto Exchange = this->start(Into);
  const auto Peer = this->accept();
  Peer->write(std::string(Whole) + std::string(Whole));
  ASSERT_TRUE(this->ended(Into));
  EXPECT_EQ(Into.Body, "ok");
  EXPECT_EQ(this->Pool.connections(this->Server.Address), 0U);
}

TEST_F(UpstreamPoolTest, ACutAnswerIsNotComplete) {
  Outcome Into;
  auto Exchange = this->start(Into);
  const auto Peer = this->accept();
  Peer->write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
  Peer->close();
  ASSERT_TRUE(this->ended(Into));
  EXPECT_EQ(*Into.End, UpstreamEnd::Cut);
}

// Guards against an answer without a length that was reset on the way looking
// complete; one that ends in good order is.
TEST_F(UpstreamPoolTest, AnAnswerWithoutLengthIsCompleteOnlyAtAGoodEnd) {
  Outcome Good;
  auto A = this->start(Good);
  auto Peer = this->accept();
  // Closing with an unread request resets the connection.
  this->Loop.runUntil([&] { return Peer->read().ends_with("\r\n\r\n"); }, 3s);
  Peer->write("HTTP/1.1 200 OK\r\n\r\nab");
  Peer->close();
  ASSERT_TRUE(this->ended(Good));
  EXPECT_EQ(*Good.End, UpstreamEnd::Complete);
  Outcome Reset;
  auto B = this->start(Reset);
  Peer = this->accept();
  Peer->write("HTTP/1.1 200 OK\r\n\r\nab");
  this->Loop.runUntil([&] { return !Reset.Body.empty(); }, 3s);
  Peer->reset();
  ASSERT_TRUE(this->ended(Reset));
  EXPECT_EQ(*Reset.End, UpstreamEnd::Cut);
}

TEST_F(UpstreamPoolTest, ACancelledExchangeClosesItsConnection) {
  Outcome Into;
  auto Exchange = this->start(Into);
  const auto Peer = this->accept();
  this->Loop.runUntil([&] { return !Peer->read().empty(); }, 3s);
  Exchange.reset();
  EXPECT_TRUE(this->Loop.runUntil([&] { return Peer->hasEnded(); }, 3s));
  EXPECT_FALSE(Into.End.has_value());
}

// Guards against an upstream that sends answers to other calls, or interim
// ones, without end: the call would wait for its own for ever.
TEST_F(UpstreamPoolTest, AnswersToOtherCallsWithoutEndAreCut) {
  for (const std::string Kind :
       {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n"}) {
    Outcome Into;
    auto Exchange = this->start(Into, [](const HttpHead &Head) {
      return Head.Headers.find("Id") == "mine";
    });
    const auto Peer = this->accept();
    const TimePoint Begun = EventLoop::now();
    ASSERT_TRUE(this->Loop.runUntil(
        [&] {
          if (!Into.End)
            Peer->writeSome(Kind);
          return Into.End.has_value();
        },
        3s));
    EXPECT_EQ(*Into.End, UpstreamEnd::Malformed);
    EXPECT_LT(EventLoop::now() - Begun, 1s);
    EXPECT_TRUE(this->Loop.runUntil([&] { return Peer->hasEnded(); }, 3s));
  }
}

/// Memory of this process that is in use, in KB.
long residentKb() {
  std::ifstream File("/proc/self/statm");
  long Size = 0;
  long Resident = 0;
  File >> Size >> Resident;
  return Resident * (sysconf(_SC_PAGESIZE) / 1024);
}

// Guards against bytes that are no answer and come without end, in a head or in
// a body: memory must stay flat and the connection must be closed.
TEST_F(UpstreamPoolTest, BytesWithoutEndAreCutAndMemoryStaysFlat) {
  const std::string Block(64 << 10, 'x');
  for (const std::string Begin :
       {"HTTP/1.1 200 OK\r\nA: ", "garbage", "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "fffffffff\r\n"}) {
    std::optional<UpstreamEnd> End;
    auto Exchange = this->Pool.start(
        this->Server.Address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", {},
        {.OnHead = [](const HttpHead &) { return true; },
         .OnBody = [](std::string_view) {},
         .OnEnd = [&](UpstreamEnd How) { End = How; }});
    const auto Peer = this->accept();
    const long Before = residentKb();
    Peer->writeSome(Begin);
    std::size_t Written = 0;
    ASSERT_TRUE(this->Loop.runUntil(
        [&] {
          if (!End)
            Written += Peer->writeSome(Block);
          return End.has_value();
        },
        10s))
        << Begin << " still open after " << Written << " bytes";
    EXPECT_EQ(*End, UpstreamEnd::Malformed) << Begin;
    EXPECT_LT(residentKb() - Before, 8 << 10) << Begin;
    EXPECT_TRUE(this->Loop.runUntil([&] { return Peer->hasEnded(); }, 3s));
  }
}

// Guards against ending a request whose upstream does not read for longer than
// the limit after which a silent link ends.
TEST_F(UpstreamPoolTest, AnUpstreamThatPausesInsideALongBodyGetsAllOfIt) {
  const std::string Body(16 << 20, 'x');
  std::optional<UpstreamEnd> End;
  auto Exchange =
      this->Pool.start(this->Server.Address,
                       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                           std::to_string(Body.size()) + "\r\n\r\n" + Body,
                       {},
                       {.OnHead = [](const HttpHead &) { return true; },
                        .OnBody = [](std::string_view) {},
                        .OnEnd = [&](UpstreamEnd How) { End = How; }});
  const auto Peer = this->accept();
  this->Loop.runUntil([&] { return End.has_value(); }, 2500ms);
  std::size_t Read = 0;
  this->Loop.runUntil(
      [&] {
        Read += Peer->readSome(1 << 20);
        return End || Read >= Body.size();
      },
      3s);
  EXPECT_GE(Read, Body.size());
  Peer->writeSome("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  EXPECT_TRUE(this->Loop.runUntil([&] { return End.has_value(); }, 1s));
  EXPECT_EQ(End, UpstreamEnd::Complete);
}

} // namespace
} // namespace galenaroute
