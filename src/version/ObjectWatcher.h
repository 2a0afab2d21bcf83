// Keeps a local view of all objects of one kind in the platform: lists them,
// then watches for changes.
//
//   ObjectWatcher Watcher(Loop, Api, "servers", Settings, Events);
//   Watcher.start();
//
// When several processes watch the same objects, a few of them (primary
// watchers) use a short long-poll wait and report their progress to the others
// (secondary watchers):
//
//   Peer = Watcher.progress(Now);           // at a primary watcher
//   Other.notePeerProgress(Peer, Now);      // at a secondary watcher
//
// In a large fleet the primary watchers also forward the changes themselves, so
// that the secondary ones need no calls to the platform:
//
//   Watcher.OnUpdates = [&](const ObjectUpdates &Updates) { send(Updates); };
//   Other.expectUpdates(true);  Other.receive(Updates);
//
// Otherwise, a secondary watcher keeps a watch with a long wait, which costs
// few calls and still delivers changes immediately. Its view counts as current
// while a peer whose view is current has the same objects; the digest decides,
// since a process that started after a deletion has not seen its revision. It
// starts a new
// watch when peers have been ahead for longer than an update takes to arrive,
// or when no peer reports its progress.
//
// Revisions belong to an era of the platform (see PlatformEra.h). When the era
// changes, the position, the known revisions and the progress are dropped and
// everything is listed again; objects that are missing then are reported by
// OnListed. A process that hears from a peer of a newer era lists, too, and its
// own answer tells the era.
//
// Guarantees: after a gap (expired history or the start), everything is listed
// again before any other change is reported; only the latest call's result is
// used; a call that gets no response within its wait and timeout is abandoned,
// so a silently broken connection is detected within that time, or as soon as
// peers report newer objects.

#ifndef GALENAROUTE_VERSION_OBJECTWATCHER_H
#define GALENAROUTE_VERSION_OBJECTWATCHER_H

#include "connection/PlatformClient.h"
#include "process/BootClock.h"
#include "process/EventLoop.h"

#include <map>
#include <optional>
#include <set>

namespace galenaroute {

/// The progress of one process that watches the objects of a kind.
struct WatchProgress {
  std::uint64_t LastChange = 0; ///< Revision of the newest object seen.
  std::uint64_t Digest = 0;     ///< Hash of all objects' names and revisions.
  Duration Age{};               ///< Time since the platform last responded.
  std::uint64_t Era = 0; ///< Of the platform, in which LastChange counts.
  /// When the last answered call of that process was sent; all changes until
  /// then were seen. Nothing if a peer does not tell.
  std::optional<BootTime> CompleteUntil = std::nullopt;
};

/// Changes of the objects of a kind, forwarded to processes that do not watch.
struct ObjectUpdates {
  std::string Kind;
  std::uint64_t Since = 0;    ///< The changes start after this revision
  std::uint64_t Revision = 0; ///< and are complete up to this one.
  std::vector<PlatformObject> Objects;
  std::uint64_t Era = 0; ///< Of the platform, in which the revisions count.
};

struct ObjectWatcherSettings {
  /// Long-poll wait of a watch. A longer wait costs fewer calls but detects a
  /// lost connection later.
  Duration Wait = std::chrono::milliseconds(1500);
  /// The same for secondary watchers. The platform allows 30 s.
  Duration LongWait = std::chrono::seconds(25);
  /// How long peers may be ahead, besides the batch delay, before a new watch
  /// is started.
  Duration MaxPeerLead = std::chrono::milliseconds(400);
  /// The view counts as current for this long after it was confirmed by the
  /// platform or a peer.
  Duration MaxConfirmationAge = std::chrono::milliseconds(2000);
  /// Between attempts of secondary watchers while the platform does not answer;
  /// peers report when it is back.
  Duration SecondaryRetry = std::chrono::milliseconds(1500);
  /// Between attempts otherwise: from Retry, doubled up to MaxRetry.
  Duration Retry = std::chrono::milliseconds(150);
  Duration MaxRetry = std::chrono::milliseconds(600);
};

struct ObjectWatcherEvents {
  std::function<void(const PlatformObject &Object)> OnObject;
  /// Receives the names of all listed objects, after OnObject was called for
  /// each.
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
  /// Returns when the platform or a peer last confirmed the view to be current;
  /// nothing before the first list.
  std::optional<TimePoint> confirmedAt() const { return this->ConfirmedAt; }
  /// Returns when the platform itself last responded.
  std::optional<TimePoint> answeredAt() const { return this->AnsweredAt; }
  /// Returns a moment until which the view holds all changes: when the last
  /// answered call was sent, by this process or by a peer whose view is the
  /// same; nothing before the first list of an era.
  std::optional<BootTime> completeUntil() const { return this->CompleteUntil; }
  /// The same by calls of this process only. The age that a peer reports is too
  /// short by the time that the report was under way or waited to be read.
  std::optional<BootTime> ownCompleteUntil() const {
    return this->OwnCompleteUntil;
  }
  /// While objects are applied: the moment since which their changes may have
  /// gone unnoticed, because this process had no answer of the platform for
  /// longer than a watch takes.
  std::optional<BootTime> unnoticedSince() const {
    return this->UnnoticedSince;
  }
  /// Returns when the platform last answered a peer, as far as peers tell.
  std::optional<BootTime> peerAnsweredAt() const {
    return this->PeerAnsweredAt;
  }
  /// The longest time from one answer to the next of undisturbed watches.
  Duration maxWatchTime() const;
  const std::string &kind() const { return this->Kind; }

