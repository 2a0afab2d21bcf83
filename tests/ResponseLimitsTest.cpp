// Tests that responses without end, and many large ones at once, are dropped
// before they take up the memory of the process.

#include "ForwardRunFixture.h"
#include "connection/HttpClient.h"
#include "platform/EngineCalls.h"
#include "platform/ObjectStore.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

constexpr std::size_t MiB = 1 << 20;

TEST(ResponseBudgetTest, DropsTheLargestResponse) {
  const auto Budget = std::make_shared<ResponseBudget>(100);
  std::vector<std::string> Dropped;
  ResponseBudget::Charge Small(Budget, [&] { Dropped.push_back("small"); });
  ResponseBudget::Charge Large(Budget, [&] { Dropped.push_back("large"); });
  EXPECT_TRUE(Large.set(60));
  EXPECT_TRUE(Small.set(30));
  EXPECT_EQ(Budget->held(), 90U);
  EXPECT_TRUE(Small.set(50)) << "another one is larger";
  EXPECT_EQ(Dropped, std::vector<std::string>{"large"});
  EXPECT_EQ(Budget->held(), 50U);
  EXPECT_FALSE(Large.set(1)) << "was dropped";
  EXPECT_FALSE(Small.set(101)) << "is the largest itself";
  EXPECT_EQ(Dropped.size(), 1U);
  EXPECT_EQ(Budget->held(), 0U);
}

// Guards against bytes that stay counted after their exchange was cancelled.
TEST(ResponseBudgetTest, ADestroyedChargeGivesItsBytesBack) {
  const auto Budget = std::make_shared<ResponseBudget>(100);
  {
    ResponseBudget::Charge Held(Budget, [] {});
    EXPECT_TRUE(Held.set(90));
    EXPECT_TRUE(Held.set(70));
    EXPECT_EQ(Budget->held(), 70U);
  }
  EXPECT_EQ(Budget->held(), 0U);
}

// Guards against responses that go on to grow while an allocation has failed.
TEST(ResponseBudgetTest, WhileMemoryIsShortOnlyShortResponsesGrow) {
  const auto Budget = std::make_shared<ResponseBudget>(8 * MiB);
  ResponseBudget::Charge Long(Budget, [] {});
  ResponseBudget::Charge Announced(Budget, [] {});
  ResponseBudget::Charge Short(Budget, [] {});
  EXPECT_TRUE(Long.set(MiB));
  Budget->setShort(true);
  EXPECT_FALSE(Long.set(MiB + 1));
  EXPECT_EQ(Budget->held(), 0U);
  EXPECT_FALSE(Announced.set(1, MiB));
  EXPECT_TRUE(Short.set(ResponseBudget::ShortBytes));
  Budget->setShort(false);
  EXPECT_TRUE(Short.set(MiB));
}

// Guards against long responses that are dropped where waiting would do, and
// against responses that all wait for one another.
TEST(ResponseBudgetTest, LongResponsesWaitWhileALargerOneIsRead) {
  const auto Budget = std::make_shared<ResponseBudget>(8 * MiB);
  Budget->setWaitBytes(2 * MiB);
  std::optional<ResponseBudget::Charge> Largest(std::in_place, Budget, [] {});
  ResponseBudget::Charge Long(Budget, [] {});
  ResponseBudget::Charge Short(Budget, [] {});
  EXPECT_TRUE(Largest->set(MiB));
  EXPECT_TRUE(Long.set(MiB));
  EXPECT_TRUE(Long.mayGoOn(0));
  EXPECT_TRUE(Largest->set(2 * MiB));
  EXPECT_TRUE(Short.set(ResponseBudget::ShortBytes));
  EXPECT_TRUE(Largest->mayGoOn(0));
  EXPECT_FALSE(Long.mayGoOn(0));
  EXPECT_TRUE(Short.mayGoOn(0));
  EXPECT_FALSE(Short.mayGoOn(MiB)) << "begins and will be long";
  Largest.reset();
  EXPECT_TRUE(Long.mayGoOn(0));
}

/// A server whose answers are written by the test.
class ResponseLimitsTest : public testing::Test {
protected:
  ResponseLimitsTest() {
    this->Budget->Exceeded.connect([this](std::string_view Reason) {
      this->Reasons.emplace_back(Reason);
    });
  }

  struct Exchange {
    std::unique_ptr<HttpExchange> Open;
    std::unique_ptr<RawSocket> Peer;
    std::optional<HttpResult> Result;
    std::size_t BodyCapacity = 0; ///< Of the result when it was given.
  };

