// Runs one part of a process soak; see docs/soak.md.

#include "Parts.h"

#include <CLI/CLI.hpp>
#include <iostream>

using namespace galenaroute::process_soak;

int main(int Argc, char **Argv) {
  CLI::App App("A part of galenaroute-process-soak, which starts it");
  PartOptions Options;
  std::string Role;
  App.add_option("--role", Role)
      ->required()
      ->check(CLI::IsMember({"upstream", "callers", "misbehaving", "store"}));
  App.add_option("--journal", Options.JournalPath)->required();
  App.add_option("--seed", Options.Seed);
  App.add_option("--store", Options.Store);
  App.add_option("--id", Options.Id);
  App.add_option("--address", Options.Address);
  App.add_option("--service", Options.Service);
  App.add_option("--version", Options.Version);
  App.add_option("--daemons", Options.Daemons)->delimiter(',');
  App.add_option("--count", Options.Count);
  App.add_option("--length-ms", Options.LengthMs);
  App.add_option("--prefix", Options.Prefix);
  App.add_option("--address-file", Options.AddressFile);
  CLI11_PARSE(App, Argc, Argv);
  try {
    if (Role == "upstream")
      runUpstream(Options);
    else if (Role == "callers")
      runCallers(Options);
    else if (Role == "misbehaving")
      runMisbehaving(Options);
    else
      runStore(Options);
  } catch (const std::exception &Failure) {
    std::cerr << Role << " " << Options.Id << ": " << Failure.what() << '\n';
    return 1;
  }
  return 0;
}
