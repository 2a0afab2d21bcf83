// Tests of the choice of an upstream and of its inputs: the upstream tracker,
// slow upstreams and block keys.

#include "request/BlockChain.h"
#include "request/SlowUpstreams.h"
#include "request/UpstreamTracker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1000s};

ServiceConfig serviceOf(int Count) {
  ServiceConfig Service{.Name = "m", .WeightVersion = "v1", .Slots = 8};
  for (int I = 0; I < Count; ++I)
    Service.Upstreams.push_back(
        {.Name = "u" + std::to_string(I),
         .Address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + I)},
         .Zone = "a"});
  return Service;
}

std::vector<UpstreamView> viewsAt(const UpstreamTracker &Tracker,
                                  TimePoint Now) {
  std::vector<UpstreamView> Views;
  viewsOf(Tracker, Now, Views);
  return Views;
}

/// The estimate of section 8 of the design document, implemented directly.
double referenceSeconds(const UpstreamView &View, const RouteRequest &Request) {
  double Total = 0, Higher = 0;
  for (int I = 0; I < 3; ++I) {
    Total += View.PendingTokens[I];
    Higher += I <= static_cast<int>(Request.Class) ? View.PendingTokens[I] : 0;
  }
  const double Reported =
      View.HasReport
          ? View.ReportedTokens + View.TokensSinceReport -
                View.PrefillTokensPerSecond * toSeconds(View.ReportAge)
          : 0;
  const double Ahead = std::max(Higher, std::max(Reported, 0.0) *
                                            (Total > 0 ? Higher / Total : 1.0));
  return toSeconds(2 * View.NetworkDelay) +
         (Ahead + std::max(Request.PromptTokens - View.CachedTokens, 0.0)) /
             View.PrefillTokensPerSecond;
}

// Guards against a choice that differs from the estimate in the design
// document, exhaustively over small sets of loads and cached prefixes.
TEST(RoutingTest, ChoosesTheLeastExpectedTimeOfASimpleReference) {
  RandomGenerator Generator(1);
  RouteState State;
  const RouteOptions Options{.TieShare = 0, .TieTime = {}};
  const std::array<double, 4> Values{0, 500, 2000, 9000};
  for (int Case = 0; Case < 4 * 4 * 4 * 4 * 4 * 4; ++Case) {
    std::vector<UpstreamView> Views(3);
    for (int I = 0, Rest = Case; I < 3; ++I, Rest /= 16) {
      Views[I] = {.Slots = 8,
                  .HasReport = I != 1,
                  .ReportedTokens = Values[Rest % 4],
                  .ReportAge = 50ms,
                  .PendingTokens = {100, 0, Values[Rest / 4 % 4]},
                  .PrefillTokensPerSecond = 8000 + 100.0 * I,
                  .CachedTokens = Values[(Rest + I) % 4]};
    }
    RouteRequest Request{.PromptTokens = 4000};
    Request.Class = static_cast<PromptClass>(Case % 3);
    const auto Choice = chooseUpstream(RoutePolicy::ExpectedTime, Request,
                                       Views, State, Generator, Options);
    ASSERT_TRUE(Choice);
    for (const UpstreamView &View : Views)
      EXPECT_LE(toSeconds(Choice->ExpectedFirstToken),
                referenceSeconds(View, Request) + 1e-6);
  }
}

// Guards, for every policy, against sending work to an upstream that is
// leaving, runs other weights or has no free slot for the class.
RC_GTEST_PROP(RoutingProperty, NeverChoosesAnIneligibleUpstream, ()) {
  const int Count = *rc::gen::inRange(1, 9);
  std::vector<UpstreamView> Views;
  std::vector<std::string> Names;
  Names.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Names.push_back("u" + std::to_string(I));
  for (int I = 0; I < Count; ++I) {
    UpstreamView View{.Name = Names[I], .Slots = *rc::gen::inRange(1, 5)};
    View.TakesNewWork = *rc::gen::arbitrary<bool>();
    View.WeightVersion = *rc::gen::element("v1", "v2", "");
    for (int &Running : View.OutstandingByClass)
      Running = *rc::gen::inRange(0, 3);
    Views.push_back(View);
  }
  RouteRequest Request{.PromptTokens = 100, .WeightVersion = "v1"};
  Request.Class = static_cast<PromptClass>(*rc::gen::inRange(0, 3));
  Request.NeedsFreeSlot = *rc::gen::arbitrary<bool>();
  const std::vector<std::string> Excluded{Names[0]};
  Request.Excluded = Excluded;
  RouteState State;
  RandomGenerator Generator(*rc::gen::arbitrary<unsigned>());
  bool AnyEligible = false, AnyOther = false;
  for (int I = 0; I < Count; ++I) {
    AnyEligible = AnyEligible || isEligible(Views[I], Request);
    AnyOther = AnyOther || (I > 0 && isEligible(Views[I], Request));
  }
  for (const RoutePolicy Policy :
       {RoutePolicy::ExpectedTime, RoutePolicy::Random, RoutePolicy::RoundRobin,
        RoutePolicy::LeastOutstanding, RoutePolicy::Affinity}) {
    const auto Choice =
        chooseUpstream(Policy, Request, Views, State, Generator);
    RC_ASSERT(Choice.has_value() == AnyEligible);
    if (Choice) {
      RC_ASSERT(isEligible(Views[Choice->Index], Request));
      RC_ASSERT(!AnyOther || Choice->Index != 0);
    }
  }
}

