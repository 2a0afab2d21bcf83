// Tests of the stored form of configurations.

#include "ConfigGenerators.h"
#include "process/ErrorKind.h"
#include "version/ConfigDiff.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

using testing_support::genConfiguration;

// Guards against a daemon that reads a different configuration than was
// applied.
RC_GTEST_PROP(ConfigObjectsProperties, StoredVersionReadsBackEqual, ()) {
  const Configuration Config = *genConfiguration();
  const ConfigVersionPtr Stored = encodeVersion(Config, 7, "writer");
  const Manifest ManifestData = manifestFromJson(toJson(Stored->ManifestData));
  const ConfigVersionPtr Read = assembleVersion(ManifestData, Stored->Objects);
  RC_ASSERT(Read->Hash == Stored->Hash);
  RC_ASSERT(*Read->Config == *Stored->Config);
  RC_ASSERT(Read->Config->Epoch == 7U);
}

// Guards against damaged manifests and objects that crash a daemon or come
// into force.
RC_GTEST_PROP(ConfigObjectsProperties, DamagedObjectIsRejected, ()) {
  const ConfigVersionPtr Stored =
      encodeVersion(*genConfiguration(), 7, "writer");
  ObjectMap Objects = Stored->Objects;
  auto &Victim =
      std::next(Objects.begin(),
                *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(Objects)))
          ->second;
  std::string Text = *Victim;
  char &Byte = Text[*rc::gen::inRange<std::size_t>(0, Text.size())];
  Byte = static_cast<char>(Byte ^ *rc::gen::inRange(1, 256));
  Victim = std::make_shared<const std::string>(Text);
  RC_ASSERT_THROWS_AS(assembleVersion(Stored->ManifestData, Objects), Error);

  // Other damage: a manifest with a replaced field, and malformed records with
  // a correct hash.
  nlohmann::json ManifestData = toJson(Stored->ManifestData);
  const auto Field =
      *rc::gen::element<std::string>("epoch", "writer", "objects", "history");
  ManifestData[Field] = *rc::gen::element<nlohmann::json>(
      nullptr, -1, "x", nlohmann::json::array({1}),
      nlohmann::json::object({{"a", 1}}));
  try {
    manifestFromJson(ManifestData);
  } catch (const Error &) {
  }
  ConfigRecords Records = toRecords(*Stored->Config);
  for (auto &[Key, Record] : Records)
    if (*rc::gen::inRange(0, 4) == 0)
      Record = *rc::gen::element<nlohmann::json>(nullptr, 1, "x",
                                                 nlohmann::json::object());
  try {
    fromRecords(Records);
  } catch (const Error &) {
  }
}

// Guards against a change in a large configuration that rewrites more than one
// object: this bounds the configuration traffic of every daemon.
TEST(ConfigObjectsTest, OneChangeRewritesOneSmallObject) {
  Configuration Config;
  Config.Deployment = {"large", "r", {"z"}};
  ServiceConfig &Service = Config.Services["s"];
  Service.Name = "s";
  for (int I = 0; I < 6900; ++I)
    Service.Upstreams.push_back(
        {"up-" + std::to_string(10000 + I),
         {"10.0.0.1", static_cast<std::uint16_t>(I + 1)},
         "z"});
  const ConfigVersionPtr Before = encodeVersion(Config, 1, "a");
  Service.Upstreams[1234].State = UpstreamState::Leaving;
  const ConfigVersionPtr After = encodeVersion(Config, 2, "b");
  const auto Missing = missingObjects(After->ManifestData, Before->Objects);
  ASSERT_EQ(Missing.size(), 1U);
  EXPECT_LT(After->Objects.at(Missing[0])->size(), 8U << 10);
  EXPECT_LT(toJson(After->ManifestData).dump().size(), 64U << 10);
}

TEST(ConfigDiffTest, ReportsRecordsAndFields) {
  Configuration Before, After;
  Before.Customers["a"] = {"a", "", 1, 64};
  Before.Customers["b"] = {"b", "", 1, 64};
  After.Customers["a"] = {"a", "", 2, 64};
  After.Stores["s"] = {"s", {"127.0.0.1", 1}, "z", 10};
  std::vector<std::string> Lines;
  for (const ConfigChange &Each : diffConfigurations(Before, After))
    Lines.push_back(toText(Each));
  ASSERT_EQ(Lines.size(), 3U);
  EXPECT_EQ(Lines[0], "- customer/b");
  EXPECT_EQ(Lines[1], "~ customer/a weight: 1.0 -> 2.0");
  EXPECT_EQ(Lines[2].substr(0, 9), "+ store/s");
}

} // namespace
} // namespace galenaroute
