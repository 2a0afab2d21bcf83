// A fleet of processes that follow one platform, which is restored from copies,
// in virtual time.
//
//   RestoredFleet Fleet({.Processes = 36});
//   Fleet.at(2s, [&] { Fleet.keepCopy(); });
//   Fleet.at(4s, [&] { Fleet.restore(500ms, 200ms); });
//   Fleet.run(30s);
//   Fleet.problems();
//
// Each process keeps a view of the configuration and of the registry by
// ObjectWatcher, contends for one lease by the functions of Lease.h, and stores
// a history and a crash record under the names of the present era. A round trip
// to the platform takes a tick. Processes hear of each other's progress as in
// ForwardGateway: directly in a small fleet, in digests of StatusRelay in a
// large one, where two primary watchers forward changes of the registry. A
// process that stands still handles what it received afterwards.
//
// What the operator and the servers wrote is written again after a restoration;
// what the processes wrote is not. Checked all the time: that processes
// have the newest objects within the bounds named below, fences, and the time
// between actions of two holders.

#ifndef GALENAROUTE_TESTS_RESTOREDFLEET_H
#define GALENAROUTE_TESTS_RESTOREDFLEET_H

#include "FakePlatform.h"
#include "process/StatusRelay.h"
#include "version/Lease.h"

#include <algorithm>
#include <event2/event.h>
#include <memory>

namespace galenaroute::testing_support {

struct RestoredFleetSettings {
  std::size_t Processes = 6;
  std::size_t Servers = 8;
};

class RestoredFleet {
public:
  /// A process in touch has the newest configuration within this time.
  static constexpr Duration ApplyTime = std::chrono::seconds(2);
  /// And the registry's entries.
  static constexpr Duration RegistryTime = std::chrono::seconds(3);

  explicit RestoredFleet(const RestoredFleetSettings &Settings)
      : Settings(Settings) {
    this->Store->Era = 1;
    this->configure();
    for (std::size_t I = 0; I < Settings.Servers; ++I)
      this->writeServer(I);
    this->Store->keepCopy();
    this->All.resize(Settings.Processes);
    for (std::size_t I = 0; I < Settings.Processes; ++I)
      this->start(I);
  }

  /// Calls \p Action at \p Time from the start.
  void at(Duration Time, std::function<void()> Action) {
    this->Script.emplace(this->Begun + Time, std::move(Action));
  }
  /// Runs the script. The last seconds should be free of faults: afterwards
  /// everything that the fleet stores must be stored.
  void run(Duration Length) {
    for (const TimePoint End = this->Begun + Length; this->Now < End;
         this->Now += Tick)
      this->tick();
    this->checkStored();
  }

  /// Writes the next configuration. While the store is away, this and the other
  /// writes of operators and servers wait for its return.
  void configure() {
    this->whenBack([this] {
      ++this->Newest;
      this->writeConfig();
    });
  }
  /// Writes a changed entry of a server.
  void writeServer(std::size_t Index) {
    this->whenBack([this, Name = serverName(Index)] {
      this->Servers[Name] = ++this->ServerWrites;
      this->writeRegistered(Name);
    });
  }
  void removeServer(std::size_t Index) {
    this->whenBack([this, Name = serverName(Index)] {
      this->Servers.erase(Name);
      this->writeRegistered(Name);
    });
  }
  void keepCopy() {
    if (!this->isAway())
      this->Store->keepCopy();
  }
  /// The store is away for a while and returns from the copy. What the operator
  /// and the servers wrote since is written again \p WriteDelay later.
  void restore(Duration Away, Duration WriteDelay) {
    this->Store->restore();
    this->AwayUntil = std::max(this->AwayUntil, this->Now + Away);
    for (std::size_t I = 0; I < this->All.size(); ++I)
      this->disturb(I, Away);
    const TimePoint Until = this->AwayUntil + WriteDelay;
    this->IsOutdatedUntil = std::max(this->IsOutdatedUntil, Until);
    this->Script.emplace(
        Until, [this] { this->whenBack([this] { this->writeAgain(); }); });
  }

