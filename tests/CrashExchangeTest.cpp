// Tests of CrashExchange with many entries in one process, whose messages
// arrive without delay.

#include "process/CrashExchange.h"
#include "FakePlatform.h"
#include "process/EntryChannel.h"
#include "process/GossipMessages.h"
#include "process/Rendezvous.h"
#include "request/AnsweredKeys.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using testing_support::FakePlatform;

class CrashExchangeTest : public testing::Test {
protected:
  struct Entry {
    explicit Entry(const EntryRecord &Self) : Gossip(Self, {}) {}
    EntryGossip Gossip;
    CrashRecord Record;
    AnsweredKeys Answered;
    std::unique_ptr<CrashExchange> Exchange;
  };

  ~CrashExchangeTest() override { this->PlatformTimer.disconnect(); }

  void fill(std::size_t Count) {
    std::vector<EntryRecord> All(Count);
    for (std::size_t I = 0; I < Count; ++I) {
      All[I].Id = "n" + std::to_string(I);
      All[I].Heartbeat = 1;
      All[I].Gossip = {"127.0.0.1", static_cast<std::uint16_t>(I + 1)};
    }
    for (const EntryRecord &Each : All) {
      this->Entries.push_back(std::make_unique<Entry>(Each));
      this->Entries.back()->Gossip.receive(All, EventLoop::now());
      this->start(this->Entries.size() - 1);
    }
    this->wait(100ms);
    this->Messages = 0;
  }

  /// Restarts the exchange of an entry with an empty record.
  void start(std::size_t Index) {
    Entry &Each = *this->Entries[Index];
    Each.Exchange.reset();
    Each.Record = {};
    Each.Exchange = std::make_unique<CrashExchange>(CrashExchangeParts{
        .Loop = this->Loop,
        .Record = Each.Record,
        .Api = this->Api,
        .Entries = Each.Gossip,
        .Send =
            [this](const SocketAddress &To, const std::string &Bytes) {
              ++this->Messages;
              this->LargestMessage =
                  std::max(this->LargestMessage, Bytes.size());
              if (this->IsPartitioned)
                return;
              this->Loop.timers().after(0ms, [this, To, Bytes] {
                const GossipMessage Message = decodeGossip(Bytes);
                this->Entries[To.Port - 1u]->Exchange->receive(Message.Crashes);
              });
            },
        .LastAnswered =
            [&Each](std::uint64_t Key) {
              return lastAnswered(Each.Answered, Key);
            },
        .OnRefusalsChanged = [this] { ++this->RefusalChanges; }});
    Each.Exchange->start();
  }

  void crash(std::size_t At, std::uint64_t Content, std::uint64_t Upstream) {
    if (noteCrash(this->Entries[At]->Record, Content, Upstream,
                  EventLoop::now()))
      this->Entries[At]->Exchange->publish(Content);
  }

  std::size_t refusing(std::uint64_t Content) const {
    return static_cast<std::size_t>(std::count_if(
        this->Entries.begin(), this->Entries.end(), [&](const auto &Each) {
          return refusedUntil(Each->Record, Content, EventLoop::now());
        }));
  }

  bool until(const std::function<bool()> &Done) {
    return this->Loop.runUntil(Done, 3s);
  }
  void wait(Duration Time) {
    this->Loop.runUntil([] { return false; }, Time);
  }

  EventLoop Loop;
  FakePlatform Api;
  std::vector<std::unique_ptr<Entry>> Entries;
  std::size_t Messages = 0;
  std::size_t LargestMessage = 0;
  std::size_t RefusalChanges = 0;
  bool IsPartitioned = false;
  sigc::connection PlatformTimer =
      this->Loop.timers().every(5ms, [this] { this->Api.drain(); });
};

