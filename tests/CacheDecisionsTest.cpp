// Tests of the cache index, reuse plans, link budgets and prefetching.

#include "request/Prefetch.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1000s};

std::vector<BlockKey> keysOf(std::string_view Customer,
                             std::string_view Version,
                             const std::string &Blocks) {
  std::string Text;
  for (const char Block : Blocks)
    Text += std::string(BlockBytes, Block);
  return blockKeys({Customer, "m", Version, ""}, Text);
}

std::size_t blocksAt(CacheIndex &Index, std::string_view Holder,
                     std::span<const BlockKey> Keys) {
  for (const HeldPrefix &Held : heldPrefixes(Index, Keys))
    if (Held.Holder == Holder)
      return Held.Blocks;
  return 0;
}

// Compares the index with sets of blocks over any sequence of events, lost
// events, restarts and listings. Guards against stale hints, undetected gaps,
// and counting blocks after a missing one.
RC_GTEST_PROP(CacheIndexProperty, MatchesModelUnlessAListingIsDue, ()) {
  const std::vector<BlockKey> Keys = keysOf("c", "v", "abcd");
  const std::vector<std::string> Names{"e0", "e1"};
  struct Engine {
    std::set<BlockKey> Blocks;
    std::vector<CacheEvent> Events;
    std::uint64_t Seq = 0, First = 1;
  };
  std::vector<Engine> Engines(2);
  CacheIndex Index;
  for (const std::string &Name : Names) {
    addHolder(Index, Name, HolderKind::Engine);
    applyListing(Index, Name, 0, {});
  }
  const int Steps = *rc::gen::inRange(1, 50);
  for (int Step = 0; Step < Steps; ++Step) {
    const std::size_t E = *rc::gen::inRange<std::size_t>(0, 2);
    Engine &Engine = Engines[E];
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
    case 1:
    case 2: {
      const BlockKey Key = Keys[*rc::gen::inRange<std::size_t>(0, 4)];
      const bool Added = *rc::gen::arbitrary<bool>();
      if (Added)
        Engine.Blocks.insert(Key);
      else
        Engine.Blocks.erase(Key);
      Engine.Events.push_back({++Engine.Seq, Added, Key});
      break;
    }
    case 3:
      if (!Engine.Events.empty()) {
        Engine.First = Engine.Events.front().Seq + 1;
        Engine.Events.erase(Engine.Events.begin());
      }
      break;
    case 4:
      Engine = {};
      // A restart is detected when the sequence number decreases.
      applyEvents(Index, Names[E], {0, 1, {}});
      break;
    default:
      if (needsListing(Index, Names[E]))
        applyListing(
            Index, Names[E], Engine.Seq,
            std::vector<BlockKey>(Engine.Blocks.begin(), Engine.Blocks.end()));
    }
    CacheEventBatch Batch{Engine.Seq, Engine.First, {}};
    for (const CacheEvent &Event : Engine.Events)
      if (Event.Seq > lastSeq(Index, Names[E]))
        Batch.Events.push_back(Event);
    applyEvents(Index, Names[E], Batch);
    if (needsListing(Index, Names[E]))
      continue;
    std::size_t Expected = 0;
    while (Expected < Keys.size() && Engine.Blocks.contains(Keys[Expected]))
      ++Expected;
    RC_ASSERT(blocksAt(Index, Names[E], Keys) == Expected);
  }
}

// Guards against using a hint of one customer or weight version for another
// that has the same prompt.
RC_GTEST_PROP(CacheIndexProperty, HintsNeverCrossCustomersOrVersions, ()) {
  const std::string Blocks = *rc::gen::nonEmpty(
      rc::gen::container<std::string>(rc::gen::element('a', 'b')));
  CacheIndex Index;
  addHolder(Index, "e", HolderKind::Engine);
  applyListing(Index, "e", 1, keysOf("c", "v", Blocks));
  RC_ASSERT(blocksAt(Index, "e", keysOf("c", "v", Blocks)) == Blocks.size());
  RC_ASSERT(heldPrefixes(Index, keysOf("d", "v", Blocks)).empty());
  RC_ASSERT(heldPrefixes(Index, keysOf("c", "w", Blocks)).empty());
}

// Guards against memory that grows with the total size of all caches.
TEST(CacheIndexTest, MemoryIsBoundedAndRemovedHoldersAreForgotten) {
  CacheIndex Index;
  Index.Options.MaxKeys = 3;
  addHolder(Index, "e", HolderKind::Engine);
  const std::vector<BlockKey> Keys = keysOf("c", "v", "abcdef");
  applyListing(Index, "e", 1, Keys);
  EXPECT_EQ(Index.Keys.size(), 3U);
  EXPECT_EQ(Index.ByUse.size(), 3U);
  applyListing(Index, "e", 1, std::span(Keys).first(2));
  EXPECT_EQ(blocksAt(Index, "e", Keys), 2U);
  removeHolder(Index, "e");
  EXPECT_TRUE(heldPrefixes(Index, Keys).empty());
}

