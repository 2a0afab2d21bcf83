// Tests of complete daemons against the emulators of all surrounding systems,
// in one process and one event loop.

#include "EngineEmulator.h"
#include "FreeAddress.h"
#include "GeneratedText.h"
#include "PlatformEmulator.h"
#include "ServiceEmulator.h"
#include "process/DaemonProcess.h"
#include "process/Sha256.h"
#include "version/ConfigStore.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using emulator::EmulatorServer;
using nlohmann::json;

const SocketAddress AnyPort{"127.0.0.1", 0};

class ClusterTest : public testing::Test {
protected:
  ClusterTest() {
    for (int I = 0; I < 2; ++I) {
      emulator::EngineSettings Settings;
      Settings.DecodeStep = 2ms;
      Settings.Orders.WeightVersion = "v0";
      Settings.Orders.LoadTime = 20ms;
      this->Engines.push_back(std::make_unique<emulator::EngineEmulator>(
          this->Loop, this->Client, Settings));
      this->Servers.push_back(std::make_unique<EmulatorServer>(
          this->Loop, *this->Engines.back(), AnyPort));
    }
    this->Wanted.Deployment = {"harwood", "tas-south", {"a", "b"}};
    ServiceConfig Model;
    Model.Name = Model.Model = "steward";
    Model.WeightVersion = "v1";
    Model.Upstreams = {{"one", this->Servers[0]->address(), "a"},
                       {"two", this->Servers[1]->address(), "b"}};
    Model.MaxConcurrentLoads = 2;
    Model.ChecksFence = true;
    ServiceConfig Desk;
    Desk.Name = "desk";
    Desk.Kind = ServiceKind::Plain;
    Desk.Upstreams = {{"desk-1", this->DeskServer.address(), "a"}};
    Desk.Deadline = Milliseconds(5000);
    this->Wanted.Services = {{"steward", Model}, {"desk", Desk}};
    this->Wanted.Customers = {
        {"marshals", {"marshals", sha256Hex("marshal-key"), 1, 64}}};
    this->apply();
  }

  void apply() {
    std::optional<ApplyResult> Applied;
    this->Store.apply(this->Wanted, std::nullopt,
                      [&](const ApplyResult &Result) { Applied = Result; });
    EXPECT_TRUE(this->Loop.runUntil([&] { return Applied.has_value(); }, 5s));
    EXPECT_EQ(Applied->End, ApplyOutcome::Applied) << Applied->Message;
  }

  void startDaemons(int Count) {
    std::vector<SocketAddress> Seeds;
    for (int I = 0; I < Count; ++I) {
      DaemonSettings Settings;
      Settings.Listen = freeAddress();
      Settings.Advertise = Settings.Listen;
      Settings.PeerListen = freeAddress();
      Settings.PeerAdvertise = Settings.PeerListen;
      Settings.NodeId = "entry-" + std::to_string(I);
      Settings.Seeds = Seeds;
      Settings.Platform = this->PlatformServer.address();
      Settings.Zone = I % 2 == 0 ? "a" : "b";
      Settings.EntriesTtl = 200ms;
      Seeds.push_back(Settings.PeerListen);
      this->Addresses.push_back(Settings.Listen);
      this->Daemons.push_back(
          std::make_unique<DaemonProcess>(this->Loop, Settings));
      this->Daemons.back()->start();
    }
    for (const SocketAddress &Each : this->Addresses)
      this->waitFor([&] { return this->get(Each, "/healthz").Status == 200; });
    // The holder of the service's lease orders the engines to load weights.
    this->waitFor([&] { return this->allLoaded("v1"); });
  }

  bool allLoaded(const std::string &Version) {
    return std::all_of(
        this->Servers.begin(), this->Servers.end(), [&](const auto &Each) {
          const HttpResult Load = this->get(Each->address(), "/v1/load");
          return json::parse(Load.Body)["weight_version"] == Version;
        });
  }

  void waitFor(const std::function<bool()> &Done) {
    const TimePoint End = EventLoop::now() + 20s;
    while (!Done())
      ASSERT_LT(EventLoop::now(), End);
  }

