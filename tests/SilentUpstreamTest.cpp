// Answers of sound upstreams that are silent for a second or so and go on.

#include "ForwardRunFixture.h"

#include <thread>

namespace galenaroute {
namespace {

constexpr const char *Refusal =
    "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";
const std::string Ok =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: x\r\n"
    "Content-Length: 2\r\n\r\nok";

class SilentUpstreamTest : public ForwardRunFixture {
protected:
  SilentUpstreamTest() {
    for (ForwardRoute &Each : this->Config.Routes)
      Each.Timeout = 6s;
    this->Services.Config = std::make_shared<const ForwardConfig>(this->Config);
  }

  void runFor(Duration Time) {
    this->Loop.runUntil([] { return false; }, Time);
  }

  /// Starts a stream and waits until the caller has its first event.
  std::unique_ptr<RawSocket> beginStream(const std::string &Path) {
    this->sendCall(Path);
    auto Peer = this->waitForArrival();
    Peer->write(this->StreamHead + chunk("id: 1\ndata: a\n\n"));
    EXPECT_TRUE(this->callerReceives("data: a"));
    return Peer;
  }

  /// Returns whether the caller gets the second event and the end of its
  /// stream from \p Peer.
  bool endsWhole(RawSocket &Peer) {
    Peer.writeSome(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    return this->callerReceives("\r\n0\r\n\r\n") &&
           countOf(this->Caller->read(), "id: 2\n") == 1;
  }
};

// Guards against a stream that is lost because the upstream asked to resume it
// refuses, while the first one goes on.
TEST_F(SilentUpstreamTest, AStreamOutlastsTheRefusalOfItsResumption) {
  const auto Silent = this->beginStream("/stream/a");
  const auto Other = this->waitForArrival();
  Other->write(Refusal);
  this->runFor(300ms);
  EXPECT_FALSE(Silent->hasEnded());
  EXPECT_TRUE(this->endsWhole(*Silent)) << this->Caller->read();
}

// Guards against a stream that is lost because the upstream asked to resume it
// is silent too, while the first one goes on.
TEST_F(SilentUpstreamTest, AStreamOutlastsTheSilenceOfItsResumption) {
  const auto Silent = this->beginStream("/stream/a");
  const auto Other = this->waitForArrival();
  this->runFor(300ms);
  EXPECT_FALSE(Silent->hasEnded());
  EXPECT_TRUE(this->endsWhole(*Silent)) << this->Caller->read();
  EXPECT_TRUE(this->waitUntil([&] { return Other->hasEnded(); }));
}

// Guards against an answer that is lost because the upstream tried meanwhile
// refuses the call.
TEST_F(SilentUpstreamTest, AnAnswerOutlastsTheRefusalOfARepetition) {
  this->sendCall("/safe/a");
  const auto Silent = this->waitForArrival();
  this->waitForArrival()->write(Refusal);
  this->runFor(400ms);
  Silent->writeSome(Ok);
  EXPECT_TRUE(this->callerReceives("HTTP/1.1 200 ")) << this->Caller->read();
}

// Guards against a stream that is lost because the upstream asked to resume it
// fails in some other way, while the first one goes on.
TEST_F(SilentUpstreamTest, AStreamOutlastsTheFailureOfItsResumption) {
  const std::string Failures[] = {
      "", "nonsense\r\n\r\n",
      head("500 Error", "Server-Stamp: x\r\nContent-Length: 2\r\n") + "no",
      head("404 Gone", "Server-Stamp: x\r\nContent-Length: 2\r\n") + "no",
      this->StreamHead + chunk("id: 1\ndata: a\n\nid: 2\nda")};
  for (const std::string &Failure : Failures) {
    this->Caller =
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
    const auto Silent = this->beginStream("/stream/a");
    const auto Other = this->waitForArrival();
    Other->write(Failure);
    Other->reset();
    this->runFor(100ms);
    EXPECT_FALSE(Silent->hasEnded()) << Failure;
    EXPECT_TRUE(this->endsWhole(*Silent)) << Failure;
    this->Services.Crashes = {};
    for (const char *Id : {"u0", "u1"})
      this->Table.noteSuccess(Id);
  }
}

// Guards against two upstreams that both work on a call after one of them has
// gone on, and against events that are forwarded twice.
TEST_F(SilentUpstreamTest, OnlyOneUpstreamContinuesAStream) {
  for (const bool FirstGoesOn : {true, false}) {
    this->Caller =
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
    const auto Silent = this->beginStream("/stream/a");
    const auto Other = this->waitForArrival();
    EXPECT_NE(Other->read().find("Last-Event-Id: 1\r\n"), std::string::npos);
    RawSocket &Continued = FirstGoesOn ? *Silent : *Other;
    RawSocket &Cancelled = FirstGoesOn ? *Other : *Silent;
    if (!FirstGoesOn)
      Other->write(this->StreamHead);
    Continued.write(chunk("id: 2\ndata: b\n\n"));
    ASSERT_TRUE(this->callerReceives("data: b"));
    EXPECT_TRUE(
        this->Loop.runUntil([&] { return Cancelled.hasEnded(); }, 300ms));
    Continued.write(chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
    ASSERT_TRUE(this->callerReceives("\r\n0\r\n\r\n"));
    for (const std::string Id : {"id: 1\n", "id: 2\n", "id: 3\n"})
      EXPECT_EQ(countOf(this->Caller->read(), Id), 1);
    EXPECT_TRUE(this->waitUntil([&] { return this->Services.OpenRuns == 0; }));
    EXPECT_EQ(this->Table.find("u0")->OwnCalls, 0);
    EXPECT_EQ(this->Table.find("u1")->OwnCalls, 0);
  }
}

// Guards against a server error that replaces the answer of an upstream that is
// only silent, and against its loss if that one fails.
TEST_F(SilentUpstreamTest, AServerErrorIsDeliveredOnlyIfNoOtherSendSucceeds) {
  for (const bool FirstSucceeds : {true, false}) {
    this->Caller =
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
    this->sendCall("/safe/a");
    const auto Silent = this->waitForArrival();
    this->waitForArrival()->write(
        head("500 Error", "Server-Stamp: x\r\nContent-Length: 2\r\n") + "no");
    this->runFor(100ms);
    EXPECT_EQ(this->Caller->read(), "");
    if (FirstSucceeds)
      Silent->write(Ok);
    else
      Silent->reset();
    EXPECT_TRUE(this->callerReceives(FirstSucceeds ? "HTTP/1.1 200 "
                                                   : "HTTP/1.1 500 "));
  }
}

// Guards against a silent stream that is cut because other calls wait for the
// upstream that could resume it.
TEST_F(SilentUpstreamTest, AStreamOutlastsAQueueForItsResumption) {
  const auto Silent = this->beginStream("/stream/a");
  this->runFor(1500ms);
  for (const char *Id : {"u0", "u1"})
    this->Table.suspendUntil(Id, EventLoop::now() + 700ms);
  RawSocket Queued(RawSocket::connectTo(this->Address));
  Queued.write("POST /once/b HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\n"
               "Authorization: Bearer key\r\nContent-Length: 4\r\n\r\nbody");
  this->runFor(1100ms);
  EXPECT_FALSE(Silent->hasEnded());
  EXPECT_TRUE(this->endsWhole(*Silent)) << this->Caller->read();
}

// Guards against a last event without a number that is dropped while the silent
// send is kept.
TEST_F(SilentUpstreamTest, AnUnnumberedEventOfTheResumptionIsForwarded) {
  const auto Silent = this->beginStream("/stream/a");
  const auto Other = this->waitForArrival();
  Other->write(this->StreamHead + chunk("data: done\n\n") + "0\r\n\r\n");
  EXPECT_TRUE(this->callerReceives("\r\n0\r\n\r\n")) << this->Caller->read();
  EXPECT_EQ(countOf(this->Caller->read(), "data: done"), 1);
}

// Guards against calls that are refused because silent streams in the queue use
// up the tries of each pass.
TEST_F(SilentUpstreamTest, SilentStreamsInTheQueueDoNotDelayCalls) {
  this->Table.suspendUntil("u1", EventLoop::now() + 10s);
  std::vector<std::unique_ptr<RawSocket>> Callers;
  std::vector<std::unique_ptr<RawSocket>> Peers;
  for (int I = 0; I < 14; ++I) {
    this->Caller =
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
    Peers.push_back(this->beginStream("/stream/" + std::to_string(I)));
    Callers.push_back(std::move(this->Caller));
  }
  this->runFor(2100ms);
  this->Table.suspendUntil("u0", EventLoop::now() + 1200ms);
  RawSocket Queued(RawSocket::connectTo(this->Address));
  Queued.write("POST /once/b HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\n"
               "Authorization: Bearer key\r\nContent-Length: 4\r\n\r\nbody");
  int Arrived = -1;
  this->Loop.runUntil(
      [&] {
        Arrived = Arrived < 0 ? this->Servers[0].accept() : Arrived;
        return Arrived >= 0 || !Queued.read().empty();
      },
      2500ms);
  EXPECT_GE(Arrived, 0) << Queued.read();
  RawSocket Closed(Arrived);
}

// Guards against a call at more upstreams than its route allows, since one that
// is still being connected did not count.
TEST_F(SilentUpstreamTest, AnUpstreamThatIsBeingConnectedCounts) {
  RawListener Third;
  RegisteredUpstream Added;
  Added.Id = "u2";
  Added.Service = "s";
  Added.Address = Third.Address;
  this->Table.put(Added, EventLoop::now());
  this->sendCall("/safe/a");
  // The process stands still as the second connection is established.
  this->waitUntil([&] {
    return this->Table.find("u0")->OwnCalls + this->Table.find("u1")->OwnCalls +
               this->Table.find("u2")->OwnCalls ==
           2;
  });
  std::this_thread::sleep_for(600ms);
  this->runFor(300ms);
  int Connections = 0;
  for (const RawListener *Each : {&this->Servers[0], &this->Servers[1], &Third})
    if (const int Socket = Each->accept(); Socket >= 0) {
      RawSocket Closed(Socket);
      ++Connections;
    }
  EXPECT_EQ(Connections, 2);
}

// Guards against an answer that is replaced by 504 because the process stood
// still over the deadline with the answer unread.
TEST_F(SilentUpstreamTest, AnAnswerBeforeTheDeadlineOutlastsAStandstill) {
  this->sendCall("/once/a", "Deadline-Ms: 700\r\n");
  const auto Peer = this->waitForArrival();
  Peer->write(Ok);
  std::this_thread::sleep_for(900ms);
  ASSERT_TRUE(this->callerReceives("HTTP/1.1 "));
  EXPECT_TRUE(this->Caller->read().starts_with("HTTP/1.1 200"))
      << this->Caller->read();
}

// Guards against a silent send that outlives its caller.
TEST_F(SilentUpstreamTest, AllSendsAreCancelledWhenTheCallerLeaves) {
  const auto Silent = this->beginStream("/stream/a");
  const auto Other = this->waitForArrival();
  this->Caller->close();
  EXPECT_TRUE(
      this->waitUntil([&] { return Silent->hasEnded() && Other->hasEnded(); }));
  EXPECT_TRUE(this->waitUntil([&] { return this->Services.OpenRuns == 0; }));
}

// Guards against a stream that is cut because one keep-alive probe was lost.
TEST_F(SilentUpstreamTest, AStreamOutlastsALinkThatIsSilentForASecond) {
  const auto Peer = this->beginStream("/oncestream/a");
  Peer->dropArriving();
  this->runFor(1300ms);
  Peer->acceptArriving();
  this->runFor(1200ms);
  EXPECT_TRUE(this->endsWhole(*Peer)) << this->Caller->read();
}

// Guards against a call that fails because the link is silent for a second as
// it is sent.
TEST_F(SilentUpstreamTest, ARequestOutlastsALinkThatIsSilentForASecond) {
  this->sendCall("/once/a");
  const auto Peer = this->waitForArrival();
  Peer->write(Ok);
  ASSERT_TRUE(this->callerReceives("\r\n\r\nok"));
  this->Caller =
      std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
  Peer->dropArriving();
  this->sendCall("/once/a");
  this->runFor(1300ms);
  Peer->acceptArriving();
  ASSERT_TRUE(this->waitUntil([&] {
    return countOf(Peer->read(), "POST ") == 2;
  })) << this->Caller->read();
  Peer->write(Ok);
  EXPECT_TRUE(this->callerReceives("\r\n\r\nok")) << this->Caller->read();
}

} // namespace
} // namespace galenaroute
