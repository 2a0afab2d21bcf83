// Answers of sound upstreams that are silent for a second or so and go on.

#include "ForwardRunFixture.h"

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
