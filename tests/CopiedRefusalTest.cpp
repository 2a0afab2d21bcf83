// Tests of upstreams that send the refusal of a call twice.

#include "ForwardRunFixture.h"

namespace galenaroute {
namespace {

class CopiedRefusalTest : public ForwardRunFixture {
protected:
  const std::string Refusal =
      head("503 Busy", "Not-Executed: 1\r\nContent-Length: 0\r\n");
  const std::string Answer =
      head("200 OK", "Server-Stamp: x\r\nContent-Length: 2\r\n") + "ok";

  /// Returns an upstream with \p Id at the address of the server \p At.
  RegisteredUpstream upstream(const std::string &Id, const RawListener &At) {
    RegisteredUpstream Result;
    Result.Id = Id;
    Result.Service = "s";
    Result.Address = At.Address;
    return Result;
  }
  /// Waits until the call arrives a second time, on \p Kept or on a new
  /// connection, which is returned.
  std::unique_ptr<RawSocket> waitForSecondArrival(RawSocket &Kept) {
    int Socket = -1;
    EXPECT_TRUE(this->waitUntil([&] {
      for (const RawListener &Each : this->Servers)
        if (Socket < 0)
          Socket = Each.accept();
      return Socket >= 0 || countOf(Kept.read(), "POST /once/a ") == 2;
    }));
    return Socket < 0 ? nullptr : std::make_unique<RawSocket>(Socket);
  }
};

// Guards against a call that must not be repeated and runs twice: its caller
// sends it again, and the copy of its refusal arrives once it runs.
TEST_F(CopiedRefusalTest, ACallThatIsUnderWayAgainRunsOnce) {
  this->sendCall("/once/a");
  const auto First = this->waitForArrival();
  First->write(this->Refusal);
  const auto Other = this->waitForArrival();
  const std::string OtherId = instanceIn(Other->text());
  this->Caller =
      std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
  ASSERT_TRUE(this->waitUntil([&] { return Other->hasEnded(); }));
  this->Table.remove(OtherId, EventLoop::now());
  // A refusal keeps calls from its upstream for 500 ms.
  this->Loop.runUntil([] { return false; }, 550ms);
  this->sendCall("/once/a");
  const auto Second = this->waitForSecondArrival(*First);
  this->Table.put(
      this->upstream(OtherId, this->Servers[OtherId == "u0" ? 0 : 1]),
      EventLoop::now());
  First->writeSome(this->Refusal);
  EXPECT_TRUE(this->hasNoArrival()) << "the call runs twice";
  (Second ? *Second : *First).writeSome(this->Answer);
  EXPECT_TRUE(this->callerReceives("HTTP/1.1 200 ")) << this->Caller->text();
}

// Guards against a run that sends its call on the connection that has refused
// it, since the upstream has registered under another id.
TEST_F(CopiedRefusalTest, AnotherIdAtTheSameAddressGetsAnotherConnection) {
  this->Table.remove("u1", EventLoop::now());
  this->sendCall("/once/a");
  const auto First = this->waitForArrival();
  this->Table.remove("u0", EventLoop::now());
  this->Table.put(this->upstream("u9", this->Servers[0]), EventLoop::now());
  First->write(this->Refusal);
  const auto Second = this->waitForArrival();
  EXPECT_EQ(countOf(First->read(), "POST /once/a "), 1);
  First->writeSome(this->Refusal);
  Second->writeSome(this->Answer);
  EXPECT_TRUE(this->callerReceives("HTTP/1.1 200 ")) << this->Caller->text();
}

/// Exchanges on connections to one upstream.
class RefusedCallsPoolTest : public testing::Test {
protected:
  struct Sent {
    std::unique_ptr<UpstreamExchange> Exchange;
    std::optional<UpstreamEnd> End;
  };

