// Tests of the load reports exchanged between gateways, and of upstream choices
// that many gateways make with them at the same time.

#include "request/SharedUse.h"
#include "FreeAddress.h"
#include "process/EntryChannel.h"
#include "process/ErrorKind.h"
#include "request/UpstreamTable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <numeric>
#include <random>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1000s};

// Guards against sums that drift: each report replaces the previous one, and
// the report of a gateway that stops sending expires.
RC_GTEST_PROP(SharedUseTest, SumsMatchTheLastMessages, ()) {
  SharedUse Use(1s);
  std::map<std::string, std::pair<TimePoint, std::vector<UseItem>>> Last;
  TimePoint Now = Start;
  for (int I = *rc::gen::inRange(1, 40); I > 0; --I) {
    Now += Milliseconds(*rc::gen::inRange(0, 700));
    const std::string Gateway = "n" + std::to_string(*rc::gen::inRange(0, 4));
    std::vector<UseItem> Items;
    for (int J = *rc::gen::inRange(0, 4); J > 0; --J)
      Items.push_back({static_cast<std::uint32_t>(*rc::gen::inRange(0, 5)),
                       {static_cast<std::uint64_t>(*rc::gen::inRange(0, 3)),
                        static_cast<std::uint64_t>(*rc::gen::inRange(0, 900)),
                        static_cast<std::uint64_t>(*rc::gen::inRange(0, 90))}});
    if (Items.size() == 1 && Last.contains(Gateway)) {
      // An incremental report for one upstream between two full statuses.
      Use.updateItem(Gateway, Items[0], Now);
      auto &Reported = Last[Gateway].second;
      std::erase_if(Reported, [&](const UseItem &Each) {
        return Each.Key == Items[0].Key;
      });
      Reported.push_back(Items[0]);
    } else {
      std::map<std::uint32_t, UseItem> ByKey;
      for (const UseItem &Each : Items)
        ByKey[Each.Key] = Each;
      Items.clear();
      for (const auto &[Key, Each] : ByKey)
        Items.push_back(Each);
      Last[Gateway] = {Now, Items};
      Use.setReport(Gateway, Items, Now);
    }
    Use.expire(Now);
    std::erase_if(
        Last, [&](const auto &Each) { return Now - Each.second.first > 1s; });
    for (std::uint32_t Key = 0; Key < 5; ++Key) {
      UpstreamUse Sum;
      for (const auto &[Name, Reported] : Last)
        for (const UseItem &Each : Reported.second)
          if (Each.Key == Key) {
            Sum.Calls += Each.Use.Calls;
            Sum.Tokens += Each.Use.Tokens;
            Sum.TokensAhead += Each.Use.TokensAhead;
          }
      RC_ASSERT(Use.of(Key).Calls == Sum.Calls);
      RC_ASSERT(Use.of(Key).Tokens == Sum.Tokens);
      RC_ASSERT(Use.of(Key).TokensAhead == Sum.TokensAhead);
    }
  }
}

