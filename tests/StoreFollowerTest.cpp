// Tests of StoreFollower, alone and with updates from other entries.

#include "process/StoreFollower.h"
#include "process/GossipMessages.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

/// Holds calls until the test answers them.
class ManualFeed : public CacheFeed {
public:
  struct Call {
    bool IsList;
    std::uint64_t Since;
    Duration Wait;
    OnBatch Done;
  };

  void events(const SocketAddress &, std::uint64_t Since, Duration Wait,
              OnBatch Done) override {
    this->Calls.push_back({false, Since, Wait, std::move(Done)});
  }
  void list(const SocketAddress &, OnBatch Done) override {
    this->Calls.push_back({true, 0, {}, std::move(Done)});
  }
  void free(const SocketAddress &, std::uint64_t,
            std::span<const std::pair<std::string, std::string>>) override {}

  void answer(const StoreEventBatch &Batch) {
    const Call Oldest = std::move(this->Calls.front());
    this->Calls.erase(this->Calls.begin());
    Oldest.Done(Batch);
  }

  std::vector<Call> Calls;
};

StoreEventBatch added(std::uint64_t Epoch, std::uint64_t Next,
                      const std::string &Part) {
  StoreEventBatch Batch;
  Batch.Epoch = Epoch;
  Batch.Next = Next;
  Batch.ClockMs = 1000;
  Batch.Events = {{true, "w1", Part, 500}};
  return Batch;
}

class StoreFollowerTest : public testing::Test {
protected:
  StoreFollowerTest() {
    ForwardService Store;
    Store.Store.emplace();
    Store.Store->Address = {"10.0.0.1", 1};
    Store.Store->IsManaged = true;
    Store.Store->CacheTokens = 100000;
    this->Config.Services["s"] = Store;
    this->Follower.follow(this->Config);
  }
  bool holds(const std::string &Part) {
    return this->Follower.views().at(0).Contents->Held.contains("w1/" + Part);
  }
  void runFor(Duration Time) {
    this->Loop.timers().after(Time, [this] { this->Loop.stop(); });
    this->Loop.run();
  }
  void expectUpdates() {
    this->Follower.assign([](std::string_view) { return false; });
  }

  EventLoop Loop;
  ManualFeed Feed;
  ForwardConfig Config;
  StoreFollower Follower{this->Loop, this->Feed};
};

TEST_F(StoreFollowerTest, ForwardsEventsToOthers) {
  std::vector<StoreUpdate> Updates;
  this->Follower.OnUpdate = [&](const StoreUpdate &Update) {
    Updates.push_back(Update);
  };
  this->Feed.answer(added(7, 3, "a"));
  ASSERT_EQ(Updates.size(), 1U);
  const GossipMessage Read = decodeGossip(encodeGossip({.Store = Updates[0]}));
  ASSERT_TRUE(Read.Store);
  EXPECT_EQ(Read.Store->Store, "s");
  EXPECT_EQ(Read.Store->Since, 0U);
  EXPECT_EQ(Read.Store->Batch.Epoch, 7U);
  EXPECT_EQ(Read.Store->Batch.Next, 3U);
  EXPECT_EQ(Read.Store->Batch.ClockMs, 1000);
  ASSERT_EQ(Read.Store->Batch.Events.size(), 1U);
  EXPECT_EQ(Read.Store->Batch.Events[0].Part, "a");
}

// Guards against calls to a store whose updates another entry forwards. With 82
// entries and 20 stores, such calls amounted to 59,000 in 40 s, many of them
// refused.
TEST_F(StoreFollowerTest, DoesNotPollWhileOthersForward) {
  this->Feed.answer(added(7, 3, "a"));
  this->expectUpdates();
  this->runFor(300ms);
  EXPECT_TRUE(this->Feed.Calls.empty());
  this->Follower.receive({"s", 3, added(7, 5, "b")});
  EXPECT_TRUE(this->holds("b"));
  this->runFor(600ms);
  EXPECT_TRUE(this->Feed.Calls.empty());
}

// Guards against an entry that continues with outdated contents when the entry
// that forwards updates has gone.
TEST_F(StoreFollowerTest, PollsWhenNobodyForwards) {
  this->Feed.answer(added(7, 3, "a"));
  this->expectUpdates();
  this->runFor(1600ms);
  ASSERT_EQ(this->Feed.Calls.size(), 1U);
  EXPECT_EQ(this->Feed.Calls[0].Since, 3U);
}

