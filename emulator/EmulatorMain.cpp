// galenaroute-emulator: emulators of the external systems.

#include "EngineEmulator.h"
#include "GeneratedText.h"
#include "PlatformEmulator.h"
#include "ServiceEmulator.h"
#include "StoreEmulator.h"
#include "WeightStoreEmulator.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace galenaroute;
using namespace galenaroute::emulator;

namespace {

/// A flag in milliseconds that sets a Duration.
void addDuration(CLI::App &Command, const std::string &Name, Duration &Value,
                 const std::string &Help, double LeastMs = 0) {
  Command
      .add_option_function<double>(
          Name, [&Value](double Ms) { Value = fromSeconds(Ms / 1000); }, Help)
      ->check(CLI::Range(LeastMs, 3600000.0));
}

template <class Number>
void addNumber(CLI::App &Command, const std::string &Name, Number &Value,
               Number Least, Number Most, const std::string &Help) {
  Command.add_option(Name, Value, Help)
      ->capture_default_str()
      ->check(CLI::Range(Least, Most));
}

/// Serves \p System until a signal ends the process.
void serve(EventLoop &Loop, Emulator &System, const std::string &Name,
           const std::string &Listen) {
  const EmulatorServer Server(Loop, System, SocketAddress::parse(Listen));
  std::cout << Name << " at " << Server.address().toString() << std::endl;
  Loop.run();
}

void addPlatformFlags(CLI::App &Command, PlatformSettings &Settings) {
  addNumber(Command, "--writes-per-second", Settings.WritesPerSecond, 0.0, 1e6,
            "Writes allowed per second; more get 429");
  addNumber(Command, "--reads-per-second", Settings.ReadsPerSecond, 0.0, 1e6,
            "Reads allowed per second, watches included");
  addDuration(Command, "--reply-ms", Settings.ReplyDelay,
              "Time to answer a call, in ms (2)");
  addDuration(Command, "--vm-lag-ms", Settings.VmLag,
              "Lag of the VM list, in ms (2000)");
}

void addEngineFlags(CLI::App &Command, EngineSettings &Settings,
                    std::string &Weights) {
  addNumber<std::size_t>(Command, "--slots", Settings.Slots, 1, 4096,
                         "Requests that run at once");
  addNumber<std::size_t>(Command, "--max-queued", Settings.MaxQueued, 0,
                         1000000, "Requests that wait; more get 429");
  addNumber(Command, "--prefill-tokens-per-second",
            Settings.PrefillTokensPerSecond, 1.0, 1e9,
            "Prompt tokens per second, shared by the prompts in progress");
  addDuration(Command, "--decode-ms", Settings.DecodeStep,
              "Time of one decode step, in ms (20)", 0.1);
  addNumber<std::size_t>(Command, "--cache-blocks", Settings.CacheBlocks, 0,
                         10000000, "Capacity of the prefix cache in blocks");
  addNumber<std::uint64_t>(Command, "--block-tokens", Settings.BlockTokens, 1,
                           1000000, "Tokens in one cache block");
  addNumber<std::size_t>(Command, "--block-bytes", Settings.BlockBytes, 1,
                         16 << 20, "Size of one exported block");
  addNumber(Command, "--kv-link-mbps", Settings.KvLinkMbps, 0.001, 1e6,
            "Bandwidth of the link to the stores, in megabits per second");
  addDuration(Command, "--load-lag-ms", Settings.LoadLag,
              "Lag of load reports, in ms (200)");
  addDuration(Command, "--event-delay-ms", Settings.EventDelay,
              "Delay of cache events, in ms (300)");
  addNumber(Command, "--event-gap-share", Settings.EventGapShare, 0.0, 1.0,
            "Share of cache events that are lost");
  addNumber(Command, "--unframed-share", Settings.UnframedShare, 0.0, 1.0,
            "Share of streams with neither a length nor chunks");
  addNumber(Command, "--broken-off-share", Settings.BrokenOffShare, 0.0, 1.0,
            "Share of streams that end inside their second line");
  addNumber<std::uint64_t>(Command, "--max-tokens", Settings.MaxTokens, 1,
                           1000000, "Longest answer in tokens");
  addDuration(Command, "--keep-finished-ms", Settings.KeepFinished,
              "How long a finished stream can be read, in ms (60000)");
  addDuration(Command, "--keep-unread-ms", Settings.KeepUnread,
              "How long a run goes on without a reader, in ms (20000)");
  Command
      .add_option("--weight-version", Settings.Orders.WeightVersion,
                  "Weight version at the start")
      ->capture_default_str();
  Command.add_option("--adapters", Settings.Orders.Adapters,
                     "Adapters at the start");
  addDuration(Command, "--weight-load-ms", Settings.Orders.LoadTime,
              "Time to load weights where there is no store, in ms (2000)");
  Command.add_option("--weights", Weights, "IP:PORT of the weight store");
  Command
      .add_option("--check-fence", Settings.Orders.ChecksFence,
                  "Whether orders with an old fencing number get 412")
      ->capture_default_str();
}

void addStoreFlags(CLI::App &Command, StoreSettings &Settings) {
  addNumber<std::uint64_t>(Command, "--memory-bytes", Settings.MemoryBytes, 1,
                           std::uint64_t{1} << 40, "Memory for blocks");
  addNumber<std::uint64_t>(Command, "--disk-bytes", Settings.DiskBytes, 0,
                           std::uint64_t{1} << 40, "Disk for blocks");
  addNumber(Command, "--link-mbps", Settings.LinkMbps, 0.001, 1e6,
            "Bandwidth of the link, in megabits per second");
  addNumber(Command, "--disk-mbps", Settings.DiskMbps, 0.001, 1e6,
            "Bandwidth of the disk, in megabits per second");
}

void addWeightStoreFlags(CLI::App &Command, WeightStoreSettings &Settings) {
  addDuration(Command, "--load-ms", Settings.LoadTime,
              "Time of one load, in ms (2000)");
  addNumber<std::size_t>(Command, "--free-loads", Settings.FreeLoads, 1, 10000,
                         "Loads at once that do not slow each other");
  addNumber(Command, "--loads-per-second", Settings.LoadsPerSecond, 0.0, 1e6,
            "Loads started per second; more get 429");
}

void addServiceFlags(CLI::App &Command, ServiceSettings &Settings) {
  Command.add_option("--name", Settings.Name, "Name shown in answers")
      ->capture_default_str();
  addDuration(Command, "--run-ms", Settings.RunTime,
              "Time of one run, in ms (5)");
  addNumber<std::size_t>(Command, "--slots", Settings.Slots, 1, 4096,
                         "Requests that run at once");
  addNumber<std::size_t>(Command, "--max-queued", Settings.MaxQueued, 0,
                         1000000, "Requests that wait; more get 503");
}

/// Prints the whole right answer of the engine emulator to a prompt.
void printAnswer(const std::string &PromptFile, std::uint64_t Tokens) {
  std::ostringstream Prompt;
  Prompt << std::ifstream(PromptFile).rdbuf();
  std::cout << wholeAnswer(Prompt.str(), Tokens) << "\n";
}

int runEmulator(int Argc, char **Argv) {
  CLI::App App("galenaroute-emulator: emulators of the external systems");
  App.require_subcommand(1);
  std::string Listen;
  PlatformSettings ForPlatform;
  EngineSettings ForEngine;
  StoreSettings ForStore;
  WeightStoreSettings ForWeights;
  ServiceSettings ForService;
  std::string Weights;
  std::uint64_t Seed = 1;
  CLI::App *Platform = App.add_subcommand("platform", "Object API and VM list");
  CLI::App *Engine = App.add_subcommand("engine", "Model engine");
  CLI::App *Store = App.add_subcommand("store", "KV cache store VM");
  CLI::App *WeightStore = App.add_subcommand("weights", "Weight store");
  CLI::App *Service = App.add_subcommand("service", "Plain service");
  CLI::App *Answer = App.add_subcommand(
      "answer", "Print the whole right answer of an engine to a prompt");
  std::string PromptFile;
  std::uint64_t Tokens = 16;
  Answer->add_option("--prompt-file", PromptFile, "File with the prompt")
      ->required()
      ->check(CLI::ExistingFile);
  Answer->add_option("--tokens", Tokens, "max_tokens of the call")
      ->check(CLI::Range(1, 1000000));
  for (CLI::App *Each : {Platform, Engine, Store, WeightStore, Service}) {
    Each->add_option("--listen", Listen, "IP:PORT to listen at")->required();
    Each->add_option("--seed", Seed, "Seed of the random numbers")
        ->capture_default_str();
  }
  addPlatformFlags(*Platform, ForPlatform);
  addEngineFlags(*Engine, ForEngine, Weights);
  addStoreFlags(*Store, ForStore);
  addWeightStoreFlags(*WeightStore, ForWeights);
  addServiceFlags(*Service, ForService);
  CLI11_PARSE(App, Argc, Argv);
  if (*Answer) {
    printAnswer(PromptFile, Tokens);
    return 0;
  }

  EventLoop Loop;
  for (const int Signal : {SIGTERM, SIGINT})
    Loop.onSignal(Signal, [&Loop] { Loop.stop(); });
  HttpClient Client(Loop);
  if (*Platform) {
    PlatformEmulator System(Loop, ForPlatform);
    serve(Loop, System, "platform", Listen);
  } else if (*Engine) {
    ForEngine.Seed = Seed;
    if (!Weights.empty())
      ForEngine.Orders.WeightStore = SocketAddress::parse(Weights);
    EngineEmulator System(Loop, Client, ForEngine);
    serve(Loop, System, "engine", Listen);
  } else if (*Store) {
    StoreEmulator System(Loop, ForStore);
    serve(Loop, System, "store", Listen);
  } else if (*WeightStore) {
    WeightStoreEmulator System(Loop, ForWeights);
    serve(Loop, System, "weights", Listen);
  } else {
    ServiceEmulator System(Loop, ForService);
    serve(Loop, System, "service", Listen);
  }
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    return runEmulator(Argc, Argv);
  } catch (const std::exception &Failure) {
    std::cerr << "galenaroute-emulator: " << Failure.what() << "\n";
    return 1;
  }
}
