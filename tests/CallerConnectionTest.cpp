// Tests of the closing of callers' connections: which requests and answers a
// connection must survive, and which limits end it.

#include "RawSocket.h"
#include "connection/BufferedSocket.h"
#include "connection/CallListener.h"

#include <cstdlib>
#include <ctime>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <thread>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view Request =
    "GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n\r\n";

std::size_t countOf(std::string_view Text, std::string_view Part) {
  std::size_t Count = 0;
  for (std::size_t At = Text.find(Part); At != std::string_view::npos;
       At = Text.find(Part, At + Part.size()))
    ++Count;
  return Count;
}

void refuseBeyondLimit(const std::shared_ptr<IncomingCall> &Call) {
  Call->send(Call->IsBeyondLimit ? 503 : 200, {{"Retry-After", "1"}}, "");
}

Duration processorTime() {
  timespec Used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Used);
  return std::chrono::seconds(Used.tv_sec) +
         std::chrono::nanoseconds(Used.tv_nsec);
}

/// Leaves the process \p Count further descriptors while it lives.
class FewDescriptors {
public:
  explicit FewDescriptors(rlim_t Count) {
    getrlimit(RLIMIT_NOFILE, &this->Before);
    const int Lowest = dup(STDIN_FILENO);
    ::close(Lowest);
    rlimit Fewer = this->Before;
    Fewer.rlim_cur = static_cast<rlim_t>(Lowest) + Count;
    setrlimit(RLIMIT_NOFILE, &Fewer);
  }
  ~FewDescriptors() { setrlimit(RLIMIT_NOFILE, &this->Before); }
  FewDescriptors(const FewDescriptors &) = delete;
  FewDescriptors &operator=(const FewDescriptors &) = delete;

private:
  rlimit Before{};
};

/// Lets allocations of libevent above a size fail while it lives.
class LibeventWithoutMemory {
public:
  explicit LibeventWithoutMemory(std::size_t Bytes) {
    MaxBytes = Bytes;
    event_set_mem_functions(
        [](std::size_t Size) {
          return Size > MaxBytes ? nullptr : std::malloc(Size);
        },
        [](void *Before, std::size_t Size) {
          return Size > MaxBytes ? nullptr : std::realloc(Before, Size);
        },
        std::free);
  }
  ~LibeventWithoutMemory() {
    event_set_mem_functions(nullptr, nullptr, nullptr);
  }
  LibeventWithoutMemory(const LibeventWithoutMemory &) = delete;
  LibeventWithoutMemory &operator=(const LibeventWithoutMemory &) = delete;

private:
  static inline std::size_t MaxBytes = 0;
};

class CallerConnectionTest : public testing::Test {
protected:
  CallerConnectionTest() { this->Address = freeAddress(); }

  void listen(CallerLimits Limits) {
    this->Limits = Limits;
    this->Listener = std::make_unique<CallListener>(
        this->Loop, this->Address, Limits,
        [this](const std::shared_ptr<IncomingCall> &Call) {
          this->OnCall(Call);
        });
  }

  /// Connects without letting the listener accept.
  std::vector<std::unique_ptr<RawSocket>> queue(std::size_t Count) {
    std::vector<std::unique_ptr<RawSocket>> Callers(Count);
    for (std::unique_ptr<RawSocket> &Each : Callers)
      Each = std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
    return Callers;
  }

  std::vector<std::unique_ptr<RawSocket>> connect(std::size_t Count) {
    auto Callers = this->queue(Count);
    this->runFor(50ms);
    return Callers;
  }

  /// Answers each call with a large body. Returns that body.
  std::string serveLargeAnswers() {
    std::string Body(24 << 20, 'x');
    this->OnCall = [Body](const std::shared_ptr<IncomingCall> &Call) {
      Call->send(200, {}, Body);
    };
    return Body;
  }

