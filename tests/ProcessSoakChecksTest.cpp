// Shows of each check of the process soak that it can fail, with faked
// histories.

#include "ChildProcess.h"
#include "Journal.h"
#include "PlainHttp.h"
#include "ProcessChecks.h"
#include "ProcessPlan.h"
#include "StoreDoors.h"
#include "connection/HttpClient.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace galenaroute::process_soak {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1h};

class ProcessSoakChecksTest : public testing::Test {
protected:
  ProcessSoakChecksTest() {
    this->History.LastFaultAt = Start;
    this->History.EndedAt = Start + 1min;
  }

  RequestView &request(const std::string &Id, const std::string &Route) {
    RequestView &Request = this->History.Requests[Id];
    Request = {.Route = Route,
               .SentAt = Start,
               .EndedAt = Start + 1s,
               .End = RequestEnd::Whole,
               .Status = 200,
               .IsStamped = true};
    if (Request.isStream())
      for (int I = 1; I <= ProcessBounds().EventsOfWhole; ++I)
        Request.Events.push_back(I);
    return Request;
  }
  WorkView &work(const std::string &Id, const std::string &Upstream,
                 Duration From, Duration Begun, Duration Last) {
    this->History.Works[Id].push_back({.Upstream = Upstream,
                                       .AcceptedAt = Start + From,
                                       .BegunAt = Start + Begun,
                                       .LastAt = Start + Last,
                                       .OverAt = Start + Last});
    return this->History.Works[Id].back();
  }
  LifeView &life(std::size_t Daemon = 0) {
    this->History.Lives.push_back({.Daemon = Daemon,
                                   .StartedAt = Start - 1min,
                                   .ReadyAt = Start - 50s,
                                   .AloneAt = Start - 1min});
    return this->History.Lives.back();
  }
  void addServed() {
    for (int I = 0; I < 40; ++I)
      this->request("r" + std::to_string(I), "safe").SentAt = Start + 13s;
  }
  /// What \p Check finds: the one promise that is broken, or how many are.
  template <typename CheckFunction>
  std::string broken(CheckFunction Check) const {
    BrokenPromises Found;
    Check(this->History, ProcessBounds(), Found);
    return Found.size() == 1 ? Found[0].Promise : std::to_string(Found.size());
  }

  ProcessHistory History;
};

TEST_F(ProcessSoakChecksTest, ASoundHistoryBreaksNothing) {
  this->addServed();
  this->life();
  this->request("a", "once");
  this->work("a", "u1", 0ms, 10ms, 20ms);
  EXPECT_TRUE(checkProcesses(this->History, {}).empty());
}

TEST_F(ProcessSoakChecksTest, AProcessEndsByItself) {
  LifeView &Life = this->life();
  Life.EndedAt = Start;
  Life.ExitCode = 1;
  EXPECT_EQ(this->broken(checkEnds), "no process ends by itself");
  Life.ExitCode = -SIGHUP;
  Life.Signals = {{Start, SIGHUP}};
  EXPECT_EQ(this->broken(checkEnds), "no process ends by itself");
  Life.ExitCode = -SIGTERM;
  Life.Signals = {{Start, SIGTERM}};
  EXPECT_EQ(this->broken(checkEnds), "no process ends by itself");
  Life.ExitCode = 0;
  EXPECT_EQ(this->broken(checkEnds), "0");
  Life.ExitCode = -SIGKILL;
  Life.Signals = {{Start, SIGKILL}};
  EXPECT_EQ(this->broken(checkEnds), "0");
}

TEST_F(ProcessSoakChecksTest, AStopTakesTooLong) {
  LifeView &Life = this->life();
  Life.Signals = {{Start, SIGTERM}, {Start + 10s, SIGKILL}};
  Life.EndedAt = Start + 10s;
  Life.ExitCode = -SIGKILL;
  EXPECT_EQ(this->broken(checkEnds), "a planned stop ends in time");
  this->History.Freezes[0] = {{Start + 1s, Start + 3500ms}};
  EXPECT_EQ(this->broken(checkEnds), "0");
}

