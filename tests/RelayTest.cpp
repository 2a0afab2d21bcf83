// Relayed connections: an UpstreamPool, a RelayListener and an upstream whose
// bytes are written by the test.

#include "RawSocket.h"
#include "connection/RelayListener.h"
#include "connection/UpstreamPool.h"
#include "process/ErrorKind.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

TEST(RelayProtocolTest, ARequestIsReadOnceItIsWhole) {
  const std::string Bytes =
      encodeRelayRequest({.Upstream = "u", .Incarnation = ~0ULL}) + "rest";
  for (std::size_t Length = 0; Length < Bytes.size() - 4; ++Length) {
    std::string_view Part = std::string_view(Bytes).substr(0, Length);
    EXPECT_FALSE(takeRelayRequest(Part));
  }
  std::string_view All = Bytes;
  EXPECT_EQ(takeRelayRequest(All),
            (RelayRequest{.Upstream = "u", .Incarnation = ~0ULL}));
  EXPECT_EQ(All, "rest");
}

TEST(RelayProtocolTest, BadRequestsAreRejected) {
  for (const std::string_view Bad :
       {std::string_view("GET / HTTP/1.1\r\n"),
        std::string_view("\0\2\xff\xff", 4), std::string_view("\0\1\xf6", 3),
        std::string_view("\0\6\x81\x81\x81\x81\x81\0", 8)}) {
    std::string_view Bytes = Bad;
    EXPECT_THROW(takeRelayRequest(Bytes), Error);
  }
}

TEST(RelayProtocolTest, FramesOutOfOrderAreRejected) {
  const auto Feed = [](std::string_view Bytes) {
    RelayReader Reader;
    while (!Bytes.empty())
      Bytes.remove_prefix(
          Reader.feed(Bytes, [](RelayFrame, std::string_view) {}));
  };
  const std::string Connected = relayFrameHead(RelayFrame::Connected);
  EXPECT_NO_THROW(Feed(Connected + relayFrameHead(RelayFrame::Data, 2) + "ab" +
                       relayFrameHead(RelayFrame::Finished)));
  EXPECT_THROW(Feed(relayFrameHead(RelayFrame::Data, 2)), Error);
  EXPECT_THROW(Feed(Connected + Connected), Error);
  EXPECT_THROW(Feed(Connected + relayFrameHead(RelayFrame::Data)), Error);
  EXPECT_THROW(Feed(Connected + relayFrameHead(RelayFrame::Finished) +
                    relayFrameHead(RelayFrame::Reset)),
               Error);
  EXPECT_THROW(Feed("HTTP/1.1 200 OK\r\n"), Error);
}

class RelayTest : public testing::Test {
protected:
  RelayTest() { this->startHelper(); }

  void startHelper() {
    this->Helper = std::make_unique<RelayListener>(
        this->Loop, this->HelperAddress,
        RelayListenerParts{
            .MayUse = [this](std::string_view) { return this->IsKnown; },
            .AddressOf = [this](const RelayRequest &Request)
                -> std::optional<SocketAddress> {
              if (Request.Upstream != "u")
                return std::nullopt;
              return this->Upstream.Address;
            }});
  }
  bool waitUntil(const std::function<bool()> &Done, Duration Limit = 3s) {
    return this->Loop.runUntil(Done, Limit);
  }
  void wait(Duration Time) {
    this->Loop.runUntil([] { return false; }, Time);
  }

  void send(std::string Request, const std::string &To = "u") {
    UpstreamExchangeSettings Settings;
    Settings.Helper = {.Address = this->HelperAddress, .Upstream = To};
    this->Body.clear();
    this->End.reset();
    this->Exchange = this->Pool.start(
        this->Upstream.Address, std::move(Request), Settings,
        {.OnHead = [](const HttpHead &) { return true; },
         .OnBody = [this](std::string_view Bytes) { this->Body += Bytes; },
         .OnEnd = [this](UpstreamEnd How) { this->End = How; }});
  }
  std::unique_ptr<RawSocket> accept() {
    int Socket = -1;
    EXPECT_TRUE(this->waitUntil([&] {
      if (Socket < 0)
        Socket = this->Upstream.accept();
      return Socket >= 0;
    }));
    return std::make_unique<RawSocket>(Socket);
  }
  /// Sends a short request and returns the connection on which it arrives.
  std::unique_ptr<RawSocket> sendAndAccept() {
    this->send(Request);
    auto Peer = this->accept();
    EXPECT_TRUE(this->waitUntil([&] { return Peer->read() == Request; }));
    return Peer;
  }
  bool hasEnded(UpstreamEnd How) {
    return this->waitUntil([this] { return this->End.has_value(); }) &&
           this->End == How;
  }

