// The sends of a ForwardRun: what is sent, and how the answer is received.

#include "connection/BufferedSocket.h"
#include "process/FatalSignals.h"
#include "process/Log.h"
#include "request/ForwardRun.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace galenaroute {

/// Maximum idle time of a connection that is reused for a call that must not be
/// repeated, since a longer idle connection may be closing.
static constexpr Duration MaxIdleNonRepeatable = std::chrono::milliseconds(900);
/// Minimum deadline passed to an upstream; it could not use less.
static constexpr Duration MinSendTime = std::chrono::milliseconds(5);
/// Added to the time to connect over another gateway.
static constexpr Duration RelayConnectTime = std::chrono::milliseconds(200);
/// Enough to connect to an upstream that is reached.
static constexpr Duration TrialConnectTime = std::chrono::milliseconds(200);
/// Bytes of a stream that wait for its caller before the upstream has to wait.
static constexpr std::size_t MaxStreamBacklog = 1 << 20;
/// Memory for a longer body is not reserved at once.
static constexpr std::size_t MaxReserved = 16 << 20;
/// How often a response that waits for room checks whether it may go on.
static constexpr Duration RoomCheckInterval = std::chrono::milliseconds(20);
/// For how long a response waits for room in all. The largest one, which does
/// not wait, may come from an upstream that stands still.
static constexpr Duration MaxRoomWait = std::chrono::milliseconds(2000);

SendPlan ForwardRun::planSend(const UpstreamEntry &To,
                              const PartReusePlan &Reuse) const {
  SendPlan Plan;
  Plan.Instance = To.Registered.Id;
  if (this->Customer)
    Plan.Customer = this->Customer->Name;
  Plan.TimeLeft = std::max(this->timeLeft(), MinSendTime);
  Plan.ResumeAfter = this->LastEvent;
  if (!this->Service->Engine)
    return Plan;
  Plan.Urgency = engineUrgency(this->priority());
  Plan.WeightVersion = To.WeightVersion;
  Plan.CacheScope = this->cacheScope(To.WeightVersion);
  Plan.Fetch = Reuse.Fetch;
  Plan.Save = Reuse.Save;
  Plan.FetchUntilMs = Reuse.FetchUntilMs;
  return Plan;
}

UpstreamExchangeEvents
ForwardRun::eventsOf(const std::shared_ptr<ForwardSend> &Send) {
  return {.OnConnected =
              [this, Send] { this->notePath(*Send, PathEvent::Connected); },
          .OnHead =
              [this, Send](const HttpHead &Head) {
                const RunningCall Scope(this->Call.Id);
                return this->onHead(*Send, Head);
              },
          .OnBody =
              [this, Send](std::string_view Bytes) {
                const RunningCall Scope(this->Call.Id);
                this->onBody(Send, Bytes);
              },
          .OnEnd =
              [this, Send](UpstreamEnd End) {
                const auto Self = this->shared_from_this();
                const RunningCall Scope(this->Call.Id);
                this->onEnd(Send, End);
              }};
}

