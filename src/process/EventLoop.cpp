#include "process/EventLoop.h"

#include "process/CallbackGuard.h"

#include <csignal>
#include <event2/event.h>
#include <stdexcept>

namespace galenaroute {

/// A timer that is later than this runs only after one more poll for I/O.
static constexpr auto MaxLateness = std::chrono::milliseconds(5);

static timeval toTimeval(Duration Span) {
  using namespace std::chrono;
  const auto Micros =
      std::max<std::int64_t>(0, ceil<microseconds>(Span).count());
  return {static_cast<time_t>(Micros / 1000000),
          static_cast<suseconds_t>(Micros % 1000000)};
}

TimerService::TimerService(event_base *Base) {
  this->Event = event_new(
      Base, -1, 0,
      [](evutil_socket_t, short, void *Self) {
        static_cast<TimerService *>(Self)->fire();
      },
      this);
  if (!this->Event)
    throw std::runtime_error("cannot create the timer event");
}

TimerService::~TimerService() { event_free(this->Event); }

sigc::connection TimerService::after(Duration Delay, Slot Handler) {
  return this->add(Delay, Duration::zero(), std::move(Handler));
}

sigc::connection TimerService::every(Duration Period, Slot Handler) {
  return this->add(Period, Period, std::move(Handler));
}

sigc::connection TimerService::add(Duration Delay, Duration Period,
                                   Slot Handler) {
  auto Added = std::make_shared<Entry>();
  Added->Period = Period;
  sigc::connection Result = Added->Signal.connect(std::move(Handler));
  this->Pending.emplace(Clock::now() + Delay, std::move(Added));
  this->arm();
  return Result;
}

void TimerService::fire() {
  const TimePoint Now = Clock::now();
  // SIGCONT ends the wait for I/O without a look at what arrived while the
  // process was stopped; a time limit must not end what has already come in.
  // TimePoint::min() stands for an event that is due after the next poll.
  const bool HasPolled = this->ArmedFor == TimePoint::min();
  if (!HasPolled && !this->Pending.empty() &&
      Now - this->Pending.begin()->first > MaxLateness) {
    this->ArmedFor = TimePoint::min();
    const timeval Immediately{};
    event_add(this->Event, &Immediately);
    return;
  }
  this->ArmedFor = TimePoint::max();
  // Due timers are removed before their slots run, because slots may add
  // timers.
  std::vector<std::shared_ptr<Entry>> Due;
  auto End = this->Pending.upper_bound(Now);
  for (auto It = this->Pending.begin(); It != End; ++It)
    Due.push_back(It->second);
  this->Pending.erase(this->Pending.begin(), End);
  for (const auto &Each : Due) {
    if (Each->Signal.empty())
      continue;
    // Missed periods are skipped rather than run in a burst.
    if (Each->Period > Duration::zero())
      this->Pending.emplace(Now + Each->Period, Each);
    runGuarded("timer", [&] { Each->Signal.emit(); });
  }
  this->arm();
}

void TimerService::arm() {
  // Removes cancelled timers at the front, which would only cause idle
  // wake-ups.
  while (!this->Pending.empty() &&
         this->Pending.begin()->second->Signal.empty())
    this->Pending.erase(this->Pending.begin());
  if (this->Pending.empty()) {
    event_del(this->Event);
    this->ArmedFor = TimePoint::max();
    return;
  }
  // event_add() takes back an event that is about to fire, so an event that is
  // early enough is left alone; otherwise handlers of I/O that add timers could
  // put off all timers without end.
  const TimePoint Next = this->Pending.begin()->first;
  if (Next >= this->ArmedFor)
    return;
  this->ArmedFor = Next;
  const timeval Wait = toTimeval(Next - Clock::now());
  event_add(this->Event, &Wait);
}

EventLoop::EventLoop() : Base(event_base_new()) {
  if (!this->Base)
    throw std::runtime_error("cannot create the event loop");
  // Writing to a connection closed by the peer raises SIGPIPE, which would kill
  // the process. The write error is handled instead.
  std::signal(SIGPIPE, SIG_IGN);
  this->Timers = std::make_unique<TimerService>(this->Base);
}

EventLoop::~EventLoop() {
  for (const auto &Each : this->Signals)
    event_free(Each->Event);
  this->Timers.reset();
  event_base_free(this->Base);
}

void EventLoop::run() { event_base_loop(this->Base, EVLOOP_NO_EXIT_ON_EMPTY); }

bool EventLoop::runUntil(const std::function<bool()> &Done, Duration Limit) {
  const TimePoint End = Clock::now() + Limit;
  // Bounds the delay until a change of Done is noticed.
  constexpr auto PollPeriod = std::chrono::milliseconds(5);
  while (!Done() && Clock::now() < End) {
    const timeval Wait = toTimeval(PollPeriod);
    event_base_loopexit(this->Base, &Wait);
    event_base_loop(this->Base, EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
  }
  return Done();
}

void EventLoop::stop() { event_base_loopbreak(this->Base); }

void EventLoop::onSignal(int Signal, std::function<void()> Handler) {
  auto Added = std::make_unique<SignalHandler>();
  Added->Handler = std::move(Handler);
  Added->Event = event_new(
      this->Base, Signal, EV_SIGNAL | EV_PERSIST,
      [](evutil_socket_t, short, void *Self) {
        runGuarded("signal",
                   [&] { static_cast<SignalHandler *>(Self)->Handler(); });
      },
      Added.get());
  event_add(Added->Event, nullptr);
  this->Signals.push_back(std::move(Added));
}

} // namespace galenaroute
