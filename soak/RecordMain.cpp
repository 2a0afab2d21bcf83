// Records the objects that gateways of a build store on the platform, and the
// messages that they send one another, for the tests of compatibility.
//
//   galenaroute-record-build --daemon PATH --out tests/recorded/COMMIT.json
//
// The file holds the specs by kind and name, and one message of each kind as
// hex digits. PATH is absolute, see tools/build-daemon-of.

#include "PlainConfig.h"
#include "RawSocket.h"
#include "WeightedEngines.h"
#include "connection/BufferedSocket.h"
#include "process/EntryChannel.h"
#include "process/FakePlatformServer.h"
#include "process/PlatformDaemons.h"
#include "process/ProcessHarness.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace galenaroute;
using namespace galenaroute::testing_support;
using namespace std::chrono_literals;
using nlohmann::json;

static constexpr std::size_t DaemonCount = 2;
/// Process tests use 1 to 61.
static constexpr int Network = 62;
static constexpr Duration StepPeriod = 50ms;
/// In which weights are loaded and crashes are reported.
static constexpr Duration StoredTime = 8s;
/// In which records of streams are told instead of stored.
static constexpr Duration ToldTime = 2s;

static std::string hexOf(std::string_view Bytes) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Result;
  for (const char Each : Bytes) {
    const auto Byte = static_cast<unsigned char>(Each);
    Result += {Digits[Byte >> 4], Digits[Byte & 15]};
  }
  return Result;
}

/// Takes part in the gossip and keeps one message of each kind.
class GossipRecorder {
public:
  explicit GossipRecorder(const SocketAddress &Own) {
    this->Self.Id = "recorder";
    this->Self.Incarnation = wallMilliseconds();
    this->Self.Callers = this->Self.Gossip = Own;
    this->Self.Zone = "z";
    this->Self.ReachesPlatform = true;
    this->Self.IssuesPermits = true;
    this->Socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
    const sockaddr_in At = socketAddressOf(Own);
    if (::bind(this->Socket, reinterpret_cast<const sockaddr *>(&At),
               sizeof At) != 0)
      throw std::runtime_error("cannot bind " + Own.toString());
  }
  ~GossipRecorder() { ::close(this->Socket); }
  GossipRecorder(const GossipRecorder &) = delete;
  GossipRecorder &operator=(const GossipRecorder &) = delete;

  void sendTo(const SocketAddress &Gateway) {
    ++this->Self.Heartbeat;
    const std::string Bytes = encodeGossip({.Records = {this->Self}});
    const sockaddr_in To = socketAddressOf(Gateway);
    ::sendto(this->Socket, Bytes.data(), Bytes.size(), 0,
             reinterpret_cast<const sockaddr *>(&To), sizeof To);
  }
  void receive() {
    char Buffer[EntryChannel::MaxBytes];
    ssize_t Length = 0;
    while ((Length = ::recv(this->Socket, Buffer, sizeof Buffer, 0)) > 0)
      this->keep({Buffer, static_cast<std::size_t>(Length)});
  }
  const std::map<std::string, std::string> &messages() const {
    return this->Messages;
  }

private:
  void keep(std::string_view Bytes) {
    const json Value = json::from_cbor(Bytes);
    std::string Kind = "records";
    if (Value.is_object()) {
      Kind = "status";
      for (const char *Each : {"store", "objects", "crashes", "weights",
                               "rates", "streams", "digest", "added"})
        if (Value.contains(Each))
          Kind = Each;
    }
    // Later ones hold more.
    std::string &Kept = this->Messages[Kind];
    if (Kept.size() <= 2 * Bytes.size())
      Kept = hexOf(Bytes);
  }

  EntryRecord Self;
  int Socket = -1;
  std::map<std::string, std::string> Messages;
};

/// Two daemons with engines, and with upstreams of two software versions.
class RecordedFleet {
public:
  explicit RecordedFleet(const std::string &Daemon) {
    json Config = weightedConfig(/*Slots=*/2);
    const json Plain = plainConfig();
    Config["services"].push_back(Plain["services"][0]);
    json Stream = Plain["routes"][1];
    Stream["name"] = "stream";
    Stream["pathPrefix"] = "/stream/";
    Stream["kind"] = "stream";
    Stream["resumable"] = true;
    Config["routes"].push_back(Stream);
    Stream["name"] = "plain";
    Stream["pathPrefix"] = "/plain/";
    Stream["kind"] = "safe";
    Stream.erase("resumable");
    Config["routes"].push_back(Stream);
    this->Api.put("config", "main", Config);
    this->Api.put("versions", "w", {{"model", "w"}, {"version", 1}});
    for (std::size_t I = 0; I < 2; ++I) {
      this->addEngine(I);
      this->addUpstream(I);
    }
    for (std::size_t I = 0; I < DaemonCount; ++I)
      this->Harness.start(
          Daemon,
          {"--settings", this->Places.writeSettings(this->Harness.folder(), I,
                                                    "z", this->Api.address())});
    for (std::size_t I = 0; I < DaemonCount; ++I)
      this->Harness.waitFor("daemon " + std::to_string(I), [&] {
        return this->Harness.get(this->Places.readyAddress(I), "/api/ready")
                   .Status == 200;
      });
  }

