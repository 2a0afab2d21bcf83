#include "request/ClaimService.h"

#include "process/ErrorKind.h"
#include "process/Rendezvous.h"

#include <algorithm>

namespace galenaroute {

using nlohmann::json;

namespace {

constexpr const char *ClaimKind = "claims";
constexpr Milliseconds RetryInProgress{500};
constexpr Milliseconds RetryUnavailable{1000};

template <typename Enum> Enum enumFrom(const json &Value, Enum Last) {
  if (!Value.is_number_unsigned() ||
      Value.get<std::uint64_t>() > static_cast<std::uint64_t>(Last))
    throw Error(ErrorKind::BadRequest, "invalid enumerator in a claim message");
  return static_cast<Enum>(Value.get<int>());
}

std::string textFrom(const json &Value) {
  constexpr std::size_t MaxBytes = 256;
  auto Result = Value.get<std::string>();
  if (Result.empty() || Result.size() > MaxBytes)
    throw Error(ErrorKind::BadRequest,
                "empty or too long string in a claim message");
  // The string is written to the platform as JSON.
  for (const char C : Result)
    if (C < ' ' || C > '~')
      throw Error(ErrorKind::BadRequest,
                  "string with non-printable characters in a claim message");
  return Result;
}

std::string daemonOf(const std::string &Holder) {
  return Holder.substr(0, Holder.find('|'));
}

ClaimStatus statusOf(ClaimVerdict Verdict) {
  switch (Verdict) {
  case ClaimVerdict::Granted:
    return ClaimStatus::Granted;
  case ClaimVerdict::InProgress:
    return ClaimStatus::InProgress;
  case ClaimVerdict::MayHaveRun:
    return ClaimStatus::MayHaveRun;
  case ClaimVerdict::Ran:
    return ClaimStatus::Ran;
  case ClaimVerdict::Mismatch:
    return ClaimStatus::Mismatch;
  default:
    return ClaimStatus::Unavailable;
  }
}

} // namespace

ClaimService::ClaimService(Platform &Api, ClaimPorts Ports,
                           const ClaimServiceSettings &Settings,
                           std::string Nonce)
    : Api(Api), Ports(std::move(Ports)), Settings(Settings),
      Nonce(std::move(Nonce)) {
  this->EraChanged = Api.Era.Changed.connect(
      [this](const EraChange &) { this->onEraChanged(); });
}

ClaimService::~ClaimService() {
  this->EraChanged.disconnect();
  *this->Alive = false;
}

void ClaimService::checkFirstEra() {
  const std::uint64_t Era = this->Api.Era.current();
  if (this->HasSeenEra || Era == 0)
    return;
  this->HasSeenEra = true;
  // The platform may have been restored just before this gateway started.
  if (Era == 1)
    return;
  this->DecidesFrom = this->Ports.Time().Now + this->Settings.Log.RecoveryDelay;
  for (auto &[Index, Each] : this->Ranges)
    Each.Log.DecidesFrom = this->DecidesFrom;
}

void ClaimService::onEraChanged() {
  this->HasSeenEra = true;
  this->DecidesFrom = this->Ports.Time().Now + this->Settings.Log.RecoveryDelay;
  std::vector<unsigned> Known;
  for (const auto &[Index, Each] : this->Ranges)
    Known.push_back(Index);
  for (const unsigned Index : Known)
    this->step(Index, ClaimEraChanged{});
  // The owners of the claims under way may have ended.
  for (const auto &[Holder, Each] : this->Attempts)
    if (Each.Held && Each.Kind == ClaimRequestKind::Claim)
      this->submit(this->Ports.SelfId(), ClaimRequestKind::Claim, Each.Record,
                   this->Settings.ClaimTimeout);
}

// The holder role.

void ClaimService::claim(const ClaimKey &Key, std::string_view RequestDigest,
                         OnClaim Done) {
  if (this->Attempts.size() >= this->Settings.MaxAttempts) {
    this->defer([Done = std::move(Done)] {
      Done({ClaimStatus::Unavailable, {}, {}, RetryUnavailable});
    });
    return;
  }
  const std::string Holder = this->Ports.SelfId() + "|" + this->Nonce + "|" +
                             std::to_string(this->NextHolder++);
  Attempt &Added = this->Attempts[Holder];
  Added.Record = {claimKeyDigest(Key),
                  Holder,
                  std::string(RequestDigest),
                  ClaimState::Claimed,
                  {}};
  Added.Key = Key;
  Added.ClaimDone = std::move(Done);
  Added.Deadline = this->Ports.Time().Now + this->Settings.ClaimTimeout;
  this->send(Holder, Added);
}

void ClaimService::finish(const ClaimToken &Token,
                          const ClaimOutcome &Outcome) {
  const auto It = this->Attempts.find(Token.Holder);
  if (It == this->Attempts.end() || !It->second.Held)
    return;
  Attempt &Finished = It->second;
  Finished.Kind = ClaimRequestKind::Finish;
  Finished.Record.State = ClaimState::Finished;
  Finished.Record.Outcome = boundedOutcome(Outcome);
  Finished.Sends = 0;
  // Retained until the outcome is durable: once the attempt is removed here,
  // queries are answered that the holder will not send the call.
  Finished.Deadline = TimePoint::max();
  this->send(Token.Holder, Finished);
}

void ClaimService::release(const ClaimToken &Token, OnRelease Done) {
  const auto It = this->Attempts.find(Token.Holder);
  if (It == this->Attempts.end() || !It->second.Held) {
    this->defer([Done = std::move(Done)] { Done(false); });
    return;
  }
  Attempt &Released = It->second;
  // From now on queries are answered that the call will not be sent.
  Released.Held = false;
  Released.Kind = ClaimRequestKind::Release;
  Released.Record.State = ClaimState::Released;
  Released.ReleaseDone = std::move(Done);
  Released.Sends = 0;
  Released.Deadline = this->Ports.Time().Now + this->Settings.ClaimTimeout;
  this->send(Token.Holder, Released);
}

void ClaimService::send(const std::string &Holder, Attempt &Pending) {
  const TimePoint Now = this->Ports.Time().Now;
  const Duration Wait = Pending.Kind == ClaimRequestKind::Finish
                            ? this->Settings.FinishRetry
                            : this->Settings.OwnerTimeout;
  Pending.NextSend = Now + Wait;
  this->NextCheck =
      std::min({this->NextCheck, Pending.NextSend, Pending.Deadline});
  this->wakeAt(this->NextCheck);
  const std::string Owner = this->ownerOf(this->rangeOf(Pending.Record.Key));
  // Alternates between the owner and acting as owner locally.
  if (Owner != this->Ports.SelfId() && Pending.Sends++ % 2 == 0) {
    PeerMessage Message{Pending.Kind == ClaimRequestKind::Finish ? "outcome"
                                                                 : "claim"};
    Message.Body = {{"ask", static_cast<unsigned>(Pending.Kind)},
                    {"k", Pending.Record.Key},
                    {"h", Holder},
                    {"d", Pending.Record.Digest}};
    if (Pending.Kind == ClaimRequestKind::Finish)
      Message.Body["o"] = toJson(Pending.Record.Outcome);
    if (this->Ports.Send(Owner, Message))
      return;
  }
  this->submit(this->Ports.SelfId(), Pending.Kind, Pending.Record,
               std::min(Pending.Deadline - Now, this->Settings.ClaimTimeout));
}

void ClaimService::checkAttempts() {
  const TimePoint Now = this->Ports.Time().Now;
  if (Now < this->NextCheck)
    return;
  this->NextCheck = TimePoint::max();
  std::vector<std::string> Late;
  std::vector<std::string> Due;
  for (const auto &[Holder, Each] : this->Attempts) {
    if (Each.Held && Each.Kind == ClaimRequestKind::Claim)
      continue; // The call is in progress.
    if (Now >= Each.Deadline)
      Late.push_back(Holder);
    else if (Now >= Each.NextSend)
      Due.push_back(Holder);
    else
      this->NextCheck =
          std::min({this->NextCheck, Each.NextSend, Each.Deadline});
  }
  for (const std::string &Holder : Late)
    this->onReply(Holder, this->Attempts.at(Holder).Kind,
                  ClaimVerdict::Unavailable, {});
  for (const std::string &Holder : Due)
    if (const auto It = this->Attempts.find(Holder); It != this->Attempts.end())
      this->send(Holder, It->second);
  if (this->NextCheck != TimePoint::max())
    this->wakeAt(this->NextCheck);
}

void ClaimService::onReply(const std::string &Holder, ClaimRequestKind Kind,
                           ClaimVerdict Verdict, const ClaimOutcome &Outcome) {
  const auto It = this->Attempts.find(Holder);
  if (It == this->Attempts.end() || It->second.Kind != Kind)
    return; // A late reply.
  Attempt &Pending = It->second;
  const bool Failed = Verdict == ClaimVerdict::Unavailable;
  const bool Expired = this->Ports.Time().Now >= Pending.Deadline;
  switch (Kind) {
  case ClaimRequestKind::Claim: {
    if (Pending.Held)
      return;
    ClaimAnswer Answer{statusOf(Verdict), {Pending.Key, Holder}, Outcome, {}};
    if (Answer.Status == ClaimStatus::InProgress)
      Answer.RetryAfter = RetryInProgress;
    if (Answer.Status == ClaimStatus::Unavailable)
      Answer.RetryAfter = RetryUnavailable;
    const OnClaim Done = std::move(Pending.ClaimDone);
    if (Answer.Status == ClaimStatus::Granted)
      Pending.Held = true;
    else
      this->Attempts.erase(It);
    Done(Answer);
    return;
  }
  case ClaimRequestKind::Finish:
    if (!Failed)
      this->Attempts.erase(It);
    return;
  case ClaimRequestKind::Release: {
    if (Failed && !Expired)
      return;
    const OnRelease Done = std::move(Pending.ReleaseDone);
    this->Attempts.erase(It);
    Done(Verdict == ClaimVerdict::Stored);
    return;
  }
  }
}

HolderState ClaimService::holderState(const std::string &Holder) const {
  const std::string Own = this->Ports.SelfId() + "|" + this->Nonce + "|";
  if (!Holder.starts_with(Own))
    return HolderState::Gone; // From an earlier process with this id.
  const auto It = this->Attempts.find(Holder);
  if (It == this->Attempts.end() ||
      It->second.Kind == ClaimRequestKind::Release)
    return HolderState::NotHeld;
  return HolderState::Held;
}

// The owner role.

unsigned ClaimService::rangeOf(const std::string &KeyDigest) const {
  return static_cast<unsigned>(stableHash(KeyDigest) % this->Settings.Ranges);
}

std::string ClaimService::ownerOf(unsigned Range) const {
  const std::string Name = "claims/" + std::to_string(Range);
  std::string Best;
  std::uint64_t BestWeight = 0;
  for (std::string &Each : this->Ports.LiveIds()) {
    const std::uint64_t Weight = rendezvousWeight(Name, Each);
    if (Best.empty() || Weight > BestWeight) {
      Best = std::move(Each);
      BestWeight = Weight;
    }
  }
  return Best.empty() ? this->Ports.SelfId() : Best;
}

void ClaimService::submit(const std::string &From, ClaimRequestKind Kind,
                          ClaimRecord Record, Duration Limit) {
  const unsigned Index = this->rangeOf(Record.Key);
  const std::uint64_t Id = this->NextRequest++;
  this->Origins[Id] = {From, Record.Holder, Kind};
  this->step(Index, ClaimArrived{{Id, Kind, std::move(Record),
                                  this->Ports.Time().Now + Limit}});
}

void ClaimService::step(unsigned Index, const ClaimEvent &Event) {
  const ClaimTime Time = this->Ports.Time();
  const auto [It, Added] = this->Ranges.try_emplace(Index);
  Range &At = It->second;
  if (Added) {
    At.Log.Settings = this->Settings.Log;
    At.Log.Range = Index;
    At.Log.DecidesFrom = this->DecidesFrom;
    At.NextRetention = Time.Now + this->Settings.RetentionPeriod;
    this->wakeAt(At.NextRetention);
  }
  if (std::holds_alternative<ClaimArrived>(Event))
    At.LastUse = Time.Now;
  const ClaimActions Actions = apply(At.Log, Event, Time);
  At.WakeAt = Actions.WakeAt.value_or(TimePoint::max());
  if (Actions.WakeAt)
    this->wakeAt(*Actions.WakeAt);
  if (Actions.Op)
    this->startOp(Index, *Actions.Op);
  for (const std::string &Holder : Actions.QueryHolders)
    this->queryHolder(Index, Holder);
  for (const ClaimReply &Reply : Actions.Replies)
    this->answer(Reply);
}

static ClaimOpEnd endOf(PlatformStatus Status) {
  switch (Status) {
  case PlatformStatus::Ok:
    return ClaimOpEnd::Ok;
  case PlatformStatus::NotFound:
  case PlatformStatus::Conflict:
    return ClaimOpEnd::Refused;
  case PlatformStatus::Unavailable:
    return ClaimOpEnd::Unavailable;
  default:
    return ClaimOpEnd::Unknown;
  }
}

/// Adds \p Object to \p Done. A malformed value fails the whole operation,
/// because its claims would be missed.
static void addObject(ClaimOpDone &Done, const PlatformObject &Object) {
  try {
    Done.Objects.push_back({claimSegmentNumber(Object.Key.Name), Object.Version,
                            claimSegmentFromJson(Object.Value)});
  } catch (const std::exception &) {
    Done.End = ClaimOpEnd::Unavailable;
  }
}

void ClaimService::startOp(unsigned Index, const ClaimOp &Op) {
  const ObjectKey Key{ClaimKind, claimSegmentName(Index, Op.Segment)};
  const auto OnResult = [this, Index, Alive = this->Alive,
                         What = Op.What](const PlatformResult &Result) {
    if (!*Alive)
      return;
    this->checkFirstEra();
    ClaimOpDone Done{endOf(Result.Status),
                     Result.Object.Version,
                     {},
                     false,
                     this->Api.Era.current()};
    if (What == ClaimOp::Kind::Get && Done.End == ClaimOpEnd::Ok)
      addObject(Done, Result.Object);
    this->step(Index, Done);
  };
  switch (Op.What) {
  case ClaimOp::Kind::Get:
    this->Api.get(Key, OnResult);
    return;
  case ClaimOp::Kind::Put:
    this->Api.put(Key, toJson(Op.Value), Op.IfVersion, OnResult);
    return;
  case ClaimOp::Kind::Remove:
    this->Api.remove(Key, Op.IfVersion, OnResult);
    return;
  case ClaimOp::Kind::List:
    this->Api.list(
        ClaimKind, claimSegmentPrefix(Index), Key.Name,
        [this, Index, Alive = this->Alive](const PlatformList &Result) {
          if (!*Alive)
            return;
          this->checkFirstEra();
          ClaimOpDone Done{endOf(Result.Status),
                           0,
                           {},
                           Result.More,
                           this->Api.Era.current()};
          for (const PlatformObject &Each : Result.Objects)
            addObject(Done, Each);
          this->step(Index, Done);
        });
    return;
  }
}

void ClaimService::answer(const ClaimReply &Reply) {
  const auto It = this->Origins.find(Reply.Id);
  if (It == this->Origins.end())
    return;
  const Origin To = std::move(It->second);
  this->Origins.erase(It);
  if (To.From == this->Ports.SelfId()) {
    this->defer([this, To, Reply] {
      this->onReply(To.Holder, To.Kind, Reply.Verdict, Reply.Outcome);
    });
    return;
  }
  PeerMessage Message{"claim-reply",
                      {{"h", To.Holder},
                       {"ask", static_cast<unsigned>(To.Kind)},
                       {"v", static_cast<unsigned>(Reply.Verdict)}}};
  if (Reply.Verdict == ClaimVerdict::Ran)
    Message.Body["o"] = toJson(Reply.Outcome);
  this->Ports.Send(To.From, Message);
}

void ClaimService::queryHolder(unsigned Index, const std::string &Holder) {
  const std::string Daemon = daemonOf(Holder);
  std::optional<HolderState> Known;
  if (Daemon == this->Ports.SelfId())
    Known = this->holderState(Holder);
  else if (this->Ports.IsGone(Daemon))
    Known = HolderState::Gone;
  else if (!this->Ports.Send(Daemon, {"claim-query", {{"h", Holder}}}))
    Known = HolderState::Unreachable;
  if (Known) {
    this->defer([this, Index, Holder, State = *Known] {
      this->step(Index, HolderAnswered{Holder, State});
    });
    return;
  }
  const TimePoint Deadline =
      this->Ports.Time().Now + this->Settings.HolderTimeout;
  this->Queries.emplace(Holder, Query{Index, Deadline});
  this->wakeAt(Deadline);
}

void ClaimService::dropIdleRanges() {
  const TimePoint Now = this->Ports.Time().Now;
  std::erase_if(this->Ranges, [&](const auto &Each) {
    return isIdle(Each.second.Log) &&
           Now - Each.second.LastUse >= this->Settings.RangeIdleTimeout &&
           this->ownerOf(Each.first) != this->Ports.SelfId();
  });
}

// Messages and timers.

std::vector<std::string> ClaimService::messageTypes() {
  return {"claim", "outcome", "claim-reply", "claim-query",
          "claim-query-reply"};
}

void ClaimService::onMessage(const std::string &Type, const std::string &From,
                             const json &Body) {
  const std::string Holder = textFrom(Body.at("h"));
  if (Type == "claim" || Type == "outcome") {
    const ClaimRequestKind Kind =
        enumFrom(Body.at("ask"), ClaimRequestKind::Release);
    ClaimRecord Record{textFrom(Body.at("k")),
                       Holder,
                       textFrom(Body.at("d")),
                       ClaimState::Claimed,
                       {}};
    if (Kind == ClaimRequestKind::Release)
      Record.State = ClaimState::Released;
    if (Kind == ClaimRequestKind::Finish) {
      Record.State = ClaimState::Finished;
      Record.Outcome = boundedOutcome(claimOutcomeFromJson(Body.at("o")));
    }
    this->submit(From, Kind, std::move(Record), this->Settings.ClaimTimeout);
  } else if (Type == "claim-reply") {
    const ClaimVerdict Verdict =
        enumFrom(Body.at("v"), ClaimVerdict::Superseded);
    ClaimOutcome Outcome;
    if (Verdict == ClaimVerdict::Ran)
      Outcome = claimOutcomeFromJson(Body.at("o"));
    this->onReply(Holder, enumFrom(Body.at("ask"), ClaimRequestKind::Release),
                  Verdict, Outcome);
  } else if (Type == "claim-query") {
    this->Ports.Send(
        From, {"claim-query-reply",
               {{"h", Holder},
                {"s", static_cast<unsigned>(this->holderState(Holder))}}});
  } else if (Type == "claim-query-reply") {
    const HolderState State = enumFrom(Body.at("s"), HolderState::Unreachable);
    // Only the gateway that made a claim knows its state.
    if (From != daemonOf(Holder))
      return;
    std::set<unsigned> QueryingRanges;
    const auto [Begin, End] = this->Queries.equal_range(Holder);
    for (auto It = Begin; It != End; ++It)
      QueryingRanges.insert(It->second.Range);
    this->Queries.erase(Begin, End);
    for (const unsigned Index : QueryingRanges)
      this->step(Index, HolderAnswered{Holder, State});
  }
}

void ClaimService::run() {
  this->ScheduledAt = TimePoint::max();
  const TimePoint Now = this->Ports.Time().Now;
  // Calls that are deferred meanwhile run next time.
  std::deque<std::function<void()>> Calls;
  Calls.swap(this->Deferred);
  for (const auto &Each : Calls)
    Each();

  std::vector<std::pair<std::string, unsigned>> TimedOut;
  TimePoint NextQuery = TimePoint::max();
  for (const auto &[Holder, Each] : this->Queries)
    if (Now >= Each.Deadline)
      TimedOut.emplace_back(Holder, Each.Range);
    else
      NextQuery = std::min(NextQuery, Each.Deadline);
  std::erase_if(this->Queries, [Now](const auto &Each) {
    return Now >= Each.second.Deadline;
  });
  for (const auto &[Holder, Index] : TimedOut)
    this->step(Index, HolderAnswered{Holder, HolderState::Unreachable});

  std::vector<unsigned> Due;
  TimePoint NextWake = NextQuery;
  bool CheckIdle = false;
  for (auto &[Index, Each] : this->Ranges) {
    if (Now >= Each.NextRetention) {
      Each.NextRetention = Now + this->Settings.RetentionPeriod;
      CheckIdle = true;
      Due.push_back(Index);
    } else if (Now >= Each.WakeAt) {
      Due.push_back(Index);
    }
    NextWake = std::min({NextWake, Each.NextRetention, Each.WakeAt});
  }
  for (const unsigned Index : Due)
    this->step(Index, ClaimWake{});
  this->checkAttempts();
  if (CheckIdle)
    this->dropIdleRanges();
  if (!this->Deferred.empty())
    NextWake = Now;
  NextWake = std::min(NextWake, this->NextCheck);
  if (NextWake != TimePoint::max())
    this->wakeAt(NextWake);
}

void ClaimService::wakeAt(TimePoint At) {
  if (At >= this->ScheduledAt)
    return;
  this->ScheduledAt = At;
  this->Ports.WakeAfter(
      std::max(At - this->Ports.Time().Now, Duration::zero()));
}

void ClaimService::defer(std::function<void()> Call) {
  this->Deferred.push_back(std::move(Call));
  this->wakeAt(this->Ports.Time().Now);
}

} // namespace galenaroute
