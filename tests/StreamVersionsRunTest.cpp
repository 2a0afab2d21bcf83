// Tests of streams at upstreams with several software versions, over real
// sockets.

#include "ForwardRunFixture.h"
#include "version/SoftwareVersions.h"

namespace galenaroute {
namespace {

/// Upstream u0 has version 1 and u1 version 2.
class StreamVersionsRunTest : public ForwardRunFixture {
protected:
  StreamVersionsRunTest() {
    for (int I = 0; I < 2; ++I)
      this->setVersion(I, std::to_string(I + 1));
    this->Services.OnlyVersion = [](std::string_view) {
      return std::optional<std::string>();
    };
    this->Services.ListStreams = [this] {
      ++this->Lists;
      this->Loop.timers().after(Duration::zero(), [this] {
        this->Services.StreamsListed.emit(this->IsPlatformAway ? nullptr
                                                               : &this->Stored);
      });
    };
  }

  void setVersion(int Upstream, const std::string &Version) {
    RegisteredUpstream Each =
        this->Table.find("u" + std::to_string(Upstream))->Registered;
    Each.SoftwareVersion = Version;
    this->Table.put(Each, EventLoop::now());
  }
  void takeUp(const std::string &Stream) {
    this->sendCall("/stream/a",
                   "Last-Event-Id: 3\r\nResumes: " + Stream + "\r\n");
  }
  void renewCaller() {
    this->Caller =
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
  }
  /// Answers the rest of a stream.
  void finishStream(RawSocket &Peer) {
    Peer.write(this->StreamHead + chunk("id: 4\ndata: d\n\n") + "0\r\n\r\n");
    ASSERT_TRUE(this->callerReceives("\r\n0\r\n\r\n"));
  }

