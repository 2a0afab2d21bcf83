// Tests that answers from outside whose parsed form takes many times their
// bytes do not exhaust the memory of a daemon process.

#include "FakePlatformServer.h"
#include "LimitedUpstreams.h"
#include "PlainConfig.h"
#include "PlatformDaemons.h"
#include "ProcessHarness.h"

#include <fstream>
#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;
using nlohmann::json;

constexpr std::size_t MaxAnswerBytes = 4 << 20;

/// Returns \p Unit over and over, separated by commas, in at most \p Bytes.
std::string repeated(std::string_view Unit, std::size_t Bytes) {
  std::string Result(Unit);
  while (Result.size() + 1 + Unit.size() <= Bytes)
    Result.append(",").append(Unit);
  return Result;
}

/// Answers of a KV cache store, each just within the size that is read.
std::vector<std::string> costlyAnswers() {
  const std::size_t Room = MaxAnswerBytes - 200;
  const auto Rows = [&](std::string_view Member, std::string_view Unit) {
    return R"({"epoch":1,"next":2,"lost":false,")" + std::string(Member) +
           "\":[" + repeated(Unit, Room) + "]}";
  };
  return {std::string(MaxAnswerBytes, '['),
          "[" + repeated("[]", Room) + "]",
          "[" + repeated("{}", Room) + "]",
          Rows("events", "[]"),
          Rows("events", R"([1,"+","","",1])"),
          Rows("held", R"(["","",1])"),
          Rows("x", "[]"),
          R"({"epoch":1,"next":2,"events":[],"x":{"y":[)" +
              repeated("1", Room) + "]}}",
          "\"" + std::string(Room, 'x') + "\"",
          std::string(MaxAnswerBytes, ' ')};
}

/// A KV cache store that answers each call with the next of costlyAnswers().
class CostlyStore {
public:
  explicit CostlyStore(EventLoop &Loop) : Server(Loop, {}) {
    this->Server.handle(
        [this](const HttpRequest &, const std::shared_ptr<HttpReply> &Reply) {
          Reply->send(200, {{"Content-Type", "application/json"}},
                      this->Texts[this->Count++ % this->Texts.size()]);
        });
    this->Address.Port = this->Server.listen({"127.0.0.1", 0});
  }
  const SocketAddress &address() const { return this->Address; }
  std::size_t count() const { return this->Count; }

private:
  const std::vector<std::string> Texts = costlyAnswers();
  HttpServer Server;
  SocketAddress Address{"127.0.0.1", 0};
  std::size_t Count = 0;
};

/// Returns the peak of the memory of a process, or zero if it has ended.
std::size_t peakBytes(pid_t Id) {
  std::ifstream Status("/proc/" + std::to_string(Id) + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmHWM:"))
      return std::stoul(Line.substr(6)) << 10;
  return 0;
}

class CostlyAnswersProcessTest : public testing::TestWithParam<int> {
protected:
  CostlyAnswersProcessTest() {
    json Config = plainConfig();
    for (std::size_t I = 0; I < StoreCount; ++I) {
      this->Stores.push_back(
          std::make_unique<CostlyStore>(this->Harness.loop()));
      Config["services"].push_back(
          {{"name", "kv" + std::to_string(I)},
           {"kvStore", this->Stores[I]->address().toString()},
           {"zone", "z"},
           {"kvCapacity", 288932},
           {"linkMbps", 130000.0},
           {"maxInflight", 12},
           {"managed", true},
           {"first_ms", 0.5}});
    }
    this->Api.put("config", "main", Config);
    this->Api.put("servers", "u0",
                  {{"service", "d"},
                   {"address", this->Upstream.address().toString()},
                   {"zone", "z"},
                   {"version", "1"},
                   {"slots", 50},
                   {"state", "ready"},
                   {"sequence", 1},
                   {"born", 1}});
  }

  static constexpr std::size_t StoreCount = 3;
  ProcessHarness Harness{GALENAROUTE_BUILD_DIR};
  FakePlatformServer Api{this->Harness.loop()};
  LimitedUpstream Upstream{this->Harness.loop(), 5ms};
  std::vector<std::unique_ptr<CostlyStore>> Stores;
  const PlatformDaemons Places{
      .Count = 1, .Network = 31, .MemoryMb = GetParam()};
  SteadyCallers Callers{this->Harness.loop(), 1, [this](std::size_t) {
                          return this->Places.callerAddress(0);
                        }};
};

// Guards against a daemon that is killed for its memory by a store that answers
// with a few megabytes: 4 MB of "[" took 274 MB, and 4 MB of "[]," 114 MB.
TEST_P(CostlyAnswersProcessTest, StoresThatAlwaysAnswerSoHarmNobody) {
  const std::string Settings = this->Places.writeSettings(
      this->Harness.folder(), 0, "z", this->Api.address());
  Program &Daemon =
      this->Harness.start("galenaroute-platform", {"--settings", Settings});
  const auto AnswersServed = [&] {
    return std::all_of(this->Stores.begin(), this->Stores.end(),
                       [](const auto &Each) {
                         return Each->count() >= costlyAnswers().size();
                       });
  };
  this->Harness.waitFor("ready", [&] {
    return this->Harness.get(this->Places.readyAddress(0), "/api/ready")
               .Status == 200;
  });
  this->Callers.start(100ms);
  this->Harness.waitFor("all answers", AnswersServed, 60s);
  this->Callers.stop();
  this->Harness.loop().runUntil([] { return false; }, 500ms);
  ASSERT_TRUE(Daemon.isRunning());
  RecordProperty("peak_mb", std::to_string(peakBytes(Daemon.id()) >> 20));
  EXPECT_LT(peakBytes(Daemon.id()), static_cast<std::size_t>(GetParam()) << 20);
  EXPECT_NE(Daemon.output().find("event=store.malformed_answer"),
            std::string::npos);
  EXPECT_EQ(
      this->Harness.get(this->Places.readyAddress(0), "/api/ready").Status,
      200);
  EXPECT_EQ(this->Callers.count("200"),
            static_cast<std::size_t>(this->Callers.sent()));
}

INSTANTIATE_TEST_SUITE_P(Memory, CostlyAnswersProcessTest,
                         testing::Values(110, 260));

} // namespace
} // namespace galenaroute