// Guards against a fleet in which each entry must see three crashes of a call
// itself, and against a cost per crash that grows with the fleet.
TEST_F(CrashExchangeTest, ALargeFleetLearnsOfCrashesSeenByThreeEntries) {
  this->fill(295);
  this->crash(0, 7, 1);
  this->wait(60ms);
  EXPECT_LE(this->Messages, 3u) << "only aggregators get a report";
  this->crash(100, 7, 2);
  this->crash(200, 7, 3);
  const TimePoint Begun = EventLoop::now();
  ASSERT_TRUE(this->until([&] { return this->refusing(7) == 295; }));
  EXPECT_LT(EventLoop::now() - Begun, 1s);
  RecordProperty("learned_in_ms",
                 std::to_string(toMilliseconds(EventLoop::now() - Begun)));
  RecordProperty("messages", std::to_string(this->Messages));
  this->wait(200ms);
  EXPECT_LE(this->Messages, 10u * 295);
  EXPECT_GE(this->Api.Writes, 1);
  EXPECT_LE(this->Api.Writes, 6) << "only aggregators write";
}

// An upstream crashes while it runs 24 harmless calls of as many entries, which
// then succeed at other upstreams.
TEST_F(CrashExchangeTest, HarmlessCallsDuringACrashCostFewMessages) {
  this->fill(295);
  for (std::uint64_t I = 0; I < 24; ++I)
    this->crash(I, 100 + I, 1);
  this->wait(60ms);
  for (std::size_t I = 0; I < 24; ++I)
    this->Entries[I]->Exchange->publish(
        100 + I,
        noteSuccess(this->Entries[I]->Record, 100 + I, EventLoop::now()));
  this->wait(100ms);
  EXPECT_LE(this->Messages, 24u * 2 * 3);
  EXPECT_EQ(this->Api.Writes, 0);
  for (const auto &Each : this->Entries)
    EXPECT_TRUE(suspectKeys(Each->Record, 1, 10).empty());
}

// Guards against a restarted entry that knows none of the crashes.
TEST_F(CrashExchangeTest, ARestartedEntryLearnsFromThePlatform) {
  this->fill(5);
  for (std::size_t I = 0; I < 3; ++I)
    this->crash(I, 7, I + 1);
  ASSERT_TRUE(this->until([&] { return this->refusing(7) == 5; }));
  this->wait(100ms);
  this->IsPartitioned = true;
  for (std::size_t I = 0; I < 5; ++I)
    this->start(I);
  EXPECT_EQ(this->refusing(7), 0u);
  EXPECT_TRUE(this->until([&] { return this->refusing(7) == 5; }));
}

// Guards against counting a crash twice because the clock of the entry that
// stored it differs.
TEST_F(CrashExchangeTest, AKnownStoredCrashIsNotCountedAgain) {
  this->fill(1);
  this->crash(0, 7, 1);
  this->crash(0, 7, 2);
  const auto Stored = [this] {
    return this->Api.read({"crashing-contents", "recent"}).Object;
  };
  ASSERT_TRUE(this->until([&] { return Stored().Value.size() == 1; }));
  nlohmann::json Stepped = Stored().Value;
  for (nlohmann::json &Seen : Stepped[0][1])
    Seen[1] = Seen[1].get<std::int64_t>() - 5000;
  this->Api.put(Stored().Key, Stepped, Stored().Version,
                [](const PlatformResult &) {});
  this->wait(50ms);
  // Makes it read the stored object.
  this->Entries[0]->Exchange->start();
  this->wait(100ms);
  EXPECT_EQ(crashCount(this->Entries[0]->Record, 7), 2u);
}

// Guards against a call that stays below the limit because all entries are
// killed each time it has crashed two upstreams.
TEST_F(CrashExchangeTest, TwoCrashesSurviveARestartOfAllEntries) {
  this->fill(5);
  this->crash(0, 7, 1);
  this->crash(1, 7, 2);
  // Persisted within half a second, see PersistDelay.
  this->wait(550ms);
  for (std::size_t I = 0; I < 5; ++I)
    this->start(I);
  this->wait(200ms);
  this->crash(3, 7, 3);
  EXPECT_TRUE(this->until([&] { return this->refusing(7) == 5; }));
}

