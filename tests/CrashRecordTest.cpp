#include "request/CrashRecord.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1h};

void crash(CrashRecord &Record, std::uint64_t Content, std::uint64_t Upstream,
           TimePoint At = Start) {
  noteCrash(Record, Content, Upstream, At);
}

TEST(CrashRecordTest, RefusesACallAfterThreeCrashesUntilTheyExpireOrClear) {
  CrashRecord Record;
  crash(Record, 5, 1);
  crash(Record, 5, 2);
  EXPECT_FALSE(refusedUntil(Record, 5, Start));
  crash(Record, 5, 3);
  EXPECT_EQ(refusedUntil(Record, 5, Start), Start + CrashRetention);
  EXPECT_FALSE(refusedUntil(Record, 6, Start));
  EXPECT_FALSE(refusedUntil(Record, 5, Start + CrashRetention));
  EXPECT_EQ(noteSuccess(Record, 5, Start + 1s), 3u);
  EXPECT_FALSE(refusedUntil(Record, 5, Start + 1s));
}

// Guards against refusing a harmless call after a single crash that broke
// several copies of it.
TEST(CrashRecordTest, OneCrashThatBreaksSeveralCopiesCountsOnce) {
  CrashRecord Record;
  EXPECT_TRUE(noteCrash(Record, 5, 1, Start));
  EXPECT_FALSE(noteCrash(Record, 5, 1, Start + 100ms));
  EXPECT_EQ(crashCount(Record, 5), 1u);
}

// Guards against crashes that are not counted because the registry still names
// the previous incarnation.
TEST(CrashRecordTest, ACrashAfterARestartCountsAgain) {
  CrashRecord Record;
  for (int I = 0; I < 3; ++I)
    EXPECT_TRUE(noteCrash(Record, 5, 1, Start + I * 3s));
  EXPECT_TRUE(refusedUntil(Record, 5, Start + 9s));
}

// Guards against counting a crash that is older than a success of the call but
// is reported after it.
TEST(CrashRecordTest, LateReportOfAnOlderCrashDoesNotCount) {
  CrashRecord Record;
  crash(Record, 5, 1);
  EXPECT_EQ(noteSuccess(Record, 5, Start + 2s), 1u);
  EXPECT_FALSE(mergeReport(Record, {5, {{2, 4000ms}}, {}}, Start + 3s));
  EXPECT_TRUE(mergeReport(Record, {5, {{2, 500ms}}, {}}, Start + 3s));
  EXPECT_EQ(crashCount(Record, 5), 1u);
}

// Guards against evicting a refused call when many harmless calls break. An
// eviction by smallest hash did that.
TEST(CrashRecordTest, EvictsTheFewestAndOldestCrashesFirst) {
  CrashRecord Record;
  for (std::uint64_t Upstream = 1; Upstream <= 3; ++Upstream)
    crash(Record, 0, Upstream);
  for (std::uint64_t I = 1; I <= 2 * MaxCrashContents; ++I)
    crash(Record, I, 9, Start + std::chrono::milliseconds(I));
  EXPECT_EQ(Record.Contents.size(), MaxCrashContents);
  EXPECT_TRUE(refusedUntil(Record, 0, Start + 10s));
  EXPECT_EQ(crashCount(Record, 1), 0u);
  EXPECT_EQ(crashCount(Record, 2 * MaxCrashContents), 1u);
}

TEST(CrashRecordTest, ExpiredCrashesAreForgotten) {
  CrashRecord Record;
  crash(Record, 5, 1);
  noteSuccess(Record, 5, Start + 1s);
  crash(Record, 6, 1, Start + 1min);
  expireCrashes(Record, Start + CrashRetention + 30s);
  EXPECT_EQ(Record.Contents.size(), 1u);
  EXPECT_EQ(crashCount(Record, 6), 1u);
}

// Guards against a message with invalid ages that causes a longer refusal, or
// takes more memory, than valid ones could.
TEST(CrashRecordTest, EffectOfInvalidReportsIsBounded) {
  CrashRecord Record;
  CrashReport Report{5, {}, Milliseconds::max()};
  for (std::uint64_t I = 0; I < 100; ++I)
    Report.Observations.push_back(
        {I, I % 2 == 0 ? Milliseconds::min() : Milliseconds::max()});
  EXPECT_TRUE(mergeReport(Record, Report, Start));
  EXPECT_EQ(crashCount(Record, 5), MaxCrashObservations);
  EXPECT_EQ(refusedUntil(Record, 5, Start), Start + CrashRetention);
}

/// Crashes of a few upstreams, seconds apart, as observed by one gateway.
rc::Gen<std::vector<std::pair<std::uint64_t, int>>> observations() {
  return rc::gen::container<std::vector<std::pair<std::uint64_t, int>>>(
      rc::gen::pair(rc::gen::inRange<std::uint64_t>(1, 5),
                    rc::gen::inRange(0, 3)));
}

// Guards against gateways that never converge: whatever two gateways observed,
// and whichever reported first, both hold the same crashes after an exchange.
RC_GTEST_PROP(CrashRecordProperty, GatewaysAgreeAfterAnExchange, ()) {
  CrashRecord Records[2];
  for (CrashRecord &Each : Records)
    for (const auto &[Upstream, Tens] : *observations())
      // Further apart than observations of the same crash.
      crash(Each, 7, Upstream, Start + Tens * 10s);
  const TimePoint Now = Start + 60s;
  const CrashReport First = crashReport(Records[0], 7, Now);
  mergeReport(Records[1], First, Now);
  mergeReport(Records[0], crashReport(Records[1], 7, Now), Now);
  if (crashCount(Records[0], 7) < MaxCrashObservations)
    RC_ASSERT(crashCount(Records[0], 7) == crashCount(Records[1], 7));
  RC_ASSERT(refusedUntil(Records[0], 7, Now).has_value() ==
            refusedUntil(Records[1], 7, Now).has_value());
  RC_ASSERT(!mergeReport(Records[1], First, Now));
}

} // namespace
} // namespace galenaroute