  /// Reads \p Bytes from a caller's connection, for at most 5 s. Returns the
  /// number of bytes read.
  std::size_t readUpTo(std::size_t Bytes, RawSocket &Caller) {
    std::size_t Read = 0;
    const TimePoint Limit = EventLoop::now() + 5s;
    while (Read < Bytes && EventLoop::now() < Limit) {
      this->runFor(1ms);
      Read += Caller.readSome(1 << 20);
    }
    return Read;
  }

  void runFor(Duration Time) {
    this->Loop.runUntil([] { return false; }, Time);
  }

  EventLoop Loop;
  SocketAddress Address;
  CallerLimits Limits;
  std::unique_ptr<CallListener> Listener;
  std::function<void(const std::shared_ptr<IncomingCall> &)> OnCall =
      [](const std::shared_ptr<IncomingCall> &Call) {
        Call->send(200, {}, "answer");
      };
};

// Guards against closing as idle the connections whose requests arrived while
// the process was stopped.
TEST_F(CallerConnectionTest, RequestsThatArriveDuringAStopAreAnswered) {
  this->listen({.IdleTimeout = 1s});
  const auto Callers = this->connect(40);
  this->runFor(500ms);
  for (const auto &Each : Callers)
    Each->write(Request);
  std::this_thread::sleep_for(800ms);
  this->runFor(500ms);
  std::size_t Answered = 0;
  for (const auto &Each : Callers)
    Answered += Each->read().starts_with("HTTP/1.1 200 ");
  EXPECT_EQ(Answered, Callers.size());
}

// Guards against a timeout of a request whose remainder arrived while the
// process was stopped.
TEST_F(CallerConnectionTest, ARequestCompletedDuringAStopIsAnswered) {
  this->listen({.HeadTimeout = 500ms});
  const auto Callers = this->connect(20);
  for (const auto &Each : Callers)
    Each->write(Request.substr(0, 20));
  this->runFor(100ms);
  for (const auto &Each : Callers)
    Each->write(Request.substr(20));
  std::this_thread::sleep_for(800ms);
  this->runFor(500ms);
  for (const auto &Each : Callers)
    EXPECT_TRUE(Each->read().starts_with("HTTP/1.1 200 ")) << Each->read();
}

// Guards against stopping the process while requests wait in its sockets.
TEST_F(CallerConnectionTest, UnreadRequestsKeepAListenerFromBeingQuiet) {
  this->listen({});
  const auto Callers = this->connect(1);
  EXPECT_TRUE(this->Listener->isQuiet());
  Callers[0]->write(Request);
  EXPECT_FALSE(this->Listener->isQuiet());
  this->runFor(50ms);
  EXPECT_TRUE(this->Listener->isQuiet());
}

// Guards against cutting an answer that the caller reads more slowly than the
// idle timeout, also after the timeout was lowered.
TEST_F(CallerConnectionTest, AnAnswerThatIsReadSteadilyIsCarriedToItsEnd) {
  this->listen({.IdleTimeout = 5s});
  const std::string Body = this->serveLargeAnswers();
  for (const std::string_view KeepAlive : {"keep-alive", "close"}) {
    const auto Callers = this->connect(1);
    Callers[0]->write("GET / HTTP/1.1\r\nHost: h\r\nConnection: " +
                      std::string(KeepAlive) + "\r\n\r\n");
    this->runFor(100ms);
    CallerLimits Lowered = this->Limits;
    Lowered.IdleTimeout = 500ms;
    this->Listener->setLimits(Lowered);
    std::size_t Read = 0;
    const TimePoint Limit = EventLoop::now() + 10s;
    while (Read < Body.size() && EventLoop::now() < Limit) {
      this->runFor(20ms);
      const std::size_t Got = Callers[0]->readSome(200 << 10);
      Read += Got;
      if (Got == 0 && Callers[0]->hasEnded())
        break;
    }
    EXPECT_GE(Read, Body.size()) << KeepAlive;
    this->Listener->setLimits(this->Limits);
  }
}