// Guards against a status that changes when it is encoded and decoded.
TEST(GossipMessagesTest, RoundTripsStatusesAndEntries) {
  EntryStatus Status;
  Status.From = "n1";
  Status.Use = {{7, {1, 2, 3}}};
  Status.Withheld = {"e4"};
  Status.Progress = {{"k", {5, 0xffffffffffffffff, 40ms}}};
  const GossipMessage Read = decodeGossip(encodeGossip({.Status = Status}));
  EXPECT_TRUE(Read.Records.empty());
  EXPECT_EQ(Read.Status.From, "n1");
  ASSERT_EQ(Read.Status.Use.size(), 1U);
  EXPECT_EQ(Read.Status.Use[0].Key, 7U);
  EXPECT_EQ(Read.Status.Use[0].Use.Calls, 1U);
  EXPECT_EQ(Read.Status.Use[0].Use.Tokens, 2U);
  EXPECT_EQ(Read.Status.Use[0].Use.TokensAhead, 3U);
  EXPECT_EQ(Read.Status.Withheld, std::vector<std::string>{"e4"});
  ASSERT_EQ(Read.Status.Progress.size(), 1U);
  EXPECT_EQ(Read.Status.Progress[0].first, "k");
  EXPECT_EQ(Read.Status.Progress[0].second.LastChange, 5U);
  EXPECT_EQ(Read.Status.Progress[0].second.Digest, 0xffffffffffffffffU);
  EXPECT_EQ(Read.Status.Progress[0].second.Age, Duration(40ms));

  const GossipMessage Part = decodeGossip(encodeGossip(
      {.Status = {
           .From = "n1", .Use = {{7, {1, 2, 3}}}, .IsIncremental = true}}));
  EXPECT_TRUE(Part.Status.IsIncremental);
  EXPECT_FALSE(Read.Status.IsIncremental);
  EXPECT_EQ(Part.Status.Use.size(), 1U);

  EntryRecord News;
  News.Id = "n2";
  News.Callers = {"10.0.0.1", 1};
  News.Gossip = {"10.0.0.1", 2};
  News.ReachesPlatform = true;
  const GossipMessage Other = decodeGossip(encodeGossip({.Records = {News}}));
  EXPECT_TRUE(Other.Status.From.empty());
  ASSERT_EQ(Other.Records.size(), 1U);
  EXPECT_EQ(Other.Records[0].Id, "n2");
  EXPECT_TRUE(Other.Records[0].ReachesPlatform);
  EXPECT_THROW(decodeGossip("\x01\x02garbage"), std::exception);
}

// Guards against a process that crashes on a foreign or truncated datagram.
TEST(EntryChannelTest, DropsMalformedDatagramsAndDeliversOthers) {
  EventLoop Loop;
  const SocketAddress First = freeAddress();
  const SocketAddress Second = freeAddress();
  std::vector<std::string> From;
  EntryChannel Here(Loop, First, [&](const GossipMessage &Message) {
    From.push_back(Message.Status.From);
    Loop.stop();
  });
  EntryChannel There(Loop, Second, [](const GossipMessage &) {});
  There.send(First, "\x81garbage");
  There.send(First, encodeGossip({.Status = {.From = "there"}}));
  Loop.run();
  EXPECT_EQ(From, std::vector<std::string>{"there"});
}

// Guards against two processes that receive gossip at one address, and against
// a start that fails while the predecessor still has the address.
TEST(EntryChannelTest, WaitsForAnAddressThatIsInUse) {
  EventLoop Loop;
  const SocketAddress Here = freeAddress();
  const SocketAddress There = freeAddress();
  std::vector<std::string> Before;
  std::vector<std::string> After;
  std::optional<EntryChannel> Predecessor;
  Predecessor.emplace(Loop, Here, [&](const GossipMessage &Message) {
    Before.push_back(Message.Status.From);
  });
  EntryChannel Successor(Loop, Here, [&](const GossipMessage &Message) {
    After.push_back(Message.Status.From);
  });
  EntryChannel Sender(Loop, There, [&](const GossipMessage &Message) {
    Before.push_back(Message.Status.From);
  });
  EXPECT_FALSE(Successor.isBound());
  Successor.send(There, encodeGossip({.Status = {.From = "unbound"}}));
  Sender.send(Here, encodeGossip({.Status = {.From = "first"}}));
  EXPECT_FALSE(Loop.runUntil([&] { return Successor.isBound(); }, 300ms));
  EXPECT_EQ(Before, std::vector<std::string>{"first"});
  EXPECT_TRUE(After.empty());

  Predecessor.reset();
  EXPECT_TRUE(Loop.runUntil([&] { return Successor.isBound(); }, 300ms));
  Sender.send(Here, encodeGossip({.Status = {.From = "second"}}));
  EXPECT_TRUE(Loop.runUntil([&] { return !After.empty(); }, 300ms));
  EXPECT_EQ(After, std::vector<std::string>{"second"});
  EXPECT_EQ(Before.size(), 1U);
}

