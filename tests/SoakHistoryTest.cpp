// Shows of each check of the soak that it can fail, with faked histories.

#include "Faults.h"
#include "History.h"

#include <gtest/gtest.h>

namespace galenaroute::soak {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1h};

class SoakHistoryTest : public testing::Test {
protected:
  SoakHistoryTest() {
    this->History.LastFaultAt = Start;
    this->History.EndedAt = Start + 1min;
  }

  CallerView &call(const std::string &Id, bool IsOnce, int Status) {
    CallerView &Call = this->History.Calls[Id];
    Call = {.Path = IsOnce ? "/once/a" : "/safe/a",
            .Body = "b",
            .IsOnce = IsOnce,
            .SentAt = Start,
            .Status = Status,
            .IsWhole = true};
    if (Status == 200)
      Call.Answer = answerOf(Id, Call.Body);
    return Call;
  }
  UpstreamView &arrival(const std::string &Id, const std::string &Upstream,
                        TimePoint At = Start) {
    const CallerView &Call = this->History.Calls[Id];
    this->History.Arrivals.push_back({.Call = Id,
                                      .Path = Call.Path,
                                      .Body = Call.Body,
                                      .Upstream = Upstream,
                                      .At = At,
                                      .HasRun = true});
    return this->History.Arrivals.back();
  }
  /// Adds a part that crashes an upstream every 200 ms from Start on, and of
  /// which calls come for 20 s.
  CrashingPartView &crashingPart(const std::string &Part, std::size_t Crashes) {
    CrashingPartView &View = this->History.Prompts.Parts[Part];
    View = {
        .Key = "k1", .FirstPart = "aa", .From = Start, .Until = Start + 20s};
    for (std::size_t I = 0; I < Crashes; ++I) {
      View.Crashes.push_back(Start + I * 200ms);
      this->partArrival(Part, View.Crashes.back());
    }
    return View;
  }
  void partArrival(const std::string &Part, TimePoint At,
                   std::size_t Daemon = 0) {
    this->History.Prompts.Arrivals.push_back({Part, Daemon, At});
  }
  /// Adds \p Count sound prompts, of which \p Begun are answered.
  void soundPrompts(TimePoint At, std::size_t Count, std::size_t Begun,
                    const std::string &Key, const std::string &FirstPart) {
    this->History.Prompts.EventsOfWhole = 4;
    for (std::size_t I = 0; I < Count; ++I)
      this->History.Prompts.Sound.push_back({.Key = Key,
                                             .FirstPart = FirstPart,
                                             .SentAt = At,
                                             .Events = I < Begun ? 4 : 0,
                                             .IsWhole = I < Begun});
  }
  /// The one promise that is broken, or how many are.
  std::string broken() const {
    const auto Found = checkHistory(this->History, {});
    return Found.size() == 1 ? Found[0].Promise : std::to_string(Found.size());
  }

  SoakHistory History;
};

TEST_F(SoakHistoryTest, NothingIsBrokenByServedAndRefusedCalls) {
  this->call("a", true, 200);
  this->arrival("a", "u1");
  this->call("b", false, 200);
  this->arrival("b", "u1");
  this->arrival("b", "u2");
  this->call("c", true, 503);
  this->arrival("c", "u1").HasRun = false;
  this->call("d", true, 0);
  EXPECT_EQ(this->broken(), "0");
}

TEST_F(SoakHistoryTest, AnotherCallsAnswerIsFound) {
  this->call("a", true, 200).Answer = answerOf("b", "b");
  EXPECT_EQ(this->broken(), "own whole answer");
}

TEST_F(SoakHistoryTest, ADeniedCallIsFound) {
  this->call("a", true, 404);
  EXPECT_EQ(this->broken(), "proper calls are not denied");
}

TEST_F(SoakHistoryTest, ASecondRunIsFound) {
  this->call("a", true, 200);
  this->arrival("a", "u1");
  this->arrival("a", "u2");
  EXPECT_EQ(this->broken(), "at most once");
}

TEST_F(SoakHistoryTest, AThirdUpstreamIsFound) {
  this->call("a", false, 200);
  for (const char *Upstream : {"u1", "u2", "u3"})
    this->arrival("a", Upstream);
  EXPECT_EQ(this->broken(), "at most two upstreams");
}

TEST_F(SoakHistoryTest, AFalseNotRunIsFound) {
  this->call("a", true, 503);
  this->arrival("a", "u1");
  EXPECT_EQ(this->broken(), "not run is true");
}