// Guards against an unread answer that keeps its connection open for ever.
TEST_F(CallerConnectionTest, AnAnswerThatIsNotReadEndsWithTheIdleTimeout) {
  this->listen({.IdleTimeout = 500ms});
  const std::string Body = this->serveLargeAnswers();
  const auto Callers = this->connect(1);
  Callers[0]->write(Request);
  this->runFor(1500ms);
  std::size_t Read = 0;
  while (const std::size_t Got = Callers[0]->readSome(1 << 20))
    Read += Got;
  EXPECT_LT(Read, Body.size());
}

// Guards against cutting the answer of a caller that ends its own side once it
// has sent its request.
TEST_F(CallerConnectionTest, AnAnswerUnderWayOutlivesTheEndOfTheCallersSide) {
  this->listen({});
  const std::string Body = this->serveLargeAnswers();
  const auto Callers = this->connect(1);
  Callers[0]->write(Request);
  this->runFor(100ms);
  Callers[0]->endWriting();
  EXPECT_GE(this->readUpTo(Body.size(), *Callers[0]), Body.size());
}

// Guards against a connection that is kept for good after its caller has left:
// closing with unread bytes resets it, which was taken for the end of the
// caller's side alone.
TEST_F(CallerConnectionTest, AnUnreadAnswerEndsWhenItsCallerLeaves) {
  this->listen({});
  this->serveLargeAnswers();
  const auto Callers = this->connect(1);
  Callers[0]->write(Request);
  this->runFor(100ms);
  ASSERT_FALSE(this->Listener->isQuiet());
  Callers[0]->close();
  this->runFor(100ms);
  EXPECT_TRUE(this->Listener->isQuiet());
}

// Guards against cutting an answer whose reader pauses within the idle timeout.
TEST_F(CallerConnectionTest, AnAnswerWhoseReaderPausesIsCarriedToItsEnd) {
  this->listen({.IdleTimeout = 10s});
  const std::string Body = this->serveLargeAnswers();
  const auto Callers = this->connect(1);
  Callers[0]->write(Request);
  this->runFor(6s);
  EXPECT_GE(this->readUpTo(Body.size(), *Callers[0]), Body.size());
}

// Guards against closing connections that are idle within the timeout that was
// in force when they became idle.
TEST_F(CallerConnectionTest, ALoweredIdleTimeoutSparesConnectionsThatAreIdle) {
  this->listen({.IdleTimeout = 2s});
  const auto Callers = this->connect(10);
  for (const auto &Each : Callers)
    Each->write(Request);
  this->runFor(1s);
  CallerLimits Lowered = this->Limits;
  Lowered.IdleTimeout = 300ms;
  this->Listener->setLimits(Lowered);
  this->runFor(600ms);
  for (const auto &Each : Callers)
    Each->write(Request);
  this->runFor(100ms);
  for (const auto &Each : Callers)
    EXPECT_EQ(countOf(Each->read(), "HTTP/1.1 200 "), 2U);
  this->runFor(900ms);
  for (const auto &Each : Callers)
    EXPECT_TRUE(Each->hasEnded()) << "the lowered timeout never took effect";
}

// Guards against a timeout of a request whose body arrives slowly but steadily,
// also after the timeout was lowered.
TEST_F(CallerConnectionTest, ABodyThatArrivesSteadilyIsRead) {
  this->listen({.HeadTimeout = 2s});
  const auto Callers = this->connect(1);
  Callers[0]->write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n");
  this->runFor(50ms);
  CallerLimits Lowered = this->Limits;
  Lowered.HeadTimeout = 300ms;
  this->Listener->setLimits(Lowered);
  for (int I = 0; I < 20; ++I) {
    Callers[0]->write("b");
    this->runFor(100ms);
  }
  EXPECT_TRUE(Callers[0]->read().starts_with("HTTP/1.1 200 "))
      << Callers[0]->read();
}