  void freeze(std::size_t Index, Duration For) {
    Slot &Each = this->All[Index];
    Each.FrozenUntil = std::max(Each.FrozenUntil, this->Now + For);
    this->disturb(Index, For);
  }
  void cutFromStore(std::size_t Index, Duration For) {
    Slot &Each = this->All[Index];
    Each.StoreCutUntil = std::max(Each.StoreCutUntil, this->Now + For);
    this->disturb(Index, For);
  }
  void cutFromPeers(std::size_t Index, Duration For) {
    Slot &Each = this->All[Index];
    Each.PeersCutUntil = std::max(Each.PeersCutUntil, this->Now + For);
    this->disturb(Index, For);
  }
  /// The reply to the next write of a process is lost.
  void loseReply(std::size_t Index) {
    this->All[Index].Running->Api.LoseReplies = 1;
  }
  /// Replaces a process by one that knows nothing.
  void restart(std::size_t Index) {
    this->disturb(Index, Duration::zero());
    this->start(Index);
  }

  std::size_t size() const { return this->All.size(); }
  std::uint64_t era() const { return this->Store->Era; }
  int actions() const { return this->Actions; }
  /// Returns how often a process in touch was found to be checked.
  std::size_t checks() const { return this->Checks; }
  /// Descriptions of what was wrong, at most MaxProblems.
  const std::vector<std::string> &problems() const { return this->Problems; }

private:
  static constexpr Duration Tick = std::chrono::milliseconds(100);
  /// As in ForwardGateway.
  static constexpr Duration StatusPeriod = std::chrono::milliseconds(200);
  static constexpr Duration MaxStatusAge = std::chrono::seconds(1);
  static constexpr Duration ReachTime = std::chrono::seconds(2);
  static constexpr std::size_t MaxPrimaryWatchers = 10;
  static constexpr std::size_t PrimaryWatchers = 2;
  static constexpr std::size_t LeaseCandidates = 3;
  static constexpr std::size_t PageSize = 3;
  static constexpr std::size_t MaxProblems = 10;

  struct Process {
    Process(EventLoop &Loop, std::shared_ptr<FakeStore> Store,
            std::string Given)
        : Name(std::move(Given)), Api(std::move(Store)),
          Configs(Loop, this->Api, "config", watcherSettings(),
                  {.OnObject =
                       [this](const PlatformObject &Object) {
                         // The rule of ForwardGateway.
                         this->InForce =
                             std::max(this->InForce, Object.Value.get<int>());
                       }}),
          Registry(Loop, this->Api, "servers", watcherSettings(),
                   {.OnObject =
                        [this](const PlatformObject &Object) {
                          this->Known.erase(Object.Key.Name);
                          if (!Object.Deleted)
                            this->Known[Object.Key.Name] = Object.Value;
                        },
                    .OnListed =
                        [this](const std::set<std::string> &Names) {
                          std::erase_if(this->Known, [&](const auto &Each) {
                            return !Names.contains(Each.first);
                          });
                        }}),
          Lease(LeaseSettings{.Self = this->Name,
                              .Term = std::chrono::seconds(3),
                              .RenewEvery = std::chrono::milliseconds(600),
                              .Margin = std::chrono::milliseconds(1800)}) {
      this->Api.PageSize = PageSize;
    }

    std::string Name; ///< Unique for each start.
    FakePlatform Api;
    int InForce = 0; ///< Version of the configuration.
    std::map<std::string, int> Known;
    ObjectWatcher Configs;
    ObjectWatcher Registry;
    LeaseState Lease;
    std::map<std::string, int> Stored;   ///< By name in an era.
    std::set<std::string> PendingWrites; ///< The same.
    std::uint64_t Statuses = 0;
    TimePoint ReachedAt; ///< When it last reached the store.
    std::vector<std::function<void(Process &)>> Received;
  };
  struct Slot {
    std::unique_ptr<Process> Running;
    TimePoint FrozenUntil;
    TimePoint StoreCutUntil;
    TimePoint PeersCutUntil;
    TimePoint DisturbedUntil;
  };
  struct LastAction {
    std::string Holder;
    TimePoint At;
  };

  /// Retries are due at once, that is, in the next tick.
  static ObjectWatcherSettings watcherSettings() {
    return {.MaxConfirmationAge = std::chrono::hours(1),
            .SecondaryRetry = {},
            .Retry = {},
            .MaxRetry = {}};
  }
  static std::string serverName(std::size_t Index) {
    return "s" + std::to_string(Index);
  }

