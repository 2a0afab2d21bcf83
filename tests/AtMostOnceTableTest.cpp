// The table "Sends that must not be repeated" of docs/proofs.md: for each way
// in which such a send can end, how often the call may have run and what the
// caller is told.

#include "ForwardRunFixture.h"

#include <array>
#include <thread>

namespace galenaroute {
namespace {

/// Statuses that promise that a call has not run and never will.
constexpr std::array Promises = {"408", "421", "429", "503"};
/// How long late arrivals are waited for: longer than it takes the kernel to
/// send the opening packet of a connection again.
constexpr Duration LateArrivals = 1400ms;

class OnceCall;

struct Row {
  const char *Name;
  std::function<void(OnceCall &)> Before;
  /// Handles a request that arrived; returns whether it may have run.
  std::function<bool(OnceCall &, RawSocket &)> Serve;
  const char *Status; ///< Of the answer to the caller.
  int MayHaveRun;
};

std::ostream &operator<<(std::ostream &Out, const Row &Of) {
  return Out << Of.Name;
}

class OnceCall : public ForwardRunFixture {
public:
  void TestBody() override {}

  void play(const Row &Of) {
    Of.Before(*this);
    if (this->Caller->read().empty() && !this->IsSent)
      this->send();
    this->runUntil(
        Of, [&] { return this->hasAnswer(); }, 4s);
    this->restore();
    this->runUntil(
        Of, [] { return false; }, LateArrivals);
    const std::string Status = this->Caller->read().substr(9, 3);
    EXPECT_EQ(Status, Of.Status) << this->Caller->read();
    EXPECT_EQ(this->MayHaveRun, Of.MayHaveRun);
    const bool IsPromise =
        std::find(Promises.begin(), Promises.end(), Status) != Promises.end();
    EXPECT_LE(this->MayHaveRun, IsPromise ? 0 : 1);
  }

  void send(const std::string &More = "") {
    this->IsSent = true;
    this->sendCall("/once/a", More);
  }
  /// Makes both upstreams refuse connections.
  void closeListeners() {
    for (int I = 0; I < 2; ++I)
      this->move(I, freeAddress());
  }
  void move(int Index, const SocketAddress &To) {
    RegisteredUpstream Each;
    Each.Id = "u" + std::to_string(Index);
    Each.Service = "s";
    Each.Address = To;
    this->Table.put(Each, EventLoop::now());
  }
  void dropOpening(int Count) {
    for (int I = 0; I < Count; ++I)
      this->Servers[I].setDropping(true);
    this->Dropping = Count;
  }
  void keepConnection() {
    this->Table.suspendUntil("u1", EventLoop::now() + 300ms);
    this->send();
    this->Kept = this->waitForArrival();
    this->Kept->write(
        head("200 OK", "Server-Stamp: x\r\nContent-Length: 2\r\n") + "ok");
    ASSERT_TRUE(this->callerReceives("\r\n\r\nok"));
    this->Kept->clearText();
    this->Caller =
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
    this->IsSent = false;
  }
  void endProcess() { this->Services.ProcessEnding.emit(); }
  void after(Duration Time, const std::function<void()> &Action) {
    this->Loop.timers().after(Time, Action);
  }
  /// Lets the process stand still as soon as it has begun to connect.
  void stallInConnect(Duration Time) {
    this->send();
    this->waitUntil([&] {
      return this->Table.find("u0")->OwnCalls +
                 this->Table.find("u1")->OwnCalls >
             0;
    });
    std::this_thread::sleep_for(Time);
  }

  static std::string ok() {
    return head("200 OK", "Server-Stamp: x\r\nContent-Length: 2\r\n") + "ok";
  }
  int Arrivals = 0;
  std::unique_ptr<RawSocket> Kept;

private:
  bool hasAnswer() {
    return this->Caller->read().find("\r\n\r\n") != std::string::npos;
  }
  void restore() {
    for (int I = 0; I < this->Dropping; ++I)
      this->Servers[I].setDropping(false);
  }
  void runUntil(const Row &Of, const std::function<bool()> &Done,
                Duration Limit) {
    this->Loop.runUntil(
        [&] {
          for (const RawListener &Each : this->Servers)
            if (const int Socket = Each.accept(); Socket >= 0)
              this->Peers.push_back(std::make_unique<RawSocket>(Socket));
          if (this->Kept)
            this->Peers.push_back(std::move(this->Kept));
          for (const auto &Each : this->Peers)
            if (!Each->isClosed() &&
                Each->read().find("\r\n\r\nbody") != std::string::npos) {
              Each->clearText();
              ++this->Arrivals;
              this->MayHaveRun += Of.Serve(*this, *Each);
            }
          return Done();
        },
        Limit);
  }

