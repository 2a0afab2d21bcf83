#include "request/ClaimLog.h"

#include "process/Log.h"

#include <algorithm>

namespace galenaroute {

namespace {

std::size_t sizeOf(const ClaimRecord &Record) {
  return toJson(Record).dump().size() + 1;
}

/// The result of looking up a key in the view.
struct Lookup {
  const ClaimRecord *Newest = nullptr; ///< Null if the key was never claimed.
  std::uint64_t FetchSegment =
      0; ///< If not 0, this segment must be read first.
};

/// Applies one event to a log.
class Transition {
public:
  Transition(ClaimLog &Log, const ClaimTime &Time)
      : Log(Log), Now(Time.Now), WallMs(Time.WallMs) {}

  void operator()(const ClaimArrived &Event) {
    if (this->Log.Queue.size() >= this->Log.Settings.MaxWaiting ||
        this->isPlatformDown()) {
      this->reply(Event.Request, ClaimVerdict::Unavailable);
      return;
    }
    this->Log.Queue.push_back({Event.Request, this->Now, {}, {}});
  }

  void operator()(const ClaimOpDone &Event) {
    if (!this->Log.Op)
      return;
    const ClaimOp Op = std::move(*this->Log.Op);
    this->Log.Op.reset();
    if (std::exchange(this->Log.IsOpOutdated, false)) {
      this->dropView();
      return;
    }
    switch (Op.What) {
    case ClaimOp::Kind::List:
      return this->onListed(Op, Event);
    case ClaimOp::Kind::Get:
      return this->onFetched(Op, Event);
    case ClaimOp::Kind::Put:
      return this->onWritten(Op, Event);
    case ClaimOp::Kind::Remove:
      return this->onRemoved(Op, Event);
    }
  }

  void operator()(const HolderAnswered &Event) {
    for (ClaimLog::Waiting &Each : this->Log.Queue)
      if (Each.QueriedHolder == Event.Holder)
        Each.HolderAnswer = Event.State;
  }

  void operator()(const ClaimEraChanged &) {
    this->Log.DecidesFrom = this->Now + this->Log.Settings.RecoveryDelay;
    this->Log.NeedsRecovery = true;
    this->Log.IsOpOutdated = this->Log.Op.has_value();
    // The platform has answered, so lost records are appended without delay.
    this->succeeded();
    this->dropView();
  }

  void operator()(const ClaimWake &) {}

  /// Makes the progress that is possible after each event.
  void advance() {
    this->expire();
    this->forgetRecent();
    if (!this->Log.Op && this->Now >= this->Log.RetryAt)
      this->startOp();
    this->scheduleWake();
  }

  ClaimActions Actions;

private:
  void reply(const ClaimRequest &To, ClaimVerdict Verdict) {
    this->Actions.Replies.push_back({To.Id, Verdict, {}});
  }

  // Restorations of the platform.

  /// Returns the number of the first segment of the era.
  std::uint64_t firstOfEra() const {
    return this->Log.Era > 0 ? (this->Log.Era - 1) * SegmentsPerEra + 1 : 1;
  }

  /// Returns whether the newest record of \p Key is in a segment of an earlier
  /// era. Other gateways may have read that segment before it was written.
  bool isOfEarlierEra(const std::string &Key) const {
    const auto It = this->Log.SealedIndex.find(Key);
    return !this->Log.CurrentIndex.contains(Key) &&
           It != this->Log.SealedIndex.end() && It->second < this->firstOfEra();
  }

  /// Drops all that was read in an earlier era, and refuses the claims whose
  /// durability depends on it.
  void dropView() {
    ClaimLog &Log = this->Log;
    for (ClaimLog::Grouped &Each : Log.Group)
      Log.Queue.push_back(std::move(Each.From));
    Log.Group.clear();
    std::erase_if(Log.Queue, [this](const ClaimLog::Waiting &Each) {
      if (Each.Request.Kind != ClaimRequestKind::Claim)
        return false;
      this->reply(Each.Request, ClaimVerdict::Unavailable);
      return true;
    });
    Log.Loaded = Log.NeedsCreate = false;
    Log.Segment = Log.Version = Log.LastSealed = 0;
    Log.Current = {};
    Log.CurrentBytes = 0;
    Log.CurrentIndex.clear();
    Log.SealedIndex.clear();
    Log.Sealed.clear();
    Log.Cache.clear();
    Log.Tail.reset();
  }