TEST_F(SoakHistoryTest, AnUnknownOrChangedCallIsFound) {
  this->arrival("nobody", "u1").Call = "x";
  EXPECT_EQ(this->broken(), "only calls of callers run");
  this->History = {};
  this->call("a", true, 0);
  this->arrival("a", "u1").Body = "c";
  EXPECT_EQ(this->broken(), "calls are unchanged");
}

TEST_F(SoakHistoryTest, ACrashingCallThatIsSentOnIsFound) {
  const auto Send = [&](int I, Duration At) {
    const std::string Id = "c" + std::to_string(I);
    this->call(Id, true, 0).IsCrashing = true;
    this->arrival(Id, "u" + std::to_string(I), Start + At).HasCrashed = true;
  };
  for (int I = 0; I < 3; ++I)
    Send(I, I * 100ms);
  for (int I = 3; I < 6; ++I)
    Send(I, 4s);
  EXPECT_EQ(this->broken(), "0") << "three later sends are allowed";
  Send(6, 5s);
  EXPECT_EQ(this->broken(), "a crashing call is refused");
  this->History.Disturbances.push_back({0, Start + 3s, Start + 4s});
  EXPECT_EQ(this->broken(), "0") << "by daemons that were not disturbed";
}

// A restoration takes the records from the store, the kill those in memory.
TEST_F(SoakHistoryTest, CrashesMayBeForgottenOnlyWhenTheStoreLostThem) {
  this->History.Configs.Daemons = 1;
  for (int I = 0; I < 7; ++I) {
    const std::string Id = "c" + std::to_string(I);
    this->call(Id, true, 0).IsCrashing = true;
    this->arrival(Id, "u", Start + (I < 3 ? 0s : 40s)).HasCrashed = true;
  }
  this->History.Disturbances.push_back(
      {0, Start + 20s, Start + 21s, false, DisturbanceKind::Kill});
  EXPECT_EQ(this->broken(), "a crashing call is refused");
  std::vector<CoreDisruption> &Store = this->History.Configs.Disruptions;
  Store = {{Start + 15s, Start + 16s, 2}};
  EXPECT_EQ(this->broken(), "a crashing call is refused")
      << "the records can be written again";
  Store = {{Start + 15s, Start + 18s, 2}};
  EXPECT_EQ(this->broken(), "0");
  Store = {{Start + 10s, Start + 11s, 2}, {Start + 13s, Start + 18s}};
  EXPECT_EQ(this->broken(), "0") << "the store was away again";
  Store.pop_back();
  EXPECT_EQ(this->broken(), "a crashing call is refused");
  Store = {{Start + 15s, Start + 18s}};
  EXPECT_EQ(this->broken(), "a crashing call is refused")
      << "the store has lost nothing";
}

TEST_F(SoakHistoryTest, TooManyRetriesAreFound) {
  for (int I = 0; I < 100; ++I) {
    const std::string Id = "a" + std::to_string(I);
    this->call(Id, false, 200);
    this->arrival(Id, "u1");
    if (I < 74)
      this->arrival(Id, "u2");
  }
  EXPECT_EQ(this->broken(), "0");
  this->arrival("a99", "u2");
  EXPECT_EQ(this->broken(), "retries stay within the allowance");
}

TEST_F(SoakHistoryTest, AStopThatHangsOrFailsIsFound) {
  StopView Stop{.At = Start, .EndedAt = Start + 1s};
  this->History.Stops = {Stop};
  EXPECT_EQ(this->broken(), "0");
  this->History.Stops[0].ExitCode = -9;
  EXPECT_EQ(this->broken(), "a planned stop ends in time");
  this->History.Stops[0] = {.At = Start};
  EXPECT_EQ(this->broken(), "a planned stop ends in time");
  this->History.Stops[0].WasDisturbed = true;
  EXPECT_EQ(this->broken(), "0");
}

TEST_F(SoakHistoryTest, ServiceThatDoesNotComeBackIsFound) {
  for (int I = 0; I < 40; ++I)
    this->call("a" + std::to_string(I), true, I < 9 ? 200 : 502).SentAt =
        Start + 20s;
  EXPECT_EQ(this->broken(), "service recovers");
  this->call("a20", true, 200).SentAt = Start + 20s;
  EXPECT_EQ(this->broken(), "0");
}

