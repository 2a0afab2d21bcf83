// galenaroute-control-cost: what daemons cost when nobody calls them, and how
// long a change of configuration takes, by the number of daemons.
//
// For each fleet size it starts that many real daemons, an emulated platform
// and some engines, waits until all is quiet, and measures over some seconds:
// processor time and memory of the daemons, bytes on the loopback device and
// calls to the platform. Then it applies changes one after the other and takes
// the time until every daemon reports the new epoch. Nothing else may use the
// loopback device meanwhile.

#include "process/ListingText.h"
#include "process/ProcessHarness.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <unistd.h>

using namespace galenaroute;
using testing_support::Program;

namespace {

struct ControlCostSettings {
  std::string BuildDir;
  std::vector<std::size_t> Sizes = {3, 6, 12, 24, 48, 96};
  std::size_t Engines = 2;
  double Seconds = 10;
  int Changes = 5;
};

/// One reading of all counters.
struct Reading {
  TimePoint At;
  double CpuSeconds = 0; ///< Of all daemons.
  double LoopbackBytes = 0;
  double PlatformCalls = 0;
};

/// What one fleet size costs, per daemon where not said otherwise.
struct ControlCost {
  double CpuPercent = 0; ///< Of one core.
  double MeanMegabytes = 0;
  double MaxMegabytes = 0;
  double BytesPerSecond = 0;         ///< Sent, with all headers.
  double PlatformCallsPerSecond = 0; ///< Of the whole fleet.
  double MedianChangeSeconds = 0;
  double WorstChangeSeconds = 0;
};

double cpuSeconds(pid_t Id) {
  std::ifstream In("/proc/" + std::to_string(Id) + "/stat");
  std::string Text;
  std::getline(In, Text);
  // The name of the program may hold blanks, so fields count from its end.
  std::istringstream Fields(Text.substr(Text.rfind(')') + 2));
  std::string Skipped;
  constexpr int FieldsBeforeUserTime = 11;
  for (int I = 0; I < FieldsBeforeUserTime; ++I)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentMegabytes(pid_t Id) {
  std::ifstream In("/proc/" + std::to_string(Id) + "/statm");
  double Size = 0;
  double Resident = 0;
  In >> Size >> Resident;
  return Resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double loopbackBytes() {
  std::ifstream In("/sys/class/net/lo/statistics/tx_bytes");
  double Result = 0;
  In >> Result;
  return Result;
}

class ControlCostRun {
public:
  ControlCostRun(const ControlCostSettings &Settings, std::size_t Size)
      : Settings(Settings), Harness(Settings.BuildDir) {
    this->Platform = &this->Harness.startEmulator("platform", {});
    for (std::size_t I = 0; I < Settings.Engines; ++I)
      this->Parts.Engines.push_back(
          {"engine-" + std::to_string(I),
           this->Harness.startEmulator("engine", {}).address(),
           this->Parts.Zones[I % this->Parts.Zones.size()]});
    std::vector<std::string> Zones;
    for (std::size_t I = 0; I < Size; ++I)
      Zones.push_back(this->Parts.Zones[I % this->Parts.Zones.size()]);
    this->Daemons =
        this->Harness.startDaemons(this->Platform->address(), Zones,
                                   {"--log-level", "error", "--keep-ms", "0"});
    this->Harness.applyListing(this->Platform->address(),
                               testing_support::listingText(this->Parts));
    this->waitForEpoch(1);
  }

  ControlCost measure() {
    // Membership settles and first reads of all lists end before counting.
    constexpr auto Settle = std::chrono::seconds(8);
    this->Harness.loop().runUntil([] { return false; }, Settle);
    const Reading Before = this->read();
    this->Harness.loop().runUntil([] { return false; },
                                  fromSeconds(this->Settings.Seconds));
    const Reading After = this->read();
    const double Span = toSeconds(After.At - Before.At);
    const auto Count = static_cast<double>(this->Daemons.size());
    ControlCost Result;
    Result.CpuPercent =
        100 * (After.CpuSeconds - Before.CpuSeconds) / Span / Count;
    Result.BytesPerSecond =
        (After.LoopbackBytes - Before.LoopbackBytes) / Span / Count;
    Result.PlatformCallsPerSecond =
        (After.PlatformCalls - Before.PlatformCalls) / Span;
    for (const Program *Each : this->Daemons) {
      const double Megabytes = residentMegabytes(Each->id());
      Result.MeanMegabytes += Megabytes / Count;
      Result.MaxMegabytes = std::max(Result.MaxMegabytes, Megabytes);
    }
    this->measureChanges(Result);
    return Result;
  }

private:
  Reading read() {
    Reading Result;
    Result.At = EventLoop::now();
    for (const Program *Each : this->Daemons)
      Result.CpuSeconds += cpuSeconds(Each->id());
    Result.LoopbackBytes = loopbackBytes();
    const nlohmann::json Stats =
        this->Harness.getJson(this->Platform->address(), "/admin/stats");
    for (const char *Name : {"reads", "writes"})
      Result.PlatformCalls += Stats.value(Name, 0.0);
    return Result;
  }

  void measureChanges(ControlCost &Result) {
    std::vector<double> Times;
    for (int I = 0; I < this->Settings.Changes; ++I) {
      this->Parts.DeadlineMs += 1;
      const std::string Path = this->Harness.folder() + "/change.toml";
      std::ofstream(Path) << testing_support::listingText(this->Parts);
      const auto [Code, Output] = this->Harness.run(
          "galenaroute",
          {"apply", "--platform", this->Platform->address().toString(), Path});
      if (Code != 0)
        throw std::runtime_error("apply failed: " + Output);
      const TimePoint Accepted = EventLoop::now();
      this->waitForEpoch(static_cast<std::uint64_t>(I) + 2);
      Times.push_back(toSeconds(EventLoop::now() - Accepted));
    }
    std::sort(Times.begin(), Times.end());
    Result.MedianChangeSeconds = Times[Times.size() / 2];
    Result.WorstChangeSeconds = Times.back();
  }

  /// A daemon that has reached the epoch is not asked again.
  void waitForEpoch(std::uint64_t Epoch) {
    std::size_t Reached = 0;
    this->Harness.waitFor(
        "epoch " + std::to_string(Epoch),
        [&] {
          while (
              Reached < this->Daemons.size() &&
              this->Harness
                      .getJson(this->Daemons[Reached]->address(), "/v1/status")
                      .value("epoch", std::uint64_t{0}) >= Epoch)
            ++Reached;
          return Reached == this->Daemons.size();
        },
        std::chrono::seconds(30));
  }

  const ControlCostSettings &Settings;
  testing_support::ProcessHarness Harness;
  testing_support::ListingParts Parts;
  Program *Platform = nullptr;
  std::vector<Program *> Daemons;
};

int runControlCost(int Argc, char **Argv) {
  CLI::App App(
      "galenaroute-control-cost: processor time, memory, bytes and platform "
      "calls of idle daemons, and the time until a change is in force, by "
      "fleet size. Starts its own programs on loopback. Run nothing else "
      "beside it.");
  ControlCostSettings Settings;
  Settings.BuildDir =
      std::filesystem::canonical("/proc/self/exe").parent_path().string();
  App.add_option("--build-dir", Settings.BuildDir, "Folder of the programs")
      ->capture_default_str()
      ->check(CLI::ExistingDirectory);
  App.add_option("--sizes", Settings.Sizes, "Numbers of daemons")
      ->delimiter(',')
      ->capture_default_str()
      ->check(CLI::Range(1, 200));
  App.add_option("--engines", Settings.Engines, "Number of engines")
      ->capture_default_str()
      ->check(CLI::Range(1, 200));
  App.add_option("--seconds", Settings.Seconds, "Length of one measurement")
      ->capture_default_str()
      ->check(CLI::Range(1.0, 600.0));
  App.add_option("--changes", Settings.Changes, "Changes for each size")
      ->capture_default_str()
      ->check(CLI::Range(1, 1000));
  CLI11_PARSE(App, Argc, Argv);
  std::cout << "daemons  cpu %/node  MB mean  MB max  bytes/s/node  platform "
               "calls/s  change median s  worst s\n"
            << std::fixed;
  for (const std::size_t Size : Settings.Sizes) {
    const ControlCost Cost = ControlCostRun(Settings, Size).measure();
    std::cout << std::setw(7) << Size << std::setprecision(2) << std::setw(12)
              << Cost.CpuPercent << std::setprecision(1) << std::setw(9)
              << Cost.MeanMegabytes << std::setw(8) << Cost.MaxMegabytes
              << std::setprecision(0) << std::setw(14) << Cost.BytesPerSecond
              << std::setprecision(1) << std::setw(18)
              << Cost.PlatformCallsPerSecond << std::setprecision(3)
              << std::setw(17) << Cost.MedianChangeSeconds << std::setw(9)
              << Cost.WorstChangeSeconds << std::endl;
  }
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    return runControlCost(Argc, Argv);
  } catch (const std::exception &Failure) {
    std::cerr << "galenaroute-control-cost: " << Failure.what() << "\n";
    return 2;
  }
}