TEST_F(ProcessSoakChecksTest, AStartNeverServes) {
  LifeView &Life = this->life();
  Life.ReadyAt.reset();
  EXPECT_EQ(this->broken(checkStarts), "each start ends up serving");
  Life.Signals = {{Life.StartedAt + 5s, SIGKILL}};
  EXPECT_EQ(this->broken(checkStarts), "0");
}

TEST_F(ProcessSoakChecksTest, AnUnsafeRequestRunsTwice) {
  for (const std::string Route : {"once", "oncestream", "safe", "stream"}) {
    this->History.Works.clear();
    this->History.Requests.clear();
    this->request("a", Route);
    this->work("a", "u1", 0ms, 10ms, 20ms);
    EXPECT_EQ(this->broken(checkRunsOnce), "0");
    this->work("a", "u2", 30ms, 40ms, 50ms);
    EXPECT_EQ(this->broken(checkRunsOnce),
              Route.starts_with("once") ? "runs at most once" : "0");
  }
}

TEST_F(ProcessSoakChecksTest, TheUpstreamBeforeWorksOn) {
  const std::string Broken = "the upstream before has stopped";
  this->request("a", "stream");
  this->work("a", "u1", 0ms, 10ms, 1300ms);
  this->work("a", "u2", 800ms, 850ms, 1200ms);
  EXPECT_EQ(this->broken(checkHandovers), Broken);
  this->History.Silences["u1"] = {{Start, Start + 1290ms}};
  EXPECT_EQ(this->broken(checkHandovers), Broken);
  // Out of reach.
  this->History.Silences["u1"] = {{Start - 1s, Start + 1290ms}};
  EXPECT_EQ(this->broken(checkHandovers), "0");
  this->History.Silences.clear();
  this->History.Freezes[0] = {{Start - 2s, Start - 1900ms}};
  EXPECT_EQ(this->broken(checkHandovers), "0");
  this->History.Freezes[0] = {{Start - 5s, Start - 4s}};
  this->History.Freezes[1] = {{Start - 1s, Start}};
  EXPECT_EQ(this->broken(checkHandovers), Broken);
  this->History.Works["a"][0].LastAt = Start + 1250ms;
  EXPECT_EQ(this->broken(checkHandovers), "0");
}

TEST_F(ProcessSoakChecksTest, TheUpstreamBeforeReadsTheRequestLater) {
  this->request("a", "stream");
  this->work("a", "u2", 800ms, 850ms, 1200ms).HasEnded = true;
  this->work("a", "u1", 1500ms, 1510ms, 1520ms);
  EXPECT_EQ(this->broken(checkHandovers), "0");
  this->History.Silences["u1"] = {{Start, Start + 1495ms}};
  EXPECT_EQ(this->broken(checkHandovers),
            "the upstream before does not begin later");
  // u1 reads the request together with the close of its connection.
  this->History.Works["a"][1].BegunAt.reset();
  EXPECT_EQ(this->broken(checkHandovers), "0");
  this->History.Works["a"][1].BegunAt = Start + 1510ms;
  // The request goes on at u1 because u2 broke off.
  this->History.Works["a"][0].HasEnded = false;
  this->History.Works["a"][0].HasBroken = true;
  EXPECT_EQ(this->broken(checkHandovers), "0");
}

TEST_F(ProcessSoakChecksTest, ARefusedRequestRuns) {
  for (const int Status : {408, 421, 429, 503}) {
    RequestView &Request = this->request("a", "once");
    Request.Status = Status;
    Request.IsStamped = false;
    this->History.Works.clear();
    EXPECT_EQ(this->broken(checkRefusals), "0");
    // Also later than the answer.
    this->work("a", "u1", 5s, 6s, 6s);
    EXPECT_EQ(this->broken(checkRefusals), "not run is true");
    Request.Status = 502;
    EXPECT_EQ(this->broken(checkRefusals), "0");
  }
}

