// Tests of the attempt state machine: examples, and properties over random
// sequences of events.

#include "request/Attempt.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using Kind = AttemptAction::Kind;

constexpr std::uint64_t AnswerTokens = 4;

/// Returns the expected token of an attempt; each attempt has a different text.
std::string tokenOf(const std::string &Attempt, std::uint64_t Offset) {
  return Attempt + ":" + std::to_string(Offset) + " ";
}

std::string answerOf(const std::string &Attempt, std::uint64_t From) {
  std::string Result;
  for (std::uint64_t I = From; I < AnswerTokens; ++I)
    Result += tokenOf(Attempt, I);
  return Result;
}

/// Drives one request and checks the invariants on every action.
class Driver {
public:
  Driver(AttemptState Start) : State(std::move(Start)) {
    this->FirstOffset = this->State.Offset;
    this->HadText = this->State.TextDelivered;
    this->post(attempt::Start{});
  }

  void post(const AttemptEvent &Event) {
    if (const auto *End = std::get_if<attempt::Ended>(&Event))
      this->noteEnd(*End);
    if (std::holds_alternative<attempt::CallerLeft>(Event))
      this->CallerLeft = true;
    AttemptStep Step = stepAttempt(std::move(this->State), Event, this->Now,
                                   this->RetryAllowed);
    this->State = std::move(Step.State);
    for (const AttemptAction &Each : Step.Actions)
      this->check(Each);
  }

  bool has(Kind What) const {
    return std::any_of(this->Log.begin(), this->Log.end(),
                       [&](const auto &Each) { return Each.What == What; });
  }
  long count(Kind What) const {
    return std::count_if(this->Log.begin(), this->Log.end(),
                         [&](const auto &Each) { return Each.What == What; });
  }
  ErrorKind failure() const {
    for (const AttemptAction &Each : this->Log)
      if (Each.What == Kind::Fail)
        return Each.Error;
    return ErrorKind::Internal;
  }

  void choose(const std::string &Upstream) {
    this->post(
        attempt::Chosen{Upstream, "a" + std::to_string(++this->LastAttempt)});
  }
  void line(std::uint64_t Offset) {
    this->post(attempt::Line{this->State.Connection, this->State.Attempt,
                             Offset, tokenOf(this->State.Attempt, Offset)});
  }
  void end(bool Complete, bool BytesSent, int Status) {
    this->post(
        attempt::Ended{this->State.Connection, Complete, BytesSent, Status});
  }

  AttemptState State;
  TimePoint Now{};
  bool RetryAllowed = true;
  std::vector<AttemptAction> Log;
  std::string Delivered;
  int LastAttempt = 0;
  std::vector<std::string> Violations;

private:
  void violate(const std::string &What) { this->Violations.push_back(What); }

  void noteEnd(const attempt::Ended &Event) {
    if (Event.Connection != this->State.Connection)
      return;
    const bool Refused =
        this->State.Policy.Model && Event.Complete &&
        this->State.HeadStatus != 200 &&
        (Event.Status == 409 || Event.Status == 429 || Event.Status == 503 ||
         Event.Status == 400 || Event.Status == 413);
    if (!Event.BytesSent || Refused)
      this->Possible.erase(Event.Connection);
    if (!Event.BytesSent)
      this->Unsent.insert(Event.Connection);
  }

  void check(const AttemptAction &Action) {
    this->Log.push_back(Action);
    switch (Action.What) {
    case Kind::Send:
      if (!this->State.Policy.Repeatable && !this->Sent.empty() &&
          !std::includes(this->Unsent.begin(), this->Unsent.end(),
                         this->Sent.begin(), this->Sent.end()))
        this->violate("a non-repeatable call was sent again");
      this->Sent.insert(Action.Connection);
      this->Possible.insert(Action.Connection);
      break;
    case Kind::DeliverText:
      if (!this->Source.empty() && this->Source != Action.Attempt)
        this->violate("text of two attempts was delivered");
      this->Source = Action.Attempt;
      this->Delivered += Action.Text;
      if (!answerOf(this->Source, this->FirstOffset)
               .starts_with(this->Delivered))
        this->violate("the delivered text is not a prefix of the answer");
      break;
    case Kind::Complete:
      ++this->Answers;
      if (this->State.Policy.Model) {
        if (!this->State.Policy.Streaming)
          this->Delivered = Action.Text;
        if (this->Delivered != answerOf(Action.Attempt, this->FirstOffset))
          this->violate("an incomplete answer was completed");
      }
      break;
    case Kind::Replay:
      ++this->Answers;
      break;
    case Kind::Fail:
      ++this->Answers;
      if (describeError(Action.Error).Run == RunState::NotRun &&
          (!this->Possible.empty() || this->HadText))
        this->violate("'not run' after a send that may have run");
      break;
    case Kind::Release:
      if (!this->Possible.empty())
        this->violate("the claim of a call that may have run was released");
      break;
    default:
      break;
    }
    if (this->Answers > 1)
      this->violate("the request was answered twice");
  }

