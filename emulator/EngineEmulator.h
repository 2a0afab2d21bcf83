// Emulates a model engine with continuous batching, a prefix cache, streams
// that are kept by attempt id, lagging load reports, late cache events with
// gaps, orders, and KV transfer to stores.
//
// The text is a function of the prompt and the offset (GeneratedText.h), and
// an answer has exactly min(max_tokens, the engine's limit) tokens. Offsets
// count tokens; each line of a stream carries one token, so the offset after
// a line is its own plus one. Higher priority values start first.
//
// Faults are set by POST /admin/fault, each field optional:
//   slow_factor, slow_ms     run slower by a factor for this long
//   report_lag_ms            new lag of the load reports
//   crash_marker             a prompt with this text crashes the engine,
//     crash_delay_ms         this long after it got a slot,
//     crash_restart_ms       and the engine is back after this long
//     crash_at_answer        true: it crashes when it has written a part of
//                            the first line of the answer
//   crash                    true: crash now
//   silent                   true: open streams get no more bytes and stay
//                            open; new connections work
//   unframed_share           share of streams with neither a length nor
//                            chunks, which end with their connection
//   broken_off_share         share of streams that end inside their second
//                            line; the run goes on
//   event_gap_share          share of cache events that are lost
//   kv_link_mbps             new bandwidth of the KV link
//   stop                     true: end the process, dropping connections

#ifndef GALENAROUTE_EMULATOR_ENGINEEMULATOR_H
#define GALENAROUTE_EMULATOR_ENGINEEMULATOR_H

#include "Batch.h"
#include "Emulator.h"
#include "EngineOrders.h"
#include "KvTransfer.h"
#include "PrefixCache.h"
#include "Random.h"

#include <set>

namespace galenaroute::emulator {

struct EngineSettings {
  OrderSettings Orders;
  std::size_t Slots = 8;
  std::size_t MaxQueued = 64;
  double PrefillTokensPerSecond = 20000;
  Duration DecodeStep = std::chrono::milliseconds(20);
  std::size_t CacheBlocks = 200;
  std::uint64_t BlockTokens = 1000;
  std::size_t BlockBytes = 16 << 10; ///< Of one exported block.
  double KvLinkMbps = 1000;
  Duration LoadLag = std::chrono::milliseconds(200);
  Duration EventDelay = std::chrono::milliseconds(300);
  double EventGapShare = 0;
  std::uint64_t MaxTokens = 4096;
  /// Share of streams with neither a length nor chunks.
  double UnframedShare = 0;
  /// Share of streams that end inside their second line.
  double BrokenOffShare = 0;
  std::size_t MaxAttempts = 10000;
  /// How long a finished stream can still be read.
  Duration KeepFinished = std::chrono::seconds(60);
  /// How long a run goes on without a reader.
  Duration KeepUnread = std::chrono::seconds(20);
  std::uint64_t Seed = 1;
};

class EngineEmulator : public Emulator {
public:
  EngineEmulator(EventLoop &Loop, HttpClient &Client,
                 const EngineSettings &Settings);
  ~EngineEmulator() override;

  void answer(const HttpRequest &Request, const ReplyPtr &Reply) override;

  /// Drops connections, runs and memory, and restarts after \p RestartAfter.
  void crash(Duration RestartAfter);

private:
  struct Attempt {
    std::string Id;
    std::string Customer;
    std::uint64_t Seed = 0;
    std::uint64_t MaxTokens = 0;
    std::uint64_t PromptTokens = 0;
    std::uint64_t CachedTokens = 0;
    std::uint64_t Generated = 0;
    std::vector<std::string> Keys; ///< Of the whole blocks of the prompt.
    std::vector<BlockOrigin> Origins;
    std::vector<std::string> Pinned;
    bool Crashes = false;
    std::string Finish; ///< Empty while the run goes on.
    TimePoint LastRead; ///< When it was last known to have a reader, or ended.
    ReplyPtr Reader;
    std::uint64_t Sent = 0;  ///< The next offset to send to the reader.
    bool IsUnframed = false; ///< Of the stream to the reader.
    std::optional<std::uint64_t> BreaksOffAt; ///< The offset of its last line.
  };
  struct LoadSample {
    TimePoint Time;
    nlohmann::json Report;
  };

  void generate(const HttpRequest &Request, const ReplyPtr &Reply);
  void setKeys(Attempt &Run, const nlohmann::json &Body,
               std::string_view Prompt) const;
  void resume(const HttpRequest &Request, const ReplyPtr &Reply,
              const std::string &Id);
  void cancel(const std::string &Id, HttpReply &Reply);
  void attach(Attempt &Run, const ReplyPtr &Reply, std::uint64_t Offset);
  void deliver(Attempt &Run);
  void breakOff(Attempt &Run, const std::string &Lines);
  void crashAtAnswer(Attempt &Run);
  void finish(Attempt &Run, const std::string &Reason);

  void startWaitingRuns();
  void scheduleStep();
  void runSteps();
  void apply(const BatchEvent &Event);
  void completePrefill(Attempt &Run);
  Duration stepTime() const;
  void forgetAttempts();

  nlohmann::json currentLoad() const;
  void sampleLoad();
  void answerLoad(HttpReply &Reply) const;
  void answerEvents(const HttpRequest &Request, HttpReply &Reply);
  void answerStats(HttpReply &Reply);
  void setFault(const nlohmann::json &Fault);
  void dropState();

  EventLoop &Loop;
  EngineSettings Settings;
  Random Generator;
  BatchState Batch;
  PrefixCache Cache;
  EngineOrders Orders;
  KvTransfer Transfer;
  std::map<std::string, Attempt> Attempts;
  std::deque<LoadSample> Samples;
  std::set<std::uint64_t> LostEvents;
  std::uint64_t DrawnEvents = 0; ///< Sequence up to which losses are drawn.
  std::vector<ReplyPtr> Silent;  ///< Held open and never written to.

  TimePoint LastStep{};
  double DueSteps = 0;
  bool IsStepArmed = false;
  double SlowFactor = 1;
  TimePoint SlowUntil{};
  std::string CrashMarker;
  Duration CrashDelay = std::chrono::milliseconds(50);
  Duration CrashRestart = std::chrono::seconds(1);
  bool CrashesAtAnswer = false;

  std::map<std::string, std::uint64_t> Counts;
  sigc::connection StepTimer;
  sigc::connection SampleTimer;
  sigc::connection ForgetTimer;
  sigc::connection CrashTimer;
};

} // namespace galenaroute::emulator

#endif // GALENAROUTE_EMULATOR_ENGINEEMULATOR_H