  void remember(const ClaimRecord &Record) {
    const std::size_t Bytes = sizeOf(Record);
    this->Log.Recent.push_back({Record, this->Now, Bytes});
    this->Log.RecentBytes += Bytes;
  }

  void forgetRecent() {
    ClaimLog &Log = this->Log;
    while (!Log.Recent.empty() &&
           (Log.RecentBytes > Log.Settings.MaxRecentBytes ||
            Log.Recent.front().Written + Log.Settings.RecoveryPeriod <=
                this->Now)) {
      Log.RecentBytes -= Log.Recent.front().Bytes;
      Log.Recent.pop_front();
    }
  }

  /// Returns whether \p Known, which was durable, is later than \p Found. A
  /// write that took effect after its era had ended may have added another
  /// record of the same generation, whose claim was refused.
  bool isLater(const ClaimRecord &Known, const ClaimRecord &Found) const {
    if (Known.Generation != Found.Generation)
      return Known.Generation > Found.Generation;
    return Known.Holder != Found.Holder && this->isOfEarlierEra(Known.Key);
  }

  /// Returns the remembered records that the view lacks.
  std::vector<ClaimRecord> lostRecords() const {
    std::map<std::string_view, const ClaimRecord *> Newest;
    for (const ClaimLog::RecentRecord &Each : this->Log.Recent)
      Newest[Each.Record.Key] = &Each.Record;
    std::vector<ClaimRecord> Result;
    for (const auto &[Key, Known] : Newest) {
      const Lookup Found = this->find(Known->Key, {});
      // A record that must be fetched was sealed after the view was read, so by
      // this gateway.
      if (Found.FetchSegment == 0 &&
          (!Found.Newest || this->isLater(*Known, *Found.Newest)))
        Result.push_back(*Known);
    }
    return Result;
  }

  /// Appends lost records; returns whether there are any.
  bool startRecovery() {
    const std::vector<ClaimRecord> Lost = this->lostRecords();
    if (Lost.empty())
      return false;
    ClaimSegment Next = this->Log.Current;
    std::size_t Bytes = this->Log.CurrentBytes;
    for (const ClaimRecord &Each : Lost) {
      if (Bytes >= this->Log.Settings.MaxGroupBytes)
        break;
      Bytes += sizeOf(Each);
      Next.Records.push_back(Each);
    }
    if (Bytes >= this->Log.Settings.SegmentBytes)
      Next.SealedMs = this->WallMs;
    log(LogLevel::Warn, "claims.restored",
        {{"range", std::to_string(this->Log.Range)},
         {"records", std::to_string(Lost.size())}});
    this->start(
        {ClaimOp::Kind::Put, this->Log.Segment, this->Log.Version, Next});
    return true;
  }

  // Platform failures.

  /// While the platform is down, one operation at a time probes it, and
  /// requests that arrive meanwhile are refused at once.
  bool isPlatformDown() const {
    return this->Log.Backoff > this->Log.Settings.MinBackoff &&
           (this->Now < this->Log.RetryAt || this->Log.Op);
  }

  void succeeded() {
    this->Log.Backoff = {};
    this->Log.RetryAt = {};
  }

  /// The first failure may be a brief overload of the platform, so the
  /// operation is retried. After the second one, all queued requests are
  /// refused at once.
  void failed() {
    const auto &Settings = this->Log.Settings;
    const bool First = this->Log.Backoff == Duration::zero();
    this->Log.Backoff =
        First ? Settings.MinBackoff
              : std::min(this->Log.Backoff * 2, Settings.MaxBackoff);
    this->Log.RetryAt = this->Now + this->Log.Backoff;
    if (First)
      return;
    for (const ClaimLog::Waiting &Each : this->Log.Queue)
      this->reply(Each.Request, ClaimVerdict::Unavailable);
    this->Log.Queue.clear();
  }

