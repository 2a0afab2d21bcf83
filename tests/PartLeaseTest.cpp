// Tests until when stored parts are used and when they are freed.

#include "version/PartLease.h"
#include "process/GossipMessages.h"
#include "version/AnnouncedWeights.h"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

const BootTime Start{1000s};
constexpr PartLeaseTimes Times{.UseTime = 10s, .KeepTime = 12s};

// Guards against a process that uses parts for as long as it is cut off.
TEST(PartLeaseTest, TheRightToUsePartsEndsUnlessItIsRenewed) {
  PartLease Lease;
  EXPECT_EQ(usableFor(Lease, Times, "m", 1, Start), 0s) << "not confirmed yet";
  confirm(Lease, Start);
  EXPECT_EQ(usableFor(Lease, Times, "m", 1, Start + 3s), 7s);
  EXPECT_EQ(usableFor(Lease, Times, "m", 1, Start + 11s), 0s);
  confirm(Lease, Start + 2s);
  confirm(Lease, Start + 1s);
  EXPECT_EQ(usableFor(Lease, Times, "m", 1, Start + 11s), 1s);
}

// Guards against dating a version by when this process heard of it: it may have
// been named at any time since the last confirmation.
TEST(PartLeaseTest, SupersededPartsAreUsedFromTheLastTimeWithoutTheVersion) {
  PartLease Lease;
  noteVersion(Lease, "m", 1, Start - 1s);
  confirm(Lease, Start);
  noteVersion(Lease, "m", 2, Start + 8s);
  confirm(Lease, Start + 8s);
  EXPECT_EQ(usableFor(Lease, Times, "m", 1, Start + 9s), 1s);
  EXPECT_EQ(usableFor(Lease, Times, "m", 2, Start + 9s), 9s);
  EXPECT_EQ(usableFor(Lease, Times, "n", 1, Start + 9s), 9s) << "another model";
  EXPECT_EQ(usableFor(Lease, Times, "m", 0, Start + 9s), 0s)
      << "version 1 may have been named long ago";
}

// Guards against a process that has just started and frees parts of weights
// that others still use, because it doesn't know for how long newer ones are
// named.
TEST(PartLeaseTest, PartsAreFreedOnlyLongAfterNewerWeightsAreKnown) {
  PartLease Lease;
  EXPECT_EQ(oldestKept(Lease, Times, "m", Start + 60s), 0U);
  noteVersion(Lease, "m", 2, Start);
  noteVersion(Lease, "m", 3, Start + 4s);
  noteVersion(Lease, "m", 2, Start + 9s);
  EXPECT_EQ(oldestKept(Lease, Times, "m", Start + 11s), 0U);
  EXPECT_EQ(oldestKept(Lease, Times, "m", Start + 12s), 2U);
  EXPECT_EQ(oldestKept(Lease, Times, "m", Start + 16s), 3U);
  EXPECT_EQ(oldestKept(Lease, Times, "n", Start + 16s), 0U);
}

// Guards against unbounded memory, and against rights that a dropped version
// had ended.
TEST(PartLeaseTest, VersionsAndModelsAreBounded) {
  PartLease Lease;
  confirm(Lease, Start);
  for (std::uint64_t Version = 1; Version <= 40; ++Version)
    noteVersion(Lease, "m", Version, Start);
  EXPECT_EQ(Lease.Known["m"].size(), MaxAnnouncedWeights);
  EXPECT_EQ(usableFor(Lease, Times, "m", 3, Start), 0s);
  EXPECT_EQ(usableFor(Lease, Times, "m", 40, Start), 10s);
  for (int I = 0; I < 1000; ++I)
    noteVersion(Lease, "m" + std::to_string(I), 1, Start);
  EXPECT_LE(Lease.Known.size(), MaxNoticedModels);
}

// Guards against a report that loses the time that it is kept by a relay, or
// that an invalid age makes a time of the future.
TEST(PartLeaseTest, ReportsOfProgressCarryUntilWhenTheyAreComplete) {
  const auto Sent = BootClock::now() - 3s;
  GossipMessage Message;
  Message.Status.From = "a";
  Message.Status.Progress = {{"versions", {.LastChange = 3}},
                             {"config", {.CompleteUntil = Sent}},
                             {"servers", {.CompleteUntil = Sent + 1h}}};
  const GossipMessage Read = decodeGossip(encodeGossip(Message));
  ASSERT_EQ(Read.Status.Progress.size(), 3U);
  EXPECT_FALSE(Read.Status.Progress[0].second.CompleteUntil);
  ASSERT_TRUE(Read.Status.Progress[1].second.CompleteUntil);
  EXPECT_NEAR(
      toMilliseconds(*Read.Status.Progress[1].second.CompleteUntil - Sent), 0,
      50);
  EXPECT_LE(Read.Status.Progress[2].second.CompleteUntil, BootClock::now());
}