TEST_F(SoakHistoryTest, ACrashingPartThatIsSentOnIsFound) {
  this->crashingPart("p", 5); // The fifth crash is at 0.8 s.
  this->partArrival("p", Start + 3700ms);
  for (int I = 0; I < 3; ++I)
    this->partArrival("p", Start + 4s);
  this->partArrival("q", Start + 4s);
  EXPECT_EQ(this->broken(), "0") << "three later sends are allowed";
  this->partArrival("p", Start + 5s);
  EXPECT_EQ(this->broken(), "a crashing part is blocked");
  this->History.Disturbances.push_back({0, Start + 3s, Start + 4s});
  EXPECT_EQ(this->broken(), "0") << "by daemons that were not disturbed";
  this->History.Disturbances[0].Daemon = 1;
  EXPECT_EQ(this->broken(), "a crashing part is blocked");
}

TEST_F(SoakHistoryTest, APartWithFewerCrashesMayBeSentOn) {
  this->crashingPart("p", 4);
  for (int I = 0; I < 4; ++I)
    this->partArrival("p", Start + 5s);
  EXPECT_EQ(this->broken(), "0");
}

TEST_F(SoakHistoryTest, SoundPromptsThatAreBlockedTooAreFound) {
  this->crashingPart("p", 5);
  this->soundPrompts(Start - 1s, 20, 18, "k2", "bb");
  this->soundPrompts(Start + 7s, 20, 9, "k1", "bb");
  EXPECT_EQ(this->broken(), "0") << "half as often as at other times";
  this->soundPrompts(Start + 7s, 1, 0, "k2", "aa");
  EXPECT_EQ(this->broken(), "sound prompts stay served");
  this->History.Disturbances.push_back({{}, Start + 6s, Start + 7s});
  EXPECT_EQ(this->broken(), "0") << "at daemons that were not disturbed";
}

TEST_F(SoakHistoryTest, SoundPromptsBesideFewCrashesAreComparedToo) {
  this->crashingPart("p", 2);
  this->soundPrompts(Start - 1s, 20, 20, "k2", "bb");
  this->soundPrompts(Start + 7s, 20, 9, "k1", "bb");
  EXPECT_EQ(this->broken(), "sound prompts stay served");
}

TEST_F(SoakHistoryTest, OnlyPromptsBesideTheCrashingOnesAreCompared) {
  this->crashingPart("p", 5);
  this->soundPrompts(Start - 1s, 20, 20, "k2", "bb");
  // Too early, too late, and of another key and first part.
  this->soundPrompts(Start + 6s, 20, 0, "k1", "aa");
  this->soundPrompts(Start + 21s, 20, 0, "k1", "aa");
  this->soundPrompts(Start + 7s, 20, 0, "k2", "bb");
  EXPECT_EQ(this->broken(), "0");
}

TEST_F(SoakHistoryTest, ABrokenOffStreamThatLooksWholeIsFound) {
  this->soundPrompts(Start, 1, 1, "k1", "aa");
  EXPECT_EQ(this->broken(), "0");
  this->History.Prompts.Sound[0].Events = 2;
  EXPECT_EQ(this->broken(), "a whole stream has all events");
  this->History.Prompts.Sound[0].IsWhole = false;
  EXPECT_EQ(this->broken(), "0");
}

// Guards against a seed that does not repeat its run.
TEST(SoakFaultsTest, TheSameSeedDrawsTheSameFaults) {
  const auto Text = [](std::uint64_t Seed) {
    std::string Result;
    for (const Fault &Each : drawFaults(Seed, {}))
      Result += std::string(toString(Each.Kind)) + std::to_string(Each.Target) +
                std::to_string(Each.At.count()) + " ";
    return Result;
  };
  EXPECT_EQ(Text(7), Text(7));
  EXPECT_NE(Text(7), Text(8));
  EXPECT_FALSE(Text(7).empty());
}

TEST_F(SoakHistoryTest, TooManyCallsOfAToldDaemonAreSeen) {
  auto &Seen = this->History.RateLimits["u1"];
  Seen.state(Start, 2);
  Seen.passedOn(Start, 0);
  for (int I = 0; I < 18; ++I)
    Seen.arrived(Start + 4s + I * 100ms, 0);
  EXPECT_EQ(this->broken(), "stated limits are kept");
  this->History.Disturbances.push_back({0, Start + 2s, Start + 3s, true});
  EXPECT_EQ(this->broken(), "stated limits are kept");
  this->History.Disturbances.push_back({0, Start + 2s, Start + 3s});
  EXPECT_EQ(this->broken(), "0");
}

