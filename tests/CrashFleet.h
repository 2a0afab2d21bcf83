// A fleet of entries before engines that crash when they begin to answer a call
// with certain prompt parts.
//
//   CrashFleet Fleet({.Entries = 36, .CrashingParts = 1, .Seed = 1});
//   Fleet.run(9s);
//   EXPECT_LE(Fleet.lateCrashingCalls(0), 3u);
//   EXPECT_GE(Fleet.servedShare(), 0.5);
//
// Each entry runs CrashExchange; the messages between them are delivered on the
// loop, and some are lost. No two calls are alike. All calls of a customer have
// the same first part, and the other parts come from a small set. A crash
// breaks all calls at the engine, which restarts after RestartTime. The calls,
// engines and faults are drawn from the seed.

#ifndef GALENAROUTE_TESTS_CRASHFLEET_H
#define GALENAROUTE_TESTS_CRASHFLEET_H

#include "FakePlatform.h"
#include "process/CrashExchange.h"
#include "process/GossipMessages.h"
#include "request/CrashSuspects.h"

#include <random>

namespace galenaroute::testing_support {

struct CrashFleetSettings {
  std::size_t Entries = 6;
  std::size_t CrashingParts = 1;
  /// Of all callers together.
  double SoundCallsPerSecond = 200;
  double CrashingCallsPerSecond = 20; ///< With each crashing part.
  double LossShare = 0;               ///< Of the messages between entries.
  /// Entries restart and are cut off, and the platform is down for a time.
  bool HasFaults = false;
  std::uint64_t Seed = 1;
};

class CrashFleet {
public:
  explicit CrashFleet(const CrashFleetSettings &Settings)
      : Settings(Settings), Random(Settings.Seed),
        Engines(std::max<std::size_t>(16, Settings.Entries / 3)),
        Crashes(Settings.CrashingParts), Arrivals(Settings.CrashingParts) {
    std::vector<EntryRecord> All(Settings.Entries);
    for (std::size_t I = 0; I < All.size(); ++I) {
      All[I].Id = "n" + std::to_string(I);
      All[I].Heartbeat = 1;
      All[I].Gossip = {"127.0.0.1", static_cast<std::uint16_t>(I + 1)};
    }
    for (const EntryRecord &Each : All) {
      this->Entries.push_back(std::make_unique<Entry>(Each));
      this->Entries.back()->Gossip.receive(All, EventLoop::now());
      this->start(this->Entries.size() - 1);
    }
    this->PlatformTimer = this->Loop.timers().every(
        std::chrono::milliseconds(5), [this] { this->Api.drain(40); });
  }
  ~CrashFleet() { this->PlatformTimer.disconnect(); }

  void run(Duration Length) {
    this->scheduleGossip();
    this->scheduleCall(std::nullopt);
    for (std::size_t I = 0; I < this->Settings.CrashingParts; ++I)
      this->scheduleCall(I);
    if (this->Settings.HasFaults)
      this->scheduleFault();
    this->Loop.runUntil([] { return false; }, Length);
    // On a busy machine the loop is behind, so that too few calls came yet.
    this->Loop.runUntil(
        [this] { return this->countSoundCalls().All >= MinSoundCalls; },
        Length);
  }

  std::size_t crashes(std::size_t Part) const {
    return this->Crashes[Part].size();
  }
  /// Counts the calls with the crashing part that entries in touch sent later
  /// than ContactTime after its fifth crash.
  std::size_t lateCrashingCalls(std::size_t Part) const {
    if (this->Crashes[Part].size() < 5)
      return 0;
    return static_cast<std::size_t>(
        std::count_if(this->Arrivals[Part].begin(), this->Arrivals[Part].end(),
                      [&](TimePoint At) {
                        return At > this->Crashes[Part][4] + ContactTime;
                      }));
  }
  /// Returns the share of the sound calls that entries in touch sent, of those
  /// that arrived later than ContactTime after the fifth crash with each part,
  /// or its last one.
  double servedShare() const {
    const SoundCallCount Count = this->countSoundCalls();
    return Count.All < MinSoundCalls ? 0 : Count.Sent / Count.All;
  }
  std::size_t messages() const { return this->Messages; }
  std::size_t mostKeys() const { return this->MostKeys; }

private:
  static constexpr Duration ContactTime = std::chrono::seconds(3);
  static constexpr Duration RestartTime = std::chrono::seconds(1);
  static constexpr Duration GossipPeriod = std::chrono::milliseconds(500);
  static constexpr double MinSoundCalls = 20;
  static constexpr unsigned Customers = 3;
  static constexpr unsigned OtherParts = 40;