TEST_F(ProcessSoakChecksTest, ARequestGetsNoAnswer) {
  const std::string Broken = "a whole request gets an answer";
  RequestView &Request = this->request("a", "once");
  Request.End = RequestEnd::None;
  EXPECT_EQ(this->broken(checkAnswers), Broken);
  // It crossed the close of the connection, and nothing had run.
  Request.EndedAt = Start + 150ms;
  EXPECT_EQ(this->broken(checkAnswers), "0");
  this->work("a", "u1", 10ms, 20ms, 30ms);
  EXPECT_EQ(this->broken(checkAnswers), Broken);
  Request.EndedAt = Start + 5s;
  EXPECT_EQ(this->broken(checkAnswers), "0");
  // Its deadline passed before the timeout of its route.
  Request.EndedAt = Start + 2s;
  EXPECT_EQ(this->broken(checkAnswers), Broken);
  Request.Limit = 2s;
  EXPECT_EQ(this->broken(checkAnswers), "0");
  Request.EndedAt = Start + 5s;
  Request.End = RequestEnd::Expired;
  EXPECT_EQ(this->broken(checkAnswers), Broken);
  Request.EndedAt = Start + 1s;
  Request.End = RequestEnd::None;
  LifeView &Life = this->life();
  Life.Signals = {{Start - 1s, SIGTERM}};
  Life.EndedAt = Start + 2s;
  EXPECT_EQ(this->broken(checkAnswers), Broken);
  Life.Signals = {{Start + 500ms, SIGHUP}};
  EXPECT_EQ(this->broken(checkAnswers), Broken);
  Life.Signals = {{Start + 500ms, SIGKILL}};
  EXPECT_EQ(this->broken(checkAnswers), "0");
}

TEST_F(ProcessSoakChecksTest, AnAnswerIsCut) {
  const std::string Broken = "an answer is carried to its end";
  this->request("a", "stream").End = RequestEnd::Cut;
  WorkView &Work = this->work("a", "u1", 0ms, 10ms, 900ms);
  EXPECT_EQ(this->broken(checkAnswers), Broken);
  Work.HasBroken = true;
  EXPECT_EQ(this->broken(checkAnswers), "0");
  Work.HasBroken = false;
  this->History.UpstreamEnds["u1"] = Start + 800ms;
  EXPECT_EQ(this->broken(checkAnswers), "0");
  // Its head may be lost with it, but only if there was one.
  this->History.Requests["a"].End = RequestEnd::None;
  EXPECT_EQ(this->broken(checkAnswers), "0");
  Work.BegunAt.reset();
  EXPECT_EQ(this->broken(checkAnswers), "a whole request gets an answer");
  this->History.Requests["a"].End = RequestEnd::Cut;
  this->History.UpstreamEnds["u1"] = Start + 2s;
  EXPECT_EQ(this->broken(checkAnswers), Broken);
}

TEST_F(ProcessSoakChecksTest, AStreamLosesOrRepeatsEvents) {
  RequestView &Request = this->request("a", "stream");
  EXPECT_EQ(this->broken(checkEvents), "0");
  Request.Events.pop_back();
  EXPECT_EQ(this->broken(checkEvents), "a whole stream has all events");
  Request.Events.push_back(11);
  EXPECT_EQ(this->broken(checkEvents), "events come once and in order");
  Request.Events = {1, 3};
  Request.End = RequestEnd::Cut;
  EXPECT_EQ(this->broken(checkEvents), "events come once and in order");
}

// Guards against checks that accept a stream of two software versions, within
// one answer or over the requests of its caller.
TEST_F(ProcessSoakChecksTest, AStreamIsOfTwoVersions) {
  const std::string Broken = "a stream holds events of one version";
  RequestView &First = this->request("a", "stream");
  First.Versions = {"d0/1", "d0/1"};
  EXPECT_EQ(this->broken(checkVersions), "0");
  First.Versions = {"d0/1", "d0/2"};
  EXPECT_EQ(this->broken(checkVersions), Broken);
  First.Versions = {"d0/1", "d0/1"};
  // The third request for the stream; the second one brought nothing.
  for (const std::string Id : {"b", "c"}) {
    RequestView &Next = this->request(Id, "stream");
    Next.First = "a";
    Next.SentAt = Start + 2s;
  }
  EXPECT_EQ(this->broken(checkVersions), "0");
  this->History.Requests["c"].Versions = {"d1/1"};
  EXPECT_EQ(this->broken(checkVersions), "0");
  this->History.Requests["c"].Versions = {"d1/2"};
  EXPECT_EQ(this->broken(checkVersions), Broken);
  this->History.Requests["c"].Versions = {"d0/2"};
  EXPECT_EQ(this->broken(checkVersions), Broken);
  this->History.Requests["c"].First = "other";
  EXPECT_EQ(this->broken(checkVersions), "0");
}