TEST_F(SoakHistoryTest, ACallOnOutdatedWeightsIsFound) {
  const auto Begin = [&](const std::string &Id, Duration At,
                         std::uint64_t Version) {
    this->call(Id, false, 200);
    this->History.Weights.began({.At = Start + At,
                                 .Weights = Version,
                                 .Gateway = 0,
                                 .SentAt = Start + At - 100ms,
                                 .Call = Id});
  };
  this->History.Weights.named(Start, 2);
  Begin("a", 7s, 1);
  Begin("b", 20s, 2);
  EXPECT_EQ(this->broken(), "0");
  Begin("c", 11s, 1);
  EXPECT_EQ(this->broken(), "outdated weights go out of use");
  const SoakHistory Undisturbed = this->History;
  this->History.Disturbances.push_back({0, Start + 7s, Start + 8s});
  EXPECT_EQ(this->broken(), "0") << "by daemons that were not disturbed";
  this->History = Undisturbed;
  this->History.Disturbances.push_back({1, Start + 7s, Start + 8s});
  EXPECT_EQ(this->broken(), "outdated weights go out of use");
  this->History.Weights.interrupt(Start + 5s, Start + 6s);
  EXPECT_EQ(this->broken(), "0") << "no stretch is longer than the limit";
}

TEST_F(SoakHistoryTest, OutdatedWeightsOfTwoVersionsAreFound) {
  this->History.Weights.named(Start, 2);
  this->History.Weights.named(Start + 4s, 3);
  this->call("a", false, 200);
  const auto Begin = [&](Duration At, std::uint64_t Version) {
    this->History.Weights.began({.At = Start + At,
                                 .Weights = Version,
                                 .Gateway = 0,
                                 .SentAt = Start + At,
                                 .Call = "a"});
  };
  Begin(10s, 2);
  EXPECT_EQ(this->broken(), "0");
  Begin(10s, 1);
  EXPECT_EQ(this->broken(), "outdated weights go out of use");
}

TEST_F(SoakHistoryTest, ASecondRunAtAnEngineIsFound) {
  this->call("a", true, 200);
  this->History.Weights.began({.At = Start, .Weights = 1, .Call = "a"});
  EXPECT_EQ(this->broken(), "0");
  this->History.Weights.began({.At = Start, .Weights = 1, .Call = "a"});
  EXPECT_EQ(this->broken(), "at most once");
}

/// Adds a kept call after 700 ms idle, with a limit of 1 s, whose connection
/// ends 1 s later.
static KeptCallView &keptCall(SoakHistory &History, int Status) {
  History.Connections.IdleLimits = {{Start - 1h, 1s}};
  KeptCallView &Call = History.Connections.Calls["k"];
  Call = {.IdleSince = Start - 700ms,
          .SentAt = Start,
          .Deadline = 8s,
          .EndedAt = Start + 1s,
          .Status = Status};
  return Call;
}

TEST_F(SoakHistoryTest, ARequestThatEndsUnansweredIsFound) {
  KeptCallView &Call = keptCall(this->History, 0);
  EXPECT_EQ(this->broken(), "a whole request gets an answer");
  Call.IdleSince = Start - 801ms;
  EXPECT_EQ(this->broken(), "0") << "the daemon may have closed it";
  Call.IdleSince = Start - 700ms;
  Call.EndedAt = Start + 8s;
  EXPECT_EQ(this->broken(), "0") << "the deadline has passed";
}

TEST_F(SoakHistoryTest, FreezesDoNotExcuseUnansweredRequests) {
  keptCall(this->History, 0);
  this->History.Disturbances.push_back(
      {0, Start - 1s, Start + 500ms, false, DisturbanceKind::Freeze});
  this->History.Disturbances.push_back({0, Start - 1s, Start, true});
  EXPECT_EQ(this->broken(), "a whole request gets an answer");
  this->History.Disturbances.push_back(
      {1, Start - 2s, Start - 1s, false, DisturbanceKind::Kill});
  EXPECT_EQ(this->broken(), "a whole request gets an answer");
  this->History.Disturbances.back().Daemon = 0;
  EXPECT_EQ(this->broken(), "0");
}

