// Tests of origins of streams that outlast the processes which knew them.

#include "process/StreamOriginStore.h"
#include "FakePlatform.h"
#include "process/SoftwareVersionStore.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using testing_support::FakePlatform;
using testing_support::FakeStore;

const StreamOrigin Old{"s", "1"};
const StreamOrigin New{"s", "2"};

/// One process of a gateway.
class Process {
public:
  Process(EventLoop &Loop, const std::shared_ptr<FakeStore> &Data,
          const std::string &NodeId, std::set<std::string> Versions)
      : Loop(Loop), Api(Data), Versions(std::move(Versions)),
        Sets({.Loop = Loop,
              .Api = this->Api,
              .RegisteredVersions =
                  [this] {
                    return VersionsByService{{"s", this->Versions},
                                             {"t", this->OtherVersions}};
                  },
              .IsRegistryCurrent = [] { return true; },
              .IsFirstStart = true}),
        Store({.Loop = Loop,
               .Api = this->Api,
               .Streams = this->Streams,
               .NodeId = NodeId,
               .NeedsRecords = [this] { return this->Sets.needsRecords(); },
               .GatewayCount = [] { return std::size_t{2}; }}) {
    this->Sets.setServices({{"s", "t"}});
    this->Drain = Loop.timers().every(2ms, [this] { this->Api.drain(10); });
    this->Store.Listed.connect([this](const StreamOrigins *Stored) {
      this->Found = Stored ? Stored->find(this->Wanted) : std::nullopt;
      ++this->Lists;
    });
    this->Sets.start();
    this->Store.start();
  }
  ~Process() { this->Drain.disconnect(); }

  std::optional<StreamOrigin> list(StreamKey Key) {
    this->Wanted = Key;
    this->Lists = 0;
    this->Store.list();
    EXPECT_TRUE(this->Loop.runUntil([&] { return this->Lists > 0; }, 2s));
    return this->Found;
  }

  EventLoop &Loop;
  FakePlatform Api;
  std::set<std::string> Versions;
  std::set<std::string> OtherVersions; ///< Of another service.
  StreamOrigins Streams;
  SoftwareVersionStore Sets;
  StreamOriginStore Store;

private:
  StreamKey Wanted = 0;
  std::optional<StreamOrigin> Found;
  int Lists = 0;
  sigc::connection Drain;
};

class StreamOriginStoreTest : public testing::Test {
protected:
  std::unique_ptr<Process> start(const std::string &NodeId,
                                 std::set<std::string> Versions) {
    return std::make_unique<Process>(this->Loop, this->Data, NodeId,
                                     std::move(Versions));
  }
  void wait(Duration Time) {
    this->Loop.runUntil([] { return false; }, Time);
  }
  static int countPuts(const Process &Of) { return Of.Api.Writes; }

  EventLoop Loop;
  std::shared_ptr<FakeStore> Data = std::make_shared<FakeStore>();
};

// Guards against a process that has just started and takes the version that is
// registered for the only one, while streams of another one are taken up.
TEST_F(StreamOriginStoreTest, AStartedProcessKnowsAVersionThatHasLeft) {
  auto First = this->start("n0", {"1", "2"});
  this->wait(100ms);
  EXPECT_EQ(First->Sets.onlyVersion("s"), std::nullopt);
  First.reset();
  const auto Next = this->start("n1", {"2"});
  EXPECT_EQ(Next->Sets.onlyVersion("s"), std::nullopt) << "not yet read";
  this->wait(100ms);
  EXPECT_EQ(Next->Sets.onlyVersion("s"), std::nullopt);
}

TEST_F(StreamOriginStoreTest, AServiceOfOneVersionNeedsNoRecords) {
  const auto First = this->start("n0", {"1"});
  this->wait(100ms);
  EXPECT_EQ(First->Sets.onlyVersion("s"), "1");
  const int Before = countPuts(*First);
  for (StreamKey Key = 0; Key < 10; ++Key)
    First->Streams.noteBegun(Key, Old, EventLoop::now());
  this->wait(500ms);
  EXPECT_EQ(countPuts(*First), Before);
}

// Guards against streams whose service is not known any more, where a route
// has two services with a version each.
TEST_F(StreamOriginStoreTest, ServicesOfDifferentVersionsNeedRecords) {
  auto First = this->start("n0", {"1"});
  First->OtherVersions = {"2"};
  this->wait(100ms);
  First->Streams.noteBegun(7, Old, EventLoop::now());
  this->wait(500ms);
  First.reset();
  const auto Next = this->start("n0", {"1"});
  EXPECT_EQ(Next->list(7), Old);
}

// Guards against records that are written all the time, since services that no
// route joins number their versions differently.
TEST_F(StreamOriginStoreTest, ServicesOfSeparateRoutesNeedNoRecords) {
  const auto First = this->start("n0", {"1"});
  First->Sets.setServices({{"s"}, {"t"}});
  First->OtherVersions = {"2"};
  this->wait(500ms);
  const int Before = countPuts(*First);
  First->Streams.noteBegun(7, Old, EventLoop::now());
  this->wait(300ms);
  EXPECT_EQ(countPuts(*First), Before);
}