void ForwardRun::send(const UpstreamTable::Chosen &Choice,
                      const UpstreamQuery &Query) {
  const UpstreamEntry &To = *Choice.Entry;
  const PartReusePlan Reuse = this->planCache(To.WeightVersion);
  const SendPlan Plan = this->planSend(To, Reuse);
  UpstreamExchangeSettings Settings;
  Settings.IsHead = this->Call.Method == "HEAD";
  Settings.CallId = this->Call.Id;
  Settings.LongRequestTimeout = this->timeLeft();
  Settings.MaxIdle = this->Route->Repeat == Repeatability::Once
                         ? MaxIdleNonRepeatable
                         : MaxIdleRepeatable;
  const auto Send = std::make_shared<ForwardSend>();
  Send->Path = this->Services.PathTo(
      To, Settings.MaxIdle, this->Route->Repeat != Repeatability::Once);
  Settings.Helper = Send->Path.Helper;
  if (Send->Path.Helper)
    Settings.ConnectTimeout += RelayConnectTime;
  if (Send->Path.IsTrial) {
    Settings.ConnectTimeout = TrialConnectTime;
    Settings.MaxIdle = Duration::zero();
  }
  Send->UpstreamId = To.Registered.Id;
  Send->Incarnation = To.Incarnation;
  Send->SoftwareVersion = To.Registered.SoftwareVersion;
  if (this->Service->Engine)
    Send->Weights = To.WeightVersion;
  Send->TokensToPrefill = Choice.TokensToPrefill;
  Send->PendingWork = Choice.Work;
  Send->Class = Query.Class;
  Send->SentAt = Send->ProgressAt = Send->HeardAt = EventLoop::now();
  // Where memory is missing for the exchange, nothing is counted.
  this->Live.reserve(this->Live.size() + 1);
  Send->Exchange = this->Services.Pool.start(
      To.Registered.Address,
      this->Services.Codec.writeRequest(this->Call, Plan, this->Incoming->Body),
      Settings, this->eventsOf(Send));
  // The latest send shows whether a further upstream is to be tried.
  for (const auto &Each : this->Live)
    Each->StallTimer.disconnect();
  // The handlers of the exchange keep it alive and refer to this run, so that
  // it has to be listed before memory may be missing for anything else.
  this->Live.push_back(Send);
  this->Services.Upstreams.noteSent(Send->UpstreamId, Choice.Work,
                                    this->callTokens(), Query.Class);
  this->Services.Upstreams.noteAwaited(Send->UpstreamId, Send->SentAt);
  if (this->Current == Phase::Waiting)
    this->Current = Phase::Sent;
  this->UpstreamId = Send->UpstreamId;
  this->Services.Upstreams.noteParts(Send->UpstreamId, Query);
  this->TriedUpstreams.push_back(Send->UpstreamId);
  this->RefusalsConnection.disconnect();
  this->RefusalsConnection = this->Services.RefusalsChanged.connect(
      [this] { this->onRefusalsChanged(); });
  this->Services.Stats.upstreamChosen(
      this->Service->Name, toString(Choice.Kind), Choice.Rank,
      Choice.EstimatedCalls / std::max(1, To.Registered.Slots));
  this->logSent(*Send, Choice, Reuse);
  this->Services.OnSent(To, Choice.TokensToPrefill);
  this->armStallTimer(Send);
  this->armWeightsTimer(Send);
}

void ForwardRun::logSent(const ForwardSend &Send,
                         const UpstreamTable::Chosen &Choice,
                         const PartReusePlan &Reuse) {
  const UpstreamEntry &To = *Choice.Entry;
  const auto PeerUse = this->Services.Upstreams.peerUseAt(To);
  const auto Superseded = this->supersededFor(Send);
  const RoomEstimate &Estimate =
      this->Services.Upstreams.estimateOf(this->Service->Name);
  log(LogLevel::Info, "call.sent",
      {{"call", this->Call.Id},
       {"content", keyName(this->Signature)},
       {"route", this->Route->Name},
       {"upstream", Send.UpstreamId},
       {"helper", Send.Path.Helper    ? Send.Path.Helper->Address.toString()
                  : Send.Path.IsTrial ? "trial"
                                      : "-"},
       {"send",
        std::to_string(this->Sends + static_cast<int>(this->Live.size()))},
       {"left_ms", std::to_string(toMilliseconds(this->timeLeft()))},
       {"software", Send.SoftwareVersion},
       {"weights", std::to_string(To.WeightVersion.value_or(0))},
       {"superseded_ms",
        Superseded ? std::to_string(toMilliseconds(*Superseded)) : "-"},
       {"choice", std::string(toString(Choice.Kind))},
       {"rank", Choice.Rank ? std::to_string(*Choice.Rank) : "-"},
       {"estimated_calls", std::to_string(Choice.EstimatedCalls)},
       {"own_calls", std::to_string(To.OwnCalls)},
       {"running", To.Load ? std::to_string(To.Load->Running) : "-"},
       {"waiting", To.Load ? std::to_string(To.Load->Waiting) : "-"},
       {"slowdown", To.Load ? std::to_string(To.Load->Slowdown) : "-"},
       {"own_tokens", std::to_string(To.OwnTokens)},
       {"tokens_ahead", std::to_string(To.TokensAhead)},
       {"others_calls", PeerUse ? std::to_string(PeerUse->Calls) : "-"},
       {"others_tokens", PeerUse ? std::to_string(PeerUse->Tokens) : "-"},
       {"others_ahead", PeerUse ? std::to_string(PeerUse->TokensAhead) : "-"},
       {"class", Send.Class ? std::to_string(*Send.Class) : "-"},
       {"expected_urgent",
        Send.Class
            ? std::to_string(Estimate.CallsPerSlot[0] * To.Registered.Slots)
            : "-"},
       {"load_age_ms",
        To.Load ? std::to_string(toMilliseconds(Send.SentAt - To.ReportedAt))
                : "-"},
       {"tokens_to_read", std::to_string(Send.TokensToPrefill)},
       {"stored_tokens", std::to_string(Reuse.StoredTokens)},
       {"shared_tokens", std::to_string(Reuse.SharedTokens)}});
}

