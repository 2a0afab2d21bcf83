// Engines of one model with slots, a queue and weights that change by orders.
//
//   WeightedEngine Engine(Loop, Seen, {.Slots = 2}, Announce);
//   Engine.load(2);                       // as if it had received an order
//
// Announce is called with the address and the version whenever the registry
// entry changes. Calls that begin are recorded in Seen.

#ifndef GALENAROUTE_TESTS_WEIGHTEDENGINES_H
#define GALENAROUTE_TESTS_WEIGHTEDENGINES_H

#include "LimitedUpstreams.h"
#include "WeightsCheck.h"

#include <deque>
#include <nlohmann/json.hpp>

namespace galenaroute::testing_support {

/// Returns a configuration with one service `m` of engines with model `w`, and
/// two routes of host `h`: `/once/`, with a single attempt and a long timeout,
/// and `/safe/`, with up to two attempts.
inline nlohmann::json weightedConfig(int Slots) {
  nlohmann::json Config = nlohmann::json::parse(R"({
    "version":1,
    "routes":[
      {"name":"once","host":"h","pathPrefix":"/once/","kind":"unsafe",
       "timeoutMs":30000,"targetLatencyMs":20000,"priority":1,"service":"m",
       "maxAttempts":1,"public":true},
      {"name":"safe","host":"h","pathPrefix":"/safe/","kind":"safe",
       "timeoutMs":1500,"targetLatencyMs":400,"priority":1,"service":"m",
       "maxAttempts":2,"public":true}],
    "services":[{"name":"m","maxConns":400,"engine":{
       "kvCapacity":100000,"kvTokenBytes":1,"models":[{"name":"w"}]}}]})");
  Config["services"][0]["engine"]["slots"] = Slots;
  return Config;
}

struct WeightedEngineSettings {
  int Slots = 2;
  Duration RunTime = std::chrono::milliseconds(100);
  std::uint64_t Version = 1;
  /// Time from the end of the last run until new weights are loaded; orders are
  /// refused if there is none.
  std::optional<Duration> LoadTime = std::nullopt;
  /// Returns the number of the gateway that sent a call, by the call's id.
  std::function<std::size_t(const std::string &Call)> GatewayOf = gatewayOf;
  /// Returns the body of the answer.
  std::function<std::string(const std::string &Call, const std::string &Body)>
      Answer = [](const std::string &, const std::string &) {
        return std::string("answer");
      };
  /// Called for each order, also for those that are refused.
  std::function<void(const std::string &Holder, std::uint64_t Fence)> OnOrder =
      [](const std::string &, std::uint64_t) {};
};

class WeightedEngine {
public:
  using OnChanged =
      std::function<void(const SocketAddress &At, std::uint64_t Version)>;

  WeightedEngine(EventLoop &Loop, WeightsHistory &Seen,
                 WeightedEngineSettings Given, OnChanged Announce)
      : Loop(Loop), Seen(Seen), Settings(std::move(Given)),
        Announce(std::move(Announce)), Version(this->Settings.Version),
        Address(freeAddress()),
        Listener(Loop, this->Address, CallerLimits{},
                 [this](const std::shared_ptr<IncomingCall> &Call) {
                   this->onRequest(Call);
                 }) {
    this->Announce(this->Address, this->Version);
  }
  ~WeightedEngine() {
    for (sigc::connection &Each : this->Connections)
      Each.disconnect();
  }
  WeightedEngine(const WeightedEngine &) = delete;
  WeightedEngine &operator=(const WeightedEngine &) = delete;

  /// Loads \p Next when its runs have ended. Calls that wait are not run.
  void load(std::uint64_t Next) {
    this->Loading = Next;
    for (const Entry &Each : std::exchange(this->Queue, {}))
      this->refuse(*Each.Call, 503, Each.Id);
    this->loadIfIdle();
  }
  /// Keeps runs from ending until release().
  void hold() { this->IsHeld = true; }
  void release() {
    this->IsHeld = false;
    for (const Entry &Each : std::exchange(this->Held, {}))
      this->end(Each);
  }

  /// Sets how orders are carried out from now on; see LoadTime.
  void setLoadTime(std::optional<Duration> Time) {
    this->Settings.LoadTime = Time;
  }

  std::uint64_t version() const { return this->Version; }
  std::size_t waiting() const { return this->Queue.size(); }

private:
  struct Entry {
    std::shared_ptr<IncomingCall> Call;
    std::string Id;
    TimePoint SentAt;
  };

