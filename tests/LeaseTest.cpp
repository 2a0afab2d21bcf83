// Checks histories of contenders for one lease on a platform with faults.

#include "version/Lease.h"
#include "FakePlatform.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using testing_support::FakePlatform;

struct Contender {
  explicit Contender(const std::string &Name) : State({.Self = Name}) {}
  LeaseState State;
  LeaseInterest Interest = LeaseInterest::Act;
  std::optional<TimePoint> ActedAt;
};

/// Runs contenders step by step and checks the invariants in each state.
class LeaseHistory {
public:
  explicit LeaseHistory(int Count) {
    for (int I = 0; I < Count; ++I)
      this->Contenders.emplace_back("entry-" + std::to_string(I));
  }

  void act(std::size_t Index) {
    Contender &Each = this->Contenders[Index % this->Contenders.size()];
    LeaseState &State = Each.State;
    switch (nextLeaseAction(State, this->Now, this->interestOf(Each))) {
    case LeaseAction::Wait:
      break;
    case LeaseAction::Read:
      this->Store.get(this->Key, [this, &State](const PlatformResult &Result) {
        onLeaseRead(State, Result, this->Now);
      });
      break;
    case LeaseAction::Write:
      this->Store.put(this->Key, toJson(State.Written), State.Version,
                      [this, &State](const PlatformResult &Result) {
                        onLeaseWritten(State, Result, this->Now);
                      });
      break;
    }
  }

  /// Lets one contender make \p Calls calls that are answered at once.
  void run(std::size_t Index, int Calls) {
    for (int I = 0; I < Calls; ++I) {
      this->act(Index);
      this->Store.drain();
    }
  }

  void deliver(std::size_t Index) {
    if (this->Store.pending() > 0)
      this->Store.stepAt(Index % this->Store.pending());
  }

  void timeOut(std::size_t Index) {
    if (this->Store.pending() > 0)
      this->Store.timeOutAt(Index % this->Store.pending());
  }

  /// A contender keeps LeaseInterest::Act for a term after its last action.
  LeaseInterest interestOf(const Contender &Each) const {
    const bool HasActed =
        Each.ActedAt && this->Now < *Each.ActedAt + Each.State.Settings.Term;
    return Each.Interest == LeaseInterest::Hold && HasActed ? LeaseInterest::Act
                                                            : Each.Interest;
  }

  /// Checks that at most one contender holds the lease, that a fencing number
  /// has one owner, and that actions of two contenders, each of which acts
  /// whenever it may, are a term apart.
  void check() {
    int Holders = 0;
    for (Contender &Each : this->Contenders) {
      if (!holdsLease(Each.State, this->Now))
        continue;
      if (mayAct(Each.State, this->Now) &&
          Each.Interest == LeaseInterest::Act) {
        for (const Contender &Other : this->Contenders)
          RC_ASSERT(&Other == &Each || !Other.ActedAt ||
                    this->Now >= *Other.ActedAt + Other.State.Settings.Term);
        Each.ActedAt = this->Now;
      }
      ++Holders;
      const auto [It, New] = this->OwnerOfFence.emplace(
          Each.State.Fence, Each.State.Settings.Self);
      RC_ASSERT(It->second == Each.State.Settings.Self);
      RC_ASSERT(Each.State.Fence >= this->HighestFence);
      this->HighestFence = Each.State.Fence;
    }
    RC_ASSERT(Holders <= 1);
  }

  int holders() const {
    int Result = 0;
    for (const Contender &Each : this->Contenders)
      Result += holdsLease(Each.State, this->Now) ? 1 : 0;
    return Result;
  }

  TimePoint Now{1h};
  FakePlatform Store;
  std::vector<Contender> Contenders;
  std::map<std::uint64_t, std::string> OwnerOfFence;
  std::uint64_t HighestFence = 0;
  const ObjectKey Key{"lease", "steward-models"};
};

