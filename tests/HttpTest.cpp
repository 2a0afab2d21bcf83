// Tests of the HTTP server and client wrappers against each other.

#include "RawSocket.h"
#include "connection/HttpClient.h"
#include "connection/HttpServer.h"
#include "process/ErrorKind.h"

#include <csignal>
#include <gtest/gtest.h>
#include <pthread.h>
#include <thread>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

class HttpTest : public testing::Test {
protected:
  SocketAddress serve(const HttpServer::Handler &Handler) {
    this->Server.handle(Handler);
    return {"127.0.0.1", this->Server.listen({"127.0.0.1", 0})};
  }

  HttpResult call(HttpCall Call) {
    std::optional<HttpResult> Last;
    const auto Exchange = this->Client.start(
        std::move(Call),
        {.OnDone = [&](const HttpResult &Result) { Last = Result; }});
    EXPECT_TRUE(this->Loop.runUntil([&] { return Last.has_value(); }, 5s));
    return Last.value_or(HttpResult{});
  }

  EventLoop Loop;
  HttpServer Server{Loop, {.MaxBodyBytes = 1000}};
  HttpClient Client{Loop};
};

TEST_F(HttpTest, CarriesMethodPathHeadersAndBody) {
  const SocketAddress To = this->serve(
      [](const HttpRequest &Request, const std::shared_ptr<HttpReply> &Reply) {
        Reply->send(200, {{"X-Seen", Request.Method + " " + Request.Path}},
                    Request.Body + "|" + Request.Query);
      });
  const HttpResult Result =
      this->call(HttpCallBuilder(To).post("/a%20b?k=v", "body").build());
  EXPECT_TRUE(Result.isSuccess());
  EXPECT_EQ(Result.Body, "body|k=v");
  EXPECT_EQ(Result.Headers.find("x-seen"), "POST /a%20b");
}

// Guards against an answer that was cut being taken for a whole one.
TEST_F(HttpTest, ReportsAnAbortedStreamAsCut) {
  const SocketAddress To = this->serve(
      [](const HttpRequest &, const std::shared_ptr<HttpReply> &Reply) {
        Reply->startStream(200, {});
        Reply->abortAfter("half");
      });
  const HttpResult Result = this->call(HttpCallBuilder(To).get("/").build());
  EXPECT_EQ(Result.End, HttpEnd::Cut);
  EXPECT_TRUE(Result.BytesSent);
  EXPECT_EQ(Result.Body, "half");
}

// Guards against "may have run" for a call that no upstream ever saw.
TEST_F(HttpTest, KnowsThatNothingWasSentWhenTheConnectionIsRefused) {
  const SocketAddress To = this->serve(
      [](const HttpRequest &, const std::shared_ptr<HttpReply> &) {});
  this->Server.stopListening();
  const HttpResult Result =
      this->call(HttpCallBuilder(To).post("/", "x").build());
  EXPECT_EQ(Result.End, HttpEnd::ConnectFailed);
  EXPECT_FALSE(Result.BytesSent);
}

// Guards against waiting for ever on a connection that went silent.
TEST_F(HttpTest, TimesOutOnSilence) {
  std::shared_ptr<HttpReply> Held;
  const SocketAddress To =
      this->serve([&](const HttpRequest &, std::shared_ptr<HttpReply> Reply) {
        Held = std::move(Reply);
      });
  const HttpResult Result =
      this->call(HttpCallBuilder(To).get("/").idleTimeout(50ms).build());
  EXPECT_EQ(Result.End, HttpEnd::TimedOut);
  EXPECT_TRUE(Result.BytesSent);
}

