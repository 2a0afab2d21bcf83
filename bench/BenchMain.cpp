// galenaroute-bench: open-loop load against real daemons and emulators, and a
// comparison of routing policies over seeds.

#include "Report.h"

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

using namespace galenaroute;
using namespace galenaroute::bench;

namespace {

struct BenchSettings {
  std::string BuildDir;
  std::string OutDir;
  double Seconds = 6;
  double Scale = 0.5;
  double Load = 3;
  double PaymentsPerSecond = -1; ///< Negative: as the workload has it.
  std::uint64_t Seeds = 3;
  std::uint64_t FirstSeed = 1;
  std::size_t MaxCalls = 5000;
  double MaxSeconds = 900;
  std::vector<std::string> Deployments = {"harwood", "cedarline"};
  std::vector<std::string> Policies = {"expected-time", "random", "round-robin",
                                       "least-outstanding", "affinity"};
};

constexpr auto DrainTime = std::chrono::seconds(10);

WorkloadSettings workloadOf(const BenchSettings &Settings,
                            const std::string &Deployment) {
  WorkloadSettings Result =
      Deployment == "cedarline"
          ? cedarlineWorkload(Settings.Scale * Settings.Load)
          : harwoodWorkload(Settings.Scale * Settings.Load);
  Result.Length = fromSeconds(Settings.Seconds);
  Result.MaxCalls = Settings.MaxCalls;
  if (Settings.PaymentsPerSecond >= 0)
    Result.PaymentsPerSecond = Settings.PaymentsPerSecond;
  return Result;
}

Values runOnce(const BenchSettings &Settings, const std::string &Deployment,
               const std::string &Policy, std::uint64_t Seed) {
  Fleet Target({.BuildDir = Settings.BuildDir,
                .Deployment = Deployment,
                .Policy = Policy,
                .Scale = Settings.Scale,
                .Seed = Seed});
  const WorkloadSettings Workload = workloadOf(Settings, Deployment);
  const std::vector<PlannedCall> Calls =
      planCalls(Workload, Seed, Target.customers());
  const RunRecord Run = runLoad(Target, Calls, Workload, DrainTime);
  Values Result = summarize(Run, Calls, Workload);
  std::cout << Deployment << " " << Policy << " seed " << Seed << ": "
            << Calls.size() << " calls, " << Result["answered"]
            << "% answered, first token median " << Result["ttft_p50"]
            << " ms, 99 in 100 " << Result["ttft_p99"] << " ms" << std::endl;
  return Result;
}

/// Runs every combination; returns false when the time ran out before all
/// were done or a run failed.
bool runAll(const BenchSettings &Settings, Results &All) {
  const TimePoint End = EventLoop::now() + fromSeconds(Settings.MaxSeconds);
  bool IsWhole = true;
  // Seeds are the outer loop, so that a run that is cut short has compared
  // all policies on the same seeds.
  for (std::uint64_t I = 0; I < Settings.Seeds; ++I)
    for (const std::string &Deployment : Settings.Deployments)
      for (const std::string &Policy : Settings.Policies) {
        const std::uint64_t Seed = Settings.FirstSeed + I;
        if (EventLoop::now() >= End) {
          std::cerr << "out of time before " << Deployment << " " << Policy
                    << " seed " << Seed << "\n";
          return false;
        }
        try {
          All.Runs[Deployment][Policy][Seed] =
              runOnce(Settings, Deployment, Policy, Seed);
        } catch (const std::runtime_error &Failure) {
          std::cerr << Deployment << " " << Policy << " seed " << Seed
                    << " failed: " << Failure.what() << "\n";
          IsWhole = false;
        }
      }
  return IsWhole;
}

void writeFiles(const BenchSettings &Settings, const Results &All) {
  std::filesystem::create_directories(Settings.OutDir);
  std::ofstream(Settings.OutDir + "/results.json") << toJson(All).dump(2);
  for (const Measure &Each : allMeasures())
    std::ofstream(Settings.OutDir + "/" + Each.Name + ".svg")
        << plotSvg(All, Each);
  std::ofstream Table(Settings.OutDir + "/table.txt");
  printTables(Table, All);
}

/// Returns whether each answer was right and no payment ran twice.
bool isCorrect(const Results &All) {
  for (const std::string &Deployment : All.Deployments)
    for (const std::string &Policy : All.Policies)
      for (const char *Name : {"wrong", "violations", "repeated"})
        for (const double Each : samplesOf(All, Deployment, Policy, Name))
          if (Each > 0)
            return false;
  return true;
}

int runBench(int Argc, char **Argv) {
  CLI::App App("galenaroute-bench: open-loop load and comparison of routing "
               "policies. Starts its own daemons and emulators on loopback. "
               "Exits 0 when all runs were made and every answer was right, 1 "
               "on wrong answers, 3 when runs are missing.");
  BenchSettings Settings;
  Settings.BuildDir =
      std::filesystem::canonical("/proc/self/exe").parent_path().string();
  App.add_option("--build-dir", Settings.BuildDir, "Folder of the programs")
      ->capture_default_str()
      ->check(CLI::ExistingDirectory);
  App.add_option("--out", Settings.OutDir,
                 "Folder for the table and the plots (BUILD_DIR/bench)");
  App.add_option("--seconds", Settings.Seconds, "Length of the load of one run")
      ->capture_default_str()
      ->check(CLI::Range(1.0, 3600.0));
  App.add_option("--scale", Settings.Scale,
                 "Engines and load, as a share of the deployment")
      ->capture_default_str()
      ->check(CLI::Range(0.1, 2.0));
  App.add_option("--load", Settings.Load, "Factor on the load alone")
      ->capture_default_str()
      ->check(CLI::Range(0.01, 100.0));
  App.add_option("--payments-per-second", Settings.PaymentsPerSecond,
                 "Rate of calls that must not repeat, in place of the "
                 "workload's")
      ->check(CLI::Range(0.0, 1000.0));
  App.add_option("--seeds", Settings.Seeds, "Number of seeds")
      ->capture_default_str()
      ->check(CLI::Range(1, 100));
  App.add_option("--first-seed", Settings.FirstSeed, "First seed")
      ->capture_default_str();
  App.add_option("--max-calls", Settings.MaxCalls, "Most calls of one run")
      ->capture_default_str()
      ->check(CLI::Range(1, 1000000));
  App.add_option("--max-seconds", Settings.MaxSeconds,
                 "No run starts after this time")
      ->capture_default_str()
      ->check(CLI::Range(1.0, 86400.0));
  App.add_option("--deployments", Settings.Deployments, "What to run")
      ->delimiter(',')
      ->check(CLI::IsMember({"harwood", "cedarline"}));
  App.add_option("--policies", Settings.Policies,
                 "Policies; the first is the one compared with")
      ->delimiter(',');
  CLI11_PARSE(App, Argc, Argv);
  if (Settings.OutDir.empty())
    Settings.OutDir = Settings.BuildDir + "/bench";
  Results All{Settings.Deployments, Settings.Policies, {}};
  const bool IsWhole = runAll(Settings, All);
  printTables(std::cout, All);
  writeFiles(Settings, All);
  std::cout << "\nplots and table in " << Settings.OutDir << "\n";
  if (!isCorrect(All))
    return 1;
  return IsWhole ? 0 : 3;
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    return runBench(Argc, Argv);
  } catch (const std::exception &Failure) {
    std::cerr << "galenaroute-bench: " << Failure.what() << "\n";
    return 2;
  }
}
