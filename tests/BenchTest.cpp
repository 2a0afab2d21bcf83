// Tests of the load tool's planning and measures.

#include "Summary.h"
#include "Workload.h"

#include <gtest/gtest.h>

namespace galenaroute::bench {
namespace {

using namespace std::chrono_literals;

// Guards against policies being compared on different calls.
TEST(WorkloadTest, IsAFunctionOfSettingsAndSeed) {
  const WorkloadSettings Settings = harwoodWorkload(0.5);
  const auto A = planCalls(Settings, 7, 10);
  const auto B = planCalls(Settings, 7, 10);
  const auto C = planCalls(Settings, 8, 10);
  ASSERT_EQ(A.size(), B.size());
  for (std::size_t I = 0; I < A.size(); ++I) {
    EXPECT_EQ(A[I].At, B[I].At);
    EXPECT_EQ(A[I].Prompt, B[I].Prompt);
  }
  EXPECT_NE(A.front().At, C.front().At);
}

// Guards against a crest that is no crest.
TEST(WorkloadTest, DoublesTheRateInTheSwing) {
  WorkloadSettings Settings = harwoodWorkload(1);
  Settings.Length = 100s;
  Settings.MaxCalls = 1000000;
  double Swing = 0;
  double Rest = 0;
  for (const PlannedCall &Each : planCalls(Settings, 1, 10))
    ++(isWithin(Each.At, Settings.Length, Settings.SwingFrom, Settings.SwingTo)
           ? Swing
           : Rest);
  EXPECT_NEAR((Swing / 30) / (Rest / 70), Settings.SwingFactor, 0.2);
}

// Guards against a percentile that is off by one rank.
TEST(SummaryTest, TakesTheNearestRank) {
  std::vector<double> Samples;
  for (int I = 100; I >= 1; --I)
    Samples.push_back(I);
  EXPECT_EQ(quantile(Samples, 0.5), 50);
  EXPECT_EQ(quantile(Samples, 0.99), 99);
  EXPECT_EQ(quantile({3}, 0.01), 3);
  EXPECT_EQ(quantile({}, 0.5), std::nullopt);
}

// Guards against lost calls looking like refused ones, and against reuse that
// is counted for prompts seen for the first time.
TEST(SummaryTest, SeparatesOutcomesAndCountsReuseOfReturningPrompts) {
  WorkloadSettings Settings;
  Settings.Length = 10s;
  std::vector<PlannedCall> Calls(4);
  RunRecord Run;
  for (PlannedCall &Each : Calls) {
    Each.At = 6s;
    Each.Class = CallClass::Long;
    Each.Prompt = std::string(8000, 'p');
  }
  for (const Outcome End :
       {Outcome::Answered, Outcome::Answered, Outcome::Refused, Outcome::Lost})
    Run.Calls.push_back({6s, CallClass::Long, End, 0.1});
  Run.Counts.CachedTokens = 1000;
  const Values Result = summarize(Run, Calls, Settings);
  EXPECT_EQ(Result.at("crest_in_time"), 50);
  EXPECT_EQ(Result.at("crest_refused"), 25);
  EXPECT_EQ(Result.at("crest_lost"), 25);
  EXPECT_EQ(Result.at("recomputed"), 50);
}

} // namespace
} // namespace galenaroute::bench
