// Tests of what a cancelled call of the HTTP client leaves behind.

#include "connection/HttpClient.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

/// A server that only does what a test tells it to, outside of the loop.
class RawServer {
public:
  RawServer() : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Bound{};
    Bound.sin_family = AF_INET;
    Bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Bound);
    if (bind(this->Socket, reinterpret_cast<sockaddr *>(&Bound), Size) != 0 ||
        listen(this->Socket, 8) != 0)
      throw std::runtime_error("cannot listen on loopback");
    getsockname(this->Socket, reinterpret_cast<sockaddr *>(&Bound), &Size);
    this->Address = {"127.0.0.1", ntohs(Bound.sin_port)};
  }
  ~RawServer() { close(this->Socket); }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  int accept() const { return ::accept(this->Socket, nullptr, nullptr); }

  SocketAddress Address;

private:
  int Socket;
};

// Guards against the answer to a cancelled call reaching the call that was
// started next: another caller's answer, and "not sent" for a call that was.
TEST(HttpClientCancelTest, DropsAnAnswerThatWasAlreadyThere) {
  EventLoop Loop;
  HttpClient Client(Loop);
  const RawServer Server;
  auto First = Client.start(
      HttpCallBuilder(Server.Address).get("/a").newConnection().build(), {});
  Loop.runUntil([] { return false; }, 50ms);
  const int Peer = Server.accept();
  const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
  ASSERT_EQ(write(Peer, Answer.data(), Answer.size()),
            static_cast<ssize_t>(Answer.size()));
  std::this_thread::sleep_for(20ms);
  First.reset();
  bool HasEnded = false;
  // The allocator tends to give the second exchange the address of the first.
  const auto Second = Client.start(
      HttpCallBuilder(Server.Address).post("/b", "").newConnection().build(),
      {.OnDone = [&](const HttpResult &) { HasEnded = true; }});
  Loop.runUntil([&] { return HasEnded; }, 100ms);
  EXPECT_FALSE(HasEnded);
  close(Peer);
}

// Guards against a call whose connect fails at once being reported before its
// owner has it, and then a second time or never released.
TEST(HttpClientCancelTest, AConnectThatFailsAtOnceIsReportedLater) {
  EventLoop Loop;
  HttpClient Client(Loop);
  // The kernel refuses connections to a multicast address without a packet.
  const SocketAddress Unreachable = SocketAddress::parse("224.0.0.1:80");
  bool IsStarting = true;
  int Ends = 0;
  const auto Call =
      Client.start(HttpCallBuilder(Unreachable).get("/a").build(),
                   {.OnDone = [&](const HttpResult &Result) {
                     EXPECT_FALSE(IsStarting);
                     EXPECT_EQ(Result.End, HttpEnd::ConnectFailed);
                     ++Ends;
                   }});
  IsStarting = false;
  Loop.runUntil([&] { return Ends > 0; }, 200ms);
  EXPECT_EQ(Ends, 1);
  const auto Held = std::make_shared<int>();
  Client.startDetached(HttpCallBuilder(Unreachable).get("/b").build(),
                       [Held](const HttpResult &) {});
  Loop.runUntil([&] { return Held.use_count() == 1; }, 200ms);
  EXPECT_EQ(Held.use_count(), 1);
}

// Guards against a cancelled call going out after all.
TEST(HttpClientCancelTest, SendsNothingAfterACancel) {
  EventLoop Loop;
  HttpClient Client(Loop);
  const RawServer Server;
  auto First = Client.start(
      HttpCallBuilder(Server.Address).post("/a", "").newConnection().build(),
      {});
  // The connection is made by the kernel; the loop has not seen it yet.
  First.reset();
  Loop.runUntil([] { return false; }, 50ms);
  const int Peer = Server.accept();
  char Byte = 0;
  EXPECT_LE(read(Peer, &Byte, 1), 0);
  close(Peer);
}

// Guards against a time check that runs on a freed exchange: one whose answer
// exceeds the common limit ends, and its owner destroys it, while a check is
// due.
TEST(HttpClientCancelTest, AnExchangeThatEndsEarlyLeavesNoTimer) {
  EventLoop Loop;
  {
    HttpClient Client(Loop, std::make_shared<ResponseBudget>(/*MaxBytes=*/64));
    const RawServer Server;
    std::optional<HttpEnd> End;
    Client.startDetached(HttpCallBuilder(Server.Address)
                             .get("/a")
                             .totalTimeout(400ms)
                             .newConnection()
                             .build(),
                         [&](const HttpResult &Result) { End = Result.End; });
    Loop.runUntil([] { return false; }, 50ms);
    const int Peer = Server.accept();
    const std::string Answer =
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" +
        std::string(100, 'a');
    ASSERT_EQ(write(Peer, Answer.data(), Answer.size()),
              static_cast<ssize_t>(Answer.size()));
    ASSERT_TRUE(Loop.runUntil([&] { return End.has_value(); }, 300ms));
    EXPECT_EQ(End, HttpEnd::TooLarge);
    Loop.runUntil([] { return false; }, 20ms);
    close(Peer);
  }
  // Cancelled timers are removed when the next ones have run.
  bool HasRun = false;
  Loop.timers().after(Duration::zero(), [&] { HasRun = true; });
  ASSERT_TRUE(Loop.runUntil([&] { return HasRun; }, 300ms));
  // runUntil() leaves a timer of its own.
  std::this_thread::sleep_for(20ms);
  event_base_loop(Loop.base(), EVLOOP_NONBLOCK);
  EXPECT_EQ(event_base_get_num_events(Loop.base(), EVENT_BASE_COUNT_ADDED), 0);
  // Under a sanitizer, the check itself is seen.
  Loop.runUntil([] { return false; }, 500ms);
}

} // namespace
} // namespace galenaroute
