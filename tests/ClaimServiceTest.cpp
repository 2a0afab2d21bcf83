// Tests of at-most-once claims: histories of random concurrent runs, and
// individual decisions.

#include "ClaimFleet.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using testing_support::ClaimFleet;
using testing_support::FakePlatform;

// Guards against a call that runs twice, a call that runs after it was answered
// "not run", and a repeat that doesn't get the first response, under all faults
// of ClaimFleet.
RC_GTEST_PROP(ClaimHistoryTest, NoKeyIsExecutedTwice, ()) {
  const auto Nodes = *rc::gen::inRange<std::size_t>(1, 5);
  const auto Keys = *rc::gen::inRange(1U, 6U);
  ClaimFleet Fleet(Nodes, Keys, *rc::gen::arbitrary<std::uint64_t>());
  Fleet.run(*rc::gen::inRange(200, 3000));
  Fleet.recoverAndRepeatAll();
  RC_ASSERT(Fleet.Found == std::vector<std::string>{});
}

// Guards against a call that runs twice because the platform was restored, with
// writes and replies of the earlier era under way, while no gateway ends.
RC_GTEST_PROP(ClaimHistoryTest, NoKeyIsExecutedTwiceAfterRestorations, ()) {
  const auto Nodes = *rc::gen::inRange<std::size_t>(1, 5);
  const auto Keys = *rc::gen::inRange(1U, 6U);
  ClaimFleet Fleet(Nodes, Keys, *rc::gen::arbitrary<std::uint64_t>());
  Fleet.HasRestarts = false;
  Fleet.Api.Store->Era = 1;
  Fleet.run(*rc::gen::inRange(0, 500));
  Fleet.Api.Store->keepCopy();
  for (int I = *rc::gen::inRange(1, 4); I > 0; --I) {
    Fleet.run(*rc::gen::inRange(0, 600));
    Fleet.restore();
  }
  Fleet.run(*rc::gen::inRange(0, 500));
  Fleet.recoverAndRepeatAll();
  RC_ASSERT(Fleet.Found == std::vector<std::string>{});
}

// Guards against a history check that can't fail: the runs must reach the
// relevant states, and the check must detect a platform that ignores versions.
TEST(ClaimHistoryTest, DetectsAPlatformThatIgnoresVersions) {
  int Granted = 0;
  int Executed = 0;
  int Ran = 0;
  int Unavailable = 0;
  std::size_t Broken = 0;
  for (std::uint64_t Seed = 0; Seed < 40; ++Seed) {
    ClaimFleet Sound(3, 4, Seed);
    Sound.run(1500);
    Sound.recoverAndRepeatAll();
    EXPECT_THAT(Sound.Found, testing::IsEmpty()) << "seed " << Seed;
    Granted += Sound.Granted;
    Executed += Sound.Executed;
    Ran += Sound.RanAnswers;
    Unavailable += Sound.Unavailable;
    ClaimFleet Unsound(3, 4, Seed);
    Unsound.IgnoreVersions = true;
    Unsound.run(1500);
    Unsound.recoverAndRepeatAll();
    Broken += Unsound.Found.empty() ? 0 : 1;
  }
  RecordProperty("granted", Granted);
  RecordProperty("executed", Executed);
  RecordProperty("ran_answers", Ran);
  RecordProperty("unavailable", Unavailable);
  RecordProperty("broken_runs", static_cast<int>(Broken));
  EXPECT_GT(Executed, 40);
  EXPECT_GT(Granted, Executed);
  EXPECT_GT(Ran, 40);
  EXPECT_GT(Unavailable, 40);
  EXPECT_GT(Broken, 0U);
}

/// A single gateway whose platform and clocks are controlled by the test.
class ClaimServiceTest : public testing::Test {
protected:
  std::unique_ptr<ClaimService> start(const std::string &Nonce) {
    return this->start(Nonce, this->Api);
  }