  std::set<std::uint64_t> Sent, Unsent;
  std::set<std::uint64_t> Possible; ///< Sends that may have run.
  std::string Source;
  std::uint64_t FirstOffset = 0;
  bool HadText = false;
  bool CallerLeft = false;
  int Answers = 0;
};

/// Posts an event derived from three random numbers, which may or may not be
/// valid in the state of \p Run.
void postRandom(Driver &Run, int Type, int A, int B) {
  const std::uint64_t Current = Run.State.Connection;
  // Mostly the current connection, sometimes another one.
  const std::uint64_t Connection =
      A % 4 == 0 ? static_cast<std::uint64_t>(B) % (Current + 2) : Current;
  const std::string Attempt =
      B % 5 == 0 ? "a" + std::to_string(A % 4) : Run.State.Attempt;
  const std::uint64_t Offset =
      B % 3 == 0 ? static_cast<std::uint64_t>(A) % AnswerTokens
                 : std::min(Run.State.Offset, AnswerTokens - 1);
  static constexpr std::array<int, 6> Statuses = {200, 200, 404, 429, 500, 0};
  static constexpr std::array<ClaimStatus, 4> Claims = {
      ClaimStatus::Granted, ClaimStatus::Granted, ClaimStatus::Unavailable,
      ClaimStatus::MayHaveRun};
  switch (Type) {
  case 0:
  case 1:
    return Run.choose("u" + std::to_string(A % 3));
  case 2:
    return Run.post(attempt::Head{Connection, Statuses[B % 6]});
  case 3:
  case 4:
  case 5:
  case 6:
    return Run.post(
        attempt::Line{Connection, Attempt, Offset, tokenOf(Attempt, Offset)});
  case 7:
  case 8:
    return Run.post(
        attempt::Done{Connection, Attempt, AnswerTokens, A % 8 != 0});
  case 9:
  case 10:
    return Run.post(attempt::Ended{Connection, A % 2 == 0, B % 2 == 0,
                                   Statuses[(A + B) % 6]});
  case 11:
    Run.Now += Milliseconds(A * 100);
    return Run.post(attempt::Tick{});
  case 12:
    return Run.post(attempt::ClaimAnswered{Claims[A % 4]});
  case 13:
    return Run.post(attempt::Released{A % 2 == 0});
  case 14:
    return B % 8 == 0 ? Run.post(attempt::CallerLeft{})
                      : Run.post(attempt::NoneAvailable{});
  case 15:
    return A % 2 == 0 ? Run.post(attempt::Paused{})
                      : Run.post(attempt::Unpaused{});
  case 16:
    return B % 4 == 0 ? Run.post(attempt::TakenOver{})
                      : Run.post(attempt::BadLine{Connection});
  default:
    Run.RetryAllowed = A % 4 != 0;
  }
}

using RandomEvents = std::vector<std::tuple<int, int, int>>;

RandomEvents randomEvents() {
  return *rc::gen::container<RandomEvents>(
      rc::gen::tuple(rc::gen::inRange(0, 18), rc::gen::inRange(0, 100),
                     rc::gen::inRange(0, 100)));
}

