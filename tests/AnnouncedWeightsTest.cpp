// Tests when weight versions may still be used.

#include "version/AnnouncedWeights.h"
#include "process/GossipMessages.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

constexpr auto Observed = AnnouncementSource::Observed;
const BootTime Start{1000s};

AnnouncedWeightsByModel observed(std::uint64_t Version, BootTime At) {
  AnnouncedWeightsByModel All;
  noteAnnounced(All["m"], Version, {At, Observed});
  return All;
}

// Guards against restarting the time limit of a version when another one is
// named, as happened with two versions 9 s apart.
TEST(AnnouncedWeightsTest, EachVersionHasItsOwnLimit) {
  AnnouncedWeights Weights;
  noteAnnounced(Weights, 2, {Start, Observed});
  noteAnnounced(Weights, 3, {Start + 9s, Observed});
  EXPECT_EQ(oldestAllowed(Weights, 10s, Start + 9s), 0U);
  EXPECT_EQ(oldestAllowed(Weights, 10s, Start + 11s), 2U);
  EXPECT_EQ(oldestAllowed(Weights, 10s, Start + 20s), 3U);
  EXPECT_EQ(supersededAt(Weights, 1), Start);
  EXPECT_EQ(supersededAt(Weights, 2), Start + 9s);
  EXPECT_FALSE(supersededAt(Weights, 3));
  EXPECT_FALSE(noteAnnounced(Weights, 2, {Start + 30s, Observed}));
  EXPECT_EQ(supersededAt(Weights, 1), Start);
  EXPECT_EQ(Weights.newest(), 3U);
}

// Guards against a restart that allows expired weights again, or that excludes
// weights before their time limit.
TEST(AnnouncedWeightsTest, ARestartKnowsWhenVersionsWereNamed) {
  AnnouncedWeights Weights;
  noteAnnounced(Weights, 3, {Start - 12s, AnnouncementSource::Assumed});
  EXPECT_EQ(oldestAllowed(Weights, 10s, Start), 3U) << "nothing is known yet";
  restoreAnnounced(Weights, {{2, 1000}, {3, 10000}}, 15000, 0s, Start);
  EXPECT_EQ(oldestAllowed(Weights, 10s, Start), 2U);
  EXPECT_EQ(supersededAt(Weights, 2), Start - 5s);
}

// Guards against a time of day that was set back before a restart, which makes
// a version appear younger than it is.
TEST(AnnouncedWeightsTest, AStoredTimeAllowsForClockErrors) {
  AnnouncedWeights Weights;
  restoreAnnounced(Weights, {{2, 20000}}, 15000, 5s, Start);
  EXPECT_EQ(supersededAt(Weights, 1), Start - 5s);
}

// Guards against using old weights longer on a VM that learned of the newer
// version late, for instance because it was frozen when the version was named.
TEST(AnnouncedWeightsTest, TheEarliestObservationOfTheFleetCounts) {
  AnnouncedWeightsByModel Late = observed(2, Start + 6s);
  const AnnouncedWeightsByModel Early = observed(2, Start);
  const auto Notices = weightNotices(Early, 60s, Start + 7s);
  EXPECT_TRUE(mergeNotices(Late, Notices, Start + 7s));
  EXPECT_EQ(supersededAt(Late["m"], 1), Start);
  EXPECT_FALSE(mergeNotices(Late, Notices, Start + 7s)) << "nothing is new";
  AnnouncedWeightsByModel Unaware;
  EXPECT_TRUE(mergeNotices(Unaware, Notices, Start + 7s));
  EXPECT_EQ(oldestAllowed(Unaware["m"], 6s, Start + 7s), 2U);
}

// Guards against a date of an earlier build that was cut off over the naming,
// and that replaces the cautious dates of all gateways that have started since.
TEST(AnnouncedWeightsTest, ADateThatMayBeLateOnlyMakesOthersEarlier) {
  const auto Late = weightNotices(observed(2, Start + 6s), 60s, Start + 7s);
  const auto Merge = [&](AnnouncedWeightsByModel All) {
    mergeNotices(All, Late, Start + 7s, AnnouncementSource::Assumed);
    return supersededAt(All["m"], 1);
  };
  AnnouncedWeightsByModel Stored;
  restoreAnnounced(Stored["m"], {{2, 10000}}, 14000, 1s, Start + 4s);
  EXPECT_EQ(Merge(Stored), Start - 1s);
  AnnouncedWeightsByModel Started;
  noteNamed(Started["m"], 2, {.IsFirst = true}, 10s, Start + 4s);
  EXPECT_EQ(Merge(Started), Start - 6s);
  EXPECT_EQ(Merge(observed(2, Start)), Start);
  EXPECT_EQ(Merge({}), Start + 6s);
  AnnouncedWeightsByModel Told;
  mergeNotices(Told, Late, Start + 7s, AnnouncementSource::Assumed);
  EXPECT_TRUE(weightNotices(Told, 60s, Start + 7s).empty()) << "told on";
}

