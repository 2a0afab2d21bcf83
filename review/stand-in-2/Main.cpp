// Plays one case: stand-in CASE RECORD PROGRAM FOLDER TROUBLE
// Ends with 1 if the rule was broken, 0 if it held, 2 if it could not run.

#include "Cases.h"

#include <csignal>
#include <iostream>

namespace review {

json modelService(const std::string &Name, const std::string &Model) {
  return {{"name", Name},
          {"healthPath", "/health"},
          {"maxConns", 620},
          {"protocol", "h1"},
          {"tls", false},
          {"engine",
           {{"slots", 128},
            {"kvCapacity", 213382},
            {"kvTokenBytes", 18432},
            {"linkMbps", 180000.0},
            {"maxInflight", 12},
            {"models", {{{"name", Model}}}}}}};
}

json callerLimits() {
  return {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 4194304},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}};
}

} // namespace review

int main(int Count, char **Words) {
  using namespace review;
  if (Count != 6) {
    std::cerr << "usage: stand-in CASE RECORD PROGRAM FOLDER TROUBLE\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const std::string Case = Words[1];
  Record Log(Words[2]);
  Setting At{Words[3], Words[4], std::string(Words[5]) != "0", Log};
  Verdict Result = Verdict::NotRun;
  try {
    if (Case == "versions")
      Result = playVersions(At);
    else if (Case == "isolated")
      Result = playIsolated(At);
    else if (Case == "twice")
      Result = playTwice(At);
    else if (Case == "nested")
      Result = playNested(At);
  } catch (const std::exception &Failure) {
    Log.line(std::string("the case could not run: ") + Failure.what());
  }
  Log.line(Result == Verdict::Broken ? "the rule was broken"
           : Result == Verdict::Held ? "the rule held"
                                     : "the case did not run");
  // Threads of connections may still be blocked.
  std::_Exit(static_cast<int>(Result));
}
