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

  /// Returns the number of requests in progress.
  std::size_t openRequests() const { return this->Open.count(); }

  /// Emitted when a graceful stop begins.
  sigc::signal<void()> Withdrawn;

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
    std::function<bool()> IsSettled;
    std::shared_ptr<Timeline> Events;
  };
  explicit Daemon(Parts Given);
  void finish();
  void stopIfIdle();
  std::vector<EntryAddress> entries() const;

  Parts Given;
  ServingState State = ServingState::Serving;
  Timeline &Events;
  Metrics Stats;
  HttpClient Http;
  HttpEngine Engines;
  Dispatcher Dispatch;
  RetryBudget Retries;
  OpenRequests Open;
  RequestContext Context;
  CallerApi Api;
  HttpServer Server;
  TimePoint FinishingSince;
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
  /// \p IsSettled returns whether all outcomes of calls are durable; a stop
  /// waits for it, for a bounded time.
  DaemonBuilder &settled(std::function<bool()> IsSettled);
  /// Shares the time line with parts that are outside of the daemon.
  DaemonBuilder &timeline(std::shared_ptr<Timeline> Events);
  std::unique_ptr<Daemon> build();

private:
  Daemon::Parts Parts;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_DAEMON_H
