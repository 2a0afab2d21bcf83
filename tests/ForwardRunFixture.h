// A caller, a gateway's runs and two upstreams over real sockets; the bytes of
// the upstreams are written by the test.

#ifndef GALENAROUTE_TESTS_FORWARDRUNFIXTURE_H
#define GALENAROUTE_TESTS_FORWARDRUNFIXTURE_H

#include "RawSocket.h"
#include "platform/CallHeaders.h"
#include "request/ForwardRun.h"

#include <gtest/gtest.h>

namespace galenaroute {

using namespace std::chrono_literals;

/// Routes by path: /stream/ may be resumed, /safe/ repeated; /once/ and
/// /oncestream/ must not be sent twice.
class ForwardRunFixture : public testing::Test {
protected:
  ForwardRunFixture() {
    this->addRoute("/stream/", Repeatability::Resumable, true, 2);
    this->addRoute("/once/", Repeatability::Once, false, 1);
    this->addRoute("/safe/", Repeatability::Repeatable, false, 2);
    this->addRoute("/oncestream/", Repeatability::Once, true, 1);
    this->Config.Services["s"] = {.Name = "s"};
    this->Config.Customers = {{.Name = "c", .Keys = {"key"}}};
    this->Config.NeedsKeys = true;
    this->Config.index();
    this->Services.Config = std::make_shared<const ForwardConfig>(this->Config);
    this->Services.IsConfigFresh = [this] { return this->IsFresh; };
    this->Services.NewBudget = {.Share = 0.2, .Capacity = 10, .Available = 10};
    for (int I = 0; I < 2; ++I) {
      RegisteredUpstream Each;
      Each.Id = "u" + std::to_string(I);
      Each.Service = "s";
      Each.Address = this->Servers[I].Address;
      this->Table.put(Each, EventLoop::now());
    }
    this->Listener = std::make_unique<CallListener>(
        this->Loop, this->Address, CallerLimits{},
        [this](std::shared_ptr<IncomingCall> Call) {
          std::make_shared<ForwardRun>(this->Services, std::move(Call))
              ->start();
        });
    this->Caller =
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
  }

  void addRoute(const std::string &Prefix, Repeatability Repeat, bool IsStream,
                int MaxUpstreams) {
    ForwardRoute Route;
    Route.Name = Prefix;
    Route.Host = "h";
    Route.PathPrefix = Prefix;
    Route.Repeat = Repeat;
    Route.IsStream = IsStream;
    Route.MaxUpstreams = MaxUpstreams;
    Route.Timeout = 1500ms;
    Route.Target = 200ms;
    Route.Services = {{"s", 1}};
    this->Config.Routes.push_back(Route);
  }

  void sendCall(const std::string &Path, const std::string &More = "") {
    this->Caller->write("POST " + Path +
                        " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                        "Authorization: Bearer key\r\nContent-Length: 4\r\n" +
                        More + "\r\nbody");
  }

  bool waitUntil(const std::function<bool()> &Done) {
    return this->Loop.runUntil(Done, 4s);
  }

  /// Waits until the call arrives at an upstream and returns its connection.
  std::unique_ptr<RawSocket> waitForArrival() {
    int Socket = -1;
    EXPECT_TRUE(this->waitUntil([&] {
      for (const RawListener &Each : this->Servers)
        if (Socket < 0)
          Socket = Each.accept();
      return Socket >= 0;
    }));
    auto Peer = std::make_unique<RawSocket>(Socket);
    EXPECT_TRUE(this->waitUntil(
        [&] { return Peer->read().ends_with("\r\n\r\nbody"); }));
    return Peer;
  }
  bool hasNoArrival() {
    std::unique_ptr<RawSocket> Arrived;
    return !this->Loop.runUntil(
        [&] {
          for (const RawListener &Each : this->Servers)
            if (const int Socket = Each.accept(); Socket >= 0)
              Arrived = std::make_unique<RawSocket>(Socket);
          return Arrived != nullptr;
        },
        300ms);
  }
  bool callerReceives(const std::string &Text) {
    return this->waitUntil(
        [&] { return this->Caller->read().find(Text) != std::string::npos; });
  }

  static std::string head(const std::string &Status, const std::string &More) {
    return "HTTP/1.1 " + Status + "\r\nRequest-Id: r1\r\n" + More + "\r\n";
  }
  static std::string chunk(const std::string &Text) {
    char Size[16];
    std::snprintf(Size, sizeof Size, "%zx\r\n", Text.size());
    return Size + Text + "\r\n";
  }
  /// Returns the instance that a forwarded call requires.
  static std::string instanceIn(const std::string &Request) {
    static const std::string Name = "Expect-Instance: ";
    const std::size_t At = Request.rfind(Name);
    return At == std::string::npos
               ? ""
               : Request.substr(At + Name.size(),
                                Request.find("\r\n", At) - At - Name.size());
  }
  static int countOf(const std::string &Text, const std::string &Part) {
    int Count = 0;
    for (std::size_t At = Text.find(Part); At != std::string::npos;
         At = Text.find(Part, At + 1))
      ++Count;
    return Count;
  }
  const std::string StreamHead =
      head("200 OK", "Server-Stamp: x\r\nTransfer-Encoding: chunked\r\n");

  /// Of an answer that ends with its connection.
  const std::string UnframedHead = head("200 OK", "Server-Stamp: x\r\n");

  EventLoop Loop;
  RawListener Servers[2];
  SocketAddress Address = freeAddress();
  platform::CallHeaders Codec;
  UpstreamPool Pool{Loop};
  UpstreamTable Table{{}, [this](const UpstreamEntry &Entry) {
                        return UpstreamTable::ConnectionCapacity{
                            .HasIdle = this->Pool.hasIdle(
                                Entry.Registered.Address, MaxIdleRepeatable)};
                      }};
  Metrics Stats;
  std::mt19937_64 Random{1};
  ForwardConfig Config;
  bool IsFresh = true;
  ForwardServices Services{.Loop = Loop,
                           .Codec = Codec,
                           .Pool = Pool,
                           .Upstreams = Table,
                           .Stats = Stats,
                           .Random = Random};
  std::unique_ptr<CallListener> Listener;
  std::unique_ptr<RawSocket> Caller;
};

} // namespace galenaroute

#endif // GALENAROUTE_TESTS_FORWARDRUNFIXTURE_H
