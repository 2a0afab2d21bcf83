// Tests that all gateways of a fleet agree when a weight version was announced.

#include "WeightsFleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;

std::string textOf(const WeightsFleet &Fleet) {
  std::string Text;
  for (const std::string &Each : Fleet.problems())
    Text += "\n" + Each;
  return Text;
}

// Guards against a check that never applies.
TEST(WeightsFleetTest, AnUndisturbedFleetUsesOlderWeightsForTheirTime) {
  for (const std::size_t Gateways : {6, 36, 300}) {
    WeightsFleet Fleet({.Gateways = Gateways});
    Fleet.at(4s, [&] { Fleet.name(); });
    Fleet.run(24s);
    EXPECT_EQ(textOf(Fleet), "");
    // Every 200 ms for 9 s, and from 12 s until the end.
    EXPECT_GE(Fleet.allowedChecks(), Gateways * 44);
    EXPECT_GE(Fleet.outdatedChecks(), Gateways * 38);
  }
}

// Guards against a gateway that dates a version by the end of its own freeze.
TEST(WeightsFleetTest, GatewaysFrozenOverANamingKeepTheLimit) {
  for (const std::size_t Gateways : {6, 36, 300}) {
    WeightsFleet Fleet({.Gateways = Gateways});
    for (const std::size_t Each : {0, 1})
      Fleet.at(3500ms, [&Fleet, Each] { Fleet.freeze(Each, 6500ms); });
    Fleet.at(4s, [&] { Fleet.name(); });
    Fleet.run(24s);
    EXPECT_EQ(textOf(Fleet), "");
  }
}

// Guards against a fleet that has only the stored date after a restart of all,
// and dates the version anew when it reads it once more.
TEST(WeightsFleetTest, AFleetThatRestartsAndListsAgainKeepsTheLimit) {
  WeightsFleet Fleet({});
  Fleet.at(4s, [&] { Fleet.name(); });
  Fleet.at(9s, [&] {
    for (std::size_t I = 0; I < Fleet.gatewayCount(); ++I)
      Fleet.restart(I, 500ms);
  });
  Fleet.at(11s, [&] { Fleet.listAgain(); });
  Fleet.run(30s);
  EXPECT_EQ(textOf(Fleet), "");
}

// Guards against gateways that the store does not answer when a version is
// named, and that date it by the end of that: where the others have started
// since and have no date of their own, all use older weights too long.
TEST(WeightsFleetTest, GatewaysCutFromTheStoreOverANamingKeepTheLimit) {
  for (const std::size_t Gateways : {6, 36})
    for (const bool HearPeers : {false, true}) {
      WeightsFleet Fleet({.Gateways = Gateways, .WriteLossShare = 1});
      for (const std::size_t Each : {0, 1})
        Fleet.at(3500ms, [&Fleet, Each, HearPeers] {
          Fleet.cutFromStore(Each, 8500ms);
          Fleet.cut(Each, HearPeers ? 4s : 8500ms);
        });
      Fleet.at(4s, [&] { Fleet.name(); });
      Fleet.at(6s, [&] {
        for (std::size_t I = 2; I < Fleet.gatewayCount(); ++I)
          Fleet.restart(I, 300ms);
      });
      Fleet.run(30s);
      EXPECT_EQ(textOf(Fleet), "") << Gateways << " gateways";
    }
}

// Guards against a date at the begin of an outage of the store for a version
// that is named when it is back, with which all older weights would be refused
// before others are loaded.
TEST(WeightsFleetTest, AVersionNamedAfterAnOutageIsDatedByItsNaming) {
  WeightsFleet Fleet({});
  Fleet.at(4s, [&] { Fleet.endStore(9s); });
  Fleet.at(13100ms, [&] { Fleet.name(); });
  Fleet.run(17s);
  EXPECT_EQ(Fleet.countAllowingOlder(), Fleet.gatewayCount());
  Fleet.run(30s);
  EXPECT_EQ(textOf(Fleet), "");
  EXPECT_EQ(Fleet.countAllowingOlder(), 0U);
}

