// Plays soaks with one seed after the other; see docs/soak.md.

#include "SoakRun.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <filesystem>
#include <iostream>
#include <map>
#include <set>
#include <unistd.h>

using namespace galenaroute;
using namespace galenaroute::soak;

/// Log lines shown of a call for which a promise was broken.
static constexpr std::size_t ShownLines = 20;

/// Returns how many calls began on older weights than the newest named.
static std::size_t countOlder(const testing_support::WeightsHistory &Seen) {
  std::size_t Count = 0;
  for (const auto &Call : Seen.begins())
    Count += std::any_of(
        Seen.namings().begin(), Seen.namings().end(), [&](const auto &Each) {
          return Each.At < Call.At && Each.Version > Call.Weights;
        });
  return Count;
}

static std::size_t countHolders(const ConfigHistory &Seen) {
  std::set<std::string> Holders;
  for (const OrderView &Each : Seen.Orders)
    Holders.insert(Each.Holder);
  return Holders.size();
}

/// Returns how calls to upstreams that fall silent ended, by status; 0 without
/// an answer.
static std::string countEnds(const SilenceHistory &Seen) {
  std::map<int, std::size_t> Counts;
  for (const auto &[Id, Call] : Seen.Calls)
    ++Counts[Call.Status];
  std::string Result;
  for (const auto &[Status, Count] : Counts)
    Result += (Result.empty() ? "" : " ") + std::to_string(Count) + " x " +
              std::to_string(Status);
  return Result;
}

static bool play(const SoakSettings &Settings) {
  SoakRun Run(Settings);
  Run.play();
  const SoakHistory &History = Run.history();
  auto Found = checkHistory(History, {});
  for (const char *Event : {"event=callback.failed", "event=process.fatal"})
    for (const std::string &Line : Run.linesWith(Event))
      Found.push_back({"no fault of the program shows", "", Line});
  std::size_t Served = 0;
  const auto Crashes =
      std::count_if(History.Arrivals.begin(), History.Arrivals.end(),
                    [](const UpstreamView &Each) { return Each.HasCrashed; });
  for (const auto &[Id, Call] : History.Calls)
    Served += Call.Status == 200 && Call.IsWhole;
  std::cout << "seed " << Settings.Seed << ": " << History.Calls.size()
            << " calls, " << Served << " served, " << Crashes
            << " crashes by a call, " << History.Stops.size()
            << " planned stops, " << Run.namedWeights() << " versions named, "
            << countOlder(History.Weights) << " calls on older weights, "
            << History.Connections.Calls.size()
            << " calls on kept connections, " << History.Silences.Calls.size()
            << " to upstreams with " << Run.silences().silences()
            << " silences and " << Run.silences().silencesForGood()
            << " for good, " << countEnds(History.Silences) << ", "
            << History.Configs.Probes.size() << " calls to changing routes, "
            << Run.configs().changes() << " configurations, "
            << Run.configs().restorations() << " restorations, "
            << Run.foreign().changes() << " foreign entries, "
            << History.Configs.Orders.size() << " orders of "
            << countHolders(History.Configs) << " holders, " << Found.size()
            << " promises broken" << std::endl;
  if (Found.empty())
    return true;
  for (const std::string &Each : Run.timeline())
    std::cout << Each << '\n';
  for (const BrokenPromise &Each : Found) {
    std::cout << "BROKEN " << Each.Promise << ": " << Each.Call << " "
              << Each.What << '\n';
    if (Each.Call.empty())
      continue;
    auto Lines = Run.linesWith("call=" + Each.Call + " ");
    if (Lines.size() > ShownLines)
      Lines.resize(ShownLines);
    for (const std::string &Line : Lines)
      std::cout << "  " << Line << '\n';
  }
  std::cout << std::flush;
  return false;
}

/// Returns what the open descriptors of this process refer to, by number.
static std::map<std::string, std::string> openDescriptors() {
  std::map<std::string, std::string> Result;
  std::error_code Ignored; // Of the descriptor that lists the folder.
  for (const auto &Each : std::filesystem::directory_iterator("/proc/self/fd"))
    Result[Each.path().filename()] =
        std::filesystem::read_symlink(Each.path(), Ignored).string();
  return Result;
}

int main(int Argc, char **Argv) {
  CLI::App App("Plays faults against real daemons and checks what callers and "
               "upstreams see");
  SoakSettings Settings;
  int Seeds = 1;
  double Seconds = 20;
  double GapMs = 900;
  double LongestMs = 4000;
  Settings.BuildDir = ".";
  // Runs that overlap need networks of their own; process tests use 1 to 63.
  Settings.Network = 64 + static_cast<int>(getpid() % 186);
  App.add_option("--build-dir", Settings.BuildDir,
                 "Folder of galenaroute-platform");
  App.add_option("--first-seed", Settings.Seed, "First seed to play");
  App.add_option("--seeds", Seeds, "How many seeds")
      ->check(CLI::Range(1, 100000));
  App.add_option("--seconds", Seconds, "Time with faults in each run")
      ->check(CLI::Range(1.0, 3600.0));
  App.add_option("--gap-ms", GapMs, "Mean time between two faults")
      ->check(CLI::Range(10.0, 60000.0));
  App.add_option("--longest-ms", LongestMs, "Longest time of a fault")
      ->check(CLI::Range(1000.0, 60000.0));
  App.add_option("--daemons", Settings.Faults.Daemons, "Number of daemons")
      ->check(CLI::Range(1, 100));
  App.add_option("--upstreams", Settings.Faults.Upstreams,
                 "Number of upstreams")
      ->check(CLI::Range(1, 100));
  App.add_option("--old-daemon", Settings.OldDaemon,
                 "Executable of an earlier build (tools/build-daemon-of), by "
                 "an absolute path. Daemons start with it and are replaced in "
                 "turn, there and back")
      ->check(CLI::ExistingFile);
  CLI11_PARSE(App, Argc, Argv);
  Settings.Faults.Length = fromSeconds(Seconds);
  Settings.Faults.Gap = fromSeconds(GapMs / 1000);
  Settings.Faults.Longest = fromSeconds(LongestMs / 1000);
  int Failed = 0;
  try {
    const auto Before = openDescriptors();
    for (int I = 0; I < Seeds; ++I, ++Settings.Seed) {
      bool HasPassed = play(Settings);
      if (const auto After = openDescriptors(); After.size() > Before.size()) {
        std::cout << "BROKEN a run closes its descriptors: " << Before.size()
                  << " open before, " << After.size() << " after it:";
        for (const auto &[Number, Target] : After)
          if (!Before.contains(Number))
            std::cout << ' ' << Number << " is " << Target;
        std::cout << '\n';
        HasPassed = false;
      }
      Failed += !HasPassed;
    }
  } catch (const std::exception &Failure) {
    std::cerr << "seed " << Settings.Seed << ": " << Failure.what() << '\n';
    return 2;
  }
  std::cout << Seeds - Failed << " passed, " << Failed << " failed\n";
  return Failed == 0 ? 0 : 1;
}
