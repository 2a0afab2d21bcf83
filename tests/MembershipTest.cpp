// Tests of membership and of the choice of entries, on a simulated fleet with
// random messages, failures and restarts.

#include "process/Entries.h"

#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

/// One daemon of the simulated fleet.
struct Node {
  Membership State;
  bool Frozen = false;
};

/// Connects nodes by address and delivers messages in order per direction.
class Fleet {
public:
  explicit Fleet(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      this->startNode(I, 1000 + I);
  }

  static SocketAddress addressOf(std::size_t Index) {
    return {"10.0.0." + std::to_string(Index + 1), 7000};
  }

  void startNode(std::size_t Index, std::uint64_t Incarnation,
                 const std::string &Suffix = "") {
    auto Added = std::make_unique<Node>();
    MemberInfo &Self = Added->State.Self;
    Self.PeerAddress = addressOf(Index);
    Self.CallerAddress = {Self.PeerAddress.Host, 80};
    Self.Id = Self.PeerAddress.toString() + Suffix;
    Self.Incarnation = Incarnation;
    Self.Zone = "zone-" + std::to_string(Index % 3);
    this->Nodes[Index] = std::move(Added);
    this->step(Index, SeedsKnown{{addressOf(0), addressOf(1)}});
  }

  void stopNode(std::size_t Index) {
    this->Nodes.erase(Index);
    this->cutLinks([Index](std::size_t A, std::size_t B) {
      return A == Index || B == Index;
    });
  }

  /// Cuts the links selected by \p Match; messages in flight on them are lost.
  void cutLinks(const std::function<bool(std::size_t, std::size_t)> &Match) {
    std::vector<std::pair<std::size_t, std::size_t>> Cut;
    for (const auto &[Pair, Queue] : this->Links)
      if (Match(Pair.first, Pair.second))
        Cut.push_back(Pair);
    for (const auto &Pair : Cut)
      this->Links.erase(Pair);
    for (const auto &[From, To] : Cut)
      if (this->Nodes.contains(From) && this->PeerIds.contains({From, To}))
        this->step(From, LinkLost{this->PeerIds.at({From, To})});
  }

  void step(std::size_t Index, const MembershipEvent &Event) {
    Node &At = *this->Nodes.at(Index);
    if (At.Frozen)
      return;
    MembershipActions Actions = apply(At.State, Event, this->Now);
    for (const auto &Each : Actions.Gossips)
      for (auto &[Pair, Queue] : this->Links)
        if (Pair.first == Index && this->PeerIds.at(Pair) == Each.To)
          Queue.push_back(Each.Records);
    for (const auto &Each : Actions.Connects)
      this->Attempts.push_back({Index, Each});
  }

  /// Advances the time by 100 ms, opens connections and delivers all messages.
  void advance() {
    this->Now += 100ms;
    std::vector<std::size_t> Running;
    for (const auto &[Index, Each] : this->Nodes)
      Running.push_back(Index);
    for (const std::size_t Index : Running)
      this->step(Index, MembershipTick{});
    for (int Round = 0; Round < 3; ++Round) {
      this->connectAll();
      auto Batch = std::move(this->Links);
      for (const auto &[Pair, Queue] : Batch)
        this->Links[Pair];
      for (const auto &[Pair, Queue] : Batch)
        for (const auto &Records : Queue)
          if (this->Nodes.contains(Pair.second) && this->Links.contains(Pair))
            this->step(Pair.second, GossipReceived{Records});
    }
  }

  std::map<std::size_t, std::unique_ptr<Node>> Nodes;
  TimePoint Now = TimePoint() + 1h;

private:
  void connectAll() {
    auto Batch = std::move(this->Attempts);
    this->Attempts.clear();
    for (const auto &[From, Attempt] : Batch) {
      if (!this->Nodes.contains(From))
        continue;
      std::size_t To = 0;
      while (To < 20 && addressOf(To) != Attempt.To)
        ++To;
      if (To == From)
        continue;
      const auto It = this->Nodes.find(To);
      if (It == this->Nodes.end() || It->second->Frozen) {
        if (!Attempt.Id.empty())
          this->step(From, ConnectFailed{Attempt.Id});
        continue;
      }
      MemberInfo Near = this->Nodes.at(From)->State.Self;
      MemberInfo Far = It->second->State.Self;
      this->Links[{From, To}];
      this->Links[{To, From}];
      this->PeerIds[{From, To}] = Far.Id;
      this->PeerIds[{To, From}] = Near.Id;
      this->step(To, LinkOpened{Near});
      this->step(From, LinkOpened{Far});
      if (!Attempt.Id.empty() && Attempt.Id != Far.Id)
        this->step(From, ConnectFailed{Attempt.Id});
    }
  }

  using Pair = std::pair<std::size_t, std::size_t>;
  std::map<Pair, std::deque<std::vector<MemberInfo>>> Links;
  std::map<Pair, std::string> PeerIds;
  std::vector<std::pair<std::size_t, MembershipActions::Connect>> Attempts;
};

std::set<std::string> liveIds(const Membership &Of) {
  std::set<std::string> Result;
  for (const MemberInfo &Each : liveMembers(Of))
    Result.insert(Each.Id);
  return Result;
}

