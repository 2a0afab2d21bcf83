// Tests of what entries tell one another of their calls, and of choices made
// with it by many entries at once.

#include "request/SharedUse.h"
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

// Guards against sums that drift: each message replaces the one before, and a
// silent entry stops counting.
RC_GTEST_PROP(SharedUseTest, SumsMatchTheLastMessages, ()) {
  SharedUse Use(1s);
  std::map<std::string, std::pair<TimePoint, std::vector<UseItem>>> Last;
  TimePoint Now = Start;
  for (int I = *rc::gen::inRange(1, 40); I > 0; --I) {
    Now += Milliseconds(*rc::gen::inRange(0, 700));
    const std::string Entry = "n" + std::to_string(*rc::gen::inRange(0, 4));
    std::vector<UseItem> Items;
    for (int J = *rc::gen::inRange(0, 4); J > 0; --J)
      Items.push_back({static_cast<std::uint32_t>(*rc::gen::inRange(0, 5)),
                       {static_cast<std::uint64_t>(*rc::gen::inRange(0, 3)),
                        static_cast<std::uint64_t>(*rc::gen::inRange(0, 900)),
                        static_cast<std::uint64_t>(*rc::gen::inRange(0, 90))}});
    if (Items.size() == 1 && Last.contains(Entry)) {
      // One upstream is told of between two statuses.
      Use.noteOne(Entry, Items[0], Now);
      auto &Told = Last[Entry].second;
      std::erase_if(
          Told, [&](const UseItem &Each) { return Each.Key == Items[0].Key; });
      Told.push_back(Items[0]);
    } else {
      std::map<std::uint32_t, UseItem> ByKey;
      for (const UseItem &Each : Items)
        ByKey[Each.Key] = Each;
      Items.clear();
      for (const auto &[Key, Each] : ByKey)
        Items.push_back(Each);
      Last[Entry] = {Now, Items};
      Use.note(Entry, Items, Now);
    }
    Use.expire(Now);
    std::erase_if(
        Last, [&](const auto &Each) { return Now - Each.second.first > 1s; });
    for (std::uint32_t Key = 0; Key < 5; ++Key) {
      UpstreamUse Sum;
      for (const auto &[Name, Told] : Last)
        for (const UseItem &Each : Told.second)
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

// Guards against a status that another entry reads differently.
TEST(GossipMessagesTest, ReadsWhatItWrites) {
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

// Guards against a process that dies of a stray or cut datagram.
TEST(EntryChannelTest, DeliversWhatItCanRead) {
  EventLoop Loop;
  const SocketAddress First{"127.0.0.1", 21731};
  const SocketAddress Second{"127.0.0.1", 21732};
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
  EXPECT_THROW(EntryChannel(Loop, First, [](const GossipMessage &) {}), Error);
}

/// Many entries that send long prompts to the same engines; each call takes
/// memory there for a time. Statuses go round once a period.
struct Fleet {
  static constexpr int Entries = 40;
  static constexpr int Engines = 30;
  static constexpr std::uint64_t EngineTokens = 120000;
  static constexpr std::uint32_t CallTokens = 12000;
  static constexpr std::uint32_t ReadTokens = 3000;
  static constexpr Duration ReadTime = 30ms;
  static constexpr Duration RunTime = 1200ms;
  static constexpr Duration Period = 120ms;

  Fleet(bool TellsOthers, UpstreamTableSettings Settings,
        bool TellsAtOnce = false)
      : TellsOthers(TellsOthers), TellsAtOnce(TellsAtOnce) {
    Settings.Zone = "a";
    for (int I = 0; I < Entries; ++I) {
      this->Tables.emplace_back(Settings, [](const UpstreamEntry &) {
        return UpstreamTable::Room{};
      });
      this->Tables.back().setSenders(Entries);
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
    int Waited = 0;         ///< Calls for which no entry saw room.
    int Overfull = 0;       ///< Calls sent to an engine whose memory was taken.
    Duration LongestRead{}; ///< From a send until the prompt was read.
  };

  Counts play(double CallsPerSecond, Duration Time) {
    struct Running {
      TimePoint EndAt;
      int Entry;
      std::string Engine;
    };
    Counts Result;
    std::deque<Running> Under;
    std::map<std::string, std::uint64_t> Used;
    std::map<std::string, TimePoint> ReadingUntil;
    std::vector<Running> Reading;
    TimePoint NextStatus = Start;
    const Duration Gap = fromSeconds(1 / CallsPerSecond);
    for (TimePoint Now = Start; Now < Start + Time; Now += Gap) {
      while (!Under.empty() && Under.front().EndAt <= Now) {
        const Running &Done = Under.front();
        this->Tables[static_cast<std::size_t>(Done.Entry)].noteEnded(
            Done.Engine, CallTokens);
        Used[Done.Engine] -= CallTokens;
        Under.pop_front();
      }
      std::erase_if(Reading, [&](const Running &Each) {
        if (Each.EndAt > Now)
          return false;
        this->Tables[static_cast<std::size_t>(Each.Entry)].noteStarted(
            Each.Engine, ReadTokens);
        return true;
      });
      if (this->TellsOthers && Now >= NextStatus) {
        this->tell(Now);
        NextStatus = Now + Period;
      }
      const auto Entry = static_cast<int>(this->Random() % Entries);
      const auto Chosen = this->choose(Entry, Now);
      if (Chosen.empty()) {
        ++Result.Waited;
        continue;
      }
      ++Result.Sent;
      Result.Overfull += Used[Chosen] + CallTokens > EngineTokens;
      Used[Chosen] += CallTokens;
      TimePoint &ReadAt = ReadingUntil[Chosen];
      ReadAt = std::max(ReadAt, Now) + ReadTime;
      Reading.push_back({ReadAt, Entry, Chosen});
      Result.LongestRead = std::max(Result.LongestRead, ReadAt - Now);
      Under.push_back({Now + RunTime, Entry, Chosen});
    }
    return Result;
  }

private:
  std::string choose(int Entry, TimePoint Now) {
    UpstreamTable &Table = this->Tables[static_cast<std::size_t>(Entry)];
    const std::vector<PromptPart> Parts = {
        {"book" + std::to_string(this->Random() % 400), 9000}, {"q", 3000}};
    UpstreamQuery Query;
    Query.Service = "m";
    Query.Parts = Parts;
    Query.Subject = subjectOf(Parts);
    Query.HomeZone = "a";
    Query.ScopeOf = [](std::uint64_t Weights) { return scopeOf(Weights, ""); };
    Query.StoredIn = [](const std::string &, std::uint32_t) {
      return static_cast<const StorePlace *>(nullptr);
    };
    Query.MemoryTokens = 70000;
    Query.EngineTokens = EngineTokens;
    Query.CallTokens = CallTokens;
    Query.Draw = this->Random();
    const auto To = Table.choose(Query, Now);
    if (!To.Entry)
      return {};
    std::string Id = To.Entry->Registered.Id;
    Table.noteSent(Id, ReadTokens, CallTokens);
    Table.noteParts(Id, Query);
    if (this->TellsAtOnce)
      for (std::size_t I = 0; I < this->Tables.size(); ++I)
        if (I != static_cast<std::size_t>(Entry))
          this->Tables[I].othersUse().noteOne("n" + std::to_string(Entry),
                                              Table.ownUseOf(*To.Entry), Now);
    return Id;
  }

  void tell(TimePoint Now) {
    for (std::size_t From = 0; From < this->Tables.size(); ++From)
      for (std::size_t To = 0; To < this->Tables.size(); ++To)
        if (From != To)
          this->Tables[To].othersUse().note("n" + std::to_string(From),
                                            this->Tables[From].ownUse(), Now);
  }

  bool TellsOthers;
  bool TellsAtOnce;
  std::vector<UpstreamTable> Tables;
  std::mt19937_64 Random{7};
};

// The load: 40 entries fill the memory of 30 engines to three quarters. Without
// statuses each entry knows its own calls only and overfills engines while
// others are free; calls there wait behind all others.
TEST(ManyEntriesTest, KnowWhatTheOthersHaveUnderWay) {
  const double Rate = 0.75 * Fleet::Engines * Fleet::EngineTokens /
                      Fleet::CallTokens / toSeconds(Fleet::RunTime);
  const Fleet::Counts Alone = Fleet(false, {}).play(Rate, 20s);
  const Fleet::Counts Told = Fleet(true, {}, true).play(Rate, 20s);
  EXPECT_GT(Alone.Overfull, Alone.Sent / 10) << "the load shows the fault";
  EXPECT_LT(Told.Overfull, Told.Sent / 50);
  EXPECT_LT(Told.Waited, Told.Sent / 10);
}

// The load is the same. Guards against all entries sending what comes within
// one status period to the engines that seemed the freest at its beginning.
TEST(ManyEntriesTest, DoNotSendToTheSameFewEngines) {
  const double Rate = 0.75 * Fleet::Engines * Fleet::EngineTokens /
                      Fleet::CallTokens / toSeconds(Fleet::RunTime);
  const Fleet::Counts All =
      Fleet(true, {.RankedCandidates = Fleet::Engines}).play(Rate, 20s);
  const Fleet::Counts Some = Fleet(true, {}).play(Rate, 20s);
  EXPECT_GT(All.Overfull, 2 * Some.Overfull) << "the load shows the fault";
}

// The load is the same. Guards against several entries sending long prompts to
// one engine between two statuses: 10 within 60 ms were seen, and then none for
// two seconds.
TEST(ManyEntriesTest, TellAtOnceOfLongPrompts) {
  const double Rate = 0.75 * Fleet::Engines * Fleet::EngineTokens /
                      Fleet::CallTokens / toSeconds(Fleet::RunTime);
  const Fleet::Counts Later = Fleet(true, {}).play(Rate, 20s);
  const Fleet::Counts AtOnce = Fleet(true, {}, true).play(Rate, 20s);
  EXPECT_GT(Later.LongestRead, 120ms) << "the load shows the fault";
  EXPECT_LE(AtOnce.LongestRead, 90ms);
  EXPECT_LT(AtOnce.Waited, AtOnce.Sent / 10);
}

} // namespace
} // namespace galenaroute
