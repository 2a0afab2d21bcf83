// When a gateway takes itself for cut off from the upstreams of a service.

#include "request/UpstreamPaths.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

class UpstreamPathsTest : public testing::Test {
protected:
  bool update(Duration After = 0ms) {
    this->Now += After;
    return updateCut(this->Evidence, this->Upstreams, this->Now);
  }
  void fail(std::string_view Upstream) {
    noteConnectFailed(this->Evidence, Upstream, this->Now);
  }
  void cut() {
    noteOthersHear(this->Evidence, this->Now);
    this->fail("a");
    this->fail("b");
    ASSERT_TRUE(this->update(150ms));
  }
  /// Lets others hear the service while time goes on.
  void pass(Duration Time) {
    this->Now += Time;
    noteOthersHear(this->Evidence, this->Now);
  }

  PathEvidence Evidence;
  std::size_t Upstreams = 5;
  TimePoint Now = TimePoint() + 1h;
};

TEST_F(UpstreamPathsTest, TwoUpstreamsThatFailWhileOthersHearThemAreACut) {
  noteOthersHear(this->Evidence, this->Now);
  this->fail("a");
  noteLinkLost(this->Evidence, "b", this->Now);
  EXPECT_FALSE(this->update(149ms));
  EXPECT_TRUE(this->update(1ms));
  EXPECT_TRUE(this->Evidence.IsCut);
}

TEST_F(UpstreamPathsTest, UpstreamsThatAreDownForAllAreNoCut) {
  this->fail("a");
  this->fail("b");
  EXPECT_FALSE(this->update(200ms));
  noteOthersHear(this->Evidence, this->Now);
  this->Now += 1501ms;
  this->fail("a");
  this->fail("b");
  EXPECT_FALSE(this->update());
}

TEST_F(UpstreamPathsTest, OneUpstreamIsNoCutUnlessThereIsNoOther) {
  noteOthersHear(this->Evidence, this->Now);
  this->fail("a");
  this->fail("a");
  noteLinkLost(this->Evidence, "a", this->Now);
  EXPECT_FALSE(this->update(200ms));
  this->Upstreams = 1;
  EXPECT_TRUE(this->update());
}

TEST_F(UpstreamPathsTest, UpstreamsThatAreHeardOnLostLinksAreNoCut) {
  noteOthersHear(this->Evidence, this->Now);
  noteLinkLost(this->Evidence, "a", this->Now);
  noteLinkLost(this->Evidence, "b", this->Now);
  noteHeard(this->Evidence, this->Now);
  EXPECT_FALSE(this->update(200ms));
}

TEST_F(UpstreamPathsTest, OpenConnectionsMayLiveOnWhileNewOnesFail) {
  noteOthersHear(this->Evidence, this->Now);
  this->fail("a");
  this->fail("b");
  noteHeard(this->Evidence, this->Now);
  EXPECT_TRUE(this->update(200ms));
  EXPECT_TRUE(areOpenConnectionsUsable(this->Evidence, this->Now));
  EXPECT_FALSE(hearsService(this->Evidence, this->Now));
  EXPECT_FALSE(areOpenConnectionsUsable(this->Evidence, this->Now + 101ms));
}

TEST_F(UpstreamPathsTest, AConnectionThatIsEstablishedClearsFailures) {
  noteOthersHear(this->Evidence, this->Now);
  this->fail("a");
  noteConnected(this->Evidence, "c", this->Now);
  this->fail("b");
  EXPECT_FALSE(this->update(200ms));
}

TEST_F(UpstreamPathsTest, APauseOfTheProcessIsNoCut) {
  noteOthersHear(this->Evidence, this->Now);
  this->fail("a");
  this->fail("b");
  notePause(this->Evidence);
  EXPECT_FALSE(this->update(200ms));
}

TEST_F(UpstreamPathsTest, FailuresFarApartAreNoCut) {
  this->fail("a");
  this->pass(2001ms);
  this->fail("b");
  EXPECT_FALSE(this->update());
}

TEST_F(UpstreamPathsTest, ThreeTrialsOverASecondEndACut) {
  this->cut();
  EXPECT_FALSE(takeTrial(this->Evidence, this->Now + 499ms));
  for (const std::string_view Each : {"a", "b", "c"}) {
    EXPECT_FALSE(this->update());
    this->pass(500ms);
    EXPECT_TRUE(takeTrial(this->Evidence, this->Now));
    EXPECT_FALSE(takeTrial(this->Evidence, this->Now));
    noteConnected(this->Evidence, Each, this->Now);
  }
  EXPECT_TRUE(this->update());
  EXPECT_FALSE(this->Evidence.IsCut);
}

// Guards against a path that swings with single connections that succeed.
TEST_F(UpstreamPathsTest, ATrialThatFailsBeginsTheCountAnew) {
  this->cut();
  for (int I = 0; I < 10; ++I) {
    for (const std::string_view Each : {"a", "b"}) {
      this->pass(500ms);
      noteConnected(this->Evidence, Each, this->Now);
      EXPECT_FALSE(this->update());
    }
    this->pass(500ms);
    this->fail("c");
    EXPECT_FALSE(this->update());
  }
}

TEST_F(UpstreamPathsTest, ACutEndsOnceNobodyHearsTheService) {
  this->cut();
  noteOthersHear(this->Evidence, this->Now);
  EXPECT_FALSE(this->update(2000ms));
  EXPECT_TRUE(this->update(1ms));
  EXPECT_FALSE(this->Evidence.IsCut);
}

} // namespace
} // namespace galenaroute
