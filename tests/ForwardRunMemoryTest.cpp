// Tests of forwarded calls while single allocations fail, which the operator
// new of this file makes them do for all tests.

#include "ForwardRunFixture.h"

#include <cstdlib>
#include <new>

/// The next allocation of so many bytes fails; zero for none.
static std::size_t FailingBytes = 0;

void *operator new(std::size_t Bytes) {
  if (Bytes == FailingBytes && Bytes > 0) {
    FailingBytes = 0;
    throw std::bad_alloc();
  }
  while (true) {
    if (void *const Result = std::malloc(Bytes > 0 ? Bytes : 1))
      return Result;
    const std::new_handler Handler = std::get_new_handler();
    if (!Handler)
      throw std::bad_alloc();
    Handler();
  }
}
// Inlined, these would look to the compiler like a mismatch with new.
[[gnu::noinline]] void operator delete(void *Memory) noexcept {
  std::free(Memory);
}
[[gnu::noinline]] void operator delete(void *Memory, std::size_t) noexcept {
  std::free(Memory);
}

namespace galenaroute {
namespace {

/// Long enough for allocations of a size that nothing else has.
const std::string LongId(3001, 'u');

/// Lets the allocation fail that first copies the id of the upstream after a
/// request was written.
class FailingCodec : public platform::CallHeaders {
public:
  std::string writeRequest(const CallRequest &Call, const SendPlan &Plan,
                           std::string_view Body) const override {
    std::string Result =
        this->platform::CallHeaders::writeRequest(Call, Plan, Body);
    FailingBytes = LongId.size() + 1;
    return Result;
  }
};

class ForwardRunMemoryTest : public ForwardRunFixture {
protected:
  ForwardRunMemoryTest() {
    for (const char *Each : {"u0", "u1"})
      this->Table.remove(Each, EventLoop::now());
    RegisteredUpstream Only;
    Only.Id = LongId;
    Only.Service = "s";
    Only.Address = this->Servers[0].Address;
    this->Table.put(Only, EventLoop::now());
    this->Own.Config = this->Services.Config;
    this->Own.IsConfigFresh = [] { return true; };
    this->Own.NewBudget = this->Services.NewBudget;
    this->Address = freeAddress();
    this->Listener = std::make_unique<CallListener>(
        this->Loop, this->Address, CallerLimits{},
        [this](std::shared_ptr<IncomingCall> Call) {
          std::make_shared<ForwardRun>(this->Own, std::move(Call))->start();
        });
    this->Caller =
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
  }
  ~ForwardRunMemoryTest() override { FailingBytes = 0; }

  FailingCodec Failing;
  ForwardServices Own{.Loop = Loop,
                      .Codec = Failing,
                      .Pool = Pool,
                      .Upstreams = Table,
                      .Stats = Stats,
                      .Random = Random};
};

// Guards against an exchange that outlives its run: the call was refused as not
// run, but still reached the upstream, whose answer was handed to a freed run.
TEST_F(ForwardRunMemoryTest, ASendThatFailsAfterItsStartIsCancelled) {
  this->sendCall("/once/a");
  ASSERT_TRUE(this->callerReceives("HTTP/1.1 503 "));
  EXPECT_EQ(FailingBytes, 0U);
  EXPECT_NE(this->Caller->text().find("memory is short"), std::string::npos);
  // The connection may have been made, but nothing is sent on it.
  int Socket = -1;
  this->Loop.runUntil(
      [&] {
        if (Socket < 0)
          Socket = this->Servers[0].accept();
        return Socket >= 0;
      },
      300ms);
  if (Socket >= 0) {
    RawSocket Peer(Socket);
    this->Loop.runUntil([&] { return !Peer.read().empty(); }, 300ms);
    EXPECT_EQ(Peer.text(), "");
    // Under a sanitizer, the use of the freed run is seen.
    if (!Peer.isOver())
      Peer.write(head("200 OK", "Server-Stamp: x\r\nContent-Length: 0\r\n"));
    this->Loop.runUntil([] { return false; }, 100ms);
  }
  EXPECT_EQ(this->Own.OpenRuns, 0U);
  EXPECT_EQ(this->Table.find(LongId)->OwnCalls, 0);
  EXPECT_EQ(this->Pool.connections(this->Servers[0].Address), 0U);
}

class WaitingRunsMemoryTest : public ForwardRunFixture {};

// Guards against a failed allocation in a pass over the queue that drops the
// calls in it: they would wait in vain until their deadlines.
TEST_F(WaitingRunsMemoryTest, AFailedAllocationKeepsTheOthersQueued) {
  bool MaySend = false;
  bool Fails = false;
  this->Services.MaySend = [&] {
    if (std::exchange(Fails, false))
      throw std::bad_alloc();
    return MaySend;
  };
  this->sendCall("/once/a");
  ASSERT_TRUE(this->waitUntil([&] {
    const auto Found = this->Services.Queues.find("s");
    return Found != this->Services.Queues.end() && Found->second->size() == 1;
  }));
  Fails = true;
  ASSERT_TRUE(this->waitUntil([&] { return !Fails; }));
  EXPECT_EQ(this->Services.Queues["s"]->size(), 1U);
  MaySend = true;
  EXPECT_TRUE(this->waitForArrival());
}

} // namespace
} // namespace galenaroute
