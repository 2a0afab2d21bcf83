// Forwards one call, from the caller's request to the end of the answer.
//
//   auto Run = std::make_shared<ForwardRun>(Services, Incoming);
//   Run->start();
//
// The run parses the call, finds its route and customer, sends it to an
// upstream and forwards the answer. UpstreamTable chooses the upstream,
// PromptReuse the cached parts to use, and ForwardRules the step after a failed
// send.
//
// Guarantees: exactly one final answer, or an aborted connection if the answer
// had begun; the send in flight is cancelled when the caller disconnects; a
// stream is forwarded in whole events, each exactly once; its upstream waits
// while the caller is far behind, so that memory is bounded.

#ifndef GALENAROUTE_REQUEST_FORWARDRUN_H
#define GALENAROUTE_REQUEST_FORWARDRUN_H

#include "connection/CallListener.h"
#include "connection/UpstreamPool.h"
#include "process/ErrorKind.h"
#include "process/Metrics.h"
#include "request/AnsweredKeys.h"
#include "request/CrashRecord.h"
#include "request/EventStream.h"
#include "request/ForwardRules.h"
#include "request/PromptReuse.h"
#include "request/RetryBudget.h"
#include "request/UnansweredSends.h"
#include "request/UpstreamTable.h"
#include "request/WaitingRuns.h"
#include "version/AnnouncedWeights.h"
#include "version/PartLease.h"

#include <random>

namespace galenaroute {

/// An answer with this many whole events was not ended by a crash of the
/// upstream as it began to write.
inline constexpr int MinEventsOfAnswer = 2;
/// Maximum idle time of a connection that is reused for a repeatable call.
inline constexpr Duration MaxIdleRepeatable = std::chrono::seconds(60);

/// State shared by all runs of a process.
struct ForwardServices {
  EventLoop &Loop;
  const CallCodec &Codec;
  UpstreamPool &Pool;
  UpstreamTable &Upstreams;
  Metrics &Stats;
  std::mt19937_64 &Random;
  ForwardConfigPtr Config;                    ///< Null until one is received.
  std::map<std::string, RetryBudget> Budgets; ///< By service.
  RetryBudget NewBudget;
  AnnouncedWeightsByModel Weights;
  /// Emitted when Weights have changed and after the process stood still.
  sigc::signal<void()> WeightsChanged;
  std::vector<StoreView> Stores;
  ReuseSettings Reuse;
  PartLease PartRights;
  PartLeaseTimes PartTimes;
  CrashRecord Crashes;
  AnsweredKeys Answered;
  UnansweredSends Unanswered;
  std::map<std::string, std::unique_ptr<WaitingRuns>> Queues; ///< By service.
  /// Returns whether the configuration store was reached recently, so that what
  /// is missing in the configuration does not exist.
  std::function<bool()> IsConfigFresh;
  /// Returns whether other gateways have a newer configuration in force, which
  /// this process cannot read yet.
  std::function<bool()> IsConfigOutdated = [] { return false; };
  /// Called when a crash was recorded for a key of a call, or when an answer
  /// has cleared recorded crashes.
  std::function<void(std::uint64_t Key, std::size_t Cleared)> OnCrashesChanged =
      [](std::uint64_t, std::size_t) {};
  /// Emitted after calls with certain keys may have become refused.
  sigc::signal<void()> RefusalsChanged;
  /// Called after a call was sent, with its prompt tokens to prefill.
  std::function<void(const UpstreamEntry &To, std::uint32_t Tokens)> OnSent =
      [](const UpstreamEntry &, std::uint32_t) {};
  /// Called with each answer and the rate limit that it states, if any.
  std::function<void(const UpstreamEntry &From,
                     std::optional<double> PerSecond)>
      OnRateLimit = [](const UpstreamEntry &, std::optional<double>) {};
  /// Requests permission for \p Calls calls to an upstream with a rate limit.
  std::function<void(const UpstreamEntry &To, std::uint32_t Calls)>
      RequestPermits = [](const UpstreamEntry &, std::uint32_t) {};
  /// Engines with older weights get no calls from this time after a newer
  /// version was named.
  Duration OldWeightsLimit = std::chrono::seconds(10);
  /// Time after the naming of a version by which calls must have begun if they
  /// run on older weights.
  Duration WeightsLimit = std::chrono::seconds(15);
  /// Emitted shortly before the process ends with calls in progress.
  sigc::signal<void()> ProcessEnding;
  bool IsStopping = false;  ///< New calls are refused.
  std::size_t OpenRuns = 0; ///< Runs in progress.
};

/// Records \p Send, which ended without an answer, as a crash of its upstream.
/// Called by a run, or later when the end of the upstream becomes known.
/// \p Call is the id of the call, or "-" if it is no longer known.
void recordCrash(ForwardServices &Services, const UnansweredSend &Send,
                 const std::string &UpstreamId, const std::string &Call);

/// The state machine of one forwarded call.
class ForwardRun : public std::enable_shared_from_this<ForwardRun> {
public:
  ForwardRun(ForwardServices &Services, std::shared_ptr<IncomingCall> Incoming);
  ~ForwardRun();
  void start();

