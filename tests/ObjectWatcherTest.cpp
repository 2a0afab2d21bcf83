// Tests of following the platform's objects, alone and beside others.

#include "version/ObjectWatcher.h"
#include "FakePlatform.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

/// Holds watches until a test answers them, and counts the calls.
class HeldPlatform : public testing_support::FakePlatform {
public:
  struct HeldWatch {
    Duration Wait;
    OnList Done;
  };

  void watch(const std::string &, std::uint64_t Since, Duration Wait,
             OnList Done) override {
    this->LastSince = Since;
    this->Watches.push_back({Wait, std::move(Done)});
  }

  /// Answers the newest watch with a change to \p Name.
  void tell(const std::string &Name, std::uint64_t Revision, bool Deleted) {
    PlatformList Answer;
    Answer.Status = PlatformStatus::Ok;
    Answer.Revision = Revision;
    Answer.Objects.push_back({{"k", Name}, Revision, Deleted, {}});
    this->Watches.back().Done(Answer);
  }

  std::vector<HeldWatch> Watches;
  std::uint64_t LastSince = 0;
};

class ObjectWatcherTest : public testing::Test {
protected:
  struct Follower {
    explicit Follower(EventLoop &Loop, ObjectWatcherSettings Settings = {})
        : Watcher(Loop, Api, "k", Settings,
                  {.OnObject = [this](const PlatformObject &Object) {
                    if (Object.Deleted)
                      this->Names.erase(Object.Key.Name);
                    else
                      this->Names.insert(Object.Key.Name);
                  }}) {
      this->Api.put({"k", "a"}, 1, Platform::MustNotExist,
                    [](const PlatformResult &) {});
      this->Api.put({"k", "b"}, 1, Platform::MustNotExist,
                    [](const PlatformResult &) {});
      this->Api.drain();
      this->Watcher.start();
      this->Api.drain();
    }
    HeldPlatform Api;
    std::set<std::string> Names;
    ObjectWatcher Watcher;
  };

  EventLoop Loop;
};

TEST_F(ObjectWatcherTest, ListsAndThenWatches) {
  Follower Here(this->Loop);
  EXPECT_EQ(Here.Names, (std::set<std::string>{"a", "b"}));
  ASSERT_EQ(Here.Api.Watches.size(), 1U);
  EXPECT_EQ(Here.Api.Watches[0].Wait, ObjectWatcherSettings{}.Wait);
  Here.Api.tell("c", 9, false);
  EXPECT_TRUE(Here.Names.contains("c"));
  EXPECT_EQ(Here.Api.LastSince, 9U);
}

// The load: 82 entries that each watched three kinds with a short wait made
// 21,576 calls in a minute. Guards against calls that bring no news.
TEST_F(ObjectWatcherTest, WaitsLongBesideOthersThatWatch) {
  Follower Here(this->Loop);
  Here.Watcher.rely(true);
  Here.Api.tell("c", 9, false);
  EXPECT_EQ(Here.Api.Watches.back().Wait, ObjectWatcherSettings{}.LongWait);
}

// Guards against a watch on a connection that went silent: others know of a
// change, and nothing arrives here.
TEST_F(ObjectWatcherTest, AsksAnewWhenOthersKnowMore) {
  Follower Here(this->Loop);
  Follower There(this->Loop);
  There.Api.tell("c", 9, false);
  const TimePoint Now = EventLoop::now();
  const std::size_t Before = Here.Api.Watches.size();
  Here.Watcher.noteContact(There.Watcher.contact(Now), Now);
  Here.Watcher.check(Now + 100ms);
  EXPECT_EQ(Here.Api.Watches.size(), Before) << "its own answer may be near";
  Here.Watcher.check(Now + 500ms);
  EXPECT_EQ(Here.Api.Watches.size(), Before + 1);
}

// Guards against a deletion that passes unseen: a deleted object need not
// carry a newer revision.
TEST_F(ObjectWatcherTest, SeesThatOthersKnowOfADeletion) {
  Follower Here(this->Loop);
  Follower There(this->Loop);
  const TimePoint Now = EventLoop::now();
  There.Api.tell("b", Here.Watcher.contact(Now).LastChange, true);
  const std::size_t Before = Here.Api.Watches.size();
  Here.Watcher.noteContact(There.Watcher.contact(Now), Now);
  Here.Watcher.check(Now + 500ms);
  EXPECT_EQ(Here.Api.Watches.size(), Before + 1);
}

// Guards against an entry that takes old knowledge for current because others
// are in contact, or that asks again although it knows as much.
TEST_F(ObjectWatcherTest, IsCurrentOnlyWithTheSameObjects) {
  Follower Here(this->Loop);
  Follower There(this->Loop);
  const TimePoint Later = EventLoop::now() + 5s;
  ObjectContact Other = There.Watcher.contact(Later);
  ++Other.Digest;
  Other.Age = 100ms;
  Here.Watcher.noteContact(Other, Later);
  EXPECT_LT(*Here.Watcher.heardAt(), Later - 1s);
  ObjectContact Same = There.Watcher.contact(Later);
  Same.Age = 100ms;
  Here.Watcher.noteContact(Same, Later);
  EXPECT_EQ(*Here.Watcher.heardAt(), Later - 100ms);
  EXPECT_LT(*Here.Watcher.answeredAt(), Later - 1s)
      << "contact of others is not contact of this entry";
  const std::size_t Before = Here.Api.Watches.size();
  Here.Watcher.check(Later + 500ms);
  EXPECT_EQ(Here.Api.Watches.size(), Before);
}

