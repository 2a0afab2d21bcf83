// Upstreams that crash on a certain call, and callers that send it, for tests
// of crash containment.

#ifndef GALENAROUTE_TESTS_CRASHINGUPSTREAMS_H
#define GALENAROUTE_TESTS_CRASHINGUPSTREAMS_H

#include "RawSocket.h"
#include "connection/CallListener.h"

namespace galenaroute::testing_support {

/// How an upstream fails when it runs the crashing call.
enum class CrashKind {
  Reset,          ///< Its connections are reset.
  ResetAfterHead, ///< The same, after it has written the head of an answer.
  Silent ///< Its connections stay open without traffic; its registry entry
         ///< expires.
};

/// A set of upstreams. A call whose body begins with "crash" crashes the
/// upstream that runs it, which restarts after RestartTime as a new
/// incarnation.
class CrashingUpstreams {
public:
  /// Adds an upstream to the registry, or removes it if the address is null.
  using Register =
      std::function<void(const std::string &Id, const SocketAddress *At)>;

  CrashingUpstreams(EventLoop &Loop, Register Registry, std::size_t Count,
                    CrashKind Kind)
      : Loop(Loop), Registry(std::move(Registry)), Kind(Kind) {
    this->All.resize(Count);
    for (std::size_t I = 0; I < Count; ++I)
      this->start(I);
  }
  ~CrashingUpstreams() {
    for (sigc::connection &Each : this->Timers)
      Each.disconnect();
  }

  std::vector<TimePoint> Crashes; ///< Times of crashes.

private:
  /// Time from a crash until the registry entry expires, and until the restart.
  static constexpr auto LapseTime = std::chrono::milliseconds(500);
  static constexpr auto RestartTime = std::chrono::milliseconds(600);

  struct Upstream {
    std::shared_ptr<CallListener> Listener;
    std::string Id;
    bool HasEnded = false;
  };

  void start(std::size_t Index) {
    Upstream &Each = this->All[Index];
    const SocketAddress Address = freeAddress();
    Each.Id =
        "u" + std::to_string(Index) + "-" + std::to_string(++this->Starts);
    Each.HasEnded = false;
    Each.Listener = std::make_shared<CallListener>(
        this->Loop, Address, CallerLimits{},
        [this, Index, Id = Each.Id](const std::shared_ptr<IncomingCall> &Call) {
          this->run(Index, Id, Call);
        });
    this->Registry(Each.Id, &Address);
  }

  void run(std::size_t Index, const std::string &Id,
           const std::shared_ptr<IncomingCall> &Call) {
    Upstream &Each = this->All[Index];
    if (Each.Id != Id || Each.HasEnded) {
      this->Unanswered.push_back(Call);
      return;
    }
    if (!Call->Body.starts_with("crash")) {
      Call->send(200, answerHeaders(*Call), "answer");
      return;
    }
    if (this->Kind == CrashKind::ResetAfterHead)
      Call->begin(200, answerHeaders(*Call));
    this->Crashes.push_back(EventLoop::now());
    this->Unanswered.push_back(Call);
    Each.HasEnded = true;
    // Deferred, because the listener is still inside this handler.
    this->after(Duration::zero(), [this, Index] { this->end(Index); });
  }

  static HttpHeaders answerHeaders(const IncomingCall &Call) {
    const auto CallId = Call.Head.Headers.find("Request-Id");
    return {{"Request-Id", std::string(CallId.value_or(""))},
            {"Server-Stamp", "x"}};
  }

  void end(std::size_t Index) {
    Upstream &Each = this->All[Index];
    if (this->Kind != CrashKind::Silent) {
      Each.Listener->stopAccepting();
      Each.Listener->abortAll();
    }
    // A silent crash keeps the connections open.
    this->Ended.push_back(std::move(Each.Listener));
    this->after(LapseTime,
                [this, Id = Each.Id] { this->Registry(Id, nullptr); });
    this->after(RestartTime, [this, Index] { this->start(Index); });
  }

  void after(Duration Delay, const std::function<void()> &Action) {
    this->Timers.push_back(this->Loop.timers().after(Delay, Action));
  }

  EventLoop &Loop;
  Register Registry;
  CrashKind Kind;
  std::vector<Upstream> All;
  std::vector<std::shared_ptr<CallListener>> Ended;
  std::vector<std::shared_ptr<IncomingCall>> Unanswered;
  int Starts = 0;
  std::vector<sigc::connection> Timers;
};

/// Callers that send one request each, on a new connection.
class Callers {
public:
  void send(const SocketAddress &To, const std::string &Path,
            const std::string &Body, const std::string &More = "") {
    const std::string Id = "r" + std::to_string(++this->Sent);
    auto Socket = std::make_unique<RawSocket>(RawSocket::connectTo(To));
    Socket->write("POST " + Path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + Id +
                  "\r\nContent-Length: " + std::to_string(Body.size()) +
                  "\r\n" + More + "\r\n" + Body);
    this->Open.push_back(std::move(Socket));
  }
  /// Counts answers that begin with \p Status.
  std::size_t count(const std::string &Status) {
    std::size_t Result = 0;
    for (const auto &Each : this->Open)
      Result += Each->read().starts_with("HTTP/1.1 " + Status);
    return Result;
  }

private:
  std::vector<std::unique_ptr<RawSocket>> Open;
  int Sent = 0;
};

} // namespace galenaroute::testing_support

#endif // GALENAROUTE_TESTS_CRASHINGUPSTREAMS_H
