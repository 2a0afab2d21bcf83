#include "request/WaitingRuns.h"

#include "request/ForwardRun.h"

#include <algorithm>

namespace galenaroute {

/// How often waiting calls are looked at when nothing else has changed.
static constexpr auto QueuePeriod = std::chrono::milliseconds(15);
/// Waiting calls that are tried in vain at one look, so that a long queue does
/// not take the processor.
static constexpr int MaxMisses = 12;

void WaitingRuns::add(std::shared_ptr<ForwardRun> Run) {
  this->Runs.push_back(std::move(Run));
  if (!this->IsAwake && this->Timer.empty())
    this->Timer =
        this->Loop.timers().after(QueuePeriod, [this] { this->pump(); });
}

void WaitingRuns::wake() {
  if (this->IsAwake || this->Runs.empty())
    return;
  this->IsAwake = true;
  this->Timer.disconnect();
  this->Timer =
      this->Loop.timers().after(Duration::zero(), [this] { this->pump(); });
}

Duration WaitingRuns::oldestWait(TimePoint Now) const {
  Duration Oldest{};
  for (const auto &Each : this->Runs)
    Oldest = std::max(Oldest, Now - Each->waiting().WaitingSince);
  return Oldest;
}

void WaitingRuns::pump() {
  this->IsAwake = false;
  this->Timer.disconnect();
  std::erase_if(this->Runs, [](const auto &Each) { return Each->isDone(); });
  const TimePoint Now = EventLoop::now();
  const Duration Oldest = this->oldestWait(Now);
  std::vector<WaitingCall> Calls;
  for (const auto &Each : this->Runs)
    Calls.push_back(Each->waiting());
  const std::vector<std::size_t> Order =
      sendingOrder(Calls, this->Settings, Now);
  const auto Waiting = std::move(this->Runs);
  this->Runs.clear();
  int Misses = 0;
  for (const std::size_t I : Order) {
    const auto &Run = Waiting[I];
    if (Run->isDone())
      continue;
    if (Misses < MaxMisses && Run->trySend())
      continue;
    ++Misses;
    if (isWaitOver(Calls[I], this->Settings, Now))
      Run->endWait(Oldest);
    else
      this->Runs.push_back(Run);
  }
  if (!this->Runs.empty())
    this->Timer =
        this->Loop.timers().after(QueuePeriod, [this] { this->pump(); });
}

} // namespace galenaroute
