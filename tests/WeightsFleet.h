// A fleet of gateways that learn of named weight versions, in virtual time.
//
//   WeightsFleet Fleet({.Gateways = 36});
//   Fleet.at(2s, [&] { Fleet.freeze(0, 6s); });
//   Fleet.at(3s, [&] { Fleet.name(); });
//   Fleet.run(30s);
//   Fleet.problems();
//
// Each gateway runs EntryGossip, reads the newest version from the store, dates
// it as ForwardGateway does, and exchanges notices by gossip; messages take
// some milliseconds, and some are lost. One gateway writes the history that
// others read at their start; some of these writes are lost or late. What a
// gateway receives while it is frozen, it handles afterwards. All is drawn from
// the seed.
//
// The bound is the platform's rule VERSION: a gateway in touch may not allow
// older weights later than Limit after newer ones were acknowledged. Besides,
// a gateway that was never disturbed allows them for the time that calls may
// use them, so that a fleet that refuses all older weights fails, too.

#ifndef GALENAROUTE_TESTS_WEIGHTSFLEET_H
#define GALENAROUTE_TESTS_WEIGHTSFLEET_H

#include "WeightsCheck.h"
#include "process/BootClock.h"
#include "process/EntryGossip.h"
#include "process/Rendezvous.h"
#include "version/AnnouncedWeights.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <set>

namespace galenaroute::testing_support {

struct WeightsFleetSettings {
  std::size_t Gateways = 6;
  Duration Limit = std::chrono::seconds(12);
  double LossShare = 0;      ///< Of the messages between gateways.
  double WriteLossShare = 0; ///< Of the writes of the history.
  Duration MaxWriteDelay{};
  std::uint64_t Seed = 1;
};

class WeightsFleet {
public:
  explicit WeightsFleet(const WeightsFleetSettings &Settings)
      : Settings(Settings), Random(Settings.Seed) {
    this->Seen.named(this->Now - std::chrono::hours(1), 1);
    for (std::size_t I = 0; I < Settings.Gateways; ++I)
      this->addGateway();
    this->schedule(this->Now, [this] { this->checkAll(); });
  }

  /// Calls \p Action at \p Time from the start.
  void at(Duration Time, std::function<void()> Action) {
    this->schedule(this->Begun + Time, std::move(Action));
  }
  void run(Duration Length) {
    const TimePoint End = this->Begun + Length;
    while (!this->Events.empty() && this->Events.top().At <= End) {
      Event Next = this->Events.top();
      this->Events.pop();
      this->Now = Next.At;
      Next.Action();
    }
    this->Now = End;
  }

  /// Names the next version; the store acknowledges it at once.
  void name() {
    this->Seen.named(this->Now, ++this->Newest);
    for (std::size_t I = 0; I < this->All.size(); ++I)
      this->readSoon(I);
  }
  /// Adds a gateway that knows the first ones as seeds.
  std::size_t addGateway() {
    const std::size_t Index = this->All.size();
    this->All.emplace_back();
    this->start(Index);
    if (this->Now > this->Begun)
      this->excuse(Index, Duration::zero());
    if (this->Now < this->SplitUntil)
      this->excuse(Index, this->SplitUntil - this->Now);
    return Index;
  }
  /// Restarts a gateway without state, after \p Down.
  void restart(std::size_t Index, Duration Down) {
    this->All[Index].Gossip.reset();
    this->excuse(Index, Down);
    this->schedule(this->Now + Down, [this, Index] {
      if (!this->All[Index].Gossip)
        this->start(Index);
    });
  }
  /// Freezes a gateway: it handles nothing until then, and its clock goes on.
  void freeze(std::size_t Index, Duration For) {
    Gateway &Frozen = this->All[Index];
    Frozen.FrozenUntil = std::max(Frozen.FrozenUntil, this->Now + For);
    this->excuse(Index, For);
  }
  /// Cuts a gateway off from the others, but not from the store.
  void cut(std::size_t Index, Duration For) {
    Gateway &Cut = this->All[Index];
    Cut.CutUntil = std::max(Cut.CutUntil, this->Now + For);
    this->excuse(Index, For);
  }
  /// Cuts a gateway off from the store, but not from the others.
  void cutFromStore(std::size_t Index, Duration For) {
    Gateway &Cut = this->All[Index];
    Cut.StoreCutUntil = std::max(Cut.StoreCutUntil, this->Now + For);
    this->excuse(Index, For);
  }
  /// No gateway reaches the store.
  void endStore(Duration For) {
    this->StoreAwayUntil = std::max(this->StoreAwayUntil, this->Now + For);
    this->Seen.interrupt(this->Now, this->Now + For + Contact);
    for (std::size_t I = 0; I < this->All.size(); ++I)
      this->excuse(I, For);
  }
  /// The store loses its history of changes: all gateways list its objects
  /// again, unchanged ones too.
  void listAgain() {
    for (std::size_t I = 0; I < this->All.size(); ++I)
      this->readSoon(I, /*Lists=*/true);
  }
  /// Splits the fleet: the gateways whose number divided by \p Parts leaves the
  /// same rest hear each other only. All reach the store.
  void split(std::size_t Parts, Duration For) {
    this->Parts = Parts;
    this->SplitUntil = this->Now + For;
    for (std::size_t I = 0; I < this->All.size(); ++I)
      this->excuse(I, For);
  }