// Guards against a body that never ends.
TEST_F(CallerConnectionTest, ABodyThatStopsArrivingTimesOut) {
  this->listen({.HeadTimeout = 300ms});
  const auto Callers = this->connect(1);
  Callers[0]->write(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\nb");
  this->runFor(1500ms);
  EXPECT_TRUE(Callers[0]->read().starts_with("HTTP/1.1 408 "));
}

// Guards against connections that are neither served nor refused after the
// limit of connections fell below the number of those that are open.
TEST_F(CallerConnectionTest, ALoweredLimitStillRefusesWithAnAnswer) {
  this->listen({.MaxConnections = 200});
  this->OnCall = refuseBeyondLimit;
  const auto Held = this->connect(100);
  CallerLimits Lowered = this->Limits;
  Lowered.MaxConnections = 10;
  this->Listener->setLimits(Lowered);
  const auto Callers = this->connect(5);
  for (const auto &Each : Callers)
    Each->write(Request);
  this->runFor(200ms);
  for (const auto &Each : Callers)
    EXPECT_TRUE(Each->read().starts_with("HTTP/1.1 503 ")) << Each->read();
  Held[0]->write(Request);
  this->runFor(100ms);
  EXPECT_TRUE(Held[0]->read().starts_with("HTTP/1.1 200 "));
}

// Guards against a reset that destroys a refusal, when the process stood still
// while the caller was still sending.
TEST_F(CallerConnectionTest, ARefusalOutlastsAStandstill) {
  this->listen({.Message = {.MaxBodyBytes = 1000}});
  const auto Callers = this->connect(1);
  Callers[0]->write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n"
                    "\r\n" +
                    std::string(2000, 'b'));
  this->runFor(300ms);
  Callers[0]->writeSome(std::string(1000, 'b'));
  std::this_thread::sleep_for(1500ms);
  this->runFor(300ms);
  EXPECT_GT(Callers[0]->writeSome(std::string(1000, 'b')), 0U);
  this->runFor(100ms);
  EXPECT_GT(Callers[0]->writeSome(std::string(1000, 'b')), 0U);
  EXPECT_TRUE(Callers[0]->read().starts_with("HTTP/1.1 413 "));
}

// Guards against a reset that destroys a refusal before the caller, which is
// still sending, has read it.
TEST_F(CallerConnectionTest, ARefusalReachesACallerThatIsStillSending) {
  this->listen({.Message = {.MaxBodyBytes = 1000}});
  const auto Callers = this->connect(1);
  Callers[0]->write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n"
                    "\r\n");
  for (int I = 0; I < 30; ++I) {
    EXPECT_GT(Callers[0]->writeSome(std::string(1000, 'b')), 0U) << I;
    this->runFor(60ms);
  }
  EXPECT_FALSE(Callers[0]->hasEnded() && Callers[0]->wasReset());
  EXPECT_TRUE(Callers[0]->read().starts_with("HTTP/1.1 413 "));
}

// Guards against closing a connection beyond the limit without an answer.
TEST_F(CallerConnectionTest, ConnectionsBeyondTheLimitAreRefusedWithAnAnswer) {
  this->listen({.MaxConnections = 4});
  this->OnCall = refuseBeyondLimit;
  const auto Held = this->connect(4);
  const auto Callers = this->connect(10);
  for (const auto &Each : Callers)
    Each->write(Request);
  this->runFor(300ms);
  for (const auto &Each : Callers) {
    EXPECT_TRUE(Each->read().starts_with("HTTP/1.1 503 ")) << Each->read();
    EXPECT_NE(Each->read().find("Retry-After: "), std::string::npos);
  }
  Held[0]->write(Request);
  this->runFor(100ms);
  EXPECT_TRUE(Held[0]->read().starts_with("HTTP/1.1 200 "));
}

// Guards against closing connections without an answer when more callers
// connect than can be refused at a time.
TEST_F(CallerConnectionTest, ConnectionsBeyondTheRefusalsWaitToBeAccepted) {
  this->listen({.MaxConnections = 4});
  this->OnCall = refuseBeyondLimit;
  const auto Held = this->connect(4);
  const auto Callers = this->connect(200);
  for (const auto &Each : Callers)
    Each->write(Request);
  std::size_t Refused = 0;
  const TimePoint Limit = EventLoop::now() + 10s;
  while (Refused < Callers.size() && EventLoop::now() < Limit) {
    this->runFor(20ms);
    for (const auto &Each : Callers)
      if (!Each->isClosed() && Each->read().starts_with("HTTP/1.1 503 ")) {
        ++Refused;
        Each->close();
      }
  }
  EXPECT_EQ(Refused, Callers.size());
}

