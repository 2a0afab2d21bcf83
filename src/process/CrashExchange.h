// Exchanges with the other entries which calls crash upstreams, and persists
// repeated crashes on the platform.
//
//   CrashExchange Exchange(Loop, {.Record = Record, .Api = Api, ...});
//   Exchange.start();
//   Exchange.publish(Content, Cleared);   // after the record has changed
//   Exchange.receive(Reports);            // on a message from another entry
//
// A crash breaks all calls that the upstream was running, and nearly all of
// them are harmless. The first crash of a content is therefore reported only to
// a few aggregators, the same for all entries, which combine the reports of
// several entries. Contents with more than one crash are broadcast at once and
// repeated with each gossip round, which covers lost messages and restarted
// entries.
//
// Contents with more than one crash are also persisted on the platform, so that
// they survive a restart of all entries. An entry reads them when it starts,
// and periodically while it hears from less than half of the others.
//
// Guarantees: the number and size of messages are bounded by the number of
// contents with more than one crash. The platform is called only at a start,
// when a content has more than one crash, and while this entry is isolated.

#ifndef GALENAROUTE_PROCESS_CRASHEXCHANGE_H
#define GALENAROUTE_PROCESS_CRASHEXCHANGE_H

#include "connection/PlatformClient.h"
#include "process/EntryGossip.h"
#include "process/EventLoop.h"
#include "request/CrashRecord.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace galenaroute {

struct CrashExchangeParts {
  EventLoop &Loop;
  CrashRecord &Record;
  Platform &Api;
  const EntryGossip &Entries;
  std::function<void(const SocketAddress &To, const std::string &Bytes)> Send;
};

class CrashExchange {
public:
  explicit CrashExchange(CrashExchangeParts Parts);
  ~CrashExchange();
  CrashExchange(const CrashExchange &) = delete;
  CrashExchange &operator=(const CrashExchange &) = delete;

  /// Starts to read the contents that are persisted on the platform.
  void start();
  /// Sends what is known of \p Content after a short delay for batching. To be
  /// called after a crash was added, or when a success has cleared \p Cleared
  /// crashes.
  void publish(std::uint64_t Content, std::size_t Cleared = 0);
  void receive(std::span<const CrashReport> Reports);
  /// To be called in each gossip round with the addresses that it is sent to.
  void onGossipRound(std::span<const SocketAddress> Targets);

private:
  void flush();
  std::vector<SocketAddress> aggregatorsOf(std::uint64_t Content) const;
  bool isAggregatorOf(std::uint64_t Content) const;
  std::vector<CrashReport> suspectReports(std::size_t MinCrashes,
                                          std::size_t Limit) const;
  void persistIfSuspect(std::uint64_t Content);
  void removeIfCleared(std::uint64_t Content);
  bool isIsolated() const;
  void sync();
  void onStored(const PlatformResult &Result);
  void restore(CrashReport Stored);
  void write(std::span<const CrashReport> Reports, std::uint64_t IfVersion);
  void syncLater(Duration Delay);

  CrashExchangeParts Parts;
  /// Contents to be sent; true for a broadcast.
  std::map<std::uint64_t, bool> Pending;
  /// Contents that are stored on the platform or about to be.
  std::set<std::uint64_t> Persisted;
  /// Refused contents that were logged already.
  std::set<std::uint64_t> LoggedRefusals;
  bool IsWritePending = false;
  bool IsSyncing = false;
  TimePoint SyncedAt;
  std::mt19937_64 Random{std::random_device{}()};
  sigc::connection FlushTimer;
  sigc::connection SyncTimer;
  // Platform callbacks hold a weak pointer to it and do nothing once it has
  // expired.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_CRASHEXCHANGE_H