void checkAnyOrder(AttemptState Start) {
  Driver Run(std::move(Start));
  for (const auto &[Type, A, B] : randomEvents())
    postRandom(Run, Type, A, B);
  RC_ASSERT(Run.Violations == std::vector<std::string>{});
  // The request must end by its deadline once the caller of stepAttempt() has
  // ended its connection and answered its claim.
  for (int I = 0; I < 40 && Run.State.Phase != AttemptPhase::Finished; ++I) {
    Run.Now += 1h;
    Run.post(attempt::ClaimAnswered{ClaimStatus::Unavailable});
    Run.post(attempt::Released{true});
    Run.post(attempt::Tick{});
    if (!Run.State.Policy.Repeatable)
      Run.end(false, true, 0);
  }
  RC_ASSERT(Run.State.Phase == AttemptPhase::Finished);
  RC_ASSERT(Run.Violations == std::vector<std::string>{});
}

AttemptPolicy policyOf(bool Model, bool Flag) {
  AttemptPolicy Policy;
  Policy.Model = Model;
  Policy.Streaming = Model && Flag;
  Policy.Repeatable = Model || Flag;
  Policy.NeedsClaim = !Policy.Repeatable;
  Policy.Deadline = TimePoint(30s);
  Policy.StreamDeadline = TimePoint(600s);
  return Policy;
}

RC_GTEST_PROP(AttemptProperty, PromptsAreAnsweredCompletelyOrFail, ()) {
  checkAnyOrder(newAttempt(policyOf(true, *rc::gen::arbitrary<bool>())));
}

RC_GTEST_PROP(AttemptProperty, ResumedStreamsContinueTheSameText, ()) {
  checkAnyOrder(resumedAttempt(policyOf(true, true), "u0", "a0", 2));
}

RC_GTEST_PROP(AttemptProperty, NonRepeatableCallsAreSentOnce, ()) {
  AttemptPolicy Policy = policyOf(false, false);
  Policy.NeedsClaim = *rc::gen::arbitrary<bool>();
  checkAnyOrder(newAttempt(Policy));
}

RC_GTEST_PROP(AttemptProperty, RepeatableCallsEnd, ()) {
  checkAnyOrder(newAttempt(policyOf(false, true)));
}

// Guards against completing an answer whose last tokens were lost in transit.
TEST(AttemptTest, DoneWithMissingTokensIsNotComplete) {
  Driver Run(newAttempt(policyOf(true, true)));
  Run.choose("u");
  Run.line(0);
  Run.post(attempt::Done{Run.State.Connection, Run.State.Attempt, 2});
  EXPECT_FALSE(Run.has(Kind::Complete));
  EXPECT_TRUE(Run.has(Kind::Resume));
}

// Guards against delivering the text of a cancelled run as a complete answer.
TEST(AttemptTest, ARunThatEndedEarlyIsNotComplete) {
  Driver Run(newAttempt(policyOf(true, true)));
  Run.choose("u");
  Run.line(0);
  Run.post(attempt::Done{Run.State.Connection, Run.State.Attempt, 1, false});
  EXPECT_FALSE(Run.has(Kind::Complete));
  EXPECT_EQ(Run.failure(), ErrorKind::StreamLost);
}

// Guards against a busy loop at an engine that accepts resumes and ends them.
TEST(AttemptTest, ResumesWithoutNewTextAreBounded) {
  Driver Run(newAttempt(policyOf(true, false)));
  Run.RetryAllowed = false;
  Run.choose("u");
  Run.post(attempt::Head{Run.State.Connection, 200});
  Run.end(false, true, 200);
  for (int I = 0; I < 10 && Run.State.Phase != AttemptPhase::Finished; ++I) {
    Run.post(attempt::Head{Run.State.Connection, 200});
    Run.end(true, true, 200);
    Run.Now += 1s;
    Run.post(attempt::Tick{});
  }
  EXPECT_EQ(Run.count(Kind::Resume), 3);
  EXPECT_EQ(Run.failure(), ErrorKind::UpstreamFailed);
}

// Guards against abandoning a run that is only queued at a working engine.
TEST(AttemptTest, WaitsForAQueuedRunUpToTheDeadline) {
  Driver Run(newAttempt(policyOf(true, false)));
  Run.choose("u");
  for (int I = 0; I < 12; ++I) {
    Run.post(attempt::Head{Run.State.Connection, 200});
    Run.Now += 2s;
    Run.post(attempt::Tick{});
    ASSERT_EQ(Run.State.Phase, AttemptPhase::Connected);
  }
  Run.Now += 10s;
  Run.post(attempt::Tick{});
  EXPECT_EQ(Run.failure(), ErrorKind::DeadlineExceeded);
  EXPECT_TRUE(Run.has(Kind::Cancel));
}