// Guards against long work using the slots reserved for short work.
RC_GTEST_PROP(RoutingProperty, FreeSlotsKeepTheShortReserve, ()) {
  UpstreamView View{.Slots = *rc::gen::inRange(2, 40)};
  const SlotLimits Limits;
  while (true) {
    const auto Class = static_cast<PromptClass>(*rc::gen::inRange(1, 3));
    if (freeSlotsFor(View, Class, Limits) == 0)
      break;
    ++View.OutstandingByClass[static_cast<std::size_t>(Class)];
  }
  RC_ASSERT(freeSlotsFor(View, PromptClass::Short, Limits) >= 1);
  RC_ASSERT(View.OutstandingByClass[2] <=
            std::max(1, static_cast<int>(View.Slots * Limits.LongShare)));
}

// Guards against counting work twice, or not at all, between a lagging report
// and this gateway's own sends.
TEST(RoutingTest, CombinesALaggedReportWithWorkSentSince) {
  UpstreamTracker Tracker;
  setUpstreams(Tracker, serviceOf(1), "cell", "a", {});
  noteSent(Tracker, {.Attempt = "x", .Upstream = "u0", .UncachedTokens = 1000},
           Start);
  LoadReport Report{.SampledAt = Start + 100ms,
                    .QueuedTokens = 1000,
                    .PrefillTokensPerSecond = 5000};
  noteLoadReport(Tracker, "u0", Report, Start + 200ms);
  noteSent(Tracker, {.Attempt = "y", .Upstream = "u0", .UncachedTokens = 2000},
           Start + 150ms);
  // 1,000 reported + 2,000 since, less 100 ms at 5,000 tokens/s.
  const UpstreamView View = viewsAt(Tracker, Start + 200ms)[0];
  EXPECT_EQ(View.TokensSinceReport, 2000);
  // The 3,000 tokens known to have no first token yet bound it from below.
  EXPECT_DOUBLE_EQ(tokensAhead(View, PromptClass::Long, {}), 3000);
  noteFirstToken(Tracker, "x", {}, Start + 200ms);
  EXPECT_NEAR(
      tokensAhead(viewsAt(Tracker, Start + 200ms)[0], PromptClass::Long, {}),
      3000 - viewsAt(Tracker, Start + 200ms)[0].PrefillTokensPerSecond * 0.1,
      1);
}

// Guards against counters that drift when attempts end in any order, and
// against events of removed attempts or upstreams.
RC_GTEST_PROP(RoutingProperty, TrackerReturnsToZeroWhenAllAttemptsEnd, ()) {
  UpstreamTracker Tracker;
  setUpstreams(Tracker, serviceOf(3), "cell", "a", {});
  TimePoint Now = Start;
  std::vector<std::string> Open;
  const int Steps = *rc::gen::inRange(1, 60);
  for (int I = 0; I < Steps; ++I) {
    Now += 3ms;
    if (Open.empty() || *rc::gen::arbitrary<bool>()) {
      const std::string Attempt = std::to_string(I);
      noteSent(Tracker,
               {.Attempt = Attempt,
                .Upstream = "u" + std::to_string(*rc::gen::inRange(0, 4)),
                .Class = static_cast<PromptClass>(*rc::gen::inRange(0, 3)),
                .UncachedTokens = *rc::gen::inRange(0, 9000) / 7.0},
               Now);
      Open.push_back(Attempt);
      continue;
    }
    const std::size_t Which = *rc::gen::inRange<std::size_t>(0, Open.size());
    if (*rc::gen::arbitrary<bool>())
      noteFirstToken(Tracker, Open[Which], {}, Now);
    else {
      noteFinished(Tracker, Open[Which], 10, Now);
      Open.erase(Open.begin() + static_cast<std::ptrdiff_t>(Which));
    }
  }
  for (const std::string &Attempt : Open)
    noteFailed(Tracker, Attempt, AttemptFailure::Cancelled, Now);
  RC_ASSERT(Tracker.Attempts.empty());
  RC_ASSERT(ownWork(Tracker).empty());
  for (const UpstreamView &View : viewsAt(Tracker, Now)) {
    RC_ASSERT(View.outstanding() == 0);
    RC_ASSERT(tokensAhead(View, PromptClass::Long, {}) == 0);
  }
}