  static inline const std::string Request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  EventLoop Loop;
  RawListener Upstream;
  SocketAddress HelperAddress = freeAddress();
  bool IsKnown = true;
  std::unique_ptr<RelayListener> Helper;
  UpstreamPool Pool{Loop};
  std::unique_ptr<UpstreamExchange> Exchange;
  std::string Body;
  std::optional<UpstreamEnd> End;
};

TEST_F(RelayTest, AnswersArriveByteForByteAndTheConnectionIsKept) {
  std::string Text;
  for (int I = 0; I < 300'000; ++I)
    Text += static_cast<char>(I * 7 + I / 256);
  const auto Peer = this->sendAndAccept();
  Peer->write("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n");
  std::string_view Rest = Text;
  EXPECT_TRUE(this->waitUntil([&] {
    Rest.remove_prefix(Peer->writeSome(Rest));
    return this->End.has_value();
  }));
  EXPECT_EQ(this->End, UpstreamEnd::Complete);
  EXPECT_TRUE(this->Body == Text);
  Peer->clearText();
  this->send(Request);
  EXPECT_TRUE(this->waitUntil([&] { return Peer->read() == Request; }));
  EXPECT_EQ(this->Pool.opened(), 1u);
}

TEST_F(RelayTest, StreamsArriveAsTheyAreWritten) {
  const auto Peer = this->sendAndAccept();
  Peer->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (const std::string Expected : {"a", "ab", "abc"}) {
    Peer->write(std::string("1\r\n") + Expected.back() + "\r\n");
    EXPECT_TRUE(this->waitUntil([&] { return this->Body == Expected; }, 500ms));
  }
}

TEST_F(RelayTest, AnAnswerThatEndsWithItsConnectionIsComplete) {
  const auto Peer = this->sendAndAccept();
  Peer->write("HTTP/1.1 200 OK\r\n\r\nwhole");
  Peer->close();
  EXPECT_TRUE(this->hasEnded(UpstreamEnd::Complete));
  EXPECT_EQ(this->Body, "whole");
}

// Guards against a part of an answer that is taken for a whole one.
TEST_F(RelayTest, AnAnswerWithoutALengthBreaksWithItsHelper) {
  const auto Peer = this->sendAndAccept();
  Peer->write("HTTP/1.1 200 OK\r\n\r\npart");
  ASSERT_TRUE(this->waitUntil([&] { return this->Body == "part"; }));
  this->Helper.reset();
  EXPECT_TRUE(this->hasEnded(UpstreamEnd::Cut));
  EXPECT_EQ(this->Exchange->cause(), UpstreamCause::HelperFailed);
}

TEST_F(RelayTest, AResetOfTheUpstreamStaysOne) {
  const auto Peer = this->sendAndAccept();
  Peer->write("HTTP/1.1 200 OK\r\n\r\npart");
  ASSERT_TRUE(this->waitUntil([&] { return this->Body == "part"; }));
  Peer->reset();
  EXPECT_TRUE(this->hasEnded(UpstreamEnd::Cut));
  EXPECT_EQ(this->Exchange->cause(), UpstreamCause::Reset);
}

// Guards against a part of an answer that counts as complete over a helper,
// since its upstream ended its side just before it reset the connection.
TEST_F(RelayTest, AResetBehindTheEndOfAnAnswerWithoutLengthCutsIt) {
  const int Bytes = 32 << 10;
  setsockopt(this->Upstream.id(), SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof Bytes);
  for (const std::size_t BodyBytes : {20U << 10, 400U << 10, 3U << 20}) {
    this->send(
        "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(BodyBytes) +
        "\r\n\r\n" + std::string(BodyBytes, 'x'));
    const auto Peer = this->accept();
    this->wait(50ms);
    Peer->write("HTTP/1.1 200 OK\r\n\r\npart");
    Peer->endWriting();
    this->wait(20ms);
    EXPECT_FALSE(this->End) << BodyBytes;
    Peer->reset();
    EXPECT_TRUE(this->hasEnded(UpstreamEnd::Cut)) << BodyBytes;
  }
}

// Guards against losing a sound answer over a helper: its upstream ends its
// side early and reads the rest of the request with a pause.
TEST_F(RelayTest, AnEarlyAnswerWithoutLengthIsCompleteOnceTheRestIsTaken) {
  std::size_t Rest = 3U << 20;
  const std::string Head =
      "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(Rest) + "\r\n\r\n";
  this->send(Head + std::string(Rest, 'x'));
  Rest += Head.size();
  const auto Peer = this->accept();
  Peer->write("HTTP/1.1 200 OK\r\n\r\nwhole");
  Peer->endWriting();
  this->wait(800ms);
  EXPECT_FALSE(this->End);
  EXPECT_TRUE(this->waitUntil([&] {
    Rest -= Peer->readSome(64 << 10);
    return Rest == 0;
  }));
  EXPECT_TRUE(this->hasEnded(UpstreamEnd::Complete));
  EXPECT_EQ(this->Body, "whole");
}

// Guards against a call that waits without end for the rest of its request.
TEST_F(RelayTest, ARestThatIsNotTakenCutsTheAnswerAfterTwoSeconds) {
  this->send("POST / HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n" +
             std::string(4'000'000, 'x'));
  const auto Peer = this->accept();
  Peer->write("HTTP/1.1 200 OK\r\n\r\npart");
  Peer->endWriting();
  EXPECT_FALSE(this->waitUntil([&] { return this->End.has_value(); }, 1500ms));
  EXPECT_TRUE(this->hasEnded(UpstreamEnd::Cut));
}

// Guards against an answer that is lost because the rest of its request is
// still being sent.
TEST_F(RelayTest, AnEarlyAnswerToALongRequestArrives) {
  this->send("POST / HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n" +
             std::string(4'000'000, 'x'));
  const auto Peer = this->accept();
  Peer->write("HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno");
  EXPECT_TRUE(this->hasEnded(UpstreamEnd::Complete));
  EXPECT_EQ(this->Body, "no");
}

TEST_F(RelayTest, ASlowReaderHoldsTheUpstreamBack) {
  const auto Peer = this->sendAndAccept();
  std::string Text;
  Text.resize(15'000'000, 'x');
  Peer->write("HTTP/1.1 200 OK\r\nContent-Length: 15000000\r\n\r\n");
  this->wait(50ms);
  this->Exchange->pauseReading();
  std::string_view Rest = Text;
  const auto Write = [&] {
    Rest.remove_prefix(Peer->writeSome(Rest));
    return this->End.has_value();
  };
  EXPECT_FALSE(this->waitUntil(Write, 500ms));
  EXPECT_GT(Rest.size(), 2'000'000u);
  this->Exchange->resumeReading();
  EXPECT_TRUE(this->waitUntil(Write));
  EXPECT_TRUE(this->Body == Text);
}

TEST_F(RelayTest, ACancelClosesTheConnectionOfTheUpstream) {
  const auto Peer = this->sendAndAccept();
  this->Exchange.reset();
  EXPECT_TRUE(this->waitUntil([&] { return Peer->hasEnded(); }));
  EXPECT_EQ(this->Helper->connections(), 0u);
}

TEST_F(RelayTest, NothingIsSentWithoutAConnectionToTheUpstream) {
  this->Upstream.setDropping(true);
  this->send(Request);
  EXPECT_TRUE(this->hasEnded(UpstreamEnd::ConnectFailed));
  EXPECT_FALSE(this->Exchange->wasSent());
}

TEST_F(RelayTest, AnUnknownUpstreamCountsAgainstTheHelper) {
  this->send(Request, "v");
  EXPECT_TRUE(this->hasEnded(UpstreamEnd::ConnectFailed));
  EXPECT_EQ(this->Exchange->cause(), UpstreamCause::HelperFailed);
  EXPECT_LT(this->Upstream.accept(), 0);
}

TEST_F(RelayTest, StrangersAndBadBytesAreClosed) {
  const auto IsClosed = [&](const std::string &Bytes) {
    RawSocket Stranger(RawSocket::connectTo(this->HelperAddress));
    Stranger.writeSome(Bytes);
    return this->waitUntil([&] { return Stranger.hasEnded(); });
  };
  EXPECT_TRUE(IsClosed("GET / HTTP/1.1\r\nHost: h\r\n\r\n"));
  EXPECT_TRUE(IsClosed(std::string(100'000, '\xff')));
  EXPECT_TRUE(IsClosed("")); // A request that never comes.
  this->IsKnown = false;
  EXPECT_TRUE(IsClosed(encodeRelayRequest({.Upstream = "u"})));
  EXPECT_EQ(this->Helper->connections(), 0u);
  EXPECT_LT(this->Upstream.accept(), 0);
}

TEST_F(RelayTest, ConnectionsAreLimited) {
  this->Helper->setLimits({.MaxConnections = 1});
  const auto Peer = this->sendAndAccept();
  RawSocket Second(RawSocket::connectTo(this->HelperAddress));
  EXPECT_TRUE(this->waitUntil([&] { return Second.hasEnded(); }));
  EXPECT_EQ(this->Helper->connections(), 1u);
}

} // namespace
} // namespace galenaroute