TEST_F(CrashExchangeTest, AnEntryStartedInAPlatformOutageLearnsAfterwards) {
  this->fill(3);
  for (std::size_t I = 0; I < 3; ++I)
    this->crash(I, 7, I + 1);
  ASSERT_TRUE(this->until([&] { return this->refusing(7) == 3; }));
  this->wait(100ms);
  this->IsPartitioned = true;
  this->Api.Outage = true;
  this->start(0);
  this->wait(700ms);
  EXPECT_EQ(this->refusing(7), 2u);
  this->Api.Outage = false;
  EXPECT_TRUE(this->until([&] { return this->refusing(7) == 3; }));
}

// Guards against an entry that reaches the platform but no other entry, and
// would let the call crash three more upstreams.
TEST_F(CrashExchangeTest, AnIsolatedEntryReadsThePlatform) {
  this->fill(5);
  Entry &Isolated = *this->Entries[4];
  std::vector<EntryRecord> Dead;
  Isolated.Gossip = EntryGossip(Isolated.Gossip.self(),
                                {.DeadAfter = 0ms, .DeadAfterPerEntry = 0ms});
  for (std::size_t I = 0; I < 4; ++I)
    Dead.push_back(this->Entries[I]->Gossip.self());
  Isolated.Gossip.receive(Dead, EventLoop::now());
  this->IsPartitioned = true;
  for (std::size_t I = 0; I < 3; ++I)
    this->crash(0, 7, I + 1);
  ASSERT_TRUE(this->until([&] { return this->Api.Writes > 0; }));
  EXPECT_EQ(this->refusing(7), 1u);
  const int Reads = this->Api.Reads;
  this->wait(1100ms);
  Isolated.Exchange->onGossipRound({});
  this->Entries[1]->Exchange->onGossipRound({});
  this->wait(100ms);
  EXPECT_TRUE(refusedUntil(Isolated.Record, 7, EventLoop::now()));
  EXPECT_EQ(this->Api.Reads, Reads + 1) << "only the isolated entry reads";
}

// Guards against crash reports that one lost message loses for good.
TEST_F(CrashExchangeTest, AGossipRoundRepeatsLostReports) {
  this->fill(3);
  this->IsPartitioned = true;
  for (std::size_t I = 0; I < 3; ++I)
    this->crash(0, 7, I + 1);
  this->wait(100ms);
  EXPECT_EQ(this->refusing(7), 1u);
  this->IsPartitioned = false;
  const SocketAddress To{"127.0.0.1", 2};
  this->Entries[0]->Exchange->onGossipRound({&To, 1});
  EXPECT_TRUE(this->until([&] { return this->refusing(7) == 2; }));
}

// Guards against losing a write because of a concurrent write or a missing
// response.
TEST_F(CrashExchangeTest, RefusedContentsAreEventuallyPersisted) {
  this->fill(2);
  this->Api.LoseRequests = 1;
  for (std::uint64_t Content = 7; Content < 9; ++Content)
    for (std::size_t I = 0; I < 3; ++I)
      this->crash(Content - 7, Content, I + 1);
  const auto Stored = [&] {
    const auto Result = this->Api.read({"crashing-contents", "recent"});
    return Result.Status == PlatformStatus::Ok ? Result.Object.Value.size() : 0;
  };
  EXPECT_TRUE(this->until([&] { return Stored() == 2; }));
}

// Guards against entries that start later refusing a call that has succeeded.
TEST_F(CrashExchangeTest, ASuccessClearsTheRefusalEverywhere) {
  this->fill(5);
  for (std::size_t I = 0; I < 3; ++I)
    this->crash(I, 7, I + 1);
  ASSERT_TRUE(this->until([&] { return this->refusing(7) == 5; }));
  this->wait(700ms);
  this->Entries[4]->Exchange->publish(
      7, noteSuccess(this->Entries[4]->Record, 7, EventLoop::now()));
  EXPECT_TRUE(this->until([&] { return this->refusing(7) == 0; }));
  EXPECT_TRUE(this->until([&] {
    return this->Api.read({"crashing-contents", "recent"}).Object.Value.empty();
  }));
}