// Guards against two concurrent holders, against actions of two holders less
// than a term apart, and against a fencing number that decreases or is used
// twice, under lost replies, dropped writes, outages and
// calls that take effect late and out of order.
RC_GTEST_PROP(LeaseTest, OneHolderAtATimeAndFencesGrow, ()) {
  LeaseHistory History(2);
  const int Steps = *rc::gen::inRange(500, 4000);
  for (int I = 0; I < Steps; ++I) {
    const auto Index = static_cast<std::size_t>(*rc::gen::inRange(0, 1000));
    // Mostly small steps of time: terms can overlap only in long histories in
    // which leases expire instead of being resigned.
    const int Kind = *rc::gen::inRange(0, 100);
    if (Kind < 40)
      History.act(Index);
    else if (Kind < 65)
      History.deliver(0);
    else if (Kind < 68)
      History.deliver(Index);
    else if (Kind < 70)
      History.timeOut(Index);
    else if (Kind < 90)
      History.Now += Milliseconds(*rc::gen::inRange(1, 2500));
    else if (Kind < 93)
      History.Store.LoseReplies = 1;
    else if (Kind < 95)
      History.Store.LoseRequests = 1;
    else if (Kind < 97)
      History.Store.Outage = !History.Store.Outage;
    else if (Kind < 98)
      History.Now += Milliseconds(*rc::gen::inRange(2500, 12000));
    else {
      Contender &Each = History.Contenders[Index % History.Contenders.size()];
      Each.Interest =
          Each.Interest == LeaseInterest::Act       ? LeaseInterest::Hold
          : Each.Interest == LeaseInterest::Hold    ? LeaseInterest::Observe
          : Each.Interest == LeaseInterest::Observe ? LeaseInterest::None
                                                    : LeaseInterest::Act;
    }
    History.check();
  }
}

// Guards against a lease that no contender can acquire after faults.
RC_GTEST_PROP(LeaseTest, IsAcquiredOncePlatformAnswers, ()) {
  LeaseHistory History(3);
  const auto Script =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
  for (const int Each : Script) {
    if (Each < 3)
      History.act(static_cast<std::size_t>(Each));
    else if (Each == 3)
      History.Store.LoseReplies = 1;
    else if (Each == 4)
      History.Store.LoseRequests = 1;
    else
      History.deliver(0);
    History.Now += 1s;
  }
  History.Store.LoseReplies = History.Store.LoseRequests = 0;
  for (int I = 0; I < 60 && History.holders() == 0; ++I) {
    for (std::size_t Each = 0; Each < History.Contenders.size(); ++Each) {
      History.act(Each);
      History.Store.drain();
    }
    History.Now += 500ms;
  }
  RC_ASSERT(History.holders() == 1);
}

// Guards against mistaking a renewal that takes effect late for the next one: a
// contender measures the term from when it saw the late one.
TEST(LeaseTest, ALateRenewalDoesNotProlongTheTerm) {
  LeaseHistory History(2);
  LeaseState &Holder = History.Contenders[0].State;
  LeaseState &Other = History.Contenders[1].State;
  for (int I = 0; I < 2; ++I) {
    History.act(0);
    History.Store.drain();
  }
  ASSERT_TRUE(holdsLease(Holder, History.Now));
  History.Now += Holder.Settings.RenewEvery;
  History.act(0);
  History.Store.timeOutAt(0);
  History.act(0);
  History.Store.stepAt(1); // The read, before the renewal takes effect.
  History.Store.drain();
  History.act(1);
  History.Store.drain();
  History.Now += Holder.Settings.RenewEvery;
  for (int I = 0; I < 2; ++I) {
    History.act(0);
    History.Store.drain();
  }
  History.Now = Other.VersionSince + Other.Settings.Term;
  for (int I = 0; I < 3; ++I) {
    History.act(1);
    History.Store.drain();
  }
  ASSERT_TRUE(holdsLease(Other, History.Now));
  EXPECT_FALSE(holdsLease(Holder, History.Now));
}

// Guards against a next holder that waits for the end of a resigned lease, and
// against one that acts within a term of a holder that acted.
TEST(LeaseTest, ResignationLetsTheNextHolderStartAtOnce) {
  LeaseHistory History(2);
  History.Contenders[1].Interest = LeaseInterest::None;
  for (int I = 0; I < 4; ++I) {
    History.act(0);
    History.Store.drain();
  }
  ASSERT_TRUE(holdsLease(History.Contenders[0].State, History.Now));
  History.Contenders[0].Interest = LeaseInterest::None;
  History.Contenders[1].Interest = LeaseInterest::Act;
  History.act(0);
  EXPECT_FALSE(holdsLease(History.Contenders[0].State, History.Now));
  History.Store.drain();
  for (int I = 0; I < 3; ++I) {
    History.act(1);
    History.Store.drain();
  }
  const LeaseState &Next = History.Contenders[1].State;
  EXPECT_TRUE(holdsLease(Next, History.Now));
  EXPECT_EQ(Next.ActsFrom, History.Now + Next.Settings.Term);
  EXPECT_FALSE(mayAct(Next, History.Now));
  EXPECT_TRUE(mayAct(Next, History.Now, /*AfterOthers=*/false));
  EXPECT_EQ(Next.Fence, 2U);
}

