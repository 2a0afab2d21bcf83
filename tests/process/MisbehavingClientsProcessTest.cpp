// Tests that a daemon process stays within its memory and goes on serving
// while clients stop half-way, do not read, or send more than they may. Each
// test uses one kind of client at one address or path, or a mixture.

#include "ClientCrowd.h"
#include "FakePlatformServer.h"
#include "PlainConfig.h"
#include "PlatformDaemons.h"
#include "ProcessHarness.h"
#include "connection/CallListener.h"

#include <csignal>
#include <filesystem>
#include <gtest/gtest.h>
#include <sys/resource.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;

constexpr int MemoryMb = 48;
/// Bytes in the process and in the queues of its callers' sockets.
constexpr std::size_t MaxMemory = std::size_t{MemoryMb} << 20;
constexpr std::size_t CrowdSize = 100;
/// A connection to an upstream for each of the crowd, and as many for the rest.
constexpr std::size_t MaxDescriptors = 320;
constexpr std::size_t MaxBodyBytes = 1 << 20;
constexpr std::size_t MaxHeadBytes = 16384;
/// Of the addresses other than that of calls.
constexpr std::size_t EndpointBodyBytes = 4 << 10;
constexpr std::size_t EndpointHeadBytes = 8 << 10;
constexpr std::size_t LargeAnswerBytes = 1 << 20;

enum class Place { Route, NoRoute, Ready, Directory, Metrics };

enum class Kind {
  BodyInOnePiece, ///< Stops one byte before its end, as the next two do.
  BodyInSmallPieces,
  BodyInChunks,
  BodyOverLimit, ///< 64 MiB, told by a length.
  ChunksWithoutEnd,
  ManyShortFields, ///< A whole head; the body stops.
  ManyPromptParts, ///< The same with one field that lists many parts.
  UnendedHead,
  PipelinedUnread, ///< Requests without end; no answer is read.
  AnswersUnread,   ///< One request whose answer is not read.
  SlowSender,
  SlowReader,
};

constexpr std::array AllPlaces = {Place::Route, Place::NoRoute, Place::Ready,
                                  Place::Directory, Place::Metrics};
constexpr std::array AllKinds = {
    Kind::BodyInOnePiece,  Kind::BodyInSmallPieces, Kind::BodyInChunks,
    Kind::BodyOverLimit,   Kind::ChunksWithoutEnd,  Kind::ManyShortFields,
    Kind::ManyPromptParts, Kind::UnendedHead,       Kind::PipelinedUnread,
    Kind::AnswersUnread,   Kind::SlowSender,        Kind::SlowReader};

std::string nameOf(Place Where) {
  static const char *const Names[] = {"Route", "NoRoute", "Ready", "Directory",
                                      "Metrics"};
  return Names[static_cast<int>(Where)];
}

std::string nameOf(Kind What) {
  static const char *const Names[] = {
      "BodyInOnePiece",  "BodyInSmallPieces", "BodyInChunks",
      "BodyOverLimit",   "ChunksWithoutEnd",  "ManyShortFields",
      "ManyPromptParts", "UnendedHead",       "PipelinedUnread",
      "AnswersUnread",   "SlowSender",        "SlowReader"};
  return Names[static_cast<int>(What)];
}

/// One kind of client at one place.
struct ClientCase {
  Place Where = Place::Route;
  Kind What = Kind::BodyInOnePiece;
};

/// Prints the parameter of a test, from which ctest derives its name.
std::ostream &operator<<(std::ostream &To, const ClientCase &Case) {
  return To << nameOf(Case.Where) << nameOf(Case.What);
}

std::vector<ClientCase> allCases() {
  std::vector<ClientCase> Result;
  for (const Place Where : AllPlaces)
    for (const Kind What : AllKinds)
      Result.push_back({Where, What});
  return Result;
}

bool isEndpoint(Place Where) {
  return Where != Place::Route && Where != Place::NoRoute;
}

std::string pathOf(Place Where, Kind What) {
  switch (Where) {
  case Place::Route:
    return What == Kind::AnswersUnread ? "/safe/large" : "/safe/a";
  case Place::NoRoute:
    return "/nowhere";
  case Place::Ready:
    return "/api/ready";
  case Place::Directory:
    return "/api/resolve?zone=z";
  case Place::Metrics:
    return "/metrics";
  }
  return "/";
}

/// Returns a head without its empty line.
std::string headOf(Place Where, Kind What, std::size_t Number) {
  return "POST " + pathOf(Where, What) +
         " HTTP/1.1\r\nHost: h\r\nRequest-Id: 0-" + std::to_string(Number) +
         "\r\n";
}