  std::unique_ptr<ClaimService> start(const std::string &Nonce,
                                      Platform &Through) {
    ClaimPorts Ports;
    Ports.SelfId = [] { return "node"; };
    Ports.Send = [](const std::string &, const PeerMessage &) { return false; };
    Ports.LiveIds = [] { return std::vector<std::string>{"node"}; };
    Ports.IsGone = [](const std::string &) { return false; };
    Ports.Time = [this] { return ClaimTime{this->Now, this->WallMs}; };
    Ports.WakeAfter = [](Duration) {};
    return std::make_unique<ClaimService>(Through, std::move(Ports),
                                          this->Settings, Nonce);
  }

  static ClaimKey key(int Number) {
    return {"customer", "service", std::to_string(Number)};
  }

  /// Advances the time by \p Time while the platform processes operations.
  void settle(ClaimService &Claims, Duration Time = 500ms) {
    for (const TimePoint End = this->Now + Time; this->Now < End;
         this->Now += 10ms) {
      Claims.run();
      this->Api.drain();
      Claims.run();
    }
  }

  ClaimAnswer claim(ClaimService &Claims, int Number,
                    std::string_view Digest = "d") {
    std::optional<ClaimAnswer> Result;
    Claims.claim(key(Number), Digest,
                 [&](const ClaimAnswer &Answer) { Result = Answer; });
    this->settle(Claims);
    EXPECT_TRUE(Result.has_value());
    return Result.value_or(ClaimAnswer{});
  }

  /// Claims key \p Number and stores an outcome.
  void complete(ClaimService &Claims, int Number) {
    const ClaimAnswer Answer = this->claim(Claims, Number);
    ASSERT_EQ(Answer.Status, ClaimStatus::Granted) << Number;
    Claims.finish(Answer.Token, {true, 201, "text/plain",
                                 "body " + std::to_string(Number), true});
    this->settle(Claims);
    ASSERT_TRUE(Claims.isSettled());
  }

  std::size_t segments() {
    std::size_t Result = 0;
    this->Api.list("claims", "", "", [&](const PlatformList &List) {
      Result = List.Objects.size();
    });
    this->Api.drain();
    return Result;
  }

  FakePlatform Api;
  ClaimServiceSettings Settings;
  TimePoint Now = TimePoint() + 1h;
  std::int64_t WallMs = 1000;
};

// Guards against granting a claim that becomes durable after it was answered
// Unavailable, and against the key being blocked for later calls.
TEST_F(ClaimServiceTest, ALateWriteOfARefusedClaimIsNeverGranted) {
  const auto Claims = this->start("p");
  this->complete(*Claims, 1);
  std::vector<ClaimStatus> Answers;
  Claims->claim(key(2), "d", [&](const ClaimAnswer &Answer) {
    Answers.push_back(Answer.Status);
  });
  this->Now += 100ms;
  Claims->run();
  ASSERT_EQ(this->Api.pending(), 1U); // The write is in progress.
  this->Now += 5s;
  Claims->run();
  EXPECT_EQ(Answers, std::vector{ClaimStatus::Unavailable});
  this->settle(*Claims); // The write takes effect now.
  EXPECT_EQ(Answers.size(), 1U);
  EXPECT_EQ(this->claim(*Claims, 2).Status, ClaimStatus::Granted);
  EXPECT_EQ(this->claim(*Claims, 2).Status, ClaimStatus::InProgress);
}

// Guards against losing claims in a restart, against granting a key whose
// holder's process has ended, and against answering a different request with
// the same key.
TEST_F(ClaimServiceTest, AnswersFromTheSegmentsAfterARestart) {
  this->Settings.Ranges = 1;
  this->Settings.Log.SegmentBytes = 600;
  this->Settings.Log.MaxCachedRecords = 2;
  auto Claims = this->start("p");
  for (int I = 0; I < 30; ++I)
    this->complete(*Claims, I);
  EXPECT_EQ(this->claim(*Claims, 100).Status, ClaimStatus::Granted);
  EXPECT_GT(this->segments(), 5U);
  Claims = this->start("q");
  for (int I = 0; I < 30; ++I) {
    const ClaimAnswer Answer = this->claim(*Claims, I);
    EXPECT_EQ(Answer.Status, ClaimStatus::Ran);
    EXPECT_EQ(Answer.Outcome.Body, "body " + std::to_string(I));
  }
  EXPECT_EQ(this->claim(*Claims, 100).Status, ClaimStatus::MayHaveRun);
  EXPECT_EQ(this->claim(*Claims, 5, "other").Status, ClaimStatus::Mismatch);
}