  /// Sends the call \p Id. Its answer counts as a refusal if \p IsRefused.
  std::shared_ptr<Sent> send(const std::string &Id, bool IsRefused,
                             bool IsHead = false) {
    auto Result = std::make_shared<Sent>();
    UpstreamExchangeSettings Settings;
    Settings.CallId = Id;
    Settings.IsHead = IsHead;
    Result->Exchange = this->Pool.start(
        this->Server.Address, "GET / HTTP/1.1\r\n\r\n", Settings,
        {.OnHead =
             [Result = Result.get(), IsRefused](const HttpHead &) {
               if (IsRefused)
                 Result->Exchange->noteRefusal();
               return true;
             },
         .OnBody = [](std::string_view) {},
         .OnEnd = [Result =
                       Result.get()](UpstreamEnd How) { Result->End = How; }});
    return Result;
  }
  /// Answers \p Call on \p Peer, or on a new connection that it is set to.
  void answer(Sent &Call, std::unique_ptr<RawSocket> &Peer,
              std::string_view More = "") {
    ASSERT_TRUE(this->Loop.runUntil(
        [&] {
          if (const int Socket = this->Server.accept(); Socket >= 0)
            Peer = std::make_unique<RawSocket>(Socket);
          return Call.Exchange->wasSent() && Peer;
        },
        3s));
    Peer->write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n" +
                std::string(More));
    ASSERT_TRUE(this->Loop.runUntil([&] { return Call.End.has_value(); }, 3s));
    EXPECT_EQ(*Call.End, UpstreamEnd::Complete);
  }

  EventLoop Loop;
  RawListener Server;
  UpstreamPool Pool{Loop};
  std::unique_ptr<RawSocket> Peer;
};

// Guards against new connections for all calls after one was refused.
TEST_F(RefusedCallsPoolTest, OnlyTheRefusedCallNeedsAnotherConnection) {
  for (const bool IsHead : {false, true}) {
    const std::uint64_t Before = this->Pool.opened();
    this->answer(*this->send("r1", true, IsHead), this->Peer);
    const auto Other = this->send("r2", false, IsHead);
    EXPECT_TRUE(Other->Exchange->usedKeptConnection());
    this->answer(*Other, this->Peer);
    const auto Again = this->send("r1", false, IsHead);
    EXPECT_FALSE(Again->Exchange->usedKeptConnection());
    std::unique_ptr<RawSocket> Second;
    this->answer(*Again, Second);
    EXPECT_EQ(this->Pool.opened(), Before + 2);
    // Two are idle now, and the one used last has not refused the call.
    this->answer(*this->send("r3", true), Second);
    const auto Third = this->send("r3", false);
    EXPECT_TRUE(Third->Exchange->usedKeptConnection());
    this->answer(*Third, this->Peer);
    EXPECT_EQ(this->Pool.opened(), Before + 2);
    this->Pool.closeIdle(this->Server.Address);
    this->Peer.reset();
  }
}

// Guards against a copy that counts as the answer to the next call, where no
// id tells the two apart.
TEST_F(RefusedCallsPoolTest, ARefusalOfACallWithoutIdEndsItsConnection) {
  this->answer(*this->send("", true), this->Peer);
  EXPECT_EQ(this->Pool.connections(this->Server.Address), 0U);
}

// Guards against a copy that reaches the next call of another id: it comes with
// the first answer, or while no call is on the connection.
TEST_F(RefusedCallsPoolTest, ACopyThatComesBetweenCallsEndsItsConnection) {
  static constexpr std::string_view Copy =
      "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
  this->answer(*this->send("r1", true), this->Peer, Copy);
  EXPECT_EQ(this->Pool.connections(this->Server.Address), 0U);
  this->Peer.reset();
  this->answer(*this->send("r1", true), this->Peer);
  this->Peer->write(Copy);
  EXPECT_FALSE(this->send("r2", false)->Exchange->usedKeptConnection());
}

// Guards against memory that grows with the refusals on a connection, and
// against refusals that are forgotten.
TEST_F(RefusedCallsPoolTest, AConnectionCarriesABoundedNumberOfRefusals) {
  const auto Refuse = [this](int Count) {
    for (int I = 0; I < Count; ++I)
      this->answer(*this->send("r" + std::to_string(I), true), this->Peer);
  };
  Refuse(31);
  EXPECT_EQ(this->Pool.opened(), 1U);
  EXPECT_FALSE(this->send("r0", false)->Exchange->usedKeptConnection());
  EXPECT_TRUE(this->send("other", false)->Exchange->usedKeptConnection());
  this->Peer.reset();
  int Cancelled = -1;
  EXPECT_TRUE(this->Loop.runUntil(
      [&] {
        if (Cancelled < 0)
          Cancelled = this->Server.accept();
        return Cancelled >= 0;
      },
      1s));
  const RawSocket Owner(Cancelled);
  Refuse(32);
  EXPECT_EQ(this->Pool.connections(this->Server.Address), 0U);
}

} // namespace
} // namespace galenaroute