  void expire() {
    std::erase_if(this->Log.Queue, [this](const ClaimLog::Waiting &Each) {
      if (Each.Request.Deadline > this->Now)
        return false;
      this->reply(Each.Request, ClaimVerdict::Unavailable);
      return true;
    });
  }

  // Starting platform operations.

  void start(ClaimOp Op) {
    this->Log.OpStarted = this->Now;
    this->Actions.Op = Op;
    this->Log.Op = std::move(Op);
  }

  void startOp() {
    ClaimLog &Log = this->Log;
    Log.NeedsRecovery = Log.NeedsRecovery && !Log.Recent.empty();
    const bool HasWork = !Log.Queue.empty() || Log.NeedsRecovery;
    if (Log.NeedsCreate && HasWork) {
      this->start({ClaimOp::Kind::Put,
                   std::max(Log.LastSealed + 1, this->firstOfEra()),
                   0,
                   {}});
      return;
    }
    if (!HasWork) {
      if (Log.Loaded)
        this->startRetention();
      return;
    }
    if (!Log.Loaded) {
      this->startList(Log.LastSealed);
      return;
    }
    if (Log.NeedsRecovery && this->startRecovery())
      return;
    Log.NeedsRecovery = false;
    if (!Log.Queue.empty() && this->Now >= this->groupAt())
      this->decideGroup();
  }

  TimePoint groupAt() const {
    return std::max(
        {this->Log.NextWrite, this->Log.DecidesFrom,
         this->Log.Queue.front().Arrived + this->Log.Settings.GroupDelay});
  }

  void startList(std::uint64_t After) {
    this->Log.Tail.reset();
    this->Log.ListStarted = this->Now;
    this->start({ClaimOp::Kind::List, After, 0, {}});
  }

  void startRetention() {
    if (this->Log.Sealed.empty())
      return;
    const auto &[Segment, Info] = *this->Log.Sealed.begin();
    const auto RetentionMs = toMilliseconds(this->Log.Settings.Retention);
    if (Info.SealedMs + RetentionMs <= this->WallMs)
      this->start({ClaimOp::Kind::Remove, Segment, Info.Version, {}});
  }

  void scheduleWake() {
    const ClaimLog &Log = this->Log;
    if (Log.Op)
      return;
    if (Log.Queue.empty()) {
      if (Log.NeedsRecovery)
        this->Actions.WakeAt = std::max(Log.RetryAt, this->Now);
      return;
    }
    // Requests that wait for a holder's response need no timer before their
    // deadline.
    TimePoint At = TimePoint::max();
    for (const ClaimLog::Waiting &Each : Log.Queue) {
      At = std::min(At, Each.Request.Deadline);
      if (Each.QueriedHolder.empty() || Each.HolderAnswer)
        At = std::min(At, std::max(this->groupAt(), Log.RetryAt));
    }
    this->Actions.WakeAt = std::max(At, this->Now);
  }

  // Updating the view.

  void indexSealed(const ClaimOpDone::Object &Object) {
    std::set<std::string_view> RecentKeys;
    for (const ClaimLog::RecentRecord &Each : this->Log.Recent)
      RecentKeys.insert(Each.Record.Key);
    for (const ClaimRecord &Each : Object.Value.Records) {
      this->Log.SealedIndex[Each.Key] = Object.Segment;
      this->Log.Cache.erase(Each.Key);
      // Needed to find out which of the recent records are lost.
      if (RecentKeys.contains(Each.Key))
        this->Log.Cache[Each.Key] = Each;
    }
    // An unsealed segment below the highest one is empty or of an earlier era;
    // it counts as sealed now.
    this->Log.Sealed[Object.Segment] = {
        Object.Version,
        Object.Value.SealedMs ? Object.Value.SealedMs : this->WallMs};
    this->Log.LastSealed = std::max(this->Log.LastSealed, Object.Segment);
  }

  void forgetSegment(std::uint64_t Segment) {
    this->Log.Sealed.erase(Segment);
    this->Log.Cache.clear();
    std::erase_if(this->Log.SealedIndex, [Segment](const auto &Each) {
      return Each.second == Segment;
    });
  }

