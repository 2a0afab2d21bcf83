#include "process/Daemon.h"
#include "process/Log.h"

#include <csignal>
#include <iostream>

using namespace galenaroute;

static int serve(const DaemonSettings &Settings) {
  EventLoop Loop;
  const auto Node = DaemonBuilder(Loop, Settings).build();
  Node->Stopped.connect([&] { Loop.stop(); });
  Loop.onSignal(SIGTERM, [&] { Node->drain(); });
  Loop.onSignal(SIGINT, [&] { Node->drain(); });
  Node->start();
  Loop.run();
  return 0;
}

int main(int Argc, char **Argv) {
  const std::vector<std::string> Arguments(Argv + 1, Argv + Argc);
  const SettingsResult Read = readSettings(Arguments);
  if (!Read.Settings) {
    (Read.ExitCode == 0 ? std::cout : std::cerr) << Read.Text;
    return Read.ExitCode;
  }
  startLog(Read.Settings->LogLevel);
  try {
    return serve(*Read.Settings);
  } catch (const std::exception &Failure) {
    log(LogLevel::Error, "daemon.failed", {{"message", Failure.what()}});
    return 1;
  }
}
