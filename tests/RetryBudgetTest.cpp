// Tests of the retry budgets of all processes of a fleet together.

#include "request/RetryBudget.h"
#include "process/EntryGossip.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

struct FleetCase {
  std::size_t ProcessCount;
  double Slack;
  int CallsInWindow; ///< Of the service, at all gateways together.
};

class RetryBudgetTest : public testing::TestWithParam<FleetCase> {
protected:
  static constexpr double Share = 0.2;

  /// Distributes \p Calls over the budgets and retries as often as they allow.
  static int retry(std::vector<RetryBudget> &Budgets, int Calls) {
    int Retries = 0;
    for (int I = 0; I < Calls; ++I) {
      RetryBudget &Each = Budgets[static_cast<std::size_t>(I) % Budgets.size()];
      noteCall(Each);
      for (; hasRetry(Each); ++Retries)
        spendRetry(Each);
    }
    return Retries;
  }
  static int allowed(const FleetCase &Case) {
    return static_cast<int>(Share * Case.CallsInWindow + Case.Slack);
  }
  std::vector<RetryBudget> started() const {
    return {GetParam().ProcessCount,
            budgetPerProcess(Share, GetParam().Slack, GetParam().ProcessCount)};
  }
};

// All upstreams fail while all processes are killed repeatedly. Guards against
// a budget that is refilled by each start of a process.
TEST_P(RetryBudgetTest, ARestartingFleetStaysWithinItsBudget) {
  const FleetCase &Case = GetParam();
  std::vector<RetryBudget> Budgets = this->started();
  for (RetryBudget &Each : Budgets)
    Each.Available = Each.Capacity;
  int Retries = 0;
  for (int Round = 0; Round < 3; ++Round) {
    Retries += retry(Budgets, Case.CallsInWindow / 3);
    Budgets = this->started();
  }
  EXPECT_LE(Retries, allowed(Case));
  EXPECT_GT(Retries, allowed(Case) / 4) << "the budget can be used";
}

INSTANTIATE_TEST_SUITE_P(Fleets, RetryBudgetTest,
                         testing::Values(FleetCase{7, 54, 500},
                                         FleetCase{62, 164, 2600},
                                         FleetCase{82, 204, 3000},
                                         FleetCase{295, 630, 3000},
                                         FleetCase{295, 630, 900}));

// Guards against each side of a network partition using the whole budget
// because it counts unreachable gateways as gone.
TEST(RetryBudgetShareTest, APartitionedProcessKeepsItsShare) {
  EntryRecord Self;
  Self.Id = "n0";
  EntryGossip Gossip(Self, {});
  const TimePoint Start{1h};
  std::vector<EntryRecord> Others(6);
  for (std::size_t I = 0; I < Others.size(); ++I) {
    Others[I].Id = "n" + std::to_string(I + 1);
    Others[I].Heartbeat = 1;
  }
  Others[5].IsLeaving = true;
  Gossip.receive(Others, Start);
  EXPECT_EQ(Gossip.countAlive(Start + 10s), 0u);
  EXPECT_EQ(Gossip.countKnown(), 5u);
  const RetryBudget Share = budgetPerProcess(0.2, 54, Gossip.countKnown() + 1);
  EXPECT_LE(6 * Share.Capacity, 54);
}

// Guards against an entry that starts in a partition and takes the entries that
// it hears for the whole fleet.
TEST(RetryBudgetShareTest, AnEntryLearnsTheSizeOfTheFleetFromOthers) {
  EntryRecord Self;
  Self.Id = "n0";
  EntryGossip Started(Self, {});
  const TimePoint Start{1h};
  EntryRecord Other;
  Other.Id = "n1";
  Other.Heartbeat = 1;
  Other.KnownEntries = 6;
  Started.receive(std::vector{Other}, Start);
  EXPECT_EQ(Started.fleetSize(Start), 6u);
  // Nobody knows of the others any more once the peer is gone.
  EXPECT_EQ(Started.fleetSize(Start + 10s), 2u);
}

} // namespace
} // namespace galenaroute
