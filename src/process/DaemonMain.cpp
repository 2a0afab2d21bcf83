#include "process/DaemonEntry.h"
#include "process/DaemonProcess.h"
#include "process/FatalSignals.h"
#include "process/Log.h"
#include "process/ProcessSignals.h"

#include <csignal>
#include <iostream>

using namespace galenaroute;

static int serve(const DaemonSettings &Settings) {
  EventLoop Loop;
  DaemonProcess Process(Loop, Settings);
  Process.Stopped.connect([&] { Loop.stop(); });
  Loop.onSignal(SIGTERM, [&] { Process.drain(); });
  Loop.onSignal(SIGINT, [&] { Process.drain(); });
  unblockControlSignals();
  Process.start();
  Loop.run();
  return 0;
}

int runDaemon(int Argc, char **Argv) {
  reportFatalSignals("galenarouted");
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