// Guards against a wait of a whole term for a holder that resigned long ago: a
// contender that has seen the resignation knows that nobody has acted since.
TEST(LeaseTest, TheWaitCountsFromTheFirstSightOfTheResignation) {
  LeaseHistory History(2);
  Contender &Next = History.Contenders[1];
  Next.Interest = LeaseInterest::None;
  History.run(0, 4);
  ASSERT_TRUE(mayAct(History.Contenders[0].State, History.Now));
  History.Contenders[0].Interest = LeaseInterest::None;
  History.run(0, 1);
  Next.Interest = LeaseInterest::Observe;
  History.run(1, 1);
  const TimePoint Seen = History.Now;
  History.Now += Next.State.Settings.Term - 1ms;
  Next.Interest = LeaseInterest::Act;
  History.run(1, 1);
  ASSERT_TRUE(holdsLease(Next.State, History.Now));
  EXPECT_FALSE(mayAct(Next.State, History.Now));
  EXPECT_TRUE(mayAct(Next.State, Seen + Next.State.Settings.Term));
}

// Guards against a wait for orders of a holder that sent none.
TEST(LeaseTest, AnIdleLeaseLeavesNoWaitToTheNextHolder) {
  LeaseHistory History(2);
  Contender &Next = History.Contenders[1];
  History.Contenders[0].Interest = LeaseInterest::Hold;
  Next.Interest = LeaseInterest::None;
  History.run(0, 4);
  ASSERT_TRUE(holdsLease(History.Contenders[0].State, History.Now));
  EXPECT_FALSE(mayAct(History.Contenders[0].State, History.Now));
  History.Contenders[0].Interest = LeaseInterest::None;
  History.run(0, 1);
  Next.Interest = LeaseInterest::Act;
  History.run(1, 2);
  EXPECT_TRUE(mayAct(Next.State, History.Now));
}

// Guards against a successor that waits a whole term for a holder that was
// frozen while idle, and against that holder acting when it wakes.
TEST(LeaseTest, AnIdleLeaseIsAcquiredOnceItsHolderMayNotAct) {
  LeaseHistory History(2);
  Contender &Holder = History.Contenders[0];
  Contender &Next = History.Contenders[1];
  Holder.Interest = LeaseInterest::Hold;
  Next.Interest = LeaseInterest::Observe;
  History.run(0, 4);
  History.run(1, 1);
  const TimePoint Seen = History.Now;
  const Duration MayAct = Next.State.Settings.Term - Next.State.Settings.Margin;
  Next.Interest = LeaseInterest::Act;
  while (!holdsLease(Next.State, History.Now) &&
         History.Now < Seen + 2 * Next.State.Settings.Term) {
    History.Now += 100ms;
    History.run(1, 1);
  }
  EXPECT_EQ(History.Now, Seen + MayAct);
  EXPECT_TRUE(mayAct(Next.State, History.Now));
  Holder.Interest = LeaseInterest::Act;
  for (int I = 0; I < 5; ++I) {
    History.run(0, 1);
    EXPECT_FALSE(mayAct(Holder.State, History.Now));
  }
}

// Guards against a holder that acts while the stored record says it is idle:
// its successor would not wait.
TEST(LeaseTest, AnIdleHolderActsOnlyAfterAWriteThatSaysSo) {
  LeaseHistory History(1);
  Contender &Only = History.Contenders[0];
  Only.Interest = LeaseInterest::Hold;
  History.run(0, 4);
  Only.Interest = LeaseInterest::Act;
  History.act(0);
  EXPECT_FALSE(mayAct(Only.State, History.Now));
  History.Store.drain();
  EXPECT_TRUE(mayAct(Only.State, History.Now));
  EXPECT_FALSE(Only.State.Record.SettlesIn);
  Only.Interest = LeaseInterest::Hold;
  History.Now += Only.State.Settings.RenewEvery;
  History.act(0);
  EXPECT_FALSE(mayAct(Only.State, History.Now));
  History.Store.drain();
  EXPECT_EQ(Only.State.Record.SettlesIn, 0ms);
}