// Guards against checks that accept events that are missing or come twice where
// a stream is taken up.
TEST_F(ProcessSoakChecksTest, AStreamGoesOnElsewhere) {
  const std::string Broken = "events go on where a stream broke off";
  RequestView &First = this->request("a", "stream");
  First.Events = {1, 2, 3, 4};
  First.End = RequestEnd::Cut;
  // Requests are in order of time, not of their ids.
  RequestView &Next = this->request("A", "stream");
  Next.First = "a";
  Next.SentAt = Start + 2s;
  Next.After = 4;
  Next.Events = {5, 6, 7, 8, 9, 10, 11, 12};
  EXPECT_EQ(this->broken(checkEvents), "0");
  First.Events = {1, 2, 3};
  EXPECT_EQ(this->broken(checkEvents), Broken);
  First.Events = {1, 2, 3, 4, 5};
  EXPECT_EQ(this->broken(checkEvents), Broken);
  First.Events = {1, 2, 3, 4};
  Next.Events.pop_back();
  EXPECT_EQ(this->broken(checkEvents), "a whole stream has all events");
  Next.Events = {5, 7};
  Next.End = RequestEnd::Cut;
  EXPECT_EQ(this->broken(checkEvents), "2");
}

// Guards against daemons that keep versions apart by refusing what callers take
// up.
TEST_F(ProcessSoakChecksTest, StreamsAreNotTakenUp) {
  const std::string Broken = "streams are taken up";
  for (const std::string Id : {"u1", "u2", "u3"})
    this->History.Upstreams[Id] = {.Version = "d0/1",
                                   .StartedAt = Start - 1min};
  this->History.Upstreams["u3"].Version = "d0/2";
  for (int I = 0; I < 12; ++I) {
    RequestView &First = this->request("a" + std::to_string(I), "stream");
    First.Versions = {"d0/1"};
    First.FirstEventAt = Start + 50ms;
    RequestView &Next = this->request("b" + std::to_string(I), "stream");
    Next.First = "a" + std::to_string(I);
    if (I < 6)
      Next.FirstEventAt = Start + 50ms;
    else
      Next.Status = 503;
  }
  EXPECT_EQ(this->broken(checkTakeUps), "0");
  RequestView &Next = this->History.Requests["b0"];
  Next.FirstEventAt.reset();
  EXPECT_EQ(this->broken(checkTakeUps), Broken);
  // Too few to tell.
  Next.End = RequestEnd::Unsent;
  EXPECT_EQ(this->broken(checkTakeUps), "0");
  Next.End = RequestEnd::Whole;
  // New streams begin half as often too.
  for (int I = 0; I < 12; ++I)
    this->request("c" + std::to_string(I), "stream").Status = 503;
  EXPECT_EQ(this->broken(checkTakeUps), "0");
  for (int I = 0; I < 12; ++I)
    this->History.Requests.erase("c" + std::to_string(I));
  this->History.StoreFreezes = {{Start - 2s, Start - 1s}};
  EXPECT_EQ(this->broken(checkTakeUps), "0");
  this->History.StoreFreezes = {{Start - 6s, Start - 4s}};
  EXPECT_EQ(this->broken(checkTakeUps), Broken);
  this->History.TurnedAway[0] = {{Start - 2s, Start - 1s}};
  EXPECT_EQ(this->broken(checkTakeUps), "0");
  this->History.TurnedAway = {{0, {{Start - 6s, Start - 4s}}},
                              {1, {{Start - 2s, Start - 1s}}}};
  EXPECT_EQ(this->broken(checkTakeUps), Broken);
  this->History.Freezes[0] = {{Start - 2s, Start - 1s}};
  EXPECT_EQ(this->broken(checkTakeUps), "0");
  this->History.Freezes.clear();
  UpstreamView &Second = this->History.Upstreams["u2"];
  Second.StartedAt = Start - 1s;
  EXPECT_EQ(this->broken(checkTakeUps), "0");
  Second.StartedAt = Start - 1min;
  Second.EndsAt = Start + 40ms;
  EXPECT_EQ(this->broken(checkTakeUps), "0");
  Second.EndsAt = Start + 2s;
  EXPECT_EQ(this->broken(checkTakeUps), Broken);
}

