// Prompt parts that crash the engines, before fleets of 6, 36 and 300 entries.

#include "CrashFleet.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;

/// Of one entry on average. Gossip rounds take 12, and a storm of replies
/// thousands.
constexpr std::size_t MaxMessagesPerSecond = 200;

class CrashFleetTest : public testing::TestWithParam<std::size_t> {
protected:
  /// Checks both that calls with the parts stop and that others are served.
  static void check(const CrashFleetSettings &Settings) {
    CrashFleet Fleet(Settings);
    Fleet.run(9s);
    for (std::size_t Part = 0; Part < Settings.CrashingParts; ++Part) {
      EXPECT_GE(Fleet.crashes(Part), 3u);
      EXPECT_LE(Fleet.lateCrashingCalls(Part), 3u)
          << Fleet.crashes(Part) << " crashes";
      RecordProperty("crashes_of_part_" + std::to_string(Part),
                     std::to_string(Fleet.crashes(Part)));
    }
    EXPECT_GE(Fleet.servedShare(), 0.5);
    EXPECT_LE(Fleet.mostKeys(), MaxCrashKeys);
    EXPECT_LE(Fleet.messages(), 9 * MaxMessagesPerSecond * Settings.Entries);
    RecordProperty("served_share", std::to_string(Fleet.servedShare()));
    RecordProperty("messages", std::to_string(Fleet.messages()));
  }
};

// Guards against an engine lost to each call with a crashing part, because no
// two of them are alike, and against refusing the calls that share the others.
TEST_P(CrashFleetTest, ACrashingPartIsRefusedAndOtherCallsAreServed) {
  check({.Entries = GetParam()});
}

// Guards against several crashing parts that excuse each other, and against a
// storm of reports that a common part was answered.
TEST_P(CrashFleetTest, SeveralCrashingPartsAreRefused) {
  check({.Entries = GetParam(), .CrashingParts = 3, .Seed = 2});
}

// Guards against losing the records of parts in restarts, cuts and outages.
TEST_P(CrashFleetTest, ACrashingPartStaysRefusedInFaults) {
  check({.Entries = GetParam(),
         .CrashingParts = 2,
         .LossShare = 0.05,
         .HasFaults = true,
         .Seed = 3});
}

INSTANTIATE_TEST_SUITE_P(Sizes, CrashFleetTest, testing::Values(6, 36, 300));

} // namespace
} // namespace galenaroute
