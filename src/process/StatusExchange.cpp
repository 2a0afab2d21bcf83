#include "process/StatusExchange.h"

#include "process/Log.h"
#include "process/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace galenaroute {

/// From this many entries on statuses go over relays, and directly again below
/// the second number; the gap keeps a fleet of that size from switching.
static constexpr std::size_t RelaysFrom = 17;
static constexpr std::size_t DirectBelow = 13;
/// Entries of a zone for each of its relays. A relay takes in and sends this
/// many messages a period, and one for each other relay.
static constexpr std::size_t GroupSize = 32;
/// A small part of a run's time.
static constexpr auto StatusPeriod = std::chrono::milliseconds(100);
/// Where entries tell each other directly: longer where many hear a status.
static constexpr auto StatusPeriodPerEntry = std::chrono::milliseconds(3);
/// Relays exchange their sums in this many periods more for each ten of them,
/// since bytes between zones are dear.
static constexpr std::size_t RelaysPerRound = 10;
/// A status counts for this many periods, since messages get lost.
static constexpr int StatusRounds = 4;
/// Without a digest for this long an entry goes to the next relay.
static constexpr auto SilenceLimit = std::chrono::milliseconds(500);
/// How long a silent relay is not used again. Gossip alone tells of a dead
/// entry after 12 s in a fleet of 300.
static constexpr auto AvoidTime = std::chrono::seconds(15);
/// Who is alive is told in one digest of this many.
static constexpr std::uint64_t AliveRounds = 3;
/// Statuses whose sums may still come back.
static constexpr std::size_t MaxTold = 32;
/// A call is told to all others at once if it has at least this many prompt
/// tokens to read for each of them: every message takes processor time at its
/// receiver, and short prompts occupy an engine for a few milliseconds only.
static constexpr std::size_t ToldAtOnceTokensPerEntry = 25;
/// The same over relays, which pass on new calls in batches. An engine reads
/// about 100 tokens in a millisecond.
static constexpr std::uint32_t ToldAtOnceTokens = 2000;
/// Between two batches: a prompt of 2,000 tokens is read for 20 ms. In a large
/// fleet the batches never end, and each of them reaches every entry.
static constexpr auto LeastFlushPeriod = std::chrono::milliseconds(20);
static constexpr auto FlushPeriodPerEntry = std::chrono::microseconds(150);
/// Under this name the use of the whole fleet replaces what came before it,
/// whichever relay sent it.
static constexpr std::string_view FleetName = "relay";

