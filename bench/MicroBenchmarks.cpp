// Costs of the decisions on the request path, and a queueing experiment that
// compares routing policies under lagged load reports.
//
//   galenaroute-microbench --benchmark_filter=route

#include "process/EntryGossip.h"
#include "process/GossipMessages.h"
#include "request/Admission.h"
#include "request/BlockChain.h"
#include "request/CachePlan.h"
#include "request/ForwardQueue.h"
#include "request/QueueAdmission.h"
#include "request/UpstreamTable.h"
#include "request/UpstreamTracker.h"

#include <benchmark/benchmark.h>
#include <cmath>
#include <nlohmann/json.hpp>
#include <queue>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1000s};

ServiceConfig serviceOf(std::int64_t Count) {
  ServiceConfig Service{.Name = "m", .Slots = 8};
  for (std::int64_t I = 0; I < Count; ++I)
    Service.Upstreams.push_back({.Name = "u" + std::to_string(I), .Zone = "a"});
  return Service;
}

/// One decision as the daemon makes it: views, choice and the note of sending
/// and ending. Its cost must not grow beyond the subset.
void routeDecision(benchmark::State &Run) {
  UpstreamTracker Tracker;
  setUpstreams(Tracker, serviceOf(Run.range(0)), "cell", "a", {});
  RandomGenerator Generator(1);
  for (const auto &[Name, Record] : Tracker.Upstreams) {
    const LoadReport Report{.SampledAt = Start,
                            .QueuedTokens =
                                static_cast<double>(Generator() % 10000),
                            .PrefillTokensPerSecond = 10000};
    noteLoadReport(Tracker, Name, Report, Start);
  }
  RouteState State;
  std::vector<UpstreamView> Views;
  const std::string Attempt = "0123456789abcdef0123456789abcdef";
  TimePoint Now = Start;
  for (auto _ : Run) {
    Now += 10us;
    viewsOf(Tracker, Now, Views);
    const auto Choice =
        chooseUpstream(RoutePolicy::ExpectedTime, {.PromptTokens = 2000}, Views,
                       State, Generator);
    noteSent(Tracker,
             {.Attempt = Attempt,
              .Upstream = std::string(Views[Choice->Index].Name),
              .UncachedTokens = 2000},
             Now);
    noteFinished(Tracker, Attempt, 10, Now + 5us);
  }
  Run.counters["subset"] = static_cast<double>(Views.size());
}
BENCHMARK(routeDecision)->Arg(3)->Arg(20)->Arg(200)->Arg(6900);