// Guards against reporting a release before it is durable, and against a key
// that remains blocked by a call that was never sent.
TEST_F(ClaimServiceTest, AReleasedKeyCanBeClaimedAgainByANewProcess) {
  auto Claims = this->start("p");
  const ClaimAnswer First = this->claim(*Claims, 1);
  std::optional<bool> Durable;
  Claims->release(First.Token, [&](bool Answer) { Durable = Answer; });
  EXPECT_FALSE(Durable.has_value());
  this->settle(*Claims);
  EXPECT_EQ(Durable, true);
  Claims = this->start("q");
  EXPECT_EQ(this->claim(*Claims, 1).Status, ClaimStatus::Granted);
}

// Guards against platform writes in proportion to the number of calls.
TEST_F(ClaimServiceTest, ClaimsThatArriveTogetherShareOneWrite) {
  this->Settings.Ranges = 1;
  const auto One = this->start("q");
  this->complete(*One, 1000);
  const int Before = this->Api.Writes;
  int Granted = 0;
  for (int I = 0; I < 100; ++I)
    One->claim(key(I), "d", [&](const ClaimAnswer &Answer) {
      Granted += Answer.Status == ClaimStatus::Granted ? 1 : 0;
    });
  this->settle(*One);
  EXPECT_EQ(Granted, 100);
  EXPECT_EQ(this->Api.Writes - Before, 1);
}

// Guards against waiting for the deadline while the platform is known to be
// down, and against refusing claims after it has recovered.
TEST_F(ClaimServiceTest, RefusesAtOnceDuringAnOutage) {
  const auto Claims = this->start("p");
  this->complete(*Claims, 1);
  this->Api.Outage = true;
  EXPECT_EQ(this->claim(*Claims, 2).Status, ClaimStatus::Unavailable);
  const TimePoint Start = this->Now;
  bool Answered = false;
  Claims->claim(key(2), "d", [&](const ClaimAnswer &) { Answered = true; });
  while (!Answered)
    this->settle(*Claims, 10ms);
  EXPECT_LE(this->Now - Start, 300ms);
  this->Api.Outage = false;
  this->settle(*Claims, 5s);
  EXPECT_EQ(this->claim(*Claims, 2).Status, ClaimStatus::Granted);
}

// Guards against an index that grows without bound, and against evicting keys
// whose calls could then run twice.
TEST_F(ClaimServiceTest, AFullIndexRefusesNewKeysUntilOldOnesExpire) {
  this->Settings.Ranges = 1;
  this->Settings.Log.SegmentBytes = 600;
  this->Settings.Log.MaxIndexedKeys = 5;
  const auto Claims = this->start("p");
  for (int I = 0; I < 5; ++I)
    this->complete(*Claims, I);
  EXPECT_EQ(this->claim(*Claims, 5).Status, ClaimStatus::Unavailable);
  EXPECT_EQ(this->claim(*Claims, 0).Status, ClaimStatus::Ran);
  this->WallMs += toMilliseconds(this->Settings.Log.Retention) + 1;
  this->settle(*Claims, this->Settings.RetentionPeriod + 1s);
  EXPECT_LE(this->segments(), 1U);
  EXPECT_EQ(this->claim(*Claims, 5).Status, ClaimStatus::Granted);
}

/// Gateways with a platform that can be restored.
class ClaimRestoreTest : public ClaimServiceTest {
protected:
  ClaimRestoreTest() {
    this->Api.Store->Era = 1;
    this->Settings.Ranges = 1;
  }