std::vector<const EntryNews *>
chooseRelays(std::span<const EntryNews *const> Zone) {
  std::vector<const EntryNews *> Result(Zone.begin(), Zone.end());
  const std::size_t Groups = (Result.size() + GroupSize - 1) / GroupSize;
  // A second one is known where one group would do, should the first fail.
  const std::size_t Wanted =
      std::min(Result.size(), std::max<std::size_t>(2, Groups));
  std::partial_sort(
      Result.begin(), Result.begin() + static_cast<std::ptrdiff_t>(Wanted),
      Result.end(), [](const EntryNews *A, const EntryNews *B) {
        const auto RankOf = [](const EntryNews &Each) {
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
  return this->period() * StatusRounds;
}

Duration StatusExchange::flushPeriod() const {
  return std::max<Duration>(LeastFlushPeriod,
                            FlushPeriodPerEntry *
                                static_cast<std::int64_t>(this->Count));
}

void StatusExchange::update(TimePoint Now) {
  std::map<std::string_view, std::vector<const EntryNews *>> ByZone;
  const EntryNews &Self = this->Entries.self();
  this->Count = 1;
  if (!Self.IsLeaving)
    ByZone[Self.Zone].push_back(&Self);
  this->Entries.forEachAlive(Now, [&](const EntryNews &Each) {
    ++this->Count;
    if (!this->SilentUntil.contains(Each.Id))
      ByZone[Each.Zone].push_back(&Each);
  });
  this->IsLarge = this->Count >= (this->IsLarge ? DirectBelow : RelaysFrom);
  this->Relays.clear();
  this->OtherRelays.clear();
  this->IsChosen = false;
  if (!this->IsLarge)
    return;
  for (const auto &[Zone, Members] : ByZone)
    for (const EntryNews *Each : chooseRelays(Members)) {
      if (Zone == Self.Zone)
        this->Relays.push_back({Each->Id, Each->Gossip});
      if (Each == &Self)
        this->IsChosen = true;
      else
        this->OtherRelays.push_back(Each->Id);
    }
  // Each entry has an order of its own, which divides a zone into groups.
  std::sort(this->Relays.begin(), this->Relays.end(),
            [&](const Candidate &A, const Candidate &B) {
              return rendezvousWeight(Self.Id, A.Id) >
                     rendezvousWeight(Self.Id, B.Id);
            });
}

bool StatusExchange::isRelay() const {
  return this->IsChosen || this->Relay.hasMembers();
}

/// Returns the relay to use, or null for none.
const StatusExchange::Candidate *StatusExchange::ownRelay(TimePoint Now) {
  std::erase_if(this->SilentUntil,
                [&](const auto &Each) { return Now >= Each.second; });
  if (!this->Current.empty() && Now - this->HeardAt > SilenceLimit) {
    log(LogLevel::Info, "relay.silent", {{"relay", this->Current}});
    this->SilentUntil[this->Current] = Now + AvoidTime;
    this->Current.clear();
    // Others of the zone take its place.
    this->update(Now);
  }
  const auto Kept = std::find_if(
      this->Relays.begin(), this->Relays.end(),
      [&](const Candidate &Each) { return Each.Id == this->Current; });
  if (Kept != this->Relays.end())
    return &*Kept;
  if (this->Relays.empty()) {
    // All were silent; the paths to them may be back.
    this->SilentUntil.clear();
    return nullptr;
  }
  this->Current = this->Relays.front().Id;
  this->HeardAt = Now;
  return &this->Relays.front();
}

void StatusExchange::sendTo(std::string_view Id, const std::string &Bytes) {
  if (const EntryNews *To = this->Entries.find(Id))
    this->Send(To->Gossip, Bytes);
}

void StatusExchange::tellAll(const EntryStatus &Own, TimePoint Now) {
  const std::string Bytes = encodeGossip({.Status = Own});
  this->Entries.forEachAlive(
      Now, [&](const EntryNews &Each) { this->Send(Each.Gossip, Bytes); });
}

void StatusExchange::tell(EntryStatus Own, TimePoint Now) {
  Own.Sequence = ++this->Sequence;
  this->remember(Own.Sequence, Own.Use);
  if (!this->IsLarge) {
    this->tellAll(Own, Now);
    return;
  }
  this->Relay.expire(Now, this->maxAge());
  Own.IsForRelay = true;
  if (this->isRelay()) {
    this->Current.clear();
    this->Relay.noteStatus(std::move(Own), Now);
    this->actAsRelay(Now);
    return;
  }
  if (const Candidate *To = this->ownRelay(Now))
    this->Send(To->Address, encodeGossip({.Status = Own}));
}

/// Other relays: those that this entry takes for one, and those that take this
/// entry for one.
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
  // What waits is in the digests, and would be added to them once more.
  this->flush();
  ++this->Round;
  const std::string &Self = this->Entries.self().Id;
  const std::set<std::string> Peers = this->peers();
  if (this->Round % (1 + Peers.size() / RelaysPerRound) == 0) {
    StatusDigest Group = this->Relay.groupDigest(Self, Now);
    Group.Counted.clear();
    const std::string Bytes = encodeGossip({.Digest = std::move(Group)});
    for (const std::string &Each : Peers)
      this->sendTo(Each, Bytes);
  }
  StatusDigest Fleet = this->Relay.fleetDigest(Self, Now);
  this->take(Fleet, Now);
  if (this->Round % AliveRounds != 0)
    Fleet.Alive.clear();
  this->sendToMembers(encodeGossip({.Digest = std::move(Fleet)}));
}

void StatusExchange::flush() {
  if (!this->hasPending())
    return;
  AddedUseNews News;
  News.From = this->Entries.self().Id;
  News.Items = std::exchange(this->OwnAdded, {});
  if (!News.Items.empty()) {
    News.IsOfGroup = true;
    const std::string Bytes = encodeGossip({.Added = News});
    for (const std::string &Each : this->peers())
      this->sendTo(Each, Bytes);
  }
  News.IsOfGroup = false;
  News.Items.insert(News.Items.end(), this->OtherAdded.begin(),
                    this->OtherAdded.end());
  this->OtherAdded.clear();
  this->takeAdded(News.Items);
  this->sendToMembers(encodeGossip({.Added = std::move(News)}));
}

void StatusExchange::tellPart(const UseItem &Item, std::uint32_t TokensToRead,
                              TimePoint Now) {
  EntryStatus Part;
  Part.From = this->Entries.self().Id;
  Part.Use = {Item};
  Part.IsPart = true;
  if (!this->IsLarge) {
    if (TokensToRead >= ToldAtOnceTokensPerEntry * this->Count)
      this->tellAll(Part, Now);
    return;
  }
  if (TokensToRead < ToldAtOnceTokens || this->Told.empty())
    return;
  Part.IsForRelay = true;
  Part.Sequence = ++this->Sequence;
  std::vector<UseItem> Own = this->Told.back().second;
  replaceItem(Own, Item);
  this->remember(Part.Sequence, std::move(Own));
  if (this->isRelay())
    this->notePart(Part);
  else if (!this->Current.empty())
    this->sendTo(this->Current, encodeGossip({.Status = Part}));
}

void StatusExchange::remember(std::uint64_t Number, std::vector<UseItem> Own) {
  this->Told.emplace_back(Number, std::move(Own));
  if (this->Told.size() > MaxTold)
    this->Told.pop_front();
}

void StatusExchange::notePart(const EntryStatus &Part) {
  if (const auto Added = this->Relay.notePart(Part))
    this->OwnAdded.push_back(*Added);
}

void StatusExchange::takeAdded(std::span<const AddedUse> Items) {
  const std::uint32_t Self = entryKey(this->Entries.self().Id);
  for (const AddedUse &Each : Items)
    if (Each.Entry != Self)
      this->Events.OnAdded(std::string(FleetName), Each.Item);
}

void StatusExchange::receive(const AddedUseNews &News, TimePoint Now) {
  if (News.IsOfGroup) {
    this->Relay.noteAdded(News.From, News.Items);
    this->OtherAdded.insert(this->OtherAdded.end(), News.Items.begin(),
                            News.Items.end());
    return;
  }
  if (News.From != this->Current)
    return;
  this->HeardAt = Now;
  this->takeAdded(News.Items);
}

void StatusExchange::receive(EntryStatus Status, TimePoint Now) {
  if (Status.IsPart && Status.IsForRelay) {
    this->notePart(Status);
    return;
  }
  if (Status.IsPart) {
    for (const UseItem &Each : Status.Use)
      this->Events.OnPart(Status.From, Each);
    return;
  }
  if (Status.IsForRelay) {
    this->Relay.noteStatus(std::move(Status), Now);
    return;
  }
  this->Events.OnWithheld(Status.Withheld);
  for (const auto &[Kind, Told] : Status.Contacts)
    this->Events.OnContact(Kind, Told);
  this->Events.OnUse(Status.From, std::move(Status.Use), 1);
}

void StatusExchange::receive(StatusDigest Digest, TimePoint Now) {
  if (Digest.IsOfGroup) {
    this->Relay.noteGroup(std::move(Digest), Now);
    return;
  }
  // An earlier relay of this entry may still send.
  if (Digest.From != this->Current)
    return;
  this->HeardAt = Now;
  this->take(Digest, Now);
}

void StatusExchange::take(const StatusDigest &Digest, TimePoint Now) {
  this->Events.OnWithheld(Digest.Withheld);
  for (const auto &[Kind, Told] : Digest.Contacts)
    this->Events.OnContact(Kind, Told);
  this->Entries.noteSeen(Digest.Alive, Now);
  this->Events.OnUse(std::string(FleetName), this->withoutOwn(Digest),
                     std::max<std::size_t>(1, Digest.Members) - 1);
}

std::vector<UseItem>
StatusExchange::withoutOwn(const StatusDigest &Digest) const {
  std::vector<UseItem> Result = Digest.Use;
  const std::uint32_t Self = entryKey(this->Entries.self().Id);
  const auto Counted =
      std::find_if(Digest.Counted.begin(), Digest.Counted.end(),
                   [&](const auto &Each) { return Each.first == Self; });
  if (Counted == Digest.Counted.end())
    return Result;
  const auto Own =
      std::find_if(this->Told.begin(), this->Told.end(), [&](const auto &Each) {
        return Each.first == Counted->second;
      });
  if (Own == this->Told.end())
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
