#include "process/StatusExchange.h"

#include "process/Log.h"
#include "process/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace galenaroute {

/// Relays are used from MinEntriesForRelays entries on, until there are fewer
/// than MinEntriesToKeepRelays. The hysteresis keeps a fleet of about this size
/// from switching back and forth.
static constexpr std::size_t MinEntriesForRelays = 17;
static constexpr std::size_t MinEntriesToKeepRelays = 13;
/// Entries of a zone per relay. In each period, a relay receives and sends this
/// many messages, and one per other relay.
static constexpr std::size_t GroupSize = 32;
/// Short compared to the duration of a call.
static constexpr auto StatusPeriod = std::chrono::milliseconds(100);
/// Direct exchange: the period grows with the number of entries that receive
/// each status.
static constexpr auto StatusPeriodPerEntry = std::chrono::milliseconds(3);
/// Relays exchange their sums less often the more relays there are, by one
/// period for every ten: traffic between zones is expensive.
static constexpr std::size_t RelaysPerRound = 10;
/// A status is valid for this many periods, so that a few may be lost.
static constexpr int StatusLifetimePeriods = 4;
/// An entry switches to another relay after this long without a digest.
static constexpr auto RelayTimeout = std::chrono::milliseconds(500);
/// How long a relay is avoided after a timeout. In a fleet of 300 entries,
/// gossip alone detects a dead entry only after 12 s.
static constexpr auto RelayBackoff = std::chrono::seconds(15);
/// One digest in this many lists the live entries.
static constexpr std::uint64_t RoundsPerAliveList = 3;
/// Recent statuses that a digest may still contain.
static constexpr std::size_t MaxSentStatuses = 32;
/// A new call is sent to all others at once if it has at least this many prompt
/// tokens per entry. Each message costs processor time at every receiver, and
/// short prompts occupy an engine for a few milliseconds only.
static constexpr std::size_t ImmediateTokensPerEntry = 25;
/// The limit with relays, which forward new calls in batches. An engine
/// processes about 100 prompt tokens per millisecond.
static constexpr std::uint32_t ImmediateTokens = 2000;
/// Time between two batches: a prompt of 2,000 tokens takes 20 ms to process.
/// In a large fleet there is always another batch, and each reaches every
/// entry.
static constexpr auto MinFlushPeriod = std::chrono::milliseconds(20);
static constexpr auto FlushPeriodPerEntry = std::chrono::microseconds(150);
/// Source name of the use of the whole fleet, so that a new digest replaces the
/// last one also when it comes from another relay.
static constexpr std::string_view FleetName = "relay";

std::vector<const EntryRecord *>
chooseRelays(std::span<const EntryRecord *const> Zone) {
  std::vector<const EntryRecord *> Result(Zone.begin(), Zone.end());
  const std::size_t Groups = (Result.size() + GroupSize - 1) / GroupSize;
  // At least two, so that another relay is known if the first one fails.
  const std::size_t Wanted =
      std::min(Result.size(), std::max<std::size_t>(2, Groups));
  std::partial_sort(
      Result.begin(), Result.begin() + static_cast<std::ptrdiff_t>(Wanted),
      Result.end(), [](const EntryRecord *A, const EntryRecord *B) {
        const auto RankOf = [](const EntryRecord &Each) {
          return std::pair(Each.Capacity, rendezvousWeight("relay", Each.Id));
        };
        return RankOf(*A) > RankOf(*B);
      });
  Result.resize(Wanted);
  return Result;
}

Duration StatusExchange::period() const {
  if (this->IsLarge)
    return StatusPeriod;
  return std::max<Duration>(StatusPeriod,
                            StatusPeriodPerEntry *
                                static_cast<std::int64_t>(this->Count));
}

Duration StatusExchange::maxAge() const {
  return this->period() * StatusLifetimePeriods;
}

Duration StatusExchange::flushPeriod() const {
  return std::max<Duration>(MinFlushPeriod,
                            FlushPeriodPerEntry *
                                static_cast<std::int64_t>(this->Count));
}