// Guards against an answer that begins with the text of a lost run.
TEST(AttemptTest, ARetryClearsTheCollectedText) {
  Driver Run(newAttempt(policyOf(true, false)));
  Run.choose("u");
  Run.line(0);
  Run.end(false, true, 200);
  Run.end(true, true, 404);
  Run.choose("v");
  for (std::uint64_t I = 0; I < AnswerTokens; ++I)
    Run.line(I);
  Run.post(attempt::Done{Run.State.Connection, "a2", AnswerTokens});
  EXPECT_EQ(Run.Delivered, answerOf("a2", 0));
  EXPECT_TRUE(Run.Violations.empty());
}

// Guards against the loss of an answer whose upstream is silent for longer than
// the stall limit, while the other upstream is silent too or breaks.
TEST(AttemptTest, ASilentCallCompletesWhileAnotherUpstreamIsTried) {
  Driver Run(newAttempt(policyOf(false, true)));
  Run.choose("u");
  Run.Now += 2s;
  Run.post(attempt::Tick{});
  Run.choose("v");
  EXPECT_EQ(Run.count(Kind::Send), 2);
  EXPECT_FALSE(Run.has(Kind::Close));
  Run.post(attempt::Ended{1, true, true, 200});
  EXPECT_TRUE(Run.has(Kind::Complete));
  // Only the second one is left to be closed.
  ASSERT_EQ(Run.count(Kind::Close), 1);
  EXPECT_EQ(std::find_if(Run.Log.begin(), Run.Log.end(),
                         [](const AttemptAction &Each) {
                           return Each.What == Kind::Close;
                         })
                ->Connection,
            2U);
}

TEST(AttemptTest, ASilentCallIsAwaitedAfterTheOtherUpstreamFailed) {
  Driver Run(newAttempt(policyOf(false, true)));
  Run.choose("u");
  Run.Now += 2s;
  Run.post(attempt::Tick{});
  Run.choose("v");
  Run.RetryAllowed = false;
  Run.end(false, true, 0);
  EXPECT_FALSE(Run.has(Kind::Fail));
  Run.post(attempt::Ended{1, true, true, 200});
  EXPECT_TRUE(Run.has(Kind::Complete));
  EXPECT_TRUE(Run.Violations.empty());
}

TEST(AttemptTest, ASilentCallIsAwaitedWhenNoOtherUpstreamIsAvailable) {
  Driver Run(newAttempt(policyOf(false, true)));
  Run.choose("u");
  Run.Now += 2s;
  Run.post(attempt::Tick{});
  Run.post(attempt::NoneAvailable{});
  EXPECT_FALSE(Run.has(Kind::Fail));
  Run.post(attempt::Ended{1, true, true, 200});
  EXPECT_TRUE(Run.has(Kind::Complete));
}

// Guards against waiting for calls that nobody answers.
TEST(AttemptTest, SilentCallsEndAtTheDeadline) {
  Driver Run(newAttempt(policyOf(false, true)));
  Run.choose("u");
  Run.Now += 2s;
  Run.post(attempt::Tick{});
  Run.choose("v");
  Run.Now = TimePoint(30s);
  Run.post(attempt::Tick{});
  EXPECT_EQ(Run.failure(), ErrorKind::DeadlineExceeded);
  EXPECT_EQ(Run.count(Kind::Close), 2);
}

/// Starts a stream that goes silent after one token and whose resumes fail as
/// at an engine that accepts no new connections.
void failAllResumes(Driver &Run) {
  Run.choose("u");
  Run.post(attempt::Head{Run.State.Connection, 200});
  Run.line(0);
  Run.Now += 2s;
  Run.post(attempt::Tick{});
  for (int I = 0; I < 4; ++I) {
    Run.end(false, false, 0);
    Run.Now += 100ms;
    Run.post(attempt::Tick{});
  }
}