  /// Returns how many gateways allow older weights than the newest now.
  std::size_t countAllowingOlder() const {
    return static_cast<std::size_t>(
        std::count_if(this->All.begin(), this->All.end(), [&](const auto &Of) {
          return this->oldestAllowedBy(Of) < this->Newest;
        }));
  }
  std::size_t gatewayCount() const { return this->All.size(); }
  /// Descriptions of what was wrong, at most MaxProblems.
  const std::vector<std::string> &problems() const { return this->Problems; }
  /// Returns how often older weights were found allowed and not allowed.
  std::size_t allowedChecks() const { return this->Allowed; }
  std::size_t outdatedChecks() const { return this->Outdated; }

private:
  static constexpr Duration GossipPeriod = std::chrono::milliseconds(500);
  static constexpr Duration HousekeepingPeriod = std::chrono::milliseconds(100);
  static constexpr Duration WatchPeriod = std::chrono::milliseconds(1500);
  static constexpr Duration MaxWatchTime =
      WatchPeriod + std::chrono::milliseconds(500);
  static constexpr Duration CheckPeriod = std::chrono::milliseconds(200);
  static constexpr Duration Contact = std::chrono::seconds(3);
  /// Gateways of a larger fleet learn of objects in batches.
  static constexpr Duration MaxReadDelay = std::chrono::milliseconds(50);
  static constexpr Duration MaxBatchedReadDelay =
      std::chrono::milliseconds(550);
  static constexpr std::size_t MaxDirectReaders = 10;
  /// As in ForwardGateway.
  static constexpr Duration CatchUpTime = std::chrono::milliseconds(2500);
  static constexpr Duration MaxNoticeAge = std::chrono::seconds(120);
  static constexpr Duration MaxClockError = std::chrono::seconds(5);
  static constexpr double OldWeightsShare = 0.75;
  static constexpr std::size_t MaxProblems = 10;
  static constexpr std::string_view Model = "w";

  struct Event {
    TimePoint At;
    std::uint64_t Order = 0;
    std::function<void()> Action;
    bool operator>(const Event &Other) const {
      return std::tie(this->At, this->Order) > std::tie(Other.At, Other.Order);
    }
  };
  struct Gateway {
    std::unique_ptr<EntryGossip> Gossip; ///< Null while it is down.
    AnnouncedWeightsByModel Weights;
    std::optional<StallDetector> Stalls;
    /// The version that the store named last, or 0 before the first list.
    std::uint64_t LastRead = 0;
    BootTime ReadAt{};         ///< When the store last answered.
    BootTime PeerAnsweredAt{}; ///< As far as peers have told.
    std::uint64_t Stored = 0;  ///< Newest version in the history.
    Duration ClockError{};     ///< Of its time of day.
    std::uint64_t Starts = 0;
    TimePoint FrozenUntil;
    TimePoint CutUntil;
    TimePoint StoreCutUntil;
  };