  /// Starts a call and accepts its connection.
  std::unique_ptr<Exchange> start(std::size_t MaxBodyBytes) {
    auto Into = std::make_unique<Exchange>();
    Into->Open = this->Client.start(
        HttpCallBuilder(this->Server.Address)
            .get("/")
            .maxBodyBytes(MaxBodyBytes)
            .build(),
        {.OnDone = [Raw = Into.get()](const HttpResult &Given) {
          Raw->Result = Given;
          Raw->BodyCapacity = Given.Body.capacity();
        }});
    int Socket = -1;
    EXPECT_TRUE(this->Loop.runUntil(
        [&] {
          if (Socket < 0)
            Socket = this->Server.accept();
          return Socket >= 0;
        },
        2s));
    Into->Peer = std::make_unique<RawSocket>(Socket);
    EXPECT_TRUE(this->Loop.runUntil(
        [&] { return Into->Peer->read().ends_with("\r\n\r\n"); }, 2s));
    return Into;
  }

  /// Writes \p Block again and again until the exchange ends or \p MaxBytes
  /// were written. Returns the bytes written.
  std::size_t pour(Exchange &Into, const std::string &Block,
                   std::size_t MaxBytes) {
    std::size_t Written = 0;
    this->Loop.runUntil(
        [&] {
          if (Into.Result)
            return true;
          // A block that was begun is continued where it was cut.
          Written += Into.Peer->writeSome(
              std::string_view(Block).substr(Written % Block.size()));
          return Written >= MaxBytes;
        },
        20s);
    return Written;
  }

  EventLoop Loop;
  std::shared_ptr<ResponseBudget> Budget =
      std::make_shared<ResponseBudget>(4 * MiB);
  HttpClient Client{Loop, Budget};
  RawListener Server;
  std::vector<std::string> Reasons;
};

// Guards against a process that exceeds its memory because it collects answers
// without end: in the head, in interim heads, in a body of each framing, and in
// the line that begins a chunk.
TEST_F(ResponseLimitsTest, AnswersWithoutEndAreDropped) {
  struct Case {
    std::string Begin;
    std::string Block;
    std::string Reason;
  };
  const std::string Block(64 << 10, 'x');
  const std::vector<Case> Cases = {
      {"HTTP/1.1 200 OK\r\nA: ", Block, "head_too_large"},
      {"HTTP/1.1 200 OK\r\n", "Abc: def\r\n", "head_too_large"},
      {"", "HTTP/1.1 100 Continue\r\nAbc: def\r\n\r\n", "head_too_large"},
      {"HTTP/1.1 200 OK\r\n\r\n", Block, "body_too_large"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", Block,
       "body_too_large"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n",
       Block, "body_too_large"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       "10\r\n0123456789abcdef\r\n", "body_too_large"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", Block,
       "chunk_too_large"},
  };
  for (const Case &Each : Cases) {
    this->Reasons.clear();
    const auto Into = this->start(MiB);
    Into->Peer->writeSome(Each.Begin);
    // Kernel buffers of both ends take a few megabytes.
    EXPECT_LT(this->pour(*Into, Each.Block, 32 * MiB), 32 * MiB) << Each.Begin;
    ASSERT_TRUE(Into->Result) << Each.Begin << Each.Block.substr(0, 30);
    EXPECT_EQ(Into->Result->End, HttpEnd::TooLarge)
        << Each.Begin << Each.Block.substr(0, 30);
    EXPECT_FALSE(Into->Result->isSuccess());
    EXPECT_EQ(this->Reasons, std::vector<std::string>{Each.Reason})
        << Each.Begin << Each.Block.substr(0, 30);
    Into->Open.reset();
    EXPECT_EQ(this->Budget->held(), 0U);
    EXPECT_TRUE(
        this->Loop.runUntil([&] { return Into->Peer->hasEnded(); }, 2s));
  }
}