void StatusExchange::update(TimePoint Now) {
  std::map<std::string_view, std::vector<const EntryRecord *>> ByZone;
  const EntryRecord &Self = this->Entries.self();
  this->Count = 1;
  if (!Self.IsLeaving)
    ByZone[Self.Zone].push_back(&Self);
  this->Entries.forEachAlive(Now, [&](const EntryRecord &Each) {
    ++this->Count;
    if (!this->AvoidUntil.contains(Each.Id))
      ByZone[Each.Zone].push_back(&Each);
  });
  this->IsLarge = this->Count >= (this->IsLarge ? MinEntriesToKeepRelays
                                                : MinEntriesForRelays);
  this->ZoneRelays.clear();
  this->OtherRelays.clear();
  this->IsElected = false;
  if (!this->IsLarge)
    return;
  for (const auto &[Zone, Members] : ByZone)
    for (const EntryRecord *Each : chooseRelays(Members)) {
      if (Zone == Self.Zone)
        this->ZoneRelays.push_back({Each->Id, Each->Gossip});
      if (Each == &Self)
        this->IsElected = true;
      else
        this->OtherRelays.push_back(Each->Id);
    }
  // Entries prefer relays in different orders, which divides a zone into
  // groups.
  std::sort(this->ZoneRelays.begin(), this->ZoneRelays.end(),
            [&](const Candidate &A, const Candidate &B) {
              return rendezvousWeight(Self.Id, A.Id) >
                     rendezvousWeight(Self.Id, B.Id);
            });
}

bool StatusExchange::isRelay() const {
  return this->IsElected || this->Relay.hasMembers();
}

/// Returns the relay to use, or null if there is none.
const StatusExchange::Candidate *StatusExchange::selectRelay(TimePoint Now) {
  std::erase_if(this->AvoidUntil,
                [&](const auto &Each) { return Now >= Each.second; });
  if (!this->CurrentRelay.empty() && Now - this->LastHeardAt > RelayTimeout) {
    log(LogLevel::Info, "relay.silent", {{"relay", this->CurrentRelay}});
    this->AvoidUntil[this->CurrentRelay] = Now + RelayBackoff;
    this->CurrentRelay.clear();
    // Chooses another relay of the zone.
    this->update(Now);
  }
  const auto Kept = std::find_if(
      this->ZoneRelays.begin(), this->ZoneRelays.end(),
      [&](const Candidate &Each) { return Each.Id == this->CurrentRelay; });
  if (Kept != this->ZoneRelays.end())
    return &*Kept;
  if (this->ZoneRelays.empty()) {
    // All relays have timed out; they may be reachable again.
    this->AvoidUntil.clear();
    return nullptr;
  }
  this->CurrentRelay = this->ZoneRelays.front().Id;
  this->LastHeardAt = Now;
  return &this->ZoneRelays.front();
}

void StatusExchange::sendTo(std::string_view Id, const std::string &Bytes) {
  if (const EntryRecord *To = this->Entries.find(Id))
    this->Send(To->Gossip, Bytes);
}

void StatusExchange::sendToAll(const EntryStatus &Own, TimePoint Now) {
  const std::string Bytes = encodeGossip({.Status = Own});
  // An entry that is leaving still sends calls and may finish a rollout.
  this->Entries.forEachHeard(
      Now, [&](const EntryRecord &Each) { this->Send(Each.Gossip, Bytes); });
}

void StatusExchange::publish(EntryStatus Own, TimePoint Now) {
  Own.Sequence = ++this->Sequence;
  this->recordSent(Own.Sequence, Own.Use);
  this->SentBacklogs.emplace_back(Own.Sequence, Own.Backlog);
  if (this->SentBacklogs.size() > MaxSentStatuses)
    this->SentBacklogs.pop_front();
  if (!this->IsLarge) {
    this->sendToAll(Own, Now);
    return;
  }
  this->Relay.expire(Now, this->maxAge());
  Own.IsForRelay = true;
  if (this->isRelay()) {
    this->CurrentRelay.clear();
    this->Relay.updateMember(std::move(Own), Now);
    this->actAsRelay(Now);
    return;
  }
  if (const Candidate *To = this->selectRelay(Now))
    this->Send(To->Address, encodeGossip({.Status = Own}));
}

/// Returns the other relays: those that this entry considers relays, and those
/// that consider this entry one.
std::set<std::string> StatusExchange::peers() const {
  std::set<std::string> Result(this->OtherRelays.begin(),
                               this->OtherRelays.end());
  for (std::string &Each : this->Relay.peers())
    Result.insert(std::move(Each));
  return Result;
}