  static std::string idOf(std::size_t Index) {
    return "n" + std::to_string(Index);
  }
  /// The index of a gateway is the port of its gossip address.
  static SocketAddress addressOf(std::size_t Index) {
    return {"10.0.0.1", static_cast<std::uint16_t>(Index)};
  }

  void schedule(TimePoint At, std::function<void()> Action) {
    this->Events.push({At, ++this->EventCount, std::move(Action)});
  }
  double draw() {
    return std::uniform_real_distribution<double>(0, 1)(this->Random);
  }
  BootTime bootNow() const { return BootTime(this->Now.time_since_epoch()); }
  std::int64_t wallMs(const Gateway &Of) const {
    return toMilliseconds(this->Now.time_since_epoch() + Of.ClockError);
  }
  void excuse(std::size_t Index, Duration For) {
    this->Seen.excuse(Index, this->Now, this->Now + For);
    this->Disturbed.insert(Index);
  }

  /// Calls \p Action of a gateway once it is not frozen, unless it has been
  /// restarted meanwhile.
  void atGateway(std::size_t Index, TimePoint At,
                 std::function<void(Gateway &)> Action) {
    this->schedule(At, [this, Index, Starts = this->All[Index].Starts,
                        Action = std::move(Action)] {
      Gateway &Of = this->All[Index];
      if (!Of.Gossip || Of.Starts != Starts)
        return;
      if (this->Now < Of.FrozenUntil)
        this->atGateway(Index, Of.FrozenUntil, Action);
      else
        Action(Of);
    });
  }
  void every(std::size_t Index, Duration Period,
             const std::function<void()> &Action) {
    this->atGateway(Index, this->Now + Period,
                    [this, Index, Period, Action](Gateway &) {
                      Action();
                      this->every(Index, Period, Action);
                    });
  }

  void start(std::size_t Index) {
    Gateway &Of = this->All[Index];
    ++Of.Starts;
    Of.FrozenUntil = {};
    Of.Weights.clear();
    Of.LastRead = 0;
    Of.ReadAt = Of.PeerAnsweredAt = {};
    Of.Stored = 0;
    // The times of day of two VMs, or of one before and after a restart, differ
    // by the allowed error at most.
    Of.ClockError = scaled(MaxClockError, this->draw() - 0.5);
    Of.Stalls.emplace(this->bootNow());
    EntryRecord Self;
    Self.Id = idOf(Index);
    Self.Incarnation = static_cast<std::int64_t>(Of.Starts);
    Self.Gossip = addressOf(Index);
    Self.Zone = "z" + std::to_string(Index % 3);
    Of.Gossip = std::make_unique<EntryGossip>(Self, EntryGossipSettings{});
    this->readSoon(Index);
    this->atGateway(Index, this->Now + scaled(GossipPeriod, this->draw()),
                    [this, Index](Gateway &) {
                      this->gossip(Index);
                      this->every(Index, GossipPeriod,
                                  [this, Index] { this->gossip(Index); });
                    });
    this->every(Index, HousekeepingPeriod, [this, Index] {
      this->All[Index].Stalls->observe(this->bootNow());
    });
    this->every(Index, WatchPeriod, [this, Index] { this->readSoon(Index); });
  }

