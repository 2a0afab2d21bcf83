// Upstreams that state a rate limit in their answers, and callers that send at
// a steady rate through several gateways.

#ifndef GALENAROUTE_TESTS_LIMITEDUPSTREAMS_H
#define GALENAROUTE_TESTS_LIMITEDUPSTREAMS_H

#include "RateLimitCheck.h"
#include "RawSocket.h"
#include "connection/CallListener.h"

#include <charconv>
#include <cstdio>
#include <memory>

namespace galenaroute::testing_support {

/// Returns the id of call \p Number through gateway \p Gateway; the upstreams
/// read from it which gateway a call comes from.
inline std::string callIdOf(std::size_t Gateway, int Number) {
  return std::to_string(Gateway) + "-" + std::to_string(Number);
}

inline std::size_t gatewayOf(std::string_view CallId) {
  std::size_t Gateway = 0;
  std::from_chars(CallId.data(), CallId.data() + CallId.size(), Gateway);
  return Gateway;
}

inline std::string formatRate(double PerSecond) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%g", PerSecond);
  return Text;
}

/// An upstream that answers each call after RunTime.
class LimitedUpstream {
public:
  explicit LimitedUpstream(EventLoop &Loop, Duration RunTime = {})
      : Loop(Loop), RunTime(RunTime), Address(freeAddress()),
        Listener(Loop, this->Address, CallerLimits{},
                 [this](const std::shared_ptr<IncomingCall> &Call) {
                   this->run(Call);
                 }) {}
  ~LimitedUpstream() {
    for (sigc::connection &Each : this->Timers)
      Each.disconnect();
  }
  LimitedUpstream(const LimitedUpstream &) = delete;
  LimitedUpstream &operator=(const LimitedUpstream &) = delete;

  /// Answers state this limit from now on, or none.
  void setLimit(std::optional<double> PerSecond) {
    this->Seen.state(EventLoop::now(), PerSecond);
  }
  const SocketAddress &address() const { return this->Address; }

  RateLimitHistory Seen;

private:
  void run(const std::shared_ptr<IncomingCall> &Call) {
    const std::string Id(Call->Head.Headers.find("Request-Id").value_or(""));
    this->Seen.arrived(EventLoop::now(), gatewayOf(Id));
    this->Timers.push_back(this->Loop.timers().after(
        this->RunTime, [this, Call, Id] { this->answer(*Call, Id); }));
  }
  void answer(IncomingCall &Call, const std::string &Id) {
    HttpHeaders Headers{{"Request-Id", Id}, {"Server-Stamp", "x"}};
    if (const auto Limit = this->Seen.limit())
      Headers.add("Server-Limit", formatRate(*Limit));
    Call.send(200, Headers, "answer");
    this->Seen.passedOn(EventLoop::now(), gatewayOf(Id));
  }

  EventLoop &Loop;
  Duration RunTime;
  SocketAddress Address;
  CallListener Listener;
  std::vector<sigc::connection> Timers;
};

/// Callers that together send one call each Gap, through the gateways in turn,
/// each on a connection of its own. Their calls are not sent again.
class SteadyCallers {
public:
  using AddressOf = std::function<SocketAddress(std::size_t Gateway)>;

  SteadyCallers(EventLoop &Loop, std::size_t Gateways, AddressOf At)
      : Loop(Loop), Gateways(Gateways), At(std::move(At)) {}
  ~SteadyCallers() { this->Timer.disconnect(); }
  SteadyCallers(const SteadyCallers &) = delete;
  SteadyCallers &operator=(const SteadyCallers &) = delete;

  void start(Duration Gap) {
    this->stop();
    this->Timer = this->Loop.timers().every(Gap, [this] { this->send(); });
  }
  void stop() { this->Timer.disconnect(); }

  struct Ended {
    std::string Answer;
    Duration Took;
  };
  /// The answers so far, with the time that each took.
  const std::vector<Ended> &answers() {
    this->collect();
    return this->Answers;
  }
  std::size_t count(const std::string &Status) {
    const auto &All = this->answers();
    return static_cast<std::size_t>(
        std::count_if(All.begin(), All.end(), [&](const Ended &Each) {
          return Each.Answer.starts_with("HTTP/1.1 " + Status);
        }));
  }
  int sent() const { return this->Sent; }

  /// Whether no two calls have the same body. A body that comes again is
  /// refused once upstreams have fallen with it.
  bool HasOwnBodies = false;

private:
  struct Open {
    std::unique_ptr<RawSocket> Socket;
    TimePoint SentAt;
  };

  void send() {
    const std::size_t To =
        static_cast<std::size_t>(this->Sent) % this->Gateways;
    const std::string Id = callIdOf(To, ++this->Sent);
    const std::string Body = this->HasOwnBodies ? Id : "body";
    try {
      auto Socket =
          std::make_unique<RawSocket>(RawSocket::connectTo(this->At(To)));
      Socket->writeSome("POST /safe/a HTTP/1.1\r\nHost: h\r\nConnection: "
                        "close\r\nRequest-Id: " +
                        Id + "\r\nContent-Length: " +
                        std::to_string(Body.size()) + "\r\n\r\n" + Body);
      this->Calls.push_back({std::move(Socket), EventLoop::now()});
    } catch (const std::exception &) {
      // The gateway is down; a caller would choose another one.
    }
    this->collect();
  }
  void collect() {
    std::erase_if(this->Calls, [this](const Open &Each) {
      if (!Each.Socket->hasEnded())
        return false;
      this->Answers.push_back(
          {Each.Socket->read(), EventLoop::now() - Each.SentAt});
      return true;
    });
  }

  EventLoop &Loop;
  std::size_t Gateways;
  AddressOf At;
  int Sent = 0;
  std::vector<Open> Calls;
  std::vector<Ended> Answers;
  sigc::connection Timer;
};

} // namespace galenaroute::testing_support

#endif // GALENAROUTE_TESTS_LIMITEDUPSTREAMS_H