  /// Sends the call if an upstream has capacity, or refuses it if it is
  /// blocked for crashing upstreams. Returns whether it has left the queue;
  /// for WaitingRuns.
  bool trySend();
  /// Ends a call that found no upstream within its queueing time. \p
  /// LongestWait is the longest wait in the queue.
  void onQueueTimeout(Duration LongestWait);
  bool isDone() const { return this->Current == Phase::Done; }
  WaitingCall waiting() const;

private:
  enum class Phase { Waiting, Sent, Streaming, Done };

  bool admit();
  bool refuseIfNoCapacity();
  bool endIfBlocked();
  void refuseOrFail(std::string_view Reason, Duration RetryAfter);
  void attempt();
  int priority() const;
  std::uint32_t callTokens() const;
  WaitingRuns &queue();
  void requestPermits(const UpstreamTable::Chosen &Choice);
  void send(const UpstreamEntry &To, const UpstreamQuery &Query);
  SendPlan planSend(const UpstreamEntry &To, const PartReusePlan &Reuse) const;
  UpstreamQuery query() const;
  const AnnouncedWeights *namedWeights() const;
  void notePrefillEnded();
  PartReusePlan planCache(std::optional<std::uint64_t> Version);
  Duration partsUsableFor(std::uint64_t Version, BootTime Now) const;
  std::string cacheScope(std::optional<std::uint64_t> Version) const;
  bool onHead(const HttpHead &Head);
  bool isStreamAnswer() const;
  void onBody(std::string_view Bytes);
  void onEvent(const StreamEvent &Event);
  void onEnd(UpstreamEnd End);
  SendOutcome outcomeOf(UpstreamEnd End) const;
  void onOutcome(SendOutcome Outcome,
                 UpstreamCause Cause = UpstreamCause::None);
  void noteOutcome(SendOutcome Outcome);
  bool isProvenAnswer() const;
  void notePartsAnswered(TimePoint Now);
  UnansweredSend suspectSend(TimePoint Now) const;
  void recordSendCrash(TimePoint Now);
  void noteUnansweredSend(TimePoint Now);
  bool hasBegun() const;
  void onRefusalsChanged();
  enum class StallCheck { First, Repeated };
  void onStall(StallCheck Check);
  bool canFailOver();
  ForwardProgress progress();
  void onTimeout();
  void onCallerLeft();
  void onProcessEnding();
  void armStallTimer();
  void pauseUpstream();
  void resumeUpstream();
  std::optional<Duration> supersededFor() const;
  void armWeightsTimer();
  void onWeightsDeadline();
  void abandonSend(SendOutcome IfSent);
  void beginStream();
  void deliver();
  void refuse(std::string_view Reason, Duration RetryAfter);
  void fail(ErrorKind Kind, std::string_view Reason);
  void finish(std::string_view Outcome);
  void cancelSend(std::string_view Reason);
  double draw();
  Duration timeLeft() const;
  Duration retryAfter();
  RetryBudget &budget();

  ForwardServices &Services;
  std::shared_ptr<IncomingCall> Incoming;
  ForwardConfigPtr Config;
  CallRequest Call;
  const ForwardRoute *Route = nullptr;
  const ForwardCustomer *Customer = nullptr;
  const ForwardService *Service = nullptr;
  std::uint64_t Signature = 0;          ///< Hash of the call's content.
  std::vector<std::uint64_t> CrashKeys; ///< See crashKeys().
  TimePoint Deadline;                   ///< Of the caller or the route.
  TimePoint WaitingSince;
  Phase Current = Phase::Waiting;

  std::unique_ptr<UpstreamExchange> Exchange;
  std::string UpstreamId;
  std::uint64_t Incarnation = 0; ///< Of the upstream, see incarnationKey().
  std::optional<std::uint64_t> SentWeights; ///< Of the upstream at the send.
  std::vector<std::string> TriedUpstreams;
  CallAnswer Answer;
  bool HasAnswer = false;
  bool HasStalledOnce = false; ///< In the send in flight.
  bool IsPaused = false;       ///< The send in flight waits for the caller.
  int Events = 0;              ///< Whole events in the send in flight.
  bool IsFramed = false;       ///< The answer states where it ends.
  std::string Body;
  EventSplitter Splitter;
  std::optional<std::uint64_t> LastEvent;
  /// Prompt tokens of the send in flight until its prefill has ended.
  std::uint32_t PendingPromptTokens = 0;
  int Sends = 0;
  int PossibleRuns = 0;
  int ConnectFailures = 0;
  TimePoint SentAt;
  TimePoint ProgressAt; ///< Last progress of the send in flight.
  std::optional<TimePoint> FirstEventAt;
  TimePoint LastEventAt;
  Duration LongestPause{}; ///< Between two forwarded events.
  sigc::connection StallTimer;
  sigc::connection DeadlineTimer;
  sigc::connection WeightsTimer;
  sigc::connection WeightsChanged;
  sigc::connection BacklogSent;
  sigc::connection ProcessEnding;
  sigc::connection RefusalsConnection; ///< While a send is in flight.
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_FORWARDRUN_H
