// Tests of how listeners share the file descriptors of the process.

#include "process/Descriptors.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <sys/resource.h>

namespace galenaroute {
namespace {

// Guards against callers that use up the descriptors which upstreams and the
// platform need.
TEST(DescriptorsTest, ListenersLeaveDescriptorsToUpstreamsAndThePlatform) {
  for (std::size_t Available = 64; Available < 20000; Available += 7) {
    const DescriptorShares Shares = shareDescriptors(Available);
    const std::size_t Listeners =
        Shares.Calls.Served + Shares.Calls.Refused +
        3 * (Shares.Endpoint.Served + Shares.Endpoint.Refused);
    EXPECT_LE(Listeners + std::min<std::size_t>(700, Available / 6), Available)
        << Available;
    EXPECT_GT(Shares.Calls.Served, 0U);
  }
  EXPECT_EQ(shareDescriptors(4100).Calls.Served, 2900U);
}

// Guards against a limit on connections above what the process may open.
TEST(DescriptorsTest, TheLimitOfTheProcessCountsIfItIsLower) {
  rlimit Before{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &Before), 0);
  if (Before.rlim_max != RLIM_INFINITY) {
    EXPECT_EQ(reserveDescriptors(static_cast<std::size_t>(Before.rlim_max) + 1),
              Before.rlim_max);
    setrlimit(RLIMIT_NOFILE, &Before);
  }

  // A lower soft limit is raised.
  rlimit Lower = Before;
  Lower.rlim_cur = 256;
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &Lower), 0);
  EXPECT_EQ(reserveDescriptors(300), 300U);
  rlimit After{};
  getrlimit(RLIMIT_NOFILE, &After);
  EXPECT_EQ(After.rlim_cur, 300U);
  setrlimit(RLIMIT_NOFILE, &Before);
}

} // namespace
} // namespace galenaroute