// Guards against a plan that is slower than importing some other number of
// blocks, by comparison with an exhaustive search.
RC_GTEST_PROP(CachePlanProperty, PlanIsAsFastAsExhaustiveSearch, ()) {
  const CachePlanOptions Options{.MinGain = {}};
  LinkMap Links;
  std::vector<HeldPrefix> Held{
      {"u", HolderKind::Engine, *rc::gen::inRange<std::size_t>(0, 20)}};
  for (const char *Store : {"s0", "s1"}) {
    LinkState &Link = Links[Store];
    Link.BytesPerSecond = *rc::gen::inRange(1, 400) * 1e6;
    Link.OutstandingBytes = *rc::gen::inRange(0, 40) * 1e6;
    Link.MaxSeconds = *rc::gen::inRange(1, 5);
    Held.push_back(
        {Store, HolderKind::Store, *rc::gen::inRange<std::size_t>(0, 40)});
  }
  UpstreamView View{.Name = "u",
                    .PrefillTokensPerSecond =
                        *rc::gen::inRange(1000, 20000) * 1.0};
  View.PendingTokens[0] = *rc::gen::inRange(0, 20000);
  const std::size_t Blocks = *rc::gen::inRange<std::size_t>(1, 40);
  const PromptToPlan Prompt{.Customer = "c",
                            .PromptTokens =
                                static_cast<double>(Blocks) * 1000 + 300,
                            .Blocks = Blocks};
  const RouteRequest Request{.PromptTokens = Prompt.PromptTokens};
  std::vector<UpstreamView> Views{View};
  const ReusePlan Plan = planReuse(Held, Prompt, Links, Views, Options)[0];
  RC_ASSERT(Plan.ImportBytes <=
            (Plan.Store.empty() ? 0 : availableBytes(Links[Plan.Store], "c")));
  const double Planned = toSeconds(expectedFirstToken(Views[0], Request, {}));
  const std::size_t Engine = std::min(Held[0].Blocks, Blocks);
  for (std::size_t S = 1; S < Held.size(); ++S)
    for (std::size_t End = Engine; End <= std::min(Held[S].Blocks, Blocks);
         ++End) {
      const LinkState &Link = Links.find(Held[S].Holder)->second;
      const double Bytes =
          static_cast<double>(End - Engine) * Options.BlockBytes;
      if (Bytes > availableBytes(Link, "c"))
        break;
      UpstreamView Tried = View;
      Tried.CachedTokens = static_cast<double>(Engine) * 1000;
      Tried.ImportedTokens = static_cast<double>(End - Engine) * 1000;
      if (End > Engine)
        Tried.ImportTime =
            Options.ImportDelay +
            fromSeconds((Link.OutstandingBytes + Bytes) / Link.BytesPerSecond);
      RC_ASSERT(Planned <=
                toSeconds(expectedFirstToken(Tried, Request, {})) + 1e-6);
    }
}

// Guards against overcommitting a link or a customer's share of it, and against
// transfers that don't return their reservations.
RC_GTEST_PROP(CachePlanProperty, LinkBudgetsAreNeverExceeded, ()) {
  LinkMap Links{{"s", {}}};
  LinkState &Link = Links["s"];
  Link.Smoothing = 0;
  const double Budget = Link.BytesPerSecond * Link.MaxSeconds;
  std::vector<LinkReservation> Open;
  for (const int Step :
       *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60))) {
    const std::string Customer(1, static_cast<char>('a' + Step % 3));
    if (Step % 4 == 3 && !Open.empty()) {
      releaseLink(Links, Open.back(), true, Start + 1s);
      Open.pop_back();
    } else if (auto Reservation =
                   reserveLink(Links, "s", Customer, Step * 1e6, Start)) {
      Open.push_back(*Reservation);
    }
    std::map<std::string, double> Sums;
    double Total = 0;
    for (const LinkReservation &Reservation : Open) {
      Sums[Reservation.Customer] += Reservation.Bytes;
      Total += Reservation.Bytes;
    }
    RC_ASSERT(Total <= Budget + 1);
    for (const auto &[Name, Sum] : Sums)
      RC_ASSERT(Sum <= Budget * Link.CustomerShare + 1);
  }
  for (const LinkReservation &Reservation : Open)
    releaseLink(Links, Reservation, false, Start + 1s);
  RC_ASSERT(Link.OutstandingBytes == 0);
  RC_ASSERT(Link.ByCustomer.empty());
}

// Guards against importing over a link that has become slower than recomputing.
TEST(CachePlanTest, RecomputesInsteadOfImportingOverASlowLink) {
  LinkMap Links{{"s", {.BytesPerSecond = 400e6}}};
  const std::vector<HeldPrefix> Held{{"s", HolderKind::Store, 10}};
  std::vector<UpstreamView> Views{
      {.Name = "u", .PrefillTokensPerSecond = 5000}};
  const PromptToPlan Prompt{
      .Customer = "c", .PromptTokens = 10000, .Blocks = 10};
  EXPECT_EQ(planReuse(Held, Prompt, Links, Views, {})[0].Store, "s");
  for (int I = 0; I < 40; ++I) {
    const auto Reservation = reserveLink(Links, "s", "c", 16e6, Start);
    ASSERT_TRUE(Reservation);
    releaseLink(Links, *Reservation, true, Start + 400ms);
  }
  EXPECT_NEAR(Links["s"].BytesPerSecond, 40e6, 1e6);
  EXPECT_EQ(planReuse(Held, Prompt, Links, Views, {})[0].Store, "");
  EXPECT_FALSE(
      planExport(Held, keysOf("c", "v", "abcdefghijkl"), "c", Links, 5000, {}));
}