  bool reachesStore(const Gateway &Of) const {
    return this->Now >= Of.StoreCutUntil && this->Now >= this->StoreAwayUntil;
  }
  /// Reads the newest version, or only a newer one than before unless it
  /// \p Lists all objects. Without the store, the next watch does it.
  void readSoon(std::size_t Index, bool Lists = false) {
    const Duration Most = this->Settings.Gateways > MaxDirectReaders
                              ? MaxBatchedReadDelay
                              : MaxReadDelay;
    this->schedule(
        this->Now + scaled(Most, this->draw()), [this, Index, Lists] {
          if (!this->reachesStore(this->All[Index]))
            return;
          this->atGateway(
              Index, this->Now,
              [this, Index, Lists, Version = this->Newest](Gateway &Of) {
                if (Version > Of.LastRead || (Lists && Version == Of.LastRead))
                  this->onWeights(Index, Version);
                Of.ReadAt = this->bootNow();
              });
        });
  }
  /// As ForwardGateway::weightsMissedSince().
  std::optional<BootTime> missedSince(const Gateway &Of, BootTime Time) const {
    if (const auto Stalled = Of.Stalls->recentStall(Time, CatchUpTime))
      return Stalled;
    if (Time - Of.ReadAt <= MaxWatchTime)
      return std::nullopt;
    const bool HearsNobody = Of.Gossip->countAlive(this->Now) == 0;
    const bool WasPeerAnswered = Of.PeerAnsweredAt - Of.ReadAt > MaxWatchTime;
    return HearsNobody || WasPeerAnswered ? std::optional(Of.ReadAt)
                                          : std::nullopt;
  }
  void onWeights(std::size_t Index, std::uint64_t Version) {
    Gateway &Of = this->All[Index];
    const BootTime Time = this->bootNow();
    Of.Stalls->observe(Time);
    const auto Date = noteNamed(Of.Weights[std::string(Model)], Version,
                                {.IsFirst = Of.LastRead == 0,
                                 .MissedSince = this->missedSince(Of, Time)},
                                this->Settings.Limit, Time);
    Of.LastRead = Version;
    if (!Date || Date->Source == AnnouncementSource::Observed)
      return;
    this->schedule(
        this->Now + scaled(MaxReadDelay, this->draw()), [this, Index] {
          if (!this->reachesStore(this->All[Index]))
            return;
          this->atGateway(Index, this->Now,
                          [this, History = this->History](Gateway &Reader) {
                            restoreAnnounced(Reader.Weights[std::string(Model)],
                                             History, this->wallMs(Reader),
                                             MaxClockError, this->bootNow());
                          });
        });
  }

  struct Message {
    std::vector<EntryRecord> Records;
    std::vector<WeightNotice> Notices;
    BootTime AnsweredAt{}; ///< When the store last answered the sender.
  };
  void send(std::size_t From, std::size_t To, Message Text) {
    if (To >= this->All.size() || this->draw() < this->Settings.LossShare ||
        this->Now < this->All[From].CutUntil ||
        (this->Now < this->SplitUntil &&
         From % this->Parts != To % this->Parts))
      return;
    const Duration Delay =
        Milliseconds(1) + scaled(Milliseconds(6), this->draw());
    this->schedule(this->Now + Delay, [this, To, Text = std::move(Text)] {
      if (this->Now < this->All[To].CutUntil || !this->All[To].Gossip)
        return;
      this->atGateway(To, this->Now, [this, Text](Gateway &Of) {
        Of.Gossip->receive(Text.Records, this->Now);
        Of.PeerAnsweredAt = std::max(Of.PeerAnsweredAt, Text.AnsweredAt);
        mergeNotices(Of.Weights, Text.Notices, this->bootNow());
      });
    });
  }
  void gossip(std::size_t Index) {
    Gateway &Of = this->All[Index];
    Of.Gossip->self().ReachesPlatform = this->reachesStore(Of);
    const std::vector<EntryRecord> Records =
        Of.Gossip->makeGossip(this->Now, this->Random);
    const std::vector<WeightNotice> Notices =
        weightNotices(Of.Weights, MaxNoticeAge, this->bootNow());
    const std::vector<SocketAddress> Seeds{addressOf(0), addressOf(1),
                                           addressOf(2)};
    for (const SocketAddress &To :
         Of.Gossip->targets(Seeds, this->Now, this->Random)) {
      this->send(Index, To.Port, {.Records = Records, .AnsweredAt = Of.ReadAt});
      if (!Notices.empty())
        this->send(Index, To.Port, {.Notices = Notices});
    }
    this->storeHistory(Index);
  }
  void storeHistory(std::size_t Index) {
    Gateway &Of = this->All[Index];
    const auto Named = Of.Weights.find(std::string(Model));
    if (Named == Of.Weights.end() || !this->reachesStore(Of))
      return;
    const std::uint64_t Last = Named->second.newest();
    if (Last <= Of.Stored ||
        Named->second.Announced.at(Last).Source != AnnouncementSource::Observed)
      return;
    std::vector<std::string> Live;
    Of.Gossip->forEachAlive(this->Now, [&](const EntryRecord &Each) {
      if (Each.ReachesPlatform)
        Live.push_back(Each.Id);
    });
    if (!isAmongFirst(Model, idOf(Index), 1, Live,
                      [](const std::string &Id) { return Id; }))
      return;
    std::map<std::uint64_t, std::int64_t> Times;
    for (const auto &[Version, Known] : Named->second.Announced)
      if (Known.Source == AnnouncementSource::Observed)
        Times[Version] =
            this->wallMs(Of) - toMilliseconds(this->bootNow() - Known.At);
    if (this->draw() < this->Settings.WriteLossShare)
      return;
    Of.Stored = Last;
    this->schedule(this->Now +
                       scaled(this->Settings.MaxWriteDelay, this->draw()),
                   [this, Times] {
                     for (const auto &[Version, At] : Times)
                       this->History.try_emplace(Version, At);
                   });
  }

