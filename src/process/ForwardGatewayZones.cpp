// The evacuated zones of ForwardGateway: which they are, and what follows when
// an evacuation begins or ends. See docs/design/zone-evacuation.md.

#include "process/ForwardGateway.h"
#include "process/Log.h"

#include <algorithm>

namespace galenaroute {

/// A change reaches the gateways by four ways, of which the slowest takes the
/// confirmation age of the watcher, a check and a call. These fractions of the
/// limit leave a third of it for a slow store. See the design note.
static constexpr double WaitShare = 0.35;
static constexpr double ConfirmationShare = 0.5;
/// Limits of the wait. A watch with a shorter one counts as a probe; a longer
/// one saves few calls and detects a lost connection late.
static constexpr Duration MinEvacuationWait = std::chrono::milliseconds(200);
static constexpr Duration MaxEvacuationWait = std::chrono::seconds(4);
static constexpr Duration MaxEvacuationAge = std::chrono::seconds(6);
/// The registry's entry of an upstream has reached every gateway in touch
/// within this time, and tells for how long the upstream is cold.
static constexpr Duration ReturnedColdTime = std::chrono::seconds(2);
/// How long calls wait after a stall until the changes are read. Without
/// the store, they then go on by what is known.
static constexpr Duration MaxRefreshTime = std::chrono::seconds(1);

static ObjectWatcherSettings evacuationWatch(Duration Limit) {
  return {.Wait = std::clamp(scaled(Limit, WaitShare), MinEvacuationWait,
                             MaxEvacuationWait),
          .MaxConfirmationAge =
              std::min(scaled(Limit, ConfirmationShare), MaxEvacuationAge)};
}

void ForwardGateway::watchEvacuations() {
  if (!this->Settings.EvacuationLimit)
    return;
  this->Evacuations.emplace(
      this->Loop, this->Parts.Api, this->Parts.Source.evacuationKind(),
      evacuationWatch(*this->Settings.EvacuationLimit),
      ObjectWatcherEvents{.OnObject =
                              [this](const PlatformObject &Object) {
                                this->onEvacuation(Object);
                              },
                          .OnListed =
                              [this](const std::set<std::string> &Names) {
                                this->onEvacuationsListed(Names);
                              }});
}

void ForwardGateway::onEvacuation(const PlatformObject &Object) {
  const std::string Zone = this->Parts.Source.readEvacuation(Object);
  this->UnlistedEvacuations.erase(Zone);
  this->setEvacuated(Zone, !Object.Deleted);
}

void ForwardGateway::onEvacuationsListed(const std::set<std::string> &Names) {
  this->HasEvacuations = true;
  const auto Zones = this->Upstreams.evacuatedZones();
  for (const std::string &Zone : Zones) {
    if (Names.contains(Zone))
      continue;
    // The operator writes again what a restored platform lacks.
    if (this->mayPlatformLackObjects())
      this->UnlistedEvacuations.insert(Zone);
    else
      this->setEvacuated(Zone, false);
  }
  this->wakeQueues();
}

void ForwardGateway::setEvacuated(const std::string &Zone, bool Evacuated) {
  if (!this->Upstreams.setEvacuated(Zone, Evacuated))
    return;
  log(LogLevel::Info, Evacuated ? "zone.evacuated" : "zone.returned",
      {{"zone", Zone},
       {"upstreams",
        std::to_string(std::count_if(
            this->Upstreams.entries().begin(), this->Upstreams.entries().end(),
            [&](const auto &Each) {
              return Each.second.Registered.Zone == Zone;
            }))},
       {"zones", std::to_string(this->Upstreams.evacuatedZones().size())}});
  this->Stats.decision(Evacuated ? "zone.evacuated" : "zone.returned");
  this->updateOrders();
  // The upstreams of a zone that returns are cold, which the registry tells the
  // gateways at different times.
  if (!Evacuated && this->Settings.HasColdBound)
    for (const auto &[Id, Entry] : this->Upstreams.entries())
      if (Entry.Registered.Zone == Zone && !Entry.isLeaving())
        this->limitCold(Entry, EventLoop::now() + ReturnedColdTime);
  // Queued calls go elsewhere, or are refused if no upstream is left.
  this->wakeQueues();
}

void ForwardGateway::wakeQueues() {
  for (const auto &[Service, Queue] : this->Services.Queues)
    Queue->wake();
}

/// Closes the connections to upstreams of evacuated zones that became idle when
/// their calls ended, and ends the evacuations that were not written again
/// after a restoration of the platform.
void ForwardGateway::closeEvacuated() {
  if (!this->mayPlatformLackObjects())
    while (!this->UnlistedEvacuations.empty())
      this->setEvacuated(
          this->UnlistedEvacuations.extract(this->UnlistedEvacuations.begin())
              .value(),
          false);
  if (this->Upstreams.evacuatedZones().empty())
    return;
  for (const auto &[Id, Entry] : this->Upstreams.entries())
    if (this->Upstreams.isEvacuated(Entry))
      this->Pool.closeIdle(Entry.Registered.Address);
}

/// Returns the watchers whose changes a gateway must have read after a stall
/// before it sends calls.
std::vector<ObjectWatcher *> ForwardGateway::readAfterStalls() {
  std::vector<ObjectWatcher *> Result;
  if (this->Evacuations)
    Result.push_back(&*this->Evacuations);
  if (this->Settings.HasColdBound)
    Result.push_back(&this->Registry);
  return Result;
}

/// Returns whether this gateway knows which upstreams may be called: it has
/// listed the evacuated zones since its start, and has read what changed since
/// its last stall.
bool ForwardGateway::knowsUpstreams() {
  // A call may be handled before the timer that detects a stall.
  this->detectStall();
  if (this->Evacuations && !this->HasEvacuations)
    return false;
  if (!this->DoubtedAt)
    return true;
  if (BootClock::now() - *this->DoubtedAt < MaxRefreshTime)
    for (const ObjectWatcher *Each : this->readAfterStalls())
      if (const auto Until = Each->completeUntil();
          !Until || *Until < *this->DoubtedAt)
        return false;
  this->DoubtedAt.reset();
  return true;
}

} // namespace galenaroute
