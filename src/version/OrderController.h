// Brings the upstreams of each model service to the weights that the
// configuration declares, under a lease of the service in the platform.
//
//   OrderController Controller = OrderControllerBuilder(Loop, Platform, Orders)
//                                    .self("entry-1#7")
//                                    .preferred([&](auto Service) { ... })
//                                    .events(Events)
//                                    .build();
//   Controller->setConfiguration(Current);
//
// Only the daemon that is preferred for a service asks for its lease, so that
// the platform sees one renewal for each service and not one for each daemon.
// Guarantees: orders are sent only while the lease is held; towards upstreams
// that do not check fencing numbers, a new holder first waits until a whole
// lease term has passed since its predecessor could have sent one. What remains
// possible: a holder that is paused after it checked its lease, for longer than
// the term, may send one old order to such an upstream; the new holder sees it
// in the next observation and corrects it.

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

  /// Follows \p Next from now on.
  void setConfiguration(ConfigurationPtr Next);

  /// Gives up all leases; sends nothing more.
  void resign();

  /// Whether this process holds the lease of \p Service now.
  bool holds(std::string_view Service) const;

  /// Returns the upstreams of \p Service that should get no new work now.
  std::vector<std::string> withheld(std::string_view Service) const;

  /// Decides and acts once; the timer calls it, and so do tests.
  void tick(TimePoint Now);

private:
  friend class OrderControllerBuilder;
  struct ServiceState {
    explicit ServiceState(const LeaseSettings &Settings) : Lease(Settings) {}
    LeaseState Lease;
    RolloutState Rollout;
    bool WasHeld = false;
  };

  OrderController(EventLoop &Loop, Platform &Store, UpstreamOrders &Orders,
                  LeaseSettings Settings, RolloutSettings RolloutTimes,
                  Duration Period, Preferred IsPreferred, Preferred IsNext,
                  Timeline *Events);
  void stepLease(const std::string &Service, TimePoint Now);
  void stepRollout(const ServiceConfig &Service, TimePoint Now);
  void observeAll(const ServiceConfig &Service);
  ServiceState *find(const std::string &Service);
  void record(std::string_view Kind, std::string_view Detail);

  Platform &Store;
  UpstreamOrders &Orders;
  LeaseSettings Settings;
  RolloutSettings RolloutTimes;
  Preferred IsPreferred;
  Preferred IsNext;
  Timeline *Events;
  ConfigurationPtr Current;
  std::map<std::string, ServiceState> Services;
  bool Resigned = false;
  Duration SuspendedBefore; ///< Time that the VM had been suspended.
  // Callbacks that outlive the controller find this expired.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  sigc::connection Timer;
};

class OrderControllerBuilder {
public:
  OrderControllerBuilder(EventLoop &Loop, Platform &Store,
                         UpstreamOrders &Orders)
      : Loop(Loop), Store(Store), Orders(Orders) {}

  /// Names this start of this process; must be unique.
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
  /// How often leases and upstreams are looked at.
  OrderControllerBuilder &period(Duration Time) {
    this->Period = Time;
    return *this;
  }
  /// How long upstreams are kept free of new work before their orders: at
  /// least, and at most until their calls have ended.
  OrderControllerBuilder &preparation(Duration Least, Duration Most,
                                      int PerLoad) {
    this->RolloutTimes.Preparation = Least;
    this->RolloutTimes.MaxPreparation = Most;
    this->RolloutTimes.PreparingPerLoad = PerLoad;
    return *this;
  }
  /// Whether this daemon takes the lease over should the preferred one fail. It
  /// then reads the lease meanwhile, since it must have seen it unchanged for a
  /// term.
  OrderControllerBuilder &next(OrderController::Preferred IsNext) {
    this->IsNext = std::move(IsNext);
    return *this;
  }
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
  OrderController::Preferred IsNext = [](std::string_view) { return false; };
  OrderController::Preferred IsPreferred = [](std::string_view) {
    return true;
  };
  Timeline *Events = nullptr;
};

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_ORDERCONTROLLER_H
