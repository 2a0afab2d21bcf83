// Tests of the records of where streams began, and of the decisions on them.

#include "request/StreamOrigins.h"

#include "version/SoftwareVersions.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

const StreamOrigin First{"s", "1"};
const StreamOrigin Second{"s", "2"};

// Guards against a caller that reaches the stream of another customer, also by
// names that run together.
TEST(StreamOriginsTest, KeysDifferByCustomerAndAttempt) {
  EXPECT_EQ(streamKey("c", "r1"), streamKey("c", "r1"));
  EXPECT_NE(streamKey("c", "r1"), streamKey("c", "r2"));
  EXPECT_NE(streamKey("c", "r1"), streamKey("d", "r1"));
  EXPECT_NE(streamKey("c", "1r"), streamKey("c1", "r"));
}

// Guards against a stream that is joined although its records do not agree.
TEST(StreamOriginsTest, RecordsThatDoNotAgreeAreNotUsed) {
  StreamOrigins Streams;
  Streams.noteBegun(7, First, {});
  EXPECT_EQ(Streams.find(7), First);
  Streams.add(7, First, {});
  EXPECT_EQ(Streams.find(7), First);
  Streams.add(7, Second, {});
  EXPECT_EQ(Streams.find(7), std::nullopt);
}

// Guards against records that are dropped while callers may still come, and
// against those of whole streams that fill the store.
TEST(StreamOriginsTest, BrokenStreamsAreKeptForLonger) {
  StreamOrigins Streams;
  const TimePoint Now;
  for (const StreamKey Key : {1, 2, 3})
    Streams.noteBegun(Key, First, Now);
  Streams.noteEnded(1, /*IsWhole=*/true, Now);
  Streams.noteEnded(2, /*IsWhole=*/false, Now);
  Streams.expire(Now + StreamOrigins::WholeRetention);
  EXPECT_FALSE(Streams.find(1));
  EXPECT_TRUE(Streams.find(2));
  Streams.expire(Now + StreamOrigins::Retention);
  EXPECT_FALSE(Streams.find(2));
  EXPECT_TRUE(Streams.find(3)) << "it is still forwarded";
}

// Guards against records without bound.
TEST(StreamOriginsTest, RecordsAreBounded) {
  StreamOrigins Streams;
  for (StreamKey Key = 0; Key < StreamOrigins::DefaultMaxRecords; ++Key)
    ASSERT_TRUE(Streams.noteBegun(Key, First, {}));
  EXPECT_FALSE(Streams.noteBegun(StreamOrigins::DefaultMaxRecords, First, {}));
  EXPECT_TRUE(Streams.noteBegun(0, First, {}));
  EXPECT_EQ(Streams.records().size(), StreamOrigins::DefaultMaxRecords);
}

// Guards against a call that goes on without an origin, waits for one without
// end, or is refused before the last records can have been stored.
TEST(StreamOriginsTest, AnUnknownOriginIsListedTwiceAndThenRefused) {
  EXPECT_EQ(nextOriginStep({.IsNamed = true, .IsFound = true}),
            OriginStep::GoOn);
  EXPECT_EQ(nextOriginStep({.IsNamed = false}), OriginStep::Refuse);
  EXPECT_EQ(nextOriginStep({.IsNamed = true}), OriginStep::List);
  EXPECT_EQ(nextOriginStep({.IsNamed = true, .Lists = 1}),
            OriginStep::ListLater);
  EXPECT_EQ(nextOriginStep({.IsNamed = true, .Lists = 2}), OriginStep::Refuse);
  EXPECT_EQ(
      nextOriginStep({.IsNamed = true, .Lists = 1, .HasListFailed = true}),
      OriginStep::Refuse);
}

// Guards against a service that counts as one of a single version although the
// registry or the platform names another one.
TEST(SoftwareVersionsTest, StoredAndRegisteredVersionsCount) {
  const TimePoint Now;
  SoftwareVersions Versions;
  EXPECT_EQ(onlyVersion(Versions), std::nullopt);
  noteRegistered(Versions, "1", Now);
  EXPECT_EQ(onlyVersion(Versions), "1");
  noteStored(Versions, {"1", "2"}, 60s, Now);
  EXPECT_EQ(onlyVersion(Versions), std::nullopt);
  EXPECT_EQ(versionsToStore(Versions, true, 60s, Now),
            (std::set<std::string>{"1", "2"}));
}

// Guards against a version that is dropped while its streams may be taken up,
// or by a process that cannot see the registry.
TEST(SoftwareVersionsTest, AVersionIsDroppedOnceItsStreamsHaveEnded) {
  const TimePoint Now;
  SoftwareVersions Versions;
  noteRegistered(Versions, "1", Now);
  noteStored(Versions, {"1"}, 60s, Now);
  noteRegistered(Versions, "2", Now + 50s);
  const std::set<std::string> Both{"1", "2"};
  EXPECT_EQ(versionsToStore(Versions, true, 60s, Now + 60s), Both);
  EXPECT_EQ(versionsToStore(Versions, true, 60s, Now + 61s),
            std::set<std::string>{"2"});
  EXPECT_EQ(versionsToStore(Versions, false, 60s, Now + 61s), Both);
}

// Guards against two gateways of which one stores again what the other dropped.
TEST(SoftwareVersionsTest, AVersionThatAnotherGatewayDroppedIsNotStoredAgain) {
  const TimePoint Now;
  SoftwareVersions Versions;
  noteStored(Versions, {"1", "2"}, 60s, Now);
  noteRegistered(Versions, "2", Now);
  noteStored(Versions, {"2"}, 60s, Now + 1s);
  EXPECT_EQ(onlyVersion(Versions), "2");
  EXPECT_EQ(versionsToStore(Versions, true, 60s, Now + 1s),
            std::set<std::string>{"2"});
}

// Guards against a restoration of the platform that hides a version.
TEST(SoftwareVersionsTest, VersionsAreStoredAgainAfterARestoration) {
  const TimePoint Now;
  SoftwareVersions Versions;
  noteStored(Versions, {"1", "2"}, 60s, Now);
  dropStored(Versions, Now);
  EXPECT_EQ(onlyVersion(Versions), std::nullopt);
  EXPECT_EQ(versionsToStore(Versions, true, 60s, Now),
            (std::set<std::string>{"1", "2"}));
}

} // namespace
} // namespace galenaroute
