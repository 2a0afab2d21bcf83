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
// A send that makes no progress is kept while another upstream is tried, since
// a sound upstream may be silent for a second or so. The first of the two that
// makes progress is continued, and the other one is cancelled. A stream, or a
// call to a model engine, goes on at another upstream only while the first one
// is not reached, is seen to work, or has been silent for longer than a sound
// one: a process that stands still would work on it again before it notices
// that it was cancelled.
//
// Guarantees: exactly one final answer, or an aborted connection if the answer
// had begun; the sends in flight are cancelled when the caller disconnects; a
// stream is forwarded in whole events, each exactly once; its upstream waits
// while the caller is far behind, so that memory is bounded; no send is
// cancelled for its silence alone.

#ifndef GALENAROUTE_REQUEST_FORWARDRUN_H
#define GALENAROUTE_REQUEST_FORWARDRUN_H

#include "connection/CallListener.h"
#include "connection/UpstreamPool.h"
#include "process/ErrorKind.h"
#include "process/Metrics.h"
#include "request/AnsweredKeys.h"
#include "request/CallPriority.h"
#include "request/CrashRecord.h"
#include "request/CustomerUse.h"
#include "request/ForwardRules.h"
#include "request/ForwardSend.h"
#include "request/PromptReuse.h"
#include "request/QueueAdmission.h"
#include "request/RetryBudget.h"
#include "request/StreamOrigins.h"
#include "request/UnansweredSends.h"
#include "request/UpstreamPaths.h"
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
  CustomerUse Customers; ///< See ForwardRun::hasShares().
  std::map<std::string, std::unique_ptr<WaitingRuns>> Queues; ///< By service.
  FleetBacklog Backlog; ///< Reported by the other gateways.
  /// Returns whether the configuration store was reached recently, so that what
  /// is missing in the configuration does not exist.
  std::function<bool()> IsConfigFresh;
  /// Returns whether this process knows which upstreams may be called. Calls
  /// are queued while it does not, as until it has read what changed while it
  /// was suspended.
  std::function<bool()> MaySend = [] { return true; };
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
  /// Returns how a call reaches an upstream. Idle connections older than
  /// \p MaxIdle are not used; \p MayTry allows a connection that may fail.
  std::function<UpstreamPath(const UpstreamEntry &To, Duration MaxIdle,
                             bool MayTry)>
      PathTo =
          [](const UpstreamEntry &, Duration, bool) { return UpstreamPath{}; };
  /// Returns whether this process is cut off from the upstreams of a service.
  std::function<bool(const std::string &Service)> IsPathCut =
      [](const std::string &) { return false; };
  /// Called with what a direct connection has shown.
  std::function<void(const std::string &Service, std::string_view Upstream,
                     PathEvent Event)>
      OnPath = [](const std::string &, std::string_view, PathEvent) {};
  /// Called when a relayed connection was refused or broken by its helper.
  std::function<void(const SocketAddress &Helper)> OnHelperFailed =
      [](const SocketAddress &) {};
  /// Engines with older weights get no calls from this time after a newer
  /// version was named.
  Duration OldWeightsLimit = std::chrono::seconds(10);
  /// Time after the naming of a version by which calls must have begun if they
  /// run on older weights.
  Duration WeightsLimit = std::chrono::seconds(15);
  StreamOrigins Streams; ///< Of the streams that this process forwards.
  /// Returns the software version that has begun all streams of a service, or
  /// nothing if there are several or that is not known.
  std::function<std::optional<std::string>(std::string_view Service)>
      OnlyVersion = [](std::string_view) { return std::string(); };
  /// Returns the software versions of a service at which no stream may begin
  /// yet that its caller may take up.
  std::function<std::span<const std::string>(std::string_view Service)>
      UnsettledVersions =
          [](std::string_view) { return std::span<const std::string>(); };
  /// Returns for how long this process may lack changes of the versions that
  /// services have; nothing before they are known.
  std::function<std::optional<Duration>()> VersionsViewAge = [] {
    return std::optional<Duration>();
  };
  /// Returns whether no stream begins at a software version before it is stored
  /// and has settled. Else only younger views count, see SoftwareVersions.
  std::function<bool()> AreVersionsSettled = [] { return true; };
  /// Returns whether the origins of new streams would end with this process,
  /// but not with another one.
  std::function<bool()> LacksRecordKeepers = [] { return false; };
  /// Lists the origins of streams that all gateways have stored.
  std::function<void()> ListStreams = [] {};
  /// Emitted with what was listed, or null.
  sigc::signal<void(const StreamOrigins *Stored)> StreamsListed;
  /// Time after which a gateway has stored the origins of new streams.
  Duration StreamStorePeriod = std::chrono::milliseconds(100);
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
  /// Refuses the call if it was never sent and would wait in vain behind
  /// \p OwnAhead, the work ahead of it in the queue, and the backlog of the
  /// other gateways. Returns whether it did.
  bool refuseForBacklog(const QueuedWork &OwnAhead);
  /// Returns whether the call no longer waits for an upstream.
  bool hasLeftQueue() const { return !this->IsQueued; }
  /// Returns whether an upstream may still answer while the call waits for
  /// another one.
  bool hasSendInFlight() const { return !this->Live.empty(); }
  /// Returns whether only some of the upstreams of the service may answer the
  /// call, by their software version.
  bool needsVersion() const;
  WaitingCall waiting() const;