void StatusExchange::sendToMembers(const std::string &Bytes) {
  for (const std::string &Each : this->Relay.members())
    if (Each != this->Entries.self().Id)
      this->sendTo(Each, Bytes);
}

void StatusExchange::actAsRelay(TimePoint Now) {
  // The digests below include pending increments, which would be counted twice
  // if they were forwarded later.
  this->flush();
  ++this->Round;
  const std::string &Self = this->Entries.self().Id;
  const std::set<std::string> Peers = this->peers();
  if (this->Round % (1 + Peers.size() / RelaysPerRound) == 0) {
    StatusDigest Group = this->Relay.groupDigest(Self, Now);
    Group.LastSequences.clear();
    const std::string Bytes = encodeGossip({.Digest = std::move(Group)});
    for (const std::string &Each : Peers)
      this->sendTo(Each, Bytes);
  }
  StatusDigest Fleet = this->Relay.fleetDigest(Self, Now);
  this->apply(Fleet, Now);
  if (this->Round % RoundsPerAliveList != 0)
    Fleet.Alive.clear();
  this->sendToMembers(encodeGossip({.Digest = std::move(Fleet)}));
}

void StatusExchange::flush() {
  if (!this->hasPending())
    return;
  AddedUseBatch Batch;
  Batch.From = this->Entries.self().Id;
  Batch.Items = std::exchange(this->OwnAdded, {});
  if (!Batch.Items.empty()) {
    Batch.IsGroupOnly = true;
    const std::string Bytes = encodeGossip({.Added = Batch});
    for (const std::string &Each : this->peers())
      this->sendTo(Each, Bytes);
  }
  Batch.IsGroupOnly = false;
  Batch.Items.insert(Batch.Items.end(), this->OtherAdded.begin(),
                     this->OtherAdded.end());
  this->OtherAdded.clear();
  this->applyAdded(Batch.Items);
  this->sendToMembers(encodeGossip({.Added = std::move(Batch)}));
}

void StatusExchange::publishIncrement(const UseItem &Item,
                                      std::uint32_t TokensToRead,
                                      TimePoint Now) {
  EntryStatus Increment;
  Increment.From = this->Entries.self().Id;
  Increment.Use = {Item};
  Increment.IsIncremental = true;
  if (!this->IsLarge) {
    if (TokensToRead >= ImmediateTokensPerEntry * this->Count)
      this->sendToAll(Increment, Now);
    return;
  }
  if (TokensToRead < ImmediateTokens || this->SentStatuses.empty())
    return;
  Increment.IsForRelay = true;
  Increment.Sequence = ++this->Sequence;
  std::vector<UseItem> Own = this->SentStatuses.back().second;
  replaceItem(Own, Item);
  this->recordSent(Increment.Sequence, std::move(Own));
  if (this->isRelay())
    this->forwardIncrement(Increment);
  else if (!this->CurrentRelay.empty())
    this->sendTo(this->CurrentRelay, encodeGossip({.Status = Increment}));
}

void StatusExchange::recordSent(std::uint64_t Number,
                                std::vector<UseItem> Own) {
  this->SentStatuses.emplace_back(Number, std::move(Own));
  if (this->SentStatuses.size() > MaxSentStatuses)
    this->SentStatuses.pop_front();
}

void StatusExchange::forwardIncrement(const EntryStatus &Increment) {
  if (const auto Added = this->Relay.applyIncrement(Increment))
    this->OwnAdded.push_back(*Added);
}

void StatusExchange::applyAdded(std::span<const AddedUse> Items) {
  const std::uint32_t Self = entryKey(this->Entries.self().Id);
  for (const AddedUse &Each : Items)
    if (Each.Entry != Self)
      this->Events.OnAdded(std::string(FleetName), Each.Item);
}

void StatusExchange::receive(const AddedUseBatch &Batch, TimePoint Now) {
  if (Batch.IsGroupOnly) {
    this->Relay.applyAdded(Batch.From, Batch.Items);
    this->OtherAdded.insert(this->OtherAdded.end(), Batch.Items.begin(),
                            Batch.Items.end());
    return;
  }
  if (Batch.From != this->CurrentRelay)
    return;
  this->LastHeardAt = Now;
  this->applyAdded(Batch.Items);
}

