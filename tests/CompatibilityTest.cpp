// Tests that this build reads what gateways of earlier builds store and send,
// as recorded by galenaroute-record-build. See docs/compatibility.md.

#include "FakePlatform.h"
#include "process/GossipMessages.h"
#include "process/SoftwareVersionStore.h"
#include "process/StreamOriginStore.h"
#include "version/Lease.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;
using nlohmann::json;

/// By the name of the file, which is the build's commit.
std::map<std::string, json> recordedBuilds() {
  std::map<std::string, json> Result;
  for (const auto &Each :
       std::filesystem::directory_iterator(GALENAROUTE_RECORDED))
    Result[Each.path().stem()] = json::parse(std::ifstream(Each.path()));
  return Result;
}

std::string bytesOf(const json &Hex) {
  const std::string Digits = Hex;
  std::string Result;
  for (std::size_t I = 0; I + 1 < Digits.size(); I += 2)
    Result += static_cast<char>(std::stoi(Digits.substr(I, 2), nullptr, 16));
  return Result;
}

/// Returns whether \p Message holds what its kind says.
bool isOfKind(const GossipMessage &Message, const std::string &Kind) {
  const std::map<std::string, bool> Holds = {
      {"records", !Message.Records.empty()},
      {"status", !Message.Status.From.empty()},
      {"digest", !Message.Digest.From.empty()},
      {"added", !Message.Added.From.empty()},
      {"store", Message.Store.has_value()},
      {"objects", Message.Objects.has_value()},
      {"crashes", !Message.Crashes.empty()},
      {"weights", !Message.Weights.empty()},
      {"rates", !Message.Rates.From.empty()},
      {"streams", !Message.Streams.empty()}};
  return Holds.at(Kind);
}

// Guards against a change of a message that gateways of earlier builds still
// send as before.
TEST(CompatibilityTest, MessagesOfEarlierBuildsAreRead) {
  const auto Builds = recordedBuilds();
  ASSERT_GE(Builds.size(), 2U);
  for (const auto &[Build, Recorded] : Builds) {
    const json &Messages = Recorded.at("messages");
    for (const char *Kind : {"records", "status", "weights"})
      EXPECT_TRUE(Messages.contains(Kind)) << Build << " " << Kind;
    for (const auto &[Kind, Hex] : Messages.items())
      EXPECT_TRUE(isOfKind(decodeGossip(bytesOf(Hex)), Kind))
          << Build << " " << Kind;
  }
}

// Guards against records of streams that are told to a build which drops them,
// or are not told to one that keeps them.
TEST(CompatibilityTest, TheRulesOfEarlierBuildsAreKnown) {
  for (const auto &[Build, Recorded] : recordedBuilds()) {
    const json &Messages = Recorded.at("messages");
    const EntryRecord Sender =
        decodeGossip(bytesOf(Messages.at("records"))).Records.at(0);
    EXPECT_EQ(keeps(Sender.Level, FleetRule::StreamRecords),
              Messages.contains("streams"))
        << Build;
    EXPECT_EQ(keeps(Sender.Level, FleetRule::SettledVersions),
              Recorded.at("objects").contains("software-versions"))
        << Build;
    // Both builds date late what they missed while they were cut off.
    EXPECT_FALSE(
        keeps(decodeGossip(bytesOf(Messages.at("weights"))).WeightsLevel,
              FleetRule::CautiousDates))
        << Build;
  }
}

TEST(CompatibilityTest, LeasesOfEarlierBuildsAreRead) {
  for (const auto &[Build, Recorded] : recordedBuilds())
    for (const auto &[Name, Spec] : Recorded.at("objects").at("lease").items())
      EXPECT_GT(leaseFromJson(Spec).Fence, 0U) << Build << " " << Name;
}

// Guards against streams of earlier builds that cannot be taken up, and against
// a version that counts as the only one since the set of an earlier build is
// not read.
TEST(CompatibilityTest, VersionsAndStreamsOfEarlierBuildsAreKnown) {
  for (const auto &[Build, Recorded] : recordedBuilds()) {
    EventLoop Loop;
    FakePlatform Api;
    Api.Store->Era = 1;
    for (const auto &[Kind, Objects] : Recorded.at("objects").items())
      for (const auto &[Name, Spec] : Objects.items())
        Api.Store->write({Kind, Name}, Spec);
    StreamOrigins Streams;
    std::unique_ptr<StreamOriginStore> Store;
    SoftwareVersionStore Sets(
        {.Loop = Loop,
         .Api = Api,
         .RegisteredVersions =
             [] {
               return VersionsByService{{"d", {"2"}}};
             },
         .IsRegistryCurrent = [] { return true; },
         .HasEarlierSets = [&] { return Store->hasListed(); }});
    Store = std::make_unique<StreamOriginStore>(StreamOriginStoreParts{
        .Loop = Loop,
        .Api = Api,
        .Streams = Streams,
        .NodeId = "n9",
        .NeedsRecords = [&] { return Sets.needsRecords(); },
        .GatewayCount = [] { return std::size_t{3}; },
        .OnEarlierSet =
            [&](const std::string &Service,
                const std::set<std::string> &Versions) {
              Sets.noteEarlierSet(Service, Versions);
            }});
    std::size_t Found = 0;
    Store->Listed.connect([&](const StreamOrigins *Listed) {
      if (!Listed)
        return;
      for (const auto &[Key, Each] : Listed->records())
        Found += Each.Origin.Service == "d";
    });
    Sets.setServices({{"d"}});
    Sets.start();
    Store->start();
    const auto Drain = Loop.timers().every(2ms, [&] { Api.drain(10); });
    Loop.runUntil([] { return false; }, 500ms);
    EXPECT_GT(Found, 0U) << Build;
    EXPECT_TRUE(Sets.needsRecords()) << Build;
    EXPECT_EQ(Sets.onlyVersion("d"), std::nullopt) << Build;
    const json &Set =
        Api.Store->Objects["software-versions"].at(eraName("d", 1)).Value;
    std::set<std::string> Versions;
    for (const json &Each : Set.at("versions"))
      Versions.insert(Each.at("version").get<std::string>());
    EXPECT_EQ(Versions, (std::set<std::string>{"1", "2"})) << Build;
    // A set that a build has stored keeps what it says of itself; the one that
    // this build derives from an older kind has no gap.
    const json &Objects = Recorded.at("objects");
    const json Expected =
        Objects.contains("software-versions")
            ? Objects["software-versions"][eraName("d", 1)]["complete_since_ms"]
            : json(0);
    EXPECT_EQ(Set.at("complete_since_ms"), Expected) << Build;
    sigc::connection(Drain).disconnect();
  }
}

} // namespace
} // namespace galenaroute