  std::vector<std::unique_ptr<RawSocket>> Peers;
  int MayHaveRun = 0;
  int Dropping = 0;
  bool IsSent = false;
};

const auto Nothing = [](OnceCall &) {};
const auto Succeeds = [](OnceCall &, RawSocket &Peer) {
  Peer.writeSome(OnceCall::ok());
  return true;
};
const auto StandsStill = [](OnceCall &, RawSocket &) { return true; };

/// Writes \p Text and ends the connection.
auto ends(const std::string &Text, bool Resets) {
  return [=](OnceCall &, RawSocket &Peer) {
    Peer.writeSome(Text);
    if (Resets)
      Peer.reset();
    else
      Peer.close();
    return true;
  };
}

/// Answers the first request with \p Text, which states that it has not run,
/// and runs the second one.
auto refusesFirst(const std::string &Text) {
  return [=](OnceCall &Of, RawSocket &Peer) {
    Peer.writeSome(Of.Arrivals == 1 ? Text : OnceCall::ok());
    return Of.Arrivals > 1;
  };
}

std::string answer(const std::string &Status, const std::string &More,
                   const std::string &Id = "r1") {
  return "HTTP/1.1 " + Status + "\r\nRequest-Id: " + Id + "\r\n" + More +
         "Content-Length: 2\r\n\r\nno";
}

std::vector<Row> rows() {
  const std::string Unfinished = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
  const std::string InBody =
      Unfinished + "Server-Stamp: x\r\nContent-Length: 9\r\n\r\nhalf";
  const std::string InRefusal =
      "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"
      "Content-Length: 9\r\n\r\nhalf";
  const std::string NotRun = answer("503 Busy", "Not-Executed: 1\r\n");
  const std::string Misdirected = answer("421 Misdirected", "");
  return {
      {"ConnectRefused", [](OnceCall &Of) { Of.closeListeners(); }, Succeeds,
       "503", 0},
      {"ConnectRefusedByOne", [](OnceCall &Of) { Of.move(0, freeAddress()); },
       Succeeds, "200", 1},
      {"ConnectTimedOut", [](OnceCall &Of) { Of.dropOpening(2); }, Succeeds,
       "503", 0},
      {"ConnectTimedOutAtOne", [](OnceCall &Of) { Of.dropOpening(1); },
       Succeeds, "200", 1},
      {"ConnectedAtTheConnectTimeout",
       [](OnceCall &Of) { Of.stallInConnect(500ms); }, Succeeds, "200", 1},
      {"NotExecuted", Nothing, refusesFirst(NotRun), "200", 1},
      {"Misdirected", Nothing, refusesFirst(Misdirected), "200", 1},
      {"NotExecutedByAll", Nothing,
       [NotRun](OnceCall &, RawSocket &Peer) {
         Peer.writeSome(NotRun);
         return false;
       },
       "503", 0},
      {"MisdirectedByAll", Nothing,
       [Misdirected](OnceCall &, RawSocket &Peer) {
         Peer.writeSome(Misdirected);
         return false;
       },
       "503", 0},
      {"ClosedInARefusal", Nothing, ends(InRefusal, false), "502", 1},
      {"ResetInARefusal", Nothing, ends(InRefusal, true), "502", 1},
      {"ClosedWithoutAByte", Nothing, ends("", false), "502", 1},
      {"ResetWithoutAByte", Nothing, ends("", true), "502", 1},
      {"ClosedInTheHead", Nothing, ends(Unfinished, false), "502", 1},
      {"ResetInTheHead", Nothing, ends(Unfinished, true), "502", 1},
      {"ClosedInTheBody", Nothing, ends(InBody, false), "502", 1},
      {"ResetInTheBody", Nothing, ends(InBody, true), "502", 1},
      {"Malformed", Nothing, ends("nonsense\r\n\r\n", false), "502", 1},
      {"AnotherAnswerThenItsOwn", Nothing,
       [](OnceCall &, RawSocket &Peer) {
         Peer.writeSome(answer("503 Busy", "Not-Executed: 1\r\n", "r9") +
                        OnceCall::ok());
         return true;
       },
       "200", 1},
      {"AnotherAnswerThenTheEnd", Nothing,
       ends(answer("421 Misdirected", "", "r9"), false), "502", 1},
      {"RefusalWithoutAnIdOnAKeptConnection",
       [](OnceCall &Of) { Of.keepConnection(); },
       ends("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n", false),
       "502", 1},
      {"KeptConnectionClosed", [](OnceCall &Of) { Of.keepConnection(); },
       ends("", false), "502", 1},
      {"LateAnswerOnAKeptConnection",
       [](OnceCall &Of) {
         Of.keepConnection();
         Of.Kept->writeSome(answer("503 Busy", "Not-Executed: 1\r\n"));
       },
       Succeeds, "200", 1},
      {"AnotherUpstreamAtTheAddress", [](OnceCall &Of) { Of.keepConnection(); },
       refusesFirst(Misdirected), "200", 1},
      {"TimeoutOfTheRoute", Nothing, StandsStill, "504", 1},
      {"DeadlineOfTheCaller",
       [](OnceCall &Of) { Of.send("Deadline-Ms: 400\r\n"); }, StandsStill,
       "504", 1},
      {"DeadlineWhileItConnects",
       [](OnceCall &Of) {
         Of.dropOpening(2);
         Of.send("Deadline-Ms: 200\r\n");
       },
       Succeeds, "503", 0},
      {"ProcessEndsAfterTheSend",
       [](OnceCall &Of) { Of.after(300ms, [&Of] { Of.endProcess(); }); },
       StandsStill, "502", 1},
      {"ProcessEndsWhileItConnects",
       [](OnceCall &Of) {
         Of.dropOpening(2);
         Of.after(200ms, [&Of] { Of.endProcess(); });
       },
       Succeeds, "503", 0},
      {"ProcessEndsWhenConnected",
       [](OnceCall &Of) {
         Of.stallInConnect(50ms);
         Of.endProcess();
       },
       Succeeds, "503", 0},
  };
}

class AtMostOnceTableTest : public testing::TestWithParam<Row> {};

// Guards against a call that must not be repeated and runs twice, and against
// one that has run, or runs later, though its caller was told that it has not.
TEST_P(AtMostOnceTableTest, ACallRunsAtMostOnceAndPromisesAreTrue) {
  OnceCall Call;
  Call.play(GetParam());
}

INSTANTIATE_TEST_SUITE_P(Sends, AtMostOnceTableTest, testing::ValuesIn(rows()),
                         [](const auto &Info) {
                           return std::string(Info.param.Name);
                         });

} // namespace
} // namespace galenaroute
