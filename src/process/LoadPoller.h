// Polls upstreams and stores for their load and their cached blocks.
//
//   LoadPoller Poller(Loop, Http, Index, Generator, {});
//   Poller.Loaded.connect([&](const std::string &Name,
//                             const LoadReport &Report, Duration RoundTrip) {
//     ...
//   });
//   Poller.setTargets({{"steward-1", Address, PollKind::Engine}});
//
// An engine is polled for its load and its cache events, and for a listing of
// its blocks when the events have a gap; a plain service for its load; a store
// for its blocks, page by page.
//
// Guarantees: at most one call of each kind is open per target, each with a
// deadline. The rate of calls is bounded whatever the number of targets. Calls
// have jitter, so that entries don't poll in step. A malformed report is
// counted and dropped.

#ifndef GALENAROUTE_PROCESS_LOADPOLLER_H
#define GALENAROUTE_PROCESS_LOADPOLLER_H

#include "connection/HttpClient.h"
#include "connection/UpstreamReports.h"

namespace galenaroute {

enum class PollKind { Engine, Plain, Store };

struct PollTarget {
  std::string Name;
  SocketAddress Address;
  PollKind Kind = PollKind::Engine;
  bool operator==(const PollTarget &) const = default;
};

struct LoadPollerSettings {
  Duration LoadPeriod = Milliseconds(100);
  Duration EventPeriod = Milliseconds(250);
  /// Period of loads and events while the entry has no requests. Shorter than
  /// the age at which a report is ignored.
  Duration IdlePeriod = Milliseconds(1000);
  /// Listings also bound how long a stale hint lasts.
  Duration ListPeriod = std::chrono::seconds(30);
  Duration StorePeriod = std::chrono::seconds(5);
  /// The shortest time from a gap in the events to the next listing.
  Duration RelistDelay = std::chrono::seconds(1);
  /// Of one call. A report that takes longer is out of date.
  Duration Timeout = Milliseconds(1000);
  /// Over all targets; the periods are stretched to stay within it.
  double MaxCallsPerSecond = 200;
  std::size_t MaxBodyBytes = 8 << 20;
  std::size_t MaxPages = 100;
};

class LoadPoller {
public:
  LoadPoller(EventLoop &Loop, HttpClient &Http, CacheIndex &Index,
             RandomGenerator &Generator, LoadPollerSettings Settings);
  ~LoadPoller();
  LoadPoller(const LoadPoller &) = delete;
  LoadPoller &operator=(const LoadPoller &) = delete;

  /// Replaces the targets. Unchanged targets keep their state.
  void setTargets(const std::vector<PollTarget> &Targets);

  /// Selects the normal periods, for an entry with requests, or the idle
  /// period. A change to active schedules a poll of all loads and events.
  void setActive(bool Value);

  /// Emitted for each load report.
  sigc::signal<void(const std::string &Name, const LoadReport &Report,
                    Duration RoundTrip)>
      Loaded;

  std::uint64_t calls() const { return this->Calls; }
  std::uint64_t malformed() const { return this->Malformed; }

private:
  enum class Query { Load, Events, Blocks };
  struct ScheduledCall {
    TimePoint DueAt;
    std::unique_ptr<HttpExchange> Call; ///< Null if no call is open.
  };
  struct Target {
    PollTarget Config;
    std::map<Query, ScheduledCall> Queries;
    BlockListing Pages; ///< The pages received so far.
    std::size_t PageCount = 0;
  };

  void tick();
  void sendQuery(Target &To, Query Kind);
  void onResponse(const std::string &Name, Query Kind, TimePoint SentAt,
                  const HttpResult &Result);
  void onLoad(const Target &From, TimePoint SentAt, const HttpResult &Result);
  void onEvents(Target &From, const HttpResult &Result);
  void onBlocks(Target &From, const HttpResult &Result);
  Duration period(const Target &Of, Query Kind) const;
  Duration withJitter(Duration Period);

  EventLoop &Loop;
  HttpClient &Http;
  CacheIndex &Index;
  RandomGenerator &Generator;
  LoadPollerSettings Settings;
  std::map<std::string, Target> Targets;
  /// Factor, at least 1, that stretches the periods of loads and events.
  double PeriodFactor = 1;
  bool Active = true;
  std::uint64_t Calls = 0;
  std::uint64_t Malformed = 0;
  // An exchange must outlive its own callback, so completed ones are freed
  // later.
  std::vector<std::unique_ptr<HttpExchange>> Ended;
  sigc::connection Timer;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_LOADPOLLER_H
