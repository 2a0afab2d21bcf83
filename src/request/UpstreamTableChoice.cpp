#include "process/Rendezvous.h"
#include "request/UpstreamTable.h"

#include <algorithm>
#include <functional>

namespace galenaroute {

/// Factor on the own tokens in prefill without reports of the other gateways,
/// which prefer the same home engines but do not send at the same time.
static constexpr double PeerTokensFactor = 1.5;

/// Maximum services whose rate of calls is known. A configuration has a few
/// dozen.
static constexpr std::size_t MaxRates = 1024;

/// How long the calls of a process are limited after it stood still, which
/// bounds the time that they wait for this.
static constexpr Duration PacingTime = std::chrono::seconds(1);

/// Fraction of the stored tokens that a home engine is expected to fetch.
static constexpr double HomeMissShare = 0.3;

static std::uint32_t scaled(std::uint32_t Tokens, double Share) {
  return static_cast<std::uint32_t>(Tokens * Share);
}

UpstreamCandidate
UpstreamTable::candidateOf(const UpstreamEntry &Entry,
                           const std::optional<UpstreamUse> &PeerUse,
                           TimePoint Now) const {
  UpstreamCandidate Result;
  Result.IsSameZone = Entry.Registered.Zone == this->Settings.Zone;
  Result.OwnCalls = Entry.OwnCalls;
  Result.OwnCallsAtReport = Entry.OwnCallsAtReport;
  Result.Load = Entry.Load;
  Result.LoadAge = Now - Entry.ReportedAt;
  Result.Slots = Entry.Registered.Slots;
  if (PeerUse) {
    Result.TokensAhead =
        static_cast<double>(Entry.TokensAhead + PeerUse->TokensAhead);
    // Gateways report the use of engines only.
    if (Entry.WeightVersion)
      Result.PeerCalls = static_cast<int>(PeerUse->Calls);
  } else {
    Result.TokensAhead =
        static_cast<double>(Entry.TokensAhead) * PeerTokensFactor;
  }
  Result.FailureScore = this->failureScore(Entry, Now);
  if (Now < Entry.WarmUpEnd)
    Result.FailureScore += 0.25;
  const ConnectionCapacity Found = this->CapacityOf(Entry);
  Result.HasConnection = Found.HasIdle || Found.MayOpen;
  Result.NeedsNewConnection = !Found.HasIdle;
  return Result;
}

/// Returns the shared parts of the prompt as an engine caches them.
std::vector<UpstreamTable::PartKey> &
UpstreamTable::partsOf(SharedParts &Parts, const UpstreamEntry &Entry,
                       const UpstreamQuery &Query) {
  const std::uint64_t Weights = Entry.WeightVersion.value_or(0);
  const auto [It, IsNew] = Parts.try_emplace(Weights);
  if (!IsNew)
    return It->second;
  const std::string Scope = Query.ScopeOf(Weights);
  for (std::size_t I = 0; I + 1 < Query.Parts.size(); ++I) {
    std::string Key = partKey(Scope, Query.Parts[I].Id);
    const std::uint64_t Hash = partHash(Key);
    It->second.push_back({.Key = std::move(Key), .Hash = Hash});
  }
  return It->second;
}

/// Adds the prompt tokens to prefill and to fetch at one engine.
void UpstreamTable::addPromptCost(UpstreamCandidate &Candidate,
                                  const UpstreamEntry &Entry,
                                  const UpstreamQuery &Query,
                                  SharedParts &Parts) const {
  const std::vector<PartKey> &Shared = partsOf(Parts, Entry, Query);
  for (std::size_t I = 0; I < Query.Parts.size(); ++I) {
    const PromptPart &Part = Query.Parts[I];
    if (I >= Shared.size()) {
      Candidate.TokensToPrefill += Part.Tokens;
      continue;
    }
    if (Entry.Memory.holds(Shared[I].Hash))
      continue;
    if (const StoreView *Store = Query.StoredIn(Shared[I].Key, Part.Tokens)) {
      (Store->Zone == Entry.Registered.Zone ? Candidate.TokensToFetch
                                            : Candidate.TokensToFetchFar) +=
          Part.Tokens;
      continue;
    }
    Candidate.TokensToPrefill += Part.Tokens;
    if (Shared[I].IsCachedAnywhere)
      Candidate.TokensToRecompute += Part.Tokens;
  }
}

/// Returns whether an engine has enough memory for a call.
bool UpstreamTable::hasMemory(const UpstreamEntry &Entry,
                              const std::optional<UpstreamUse> &PeerUse,
                              const UpstreamQuery &Query, TimePoint Now) const {
  const auto All = static_cast<double>(Query.EngineTokens);
  if (PeerUse) {
    const std::uint64_t InUse = Entry.OwnTokens + PeerUse->Tokens;
    const std::uint64_t ToLeave =
        Query.Class ? tokensToLeave(this->estimateOf(Query.Service),
                                    this->callsAt(Entry, PeerUse, Now),
                                    *Query.Class, this->Settings.Room)
                    : 0;
    return InUse == 0 ||
           static_cast<double>(InUse + Query.CallTokens + ToLeave) <=
               All * this->Settings.MaxMemoryUse;
  }
  const double Share = All / (1 + static_cast<double>(this->GatewayCount - 1) *
                                      this->Settings.PeerMemoryShare);
  const double Limit = std::max(
      Share, Query.CallTokens + Share * this->Settings.MaxShareWithLargeCall);
  return Entry.OwnTokens == 0 ||
         static_cast<double>(Entry.OwnTokens + Query.CallTokens) <= Limit;
}

/// Returns whether an engine can accept a call without queueing it for long.
bool UpstreamTable::hasCapacity(const UpstreamEntry &Entry,
                                const std::optional<UpstreamUse> &PeerUse,
                                const UpstreamQuery &Query,
                                std::uint32_t TokensToPrefill,
                                TimePoint Now) const {
  if (Query.EngineTokens == 0)
    return true;
  const std::uint64_t Ahead =
      Entry.TokensAhead + (PeerUse ? PeerUse->TokensAhead : 0);
  const std::uint64_t MaxAhead = PeerUse ? this->Settings.MaxTotalTokensAhead
                                         : this->Settings.MaxTokensAhead;
  if (Query.Class
          ? !mayQueue(Ahead, *Query.Class, Query.Target, this->Settings.Prefill)
          : Ahead > 0 && Ahead + TokensToPrefill > MaxAhead)
    return false;
  const bool IsReportFresh =
      Entry.Load && Now - Entry.ReportedAt < this->Settings.MaxReportAge;
  if (Query.Class) {
    const EngineRoomSettings &Room = this->Settings.Room;
    const int MaxWaiting =
        *Query.Class == 0 ? Room.MaxWaitingUrgent : Room.MaxWaiting;
    const RoomEstimate &Estimate = this->estimateOf(Query.Service);
    const EngineCalls Calls = this->callsAt(Entry, PeerUse, Now);
    return !(IsReportFresh && Entry.Load->Waiting >= MaxWaiting) &&
           (!PeerUse || hasBudget(Estimate, Calls, *Query.Class)) &&
           hasSlot(Estimate, Calls, *Query.Class, Query.ToTarget, Now, Room) &&
           this->hasMemory(Entry, PeerUse, Query, Now);
  }
  const int MaxWaiting = Query.IsUrgent ? this->Settings.MaxWaitingUrgent
                                        : this->Settings.MaxWaiting;
  if (IsReportFresh && Entry.Load->Waiting > MaxWaiting)
    return false;
  if (PeerUse && static_cast<int>(PeerUse->Calls) + Entry.OwnCalls >=
                     Entry.Registered.Slots + MaxWaiting)
    return false;
  return this->hasMemory(Entry, PeerUse, Query, Now);
}

/// The engine with the highest rank is the home of a subject; engines in the
/// home zone rank first.
using HomeRank = std::pair<bool, std::uint64_t>;

static HomeRank homeRank(const UpstreamEntry &Entry,
                         const UpstreamQuery &Query) {
  return {Entry.Registered.Zone == Query.HomeZone,
          rendezvousWeight(Query.Subject, Entry.Registered.Id)};
}

template <typename Function>
void UpstreamTable::sortFirst(std::vector<const UpstreamEntry *> &Entries,
                              std::size_t From, std::size_t Count,
                              Function KeyOf) {
  std::vector<
      std::pair<decltype(KeyOf(*Entries.front())), const UpstreamEntry *>>
      Keyed;
  Keyed.reserve(Entries.size() - From);
  for (std::size_t I = From; I < Entries.size(); ++I)
    Keyed.emplace_back(KeyOf(*Entries[I]), Entries[I]);
  std::partial_sort(Keyed.begin(),
                    Keyed.begin() + static_cast<std::ptrdiff_t>(
                                        std::min(Count, Keyed.size())),
                    Keyed.end(), std::greater<>());
  for (std::size_t I = From; I < Entries.size(); ++I)
    Entries[I] = Keyed[I - From].second;
}

UpstreamTable::Selection
UpstreamTable::selectCandidates(const UpstreamQuery &Query, SharedParts &Parts,
                                TimePoint Now, Chosen &Choice) const {
  Selection Result;
  std::vector<const UpstreamEntry *> &All = Result.Candidates;
  std::vector<const UpstreamEntry *> Holders;
  for (const auto &[Id, Entry] : this->Entries) {
    if (Query.Parts.size() > 1 && Entry.Registered.Service == Query.Service) {
      bool HoldsAll = true;
      for (PartKey &Each : partsOf(Parts, Entry, Query)) {
        const bool IsHeld = Entry.Memory.holds(Each.Hash);
        Each.IsCachedAnywhere |= IsHeld;
        HoldsAll &= IsHeld;
      }
      if (HoldsAll)
        Holders.push_back(&Entry);
    }
    if (!this->isEligible(Entry, Query, Now))
      continue;
    if (!this->hasAllowance(Entry, Now))
      ++Choice.WithoutAllowance;
    else
      (this->PermissionOf(Entry).MayCall ? All : Choice.WithoutPermit)
          .push_back(&Entry);
  }
  Result.Upstreams = All.size();
  const std::size_t Ranked = this->Settings.RankedCandidates;
  const bool IsShort = Query.Class && Query.CallTokens <= Query.ShortCallTokens;
  const std::size_t Random = IsShort ? this->Settings.ShortCallCandidates
                                     : this->Settings.RandomCandidates;
  const std::size_t MaxCandidates = Ranked + Random;
  const bool IsLarge =
      Query.CallTokens >
      this->Settings.LargeCallShare * static_cast<double>(Query.EngineTokens);
  if (Query.Subject.empty() || All.size() <= MaxCandidates || IsLarge)
    return Result;
  sortFirst(All, 0, Ranked,
            [&](const UpstreamEntry &Entry) { return homeRank(Entry, Query); });
  Result.Ranked = Ranked;
  // Holders are found before the list is cut off, and are among All only if
  // they are eligible.
  std::size_t Selected = Ranked;
  const std::uint64_t Subset = this->Settings.SubsetSize == 0
                                   ? 0
                                   : All.size() / this->Settings.SubsetSize;
  const std::uint64_t Gateway = stableHash(this->Settings.GatewayId);
  const auto IsHolder = [&](const UpstreamEntry &Entry) {
    return std::find(Holders.begin(), Holders.end(), &Entry) != Holders.end();
  };
  if (!Holders.empty() && this->Settings.HolderCandidates > 0) {
    const auto FirstOther = std::partition(
        All.begin() + static_cast<std::ptrdiff_t>(Ranked), All.end(),
        [&](const UpstreamEntry *Each) { return IsHolder(*Each); });
    const auto Found =
        static_cast<std::size_t>(FirstOther - All.begin()) - Ranked;
    Result.Holders = std::min(Found, this->Settings.HolderCandidates);
    Selected += Result.Holders;
  }
  sortFirst(All, Selected, Random, [&](const UpstreamEntry &Entry) {
    const bool IsPreferred =
        Subset > 1 && rendezvousWeight(Gateway, Entry.UseKey) % Subset == 0;
    return std::pair(IsPreferred,
                     (Entry.UseKey ^ Query.Draw) * 0x9e3779b97f4a7c15);
  });
  All.resize(std::min(All.size(), Selected + Random));
  return Result;
}

/// Returns the cost weights of calls whose work ahead is counted by
/// prefillWork().
static UpstreamChoiceSettings
withPrefillTimes(const UpstreamTableSettings &Settings) {
  UpstreamChoiceSettings Result = Settings.Choice;
  Result.PrefillTokenMs = Settings.Prefill.TokenMs;
  Result.FetchTokenMs =
      std::max(Result.FetchTokenMs,
               Settings.Prefill.TokenMs * Settings.Prefill.FetchShare);
  Result.FetchFarTokenMs =
      std::max(Result.FetchFarTokenMs, Result.FetchTokenMs);
  return Result;
}

std::optional<double> UpstreamTable::callsPerUpstream(std::string_view Service,
                                                      std::size_t Upstreams,
                                                      TimePoint Now) const {
  const auto Found = this->Rates.find(Service);
  if (Found == this->Rates.end() || Upstreams == 0)
    return std::nullopt;
  return Found->second.Rate.perSecond(Now) *
         static_cast<double>(this->GatewayCount) /
         static_cast<double>(Upstreams);
}

bool UpstreamTable::isRateNew(std::string_view Service, TimePoint Now) const {
  const auto Found = this->Rates.find(Service);
  return this->isLargeFleet() && Found != this->Rates.end() &&
         Found->second.Rate.isNew(Now);
}

int UpstreamTable::ownCallsOf(std::string_view Service) const {
  int Result = 0;
  for (const auto &[Id, Entry] : this->Entries)
    if (Entry.Registered.Service == Service)
      Result += Entry.OwnCalls;
  return Result;
}

bool UpstreamTable::isPaced(const UpstreamQuery &Query,
                            std::span<const UpstreamEntry *const> Candidates,
                            TimePoint Now) const {
  if (!this->Settings.DividesCalls || !this->isLargeFleet() ||
      Query.EngineTokens > 0)
    return false;
  const auto Found = this->Rates.find(Query.Service);
  if (Found == this->Rates.end() || Now >= Found->second.PacedUntil)
    return false;
  double Slots = 0;
  for (const UpstreamEntry *Each : Candidates)
    Slots += Each->Registered.Slots;
  return this->ownCallsOf(Query.Service) >=
         maxCallsAfterStandstill(Found->second.CallsBeforePacing, Slots,
                                 this->GatewayCount);
}

/// Returns the mean calls in flight at a candidate, by the last reports.
static double meanRuns(std::span<const UpstreamCandidate> Candidates) {
  double Sum = 0;
  for (const UpstreamCandidate &Each : Candidates)
    Sum += Each.Load ? std::max(Each.OwnCalls,
                                Each.Load->Running + Each.Load->Waiting)
                     : Each.OwnCalls;
  return Sum / static_cast<double>(std::max<std::size_t>(1, Candidates.size()));
}

UpstreamTable::Chosen UpstreamTable::choose(const UpstreamQuery &Query,
                                            TimePoint Now) const {
  const UpstreamEntry *Home = this->home(Query);
  std::vector<const UpstreamEntry *> Eligible;
  std::vector<UpstreamCandidate> Candidates;
  SharedParts Parts;
  Chosen Result;
  const Selection Selected = this->selectCandidates(Query, Parts, Now, Result);
  if (this->isPaced(Query, Selected.Candidates, Now))
    return Result;
  for (std::size_t I = 0; I < Selected.Candidates.size(); ++I) {
    const UpstreamEntry &Entry = *Selected.Candidates[I];
    const auto PeerUse = this->peerUseAt(Entry);
    UpstreamCandidate Candidate = this->candidateOf(Entry, PeerUse, Now);
    Candidate.IsHome = !Home || &Entry == Home;
    Candidate.Rank = std::min(I, Selected.Ranked);
    Candidate.Kind = choiceKind(Home && &Entry == Home, I, Selected.Ranked,
                                Selected.Holders);
    if (!Query.Parts.empty())
      this->addPromptCost(Candidate, Entry, Query, Parts);
    if (&Entry == Home) {
      // The other gateways send prompts of this subject there, too, so that
      // most parts are expected to be cached.
      Candidate.TokensToFetch = scaled(Candidate.TokensToFetch, HomeMissShare);
      Candidate.TokensToFetchFar =
          scaled(Candidate.TokensToFetchFar, HomeMissShare);
    }
    if (!this->hasCapacity(Entry, PeerUse, Query, Candidate.TokensToPrefill,
                           Now))
      continue;
    Candidate.HasOldWeights = Query.NewestWeightVersion &&
                              Entry.WeightVersion &&
                              *Entry.WeightVersion < *Query.NewestWeightVersion;
    Eligible.push_back(&Entry);
    Candidates.push_back(Candidate);
  }
  const UpstreamChoiceSettings Choice =
      Query.Class ? withPrefillTimes(this->Settings) : this->Settings.Choice;
  std::optional<std::size_t> Best;
  if (this->Settings.DividesCalls) {
    ageReports(Candidates, {.CallsPerSecond = this->callsPerUpstream(
                                Query.Service, Selected.Upstreams, Now),
                            .IsNew = this->isRateNew(Query.Service, Now),
                            .MeanRuns = meanRuns(Candidates),
                            .Gateways = this->GatewayCount,
                            .PeerUseAge = this->Settings.PeerUseAge});
    Result.Shares = candidateShares(Candidates, Choice);
    Result.Keys.reserve(Eligible.size());
    for (const UpstreamEntry *Each : Eligible)
      Result.Keys.push_back(Each->UseKey);
    Best = this->Credits.best(Result.Keys, Result.Shares);
  } else {
    Best = chooseUpstream(Candidates, Choice);
  }
  if (Best) {
    const UpstreamCandidate &Taken = Candidates[*Best];
    Result.Index = *Best;
    Result.Entry = Eligible[*Best];
    Result.Kind = Taken.Kind;
    if (Taken.Kind == ChoiceKind::Home || Taken.Kind == ChoiceKind::Ranked)
      Result.Rank = Taken.Rank;
    Result.EstimatedCalls = expectedRuns(Taken, Choice);
    Result.TokensToPrefill = Taken.TokensToPrefill;
    Result.Work =
        Query.Class ? prefillWork(Taken.TokensToPrefill,
                                  Taken.TokensToFetch + Taken.TokensToFetchFar,
                                  this->Settings.Prefill)
                    : Taken.TokensToPrefill;
  }
  return Result;
}

void UpstreamTable::noteChoice(const Chosen &Choice, std::string_view Service,
                               TimePoint Now) {
  if (!Choice.Shares.empty())
    this->Credits.note(Choice.Keys, Choice.Shares, Choice.Index);
  auto Found = this->Rates.find(Service);
  if (Found == this->Rates.end()) {
    if (this->Rates.size() >= MaxRates)
      this->Rates.clear();
    Found = this->Rates.try_emplace(std::string(Service)).first;
  }
  ServiceSends &Sends = Found->second;
  if (Sends.Rate.isInterrupted(Now)) {
    Sends.PacedUntil = Now + PacingTime;
    Sends.CallsBeforePacing = this->ownCallsOf(Service);
  }
  Sends.Rate.add(Now);
}

const UpstreamEntry *UpstreamTable::home(const UpstreamQuery &Query) const {
  if (Query.Subject.empty())
    return nullptr;
  const UpstreamEntry *Best = nullptr;
  HomeRank BestRank;
  for (const auto &[Id, Entry] : this->Entries) {
    if (Entry.Registered.Service != Query.Service || Entry.isLeaving() ||
        this->isEvacuated(Entry))
      continue;
    const HomeRank Rank = homeRank(Entry, Query);
    if (!Best || Rank > BestRank) {
      Best = &Entry;
      BestRank = Rank;
    }
  }
  return Best;
}

} // namespace galenaroute