// Guards against streams that no process knows any more once all were killed:
// also those that began before there was a second version.
TEST_F(StreamOriginStoreTest, RecordsOutlastAllProcesses) {
  auto First = this->start("n0", {"1"});
  this->wait(100ms);
  First->Streams.noteBegun(7, Old, EventLoop::now());
  First->Versions = {"1", "2"};
  First->Sets.noteUpstream("s", "2");
  First->Streams.noteBegun(8, New, EventLoop::now());
  this->wait(500ms);
  First.reset();
  const auto Next = this->start("n1", {"2"});
  EXPECT_EQ(Next->list(7), Old);
  EXPECT_EQ(Next->list(8), New);
  EXPECT_EQ(Next->list(9), std::nullopt);
}

// Guards against a successor that replaces what its predecessor has stored.
TEST_F(StreamOriginStoreTest, ASuccessorKeepsTheRecordsOfItsPredecessor) {
  auto First = this->start("n0", {"1", "2"});
  this->wait(100ms);
  First->Streams.noteBegun(7, Old, EventLoop::now());
  this->wait(500ms);
  First.reset();
  const auto Next = this->start("n0", {"1", "2"});
  this->wait(50ms);
  Next->Streams.noteBegun(8, New, EventLoop::now());
  this->wait(500ms);
  const auto Other = this->start("n1", {"1", "2"});
  EXPECT_EQ(Other->list(7), Old);
  EXPECT_EQ(Other->list(8), New);
}

// Guards against records that are lost because the answer to a write was.
TEST_F(StreamOriginStoreTest, AWriteWithoutAnAnswerIsRepeated) {
  const auto First = this->start("n0", {"1", "2"});
  this->wait(100ms);
  First->Api.LoseReplies = 1;
  First->Streams.noteBegun(7, Old, EventLoop::now());
  this->wait(300ms);
  First->Streams.noteBegun(8, Old, EventLoop::now());
  this->wait(700ms);
  const auto Other = this->start("n1", {"1", "2"});
  EXPECT_EQ(Other->list(7), Old);
  EXPECT_EQ(Other->list(8), Old);
}

// Guards against what a restored platform has lost.
TEST_F(StreamOriginStoreTest, RecordsAndVersionsAreStoredAgainInANewEra) {
  this->Data->Era = 1;
  const auto First = this->start("n0", {"1"});
  this->wait(100ms);
  this->Data->keepCopy();
  First->Api.Era.Changed.connect([&](const EraChange &) {
    First->Sets.onEraChanged();
    First->Store.onEraChanged();
  });
  First->Versions = {"1", "2"};
  First->Sets.noteUpstream("s", "2");
  First->Streams.noteBegun(7, Old, EventLoop::now());
  this->wait(500ms);
  this->Data->restore();
  First->Streams.noteBegun(8, New, EventLoop::now());
  this->wait(1500ms);
  const auto Other = this->start("n1", {"2"});
  EXPECT_EQ(Other->list(7), Old);
  EXPECT_EQ(Other->list(8), New);
  EXPECT_EQ(Other->Sets.onlyVersion("s"), std::nullopt);
}

// Guards against a malformed object that hides the others.
TEST_F(StreamOriginStoreTest, AMalformedObjectIsSkipped) {
  for (const char *Name : {"gateway.x", "service.s", "other"})
    this->Data->write({"stream-versions", Name}, {{"streams", {{1}}}});
  this->Data->write({"software-versions", "s"}, {{"versions", {{1}}}});
  this->Data->write(
      {"stream-versions", "gateway.y"},
      {{"written_ms", wallMilliseconds()},
       {"streams",
        {{{"service", "s"}, {"version", "1"}, {"keys", "0000000000000007"}}}}});
  const auto First = this->start("n0", {"1"});
  EXPECT_EQ(First->list(7), Old);
  this->wait(300ms);
  EXPECT_EQ(First->Sets.onlyVersion("s"), "1");
}

// Guards against a fleet that uses up the writes which the platform accepts,
// and against records that are stored too late to be found.
TEST_F(StreamOriginStoreTest, ThePeriodFollowsTheFleetAndThePlatform) {
  struct Case {
    std::size_t Gateways;
    double AcceptedPerSecond;
  };
  for (const Case &Each : {Case{1, 400}, {6, 400}, {7, 400}, {63, 1200}}) {
    const double Seconds =
        toSeconds(StreamOriginStore::periodFor(Each.Gateways));
    EXPECT_LE(static_cast<double>(Each.Gateways) / Seconds,
              Each.AcceptedPerSecond / 4)
        << Each.Gateways;
    EXPECT_LE(Seconds, 0.4) << Each.Gateways;
  }
}

// Guards against a search that waits for a platform that is away.
TEST_F(StreamOriginStoreTest, AListThatFailsIsTold) {
  const auto First = this->start("n0", {"1", "2"});
  this->wait(100ms);
  First->Api.Outage = true;
  EXPECT_EQ(First->list(7), std::nullopt);
}

} // namespace
} // namespace galenaroute
