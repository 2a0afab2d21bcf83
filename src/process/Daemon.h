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

  /// The decisions on where requests run, to connect to peers.
  Dispatcher &dispatcher() { return this->Dispatch; }

  /// Emitted when a graceful stop is complete.
  sigc::signal<void()> Stopped;

private:
  friend class DaemonBuilder;
  struct Parts {
    EventLoop &Loop;
    DaemonSettings Settings;
    std::shared_ptr<ConfigSource> Config;
    std::shared_ptr<ClaimGate> Claims;
    std::function<std::vector<EntryAddress>()> Entries;
  };
  explicit Daemon(Parts Given);
  void finish();
  void stopIfIdle();
  std::vector<EntryAddress> entries() const;

  Parts Given;
  ServingState State = ServingState::Serving;
  Timeline Events;
  Metrics Stats;
  HttpClient Http;
  HttpEngine Engines;
  Dispatcher Dispatch;
  RetryBudget Retries;
  OpenRequests Open;
  RequestContext Context;
  CallerApi Api;
  HttpServer Server;
  sigc::connection DrainTimer;
  sigc::connection ConfigChanged;
};

/// Builds a Daemon. Parts that are not given are replaced by ones that are safe
/// but serve nothing: no configuration, and no claim is granted.
class DaemonBuilder {
public:
  DaemonBuilder(EventLoop &Loop, DaemonSettings Settings);

  DaemonBuilder &config(std::shared_ptr<ConfigSource> Source);
  DaemonBuilder &claims(std::shared_ptr<ClaimGate> Gate);
  /// \p Entries returns the addresses for callers while this daemon serves; by
  /// default only its own.
  DaemonBuilder &entries(std::function<std::vector<EntryAddress>()> Entries);
  std::unique_ptr<Daemon> build();

private:
  Daemon::Parts Parts;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_DAEMON_H