// Guards against exporting blocks that a store already has, which wastes link
// capacity.
TEST(CachePlanTest, ExportsOnlyBlocksThatNoStoreHas) {
  const LinkMap Links{{"s0", {.BytesPerSecond = 1e9}},
                      {"s1", {.BytesPerSecond = 1e9}}};
  const std::vector<BlockKey> Keys = keysOf("c", "v", "abcd");
  const std::vector<HeldPrefix> Held{{"e", HolderKind::Engine, 4},
                                     {"s1", HolderKind::Store, 2}};
  const auto Plan = planExport(Held, Keys, "c", Links, 5000, {});
  ASSERT_TRUE(Plan);
  EXPECT_EQ(Plan->Store, "s1");
  EXPECT_EQ(Plan->FirstBlock, 2U);
  EXPECT_EQ(Plan->EndBlock, 4U);
  const std::vector<HeldPrefix> All{{"s0", HolderKind::Store, 4}};
  EXPECT_FALSE(planExport(All, Keys, "c", Links, 5000, {}));
}

class PrefetchTest : public testing::Test {
protected:
  PrefetchTest() {
    addHolder(this->Index, "s", HolderKind::Store);
    applyListing(this->Index, "s", 0, this->Keys);
    addHolder(this->Index, "e", HolderKind::Engine);
    applyListing(this->Index, "e", 0, {});
  }

  const std::vector<BlockKey> Keys = keysOf("c", "v", "abcd");
  CacheIndex Index;
  LinkMap Links{{"s", {.BytesPerSecond = 1e9}}};
  PrefetchTable Table;
};

// Guards against prefetching prompts too early, twice, or without regular uses.
TEST_F(PrefetchTest, PrefetchesRegularPromptsOnceShortlyBeforeTheirNextUse) {
  for (int I = 0; I < 4; ++I)
    notePromptUse(this->Table, "c", this->Keys, Start + I * 600s);
  const TimePoint Last = Start + 1800s;
  EXPECT_TRUE(
      planPrefetch(this->Table, this->Index, this->Links, Last + 500s).empty());
  const auto Plans =
      planPrefetch(this->Table, this->Index, this->Links, Last + 599s);
  ASSERT_EQ(Plans.size(), 1U);
  EXPECT_EQ(Plans[0].Store, "s");
  EXPECT_EQ(Plans[0].Keys, this->Keys);
  EXPECT_TRUE(
      planPrefetch(this->Table, this->Index, this->Links, Last + 600s).empty());
  for (const int Gap : {10, 900, 30, 2000})
    notePromptUse(this->Table, "c", this->Keys,
                  this->Table.Prompts.begin()->second.LastUse +
                      std::chrono::seconds(Gap));
  EXPECT_FALSE(
      expectedReturn(this->Table.Prompts.begin()->second, this->Table.Options));
}

// Guards against prefetching competing with imports that callers wait for, and
// against importing blocks that an engine already has.
TEST_F(PrefetchTest, YieldsBusyLinksAndSkipsBlocksInEngines) {
  for (int I = 0; I < 4; ++I)
    notePromptUse(this->Table, "c", this->Keys, Start + I * 600s);
  const TimePoint Due = Start + 2399s;
  LinkMap Busy{{"s", {.BytesPerSecond = 300e6}}};
  EXPECT_TRUE(planPrefetch(this->Table, this->Index, Busy, Due).empty());
  applyListing(this->Index, "e", 0, this->Keys);
  EXPECT_TRUE(planPrefetch(this->Table, this->Index, this->Links, Due).empty());
}

// Guards against prefetching the ends of prompts that share only a prefix.
TEST_F(PrefetchTest, ExpectsTheCommonPrefixOfPromptsThatDiffer) {
  notePromptUse(this->Table, "c", keysOf("c", "v", "abx"), Start);
  notePromptUse(this->Table, "c", keysOf("c", "v", "aby"), Start + 60s);
  EXPECT_EQ(this->Table.Prompts.begin()->second.Keys.size(), 2U);
  notePromptUse(this->Table, "c", keysOf("c", "v", "abyz"), Start + 120s);
  EXPECT_EQ(this->Table.Prompts.begin()->second.Keys.size(), 4U);
  this->Table.Options.MaxPrompts = 1;
  notePromptUse(this->Table, "c", keysOf("c", "v", "zz"), Start + 180s);
  EXPECT_EQ(this->Table.Prompts.size(), 1U);
}

} // namespace
} // namespace galenaroute