// Guards against an acquisition that takes effect late, so that no reply
// confirms it, and is then declared idle though the holder before has just
// acted.
TEST(LeaseTest, AnUnconfirmedAcquisitionIsNotDeclaredIdle) {
  LeaseHistory History(2);
  Contender &Next = History.Contenders[1];
  Next.Interest = LeaseInterest::Observe;
  History.run(0, 4);
  ASSERT_TRUE(mayAct(History.Contenders[0].State, History.Now));
  const TimePoint ActedAt = History.Now;
  History.run(1, 1);
  Next.Interest = LeaseInterest::Hold;
  History.Now += Next.State.Settings.Term;
  History.act(1);
  History.Store.timeOutAt(0);
  History.act(1);
  History.Store.stepAt(1); // The read, before the write takes effect.
  History.act(1);
  History.Store.drain(); // The first write, then the second, which conflicts.
  History.run(1, 1);
  ASSERT_EQ(Next.State.Record.Holder, Next.State.Settings.Self);
  const TimePoint Settled =
      ActedAt + 2 * Next.State.Settings.Term - Next.State.Settings.Margin;
  const auto DeclaredSettled = [&] {
    return History.Now + Next.State.Record.SettlesIn.value_or(24h);
  };
  EXPECT_GE(DeclaredSettled(), Settled);
  History.Now += Next.State.Settings.RenewEvery;
  History.run(1, 1);
  EXPECT_TRUE(holdsLease(Next.State, History.Now));
  EXPECT_GE(DeclaredSettled(), Settled);
  EXPECT_FALSE(mayAct(Next.State, History.Now));
}

// Guards against a wait that begins anew with each holder, though only the
// first one has acted: a lease that changes hands more often than once per term
// allowed nobody to act.
TEST(LeaseTest, HoldersThatDoNotActDoNotProlongTheWait) {
  constexpr std::size_t Count = 6;
  LeaseHistory History(Count);
  for (Contender &Each : History.Contenders)
    Each.Interest = LeaseInterest::None;
  History.Contenders[0].Interest = LeaseInterest::Act;
  History.run(0, 4);
  ASSERT_TRUE(mayAct(History.Contenders[0].State, History.Now));
  const Duration Term = History.Contenders[0].State.Settings.Term;
  const TimePoint Resigned = History.Now;
  for (std::size_t I = 0; I + 1 < Count; ++I) {
    History.Contenders[I].Interest = LeaseInterest::None;
    History.run(I, 1);
    History.Contenders[I + 1].Interest = LeaseInterest::Hold;
    History.Now += 100ms;
    History.run(I + 1, 2);
    ASSERT_TRUE(holdsLease(History.Contenders[I + 1].State, History.Now));
    History.Now += Term / 8;
  }
  Contender &Last = History.Contenders.back();
  Last.Interest = LeaseInterest::Act;
  History.Now = Resigned + Term;
  History.run(Count - 1, 2);
  EXPECT_FALSE(mayAct(Last.State, History.Now));
  // Each resignation was first seen 100 ms after it.
  EXPECT_TRUE(mayAct(Last.State, Resigned + Term + (Count - 1) * 100ms));
}

// Guards against a passive holder that is killed: its successor waits for the
// holder before, not for it.
TEST(LeaseTest, APassiveHolderThatIsKilledDoesNotProlongTheWait) {
  LeaseHistory History(3);
  History.Contenders[1].Interest = LeaseInterest::Hold;
  History.Contenders[2].Interest = LeaseInterest::Observe;
  History.run(0, 4);
  ASSERT_TRUE(mayAct(History.Contenders[0].State, History.Now));
  const LeaseSettings Settings = History.Contenders[0].State.Settings;
  History.Contenders[0].Interest = LeaseInterest::None;
  History.run(0, 1);
  const TimePoint Resigned = History.Now;
  History.run(1, 2);
  ASSERT_TRUE(holdsLease(History.Contenders[1].State, History.Now));
  History.run(2, 1);
  Contender &Last = History.Contenders[2];
  Last.Interest = LeaseInterest::Act;
  History.Now = Resigned + Settings.Term - Settings.Margin;
  History.run(2, 1);
  ASSERT_TRUE(holdsLease(Last.State, History.Now));
  EXPECT_FALSE(mayAct(Last.State, Resigned + Settings.Term - 1ms));
  EXPECT_TRUE(mayAct(Last.State, Resigned + Settings.Term));
}

