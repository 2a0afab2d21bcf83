// Upstreams that fall over when they have to turn away too many calls.

#ifndef GALENAROUTE_TESTS_BRITTLEUPSTREAMS_H
#define GALENAROUTE_TESTS_BRITTLEUPSTREAMS_H

#include "LimitedUpstreams.h"

#include <deque>

namespace galenaroute::testing_support {

struct BrittleUpstreamSettings {
  std::size_t Slots = 6;
  std::size_t MaxQueue = 4;
  std::size_t MaxQueueWhileBrittle = 0;
  Duration RunTime = std::chrono::milliseconds(400);
  int MaxRefusalsPerSecond = 6; ///< Stated while brittle.
  Duration DownTime = std::chrono::seconds(3);
  /// From the first statement until refusals make it fall.
  Duration Contact = std::chrono::seconds(3);
};

/// An upstream with slots and a short queue. It refuses calls beyond these, and
/// while it is brittle, too many refusals in any second end all its connections
/// for DownTime.
class BrittleUpstream {
public:
  BrittleUpstream(EventLoop &Loop, BrittleUpstreamSettings Settings)
      : Loop(Loop), Settings(Settings), Address(freeAddress()) {
    this->listen();
  }
  ~BrittleUpstream() {
    for (sigc::connection &Each : this->Timers)
      Each.disconnect();
  }
  BrittleUpstream(const BrittleUpstream &) = delete;
  BrittleUpstream &operator=(const BrittleUpstream &) = delete;

  void setBrittle(bool Enabled) {
    this->BrittleSince =
        Enabled ? std::optional(EventLoop::now()) : std::nullopt;
  }
  const SocketAddress &address() const { return this->Address; }
  int falls() const { return this->Falls; }
  int served() const { return this->Served; }
  /// Refusals since the bound applies, and the most in any second of that time.
  int refused() const { return this->Refused; }
  std::size_t maxRefusedInASecond() const { return this->MaxRefused; }

private:
  bool isBounded() const {
    return this->BrittleSince &&
           EventLoop::now() - *this->BrittleSince >= this->Settings.Contact;
  }
  void listen() {
    this->Listener = std::make_unique<CallListener>(
        this->Loop, this->Address, CallerLimits{},
        [this](const std::shared_ptr<IncomingCall> &Call) {
          this->accept(Call);
        });
  }
  HttpHeaders headersFor(const IncomingCall &Call) const {
    HttpHeaders Headers{
        {"Request-Id",
         std::string(Call.Head.Headers.find("Request-Id").value_or(""))}};
    if (this->BrittleSince)
      Headers.add("Server-Brittle",
                  std::to_string(this->Settings.MaxRefusalsPerSecond));
    return Headers;
  }
  void accept(const std::shared_ptr<IncomingCall> &Call) {
    if (this->IsDown)
      return;
    if (this->Running < this->Settings.Slots) {
      this->begin(Call);
      return;
    }
    const std::size_t MaxQueue = this->isBounded()
                                     ? this->Settings.MaxQueueWhileBrittle
                                     : this->Settings.MaxQueue;
    if (this->Queue.size() < MaxQueue) {
      this->Queue.push_back(Call);
      return;
    }
    this->refuse(*Call);
  }
  void refuse(IncomingCall &Call) {
    HttpHeaders Headers = this->headersFor(Call);
    Headers.add("Not-Executed", "1");
    Call.send(503, Headers, "");
    if (!this->isBounded())
      return;
    const TimePoint Now = EventLoop::now();
    ++this->Refused;
    std::erase_if(this->RefusedAt, [Now](TimePoint Each) {
      return Each <= Now - std::chrono::seconds(1);
    });
    this->RefusedAt.push_back(Now);
    this->MaxRefused = std::max(this->MaxRefused, this->RefusedAt.size());
    if (this->RefusedAt.size() >
        static_cast<std::size_t>(this->Settings.MaxRefusalsPerSecond))
      this->fall();
  }
  void fall() {
    ++this->Falls;
    this->IsDown = true;
    this->RefusedAt.clear();
    // The listener may not be destroyed inside its handler.
    this->after(Duration::zero(), [this] {
      ++this->Era;
      this->Running = 0;
      this->Queue.clear();
      this->Listener.reset();
    });
    this->after(this->Settings.DownTime, [this] {
      this->IsDown = false;
      this->listen();
    });
  }
  void begin(const std::shared_ptr<IncomingCall> &Call) {
    ++this->Running;
    this->after(this->Settings.RunTime, [this, Call, Begun = this->Era] {
      if (Begun != this->Era)
        return;
      --this->Running;
      ++this->Served;
      HttpHeaders Headers = this->headersFor(*Call);
      Headers.add("Server-Stamp", "x");
      Call->send(200, Headers, "answer");
      if (this->Queue.empty())
        return;
      const std::shared_ptr<IncomingCall> Next = this->Queue.front();
      this->Queue.pop_front();
      this->begin(Next);
    });
  }
  template <typename Function> void after(Duration Time, Function Then) {
    std::erase_if(this->Timers, [](const sigc::connection &Each) {
      return !Each.connected();
    });
    this->Timers.push_back(this->Loop.timers().after(Time, std::move(Then)));
  }

  EventLoop &Loop;
  BrittleUpstreamSettings Settings;
  SocketAddress Address;
  std::unique_ptr<CallListener> Listener;
  std::vector<sigc::connection> Timers;
  std::deque<std::shared_ptr<IncomingCall>> Queue;
  std::size_t Running = 0;
  int Era = 0;
  bool IsDown = false;
  std::optional<TimePoint> BrittleSince;
  std::vector<TimePoint> RefusedAt;
  std::size_t MaxRefused = 0;
  int Falls = 0;
  int Refused = 0;
  int Served = 0;
};

} // namespace galenaroute::testing_support

#endif // GALENAROUTE_TESTS_BRITTLEUPSTREAMS_H