TEST_F(CrashExchangeTest, MessagesStayBelowTheSizeLimit) {
  this->fill(2);
  for (std::uint64_t Content = 1000; Content < 1400; ++Content)
    for (std::uint64_t Upstream = 1; Upstream <= MaxCrashObservations;
         ++Upstream)
      this->crash(0, Content << 40, Upstream << 40);
  const SocketAddress To{"127.0.0.1", 2};
  this->wait(100ms);
  this->Entries[0]->Exchange->onGossipRound({&To, 1});
  this->wait(100ms);
  EXPECT_GT(this->LargestMessage, 0u);
  EXPECT_LE(this->LargestMessage, EntryChannel::MaxBytes);
}

// Guards against refusing a harmless part that was at several crashes, though
// other entries see answers to it, and against a reply by each of those.
TEST_F(CrashExchangeTest, AnswersThatOtherEntriesSawClearAPart) {
  this->fill(295);
  for (std::size_t I = 0; I < 295; ++I)
    if (I != 100)
      noteAnswered(this->Entries[I]->Answered, 7, EventLoop::now() + 100ms);
  for (std::uint64_t Upstream = 1; Upstream <= 3; ++Upstream)
    this->crash(100, 7, Upstream);
  this->wait(800ms);
  for (std::size_t I = 0; I < 295; ++I)
    EXPECT_EQ(crashCount(this->Entries[I]->Record, 7), 0u) << I;
  EXPECT_LE(this->Messages, 10u * 295);
}

// Guards against refusing a part that was answered before, at crashes that
// another one causes.
TEST_F(CrashExchangeTest, EntriesLearnThatAPartWasAnsweredBefore) {
  this->fill(36);
  noteAnswered(this->Entries[30]->Answered, 7, EventLoop::now());
  for (std::uint64_t Upstream = 1; Upstream <= 3; ++Upstream)
    this->crash(2, 7, Upstream);
  this->wait(300ms);
  EXPECT_EQ(this->refusing(7), 0u);
  EXPECT_EQ(crashCount(this->Entries[5]->Record, 7), 3u);
}

// Guards against messages, memory and writes that grow with calls that are
// never alike.
TEST_F(CrashExchangeTest, CallsThatAreNeverAlikeAreNotBroadcast) {
  this->fill(36);
  std::uint64_t Keys = 0;
  for (std::uint64_t Upstream = 1; Upstream <= 100; ++Upstream) {
    for (std::size_t Call = 0; Call < 20; ++Call)
      for (int Key = 0; Key < 3; ++Key)
        this->crash((Upstream + Call) % 36, mixBits(++Keys), Upstream);
    this->wait(1ms);
  }
  this->wait(200ms);
  EXPECT_LE(this->Messages, 3 * Keys);
  EXPECT_EQ(this->Api.Writes, 0);
  EXPECT_EQ(this->RefusalChanges, 0u);
  for (const auto &Each : this->Entries) {
    EXPECT_LE(Each->Record.Keys.size(), MaxCrashKeys);
    EXPECT_TRUE(suspectKeys(Each->Record, 2, 10).empty());
  }
}

// Guards against calls under way that are not withdrawn once they are refused.
TEST_F(CrashExchangeTest, EntriesAreToldWhenCallsBecomeRefused) {
  this->fill(5);
  this->crash(0, 7, 1);
  this->crash(1, 7, 2);
  this->wait(200ms);
  EXPECT_EQ(this->RefusalChanges, 0u);
  this->crash(2, 7, 3);
  EXPECT_TRUE(this->until([&] { return this->RefusalChanges >= 5; }));
}

} // namespace
} // namespace galenaroute