  void checkAll() {
    for (std::size_t I = 0; I < this->All.size(); ++I)
      if (this->All[I].Gossip && this->Now >= this->All[I].FrozenUntil)
        this->check(I);
    this->schedule(this->Now + CheckPeriod, [this] { this->checkAll(); });
  }
  std::uint64_t oldestAllowedBy(const Gateway &Of) const {
    const auto Found = Of.Weights.find(std::string(Model));
    if (Found == Of.Weights.end())
      return 0;
    return oldestAllowed(Found->second,
                         scaled(this->Settings.Limit, OldWeightsShare),
                         this->bootNow());
  }
  void check(std::size_t Index) {
    const std::uint64_t Oldest = this->oldestAllowedBy(this->All[Index]);
    const Duration Use = scaled(this->Settings.Limit, OldWeightsShare);
    const bool IsInTouch = this->Seen.isInTouch(Index, this->Now, Contact);
    for (const WeightsHistory::Named &Each : this->Seen.namings()) {
      if (Each.Version == 1)
        continue;
      const Duration Age = this->Now - Each.At;
      if (IsInTouch && this->Seen.longestStretch(Each.At, this->Now) >
                           this->Settings.Limit) {
        ++this->Outdated;
        if (Oldest < Each.Version)
          this->report(Index, Oldest, Each, "still allows");
      }
      if (!this->Disturbed.contains(Index) && Age <= Use) {
        ++this->Allowed;
        if (Oldest >= Each.Version)
          this->report(Index, Oldest, Each, "no longer allows");
      }
    }
  }
  void report(std::size_t Index, std::uint64_t Oldest,
              const WeightsHistory::Named &Newer, const std::string &What) {
    if (this->Problems.size() >= MaxProblems)
      return;
    this->Problems.push_back(
        "at " + std::to_string(toMilliseconds(this->Now - this->Begun)) +
        " ms gateway " + std::to_string(Index) + " " + What +
        " versions before " + std::to_string(Newer.Version) + ", named " +
        std::to_string(toMilliseconds(this->Now - Newer.At)) +
        " ms ago; its oldest is " + std::to_string(Oldest));
  }

  WeightsFleetSettings Settings;
  std::mt19937_64 Random;
  const TimePoint Begun{std::chrono::hours(2)};
  TimePoint Now = this->Begun;
  WeightsHistory Seen;
  std::uint64_t Newest = 1;
  std::map<std::uint64_t, std::int64_t> History; ///< In the store.
  std::vector<Gateway> All;
  std::set<std::size_t> Disturbed; ///< At any time.
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::uint64_t EventCount = 0;
  std::size_t Parts = 1;
  TimePoint SplitUntil;
  TimePoint StoreAwayUntil;
  std::vector<std::string> Problems;
  std::size_t Allowed = 0;
  std::size_t Outdated = 0;
};

} // namespace galenaroute::testing_support

#endif // GALENAROUTE_TESTS_WEIGHTSFLEET_H