  StreamOrigins Stored; ///< By all gateways.
  bool IsPlatformAway = false;
  int Lists = 0;
};

// Guards against streams that end with this gateway, because it cannot store
// their origin and all others are of a build that drops it.
TEST_F(StreamVersionsRunTest, AStreamThatNobodyCouldGoOnWithIsRefused) {
  bool LacksKeepers = true;
  this->Services.LacksRecordKeepers = [&] { return LacksKeepers; };
  this->sendCall("/stream/a");
  EXPECT_TRUE(this->callerReceives("HTTP/1.1 503 "));
  EXPECT_TRUE(this->hasNoArrival());
  LacksKeepers = false;
  this->renewCaller();
  this->sendCall("/stream/a");
  auto Peer = this->waitForArrival();
  Peer->write(this->StreamHead + chunk("id: 1\ndata: a\n\n"));
  EXPECT_TRUE(this->callerReceives("data: a"));
}

// Guards against a text that is joined within one answer.
TEST_F(StreamVersionsRunTest, ABrokenStreamIsNotContinuedAtAnotherVersion) {
  this->sendCall("/stream/a");
  auto First = this->waitForArrival();
  First->write(this->StreamHead + chunk("id: 1\ndata: a\n\n"));
  ASSERT_TRUE(this->callerReceives("data: a"));
  First->reset();
  EXPECT_TRUE(this->hasNoArrival());
  EXPECT_TRUE(this->waitUntil([&] { return this->Caller->hasEnded(); }));
  EXPECT_EQ(this->Caller->read().find("\r\n0\r\n\r\n"), std::string::npos);
}

// Guards against a version that is taken from the registry after its upstream
// was replaced under the same id.
TEST_F(StreamVersionsRunTest, TheVersionIsThatOfTheSend) {
  this->sendCall("/stream/a");
  auto First = this->waitForArrival();
  const bool IsSecond = instanceIn(First->read()) == "u1";
  First->write(this->StreamHead + chunk("id: 1\ndata: a\n\n"));
  ASSERT_TRUE(this->callerReceives("data: a"));
  this->setVersion(IsSecond ? 1 : 0, IsSecond ? "1" : "2");
  First->reset();
  EXPECT_TRUE(this->hasNoArrival());
}

TEST_F(StreamVersionsRunTest, ABrokenStreamIsContinuedAtItsVersion) {
  this->setVersion(1, "1");
  this->sendCall("/stream/a");
  auto First = this->waitForArrival();
  First->write(this->StreamHead + chunk("id: 3\ndata: a\n\n"));
  ASSERT_TRUE(this->callerReceives("data: a"));
  First->reset();
  const auto Second = this->waitForArrival();
  this->finishStream(*Second);
}

// A call that has not brought an event may still go anywhere.
TEST_F(StreamVersionsRunTest, ACallWithoutAnEventGoesOnAtAnyVersion) {
  this->sendCall("/stream/a");
  this->waitForArrival()->reset();
  const auto Second = this->waitForArrival();
  this->finishStream(*Second);
}

// Guards against a take-up at another version than the first event, over a
// chain of attempts.
TEST_F(StreamVersionsRunTest, AStreamIsTakenUpWhereItBegan) {
  const TimePoint Now = EventLoop::now();
  for (int I = 0; I < 6; ++I) {
    const std::string Name = "first" + std::to_string(I);
    this->Services.Streams.noteBegun(streamKey("c", Name),
                                     {"s", std::to_string(I % 2 + 1)}, Now);
    this->takeUp(Name);
    const auto Peer = this->waitForArrival();
    EXPECT_EQ(instanceIn(Peer->read()), "u" + std::to_string(I % 2));
    EXPECT_NE(Peer->read().find("Resumes: " + Name), std::string::npos);
    this->finishStream(*Peer);
    this->renewCaller();
  }
  EXPECT_EQ(this->Lists, 0);
  EXPECT_EQ(this->Services.Streams.records().size(), 6U);
}

// Guards against streams that only another gateway has seen, which may have
// been killed since.
TEST_F(StreamVersionsRunTest, AStoredRecordIsFound) {
  this->Stored.add(streamKey("c", "first"), {"s", "2"}, EventLoop::now());
  this->takeUp("first");
  const auto Peer = this->waitForArrival();
  EXPECT_EQ(instanceIn(Peer->read()), "u1");
  this->finishStream(*Peer);
  EXPECT_EQ(this->Lists, 1);
  EXPECT_TRUE(this->Services.Streams.find(streamKey("c", "first")));
}

// Guards against a refusal while the record is on its way.
TEST_F(StreamVersionsRunTest, ARecordThatIsStoredLateIsFound) {
  this->takeUp("first");
  ASSERT_TRUE(this->waitUntil([&] { return this->Lists == 1; }));
  this->Loop.runUntil([] { return false; }, 50ms);
  this->Stored.add(streamKey("c", "first"), {"s", "1"}, EventLoop::now());
  EXPECT_EQ(instanceIn(this->waitForArrival()->read()), "u0");
  EXPECT_EQ(this->Lists, 2);
}

// Guards against joined answers, and against callers that are kept waiting
// where nothing will be found.
TEST_F(StreamVersionsRunTest, AStreamWithoutARecordIsRefusedAsNotRun) {
  const TimePoint Begun = EventLoop::now();
  this->takeUp("never-seen");
  ASSERT_TRUE(this->callerReceives("HTTP/1.1 503 "));
  EXPECT_LT(EventLoop::now() - Begun, 1s);
  EXPECT_TRUE(this->hasNoArrival());
  EXPECT_NE(this->Caller->read().find("Retry-After: "), std::string::npos);
}

// Guards against a way to the stream of another customer.
TEST_F(StreamVersionsRunTest, AStreamOfAnotherCustomerIsNotFound) {
  this->Services.Streams.noteBegun(streamKey("other", "first"), {"s", "1"},
                                   EventLoop::now());
  this->takeUp("first");
  EXPECT_TRUE(this->callerReceives("HTTP/1.1 503 "));
  EXPECT_TRUE(this->hasNoArrival());
}

TEST_F(StreamVersionsRunTest, AStreamThatIsNotNamedIsRefusedAtOnce) {
  this->sendCall("/stream/a", "Last-Event-Id: 3\r\n");
  EXPECT_TRUE(this->callerReceives("HTTP/1.1 503 "));
  EXPECT_EQ(this->Lists, 0);
}

TEST_F(StreamVersionsRunTest, AStreamIsRefusedWhileThePlatformIsAway) {
  this->IsPlatformAway = true;
  this->takeUp("first");
  EXPECT_TRUE(this->callerReceives("HTTP/1.1 503 "));
  EXPECT_EQ(this->Lists, 1);
}

// Guards against a call that waits until its deadline for an upstream that
// nobody has registered.
TEST_F(StreamVersionsRunTest, AStreamWithoutUpstreamsOfItsVersionIsRefused) {
  this->Services.Streams.noteBegun(streamKey("c", "first"), {"s", "0"},
                                   EventLoop::now());
  this->takeUp("first");
  EXPECT_TRUE(this->callerReceives("HTTP/1.1 503 "));
  EXPECT_TRUE(this->hasNoArrival());
}

TEST_F(StreamVersionsRunTest, AServiceOfOneVersionNeedsNoRecord) {
  this->setVersion(1, "1");
  this->Services.OnlyVersion = [](std::string_view) {
    return std::optional<std::string>("1");
  };
  this->takeUp("first");
  this->finishStream(*this->waitForArrival());
  EXPECT_EQ(this->Lists, 0);
}

// Guards against a stream that an earlier build began at a version before it
// was stored, and that goes on at the only version of an older view.
TEST_F(StreamVersionsRunTest, BesideAnEarlierBuildOnlyYoungerViewsCount) {
  this->setVersion(1, "1");
  this->Services.OnlyVersion = [](std::string_view) {
    return std::optional<std::string>("1");
  };
  this->Services.AreVersionsSettled = [] { return false; };
  Duration Age = SoftwareVersions::MaxViewAge;
  this->Services.VersionsViewAge = [&] { return std::optional(Age); };
  this->takeUp("first");
  EXPECT_TRUE(this->callerReceives("HTTP/1.1 503 "));
  EXPECT_EQ(this->Lists, 2);
  Age = 100ms;
  this->renewCaller();
  this->takeUp("first");
  this->finishStream(*this->waitForArrival());
  EXPECT_EQ(this->Lists, 2);
}

// Guards against a stream that another service of its route has begun, at a
// version that the service which is drawn now has never had.
TEST_F(StreamVersionsRunTest, AllServicesOfTheRouteCount) {
  this->Config.Services["t"] = {.Name = "t"};
  this->Config.Routes[0].Services = {{"s", 1}, {"t", 0}};
  this->Config.index();
  this->Services.Config = std::make_shared<const ForwardConfig>(this->Config);
  std::optional<std::string> Other;
  this->Services.OnlyVersion = [&](std::string_view Name) {
    return Name == "s" ? std::optional<std::string>("1") : Other;
  };
  this->takeUp("first");
  EXPECT_TRUE(this->callerReceives("HTTP/1.1 503 "));
  EXPECT_TRUE(this->hasNoArrival());
  this->renewCaller();
  Other = "2";
  this->takeUp("first");
  EXPECT_TRUE(this->callerReceives("HTTP/1.1 503 "));
  EXPECT_TRUE(this->hasNoArrival());
  this->renewCaller();
  Other = "1";
  this->takeUp("first");
  this->finishStream(*this->waitForArrival());
}

// Guards against a caller that leaves while its stream is looked for.
TEST_F(StreamVersionsRunTest, ACallerMayLeaveDuringTheSearch) {
  this->takeUp("first");
  ASSERT_TRUE(this->waitUntil([&] { return this->Lists == 1; }));
  this->Caller->close();
  EXPECT_TRUE(this->waitUntil([&] { return this->Services.OpenRuns == 0; }));
  EXPECT_TRUE(this->hasNoArrival());
}

} // namespace
} // namespace galenaroute