  bool isAway() const { return this->Now < this->AwayUntil; }
  bool isFrozen(const Slot &Of) const { return this->Now < Of.FrozenUntil; }
  bool reachesStore(const Slot &Of) const {
    return !this->isAway() && this->Now >= Of.StoreCutUntil;
  }
  bool hearsPeers(const Slot &Of) const {
    return this->Now >= Of.PeersCutUntil;
  }
  bool isDisturbed(const Slot &Of) const {
    return this->Now < Of.DisturbedUntil;
  }
  void disturb(std::size_t Index, Duration For) {
    Slot &Each = this->All[Index];
    Each.DisturbedUntil = std::max(Each.DisturbedUntil, this->Now + For);
  }
  void start(std::size_t Index) {
    Slot &Each = this->All[Index];
    Each.FrozenUntil = {};
    Each.Running = std::make_unique<Process>(
        this->Loop, this->Store,
        "p" + std::to_string(Index) + "#" + std::to_string(++this->Starts));
    Process &Started = *Each.Running;
    Started.Registry.OnUpdates = [this, Index](const ObjectUpdates &Updates) {
      this->forward(Index, Updates);
    };
    Started.Configs.start();
    Started.Registry.start();
  }

  void whenBack(std::function<void()> Action) {
    if (this->isAway())
      this->Script.emplace(this->AwayUntil, std::move(Action));
    else
      Action();
  }
  void writeConfig() {
    this->Store->write({"config", "main"}, this->Newest);
    this->NewestAt = this->Now;
  }
  void writeRegistered(const std::string &Name) {
    const auto Found = this->Servers.find(Name);
    const bool IsGone = Found == this->Servers.end();
    this->Store->write({"servers", Name}, IsGone ? 0 : Found->second);
    this->Store->Objects["servers"][Name].Deleted = IsGone;
    this->RegistryWrittenAt = this->Now;
  }
  void writeAgain() {
    this->writeConfig();
    for (std::size_t I = 0; I < this->Settings.Servers; ++I)
      this->writeRegistered(serverName(I));
  }

  void tick() {
    while (!this->Script.empty() && this->Script.begin()->first <= this->Now) {
      const auto Action = std::move(this->Script.begin()->second);
      this->Script.erase(this->Script.begin());
      Action();
    }
    for (std::size_t I = 0; I < this->All.size(); ++I)
      if (!this->isFrozen(this->All[I]))
        this->step(I);
    event_base_loop(this->Loop.base(), EVLOOP_NONBLOCK);
    if ((this->Now - this->Begun) % StatusPeriod == Duration::zero())
      this->exchangeStatuses();
    for (std::size_t I = 0; I < this->All.size(); ++I)
      if (!this->isFrozen(this->All[I]))
        this->check(I);
  }
  void step(std::size_t Index) {
    Slot &Of = this->All[Index];
    Process &Each = *Of.Running;
    for (const auto &Handle : std::exchange(Each.Received, {}))
      Handle(Each);
    Each.Api.Outage = !this->reachesStore(Of);
    if (!Each.Api.Outage)
      Each.ReachedAt = this->Now;
    for (std::size_t Calls = Each.Api.pending(); Calls > 0; --Calls)
      Each.Api.step();
    this->stepLease(Each, this->interestOf(Index));
    this->act(Each);
    if (Index == this->firstUndisturbed())
      for (const char *Name : {"history", "crashes"})
        this->store(Each, Name);
  }
  std::size_t firstUndisturbed() const {
    for (std::size_t I = 0; I < this->All.size(); ++I)
      if (!this->isDisturbed(this->All[I]))
        return I;
    return this->All.size();
  }