// Guards against a limit that refuses an answer of exactly its size, also when
// the connection was opened for a call with a smaller limit.
TEST_F(ResponseLimitsTest, AnAnswerOfTheLargestSizeIsComplete) {
  const auto Small = this->start(10);
  Small->Peer->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ASSERT_TRUE(
      this->Loop.runUntil([&] { return Small->Result.has_value(); }, 2s));
  EXPECT_EQ(Small->Result->End, HttpEnd::Complete);
  std::optional<HttpResult> Result;
  const auto Open = this->Client.start(
      HttpCallBuilder(this->Server.Address)
          .get("/")
          .maxBodyBytes(3 * MiB)
          .build(),
      {.OnDone = [&](const HttpResult &Given) { Result = Given; }});
  const std::string Answer =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(3 * MiB) +
      "\r\n\r\n" + std::string(3 * MiB, 'x');
  std::size_t Written = 0;
  ASSERT_TRUE(this->Loop.runUntil(
      [&] {
        if (Small->Peer->read().ends_with("\r\n\r\n"))
          Written +=
              Small->Peer->writeSome(std::string_view(Answer).substr(Written));
        return Result.has_value();
      },
      5s));
  EXPECT_EQ(Result->End, HttpEnd::Complete);
  EXPECT_EQ(Result->Body.size(), 3 * MiB);
  EXPECT_TRUE(this->Reasons.empty());
}

// Guards against many answers that are each within their limit and exceed the
// memory together; a small one beside them must be received.
TEST_F(ResponseLimitsTest, AnswersInFlightHaveACommonLimit) {
  const std::string Head =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(3 * MiB) +
      "\r\n\r\n";
  std::vector<std::unique_ptr<Exchange>> Large;
  for (int I = 0; I < 6; ++I) {
    Large.push_back(this->start(3 * MiB));
    Large.back()->Peer->write(Head);
  }
  const auto Small = this->start(MiB);
  const std::string Block(64 << 10, 'x');
  std::size_t Peak = 0;
  this->Loop.runUntil(
      [&] {
        bool IsOver = true;
        for (const auto &Each : Large) {
          if (!Each->Result)
            Each->Peer->writeSome(Block);
          IsOver = IsOver && Each->Result.has_value();
        }
        Peak = std::max(Peak, this->Budget->held());
        return IsOver;
      },
      2s);
  EXPECT_LE(Peak, 4 * MiB);
  EXPECT_GT(Peak, 2 * MiB);
  EXPECT_FALSE(this->Reasons.empty());
  for (const std::string &Each : this->Reasons)
    EXPECT_EQ(Each, "memory_short");
  // A dropped answer must free its memory as well as its charge.
  for (const auto &Each : Large) {
    if (Each->Result->End == HttpEnd::TooLarge) {
      EXPECT_LT(Each->BodyCapacity, 64U << 10);
    }
  }
  Small->Peer->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ASSERT_TRUE(
      this->Loop.runUntil([&] { return Small->Result.has_value(); }, 2s));
  EXPECT_EQ(Small->Result->End, HttpEnd::Complete);
}

/// Writes an answer without end to each connection until \p Done.
template <typename Predicate>
static std::size_t answerWithoutEnd(EventLoop &Loop, const RawListener &Server,
                                    Predicate Done) {
  std::vector<std::unique_ptr<RawSocket>> Peers;
  const std::string Block(64 << 10, 'x');
  std::size_t Written = 0;
  EXPECT_TRUE(Loop.runUntil(
      [&] {
        if (const int Socket = Server.accept(); Socket >= 0) {
          Peers.push_back(std::make_unique<RawSocket>(Socket));
          Peers.back()->writeSome("HTTP/1.1 200 OK\r\n\r\n");
        }
        for (const auto &Each : Peers)
          Written += Each->writeSome(Block);
        return Done();
      },
      10s));
  return Written;
}

// Guards against calls that keep the client's general limit: those to stores
// and the platform.
TEST_F(ResponseLimitsTest, StoresAndThePlatformHaveLimits) {
  this->Budget = std::make_shared<ResponseBudget>(64 * MiB);
  HttpClient Roomy(this->Loop, this->Budget);
  this->Budget->Exceeded.connect(
      [this](std::string_view Reason) { this->Reasons.emplace_back(Reason); });
  platform::StoreEvents Feed(Roomy);
  platform::ObjectStore Objects(Roomy, this->Server.Address);
  const SocketAddress To = this->Server.Address;
  int Ended = 0;
  const auto OnBatch = [&](const std::optional<StoreEventBatch> &Batch) {
    EXPECT_FALSE(Batch);
    ++Ended;
  };
  const auto OnList = [&](const PlatformList &List) {
    EXPECT_EQ(List.Status, PlatformStatus::Unknown);
    ++Ended;
  };
  const std::vector<std::function<void()>> Calls = {
      [&] { Feed.events(To, 0, 2s, OnBatch); },
      [&] { Objects.watch("servers", 1, 2s, OnList); },
      [&] { Objects.list("servers", "", "", OnList); },
  };
  for (const auto &Each : Calls) {
    const int Before = Ended;
    this->Reasons.clear();
    Each();
    answerWithoutEnd(this->Loop, this->Server, [&] { return Ended > Before; });
    EXPECT_EQ(this->Reasons, std::vector<std::string>{"body_too_large"});
  }
}