std::string withLength(std::string Head, std::size_t Bytes) {
  return std::move(Head) + "Content-Length: " + std::to_string(Bytes) +
         "\r\n\r\n";
}

/// Returns \p Bytes bytes as chunks of 1,024, without the last chunk.
std::string chunksOf(std::size_t Bytes) {
  std::string Text;
  for (std::size_t Sent = 0; Sent < Bytes; Sent += 1024)
    Text += "400\r\n" + std::string(1024, 'c') + "\r\n";
  return Text;
}

std::string repeated(const std::string &Text, int Count) {
  std::string Result;
  for (int I = 0; I < Count; ++I)
    Result += Text;
  return Result;
}

/// Returns \p Head filled up to the limit of the place with \p Item.
std::string filled(std::string Head, Place Where, std::string_view Item) {
  const std::size_t Limit =
      (isEndpoint(Where) ? EndpointHeadBytes : MaxHeadBytes) - 64;
  while (Head.size() + Item.size() < Limit)
    Head += Item;
  return Head;
}

ClientScript scriptOf(Place Where, Kind What, std::size_t Number) {
  const std::size_t Body = isEndpoint(Where) ? EndpointBodyBytes : MaxBodyBytes;
  const std::string Head = headOf(Where, What, Number);
  const std::string Whole = withLength(Head, 4) + "body";
  switch (What) {
  case Kind::BodyInOnePiece:
    return {.Text = withLength(Head, Body) + std::string(Body - 1, 'b')};
  case Kind::BodyInSmallPieces:
    return {.Text = withLength(Head, Body) + std::string(Body - 1, 'b'),
            .Piece = 2048};
  case Kind::BodyInChunks:
    return {.Text = Head + "Transfer-Encoding: chunked\r\n\r\n" +
                    chunksOf(Body - 1024)};
  case Kind::BodyOverLimit:
    return {.Text = withLength(Head, 64 << 20) + std::string(4 << 20, 'b')};
  case Kind::ChunksWithoutEnd:
    return {.Text = Head + "Transfer-Encoding: chunked\r\n\r\n" +
                    chunksOf(4 << 20)};
  case Kind::ManyShortFields:
    return {.Text = withLength(filled(Head, Where, "a:b\r\n"), 4) + "bod"};
  case Kind::ManyPromptParts:
    return {.Text =
                withLength(filled(Head + "Prompt-Prefix: a:1", Where, ",a:1") +
                               "\r\n",
                           4) +
                "body"};
  case Kind::UnendedHead:
    return {.Text = filled(Head, Where, "a:b\r\n")};
  case Kind::PipelinedUnread:
    return {.Text = repeated(Whole, 500), .Repeats = true};
  case Kind::AnswersUnread:
    return {.Text = Whole};
  case Kind::SlowSender:
    return {.Text = Whole, .Piece = 1, .Repeats = true, .ReadBytes = 4096};
  case Kind::SlowReader:
    return {.Text = repeated(Whole, 500), .Repeats = true, .ReadBytes = 1};
  }
  return {};
}

/// An upstream that answers `/safe/large` with a megabyte.
class SizedUpstream {
public:
  explicit SizedUpstream(EventLoop &Loop)
      : Address(freeAddress()),
        Listener(
            Loop, this->Address, CallerLimits{},
            [this](const std::shared_ptr<IncomingCall> &Call) {
              const bool IsLarge = Call->Head.Target == "/safe/large";
              Call->send(
                  200,
                  {{"Request-Id",
                    std::string(
                        Call->Head.Headers.find("Request-Id").value_or(""))},
                   {"Server-Stamp", "x"}},
                  IsLarge ? this->Large : "answer");
            }) {}

  const SocketAddress Address;

private:
  const std::string Large = std::string(LargeAnswerBytes, 'l');
  CallListener Listener;
};

class MisbehavingClients {
protected:
  void start() {
    nlohmann::json Config = plainConfig();
    Config["limits"] = {{"maxBodyBytes", MaxBodyBytes},
                        {"maxHeaderBytes", MaxHeadBytes}};
    this->Api.put("config", "main", Config);
    this->Api.put("servers", "u0",
                  {{"service", "d"},
                   {"address", this->Upstream.Address.toString()},
                   {"zone", "z"},
                   {"version", "1"},
                   {"slots", 500},
                   {"state", "ready"},
                   {"sequence", 1},
                   {"born", 1}});
    this->Daemon = &this->Harness.start(
        "galenaroute-platform",
        {"--settings", this->Places.writeSettings(this->Harness.folder(), 0,
                                                  "z", this->Api.address())});
    this->Harness.waitFor("the daemon", [&] {
      return this->Harness.get(this->Places.readyAddress(0), "/api/ready")
                 .Status == 200;
    });
    this->wait(200ms);
  }

