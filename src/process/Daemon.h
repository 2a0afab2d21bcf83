// Assembles a daemon's components around one event loop.
//
//   EventLoop Loop;
//   auto Node = DaemonBuilder(Loop, Settings).config(Source).build();
//   Node->start();
//   Node->Stopped.connect([&] { Loop.stop(); });
//   Loop.run();
//
// Guarantee: drain() interrupts no request. The daemon is removed from the list
// of entries immediately, keeps serving for as long as callers may use a cached
// list, finishes all open requests, waits until all responses have been written
// to their sockets, and emits Stopped.

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

  /// Starts listening for callers. Returns the bound port. Throws Error if the
  /// address cannot be bound.
  std::uint16_t start();
  /// The same without an exception: returns zero or an errno.
  int tryStart();

  /// Begins a graceful stop. Further calls have no effect.
  void drain();

  /// The dispatcher, whose messages are to be exchanged with peers.
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
  explicit Daemon(Parts Deps);
  void logStarted() const;
  void finish();
  void stopIfIdle();
  std::vector<EntryAddress> entries() const;

  Parts Deps;
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

/// Builds a Daemon. Components that are not set get safe defaults: an empty
/// configuration, and a claim gate that grants no claim.
class DaemonBuilder {
public:
  DaemonBuilder(EventLoop &Loop, DaemonSettings Settings);

  DaemonBuilder &config(std::shared_ptr<ConfigSource> Source);
  DaemonBuilder &claims(std::shared_ptr<ClaimGate> Gate);
  /// \p Entries returns the addresses to offer to callers. By default only this
  /// daemon's own address is offered, and none while it is stopping.
  DaemonBuilder &entries(std::function<std::vector<EntryAddress>()> Entries);
  /// \p IsSettled returns whether the outcomes of all calls are stored durably.
  /// A graceful stop waits for it for a bounded time.
  DaemonBuilder &settled(std::function<bool()> IsSettled);
  /// Shares the timeline with components outside the daemon.
  DaemonBuilder &timeline(std::shared_ptr<Timeline> Events);
  std::unique_ptr<Daemon> build();

private:
  Daemon::Parts Parts;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_DAEMON_H
