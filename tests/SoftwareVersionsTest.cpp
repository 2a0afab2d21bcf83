// Tests of the decisions on the software versions of a service.

#include "version/SoftwareVersions.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

constexpr Duration Retention = 60s;
constexpr std::int64_t StartMs = 1'000'000;

/// All clocks \p Time after the start.
VersionClocks at(Duration Time) {
  return {.Now = TimePoint(Time),
          .Boot = BootTime(Time),
          .WallMs = StartMs + toMilliseconds(Time)};
}

StoredVersions setOf(std::map<std::string, std::int64_t> AddedMs) {
  return {.AddedMs = std::move(AddedMs)};
}

std::set<std::string> namesOf(const StoredVersions &Stored) {
  std::set<std::string> Result;
  for (const auto &[Each, AddedMs] : Stored.AddedMs)
    Result.insert(Each);
  return Result;
}

std::optional<std::string> onlyAt(const SoftwareVersions &Versions,
                                  Duration CompleteUntil, Duration Now) {
  return onlyVersion(Versions, BootTime(CompleteUntil), Retention, at(Now));
}

// Guards against a service that counts as one of a single version although the
// registry or the platform names another one.
TEST(SoftwareVersionsTest, StoredAndRegisteredVersionsCount) {
  SoftwareVersions Versions;
  EXPECT_EQ(onlyAt(Versions, 0s, 0s), std::nullopt);
  noteRegistered(Versions, "1", TimePoint(0s));
  EXPECT_EQ(onlyAt(Versions, 0s, 0s), std::nullopt) << "not yet stored";
  noteStored(Versions, setOf({{"1", 0}}), Retention, at(0s));
  EXPECT_EQ(onlyAt(Versions, 0s, 0s), "1");
  noteRegistered(Versions, "2", TimePoint(0s));
  EXPECT_EQ(onlyAt(Versions, 0s, 0s), std::nullopt);
  noteStored(Versions, setOf({{"1", 0}, {"2", 0}}), Retention, at(0s));
  EXPECT_EQ(onlyAt(Versions, 0s, 0s), std::nullopt);
  EXPECT_EQ(namesOf(versionsToStore(Versions, true, false, Retention, at(0s))),
            (std::set<std::string>{"1", "2"}));
}

// Guards against a version that is dropped while its streams may be taken up,
// or by a process that cannot see the registry.
TEST(SoftwareVersionsTest, AVersionIsDroppedOnceItsStreamsHaveEnded) {
  SoftwareVersions Versions;
  noteRegistered(Versions, "1", TimePoint(0s));
  noteStored(Versions, setOf({{"1", 0}}), Retention, at(0s));
  noteRegistered(Versions, "2", TimePoint(50s));
  const std::set<std::string> Both{"1", "2"};
  const auto ToStore = [&](bool IsRegistryCurrent, Duration Now) {
    return namesOf(versionsToStore(Versions, IsRegistryCurrent, false,
                                   Retention, at(Now)));
  };
  EXPECT_EQ(ToStore(true, 60s), Both);
  EXPECT_EQ(ToStore(true, 61s), std::set<std::string>{"2"});
  EXPECT_EQ(ToStore(false, 61s), Both);
}

// Guards against two gateways of which one stores again what the other dropped.
TEST(SoftwareVersionsTest, AVersionThatAnotherGatewayDroppedIsNotStoredAgain) {
  SoftwareVersions Versions;
  noteStored(Versions, setOf({{"1", 0}, {"2", 0}}), Retention, at(0s));
  noteRegistered(Versions, "2", TimePoint(0s));
  noteStored(Versions, setOf({{"2", 0}}), Retention, at(1s));
  EXPECT_EQ(onlyAt(Versions, 1s, 1s), "2");
  EXPECT_EQ(namesOf(versionsToStore(Versions, true, false, Retention, at(1s))),
            std::set<std::string>{"2"});
}

// Guards against a restoration of the platform that hides a version.
TEST(SoftwareVersionsTest, VersionsAreStoredAgainAfterARestoration) {
  SoftwareVersions Versions;
  noteStored(Versions, setOf({{"1", 0}, {"2", StartMs}}), Retention, at(10s));
  dropStored(Versions);
  EXPECT_EQ(onlyAt(Versions, 10s, 10s), std::nullopt);
  EXPECT_EQ(versionsToStore(Versions, true, true, Retention, at(11s)).AddedMs,
            (std::map<std::string, std::int64_t>{{"1", 0}, {"2", StartMs}}));
}

// Guards against a stream that is joined because the set of a restored platform
// lacks the version that began it.
TEST(SoftwareVersionsTest, ARestoredSetAnswersOnlyForLaterStreams) {
  SoftwareVersions Versions;
  noteRegistered(Versions, "1", TimePoint(0s));
  noteStored(Versions,
             versionsToStore(Versions, true, /*IsFirstStart=*/false, Retention,
                             at(0s)),
             Retention, at(0s));
  EXPECT_EQ(onlyAt(Versions, 1s, 1s), std::nullopt);
  EXPECT_FALSE(isAnsweredByOnlyVersion(Versions, Retention, at(64s)));
  EXPECT_EQ(onlyAt(Versions, 65s, 65s), "1");
  EXPECT_TRUE(mayBeginStream(Versions, "1")) << "it serves meanwhile";
}