TEST_F(ProcessSoakChecksTest, AnAnswerBelongsToAnother) {
  this->request("a", "safe").Foreign = "answer to b:";
  EXPECT_EQ(this->broken(checkOwnAnswers), "answers are the caller's own");
  this->History.Requests.clear();
  this->History.Foreign = {"bytes without a request"};
  EXPECT_EQ(this->broken(checkOwnAnswers), "answers are the caller's own");
}

TEST_F(ProcessSoakChecksTest, ServiceDoesNotRecover) {
  EXPECT_EQ(this->broken(checkRecovery), "service recovers");
  this->addServed();
  EXPECT_EQ(this->broken(checkRecovery), "0");
  for (auto &[Id, Each] : this->History.Requests)
    Each.Status = 503;
  EXPECT_EQ(this->broken(checkRecovery), "service recovers");
  // Callers asked for more than upstreams could serve from the beginning.
  this->request("before", "safe").SentAt = Start - 1s;
  EXPECT_EQ(this->broken(checkRecovery), "service recovers");
  this->History.Requests["before"].Status = 503;
  EXPECT_EQ(this->broken(checkRecovery), "0");
}

// Guards against histories that are read wrongly, so that checks see nothing.
TEST_F(ProcessSoakChecksTest, JournalsBecomeHistories) {
  std::vector<JournalLine> Lines;
  for (const char *Text :
       {"1000 sending a once 3 kept", "2000 sent a", "5000 head a 200 u1",
        "6000 end a whole", "7000 foreign c0 bytes"})
    Lines.push_back(*parseJournalLine(Text));
  ProcessHistory Read;
  readCallers(Lines, Read);
  const RequestView &Request = Read.Requests.at("a");
  EXPECT_EQ(Request.Route, "once");
  EXPECT_EQ(Request.Daemon, 3U);
  EXPECT_EQ(Request.SentAt, TimePoint(2ms));
  EXPECT_EQ(Request.EndedAt, TimePoint(6ms));
  EXPECT_EQ(Request.End, RequestEnd::Whole);
  EXPECT_EQ(Request.Status, 200);
  EXPECT_TRUE(Request.IsStamped);
  EXPECT_EQ(Read.Foreign.size(), 1U);

  Lines.clear();
  for (const char *Text :
       {"1000 sending s2 stream 1 fresh 4500 4 s1", "2000 sent s2",
        "5000 head s2 200 u1", "6000 event s2 5 d0/2", "7000 event s2 6 d0/1",
        "8000 sending s3 stream 1 fresh 6000 0 "})
    Lines.push_back(*parseJournalLine(Text));
  readCallers(Lines, Read);
  const RequestView &Stream = Read.Requests.at("s2");
  EXPECT_EQ(Stream.First, "s1");
  EXPECT_EQ(Stream.After, 4);
  EXPECT_EQ(Stream.Limit, 4500ms);
  EXPECT_EQ(Stream.Events, std::vector<int>({5, 6}));
  EXPECT_EQ(Stream.Versions, std::vector<std::string>({"d0/2", "d0/1"}));
  EXPECT_EQ(Stream.FirstEventAt, TimePoint(6ms));
  EXPECT_TRUE(Read.Requests.at("s3").First.empty());

  Lines.clear();
  for (const char *Text : {"1000 started u1", "2000 accepted a 4",
                           "3000 event a 5", "4000 event a 6", "5000 closed a",
                           "6000 accepted a 6", "7000 refused b 503"})
    Lines.push_back(*parseJournalLine(Text));
  readUpstream("u1", Lines, Read);
  ASSERT_EQ(Read.Works.size(), 1U);
  const std::vector<WorkView> &Works = Read.Works.at("a");
  ASSERT_EQ(Works.size(), 2U);
  EXPECT_EQ(Works[0].After, 4);
  EXPECT_EQ(Works[0].BegunAt, TimePoint(3ms));
  EXPECT_EQ(Works[0].LastAt, TimePoint(5ms));
  EXPECT_EQ(Works[0].OverAt, TimePoint(5ms));
  EXPECT_FALSE(Works[0].HasEnded);
  EXPECT_FALSE(Works[1].BegunAt);
  EXPECT_FALSE(Works[1].OverAt);
}