// Guards against a reset of a small answer, all of which waits in the kernel,
// while its reader pauses.
TEST_F(CallerConnectionTest, ASmallAnswerWhoseReaderPausesIsCarriedToItsEnd) {
  for (const std::string_view Ending : {"", "Connection: close\r\n"}) {
    this->listen({.IdleTimeout = 10s});
    const std::string Body(1 << 20, 'x');
    this->OnCall = [&](const std::shared_ptr<IncomingCall> &Call) {
      Call->send(200, {}, Body);
    };
    const auto Callers = this->connect(1);
    Callers[0]->write("GET / HTTP/1.1\r\nHost: h\r\n" + std::string(Ending) +
                      "\r\n");
    this->runFor(7s);
    std::size_t Read = 0;
    const TimePoint Limit = EventLoop::now() + 2s;
    while (Read < Body.size() && EventLoop::now() < Limit) {
      this->runFor(1ms);
      Read += Callers[0]->readSome(1 << 20);
    }
    EXPECT_GE(Read, Body.size()) << Ending;
    this->Listener.reset();
    this->Address = freeAddress();
  }
}

// Guards against a process that ends, and so resets the connection, while a
// caller whose request was refused is still sending.
TEST_F(CallerConnectionTest, IsNotQuietWhileARefusedCallerIsSending) {
  this->listen({.Message = {.MaxBodyBytes = 1000}});
  const auto Callers = this->connect(1);
  Callers[0]->write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n"
                    "\r\n");
  for (int I = 0; I < 10; ++I) {
    Callers[0]->writeSome(std::string(1000, 'b'));
    this->runFor(60ms);
    EXPECT_FALSE(this->Listener->isQuiet()) << I;
  }
  Callers[0]->endWriting();
  this->runFor(50ms);
  EXPECT_TRUE(this->Listener->isQuiet());
}

// Guards against connections that keep waiting to be accepted after the limit
// was raised.
TEST_F(CallerConnectionTest, ARaisedLimitAcceptsTheConnectionsThatWait) {
  this->listen({.MaxConnections = 0});
  const auto Callers = this->connect(70);
  Callers.back()->write(Request);
  this->runFor(100ms);
  EXPECT_TRUE(Callers.back()->read().empty());
  CallerLimits Raised = this->Limits;
  Raised.MaxConnections = 100;
  this->Listener->setLimits(Raised);
  this->runFor(100ms);
  EXPECT_TRUE(Callers.back()->read().starts_with("HTTP/1.1 200 "));
}

// Guards against work for a caller that has left: the end of its side is all
// that a close shows, so a caller that only ends its side gets no answer that
// has not begun.
TEST_F(CallerConnectionTest, ACallerThatEndsItsSideBeforeItsAnswerHasLeft) {
  this->listen({});
  for (const bool Closes : {true, false}) {
    bool HasLeft = false;
    std::shared_ptr<IncomingCall> Open;
    this->OnCall = [&](const std::shared_ptr<IncomingCall> &Call) {
      Open = Call;
      Call->CallerLeft.connect([&] { HasLeft = true; });
    };
    const auto Callers = this->connect(1);
    Callers[0]->write(Request);
    this->runFor(50ms);
    ASSERT_TRUE(Open);
    if (Closes)
      Callers[0]->close();
    else
      Callers[0]->endWriting();
    this->runFor(50ms);
    EXPECT_TRUE(HasLeft);
    if (Closes)
      continue;
    EXPECT_TRUE(Callers[0]->hasEnded());
    EXPECT_FALSE(Callers[0]->wasReset());
    EXPECT_TRUE(Callers[0]->text().empty());
  }
}

