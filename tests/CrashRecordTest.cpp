#include "process/Rendezvous.h"
#include "request/CrashSuspects.h"

#include <gtest/gtest.h>
#include <map>
#include <random>
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
  for (std::uint64_t I = 1; I <= 2 * MaxCrashKeys; ++I)
    crash(Record, I, 9, Start + std::chrono::milliseconds(I));
  EXPECT_EQ(Record.Keys.size(), MaxCrashKeys);
  EXPECT_TRUE(refusedUntil(Record, 0, Start + 10s));
  EXPECT_EQ(crashCount(Record, 1), 0u);
  EXPECT_EQ(crashCount(Record, 2 * MaxCrashKeys), 1u);
}

TEST(CrashRecordTest, ExpiredCrashesAreForgotten) {
  CrashRecord Record;
  crash(Record, 5, 1);
  noteSuccess(Record, 5, Start + 1s);
  crash(Record, 6, 1, Start + 1min);
  expireCrashes(Record, Start + CrashRetention + 30s);
  EXPECT_EQ(Record.Keys.size(), 1u);
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

std::vector<PromptPart> partsOf(std::initializer_list<const char *> Ids) {
  std::vector<PromptPart> Parts;
  Parts.reserve(Ids.size());
  for (const char *Id : Ids)
    Parts.push_back({Id, 1});
  return Parts;
}

TEST(CrashKeysTest, ContentAndEachPartButTheLastHaveKeys) {
  const auto First = crashKeys(1, "s", partsOf({"a", "b", "x"}));
  const auto Second = crashKeys(2, "s", partsOf({"b", "y"}));
  ASSERT_EQ(First.size(), 3u);
  ASSERT_EQ(Second.size(), 2u);
  EXPECT_EQ(First[2], Second[1]);
  EXPECT_EQ(crashKeys(1, "s", partsOf({"b"})).size(), 1u);
  EXPECT_EQ(crashKeys(1, "s", {}).size(), 1u);
  EXPECT_EQ(crashKeys(1, "s", partsOf({"a", "a", "x"})).size(), 2u);
  EXPECT_NE(crashKeys(1, "t", partsOf({"b", "y"}))[1], Second[1]);
  const std::vector<PromptPart> Many = [] {
    std::vector<PromptPart> Parts;
    Parts.reserve(1000);
    for (int I = 0; I < 1000; ++I)
      Parts.push_back({std::to_string(I), 1});
    return Parts;
  }();
  EXPECT_EQ(crashKeys(1, "s", Many).size(), 1 + MaxSuspectParts);
}

/// Has calls with each of \p Keys break at the crash of \p Upstream.
void crashAll(CrashRecord &Record, std::span<const std::uint64_t> Keys,
              std::uint64_t Upstream, TimePoint At = Start) {
  for (const std::uint64_t Key : Keys)
    noteCrash(Record, Key, Upstream, At);
}

// Guards against crashes that are held against a call although the upstreams
// run, and against their return with the report of another gateway.
TEST(CrashRecordTest, CrashesOfUpstreamsThatRunDoNotCount) {
  CrashRecord Record;
  for (std::uint64_t Upstream = 1; Upstream <= 3; ++Upstream)
    noteCrash(Record, 5, Upstream, Start);
  const CrashReport Before = crashReport(Record, 5, Start + 1s);
  ASSERT_TRUE(refusedUntil(Record, 5, Start + 1s));
  EXPECT_EQ(noteRunning(Record, 1, Start + 1s), std::vector<std::uint64_t>{5});
  EXPECT_FALSE(refusedUntil(Record, 5, Start + 1s));
  EXPECT_FALSE(mergeReport(Record, Before, Start + 1s));
  EXPECT_EQ(crashCount(Record, 5), 2u);
  // A later crash of the same incarnation counts.
  EXPECT_TRUE(noteCrash(Record, 5, 1, Start + 5s));
  EXPECT_TRUE(refusedUntil(Record, 5, Start + 5s));
}

// Guards against letting all calls with a crashing part pass because no two of
// them are alike.
TEST(CrashRecordTest, CallsThatShareACrashingPartAreRefused) {
  CrashRecord Record;
  const auto KeysOf = [](std::uint64_t Content) {
    return crashKeys(Content, "s", partsOf({"first", "crashing", "last"}));
  };
  for (std::uint64_t I = 1; I <= 3; ++I) {
    EXPECT_FALSE(refusedUntil(Record, KeysOf(100 + I), Start));
    crashAll(Record, KeysOf(I), I);
  }
  EXPECT_TRUE(refusedUntil(Record, KeysOf(200), Start));
}

// Guards against refusing harmless calls whose part was at the upstream at each
// crash, and against never refusing the cause because of such a part.
TEST(CrashRecordTest, APartBesideTheCrashingOneIsExcused) {
  enum : std::uint64_t { Crashing = 1, Beside = 2, Content = 3 };
  CrashRecord Record;
  for (std::uint64_t Upstream = 1; Upstream <= 3; ++Upstream)
    crashAll(Record, std::vector<std::uint64_t>{Crashing, Beside}, Upstream);
  const std::vector<std::uint64_t> Both = {Content, Beside, Crashing};
  const std::vector<std::uint64_t> Harmless = {Content, Beside};
  EXPECT_TRUE(refusedUntil(Record, Both, Start));
  EXPECT_FALSE(refusedUntil(Record, Harmless, Start));
  crash(Record, Crashing, 4);
  EXPECT_TRUE(refusedUntil(Record, Crashing, Start));
  EXPECT_FALSE(refusedUntil(Record, Beside, Start));
  noteSuccess(Record, Crashing, Start + 1s);
  EXPECT_TRUE(refusedUntil(Record, Beside, Start));
}

// Guards against refusing a common part because several others crash upstreams:
// it is at more crashes than each of them.
TEST(CrashRecordTest, APartThatWasAnsweredBeforeNeedsMoreCrashes) {
  CrashRecord Record;
  crash(Record, 5, 100);
  noteSuccess(Record, 5, Start + 1s);
  for (std::uint64_t I = 1; I < MaxCrashesOnceAnswered; ++I)
    crash(Record, 5, I, Start + 2s);
  EXPECT_FALSE(refusedUntil(Record, 5, Start + 3s));
  crash(Record, 5, MaxCrashesOnceAnswered, Start + 2s);
  EXPECT_TRUE(refusedUntil(Record, 5, Start + 3s));
}

// Guards against several crashing parts that are excused for ever by a harmless
// one that is beside each of them.
TEST(CrashRecordTest, APartWithManyCrashesIsNotExcused) {
  CrashRecord Record;
  for (std::uint64_t I = 0; I < 2 * MaxExcusedCrashes; ++I) {
    EXPECT_EQ(refusedUntil(Record, 1 + I % 2, Start).has_value(),
              crashCount(Record, 1 + I % 2) >= MaxExcusedCrashes);
    crashAll(Record, std::vector<std::uint64_t>{1 + I % 2, 9}, I);
  }
  EXPECT_TRUE(refusedUntil(Record, 1, Start));
  EXPECT_TRUE(refusedUntil(Record, 2, Start));
}

// Guards against excusing a part by crashes of other upstreams.
TEST(CrashRecordTest, CrashesElsewhereDoNotExcuseAPart) {
  CrashRecord Record;
  for (std::uint64_t Upstream = 1; Upstream <= 3; ++Upstream) {
    crash(Record, 1, Upstream);
    crash(Record, 2, Upstream + 10);
    crash(Record, 2, Upstream + 20);
  }
  EXPECT_TRUE(refusedUntil(Record, 1, Start));
  EXPECT_TRUE(refusedUntil(Record, 2, Start));
}

UnansweredSend brokenSend(std::vector<std::uint64_t> Keys,
                          std::uint64_t Upstream, TimePoint SentAt,
                          TimePoint EndedAt) {
  return {Upstream, std::move(Keys), SentAt, EndedAt};
}

// Guards against suspecting parts that other upstreams answer all the time.
TEST(CrashSuspectsTest, APartThatWasAnsweredMeanwhileIsNotRecorded) {
  CrashRecord Record;
  AnsweredKeys Answered;
  noteAnsweredParts(Record, Answered, std::vector<std::uint64_t>{9, 2},
                    Start + 1s);
  EXPECT_EQ(noteBrokenSend(Record, Answered,
                           brokenSend({1, 2, 3}, 1, Start, Start + 5s)),
            (std::vector<std::uint64_t>{1, 3}));
  EXPECT_EQ(noteBrokenSend(Record, Answered,
                           brokenSend({1, 2, 3}, 2, Start + 4s, Start + 5s)),
            (std::vector<std::uint64_t>{1, 2, 3}));
  const auto Cleared = noteAnsweredParts(
      Record, Answered, std::vector<std::uint64_t>{1, 2}, Start + 6s);
  ASSERT_EQ(Cleared.size(), 1u);
  EXPECT_EQ(Cleared[0].Key, 2u);
  EXPECT_EQ(Cleared[0].Crashes, 1u);
  EXPECT_EQ(crashCount(Record, 1), 2u) << "the content was not answered";
}

TEST(CrashSuspectsTest, AnsweredKeysAreBoundedAndRememberedLongEnough) {
  AnsweredKeys Answered;
  noteAnswered(Answered, 0, Start);
  for (std::uint64_t I = 1; I <= 10 * MaxAnsweredKeys; ++I) {
    noteAnswered(Answered, I, Start + 1s);
    ASSERT_LE(Answered.Current.size() + Answered.Previous.size(),
              2 * MaxAnsweredKeys);
  }
  EXPECT_FALSE(lastAnswered(Answered, 0));
  EXPECT_EQ(lastAnswered(Answered, 10 * MaxAnsweredKeys), Start + 1s);
  noteAnswered(Answered, 1, Start + 1s + AnsweredRetention);
  EXPECT_TRUE(lastAnswered(Answered, 10 * MaxAnsweredKeys));
}

// Guards against a flood of calls that are never alike evicting the parts that
// crash upstreams.
TEST(CrashRecordTest, AFloodOfFreshKeysEvictsNoPartWithTwoCrashes) {
  CrashRecord Record;
  crash(Record, 1, 1);
  crash(Record, 1, 2);
  for (std::uint64_t I = 0; I < 4 * MaxCrashKeys; ++I)
    crash(Record, mixBits(I + 100), 1000 + I, Start + I * 1ms);
  EXPECT_EQ(Record.Keys.size(), MaxCrashKeys);
  EXPECT_EQ(crashCount(Record, 1), 2u);
  crash(Record, 1, 3, Start + 20s);
  EXPECT_TRUE(refusedUntil(Record, 1, Start + 20s));
}

// Guards against refusing harmless calls for ever, or letting crashing ones
// pass, whichever calls are at the upstreams: crashing parts cause at most a
// few more crashes than MaxCrashes, and a call without them is refused only
// until each of its parts was answered.
RC_GTEST_PROP(CrashRecordProperty, OnlyCallsWithACrashingPartStayRefused, ()) {
  const auto Crashing = *rc::gen::inRange<std::uint64_t>(1, 4);
  const auto Shared = *rc::gen::inRange<std::uint64_t>(1, 30);
  std::mt19937_64 Random(*rc::gen::arbitrary<std::uint64_t>());
  CrashRecord Record;
  AnsweredKeys Answered;
  TimePoint Now = Start;
  std::uint64_t Content = 1 << 20;
  const auto SoundKeys = [&] {
    return std::vector<std::uint64_t>{++Content, 100 + Random() % 2,
                                      200 + Random() % Shared};
  };
  std::map<std::uint64_t, std::size_t> Crashes;
  // The calls before the first crash.
  for (int I = 0; I < 20; ++I)
    noteAnsweredParts(Record, Answered, SoundKeys(), Now);
  for (std::uint64_t Upstream = 1; Upstream < 200; ++Upstream) {
    Now += 150ms;
    const std::uint64_t Part = 1 + Random() % Crashing;
    std::vector<std::uint64_t> Keys = SoundKeys();
    Keys.push_back(Part);
    // Calls that were sent to the same upstream.
    std::vector<std::vector<std::uint64_t>> Beside;
    for (std::uint64_t I = Random() % 12; I > 0; --I)
      if (const auto Sound = SoundKeys(); !refusedUntil(Record, Sound, Now))
        Beside.push_back(Sound);
    if (!refusedUntil(Record, Keys, Now)) {
      ++Crashes[Part];
      noteBrokenSend(Record, Answered,
                     brokenSend(Keys, Upstream, Now - 100ms, Now));
      for (const auto &Each : Beside)
        noteBrokenSend(Record, Answered,
                       brokenSend(Each, Upstream, Now - 100ms, Now));
    }
    for (std::uint64_t I = Random() % 4; I > 0; --I)
      if (const auto Sound = SoundKeys(); !refusedUntil(Record, Sound, Now))
        noteAnsweredParts(Record, Answered, Sound, Now);
  }
  for (const auto &[Part, Count] : Crashes)
    RC_ASSERT(Count <= 5 + 3);
  int Refused = 0;
  for (int I = 0; I < 100; ++I)
    Refused += refusedUntil(Record, SoundKeys(), Now).has_value();
  RC_ASSERT(Refused <= 50);
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
