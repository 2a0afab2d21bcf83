// The configuration in force in one daemon.
//
//   ConfigWatcher Configs(Api, Loop.timers(), {});
//   Configs.Changed.connect([&](ConfigurationPtr Next) { ... });
//   Configs.start();
//
// The watcher reads the manifest, watches it, and reads the objects that it
// lacks. Versions that peers sent come in through adopt(), and setWatching()
// turns the watch off in daemons that rely on their peers.
//
// Guarantees: the epoch in force never goes down; Changed is emitted once for
// each epoch that comes into force, and after current() returns it. An outage
// leaves the configuration in force and is retried with jittered back-off.

#ifndef GALENAROUTE_VERSION_CONFIGWATCHER_H
#define GALENAROUTE_VERSION_CONFIGWATCHER_H

#include "version/ConfigFetch.h"
#include "version/ConfigSource.h"

namespace galenaroute {

/// Times of a watcher.
struct ConfigWatcherOptions {
  /// How long the platform holds a watch open.
  Duration WatchWait = std::chrono::seconds(30);
  /// The least time between two watches, for a platform that answers at once.
  Duration MinWatchGap = std::chrono::milliseconds(50);
  Duration FirstBackoff = std::chrono::milliseconds(200);
  Duration MaxBackoff = std::chrono::seconds(10);
  std::uint64_t Seed = std::random_device{}();
};

/// Holds the configuration in force and follows the manifest.
class ConfigWatcher : public ConfigSource {
public:
  ConfigWatcher(Platform &Api, TimerService &Timers,
                const ConfigWatcherOptions &Options);
  ~ConfigWatcher() override;
  ConfigWatcher(const ConfigWatcher &) = delete;
  ConfigWatcher &operator=(const ConfigWatcher &) = delete;

  /// Starts to follow the manifest.
  void start() { this->setWatching(true); }

  /// Follows the manifest, or stops to.
  void setWatching(bool Watch);

  /// Returns the configuration in force, null before the first one.
  ConfigurationPtr current() const override;

  /// Returns the version in force with its objects, null before the first.
  const ConfigVersionPtr &version() const { return this->InForce; }

  /// Brings \p Next into force when its epoch is higher; returns whether.
  bool adopt(ConfigVersionPtr Next);

  /// Returns whether the platform has answered a read since the start. Where
  /// it says that there is no manifest, there is nothing to wait for.
  bool hasAnswered() const { return this->Answered; }

  /// Returns what went wrong last; empty when the last read succeeded.
  const std::string &problem() const { return this->Problem; }

private:
  std::uint64_t epoch() const;
  void read();
  void watch(std::uint64_t Revision);
  void watched(std::uint64_t Since, const PlatformList &Result);
  void fetched(const FetchResult &Result);
  void schedule(Duration Delay, std::function<void()> Step);
  void retry(std::string Why);

  /// Wraps \p Step so that it runs only while this round of following goes on.
  template <typename Fn> auto guarded(Fn Step) {
    return [Round = std::weak_ptr<int>(this->Round),
            Step = std::move(Step)](const auto &...Arguments) {
      if (!Round.expired())
        Step(Arguments...);
    };
  }

  Platform &Api;
  TimerService &Timers;
  ConfigWatcherOptions Options;
  std::mt19937_64 Random;
  ConfigVersionPtr InForce;
  /// Replaced whenever following stops, so that late callbacks do nothing.
  std::shared_ptr<int> Round;
  sigc::connection Timer;
  unsigned Attempt = 0;
  bool Answered = false;
  std::string Problem;
};

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_CONFIGWATCHER_H