  void adoptCurrent(ClaimOpDone::Object Object) {
    ClaimLog &Log = this->Log;
    Log.Segment = Object.Segment;
    Log.Version = Object.Version;
    Log.Current = std::move(Object.Value);
    Log.CurrentBytes = 0;
    Log.CurrentIndex.clear();
    for (std::size_t I = 0; I < Log.Current.Records.size(); ++I) {
      Log.CurrentIndex[Log.Current.Records[I].Key] = I;
      Log.CurrentBytes += sizeOf(Log.Current.Records[I]);
    }
    Log.Loaded = true;
    Log.NeedsRecovery = true;
    Log.ViewAsOf = Log.ListStarted;
  }

  void onListed(const ClaimOp &Op, const ClaimOpDone &Event) {
    ClaimLog &Log = this->Log;
    if (Event.End != ClaimOpEnd::Ok) {
      this->failed();
      return;
    }
    this->succeeded();
    std::uint64_t Last = Op.Segment;
    for (const ClaimOpDone::Object &Each : Event.Objects) {
      if (Log.Tail)
        this->indexSealed(*Log.Tail);
      Log.Tail = Each;
      Last = Each.Segment;
    }
    if (Event.More && !Event.Objects.empty()) {
      this->start({ClaimOp::Kind::List, Last, 0, {}});
      return;
    }
    Log.Era = Event.Era;
    if (Log.Tail && Log.Tail->Value.SealedMs == 0 &&
        Log.Tail->Segment >= this->firstOfEra()) {
      this->adoptCurrent(std::move(*Log.Tail));
    } else {
      if (Log.Tail)
        this->indexSealed(*Log.Tail);
      Log.NeedsCreate = true;
    }
    Log.Tail.reset();
  }

  void onFetched(const ClaimOp &Op, const ClaimOpDone &Event) {
    if (Event.End == ClaimOpEnd::Refused) {
      // Another gateway removed the segment after its retention time.
      this->forgetSegment(Op.Segment);
      return;
    }
    if (Event.End != ClaimOpEnd::Ok || Event.Objects.empty()) {
      this->failed();
      return;
    }
    this->succeeded();
    std::set<std::string> Wanted;
    for (const ClaimLog::Waiting &Each : this->Log.Queue)
      Wanted.insert(Each.Request.Record.Key);
    if (this->Log.Cache.size() >= this->Log.Settings.MaxCachedRecords)
      this->Log.Cache.clear();
    for (const ClaimRecord &Each : Event.Objects[0].Value.Records) {
      const auto It = this->Log.SealedIndex.find(Each.Key);
      if (Wanted.contains(Each.Key) && It != this->Log.SealedIndex.end() &&
          It->second == Op.Segment)
        this->Log.Cache[Each.Key] = Each;
    }
  }

  void onWritten(const ClaimOp &Op, const ClaimOpDone &Event) {
    ClaimLog &Log = this->Log;
    auto Group = std::move(Log.Group);
    Log.Group.clear();
    if (Log.NeedsCreate) {
      // Whichever gateway created the segment, a read must show that it is the
      // highest: a segment of this number may have existed before and have been
      // removed by retention.
      Log.NeedsCreate = false;
      if (Event.End == ClaimOpEnd::Unavailable)
        this->failed();
      return;
    }
    if (Event.End == ClaimOpEnd::Ok) {
      this->succeeded();
      const std::size_t Old = Log.Current.Records.size();
      Log.Version = Event.Version;
      Log.Current = Op.Value;
      Log.ViewAsOf = Log.OpStarted;
      for (std::size_t I = Old; I < Log.Current.Records.size(); ++I) {
        Log.CurrentIndex[Log.Current.Records[I].Key] = I;
        Log.CurrentBytes += sizeOf(Log.Current.Records[I]);
      }
      for (const ClaimLog::Grouped &Each : Group) {
        if (Each.IsAppended)
          this->remember(Each.From.Request.Record);
        this->Actions.Replies.push_back(Each.Reply);
      }
      if (Log.Current.SealedMs != 0) {
        this->indexSealed({Log.Segment, Log.Version, Log.Current});
        Log.Loaded = false;
        Log.NeedsCreate = true;
      }
      return;
    }
    // The write failed or its outcome is unknown. All requests are decided
    // again after a read, which also shows whether the write took effect.
    for (auto It = Group.rbegin(); It != Group.rend(); ++It)
      Log.Queue.push_front(std::move(It->From));
    Log.Loaded = false;
    if (Event.End == ClaimOpEnd::Unavailable)
      this->failed();
  }

