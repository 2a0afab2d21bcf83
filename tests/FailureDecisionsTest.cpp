// Tests of retry and hedge budgets, and of the guard against requests that
// crash upstreams.

#include "request/CrashGuard.h"
#include "request/Retry.h"
#include "request/RetryBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1000s};

// Guards against retries and hedges that multiply the load of a failing
// upstream: they never exceed the share of calls plus the burst.
RC_GTEST_PROP(RetryProperty, ExtraAttemptsStayWithinTheBudget, ()) {
  RetryBudget Retry;
  HedgeBudget Hedge;
  int Calls = 0, Retries = 0, Hedges = 0;
  for (const int Event :
       *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3))) {
    if (Event == 0) {
      noteCall(Retry);
      noteCall(Hedge);
      ++Calls;
    } else if (Event == 2) {
      Hedges += takeHedge(Hedge) ? 1 : 0;
    } else if (hasRetry(Retry)) {
      spendRetry(Retry);
      ++Retries;
    }
    RC_ASSERT(Retries <= Calls * Retry.Share + Retry.Capacity + 1e-6);
    RC_ASSERT(Hedges <= Calls * Hedge.Share + Hedge.Capacity + 1e-6);
  }
}

// Guards against hedging calls that may not be repeated, and against hedging so
// early that ordinary requests are sent twice.
TEST(RetryTest, HedgesOnlyRepeatableCallsPastTheQuantile) {
  HedgeState State;
  RandomGenerator Generator(5);
  std::exponential_distribution<double> Times(1);
  for (int I = 0; I < 20000; ++I)
    noteFirstTokenRatio(State, 100ms, fromSeconds(0.1 * Times(Generator)));
  // The 95th percentile of the exponential distribution is 3.0 means.
  EXPECT_NEAR(State.Ratio, 3.0, 0.6);
  HedgeBudget Budget;
  EXPECT_FALSE(hedgeDelay(State, Budget, false, 100ms));
  EXPECT_GE(hedgeDelay(State, Budget, true, 100ms), 200ms);
  while (takeHedge(Budget)) {
  }
  EXPECT_FALSE(hedgeDelay(State, Budget, true, 100ms));
  for (int Attempt = 1; Attempt < 40; ++Attempt)
    EXPECT_LE(retryDelay(Attempt, Generator), 500ms);
}

class CrashGuardTest : public testing::Test {
protected:
  /// Runs \p Contents at \p Upstream, which then crashes.
  void crash(CrashGuard &Guard, const std::string &Upstream,
             const std::vector<Digest> &Contents) {
    std::vector<std::string> Attempts;
    for (const Digest &Content : Contents) {
      Attempts.push_back("a" + std::to_string(this->Next++));
      noteRunning(Guard, Attempts.back(), Content, Upstream, this->Now);
    }
    this->Now += 10ms;
    for (const std::string &Attempt : Attempts)
      noteBroken(Guard, Attempt, this->Now);
    detectCrashes(Guard, this->Now);
    // Later than the window, so that each crash is counted separately.
    this->Now += 1s;
  }
  void run(CrashGuard &Guard, const std::string &Upstream,
           const Digest &Content) {
    noteRunning(Guard, "ok", Content, Upstream, this->Now);
    noteEnded(Guard, "ok", this->Now);
  }

  CrashGuard Gateway, Peer;
  TimePoint Now = Start;
  int Next = 0;
  const Digest Killer = contentDigest("m", "bad");
  const Digest Innocent = contentDigest("m", "good");
};

// Guards against a request that crashes one upstream after another, also if its
// caller retries it at another gateway.
TEST_F(CrashGuardTest, RefusesEverywhereAfterCrashesAtTwoUpstreams) {
  this->crash(this->Gateway, "u1", {this->Killer, this->Innocent});
  EXPECT_FALSE(isRefused(this->Gateway, this->Killer, this->Now));
  importSignatures(this->Peer, exportSignatures(this->Gateway, 10, this->Now),
                   this->Now);
  this->crash(this->Peer, "u2", {this->Killer});
  EXPECT_TRUE(isRefused(this->Peer, this->Killer, this->Now));
  importSignatures(this->Gateway, exportSignatures(this->Peer, 10, this->Now),
                   this->Now);
  EXPECT_TRUE(isRefused(this->Gateway, this->Killer, this->Now));
  EXPECT_FALSE(isRefused(this->Gateway, this->Innocent, this->Now));
}