// Guards against the loss of an answer that arrives while the process stands
// still for longer than the time limit of the call.
TEST_F(HttpTest, ReadsWhatArrivedDuringAStandstillBeforeItTimesOut) {
  // A signal interrupts the loop's wait as SIGSTOP and SIGCONT do; the process
  // stands still in the handler.
  struct sigaction Standstill {};
  struct sigaction Before {};
  Standstill.sa_handler = [](int) { usleep(400000); };
  ASSERT_EQ(sigaction(SIGUSR2, &Standstill, &Before), 0);
  RawListener Listener;
  const pthread_t LoopThread = pthread_self();
  std::thread Upstream([&] {
    int Socket = -1;
    while ((Socket = Listener.accept()) < 0)
      std::this_thread::sleep_for(1ms);
    RawSocket Peer(Socket);
    while (!Peer.read().ends_with("\r\n\r\n"))
      std::this_thread::sleep_for(1ms);
    std::this_thread::sleep_for(50ms);
    pthread_kill(LoopThread, SIGUSR2);
    std::this_thread::sleep_for(50ms);
    Peer.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    std::this_thread::sleep_for(500ms);
  });
  std::optional<HttpResult> Last;
  const auto Exchange = this->Client.start(
      HttpCallBuilder(Listener.Address).get("/").totalTimeout(300ms).build(),
      {.OnDone = [&](const HttpResult &Result) { Last = Result; }});
  // Without the periods of runUntil(), so that the signal meets a waiting loop.
  const auto Stop = this->Loop.timers().after(1s, [&] { this->Loop.stop(); });
  this->Loop.run();
  Upstream.join();
  sigaction(SIGUSR2, &Before, nullptr);
  ASSERT_TRUE(Last);
  EXPECT_EQ(Last->End, HttpEnd::Complete);
  EXPECT_EQ(Last->Body, "body");
}

// Guards against upstream work going on for a caller that has gone away.
TEST_F(HttpTest, TellsTheHandlerThatTheCallerLeft) {
  std::shared_ptr<HttpReply> Held;
  bool Closed = false;
  const SocketAddress To =
      this->serve([&](const HttpRequest &, std::shared_ptr<HttpReply> Reply) {
        Reply->Closed.connect([&] { Closed = true; });
        Held = std::move(Reply);
      });
  auto Exchange = this->Client.start(HttpCallBuilder(To).get("/").build(), {});
  ASSERT_TRUE(this->Loop.runUntil([&] { return Held != nullptr; }, 5s));
  Exchange.reset();
  EXPECT_TRUE(this->Loop.runUntil([&] { return Closed; }, 5s));
  EXPECT_TRUE(Held->isClosed());
}

TEST_F(HttpTest, RefusesBodiesOverTheLimit) {
  const SocketAddress To = this->serve(
      [](const HttpRequest &, const std::shared_ptr<HttpReply> &Reply) {
        Reply->send(200, {}, "");
      });
  const HttpResult Result =
      this->call(HttpCallBuilder(To).post("/", std::string(2000, 'x')).build());
  EXPECT_FALSE(Result.isSuccess());
}

// Guards against a call that fails since it is sent on a connection which has
// ended with the answer before.
TEST_F(HttpTest, AConnectionThatEndedWithItsAnswerIsNotUsedAgain) {
  RawListener Listener;
  std::unique_ptr<RawSocket> Peer;
  const auto Answers = this->Loop.timers().every(2ms, [&] {
    if (const int Socket = Listener.accept(); Socket >= 0)
      Peer = std::make_unique<RawSocket>(Socket);
    if (!Peer || !Peer->read().ends_with("\r\n\r\n"))
      return;
    Peer->write("HTTP/1.1 200 OK\r\n\r\nbody");
    Peer.reset();
  });
  for (int I = 0; I < 2; ++I) {
    const HttpResult Result =
        this->call(HttpCallBuilder(Listener.Address).get("/").build());
    EXPECT_EQ(Result.End, HttpEnd::Complete) << "call " << I;
    EXPECT_EQ(Result.Body, "body") << "call " << I;
  }
  sigc::connection(Answers).disconnect();
}

TEST(ErrorKindTest, EveryKindHasItsOwnRowAndCode) {
  std::set<std::string_view> Codes;
  for (const ErrorRow &Row : allErrors()) {
    EXPECT_EQ(&describeError(Row.Kind), &Row);
    EXPECT_GE(Row.HttpStatus, 400);
    Codes.insert(Row.Code);
  }
  EXPECT_EQ(Codes.size(), allErrors().size());
}

} // namespace
} // namespace galenaroute
