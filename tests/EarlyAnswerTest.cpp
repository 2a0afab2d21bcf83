// Tests of upstreams that answer before they have read the whole request.

#include "RawSocket.h"
#include "connection/UpstreamPool.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

class EarlyAnswerTest : public testing::Test {
protected:
  EarlyAnswerTest() {
    // Of the upstream's kernel, which takes no more than this unread.
    const int Bytes = 32 << 10;
    setsockopt(this->Server.id(), SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof Bytes);
  }

  /// Sends a call with a body of \p BodyBytes and lets the upstream read the
  /// first bytes of it.
  void send(std::size_t BodyBytes) {
    const std::string Head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                             std::to_string(BodyBytes) + "\r\n\r\n";
    this->Rest = Head.size() + BodyBytes;
    this->End.reset();
    this->Body.clear();
    this->Exchange = this->Pool.start(
        this->Server.Address, Head + std::string(BodyBytes, 'x'), {},
        {.OnHead = [](const HttpHead &) { return true; },
         .OnBody =
             [this](std::string_view Bytes) {
               this->Body += Bytes;
               this->OnBytes(Bytes.size());
             },
         .OnEnd = [this](UpstreamEnd How) { this->End = How; }});
    int Socket = -1;
    ASSERT_TRUE(this->Loop.runUntil(
        [&] {
          if (Socket < 0)
            Socket = this->Server.accept();
          return Socket >= 0;
        },
        3s));
    this->Peer = std::make_unique<RawSocket>(Socket);
    const std::size_t Before = this->Rest;
    ASSERT_TRUE(this->Loop.runUntil(
        [&] {
          if (this->Rest == Before)
            this->take(5000);
          return this->Rest < Before;
        },
        3s));
  }
  /// Lets the upstream read at most \p MaxBytes.
  void take(std::size_t MaxBytes) {
    this->Rest -= this->Peer->readSome(MaxBytes);
  }
  void wait(Duration For) {
    this->Loop.runUntil([] { return false; }, For);
  }
  bool ended(Duration Within) {
    return this->Loop.runUntil([this] { return this->End.has_value(); },
                               Within);
  }

  EventLoop Loop;
  RawListener Server;
  UpstreamPool Pool{Loop};
  std::unique_ptr<UpstreamExchange> Exchange;
  std::unique_ptr<RawSocket> Peer;
  std::size_t Rest = 0; ///< Of the request, not read by the upstream.
  std::string Body;
  std::function<void(std::size_t Count)> OnBytes = [](std::size_t) {};
  std::optional<UpstreamEnd> End;
};

constexpr std::string_view Unframed = "HTTP/1.1 200 OK\r\n\r\npart";

// Guards against a part of an answer that counts as complete, since its
// upstream ended its side just before it reset the connection.
TEST_F(EarlyAnswerTest, AResetBehindTheEndOfAnAnswerWithoutLengthCutsIt) {
  for (const std::size_t BodyBytes : {400U << 10, 3U << 20})
    for (const Duration Until :
         {Duration(0ms), Duration(20ms), Duration(50ms)}) {
      ASSERT_NO_FATAL_FAILURE(this->send(BodyBytes));
      this->Peer->write(Unframed);
      this->Peer->endWriting();
      this->wait(Until);
      EXPECT_FALSE(this->End) << BodyBytes;
      this->Peer->reset();
      ASSERT_TRUE(this->ended(1s));
      EXPECT_EQ(*this->End, UpstreamEnd::Cut) << BodyBytes;
    }
}

// Guards against the same where the kernel of the upstream has taken the rest
// of the request, which the upstream does not read.
TEST_F(EarlyAnswerTest, AResetBehindARestThatIsNotReadCutsTheAnswer) {
  ASSERT_NO_FATAL_FAILURE(this->send(400 << 10));
  this->Peer->write(Unframed);
  this->Peer->endWriting();
  this->Loop.runUntil(
      [this] {
        if (this->Rest > 16 << 10)
          this->take(std::min<std::size_t>(64 << 10, this->Rest - (16 << 10)));
        return this->Rest <= 16 << 10;
      },
      3s);
  EXPECT_FALSE(this->End);
  this->Peer->reset();
  ASSERT_TRUE(this->ended(1s));
  EXPECT_EQ(*this->End, UpstreamEnd::Cut);
}

