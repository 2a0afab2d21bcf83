#include "LoadRun.h"

#include "GeneratedText.h"

namespace galenaroute::bench {

using namespace std::chrono_literals;
using nlohmann::json;
using testing_support::StreamEvent;

namespace {

/// Calls that are open or ended, by their place in the plan.
struct OpenCall {
  std::unique_ptr<HttpExchange> Exchange;
  std::string Body;
  int Status = 0;
  bool HasEnded = false;
};

class LoadRun {
public:
  LoadRun(Fleet &Target, std::span<const PlannedCall> Calls)
      : Target(Target), Calls(Calls), Open(Calls.size()),
        Records(Calls.size()) {}

  std::vector<CallRecord> run(const WorkloadSettings &Settings,
                              Duration Drain) {
    EventLoop &Loop = this->Target.harness().loop();
    this->Started = EventLoop::now();
    std::vector<sigc::connection> Timers;
    for (std::size_t I = 0; I < this->Calls.size(); ++I) {
      this->Records[I].At = this->Calls[I].At;
      this->Records[I].Class = this->Calls[I].Class;
      Timers.push_back(
          Loop.timers().after(this->Calls[I].At, [this, I] { this->send(I); }));
    }
    const Duration SlowAt =
        fromSeconds(toSeconds(Settings.Length) * Settings.SlowFrom);
    const Duration SlowSpan = fromSeconds(
        toSeconds(Settings.Length) * (Settings.SlowTo - Settings.SlowFrom));
    Timers.push_back(Loop.timers().after(
        SlowAt, [this, SlowSpan] { this->Target.slowEngines(SlowSpan); }));
    Loop.runUntil([this] { return this->Ended == this->Calls.size(); },
                  Settings.Length + Drain);
    for (sigc::connection &Each : Timers)
      Each.disconnect();
    this->Open.clear();
    return std::move(this->Records);
  }

private:
  HttpCall makeCall(const PlannedCall &Call) const {
    const auto &Parts = this->Target.parts();
    HttpCallBuilder Builder(this->Target.entry(Call.Entry));
    const std::string Plain = "/services/" + Parts.PlainService;
    if (Call.Class == CallClass::Lookup) {
      Builder.get(Plain + Parts.ReadPath + "/7");
    } else if (Call.Class == CallClass::Payment) {
      Builder.post(Plain + Parts.PaidPath, "{}")
          .header("Idempotency-Key", Call.Key)
          .header("X-Request-Id", Call.Key);
    } else {
      const json Body = {{"model", Parts.Model},
                         {"prompt", Call.Prompt},
                         {"max_tokens", Call.Answer},
                         {"stream", true}};
      Builder.post("/v1/completions", Body.dump());
    }
    return Builder
        .header("Authorization",
                "Bearer " + this->Target.customerKey(Call.Customer))
        .idleTimeout(30s)
        .build();
  }

  void send(std::size_t Index) {
    OpenCall &State = this->Open[Index];
    HttpCallbacks Callbacks;
    Callbacks.OnHead = [&State](int Status, const HttpHeaders &) {
      State.Status = Status;
    };
    Callbacks.OnChunk = [this, &State, Index](std::string_view Bytes) {
      State.Body += Bytes;
      if (State.Status == 200)
        this->noteFirst(Index);
    };
    Callbacks.OnDone = [this, Index](const HttpResult &Result) {
      this->end(Index, Result);
    };
    State.Exchange = this->Target.harness().client().start(
        this->makeCall(this->Calls[Index]), std::move(Callbacks));
  }

  void noteFirst(std::size_t Index) {
    // A caller counts from when it wanted to call, also when the sender was
    // late, so that a stalled system cannot hide delays.
    if (this->Records[Index].FirstSeconds < 0)
      this->Records[Index].FirstSeconds =
          toSeconds(EventLoop::now() - this->Started - this->Calls[Index].At);
  }

  void end(std::size_t Index, const HttpResult &Result) {
    ++this->Ended;
    this->Records[Index].End = this->judge(Index, Result);
    this->Open[Index].Body = {};
  }

  Outcome judge(std::size_t Index, const HttpResult &Result) const {
    const PlannedCall &Call = this->Calls[Index];
    const std::string &Body = this->Open[Index].Body;
    if (Result.End == HttpEnd::ConnectFailed)
      return Outcome::Refused;
    if (Result.End != HttpEnd::Complete)
      return Outcome::Lost;
    if (Result.Status != 200) {
      const json Parsed = json::parse(Body, nullptr, false);
      const bool IsNotRun = Parsed.is_object() && Parsed.contains("error") &&
                            Parsed["error"].value("run", "") == "not_run";
      return IsNotRun ? Outcome::Refused : Outcome::Lost;
    }
    if (Call.Prompt.empty())
      return Outcome::Answered;
    const std::vector<StreamEvent> Events = testing_support::parseEvents(Body);
    if (Events.empty() || Events.back().Data != "[DONE]")
      return Outcome::Lost;
    return testing_support::eventText(Events) ==
                   emulator::wholeAnswer(
                       Call.Prompt, static_cast<std::uint64_t>(Call.Answer))
               ? Outcome::Answered
               : Outcome::Wrong;
  }

  Fleet &Target;
  std::span<const PlannedCall> Calls;
  std::vector<OpenCall> Open;
  std::vector<CallRecord> Records;
  std::size_t Ended = 0;
  TimePoint Started;
};

} // namespace

RunRecord runLoad(Fleet &Target, std::span<const PlannedCall> Calls,
                  const WorkloadSettings &Settings, Duration Drain) {
  RunRecord Result;
  Result.Calls = LoadRun(Target, Calls).run(Settings, Drain);
  Result.Counts = Target.counts();
  return Result;
}

} // namespace galenaroute::bench
