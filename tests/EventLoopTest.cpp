// Tests of the event loop's timers.

#include "process/EventLoop.h"

#include <array>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

// Guards against time limits that never end anything in a busy process.
TEST(EventLoopTest, TimersFireWhileHandlersOfIoAddTimers) {
  EventLoop Loop;
  std::array<int, 2> Pipe{};
  ASSERT_EQ(pipe(Pipe.data()), 0);
  // The pipe is never read, so each turn of the loop calls the handler.
  ASSERT_EQ(write(Pipe[1], "x", 1), 1);
  event *Readable = event_new(
      Loop.base(), Pipe[0], EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void *Self) {
        sigc::connection Added =
            static_cast<EventLoop *>(Self)->timers().after(1h, [] {});
        Added.disconnect();
      },
      &Loop);
  event_add(Readable, nullptr);
  bool HasFired = false;
  Loop.timers().after(10ms, [&] { HasFired = true; });
  EXPECT_TRUE(Loop.runUntil([&] { return HasFired; }, 1s));
  event_free(Readable);
  close(Pipe[0]);
  close(Pipe[1]);
}

} // namespace
} // namespace galenaroute
