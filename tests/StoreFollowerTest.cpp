// Tests of following stores, alone and with news from other entries.

#include "process/StoreFollower.h"
#include "process/GossipMessages.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

/// Keeps calls until the test answers them.
class HeldFeed : public CacheFeed {
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
    return this->Follower.places().at(0).Contents->Held.contains("w1/" + Part);
  }
  void runFor(Duration Time) {
    this->Loop.timers().after(Time, [this] { this->Loop.stop(); });
    this->Loop.run();
  }
  void expectNews() {
    this->Follower.divide([](std::string_view) { return false; });
  }

  EventLoop Loop;
  HeldFeed Feed;
  ForwardConfig Config;
  StoreFollower Follower{this->Loop, this->Feed};
};

TEST_F(StoreFollowerTest, TellsWhatItHears) {
  std::vector<StoreNews> Told;
  this->Follower.OnHeard = [&](const StoreNews &News) { Told.push_back(News); };
  this->Feed.answer(added(7, 3, "a"));
  ASSERT_EQ(Told.size(), 1U);
  const GossipMessage Read = decodeGossip(encodeGossip({.Store = Told[0]}));
  ASSERT_TRUE(Read.Store);
  EXPECT_EQ(Read.Store->Store, "s");
  EXPECT_EQ(Read.Store->Since, 0U);
  EXPECT_EQ(Read.Store->Batch.Epoch, 7U);
  EXPECT_EQ(Read.Store->Batch.Next, 3U);
  EXPECT_EQ(Read.Store->Batch.ClockMs, 1000);
  ASSERT_EQ(Read.Store->Batch.Events.size(), 1U);
  EXPECT_EQ(Read.Store->Batch.Events[0].Part, "a");
}

// The load: 82 entries and 20 stores made 59,000 calls in 40 s, many of them
// refused. Guards against calls beside news that tells the same.
TEST_F(StoreFollowerTest, AsksNothingWhileOthersTell) {
  this->Feed.answer(added(7, 3, "a"));
  this->expectNews();
  this->runFor(300ms);
  EXPECT_TRUE(this->Feed.Calls.empty());
  this->Follower.receive({"s", 3, added(7, 5, "b")});
  EXPECT_TRUE(this->holds("b"));
  this->runFor(600ms);
  EXPECT_TRUE(this->Feed.Calls.empty());
}

// Guards against an entry that goes on with what it knew when the one that
// tells has gone.
TEST_F(StoreFollowerTest, AsksItselfWhenNobodyTells) {
  this->Feed.answer(added(7, 3, "a"));
  this->expectNews();
  this->runFor(1600ms);
  ASSERT_EQ(this->Feed.Calls.size(), 1U);
  EXPECT_EQ(this->Feed.Calls[0].Since, 3U);
}

// Guards against a lost message: parts that were freed in it would be fetched.
TEST_F(StoreFollowerTest, AsksForWhatItMissed) {
  this->Feed.answer(added(7, 3, "a"));
  this->expectNews();
  this->Follower.receive({"s", 6, added(7, 8, "c")});
  EXPECT_FALSE(this->holds("c"));
  this->runFor(400ms);
  ASSERT_EQ(this->Feed.Calls.size(), 1U);
  EXPECT_EQ(this->Feed.Calls[0].Since, 3U);
}

// Guards against news of a restarted store being mixed with what the store
// held before, and against older news undoing newer.
TEST_F(StoreFollowerTest, TakesNoNewsOfAnotherStartOrFromBefore) {
  this->Feed.answer(added(7, 9, "a"));
  this->expectNews();
  this->Follower.receive({"s", 9, added(8, 12, "b")});
  EXPECT_FALSE(this->holds("b"));
  StoreEventBatch Older = added(7, 4, "a");
  Older.Events[0].IsAdded = false;
  this->Follower.receive({"s", 3, Older});
  EXPECT_TRUE(this->holds("a"));
}

// The load: 295 entries that start together each ask 20 stores, which take a
// dozen calls at a time; 266,000 calls were refused in a day. Guards against a
// call that only catches up and keeps the place of one that waits for events.
TEST_F(StoreFollowerTest, CatchesUpWithoutWaiting) {
  this->Feed.answer(added(7, 3, "a"));
  this->expectNews();
  this->Follower.receive({"s", 6, added(7, 8, "c")});
  this->runFor(400ms);
  ASSERT_EQ(this->Feed.Calls.size(), 1U);
  EXPECT_EQ(this->Feed.Calls[0].Wait, Duration::zero());
}

// Guards against entries that ask a busy store again and again.
TEST_F(StoreFollowerTest, LeavesABusyStoreAloneForLonger) {
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
