// Tests of the bound on the refusals of brittle upstreams: its decisions, and
// fleets in virtual time before one upstream.

#include "request/BrittleUpstreams.h"
#include "request/UpstreamTable.h"

#include <deque>
#include <gtest/gtest.h>
#include <queue>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1000s};
const BrittleSettings Settings;

// Guards against a statement that ends with one late answer, or never.
TEST(BrittleStatementTest, EndsOnlyOnceAnswersNoLongerStateIt) {
  std::optional<BrittleStatement> Statement;
  EXPECT_FALSE(noteStatement(Statement, std::nullopt, Start, Settings));
  EXPECT_TRUE(noteStatement(Statement, 6, Start, Settings));
  EXPECT_FALSE(noteStatement(Statement, 6, Start + 1s, Settings));
  EXPECT_FALSE(
      noteStatement(Statement, std::nullopt, Start + 1500ms, Settings));
  EXPECT_TRUE(noteStatement(Statement, 4, Start + 2s, Settings));
  EXPECT_FALSE(isForgotten(*Statement, Start + 60s, Settings));
  EXPECT_TRUE(isForgotten(*Statement, Start + 63s, Settings));
  EXPECT_TRUE(noteStatement(Statement, std::nullopt, Start + 4s, Settings));
  EXPECT_FALSE(Statement);
}

// Guards against shares that together exceed what is divided.
TEST(BrittleAllowanceTest, SharesAddUpToTheSlotsOrTheRefusals) {
  for (const std::size_t Gateways : {1U, 6U, 7U, 96U, 960U})
    for (const int MaxRefusals : {0, 1, 6, 12, 200})
      for (const std::size_t Slots : {1U, 6U, 128U}) {
        std::size_t Calls = 0;
        std::size_t Awaited = 0;
        bool IsPooled = false;
        for (std::size_t I = 0; I < Gateways; ++I) {
          const BrittleAllowance Allowance =
              allowanceAt({Slots, MaxRefusals, Gateways, I}, Settings);
          Calls += Allowance.MaxCalls;
          Awaited += Allowance.MaxAwaited;
          IsPooled = Allowance.IsPooled;
        }
        if (IsPooled)
          EXPECT_LE(Awaited, static_cast<std::size_t>(MaxRefusals));
        else
          EXPECT_EQ(Calls, Slots);
      }
}

// Guards against calls that are sent before the last one may be accepted, and
// against refusals that are forgotten within a second.
TEST(BrittleAllowanceTest, ARefusalUsesUpACallForMoreThanASecond) {
  const BrittleAllowance Allowance = allowanceAt({6, 12, 6, 5}, Settings);
  ASSERT_EQ(Allowance.MaxAwaited, 1U);
  BrittleSends Sends;
  EXPECT_TRUE(mayCall(Allowance, Sends, 3, Start, Settings));
  noteAwaited(Sends, Start, Settings);
  EXPECT_FALSE(mayCall(Allowance, Sends, 4, Start + 50ms, Settings));
  EXPECT_TRUE(mayCall(Allowance, Sends, 4, Start + 100ms, Settings));
  noteRefused(Sends, Allowance, Start, 4, Start + 50ms, Settings);
  EXPECT_FALSE(mayCall(Allowance, Sends, 0, Start + 1200ms, Settings));
  EXPECT_FALSE(mayCall(Allowance, Sends, 4, Start + 1300ms, Settings));
  EXPECT_TRUE(mayCall(Allowance, Sends, 3, Start + 1300ms, Settings));
  EXPECT_TRUE(mayCall(Allowance, Sends, 4, Start + 2100ms, Settings));
}

/// A fleet whose gateways always have a call for the one upstream.
struct OverloadedFleet {
  std::size_t Gateways = 6;
  std::size_t Slots = 6;
  int MaxRefusals = 6;
  Duration RunTime = 200ms;
  /// Gateways that have calls; the others are idle.
  std::size_t Active = 6;
  bool Restarts = false; ///< One gateway each second forgets all its state.

  std::size_t MaxRefused = 0; ///< In any second.
  double Used = 0;            ///< Part of the slots.

