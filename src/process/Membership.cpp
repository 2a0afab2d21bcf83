#include "process/Membership.h"

#include "process/ErrorKind.h"
#include "process/Rendezvous.h"

#include <algorithm>

namespace galenaroute {

using nlohmann::json;

namespace {

/// Applies one event; holds the state that all handlers need.
class Transition {
public:
  Transition(Membership &State, TimePoint Now) : State(State), Now(Now) {}

  void operator()(const SeedsKnown &Event) {
    this->State.Seeds = Event.Addresses;
    this->State.NextProbe = {};
  }

  void operator()(const VmsListed &Event) {
    std::set<SocketAddress> Leaving;
    this->State.Listed.clear();
    for (const VmRecord &Each : Event.Vms) {
      if (Each.Role != "entry")
        continue;
      if (this->State.Listed.size() < this->State.Settings.MaxMembers)
        this->State.Listed.push_back(Each.Address);
      if (Each.Leaving)
        Leaving.insert(Each.Address);
    }
    (*this)(LeavingListed{std::move(Leaving)});
  }

  void operator()(const LeavingListed &Event) {
    if (Event.Entries != this->State.ListedLeaving)
      this->Actions.MembersChanged = true;
    this->State.ListedLeaving = Event.Entries;
  }

  void operator()(const LinkOpened &Event) {
    this->merge(Event.From);
    const auto It = this->State.Members.find(Event.From.Id);
    if (It == this->State.Members.end())
      return;
    It->second.Linked = true;
    It->second.FailedConnects = 0;
    this->sendAll(Event.From.Id);
  }

  void operator()(const LinkLost &Event) {
    Member *Lost = this->find(Event.Id);
    if (!Lost)
      return;
    Lost->Linked = false;
    // The link may have failed rather than the peer; a new connection shows
    // which.
    if (Lost->Info.State == MemberState::Alive)
      this->connect(*Lost);
  }

  void operator()(const LinkReleased &Event) {
    if (Member *Idle = this->find(Event.Id))
      Idle->Linked = false;
  }

  void operator()(const ConnectFailed &Event) {
    Member *Failed = this->find(Event.Id);
    if (!Failed || Failed->Linked)
      return;
    const auto &Settings = this->State.Settings;
    const int Doublings = std::min(Failed->FailedConnects++, 10);
    Failed->NextConnect =
        this->Now + std::min(Settings.MaxReconnectDelay,
                             Settings.ReconnectDelay * (1 << Doublings));
    if (Failed->Info.State == MemberState::Alive)
      this->setState(*Failed, MemberState::Suspect);
  }

  void operator()(const GossipReceived &Event) {
    for (const MemberInfo &Each : Event.Records)
      this->merge(Each);
  }

  void operator()(const LoadReported &Event) {
    if (Member *Known = this->find(Event.Id))
      Known->Load = Event.Load;
  }

  void operator()(const SelfLeaving &) {
    if (this->State.Self.Leaving)
      return;
    this->State.Self.Leaving = true;
    this->markChanged(this->State.Self.Id);
    this->flushGossip();
  }

  void operator()(const MembershipTick &) {
    this->expire();
    for (const std::string &Id : neighbours(this->State)) {
      Member &Each = this->State.Members.at(Id);
      if (!Each.Linked && this->Now >= Each.NextConnect)
        this->connect(Each);
    }
    this->probe();
    this->flushGossip();
  }

  MembershipActions Actions;

private:
  Member *find(const std::string &Id) {
    const auto It = this->State.Members.find(Id);
    return It == this->State.Members.end() ? nullptr : &It->second;
  }

  void markChanged(const std::string &Id) {
    this->State.Changed.insert(Id);
    this->Actions.MembersChanged = true;
  }

  void setState(Member &Subject, MemberState To) {
    Subject.Info.State = To;
    Subject.Since = this->Now;
    this->markChanged(Subject.Info.Id);
  }

  void connect(Member &To) {
    // Allows one attempt at a time; its failure sets the backoff.
    To.NextConnect = this->Now + this->State.Settings.MaxReconnectDelay;
    this->Actions.Connects.push_back({To.Info.Id, To.Info.PeerAddress});
  }

  void merge(const MemberInfo &Record) {
    if (Record.Id == this->State.Self.Id) {
      this->refute(Record);
      return;
    }
    auto It = this->State.Members.find(Record.Id);
    if (It == this->State.Members.end()) {
      if (this->State.Members.size() >= this->State.Settings.MaxMembers)
        return;
      It = this->State.Members.emplace(Record.Id, Member{Record, this->Now})
               .first;
      this->markChanged(Record.Id);
    } else if (!this->update(It->second, Record)) {
      return;
    }
    if (Record.State != MemberState::Dead)
      this->resolveAddress(It->second);
  }

