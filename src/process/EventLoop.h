// The event loop of a process and its timer service.
//
// All components of a process run on one loop and one thread. Handlers must not
// block; they subscribe to timers and to I/O events:
//
//   EventLoop Loop;
//   sigc::connection Heartbeat = Loop.timers().every(1s, [&] { ping(); });
//   Loop.onSignal(SIGTERM, [&] { Loop.stop(); });
//   Loop.run();
//
// Guarantees: a slot never runs inside the call that subscribed it, and never
// runs after disconnect() on the returned connection.

#ifndef GALENAROUTE_PROCESS_EVENTLOOP_H
#define GALENAROUTE_PROCESS_EVENTLOOP_H

#include "process/Clock.h"

#include <functional>
#include <map>
#include <memory>
#include <sigc++/sigc++.h>
#include <vector>

struct event;
struct event_base;

namespace galenaroute {

/// Runs one-shot and periodic timers.
class TimerService {
public:
  using Slot = sigc::slot<void()>;

  explicit TimerService(event_base *Base);
  ~TimerService();
  TimerService(const TimerService &) = delete;
  TimerService &operator=(const TimerService &) = delete;

  /// Calls \p Handler once, \p Delay from now.
  sigc::connection after(Duration Delay, Slot Handler);

  /// Calls \p Handler every \p Period, starting one period from now.
  sigc::connection every(Duration Period, Slot Handler);

private:
  struct Entry {
    sigc::signal<void()> Signal;
    Duration Period{}; ///< Zero for a one-shot timer.
  };
  using Queue = std::multimap<TimePoint, std::shared_ptr<Entry>>;

  sigc::connection add(Duration Delay, Duration Period, Slot Handler);
  void fire();
  void arm();

  event *Event;
  /// When Event is due; TimePoint::max() if it is not armed.
  TimePoint ArmedFor = TimePoint::max();
  Queue Pending;
};

/// Owns the libevent base, the timer service and the signal handlers.
class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Runs until stop() is called.
  void run();

  /// Runs until \p Done returns true or \p Limit has passed. Returns the last
  /// result of \p Done. For tools and tests.
  bool runUntil(const std::function<bool()> &Done, Duration Limit);

  /// Makes run() return once the current handler has returned.
  void stop();

  /// Calls \p Handler on the loop whenever the process receives \p Signal.
  void onSignal(int Signal, std::function<void()> Handler);

  TimerService &timers() { return *this->Timers; }
  event_base *base() { return this->Base; }
  static TimePoint now() { return Clock::now(); }

private:
  struct SignalHandler {
    event *Event;
    std::function<void()> Handler;
  };

  event_base *Base;
  std::unique_ptr<TimerService> Timers;
  std::vector<std::unique_ptr<SignalHandler>> Signals;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_EVENTLOOP_H