/// Returns for how long the weights that the call was sent to have been
/// superseded, or nothing.
std::optional<Duration>
ForwardRun::supersededFor(const ForwardSend &Send) const {
  const AnnouncedWeights *Named = this->namedWeights();
  if (!Named || !Send.Weights)
    return std::nullopt;
  const auto Since = supersededAt(*Named, *Send.Weights);
  return Since ? std::optional(BootClock::now() - *Since) : std::nullopt;
}

void ForwardRun::armWeightsTimers() {
  for (const auto &Each : this->Live)
    this->armWeightsTimer(Each);
}

/// A call queued at an engine with old weights must not begin there after the
/// deadline for the newer version, which may be announced while it waits.
void ForwardRun::armWeightsTimer(const std::shared_ptr<ForwardSend> &Send) {
  Send->WeightsTimer.disconnect();
  if (this->Current == Phase::Done || !Send->Exchange || this->hasBegun(*Send))
    return;
  const auto Superseded = this->supersededFor(*Send);
  if (!Superseded)
    return;
  Send->WeightsTimer = this->Services.Loop.timers().after(
      std::max(this->Services.WeightsLimit - *Superseded, Duration::zero()),
      [Self = this->shared_from_this(), Send] {
        Self->onWeightsDeadline(Send);
      });
}

void ForwardRun::onWeightsDeadline(const std::shared_ptr<ForwardSend> &Send) {
  if (this->Current == Phase::Done || !Send->Exchange)
    return;
  // An event that arrived while the process stood still is read first.
  if (Send->Exchange->hasUnreadInput())
    Send->WeightsTimer = this->Services.Loop.timers().after(
        UnreadInputDelay, [Self = this->shared_from_this(), Send] {
          Self->withdrawIfNotBegun(Send);
        });
  else
    this->withdrawIfNotBegun(Send);
}

void ForwardRun::withdrawIfNotBegun(const std::shared_ptr<ForwardSend> &Send) {
  if (this->Current == Phase::Done || !Send->Exchange || this->hasBegun(*Send))
    return;
  // The upstream may stand still and begin the call before it notices.
  if (this->silenceOf(*Send) == Silence::Unexplained) {
    Send->WithdrawnAt = EventLoop::now();
    this->Withdrawn.push_back(Send);
  }
  this->abandonSend(Send, SendOutcome::Stalled);
}

/// Cancels \p Send. \p IfSent is its outcome if the call was sent.
void ForwardRun::abandonSend(const std::shared_ptr<ForwardSend> &Send,
                             SendOutcome IfSent) {
  const bool WasSent = Send->Exchange->wasSent();
  Send->Exchange.reset();
  this->onOutcome(Send, WasSent ? IfSent : SendOutcome::NotSent);
}