  /// Merges \p Record and returns whether it changed \p Known.
  bool update(Member &Known, const MemberInfo &Record) {
    MemberInfo Next = Known.Info;
    if (Record.Incarnation > Known.Info.Incarnation) {
      Next = Record;
    } else if (Record.Incarnation == Known.Info.Incarnation) {
      Next.State = std::max(Next.State, Record.State);
      Next.Leaving |= Record.Leaving;
    }
    if (Next == Known.Info)
      return false;
    if (Next.State != Known.Info.State)
      Known.Since = this->Now;
    Known.Info = std::move(Next);
    this->markChanged(Known.Info.Id);
    return true;
  }

  /// Raises the own incarnation if another daemon has a wrong or stale record
  /// of this one.
  void refute(const MemberInfo &Record) {
    MemberInfo &Self = this->State.Self;
    if (Record.Incarnation < Self.Incarnation ||
        (Record.Incarnation == Self.Incarnation &&
         Record.State == MemberState::Alive &&
         (Self.Leaving || !Record.Leaving)))
      return;
    Self.Incarnation = Record.Incarnation + 1;
    this->markChanged(Self.Id);
  }

  /// Of two ids at one address, the process with the higher incarnation was
  /// started later and replaces the other, as after a restart under a new id.
  void resolveAddress(Member &Subject) {
    MemberInfo &Self = this->State.Self;
    if (Subject.Info.PeerAddress == Self.PeerAddress) {
      if (Subject.Info.Incarnation >= Self.Incarnation) {
        Self.Incarnation = Subject.Info.Incarnation + 1;
        this->markChanged(Self.Id);
      }
      this->setState(Subject, MemberState::Dead);
      return;
    }
    for (auto &[Id, Other] : this->State.Members) {
      if (Id == Subject.Info.Id || Other.Info.State == MemberState::Dead ||
          Other.Info.PeerAddress != Subject.Info.PeerAddress)
        continue;
      const bool SubjectIsYounger =
          std::tie(Subject.Info.Incarnation, Subject.Info.Id) >
          std::tie(Other.Info.Incarnation, Id);
      this->setState(SubjectIsYounger ? Other : Subject, MemberState::Dead);
      if (!SubjectIsYounger)
        return;
    }
  }

  void expire() {
    const auto &Settings = this->State.Settings;
    for (auto It = this->State.Members.begin();
         It != this->State.Members.end();) {
      Member &Each = It->second;
      if (Each.Info.State == MemberState::Suspect &&
          this->Now - Each.Since >= Settings.SuspectTimeout)
        this->setState(Each, MemberState::Dead);
      if (Each.Info.State == MemberState::Dead && !Each.Linked &&
          this->Now - Each.Since >= Settings.DeadRetention)
        It = this->State.Members.erase(It);
      else
        ++It;
    }
  }

  /// Probes addresses without a known live member: seeds, new VMs, and dead
  /// members, which may only have been partitioned.
  void probe() {
    if (this->Now < this->State.NextProbe)
      return;
    std::set<SocketAddress> Candidates(this->State.Seeds.begin(),
                                       this->State.Seeds.end());
    Candidates.insert(this->State.Listed.begin(), this->State.Listed.end());
    for (const auto &[Id, Each] : this->State.Members)
      if (Each.Info.State == MemberState::Dead)
        Candidates.insert(Each.Info.PeerAddress);
    Candidates.erase(this->State.Self.PeerAddress);
    bool Isolated = true;
    for (const auto &[Id, Each] : this->State.Members) {
      if (Each.Info.State == MemberState::Dead)
        continue;
      Candidates.erase(Each.Info.PeerAddress);
      Isolated = Isolated && !Each.Linked;
    }
    const auto &Settings = this->State.Settings;
    this->State.NextProbe = this->Now + (Isolated ? Settings.IsolatedProbePeriod
                                                  : Settings.ProbePeriod);
    if (Candidates.empty())
      return;
    // A daemon without links tries several addresses at once, so that it joins
    // quickly although some seeds may be down.
    const std::size_t Count =
        std::min(Candidates.size(), std::size_t{Isolated ? 4U : 1U});
    for (std::size_t I = 0; I < Count; ++I) {
      const std::size_t Index = this->State.ProbeCursor++ % Candidates.size();
      this->Actions.Connects.push_back(
          {"",
           *std::next(Candidates.begin(), static_cast<std::ptrdiff_t>(Index))});
    }
  }

  MemberInfo recordOf(const std::string &Id) {
    return Id == this->State.Self.Id ? this->State.Self
                                     : this->State.Members.at(Id).Info;
  }

  void flushGossip() {
    auto &Changed = this->State.Changed;
    std::vector<MemberInfo> Records;
    // The own record goes first because it refutes suspicions.
    if (Changed.erase(this->State.Self.Id) > 0)
      Records.push_back(this->State.Self);
    while (!Changed.empty() &&
           Records.size() < this->State.Settings.MaxGossipItems) {
      const std::string Id = *Changed.begin();
      Changed.erase(Changed.begin());
      if (this->find(Id))
        Records.push_back(this->recordOf(Id));
    }
    if (Records.empty())
      return;
    for (const auto &[Id, Each] : this->State.Members)
      if (Each.Linked)
        this->Actions.Gossips.push_back({Id, Records});
  }