  /// Restores the platform. \p Claims notices it by an unrelated answer.
  void restore(ClaimService &Claims) {
    this->Api.Store->restore();
    this->Api.get({"other", "o"}, [](const PlatformResult &) {});
    this->settle(Claims, 2s);
  }

  /// Claims key \p Number at a gateway that has just started.
  ClaimAnswer claimElsewhere(int Number) {
    FakePlatform Other(this->Api.Store);
    const auto Claims = this->start("elsewhere", Other);
    std::optional<ClaimAnswer> Result;
    Claims->claim(key(Number), "d",
                  [&](const ClaimAnswer &Answer) { Result = Answer; });
    for (int I = 0; I < 300 && !Result; ++I) {
      this->Now += 10ms;
      Claims->run();
      Other.drain();
    }
    return Result.value_or(ClaimAnswer{});
  }
};

// Guards against a call that runs twice because a restoration took back the
// claim and the outcome of the first run.
TEST_F(ClaimRestoreTest, LostOutcomesAreStoredAgain) {
  const auto Claims = this->start("p");
  this->complete(*Claims, 1);
  this->Api.Store->keepCopy();
  this->complete(*Claims, 2);
  this->complete(*Claims, 3);
  this->restore(*Claims);
  for (const int Number : {1, 2, 3}) {
    const ClaimAnswer Answer = this->claimElsewhere(Number);
    EXPECT_EQ(Answer.Status, ClaimStatus::Ran) << Number;
    EXPECT_EQ(Answer.Outcome.Body, "body " + std::to_string(Number));
  }
}

// Guards against lost records that are not found because their segments were
// sealed, and against segments that count as present after they were lost.
TEST_F(ClaimRestoreTest, LostSegmentsAreStoredAgain) {
  this->Settings.Log.SegmentBytes = 700;
  const auto Claims = this->start("p");
  this->complete(*Claims, 1);
  this->Api.Store->keepCopy();
  for (int Number = 2; Number < 12; ++Number)
    this->complete(*Claims, Number);
  ASSERT_GT(this->segments(), 3U);
  this->restore(*Claims);
  for (int Number = 1; Number < 12; ++Number)
    EXPECT_EQ(this->claimElsewhere(Number).Status, ClaimStatus::Ran) << Number;
}

// Guards against a second grant while the first call is under way.
TEST_F(ClaimRestoreTest, AClaimUnderWayIsStoredAgain) {
  this->Settings.Log.RecoveryPeriod = 0ms;
  const auto Claims = this->start("p");
  this->complete(*Claims, 1);
  this->Api.Store->keepCopy();
  const ClaimAnswer Held = this->claim(*Claims, 2);
  ASSERT_EQ(Held.Status, ClaimStatus::Granted);
  this->restore(*Claims);
  EXPECT_NE(this->claimElsewhere(2).Status, ClaimStatus::Granted);
}

// Guards against an outcome that is dropped because the claim is gone.
TEST_F(ClaimRestoreTest, AnOutcomeIsStoredWithoutItsClaim) {
  this->Settings.Log.RecoveryPeriod = 0ms;
  const auto Claims = this->start("p");
  this->complete(*Claims, 1);
  this->Api.Store->keepCopy();
  const ClaimAnswer Held = this->claim(*Claims, 2);
  ASSERT_EQ(Held.Status, ClaimStatus::Granted);
  this->Api.Store->restore();
  Claims->finish(Held.Token, {true, 201, "text/plain", "body", true});
  this->settle(*Claims, 5s);
  EXPECT_TRUE(Claims->isSettled());
  EXPECT_EQ(this->claimElsewhere(2).Status, ClaimStatus::Ran);
}