// Guards against blaming an innocent request after it has finished, also
// through an older signature that a peer still sends.
TEST_F(CrashGuardTest, ClearsContentsThatFinish) {
  this->crash(this->Gateway, "u1", {this->Killer, this->Innocent});
  const auto Old = exportSignatures(this->Gateway, 10, this->Now);
  importSignatures(this->Peer, Old, this->Now);
  this->Now += 1s;
  this->run(this->Gateway, "u2", this->Innocent);
  importSignatures(this->Gateway, Old, this->Now - 1s);
  EXPECT_TRUE(upstreamsToAvoid(this->Gateway, this->Innocent).empty());
  importSignatures(this->Peer, exportSignatures(this->Gateway, 10, this->Now),
                   this->Now);
  EXPECT_TRUE(upstreamsToAvoid(this->Peer, this->Innocent).empty());
  EXPECT_FALSE(upstreamsToAvoid(this->Peer, this->Killer).empty());
}

// Guards against running two suspects at one upstream, where the innocent one
// would be blamed for the second crash as well, and against copies of one
// content crashing many upstreams.
TEST_F(CrashGuardTest, KeepsSuspectsApartAndCopiesTogether) {
  this->crash(this->Gateway, "u1", {this->Killer, this->Innocent});
  noteRunning(this->Gateway, "k", this->Killer, "u2", this->Now);
  const auto Avoid = upstreamsToAvoid(this->Gateway, this->Innocent);
  EXPECT_NE(std::find(Avoid.begin(), Avoid.end(), "u1"), Avoid.end());
  EXPECT_NE(std::find(Avoid.begin(), Avoid.end(), "u2"), Avoid.end());
  EXPECT_EQ(upstreamOfSuspect(this->Gateway, this->Killer), "u2");
  EXPECT_FALSE(upstreamOfSuspect(this->Gateway, this->Innocent));
}

// Guards against counting single broken connections or a network fault as
// crashes.
TEST_F(CrashGuardTest, DoesNotBlameRequestsForNetworkFaults) {
  noteRunning(this->Gateway, "x", this->Killer, "u1", this->Now);
  noteRunning(this->Gateway, "y", this->Innocent, "u1", this->Now);
  noteBroken(this->Gateway, "x", this->Now);
  EXPECT_TRUE(detectCrashes(this->Gateway, this->Now).empty());
  EXPECT_TRUE(detectCrashes(this->Gateway, this->Now + 1s).empty());
  noteCancelled(this->Gateway, "y");
  for (const char *Upstream : {"u1", "u2", "u3"}) {
    noteRunning(this->Gateway, Upstream, this->Killer, Upstream, this->Now);
    noteBroken(this->Gateway, Upstream, this->Now + 1ms);
    detectCrashes(this->Gateway, this->Now + 1ms);
  }
  EXPECT_FALSE(isRefused(this->Gateway, this->Killer, this->Now + 2ms));
  EXPECT_TRUE(this->Gateway.Suspects.empty());
  EXPECT_TRUE(this->Gateway.Attempts.empty());
}

// Guards against refusing a content for ever that crashed upstreams only by
// coincidence, and against more than one trial at a time of one that does.
TEST_F(CrashGuardTest, RefusalsEndAndGrowWithFurtherCrashes) {
  this->crash(this->Gateway, "u1", {this->Killer});
  this->crash(this->Gateway, "u2", {this->Killer});
  EXPECT_TRUE(isRefused(this->Gateway, this->Killer, this->Now + 50s));
  this->Now += 61s;
  EXPECT_FALSE(isRefused(this->Gateway, this->Killer, this->Now));
  noteRunning(this->Gateway, "try", this->Killer, "u3", this->Now);
  EXPECT_TRUE(isRefused(this->Gateway, this->Killer, this->Now));
  noteBroken(this->Gateway, "try", this->Now);
  detectCrashes(this->Gateway, this->Now);
  EXPECT_TRUE(isRefused(this->Gateway, this->Killer, this->Now + 100s));
  EXPECT_FALSE(isRefused(this->Gateway, this->Killer, this->Now + 130s));
  detectCrashes(this->Gateway, this->Now + 2h);
  EXPECT_TRUE(this->Gateway.Suspects.empty());
}

// Guards against memory use that grows with the number of crashes or messages.
TEST_F(CrashGuardTest, MemoryIsBounded) {
  this->Gateway.Options.MaxSuspects = 20;
  std::vector<CrashSignature> Many;
  Many.reserve(100);
  for (int I = 0; I < 100; ++I)
    Many.push_back({contentDigest("m", std::to_string(I)),
                    {"u1", "u2", "u3"},
                    Milliseconds(I)});
  importSignatures(this->Gateway, Many, this->Now);
  EXPECT_EQ(this->Gateway.Suspects.size(), 20U);
  EXPECT_TRUE(isRefused(this->Gateway, Many[0].Content, this->Now));
  EXPECT_EQ(exportSignatures(this->Gateway, 5, this->Now).size(), 5U);
}

} // namespace
} // namespace galenaroute
