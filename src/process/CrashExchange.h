// Exchanges with the other entries which calls crash upstreams, and persists
// repeated crashes on the platform.
//
//   CrashExchange Exchange(Loop, {.Record = Record, .Api = Api, ...});
//   Exchange.start();
//   Exchange.publish(Key, Cleared);   // after the record has changed
//   Exchange.receive(Reports);            // on a message from another entry
//
// A crash breaks all calls that the upstream was running, and nearly all of
// them are harmless. The first crash of a key (see CrashRecord.h) is therefore
// reported only to a few aggregators, the same for all entries, which combine
// the reports of several entries. Keys with more than one crash are broadcast
// at once and repeated with each gossip round, which covers lost messages and
// restarted entries. An entry that saw an answer for such a key after the
// crashes broadcasts that, unless another one does so first.
//
// Keys with more than one crash are also persisted on the platform, so that
// they survive a restart of all entries. An entry reads them when it starts,
// from the objects of all eras of the platform (see PlatformEra.h), and
// periodically while it hears from less than half of the others.
//
// Guarantees: the number and size of messages are bounded by the number of keys
// with more than one crash. The platform is called only at a start, when a key
// has more than one crash, and while this entry is isolated.

#ifndef GALENAROUTE_PROCESS_CRASHEXCHANGE_H
#define GALENAROUTE_PROCESS_CRASHEXCHANGE_H

#include "connection/PlatformClient.h"
#include "process/EntryGossip.h"
#include "process/EventLoop.h"
#include "request/CrashRecord.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace galenaroute {

struct CrashExchangeParts {
  EventLoop &Loop;
  CrashRecord &Record;
  Platform &Api;
  const EntryGossip &Entries;
  std::function<void(const SocketAddress &To, const std::string &Bytes)> Send;
  /// Returns when this entry last saw an answer to a call with the key.
  std::function<std::optional<TimePoint>(std::uint64_t Key)> LastAnswered =
      [](std::uint64_t) { return std::optional<TimePoint>(); };
  /// Called after a change by which calls may have become refused, once the
  /// reports on the same crash can have arrived.
  std::function<void()> OnRefusalsChanged = [] {};
};

class CrashExchange {
public:
  explicit CrashExchange(CrashExchangeParts Parts);
  ~CrashExchange();
  CrashExchange(const CrashExchange &) = delete;
  CrashExchange &operator=(const CrashExchange &) = delete;

  /// Starts to read the keys that are persisted on the platform.
  void start();
  /// Sends what is known of \p Key after a short delay for batching. To be
  /// called after a crash was added, or when a success has cleared \p Cleared
  /// crashes.
  void publish(std::uint64_t Key, std::size_t Cleared = 0);
  void receive(std::span<const CrashReport> Reports);
  /// To be called when the platform was restored from a copy: the keys that
  /// were persisted may be gone, so an aggregator persists them again.
  void onEraChanged();
  /// To be called in each gossip round with the addresses that it is sent to.
  void onGossipRound(std::span<const SocketAddress> Targets);

private:
  void flush();
  void merge(const CrashReport &Report);
  void replyLater(const CrashReport &Outdated);
  void sendReplies();
  void noteRefusals(std::uint64_t Key);
  std::vector<SocketAddress> aggregatorsOf(std::uint64_t Key) const;
  bool isAggregatorOf(std::uint64_t Key) const;
  std::vector<CrashReport> suspectReports(std::size_t MinCrashes,
                                          std::size_t Limit) const;
  void persistIfSuspect(std::uint64_t Key);
  void removeIfCleared(std::uint64_t Key);
  bool isIsolated() const;
  void readAllEras();
  void sync();
  void onStored(const ObjectKey &Key, const PlatformResult &Result);
  std::map<std::uint64_t, std::size_t> restoreAll(const PlatformObject &Stored);
  void restore(CrashReport Stored);
  void write(const ObjectKey &Key, std::span<const CrashReport> Reports,
             std::uint64_t IfVersion);
  void syncLater(Duration Delay);

  CrashExchangeParts Parts;
  /// Keys to be sent; true for a broadcast.
  std::map<std::uint64_t, bool> Pending;
  /// Keys that are stored on the platform or about to be.
  std::set<std::uint64_t> Persisted;
  /// Refused keys that were logged already.
  std::set<std::uint64_t> LoggedRefusals;
  /// A broadcast that a key was cleared.
  struct Reply {
    TimePoint At; ///< When it is due, or may be repeated once it was sent.
    bool IsSent = false; ///< By this entry or another one.
  };
  /// By cleared keys that other entries still count crashes for.
  std::map<std::uint64_t, Reply> Replies;
  bool IsWritePending = false;
  bool IsSyncing = false;
  bool HasReadAllEras = false;
  TimePoint SyncedAt;
  std::mt19937_64 Random{std::random_device{}()};
  sigc::connection FlushTimer;
  sigc::connection SyncTimer;
  sigc::connection ReplyTimer;
  sigc::connection RefusalsTimer;
  // Platform callbacks hold a weak pointer to it and do nothing once it has
  // expired.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_CRASHEXCHANGE_H
