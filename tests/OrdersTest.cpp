// Tests of weight rollouts: first the decisions, then the controller with
// fakes.

#include "FakePlatform.h"
#include "version/OrderController.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

ServiceConfig serviceOf(int Upstreams, int MaxLoads) {
  ServiceConfig Result;
  Result.Name = "steward-models";
  Result.Model = "steward-7b";
  Result.WeightVersion = "v2";
  Result.MaxConcurrentLoads = MaxLoads;
  for (int I = 0; I < Upstreams; ++I)
    Result.Upstreams.push_back(
        {"steward-" + std::to_string(I),
         {"127.0.0.1", static_cast<std::uint16_t>(9000 + I)},
         "derwent"});
  return Result;
}

/// Fake engines that take some time to load weights.
struct Engines {
  struct Engine {
    std::string Version = "v1";
    std::string Next;
    TimePoint Ready;
  };
  std::map<std::string, Engine> All;

  UpstreamObservation observe(const std::string &Name, TimePoint Now) {
    Engine &Each = this->All[Name];
    if (!Each.Next.empty() && Now >= Each.Ready) {
      Each.Version = Each.Next;
      Each.Next.clear();
    }
    return {Each.Version, {}, !Each.Next.empty()};
  }

  int loading(TimePoint Now) {
    int Result = 0;
    for (auto &[Name, Each] : this->All)
      Result += this->observe(Name, Now).Loading ? 1 : 0;
    return Result;
  }
};

// Guards against exceeding the configured number of concurrent loads when
// responses are lost and loads are slow, and against a rollout that never ends.
RC_GTEST_PROP(OrdersTest, KeepsTheLoadLimitAndEndsTheRollout, ()) {
  const int Count = *rc::gen::inRange(1, 12);
  const int Limit = *rc::gen::inRange(1, 4);
  const ServiceConfig Service = serviceOf(Count, Limit);
  RolloutState State;
  Engines Fleet;
  TimePoint Now{1h};
  // Faults stop after half of the steps, so that the rollout can complete.
  constexpr int Steps = 600;
  for (int Step = 0; Step < Steps; ++Step) {
    const bool Faults = Step < Steps / 2;
    Now += 500ms;
    for (const UpstreamConfig &Each : Service.Upstreams)
      if (!Faults || *rc::gen::inRange(0, 4) != 0)
        onObserved(State, Each.Name, Fleet.observe(Each.Name, Now), Now);
    for (const Order &Each : planOrders(Service, State, 1, Now)) {
      const int Fate = Faults ? *rc::gen::inRange(0, 4) : 3;
      if (Fate == 0) {
        onOrderResult(State, Each.Upstream, OrderResult::Failed, Now);
        continue;
      }
      auto &Engine = Fleet.All[Each.Upstream];
      Engine.Next = Each.WeightVersion;
      Engine.Ready = Now + Milliseconds(*rc::gen::inRange(500, 8000));
      onOrderResult(State, Each.Upstream,
                    Fate == 1 ? OrderResult::Unknown : OrderResult::Accepted,
                    Now);
    }
    RC_ASSERT(Fleet.loading(Now) <= Limit);
  }
  for (const UpstreamConfig &Each : Service.Upstreams)
    RC_ASSERT(Fleet.observe(Each.Name, Now).WeightVersion == "v2");
}

TEST(OrdersTest, StopsAfterAFencedAnswer) {
  const ServiceConfig Service = serviceOf(3, 1);
  RolloutState State;
  TimePoint Now{1h};
  for (const UpstreamConfig &Each : Service.Upstreams)
    onObserved(State, Each.Name, {"v1", {}, false}, Now);
  ASSERT_EQ(planOrders(Service, State, 1, Now).size(), 1U);
  onOrderResult(State, "steward-0", OrderResult::Fenced, Now);
  EXPECT_TRUE(planOrders(Service, State, 1, Now + 1s).empty());
}

class FakeUpstreamOrders : public UpstreamOrders {
public:
  void observe(const SocketAddress &Address, OnObservation Done) override {
    this->Pending.push_back([this, Address, Done] {
      Done(UpstreamObservation{this->Versions[Address.Port], {}, false});
    });
  }
  void send(const Order &Order, OnAnswer Done) override {
    this->Sent.push_back(Order);
    this->Versions[Order.Address.Port] = Order.WeightVersion;
    this->Pending.push_back([Done] { Done(OrderResult::Accepted); });
  }
  void drain() {
    const auto Calls = std::move(this->Pending);
    this->Pending.clear();
    for (const auto &Each : Calls)
      Each();
  }

  std::vector<Order> Sent;
  std::map<std::uint16_t, std::string> Versions;
  std::vector<std::function<void()>> Pending;
};