// Guards against a copied refusal that counts as work on the request.
TEST_F(ProcessSoakChecksTest, CopiesAreNoWork) {
  std::vector<JournalLine> Lines;
  for (const char *Text : {"1000 refused a 503", "2000 accepted a 0",
                           "3000 event a 1", "9000 copied a a"})
    Lines.push_back(*parseJournalLine(Text));
  ProcessHistory Read;
  readUpstream("u1", Lines, Read);
  EXPECT_EQ(Read.Copies, 1U);
  ASSERT_EQ(Read.Works.at("a").size(), 1U);
  EXPECT_EQ(Read.Works.at("a")[0].LastAt, TimePoint(3ms));
}

TEST_F(ProcessSoakChecksTest, TheStoreTurnsDaemonsAway) {
  std::vector<JournalLine> Lines;
  for (const char *Text :
       {"1000 turned_away 2 silence", "2000 turned_away 2 503", "3000 served 2",
        "4000 turned_away 1 reset", "5000 turned_away 2 429", "6000 served 2"})
    Lines.push_back(*parseJournalLine(Text));
  ProcessHistory Read;
  Read.EndedAt = TimePoint(9ms);
  readStore(Lines, Read);
  ASSERT_EQ(Read.TurnedAway.at(2).size(), 2U);
  EXPECT_EQ(Read.TurnedAway.at(2)[0].From, TimePoint(1ms));
  EXPECT_EQ(Read.TurnedAway.at(2)[0].Until, TimePoint(3ms));
  ASSERT_EQ(Read.TurnedAway.at(1).size(), 1U);
  EXPECT_EQ(Read.TurnedAway.at(1)[0].Until, TimePoint(9ms));
}

// Guards against daemons that are served although they are turned away.
TEST_F(ProcessSoakChecksTest, ADoorClosesForOneDaemon) {
  EventLoop Loop;
  testing_support::FakePlatformServer Store(Loop);
  Store.put("servers", "u1", {{"slots", 1}});
  const std::string Path = "/tmp/soak-doors-" + std::to_string(getpid());
  const Journal Log(Path);
  StoreDoors Doors(Loop, Store, Log, {.Count = 2, .Seed = 1});
  HttpClient Client(Loop);
  const auto StatusAt = [&](const SocketAddress &At) {
    std::optional<int> Status;
    Client.startDetached(
        HttpCallBuilder(At)
            .get("/api/objects/servers")
            .totalTimeout(100ms)
            .newConnection()
            .build(),
        [&](const HttpResult &Result) { Status = Result.Status; });
    Loop.runUntil([&] { return Status.has_value(); }, 2s);
    return Status.value_or(-1);
  };
  const auto TurnAway = [&](const char *How) {
    bool IsDone = false;
    Client.startDetached(
        HttpCallBuilder(Doors.controlAddress())
            .put("/doors/1",
                 nlohmann::json{{"how", How}, {"forMs", 300}}.dump())
            .newConnection()
            .build(),
        [&](const HttpResult &Result) { IsDone = Result.isSuccess(); });
    EXPECT_TRUE(Loop.runUntil([&] { return IsDone; }, 2s)) << How;
  };
  const std::map<std::string, int> Expected = {
      {"silence", 0}, {"503", 503}, {"429", 429}, {"reset", 0}};
  for (const auto &[How, Status] : Expected) {
    TurnAway(How.c_str());
    EXPECT_EQ(StatusAt(Doors.address(1)), Status) << How;
    EXPECT_EQ(StatusAt(Doors.address(0)), 200) << How;
    Loop.runUntil([] { return false; }, 350ms);
    EXPECT_EQ(StatusAt(Doors.address(1)), 200) << How;
  }
  std::filesystem::remove(Path);
}