// Guards against replacing what a running process has seen by an assumption of
// one that has just started, and against passing assumptions on.
TEST(AnnouncedWeightsTest, StrongerSourcesReplaceWeakerOnes) {
  AnnouncedWeights Weights;
  EXPECT_TRUE(
      noteAnnounced(Weights, 2, {Start - 9s, AnnouncementSource::Assumed}));
  EXPECT_TRUE(
      noteAnnounced(Weights, 2, {Start - 7s, AnnouncementSource::Stored}));
  EXPECT_TRUE(noteAnnounced(Weights, 2, {Start, Observed}));
  EXPECT_FALSE(
      noteAnnounced(Weights, 2, {Start - 9s, AnnouncementSource::Assumed}));
  EXPECT_EQ(supersededAt(Weights, 1), Start);
  AnnouncedWeightsByModel All;
  noteAnnounced(All["m"], 2, {Start, AnnouncementSource::Assumed});
  noteAnnounced(All["n"], 2, {Start, AnnouncementSource::Stored});
  EXPECT_TRUE(weightNotices(All, 60s, Start).empty());
}

// Guards against dating a version anew when the platform lists it again.
TEST(AnnouncedWeightsTest, AListedVersionKeepsItsDate) {
  AnnouncedWeights Weights;
  const auto Found = noteNamed(Weights, 2, {.IsFirst = true}, 10s, Start);
  ASSERT_TRUE(Found);
  EXPECT_EQ(Found->Source, AnnouncementSource::Assumed);
  EXPECT_FALSE(noteNamed(Weights, 2, {}, 10s, Start + 3s));
  EXPECT_EQ(supersededAt(Weights, 1), Start - 10s);
  EXPECT_EQ(
      noteNamed(Weights, 3, {.MissedSince = Start + 1s}, 10s, Start + 6s)->At,
      Start + 1s);
  EXPECT_EQ(noteNamed(Weights, 4, {}, 10s, Start + 9s)->Source, Observed);
  EXPECT_EQ(supersededAt(Weights, 3), Start + 9s);
}

// Guards against unbounded messages and memory, and against times that an
// invalid age would overflow.
TEST(AnnouncedWeightsTest, NoticesAreBounded) {
  AnnouncedWeightsByModel All;
  for (std::uint64_t Version = 1; Version <= 30; ++Version)
    noteAnnounced(All["m"], Version, {Start, Observed});
  EXPECT_EQ(All["m"].Announced.size(), MaxAnnouncedWeights);
  EXPECT_FALSE(noteAnnounced(All["m"], 1, {Start, Observed}))
      << "a dropped version is no news";
  EXPECT_EQ(weightNotices(All, 60s, Start).size(), MaxNoticesPerModel);
  EXPECT_TRUE(weightNotices(All, 60s, Start + 61s).empty());
  std::vector<WeightNotice> Notices;
  for (std::size_t I = 0; I < 1000; ++I)
    Notices.push_back({"model" + std::to_string(I), 2, 1s});
  mergeNotices(All, Notices, Start);
  EXPECT_EQ(All.size(), MaxNoticedModels);
  mergeNotices(All, std::vector<WeightNotice>{{"m", 31, Milliseconds::max()}},
               Start);
  mergeNotices(All, std::vector<WeightNotice>{{"m", 32, Milliseconds::min()}},
               Start);
  EXPECT_EQ(supersededAt(All["m"], 30), Start - 24h);
  EXPECT_EQ(supersededAt(All["m"], 31), Start);
}

TEST(AnnouncedWeightsTest, NoticesSurviveEncoding) {
  const GossipMessage Read = decodeGossip(
      encodeGossip({.Weights = {{"m", 7, 1234ms}}, .WeightsLevel = OwnLevel}));
  EXPECT_EQ(Read.WeightsLevel, OwnLevel);
  ASSERT_EQ(Read.Weights.size(), 1U);
  EXPECT_EQ(Read.Weights[0].Model, "m");
  EXPECT_EQ(Read.Weights[0].Version, 7U);
  EXPECT_EQ(Read.Weights[0].Age, 1234ms);
}

// Guards against dating a version that was named during a stall by its end.
TEST(StallDetectorTest, TellsWhenARecentStallBegan) {
  StallDetector Stalls(Start);
  EXPECT_FALSE(Stalls.observe(Start + 900ms));
  EXPECT_FALSE(Stalls.recentStall(Start + 900ms, 2s));
  EXPECT_TRUE(Stalls.observe(Start + 6s));
  EXPECT_FALSE(Stalls.observe(Start + 6s));
  EXPECT_EQ(Stalls.recentStall(Start + 7s, 2s), Start + 900ms);
  EXPECT_FALSE(Stalls.recentStall(Start + 8s, 2s));
}

} // namespace
} // namespace galenaroute