class OrderControllerTest : public testing::Test {
protected:
  std::unique_ptr<OrderController> make(const std::string &Self) {
    auto Result = OrderControllerBuilder(this->Loop, this->Store, this->Orders)
                      .self(Self)
                      .lease(300ms, 50ms, 50ms)
                      .build();
    auto Config = std::make_shared<Configuration>();
    Config->Services["steward-models"] = this->Service;
    Result->setConfiguration(Config);
    return Result;
  }

  /// Runs the controller in real time, since its callbacks read the clock.
  void run(OrderController &Controller, Duration Length) {
    const TimePoint End = EventLoop::now() + Length;
    while (EventLoop::now() < End) {
      Controller.tick(EventLoop::now());
      this->Store.drain();
      this->Orders.drain();
      this->Loop.runUntil([] { return false; }, 5ms);
    }
  }

  EventLoop Loop;
  testing_support::FakePlatform Store;
  FakeUpstreamOrders Orders;
  ServiceConfig Service = serviceOf(2, 2);
};

TEST_F(OrderControllerTest, SendsOrdersWithItsFence) {
  this->Service.ChecksFence = true;
  auto Controller = this->make("entry-1#1");
  this->run(*Controller, 100ms);
  ASSERT_EQ(this->Orders.Sent.size(), 2U);
  EXPECT_EQ(this->Orders.Sent[0].Fence, 1U);
  EXPECT_EQ(this->Orders.Sent[0].WeightVersion, "v2");
}

// Guards against orders that interleave with those of a previous holder still
// within its term, at upstreams that do not check the fencing number.
TEST_F(OrderControllerTest, WaitsForThePreviousTermWithoutFencing) {
  this->Service.ChecksFence = false;
  this->Store.put({"lease", "steward-models"},
                  toJson(LeaseRecord{"other", 4, 1}), Platform::MustNotExist,
                  [](const PlatformResult &) {});
  this->Store.drain();
  auto Controller = this->make("entry-1#1");
  // Acquiring the lease takes one term, and the wait for the predecessor
  // another.
  this->run(*Controller, 500ms);
  EXPECT_TRUE(this->Orders.Sent.empty());
  this->run(*Controller, 400ms);
  ASSERT_FALSE(this->Orders.Sent.empty());
  EXPECT_EQ(this->Orders.Sent[0].Fence, 5U);
}

// Guards against a wait for the orders of a holder that sent its last one long
// ago: weights named after a planned restart were ordered a term late.
TEST_F(OrderControllerTest, OrdersAtOnceAfterAnIdleHolderResigned) {
  auto First = this->make("entry-1#1");
  this->run(*First, 600ms);
  ASSERT_EQ(this->Orders.Sent.size(), 2U);
  First->resign();
  this->Store.drain();
  this->Service.WeightVersion = "v3";
  auto Next = this->make("entry-2#1");
  this->run(*Next, 200ms);
  EXPECT_EQ(this->Orders.Sent.size(), 4U);
}

// Guards against a rollout that misses its time limit when the holder is frozen
// before its first order: the successor used to wait a term to acquire the
// lease and almost another one for orders that had not been sent.
TEST_F(OrderControllerTest, OrdersSoonAfterAHolderFrozenBeforeItsFirstOrder) {
  auto Frozen = this->make("entry-1#1");
  // Holds the lease, but has observed no upstream yet.
  for (int I = 0; I < 3; ++I) {
    Frozen->tick(EventLoop::now());
    this->Store.drain();
  }
  ASSERT_TRUE(Frozen->holds("steward-models"));
  auto Next = this->make("entry-2#1");
  this->run(*Next, 400ms);
  EXPECT_EQ(this->Orders.Sent.size(), 2U);
}

// Guards against orders under a lease that a restoration of the platform took
// away, and against a rollout that does not go on afterwards.
TEST_F(OrderControllerTest, OrdersWithAFenceOfTheNewEraAfterARestoration) {
  this->Store.Store->Era = 1;
  this->Store.get({"config", "main"}, [](const PlatformResult &) {});
  this->Store.drain();
  auto Controller = this->make("entry-1#1");
  this->run(*Controller, 900ms);
  ASSERT_EQ(this->Orders.Sent.size(), 2U);
  EXPECT_EQ(this->Orders.Sent.back().Fence, FencesPerEra + 1);
  this->Store.Store->restore();
  this->Service.WeightVersion = "v3";
  auto Config = std::make_shared<Configuration>();
  Config->Services["steward-models"] = this->Service;
  Controller->setConfiguration(Config);
  this->run(*Controller, 300ms);
  ASSERT_EQ(this->Orders.Sent.size(), 4U);
  for (std::size_t I = 2; I < 4; ++I)
    EXPECT_EQ(this->Orders.Sent[I].Fence, 2 * FencesPerEra + 1) << I;
}

TEST_F(OrderControllerTest, SendsNothingDuringAPlatformOutage) {
  this->Store.Outage = true;
  auto Controller = this->make("entry-1#1");
  this->run(*Controller, 150ms);
  EXPECT_TRUE(this->Orders.Sent.empty());
}

} // namespace
} // namespace galenaroute