void ForwardRun::armStallTimer(const std::shared_ptr<ForwardSend> &Send) {
  Send->StallTimer.disconnect();
  if (Send->IsPaused)
    return;
  if (const auto Limit =
          stallLimit(*this->Route, this->FirstEventAt.has_value()))
    Send->StallTimer = this->Services.Loop.timers().after(
        *Limit, [Self = this->shared_from_this(), Send] {
          Self->onStall(Send, StallCheck::First);
        });
}

/// Returns the length of the body that \p Head states, at most MaxReserved, or
/// zero.
static std::size_t lengthOf(const HttpHead &Head) {
  const std::string_view Text =
      Head.Headers.find("Content-Length").value_or("");
  std::size_t Length = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Length);
  return std::min(Length, MaxReserved);
}

bool ForwardRun::onHead(ForwardSend &Send, const HttpHead &Head) {
  CallAnswer Read = this->Services.Codec.readAnswer(Head);
  // On a reused connection, an answer without a call id may be a late duplicate
  // of an earlier answer.
  const bool IsForeign = Read.CallId.empty()
                             ? Send.Exchange->usedKeptConnection()
                             : Read.CallId != this->Call.Id;
  if (IsForeign) {
    log(LogLevel::Warn, "answer.foreign",
        {{"call", this->Call.Id},
         {"upstream", Send.UpstreamId},
         {"answers", Read.CallId}});
    return false;
  }
  Send.Answer = std::move(Read);
  Send.HasAnswer = true;
  if (Send.Answer.NotRun || Send.Answer.IsMisdirected)
    Send.Exchange->noteRefusal();
  Send.Length = lengthOf(Head);
  Send.IsFramed = Head.HasFraming || Head.Status == 204 || Head.Status == 304 ||
                  this->Call.Method == "HEAD";
  UpstreamTable &Upstreams = this->Services.Upstreams;
  const TimePoint Now = EventLoop::now();
  Send.ProgressAt = Send.HeardAt = Now;
  this->notePath(Send, PathEvent::Heard);
  if (Send.Answer.IsLeaving)
    Upstreams.noteLeaving(Send.UpstreamId, Send.Incarnation, Now);
  if (Send.Answer.PauseFor)
    Upstreams.notePaused(Send.UpstreamId, Send.Incarnation,
                         Now + *Send.Answer.PauseFor, Now);
  // The rest tells nothing of another incarnation under the same id.
  const UpstreamEntry *From = Upstreams.find(Send.UpstreamId);
  if (!From || From->Incarnation != Send.Incarnation)
    return true;
  Upstreams.noteProgress(Send.UpstreamId, Now);
  Upstreams.noteHeard(Send.UpstreamId, Now);
  this->Services.OnRateLimit(*From, Send.Answer.RateLimit);
  Upstreams.noteBrittle(Send.UpstreamId, Send.Answer.MaxRefusalsPerSecond, Now);
  if (!From->Allowance || Send.Answer.Status != 503 || !Send.Answer.NotRun) {
    Upstreams.noteAccepted(Send.UpstreamId, Send.SentAt);
  } else {
    Upstreams.noteRefused(Send.UpstreamId, Send.SentAt, Now);
    this->Services.Stats.decision("brittle.refused");
  }
  if (Send.Answer.Load)
    Upstreams.noteLoad(Send.UpstreamId, *Send.Answer.Load, Now);
  if (Send.Answer.WeightVersion)
    Upstreams.noteWeights(Send.UpstreamId, *Send.Answer.WeightVersion);
  return true;
}

/// Returns whether the answer to \p Send is an event stream, which is forwarded
/// as it arrives.
bool ForwardRun::isStreamAnswer(const ForwardSend &Send) const {
  return this->Route->IsStream && Send.Answer.Status == 200 &&
         Send.Answer.IsSigned && !Send.Answer.IsEncoded;
}