/// One random fault of a fleet.
struct FleetFault {
  Duration At{};
  int Kind = 0;
  std::size_t Gateway = 0;
  Duration For{};
};

void strike(WeightsFleet &Fleet, const FleetFault &Fault) {
  const std::size_t Target = Fault.Gateway % Fleet.gatewayCount();
  switch (Fault.Kind) {
  case 0:
    Fleet.restart(Target, Fault.For / 4);
    return;
  case 1:
    Fleet.freeze(Target, Fault.For);
    return;
  case 2:
    Fleet.cut(Target, Fault.For);
    return;
  case 3:
    Fleet.cutFromStore(Target, Fault.For);
    return;
  case 4:
    Fleet.addGateway();
    return;
  case 5:
    Fleet.split(2 + Fault.Gateway % 2, Fault.For);
    return;
  case 6:
    Fleet.endStore(Fault.For);
    return;
  case 7: // A zone.
    for (std::size_t I = Target % 3; I < Fleet.gatewayCount(); I += 3)
      Fleet.freeze(I, Fault.For);
    return;
  case 8:
    Fleet.listAgain();
    return;
  default:
    for (std::size_t I = 0; I < Fleet.gatewayCount(); ++I)
      Fleet.restart(I, Fault.For / 4);
  }
}

std::size_t drawFleetSize() {
  return *rc::gen::weightedElement<std::size_t>({{86, 6}, {12, 36}, {2, 300}});
}

RC_GTEST_PROP(WeightsFleetProperty, ADrawnFleetKeepsTheLimitOfEachVersion, ()) {
  const auto Millis = [](int From, int To) {
    // The whole range from the first case on.
    return rc::gen::map(
        rc::gen::resize(rc::kNominalSize, rc::gen::inRange(From, To)),
        [](int Value) { return Milliseconds(Value); });
  };
  WeightsFleetSettings Settings;
  Settings.Gateways = drawFleetSize();
  Settings.Limit = *Millis(6000, 15000);
  Settings.LossShare = *rc::gen::inRange(0, 10) / 100.0;
  Settings.WriteLossShare = *rc::gen::inRange(0, 101) / 100.0;
  Settings.MaxWriteDelay = *Millis(0, 6000);
  Settings.Seed = static_cast<std::uint64_t>(*rc::gen::inRange(0, 1 << 30));
  WeightsFleet Fleet(Settings);
  std::vector<Duration> NamedAt;
  Duration At = 8s;
  for (int Namings = *rc::gen::inRange(1, 4); Namings > 0; --Namings) {
    NamedAt.push_back(At);
    Fleet.at(At, [&Fleet] { Fleet.name(); });
    At += *Millis(200, 6000);
  }
  // Faults before, during and after one of the namings.
  const int Faults = *rc::gen::inRange(0, 10);
  for (int I = 0; I < Faults; ++I) {
    const Duration Anchor = *rc::gen::elementOf(NamedAt);
    const FleetFault Fault{
        .At = Anchor + *Millis(-7000, 12000),
        .Kind = *rc::gen::weightedElement<int>({{3, 0},
                                                {3, 1},
                                                {2, 2},
                                                {2, 3},
                                                {1, 4},
                                                {1, 5},
                                                {1, 6},
                                                {1, 7},
                                                {3, 8},
                                                {2, 9}}),
        .Gateway = static_cast<std::size_t>(*rc::gen::inRange(0, 1000)),
        .For = *Millis(100, 9000)};
    Fleet.at(Fault.At, [&Fleet, Fault] { strike(Fleet, Fault); });
  }
  Fleet.run(NamedAt.back() + Settings.Limit + 8s);
  if (!Fleet.problems().empty())
    RC_FAIL(textOf(Fleet));
}

} // namespace
} // namespace galenaroute
