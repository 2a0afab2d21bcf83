// Tests of the records of where streams began, and of the decisions on them.

#include "request/StreamOrigins.h"

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

} // namespace
} // namespace galenaroute
