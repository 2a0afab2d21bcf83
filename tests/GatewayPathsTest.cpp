// Which gateway a call goes over while the path to its upstreams is cut.

#include "process/GatewayPaths.h"
#include "process/GossipMessages.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

class GatewayPathsTest : public testing::Test {
protected:
  GatewayPathsTest() {
    for (const char *Id : {"u0", "u1"})
      this->Upstreams.put(
          {.Id = Id, .Service = "s", .Address = {"127.0.0.1", 1}},
          EventLoop::now());
  }

  void hear(
      const std::string &Id, const std::string &Zone,
      const std::function<void(EntryRecord &)> &Change = [](EntryRecord &) {}) {
    EntryRecord Record;
    Record.Id = Id;
    Record.Heartbeat = ++this->Heartbeat;
    Record.Zone = Zone;
    Record.Gossip = {Id, 1};
    Record.IsReady = true;
    Record.Heard = {useKey("s")};
    Change(Record);
    this->Entries.receive(std::vector{Record}, EventLoop::now());
  }
  void cut() {
    this->Paths.update();
    for (const char *Id : {"u0", "u1"})
      this->Paths.note("s", Id, PathEvent::ConnectFailed);
    this->Loop.runUntil([] { return false; }, 160ms);
    this->Paths.update();
    ASSERT_TRUE(this->Paths.isCut("s"));
  }
  /// Returns the host of the helper for a call, or nothing if it goes directly.
  std::string helper() {
    const UpstreamPath Path =
        this->Paths.pathTo(*this->Upstreams.find("u0"), 60s, false);
    return Path.Helper ? Path.Helper->Address.Host : "";
  }

  EventLoop Loop;
  UpstreamPool Pool{Loop};
  UpstreamTable Upstreams{{}, [](const UpstreamEntry &) {
                            return UpstreamTable::ConnectionCapacity{};
                          }};
  EntryGossip Entries{EntryRecord{.Id = "self", .Zone = "z"}, {}};
  Metrics Stats;
  int Changes = 0;
  GatewayPaths Paths{
      {.Pool = Pool,
       .Upstreams = Upstreams,
       .Entries = Entries,
       .Stats = Stats,
       .OnChanged = [this](const std::string &) { ++this->Changes; }}};
  std::uint64_t Heartbeat = 0;
};

TEST_F(GatewayPathsTest, HelpersOfTheOwnZoneComeFirst) {
  for (const char *Id : {"far0", "far1", "far2", "far3"})
    this->hear(Id, "y");
  this->hear("near", "z");
  EXPECT_EQ(this->helper(), "");
  this->cut();
  EXPECT_EQ(this->Changes, 1);
  EXPECT_EQ(this->helper(), "near");
  this->Paths.noteHelperFailed({"near", 1});
  EXPECT_TRUE(this->helper().starts_with("far"));
}

TEST_F(GatewayPathsTest, GatewaysThatCannotHelpAreNotAsked) {
  this->hear("a", "z");
  this->cut();
  EXPECT_EQ(this->helper(), "a");
  this->hear("a", "z", [](EntryRecord &Each) { Each.Heard.clear(); });
  EXPECT_EQ(this->helper(), "");
  this->hear("a", "z", [](EntryRecord &Each) { Each.IsReady = false; });
  EXPECT_EQ(this->helper(), "");
  this->hear("a", "z", [](EntryRecord &Each) { Each.IsLeaving = true; });
  EXPECT_EQ(this->helper(), "");
}

// Guards against cut gateways that help each other.
TEST_F(GatewayPathsTest, ACutGatewayDoesNotClaimToHearTheService) {
  this->hear("a", "z");
  this->Paths.note("s", "u0", PathEvent::Heard);
  EXPECT_EQ(this->Paths.heardServices(), std::vector{useKey("s")});
  this->cut();
  EXPECT_TRUE(this->Paths.heardServices().empty());
}

// Guards against a gateway that stops while it is cut off, whose calls nobody
// relays.
TEST_F(GatewayPathsTest, AGatewayThatLeavesStaysKnown) {
  this->hear("a", "z", [](EntryRecord &Each) { Each.IsLeaving = true; });
  EXPECT_TRUE(this->Entries.isKnownHost("a"));
  EXPECT_FALSE(this->Entries.isKnownHost("b"));
}

TEST_F(GatewayPathsTest, RecordsTellABoundedNumberOfServices) {
  EntryRecord Record;
  Record.Callers = Record.Gossip = {"127.0.0.1", 1};
  Record.Heard.assign(100, 7);
  const GossipMessage Read = decodeGossip(encodeGossip({.Records = {Record}}));
  EXPECT_EQ(Read.Records.at(0).Heard,
            std::vector<std::uint32_t>(MaxHeardServices, 7));
  nlohmann::json Older =
      nlohmann::json::from_cbor(encodeGossip({.Records = {Record}}));
  while (Older.at(0).size() > 14)
    Older.at(0).erase(Older.at(0).size() - 1);
  const auto Bytes = nlohmann::json::to_cbor(Older);
  EXPECT_TRUE(
      decodeGossip({reinterpret_cast<const char *>(Bytes.data()), Bytes.size()})
          .Records.at(0)
          .Heard.empty());
}

} // namespace
} // namespace galenaroute
