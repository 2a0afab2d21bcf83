// Tests the limit of connections to an upstream, which the gateways share.

#include "GatewayFleet.h"
#include "LimitedUpstreams.h"

#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;

// Guards against each side of a network partition opening all connections that
// the upstream accepts.
TEST(ConnectionShareTest, GatewaysThatAreNotHeardKeepTheirShare) {
  constexpr std::size_t MaxConnections = 40;
  GatewayFleet Fleet(4);
  Fleet.Loop.runUntil([] { return false; }, 100ms);
  nlohmann::json Config = plainConfig();
  Config["version"] = 2;
  Config["services"][0]["maxConns"] = MaxConnections;
  Fleet.Api.put({"config", "main"}, Config,
                Fleet.Api.read({"config", "main"}).Object.Version,
                [](const PlatformResult &) {});
  LimitedUpstream Upstream(Fleet.Loop, /*RunTime=*/1s);
  Fleet.registerUpstream("u", Upstream.address());
  ASSERT_TRUE(Fleet.Loop.runUntil([&] { return Fleet.isReady(); }, 3s));
  Fleet.Loop.runUntil([] { return false; }, 1s);
  Fleet.stop(2);
  Fleet.stop(3);
  // Longer than it takes to consider them dead.
  Fleet.Loop.runUntil([] { return false; }, 3s);
  SteadyCallers Callers(Fleet.Loop, 2, [&](std::size_t Gateway) {
    return Fleet.callerAddress(Gateway);
  });
  Callers.start(5ms);
  Fleet.Loop.runUntil([] { return false; }, 900ms);
  // No call has ended yet, so each has a connection of its own.
  const std::size_t Open = Upstream.Seen.arrivals().size();
  EXPECT_LE(Open, MaxConnections / 2);
  EXPECT_GE(Open, MaxConnections / 2 - 2);
}

// Guards against a gateway that takes the whole limit for itself because it
// cannot hear the others before its address for gossip is free.
TEST(ConnectionShareTest, AGatewayThatWaitsForItsGossipAddressKeepsToItsShare) {
  constexpr std::size_t MaxConnections = 40;
  GatewayFleet Fleet(4);
  Fleet.stop(0);
  std::optional<EntryChannel> Predecessor;
  Predecessor.emplace(Fleet.Loop, Fleet.gossipAddress(0),
                      [](const GossipMessage &) {});
  Fleet.start(0);
  Fleet.Loop.runUntil([] { return false; }, 100ms);
  nlohmann::json Config = plainConfig();
  Config["version"] = 2;
  Config["services"][0]["maxConns"] = MaxConnections;
  Fleet.Api.put({"config", "main"}, Config,
                Fleet.Api.read({"config", "main"}).Object.Version,
                [](const PlatformResult &) {});
  LimitedUpstream Upstream(Fleet.Loop, /*RunTime=*/1s);
  Fleet.registerUpstream("u", Upstream.address());
  EXPECT_FALSE(Fleet.Loop.runUntil([&] { return Fleet.isReady(); }, 2s));
  SteadyCallers Callers(Fleet.Loop, 1, [&](std::size_t Gateway) {
    return Fleet.callerAddress(Gateway);
  });
  Callers.start(5ms);
  Fleet.Loop.runUntil([] { return false; }, 900ms);
  Callers.stop();
  // No call has ended yet, so each has a connection of its own.
  const std::size_t Open = Upstream.Seen.arrivals().size();
  EXPECT_LE(Open, MaxConnections / Fleet.size());
  EXPECT_GT(Open, 0U);
  Predecessor.reset();
  EXPECT_TRUE(Fleet.Loop.runUntil([&] { return Fleet.isReady(); }, 2s));
}

} // namespace
} // namespace galenaroute
