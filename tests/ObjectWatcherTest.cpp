// Tests of ObjectWatcher, alone and with peers.

#include "version/ObjectWatcher.h"
#include "FakePlatform.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

/// Holds watches open until a test answers them.
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
  /// Answers the newest watch without a change.
  void respondUnchanged(std::uint64_t Revision) {
    PlatformList Answer;
    Answer.Status = PlatformStatus::Ok;
    Answer.Revision = Revision;
    this->Watches.back().Done(Answer);
  }
  void respond(const std::string &Name, std::uint64_t Revision, bool Deleted) {
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
  struct WatcherFixture {
    explicit WatcherFixture(EventLoop &Loop,
                            ObjectWatcherSettings Settings = {})
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
  WatcherFixture Here(this->Loop);
  EXPECT_EQ(Here.Names, (std::set<std::string>{"a", "b"}));
  ASSERT_EQ(Here.Api.Watches.size(), 1U);
  EXPECT_EQ(Here.Api.Watches[0].Wait, ObjectWatcherSettings{}.Wait);
  Here.Api.respond("c", 9, false);
  EXPECT_TRUE(Here.Names.contains("c"));
  EXPECT_EQ(Here.Api.LastSince, 9U);
}

// Guards against a change that is taken for one that has just been made though
// the platform did not answer this process when it was, and against one that is
// dated early though a watch waited for it.
TEST_F(ObjectWatcherTest, TellsSinceWhenAChangeMayHaveGoneUnnoticed) {
  HeldPlatform Api;
  std::optional<BootTime> Unnoticed;
  const ObjectWatcher *Self = nullptr;
  ObjectWatcher Watcher(this->Loop, Api, "k", {.Wait = 20ms},
                        {.OnObject = [&](const PlatformObject &) {
                          Unnoticed = Self->unnoticedSince();
                        }});
  Self = &Watcher;
  Watcher.start();
  Api.drain();
  const auto Wait = [this](Duration Time) {
    this->Loop.runUntil([] { return false; }, Time);
  };
  Api.respond("a", 2, false);
  EXPECT_FALSE(Unnoticed) << "the answer before is recent";
  Wait(Watcher.maxWatchTime() + 100ms);
  Api.respond("a", 3, false);
  EXPECT_FALSE(Unnoticed) << "the watch has waited for the change";
  const BootTime Before = BootClock::now();
  Wait(Watcher.maxWatchTime() + 100ms);
  Api.Watches.back().Done({.Status = PlatformStatus::Unavailable});
  Wait(400ms);
  Api.respond("a", 4, false);
  ASSERT_TRUE(Unnoticed);
  EXPECT_LE(*Unnoticed, Before);
  Api.respond("a", 5, false);
  EXPECT_FALSE(Unnoticed);
}

// Guards against a list that takes long to arrive being taken for a watch that
// has waited for the change.
TEST_F(ObjectWatcherTest, ASlowListTellsSinceWhenAChangeMayHaveGoneUnnoticed) {
  HeldPlatform Api;
  std::optional<BootTime> Unnoticed;
  const ObjectWatcher *Self = nullptr;
  ObjectWatcher Watcher(this->Loop, Api, "k", {.Wait = 20ms},
                        {.OnObject = [&](const PlatformObject &) {
                          Unnoticed = Self->unnoticedSince();
                        }});
  Self = &Watcher;
  Watcher.start();
  Api.drain();
  const auto Wait = [this](Duration Time) {
    this->Loop.runUntil([] { return false; }, Time);
  };
  const BootTime Before = BootClock::now();
  Wait(Watcher.maxWatchTime() + 100ms);
  Api.put({"k", "a"}, 1, Platform::MustNotExist, [](const PlatformResult &) {});
  Api.drain();
  Api.Watches.back().Done({.Status = PlatformStatus::Expired});
  Wait(600ms);
  Api.drain();
  ASSERT_TRUE(Unnoticed);
  EXPECT_LE(*Unnoticed, Before);
}

/// Lists two pages, of which the first has no readable object.
class UnreadablePage : public HeldPlatform {
public:
  void list(const std::string &, const std::string &, const std::string &After,
            OnList Done) override {
    PlatformList Page;
    Page.Status = PlatformStatus::Ok;
    Page.Revision = After.empty() ? 5 : 9;
    Page.More = After.empty();
    if (After.empty())
      Page.LastName = "a";
    else
      Page.Objects.push_back({{"k", "b"}, 3, false, {}});
    Done(Page);
  }
};

// Guards against changes that are missed while a list is read: objects of an
// unreadable first page that are written before the second one.
TEST_F(ObjectWatcherTest, WatchesFromAnUnreadableFirstPage) {
  UnreadablePage Api;
  ObjectWatcher Watcher(this->Loop, Api, "k", {}, {});
  Watcher.start();
  ASSERT_EQ(Api.Watches.size(), 1U);
  EXPECT_EQ(Api.LastSince, 5U);
}

// Guards against watches that return without changes: with a short wait, 82
// gateways that each watch three kinds made 21,576 calls in a minute.
TEST_F(ObjectWatcherTest, ASecondaryWatcherUsesTheLongWait) {
  WatcherFixture Here(this->Loop);
  Here.Watcher.setSecondary(true);
  Here.Api.respond("c", 9, false);
  EXPECT_EQ(Here.Api.Watches.back().Wait, ObjectWatcherSettings{}.LongWait);
}

// Guards against a watch on a silently broken connection: peers have a change
// that does not arrive here.
TEST_F(ObjectWatcherTest, StartsANewWatchWhenPeersAreAhead) {
  WatcherFixture Here(this->Loop);
  WatcherFixture There(this->Loop);
  There.Api.respond("c", 9, false);
  const TimePoint Now = EventLoop::now();
  const std::size_t Before = Here.Api.Watches.size();
  Here.Watcher.notePeerProgress(There.Watcher.progress(Now), Now);
  Here.Watcher.check(Now + 100ms);
  EXPECT_EQ(Here.Api.Watches.size(), Before)
      << "its own response may be about to arrive";
  Here.Watcher.check(Now + 500ms);
  EXPECT_EQ(Here.Api.Watches.size(), Before + 1);
}

// Guards against a missed deletion: a deleted object need not have a newer
// revision.
TEST_F(ObjectWatcherTest, DetectsThatPeersHaveSeenADeletion) {
  WatcherFixture Here(this->Loop);
  WatcherFixture There(this->Loop);
  const TimePoint Now = EventLoop::now();
  There.Api.respond("b", Here.Watcher.progress(Now).LastChange, true);
  const std::size_t Before = Here.Api.Watches.size();
  Here.Watcher.notePeerProgress(There.Watcher.progress(Now), Now);
  Here.Watcher.check(Now + 500ms);
  EXPECT_EQ(Here.Api.Watches.size(), Before + 1);
}

// Guards against a stale view that counts as current because peers reach the
// platform, and against a new watch although the view equals that of the peers.
TEST_F(ObjectWatcherTest, IsCurrentOnlyWithTheSameObjects) {
  WatcherFixture Here(this->Loop);
  WatcherFixture There(this->Loop);
  const TimePoint Later = EventLoop::now() + 5s;
  WatchProgress Other = There.Watcher.progress(Later);
  ++Other.Digest;
  Other.Age = 100ms;
  Here.Watcher.notePeerProgress(Other, Later);
  EXPECT_LT(*Here.Watcher.confirmedAt(), Later - 1s);
  WatchProgress Same = There.Watcher.progress(Later);
  Same.Age = 100ms;
  Here.Watcher.notePeerProgress(Same, Later);
  EXPECT_EQ(*Here.Watcher.confirmedAt(), Later - 100ms);
  EXPECT_LT(*Here.Watcher.answeredAt(), Later - 1s)
      << "a peer's response from the platform is not one to this gateway";
  const std::size_t Before = Here.Api.Watches.size();
  Here.Watcher.check(Later + 500ms);
  EXPECT_EQ(Here.Api.Watches.size(), Before);
}

// Guards against a gateway that is partitioned from its peers and gets changes
// only when its long wait ends.
TEST_F(ObjectWatcherTest, UsesTheShortWaitWithoutPeerReports) {
  WatcherFixture Here(this->Loop, {.MaxConfirmationAge = 30ms});
  Here.Watcher.setSecondary(true);
  Here.Api.respond("c", 9, false);
  ASSERT_EQ(Here.Api.Watches.back().Wait, ObjectWatcherSettings{}.LongWait);
  this->Loop.timers().after(60ms, [&] {
    Here.Watcher.check(EventLoop::now());
    this->Loop.stop();
  });
  this->Loop.run();
  EXPECT_EQ(Here.Api.Watches.back().Wait, ObjectWatcherSettings{}.Wait);
}

// Guards against mistaking the late response to an abandoned call for the
// response to the call that replaced it.
TEST_F(ObjectWatcherTest, IgnoresResponsesToEarlierCalls) {
  WatcherFixture Here(this->Loop);
  WatcherFixture There(this->Loop);
  There.Api.respond("c", 9, false);
  const TimePoint Now = EventLoop::now();
  Here.Watcher.notePeerProgress(There.Watcher.progress(Now), Now);
  Here.Watcher.check(Now + 500ms);
  PlatformList Late;
  Late.Status = PlatformStatus::Expired;
  Here.Api.Watches.front().Done(Late);
  EXPECT_EQ(Here.Api.pending(), 0U) << "no list was requested";
}

// Guards against one call per change and gateway: a rollout changes the
// registry entries of 90 upstreams within a few seconds.
TEST_F(ObjectWatcherTest, BatchesChanges) {
  WatcherFixture Here(this->Loop);
  Here.Watcher.setBatchDelay(30ms);
  Here.Api.respond("c", 9, false);
  EXPECT_EQ(Here.Api.Watches.size(), 1U);
  this->Loop.timers().after(80ms, [&] { this->Loop.stop(); });
  this->Loop.run();
  EXPECT_EQ(Here.Api.Watches.size(), 2U);
}

// Guards against one call per process for each change: with updates from a
// primary watcher, secondary ones make no calls and have the same view.
TEST_F(ObjectWatcherTest, ForwardedUpdatesReplaceWatches) {
  WatcherFixture Primary(this->Loop);
  WatcherFixture Other(this->Loop);
  Other.Watcher.setSecondary(true);
  Other.Watcher.expectUpdates(true);
  std::vector<ObjectUpdates> Forwarded;
  Primary.Watcher.OnUpdates = [&](const ObjectUpdates &Updates) {
    Forwarded.push_back(Updates);
  };
  Primary.Api.respond("c", 10, false);
  Primary.Api.respond("a", 11, true);
  ASSERT_EQ(Forwarded.size(), 2U);
  // The first watch started before it expected updates.
  Other.Api.respond("c", 10, false);
  const std::size_t Calls = Other.Api.Watches.size();
  Other.Watcher.receive(Forwarded[0]);
  Other.Watcher.receive(Forwarded[1]);
  EXPECT_EQ(Other.Names, Primary.Names);
  Other.Watcher.notePeerProgress(Primary.Watcher.progress(EventLoop::now()),
                                 EventLoop::now());
  Other.Watcher.check(EventLoop::now());
  EXPECT_EQ(Other.Api.Watches.size(), Calls);
}

// Guards against one call per process for a change of a kind that rarely
// changes: meanwhile the revisions of the primary watcher go on with the
// changes of other kinds.
TEST_F(ObjectWatcherTest, UpdatesFollowAfterWatchesWithoutChanges) {
  WatcherFixture Primary(this->Loop);
  WatcherFixture Other(this->Loop);
  Other.Watcher.setSecondary(true);
  Other.Watcher.expectUpdates(true);
  std::vector<ObjectUpdates> Forwarded;
  Primary.Watcher.OnUpdates = [&](const ObjectUpdates &Updates) {
    Forwarded.push_back(Updates);
  };
  Other.Api.respondUnchanged(2);
  const std::size_t Calls = Other.Api.Watches.size();
  Primary.Api.respondUnchanged(20);
  Primary.Api.respondUnchanged(30);
  Primary.Api.respond("c", 31, false);
  Primary.Api.respondUnchanged(40);
  Primary.Api.respond("d", 41, false);
  ASSERT_EQ(Forwarded.size(), 2U);
  for (const ObjectUpdates &Each : Forwarded)
    Other.Watcher.receive(Each);
  EXPECT_EQ(Other.Names, Primary.Names);
  EXPECT_EQ(Other.Api.Watches.size(), Calls);
}

// Guards against a gap that is taken for none: a process that has listed again
// does not know what was deleted before.
TEST_F(ObjectWatcherTest, UpdatesStartAtTheLastList) {
  WatcherFixture Primary(this->Loop);
  std::vector<ObjectUpdates> Forwarded;
  Primary.Watcher.OnUpdates = [&](const ObjectUpdates &Updates) {
    Forwarded.push_back(Updates);
  };
  PlatformList Expired;
  Expired.Status = PlatformStatus::Expired;
  for (int I = 0; I < 5; ++I)
    Primary.Api.Store->write({"other", "x"});
  Primary.Api.Watches.back().Done(Expired);
  Primary.Api.drain();
  Primary.Api.respond("c", 31, false);
  ASSERT_EQ(Forwarded.size(), 1U);
  EXPECT_EQ(Forwarded[0].Since, 7U);
}

// Guards against processes that ask the platform for ever because they started
// after a deletion, whose revision the others have seen.
TEST_F(ObjectWatcherTest, EqualObjectsConfirmEachOtherAfterADeletion) {
  WatcherFixture Before(this->Loop);
  WatcherFixture After(this->Loop);
  Before.Api.respond("c", 9, false);
  Before.Api.respond("c", 10, true);
  const TimePoint Later = EventLoop::now() + 5s;
  WatchProgress Other = Before.Watcher.progress(Later);
  ASSERT_NE(Other.LastChange, After.Watcher.progress(Later).LastChange);
  Other.Age = 100ms;
  After.Watcher.notePeerProgress(Other, Later);
  EXPECT_EQ(*After.Watcher.confirmedAt(), Later - 100ms);
  Other = After.Watcher.progress(Later);
  Other.Age = 100ms;
  Before.Watcher.notePeerProgress(Other, Later);
  EXPECT_EQ(*Before.Watcher.confirmedAt(), Later - 100ms);
}

// Guards against a view that counts as current because the steady clock stood
// still while the VM was suspended.
TEST_F(ObjectWatcherTest, ARefreshAsksAtOnce) {
  WatcherFixture Other(this->Loop);
  Other.Watcher.setSecondary(true);
  Other.Watcher.expectUpdates(true);
  Other.Api.respond("c", 10, false);
  const std::size_t Calls = Other.Api.Watches.size();
  const BootTime Before = BootClock::now();
  Other.Watcher.refresh();
  ASSERT_EQ(Other.Api.Watches.size(), Calls + 1);
  EXPECT_EQ(Other.Api.LastSince, 10U);
  EXPECT_LE(Other.Api.Watches.back().Wait, 1ms);
  EXPECT_LT(*Other.Watcher.completeUntil(), Before);
  Other.Api.respondUnchanged(11);
  EXPECT_GE(*Other.Watcher.completeUntil(), Before);
}

// Guards against missing a change whose message was lost, and against an old
// message that restores a deleted object.
TEST_F(ObjectWatcherTest, WatchesAfterAGapInTheUpdates) {
  WatcherFixture Other(this->Loop);
  Other.Watcher.setSecondary(true);
  Other.Watcher.expectUpdates(true);
  Other.Api.respond("c", 10, false);
  const std::size_t Calls = Other.Api.Watches.size();
  const ObjectUpdates Old{"k", 2, 9, {{{"k", "old"}, 9, false, {}}}};
  Other.Watcher.receive(Old);
  EXPECT_FALSE(Other.Names.contains("old"));
  const ObjectUpdates Later{"k", 12, 13, {{{"k", "d"}, 13, false, {}}}};
  Other.Watcher.receive(Later);
  EXPECT_FALSE(Other.Names.contains("d")) << "updates in between are missing";
  const TimePoint Now = EventLoop::now();
  const WatchProgress Others{13, 1, 0ms};
  Other.Watcher.notePeerProgress(Others, Now);
  Other.Watcher.check(Now + 1s);
  EXPECT_EQ(Other.Api.Watches.size(), Calls + 1) << "peers are ahead";
  EXPECT_EQ(Other.Api.LastSince, 10U);
}

// Guards against a process that waits for updates that no peer sends any more.
TEST_F(ObjectWatcherTest, WatchesWhenNoUpdatesArrive) {
  WatcherFixture Other(this->Loop, {.MaxConfirmationAge = 50ms});
  Other.Watcher.setSecondary(true);
  Other.Watcher.expectUpdates(true);
  Other.Api.respond("c", 10, false);
  const std::size_t Calls = Other.Api.Watches.size();
  Other.Watcher.check(EventLoop::now());
  EXPECT_EQ(Other.Api.Watches.size(), Calls);
  this->Loop.runUntil([] { return false; }, 80ms);
  Other.Watcher.check(EventLoop::now());
  EXPECT_EQ(Other.Api.Watches.size(), Calls + 1) << "no reports from peers";
}

TEST_F(ObjectWatcherTest, ANewPrimaryWatcherStartsAtOnce) {
  WatcherFixture Other(this->Loop);
  Other.Watcher.setSecondary(true);
  Other.Watcher.expectUpdates(true);
  Other.Api.respond("c", 10, false);
  const std::size_t Calls = Other.Api.Watches.size();
  Other.Watcher.setSecondary(false);
  Other.Watcher.check(EventLoop::now());
  EXPECT_EQ(Other.Api.Watches.size(), Calls + 1);
}

/// A watcher of a platform that answers watches at once.
struct EraFixture {
  explicit EraFixture(EventLoop &Loop)
      : Watcher(Loop, Api, "k", {},
                {.OnObject =
                     [this](const PlatformObject &Object) {
                       if (Object.Deleted)
                         this->Names.erase(Object.Key.Name);
                       else
                         this->Names.insert(Object.Key.Name);
                     },
                 .OnListed =
                     [this](const std::set<std::string> &Listed) {
                       this->Names = Listed;
                       ++this->Lists;
                     }}) {
    this->Api.Store->Era = 1;
    this->write("a");
    this->Api.Store->keepCopy();
    this->Watcher.start();
    this->step();
  }
  void write(const std::string &Name) {
    this->Api.put({"k", Name}, 1, Platform::MustNotExist,
                  [](const PlatformResult &) {});
    this->Api.stepAt(this->Api.pending() - 1);
  }
  /// Executes the calls that are pending now.
  void step() { this->Api.drain(static_cast<int>(this->Api.pending())); }

  testing_support::FakePlatform Api;
  std::set<std::string> Names;
  int Lists = 0;
  ObjectWatcher Watcher;
};

// Guards against a watch that continues from a revision of the era before: once
// the restored platform has passed that number, changes below it are missed.
TEST_F(ObjectWatcherTest, ChangesBelowTheFormerRevisionAreSeenInANewEra) {
  EraFixture Here(this->Loop);
  Here.write("b");
  Here.write("c");
  Here.step();
  EXPECT_EQ(Here.Names, (std::set<std::string>{"a", "b", "c"}));
  Here.Api.Store->restore();
  for (const char *Name : {"d", "e", "f"})
    Here.Api.Store->write({"k", Name});
  for (int I = 0; I < 3; ++I)
    Here.step();
  EXPECT_EQ(Here.Names, (std::set<std::string>{"a", "d", "e", "f"}));
  Here.Api.Store->write({"k", "g"});
  Here.step();
  EXPECT_TRUE(Here.Names.contains("g"));
}

// Guards against a restoration that goes unnoticed while the own watch is
// silent.
TEST_F(ObjectWatcherTest, APeersNewerEraLeadsToAList) {
  EraFixture Here(this->Loop);
  const int Before = Here.Lists;
  const TimePoint Now = EventLoop::now();
  const WatchProgress Unaware = Here.Watcher.progress(Now);
  WatchProgress Peer = Unaware;
  ++Peer.Era;
  Peer.LastChange = 1;
  Here.Watcher.notePeerProgress(Peer, Now);
  Here.Watcher.notePeerProgress(Unaware, Now);
  Here.Watcher.check(Now + 500ms);
  Here.step();
  EXPECT_EQ(Here.Lists, Before + 1);
}

// Guards against progress of the era before, whose revisions are higher, that
// makes a current view count as behind.
TEST_F(ObjectWatcherTest, ProgressOfAnEarlierEraIsIgnored) {
  EraFixture Here(this->Loop);
  Here.write("b");
  Here.step();
  const TimePoint Now = EventLoop::now();
  WatchProgress Unaware = Here.Watcher.progress(Now);
  Unaware.LastChange += 10;
  Here.Api.Store->restore();
  for (int I = 0; I < 3; ++I)
    Here.step();
  const int Lists = Here.Lists;
  Here.Watcher.notePeerProgress(Unaware, Now);
  Here.Watcher.check(Now + 500ms);
  Here.step();
  EXPECT_EQ(Here.Lists, Lists);
  EXPECT_EQ(Here.Watcher.progress(Now).Era, 2U);
  EXPECT_LT(Here.Watcher.progress(Now).LastChange, Unaware.LastChange);
}

// Guards against applying changes of another era, whose revisions say nothing
// about the own position.
TEST_F(ObjectWatcherTest, ForwardedChangesOfAnotherEraAreIgnored) {
  EraFixture Here(this->Loop);
  Here.Watcher.setSecondary(true);
  Here.Watcher.expectUpdates(true);
  for (int I = 0; I < 3; ++I)
    Here.step();
  Here.Watcher.receive({"k", 1, 9, {{{"k", "x"}, 9, false, {}}}, /*Era=*/2});
  EXPECT_FALSE(Here.Names.contains("x"));
  Here.Watcher.receive({"k", 1, 9, {{{"k", "y"}, 9, false, {}}}, /*Era=*/1});
  EXPECT_TRUE(Here.Names.contains("y"));
}

TEST(PlatformEraTest, OnlyARiseAfterTheFirstAnswerIsAChange) {
  PlatformEra Era;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> Changes;
  Era.Changed.connect([&](const EraChange &Change) {
    Changes.emplace_back(Change.Before, Change.Now);
  });
  EXPECT_TRUE(Era.note(4));
  EXPECT_TRUE(Era.note(4));
  EXPECT_TRUE(Changes.empty());
  EXPECT_TRUE(Era.note(6));
  EXPECT_FALSE(Era.note(5)) << "a late answer of an earlier era";
  EXPECT_TRUE(Era.note(0)) << "an answer that tells no era";
  EXPECT_EQ(Era.current(), 6U);
  EXPECT_EQ(Changes, (decltype(Changes){{4, 6}}));
}

// Guards against a write that counts as done although it replaced another
// value: its version was given out again after a restoration.
TEST(PlatformEraTest, AWriteAnsweredInALaterEraIsUnknown) {
  PlatformEra Era;
  Era.note(1);
  EXPECT_EQ(statusInEra(PlatformStatus::Ok, 2, Era, EraUse::Condition, 1),
            PlatformStatus::Unknown);
  EXPECT_EQ(statusInEra(PlatformStatus::Ok, 2, Era, EraUse::None, 1),
            PlatformStatus::Ok);
  EXPECT_EQ(statusInEra(PlatformStatus::Ok, 2, Era, EraUse::Position, 1),
            PlatformStatus::Expired);
  EXPECT_EQ(statusInEra(PlatformStatus::Ok, 1, Era, EraUse::None, 1),
            PlatformStatus::Unknown);
}

} // namespace
} // namespace galenaroute