// Guards against a record without the field: its holder may be acting.
TEST(LeaseTest, ARecordWithoutIdleIsNotIdle) {
  EXPECT_FALSE(leaseFromJson({{"holder", "a"}, {"fence", 3}, {"renewals", 1}})
                   .SettlesIn);
}

// Guards against records of builds that know `idle` only, and against records
// that such builds take for idle too early.
TEST(LeaseTest, RecordsAreReadByEarlierBuilds) {
  const nlohmann::json Earlier = {
      {"holder", "a"}, {"fence", 3}, {"renewals", 1}, {"idle", true}};
  EXPECT_EQ(leaseFromJson(Earlier).SettlesIn, 0ms);
  LeaseRecord Record{"a", 3, 1, 0ms};
  EXPECT_EQ(toJson(Record).at("idle"), true);
  EXPECT_EQ(leaseFromJson(toJson(Record)), Record);
  Record.SettlesIn = 1ms;
  EXPECT_EQ(toJson(Record).at("idle"), false);
  EXPECT_EQ(leaseFromJson(toJson(Record)), Record);
  Record.SettlesIn.reset();
  EXPECT_EQ(toJson(Record).at("idle"), false);
  EXPECT_EQ(leaseFromJson(toJson(Record)), Record);
}

// Guards against a weight rollout that misses its time limit when the holder
// freezes: the successor used to start measuring the term only when the holder
// was detected as failed, 1.8 s later. An observer must acquire the lease one
// term after it saw the last renewal, and never earlier.
TEST(LeaseTest, AnObserverAcquiresAnExpiredLeaseWithoutAnotherTerm) {
  LeaseHistory History(2);
  LeaseState &Holder = History.Contenders[0].State;
  Contender &Next = History.Contenders[1];
  Next.Interest = LeaseInterest::Observe;
  for (int I = 0; I < 4; ++I) {
    History.act(0);
    History.act(1);
    History.Store.drain();
  }
  ASSERT_TRUE(holdsLease(Holder, History.Now));
  const TimePoint Renewed = Holder.WriteStarted;
  const auto Advance = [&](TimePoint Until) {
    while (History.Now < Until) {
      History.Now += 100ms;
      History.act(1);
      History.Store.drain();
      EXPECT_TRUE(History.Now >= Renewed + Holder.Settings.Term ||
                  !holdsLease(Next.State, History.Now));
    }
  };
  // The holder is frozen, and its failure is not detected at first. The
  // observer has seen the last renewal at most one read period after it.
  const TimePoint Seen = Renewed + Next.State.Settings.RenewEvery;
  Advance(Seen + 1800ms);
  EXPECT_EQ(Next.State.Record.Holder, Holder.Settings.Self);
  Next.Interest = LeaseInterest::Act;
  Advance(Seen + Holder.Settings.Term + 500ms);
  EXPECT_TRUE(holdsLease(Next.State, History.Now));
}

// Guards against an observer that acquires or keeps the lease.
TEST(LeaseTest, AnObserverNeverAcquiresTheLease) {
  LeaseHistory History(1);
  Contender &Only = History.Contenders[0];
  Only.Interest = LeaseInterest::Observe;
  for (int I = 0; I < 100; ++I) {
    History.Now += 100ms;
    History.act(0);
    History.Store.drain();
    EXPECT_FALSE(holdsLease(Only.State, History.Now));
  }
  EXPECT_EQ(History.Store.Writes, 0);
  EXPECT_LE(History.Store.Reads,
            100 * 100ms / Only.State.Settings.RenewEvery + 1);
}

/// Contenders that learn by their own answers that the platform was restored.
class RestoredHistory {
public:
  struct Process {
    explicit Process(const std::string &Name,
                     const std::shared_ptr<testing_support::FakeStore> &Store)
        : Api(std::make_unique<FakePlatform>(Store)), State({.Self = Name}) {}
    std::unique_ptr<FakePlatform> Api;
    LeaseState State;
    std::optional<TimePoint> ActedAt;
  };

  explicit RestoredHistory(std::size_t Count) {
    this->Store->Era = 1;
    for (std::size_t I = 0; I < Count; ++I)
      this->start("entry-" + std::to_string(I));
  }

  void start(const std::string &Name) {
    this->Processes.push_back(std::make_unique<Process>(Name, this->Store));
    // A process reads its configuration before it contends for a lease.
    Process &Started = *this->Processes.back();
    Started.Api->get(this->keyOf(Started), [](const PlatformResult &) {});
    Started.Api->drain();
  }