// Guards against a reader that takes part of a message for all of it.
TEST_F(ProcessSoakChecksTest, MessagesAreReadInPieces) {
  const std::string Chunked = "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n"
                              "Request-Id: a\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0"
                              "\r\n\r\n";
  const std::string Plain = "HTTP/1.1 503 x\r\ncontent-length: 2\r\n\r\nno";
  MessageReader Reader(MessageKind::Answer);
  for (std::size_t I = 0; I < Chunked.size(); ++I) {
    EXPECT_FALSE(Reader.isWhole()) << I;
    Reader.feed(Chunked.substr(I, 1));
  }
  ASSERT_TRUE(Reader.isWhole());
  EXPECT_EQ(Reader.head().find("request-id"), "a");
  EXPECT_EQ(Reader.takeBody(), "abcde");
  EXPECT_FALSE(Reader.hasRest());
  Reader.feed(Plain);
  EXPECT_TRUE(Reader.hasRest());
  Reader.next();
  ASSERT_TRUE(Reader.isWhole());
  EXPECT_EQ(Reader.head().status(), 503);
  EXPECT_EQ(Reader.takeBody(), "no");
  EXPECT_FALSE(Reader.isMalformed());
}

// Guards against daemons that play without the limits of their machine.
TEST_F(ProcessSoakChecksTest, ProcessesHaveTheirLimits) {
  const std::string Log =
      testing::TempDir() + "process_soak_limits" + std::to_string(getpid());
  {
    ChildProcess Child("/bin/sh", {"-c", "ulimit -n; ulimit -v; kill -TERM $$"},
                       Log, {.Files = 4200, .MemoryBytes = 112'640'000});
    while (!Child.poll())
      std::this_thread::sleep_for(1ms);
    EXPECT_EQ(Child.exitCode(), -SIGTERM);
  }
  std::ifstream File(Log);
  const std::string Text{std::istreambuf_iterator<char>(File), {}};
  EXPECT_EQ(Text, "4200\n110000\n");
  std::filesystem::remove(Log);
}

// Guards against checks that accept a daemon beyond its memory or descriptors.
TEST_F(ProcessSoakChecksTest, ResourcesAreBounded) {
  LifeView &Life = this->life();
  Life.MostMemory = ProcessBounds().MemoryBytes;
  Life.MostDescriptors = ProcessBounds().Descriptors;
  EXPECT_EQ(this->broken(checkResources), "0");
  ++Life.MostMemory;
  EXPECT_EQ(this->broken(checkResources), "memory stays bounded");
  --Life.MostMemory;
  ++Life.MostDescriptors;
  EXPECT_EQ(this->broken(checkResources), "descriptors stay bounded");
}

// Guards against checks that accept a daemon which hangs once clients have
// gone.
TEST_F(ProcessSoakChecksTest, TheLastRequestIsServed) {
  LifeView &Life = this->life();
  EXPECT_EQ(this->broken(checkLastRequests), "0");
  Life.HasServedLast = true;
  EXPECT_EQ(this->broken(checkLastRequests), "0");
  Life.HasServedLast = false;
  EXPECT_EQ(this->broken(checkLastRequests),
            "daemons serve once clients have gone");
}

// Guards against answers that are cut unnoticed since an upstream that was done
// with the request, with 500, ends later.
TEST_F(ProcessSoakChecksTest, AFailedUpstreamExcusesNoCut) {
  readUpstream("u1",
               {{.At = Start, .Event = "accepted", .Call = "a", .Detail = "0"},
                {.At = Start + 1ms, .Event = "failed", .Call = "a"}},
               this->History);
  this->request("a", "safe").End = RequestEnd::Cut;
  this->History.UpstreamEnds["u1"] = Start + 2ms;
  EXPECT_EQ(this->broken(checkAnswers), "an answer is carried to its end");
}

// Guards against reports of answers that an upstream cuts as it leaves, when
// its process is reaped after the caller has seen the cut.
TEST_F(ProcessSoakChecksTest, AnUpstreamThatLeavesExcusesTheCutAtOnce) {
  RequestView &Request = this->request("a", "stream");
  Request.End = RequestEnd::Cut;
  this->History.UpstreamEnds["u1"] = Request.EndedAt + 5ms;
  std::vector<JournalLine> Lines = {
      {.At = Start, .Event = "accepted", .Call = "a", .Detail = "0"}};
  readUpstream("u1", Lines, this->History);
  EXPECT_EQ(this->broken(checkAnswers), "an answer is carried to its end");
  this->History.Works.clear();
  Lines.push_back({.At = Request.EndedAt, .Event = "left", .Call = "u1"});
  readUpstream("u1", Lines, this->History);
  EXPECT_EQ(this->broken(checkAnswers), "0");
}