// Guards against sending more work to a frozen engine, which yields no samples.
TEST(RoutingTest, AvoidsAnUpstreamThatGivesNoFirstToken) {
  UpstreamTracker Tracker;
  setUpstreams(Tracker, serviceOf(2), "cell", "a", {});
  for (const char *Name : {"u0", "u1"}) {
    const LoadReport Report{.SampledAt = Start,
                            .PrefillTokensPerSecond = 10000};
    noteLoadReport(Tracker, Name, Report, Start);
  }
  noteSent(Tracker, {.Attempt = "x", .Upstream = "u0", .UncachedTokens = 100},
           Start);
  const std::vector<UpstreamView> Views = viewsAt(Tracker, Start + 1s);
  RandomGenerator Generator(1);
  RouteState State;
  for (int I = 0; I < 50; ++I)
    EXPECT_EQ(chooseUpstream(RoutePolicy::ExpectedTime, {.PromptTokens = 500},
                             Views, State, Generator)
                  ->Index,
              1U);
}

// Guards against new work for upstreams that refuse connections, and against
// blocking a whole service because all of its upstreams failed.
TEST(RoutingTest, PausesAfterFailuresButNeverAllUpstreams) {
  UpstreamTracker Tracker;
  setUpstreams(Tracker, serviceOf(2), "cell", "a", {});
  const auto Fail = [&](const std::string &Name) {
    for (int I = 0; I < 2; ++I) {
      noteSent(Tracker, {.Attempt = "x", .Upstream = Name}, Start);
      noteFailed(Tracker, "x", AttemptFailure::Connect, Start);
    }
  };
  Fail("u0");
  EXPECT_FALSE(viewsAt(Tracker, Start + 1ms)[0].TakesNewWork);
  EXPECT_TRUE(viewsAt(Tracker, Start + 1ms)[1].TakesNewWork);
  Fail("u1");
  EXPECT_TRUE(viewsAt(Tracker, Start + 1ms)[0].TakesNewWork);
  setUpstreams(Tracker, serviceOf(2), "cell", "a", {"u0", "127.0.0.1:9001"});
  EXPECT_FALSE(viewsAt(Tracker, Start + 9s)[0].TakesNewWork);
  EXPECT_FALSE(viewsAt(Tracker, Start + 9s)[1].TakesNewWork);
}

// Guards against counting the work of a dead peer indefinitely.
TEST(RoutingTest, PeerWorkCountsUntilItIsOld) {
  UpstreamTracker Tracker;
  setUpstreams(Tracker, serviceOf(1), "cell", "a", {});
  const std::vector<UpstreamWork> Work{{"u0", {10, 20, 30}, {1, 2, 3}}};
  notePeerDigest(Tracker, "p", Work, Start);
  notePeerDigest(Tracker, "p", Work, Start + 1s);
  EXPECT_EQ(viewsAt(Tracker, Start + 1s)[0].outstanding(), 6);
  EXPECT_EQ(viewsAt(Tracker, Start + 4s)[0].outstanding(), 0);
}

// Guards against the number of load reports growing with the fleet, and
// against most of the subset changing when one upstream is added.
TEST(RoutingTest, SubsetIsBoundedAndStable) {
  UpstreamTracker Tracker;
  setUpstreams(Tracker, serviceOf(6900), "cell", "a", {});
  EXPECT_EQ(Tracker.Upstreams.size(), Tracker.Options.SubsetLimit);
  const auto Before = Tracker.Upstreams;
  setUpstreams(Tracker, serviceOf(6901), "cell", "a", {});
  std::size_t Kept = 0;
  for (const auto &[Name, Record] : Tracker.Upstreams)
    Kept += Before.contains(Name) ? 1 : 0;
  EXPECT_GE(Kept, Tracker.Options.SubsetLimit - 1);
}