// Guards against a store whose responses can never be read being asked for
// megabytes several times a second, and against one unreadable response that
// delays the next call.
TEST_F(StoreFollowerTest, AsksLessOftenWhileResponsesCannotBeRead) {
  int Malformed = 0;
  this->Follower.OnMalformed = [&] { ++Malformed; };
  this->Feed.answer({.IsMalformed = true});
  this->runFor(500ms);
  ASSERT_EQ(this->Feed.Calls.size(), 1U);
  EXPECT_TRUE(this->Feed.Calls[0].IsList) << "the contents are unknown";
  for (int I = 0; I < 3; ++I) {
    this->Feed.answer({.IsMalformed = true});
    this->runFor(850ms);
  }
  EXPECT_TRUE(this->Feed.Calls.empty()) << "the pause has doubled twice";
  EXPECT_EQ(Malformed, 4);
  this->runFor(900ms);
  ASSERT_EQ(this->Feed.Calls.size(), 1U);
  StoreEventBatch List = added(7, 3, "a");
  List.IsList = true;
  this->Feed.answer(List);
  EXPECT_TRUE(this->holds("a"));
  this->runFor(300ms);
  EXPECT_EQ(this->Feed.Calls.size(), 1U) << "the pause is as usual again";
}

// Guards against a store that reports ever new parts, which would make a
// process hold all of them.
TEST_F(StoreFollowerTest, TracksABoundedNumberOfParts) {
  StoreEventBatch Batch = added(7, 3, "a");
  Batch.Events.clear();
  for (std::size_t I = 0; I < MaxTrackedParts + 10; ++I)
    Batch.Events.push_back({true, "w1", std::to_string(I), 1});
  this->Feed.answer(Batch);
  const StoreContents &Contents = *this->Follower.views().at(0).Contents;
  EXPECT_EQ(Contents.Held.size(), MaxTrackedParts);
  EXPECT_EQ(Contents.UsedTokens, MaxTrackedParts);
}

// Guards against a lost message: the entry would fetch parts that were freed in
// it.
TEST_F(StoreFollowerTest, PollsAfterAMissedUpdate) {
  this->Feed.answer(added(7, 3, "a"));
  this->expectUpdates();
  this->Follower.receive({"s", 6, added(7, 8, "c")});
  EXPECT_FALSE(this->holds("c"));
  this->runFor(400ms);
  ASSERT_EQ(this->Feed.Calls.size(), 1U);
  EXPECT_EQ(this->Feed.Calls[0].Since, 3U);
}

// Guards against merging updates of a restarted store with the contents from
// before, and against an older update undoing a newer one.
TEST_F(StoreFollowerTest, IgnoresUpdatesOfAnotherEpochAndOlderOnes) {
  this->Feed.answer(added(7, 9, "a"));
  this->expectUpdates();
  this->Follower.receive({"s", 9, added(8, 12, "b")});
  EXPECT_FALSE(this->holds("b"));
  StoreEventBatch Older = added(7, 4, "a");
  Older.Events[0].IsAdded = false;
  this->Follower.receive({"s", 3, Older});
  EXPECT_TRUE(this->holds("a"));
}

// Guards against a call that only catches up and occupies a slot of one that
// waits for events. When 295 entries started together, each polled 20 stores
// that take a dozen calls at a time; 266,000 calls were refused in a day.
TEST_F(StoreFollowerTest, CatchesUpWithoutWaiting) {
  this->Feed.answer(added(7, 3, "a"));
  this->expectUpdates();
  this->Follower.receive({"s", 6, added(7, 8, "c")});
  this->runFor(400ms);
  ASSERT_EQ(this->Feed.Calls.size(), 1U);
  EXPECT_EQ(this->Feed.Calls[0].Wait, Duration::zero());
}

// Guards against the contents of a store being taken for those of the one that
// has replaced it, and against polling that one twice as often for good.
TEST_F(StoreFollowerTest, IgnoresAnswersOfAStoreThatWasReplaced) {
  ASSERT_EQ(this->Feed.Calls.size(), 1U);
  this->Config.Services["s"].Store->Address = {"10.0.0.2", 1};
  this->Follower.follow(this->Config);
  ASSERT_EQ(this->Feed.Calls.size(), 2U);
  this->Feed.answer(added(7, 3, "a"));
  EXPECT_FALSE(this->holds("a"));
  this->Feed.answer(added(8, 5, "b"));
  EXPECT_TRUE(this->holds("b"));
  this->runFor(300ms);
  EXPECT_EQ(this->Feed.Calls.size(), 1U);
}

// Guards against entries that keep polling a busy store at a fixed rate.
TEST_F(StoreFollowerTest, BacksOffFromABusyStore) {
  int Refused = 0;
  for (const TimePoint End = EventLoop::now() + 4s; EventLoop::now() < End;) {
    while (!this->Feed.Calls.empty()) {
      this->Feed.answer({.IsBusy = true});
      ++Refused;
    }
    this->runFor(20ms);
  }
  // At 0, 0.4, 0.8, 1.6 and 3.2 s.
  EXPECT_LE(Refused, 5);
  EXPECT_GE(Refused, 4);
}

} // namespace
} // namespace galenaroute