// Guards against callers beyond the limit that get no answer while those who
// were refused before them keep their connections, and against a reset of a
// refusal that was not read yet.
TEST_F(CallerConnectionTest, ManyCallersBeyondTheLimitAreRefusedAtOnce) {
  this->listen({.MaxConnections = 100});
  this->OnCall = refuseBeyondLimit;
  const auto Held = this->connect(100);
  const auto Callers = this->queue(600);
  for (const auto &Each : Callers)
    Each->write(Request);
  this->runFor(1s);
  std::size_t Refused = 0;
  for (const auto &Each : Callers) {
    Refused += Each->read().starts_with("HTTP/1.1 503 ");
    EXPECT_FALSE(Each->wasReset());
  }
  EXPECT_EQ(Refused, Callers.size());
  for (const auto &Each : Held)
    EXPECT_FALSE(Each->hasEnded());
}

// Guards against a log that tells 0 connections waiting while there are some.
TEST_F(CallerConnectionTest, ConnectionsThatWaitToBeAcceptedAreCounted) {
  RawListener Queue;
  EXPECT_EQ(waitingConnections(Queue.id()), 0U);
  const RawSocket First(RawSocket::connectTo(Queue.Address));
  const RawSocket Second(RawSocket::connectTo(Queue.Address));
  EXPECT_EQ(waitingConnections(Queue.id()), 2U);
  const RawSocket Accepted(Queue.accept());
  EXPECT_EQ(waitingConnections(Queue.id()), 1U);
}

// Guards against an accept that fails again and again for lack of descriptors
// and takes all processor time.
TEST_F(CallerConnectionTest, WithoutDescriptorsItWaitsForAConnectionToClose) {
  this->listen({});
  const auto Callers = this->queue(40);
  for (const auto &Each : Callers)
    Each->write(Request);
  const FewDescriptors Limit(10);
  const Duration Before = processorTime();
  this->runFor(1s);
  EXPECT_LT(processorTime() - Before, 200ms);

  // Each connection that closes makes room for one that waits.
  std::size_t Answered = 0;
  const TimePoint End = EventLoop::now() + 2s;
  while (Answered < Callers.size() && EventLoop::now() < End) {
    this->runFor(5ms);
    for (const auto &Each : Callers)
      if (!Each->isClosed() && Each->read().starts_with("HTTP/1.1 200 ")) {
        ++Answered;
        // Keeps the caller's descriptor, which the listener must not get.
        Each->endWriting();
        Each->clearText();
      }
  }
  EXPECT_EQ(Answered, Callers.size());
}

// Guards against a null pointer where libevent has no memory for a connection.
TEST_F(CallerConnectionTest, AConnectionWithoutMemoryIsClosed) {
  this->listen({});
  auto Callers = this->queue(1);
  {
    const LibeventWithoutMemory Short(0);
    EXPECT_TRUE(this->Loop.runUntil(
        [&] {
          Callers[0]->read();
          return Callers[0]->isOver();
        },
        2s));
  }
  this->OnCall = [](const std::shared_ptr<IncomingCall> &Call) {
    Call->send(200, {}, "answer");
  };
  Callers = this->connect(1);
  Callers[0]->write(Request);
  EXPECT_TRUE(this->Loop.runUntil(
      [&] { return Callers[0]->read().ends_with("answer"); }, 2s));
}

// Guards against an answer with a gap that its caller takes for whole.
TEST_F(CallerConnectionTest, AnAnswerWithoutMemoryForAPieceIsReset) {
  this->OnCall = [](const std::shared_ptr<IncomingCall> &Call) {
    Call->begin(200, {});
    Call->write("first");
    const LibeventWithoutMemory Short(4096);
    Call->write(std::string(1 << 20, 'x'));
    Call->write("last");
    Call->finish();
  };
  this->listen({});
  const auto Callers = this->connect(1);
  Callers[0]->write(Request);
  EXPECT_TRUE(this->Loop.runUntil(
      [&] {
        Callers[0]->read();
        return Callers[0]->isOver();
      },
      2s));
  EXPECT_FALSE(Callers[0]->text().ends_with("0\r\n\r\n"));
  EXPECT_EQ(Callers[0]->text().find("last"), std::string::npos);
}

} // namespace
} // namespace galenaroute
