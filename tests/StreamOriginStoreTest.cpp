// Tests of origins of streams that outlast the processes which knew them.

#include "process/StreamOriginStore.h"
#include "FakePlatform.h"
#include "process/GossipMessages.h"
#include "process/SoftwareVersionStore.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

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
               .GatewayCount = [] { return std::size_t{2}; },
               .Tell =
                   [this](const StreamRecordUpdates &News) {
                     if (!this->HasReceivers)
                       return false;
                     this->Told.push_back(News);
                     if (this->Keeper)
                       this->Keeper->Store.receive(News);
                     return true;
                   }}) {
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
  std::vector<StreamRecordUpdates> Told;
  Process *Keeper = nullptr; ///< Gets what is told.
  bool HasReceivers = true;
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

// Guards against streams that end with a gateway which the platform turned
// away, since no other process knows their origin.
TEST_F(StreamOriginStoreTest, RecordsOfAGatewayWithoutPlatformAreStored) {
  auto Cut = this->start("n0", {"1", "2"});
  auto Keeper = this->start("n1", {"1", "2"});
  Cut->Keeper = Keeper.get();
  this->wait(300ms);
  Cut->Api.Outage = true;
  Cut->Streams.noteBegun(7, Old, EventLoop::now());
  Cut->Streams.noteBegun(8, New, EventLoop::now());
  this->wait(1200ms);
  EXPECT_EQ(Keeper->Streams.find(7), Old);
  EXPECT_EQ(Cut->Told.size(), 2U) << "repeated once";
  Cut.reset();
  Keeper.reset();
  const auto Next = this->start("n2", {"1", "2"});
  EXPECT_EQ(Next->list(7), Old);
  EXPECT_EQ(Next->list(8), New);
}

// Guards against records that count as told while all gateways that could store
// them drop the message, since they are of an earlier build.
TEST_F(StreamOriginStoreTest, RecordsThatNobodyKeepsAreToldLater) {
  auto Cut = this->start("n0", {"1", "2"});
  auto Keeper = this->start("n1", {"1", "2"});
  Cut->Keeper = Keeper.get();
  Cut->HasReceivers = false;
  this->wait(300ms);
  Cut->Api.Outage = true;
  Cut->Streams.noteBegun(7, Old, EventLoop::now());
  this->wait(1200ms);
  EXPECT_TRUE(Cut->Store.isLate());
  EXPECT_EQ(Keeper->Streams.find(7), std::nullopt);
  Cut->HasReceivers = true;
  this->wait(1200ms);
  EXPECT_EQ(Keeper->Streams.find(7), Old);
  EXPECT_EQ(Cut->Told.size(), 2U) << "repeated once";
  Cut->Api.Outage = false;
  EXPECT_TRUE(this->Loop.runUntil([&] { return !Cut->Store.isLate(); }, 4s));
}

// Guards against messages for each stream at all times.
TEST_F(StreamOriginStoreTest, NothingIsToldWhileRecordsAreStored) {
  const auto First = this->start("n0", {"1", "2"});
  this->wait(100ms);
  for (StreamKey Key = 0; Key < 100; ++Key) {
    First->Streams.noteBegun(Key, Old, EventLoop::now());
    this->wait(10ms);
  }
  EXPECT_TRUE(First->Told.empty());
}

// Guards against messages for records that no gateway needs.
TEST_F(StreamOriginStoreTest, NothingIsToldWhileNoRecordsAreNeeded) {
  const auto First = this->start("n0", {"1"});
  ASSERT_TRUE(
      this->Loop.runUntil([&] { return !First->Sets.needsRecords(); }, 2s));
  First->Api.Outage = true;
  First->Streams.noteBegun(7, Old, EventLoop::now());
  this->wait(1s);
  EXPECT_TRUE(First->Told.empty());
}

// Guards against messages that are truncated, and records that are left out.
TEST(StreamRecordUpdatesTest, NewsFitIntoMessagesAndTellEachRecordTwice) {
  StreamOrigins Streams;
  constexpr StreamKey Count = 1500;
  for (StreamKey Key = 1; Key <= Count; ++Key)
    Streams.noteBegun(~Key,
                      {std::string(MaxOriginNameBytes, 's'),
                       std::string(MaxOriginNameBytes - 1, 'v') +
                           static_cast<char>('a' + Key * 20 / Count)},
                      TimePoint(1s));
  StreamRecordProgress Progress;
  std::map<StreamKey, int> Told;
  while (true) {
    const StreamRecordUpdates News = takeUpdates(Streams, Progress);
    if (News.empty())
      break;
    const std::string Bytes = encodeGossip({.Streams = News});
    ASSERT_LE(Bytes.size(), MaxGossipBytes);
    EXPECT_EQ(decodeGossip(Bytes).Streams, News);
    for (const StreamRecordGroup &Each : News)
      for (const StreamKey Key : Each.Keys)
        ++Told[Key];
  }
  EXPECT_EQ(Told.size(), Count);
  for (const auto &[Key, Times] : Told)
    EXPECT_EQ(Times, 2) << Key;
}

// Guards against a datagram that fills the memory or adds wrong records.
TEST(StreamRecordUpdatesTest, MalformedNewsAreDropped) {
  using nlohmann::json;
  const auto Decode = [](const json &Streams) {
    const auto Bytes = json::to_cbor({{"streams", Streams}});
    return decodeGossip(
        {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()});
  };
  const std::vector<std::uint64_t> TooMany(MaxUpdateRecords + 1, 7);
  const std::string TooLong(MaxOriginNameBytes + 1, 's');
  for (const json &Group :
       {json{"s", "1", {-1}}, json{"s", "1", {"7"}}, json{"s", "1", {1.5}},
        json{"s", "1"}, json{"s", 1, {7}}, json{"", "1", {7}},
        json{TooLong, "1", {7}}, json{"s", "1", TooMany}, json{7}, json()})
    EXPECT_THROW(Decode(json::array({Group})), std::exception) << Group;
  EXPECT_THROW(Decode(json(MaxUpdateOrigins + 1, {"s", "1", {7}})),
               std::exception);
  const auto Good = Decode(json::array({json{"s", "1", {7}}}));
  EXPECT_EQ(Good.Streams, (StreamRecordUpdates{{Old, {7}}}));
}

// Guards against records that are told to gateways which cannot store them, or
// drop them.
TEST(StreamRecordUpdatesTest, KeepersReachThePlatform) {
  std::vector<EntryRecord> All(8);
  for (std::size_t I = 0; I < All.size(); ++I) {
    All[I].Id = "n" + std::to_string(I);
    All[I].Gossip = {All[I].Id, 1};
    All[I].ReachesPlatform = I != 1;
    All[I].IsLeaving = I == 2;
    All[I].Level = I == 3 ? 0 : OwnLevel;
  }
  std::set<std::string> Chosen;
  for (const EntryRecord &Self : All) {
    const auto Keepers = chooseRecordReceivers(All, Self.Id);
    ASSERT_EQ(Keepers.size(), 2U);
    for (const SocketAddress &Each : Keepers) {
      EXPECT_NE(Each.Host, Self.Id);
      Chosen.insert(Each.Host);
    }
  }
  EXPECT_FALSE(Chosen.contains("n1"));
  EXPECT_FALSE(Chosen.contains("n2"));
  EXPECT_FALSE(Chosen.contains("n3"));
  EXPECT_GT(Chosen.size(), 2U) << "spread over the others";
}

} // namespace
} // namespace galenaroute