// Guards against avoiding so many upstreams that the rest is overloaded, and
// against state changes between the two thresholds.
RC_GTEST_PROP(SlowProperty, NeverMoreThanHalfAreWeightedDown, ()) {
  const auto Speeds = *rc::gen::container<std::vector<double>>(rc::gen::map(
      rc::gen::inRange(0, 101), [](int Percent) { return Percent / 100.0; }));
  std::vector<bool> Was;
  for (std::size_t I = 0; I < Speeds.size(); ++I)
    Was.push_back(*rc::gen::arbitrary<bool>());
  const std::vector<bool> Slow = chooseSlow(Speeds, Was, {});
  const auto Count =
      static_cast<std::size_t>(std::count(Slow.begin(), Slow.end(), true));
  RC_ASSERT(Count <= Speeds.size() / 2);
  for (std::size_t I = 0; I < Speeds.size(); ++I) {
    RC_ASSERT(!Slow[I] || Speeds[I] < 0.75);
    RC_ASSERT(!Slow[I] || Was[I] || Speeds[I] < 0.5);
  }
}

// Guards against avoiding a slow upstream after it has recovered, and against
// probes with several requests.
TEST(SlowTest, ProbesASlowUpstreamWithOneRequestAtATime) {
  UpstreamTracker Tracker;
  setUpstreams(Tracker, serviceOf(4), "cell", "a", {});
  for (auto &[Name, Record] : Tracker.Upstreams) {
    Record.ObservedPrefill = Name == "u0" ? 1000 : 10000;
    Record.PrefillObservedAt = Start;
  }
  updateShares(Tracker, {}, Start);
  EXPECT_LT(viewsAt(Tracker, Start)[0].Share, 0.2);
  EXPECT_EQ(viewsAt(Tracker, Start)[1].Share, 1);
  const TimePoint Later = Start + 1100ms;
  EXPECT_EQ(viewsAt(Tracker, Later)[0].Share, 1);
  EXPECT_EQ(viewsAt(Tracker, Later)[0].PrefillTokensPerSecond, 10000);
  noteSent(Tracker, {.Attempt = "x", .Upstream = "u0", .UncachedTokens = 1000},
           Later);
  EXPECT_LT(viewsAt(Tracker, Later)[0].Share, 0.2);
  Tracker.Upstreams.at("u0").ObservedPrefill = 9000;
  updateShares(Tracker, {}, Later);
  EXPECT_EQ(viewsAt(Tracker, Later)[0].Share, 1);
}

// Guards against cache keys that are shared between customers, versions, models
// or adapters, and against a key that ignores an earlier part of the prompt.
RC_GTEST_PROP(BlockChainProperty, KeysAreSharedExactlyWithPrefixAndScope, ()) {
  const auto Blocks =
      *rc::gen::container<std::vector<char>>(rc::gen::element('a', 'b'));
  const auto Others =
      *rc::gen::container<std::vector<char>>(rc::gen::element('a', 'b'));
  const auto TextOf = [](const std::vector<char> &Letters) {
    std::string Text;
    for (const char Letter : Letters)
      Text += std::string(BlockBytes, Letter);
    return Text + "tail";
  };
  const CacheScope Scope{"c", "m", "v", ""};
  const auto Keys = blockKeys(Scope, TextOf(Blocks));
  const auto OtherKeys = blockKeys(Scope, TextOf(Others));
  RC_ASSERT(Keys.size() == Blocks.size());
  bool SamePrefix = true;
  for (std::size_t I = 0; I < std::min(Keys.size(), OtherKeys.size()); ++I) {
    SamePrefix = SamePrefix && Blocks[I] == Others[I];
    RC_ASSERT((Keys[I] == OtherKeys[I]) == SamePrefix);
    RC_ASSERT(digestFromHex(toHex(Keys[I])) == Keys[I]);
  }
  for (const CacheScope &Foreign :
       {CacheScope{"d", "m", "v", ""}, CacheScope{"c", "n", "v", ""},
        CacheScope{"c", "m", "w", ""}, CacheScope{"c", "m", "v", "x"},
        CacheScope{"cm", "", "v", ""}})
    for (const BlockKey &Key : blockKeys(Foreign, TextOf(Blocks)))
      RC_ASSERT(std::find(Keys.begin(), Keys.end(), Key) == Keys.end());
}

TEST(BlockChainTest, DigestMatchesCoreutils) {
  // The SHA-256 of the eight-byte length 3 and "abc", computed with coreutils.
  EXPECT_EQ(toHex(digestOf({"abc"})),
            "ce91dc5eec0139adf091900d225971d6ad246a845bad791b5693a9d0d55dd391");
  EXPECT_FALSE(digestFromHex("zz"));
}

} // namespace
} // namespace galenaroute
