// Stops a gateway gracefully under load and checks the responses to callers.

#include "GatewayFleet.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using testing_support::NoOrders;
using testing_support::NoStores;

/// A caller that sends one request in two parts on a new connection and reads
/// the response.
struct Caller {
  std::unique_ptr<RawSocket> Socket;
  TimePoint StartedAt;
  bool IsWhole = false; ///< The complete request has been written.
  static constexpr std::string_view First =
      "POST /a/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 4\r\n";
  static constexpr std::string_view Remainder = "\r\nbody";

  void step(TimePoint Now) {
    // Delay the second part, to simulate a slow network path.
    if (this->IsWhole || Now - this->StartedAt < 20ms)
      return;
    this->IsWhole = this->Socket->writeSome(Remainder) == Remainder.size();
  }
  bool hasWholeAnswer() {
    const std::string &Text = this->Socket->read();
    const std::size_t Head = Text.find("\r\n\r\n");
    const std::size_t Field = Text.find("Content-Length: ");
    return Head != std::string::npos && Field < Head &&
           Text.size() - Head - 4 ==
               static_cast<std::size_t>(std::stoul(Text.substr(Field + 16)));
  }
};

// Guards against dropping recently accepted requests without a response while a
// process stops under load.
TEST(PlannedStopTest, EveryRequestThatWasReadIsAnswered) {
  EventLoop Loop;
  const SocketAddress Upstream = freeAddress();
  std::vector<std::pair<TimePoint, std::shared_ptr<IncomingCall>>> Working;
  CallListener Server(Loop, Upstream, {},
                      [&](const std::shared_ptr<IncomingCall> &Call) {
                        Working.emplace_back(EventLoop::now() + 60ms, Call);
                      });
  testing_support::FakePlatform Platform;
  Platform.put({"config", "main"},
               json::parse(R"({"version":1,"routes":[{"name":"r","host":"h",
      "pathPrefix":"/a/","kind":"unsafe","timeoutMs":2000,
      "targetLatencyMs":200,"priority":1,"service":"d","maxAttempts":1,
      "public":true}],"services":[{"name":"d","maxConns":400}]})"),
               Platform::MustNotExist, [](const PlatformResult &) {});
  Platform.put({"servers", "d1"},
               {{"service", "d"},
                {"address", Upstream.toString()},
                {"zone", "z"},
                {"version", "1"},
                {"slots", 200},
                {"state", "ready"},
                {"sequence", 1},
                {"born", 1}},
               Platform::MustNotExist, [](const PlatformResult &) {});
  const platform::ObjectReader Reader;
  const platform::CallHeaders Codec;
  NoStores Feed;
  NoOrders Orders;
  GatewaySettings Settings;
  Settings.NodeId = "n1";
  Settings.Zone = "z";
  Settings.Callers = freeAddress();
  Settings.Gossip = freeAddress();
  ForwardGateway Gateway(Loop, Settings,
                         {.Api = Platform,
                          .Source = Reader,
                          .Codec = Codec,
                          .Feed = Feed,
                          .Orders = Orders});
  bool HasStopped = false;
  Gateway.Stopped.connect([&] { HasStopped = true; });
  Gateway.start();

  std::vector<Caller> Callers;
  std::size_t Refused = 0; ///< Connections that were not accepted.
  bool IsLoaded = false;
  const sigc::connection Steps = Loop.timers().every(5ms, [&] {
    Platform.drain(20);
    const TimePoint Now = EventLoop::now();
    std::erase_if(Working, [&](auto &Each) {
      if (Now < Each.first)
        return false;
      Each.second->send(200, {{"Request-Id", "r"}, {"Server-Stamp", "x"}},
                        "answer");
      return true;
    });
    for (Caller &Each : Callers)
      Each.step(Now);
    if (!IsLoaded)
      return;
    for (int I = 0; I < 2; ++I)
      try {
        Caller Next;
        Next.Socket =
            std::make_unique<RawSocket>(RawSocket::connectTo(Settings.Callers));
        Next.StartedAt = Now;
        Next.Socket->writeSome(Caller::First);
        Callers.push_back(std::move(Next));
      } catch (const std::runtime_error &) {
        ++Refused;
      }
  });
  ASSERT_TRUE(Loop.runUntil([&] { return Gateway.isReady(); }, 3s));
  IsLoaded = true;
  Loop.runUntil([] { return false; }, 300ms);
  Gateway.drain();
  EXPECT_FALSE(Gateway.isReady());
  ASSERT_TRUE(Loop.runUntil([&] { return HasStopped; }, 9s));
  IsLoaded = false;
  Loop.runUntil([] { return false; }, 200ms);

  std::size_t Served = 0;
  std::size_t RetryLater = 0;
  std::size_t Cut = 0;
  for (Caller &Each : Callers) {
    if (Each.hasWholeAnswer()) {
      const std::string &Text = Each.Socket->read();
      Served += Text.starts_with("HTTP/1.1 200 ");
      RetryLater += Text.starts_with("HTTP/1.1 503 ") &&
                    Text.find("Retry-After: ") != std::string::npos;
    } else if (Each.IsWhole) {
      ++Cut;
    }
  }
  EXPECT_EQ(Cut, 0U) << "of " << Callers.size();
  EXPECT_EQ(Served + RetryLater, Callers.size());
  EXPECT_GT(Served, 200U);
  EXPECT_GT(Refused, 0U) << "callers still connected when the process ended";
}

} // namespace
} // namespace galenaroute
