// What the entries of the system tell one another of calls that crash
// upstreams, and what of it lasts on the platform.
//
//   CrashExchange Exchange(Loop, {.Record = Record, .Api = Api, ...});
//   Exchange.start();
//   Exchange.tell(Content, Cleared);   // after a change of the record
//   Exchange.receive(News);            // as heard of other entries
//
// Each crash breaks the calls of many contents, nearly all of them sound. So
// the first crash of a content is told only to a few keepers, the same at all
// entries, which put together what several entries saw. Contents with more than
// one crash are told to all at once, and again with each round of gossip, so
// that lost messages and entries that start anew are made up for.
//
// Contents with more than one crash are kept on the platform as well, for when
// all entries restart. An entry reads them at its start, and again while it
// hears of less than half of the others.
//
// Guarantees: the number and the size of messages are bounded by the contents
// with more than one crash; calls to the platform are made only at a start, for
// a content with more than one crash, and while this entry is cut off from the
// others.

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

  /// Begins to read what is kept on the platform.
  void start();
  /// Tells soon what is known of \p Content, after a crash was added or
  /// \p Cleared crashes were cleared by a success.
  void tell(std::uint64_t Content, std::size_t Cleared = 0);
  void receive(std::span<const CrashReport> News);
  /// To be called with each round of gossip and whom it goes to.
  void round(std::span<const SocketAddress> Targets);

private:
  void flush();
  std::vector<SocketAddress> keepersOf(std::uint64_t Content) const;
  bool isKeeperOf(std::uint64_t Content) const;
  std::vector<CrashReport> suspectNews(std::size_t Least,
                                       std::size_t Limit) const;
  void keepIfSuspect(std::uint64_t Content);
  void withdrawIfCleared(std::uint64_t Content);
  bool isCutOff() const;
  void sync();
  void onStored(const PlatformResult &Result);
  void restore(CrashReport Stored);
  void write(std::span<const CrashReport> News, std::uint64_t IfVersion);
  void syncLater(Duration Delay);

  CrashExchangeParts Parts;
  std::map<std::uint64_t, bool> Pending; ///< To tell; whether to all.
  std::set<std::uint64_t> Kept;          ///< Contents written, or to write.
  std::set<std::uint64_t> Refused;       ///< For one log line each.
  bool HasToWrite = false;
  bool IsSyncing = false;
  TimePoint SyncedAt;
  std::mt19937_64 Random{std::random_device{}()};
  sigc::connection FlushTimer;
  sigc::connection SyncTimer;
  // Answers of the platform that come later find this expired.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_CRASHEXCHANGE_H
