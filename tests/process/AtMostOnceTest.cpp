// Sends payments with repeated idempotency keys through several gateways, while
// gateways are killed, restarted and suspended, and the platform has outages
// and loses replies.

#include "process/ListingText.h"
#include "process/ProcessHarness.h"

#include "connection/PlatformClient.h"
#include "version/ConfigStore.h"
#include "version/Listing.h"

#include <csignal>
#include <gtest/gtest.h>
#include <random>

namespace galenaroute::testing_support {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/// The responses that callers got for one key.
struct KeyAnswers {
  int Pending = 0;
  int NotRun = 0;
  int Other = 0;                ///< May have run, or no complete response.
  std::set<std::string> Bodies; ///< Of successful responses.
};

class AtMostOnceTest : public testing::Test {
protected:
  AtMostOnceTest() : Platform(Harness.startEmulator("platform", {})) {
    for (int I = 0; I < 2; ++I)
      this->Services.push_back(&this->Harness.startEmulator(
          "service", {"--name", "desk-" + std::to_string(I), "--run-ms", "200",
                      "--slots", "32"}));
    this->apply();
    for (int I = 0; I < 3; ++I) {
      this->Callers.push_back(ProcessHarness::freeAddress());
      this->Peers.push_back(ProcessHarness::freeAddress());
    }
    this->Daemons.resize(3);
    for (std::size_t I = 0; I < 3; ++I)
      this->startDaemon(I);
    for (std::size_t I = 0; I < 3; ++I)
      this->Harness.waitFor("three live daemons", [&] {
        const json Answer =
            this->Harness.getJson(this->Callers[I], "/v1/entries");
        return Answer.is_object() && Answer["entries"].size() == 3 &&
               this->Harness.get(this->Callers[I], "/healthz").isSuccess();
      });
  }

  void apply() {
    ListingParts Parts;
    Parts.Engines = {{"steward-1", ProcessHarness::freeAddress(), "derwent"}};
    for (Program *Each : this->Services)
      Parts.PlainServers.push_back(
          {"desk-" + std::to_string(Parts.PlainServers.size()), Each->address(),
           "derwent"});
    const ListingResult Read = parseListing(listingText(Parts));
    HttpPlatform Api(this->Harness.client(), this->Platform.address());
    ConfigStore Store(Api, this->Harness.loop().timers(), {});
    std::optional<ApplyOutcome> End;
    Store.apply(Read.Config, {},
                [&](const ApplyResult &Result) { End = Result.End; });
    this->Harness.waitFor("the apply", [&] { return End.has_value(); });
    ASSERT_EQ(End, ApplyOutcome::Applied);
  }

  void startDaemon(std::size_t Index) {
    std::string Seeds;
    for (const SocketAddress &Each : this->Peers)
      Seeds += (Seeds.empty() ? "" : ",") + Each.toString();
    const std::array<std::string, 3> Zones = {"derwent", "wellington", "huon"};
    this->Daemons[Index] = &this->Harness.start(
        "galenarouted", {"--listen", this->Callers[Index].toString(),
                         "--peer-listen", this->Peers[Index].toString(),
                         "--platform", this->Platform.address().toString(),
                         "--zone", Zones.at(Index), "--seeds", Seeds});
    this->Daemons[Index]->setAddress(this->Callers[Index]);
  }

  void pay(std::size_t Daemon, const std::string &Key) {
    KeyAnswers &Answers = this->Keys[Key];
    ++Answers.Pending;
    this->Harness.client().startDetached(
        HttpCallBuilder(this->Callers[Daemon])
            .post("/services/entries-desk/payments", "{\"amount\":5}")
            .header("Authorization", "Bearer marshals-key")
            .header("Idempotency-Key", Key)
            .totalTimeout(10s)
            .build(),
        [&Answers](const HttpResult &Result) {
          --Answers.Pending;
          if (Result.isSuccess()) {
            Answers.Bodies.insert(Result.Body);
            return;
          }
          const json Body = json::parse(Result.Body, nullptr, false);
          const bool NotRun = Result.End == HttpEnd::Complete &&
                              Body.is_object() &&
                              Body["error"]["run"] == "not_run";
          ++(NotRun || Result.End == HttpEnd::ConnectFailed ? Answers.NotRun
                                                            : Answers.Other);
        });
  }

  void injectFault(Program &Of, const json &Fault) {
    this->Harness.client().startDetached(HttpCallBuilder(Of.address())
                                             .post("/admin/fault", Fault.dump())
                                             .build(),
                                         [](const HttpResult &) {});
  }

