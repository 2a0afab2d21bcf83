// Asks upstreams and stores for their load and their cached blocks.
//
//   LoadPoller Poller(Loop, Http, Index, Generator, {});
//   Poller.Loaded.connect([&](const std::string &Name, const LoadReport
//   &Report,
//                             Duration RoundTrip) { ... });
//   Poller.setTargets({{"steward-1", Address, PollKind::Engine}});
//
// Each engine is asked for its load and its cache events in turn, and for its
// blocks when the events have a gap; each plain service for its load; each
// store for its blocks, page by page.
//
// Guarantees: at most one call of each kind is open per target, each with a
// deadline; the calls per second are bounded whatever the number of targets;
// times are spread by jitter, so that entries don't ask together. A report that
// can't be decoded is counted and dropped.

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
  /// For loads and events while the entry has no requests. Shorter than the
  /// age at which a report counts for nothing.
  Duration IdlePeriod = Milliseconds(1000);
  /// Listings also bound how long a wrong hint lasts.
  Duration ListPeriod = std::chrono::seconds(30);
  Duration StorePeriod = std::chrono::seconds(5);
  /// After a listing was needed, the shortest time until the next one.
  Duration RelistDelay = std::chrono::seconds(1);
  /// For one call. A report that takes longer is out of date.
  Duration Timeout = Milliseconds(1000);
  /// Over all targets; the periods grow to stay within it.
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

  /// Replaces the targets; the state of those that stay is kept.
  void setTargets(const std::vector<PollTarget> &Targets);

  /// Polls at the periods for an entry with requests, or at the idle one.
  /// Becoming active asks for all loads and events soon.
  void setActive(bool Value);

  /// Emitted for each load report.
  sigc::signal<void(const std::string &Name, const LoadReport &Report,
                    Duration RoundTrip)>
      Loaded;

  std::uint64_t calls() const { return this->Calls; }
  std::uint64_t malformed() const { return this->Malformed; }

private:
  enum class Question { Load, Events, Blocks };
  struct Pending {
    TimePoint DueAt;
    std::unique_ptr<HttpExchange> Call; ///< Null while none is open.
  };
  struct Target {
    PollTarget Config;
    std::map<Question, Pending> Questions;
    BlockListing Pages; ///< What was listed so far, of several pages.
    std::size_t PageCount = 0;
  };

  void tick();
  void ask(Target &To, Question What);
  void answered(const std::string &Name, Question What, TimePoint SentAt,
                const HttpResult &Result);
  void onLoad(const Target &From, TimePoint SentAt, const HttpResult &Result);
  void onEvents(Target &From, const HttpResult &Result);
  void onBlocks(Target &From, const HttpResult &Result);
  Duration period(const Target &Of, Question What) const;
  Duration withJitter(Duration Period);

  EventLoop &Loop;
  HttpClient &Http;
  CacheIndex &Index;
  RandomGenerator &Generator;
  LoadPollerSettings Settings;
  std::map<std::string, Target> Targets;
  /// At least 1: by how much the periods of loads and events are stretched.
  double Stretch = 1;
  bool Active = true;
  std::uint64_t Calls = 0;
  std::uint64_t Malformed = 0;
  // Exchanges must outlive their own callbacks, so ended ones are freed later.
  std::vector<std::unique_ptr<HttpExchange>> Ended;
  sigc::connection Timer;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_LOADPOLLER_H
