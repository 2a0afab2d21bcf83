// Tracks the contents of the KV cache stores by their event feeds.
//
//   StoreFollower Follower(Loop, Feed);
//   Follower.follow(Config);         // on each change of the configuration
//   Services.Stores = Follower.views();
//
// When many entries need the same contents, one entry of each availability zone
// polls a store and forwards its events to the others:
//
//   Follower.assign([&](std::string_view Store) { return isFirst(Store); });
//   Follower.OnUpdate = [&](const StoreUpdate &Update) { send(Update); };
//   Other.receive(Update);
//
// An entry that receives no updates, or misses one, polls the store itself.
//
// Guarantees: at most one call per store is open. A store that does not answer
// is not used until it has answered again. After a gap in its events its whole
// list is read.

#ifndef GALENAROUTE_PROCESS_STOREFOLLOWER_H
#define GALENAROUTE_PROCESS_STOREFOLLOWER_H

#include "process/EventLoop.h"
#include "request/PromptReuse.h"
#include "version/ForwardConfig.h"

namespace galenaroute {

/// The event feed of KV cache stores.
class CacheFeed {
public:
  /// Called with no batch if the store did not answer.
  using OnBatch = std::function<void(std::optional<StoreEventBatch> Batch)>;
  virtual ~CacheFeed() = default;
  /// Waits up to \p Wait for events after number \p Since.
  virtual void events(const SocketAddress &Store, std::uint64_t Since,
                      Duration Wait, OnBatch Done) = 0;
  virtual void list(const SocketAddress &Store, OnBatch Done) = 0;
  /// Frees \p Parts, pairs of scope and id, if the store is still in \p Epoch.
  virtual void
  free(const SocketAddress &Store, std::uint64_t Epoch,
       std::span<const std::pair<std::string, std::string>> Parts) = 0;
};

/// Events of a store that one entry forwards to those that do not poll it.
struct StoreUpdate {
  std::string Store;
  std::uint64_t Since = 0; ///< Number of the event before the batch.
  StoreEventBatch Batch;
};

class StoreFollower {
public:
  StoreFollower(EventLoop &Loop, CacheFeed &Feed);
  ~StoreFollower();
  StoreFollower(const StoreFollower &) = delete;
  StoreFollower &operator=(const StoreFollower &) = delete;

  void follow(const ForwardConfig &Config);
  /// Sets the number of entries that follow the same stores, including this
  /// one.
  void setFollowers(std::size_t Count) { this->Followers = Count; }
  /// Selects the stores that this entry polls; for the others it expects
  /// updates.
  void assign(const std::function<bool(std::string_view Store)> &IsAssigned);
  /// Called with each batch of a store that this entry polls.
  std::function<void(const StoreUpdate &Update)> OnUpdate =
      [](const StoreUpdate &) {};
  void receive(const StoreUpdate &Update);
  /// Called for each response that cannot be read, for metrics.
  std::function<void()> OnMalformed = [] {};
  std::vector<StoreView> views();
  /// Frees the parts of weights that are older than those in \p Oldest; nothing
  /// may use them any more.
  void freeOutdated(const VersionsByModel &Oldest);

private:
  struct Store {
    SocketAddress Address;
    std::string Zone;
    std::uint64_t CapacityTokens = 0;
    Duration Latency{};
    StoreContents Contents;
    int MaxWatchers = 1;
    bool NeedsList = false;
    bool IsUnreachable = false;
    bool IsAssigned = true;       ///< Polled by this entry, see assign().
    bool HasMissedEvents = false; ///< A batch from another entry was lost.
    int Refusals = 0;  ///< Consecutive calls that the store refused as busy.
    int Malformed = 0; ///< Consecutive responses that could not be read.
    TimePoint FreedAt;
    TimePoint ListedAt;
    sigc::connection Timer;
    // Lets callbacks that outlive the store, or the follower, detect it.
    std::shared_ptr<bool> Session = std::make_shared<bool>(true);
  };

  void poll(const std::string &Name);
  void onBatch(const std::string &Name, std::optional<StoreEventBatch> Batch);
  Duration pollPeriod(const Store &Polled) const;
  Duration eventWait(const Store &Polled) const;
  void pollLater(const std::string &Name, Duration Delay);

  EventLoop &Loop;
  CacheFeed &Feed;
  std::map<std::string, std::unique_ptr<Store>> Stores;
  std::size_t Followers = 1;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_STOREFOLLOWER_H