  json record() {
    this->run(2s);
    this->Api.put("versions", "w", {{"model", "w"}, {"version", 2}});
    this->run(StoredTime);
    json Objects;
    for (const char *Kind : {"lease", "weight-history", "crashing-contents",
                             "software-versions", "stream-versions"})
      for (const auto &[Name, Spec] : this->Api.specs(Kind))
        if (!Spec.is_null())
          Objects[Kind][Name] = Spec;
    this->Api.rejectWrites("stream-versions");
    this->run(ToldTime);
    return {{"objects", Objects}, {"messages", this->Peer.messages()}};
  }

private:
  void addEngine(std::size_t Index) {
    this->Engines.push_back(std::make_unique<WeightedEngine>(
        this->Harness.loop(), this->Seen,
        WeightedEngineSettings{.LoadTime = 500ms},
        [this, Index](const SocketAddress &At, std::uint64_t Version) {
          json Entry = entryOf("m", At, "1");
          Entry["sequence"] = Version;
          Entry["models"] = {{{"name", "w"}, {"version", Version}}};
          this->Api.put("servers", "e" + std::to_string(Index), Entry);
        }));
  }
  /// Begins streams, states a limit, and ends connections with a call of the
  /// customer that crashes upstreams.
  void addUpstream(std::size_t Index) {
    const SocketAddress At = ProcessHarness::freeAddress();
    this->Upstreams.push_back(std::make_unique<CallListener>(
        this->Harness.loop(), At, CallerLimits{},
        [this](const std::shared_ptr<IncomingCall> &Call) {
          if (Call->Body == "crash") {
            Call->abort();
            return;
          }
          const std::string Id(
              Call->Head.Headers.find("Request-Id").value_or(""));
          Call->begin(200, {{"Request-Id", Id},
                            {"Server-Stamp", "x"},
                            {"Server-Limit", "20"}});
          Call->write("id: 1\ndata: a\n\n");
          this->Open.push_back(Call);
        }));
    this->Api.put("servers", "u" + std::to_string(Index),
                  entryOf("d", At, std::to_string(Index + 1)));
  }
  static json entryOf(const char *Service, const SocketAddress &At,
                      const std::string &Version) {
    return {{"service", Service}, {"address", At.toString()},
            {"zone", "z"},        {"version", Version},
            {"slots", 50},        {"state", "ready"},
            {"sequence", 1},      {"born", 1}};
  }
  void send(const std::string &Path, const std::string &Body) {
    const std::size_t Daemon = ++this->Sent % DaemonCount;
    this->Callers.push_back(std::make_unique<RawSocket>(
        RawSocket::connectTo(this->Places.callerAddress(Daemon))));
    this->Callers.back()->write(
        "POST " + Path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: r" +
        std::to_string(this->Sent) + "\r\nContent-Length: " +
        std::to_string(Body.size()) + "\r\n\r\n" + Body);
  }
  void run(Duration Time) {
    const TimePoint End = EventLoop::now() + Time;
    for (int Step = 0; EventLoop::now() < End; ++Step) {
      for (std::size_t I = 0; I < DaemonCount; ++I)
        this->Peer.sendTo(
            {this->Places.hostOf(I), PlatformDaemons::GossipPort});
      this->send("/stream/a", "body");
      this->send("/safe/a", "body");
      if (Step % 20 == 0)
        this->send("/plain/a", "crash");
      this->Harness.loop().runUntil([] { return false; }, StepPeriod);
      this->Peer.receive();
    }
  }

  ProcessHarness Harness{GALENAROUTE_BUILD_DIR};
  PlatformDaemons Places{.Count = DaemonCount, .Network = Network};
  FakePlatformServer Api{this->Harness.loop()};
  GossipRecorder Peer{
      {this->Places.hostOf(DaemonCount), PlatformDaemons::GossipPort}};
  WeightsHistory Seen;
  std::vector<std::unique_ptr<WeightedEngine>> Engines;
  std::vector<std::unique_ptr<CallListener>> Upstreams;
  std::vector<std::shared_ptr<IncomingCall>> Open;
  std::vector<std::unique_ptr<RawSocket>> Callers;
  std::size_t Sent = 0;
};

int main(int Argc, char **Argv) {
  CLI::App App("Records the stored objects and messages of a build");
  std::string Daemon;
  std::string Out;
  App.add_option("--daemon", Daemon, "Executable of the build, absolute")
      ->required()
      ->check(CLI::ExistingFile);
  App.add_option("--out", Out, "File to write")->required();
  CLI11_PARSE(App, Argc, Argv);
  try {
    const json Recorded = RecordedFleet(Daemon).record();
    std::ofstream(Out) << Recorded.dump(1) << '\n';
    for (const auto &[Kind, Objects] : Recorded.at("objects").items())
      std::cout << "objects of " << Kind << ": " << Objects.size() << '\n';
    for (const auto &[Kind, Bytes] : Recorded.at("messages").items())
      std::cout << "message " << Kind << ": "
                << Bytes.get_ref<const std::string &>().size() / 2
                << " bytes\n";
  } catch (const std::exception &Failure) {
    std::cerr << "galenaroute-record-build: " << Failure.what() << '\n';
    return 1;
  }
  return 0;
}