// Guards against reports of calls that ended with the helper that relayed them,
// and against excuses by the end of any other daemon.
TEST_F(SoakHistoryTest, TheEndOfAHelperExcusesTheCallsThatItRelayed) {
  KeptCallView &Call = keptCall(this->History, 200);
  Call.Helpers = {2};
  this->History.Disturbances.push_back(
      {1, Start - 1s, Start, false, DisturbanceKind::Kill});
  EXPECT_EQ(this->broken(), "a begun answer is carried to its end");
  this->History.Disturbances[0].Daemon = 2;
  EXPECT_EQ(this->broken(), "0");
  this->History.Disturbances[0].Kind = DisturbanceKind::Freeze;
  EXPECT_EQ(this->broken(), "a begun answer is carried to its end");
  this->History.Stops.push_back(
      {.Daemon = 2, .At = Start - SoakBounds().Grace, .EndedAt = Start});
  EXPECT_EQ(this->broken(), "0") << "the stop has ended the call";
  this->History.Stops[0].Daemon = 1;
  EXPECT_EQ(this->broken(), "a begun answer is carried to its end");
}

TEST_F(SoakHistoryTest, ACutAnswerIsFound) {
  KeptCallView &Call = keptCall(this->History, 200);
  Call.IdleSince = Start - 1h;
  EXPECT_EQ(this->broken(), "a begun answer is carried to its end");
  Call.HasBrokenOff = true;
  EXPECT_EQ(this->broken(), "0") << "its upstream broke off";
}

TEST_F(SoakHistoryTest, AStopThatLosesRequestsIsFound) {
  keptCall(this->History, 0);
  this->History.Stops.push_back(
      {.Daemon = 0, .At = Start - 1s, .EndedAt = Start + 1s});
  EXPECT_EQ(this->broken(), "a whole request gets an answer");
  this->History.Stops[0].EndedAt = Start + 100ms;
  EXPECT_EQ(this->broken(), "0") << "the request crossed the end";
  this->History.Stops[0].EndedAt = Start - 500ms;
  EXPECT_EQ(this->broken(), "a whole request gets an answer")
      << "the daemon is another one";
  this->History.Stops[0].At = Start - 2500ms;
  this->History.Stops[0].EndedAt = Start + 1s;
  EXPECT_EQ(this->broken(), "0") << "late in the grace time";
}

TEST_F(SoakHistoryTest, ADeniedOrForeignAnswerOnAKeptConnectionIsFound) {
  KeptCallView &Call = keptCall(this->History, 404);
  Call.IsWhole = true;
  EXPECT_EQ(this->broken(), "proper calls are not denied");
  Call.Status = 200;
  EXPECT_EQ(this->broken(), "own whole answer");
  Call.IsOwn = true;
  EXPECT_EQ(this->broken(), "0");
  Call.Status = 503;
  EXPECT_EQ(this->broken(), "0");
}

/// Adds a call to upstreams that fall silent, which ended as whole 3 s later.
static SilenceCallView &silenceCall(SoakHistory &History, bool MayRepeat,
                                    int Status) {
  SilenceCallView &Call = History.Silences.Calls["q"];
  Call = {};
  Call.MayRepeat = MayRepeat;
  Call.SentAt = Start;
  Call.Deadline = 6s;
  Call.EndedAt = Start + 3s;
  Call.Status = Status;
  Call.IsWhole = Status != 0;
  Call.IsOwn = Status == 200;
  return Call;
}

TEST_F(SoakHistoryTest, ACallThatASilenceCutsIsFound) {
  SilenceCallView &Call = silenceCall(this->History, true, 200);
  EXPECT_EQ(this->broken(), "0");
  Call.IsWhole = false;
  EXPECT_EQ(this->broken(), "a begun answer is carried to its end");
  Call.Status = 0;
  EXPECT_EQ(this->broken(), "a whole request gets an answer");
  Call.HasBrokenOff = true;
  EXPECT_EQ(this->broken(), "0") << "its upstream crashed";
}

TEST_F(SoakHistoryTest, ACallThatASilenceFailsIsFound) {
  for (const bool MayRepeat : {true, false}) {
    for (const int Status : {500, 502, 504}) {
      SilenceCallView &Call = silenceCall(this->History, MayRepeat, Status);
      EXPECT_EQ(this->broken(), "silence is no failure");
      Call.HasBrokenOff = true;
      EXPECT_EQ(this->broken(), "0") << "its upstream crashed";
    }
    silenceCall(this->History, MayRepeat, 503);
    EXPECT_EQ(this->broken(), "0") << "it was refused";
  }
  silenceCall(this->History, true, 401);
  EXPECT_EQ(this->broken(), "proper calls are not denied");
}