/// Adds to the body of an answer that is forwarded whole. Returns false if the
/// answers in flight exceed their common limit and this one is the largest.
bool ForwardRun::addToBody(const std::shared_ptr<ForwardSend> &Send,
                           std::string_view Bytes) {
  if (!Send->BodyCharge)
    Send->BodyCharge.emplace(
        this->Services.Pool.budget(),
        [Run = this->weak_from_this(), At = std::weak_ptr(Send)] {
          const auto Self = Run.lock();
          const auto Dropped = At.lock();
          if (Self && Dropped)
            Self->dropBody(Dropped);
        });
  if (!Send->BodyCharge->set(Send->Body.size() + Bytes.size(), Send->Length))
    return false;
  // Growing by doubling would hold up to three times the bytes.
  if (Send->Body.empty())
    Send->Body.reserve(Send->Length);
  Send->Body += Bytes;
  if (!Send->BodyCharge->mayGoOn(Send->Length) && Send->RoomWait < MaxRoomWait)
    this->waitForRoom(Send);
  return true;
}

/// Makes the upstream of \p Send wait while other responses have the memory.
void ForwardRun::waitForRoom(const std::shared_ptr<ForwardSend> &Send) {
  if (this->Current == Phase::Done || !Send->Exchange)
    return;
  this->pauseUpstream(*Send, "answer.paused");
  Send->RoomTimer.disconnect();
  Send->RoomTimer = this->Services.Loop.timers().after(
      RoomCheckInterval, [Self = this->shared_from_this(), Send] {
        if (Self->Current == Phase::Done || !Send->Exchange)
          return;
        Send->RoomWait += RoomCheckInterval;
        if (Send->BodyCharge->mayGoOn(Send->Length) ||
            Send->RoomWait >= MaxRoomWait)
          Self->resumeUpstream(Send);
        else
          Self->waitForRoom(Send);
      });
}

/// Drops the answer to \p Send, since the answers in flight exceed their common
/// limit.
void ForwardRun::dropBody(const std::shared_ptr<ForwardSend> &Send) {
  dropText(Send->Body);
  Send->Cause = UpstreamCause::MemoryShort;
  // An answer with an error may be kept after its send has ended.
  if (this->Current != Phase::Done && Send->Exchange)
    this->breakLater(Send);
  else
    Send->IsBroken = true;
}

/// Ends \p Send as broken, outside of the parser, which may still be reporting
/// from the bytes at hand.
void ForwardRun::breakLater(const std::shared_ptr<ForwardSend> &Send) {
  Send->IsBroken = true;
  Send->EndTimer = this->Services.Loop.timers().after(
      Duration::zero(), [Self = this->shared_from_this(), Send] {
        if (Self->Current != Phase::Done && Send->Exchange)
          Self->abandonSend(Send, SendOutcome::Broken);
      });
}

void ForwardRun::onBody(const std::shared_ptr<ForwardSend> &Send,
                        std::string_view Bytes) {
  if (Send->IsBroken)
    return;
  Send->HeardAt = EventLoop::now();
  // Bytes that have waited do not show that the upstream still runs.
  if (!Send->WasPaused) {
    this->Services.Upstreams.noteHeard(Send->UpstreamId, Send->HeardAt);
    this->notePath(*Send, PathEvent::Heard);
  }
  if (!this->isStreamAnswer(*Send)) {
    if (!this->addToBody(Send, Bytes))
      this->dropBody(Send);
    return;
  }
  if (Send->Splitter.feed(Bytes, [this, &Send](const StreamEvent &Event) {
        this->onEvent(Send, Event);
      }))
    return;
  log(LogLevel::Warn, "stream.event_too_long",
      {{"call", this->Call.Id}, {"upstream", Send->UpstreamId}});
  Send->Splitter.clear();
  if (this->Current == Phase::Done)
    return;
  Send->Cause = UpstreamCause::BodyTooLarge;
  this->breakLater(Send);
}