  struct Entry {
    explicit Entry(const EntryRecord &Self) : Gossip(Self, {}) {}
    EntryGossip Gossip;
    CrashRecord Record;
    AnsweredKeys Answered;
    std::unique_ptr<CrashExchange> Exchange;
    std::uint64_t Starts = 0;
    TimePoint CutUntil;
    TimePoint OutOfTouchUntil;
  };
  struct Send {
    std::size_t Entry = 0;
    std::uint64_t Starts = 0; ///< Of the entry.
    UnansweredSend Suspect;
    std::optional<std::size_t> CrashingPart;
    bool IsAnswered = false;
  };
  struct Engine {
    std::uint64_t Incarnation = 0;
    bool IsUp = true;
    std::map<std::uint64_t, Send> Sends;
  };

  struct SoundCallCount {
    double Sent = 0;
    double All = 0;
  };

  /// Counts the sound calls of servedShare().
  SoundCallCount countSoundCalls() const {
    TimePoint From{};
    for (const auto &Each : this->Crashes)
      if (!Each.empty())
        From = std::max(From, Each[std::min<std::size_t>(Each.size(), 5) - 1] +
                                  ContactTime);
    SoundCallCount Count;
    for (const auto &[At, IsSent] : this->SoundCalls)
      if (At > From) {
        ++Count.All;
        Count.Sent += IsSent;
      }
    return Count;
  }

  double draw() {
    return std::uniform_real_distribution<double>(0, 1)(this->Random);
  }
  std::size_t draw(std::size_t Count) {
    return static_cast<std::size_t>(this->Random() % Count);
  }
  void after(Duration Delay, const TimerService::Slot &Action) {
    this->Loop.timers().after(Delay, Action);
  }
  /// Returns the time until the next event of a Poisson process.
  Duration gap(double PerSecond) {
    return fromSeconds(
        std::exponential_distribution<double>(PerSecond)(this->Random));
  }

  /// Starts an entry, or restarts it with no state.
  void start(std::size_t Index) {
    Entry &Each = *this->Entries[Index];
    Each.Exchange.reset();
    Each.Record = {};
    Each.Answered = {};
    ++Each.Starts;
    Each.Exchange = std::make_unique<CrashExchange>(CrashExchangeParts{
        .Loop = this->Loop,
        .Record = Each.Record,
        .Api = this->Api,
        .Entries = Each.Gossip,
        .Send =
            [this, Index](const SocketAddress &To, const std::string &Bytes) {
              this->deliver(Index, To.Port - 1u, Bytes);
            },
        .LastAnswered =
            [&Each](std::uint64_t Key) {
              return lastAnswered(Each.Answered, Key);
            }});
    Each.Exchange->start();
  }

  void deliver(std::size_t From, std::size_t To, const std::string &Bytes) {
    ++this->Messages;
    if (this->isCut(From) || this->isCut(To) ||
        this->draw() < this->Settings.LossShare)
      return;
    this->after(Duration::zero(), [this, To, Bytes] {
      this->Entries[To]->Exchange->receive(decodeGossip(Bytes).Crashes);
    });
  }
  bool isCut(std::size_t Index) const {
    return EventLoop::now() < this->Entries[Index]->CutUntil;
  }
  bool isInTouch(std::size_t Index) const {
    return EventLoop::now() >= this->Entries[Index]->OutOfTouchUntil;
  }

  void scheduleGossip() {
    this->after(GossipPeriod, [this] {
      for (const auto &Each : this->Entries) {
        std::vector<SocketAddress> Targets;
        Targets.reserve(6);
        for (int I = 0; I < 6; ++I)
          Targets.push_back(this->Entries[this->draw(this->Entries.size())]
                                ->Gossip.self()
                                .Gossip);
        Each->Exchange->onGossipRound(Targets);
        this->MostKeys = std::max(this->MostKeys, Each->Record.Keys.size());
      }
      this->scheduleGossip();
    });
  }

  void scheduleFault() {
    this->after(
        std::max<Duration>(std::chrono::milliseconds(400),
                           std::chrono::seconds(12) / this->Entries.size()),
        [this] {
          const std::size_t Index = this->draw(this->Entries.size());
          const Duration Cut =
              this->draw() < 0.5 ? std::chrono::seconds(1) : Duration::zero();
          Entry &Each = *this->Entries[Index];
          Each.OutOfTouchUntil = EventLoop::now() + Cut + ContactTime;
          if (Cut > Duration::zero())
            Each.CutUntil = EventLoop::now() + Cut;
          else
            this->start(Index);
          this->Api.Outage = this->draw() < 0.3;
          this->scheduleFault();
        });
  }