// Guards against losing a sound answer: its upstream ends its side early, reads
// the rest of the request, with pauses, and closes.
TEST_F(EarlyAnswerTest, AnAnswerWithoutLengthIsCompleteOnceTheRestIsTaken) {
  ASSERT_NO_FATAL_FAILURE(this->send(3 << 20));
  this->Peer->write(Unframed);
  this->Peer->endWriting();
  while (this->Rest > 0) {
    this->wait(800ms);
    EXPECT_FALSE(this->End) << this->Rest;
    const std::size_t Until = this->Rest > 1 << 20 ? this->Rest - (1 << 20) : 0;
    ASSERT_TRUE(this->Loop.runUntil(
        [&] {
          this->take(64 << 10);
          return this->Rest <= Until;
        },
        3s));
  }
  this->Peer->close();
  ASSERT_TRUE(this->ended(1s));
  EXPECT_EQ(*this->End, UpstreamEnd::Complete);
  EXPECT_EQ(this->Body, "part");
  EXPECT_EQ(this->Pool.connections(this->Server.Address), 0U);
}

// Guards against a call that waits without end for an upstream that neither
// reads the rest of its request nor closes the connection.
TEST_F(EarlyAnswerTest, ARestThatIsNotTakenCutsTheAnswerAfterTwoSeconds) {
  ASSERT_NO_FATAL_FAILURE(this->send(3 << 20));
  this->Peer->write(Unframed);
  this->Peer->endWriting();
  const TimePoint From = EventLoop::now();
  ASSERT_TRUE(this->ended(4s));
  EXPECT_EQ(*this->End, UpstreamEnd::Cut);
  EXPECT_GT(EventLoop::now() - From, 1900ms);
  EXPECT_LT(EventLoop::now() - From, 3s);
}

// Guards against cutting a sound early answer that states where it ends, and
// against a connection that is used again behind half a request.
TEST_F(EarlyAnswerTest, AnEarlyAnswerWithALengthOrChunksIsCompleteAtOnce) {
  for (const std::string_view Answer :
       {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\npart\r\n0\r\n\r\n"}) {
    ASSERT_NO_FATAL_FAILURE(this->send(16 << 20));
    this->Peer->write(Answer);
    ASSERT_TRUE(this->ended(500ms));
    EXPECT_EQ(*this->End, UpstreamEnd::Complete);
    EXPECT_EQ(this->Body, "part");
    EXPECT_EQ(this->Pool.connections(this->Server.Address), 0U);
  }
}

// Guards against an answer without a length that is finished while bytes of it
// wait for a slow reader.
TEST_F(EarlyAnswerTest, AReaderThatPausesOftenGetsAllOfAnAnswerWithoutLength) {
  ASSERT_NO_FATAL_FAILURE(this->send(0));
  std::size_t Received = 0;
  const std::size_t Bytes = 300U << 10;
  this->OnBytes = [&](std::size_t Count) {
    Received += Count;
    this->Exchange->pauseReading();
    this->Loop.timers().after(1ms, [this] {
      if (!this->End)
        this->Exchange->resumeReading();
    });
  };
  const std::string Answer =
      "HTTP/1.1 200 OK\r\n\r\n" + std::string(Bytes, 'x');
  std::size_t Written = 0;
  ASSERT_TRUE(this->Loop.runUntil(
      [&] {
        Written +=
            this->Peer->writeSome(std::string_view(Answer).substr(Written));
        return Written == Answer.size();
      },
      10s));
  this->Peer->endWriting();
  ASSERT_TRUE(this->ended(10s));
  EXPECT_EQ(*this->End, UpstreamEnd::Complete);
  EXPECT_EQ(Received, Bytes);
}

} // namespace
} // namespace galenaroute