// Guards against reports of answers that ended with the helper that relayed
// them, and against excuses by the end of any other daemon.
TEST_F(ProcessSoakChecksTest, TheEndOfAHelperExcusesTheCutsThatItCauses) {
  this->request("a", "stream").End = RequestEnd::Cut;
  LifeView &Life = this->life();
  Life.Daemon = 2;
  Life.Signals = {{Start + 500ms, SIGKILL}};
  std::istringstream Log(
      "time=1 level=INFO event=call.sent call=a helper=- send=1\n"
      "time=1 level=INFO event=call.sent call=a helper=trial send=2\n"
      "time=1 level=INFO event=call.sent call=a helper=127.1.0.3:1 send=3\n");
  readHelpers(Log, {{"127.1.0.3", 1}, {"127.1.0.4", 2}}, this->History);
  EXPECT_EQ(this->broken(checkAnswers), "an answer is carried to its end");
  Life.Daemon = 1;
  EXPECT_EQ(this->broken(checkAnswers), "0");
  Life.Signals = {{Start + 500ms, SIGSTOP}};
  EXPECT_EQ(this->broken(checkAnswers), "an answer is carried to its end");
}

// Guards against reports that a log holds and no check sees.
TEST_F(ProcessSoakChecksTest, ASanitizerReports) {
  std::istringstream Sound("INFO - process.started errors=0\n");
  readSanitizerReports(0, Sound, this->History);
  EXPECT_EQ(this->broken(checkSanitizers), "0");
  for (const char *Each :
       {"==7==ERROR: AddressSanitizer: heap-use-after-free on address 0x1",
        "a.cpp:1:2: runtime error: null pointer passed as argument"}) {
    this->History.SanitizerReports.clear();
    std::istringstream Log(std::string("INFO - a\n") + Each + "\n");
    readSanitizerReports(1, Log, this->History);
    EXPECT_EQ(this->broken(checkSanitizers), "sanitizers report nothing");
  }
}

// Guards against readings of /proc that find nothing and so hide all growth.
TEST_F(ProcessSoakChecksTest, ProcessesAreMeasured) {
  ChildProcess Child("/bin/sleep", {"60"}, "/dev/null", {});
  EXPECT_GT(Child.mostMemory(), 0U);
  EXPECT_GE(Child.openDescriptors(), 3U);
}

TEST_F(ProcessSoakChecksTest, TheSeedDecidesThePlan) {
  const auto Times = [](std::uint64_t Seed) {
    std::vector<Duration> Result;
    for (const Deed &Each : drawPlan({.Seed = Seed}))
      Result.push_back(Each.At);
    return Result;
  };
  EXPECT_EQ(Times(1), Times(1));
  EXPECT_NE(Times(1), Times(2));
  const auto Plan =
      drawPlan({.Seed = 3, .Length = 60s, .ReplacesBuilds = true});
  for (int I = 0; I <= static_cast<int>(DeedKind::GoBack); ++I)
    EXPECT_TRUE(std::any_of(Plan.begin(), Plan.end(), [&](const Deed &Each) {
      return static_cast<int>(Each.Kind) == I;
    })) << I;
}

// Guards against runs of two builds in which a daemon stays as it is.
TEST_F(ProcessSoakChecksTest, EachDaemonIsReplacedThereAndBack) {
  std::map<std::size_t, std::vector<DeedKind>> Seen;
  for (const Deed &Each : drawPlan(
           {.Seed = 3, .Length = 10s, .Daemons = 7, .ReplacesBuilds = true}))
    if (Each.Kind == DeedKind::Upgrade || Each.Kind == DeedKind::GoBack)
      Seen[Each.Target].push_back(Each.Kind);
  EXPECT_EQ(Seen.size(), 7U);
  for (const auto &[Daemon, Kinds] : Seen)
    EXPECT_EQ(Kinds,
              (std::vector<DeedKind>{DeedKind::Upgrade, DeedKind::GoBack}))
        << Daemon;
  for (const Deed &Each : drawPlan({.Seed = 3, .Length = 10s}))
    EXPECT_LT(Each.Kind, DeedKind::Upgrade);
}

} // namespace
} // namespace galenaroute::process_soak