  /// Sends all records to \p To in messages of bounded size.
  void sendAll(const std::string &To) {
    std::vector<MemberInfo> Records{this->State.Self};
    for (const auto &[Id, Each] : this->State.Members) {
      if (Records.size() >= this->State.Settings.MaxGossipItems) {
        this->Actions.Gossips.push_back({To, std::move(Records)});
        Records.clear();
      }
      Records.push_back(Each.Info);
    }
    this->Actions.Gossips.push_back({To, std::move(Records)});
  }

  Membership &State;
  TimePoint Now;
};

/// Returns the weight of a pair. It is the same from both ends, so the choices
/// of both overlap and fewer links are needed.
std::uint64_t pairWeight(const std::string &A, const std::string &B) {
  return A < B ? rendezvousWeight(A, B) : rendezvousWeight(B, A);
}

} // namespace

MembershipActions apply(Membership &State, const MembershipEvent &Event,
                        TimePoint Now) {
  Transition Step(State, Now);
  std::visit(Step, Event);
  return std::move(Step.Actions);
}

std::vector<std::string> neighbours(const Membership &State) {
  std::vector<std::pair<std::uint64_t, const MemberInfo *>> Ranked;
  for (const auto &[Id, Each] : State.Members)
    if (Each.Info.State != MemberState::Dead)
      Ranked.emplace_back(pairWeight(State.Self.Id, Id), &Each.Info);
  std::sort(Ranked.rbegin(), Ranked.rend());

  std::set<std::string> Chosen;
  std::set<std::string> Zones;
  std::size_t InZone = 0;
  for (const auto &[Weight, Info] : Ranked) {
    if (Info->Zone == State.Self.Zone) {
      if (InZone < State.Settings.ZoneNeighbours) {
        ++InZone;
        Chosen.insert(Info->Id);
      }
    } else if (Zones.size() < State.Settings.OtherZoneNeighbours &&
               Zones.insert(Info->Zone).second) {
      Chosen.insert(Info->Id);
    }
  }
  // Fills up with others where too few members of the preferred zones exist.
  const std::size_t Total =
      State.Settings.ZoneNeighbours + State.Settings.OtherZoneNeighbours;
  for (const auto &[Weight, Info] : Ranked)
    if (Chosen.size() < Total)
      Chosen.insert(Info->Id);
  return {Chosen.begin(), Chosen.end()};
}

std::vector<MemberInfo> liveMembers(const Membership &State) {
  std::vector<MemberInfo> Result;
  if (!State.Self.Leaving && !isSelfListedLeaving(State))
    Result.push_back(State.Self);
  for (const auto &[Id, Each] : State.Members)
    if (Each.Info.State == MemberState::Alive && !Each.Info.Leaving &&
        !State.ListedLeaving.contains(Each.Info.PeerAddress))
      Result.push_back(Each.Info);
  return Result;
}

bool isSelfListedLeaving(const Membership &State) {
  return State.ListedLeaving.contains(State.Self.PeerAddress);
}

json toJson(const MemberInfo &Info) {
  return {{"id", Info.Id},
          {"inc", Info.Incarnation},
          {"zone", Info.Zone},
          {"peer", Info.PeerAddress.toString()},
          {"caller", Info.CallerAddress.toString()},
          {"state", static_cast<int>(Info.State)},
          {"leaving", Info.Leaving}};
}

MemberInfo memberInfoFromJson(const json &Value) {
  constexpr std::size_t MaxNameBytes = 128;
  MemberInfo Result;
  Result.Id = Value.at("id").get<std::string>();
  Result.Zone = Value.at("zone").get<std::string>();
  Result.PeerAddress =
      SocketAddress::parse(Value.at("peer").get<std::string>());
  Result.CallerAddress =
      SocketAddress::parse(Value.at("caller").get<std::string>());
  Result.Leaving = Value.at("leaving").get<bool>();
  const auto &Incarnation = Value.at("inc");
  const auto &State = Value.at("state");
  if (!Incarnation.is_number_unsigned() || !State.is_number_unsigned() ||
      Incarnation.get<std::uint64_t>() > MaxIncarnation ||
      State.get<std::uint64_t>() > 2 || Result.Id.empty() ||
      Result.Id.size() > MaxNameBytes || Result.Zone.size() > MaxNameBytes ||
      Result.PeerAddress.Host.size() > MaxNameBytes ||
      Result.CallerAddress.Host.size() > MaxNameBytes)
    throw Error(ErrorKind::BadRequest, "malformed member record");
  Result.Incarnation = Incarnation.get<std::uint64_t>();
  Result.State = static_cast<MemberState>(State.get<int>());
  return Result;
}

} // namespace galenaroute