TEST_F(SoakHistoryTest, AMachineThatIsGoneExcusesOnlyCallsThatWereSentThere) {
  SilenceCallView &Call = silenceCall(this->History, false, 502);
  const TimePoint Late = *Call.EndedAt - 1800ms;
  this->History.Silences.Gone = {{"u0", Late, Late + 12s}};
  EXPECT_EQ(this->broken(), "0");
  Call.Ran = {"u0"};
  EXPECT_EQ(this->broken(), "0");
  Call.IsWhole = false;
  Call.Status = 0;
  EXPECT_EQ(this->broken(), "0");
  Call.MayRepeat = true;
  EXPECT_EQ(this->broken(), "a whole request gets an answer");
  Call.Status = 200;
  EXPECT_EQ(this->broken(), "0") << "retries may be used up";
  Call.IsWhole = true;
  Call.Status = 502;
  Call.Ran = {"u1"};
  EXPECT_EQ(this->broken(), "silence is no failure") << "ran elsewhere";
  Call.Ran.clear();
  this->History.Silences.Gone[0].From = Late + 1ms;
  EXPECT_EQ(this->broken(), "silence is no failure") << "might have gone on";
  this->History.Silences.Gone = {{"u0", Start - 20s, Start - 1ms}};
  EXPECT_EQ(this->broken(), "silence is no failure") << "was replaced";
}

TEST_F(SoakHistoryTest, CallsThatAreNotServedBesideAGoneMachineAreFound) {
  this->History.Silences.Gone = {{"u0", Start, Start + 12s}};
  for (int I = 0; I < 20; ++I)
    this->History.Silences.Calls[std::to_string(I)] =
        silenceCall(this->History, true, I < 12 ? 200 : 503);
  this->History.Silences.Calls.erase("q");
  EXPECT_EQ(this->broken(), "0");
  this->History.Silences.Calls["0"].Status = 503;
  EXPECT_EQ(this->broken(), "calls are served beside a machine that is gone");
  this->History.Silences.Gone[0].From = Start + 1ms;
  EXPECT_EQ(this->broken(), "0");
}

TEST_F(SoakHistoryTest, FreezesDoNotExcuseACallThatASilenceFails) {
  silenceCall(this->History, true, 502);
  this->History.Disturbances.push_back(
      {0, Start, Start + 1s, false, DisturbanceKind::Freeze});
  EXPECT_EQ(this->broken(), "silence is no failure");
  this->History.Disturbances.back().Kind = DisturbanceKind::Kill;
  EXPECT_EQ(this->broken(), "0");
}

TEST_F(SoakHistoryTest, ACallThatIsHeldUntilItsDeadlineIsFound) {
  for (const int Status : {0, 503, 504}) {
    SilenceCallView &Call = silenceCall(this->History, true, Status);
    Call.EndedAt = Start + 6s;
    this->History.Disturbances = {{0, Start, Start + 7s, true}};
    EXPECT_EQ(this->broken(), "no call is held until its deadline");
    this->History.Disturbances[0].IsStoreOnly = false;
    EXPECT_EQ(this->broken(), "0") << "the daemon stood still";
    this->History.Disturbances[0].Daemon = 1;
    EXPECT_EQ(this->broken(), "no call is held until its deadline");
  }
  silenceCall(this->History, true, 200).EndedAt = Start + 6s;
  EXPECT_EQ(this->broken(), "0");
}

// Guards against a report of calls whose last upstream fell silent too late for
// its link to be given up before the deadline, and against excuses of calls
// that could have gone on elsewhere or whose link was silent for longer.
TEST_F(SoakHistoryTest, ADeadlineMayComeBeforeADeadLinkIsGivenUp) {
  const std::string Promise = "no call is held until its deadline";
  for (const bool MayRepeat : {true, false}) {
    SilenceCallView &Call = silenceCall(this->History, MayRepeat, 200);
    Call.IsWhole = false;
    Call.EndedAt = Start + 6s;
    Call.Ran = {"u0"};
    if (MayRepeat)
      Call.Ran.insert("u1");
    this->History.Silences.Gone = {{"u0", Start + 1501ms, Start + 13s}};
    EXPECT_EQ(this->broken(), "0");
    this->History.Silences.Gone[0].Upstream = "u2";
    EXPECT_EQ(this->broken(), Promise) << "it did not run there";
    this->History.Silences.Gone[0] = {"u0", Start + 1500ms, Start + 13s};
    EXPECT_EQ(this->broken(), Promise) << "the link was silent for long enough";
  }
  SilenceCallView &Call = silenceCall(this->History, true, 200);
  Call.IsWhole = false;
  Call.EndedAt = Start + 6s;
  Call.Ran = {"u0"};
  this->History.Silences.Gone[0].From = Start + 5s;
  EXPECT_EQ(this->broken(), Promise) << "another upstream was allowed";
}

