// Holds the configuration in force in one daemon and keeps it up to date.
//
//   ConfigWatcher Configs(Api, Loop.timers(), {});
//   Configs.Changed.connect([&](ConfigurationPtr Next) { ... });
//   Configs.start();
//
// The watcher reads the manifest, watches it, and reads the objects that it
// lacks. Versions received from peers are passed to adopt(), and setWatching()
// turns the watch off in daemons that rely on their peers.
//
// Guarantees: the epoch in force never decreases; Changed is emitted once for
// each epoch that comes into force, after current() returns it. During an
// outage of the platform the configuration stays in force, and reads are
// retried with jittered back-off.
//
// The platform may be restored from an old copy, see PlatformEra.h. The watcher
// then reads the manifest again. A stored epoch below the one in force shows
// that the restoration took the latter back, and while watching, the watcher
// stores the version in force again.

#ifndef GALENAROUTE_VERSION_CONFIGWATCHER_H
#define GALENAROUTE_VERSION_CONFIGWATCHER_H

#include "version/ConfigFetch.h"
#include "version/ConfigSource.h"
#include "version/ConfigStore.h"

namespace galenaroute {

/// Timing options of a watcher.
struct ConfigWatcherOptions {
  /// How long the platform holds a watch open.
  Duration WatchWait = std::chrono::seconds(30);
  /// Minimum time between two watches, for a platform that responds at once.
  Duration MinWatchGap = std::chrono::milliseconds(50);
  Duration FirstBackoff = std::chrono::milliseconds(200);
  Duration MaxBackoff = std::chrono::seconds(10);
  std::uint64_t Seed = std::random_device{}();
};

class ConfigWatcher : public ConfigSource {
public:
  ConfigWatcher(Platform &Api, TimerService &Timers,
                const ConfigWatcherOptions &Options);
  ~ConfigWatcher() override;
  ConfigWatcher(const ConfigWatcher &) = delete;
  ConfigWatcher &operator=(const ConfigWatcher &) = delete;

  void start() { this->setWatching(true); }

  /// Starts or stops watching the manifest.
  void setWatching(bool Watch);

  /// Returns the configuration in force, null before the first one.
  ConfigurationPtr current() const override;

  /// Returns the version in force with its objects, null before the first one.
  const ConfigVersionPtr &version() const { return this->InForce; }

  /// Brings \p Next into force if its epoch is higher; returns whether it did.
  bool adopt(ConfigVersionPtr Next);

  /// Returns the era of the platform, as its answers to this daemon tell it.
  PlatformEra &era() { return this->Api.Era; }

  /// Asks the platform for its era if \p Told, which a peer has told, is newer
  /// than the one known.
  void hearOfEra(std::uint64_t Told);

  /// Returns whether the platform has answered a read since the start, even if
  /// only to report that there is no manifest.
  bool hasAnswered() const { return this->Answered; }

  /// Returns the last error; empty when the last read succeeded.
  const std::string &problem() const { return this->Problem; }

private:
  std::uint64_t epoch() const;
  void read();
  void watch(std::uint64_t Revision);
  void onWatch(std::uint64_t Since, const PlatformList &Result);
  void onFetched(const FetchResult &Result);
  void checkStored();
  void republish();
  void onRepublished(const ApplyResult &Result);
  void schedule(Duration Delay, std::function<void()> Step);
  void retry(std::string Why);

  /// Wraps \p Step so that it runs only until watching is stopped.
  template <typename Fn> auto guarded(Fn Step) {
    return [Session = std::weak_ptr<int>(this->Session),
            Step = std::move(Step)](const auto &...Arguments) {
      if (!Session.expired())
        Step(Arguments...);
    };
  }

  Platform &Api;
  TimerService &Timers;
  ConfigWatcherOptions Options;
  std::mt19937_64 Random;
  ConfigVersionPtr InForce;
  /// Reset whenever watching stops, so that late callbacks do nothing.
  std::shared_ptr<int> Session;
  sigc::connection Timer;
  sigc::connection EraChanged;
  unsigned Attempt = 0;
  std::uint64_t StoredEpoch = 0; ///< Of the manifest as last read.
  /// Whether the manifest has been read since watching began.
  bool IsStoredKnown = false;
  ConfigStore Store;
  sigc::connection RepublishTimer;
  unsigned RepublishAttempt = 0;
  bool IsRepublishing = false;
  bool IsAskingForEra = false;
  /// Checked by the end of a republication, which may come after the end of
  /// the watcher.
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
  bool Answered = false;
  std::string Problem;
};

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_CONFIGWATCHER_H