  void onRemoved(const ClaimOp &Op, const ClaimOpDone &Event) {
    if (Event.End == ClaimOpEnd::Unavailable ||
        Event.End == ClaimOpEnd::Unknown) {
      this->failed();
      return;
    }
    this->succeeded();
    this->forgetSegment(Op.Segment);
  }

  // Deciding.

  Lookup find(const std::string &Key,
              const std::vector<ClaimRecord> &Added) const {
    for (auto It = Added.rbegin(); It != Added.rend(); ++It)
      if (It->Key == Key)
        return {&*It, 0};
    const ClaimLog &Log = this->Log;
    if (const auto It = Log.CurrentIndex.find(Key);
        It != Log.CurrentIndex.end())
      return {&Log.Current.Records[It->second], 0};
    if (const auto It = Log.Cache.find(Key); It != Log.Cache.end())
      return {&It->second, 0};
    if (const auto It = Log.SealedIndex.find(Key); It != Log.SealedIndex.end())
      return {nullptr, It->second};
    return {};
  }

  /// Returns whether the view may lack records that were written before
  /// \p Each arrived, or that were appended again after a restoration.
  bool isViewOlder(const ClaimLog::Waiting &Each) const {
    return this->Log.ViewAsOf < std::max(Each.Arrived, this->Log.DecidesFrom);
  }

  /// The decision on one request.
  struct Decision {
    std::optional<ClaimVerdict> Verdict; ///< If empty, it stays in the queue.
    bool Append = false;  ///< The request's record must become durable first.
    bool Refresh = false; ///< The view must be read again first.
  };

  Decision decide(ClaimLog::Waiting &Each, const ClaimRecord *Newest) {
    const ClaimRecord &Own = Each.Request.Record;
    const bool IsOwn = Newest && Newest->Holder == Own.Holder;
    if (Each.Request.Kind != ClaimRequestKind::Claim) {
      if (IsOwn && (Newest->State == ClaimState::Claimed ||
                    this->isOfEarlierEra(Own.Key)))
        return {ClaimVerdict::Stored, true};
      // The claim of the holder is durable. If the view predates the request,
      // it may lack the claim because another gateway wrote it.
      if (!IsOwn && this->isViewOlder(Each))
        return {{}, false, /*Refresh=*/true};
      // The claim was lost in a restoration, and the call was sent.
      if (!Newest && Each.Request.Kind == ClaimRequestKind::Finish)
        return {ClaimVerdict::Stored, true};
      // A holder that releases has not sent the call, so if another request
      // holds the key by now, there is nothing to release.
      return {IsOwn || Each.Request.Kind == ClaimRequestKind::Release
                  ? ClaimVerdict::Stored
                  : ClaimVerdict::Superseded};
    }
    if (IsOwn) {
      // A duplicate message for the same claim.
      if (Newest->State != ClaimState::Claimed)
        return {ClaimVerdict::Unavailable};
      return {ClaimVerdict::Granted, this->isOfEarlierEra(Own.Key)};
    }
    if (!Newest) {
      const bool Full =
          this->Log.SealedIndex.size() + this->Log.CurrentIndex.size() >=
          this->Log.Settings.MaxIndexedKeys;
      if (Full)
        return {ClaimVerdict::Unavailable};
      return {ClaimVerdict::Granted, true};
    }
    if (Newest->State == ClaimState::Released)
      return {ClaimVerdict::Granted, true};
    if (Newest->State == ClaimState::Claimed)
      return this->decideHeld(Each, *Newest);
    if (Newest->Digest != Own.Digest)
      return {ClaimVerdict::Mismatch};
    return {Newest->Outcome.Ran ? ClaimVerdict::Ran : ClaimVerdict::MayHaveRun};
  }

