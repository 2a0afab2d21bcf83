// Tests that a listener whose address is unavailable waits for it.

#include "RawSocket.h"
#include "connection/CallListener.h"
#include "connection/HttpClient.h"
#include "connection/UpstreamPool.h"
#include "process/ErrorKind.h"

#include <gtest/gtest.h>
#include <sys/resource.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

class BindRetryTest : public testing::Test {
protected:
  std::unique_ptr<CallListener> listen(const std::string &Answer) {
    return std::make_unique<CallListener>(
        this->Loop, this->Address, CallerLimits{},
        [Answer](const std::shared_ptr<IncomingCall> &Call) {
          Call->send(200, {}, Answer);
        });
  }
  bool becomesBound(const CallListener &Listener, Duration Limit = 300ms) {
    return this->Loop.runUntil([&] { return Listener.isBound(); }, Limit);
  }
  /// Returns the body of the answer to a request on a new connection.
  std::string call() {
    RawSocket Caller(RawSocket::connectTo(this->Address));
    Caller.write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    this->Loop.runUntil([&] { return Caller.hasEnded(); }, 1s);
    const std::size_t Body = Caller.text().find("\r\n\r\n");
    return Body == std::string::npos ? "" : Caller.text().substr(Body + 4);
  }
  /// Returns a socket bound to the address; it has no SO_REUSEADDR.
  int bindPlain() const {
    const int Socket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(this->Address.Port);
    inet_pton(AF_INET, this->Address.Host.c_str(), &To.sin_addr);
    if (bind(Socket, reinterpret_cast<sockaddr *>(&To), sizeof To) != 0)
      throw std::runtime_error("cannot bind");
    return Socket;
  }

  EventLoop Loop;
  SocketAddress Address = freeAddress();
};

// Guards against a start that fails while the predecessor still accepts, and
// against two listeners that accept at one address.
TEST_F(BindRetryTest, TakesOverFromAListenerThatStops) {
  const auto Predecessor = this->listen("predecessor");
  ASSERT_TRUE(Predecessor->isBound());
  const auto Successor = this->listen("successor");
  EXPECT_FALSE(this->becomesBound(*Successor));
  for (int I = 0; I < 20; ++I)
    ASSERT_EQ(this->call(), "predecessor");
  Predecessor->stopAccepting();
  ASSERT_TRUE(this->becomesBound(*Successor));
  EXPECT_EQ(this->call(), "successor");
}

// Guards against two waiting listeners that both take an address which becomes
// available.
TEST_F(BindRetryTest, OneOfTwoWaitingListenersIsBound) {
  auto Predecessor = this->listen("predecessor");
  const auto First = this->listen("first");
  const auto Second = this->listen("second");
  Predecessor.reset();
  this->Loop.runUntil([] { return false; }, 300ms);
  EXPECT_NE(First->isBound(), Second->isBound());
}

// Guards against a start that fails while another socket has the port.
TEST_F(BindRetryTest, WaitsForTheEndOfASocketWithThisPort) {
  RawSocket Outgoing(this->bindPlain());
  const auto Listener = this->listen("answer");
  EXPECT_FALSE(this->becomesBound(*Listener, 150ms));
  Outgoing.close();
  EXPECT_TRUE(this->becomesBound(*Listener));
  EXPECT_EQ(this->call(), "answer");
}

// Guards against a start that waits for the end of an outgoing connection of
// another of our processes, or for up to a minute of its TIME_WAIT.
TEST_F(BindRetryTest, OutgoingConnectionsDoNotHoldThePort) {
  // The kernel may give a port to connections of other programs, too, which do
  // hold it.
  constexpr std::size_t Count = 10;
  const RawListener Server;
  UpstreamPool Pool(this->Loop);
  HttpClient Client(this->Loop);
  const auto CountListenable = [&](const std::vector<SocketAddress> &Ports) {
    std::size_t Result = 0;
    for (const SocketAddress &Each : Ports) {
      this->Address = Each;
      Result += this->listen("")->isBound();
    }
    return Result;
  };
  const auto Check = [&](const std::function<std::shared_ptr<void>()> &Start) {
    std::vector<std::shared_ptr<void>> Outgoing;
    std::vector<std::unique_ptr<RawSocket>> Accepted;
    std::vector<SocketAddress> Ports;
    for (std::size_t I = 0; I < Count; ++I)
      Outgoing.push_back(Start());
    ASSERT_TRUE(this->Loop.runUntil(
        [&] {
          const int Next = Server.accept();
          if (Next >= 0) {
            sockaddr_in Peer{};
            socklen_t Size = sizeof Peer;
            getpeername(Next, reinterpret_cast<sockaddr *>(&Peer), &Size);
            Ports.push_back({"127.0.0.1", ntohs(Peer.sin_port)});
            Accepted.push_back(std::make_unique<RawSocket>(Next));
          }
          return Ports.size() == Count;
        },
        2s));
    EXPECT_GT(CountListenable(Ports), 0U) << "open";
    Outgoing.clear();
    EXPECT_TRUE(this->Loop.runUntil(
        [&] {
          return std::all_of(Accepted.begin(), Accepted.end(),
                             [](const auto &Each) { return Each->hasEnded(); });
        },
        2s));
    Accepted.clear();
    EXPECT_GT(CountListenable(Ports), 0U) << "in TIME_WAIT";
  };
  Check([&]() -> std::shared_ptr<void> {
    return Pool.start(Server.Address, "GET / HTTP/1.1\r\n\r\n", {}, {});
  });
  Check([&]() -> std::shared_ptr<void> {
    return Client.start(
        HttpCallBuilder(Server.Address).get("/").newConnection().build(),
        {.OnDone = [](const HttpResult &) {}});
  });
}

// Guards against a start that fails while descriptors are short.
TEST_F(BindRetryTest, WaitsForADescriptor) {
  rlimit Before{};
  getrlimit(RLIMIT_NOFILE, &Before);
  const int Next = dup(0);
  ::close(Next);
  const rlimit Short{static_cast<rlim_t>(Next), Before.rlim_max};
  setrlimit(RLIMIT_NOFILE, &Short);
  const auto Listener = this->listen("answer");
  const bool WasBound = this->becomesBound(*Listener, 150ms);
  setrlimit(RLIMIT_NOFILE, &Before);
  EXPECT_FALSE(WasBound);
  EXPECT_TRUE(this->becomesBound(*Listener));
  EXPECT_EQ(this->call(), "answer");
}

// Guards against a process that takes the address although it has been told to
// stop, and against the use of a listener that was never bound.
TEST_F(BindRetryTest, GivesUpWhenToldToStop) {
  auto Predecessor = this->listen("predecessor");
  const auto Successor = this->listen("successor");
  Successor->setLimits({.MaxConnections = 1});
  Successor->closeAfterAnswers();
  Successor->stopAccepting();
  EXPECT_TRUE(Successor->isQuiet());
  Successor->abortAll();
  Predecessor.reset();
  EXPECT_FALSE(this->becomesBound(*Successor));
}

// Guards against waiting for an address on which this process can never listen.
TEST_F(BindRetryTest, AnAddressThatIsNoneIsAnError) {
  this->Address.Host = "no address";
  EXPECT_THROW(this->listen(""), Error);
}

// Guards against a start that fails before the address of the VM is configured.
TEST_F(BindRetryTest, WaitsForAnAddressThatTheMachineDoesNotHave) {
  this->Address.Host = "192.0.2.1";
  const auto Listener = this->listen("");
  EXPECT_FALSE(this->becomesBound(*Listener, 150ms));
}

} // namespace
} // namespace galenaroute