TEST_F(SoakHistoryTest, EventsThatASilenceLosesOrRepeatsAreFound) {
  const auto Broken = [this](std::vector<int> Events, bool IsWhole) {
    SilenceCallView &Call = silenceCall(this->History, true, 200);
    Call.IsStream = true;
    Call.EventsOfWhole = 3;
    Call.Events = std::move(Events);
    Call.IsWhole = IsWhole;
    // A cut has a check of its own.
    Call.HasBrokenOff = !IsWhole;
    return this->broken();
  };
  EXPECT_EQ(Broken({1, 2, 3}, true), "0");
  EXPECT_EQ(Broken({1, 2}, false), "0");
  const std::string Promise = "a whole stream has each event once";
  EXPECT_EQ(Broken({1, 2}, true), Promise);
  EXPECT_EQ(Broken({1, 3}, true), Promise);
  EXPECT_EQ(Broken({1, 2, 3, 3}, true), Promise);
  EXPECT_EQ(Broken({1, 2, 2}, false), Promise);
  EXPECT_EQ(Broken({2}, false), Promise);
}

TEST_F(SoakHistoryTest, RunsBesideASilenceAreCounted) {
  SilenceCallView &Once = silenceCall(this->History, false, 200);
  Once.Runs = 1;
  Once.Ran = {"u0"};
  EXPECT_EQ(this->broken(), "0");
  Once.Runs = 2;
  EXPECT_EQ(this->broken(), "at most once");
  SilenceCallView &Safe = silenceCall(this->History, true, 200);
  Safe.Runs = 2;
  Safe.Ran = {"u0", "u1"};
  EXPECT_EQ(this->broken(), "0");
  Safe.Ran.insert("u2");
  EXPECT_EQ(this->broken(), "at most two upstreams");
  SilenceCallView &Refused = silenceCall(this->History, false, 503);
  Refused.Runs = 1;
  EXPECT_EQ(this->broken(), "not run is true");
}

// Callers rely on the smaller of two limits while a new one is applied.
TEST_F(SoakHistoryTest, IdleLimitsCountUntilTheNextIsInForce) {
  const ConnectionHistory Seen{.IdleLimits = {{Start, 1s}, {Start + 10s, 4s}}};
  const auto At = [&](Duration From, Duration To) {
    return idleLimitIn(Seen, Start + From, Start + To, 2s);
  };
  EXPECT_EQ(At(9s, 9s), 1s);
  EXPECT_EQ(At(11s, 11s), 1s);
  EXPECT_EQ(At(13s, 13s), 4s);
  EXPECT_EQ(At(11s, 13s), 1s);
}

/// Adds a call to route r that a daemon answered at once.
static void probe(SoakHistory &History, Duration At, const std::string &Service,
                  int Incarnation = 1) {
  History.Configs.Probes.push_back({.Route = "r",
                                    .Incarnation = Incarnation,
                                    .SentAt = Start + At,
                                    .EndedAt = Start + At + 1ms,
                                    .Service = Service});
}

TEST_F(SoakHistoryTest, AConfigurationThatGoesBackIsFound) {
  this->History.Configs.Routes["r"] = {
      {TimePoint(), ""}, {Start, "k0"}, {Start + 10s, "k1"}};
  this->History.Configs.Disruptions = {{Start, Start + 1min}};
  probe(this->History, 100ms, "");
  probe(this->History, 200ms, "k0");
  EXPECT_EQ(this->broken(), "0");
  probe(this->History, 300ms, "", 2);
  EXPECT_EQ(this->broken(), "0") << "another incarnation";
  probe(this->History, 400ms, "");
  EXPECT_EQ(this->broken(), "a configuration never goes back");
  this->History.Configs.Probes.pop_back();
  probe(this->History, 10100ms, "k1");
  probe(this->History, 10200ms, "k0");
  EXPECT_EQ(this->broken(), "a configuration never goes back");
}

