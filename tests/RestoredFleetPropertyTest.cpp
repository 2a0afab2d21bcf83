// Tests that a fleet follows a platform that is restored from copies.

#include "RestoredFleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;

std::string textOf(const RestoredFleet &Fleet) {
  std::string Text;
  for (const std::string &Each : Fleet.problems())
    Text += "\n" + Each;
  return Text;
}

/// The time that a fleet gets at the end of a script: a lease is acquired in a
/// new era within two terms.
constexpr Duration QuietTime = 9s;

// Guards against checks that never apply.
TEST(RestoredFleetTest, AnUndisturbedFleetIsChecked) {
  for (const std::size_t Processes : {6, 36, 300}) {
    RestoredFleet Fleet({.Processes = Processes});
    Fleet.at(2s, [&] { Fleet.configure(); });
    Fleet.at(3s, [&] { Fleet.keepCopy(); });
    Fleet.at(4s, [&] { Fleet.configure(); });
    Fleet.at(6s, [&] { Fleet.restore(300ms, 200ms); });
    Fleet.run(6s + QuietTime);
    EXPECT_EQ(textOf(Fleet), "");
    // In each tick from 2 s after the last write on.
    EXPECT_GT(Fleet.checks(), Processes * 60);
    EXPECT_GT(Fleet.actions(), 0);
  }
}

// Guards against processes that watch from a revision which the restored store
// has given out again, and against a holder that finds its old record.
TEST(RestoredFleetTest, ProcessesThatStandStillOverARestoration) {
  for (const std::size_t Processes : {6, 36, 300})
    for (const int Written : {0, 12}) {
      RestoredFleet Fleet({.Processes = Processes});
      Fleet.at(10s, [&] { Fleet.keepCopy(); });
      Fleet.at(10500ms, [&] {
        Fleet.configure();
        for (std::size_t I = 0; I < 5; ++I)
          Fleet.writeServer(I);
      });
      for (const std::size_t Each : {0, 4})
        Fleet.at(13s, [&Fleet, Each] { Fleet.freeze(Each, 9s); });
      Fleet.at(20s, [&] { Fleet.restore(200ms, 400ms); });
      // The first writes of the new era, below the last revision of the former.
      Fleet.at(20s, [&] { Fleet.configure(); });
      Fleet.at(21s, [&Fleet, Written] {
        for (int I = 0; I < Written; ++I)
          Fleet.writeServer(7);
      });
      Fleet.run(22s + QuietTime);
      EXPECT_EQ(textOf(Fleet), "") << Processes << ", " << Written;
    }
}

/// One random event of a fleet.
struct FleetEvent {
  Duration At{};
  int Kind = 0;
  std::size_t Number = 0;
  Duration For{};
};

void apply(RestoredFleet &Fleet, const FleetEvent &Event) {
  const std::size_t Target = Event.Number % Fleet.size();
  switch (Event.Kind) {
  case 0:
    Fleet.restart(Target);
    return;
  case 1:
    Fleet.freeze(Target, Event.For);
    return;
  case 2:
    Fleet.cutFromStore(Target, Event.For);
    return;
  case 3:
    Fleet.cutFromPeers(Target, Event.For);
    return;
  case 4: // A zone.
    for (std::size_t I = Target % 3; I < Fleet.size(); I += 3)
      Fleet.freeze(I, Event.For);
    return;
  case 5:
    Fleet.loseReply(Target);
    return;
  case 6: // The first ones hold the lease.
    Fleet.freeze(Target % 2, Event.For);
    return;
  case 7:
    Fleet.configure();
    return;
  case 8:
    Fleet.removeServer(Event.Number % 8);
    return;
  default:
    for (std::size_t I = 0; I < Event.Number % 12; ++I)
      Fleet.writeServer(I % 8);
  }
}

std::size_t drawFleetSize() {
  return *rc::gen::weightedElement<std::size_t>({{86, 6}, {12, 36}, {2, 300}});
}

RC_GTEST_PROP(RestoredFleetProperty, ADrawnFleetFollowsARestoredPlatform, ()) {
  const auto Millis = [](int From, int To) {
    // The whole range from the first case on.
    return rc::gen::map(
        rc::gen::resize(rc::kNominalSize, rc::gen::inRange(From, To)),
        [](int Value) { return Milliseconds(Value); });
  };
  RestoredFleet Fleet({.Processes = drawFleetSize()});
  std::vector<Duration> RestoredAt;
  Duration At = 8s;
  for (int Count = *rc::gen::inRange(1, 5); Count > 0; --Count) {
    Fleet.at(At - *Millis(100, 6000), [&Fleet] { Fleet.keepCopy(); });
    Fleet.at(At, [&Fleet, Away = *Millis(0, 1500), Delay = *Millis(0, 1000)] {
      Fleet.restore(Away, Delay);
    });
    RestoredAt.push_back(At);
    At += *Millis(300, 9000);
  }
  Duration End = At;
  for (int Count = *rc::gen::inRange(0, 20); Count > 0; --Count) {
    const FleetEvent Event{
        .At = *rc::gen::elementOf(RestoredAt) + *Millis(-7000, 7000),
        .Kind = *rc::gen::weightedElement<int>({{3, 0},
                                                {3, 1},
                                                {2, 2},
                                                {2, 3},
                                                {1, 4},
                                                {2, 5},
                                                {3, 6},
                                                {5, 7},
                                                {2, 8},
                                                {5, 9}}),
        .Number = static_cast<std::size_t>(*rc::gen::inRange(0, 1000)),
        .For = *Millis(100, 9000)};
    Fleet.at(Event.At, [&Fleet, Event] { apply(Fleet, Event); });
    End = std::max(End, Event.At + Event.For);
  }
  Fleet.run(End + QuietTime);
  RC_CLASSIFY(Fleet.size() > 10, "relays");
  RC_CLASSIFY(Fleet.era() > 2, "several restorations");
  RC_CLASSIFY(Fleet.actions() > 0, "acted");
  RC_ASSERT(textOf(Fleet) == "");
}

} // namespace
} // namespace galenaroute
