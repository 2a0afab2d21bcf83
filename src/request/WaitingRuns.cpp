#include "request/WaitingRuns.h"

#include "process/CallbackGuard.h"
#include "request/ForwardRun.h"

#include <algorithm>
#include <map>
#include <utility>

namespace galenaroute {

/// Interval of passes over the queue without wake().
static constexpr auto PollInterval = std::chrono::milliseconds(15);
/// Maximum failed tries of one pass, so that a long queue does not use up the
/// processor.
static constexpr int MaxFailedTries = 12;
/// The limit for calls of one priority if others are queued, too, and capacity
/// is reserved by class: engines may then have room for some priorities only.
static constexpr int MaxFailedTriesOfPriority = 4;

void WaitingRuns::add(std::shared_ptr<ForwardRun> Run) {
  if (std::find(this->Runs.begin(), this->Runs.end(), Run) ==
      this->Runs.end()) {
    this->addToBacklog(*Run, Run->waiting(), EventLoop::now());
    this->Runs.push_back(std::move(Run));
  }
  if (!this->IsWakeScheduled && this->Timer.empty())
    this->Timer =
        this->Loop.timers().after(PollInterval, [this] { this->dispatch(); });
}

void WaitingRuns::addToBacklog(const ForwardRun &Run, const WaitingCall &Call,
                               TimePoint Now) {
  if (Call.Class && !Run.hasSendInFlight())
    addCall(this->Backlog, *Call.Class, Now > lateFrom(Call, this->Settings),
            Call.SlotTime);
}

void WaitingRuns::wake() {
  if (this->IsWakeScheduled || this->Runs.empty())
    return;
  this->IsWakeScheduled = true;
  this->Timer.disconnect();
  this->Timer =
      this->Loop.timers().after(Duration::zero(), [this] { this->dispatch(); });
}

std::size_t WaitingRuns::size() const {
  return static_cast<std::size_t>(
      std::count_if(this->Runs.begin(), this->Runs.end(), [](const auto &Each) {
        return !Each->hasLeftQueue() && !Each->hasSendInFlight() &&
               !Each->needsVersion();
      }));
}

bool WaitingRuns::hasAheadOf(const WaitingCall &Next, TimePoint Now) const {
  return std::any_of(
      this->Runs.begin(), this->Runs.end(), [&](const auto &Each) {
        return !Each->hasLeftQueue() && !Each->hasSendInFlight() &&
               !Each->needsVersion() &&
               goesBefore(Each->waiting(), Next, this->Settings, Now);
      });
}

Duration WaitingRuns::longestWait(TimePoint Now) const {
  Duration Longest{};
  for (const auto &Each : this->Runs)
    Longest = std::max(Longest, Now - Each->waiting().WaitingSince);
  return Longest;
}

void WaitingRuns::dispatch() {
  this->IsWakeScheduled = false;
  // Also where memory is missing for this pass, there is a next one.
  this->Timer.disconnect();
  this->Timer =
      this->Loop.timers().after(PollInterval, [this] { this->dispatch(); });
  std::erase_if(this->Runs,
                [](const auto &Each) { return Each->hasLeftQueue(); });
  const TimePoint Now = EventLoop::now();
  const Duration Longest = this->longestWait(Now);
  std::vector<WaitingCall> Calls;
  for (const auto &Each : this->Runs)
    Calls.push_back(Each->waiting());
  std::vector<std::size_t> Order = sendingOrder(Calls, this->Settings, Now);
  std::stable_partition(Order.begin(), Order.end(), [this](std::size_t I) {
    return !this->Runs[I]->hasSendInFlight();
  });
  std::vector<std::shared_ptr<ForwardRun>> Waiting;
  Waiting.reserve(this->Runs.size());
  // From here on there is room for all of them.
  Waiting.swap(this->Runs);
  this->Backlog = {};
  const bool IsAssessing = std::exchange(this->IsAssessmentDue, false);
  const bool HasPriorities =
      std::any_of(Calls.begin(), Calls.end(), [&](const WaitingCall &Each) {
        return Each.Class && Each.Priority != Calls.front().Priority;
      });
  const int MaxOfPriority =
      HasPriorities ? MaxFailedTriesOfPriority : MaxFailedTries;
  // Upstreams may have room for some software versions only.
  enum { NoUpstream, SendInFlight, NeedsVersion, TryKinds };
  int FailedTries[TryKinds] = {};
  std::map<int, int> FailedOfPriority;
  for (const std::size_t I : Order) {
    const auto &Run = Waiting[I];
    if (Run->hasLeftQueue())
      continue;
    const bool Passed = runGuarded("queue.run", [&] {
      int &Failed = FailedTries[Run->needsVersion()      ? NeedsVersion
                                : Run->hasSendInFlight() ? SendInFlight
                                                         : NoUpstream];
      int &OfPriority = FailedOfPriority[Calls[I].Priority];
      if (Failed < MaxFailedTries && OfPriority < MaxOfPriority) {
        if (Run->trySend())
          return;
        ++Failed;
        ++OfPriority;
      }
      if (hasQueueTimedOut(Calls[I], this->Settings, Now)) {
        Run->onQueueTimeout(Longest);
      } else if (!IsAssessing || !Run->refuseForBacklog(this->Backlog)) {
        this->Runs.push_back(Run);
        this->addToBacklog(*Run, Calls[I], Now);
      }
    });
    // The calls behind one that failed are not dropped with it.
    if (!Passed && !Run->hasLeftQueue() &&
        std::find(this->Runs.begin(), this->Runs.end(), Run) ==
            this->Runs.end())
      this->Runs.push_back(Run);
  }
  // A call that was sent may have woken the queue.
  if (this->IsWakeScheduled)
    return;
  this->Timer.disconnect();
  if (!this->Runs.empty())
    this->Timer =
        this->Loop.timers().after(PollInterval, [this] { this->dispatch(); });
}

} // namespace galenaroute