TEST_F(SoakHistoryTest, ALateConfigurationIsFound) {
  this->History.Configs.Routes["r"] = {
      {TimePoint(), ""}, {Start, "k0"}, {Start + 10s, ""}};
  probe(this->History, 1900ms, "");
  EXPECT_EQ(this->broken(), "0");
  probe(this->History, 2100ms, "");
  EXPECT_EQ(this->broken(), "a configuration is in force in time");
  this->History.Configs.Disruptions = {{Start - 4s, Start - 2s, 2}};
  this->History.Configs.WeightHistories = {"w.era-2"};
  EXPECT_EQ(this->broken(), "0") << "the store was just restored";
  this->History.Configs.Disruptions[0].Until = Start - 3s;
  EXPECT_EQ(this->broken(), "a configuration is in force in time");
  this->History.Disturbances.push_back({0, Start - 2s, Start - 500ms});
  EXPECT_EQ(this->broken(), "0") << "the daemon was not in touch";
}

TEST_F(SoakHistoryTest, ARouteThatIsServedAfterItsEndIsFound) {
  this->History.Configs.Routes["r"] = {
      {TimePoint(), ""}, {Start, "k0"}, {Start + 10s, ""}};
  probe(this->History, 11900ms, "k0");
  EXPECT_EQ(this->broken(), "0");
  probe(this->History, 12100ms, "k0");
  EXPECT_EQ(this->broken(), "a configuration is in force in time");
}

TEST_F(SoakHistoryTest, AFenceThatFallsIsFound) {
  std::vector<OrderView> &Orders = this->History.Configs.Orders;
  Orders = {{Start, "e0", "n0", 2, 0}, {Start + 4s, "e0", "n1", 3, 1}};
  EXPECT_EQ(this->broken(), "0");
  Orders.push_back({Start + 8s, "e0", "n0", 2, 0});
  EXPECT_EQ(this->broken(), "fences do not fall");
  this->History.Disturbances.push_back(
      {0, Start + 5s, Start + 7800ms, false, DisturbanceKind::Freeze});
  EXPECT_EQ(this->broken(), "0") << "the order was sent before the freeze";
}

TEST_F(SoakHistoryTest, AFenceOfTwoDaemonsIsFound) {
  this->History.Configs.Orders = {{Start, "e0", "n0", 2, 0},
                                  {Start, "e1", "n1", 2, 1}};
  EXPECT_EQ(this->broken(), "a fence is given out once");
}

TEST_F(SoakHistoryTest, DaemonsThatTakeTurnsAtAnEngineAreFound) {
  this->History.Configs.Orders = {{Start, "e0", "n0", 2, 0},
                                  {Start + 2900ms, "e0", "n1", 3, 1}};
  EXPECT_EQ(this->broken(), "orders of two daemons are a lease apart");
  this->History.Configs.Orders[1].At = Start + 3s;
  EXPECT_EQ(this->broken(), "0");
}

TEST_F(SoakHistoryTest, AHistoryThatIsNotWrittenAgainIsFound) {
  this->History.Configs.Daemons = 1;
  this->History.Configs.Disruptions = {{Start, Start + 1s, 2},
                                       {Start + 2s, Start + 3s, 3}};
  this->History.Configs.WeightHistories = {"w.era-2"};
  this->History.Weights.named(Start - 1h, 1);
  EXPECT_EQ(this->broken(), "0") << "no daemon knows a time";
  this->History.Weights.named(Start - 10s, 2);
  EXPECT_EQ(this->broken(), "histories are written again");
  this->History.Configs.WeightHistories.emplace_back("w.era-3");
  EXPECT_EQ(this->broken(), "0");
}

TEST_F(SoakHistoryTest, ALostHistoryThatNoDaemonKnowsIsNoFault) {
  this->History.Configs.Daemons = 1;
  this->History.Configs.Disruptions = {{Start, Start + 1s, 2}};
  this->History.Weights.named(Start - 1h, 1);
  this->History.Weights.named(Start - 10s, 2);
  this->History.Disturbances.push_back(
      {1, Start, Start + 1s, false, DisturbanceKind::Kill});
  EXPECT_EQ(this->broken(), "histories are written again");
  this->History.Disturbances.back().Daemon = 0;
  EXPECT_EQ(this->broken(), "0");
}

} // namespace
} // namespace galenaroute::soak