  /// A process that does not hear the others takes itself for the first one.
  LeaseInterest interestOf(std::size_t Index) const {
    const Slot &Of = this->All[Index];
    const bool IsFirst = Index == this->firstUndisturbed() ||
                         (Index < LeaseCandidates && !this->hearsPeers(Of));
    if (IsFirst || holdsLease(Of.Running->Lease, this->Now))
      return LeaseInterest::Act;
    return Index < LeaseCandidates ? LeaseInterest::Observe
                                   : LeaseInterest::None;
  }
  void updateEra(Process &Each) {
    if (Each.Lease.Era != Each.Api.Era.current())
      enterEra(Each.Lease, Each.Api.Era.current(), this->Now);
  }
  void stepLease(Process &Each, LeaseInterest Interest) {
    this->updateEra(Each);
    const ObjectKey Key{"lease", eraName("m", Each.Lease.Era)};
    const auto Handle = [this, &Each, Era = Each.Lease.Era](auto Function) {
      return [this, &Each, Era, Function](const PlatformResult &Result) {
        this->updateEra(Each);
        if (Each.Lease.Era == Era)
          Function(Each.Lease, Result, this->Now);
      };
    };
    switch (nextLeaseAction(Each.Lease, this->Now, Interest)) {
    case LeaseAction::Wait:
      return;
    case LeaseAction::Read:
      Each.Api.get(Key, Handle(onLeaseRead));
      return;
    case LeaseAction::Write:
      Each.Api.put(Key, toJson(Each.Lease.Written), Each.Lease.Version,
                   Handle(onLeaseWritten));
      return;
    }
  }
  void act(Process &Each) {
    this->updateEra(Each);
    if (!mayAct(Each.Lease, this->Now))
      return;
    ++this->Actions;
    const std::uint64_t Fence = Each.Lease.Fence;
    if (Fence < this->HighestFence)
      this->report(Each, "acts with a lower fence than an earlier holder");
    this->HighestFence = std::max(this->HighestFence, Fence);
    if (this->OwnerOfFence.try_emplace(Fence, Each.Name).first->second !=
        Each.Name)
      this->report(Each, "acts with the fence of another holder");
    if (this->Last.Holder != Each.Name && !this->Last.Holder.empty() &&
        this->Now < this->Last.At + Each.Lease.Settings.Term)
      this->report(Each, "acts within a term of " + this->Last.Holder);
    this->Last = {Each.Name, this->Now};
  }

  /// Stores the newest version that is known under a name of this era, as the
  /// histories of weights and the crash records are stored.
  void store(Process &Each, const std::string &Name) {
    const ObjectKey Key{"stored", eraName(Name, Each.Api.Era.current())};
    const int Known = Each.InForce;
    if (Each.Stored[Key.Name] >= Known ||
        !Each.PendingWrites.insert(Key.Name).second)
      return;
    Each.Api.get(Key, [&Each, Key, Known](const PlatformResult &Read) {
      if (Read.Status != PlatformStatus::Ok &&
          Read.Status != PlatformStatus::NotFound) {
        Each.PendingWrites.erase(Key.Name);
        return;
      }
      // Others may have stored more since this call was made.
      const int Value = std::max(Known, Read.Object.Value.is_null()
                                            ? 0
                                            : Read.Object.Value.get<int>());
      Each.Api.put(Key, Value, Read.Object.Version,
                   [&Each, Key, Known](const PlatformResult &Written) {
                     Each.PendingWrites.erase(Key.Name);
                     if (Written.Status == PlatformStatus::Ok)
                       Each.Stored[Key.Name] = Known;
                   });
    });
  }