  void play(Duration Time) {
    static constexpr Duration Latency = 5ms;
    struct Gateway {
      BrittleAllowance Allowance;
      BrittleSends Sends;
      int Calls = 0;
    };
    struct Event {
      TimePoint At;
      std::size_t To = 0;
      TimePoint SentAt;
      enum { Arrives, Refused, Ends } What = Arrives;
      bool operator<(const Event &Other) const { return At > Other.At; }
    };
    std::vector<Gateway> All(this->Gateways);
    for (std::size_t I = 0; I < this->Gateways; ++I) {
      All[I].Allowance = allowanceAt(
          {this->Slots, this->MaxRefusals, this->Gateways, I}, Settings);
      if (this->Gateways > this->Slots && !All[I].Allowance.MaxAwaited &&
          I >= this->Slots) {
        All[I].Allowance = allowanceWithoutShare(
            {this->Slots, this->MaxRefusals, this->Gateways, I}, 1, Settings);
        All[I].Sends.LockedUntil.push_back(
            Start + All[I].Allowance.RefusalLock * static_cast<int>(I) /
                        static_cast<int>(this->Gateways));
      }
    }
    std::priority_queue<Event> Events;
    std::deque<TimePoint> Refusals;
    std::size_t Running = 0;
    std::size_t Begun = 0;
    for (TimePoint Now = Start; Now < Start + Time; Now += 1ms) {
      for (; !Events.empty() && Events.top().At <= Now; Events.pop()) {
        const Event Next = Events.top();
        Gateway &From = All[Next.To];
        if (Next.What == Event::Arrives && this->Slots > Running) {
          ++Running;
          ++Begun;
          Events.push({Now + this->RunTime, Next.To, Next.SentAt, Event::Ends});
        } else if (Next.What == Event::Arrives) {
          Refusals.push_back(Now);
          while (Refusals.front() <= Now - 1s)
            Refusals.pop_front();
          this->MaxRefused = std::max(this->MaxRefused, Refusals.size());
          Events.push({Now + Latency, Next.To, Next.SentAt, Event::Refused});
        } else {
          From.Calls = std::max(0, From.Calls - 1);
          if (Next.What == Event::Refused) {
            noteRefused(From.Sends, From.Allowance, Next.SentAt, From.Calls,
                        Now, Settings);
          } else {
            --Running;
            noteAnswered(From.Sends, Next.SentAt);
          }
        }
      }
      if (this->Restarts && (Now - Start) % 1s == 999ms) {
        Gateway &Restarted =
            All[static_cast<std::size_t>((Now - Start) / 1s) % this->Gateways];
        Restarted.Sends = {};
        Restarted.Calls = 0;
      }
      for (std::size_t I = 0; I < this->Active; ++I)
        while (mayCall(All[I].Allowance, All[I].Sends, All[I].Calls, Now,
                       Settings)) {
          noteAwaited(All[I].Sends, Now, Settings);
          ++All[I].Calls;
          Events.push({Now + Latency, I, Now, Event::Arrives});
        }
    }
    this->Used = static_cast<double>(Begun) * toSeconds(this->RunTime) /
                 (static_cast<double>(this->Slots) * toSeconds(Time));
    std::printf(
        "%zu gateways, %zu slots, N %d: at most %zu refused, %.2f used\n",
        this->Gateways, this->Slots, this->MaxRefusals, this->MaxRefused,
        this->Used);
  }
};

// Guards against a bound that depends on the size of the fleet or the upstream.
TEST(BrittleFleetTest, RefusalsStayBelowTheStatedNumber) {
  for (OverloadedFleet Each : {
           OverloadedFleet{.Gateways = 6, .Slots = 6, .MaxRefusals = 6},
           OverloadedFleet{.Gateways = 6, .Slots = 6, .MaxRefusals = 12},
           OverloadedFleet{
               .Gateways = 6, .Slots = 128, .MaxRefusals = 20, .RunTime = 2s},
           OverloadedFleet{.Gateways = 24,
           .Slots = 32,
           .MaxRefusals = 5,
           .RunTime = 1s,
           .Active = 24},
           OverloadedFleet{.Gateways = 960,
           .Slots = 960,
           .MaxRefusals = 5,
           .RunTime = 1s,
           .Active = 960},
       }) {
    Each.play(20s);
    EXPECT_LE(Each.MaxRefused, static_cast<std::size_t>(Each.MaxRefusals));
    EXPECT_GE(Each.Used, 0.8);
  }
}