  void onRequest(const std::shared_ptr<IncomingCall> &Call) {
    if (Call->Head.Target == "/api/report")
      this->report(*Call);
    else if (Call->Head.Target == "/api/order")
      this->onOrder(*Call);
    else
      this->onCall(Call);
  }
  void report(IncomingCall &Call) const {
    const nlohmann::json Report = {
        {"stage", "both"},
        {"models", {{{"name", "w"}, {"version", this->Version}}}},
        {"busy", this->Loading != 0},
        {"sequence", this->Sequence}};
    Call.send(200, {{"Content-Type", "application/json"}}, Report.dump());
  }
  void onOrder(IncomingCall &Call) {
    const nlohmann::json Order = nlohmann::json::parse(Call.Body);
    const std::uint64_t Wanted = Order.at("version");
    this->Settings.OnOrder(Order.value("holder", ""),
                           Order.value("fence", std::uint64_t{0}));
    if (this->Version == Wanted) {
      Call.send(200, {}, "");
      return;
    }
    if (this->Loading != 0 || Order.value("expected", 0) != this->Sequence) {
      Call.send(409, {}, "");
      return;
    }
    if (!this->Settings.LoadTime) {
      Call.send(503, {}, "");
      return;
    }
    ++this->Sequence;
    Call.send(202, {}, "");
    this->load(Wanted);
  }
  void loadIfIdle() {
    if (this->Loading == 0 || this->Active > 0)
      return;
    this->after(this->Settings.LoadTime.value_or(Duration::zero()), [this] {
      if (this->Loading == 0)
        return;
      this->Version = this->Loading;
      this->Loading = 0;
      this->Announce(this->Address, this->Version);
    });
  }

  void onCall(const std::shared_ptr<IncomingCall> &Call) {
    Entry Next{Call,
               std::string(Call->Head.Headers.find("Request-Id").value_or("")),
               EventLoop::now()};
    const auto Expected = Call->Head.Headers.find("Expect-Version");
    if (Expected && *Expected != std::to_string(this->Version)) {
      this->refuse(*Call, 421, Next.Id);
      return;
    }
    if (this->Loading != 0) {
      this->refuse(*Call, 503, Next.Id);
      return;
    }
    this->Connections.push_back(Call->CallerLeft.connect(
        [this, Left = Call.get()] { this->onCallerLeft(Left); }));
    this->Queue.push_back(std::move(Next));
    this->startNext();
  }
  void startNext() {
    while (this->Active < this->Settings.Slots && !this->Queue.empty()) {
      const Entry Next = this->Queue.front();
      this->Queue.pop_front();
      ++this->Active;
      this->Seen.began({.At = EventLoop::now(),
                        .Weights = this->Version,
                        .Gateway = this->Settings.GatewayOf(Next.Id),
                        .SentAt = Next.SentAt,
                        .Call = Next.Id});
      this->after(this->Settings.RunTime, [this, Next] {
        if (this->IsHeld)
          this->Held.push_back(Next);
        else
          this->end(Next);
      });
    }
  }
  void end(const Entry &Ended) {
    --this->Active;
    if (Ended.Call->isOpen())
      Ended.Call->send(200, this->headers(Ended.Id),
                       this->Settings.Answer(Ended.Id, Ended.Call->Body));
    this->loadIfIdle();
    this->startNext();
  }
  /// A run of a caller that has left goes on to its end.
  void onCallerLeft(const IncomingCall *Left) {
    std::erase_if(this->Queue,
                  [&](const Entry &Each) { return Each.Call.get() == Left; });
  }
  void refuse(IncomingCall &Call, int Status, const std::string &Id) const {
    HttpHeaders Headers = this->headers(Id);
    Headers.add("Not-Executed", "1");
    Call.send(Status, Headers, "");
  }
  HttpHeaders headers(const std::string &Id) const {
    return {{"Request-Id", Id},
            {"Server-Stamp", "x"},
            {"Weight-Versions", std::to_string(this->Version)},
            {"Server-Load", std::to_string(this->Active) + "," +
                                std::to_string(this->Queue.size()) + "," +
                                std::to_string(this->Settings.Slots)}};
  }
  void after(Duration Delay, const std::function<void()> &Action) {
    this->Connections.push_back(this->Loop.timers().after(Delay, Action));
  }

  EventLoop &Loop;
  WeightsHistory &Seen;
  WeightedEngineSettings Settings;
  OnChanged Announce;
  std::uint64_t Version;
  std::uint64_t Loading = 0; ///< The version being loaded, or 0.
  int Sequence = 0;          ///< Orders accepted.
  int Active = 0;
  bool IsHeld = false;
  std::deque<Entry> Queue;
  std::vector<Entry> Held; ///< Runs that would have ended.
  SocketAddress Address;
  CallListener Listener;
  std::vector<sigc::connection> Connections;
};

} // namespace galenaroute::testing_support

#endif // GALENAROUTE_TESTS_WEIGHTEDENGINES_H
