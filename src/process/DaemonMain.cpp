#include "process/Daemon.h"
#include "process/Log.h"
#include "process/PeerServices.h"
#include "version/ConfigWatcher.h"

#include <csignal>
#include <iostream>

using namespace galenaroute;

namespace {

/// The configuration as the watcher reads it from the platform.
class WatchedConfig : public ConfigSource {
public:
  WatchedConfig(Platform &Api, TimerService &Timers)
      : Watcher(Api, Timers, {}) {
    this->Watcher.Changed.connect(
        [this](const ConfigurationPtr &Next) { this->Changed.emit(Next); });
  }

  ConfigurationPtr current() const override { return this->Watcher.current(); }
  void start() { this->Watcher.start(); }

private:
  ConfigWatcher Watcher;
};

} // namespace

static int serve(const DaemonSettings &Settings) {
  EventLoop Loop;
  HttpClient PlatformHttp(Loop);
  HttpPlatform Api(PlatformHttp, Settings.Platform);
  const auto Config = std::make_shared<WatchedConfig>(Api, Loop.timers());
  const auto Events =
      std::make_shared<Timeline>(Settings.NodeId, Settings.TimelineEvents);
  PeerServices Peers(Loop, *Events, Api, peerSettings(Settings));
  const auto Node = DaemonBuilder(Loop, Settings)
                        .config(Config)
                        .timeline(Events)
                        .claims(Peers.claims())
                        .entries([&] { return Peers.entries(); })
                        .settled([&] { return Peers.isSettled(); })
                        .build();
  Peers.attach(*Node);
  Node->Stopped.connect([&] { Loop.stop(); });
  Loop.onSignal(SIGTERM, [&] { Node->drain(); });
  Loop.onSignal(SIGINT, [&] { Node->drain(); });
  Node->start();
  Peers.start();
  Config->start();
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
