// Tests that an exception in a callback of the event loop harms nothing but the
// event at hand.

#include "FakePlatform.h"
#include "RawSocket.h"
#include "connection/CallListener.h"
#include "connection/UpstreamPool.h"
#include "version/ObjectWatcher.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;

// Guards against a timer that ends the process, or stops the timers beside it.
TEST(CallbackGuardTest, TimersGoOnAfterAnException) {
  EventLoop Loop;
  int Thrown = 0;
  int Others = 0;
  const sigc::connection Throws = Loop.timers().every(5ms, [&] {
    ++Thrown;
    throw std::runtime_error("test");
  });
  const sigc::connection Counts = Loop.timers().every(5ms, [&] { ++Others; });
  EXPECT_TRUE(Loop.runUntil([&] { return Thrown > 3 && Others > 3; }, 1s));
}

// Guards against a request that ends the process, or is left without an end,
// when its handler throws.
TEST(CallbackGuardTest, ARequestWhoseHandlerThrowsEndsAlone) {
  EventLoop Loop;
  const SocketAddress At = freeAddress();
  CallListener Listener(Loop, At, CallerLimits{},
                        [](const std::shared_ptr<IncomingCall> &Call) {
                          if (Call->Head.Target == "/throw")
                            throw std::runtime_error("test");
                          Call->send(200, {}, "ok");
                        });
  RawSocket Bad(RawSocket::connectTo(At));
  RawSocket Good(RawSocket::connectTo(At));
  Bad.write("GET /throw HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(Loop.runUntil([&] { return Bad.hasEnded(); }, 1s));
  Good.write("GET /ok HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(Loop.runUntil([&] { return !Good.read().empty(); }, 1s));
}

// Guards against a call that waits for an answer whose handling has thrown.
TEST(CallbackGuardTest, AnAnswerThatCannotBeHandledEndsItsExchange) {
  EventLoop Loop;
  const SocketAddress At = freeAddress();
  CallListener Listener(Loop, At, CallerLimits{},
                        [](const std::shared_ptr<IncomingCall> &Call) {
                          Call->send(200, {}, "ok");
                        });
  UpstreamPool Pool(Loop);
  std::optional<UpstreamEnd> End;
  const auto Exchange =
      Pool.start(At, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", {},
                 {.OnHead = [](const HttpHead &) -> bool {
                    throw std::runtime_error("test");
                  },
                  .OnBody = [](std::string_view) {},
                  .OnEnd = [&](UpstreamEnd How) { End = How; }});
  EXPECT_TRUE(Loop.runUntil([&] { return End.has_value(); }, 1s));
  EXPECT_EQ(End, UpstreamEnd::Malformed);
  EXPECT_EQ(Pool.connections(At), 0U);
}

// Guards against a connection that is counted out twice, when the handler that
// throws has ended its exchange before, so that more are opened than allowed.
TEST(CallbackGuardTest, AConnectionIsForgottenOnce) {
  EventLoop Loop;
  const SocketAddress At = freeAddress();
  std::vector<std::shared_ptr<IncomingCall>> Open;
  CallListener Listener(Loop, At, CallerLimits{},
                        [&](const std::shared_ptr<IncomingCall> &Call) {
                          if (Call->Head.Target == "/throw")
                            Call->send(200, {}, "ok");
                          else
                            Open.push_back(Call);
                        });
  UpstreamPool Pool(Loop);
  const UpstreamExchangeEvents Idle = {
      .OnHead = [](const HttpHead &) { return true; },
      .OnBody = [](std::string_view) {},
      .OnEnd = [](UpstreamEnd) {}};
  const auto Kept =
      Pool.start(At, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n", {}, Idle);
  std::unique_ptr<UpstreamExchange> Thrown;
  bool HasThrown = false;
  UpstreamExchangeEvents Throws = Idle;
  Throws.OnHead = [&](const HttpHead &) -> bool {
    Thrown.reset();
    HasThrown = true;
    throw std::runtime_error("test");
  };
  Thrown = Pool.start(At, "GET /throw HTTP/1.1\r\nHost: h\r\n\r\n", {}, Throws);
  EXPECT_TRUE(Loop.runUntil([&] { return HasThrown && !Open.empty(); }, 1s));
  EXPECT_EQ(Pool.connections(At), 1U);
}

// Guards against a process that hears of no further change after an object that
// it could not apply.
TEST(CallbackGuardTest, AWatchGoesOnBesideAnObjectThatThrows) {
  EventLoop Loop;
  FakePlatform Api;
  std::set<std::string> Applied;
  ObjectWatcher Watcher(Loop, Api, "k", {},
                        {.OnObject = [&](const PlatformObject &Object) {
                          if (Object.Key.Name == "bad")
                            throw std::runtime_error("test");
                          Applied.insert(Object.Key.Name);
                        }});
  Api.Store->write({"k", "bad"});
  Api.Store->write({"k", "c"});
  Watcher.start();
  Api.drain(20);
  EXPECT_EQ(Applied, std::set<std::string>{"c"});
  Api.Store->write({"k", "bad"});
  Api.Store->write({"k", "d"});
  Api.drain(20);
  EXPECT_EQ(Applied, (std::set<std::string>{"c", "d"}));
}

} // namespace
} // namespace galenaroute
