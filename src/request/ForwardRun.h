// One forwarded call, from the caller's request to the end of the answer.
//
//   auto Run = std::make_shared<ForwardRun>(Services, Incoming);
//   Run->start();
//
// The run reads the call, finds its route and customer, sends it to an
// upstream and passes the answer on. Which upstream, what cache it uses and
// what follows a failed send are decided by the functions of UpstreamTable,
// PromptReuse and ForwardRules.
//
// Guarantees: exactly one final answer, or an aborted connection when the
// answer had begun; the caller's leaving cancels the send under way; a stream
// is passed on in whole events, each once.

#ifndef GALENAROUTE_REQUEST_FORWARDRUN_H
#define GALENAROUTE_REQUEST_FORWARDRUN_H

#include "connection/CallListener.h"
#include "connection/UpstreamPool.h"
#include "process/ErrorKind.h"
#include "process/Metrics.h"
#include "request/CrashRecord.h"
#include "request/EventStream.h"
#include "request/ForwardRules.h"
#include "request/PromptReuse.h"
#include "request/RetryBudget.h"
#include "request/UnansweredSends.h"
#include "request/UpstreamTable.h"
#include "request/WaitingRuns.h"
#include "version/NamedWeights.h"

#include <random>

namespace galenaroute {

/// Idle connections are used for calls that may be repeated up to this age.
inline constexpr Duration MaxIdleRepeatable = std::chrono::seconds(60);

/// What all runs of a process share.
struct ForwardServices {
  EventLoop &Loop;
  const CallCodec &Codec;
  UpstreamPool &Pool;
  UpstreamTable &Upstreams;
  Metrics &Stats;
  std::mt19937_64 &Random;
  ForwardConfigPtr Config;                    ///< Null until one is known.
  std::map<std::string, RetryBudget> Budgets; ///< By service.
  RetryBudget NewBudget;
  std::map<std::string, NamedWeights> Weights; ///< By model.
  std::vector<StoreView> Stores;
  ReuseSettings Reuse;
  CrashRecord Crashes;
  UnansweredSends GivenUp;
  std::map<std::string, std::unique_ptr<WaitingRuns>> Waiting; ///< By service.
  /// Whether the store of configurations was heard of lately, so that what is
  /// not in the configuration does not exist.
  std::function<bool()> IsConfigFresh;
  /// Called when a crash was added to the record of a content, or when a
  /// success has cleared some.
  std::function<void(std::uint64_t Content, std::size_t Cleared)>
      OnCrashesChanged = [](std::uint64_t, std::size_t) {};
  /// Called after a call was sent, with the prompt tokens to be read for it.
  std::function<void(const UpstreamEntry &To, std::uint32_t Tokens)> OnSent =
      [](const UpstreamEntry &, std::uint32_t) {};
  /// No call is sent to an engine that still has older weights when a newer
  /// version was named longer ago than this.
  Duration OldWeightsLimit = std::chrono::seconds(10);
  /// From the naming of weights until no call may begin on older ones.
  Duration WeightsLimit = std::chrono::seconds(15);
  bool IsStopping = false; ///< New calls are refused.
  std::size_t Open = 0;    ///< Runs in progress.
};

/// Takes \p Send, which ended without an answer, for a crash of its upstream;
/// for a run and for what learns of the upstream's end later. \p Call is its
/// id, or "-" where it is not known any more.
void recordCrash(ForwardServices &Services, const UnansweredSend &Send,
                 const std::string &UpstreamId, const std::string &Call);

class ForwardRun : public std::enable_shared_from_this<ForwardRun> {
public:
  ForwardRun(ForwardServices &Services, std::shared_ptr<IncomingCall> Incoming);
  ~ForwardRun();
  void start();

  /// Sends the call if an upstream can take it, or ends it if it may not be
  /// sent any more. Returns whether it no longer waits; for WaitingRuns.
  bool trySend();
  /// Ends the wait of a call for which none was found in time.
  void endWait(Duration OldestWait);
  bool isDone() const { return this->Current == Phase::Done; }
  WaitingCall waiting() const;

private:
  enum class Phase { Waiting, Sent, Streaming, Done };

  bool admit();
  bool refuseUnservable();
  bool endIfCrashing();
  void giveUp(std::string_view Reason, Duration RetryAfter);
  void attempt();
  int priority() const;
  std::uint32_t callTokens() const;
  WaitingRuns &queue();
  void send(const UpstreamEntry &To, const UpstreamQuery &Query);
  SendPlan planSend(const UpstreamEntry &To, const PartReusePlan &Reuse) const;
  UpstreamQuery query() const;
  const NamedWeights *namedWeights() const;
  void noteStarted();
  PartReusePlan planCache(const std::string &Scope);
  std::string cacheScope(std::optional<std::uint64_t> Version) const;
  bool onHead(const HttpHead &Head);
  bool isStreamAnswer() const;
  void onBody(std::string_view Bytes);
  void onEvent(const StreamEvent &Event);
  void onEnd(UpstreamEnd End);
  SendOutcome outcomeOf(UpstreamEnd End) const;
  void onOutcome(SendOutcome Outcome);
  void noteOutcome(SendOutcome Outcome);
  void noteCrashOf(TimePoint Now);
  void noteGivenUpSend(TimePoint Now);
  void onStall();
  bool mayGoElsewhere();
  ForwardProgress progress();
  void onTimeout();
  void onCallerLeft();
  void armStall();
  void armWeightsLimit(const UpstreamEntry &To);
  void takeBack();
  void abandonSend(SendOutcome IfSent);
  void beginStream();
  void deliver();
  void refuse(std::string_view Reason, Duration RetryAfter);
  void fail(ErrorKind Kind, std::string_view Reason);
  void finish(std::string_view Outcome);
  void endSend(std::string_view Reason);
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
  std::uint64_t Signature = 0; ///< Of the call's content.
  TimePoint EndAt;             ///< When the caller or the route gives up.
  TimePoint WaitingSince;
  Phase Current = Phase::Waiting;

  std::unique_ptr<UpstreamExchange> Exchange;
  std::string UpstreamId;
  std::uint64_t Incarnation = 0; ///< Of the upstream, see incarnationKey().
  std::vector<std::string> Tried;
  CallAnswer Answer;
  bool HasAnswer = false;
  bool HasStalledOnce = false; ///< In the send under way.
  std::string Body;
  EventSplitter Splitter;
  std::optional<std::uint64_t> LastEvent;
  std::uint32_t TokensSent = 0; ///< Of the send whose prompt is being read.
  int Sends = 0;
  int PossibleRuns = 0;
  int ConnectFailures = 0;
  TimePoint SentAt;
  TimePoint ProgressAt; ///< Of the send under way: sent, answered, last event.
  std::optional<TimePoint> FirstEventAt;
  TimePoint LastEventAt;
  Duration LongestPause{}; ///< Between two events passed on.
  sigc::connection StallTimer;
  sigc::connection EndTimer;
  sigc::connection WeightsTimer;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_FORWARDRUN_H