/// A fleet of processes that hear of versions by their own calls and by one
/// another. Each tick, every process may use parts and free them; a use lasts
/// to the end of the right.
class DrawnFleet {
public:
  DrawnFleet(std::size_t Size, std::uint64_t Seed) : Random(Seed), All(Size) {}

  void run(const std::vector<BootTime> &NamedAt, BootTime End) {
    for (this->Now = Start; this->Now < End; this->Now += Tick) {
      while (this->Named < NamedAt.size() && NamedAt[this->Named] <= this->Now)
        ++this->Named;
      for (std::size_t I = 0; I < this->All.size(); ++I)
        this->step(this->All[I]);
    }
  }

  std::size_t Uses = 0;
  std::size_t Frees = 0;
  std::size_t FreedInUse = 0;

private:
  static constexpr Duration Tick = 100ms;

  struct Process {
    PartLease Lease;
    std::optional<BootTime> OwnConfirmedAt; ///< By its own calls.
    BootTime FrozenUntil;
    BootTime CutUntil; ///< From the platform and from the others.
    BootTime SentAt = Start;
    BootTime AnsweredAt = Start;
  };

  void step(Process &Of) {
    if (this->Now < Of.FrozenUntil)
      return;
    this->strike(Of);
    if (this->Now < Of.FrozenUntil)
      return;
    if (this->Now >= Of.CutUntil) {
      this->hear(Of);
      this->hearPeer(Of);
    }
    // Parts of a version are in use until the last right to them ends.
    for (std::uint64_t Version = 0; Version <= this->Named; ++Version) {
      const Duration Left = usableFor(Of.Lease, Times, "m", Version, this->Now);
      if (Left <= Duration::zero())
        continue;
      ++this->Uses;
      BootTime &Until = this->UsedUntil[Version];
      Until = std::max(Until, this->Now + Left);
    }
    const std::uint64_t Kept = oldestKept(Of.Lease, Times, "m", this->Now);
    for (const auto &[Version, Until] : this->UsedUntil)
      if (Version < Kept) {
        ++this->Frees;
        this->FreedInUse += Until > this->Now;
      }
  }
  void strike(Process &Of) {
    const std::uint64_t Draw = this->Random() % 600;
    const auto For = Milliseconds(100 + this->Random() % 20000);
    if (Draw == 0)
      Of.FrozenUntil = this->Now + For;
    else if (Draw == 1)
      Of.CutUntil = this->Now + For;
    else if (Draw == 2)
      Of = Process{.SentAt = this->Now, .AnsweredAt = this->Now + For / 40};
  }
  /// A call that is answered holds all that was named when it was sent. The
  /// answer is read late by a process that was frozen.
  void hear(Process &Of) {
    if (this->Now < Of.AnsweredAt)
      return;
    for (std::uint64_t Version = 1; Version <= this->Named; ++Version)
      noteVersion(Of.Lease, "m", Version, this->Now);
    confirm(Of.Lease, Of.SentAt);
    Of.OwnConfirmedAt = Of.SentAt;
    Of.SentAt = this->Now;
    Of.AnsweredAt = this->Now + 1500ms;
  }
  /// A report of a peer arrives up to a second late, so that the time that it
  /// tells seems later by that.
  void hearPeer(Process &Of) {
    const Process &Peer = this->All[this->Random() % this->All.size()];
    if (!Peer.OwnConfirmedAt || this->Now < Peer.FrozenUntil ||
        this->Now < Peer.CutUntil)
      return;
    const auto Known = Peer.Lease.Known.find("m");
    if (Known != Peer.Lease.Known.end())
      for (const auto &[Version, Each] : Known->second)
        noteVersion(Of.Lease, "m", Version, this->Now);
    confirm(Of.Lease, std::min(this->Now, *Peer.OwnConfirmedAt + 1s));
  }

  std::mt19937_64 Random;
  std::vector<Process> All;
  std::map<std::uint64_t, BootTime> UsedUntil;
  BootTime Now;
  std::size_t Named = 0;
};

// Guards against a part that is freed while any process of the fleet may have
// it fetched, whichever of them were frozen, cut off or restarted.
RC_GTEST_PROP(PartLeaseProperty, NoPartIsFreedWhileAProcessMayUseIt, ()) {
  const auto Size =
      *rc::gen::weightedElement<std::size_t>({{90, 6}, {9, 36}, {1, 300}});
  DrawnFleet Fleet(Size, *rc::gen::arbitrary<std::uint64_t>());
  std::vector<BootTime> NamedAt;
  for (BootTime At = Start + 5s; NamedAt.size() < 3;
       At += Milliseconds(*rc::gen::inRange(500, 9000)))
    NamedAt.push_back(At);
  Fleet.run(NamedAt, Start + 45s);
  RC_ASSERT(Fleet.FreedInUse == 0U);
  RC_ASSERT(Fleet.Uses > 0U);
  RC_ASSERT(Fleet.Frees > 0U);
}

} // namespace
} // namespace galenaroute