  /// Replaces a process by one that knows nothing.
  void restart(std::size_t Index) {
    const std::string Name = "restarted-" + std::to_string(++this->Restarts) +
                             "-" + std::to_string(Index);
    this->start(Name);
    // The actions of the former process still count.
    std::swap(this->Processes[Index], this->Processes.back());
    this->Ended.push_back(std::move(this->Processes.back()));
    this->Processes.pop_back();
  }

  ObjectKey keyOf(const Process &Of) const {
    return {"lease", eraName("steward-models", Of.State.Era)};
  }

  void updateEra(Process &Each) {
    if (Each.State.Era != Each.Api->Era.current())
      enterEra(Each.State, Each.Api->Era.current(), this->Now);
  }

  void step(std::size_t Index) {
    Process &Each = *this->Processes[Index % this->Processes.size()];
    this->updateEra(Each);
    const auto Handle = [this, &Each, Era = Each.State.Era](auto Function) {
      return [this, &Each, Era, Function](const PlatformResult &Result) {
        this->updateEra(Each);
        if (Each.State.Era == Era)
          Function(Each.State, Result, this->Now);
      };
    };
    switch (nextLeaseAction(Each.State, this->Now, LeaseInterest::Act)) {
    case LeaseAction::Wait:
      break;
    case LeaseAction::Read:
      Each.Api->get(this->keyOf(Each), Handle(onLeaseRead));
      break;
    case LeaseAction::Write:
      Each.Api->put(this->keyOf(Each), toJson(Each.State.Written),
                    Each.State.Version, Handle(onLeaseWritten));
      break;
    }
  }

  void deliver(std::size_t Index) {
    FakePlatform &Api = *this->Processes[Index % this->Processes.size()]->Api;
    if (Api.pending() > 0)
      Api.stepAt(Index % Api.pending());
  }

  /// Lets a process act if it may, and checks its action against all others.
  /// Returns an error, empty if there is none.
  std::string act(std::size_t Index) {
    Process &Each = *this->Processes[Index % this->Processes.size()];
    this->updateEra(Each);
    if (!mayAct(Each.State, this->Now))
      return {};
    std::string Error;
    const auto CheckApart = [&](const Process &Other) {
      if (&Other != &Each && Other.ActedAt &&
          this->Now < *Other.ActedAt + Other.State.Settings.Term)
        Error = "acts within a term of " + Other.State.Settings.Self;
    };
    for (const auto &Other : this->Processes)
      CheckApart(*Other);
    for (const auto &Other : this->Ended)
      CheckApart(*Other);
    const std::uint64_t Fence = Each.State.Fence;
    if (Fence < this->HighestFence)
      Error = "a lower fence after a higher one";
    this->HighestFence = std::max(this->HighestFence, Fence);
    const auto [It, IsNew] =
        this->OwnerOfFence.emplace(Fence, Each.State.Settings.Self);
    if (It->second != Each.State.Settings.Self)
      Error = "the fence of " + It->second;
    Each.ActedAt = this->Now;
    ++this->Actions;
    return Error;
  }

  /// Lets a process make calls, which are answered at once, for \p Length.
  std::string run(std::size_t Index, Duration Length) {
    const TimePoint End = this->Now + Length;
    std::string Error;
    for (; this->Now < End; this->Now += 100ms) {
      this->step(Index);
      this->Processes[Index]->Api->drain();
      if (std::string Found = this->act(Index); !Found.empty())
        Error = std::move(Found);
    }
    return Error;
  }

  TimePoint Now{1h};
  std::shared_ptr<testing_support::FakeStore> Store =
      std::make_shared<testing_support::FakeStore>();
  std::vector<std::unique_ptr<Process>> Processes;
  std::vector<std::unique_ptr<Process>> Ended;
  std::map<std::uint64_t, std::string> OwnerOfFence;
  std::uint64_t HighestFence = 0;
  int Restarts = 0;
  int Actions = 0;
};

