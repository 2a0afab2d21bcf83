// Plays soaks whose parts are processes of their own; see docs/soak.md.

#include "ProcessRun.h"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>

using namespace galenaroute;
using namespace galenaroute::process_soak;

/// Shown in full of each promise that was broken.
static constexpr std::size_t ShownCases = 5;
static constexpr std::size_t ShownLines = 60;

static std::size_t countEnded(const ProcessHistory &History, RequestEnd End) {
  return static_cast<std::size_t>(std::count_if(
      History.Requests.begin(), History.Requests.end(),
      [End](const auto &Each) { return Each.second.End == End; }));
}

static std::size_t mostOf(const ProcessHistory &History,
                          std::size_t LifeView::*Value) {
  std::size_t Result = 0;
  for (const LifeView &Each : History.Lives)
    Result = std::max(Result, Each.*Value);
  return Result;
}

static std::size_t countTurnedAway(const ProcessHistory &History) {
  std::size_t Result = 0;
  for (const auto &[Daemon, Spans] : History.TurnedAway)
    Result += Spans.size();
  return Result;
}

static void printCounts(std::uint64_t Seed, const ProcessHistory &History,
                        const ProcessBounds &Bounds) {
  const BeginCounts Begins = countBegins(History, Bounds);
  std::map<int, std::size_t> Statuses;
  for (const auto &[Id, Each] : History.Requests)
    ++Statuses[Each.Status];
  std::cout << "seed " << Seed << ": " << History.Requests.size()
            << " requests (";
  for (const auto &[Status, Count] : Statuses)
    std::cout << Status << ": " << Count << ", ";
  std::cout << "cut: " << countEnded(History, RequestEnd::Cut)
            << ", no answer: " << countEnded(History, RequestEnd::None)
            << ", left: " << countEnded(History, RequestEnd::Left)
            << ", expired: " << countEnded(History, RequestEnd::Expired)
            << "), " << History.Lives.size() << " starts, "
            << countHandovers(History) << " streams begun elsewhere, "
            << Begins.NewBegun << " of " << Begins.New << " begun and "
            << Begins.WentOn << " of " << Begins.TakenUp
            << " taken up where nothing excuses it, " << History.Copies
            << " refusals copied, " << countTurnedAway(History)
            << " times a daemon was turned away, at most "
            << mostOf(History, &LifeView::MostMemory) / 1024 << " KiB and "
            << mostOf(History, &LifeView::MostDescriptors)
            << " descriptors in a daemon";
}

static bool report(const ProcessRun &Run, std::uint64_t Seed) {
  const ProcessHistory &History = Run.history();
  const BrokenPromises Found = checkProcesses(History, Run.bounds());
  printCounts(Seed, History, Run.bounds());
  std::cout << ", " << Found.size() << " promises broken" << std::endl;
  if (Found.empty())
    return true;
  for (const std::string &Each : Run.timeline())
    std::cout << Each << '\n';
  std::map<std::string, std::size_t> Counts;
  for (const BrokenPromise &Each : Found) {
    std::cout << "BROKEN " << Each.Promise << ": " << Each.Request << " "
              << Each.What << '\n';
    if (++Counts[Each.Promise] > ShownCases || Each.Request.empty())
      continue;
    auto Lines = Run.linesOf(Each.Request);
    if (Lines.size() > ShownLines)
      Lines.resize(ShownLines);
    for (const std::string &Line : Lines)
      std::cout << "  " << Line << '\n';
  }
  for (const auto &[Promise, Count] : Counts)
    std::cout << "seed " << Seed << " BROKEN " << Count << " times: " << Promise
              << '\n';
  std::cout << "files: " << Run.folder() << std::endl;
  return false;
}

static bool play(const RunSettings &Settings) {
  ProcessRun Run(Settings);
  Run.play();
  const bool HasPassed = report(Run, Settings.Plan.Seed);
  if (HasPassed)
    std::filesystem::remove_all(Run.folder());
  return HasPassed;
}

/// Daemons inherit these options. A report ends its process; the handlers of
/// the daemon's own must not come before those of AddressSanitizer, which print
/// the stack.
static void setSanitizerOptions() {
  setenv("ASAN_OPTIONS",
         "abort_on_error=1:detect_leaks=0:detect_stack_use_after_return=1:"
         "handle_segv=2:handle_sigbus=2:handle_sigfpe=2:handle_sigill=2",
         /*replace=*/1);
  setenv("UBSAN_OPTIONS", "halt_on_error=1:abort_on_error=1:print_stacktrace=1",
         /*replace=*/1);
}

int main(int Argc, char **Argv) {
  CLI::App App("Plays signals against real daemons, upstreams, callers and a "
               "store, each a process, and checks what they see");
  RunSettings Settings;
  int Seeds = 1;
  double Seconds = 20;
  Settings.BuildDir = ".";
  App.add_option("--build-dir", Settings.BuildDir,
                 "Folder of galenaroute-platform");
  App.add_option("--first-seed", Settings.Plan.Seed, "First seed to play");
  App.add_option("--seeds", Seeds, "How many seeds")
      ->check(CLI::Range(1, 100000));
  App.add_option("--seconds", Seconds, "Time with faults in each run")
      ->check(CLI::Range(1.0, 3600.0));
  App.add_option("--daemons", Settings.Plan.Daemons, "Number of daemons")
      ->check(CLI::Range(1, 100));
  App.add_option("--upstreams", Settings.Plan.Upstreams, "Number of upstreams")
      ->check(CLI::Range(1, 100));
  App.add_option("--callers", Settings.Callers, "Number of callers")
      ->check(CLI::Range(1, 2000));
  App.add_option("--misbehaving", Settings.Misbehaving,
                 "Number of misbehaving clients, of one connection each")
      ->check(CLI::Range(0, 500));
  App.add_option("--versions", Settings.Versions,
                 "Number of software versions of upstreams side by side")
      ->check(CLI::Range(1, 9));
  App.add_flag("--sanitizers", Settings.HasSanitizers,
               "Daemons are built with AddressSanitizer and "
               "UndefinedBehaviorSanitizer");
  App.add_option("--old-daemon", Settings.OldDaemon,
                 "Executable of an earlier build (tools/build-daemon-of). "
                 "Daemons start with it and are replaced in turn, there and "
                 "back")
      ->check(CLI::ExistingFile);
  CLI11_PARSE(App, Argc, Argv);
  Settings.Plan.Length = fromSeconds(Seconds);
  Settings.Plan.ReplacesBuilds = !Settings.OldDaemon.empty();
  if (Settings.HasSanitizers)
    setSanitizerOptions();
  catchInterrupts();
  int Failed = 0;
  try {
    for (int I = 0; I < Seeds; ++I, ++Settings.Plan.Seed)
      Failed += !play(Settings);
  } catch (const std::exception &Failure) {
    std::cerr << "seed " << Settings.Plan.Seed << ": " << Failure.what()
              << '\n';
    return 2;
  }
  std::cout << Seeds - Failed << " passed, " << Failed << " failed\n";
  return Failed == 0 ? 0 : 1;
}