void ForwardRun::onEvent(const std::shared_ptr<ForwardSend> &Send,
                         const StreamEvent &Event) {
  if (this->Current == Phase::Done || !Send->Exchange)
    return;
  if (++Send->Events == MinEventsOfAnswer)
    this->notePartsAnswered(EventLoop::now());
  if (Event.Id && this->LastEvent && *Event.Id <= *this->LastEvent) {
    log(LogLevel::Warn, "stream.event_repeated",
        {{"call", this->Call.Id}, {"event", std::to_string(*Event.Id)}});
    return;
  }
  // In a numbered stream, an event without a number, such as a comment, does
  // not show progress of the engine.
  const bool IsProgress = Event.Id || !this->LastEvent;
  if (IsProgress) {
    this->keepOnly(*Send);
  } else if (Send != this->Live.front()) {
    this->holdEvent(*Send, Event);
    return;
  }
  this->beginStream(*Send);
  const TimePoint Now = EventLoop::now();
  if (this->LastEventAt != TimePoint{})
    this->LongestPause = std::max(this->LongestPause, Now - this->LastEventAt);
  this->LastEventAt = Now;
  if (Event.Id)
    this->LastEvent = Event.Id;
  this->Incoming->write(Event.Bytes);
  if (IsProgress) {
    Send->ProgressAt = Now;
    Send->IsHeldBack = false;
    this->armStallTimer(Send);
  }
  if (this->Incoming->unsentBytes() > MaxStreamBacklog ||
      !this->Incoming->mayGrow())
    this->pauseUpstream(*Send, "stream.paused");
}

/// Keeps an event that is forwarded only if \p Send is continued.
void ForwardRun::holdEvent(ForwardSend &Send, const StreamEvent &Event) {
  if (Send.HeldEvents.size() + Event.Bytes.size() <=
      EventSplitter::MaxEventBytes)
    Send.HeldEvents += Event.Bytes;
  else
    log(LogLevel::Warn, "stream.event_dropped",
        {{"call", this->Call.Id}, {"upstream", Send.UpstreamId}});
}

/// Continues with \p Send, which makes progress, and cancels the other sends.
void ForwardRun::keepOnly(const ForwardSend &Send) {
  this->IsQueued = false;
  if (this->Live.size() == 1)
    return;
  const auto Sends = this->Live;
  for (const auto &Each : Sends)
    if (Each.get() != &Send)
      this->cancelSend(*Each, "superseded");
}

/// Makes the upstream wait for the caller or for room. Its silence meanwhile is
/// no stall.
void ForwardRun::pauseUpstream(ForwardSend &Send, const char *Decision) {
  if (Send.IsPaused)
    return;
  Send.IsPaused = Send.WasPaused = true;
  Send.StallTimer.disconnect();
  Send.Exchange->pauseReading();
  this->Services.Stats.decision(Decision);
}

void ForwardRun::resumeUpstreams() {
  const RunningCall Scope(this->Call.Id);
  for (const auto &Each : this->Live)
    this->resumeUpstream(Each);
}

void ForwardRun::resumeUpstream(const std::shared_ptr<ForwardSend> &Send) {
  Send->RoomTimer.disconnect();
  if (!Send->IsPaused)
    return;
  Send->IsPaused = false;
  Send->ProgressAt = Send->HeardAt = EventLoop::now();
  Send->Exchange->resumeReading();
  this->armStallTimer(Send);
}

/// Notes that the prompt of \p Send was prefilled or never will be.
void ForwardRun::notePrefillEnded(ForwardSend &Send) {
  if (Send.PendingWork == 0)
    return;
  if (this->isAtIncarnation(Send))
    this->Services.Upstreams.notePrefillEnded(Send.UpstreamId,
                                              Send.PendingWork);
  Send.PendingWork = 0;
  this->queue().wake();
}

/// Begins the answer to the caller if it has not begun, and forwards the events
/// of \p Send that were held.
void ForwardRun::beginStream(ForwardSend &Send) {
  this->notePrefillEnded(Send);
  if (this->Current != Phase::Streaming) {
    this->Current = Phase::Streaming;
    this->setOrigin(Send);
    this->FirstEventAt = EventLoop::now();
    this->Services.Stats.firstToken(
        this->Service->Name, *this->FirstEventAt - this->Incoming->Arrived);
    this->Incoming->begin(Send.Answer.Status, Send.Answer.ForwardedHeaders);
  }
  if (!Send.HeldEvents.empty())
    this->Incoming->write(std::exchange(Send.HeldEvents, {}));
}

} // namespace galenaroute