// Guards against a fence that is given out twice, or after a higher one, and
// against orders of two holders within a term, when the platform is restored
// several times while processes stand still, restart or call late.
RC_GTEST_PROP(LeaseTest, FencesGrowOverRestorations, ()) {
  const auto Count = static_cast<std::size_t>(*rc::gen::inRange(2, 5));
  RestoredHistory History(Count);
  const int Steps = *rc::gen::inRange(1000, 6000);
  for (int I = 0; I < Steps; ++I) {
    const auto Index = static_cast<std::size_t>(*rc::gen::inRange(0, 1000));
    const int Kind = *rc::gen::inRange(0, 1000);
    if (Kind < 300)
      History.step(Index);
    else if (Kind < 600)
      History.deliver(Index);
    else if (Kind < 700)
      RC_ASSERT(History.act(Index) == "");
    else if (Kind < 950)
      History.Now += Milliseconds(*rc::gen::inRange(1, 2000));
    else if (Kind < 970)
      History.Now += Milliseconds(*rc::gen::inRange(2000, 12000));
    else if (Kind < 982)
      History.Store->keepCopy();
    else if (Kind < 990)
      History.Store->restore();
    else if (Kind < 994)
      History.restart(Index % Count);
    else if (Kind < 997)
      History.Processes[Index % Count]->Api->LoseReplies = 1;
    else
      History.Processes[Index % Count]->Api->Outage =
          !History.Processes[Index % Count]->Api->Outage;
  }
  RC_CLASSIFY(History.Actions > 0, "acted");
  RC_CLASSIFY(History.Store->Era > 3, "several restorations");
}

// Guards against a frozen holder that finds its own record again after another
// one took over and the platform was restored.
TEST(LeaseTest, ARecordThatReappearsIsNotHeld) {
  RestoredHistory History(2);
  EXPECT_EQ(History.run(0, 30s), "");
  const std::uint64_t First = History.Processes[0]->State.Fence;
  ASSERT_GT(History.Actions, 0);
  History.Store->keepCopy();
  History.Processes[1]->Api->drain();
  EXPECT_EQ(History.run(1, 40s), "");
  const std::uint64_t Second = History.Processes[1]->State.Fence;
  EXPECT_GT(Second, First);
  History.Store->restore();
  for (int I = 0; I < 100; ++I) {
    EXPECT_EQ(History.run(0, 100ms), "");
    EXPECT_EQ(History.run(1, 100ms), "");
  }
  EXPECT_GT(History.HighestFence, Second);
}

// Guards against a wait of the present holder for itself: a rollout under way
// would stop for two terms.
TEST(LeaseTest, TheHolderGoesOnInANewEra) {
  RestoredHistory History(1);
  EXPECT_EQ(History.run(0, 30s), "");
  const LeaseState &State = History.Processes[0]->State;
  ASSERT_TRUE(mayAct(State, History.Now));
  History.Store->restore();
  const TimePoint Restored = History.Now;
  while (State.Era != 2 || !mayAct(State, History.Now))
    EXPECT_EQ(History.run(0, 100ms), "");
  EXPECT_LE(History.Now - Restored, State.Settings.RenewEvery + 1s);
  EXPECT_EQ(State.Fence, 2 * FencesPerEra + 1);
}

// Guards against a new holder that acts while one of the era before, which has
// not learned of the restoration yet, still may.
TEST(LeaseTest, ANewHolderWaitsForThoseOfTheEraBefore) {
  RestoredHistory History(1);
  EXPECT_EQ(History.run(0, 30s), "");
  const TimePoint LastAct = *History.Processes[0]->ActedAt;
  History.Store->restore();
  History.start("late");
  const LeaseState &Late = History.Processes[1]->State;
  while (!mayAct(Late, History.Now))
    EXPECT_EQ(History.run(1, 100ms), "");
  EXPECT_GE(History.Now - LastAct,
            Late.Settings.Term * 2 - Late.Settings.Margin);
}

// Guards against a lease that nobody acquires after restorations.
RC_GTEST_PROP(LeaseTest, IsAcquiredAfterRestorations, ()) {
  RestoredHistory History(3);
  const auto Script =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
  for (const int Each : Script) {
    if (Each < 3)
      History.run(static_cast<std::size_t>(Each), 2s);
    else if (Each == 3)
      History.Store->keepCopy();
    else if (Each == 4)
      History.Store->restore();
    else
      History.restart(1);
  }
  bool IsHeld = false;
  for (int I = 0; I < 60 && !IsHeld; ++I)
    for (std::size_t Each = 0; Each < 3; ++Each) {
      RC_ASSERT(History.run(Each, 500ms) == "");
      IsHeld |= mayAct(History.Processes[Each]->State, History.Now);
    }
  RC_ASSERT(IsHeld);
}

} // namespace
} // namespace galenaroute