/// Block keys of a prompt of the given number of thousand tokens.
void blockHashing(benchmark::State &Run) {
  const std::string Prompt(static_cast<std::size_t>(Run.range(0)) * BlockBytes,
                           'x');
  const CacheScope Scope{"marshals", "steward-7b", "v1", ""};
  for (auto _ : Run)
    benchmark::DoNotOptimize(blockKeys(Scope, Prompt));
  Run.counters["per_1000_tokens"] = benchmark::Counter(
      static_cast<double>(Run.iterations() * Run.range(0)),
      benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(blockHashing)->Arg(1)->Arg(8)->Arg(64);

/// One request through its queue, with the given number of others waiting.
void admission(benchmark::State &Run) {
  AdmissionState State;
  State.Options.MaxQueuedPerClass = 1 << 20;
  RandomGenerator Generator(1);
  std::uint64_t Id = 0;
  const auto Request = [&] {
    ++Id;
    return AdmissionRequest{.Id = Id,
                            .Customer = "c" + std::to_string(Id % 10),
                            .MaxInFlight = 1 << 20,
                            .Class = static_cast<PromptClass>(Id % 3),
                            .Deadline = Start + 1h};
  };
  for (std::int64_t I = 0; I < Run.range(0); ++I)
    offer(State, Request(), 1e9, Start, Generator);
  for (auto _ : Run) {
    offer(State, Request(), 1e9, Start, Generator);
    finish(State, takeNext(State, {1, 1, 1}, Start)->Id, 0.1);
  }
}
BENCHMARK(admission)->Arg(0)->Arg(100)->Arg(1000)->Arg(10000);

/// The reuse plan of a prompt of 32 blocks over 20 upstreams and 2 stores.
void reusePlan(benchmark::State &Run) {
  CacheIndex Index;
  const std::vector<BlockKey> Keys =
      blockKeys({"c", "m", "v", ""}, std::string(32 * BlockBytes, 'x'));
  LinkMap Links;
  for (const char *Store : {"s0", "s1"}) {
    addHolder(Index, Store, HolderKind::Store);
    applyListing(Index, Store, 1, Keys);
    Links[Store].BytesPerSecond = 1e9;
  }
  std::vector<std::string> Names;
  Names.reserve(20);
  for (int I = 0; I < 20; ++I)
    Names.push_back("u" + std::to_string(I));
  std::vector<UpstreamView> Views;
  for (const std::string &Name : Names) {
    addHolder(Index, Name, HolderKind::Engine);
    Views.push_back({.Name = Name, .PrefillTokensPerSecond = 10000});
  }
  const PromptToPlan Prompt{
      .Customer = "c", .PromptTokens = 32000, .Blocks = Keys.size()};
  for (auto _ : Run)
    benchmark::DoNotOptimize(
        planReuse(heldPrefixes(Index, Keys), Prompt, Links, Views, {}));
}
BENCHMARK(reusePlan);

/// A table of engines and the use that 66 other gateways report.
UpstreamTable loadedTable(std::int64_t Engines) {
  UpstreamTable Table({.Zone = "a"}, [](const UpstreamEntry &) {
    return UpstreamTable::ConnectionCapacity{};
  });
  std::vector<UseItem> Use;
  for (std::int64_t I = 0; I < Engines; ++I) {
    RegisteredUpstream Engine;
    Engine.Id = "e" + std::to_string(I);
    Engine.Service = "m";
    Engine.Zone = "a";
    Engine.Slots = 16;
    Engine.WeightVersions = {{"model", 1}};
    Table.put(Engine, Start);
    Use.push_back({useKey(Engine.Id), {15, 60000, 1000, {4, 1}}});
  }
  Table.setGatewayCount(67);
  Table.peerUse().setReport("others", std::move(Use), Start, 66);
  return Table;
}

/// Choice of an engine for a call of the last of three priorities, or, with a
/// second argument of 0, of a service with one priority.
void engineChoice(benchmark::State &Run) {
  UpstreamTable Table = loadedTable(Run.range(0));
  UpstreamQuery Query;
  Query.Service = "m";
  Query.Subject = "subject";
  Query.HomeZone = "a";
  Query.EngineTokens = 95437;
  Query.CallTokens = 12034;
  if (Run.range(1) != 0)
    Query.Class = 2;
  Table.noteWanted(Query, Start);
  Table.updateEstimates(Start);
  for (auto _ : Run) {
    ++Query.Draw;
    benchmark::DoNotOptimize(Table.choose(Query, Start));
  }
}
BENCHMARK(engineChoice)->Args({140, 0})->Args({140, 1});

/// The update of the estimates in each status period.
void engineEstimates(benchmark::State &Run) {
  UpstreamTable Table = loadedTable(Run.range(0));
  UpstreamQuery Query;
  Query.Service = "m";
  Query.Class = 2;
  Query.EngineTokens = 95437;
  Table.noteWanted(Query, Start);
  for (auto _ : Run)
    Table.updateEstimates(Start);
}
BENCHMARK(engineEstimates)->Arg(140);

/// Whether a new call is queued, at 140 engines, as WaitingRuns and ForwardRun
/// decide it with the given number of queued calls.
void queueAdmission(benchmark::State &Run) {
  UpstreamTable Table = loadedTable(140);
  UpstreamQuery Query;
  Query.Service = "m";
  Query.Class = 2;
  Query.EngineTokens = 95437;
  Table.noteWanted(Query, Start);
  Table.updateEstimates(Start);
  QueuedWork Own;
  for (std::int64_t I = 0; I < Run.range(0); ++I)
    addCall(Own, static_cast<std::size_t>(I) % PriorityClasses, I % 2 == 0,
            100ms);
  FleetBacklog Backlog;
  setReport(Backlog, "relay", {{useKey("m"), Own}}, Start, 66);
  for (auto _ : Run) {
    const ServiceSlots Slots = Table.slotsOf("m");
    benchmark::DoNotOptimize(mayRefuse(Slots, Backlog, 2, Start, {}));
    benchmark::DoNotOptimize(
        expectedWait(Slots, Own, backlogOfOthers(Backlog, useKey("m"), Start),
                     {.Class = 2, .UntilLate = 900ms, .MaxWait = 3s}, {}));
  }
}
BENCHMARK(queueAdmission)->Arg(0)->Arg(1000);

/// The order of the queue and the sum of its work, once for each pass.
void queueOrder(benchmark::State &Run) {
  std::vector<WaitingCall> Calls;
  for (std::int64_t I = 0; I < Run.range(0); ++I) {
    const Duration Age = 1ms * (I * 7919 % 1500);
    Calls.push_back({.Priority = static_cast<int>(I % 3),
                     .Class = static_cast<std::size_t>(I % 3),
                     .Work = 1ms * (I % 200),
                     .SlotTime = 1s,
                     .Arrived = Start - Age,
                     .WaitingSince = Start - Age,
                     .TargetAt = Start - Age + 1200ms,
                     .Deadline = Start - Age + 12s});
  }
  const ForwardQueueSettings Settings;
  for (auto _ : Run) {
    benchmark::DoNotOptimize(sendingOrder(Calls, Settings, Start));
    QueuedWork Sum;
    for (const WaitingCall &Each : Calls)
      addCall(Sum, *Each.Class, Start > lateFrom(Each, Settings),
              Each.SlotTime);
    benchmark::DoNotOptimize(Sum);
  }
}
BENCHMARK(queueOrder)->Arg(1000);

/// One choice among the registered engines for a prompt of 60 subjects, with
/// reports of 66 other gateways and a cache state of each engine; a plain call
/// if the second argument is 0.
void tableChoice(benchmark::State &Run) {
  UpstreamTable Table({.Zone = "a"}, [](const UpstreamEntry &) {
    return UpstreamTable::ConnectionCapacity{.HasIdle = false};
  });
  const bool HasPrompt = Run.range(1) != 0;
  std::vector<UseItem> Items;
  std::vector<std::string> Ids;
  for (std::int64_t I = 0; I < Run.range(0); ++I) {
    RegisteredUpstream Each;
    Each.Id = "engine-" + std::to_string(I) + "-0123";
    Each.Service = "m";
    Each.Address = {"10.0.0." + std::to_string(I), 80};
    Each.Zone = I % 3 == 0 ? "a" : I % 3 == 1 ? "b" : "c";
    Each.Slots = 16;
    Each.BornMs = 1;
    if (HasPrompt)
      Each.WeightVersions = {{"model", 1}};
    Table.put(Each, Start);
    Table.noteLoad(Each.Id,
                   {.Running = static_cast<int>(I % 9), .Slots = Each.Slots},
                   Start);
    Ids.push_back(Each.Id);
    Items.push_back({useKey(Each.Id),
                     {.Calls = static_cast<std::uint64_t>(I % 9),
                      .Tokens = static_cast<std::uint64_t>(I % 9) * 5000}});
  }
  Table.setGatewayCount(67);
  Table.peerUse().setReport("others", Items, Start, 66);
  const auto QueryOf = [&](std::uint64_t Number,
                           std::vector<PromptPart> &Parts) {
    UpstreamQuery Query{.Service = "m", .HomeZone = "b", .Draw = Number};
    Query.ScopeOf = [](std::uint64_t Weights) {
      return scopeOf("m", Weights, "");
    };
    Query.StoredIn = [](const std::string &, std::uint32_t) {
      return static_cast<const StoreView *>(nullptr);
    };
    if (!HasPrompt)
      return Query;
    Parts = {{"segment-" + std::to_string(Number % 60), 9122}, {"own", 2870}};
    Query.Parts = Parts;
    Query.Subject = lastSharedPart(Parts);
    Query.MemoryTokens = 57000;
    Query.EngineTokens = 95437;
    Query.CallTokens = 12034;
    return Query;
  };
  std::vector<PromptPart> Parts;
  for (std::size_t I = 0; I < Ids.size(); ++I)
    Table.noteParts(Ids[I], QueryOf(I, Parts));
  std::uint64_t Number = 0;
  for (auto _ : Run)
    benchmark::DoNotOptimize(
        Table.choose(QueryOf(++Number * 0x9e3779b97f4a7c15, Parts), Start));
}
BENCHMARK(tableChoice)
    ->Args({12, 1})
    ->Args({140, 1})
    ->Args({12, 0})
    ->Args({140, 0});

/// How the experiment sends.
enum class Sending {
  TwoChoices,    ///< Less reported load of two upstreams chosen at random.
  FixedPattern,  ///< A pattern computed from each report, until the next one.
  Estimate,      ///< The estimate of Routing.h.
  EstimateDigest ///< With digests of the other entries' work.
};

/// One prompt on its way.
struct SimulatedEnd {
  double At;
  int Entry;
  std::string Attempt;
  bool operator>(const SimulatedEnd &Other) const { return At > Other.At; }
};

/// Six entries send prompts to twelve single-server queues, of which two run
/// at 0.3 of their speed for two seconds out of ten. Loads are reported every
/// \p Lag and reach the entries another \p Lag later. Returns the waits.
std::vector<double> simulate(Sending Policy, double Load, double Lag,
                             unsigned Seed) {
  constexpr int Entries = 6, Servers = 12;
  constexpr double Speed = 10000, MeanTokens = 1000, End = 120;
  RandomGenerator Generator(Seed);
  std::exponential_distribution<double> Gap(Load * Servers * Speed /
                                            MeanTokens);
  std::uniform_real_distribution<double> Uniform;
  const auto At = [](double Seconds) { return Start + fromSeconds(Seconds); };
  std::vector<UpstreamTracker> Trackers(Entries);
  for (int E = 0; E < Entries; ++E)
    setUpstreams(Trackers[E], serviceOf(Servers), "cell", "a", {});
  std::vector<std::string> Names;
  for (const auto &[Name, Record] : Trackers[0].Upstreams)
    Names.push_back(Name);
  std::vector<double> FreeAt(Servers, 0), Reported(Servers, 0);
  std::vector<std::vector<int>> Patterns(Entries);
  std::vector<std::size_t> Positions(Entries, 0);
  std::vector<std::pair<double, std::vector<double>>> Samples;
  std::priority_queue<SimulatedEnd, std::vector<SimulatedEnd>, std::greater<>>
      Ends;
  std::vector<RouteState> States(Entries);
  std::vector<UpstreamView> Views;
  std::vector<double> Waits;
  double Now = 0, NextReport = 0, NextDigest = 0;
  std::uint64_t Id = 0;
  const auto SpeedAt = [&](int Server, double Time) {
    const int Phase = static_cast<int>(Time / 2) % 5;
    return Server / 2 == Phase ? 0.3 * Speed : Speed;
  };
  while (Now < End) {
    Now += Gap(Generator);
    while (!Ends.empty() && Ends.top().At <= Now) {
      noteFirstToken(Trackers[Ends.top().Entry], Ends.top().Attempt, {},
                     At(Ends.top().At));
      noteFinished(Trackers[Ends.top().Entry], Ends.top().Attempt, 1,
                   At(Ends.top().At));
      Ends.pop();
    }
    if (Now >= NextReport) {
      NextReport = Now + Lag;
      std::vector<double> Queued;
      Queued.reserve(Servers);
      for (int S = 0; S < Servers; ++S)
        Queued.push_back(std::max(FreeAt[S] - Now, 0.0) * SpeedAt(S, Now));
      Samples.emplace_back(Now, Queued);
      // The report that arrives now was sampled one lag earlier.
      const auto &[Sampled, Tokens] =
          Samples.size() > 1 ? Samples[Samples.size() - 2] : Samples.back();
      Reported = Tokens;
      for (int E = 0; E < Entries; ++E) {
        for (int S = 0; S < Servers; ++S) {
          const LoadReport Report{.SampledAt = At(Sampled),
                                  .QueuedTokens = Tokens[S],
                                  .PrefillTokensPerSecond = SpeedAt(S, Sampled),
                                  .Slots = 1000};
          noteLoadReport(Trackers[E], Names[S], Report, At(Now));
        }
        // Fills the lowest queues first, as far as one entry's part of the
        // arrivals until the next report reaches, and interleaves the result.
        std::vector<double> Levels;
        Levels.reserve(Servers);
        for (int S = 0; S < Servers; ++S)
          Levels.push_back(Tokens[S] / SpeedAt(S, Sampled));
        Patterns[E].clear();
        const int Length = std::max(
            Servers, static_cast<int>(std::ceil(Load * Servers * Speed /
                                                MeanTokens * Lag / Entries)));
        for (int I = 0; I < Length; ++I) {
          const auto Lowest = static_cast<int>(
              std::min_element(Levels.begin(), Levels.end()) - Levels.begin());
          Levels[Lowest] += Entries * MeanTokens / SpeedAt(Lowest, Sampled);
          Patterns[E].push_back(Lowest);
        }
        Positions[E] = Generator() % Patterns[E].size();
      }
    }
    if (Policy == Sending::EstimateDigest && Now >= NextDigest) {
      NextDigest = Now + 0.1;
      for (int From = 0; From < Entries; ++From)
        for (int To = 0; To < Entries; ++To)
          if (To != From)
            notePeerDigest(Trackers[To], Names[From], ownWork(Trackers[From]),
                           At(Now));
    }
    const int Entry = static_cast<int>(Generator() % Entries);
    // A few prompts run many times longer than the rest.
    const double Tokens = Uniform(Generator) < 0.02
                              ? 20 * MeanTokens
                              : 0.6 * MeanTokens * 2 * Uniform(Generator);
    std::size_t Chosen = 0;
    if (Policy == Sending::TwoChoices) {
      const std::size_t A = Generator() % Servers, B = Generator() % Servers;
      Chosen = Reported[A] <= Reported[B] ? A : B;
    } else if (Policy == Sending::FixedPattern) {
      auto &Pattern = Patterns[Entry];
      Chosen = static_cast<std::size_t>(
          Pattern[Positions[Entry]++ % Pattern.size()]);
    } else {
      viewsOf(Trackers[Entry], At(Now), Views);
      Chosen =
          chooseUpstream(RoutePolicy::ExpectedTime,
                         {.Class = PromptClass::Long, .PromptTokens = Tokens},
                         Views, States[Entry], Generator)
              ->Index;
    }
    const std::string Attempt = std::to_string(++Id);
    noteSent(Trackers[Entry],
             {.Attempt = Attempt,
              .Upstream = Names[Chosen],
              .Class = PromptClass::Long,
              .UncachedTokens = Tokens},
             At(Now));
    const double Begin = std::max(FreeAt[Chosen], Now);
    FreeAt[Chosen] = Begin + Tokens / SpeedAt(static_cast<int>(Chosen), Begin);
    Ends.push({FreeAt[Chosen], Entry, Attempt});
    if (Now > 5)
      Waits.push_back(Begin - Now);
  }
  std::sort(Waits.begin(), Waits.end());
  return Waits;
}

/// Arguments: policy, load in percent, lag in ms.
void sendingPolicy(benchmark::State &Run) {
  double Mean = 0, Median = 0, Tail = 0;
  constexpr int Seeds = 5;
  for (auto _ : Run)
    for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
      const std::vector<double> Waits =
          simulate(static_cast<Sending>(Run.range(0)),
                   static_cast<double>(Run.range(1)) / 100,
                   static_cast<double>(Run.range(2)) / 1000, Seed);
      double Sum = 0;
      for (const double Wait : Waits)
        Sum += Wait;
      Mean += Sum / static_cast<double>(Waits.size()) / Seeds;
      Median += Waits[Waits.size() / 2] / Seeds;
      Tail += Waits[Waits.size() * 99 / 100] / Seeds;
    }
  const double Iterations = static_cast<double>(Run.iterations());
  Run.counters["mean_ms"] = 1000 * Mean / Iterations;
  Run.counters["median_ms"] = 1000 * Median / Iterations;
  Run.counters["p99_ms"] = 1000 * Tail / Iterations;
}
BENCHMARK(sendingPolicy)
    ->ArgsProduct({{0, 1, 2, 3}, {50, 70, 80}, {100, 500}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

/// Reads a message of gossip in a fleet of 960 gateways, with records of as
/// many fields as given: 15 as the builds before levels were gossiped, 17 as
/// this one.
void gossipMessage(benchmark::State &Run) {
  EntryRecord Self;
  Self.Id = "node-0";
  Self.Callers = Self.Gossip = {"10.0.0.1", 18005};
  EntryGossip Sender(Self, {});
  std::vector<EntryRecord> Fleet(960);
  for (std::size_t I = 0; I < Fleet.size(); ++I) {
    Fleet[I].Id = "node-" + std::to_string(I + 1);
    Fleet[I].Incarnation = 1;
    Fleet[I].Callers = Fleet[I].Gossip = {"10.0.0.1", 18005};
    Fleet[I].Zone = "zone-" + std::to_string(I % 10);
    Fleet[I].Level = OwnLevel;
    Fleet[I].LeastPeerLevel = LeastPeerLevel;
  }
  Sender.receive(Fleet, Start);
  std::mt19937_64 Random(1);
  const auto Fields = static_cast<std::size_t>(Run.range(0));
  nlohmann::json Message;
  {
    const std::string Bytes =
        encodeGossip({.Records = Sender.makeGossip(Start, Random)});
    Message = nlohmann::json::from_cbor(Bytes.begin(), Bytes.end());
    for (nlohmann::json &Each : Message)
      while (Each.size() > Fields)
        Each.erase(Each.size() - 1);
  }
  const std::vector<std::uint8_t> Sent = nlohmann::json::to_cbor(Message);
  for (auto Step : Run)
    benchmark::DoNotOptimize(decodeGossip(
        {reinterpret_cast<const char *>(Sent.data()), Sent.size()}));
  Run.counters["bytes"] = static_cast<double>(Sent.size());
}
BENCHMARK(gossipMessage)->Arg(15)->Arg(17)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace galenaroute

BENCHMARK_MAIN();
