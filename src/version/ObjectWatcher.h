// Follows all objects of one kind in the platform: lists them, then watches.
//
//   ObjectWatcher Watcher(Loop, Api, "servers", Settings, Events);
//   Watcher.start();
//
// Where several processes follow the same objects, a few watch with a short
// wait and tell the others how far they are:
//
//   Told = Watcher.contact(Now);           // at one that watches closely
//   Other.noteContact(Told, Now);          // at one that relies on it
//
// In a large fleet these also pass on what has changed, so that the others make
// no calls at all:
//
//   Watcher.OnNews = [&](const ObjectNews &News) { send(News); };
//   Other.relyOnNews(true);  Other.receive(News);
//
// Otherwise, one that relies on others keeps a watch with a long wait, which
// costs few calls and still brings changes at once. It counts as current as
// long as another that is current holds the same objects. When others know more
// for longer than their news takes, or none tells anything, it asks anew.
//
// Guarantees: after a gap (history that is gone, an answer that cannot be
// used, or a first contact) everything is listed again before anything else is
// reported; one call counts at a time; a call that hears nothing for longer
// than it may wait is given up, so a connection that went silent is noticed
// within the wait and the margin, or as soon as others show it.

#ifndef GALENAROUTE_VERSION_OBJECTWATCHER_H
#define GALENAROUTE_VERSION_OBJECTWATCHER_H

#include "connection/PlatformClient.h"
#include "process/EventLoop.h"

#include <map>
#include <optional>
#include <set>

namespace galenaroute {

/// How far a process that follows the objects of a kind is.
struct ObjectContact {
  std::uint64_t LastChange = 0; ///< Revision of the newest object seen.
  std::uint64_t Digest = 0;     ///< Of the names and revisions of all objects.
  Duration Age{};               ///< Since the platform answered.
};

/// What one process heard of the objects of a kind, for those that do not
/// watch.
struct ObjectNews {
  std::string Kind;
  std::uint64_t Since = 0;    ///< The changes follow this revision,
  std::uint64_t Revision = 0; ///< and are complete up to this one.
  std::vector<PlatformObject> Objects;
};

struct ObjectWatcherSettings {
  /// How long a watch waits for changes. A longer wait costs fewer calls and
  /// notices a lost connection later.
  Duration Wait = std::chrono::milliseconds(1500);
  /// The same where others tell of changes. The platform allows 30 s.
  Duration LongWait = std::chrono::seconds(25);
  /// Others that know more are waited for this long, and the batch delay.
  Duration BehindLimit = std::chrono::milliseconds(400);
  /// Nobody told that this process is current for this long.
  Duration MaxSilence = std::chrono::milliseconds(2000);
  /// Between attempts where others tell when the platform is back.
  Duration RetryBesideOthers = std::chrono::milliseconds(1500);
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
  /// When what is known was last known to be current, from the platform or
  /// from others; nothing before the first list.
  std::optional<TimePoint> heardAt() const { return this->HeardAt; }
  /// When the platform itself last answered.
  std::optional<TimePoint> answeredAt() const { return this->AnsweredAt; }
  const std::string &kind() const { return this->Kind; }

  /// Whether others watch closely. Takes effect with the next call.
  void rely(bool OnOthers) { this->ReliesOnOthers = OnOthers; }
  /// Whether others also pass on what has changed. One that relies on them then
  /// watches only when it is behind or hears nothing.
  void relyOnNews(bool Does) { this->HearsNews = Does; }
  /// Called with what a watch has told.
  std::function<void(const ObjectNews &News)> OnNews = [](const ObjectNews &) {
  };
  /// Takes in what another process heard. After a gap it waits for check().
  void receive(const ObjectNews &News);
  /// How long to wait after a change before the next call, so that several
  /// changes cost one.
  void setBatchDelay(Duration Delay) { this->BatchDelay = Delay; }
  /// What to tell others.
  ObjectContact contact(TimePoint Now) const;
  void noteContact(const ObjectContact &Told, TimePoint Now);
  /// To be called several times a second.
  void check(TimePoint Now);

private:
  void list(const std::string &After);
  void watch();
  void take(const PlatformObject &Object);
  void forget(const std::string &Name);
  void onList(const PlatformList &Result);
  void onWatch(const PlatformList &Result);
  void retry();
  void heard();
  bool isCurrent() const;
  void goOn();
  bool isNewsEnough() const;

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
  std::optional<TimePoint> AnsweredAt;
  bool ReliesOnOthers = false;
  Duration BatchDelay{};
  bool WaitsLong = false; ///< The call under way.
  bool HearsNews = false;
  bool IsResting = false; ///< No call is under way; news tells of changes.
  /// Answers to calls of earlier rounds are not used.
  std::uint64_t Round = 0;
  std::optional<TimePoint> BehindSince;
  std::map<std::string, std::uint64_t> Known; ///< Revisions by name.
  std::uint64_t LastChange = 0;
  std::uint64_t Digest = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  sigc::connection Timer;
};

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_OBJECTWATCHER_H