  HttpResult call(HttpCall Call) {
    std::optional<HttpResult> Last;
    const auto Exchange = this->Client.start(
        std::move(Call),
        {.OnDone = [&](const HttpResult &Result) { Last = Result; }});
    EXPECT_TRUE(this->Loop.runUntil([&] { return Last.has_value(); }, 20s));
    return Last.value_or(HttpResult{});
  }
  HttpResult get(const SocketAddress &To, const std::string &Path) {
    return this->call(HttpCallBuilder(To).get(Path).build());
  }
  HttpResult post(std::size_t Entry, const std::string &Path,
                  const std::string &Body, const std::string &Key = "") {
    HttpCallBuilder Builder(this->Addresses.at(Entry));
    Builder.post(Path, Body).header("Authorization", "Bearer marshal-key");
    if (!Key.empty())
      Builder.header("Idempotency-Key", Key);
    return this->call(Builder.build());
  }

  EventLoop Loop;
  HttpClient Client{Loop};
  emulator::PlatformEmulator Platform{Loop, {}};
  EmulatorServer PlatformServer{Loop, Platform, AnyPort};
  emulator::ServiceEmulator Desk{Loop, {}};
  EmulatorServer DeskServer{Loop, Desk, AnyPort};
  std::vector<std::unique_ptr<emulator::EngineEmulator>> Engines;
  std::vector<std::unique_ptr<EmulatorServer>> Servers;
  HttpPlatform Api{Client, PlatformServer.address()};
  ConfigStore Store{Api, Loop.timers(), {}};
  Configuration Wanted;
  std::vector<std::unique_ptr<DaemonProcess>> Daemons;
  std::vector<SocketAddress> Addresses;
};

TEST_F(ClusterTest, AnswersPromptsFromEmulatedEngines) {
  this->startDaemons(1);
  for (int I = 0; I < 8; ++I) {
    const std::string Prompt = "ruling " + std::to_string(I);
    const HttpResult Result =
        this->post(0, "/v1/completions",
                   json{{"prompt", Prompt}, {"max_tokens", 10}}.dump());
    ASSERT_EQ(Result.Status, 200) << Result.Body;
    EXPECT_EQ(json::parse(Result.Body)["choices"][0]["text"],
              emulator::wholeAnswer(Prompt, 10));
  }
}

// Guards against a change of weights that rejects prompts while engines load,
// and against prompts that use cached blocks of the old weights afterwards.
TEST_F(ClusterTest, AChangeOfWeightsRejectsNoPrompts) {
  this->startDaemons(1);
  const std::string Prompt(9000, 'x');
  const auto Complete = [&] {
    return this->post(0, "/v1/completions",
                      json{{"prompt", Prompt}, {"max_tokens", 3}}.dump());
  };
  this->Wanted.Services.at("steward").WeightVersion = "v2";
  this->Wanted.Services.at("steward").MaxConcurrentLoads = 1;
  this->apply();
  this->waitFor([&] {
    const HttpResult Result = Complete();
    EXPECT_EQ(Result.Status, 200) << Result.Body;
    EXPECT_EQ(json::parse(Result.Body)["choices"][0]["text"],
              emulator::wholeAnswer(Prompt, 3));
    return this->allLoaded("v2");
  });
}

// Guards against a second entry running a payment that the first one ran.
TEST_F(ClusterTest, ADuplicateAtAnotherEntryGetsTheFirstResponse) {
  this->startDaemons(2);
  const HttpResult First =
      this->post(0, "/services/desk/payments", "12 AUD", "k");
  ASSERT_EQ(First.Status, 200) << First.Body;
  HttpResult Second;
  this->waitFor([&] {
    Second = this->post(1, "/services/desk/payments", "12 AUD", "k");
    return Second.Status != 409; // While the outcome is being stored.
  });
  EXPECT_EQ(Second.Status, 200) << Second.Body;
  EXPECT_EQ(Second.Body, First.Body);
  const json Runs =
      json::parse(this->get(this->DeskServer.address(), "/admin/runs").Body);
  EXPECT_NE(Runs.dump().find("\"k\":1"), std::string::npos) << Runs;
}

// Guards against sending callers to an entry that is stopping.
TEST_F(ClusterTest, ADrainedEntryIsWithdrawnEverywhere) {
  this->startDaemons(2);
  const auto Count = [this](std::size_t Entry) {
    return json::parse(this->get(this->Addresses[Entry], "/v1/entries").Body)
        .at("entries")
        .size();
  };
  this->waitFor([&] { return Count(0) == 2 && Count(1) == 2; });
  bool HasStopped = false;
  this->Daemons[0]->Stopped.connect([&] { HasStopped = true; });
  this->Daemons[0]->drain();
  EXPECT_EQ(Count(0), 1U);
  this->waitFor([&] { return Count(1) == 1; });
  EXPECT_TRUE(this->Loop.runUntil([&] { return HasStopped; }, 10s));
}

} // namespace
} // namespace galenaroute
