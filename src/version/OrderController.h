// Rolls out the weights that the configuration declares to the upstreams of
// each model service. Only the holder of the service's lease in the platform
// sends orders.
//
//   OrderController Controller = OrderControllerBuilder(Loop, Platform, Orders)
//                                    .self("entry-1#7")
//                                    .preferred([&](auto Service) { ... })
//                                    .events(Events)
//                                    .build();
//   Controller->setConfiguration(Current);
//
// Only the daemon that is preferred for a service contends for its lease, so
// that the platform sees one renewal per service instead of one per daemon.
//
// Guarantees: orders are sent only while the lease is held; before it sends
// orders to upstreams that do not check fencing numbers, a new holder waits
// until a whole lease term has passed since a predecessor could have sent one;
// a predecessor whose lease was idle sent none. Limitation: a holder that is
// paused for longer than the term after it checked its lease may send one
// outdated order to such an upstream; the new holder sees the effect in its
// next observation and corrects it.

#ifndef GALENAROUTE_VERSION_ORDERCONTROLLER_H
#define GALENAROUTE_VERSION_ORDERCONTROLLER_H

#include "process/EventLoop.h"
#include "process/Timeline.h"
#include "version/Lease.h"
#include "version/UpstreamOrders.h"

namespace galenaroute {

class OrderController {
public:
  using Preferred = std::function<bool(std::string_view Service)>;

  ~OrderController();
  OrderController(const OrderController &) = delete;
  OrderController &operator=(const OrderController &) = delete;

  /// Rolls out the weights of \p Next from now on.
  void setConfiguration(ConfigurationPtr Next);

  /// Resigns all leases and sends no more orders.
  void resign();

  /// Returns whether no lease is held and no call about one is pending.
  bool hasResigned() const;

  /// Returns whether this process currently holds the lease of \p Service.
  bool holds(std::string_view Service) const;

  /// Returns the upstreams of \p Service that should get no new calls now.
  std::vector<std::string> withheld(std::string_view Service) const;

  /// Runs one step; called by the timer and by tests.
  void tick(TimePoint Now);

private:
  friend class OrderControllerBuilder;
  struct ServiceState {
    explicit ServiceState(const LeaseSettings &Settings) : Lease(Settings) {}
    LeaseState Lease;
    RolloutState Rollout;
    bool WasHeld = false;
    std::optional<TimePoint> LastOrderAt;
    std::vector<std::string> Withheld; ///< As of the last step, sorted.
  };

  OrderController(EventLoop &Loop, Platform &Store, UpstreamOrders &Orders,
                  LeaseSettings Settings, RolloutSettings RolloutTimes,
                  Duration Period, Preferred IsPreferred, Preferred IsStandby,
                  Timeline *Events);
  void dropSuspendedLeases(TimePoint Now);
  void updateEra(const std::string &Service, LeaseState &Lease, TimePoint Now);
  LeaseInterest interestIn(const std::string &Service, TimePoint Now);
  void stepLease(const std::string &Service, TimePoint Now);
  void onLeaseResult(const std::string &Service);
  void stepRollout(const ServiceConfig &Service, TimePoint Now);
  void observeAll(const ServiceConfig &Service);
  void recordWithheld(ServiceState &State);
  ServiceState *find(const std::string &Service);
  void record(std::string_view Kind, std::string_view Detail);

  Platform &Store;
  UpstreamOrders &Orders;
  LeaseSettings Settings;
  RolloutSettings RolloutTimes;
  Preferred IsPreferred;
  Preferred IsStandby;
  Timeline *Events;
  ConfigurationPtr Current;
  std::map<std::string, ServiceState> Services;
  bool Resigned = false;
  SuspensionDetector Suspension;
  // Expires with the controller, so that late callbacks do nothing.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  sigc::connection Timer;
};

class OrderControllerBuilder {
public:
  OrderControllerBuilder(EventLoop &Loop, Platform &Store,
                         UpstreamOrders &Orders)
      : Loop(Loop), Store(Store), Orders(Orders) {}

  /// Sets the lease holder's name; must be unique for each start of a process.
  OrderControllerBuilder &self(std::string Self) {
    this->Settings.Self = std::move(Self);
    return *this;
  }
  OrderControllerBuilder &lease(Duration Term, Duration RenewEvery,
                                Duration Margin) {
    this->Settings.Term = Term;
    this->Settings.RenewEvery = RenewEvery;
    this->Settings.Margin = Margin;
    return *this;
  }
  /// Sets the time between two steps.
  OrderControllerBuilder &period(Duration Time) {
    this->Period = Time;
    return *this;
  }
  /// Sets how long an upstream is drained before its order: for \p Min, and
  /// then until its calls have ended, for \p Max in all.
  OrderControllerBuilder &drainTimes(Duration Min, Duration Max, int PerLoad) {
    this->RolloutTimes.MinDrain = Min;
    this->RolloutTimes.MaxDrain = Max;
    this->RolloutTimes.DrainingPerLoad = PerLoad;
    return *this;
  }
  /// Sets whether this daemon is the standby that acquires the lease when the
  /// preferred daemon fails. A standby reads the lease all the time, since it
  /// must have seen it unchanged for a term.
  OrderControllerBuilder &standby(OrderController::Preferred IsStandby) {
    this->IsStandby = std::move(IsStandby);
    return *this;
  }
  /// Sets whether this daemon contends for the lease of a service.
  OrderControllerBuilder &preferred(OrderController::Preferred IsPreferred) {
    this->IsPreferred = std::move(IsPreferred);
    return *this;
  }
  OrderControllerBuilder &events(Timeline &Events) {
    this->Events = &Events;
    return *this;
  }
  std::unique_ptr<OrderController> build();

private:
  EventLoop &Loop;
  Platform &Store;
  UpstreamOrders &Orders;
  LeaseSettings Settings;
  RolloutSettings RolloutTimes;
  Duration Period = std::chrono::seconds(1);
  OrderController::Preferred IsStandby = [](std::string_view) { return false; };
  OrderController::Preferred IsPreferred = [](std::string_view) {
    return true;
  };
  Timeline *Events = nullptr;
};

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_ORDERCONTROLLER_H
