#include "version/OrderController.h"

#include "process/ErrorKind.h"
#include "process/Log.h"

#include <algorithm>

namespace galenaroute {

static ObjectKey leaseKey(const std::string &Service, std::uint64_t Era) {
  return {"lease", eraName(Service, Era)};
}

std::unique_ptr<OrderController> OrderControllerBuilder::build() {
  if (this->Settings.Self.empty())
    throw Error(ErrorKind::Internal,
                "OrderControllerBuilder::self() was not called");
  return std::unique_ptr<OrderController>(new OrderController(
      this->Loop, this->Store, this->Orders, this->Settings, this->RolloutTimes,
      this->Period, std::move(this->IsPreferred), std::move(this->IsStandby),
      this->Events));
}

OrderController::OrderController(EventLoop &Loop, Platform &Store,
                                 UpstreamOrders &Orders, LeaseSettings Settings,
                                 RolloutSettings RolloutTimes, Duration Period,
                                 Preferred IsPreferred, Preferred IsStandby,
                                 Timeline *Events)
    : Store(Store), Orders(Orders), Settings(std::move(Settings)),
      RolloutTimes(RolloutTimes), IsPreferred(std::move(IsPreferred)),
      IsStandby(std::move(IsStandby)), Events(Events) {
  this->Timer =
      Loop.timers().every(Period, [this] { this->tick(EventLoop::now()); });
}

OrderController::~OrderController() { this->Timer.disconnect(); }

void OrderController::setConfiguration(ConfigurationPtr Next) {
  this->Current = std::move(Next);
  std::erase_if(this->Services, [&](const auto &Each) {
    return !this->Current->findService(Each.first);
  });
}

void OrderController::resign() {
  this->Resigned = true;
  this->tick(EventLoop::now());
}

bool OrderController::hasResigned() const {
  return std::none_of(
      this->Services.begin(), this->Services.end(), [](const auto &Each) {
        const LeaseState &Lease = Each.second.Lease;
        return Lease.CallPending || holdsLease(Lease, EventLoop::now());
      });
}

void OrderController::record(std::string_view Kind, std::string_view Detail) {
  log(LogLevel::Info, Kind, {{"detail", std::string(Detail)}});
  if (this->Events)
    this->Events->record(Kind, {}, Detail);
}

OrderController::ServiceState *
OrderController::find(const std::string &Service) {
  const auto It = this->Services.find(Service);
  return It == this->Services.end() ? nullptr : &It->second;
}

bool OrderController::holds(std::string_view Service) const {
  const auto It = this->Services.find(std::string(Service));
  return It != this->Services.end() &&
         It->second.Lease.Era == this->Store.Era.current() &&
         holdsLease(It->second.Lease, EventLoop::now());
}

std::vector<std::string>
OrderController::withheld(std::string_view Service) const {
  const auto It = this->Services.find(std::string(Service));
  return It == this->Services.end() ? std::vector<std::string>()
                                    : galenaroute::withheld(It->second.Rollout);
}

/// The monotonic clock stops while a VM is suspended, so a lease may have
/// expired unnoticed.
void OrderController::dropSuspendedLeases(TimePoint Now) {
  if (!this->Suspension.wasSuspended())
    return;
  for (auto &[Name, State] : this->Services) {
    State.Lease.HeldUntil = Now;
    State.Lease.Known = false;
  }
}

void OrderController::tick(TimePoint Now) {
  if (!this->Current)
    return;
  this->dropSuspendedLeases(Now);
  for (const auto &[Name, Service] : this->Current->Services) {
    if (Service.Kind != ServiceKind::Model)
      continue;
    this->Services.try_emplace(Name, this->Settings);
    this->stepLease(Name, Now);
    this->stepRollout(Service, Now);
  }
}

LeaseInterest OrderController::interestIn(const std::string &Service,
                                          TimePoint Now) {
  if (this->Resigned)
    return LeaseInterest::None;
  if (!this->IsPreferred(Service))
    return this->IsStandby(Service) ? LeaseInterest::Observe
                                    : LeaseInterest::None;
  const ServiceState &State = *this->find(Service);
  // An order may be in flight for a margin.
  const bool HasOrdered =
      State.LastOrderAt &&
      Now < *State.LastOrderAt + this->Settings.Term + this->Settings.Margin;
  // A holder that still waits for the orders of others stays passive, so that
  // the next one need not wait for it.
  const ServiceConfig *Config = this->Current->findService(Service);
  const bool MayOrder =
      (Config && Config->ChecksFence) || isSettled(State.Lease, Now);
  return HasOrdered || (State.Rollout.IsOrderDue && MayOrder)
             ? LeaseInterest::Act
             : LeaseInterest::Hold;
}

/// Drops a lease that belongs to an earlier era of the platform.
void OrderController::updateEra(const std::string &Service, LeaseState &Lease,
                                TimePoint Now) {
  const std::uint64_t Era = this->Store.Era.current();
  if (Lease.Era == Era)
    return;
  this->dropSuspendedLeases(Now);
  log(LogLevel::Info, "lease.era",
      {{"service", Service},
       {"era", std::to_string(Era)},
       {"before", std::to_string(Lease.Era)},
       {"fence", std::to_string(Lease.Fence)},
       {"held", holdsLease(Lease, Now) ? "yes" : "no"}});
  enterEra(Lease, Era, Now);
}

void OrderController::stepLease(const std::string &Service, TimePoint Now) {
  LeaseState &Lease = this->find(Service)->Lease;
  this->updateEra(Service, Lease, Now);
  const auto OnResult = [this, Service, Era = Lease.Era,
                         Alive = std::weak_ptr(this->Alive)](auto Handle) {
    return [this, Service, Era, Alive, Handle](const PlatformResult &Result) {
      if (Alive.expired())
        return;
      ServiceState *State = this->find(Service);
      if (!State)
        return;
      this->updateEra(Service, State->Lease, EventLoop::now());
      if (State->Lease.Era != Era)
        return;
      try {
        Handle(State->Lease, Result, EventLoop::now());
      } catch (const Error &Failure) {
        this->record("lease.malformed", Service + ": " + Failure.what());
      }
      this->onLeaseResult(Service);
    };
  };
  switch (nextLeaseAction(Lease, Now, this->interestIn(Service, Now))) {
  case LeaseAction::Wait:
    return;
  case LeaseAction::Read:
    this->Store.get(leaseKey(Service, Lease.Era), OnResult(onLeaseRead));
    return;
  case LeaseAction::Write:
    this->Store.put(leaseKey(Service, Lease.Era), toJson(Lease.Written),
                    Lease.Version, OnResult(onLeaseWritten));
    return;
  }
}

void OrderController::stepRollout(const ServiceConfig &Service, TimePoint Now) {
  ServiceState &State = *this->find(Service.Name);
  this->updateEra(Service.Name, State.Lease, Now);
  const bool Held = holdsLease(State.Lease, Now);
  if (Held != State.WasHeld) {
    this->record(Held ? "lease.held" : "lease.lost",
                 Service.Name + " fence " + std::to_string(State.Lease.Fence));
    State.Rollout = {};
    State.Rollout.Settings = this->RolloutTimes;
    State.Withheld.clear();
    State.WasHeld = Held;
  }
  if (!Held)
    return;
  this->observeAll(Service);
  const bool MayOrder =
      mayAct(State.Lease, Now, /*AfterOthers=*/!Service.ChecksFence);
  for (const Order &Each :
       planOrders(Service, State.Rollout, State.Lease.Fence, Now, MayOrder)) {
    this->record("order.sent", Each.Upstream + " " + Each.WeightVersion);
    State.LastOrderAt = Now;
    this->Orders.send(
        Each, [this, Name = Service.Name, Upstream = Each.Upstream,
               Alive = std::weak_ptr(this->Alive)](OrderResult Answer) {
          if (Alive.expired())
            return;
          if (ServiceState *State = this->find(Name))
            onOrderResult(State->Rollout, Upstream, Answer, EventLoop::now());
        });
  }
  this->recordWithheld(State);
  if (State.Rollout.IsOrderDue && !State.Lease.Active)
    this->stepLease(Service.Name, Now);
}

/// Sends orders that were waiting for the lease to become active.
void OrderController::onLeaseResult(const std::string &Service) {
  const ServiceConfig *Config = this->Current->findService(Service);
  if (Config && this->find(Service)->Rollout.IsOrderDue)
    this->stepRollout(*Config, EventLoop::now());
}

/// Records which upstreams are withheld from new calls since the last step, and
/// which no longer are.
void OrderController::recordWithheld(ServiceState &State) {
  std::vector<std::string> Now = galenaroute::withheld(State.Rollout);
  for (const std::string &Each : Now)
    if (!std::binary_search(State.Withheld.begin(), State.Withheld.end(), Each))
      this->record("upstream.withheld", Each);
  for (const std::string &Each : State.Withheld)
    if (!std::binary_search(Now.begin(), Now.end(), Each))
      this->record("upstream.released", Each);
  State.Withheld = std::move(Now);
}

void OrderController::observeAll(const ServiceConfig &Service) {
  for (const UpstreamConfig &Each : Service.Upstreams)
    this->Orders.observe(Each.Address,
                         [this, Name = Service.Name, Upstream = Each.Name,
                          Alive = std::weak_ptr(this->Alive)](
                             std::optional<UpstreamObservation> Observed) {
                           if (Alive.expired() || !Observed)
                             return;
                           if (ServiceState *State = this->find(Name))
                             onObserved(State->Rollout, Upstream,
                                        std::move(*Observed), EventLoop::now());
                         });
}

} // namespace galenaroute
