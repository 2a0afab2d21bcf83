// Follows the contents of the KV cache stores by their event feeds.
//
//   StoreFollower Follower(Loop, Feed);
//   Follower.follow(Specs);          // as the configuration names them
//   Services.Stores = Follower.places();
//
// Where many entries need the same contents, one of each availability zone
// follows a store and tells the others what it hears:
//
//   Follower.divide([&](std::string_view Store) { return isFirst(Store); });
//   Follower.OnHeard = [&](const StoreNews &News) { send(News); };
//   Other.receive(News);
//
// An entry that hears nothing, or misses a message, asks the store itself.
//
// Guarantees: one call to each store is under way at a time; a store that does
// not answer is not trusted until it has been heard again; after a gap in its
// events its whole list is read.

#ifndef GALENAROUTE_PROCESS_STOREFOLLOWER_H
#define GALENAROUTE_PROCESS_STOREFOLLOWER_H

#include "process/EventLoop.h"
#include "request/PromptReuse.h"
#include "version/ForwardConfig.h"

namespace galenaroute {

/// The event feed of KV cache stores.
class CacheFeed {
public:
  /// Gets nothing when the store did not answer.
  using OnBatch = std::function<void(std::optional<StoreEventBatch> Batch)>;
  virtual ~CacheFeed() = default;
  /// Waits up to \p Wait for events after \p Since.
  virtual void events(const SocketAddress &Store, std::uint64_t Since,
                      Duration Wait, OnBatch Done) = 0;
  virtual void list(const SocketAddress &Store, OnBatch Done) = 0;
  /// Frees parts, given as pairs of scope and id, if the store is still in
  /// \p Epoch.
  virtual void
  free(const SocketAddress &Store, std::uint64_t Epoch,
       std::span<const std::pair<std::string, std::string>> Parts) = 0;
};

/// What one entry heard of a store, for those that do not ask it themselves.
struct StoreNews {
  std::string Store;
  std::uint64_t Since = 0; ///< The events follow this one.
  StoreEventBatch Batch;
};

class StoreFollower {
public:
  StoreFollower(EventLoop &Loop, CacheFeed &Feed);
  ~StoreFollower();
  StoreFollower(const StoreFollower &) = delete;
  StoreFollower &operator=(const StoreFollower &) = delete;

  void follow(const ForwardConfig &Config);
  /// Tells how many entries follow the same stores, this one included.
  void setFollowers(std::size_t Count) { this->Followers = Count; }
  /// Decides which stores this entry asks; of the others it expects news.
  void divide(const std::function<bool(std::string_view Store)> &IsAsked);
  /// Called with what was heard of a store that this entry asks for others.
  std::function<void(const StoreNews &News)> OnHeard = [](const StoreNews &) {};
  void receive(const StoreNews &News);
  std::vector<StoreView> places();
  /// Frees what was made with older weights than \p LeastWeights. Nobody may
  /// fetch it any more.
  void freeOutdated(std::uint64_t LeastWeights);

private:
  struct Store {
    SocketAddress Address;
    std::string Zone;
    std::uint64_t CapacityTokens = 0;
    Duration Latency{};
    StoreContents Contents;
    int MaxWatchers = 1;
    bool NeedsList = false;
    bool IsLost = false;
    bool IsAsked = true;    ///< By this entry; see divide().
    bool HasMissed = false; ///< Events that others have told.
    int Refusals = 0;       ///< In a row, since the store was busy.
    TimePoint FreedAt;
    TimePoint ListedAt;
    sigc::connection Timer;
  };

  void ask(const std::string &Name);
  void onBatch(const std::string &Name, std::optional<StoreEventBatch> Batch);
  Duration askPeriod(const Store &Asked) const;
  Duration waitFor(const Store &Asked) const;
  void askLater(const std::string &Name, Duration Delay);

  EventLoop &Loop;
  CacheFeed &Feed;
  std::map<std::string, std::unique_ptr<Store>> Stores;
  std::size_t Followers = 1;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_STOREFOLLOWER_H