/// Simulates many gateways that send long prompts to the same engines. Each
/// call occupies engine memory for RunTime. Gateways exchange statuses once per
/// Period.
struct Fleet {
  static constexpr int Gateways = 40;
  static constexpr int Engines = 30;
  static constexpr std::uint64_t EngineTokens = 120000;
  static constexpr std::uint32_t CallTokens = 12000;
  static constexpr std::uint32_t PrefillTokens = 3000;
  static constexpr Duration PrefillTime = 30ms;
  static constexpr Duration RunTime = 1200ms;
  static constexpr Duration Period = 120ms;

  Fleet(bool SharesLoad, UpstreamTableSettings Settings,
        bool ReportsImmediately = false)
      : SharesLoad(SharesLoad), ReportsImmediately(ReportsImmediately) {
    Settings.Zone = "a";
    for (int I = 0; I < Gateways; ++I) {
      this->Tables.emplace_back(Settings, [](const UpstreamEntry &) {
        return UpstreamTable::ConnectionCapacity{};
      });
      this->Tables.back().setGatewayCount(Gateways);
      for (int J = 0; J < Engines; ++J)
        this->Tables.back().put({.Id = "e" + std::to_string(J),
                                 .Service = "m",
                                 .Address = {"10.0.0." + std::to_string(J), 80},
                                 .Zone = "a",
                                 .Slots = 24,
                                 .BornMs = 1,
                                 .WeightVersions = {{"model", 1}}},
                                Start);
    }
  }

  struct Counts {
    int Sent = 0;
    int Waited = 0;   ///< Calls for which no engine had capacity.
    int Overfull = 0; ///< Calls sent to an engine without free memory.
    Duration
        LongestPrefill{}; ///< Longest time from a send to the end of prefill.
  };

  Counts simulate(double CallsPerSecond, Duration Time) {
    struct Running {
      TimePoint EndAt;
      int Gateway;
      std::string Engine;
    };
    Counts Result;
    std::deque<Running> InFlight;
    std::map<std::string, std::uint64_t> Used;
    std::map<std::string, TimePoint> PrefillingUntil;
    std::vector<Running> Prefilling;
    TimePoint NextStatus = Start;
    const Duration Gap = fromSeconds(1 / CallsPerSecond);
    for (TimePoint Now = Start; Now < Start + Time; Now += Gap) {
      while (!InFlight.empty() && InFlight.front().EndAt <= Now) {
        const Running &Done = InFlight.front();
        this->Tables[static_cast<std::size_t>(Done.Gateway)].noteEnded(
            Done.Engine, CallTokens);
        Used[Done.Engine] -= CallTokens;
        InFlight.pop_front();
      }
      std::erase_if(Prefilling, [&](const Running &Each) {
        if (Each.EndAt > Now)
          return false;
        this->Tables[static_cast<std::size_t>(Each.Gateway)].notePrefillEnded(
            Each.Engine, PrefillTokens);
        return true;
      });
      if (this->SharesLoad && Now >= NextStatus) {
        this->exchangeStatuses(Now);
        NextStatus = Now + Period;
      }
      const auto Gateway = static_cast<int>(this->Random() % Gateways);
      const auto Chosen = this->choose(Gateway, Now);
      if (Chosen.empty()) {
        ++Result.Waited;
        continue;
      }
      ++Result.Sent;
      Result.Overfull += Used[Chosen] + CallTokens > EngineTokens;
      Used[Chosen] += CallTokens;
      TimePoint &PrefilledAt = PrefillingUntil[Chosen];
      PrefilledAt = std::max(PrefilledAt, Now) + PrefillTime;
      Prefilling.push_back({PrefilledAt, Gateway, Chosen});
      Result.LongestPrefill =
          std::max(Result.LongestPrefill, PrefilledAt - Now);
      InFlight.push_back({Now + RunTime, Gateway, Chosen});
    }
    return Result;
  }

private:
  std::string choose(int Gateway, TimePoint Now) {
    UpstreamTable &Table = this->Tables[static_cast<std::size_t>(Gateway)];
    const std::vector<PromptPart> Parts = {
        {"book" + std::to_string(this->Random() % 400), 9000}, {"q", 3000}};
    UpstreamQuery Query;
    Query.Service = "m";
    Query.Parts = Parts;
    Query.Subject = lastSharedPart(Parts);
    Query.HomeZone = "a";
    Query.ScopeOf = [](std::uint64_t Weights) {
      return scopeOf("m", Weights, "");
    };
    Query.StoredIn = [](const std::string &, std::uint32_t) {
      return static_cast<const StoreView *>(nullptr);
    };
    Query.MemoryTokens = 70000;
    Query.EngineTokens = EngineTokens;
    Query.CallTokens = CallTokens;
    Query.Draw = this->Random();
    const auto To = Table.choose(Query, Now);
    if (!To.Entry)
      return {};
    std::string Id = To.Entry->Registered.Id;
    Table.noteSent(Id, PrefillTokens, CallTokens);
    Table.noteParts(Id, Query);
    if (this->ReportsImmediately)
      for (std::size_t I = 0; I < this->Tables.size(); ++I)
        if (I != static_cast<std::size_t>(Gateway))
          this->Tables[I].peerUse().updateItem("n" + std::to_string(Gateway),
                                               Table.ownUseOf(*To.Entry), Now);
    return Id;
  }

