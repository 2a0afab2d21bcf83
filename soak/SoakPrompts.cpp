#include "SoakPrompts.h"

namespace galenaroute::soak {

using namespace std::chrono_literals;
using testing_support::CrashEnd;
using testing_support::PromptCall;

static constexpr std::size_t EngineCount = 16;
static constexpr int BrokenOffOneIn = 40;
static constexpr Duration SoundGap = 60ms;
static constexpr Duration CrashingGap = 150ms;
/// Until the first crashing part, and from each to the next. Shorter than
/// PartTime, so that two overlap.
static constexpr Duration FirstPartAfter = 3s;
static constexpr Duration PartPeriod = 8s;
/// How long calls with a crashing part are sent: past the time in which sound
/// calls are compared.
static constexpr Duration PartTime = 12s;

/// Prompts that share a customer, the first part or other parts with those of
/// the crashing calls, in turn.
static const PromptCall SoundPrompts[] = {
    {"/chat/a", "k1", {"aa01", "bb02"}},
    {"/resume/a", "k2", {"aa01", "cc03", "bb02"}},
    {"/chat/a", "k1", {"dd04"}},
    {"/resume/a", "k1", {"aa01"}},
};

nlohmann::json withPrompts(nlohmann::json Config) {
  for (const bool IsResumable : {false, true}) {
    const std::string Name = IsResumable ? "resume" : "chat";
    Config["routes"].push_back({{"name", Name},
                                {"host", "h"},
                                {"pathPrefix", "/" + Name + "/"},
                                {"kind", "stream"},
                                {"resumable", IsResumable},
                                {"sticky", true},
                                {"timeoutMs", 1500},
                                {"targetLatencyMs", 200},
                                {"gapAimMs", 200},
                                {"priority", 1},
                                {"service", "engines"},
                                {"maxAttempts", IsResumable ? 2 : 1}});
  }
  Config["services"].push_back(
      {{"name", "engines"},
       {"maxConns", 400},
       {"engine",
        {{"slots", 50},
         {"kvCapacity", 200000},
         {"kvTokenBytes", 16},
         {"models", nlohmann::json::array({{{"name", "m"}}})}}}});
  Config["tenants"] = nlohmann::json::array(
      {{{"name", "c1"}, {"apiKeys", nlohmann::json::array({"k1"})}},
       {{"name", "c2"}, {"apiKeys", nlohmann::json::array({"k2"})}}});
  return Config;
}

SoakPrompts::SoakPrompts(EventLoop &Loop,
                         testing_support::FakePlatformServer &Store,
                         const testing_support::PlatformDaemons &Places)
    : Loop(Loop), Places(Places),
      Engines(Loop,
              [&Store](const std::string &Id, const nlohmann::json &Spec) {
                Store.put("servers", Id, Spec);
              },
              {.Count = EngineCount,
               .Service = "engines",
               .End = CrashEnd::Mixed,
               .Network = Places.Network,
               .BrokenOffOneIn = BrokenOffOneIn}),
      Callers([this](std::size_t Daemon) {
        return this->Places.callerAddress(Daemon);
      }) {}

SoakPrompts::~SoakPrompts() { this->stop(); }

void SoakPrompts::stop() {
  for (sigc::connection &Each : this->Timers)
    Each.disconnect();
}

void SoakPrompts::after(Duration Delay, const std::function<void()> &Action) {
  this->Timers.push_back(this->Loop.timers().after(Delay, Action));
}

void SoakPrompts::start(Duration Length) {
  this->Timers.push_back(
      this->Loop.timers().every(SoundGap, [this] { this->sendSound(); }));
  for (Duration At = FirstPartAfter; At + PartTime <= Length; At += PartPeriod)
    this->after(At, [this] { this->beginPart(); });
}

void SoakPrompts::sendSound() {
  const std::size_t Number = this->SoundCalls++;
  const PromptCall &Call =
      SoundPrompts[Number / this->Places.Count % std::size(SoundPrompts)];
  if (const auto Index = this->Callers.send(Number % this->Places.Count, Call))
    this->Sound.push_back({*Index, Call.Key, Call.Parts.front()});
}

void SoakPrompts::beginPart() {
  const std::string Part = "ee" + std::to_string(10 + this->Parts.size());
  this->Engines.addCrashingPart(Part);
  const TimePoint Now = EventLoop::now();
  this->Parts[Part] = {.Key = "k1", .From = Now, .Until = Now + PartTime};
  this->sendCrashing(Part);
}

/// Sends a call with a crashing part, which is the first part or a later one,
/// and the next one after a while.
void SoakPrompts::sendCrashing(const std::string &Part) {
  const std::size_t Number = this->CrashingCalls++;
  CrashingPartView &View = this->Parts.at(Part);
  if (EventLoop::now() > View.Until)
    return;
  PromptCall Call{Number % 3 == 0 ? "/resume/a" : "/chat/a", View.Key, {}};
  const bool IsFirst = Part.back() % 2 == 1;
  if (IsFirst)
    Call.Parts = {Part, "bb02"};
  else
    Call.Parts = {"aa01", "bb02", Part};
  View.FirstPart = Call.Parts.front();
  this->Callers.send(Number % this->Places.Count, Call);
  this->after(CrashingGap, [this, Part] { this->sendCrashing(Part); });
}

void SoakPrompts::crashEngine(std::size_t Target) {
  this->Engines.crashWithoutCause(Target % EngineCount);
}

PromptHistory SoakPrompts::history() const {
  PromptHistory Result;
  Result.EventsOfWhole = testing_support::PromptUpstreamSettings().Events;
  for (const SentPrompt &Each : this->Sound) {
    const auto &Sent = this->Callers.calls()[Each.Index];
    Result.Sound.push_back({Sent.Gateway, Each.Key, Each.FirstPart, Sent.At,
                            Sent.Events, Sent.IsWhole});
  }
  Result.Parts = this->Parts;
  for (auto &[Id, Part] : Result.Parts)
    if (const auto Seen = this->Engines.Crashes.find(Id);
        Seen != this->Engines.Crashes.end())
      Part.Crashes = Seen->second;
  for (const auto &Each : this->Engines.Arrivals)
    Result.Arrivals.push_back({Each.Part, Each.Gateway, Each.At});
  return Result;
}

} // namespace galenaroute::soak
