// Plays one case against real gateways. Usage:
//   stand-in CASE PROGRAM ROOT FOLDER RECORD
// TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0
// if it held, and 2 if the case could not run.

#include "Cases.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <map>

using namespace review;

int main(int Argc, char **Argv) {
  static const std::map<std::string, int (*)(const CaseSettings &)> Cases = {
      {"registry-address", playRegistryAddress},
      {"unreadable-entry", playUnreadableEntry},
      {"endless-store", playEndlessStore},
  };
  const auto Found = Argc == 6 ? Cases.find(Argv[1]) : Cases.end();
  if (Found == Cases.end()) {
    std::fprintf(stderr, "usage: stand-in CASE PROGRAM ROOT FOLDER RECORD\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char *Trouble = std::getenv("TROUBLE");
  try {
    return Found->second({Argv[2], Argv[3], Argv[4], Argv[5],
                          !Trouble || std::strcmp(Trouble, "0") != 0});
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "stand-in: %s\n", Failure.what());
    return 2;
  }
}