private:
  enum class Phase { Waiting, Sent, Streaming, Done };

  bool admit();
  void setService(const ForwardService &Next);
  void beginForwarding();
  bool isResumable() const;
  std::optional<std::string> onlyVersionOfRoute() const;
  void findOrigin();
  void listStreams();
  void onStreamsListed(const StreamOrigins *Stored);
  void continueSearch();
  void goOnAt(const StreamOrigin &Found, OriginSource Source);
  bool endIfNoUpstreamOfVersion();
  void setOrigin(const ForwardSend &First);
  bool refuseIfNoCapacity();
  bool endIfBlocked();
  bool endIfEvacuated();
  void refuseOrFail(std::string_view Reason, Duration RetryAfter);
  void attempt();
  void enqueue();
  CallPriority priority() const;
  bool mayRefuseForBacklog() const;
  bool hasLessUrgentCustomers() const;
  std::optional<std::size_t> priorityClass() const;
  bool hasShares() const;
  ShareLevel shareLevel() const;
  void noteQueueLeft();
  void noteEngineTime(const ForwardSend &Send);
  std::uint32_t callTokens() const;
  WaitingRuns &queue();
  void requestPermits(const UpstreamTable::Chosen &Choice);
  void send(const UpstreamTable::Chosen &Choice, const UpstreamQuery &Query);
  SendPlan planSend(const UpstreamEntry &To, const PartReusePlan &Reuse) const;
  UpstreamExchangeEvents eventsOf(const std::shared_ptr<ForwardSend> &Send);
  void logSent(const ForwardSend &Send, const UpstreamTable::Chosen &Choice,
               const PartReusePlan &Reuse);
  UpstreamQuery query() const;
  const AnnouncedWeights *namedWeights() const;
  void notePrefillEnded(ForwardSend &Send);
  bool isAtIncarnation(const ForwardSend &Send) const;
  void noteSendEnded(const ForwardSend &Send);
  PartReusePlan planCache(std::optional<std::uint64_t> Version);
  Duration partsUsableFor(std::uint64_t Version, BootTime Now) const;
  std::string cacheScope(std::optional<std::uint64_t> Version) const;
  bool onHead(ForwardSend &Send, const HttpHead &Head);
  bool isStreamAnswer(const ForwardSend &Send) const;
  bool addToBody(const std::shared_ptr<ForwardSend> &Send,
                 std::string_view Bytes);
  void dropBody(const std::shared_ptr<ForwardSend> &Send);
  void breakLater(const std::shared_ptr<ForwardSend> &Send);
  void onBody(const std::shared_ptr<ForwardSend> &Send, std::string_view Bytes);
  void onEvent(const std::shared_ptr<ForwardSend> &Send,
               const StreamEvent &Event);
  void onEnd(const std::shared_ptr<ForwardSend> &Send, UpstreamEnd End);
  SendOutcome outcomeOf(const ForwardSend &Send, UpstreamEnd End) const;
  void onOutcome(const std::shared_ptr<ForwardSend> &Send, SendOutcome Outcome);
  void noteOutcome(ForwardSend &Send, SendOutcome Outcome);
  void notePath(const ForwardSend &Send, PathEvent Event);
  void notePathOfOutcome(const ForwardSend &Send, SendOutcome Outcome);
  void retryUnreached();
  void continueOthers(const std::shared_ptr<ForwardSend> &Ended,
                      SendOutcome Outcome, bool WasLatest);
  std::string_view nextName(ForwardStep Step) const;
  void logSendEnded(const ForwardSend &Send, SendOutcome Outcome,
                    std::string_view Next);
  bool isProvenAnswer(const ForwardSend &Send) const;
  bool isContinuation(const ForwardSend &Send, SendOutcome Outcome) const;
  void notePartsAnswered(TimePoint Now);
  UnansweredSend suspectSend(const ForwardSend &Send, TimePoint Now) const;
  void recordSendCrash(const ForwardSend &Send, TimePoint Now);
  void noteUnansweredSend(const ForwardSend &Send, TimePoint Now);
  bool hasBegun(const ForwardSend &Send) const;
  void onRefusalsChanged();
  enum class StallCheck { First, Repeated };
  void onStall(const std::shared_ptr<ForwardSend> &Send, StallCheck Check);
  void tryAnother(const std::shared_ptr<ForwardSend> &Silent);
  bool canTryAnother();
  bool mayGoOnElsewhere();
  bool staysWithSendsInFlight();
  void armSilenceCheck(const std::shared_ptr<ForwardSend> &Send);
  bool isWithdrawnFromAll();
  Silence silenceOf(ForwardSend &Send);
  Duration maxSilence() const;
  Duration sinceHeard(const ForwardSend &Send, TimePoint Now) const;
  void noteStalled(ForwardSend &Send, std::string_view Other);
  ForwardProgress progress();
  void onTimeout();
  void onCallerLeft();
  void onProcessEnding();
  void armStallTimer(const std::shared_ptr<ForwardSend> &Send);
  void waitForRoom(const std::shared_ptr<ForwardSend> &Send);
  void pauseUpstream(ForwardSend &Send, const char *Decision);
  void resumeUpstream(const std::shared_ptr<ForwardSend> &Send);
  void resumeUpstreams();
  std::optional<Duration> supersededFor(const ForwardSend &Send) const;
  void armWeightsTimers();
  void armWeightsTimer(const std::shared_ptr<ForwardSend> &Send);
  void onWeightsDeadline(const std::shared_ptr<ForwardSend> &Send);
  void withdrawIfNotBegun(const std::shared_ptr<ForwardSend> &Send);
  void abandonSend(const std::shared_ptr<ForwardSend> &Send,
                   SendOutcome IfSent);
  void holdEvent(ForwardSend &Send, const StreamEvent &Event);
  void keepOnly(const ForwardSend &Send);
  void beginStream(ForwardSend &Send);
  void deliver(ForwardSend &Send);
  void refuse(std::string_view Reason, Duration RetryAfter);
  void fail(ErrorKind Kind, std::string_view Reason);
  void finish(std::string_view Outcome);
  void cancelSends(std::string_view Reason);
  void cancelSend(ForwardSend &Send, std::string_view Reason);
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

  /// The sends in flight, the latest one last. There are several only while
  /// none of them makes progress.
  std::vector<std::shared_ptr<ForwardSend>> Live;
  /// Cancelled sends that may not have noticed it yet.
  std::vector<std::shared_ptr<ForwardSend>> Withdrawn;
  sigc::connection WithdrawalTimer;
  /// A server error, which is delivered if no other send succeeds.
  std::shared_ptr<ForwardSend> ServerError;
  std::string UpstreamId; ///< Of the latest send.
  std::vector<std::string> TriedUpstreams;
  /// Of TriedUpstreams, those that were not reached directly.
  std::vector<std::string> UnreachedUpstreams;
  bool IsQueued = false; ///< Waits for an upstream, see WaitingRuns.
  std::optional<WaitEstimate> WaitExpected; ///< If refused for it.
  std::optional<std::uint64_t> LastEvent;
  /// Of the stream that is forwarded. Once it is known, the call is sent to
  /// upstreams of this version only.
  std::optional<StreamOrigin> Origin;
  StreamKey Stream = 0; ///< Key of a stream that may be resumed.
  OriginSearch Search;  ///< Of a stream that the caller takes up.
  sigc::connection StreamsListed;
  sigc::connection ListTimer;
  int Sends = 0; ///< That have ended, as PossibleRuns.
  int PossibleRuns = 0;
  int ConnectFailures = 0;
  std::optional<TimePoint> FirstEventAt;
  TimePoint LastEventAt;
  Duration LongestPause{}; ///< Between two forwarded events.
  sigc::connection DeadlineTimer;
  sigc::connection WeightsChanged;
  sigc::connection BacklogSent;
  sigc::connection ProcessEnding;
  sigc::connection RefusalsConnection; ///< While a send is in flight.
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_FORWARDRUN_H