  /// Makes this a secondary or a primary watcher from the next call on.
  void setSecondary(bool Enabled) { this->IsSecondary = Enabled; }
  /// Sets whether primary watchers forward changes. A secondary watcher then
  /// watches only when it is behind or receives no progress reports.
  void expectUpdates(bool Enabled) { this->ExpectsUpdates = Enabled; }
  /// Called by a primary watcher with the changes that a watch returned.
  std::function<void(const ObjectUpdates &Updates)> OnUpdates =
      [](const ObjectUpdates &) {};
  /// Applies changes that a primary watcher forwarded. Ignores them after a
  /// gap; check() then starts a watch.
  void receive(const ObjectUpdates &Updates);
  /// Sets the delay between a change and the next watch, which batches several
  /// changes into one call.
  void setBatchDelay(Duration Delay) { this->BatchDelay = Delay; }
  /// Returns whether there is progress to report to peers: everything was
  /// listed in the current era.
  bool hasProgress() const { return this->HasRevision; }
  WatchProgress progress(TimePoint Now) const;
  /// Handles the progress that a peer reported.
  void notePeerProgress(const WatchProgress &Peer, TimePoint Now);
  /// Starts a new watch if the view is behind or not confirmed. To be called
  /// several times a second.
  void check(TimePoint Now);
  /// Asks the platform at once for what has changed, as after a suspension,
  /// which the confirmations do not show.
  void refresh();

private:
  void list(const std::string &After);
  void watch(std::optional<Duration> Wait = std::nullopt);
  void applyObject(const PlatformObject &Object);
  void eraseKnown(const std::string &Name);
  void onList(const PlatformList &Result);
  void onWatch(const PlatformList &Result, BootTime SentAt);
  void retry();
  void onResponse();
  void noteComplete(BootTime Until);
  void noteAnswer(BootTime SentAt);
  void listAnew();
  void dropEra(const EraChange &Change);
  bool isCurrent() const;
  void awaitChanges();
  bool areUpdatesSufficient() const;

  EventLoop &Loop;
  Platform &Api;
  std::string Kind;
  ObjectWatcherSettings Settings;
  ObjectWatcherEvents Events;
  std::set<std::string> Listed;
  bool IsFirstPage = false; ///< The list call that is pending.
  std::uint64_t Revision = 0;
  /// No object of the kind has changed after this revision, up to Revision.
  std::uint64_t UnchangedSince = 0;
  bool HasRevision = false;
  bool IsDisconnected = false;
  Duration NextRetry{};
  std::optional<TimePoint> ConfirmedAt;
  std::optional<TimePoint> AnsweredAt;
  std::optional<BootTime> CompleteUntil;
  /// The same by own calls only. Peers are told no more than this, since times
  /// that are passed on in circles would grow with each transit.
  std::optional<BootTime> OwnCompleteUntil;
  std::optional<BootTime> UnnoticedSince;
  std::optional<BootTime> PeerAnsweredAt;
  BootTime ListSentAt; ///< Of the first page.
  bool IsSecondary = false;
  Duration BatchDelay{};
  bool IsLongPoll = false; ///< The pending call uses LongWait.
  bool ExpectsUpdates = false;
  bool IsIdle = false; ///< No call is pending; peers forward changes.
  /// Incremented with each call; responses to earlier ones are ignored.
  std::uint64_t Generation = 0;
  std::optional<TimePoint> BehindSince;
  std::map<std::string, std::uint64_t> Known; ///< Revision by name.
  std::uint64_t LastChange = 0;
  std::uint64_t Digest = 0;
  bool IsEraDoubted = false; ///< A peer reports a newer era.
  bool IsStarted = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  sigc::connection Timer;
  sigc::connection EraChanges;
};

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_OBJECTWATCHER_H