  void exchangeStatuses(TimePoint Now) {
    for (std::size_t From = 0; From < this->Tables.size(); ++From)
      for (std::size_t To = 0; To < this->Tables.size(); ++To)
        if (From != To)
          this->Tables[To].peerUse().setReport(
              "n" + std::to_string(From), this->Tables[From].ownUse(), Now);
  }

  bool SharesLoad;
  bool ReportsImmediately;
  std::vector<UpstreamTable> Tables;
  std::mt19937_64 Random{7};
};

// 40 gateways fill the memory of 30 engines to three quarters. Guards against
// overfilling some engines while others are free, as happens when each gateway
// knows only its own calls; a call to a full engine queues behind all others.
TEST(ManyGatewaysTest, KnowTheInFlightLoadOfOthers) {
  const double Rate = 0.75 * Fleet::Engines * Fleet::EngineTokens /
                      Fleet::CallTokens / toSeconds(Fleet::RunTime);
  const Fleet::Counts Alone = Fleet(false, {}).simulate(Rate, 20s);
  const Fleet::Counts Reported = Fleet(true, {}, true).simulate(Rate, 20s);
  EXPECT_GT(Alone.Overfull, Alone.Sent / 10)
      << "the load does not reproduce the fault";
  EXPECT_LT(Reported.Overfull, Reported.Sent / 50);
  EXPECT_LT(Reported.Waited, Reported.Sent / 10);
}

// With the same load, guards against all gateways sending the calls of one
// status period to the engines that had the lowest load at its beginning.
TEST(ManyGatewaysTest, DoNotSendToTheSameFewEngines) {
  const double Rate = 0.75 * Fleet::Engines * Fleet::EngineTokens /
                      Fleet::CallTokens / toSeconds(Fleet::RunTime);
  const Fleet::Counts All =
      Fleet(true, {.RankedCandidates = Fleet::Engines}).simulate(Rate, 20s);
  const Fleet::Counts Some = Fleet(true, {}).simulate(Rate, 20s);
  EXPECT_GT(All.Overfull, 2 * Some.Overfull)
      << "the load does not reproduce the fault";
}

// With the same load, guards against several gateways sending long prompts to
// one engine between two statuses. Without immediate reports, 10 such sends
// within 60 ms were observed, followed by none for two seconds.
TEST(ManyGatewaysTest, ReportLongPromptsImmediately) {
  const double Rate = 0.75 * Fleet::Engines * Fleet::EngineTokens /
                      Fleet::CallTokens / toSeconds(Fleet::RunTime);
  const Fleet::Counts Later = Fleet(true, {}).simulate(Rate, 20s);
  const Fleet::Counts AtOnce = Fleet(true, {}, true).simulate(Rate, 20s);
  EXPECT_GT(Later.LongestPrefill, 120ms)
      << "the load does not reproduce the fault";
  EXPECT_LE(AtOnce.LongestPrefill, 90ms);
  EXPECT_LT(AtOnce.Waited, AtOnce.Sent / 10);
}

} // namespace
} // namespace galenaroute
