// Tests of what gateways of other builds are known to do.

#include "process/BuildVersion.h"
#include "process/EntryGossip.h"
#include "process/GossipMessages.h"
#include "process/Metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using testing::HasSubstr;

EntryRecord recordOf(const std::string &Id, std::uint64_t Heartbeat) {
  EntryRecord Result;
  Result.Id = Id;
  Result.Heartbeat = Heartbeat;
  Result.Callers = Result.Gossip = {"10.0.0.1", 80};
  Result.Level = OwnLevel;
  return Result;
}

/// Returns the records as a build sends them that knows \p Fields of each.
std::vector<EntryRecord> sentWith(std::size_t Fields,
                                  const std::vector<EntryRecord> &Records) {
  const std::string Bytes = encodeGossip({.Records = Records});
  json Message = json::from_cbor(Bytes.begin(), Bytes.end());
  for (json &Each : Message)
    while (Each.size() > Fields)
      Each.erase(Each.size() - 1);
  const std::vector<std::uint8_t> Sent = json::to_cbor(Message);
  return decodeGossip(
             {reinterpret_cast<const char *>(Sent.data()), Sent.size()})
      .Records;
}

// Guards against records of streams that are told to builds which drop them.
TEST(FleetRulesTest, TheFieldsOfARecordTellWhichRulesItsBuildKeeps) {
  struct Case {
    std::size_t Fields;
    bool KeepsStreamRecords;
  };
  for (const Case &Each :
       {Case{11, false}, {14, false}, {15, true}, {16, true}})
    EXPECT_EQ(keeps(sentWith(Each.Fields, {recordOf("n1", 1)}).at(0).Level,
                    FleetRule::StreamRecords),
              Each.KeepsStreamRecords)
        << Each.Fields;
}

// Guards against a build that is judged by what another one has left out of,
// or added to, its record.
TEST(FleetRulesTest, AForwardedRecordDoesNotTellTheLevel) {
  const auto Forwarded =
      sentWith(15, {recordOf("n1", 1), recordOf("n2", 1)}).at(1);
  EXPECT_FALSE(keeps(Forwarded.Level, FleetRule::StreamRecords));
}

// Guards against a level that changes with each message, while builds that do
// not know it forward the record.
TEST(FleetRulesTest, TheLevelOfAProcessIsKept) {
  EntryGossip Gossip(recordOf("n0", 1), {});
  const TimePoint Now(10s);
  Gossip.receive(sentWith(16, {recordOf("n1", 1)}), Now);
  Gossip.receive(sentWith(14, {recordOf("n2", 1), recordOf("n1", 2)}), Now);
  ASSERT_NE(Gossip.find("n1"), nullptr);
  EXPECT_EQ(Gossip.find("n1")->Heartbeat, 2U);
  EXPECT_EQ(Gossip.find("n1")->Level, OwnLevel);
  // A successor of an earlier build.
  EntryRecord Successor = recordOf("n1", 1);
  Successor.Incarnation = 7;
  Gossip.receive(sentWith(14, {Successor}), Now);
  EXPECT_EQ(Gossip.find("n1")->Level, 0U);
}

// Guards against a count that stays after the last gateway of a build has gone.
TEST(FleetRulesTest, MetricsTellTheBuildAndTheLevelsOfTheFleet) {
  Metrics Stats;
  EXPECT_THAT(Stats.toText(), HasSubstr("galenaroute_build_info{build=\"" +
                                        std::string(buildVersion()) + "\"} 1"));
  Stats.gatewaysByLevel({{0, 3}, {2, 1}});
  EXPECT_THAT(Stats.toText(),
              HasSubstr("galenaroute_gateways{level=\"0\"} 3\n"));
  Stats.gatewaysByLevel({{2, 4}});
  EXPECT_THAT(Stats.toText(),
              HasSubstr("galenaroute_gateways{level=\"0\"} 0\n"));
  EXPECT_THAT(Stats.toText(),
              HasSubstr("galenaroute_gateways{level=\"2\"} 4\n"));
}

} // namespace
} // namespace galenaroute