  /// Injects the faults of one round.
  void injectFaults(int Round) {
    // Daemons 0 and 2 are killed alternately, with calls in flight.
    const std::size_t Victim = Round / 25 % 2 == 0 ? 0 : 2;
    if (Round % 25 == 15)
      this->Daemons[Victim]->signal(SIGKILL);
    if (Round % 25 == 22)
      this->startDaemon(Victim);
    switch (Round) {
    case 20:
    case 100:
      this->injectFault(this->Platform, {{"lose_replies", 5}});
      break;
    case 30:
      this->injectFault(*this->Services[0], {{"lose_replies", 3}, {"drop", 2}});
      break;
    case 55:
      this->Daemons[1]->signal(SIGSTOP);
      this->IsSuspended = true;
      break;
    case 105:
      // By now the other daemons consider it dead and own its ranges.
      this->Daemons[1]->signal(SIGCONT);
      this->IsSuspended = false;
      break;
    case 118:
      this->injectFault(this->Platform, {{"outage_ms", 1000}});
      break;
    case 133:
      this->injectFault(this->Platform,
                        {{"outage_ms", 500}, {"outage_silent", true}});
      break;
    default:
      break;
    }
  }

  void runFor(Duration Time) {
    this->Harness.loop().runUntil([] { return false; }, Time);
  }

  bool allAnswered() const {
    return std::all_of(
        this->Keys.begin(), this->Keys.end(),
        [](const auto &Each) { return Each.second.Pending == 0; });
  }

  /// Returns how often each key ran, summed over all services.
  std::map<std::string, int> runs() {
    std::map<std::string, int> Result;
    for (Program *Each : this->Services) {
      const json Body = this->Harness.getJson(Each->address(), "/admin/runs");
      for (const auto &[Key, Count] : Body.at("runs").items())
        Result[Key] += Count.get<int>();
    }
    return Result;
  }

  ProcessHarness Harness{GALENAROUTE_BUILD_DIR};
  Program &Platform;
  std::vector<Program *> Services;
  std::vector<SocketAddress> Callers;
  std::vector<SocketAddress> Peers;
  std::vector<Program *> Daemons;
  std::map<std::string, KeyAnswers> Keys;
  bool IsSuspended = false;
};

// Guards against a payment that runs twice, or runs after it was answered "not
// run".
TEST_F(AtMostOnceTest, NoPaymentRunsTwiceUnderFaults) {
  constexpr int Rounds = 150;
  std::mt19937_64 Random(20240229);
  for (int Round = 0; Round < Rounds; ++Round) {
    this->injectFaults(Round);
    // Each key is used by about four calls, some of them concurrent.
    for (int I = 0; I < 3; ++I) {
      const std::size_t Daemon = Random() % 3;
      if (Daemon != 1 || !this->IsSuspended || Random() % 4 == 0)
        this->pay(Daemon,
                  "pay-" + std::to_string(Round * 3 / 4 +
                                          static_cast<int>(Random() % 4)));
    }
    this->runFor(80ms);
  }
  this->Harness.waitFor(
      "all answers", [&] { return this->allAnswered(); }, 30s);
  this->runFor(3s);

  int Ran = 0;
  int Refused = 0;
  std::map<std::string, int> Runs = this->runs();
  for (const auto &[Key, Answers] : this->Keys) {
    EXPECT_LE(Runs[Key], 1) << Key;
    Ran += Runs[Key];
    Refused += Answers.NotRun;
    // All successful responses for one key are equal.
    EXPECT_LE(Answers.Bodies.size(), 1U) << Key;
    if (!Answers.Bodies.empty()) {
      EXPECT_EQ(Runs[Key], 1) << Key;
    } else if (Answers.Other == 0) {
      EXPECT_EQ(Runs[Key], 0) << Key << " ran after \"not run\"";
    }
  }
  // Payments must still succeed under faults.
  EXPECT_GT(Ran, Rounds / 4);
  EXPECT_GT(Refused, 0);

  // After the faults a repeat gets the first response, or the answer "may have
  // run" if the daemon was killed before the outcome was durable.
  std::vector<std::string> Sample;
  for (const auto &[Key, Answers] : this->Keys)
    Sample.push_back(Key);
  for (const std::string &Key : Sample)
    this->pay(Random() % 3, Key);
  this->Harness.waitFor(
      "all answers", [&] { return this->allAnswered(); }, 30s);
  this->runFor(500ms);
  std::size_t Answered = 0;
  for (const auto &[Key, Count] : this->runs())
    EXPECT_EQ(Count, 1) << Key;
  for (const auto &[Key, Answers] : this->Keys) {
    EXPECT_LE(Answers.Bodies.size(), 1U) << Key;
    Answered += Answers.Bodies.size();
  }
  EXPECT_GT(Answered, this->Keys.size() / 2);
  RecordProperty("keys", static_cast<int>(this->Keys.size()));
  RecordProperty("ran_under_faults", Ran);
  RecordProperty("refused", Refused);
  RecordProperty("answered", static_cast<int>(Answered));
}

} // namespace
} // namespace galenaroute::testing_support