  SocketAddress addressOf(Place Where) const {
    const std::string Host = this->Places.hostOf(0);
    switch (Where) {
    case Place::Ready:
      return {Host, PlatformDaemons::ReadyPort};
    case Place::Directory:
      return {Host, PlatformDaemons::DirectoryPort};
    case Place::Metrics:
      return {Host, 9464};
    default:
      return this->Places.callerAddress(0);
    }
  }

  void add(Place Where, Kind What) {
    this->Crowd.add(this->addressOf(Where),
                    scriptOf(Where, What, this->Crowd.size()));
  }

  /// Lets the crowd act for \p Time and watches what the daemon holds.
  void act(Duration Time) {
    const TimePoint End = EventLoop::now() + Time;
    TimePoint NextCheck = EventLoop::now();
    while (EventLoop::now() < End) {
      this->Crowd.turn();
      this->wait(1ms);
      if (EventLoop::now() < NextCheck)
        continue;
      NextCheck = EventLoop::now() + 50ms;
      this->MostQueued =
          std::max(this->MostQueued, queuedBytes(this->Places.hostOf(0)));
      this->MostDescriptors =
          std::max(this->MostDescriptors, this->countDescriptors());
    }
  }

  /// Expects that the daemon is alive and within its bounds and, once the crowd
  /// has left, answers an ordinary request.
  void expectSound() {
    ASSERT_TRUE(this->Daemon->isRunning()) << this->Daemon->output();
    const std::size_t Memory = memoryOf(this->Daemon->id(), "VmHWM");
    std::printf("memory_mb=%.1f queued_mb=%.1f descriptors=%zu\n",
                static_cast<double>(Memory) / (1 << 20),
                static_cast<double>(this->MostQueued) / (1 << 20),
                this->MostDescriptors);
    EXPECT_GT(Memory, 0U);
    EXPECT_LE(Memory + this->MostQueued, MaxMemory);
    EXPECT_LE(this->MostDescriptors, MaxDescriptors);
    this->Crowd.closeAll();
    this->wait(300ms);
    RawSocket Caller(RawSocket::connectTo(this->Places.callerAddress(0)));
    Caller.writeSome("POST /once/a HTTP/1.1\r\nHost: h\r\nRequest-Id: "
                     "ordinary\r\nContent-Length: 4\r\n\r\nbody");
    this->Harness.loop().runUntil(
        [&] { return Caller.read().ends_with("answer"); }, 5s);
    EXPECT_TRUE(Caller.text().starts_with("HTTP/1.1 200 "))
        << Caller.text() << this->Daemon->output();
    EXPECT_TRUE(this->Daemon->isRunning());
    EXPECT_LE(memoryOf(this->Daemon->id(), "VmHWM") + this->MostQueued,
              MaxMemory);
  }

  /// Leaves the daemon \p Bytes of address space beyond what it has mapped.
  void limitAddressSpace(std::size_t Bytes) {
    const rlim_t Limit = memoryOf(this->Daemon->id(), "VmSize") + Bytes;
    const rlimit Limits{.rlim_cur = Limit, .rlim_max = Limit};
    ASSERT_EQ(prlimit(this->Daemon->id(), RLIMIT_AS, &Limits, nullptr), 0);
  }

  void wait(Duration Time) {
    this->Harness.loop().runUntil([] { return false; }, Time);
  }

  const PlatformDaemons Places{
      .Count = 1, .Network = 11, .GraceSeconds = 1, .MemoryMb = MemoryMb};
  ProcessHarness Harness{GALENAROUTE_BUILD_DIR};
  FakePlatformServer Api{this->Harness.loop()};
  SizedUpstream Upstream{this->Harness.loop()};
  Program *Daemon = nullptr;
  ClientCrowd Crowd;

private:
  std::size_t countDescriptors() const {
    std::error_code Failure;
    std::filesystem::directory_iterator Each(
        "/proc/" + std::to_string(this->Daemon->id()) + "/fd", Failure);
    return static_cast<std::size_t>(
        std::distance(begin(Each), std::filesystem::directory_iterator()));
  }

  std::size_t MostQueued = 0;
  std::size_t MostDescriptors = 0;
};

class MisbehavingClientsProcessTest
    : public MisbehavingClients,
      public testing::TestWithParam<ClientCase> {};