// Guards against an entry that is cut off from the others and would hear of
// changes only when its long wait ends.
TEST_F(ObjectWatcherTest, WatchesCloselyWhenNobodyTells) {
  Follower Here(this->Loop, {.MaxSilence = 30ms});
  Here.Watcher.rely(true);
  Here.Api.tell("c", 9, false);
  ASSERT_EQ(Here.Api.Watches.back().Wait, ObjectWatcherSettings{}.LongWait);
  this->Loop.timers().after(60ms, [&] {
    Here.Watcher.check(EventLoop::now());
    this->Loop.stop();
  });
  this->Loop.run();
  EXPECT_EQ(Here.Api.Watches.back().Wait, ObjectWatcherSettings{}.Wait);
}

// Guards against the late answer of a call that was given up being taken for
// the answer of the one that replaced it.
TEST_F(ObjectWatcherTest, IgnoresAnswersOfEarlierCalls) {
  Follower Here(this->Loop);
  Follower There(this->Loop);
  There.Api.tell("c", 9, false);
  const TimePoint Now = EventLoop::now();
  Here.Watcher.noteContact(There.Watcher.contact(Now), Now);
  Here.Watcher.check(Now + 500ms);
  PlatformList Late;
  Late.Status = PlatformStatus::Expired;
  Here.Api.Watches.front().Done(Late);
  EXPECT_EQ(Here.Api.pending(), 0U) << "no list was asked for";
}

// The load: a version roll changes the entries of 90 upstreams within some
// seconds. Guards against one call for each change at each entry.
TEST_F(ObjectWatcherTest, WaitsForMoreChanges) {
  Follower Here(this->Loop);
  Here.Watcher.setBatchDelay(30ms);
  Here.Api.tell("c", 9, false);
  EXPECT_EQ(Here.Api.Watches.size(), 1U);
  this->Loop.timers().after(80ms, [&] { this->Loop.stop(); });
  this->Loop.run();
  EXPECT_EQ(Here.Api.Watches.size(), 2U);
}

// Guards against a call of every process for every change: with news from a
// close watcher the others make none, and know the same.
TEST_F(ObjectWatcherTest, NewsReplacesTheCallsOfThoseThatRelyOnIt) {
  Follower Close(this->Loop);
  Follower Other(this->Loop);
  Other.Watcher.rely(true);
  Other.Watcher.relyOnNews(true);
  std::vector<ObjectNews> Told;
  Close.Watcher.OnNews = [&](const ObjectNews &News) { Told.push_back(News); };
  Close.Api.tell("c", 10, false);
  Close.Api.tell("a", 11, true);
  ASSERT_EQ(Told.size(), 2U);
  // The first watch began before it relied on news.
  Other.Api.tell("c", 10, false);
  const std::size_t Calls = Other.Api.Watches.size();
  Other.Watcher.receive(Told[0]);
  Other.Watcher.receive(Told[1]);
  EXPECT_EQ(Other.Names, Close.Names);
  Other.Watcher.noteContact(Close.Watcher.contact(EventLoop::now()),
                            EventLoop::now());
  Other.Watcher.check(EventLoop::now());
  EXPECT_EQ(Other.Api.Watches.size(), Calls);
}

// Guards against a change that is never heard of because its message was lost,
// and against an older message that brings back what has gone.
TEST_F(ObjectWatcherTest, AfterAGapInTheNewsItWatchesItself) {
  Follower Other(this->Loop);
  Other.Watcher.rely(true);
  Other.Watcher.relyOnNews(true);
  Other.Api.tell("c", 10, false);
  const std::size_t Calls = Other.Api.Watches.size();
  const ObjectNews Old{"k", 2, 9, {{{"k", "old"}, 9, false, {}}}};
  Other.Watcher.receive(Old);
  EXPECT_FALSE(Other.Names.contains("old"));
  const ObjectNews Later{"k", 12, 13, {{{"k", "d"}, 13, false, {}}}};
  Other.Watcher.receive(Later);
  EXPECT_FALSE(Other.Names.contains("d")) << "what came between is not known";
  const TimePoint Now = EventLoop::now();
  const ObjectContact Others{13, 1, 0ms};
  Other.Watcher.noteContact(Others, Now);
  Other.Watcher.check(Now + 1s);
  EXPECT_EQ(Other.Api.Watches.size(), Calls + 1) << "others know more";
  EXPECT_EQ(Other.Api.LastSince, 10U);
}

// Guards against a process that relies on news which nobody sends any more.
TEST_F(ObjectWatcherTest, WithoutNewsItWatchesItself) {
  Follower Other(this->Loop, {.MaxSilence = 50ms});
  Other.Watcher.rely(true);
  Other.Watcher.relyOnNews(true);
  Other.Api.tell("c", 10, false);
  const std::size_t Calls = Other.Api.Watches.size();
  Other.Watcher.check(EventLoop::now());
  EXPECT_EQ(Other.Api.Watches.size(), Calls);
  this->Loop.runUntil([] { return false; }, 80ms);
  Other.Watcher.check(EventLoop::now());
  EXPECT_EQ(Other.Api.Watches.size(), Calls + 1) << "nobody tells";
}

TEST_F(ObjectWatcherTest, OneThatIsToWatchCloselyBeginsAtOnce) {
  Follower Other(this->Loop);
  Other.Watcher.rely(true);
  Other.Watcher.relyOnNews(true);
  Other.Api.tell("c", 10, false);
  const std::size_t Calls = Other.Api.Watches.size();
  Other.Watcher.rely(false);
  Other.Watcher.check(EventLoop::now());
  EXPECT_EQ(Other.Api.Watches.size(), Calls + 1);
}

} // namespace
} // namespace galenaroute