  bool isLarge() const { return this->All.size() > MaxPrimaryWatchers; }
  void exchangeStatuses() {
    this->Relay.expire(this->Now, MaxStatusAge);
    std::size_t Primary = 0;
    for (std::size_t I = 0; I < this->All.size(); ++I) {
      const Slot &Of = this->All[I];
      if (this->isFrozen(Of))
        continue;
      Process &Each = *Of.Running;
      const bool IsPrimary = !this->isLarge() || (!this->isDisturbed(Of) &&
                                                  Primary < PrimaryWatchers);
      Primary += IsPrimary;
      for (ObjectWatcher *Watcher : {&Each.Configs, &Each.Registry})
        Watcher->setSecondary(!IsPrimary);
      Each.Registry.expectUpdates(this->isLarge());
      for (ObjectWatcher *Watcher : {&Each.Configs, &Each.Registry})
        Watcher->check(this->Now);
      this->publish(I);
    }
    if (!this->isLarge())
      return;
    const StatusDigest Digest = this->Relay.fleetDigest("relay", this->Now);
    for (Slot &Each : this->All)
      this->sendProgress(Each, Digest.Progress);
  }
  void publish(std::size_t Index) {
    const Slot &From = this->All[Index];
    Process &Each = *From.Running;
    if (!this->hearsPeers(From))
      return;
    EntryStatus Status;
    Status.From = Each.Name;
    Status.Sequence = ++Each.Statuses;
    if (this->Now - Each.ReachedAt < ReachTime)
      for (const ObjectWatcher *Watcher : {&Each.Configs, &Each.Registry})
        if (Watcher->hasProgress())
          Status.Progress.emplace_back(Watcher->kind(),
                                       Watcher->progress(this->Now));
    if (this->isLarge()) {
      this->Relay.updateMember(std::move(Status), this->Now);
      return;
    }
    for (Slot &To : this->All)
      if (&To != &From)
        this->sendProgress(To, Status.Progress);
  }
  using ProgressByKind = std::vector<std::pair<std::string, WatchProgress>>;
  void sendProgress(Slot &To, const ProgressByKind &Progress) {
    if (!this->hearsPeers(To))
      return;
    To.Running->Received.emplace_back([this, Progress](Process &Each) {
      for (const auto &[Kind, Reported] : Progress)
        (Kind == Each.Configs.kind() ? Each.Configs : Each.Registry)
            .notePeerProgress(Reported, this->Now);
    });
  }
  void forward(std::size_t From, const ObjectUpdates &Updates) {
    if (!this->isLarge() || !this->hearsPeers(this->All[From]))
      return;
    for (Slot &Each : this->All)
      if (&Each != &this->All[From] && this->hearsPeers(Each))
        Each.Running->Received.emplace_back(
            [Updates](Process &To) { To.Registry.receive(Updates); });
  }

  void check(std::size_t Index) {
    const Slot &Of = this->All[Index];
    const Process &Each = *Of.Running;
    if (this->Now < this->IsOutdatedUntil || this->isDisturbed(Of))
      return;
    const auto IsDue = [&](TimePoint Written, Duration Bound) {
      return this->Now - std::max(Written, Of.DisturbedUntil) > Bound;
    };
    if (IsDue(this->NewestAt, ApplyTime)) {
      ++this->Checks;
      if (Each.InForce != this->Newest)
        this->report(Each, "has configuration " + std::to_string(Each.InForce) +
                               " in force, not " +
                               std::to_string(this->Newest));
    }
    if (IsDue(this->RegistryWrittenAt, RegistryTime) &&
        Each.Known != this->Servers)
      this->report(Each, "does not know the servers");
  }
  void checkStored() {
    for (const char *Name : {"history", "crashes"}) {
      const auto &Stored = this->Store->Objects["stored"];
      const auto Found = Stored.find(eraName(Name, this->Store->Era));
      if (Found == Stored.end() || Found->second.Value != this->Newest)
        this->Problems.push_back(std::string(Name) + " is not stored again");
    }
  }
  void report(const Process &Of, const std::string &What) {
    if (this->Problems.size() < MaxProblems)
      this->Problems.push_back(
          "at " + std::to_string(toMilliseconds(this->Now - this->Begun)) +
          " ms, era " + std::to_string(this->Store->Era) + ": " + Of.Name +
          " " + What);
  }

  RestoredFleetSettings Settings;
  EventLoop Loop;
  const TimePoint Begun = EventLoop::now();
  TimePoint Now = this->Begun;
  std::shared_ptr<FakeStore> Store = std::make_shared<FakeStore>();
  std::multimap<TimePoint, std::function<void()>> Script;
  std::vector<Slot> All;
  StatusRelay Relay;
  int Newest = 0; ///< Version of the configuration, and when it was written.
  TimePoint NewestAt;
  std::map<std::string, int> Servers; ///< As the servers wrote them last.
  int ServerWrites = 0;
  TimePoint RegistryWrittenAt;
  TimePoint AwayUntil;
  TimePoint IsOutdatedUntil; ///< The store's copy is in force.
  std::uint64_t Starts = 0;
  LastAction Last;
  std::uint64_t HighestFence = 0;
  std::map<std::uint64_t, std::string> OwnerOfFence;
  int Actions = 0;
  std::size_t Checks = 0;
  std::vector<std::string> Problems;
};

} // namespace galenaroute::testing_support

#endif // GALENAROUTE_TESTS_RESTOREDFLEET_H