// Guards against a process that exceeds its memory, hangs or no longer serves
// beside many clients of one kind.
TEST_P(MisbehavingClientsProcessTest, KeepMemoryBounded) {
  const auto [Where, What] = MisbehavingClientsProcessTest::GetParam();
  this->start();
  for (std::size_t I = 0; I < CrowdSize; ++I)
    this->add(Where, What);
  this->act(1500ms);
  this->expectSound();
}

INSTANTIATE_TEST_SUITE_P(All, MisbehavingClientsProcessTest,
                         testing::ValuesIn(allCases()));

class MixedClientsProcessTest : public MisbehavingClients,
                                public testing::Test {
protected:
  /// Adds two clients of each kind at each place.
  void addMixture() {
    for (int Round = 0; Round < 2; ++Round)
      for (const Place Where : AllPlaces)
        for (const Kind What : AllKinds)
          this->add(Where, What);
  }
  /// Adds clients of each kind at the addresses of calls.
  void addCallers() {
    for (std::size_t I = 0; I < CrowdSize; ++I)
      this->add(I % 2 == 0 ? Place::Route : Place::NoRoute,
                AllKinds.at(I / 2 % AllKinds.size()));
  }
};

// Guards against limits that hold for each kind of client and not for their
// sum.
TEST_F(MixedClientsProcessTest, EverywhereKeepMemoryBounded) {
  this->start();
  this->addMixture();
  this->act(2500ms);
  this->expectSound();
}

// Guards against limits that hold for each kind of call and not for their sum.
TEST_F(MixedClientsProcessTest, AtCallsKeepMemoryBounded) {
  this->start();
  this->addCallers();
  this->act(2500ms);
  this->expectSound();
}

// Guards against a process that reads more than its limits when it goes on in
// front of full sockets.
TEST_F(MixedClientsProcessTest, WhileItStandsStillKeepMemoryBounded) {
  this->start();
  this->Daemon->signal(SIGSTOP);
  this->addCallers();
  this->act(1000ms);
  this->Daemon->signal(SIGCONT);
  this->act(2000ms);
  this->expectSound();
}

// The same with long bodies alone, which fill every socket.
TEST_F(MixedClientsProcessTest, LongBodiesWhileItStandsStillKeepMemoryBounded) {
  this->start();
  this->Daemon->signal(SIGSTOP);
  for (std::size_t I = 0; I < CrowdSize; ++I)
    this->add(Place::Route, Kind::BodyInOnePiece);
  this->act(1000ms);
  this->Daemon->signal(SIGCONT);
  this->act(2000ms);
  this->expectSound();
}

// Guards against a lack of memory at the address of calls that leaves the
// readiness and directory addresses without an answer.
TEST_F(MixedClientsProcessTest, AtCallsLeaveOtherAddressesAnswering) {
  this->start();
  for (std::size_t I = 0; I < CrowdSize; ++I)
    this->add(Place::Route, Kind::BodyInOnePiece);
  this->act(1500ms);
  EXPECT_EQ(
      this->Harness.get(this->Places.readyAddress(0), "/api/ready").Status,
      200);
  EXPECT_EQ(this->Harness
                .get(this->addressOf(Place::Directory), "/api/resolve?zone=z")
                .Status,
            200);
  this->expectSound();
}

// Guards against limits that refuse a single request inside them.
TEST_F(MixedClientsProcessTest, ASingleLongRequestIsServed) {
  this->start();
  RawSocket Caller(RawSocket::connectTo(this->Places.callerAddress(0)));
  std::string Text = "POST /once/a HTTP/1.1\r\nHost: h\r\nRequest-Id: long\r\n";
  Text = withLength(Text, MaxBodyBytes) + std::string(MaxBodyBytes, 'b');
  std::size_t Sent = 0;
  this->Harness.loop().runUntil(
      [&] {
        Sent += Caller.writeSome(std::string_view(Text).substr(Sent));
        return Caller.read().ends_with("answer");
      },
      5s);
  EXPECT_TRUE(Caller.text().starts_with("HTTP/1.1 200 ")) << Caller.text();
  this->expectSound();
}

// Guards against a process that a failed allocation ends, with all of its
// calls.
TEST_F(MixedClientsProcessTest, WithoutFreeAddressSpaceDoNotEndTheProcess) {
  this->start();
  this->limitAddressSpace(1 << 20);
  this->addCallers();
  this->act(2500ms);
  EXPECT_NE(this->Daemon->output().find("event=memory.short"),
            std::string::npos);
  this->expectSound();
}

} // namespace
} // namespace galenaroute