class ForwardedResponseLimitsTest : public ForwardRunFixture {};

// Guards against a legal body that is refused: the largest one.
TEST_F(ForwardedResponseLimitsTest, ABodyOfTheLargestSizeIsForwarded) {
  constexpr std::size_t Size = 16 * MiB;
  this->sendCall("/safe/a");
  const auto Peer = this->waitForArrival();
  const std::string Answer =
      this->head("200 OK", "Server-Stamp: x\r\nContent-Length: " +
                               std::to_string(Size) + "\r\n") +
      std::string(Size, 'x');
  std::size_t Written = 0;
  std::size_t Received = 0;
  EXPECT_TRUE(this->waitUntil([&] {
    Written += Peer->writeSome(std::string_view(Answer).substr(Written));
    Received += this->Caller->readSome(MiB);
    return Received > Size;
  })) << Received;
}

// Guards against a long answer that is read while others hold the memory, and
// against one that is not read on afterwards.
TEST_F(ForwardedResponseLimitsTest, ALongBodyWaitsForRoom) {
  constexpr std::size_t Size = 8 * MiB;
  this->Pool.budget()->setWaitBytes(MiB);
  std::optional<ResponseBudget::Charge> Other(std::in_place,
                                              this->Pool.budget(), [] {});
  ASSERT_TRUE(Other->set(10 * MiB));
  this->sendCall("/safe/a");
  const auto Peer = this->waitForArrival();
  const std::string Answer =
      this->head("200 OK", "Server-Stamp: x\r\nContent-Length: " +
                               std::to_string(Size) + "\r\n") +
      std::string(Size, 'x');
  std::size_t Written = 0;
  std::size_t Received = 0;
  const auto IsWhole = [&] {
    Written += Peer->writeSome(std::string_view(Answer).substr(Written));
    Received += this->Caller->readSome(MiB);
    return Received > Size;
  };
  EXPECT_FALSE(this->Loop.runUntil(IsWhole, 300ms));
  EXPECT_LT(this->Pool.budget()->held(), 11 * MiB);
  Other.reset();
  EXPECT_TRUE(this->waitUntil(IsWhole)) << Received;
}

// Guards against bodies of legal size that exceed the memory of the process
// together, and against a shortened body that a caller takes for a whole one.
// The upstream has not crashed, so the call must not be blocked as crashing.
TEST_F(ForwardedResponseLimitsTest, ABodyBeyondTheCommonLimitEndsItsSend) {
  std::vector<std::string> Reasons;
  this->Pool.budget()->Exceeded.connect(
      [&](std::string_view Reason) { Reasons.emplace_back(Reason); });
  // Many small answers, so that the body is the largest one.
  std::vector<std::unique_ptr<ResponseBudget::Charge>> Parts;
  for (std::size_t I = 0; I < ResponseBudget::DefaultBytes / MiB - 2; ++I) {
    Parts.push_back(
        std::make_unique<ResponseBudget::Charge>(this->Pool.budget(), [] {}));
    ASSERT_TRUE(Parts.back()->set(MiB));
  }
  this->sendCall("/once/a");
  const auto Peer = this->waitForArrival();
  const std::string Answer =
      this->head("200 OK", "Server-Stamp: x\r\nContent-Length: 4194304\r\n") +
      std::string(4 * MiB, 'x');
  std::size_t Written = 0;
  EXPECT_TRUE(this->waitUntil([&] {
    Written += Peer->writeSome(std::string_view(Answer).substr(Written));
    return this->Caller->read().find("\r\n\r\n") != std::string::npos;
  }));
  EXPECT_EQ(this->Caller->text().substr(0, 13), "HTTP/1.1 502 ");
  EXPECT_EQ(Reasons, std::vector<std::string>{"memory_short"});
  EXPECT_GT(this->Table.find("u0")->FailureScore +
                this->Table.find("u1")->FailureScore,
            0);
  EXPECT_TRUE(this->Services.Crashes.Keys.empty());
  EXPECT_LE(this->Pool.budget()->held(), ResponseBudget::DefaultBytes);
}

} // namespace
} // namespace galenaroute
