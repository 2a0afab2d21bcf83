// The link with which the soak harms connections.

#include "FaultyLink.h"
#include "RawSocket.h"

#include <gtest/gtest.h>
#include <netinet/tcp.h>

namespace galenaroute::soak {
namespace {

using namespace std::chrono_literals;

class FaultyLinkTest : public testing::Test {
protected:
  FaultyLinkTest() {
    this->Loop.runUntil([this] { return this->accepted(); }, 1s);
  }

  bool accepted() {
    if (const int Socket = this->Server.accept(); Socket >= 0)
      this->Target = std::make_unique<RawSocket>(Socket);
    return this->Target != nullptr;
  }
  /// Sends \p Bytes from one end and waits until they are read at the other.
  void pass(RawSocket &From, RawSocket &To, const std::string &Bytes) {
    To.clearText();
    From.write(Bytes);
    ASSERT_TRUE(this->Loop.runUntil([&] { return To.read() == Bytes; }, 1s));
  }
  /// Returns how long ago a packet arrived at the caller.
  Duration sinceArrival() const {
    tcp_info Info{};
    socklen_t Size = sizeof Info;
    getsockopt(this->CallerSocket, IPPROTO_TCP, TCP_INFO, &Info, &Size);
    return std::chrono::milliseconds(Info.tcpi_last_ack_recv);
  }

  EventLoop Loop;
  RawListener Server;
  FaultyLink Link{this->Loop, this->Server.Address, 1};
  const int CallerSocket = RawSocket::connectTo(this->Link.address());
  RawSocket Caller{this->CallerSocket};
  std::unique_ptr<RawSocket> Target;
};

// Guards against packets that a silent machine goes on to send: the kernel
// repeated bytes whose acknowledgment it had dropped, up to 6 s later, and the
// daemon took the machine for alive.
TEST_F(FaultyLinkTest, ASilentMachineSendsNothing) {
  ASSERT_NE(this->Target, nullptr);
  // The caller's kernel delays acknowledgments after some exchanges.
  for (int I = 0; I < 10; ++I) {
    this->pass(this->Caller, *this->Target, "request");
    this->pass(*this->Target, this->Caller, "answer");
  }
  this->pass(this->Caller, *this->Target, "request");
  this->pass(*this->Target, this->Caller, "event");
  this->Link.setHarm(SilentMachine);
  this->Loop.runUntil([] { return false; }, 1s);
  EXPECT_GE(this->sinceArrival(), 700ms);
}

// Guards against bytes that leave a silent machine since they were on the way
// when it fell silent, and against their loss when it goes on.
TEST_F(FaultyLinkTest, BytesOnTheWayWaitForTheEndOfASilence) {
  ASSERT_NE(this->Target, nullptr);
  this->Link.setHarm({.Delay = 50ms});
  this->Target->write("event");
  this->Loop.runUntil([] { return false; }, 20ms);
  this->Link.setHarm(SilentMachine);
  this->Loop.runUntil([] { return false; }, 200ms);
  EXPECT_EQ(this->Caller.read(), "");
  this->Link.setHarm({});
  EXPECT_TRUE(this->Loop.runUntil(
      [this] { return this->Caller.read() == "event"; }, 2s));
}

} // namespace
} // namespace galenaroute::soak