// Guards against daemons that never agree on who is alive after message losses,
// restarts (also with a clock that went back, or under another id), freezes and
// cut links, and against returning a leaving or dead entry.
RC_GTEST_PROP(MembershipTest, ConvergesAfterLossesAndRestarts, ()) {
  const std::size_t Count = *rc::gen::inRange<std::size_t>(3, 10);
  Fleet All(Count);
  for (int I = 0; I < 30; ++I)
    All.advance();
  std::mt19937_64 Random(*rc::gen::arbitrary<std::uint64_t>());
  const auto Steps = *rc::gen::inRange(5, 40);
  std::set<std::size_t> Leaving;
  for (int I = 0; I < Steps; ++I) {
    const std::size_t Index = Random() % Count;
    switch (Random() % 8) {
    case 0:
      All.stopNode(Index);
      Leaving.erase(Index);
      break;
    case 1:
      All.stopNode(Index);
      Leaving.erase(Index);
      All.startNode(Index, 500 + Random() % 2000);
      break;
    case 2:
      // A process with a new id has a later start time than the old one.
      All.stopNode(Index);
      Leaving.erase(Index);
      All.startNode(Index, 10000 + static_cast<unsigned>(I) * 100,
                    "#" + std::to_string(I));
      break;
    case 3:
      if (All.Nodes.contains(Index)) {
        All.Nodes.at(Index)->Frozen = true;
        All.cutLinks([Index](std::size_t A, std::size_t B) {
          return A == Index || B == Index;
        });
      }
      break;
    case 4:
      All.cutLinks([&](std::size_t A, std::size_t B) {
        return std::minmax(A, B) == std::minmax(Index, (Index + 1) % Count);
      });
      break;
    case 5:
      if (All.Nodes.contains(Index) && Random() % 4 == 0) {
        All.Nodes.at(Index)->Frozen = false;
        All.step(Index, SelfLeaving{});
        Leaving.insert(Index);
      }
      break;
    default:
      for (auto J = Random() % 40; J > 0; --J)
        All.advance();
    }
  }
  // A partitioned fleet can only rejoin if the seeds are up.
  std::set<std::string> Expected;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    if (Index < 2 && !All.Nodes.contains(Index))
      All.startNode(Index, 50000);
    if (!All.Nodes.contains(Index))
      continue;
    All.Nodes.at(Index)->Frozen = false;
    if (!Leaving.contains(Index))
      Expected.insert(All.Nodes.at(Index)->State.Self.Id);
  }
  // A daemon finds its links closed after a freeze.
  All.cutLinks([](std::size_t, std::size_t) { return true; });
  for (int I = 0; I < 1200; ++I)
    All.advance();
  for (const auto &[Index, Each] : All.Nodes) {
    RC_ASSERT(liveIds(Each->State) == Expected);
    const std::vector<Entry> Answer = chooseEntries(Each->State, 0, {}, Random);
    for (const Entry &Returned : Answer)
      for (const std::size_t Left : Leaving)
        RC_ASSERT(Returned.Address.Host != Fleet::addressOf(Left).Host);
    RC_ASSERT(Answer.size() ==
              std::min(Expected.size(), EntriesSettings().MaxEntries));
  }
}

Membership largeFleet(std::size_t Count) {
  Membership Result;
  Result.Self = {"self", 1, "zone-0", {"10.9.9.9", 1}, {"10.9.9.9", 2}};
  GossipReceived Event;
  for (std::size_t I = 0; I < Count; ++I) {
    const SocketAddress Address{"10.0." + std::to_string(I / 250) + "." +
                                    std::to_string(I % 250),
                                7000};
    Event.Records.push_back({Address.toString(), 1,
                             "zone-" + std::to_string(I % 10), Address,
                             Address});
  }
  apply(Result, Event, {});
  return Result;
}

// Guards against a cost per daemon that grows with the fleet.
TEST(MembershipTest, KeepsTheSameNumberOfNeighboursInALargeFleet) {
  EXPECT_EQ(neighbours(largeFleet(6)).size(), 6U);
  const Membership Large = largeFleet(959);
  const auto Chosen = neighbours(Large);
  EXPECT_EQ(Chosen.size(), 6U);
  EXPECT_EQ(std::count_if(Chosen.begin(), Chosen.end(),
                          [&](const std::string &Id) {
                            return Large.Members.at(Id).Info.Zone == "zone-0";
                          }),
            4);
}

// Guards against sending callers to a loaded entry as often as to an idle one,
// and against leaving the callers of a failed zone without an entry.
TEST(EntriesTest, PrefersTheOwnZoneAndLowLoadAndIncludesAnotherZone) {
  Membership Fleet = largeFleet(60);
  const std::string Busy = Fleet.Members.begin()->first;
  for (const auto &[Id, Each] : Fleet.Members)
    apply(Fleet, LoadReported{Id, Id == Busy ? 99U : 4U}, {});
  std::mt19937_64 Random(7);
  std::map<std::string, int> First;
  for (int I = 0; I < 3000; ++I) {
    const std::vector<Entry> Answer = chooseEntries(Fleet, 4, {}, Random);
    ASSERT_EQ(Answer.size(), 4U);
    EXPECT_EQ(Answer[0].Zone, "zone-0");
    EXPECT_NE(Answer[3].Zone, "zone-0");
    ++First[Answer[0].Address.toString()];
  }
  EXPECT_LT(First[Busy], 3000 / 7 / 5);
}

// Guards against returning an entry that only the VM list marks as leaving.
TEST(EntriesTest, OmitsEntriesMarkedAsLeavingInTheVmList) {
  Membership Fleet = largeFleet(2);
  VmsListed Event;
  for (const auto &[Id, Each] : Fleet.Members)
    Event.Vms.push_back({Each.Info.PeerAddress, "zone-0", "entry", true});
  EXPECT_TRUE(apply(Fleet, Event, {}).MembersChanged);
  std::mt19937_64 Random(7);
  const std::vector<Entry> Answer = chooseEntries(Fleet, 0, {}, Random);
  ASSERT_EQ(Answer.size(), 1U);
  EXPECT_EQ(Answer[0].Address, Fleet.Self.CallerAddress);
}

} // namespace
} // namespace galenaroute
