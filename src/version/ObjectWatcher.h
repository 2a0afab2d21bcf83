// Follows all objects of one kind in the platform: lists them, then watches.
//
//   ObjectWatcher Watcher(Loop, Api, "servers", Settings, Events);
//   Watcher.start();
//
// Guarantees: after a gap (history that is gone, an answer that cannot be
// used, or a first contact) everything is listed again before anything else is
// reported; one call is under way at a time; a call that hears nothing for
// longer than it may wait is given up, so a connection that went silent is
// noticed within the wait and the margin.

#ifndef GALENAROUTE_VERSION_OBJECTWATCHER_H
#define GALENAROUTE_VERSION_OBJECTWATCHER_H

#include "connection/PlatformClient.h"
#include "process/EventLoop.h"

#include <optional>
#include <set>

namespace galenaroute {

struct ObjectWatcherSettings {
  /// How long a watch waits for changes. A longer wait costs fewer calls and
  /// notices a lost connection later.
  Duration Wait = std::chrono::milliseconds(1500);
  /// Between attempts while the platform does not answer.
  Duration Retry = std::chrono::milliseconds(150);
  Duration MaxRetry = std::chrono::milliseconds(600);
};

struct ObjectWatcherEvents {
  std::function<void(const PlatformObject &Object)> OnObject;
  /// The names of all objects, after OnObject was called for each.
  std::function<void(const std::set<std::string> &Names)> OnListed =
      [](const std::set<std::string> &) {};
};

class ObjectWatcher {
public:
  ObjectWatcher(EventLoop &Loop, Platform &Api, std::string Kind,
                ObjectWatcherSettings Settings, ObjectWatcherEvents Events);
  ~ObjectWatcher();
  ObjectWatcher(const ObjectWatcher &) = delete;
  ObjectWatcher &operator=(const ObjectWatcher &) = delete;

  void start();
  /// When the platform last answered; nothing before the first list.
  std::optional<TimePoint> heardAt() const { return this->HeardAt; }
  void setWait(Duration Wait) { this->Settings.Wait = Wait; }

private:
  void list(const std::string &After);
  void watch();
  void onList(const PlatformList &Result);
  void onWatch(const PlatformList &Result);
  void retry();
  void heard();

  EventLoop &Loop;
  Platform &Api;
  std::string Kind;
  ObjectWatcherSettings Settings;
  ObjectWatcherEvents Events;
  std::set<std::string> Listed;
  std::uint64_t Revision = 0;
  bool HasRevision = false;
  bool IsLost = false;
  Duration NextRetry{};
  std::optional<TimePoint> HeardAt;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  sigc::connection Timer;
};

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_OBJECTWATCHER_H
