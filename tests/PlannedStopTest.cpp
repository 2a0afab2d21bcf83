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

class PlannedStopTest : public testing::Test {
protected:
  /// Starts a gateway before an upstream with \p Slots slots whose calls take
  /// at most \p Timeout.
  void start(Duration Timeout, int Slots, Duration Grace) {
    json Config = json::parse(R"({"version":1,"routes":[{"name":"r","host":"h",
      "pathPrefix":"/a/","kind":"unsafe",
      "targetLatencyMs":200,"priority":1,"service":"d","maxAttempts":1,
      "public":true}],"services":[{"name":"d","maxConns":400}]})");
    Config["routes"][0]["timeoutMs"] = toMilliseconds(Timeout);
    this->Api.put({"config", "main"}, Config, Platform::MustNotExist,
                  [](const PlatformResult &) {});
    this->Api.put({"servers", "d1"},
                  {{"service", "d"},
                   {"address", this->Upstream.toString()},
                   {"zone", "z"},
                   {"version", "1"},
                   {"slots", Slots},
                   {"state", "ready"},
                   {"sequence", 1},
                   {"born", 1}},
                  Platform::MustNotExist, [](const PlatformResult &) {});
    this->Settings.NodeId = "n1";
    this->Settings.Zone = "z";
    this->Settings.Callers = freeAddress();
    this->Settings.Gossip = freeAddress();
    this->Settings.Grace = Grace;
    this->Gateway =
        std::make_unique<ForwardGateway>(this->Loop, this->Settings,
                                         GatewayParts{.Api = this->Api,
                                                      .Source = this->Reader,
                                                      .Codec = this->Codec,
                                                      .Feed = this->Feed,
                                                      .Orders = this->Orders});
    this->Gateway->Stopped.connect([this] { this->HasStopped = true; });
    this->Gateway->start();
  }

  EventLoop Loop;
  const SocketAddress Upstream = freeAddress();
  testing_support::FakePlatform Api;
  const platform::ObjectReader Reader{};
  const platform::CallHeaders Codec{};
  NoStores Feed;
  NoOrders Orders;
  GatewaySettings Settings;
  std::unique_ptr<ForwardGateway> Gateway;
  bool HasStopped = false;
};

// Guards against dropping recently accepted requests without a response while a
// process stops under load.
TEST_F(PlannedStopTest, EveryRequestThatWasReadIsAnswered) {
  std::vector<std::pair<TimePoint, std::shared_ptr<IncomingCall>>> Working;
  CallListener Server(this->Loop, this->Upstream, {},
                      [&](const std::shared_ptr<IncomingCall> &Call) {
                        Working.emplace_back(EventLoop::now() + 60ms, Call);
                      });
  this->start(2s, 200, 8s);

  std::vector<Caller> Callers;
  std::size_t Refused = 0; ///< Connections that were not accepted.
  bool IsLoaded = false;
  const sigc::connection Steps = this->Loop.timers().every(5ms, [&] {
    this->Api.drain(20);
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
        Next.Socket = std::make_unique<RawSocket>(
            RawSocket::connectTo(this->Settings.Callers));
        Next.StartedAt = Now;
        Next.Socket->writeSome(Caller::First);
        Callers.push_back(std::move(Next));
      } catch (const std::runtime_error &) {
        ++Refused;
      }
  });
  ASSERT_TRUE(
      this->Loop.runUntil([&] { return this->Gateway->isReady(); }, 3s));
  IsLoaded = true;
  this->Loop.runUntil([] { return false; }, 300ms);
  this->Gateway->drain();
  EXPECT_FALSE(this->Gateway->isReady());
  ASSERT_TRUE(this->Loop.runUntil([&] { return this->HasStopped; }, 9s));
  IsLoaded = false;
  this->Loop.runUntil([] { return false; }, 200ms);

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

// Guards against closing connections without an answer when calls last longer
// than the time that a stop may take.
TEST_F(PlannedStopTest, CallsThatOutlastTheStopGetAnAnswer) {
  std::vector<std::shared_ptr<IncomingCall>> Working;
  CallListener Server(this->Loop, this->Upstream, {},
                      [&](const std::shared_ptr<IncomingCall> &Call) {
                        Working.push_back(Call);
                      });
  this->start(20s, 200, 1500ms);
  const sigc::connection Steps =
      this->Loop.timers().every(5ms, [&] { this->Api.drain(20); });
  ASSERT_TRUE(
      this->Loop.runUntil([&] { return this->Gateway->isReady(); }, 3s));
  std::vector<Caller> Callers(20);
  for (Caller &Each : Callers) {
    Each.Socket = std::make_unique<RawSocket>(
        RawSocket::connectTo(this->Settings.Callers));
    Each.Socket->write(Caller::First);
    Each.Socket->write(Caller::Remainder);
  }
  ASSERT_TRUE(this->Loop.runUntil(
      [&] { return Working.size() == Callers.size(); }, 2s));
  this->Gateway->drain();
  EXPECT_TRUE(this->Loop.runUntil([&] { return this->HasStopped; }, 1500ms))
      << "the process would be killed";
  std::size_t Answered = 0;
  for (Caller &Each : Callers)
    Answered +=
        Each.hasWholeAnswer() && Each.Socket->read().starts_with("HTTP/1.1 50");
  EXPECT_EQ(Answered, Callers.size());
}

} // namespace
} // namespace galenaroute
