// Tests of the stored software versions of services: whom they may answer, and
// how many calls they cost.

#include "process/SoftwareVersionStore.h"
#include "FakePlatform.h"
#include "connection/PlatformEra.h"
#include "process/GossipMessages.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using testing_support::FakePlatform;
using testing_support::FakeStore;

/// A connection to the platform whose answers to watches take a while.
class SlowPlatform : public FakePlatform {
public:
  SlowPlatform(EventLoop &Loop, std::shared_ptr<FakeStore> Data)
      : FakePlatform(std::move(Data)), Loop(Loop) {}
  Duration WatchTime{};
  bool RefusesWrites = false;
  int RefusedWrites = 0;

  void put(const ObjectKey &Key, const nlohmann::json &Value,
           std::uint64_t IfVersion, OnResult Done) override {
    if (!this->RefusesWrites) {
      FakePlatform::put(Key, Value, IfVersion, std::move(Done));
      return;
    }
    ++this->RefusedWrites;
    this->Loop.timers().after(1ms, [Done = std::move(Done)] { Done({}); });
  }
  void watch(const std::string &Kind, std::uint64_t Since, Duration Wait,
             OnList Done) override {
    FakePlatform::watch(
        Kind, Since, Wait, [this, Done = std::move(Done)](const auto &Result) {
          if (this->WatchTime == Duration::zero())
            Done(Result);
          else
            this->Loop.timers().after(this->WatchTime,
                                      [Done, Result] { Done(Result); });
        });
  }

private:
  EventLoop &Loop;
};

/// One process.
class Process {
public:
  Process(EventLoop &Loop, const std::shared_ptr<FakeStore> &Data)
      : Api(Loop, Data),
        Sets({.Loop = Loop,
              .Api = this->Api,
              .RegisteredVersions =
                  [this] {
                    return VersionsByService{{"s", this->Registered}};
                  },
              .IsRegistryCurrent = [] { return true; },
              .IsFirstStart = true}) {
    this->Sets.setServices({{"s"}});
    this->Drain = Loop.timers().every(2ms, [this] {
      if (!this->IsCut)
        this->Api.drain(10);
    });
    this->Sets.start();
  }
  ~Process() { this->Drain.disconnect(); }

  SlowPlatform Api;
  bool IsCut = false;
  std::set<std::string> Registered{"1"};
  SoftwareVersionStore Sets;

private:
  sigc::connection Drain;
};

class SoftwareVersionStoreTest : public testing::Test {
protected:
  void wait(Duration Time) {
    this->Loop.runUntil([] { return false; }, Time);
  }
  const ObjectKey key() const { return {"software-versions", eraName("s", 0)}; }

  EventLoop Loop;
  std::shared_ptr<FakeStore> Data = std::make_shared<FakeStore>();
};

// Guards against a stream joined by a process that is cut off from the platform
// and reads a report late, whose age is then too short.
TEST_F(SoftwareVersionStoreTest, AReportThatWaitedDoesNotMakeTheViewYounger) {
  Process Peer(this->Loop, this->Data);
  Process Cut(this->Loop, this->Data);
  this->wait(300ms);
  ASSERT_EQ(Cut.Sets.onlyVersion("s"), "1");
  const std::string Report = encodeGossip(
      {.Status = {
           .From = "peer",
           .Progress = {{"software-versions",
                         Peer.Sets.watcher().progress(EventLoop::now())}}}});
  Cut.IsCut = true;
  const BootTime SentAt = BootClock::now();
  this->wait(900ms); // Shorter than what StallDetector detects.
  const auto Read = decodeGossip(Report);
  Cut.Sets.watcher().notePeerProgress(Read.Status.Progress.at(0).second,
                                      EventLoop::now());
  // A version that was stored after the report may have streams by now.
  this->wait(SentAt + SoftwareVersions::SettleTime + 50ms - BootClock::now());
  EXPECT_EQ(Cut.Sets.onlyVersion("s"), std::nullopt);
}

// Guards against a set that answers for all streams although one was stored
// before it, whose versions are not known.
TEST_F(SoftwareVersionStoreTest, ASetThatReplacesALostOneAnswersNothing) {
  Process One(this->Loop, this->Data);
  this->wait(300ms);
  ASSERT_EQ(One.Sets.onlyVersion("s"), "1");
  PlatformObject &Stored = this->Data->Objects["software-versions"]["s"];
  Stored.Deleted = true;
  Stored.Version = ++this->Data->Revision;
  this->wait(300ms);
  ASSERT_EQ(One.Api.read(this->key()).Status, PlatformStatus::Ok);
  EXPECT_EQ(One.Sets.onlyVersion("s"), std::nullopt);
}

// Guards against a set that goes on to answer after a stored one that cannot be
// read, which may name a further version, and is never written again.
TEST_F(SoftwareVersionStoreTest, AMalformedSetAnswersNothingAndIsReplaced) {
  Process One(this->Loop, this->Data);
  this->wait(300ms);
  ASSERT_EQ(One.Sets.onlyVersion("s"), "1");
  const nlohmann::json Malformed = {{"service", "s"}, {"versions", "?"}};
  this->Data->write(this->key(), Malformed);
  this->wait(300ms);
  EXPECT_EQ(One.Sets.onlyVersion("s"), std::nullopt);
  EXPECT_NE(One.Api.read(this->key()).Object.Value, Malformed);
}

// Guards against writes that use up the platform's rate while it refuses them:
// one gateway made ten a second for each service.
TEST_F(SoftwareVersionStoreTest, RefusedWritesAreRepeatedLessAndLessOften) {
  Process One(this->Loop, this->Data);
  One.Api.RefusesWrites = true;
  this->wait(4s);
  EXPECT_GE(One.Api.RefusedWrites, 2);
  EXPECT_LE(One.Api.RefusedWrites, 10);
  One.Api.RefusesWrites = false;
  EXPECT_TRUE(this->Loop.runUntil(
      [&] { return One.Sets.onlyVersion("s").has_value(); }, 3s));
}

// Guards against a view that is never confirmed, since each refresh gives up
// the one before while the platform answers slowly.
TEST_F(SoftwareVersionStoreTest, RefreshesDoNotOvertakeASlowPlatform) {
  Process One(this->Loop, this->Data);
  this->wait(300ms);
  One.Api.WatchTime = 400ms;
  const auto Refresh =
      this->Loop.timers().every(20ms, [&] { One.Sets.refresh(); });
  this->wait(2500ms);
  EXPECT_LT(*One.Sets.viewAge(), 1500ms);
  sigc::connection(Refresh).disconnect();
}

} // namespace
} // namespace galenaroute
