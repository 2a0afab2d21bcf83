// Emulates the platform: objects with versions, conditional updates, watches
// and a lagging VM list, with enforced rates and faults.
//
// Faults are set by POST /admin/fault, each field optional:
//   outage_ms          answer 503 for this long; pending watches end with 503
//   outage_silent      with outage_ms: never answer instead
//   slow_ms            delay before each call takes effect; 0 ends it
//   lose_replies       this many writes take effect and are not answered
//   writes_per_second, reads_per_second   new rate limits
//   restore_s          return to the state of this many seconds ago
// After a restoration, objects, deletions and revisions are those of the copy,
// so that revisions are given out again, and the era has risen by one. Every
// answer tells the era in the header field `Platform-Era`; the first one is 1.
// POST /admin/vms takes `{"vms":[...],"lag_ms"}`.

#ifndef GALENAROUTE_EMULATOR_PLATFORMEMULATOR_H
#define GALENAROUTE_EMULATOR_PLATFORMEMULATOR_H

#include "Emulator.h"

#include <deque>
#include <map>
#include <optional>

namespace galenaroute::emulator {

struct PlatformSettings {
  double WritesPerSecond = 400;
  double ReadsPerSecond = 2000;
  Duration ReplyDelay = std::chrono::milliseconds(2);
  Duration VmLag = std::chrono::seconds(2);
  std::size_t MaxValueBytes = 1 << 20;
  /// Deletions remembered for watches; a watch from before the oldest gets
  /// 410.
  std::size_t MaxDeletions = 10000;
  /// Changes that a restoration can undo, ten seconds of the highest rate. One
  /// that reaches further back fails with 400.
  std::size_t MaxUndoable = 4000;
};

/// A bucket that refills at a rate and holds one second's worth.
class RateLimit {
public:
  explicit RateLimit(double PerSecond)
      : PerSecond(PerSecond), Tokens(PerSecond) {}
  /// Takes one token; returns false when there is none.
  bool take(TimePoint Now);
  void setRate(double NewPerSecond);

private:
  double PerSecond;
  double Tokens;
  TimePoint Last{};
};

class PlatformEmulator : public Emulator {
public:
  PlatformEmulator(EventLoop &Loop, const PlatformSettings &Settings);
  ~PlatformEmulator() override;

  void answer(const HttpRequest &Request, const ReplyPtr &Reply) override;

private:
  struct Object {
    std::uint64_t Version = 0;
    nlohmann::json Value;
  };
  struct Deletion {
    std::uint64_t Version;
    std::string Kind;
    std::string Name;
  };
  /// A write, with the object that it replaced.
  struct Change {
    TimePoint At;
    std::string Kind;
    std::string Name;
    std::optional<Object> Before;
  };
  struct Watch {
    std::string Kind;
    std::uint64_t Since;
    TimePoint Deadline;
    ReplyPtr Reply;
    std::uint64_t Checked = 0; ///< Revision up to which nothing has changed.
  };

  void answerAdmin(const HttpRequest &Request, HttpReply &Reply);
  void setFault(const nlohmann::json &Fault);
  void restore(Duration Age);
  void send(HttpReply &Reply, int Status, const nlohmann::json &Body) const;
  void fail(HttpReply &Reply, const Error &Failure) const;
  void answerCall(const HttpRequest &Request, const ReplyPtr &Reply);
  void carryOut(const HttpRequest &Request, const ReplyPtr &Reply);
  void answerObject(const HttpRequest &Request, const ReplyPtr &Reply,
                    const std::string &Kind, const std::string &Name);
  void put(const HttpRequest &Request, const ReplyPtr &Reply,
           const std::string &Kind, const std::string &Name);
  void remove(const HttpRequest &Request, const ReplyPtr &Reply,
              const std::string &Kind, const std::string &Name);
  void list(const HttpRequest &Request, HttpReply &Reply,
            const std::string &Kind);
  void watch(const HttpRequest &Request, const ReplyPtr &Reply,
             const std::string &Kind);
  void noteChange(const std::string &Kind, const std::string &Name,
                  const Object *Before);
  void answerWrite(const ReplyPtr &Reply, std::uint64_t Version);
  void checkWatches();
  nlohmann::json changesSince(const std::string &Kind,
                              std::uint64_t Since) const;
  const Object *find(const std::string &Kind, const std::string &Name) const;

  EventLoop &Loop;
  PlatformSettings Settings;
  std::map<std::string, std::map<std::string, Object>> Objects;
  std::deque<Deletion> Deletions;
  std::uint64_t Revision = 0;
  std::uint64_t OldestRevision = 0; ///< Watches from before get 410.
  std::uint64_t Era = 1;
  std::deque<Change> Undoable;
  TimePoint UndoableSince{}; ///< Changes up to here cannot be undone.
  std::vector<Watch> Watches;
  nlohmann::json Vms = nlohmann::json::array();
  RateLimit Writes;
  RateLimit Reads;
  TimePoint OutageUntil{};
  bool IsOutageSilent = false;
  std::vector<ReplyPtr> Unanswered; ///< Held open during a silent outage.
  int LoseReplies = 0;
  std::map<std::string, std::uint64_t> Counts;
  std::vector<sigc::connection> Timers;
};

} // namespace galenaroute::emulator

#endif // GALENAROUTE_EMULATOR_PLATFORMEMULATOR_H
