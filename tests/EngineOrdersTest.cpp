// Tests of orders to engines whose reports cannot be used.

#include "RawSocket.h"
#include "connection/CallListener.h"
#include "platform/EngineCalls.h"

#include <gtest/gtest.h>

namespace galenaroute::platform {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

TEST(EngineReportTest, ReadsWhatAnEngineReports) {
  const EngineReport Report = engineReportFromJson(json::parse(
      R"({"busy":true,"sequence":3,"models":[{"name":"m","version":5}]})"));
  EXPECT_TRUE(Report.IsBusy);
  EXPECT_EQ(Report.WeightVersion, 5U);
  EXPECT_EQ(Report.Sequence, 3U);
  EXPECT_FALSE(engineReportFromJson(json::object()).Sequence);
}

/// An engine that answers reports with a given text and counts orders.
class ReportingEngine {
public:
  ReportingEngine(EventLoop &Loop, std::string Report)
      : Report(std::move(Report)), Address(freeAddress()),
        Listener(Loop, this->Address, CallerLimits{},
                 [this](const std::shared_ptr<IncomingCall> &Call) {
                   const bool IsOrder = Call->Head.Target == "/api/order";
                   this->Orders += IsOrder;
                   Call->send(IsOrder ? 202 : 200, {}, this->Report);
                 }) {}

  std::string Report;
  SocketAddress Address;
  CallListener Listener;
  int Orders = 0;
};

// Guards against a report with a field of another type, which threw out of a
// callback of the event loop and ended the process.
TEST(EngineOrdersTest, AnUnreadableReportFailsOnlyItsOrder) {
  EventLoop Loop;
  HttpClient Client(Loop);
  for (const char *Report :
       {R"({"busy":"yes"})", R"({"busy":1})", R"({"busy":null})",
        R"({"sequence":"3"})", R"({"sequence":-3})", R"({"models":[{}]})",
        R"({"models":[{"version":"x"}]})", R"({"models":{"a":1}})", "[]",
        R"("busy")", "17", "{", "", "\xff"}) {
    EXPECT_THROW(engineReportFromJson(json::parse(Report)), std::exception)
        << Report;
    ReportingEngine Engine(Loop, Report);
    const UpstreamTable Upstreams({}, [](const UpstreamEntry &) {
      return UpstreamTable::ConnectionCapacity{};
    });
    EngineOrders Orders(Client, "n1");
    Orders.attach(Upstreams);
    std::optional<OrderResult> Result;
    Orders.send({.Upstream = "e",
                 .Address = Engine.Address,
                 .Fence = 1,
                 .WeightVersion = "2",
                 .Model = "m",
                 .Adapters = {}},
                [&](OrderResult Given) { Result = Given; });
    ASSERT_TRUE(Loop.runUntil([&] { return Result.has_value(); }, 2s))
        << Report;
    EXPECT_EQ(*Result, OrderResult::Failed) << Report;
    EXPECT_EQ(Engine.Orders, 0) << Report;
  }
}

} // namespace
} // namespace galenaroute::platform
