// Tests of the harness for process tests.

#include "process/ProcessHarness.h"

#include <csignal>
#include <gtest/gtest.h>

namespace galenaroute::testing_support {
namespace {

using namespace std::chrono_literals;

// Guards against tests that leave programs behind or count a frozen program
// as ended.
TEST(ProcessHarnessTest, FreezesContinuesAndEndsPrograms) {
  pid_t Id = 0;
  {
    ProcessHarness Harness(GALENAROUTE_BUILD_DIR);
    Program &Service = Harness.startEmulator("service", {});
    Id = Service.id();
    Service.signal(SIGSTOP);
    EXPECT_EQ(Harness
                  .call(HttpCallBuilder(Service.address())
                            .get("/x")
                            .idleTimeout(100ms)
                            .build())
                  .End,
              HttpEnd::TimedOut);
    EXPECT_TRUE(Service.isRunning());
    Service.signal(SIGCONT);
    EXPECT_TRUE(Harness.get(Service.address(), "/x").isSuccess());
    Program &Other = Harness.startEmulator("weights", {});
    EXPECT_EQ(Other.stop(), 0);
    Service.signal(SIGSTOP);
  }
  EXPECT_EQ(kill(Id, 0), -1);
}

} // namespace
} // namespace galenaroute::testing_support