// Guards against gateways that forget their refusals when they restart.
TEST(BrittleFleetTest, ARestartStaysWithinTheMargin) {
  OverloadedFleet Shared{.MaxRefusals = 12, .Restarts = true};
  Shared.play(20s);
  EXPECT_LE(Shared.MaxRefused, 12U);
}

// Guards against room that is lost when only some gateways have calls, where
// the stated number allows to share it.
TEST(BrittleFleetTest, OneBusyGatewayUsesTheRoomOfIdleOnes) {
  OverloadedFleet Fleet{.MaxRefusals = 12, .RunTime = 1s, .Active = 1};
  Fleet.play(20s);
  EXPECT_LE(Fleet.MaxRefused, 12U);
  EXPECT_GE(Fleet.Used, 0.5);
}

// Guards against fleets larger than a service that all try its slots.
TEST(BrittleFleetTest, GatewaysWithoutASlotTryOneAfterAnother) {
  OverloadedFleet Fleet{
      .Gateways = 96, .Slots = 6, .MaxRefusals = 6, .Active = 96};
  Fleet.play(60s);
  EXPECT_LE(Fleet.MaxRefused, 6U);
}

class BrittleTableTest : public testing::Test {
protected:
  BrittleTableTest() {
    for (int I = 0; I < 2; ++I) {
      RegisteredUpstream Upstream;
      Upstream.Id = "u" + std::to_string(I);
      Upstream.Service = "d";
      Upstream.Address = {"10.0.0.1", static_cast<std::uint16_t>(80 + I)};
      Upstream.Slots = 6;
      Upstream.BornMs = 1;
      this->Table.put(Upstream, Start);
    }
    this->Table.setFleet(6, {1, 2, 3, 4, 5});
  }
  UpstreamTable::Chosen choose(TimePoint Now) const {
    UpstreamQuery Query;
    Query.Service = "d";
    return this->Table.choose(Query, Now);
  }
  std::string send(TimePoint Now) {
    const UpstreamTable::Chosen Choice = this->choose(Now);
    if (!Choice.Entry)
      return "";
    std::string Id = Choice.Entry->Registered.Id;
    this->Table.noteSent(Id, 0, 0);
    this->Table.noteAwaited(Id, Now);
    return Id;
  }

  UpstreamTable Table{{.Zone = "a", .GatewayId = "g"},
                      [](const UpstreamEntry &) {
                        return UpstreamTable::ConnectionCapacity{};
                      }};
};

// Guards against a statement that holds for one upstream of the service only.
TEST_F(BrittleTableTest, AStatementHoldsForTheService) {
  this->Table.noteBrittle("u0", 6, Start);
  EXPECT_NE(this->send(Start), "");
  EXPECT_NE(this->send(Start), "");
  EXPECT_EQ(this->send(Start), "");
  EXPECT_EQ(this->choose(Start).WithoutAllowance, 2U);
  this->Table.noteBrittle("u1", std::nullopt, Start + 3s);
  EXPECT_NE(this->send(Start + 3s), "");
}

// Guards against a bound that stays when the service is not heard any more.
TEST_F(BrittleTableTest, AStatementIsForgotten) {
  this->Table.noteBrittle("u0", 0, Start);
  while (!this->send(Start).empty()) {
  }
  this->Table.expire(Start + 59s);
  EXPECT_EQ(this->send(Start + 59s), "");
  this->Table.expire(Start + 61s);
  EXPECT_NE(this->send(Start + 61s), "");
}

// Guards against a wider share when other gateways are unknown or come late.
TEST_F(BrittleTableTest, GatewaysThatAreNotHeardKeepTheirShare) {
  this->Table.noteBrittle("u0", 6, Start);
  this->Table.setFleet(6, {});
  EXPECT_EQ(this->Table.find("u0")->Allowance->MaxCalls, 1U);
  this->Table.setFleet(7, {});
  // This one is taken for the last, and tries one upstream.
  EXPECT_EQ(this->Table.find("u0")->Allowance->MaxCalls +
                this->Table.find("u1")->Allowance->MaxCalls,
            1U);
}

} // namespace
} // namespace galenaroute