// Guards against a grant that rests on a write whose era has ended, and against
// a write that replaces claims because its version was given out again.
TEST_F(ClaimRestoreTest, AWriteOverTheEndOfAnEraGrantsNothing) {
  const auto Claims = this->start("p");
  this->complete(*Claims, 1);
  this->Api.Store->keepCopy();
  this->complete(*Claims, 2);
  this->Api.Store->restore();
  // Claim and outcome of another gateway bring the version to the old one.
  FakePlatform Other(this->Api.Store);
  const auto Second = this->start("q", Other);
  const auto Step = [&](Duration Time) {
    for (const TimePoint End = this->Now + Time; this->Now < End;
         this->Now += 10ms) {
      Second->run();
      Other.drain();
    }
  };
  std::optional<ClaimAnswer> Granted;
  Second->claim(key(3), "d",
                [&](const ClaimAnswer &Answer) { Granted = Answer; });
  Step(2s);
  ASSERT_TRUE(Granted && Granted->Status == ClaimStatus::Granted);
  Second->finish(Granted->Token, {true, 201, "text/plain", "body 3", true});
  Step(2s);

  EXPECT_EQ(this->claim(*Claims, 4).Status, ClaimStatus::Unavailable);
  this->settle(*Claims, 2s);
  EXPECT_EQ(this->claimElsewhere(2).Status, ClaimStatus::Ran);
  EXPECT_EQ(this->claimElsewhere(3).Status, ClaimStatus::Ran);
}

// Guards against a gateway that was paused for longer than the retention time
// and then recreates a removed segment: claims written there would not be part
// of the log.
TEST(ClaimLogTest, ASegmentThatIsNotTheHighestIsNotWritten) {
  ClaimLog Log;
  Log.LastSealed = 1;
  Log.NeedsCreate = true;
  const ClaimTime Time{TimePoint() + 1h, 1000};
  const ClaimRecord Mine{"key", "n|p|1", "d", ClaimState::Claimed, {}};
  ClaimActions Actions = apply(
      Log, ClaimArrived{{7, ClaimRequestKind::Claim, Mine, Time.Now + 1s}},
      Time);
  ASSERT_TRUE(Actions.Op && Actions.Op->What == ClaimOp::Kind::Put);
  EXPECT_EQ(Actions.Op->Segment, 2U);
  EXPECT_TRUE(Actions.Op->Value.Records.empty());
  Actions = apply(Log, ClaimOpDone{ClaimOpEnd::Ok, 90, {}, false}, Time);
  ASSERT_TRUE(Actions.Op && Actions.Op->What == ClaimOp::Kind::List);
  const ClaimRecord Theirs{
      "key", "m|p|1", "d", ClaimState::Finished, {true, 200, "", "x", true}};
  Actions = apply(
      Log,
      ClaimOpDone{
          ClaimOpEnd::Ok, 0, {{2, 90, {}}, {50, 80, {0, {Theirs}}}}, false},
      {Time.Now + 10ms, 1000});
  ASSERT_EQ(Actions.Replies.size(), 1U);
  EXPECT_EQ(Actions.Replies[0].Verdict, ClaimVerdict::Ran);
}

// Guards against a crash on a corrupt segment or message.
RC_GTEST_PROP(ClaimRecordTest, CorruptSegmentsAreRejected, ()) {
  const ClaimSegment Segment{
      5,
      {{"k", "h", "d", ClaimState::Finished, {true, 200, "t", "\xff", true}}}};
  EXPECT_EQ(claimSegmentFromJson(toJson(Segment)).Records[0].Outcome.Body,
            "\xff");
  std::string Text = toJson(Segment).dump();
  Text[*rc::gen::inRange<std::size_t>(0, Text.size())] = *rc::gen::element(
      '0', '"', '{', '[', ']', '}', ',', ':', 'x', '-', '9', ' ');
  const nlohmann::json Damaged = nlohmann::json::parse(Text, nullptr, false);
  if (Damaged.is_discarded())
    return;
  try {
    (void)claimSegmentFromJson(Damaged);
  } catch (const nlohmann::json::exception &) {
  } catch (const std::invalid_argument &) {
  }
}

} // namespace
} // namespace galenaroute