void StatusExchange::receive(EntryStatus Status, TimePoint Now) {
  if (Status.IsIncremental && Status.IsForRelay) {
    this->forwardIncrement(Status);
    return;
  }
  if (Status.IsIncremental) {
    for (const UseItem &Each : Status.Use)
      this->Events.OnUpstreamUse(Status.From, Each);
    return;
  }
  if (Status.IsForRelay) {
    this->Relay.updateMember(std::move(Status), Now);
    return;
  }
  this->Events.OnWithheld(Status.Withheld);
  for (const auto &[Kind, Reported] : Status.Progress)
    this->Events.OnProgress(Kind, Reported);
  if (!Status.Customers.empty())
    this->Events.OnCustomers(customerReportName(Status), Status.Customers,
                             /*IsFleet=*/false);
  this->Events.OnBacklog(Status.From, std::move(Status.Backlog), 1);
  this->Events.OnUse(Status.From, std::move(Status.Use), 1);
}

void StatusExchange::receive(StatusDigest Digest, TimePoint Now) {
  if (Digest.IsGroupOnly) {
    this->Relay.updateGroup(std::move(Digest), Now);
    return;
  }
  // The previous relay of this entry may still send.
  if (Digest.From != this->CurrentRelay)
    return;
  this->LastHeardAt = Now;
  this->apply(Digest, Now);
}

void StatusExchange::apply(const StatusDigest &Digest, TimePoint Now) {
  this->Events.OnWithheld(Digest.Withheld);
  for (const auto &[Kind, Reported] : Digest.Progress)
    this->Events.OnProgress(Kind, Reported);
  this->Entries.markSeen(Digest.Alive, Now);
  if (!Digest.Customers.empty())
    this->Events.OnCustomers(std::string(FleetName), Digest.Customers,
                             /*IsFleet=*/true);
  this->Events.OnUse(std::string(FleetName), this->subtractOwn(Digest),
                     std::max<std::size_t>(1, Digest.Members) - 1);
  this->Events.OnBacklog(std::string(FleetName),
                         this->subtractOwnBacklog(Digest),
                         std::max<std::size_t>(1, Digest.Members) - 1);
}

/// Returns the backlog in \p Digest without the own part. Where it is not known
/// which own status the digest contains, the largest recent values are
/// subtracted, so that the others' backlog is not overestimated.
std::vector<BacklogItem>
StatusExchange::subtractOwnBacklog(const StatusDigest &Digest) const {
  std::vector<BacklogItem> Result = Digest.Backlog;
  if (Result.empty())
    return Result;
  const std::uint32_t Self = entryKey(this->Entries.self().Id);
  const auto Counted =
      std::find_if(Digest.LastSequences.begin(), Digest.LastSequences.end(),
                   [&](const auto &Each) { return Each.first == Self; });
  std::vector<BacklogItem> Own;
  for (const auto &[Number, Sent] : this->SentBacklogs) {
    if (Counted == Digest.LastSequences.end())
      raiseItems(Own, Sent);
    else if (Number <= Counted->second)
      // An increment has a number of its own and leaves the backlog as it was.
      Own = Sent;
  }
  subtractItems(Result, Own);
  return Result;
}

std::vector<UseItem>
StatusExchange::subtractOwn(const StatusDigest &Digest) const {
  std::vector<UseItem> Result = Digest.Use;
  const std::uint32_t Self = entryKey(this->Entries.self().Id);
  const auto Counted =
      std::find_if(Digest.LastSequences.begin(), Digest.LastSequences.end(),
                   [&](const auto &Each) { return Each.first == Self; });
  if (Counted == Digest.LastSequences.end())
    return Result;
  const auto Own = std::find_if(
      this->SentStatuses.begin(), this->SentStatuses.end(),
      [&](const auto &Each) { return Each.first == Counted->second; });
  if (Own == this->SentStatuses.end())
    return Result;
  std::unordered_map<std::uint32_t, const UpstreamUse *> ByKey;
  for (const UseItem &Each : Own->second)
    ByKey[Each.Key] = &Each.Use;
  for (UseItem &Each : Result)
    if (const auto It = ByKey.find(Each.Key); It != ByKey.end())
      Each.Use = saturatingDifference(Each.Use, *It->second);
  return Result;
}

} // namespace galenaroute
