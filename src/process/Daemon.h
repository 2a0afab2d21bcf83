// The daemon: the wiring of all parts around one event loop.
//
//   EventLoop Loop;
//   auto Node = DaemonBuilder(Loop, Settings).config(Source).build();
//   Node->start();
//   Node->Stopped.connect([&] { Loop.stop(); });
//   Loop.run();
//
// Guarantee: drain() cuts nothing. The daemon is withdrawn from the entries at
// once, serves for as long as callers may use an earlier answer, finishes all
// open requests, waits until the kernel has all answers, and emits Stopped.

#ifndef GALENAROUTE_PROCESS_DAEMON_H
#define GALENAROUTE_PROCESS_DAEMON_H

#include "process/Cluster.h"
#include "request/CallerApi.h"

#include <memory>

namespace galenaroute {

class Daemon {
public:
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Starts to listen for callers; returns the port.
  std::uint16_t start();

  /// Begins a graceful stop; further calls change nothing.
  void drain();

  /// Emitted when a graceful stop is complete.
  sigc::signal<void()> Stopped;

private:
  friend class DaemonBuilder;
  struct Parts {
    EventLoop &Loop;
    DaemonSettings Settings;
    std::shared_ptr<ConfigSource> Config;
    std::shared_ptr<ClaimGate> Claims;
  };
  explicit Daemon(Parts Given);
  ConfigSource &config() const;
  ClaimGate &claims() const;
  void finish();
  void stopIfIdle();
  std::vector<EntryAddress> entries() const;

  Parts Given;
  ServingState State = ServingState::Serving;
  Timeline Events;
  Metrics Stats;
  HttpClient Http;
  HttpEngine Engines;
  UpstreamPools Pools;
  /// Null when the configuration was given to the builder.
  std::unique_ptr<Cluster> Fleet;
  OpenRequests Open;
  RequestContext Context;
  CallerApi Api;
  HttpServer Server;
  TimePoint FinishingSince{};
  sigc::connection DrainTimer;
  sigc::connection LoadTimer;
  sigc::connection ConfigChanged;
};

/// Builds a Daemon. By default it follows the platform and its peers. With a
/// configuration from config() it stands alone, and grants no claims unless a
/// gate is given too.
class DaemonBuilder {
public:
  DaemonBuilder(EventLoop &Loop, DaemonSettings Settings);

  DaemonBuilder &config(std::shared_ptr<ConfigSource> Source);
  DaemonBuilder &claims(std::shared_ptr<ClaimGate> Gate);
  std::unique_ptr<Daemon> build();

private:
  Daemon::Parts Parts;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_DAEMON_H