// Guards against the loss of a stream that goes on after a silence, at an
// engine that finishes its streams but accepts no new connections.
TEST(AttemptTest, ASilentStreamGoesOnWhenItCannotBeResumed) {
  Driver Run(newAttempt(policyOf(true, true)));
  failAllResumes(Run);
  EXPECT_FALSE(Run.has(Kind::Fail));
  for (std::uint64_t I = 1; I < AnswerTokens; ++I)
    Run.post(attempt::Line{1, "a1", I, tokenOf("a1", I)});
  Run.post(attempt::Done{1, "a1", AnswerTokens});
  EXPECT_EQ(Run.Delivered, answerOf("a1", 0));
  EXPECT_TRUE(Run.has(Kind::Complete));
  EXPECT_FALSE(Run.has(Kind::Cancel));
  EXPECT_TRUE(Run.Violations.empty());
}

// Guards against waiting for ever for an engine that is silent for good.
TEST(AttemptTest, ASilentStreamThatCannotBeResumedIsLostAtTheNextStall) {
  Driver Run(newAttempt(policyOf(true, true)));
  failAllResumes(Run);
  Run.Now += 2s;
  Run.post(attempt::Tick{});
  EXPECT_EQ(Run.failure(), ErrorKind::StreamLost);
  EXPECT_EQ(Run.count(Kind::Cancel), 1);
}

// Guards against two connections that carry the same stream.
TEST(AttemptTest, ASilentStreamIsClosedWhenItsResumeHasBegun) {
  Driver Run(newAttempt(policyOf(true, true)));
  Run.choose("u");
  Run.post(attempt::Head{1, 200});
  Run.line(0);
  Run.Now += 2s;
  Run.post(attempt::Tick{});
  EXPECT_FALSE(Run.has(Kind::Close));
  Run.post(attempt::Head{2, 200});
  EXPECT_EQ(Run.count(Kind::Close), 1);
  Run.post(attempt::Line{1, "a1", 1, tokenOf("a1", 1)});
  EXPECT_EQ(Run.State.Offset, 1U);
  EXPECT_EQ(Run.State.Connection, 2U);
}

TEST(AttemptTest, RetriesStopWhenTheBudgetIsSpent) {
  Driver Run(newAttempt(policyOf(true, false)));
  Run.choose("u");
  Run.RetryAllowed = false;
  Run.end(true, true, 429);
  EXPECT_EQ(Run.failure(), ErrorKind::UpstreamRefused);
  EXPECT_EQ(Run.count(Kind::Send), 1);
}

// Guards against cancelling a run while its caller reconnects.
TEST(AttemptTest, KeepsARunForACallerThatReconnects) {
  Driver Run(newAttempt(policyOf(true, true)));
  Run.choose("u");
  Run.line(0);
  Run.post(attempt::CallerLeft{});
  EXPECT_FALSE(Run.has(Kind::Cancel));
  Run.post(attempt::TakenOver{});
  EXPECT_EQ(Run.State.Phase, AttemptPhase::Finished);
  EXPECT_FALSE(Run.has(Kind::Cancel));
}

TEST(AttemptTest, CancelsARunWhoseCallerDoesNotReconnect) {
  Driver Run(newAttempt(policyOf(true, true)));
  Run.choose("u");
  Run.line(0);
  Run.post(attempt::CallerLeft{});
  Run.Now = nextWake(Run.State);
  Run.post(attempt::Tick{});
  EXPECT_TRUE(Run.has(Kind::Cancel));
}

// Guards against aborting a payment, so that its outcome is unknown, because
// its caller disconnected.
TEST(AttemptTest, ANonRepeatableCallContinuesWithoutItsCaller) {
  Driver Run(newAttempt(policyOf(false, false)));
  Run.post(attempt::ClaimAnswered{ClaimStatus::Granted});
  Run.choose("u");
  Run.post(attempt::CallerLeft{});
  Run.end(true, true, 200);
  EXPECT_TRUE(Run.has(Kind::StoreOutcome));
  EXPECT_FALSE(Run.has(Kind::Complete));
}

TEST(AttemptTest, AClaimGrantedAfterTheCallerLeftIsReleased) {
  Driver Run(newAttempt(policyOf(false, false)));
  Run.post(attempt::CallerLeft{});
  Run.post(attempt::ClaimAnswered{ClaimStatus::Granted});
  EXPECT_TRUE(Run.has(Kind::Release));
  EXPECT_FALSE(Run.has(Kind::Send));
}

} // namespace
} // namespace galenaroute