  void scheduleCall(std::optional<std::size_t> CrashingPart) {
    this->after(this->gap(CrashingPart ? this->Settings.CrashingCallsPerSecond
                                       : this->Settings.SoundCallsPerSecond),
                [this, CrashingPart] {
                  this->call(CrashingPart);
                  this->scheduleCall(CrashingPart);
                });
  }

  void call(std::optional<std::size_t> CrashingPart) {
    const std::size_t Index = this->draw(this->Entries.size());
    Entry &At = *this->Entries[Index];
    std::vector<PromptPart> Parts = {
        {"customer" + std::to_string(this->draw(Customers)), 100}};
    if (CrashingPart)
      Parts.push_back({"crashing" + std::to_string(*CrashingPart), 100});
    Parts.push_back({"other" + std::to_string(this->draw(OtherParts)), 100});
    Parts.push_back({"last", 100});
    const TimePoint Now = EventLoop::now();
    const std::vector<std::uint64_t> Keys =
        crashKeys(mixBits(++this->Calls), "s", Parts);
    const bool IsRefused = refusedUntil(At.Record, Keys, Now).has_value();
    if (!CrashingPart && this->isInTouch(Index))
      this->SoundCalls.emplace_back(Now, !IsRefused);
    if (IsRefused)
      return;
    const std::size_t To = this->draw(this->Engines.size());
    Engine &Chosen = this->Engines[To];
    if (!Chosen.IsUp)
      return;
    if (CrashingPart && this->isInTouch(Index))
      this->Arrivals[*CrashingPart].push_back(Now);
    Chosen.Sends[this->Calls] = {
        Index,
        At.Starts,
        {mixBits(To * 1000 + Chosen.Incarnation), Keys, Now, Now},
        CrashingPart};
    this->after(std::chrono::milliseconds(20) +
                    scaled(std::chrono::milliseconds(300), this->draw()),
                [this, To, Call = this->Calls] { this->begin(To, Call); });
  }

  /// An engine begins to write its answer to a call.
  void begin(std::size_t At, std::uint64_t Call) {
    const auto Found = this->Engines[At].Sends.find(Call);
    if (Found == this->Engines[At].Sends.end())
      return;
    Send &Begun = Found->second;
    if (Begun.CrashingPart) {
      this->Crashes[*Begun.CrashingPart].push_back(EventLoop::now());
      this->crash(At);
      return;
    }
    Begun.IsAnswered = true;
    Entry &Of = *this->Entries[Begun.Entry];
    if (Of.Starts == Begun.Starts)
      for (const ClearedKey &Each : noteAnsweredParts(
               Of.Record, Of.Answered, Begun.Suspect.Keys, EventLoop::now()))
        Of.Exchange->publish(Each.Key, Each.Crashes);
    this->after(std::chrono::milliseconds(200),
                [this, At, Call] { this->Engines[At].Sends.erase(Call); });
  }

  void crash(std::size_t At) {
    Engine &Crashed = this->Engines[At];
    Crashed.IsUp = false;
    std::map<std::uint64_t, Send> Broken = std::exchange(Crashed.Sends, {});
    for (auto &[Call, Each] : Broken) {
      Entry &Of = *this->Entries[Each.Entry];
      if (Of.Starts != Each.Starts)
        continue;
      Each.Suspect.EndedAt = EventLoop::now();
      if (Each.IsAnswered)
        Each.Suspect.Keys.resize(1);
      for (const std::uint64_t Key :
           noteBrokenSend(Of.Record, Of.Answered, Each.Suspect))
        Of.Exchange->publish(Key);
    }
    this->after(RestartTime, [this, At] {
      ++this->Engines[At].Incarnation;
      this->Engines[At].IsUp = true;
    });
  }

  const CrashFleetSettings Settings;
  EventLoop Loop;
  FakePlatform Api;
  std::mt19937_64 Random;
  std::vector<std::unique_ptr<Entry>> Entries;
  std::vector<Engine> Engines;
  /// By crashing part.
  std::vector<std::vector<TimePoint>> Crashes;
  std::vector<std::vector<TimePoint>> Arrivals;
  std::vector<std::pair<TimePoint, bool>> SoundCalls;
  std::uint64_t Calls = 0;
  std::size_t Messages = 0;
  std::size_t MostKeys = 0;
  sigc::connection PlatformTimer;
};

} // namespace galenaroute::testing_support

#endif // GALENAROUTE_TESTS_CRASHFLEET_H
