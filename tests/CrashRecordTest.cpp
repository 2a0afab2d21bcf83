#include "request/CrashRecord.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1h};

/// An upstream for each crash.
void crash(CrashRecord &Record, std::uint64_t Content, std::uint64_t Upstream,
           TimePoint At = Start) {
  noteCrash(Record, Content, Upstream, At);
}

TEST(CrashRecordTest, ACallThatCrashedThreeUpstreamsIsRefusedForAWhile) {
  CrashRecord Record;
  crash(Record, 5, 1);
  crash(Record, 5, 2);
  EXPECT_FALSE(refusedUntil(Record, 5, Start));
  crash(Record, 5, 3);
  EXPECT_EQ(refusedUntil(Record, 5, Start), Start + CrashMemory);
  EXPECT_FALSE(refusedUntil(Record, 6, Start));
  EXPECT_FALSE(refusedUntil(Record, 5, Start + CrashMemory));
  EXPECT_EQ(noteSuccess(Record, 5, Start + 1s), 3u);
  EXPECT_FALSE(refusedUntil(Record, 5, Start + 1s));
}

// Guards against copies of a sound call being refused after one crash, which
// broke all of them.
TEST(CrashRecordTest, OneCrashThatBreaksSeveralCopiesCountsOnce) {
  CrashRecord Record;
  EXPECT_TRUE(noteCrash(Record, 5, 1, Start));
  EXPECT_FALSE(noteCrash(Record, 5, 1, Start + 100ms));
  EXPECT_EQ(crashesOf(Record, 5), 1u);
}

// Guards against crashes that are not counted because the registry still names
// the incarnation before.
TEST(CrashRecordTest, AnUpstreamThatIsBackAndCrashesAgainCountsAgain) {
  CrashRecord Record;
  for (int I = 0; I < 3; ++I)
    EXPECT_TRUE(noteCrash(Record, 5, 1, Start + I * 3s));
  EXPECT_TRUE(refusedUntil(Record, 5, Start + 9s));
}

// Guards against an older crash that becomes known after a success of the call.
TEST(CrashRecordTest, LateNewsOfAnOlderCrashDoesNotCount) {
  CrashRecord Record;
  crash(Record, 5, 1);
  EXPECT_EQ(noteSuccess(Record, 5, Start + 2s), 1u);
  EXPECT_FALSE(mergeNews(Record, {5, {{2, 4000ms}}, {}}, Start + 3s));
  EXPECT_TRUE(mergeNews(Record, {5, {{2, 500ms}}, {}}, Start + 3s));
  EXPECT_EQ(crashesOf(Record, 5), 1u);
}

// Guards against a refused call being forgotten when many sound calls break:
// the record dropped the smallest hash first.
TEST(CrashRecordTest, AFullRecordDropsTheFewestAndOldestCrashesFirst) {
  CrashRecord Record;
  for (std::uint64_t Upstream = 1; Upstream <= 3; ++Upstream)
    crash(Record, 0, Upstream);
  for (std::uint64_t I = 1; I <= 2 * MaxCrashContents; ++I)
    crash(Record, I, 9, Start + std::chrono::milliseconds(I));
  EXPECT_EQ(Record.Contents.size(), MaxCrashContents);
  EXPECT_TRUE(refusedUntil(Record, 0, Start + 10s));
  EXPECT_EQ(crashesOf(Record, 1), 0u);
  EXPECT_EQ(crashesOf(Record, 2 * MaxCrashContents), 1u);
}

TEST(CrashRecordTest, ExpiredCrashesAreForgotten) {
  CrashRecord Record;
  crash(Record, 5, 1);
  noteSuccess(Record, 5, Start + 1s);
  crash(Record, 6, 1, Start + 1min);
  expireCrashes(Record, Start + CrashMemory + 30s);
  EXPECT_EQ(Record.Contents.size(), 1u);
  EXPECT_EQ(crashesOf(Record, 6), 1u);
}

// Guards against a message with wrong figures that refuses calls for longer, or
// takes more memory, than any crash could.
TEST(CrashRecordTest, WrongNewsIsBounded) {
  CrashRecord Record;
  CrashNews News{5, {}, Milliseconds::max()};
  for (std::uint64_t I = 0; I < 100; ++I)
    News.Sightings.push_back(
        {I, I % 2 == 0 ? Milliseconds::min() : Milliseconds::max()});
  EXPECT_TRUE(mergeNews(Record, News, Start));
  EXPECT_EQ(crashesOf(Record, 5), MaxCrashSightings);
  EXPECT_EQ(refusedUntil(Record, 5, Start), Start + CrashMemory);
}

/// What one entry saw: crashes of a few upstreams, seconds apart.
rc::Gen<std::vector<std::pair<std::uint64_t, int>>> sightings() {
  return rc::gen::container<std::vector<std::pair<std::uint64_t, int>>>(
      rc::gen::pair(rc::gen::inRange<std::uint64_t>(1, 5),
                    rc::gen::inRange(0, 3)));
}

// Guards against entries that disagree for good: whatever two entries saw, and
// whichever told first, both hold the same crashes after an exchange.
RC_GTEST_PROP(CrashRecordProperty, EntriesAgreeAfterAnExchange, ()) {
  CrashRecord Records[2];
  for (CrashRecord &Each : Records)
    for (const auto &[Upstream, Tens] : *sightings())
      // Further apart than copies of one crash are seen.
      crash(Each, 7, Upstream, Start + Tens * 10s);
  const TimePoint Now = Start + 60s;
  const CrashNews First = newsOf(Records[0], 7, Now);
  mergeNews(Records[1], First, Now);
  mergeNews(Records[0], newsOf(Records[1], 7, Now), Now);
  if (crashesOf(Records[0], 7) < MaxCrashSightings)
    RC_ASSERT(crashesOf(Records[0], 7) == crashesOf(Records[1], 7));
  RC_ASSERT(refusedUntil(Records[0], 7, Now).has_value() ==
            refusedUntil(Records[1], 7, Now).has_value());
  RC_ASSERT(!mergeNews(Records[1], First, Now));
}

} // namespace
} // namespace galenaroute