  /// Decides on a claim of a key that another, unfinished request holds.
  Decision decideHeld(ClaimLog::Waiting &Each, const ClaimRecord &Newest) {
    if (Each.QueriedHolder != Newest.Holder) {
      Each.QueriedHolder = Newest.Holder;
      Each.HolderAnswer.reset();
      this->Actions.QueryHolders.insert(Newest.Holder);
    }
    if (!Each.HolderAnswer)
      return {};
    if (*Each.HolderAnswer == HolderState::NotHeld)
      // The append is conditional on the version of this view, so it fails if
      // the holder's outcome became durable after the view was read.
      return {ClaimVerdict::Granted, true};
    // The holder may have finished after this view was read.
    if (*Each.HolderAnswer != HolderState::Held && this->isViewOlder(Each))
      return {{}, false, /*Refresh=*/true};
    if (Newest.Digest != Each.Request.Record.Digest)
      return {ClaimVerdict::Mismatch};
    return {*Each.HolderAnswer == HolderState::Gone ? ClaimVerdict::MayHaveRun
                                                    : ClaimVerdict::InProgress};
  }

  void decideGroup() {
    ClaimLog &Log = this->Log;
    std::vector<ClaimRecord> Added;
    std::size_t AddedBytes = 0;
    std::vector<ClaimLog::Grouped> Group;
    std::deque<ClaimLog::Waiting> Later;
    std::uint64_t FetchSegment = 0;
    bool Refresh = false;
    for (ClaimLog::Waiting &Each : Log.Queue) {
      const Lookup Found = this->find(Each.Request.Record.Key, Added);
      if (Found.FetchSegment != 0) {
        FetchSegment = Found.FetchSegment;
        Later.push_back(std::move(Each));
        continue;
      }
      const Decision Made = AddedBytes < Log.Settings.MaxGroupBytes
                                ? this->decide(Each, Found.Newest)
                                : Decision{};
      Refresh = Refresh || Made.Refresh;
      if (!Made.Verdict) {
        Later.push_back(std::move(Each));
        continue;
      }
      ClaimReply Answer{Each.Request.Id, *Made.Verdict, {}};
      if (*Made.Verdict == ClaimVerdict::Ran)
        Answer.Outcome = Found.Newest->Outcome;
      if (Made.Append) {
        Each.Request.Record.Generation =
            Found.Newest ? Found.Newest->Generation + 1 : 1;
        Added.push_back(Each.Request.Record);
        AddedBytes += sizeOf(Added.back());
      } else if (const ClaimRecord *Durable =
                     this->find(Each.Request.Record.Key, {}).Newest;
                 Durable && Durable->Holder == Each.Request.Record.Holder) {
        // The reply to the write of this record was lost.
        this->remember(*Durable);
      }
      Group.push_back({std::move(Each), std::move(Answer), Made.Append});
    }
    Log.Queue = std::move(Later);
    if (!Added.empty()) {
      ClaimSegment Next = Log.Current;
      Next.Records.insert(Next.Records.end(), Added.begin(), Added.end());
      if (Log.CurrentBytes + AddedBytes >= Log.Settings.SegmentBytes)
        Next.SealedMs = this->WallMs;
      Log.Group = std::move(Group);
      Log.NextWrite = this->Now + Log.Settings.WriteInterval;
      this->start(
          {ClaimOp::Kind::Put, Log.Segment, Log.Version, std::move(Next)});
      return;
    }
    // Nothing to write: these replies depend only on durable records.
    for (const ClaimLog::Grouped &Each : Group)
      this->Actions.Replies.push_back(Each.Reply);
    if (FetchSegment != 0)
      this->start({ClaimOp::Kind::Get, FetchSegment, 0, {}});
    else if (Refresh)
      this->startList(Log.LastSealed);
  }

  ClaimLog &Log;
  TimePoint Now;
  std::int64_t WallMs;
};

} // namespace

ClaimActions apply(ClaimLog &Log, const ClaimEvent &Event,
                   const ClaimTime &Time) {
  Transition Step(Log, Time);
  std::visit(Step, Event);
  Step.advance();
  return std::move(Step.Actions);
}

} // namespace galenaroute