// Guards against streams of a fleet of an earlier build that are refused for as
// long as a set which may be incomplete does not answer.
TEST(SoftwareVersionsTest, TheSetOfAnEarlierBuildIsComplete) {
  SoftwareVersions Versions;
  noteEarlierSet(Versions, {"1"}, TimePoint(0s));
  noteRegistered(Versions, "1", TimePoint(0s));
  const StoredVersions First = versionsToStore(
      Versions, true, /*IsFirstStart=*/false, Retention, at(0s));
  EXPECT_EQ(First, setOf({{"1", 0}}));
  noteStored(Versions, First, Retention, at(0s));
  EXPECT_EQ(onlyAt(Versions, 0s, 0s), "1");
}

// Guards against a version that an earlier build has dropped from its set, or
// one of an earlier era, which hide nothing.
TEST(SoftwareVersionsTest, TheSetOfAnEarlierBuildAddsToWhatIsKnown) {
  SoftwareVersions Versions;
  noteRegistered(Versions, "2", TimePoint(0s));
  noteEarlierSet(Versions, {"1"}, TimePoint(0s));
  EXPECT_EQ(versionsToStore(Versions, true, false, Retention, at(0s)),
            setOf({{"1", 0}, {"2", StartMs}}));
  dropStored(Versions);
  EXPECT_EQ(
      versionsToStore(Versions, true, false, Retention, at(1s)).CompleteSinceMs,
      StartMs + 1000);
}

// Guards against a process that takes the version that it knows for the only
// one after it was cut off or stood still.
TEST(SoftwareVersionsTest, AnOldViewDoesNotAnswer) {
  SoftwareVersions Versions;
  noteStored(Versions, setOf({{"1", 0}}), Retention, at(0s));
  EXPECT_EQ(onlyAt(Versions, 0s, SoftwareVersions::MaxViewAge), "1");
  EXPECT_EQ(onlyAt(Versions, 0s, SoftwareVersions::MaxViewAge + 1ms),
            std::nullopt);
  EXPECT_EQ(onlyVersion(Versions, std::nullopt, Retention, at(0s)),
            std::nullopt);
}

// Guards against a stream that begins at a version while the view of another
// process, which lacks the version, still answers for the only one.
TEST(SoftwareVersionsTest, AVersionSettlesAfterTheLastViewThatLacksIt) {
  static_assert(SoftwareVersions::SettleTime > SoftwareVersions::MaxViewAge);
  SoftwareVersions Versions;
  noteRegistered(Versions, "1", TimePoint(0s));
  noteStored(Versions, versionsToStore(Versions, true, true, Retention, at(0s)),
             Retention, at(0s));
  EXPECT_TRUE(mayBeginStream(Versions, "1")) << "no view lacks it";
  noteRegistered(Versions, "2", TimePoint(10s));
  EXPECT_FALSE(mayBeginStream(Versions, "2"));
  const StoredVersions Both =
      versionsToStore(Versions, true, true, Retention, at(10s));
  noteStored(Versions, Both, Retention, at(10s));
  EXPECT_FALSE(
      updateSettled(Versions, at(10s + SoftwareVersions::SettleTime - 1ms)));
  EXPECT_FALSE(mayBeginStream(Versions, "2"));
  EXPECT_TRUE(updateSettled(Versions, at(10s + SoftwareVersions::SettleTime)));
  EXPECT_TRUE(mayBeginStream(Versions, "2"));

  // A process that starts while the version settles waits, too.
  SoftwareVersions Started;
  noteStored(Started, Both, Retention, at(12s));
  EXPECT_TRUE(mayBeginStream(Started, "1"));
  EXPECT_FALSE(mayBeginStream(Started, "2"));
  // One that starts later does not.
  SoftwareVersions Later;
  noteStored(Later, Both, Retention,
             at(10s + SoftwareVersions::SettleTime +
                SoftwareVersions::MaxWriteDelay + 5s));
  EXPECT_TRUE(mayBeginStream(Later, "2"));
}

// Guards against a version that settles at once when its set is read, since the
// write took effect long after the time that it states.
TEST(SoftwareVersionsTest, AWriteThatTookEffectLateDoesNotSettleAVersion) {
  SoftwareVersions Versions;
  noteStored(Versions, setOf({{"1", 0}}), Retention, at(0s));
  noteStored(Versions, setOf({{"1", 0}, {"2", StartMs}}), Retention, at(8s));
  EXPECT_FALSE(mayBeginStream(Versions, "2"));
  updateSettled(Versions, at(8s + SoftwareVersions::SettleTime));
  EXPECT_TRUE(mayBeginStream(Versions, "2"));
}

// Guards against streams that no upstream takes after a restoration.
TEST(SoftwareVersionsTest, ARestorationDoesNotStopAVersionThatSettled) {
  SoftwareVersions Versions;
  noteStored(Versions, setOf({{"1", 0}, {"2", 0}}), Retention, at(0s));
  dropStored(Versions);
  EXPECT_TRUE(mayBeginStream(Versions, "2"));
}

} // namespace
} // namespace galenaroute
