#include "ProcessPlan.h"

#include <algorithm>
#include <random>

namespace galenaroute::process_soak {

namespace {

/// How often deeds of a kind come, and how long they last.
struct DeedPlan {
  DeedKind Kind;
  std::uint64_t LeastGapMs;
  std::uint64_t MostGapMs;
  std::uint64_t LeastMs;
  std::uint64_t MostMs;
};

/// Gaps of the deeds to daemons are those with five daemons.
constexpr DeedPlan Plans[] = {
    {DeedKind::Kill, 2500, 7000, 0, 60},
    {DeedKind::KillAndHangUp, 3000, 9000, 4, 60},
    {DeedKind::KillAndStop, 8000, 20000, 1, 60},
    {DeedKind::Stop, 3000, 9000, 0, 600},
    {DeedKind::Freeze, 1500, 4000, 200, 2000},
    {DeedKind::HangUp, 1500, 5000, 0, 0},
    {DeedKind::RewriteSettings, 3000, 9000, 20, 300},
    {DeedKind::SilenceUpstream, 250, 1000, 200, 1800},
    {DeedKind::KillUpstream, 2000, 6000, 300, 1500},
    {DeedKind::LeaveUpstream, 4000, 9000, 100, 1000},
    {DeedKind::FreezeStore, 6000, 12000, 200, 1500},
    {DeedKind::Configure, 500, 3000, 0, 0},
    {DeedKind::KillAndOccupy, 6000, 15000, 200, 1500},
    {DeedKind::KillAndRewrite, 5000, 12000, 20, 300},
    {DeedKind::KillAll, 6000, 12000, 200, 2500},
    {DeedKind::DropRoutes, 1500, 4000, 50, 800},
};
constexpr double UsualDaemons = 5;
constexpr double UsualUpstreams = 6;

bool isForDaemons(DeedKind Kind) {
  return Kind <= DeedKind::RewriteSettings || Kind == DeedKind::KillAndOccupy ||
         Kind == DeedKind::KillAndRewrite;
}
bool isForUpstreams(DeedKind Kind) {
  return Kind >= DeedKind::SilenceUpstream && Kind <= DeedKind::LeaveUpstream;
}

} // namespace

const char *toString(DeedKind Kind) {
  static constexpr const char *Names[] = {"kill",
                                          "kill_and_hang_up",
                                          "kill_and_stop",
                                          "stop",
                                          "freeze",
                                          "hang_up",
                                          "rewrite",
                                          "silence_upstream",
                                          "kill_upstream",
                                          "leave_upstream",
                                          "freeze_store",
                                          "configure",
                                          "kill_and_occupy",
                                          "kill_and_rewrite",
                                          "kill_all",
                                          "drop_routes"};
  return Names[static_cast<std::size_t>(Kind)];
}

std::vector<Deed> drawPlan(const PlanSettings &Settings) {
  std::vector<Deed> Result;
  for (const DeedPlan &Each : Plans) {
    // Draws of one kind do not depend on those of the others.
    std::mt19937_64 Random(Settings.Seed * 101 +
                           static_cast<std::uint64_t>(Each.Kind));
    const auto Drawn = [&Random](std::uint64_t Least, std::uint64_t Most) {
      return Least + Random() % (Most - Least + 1);
    };
    std::size_t Targets = 1;
    double Rate = 1;
    if (isForDaemons(Each.Kind)) {
      Targets = Settings.Daemons;
      Rate = std::max(1.0, static_cast<double>(Targets) / UsualDaemons);
    } else if (isForUpstreams(Each.Kind)) {
      Targets = Settings.Upstreams;
      Rate = std::max(1.0, static_cast<double>(Targets) / UsualUpstreams);
    }
    Duration At = Duration::zero();
    while (true) {
      At += scaled(Milliseconds(Drawn(Each.LeastGapMs, Each.MostGapMs)),
                   1 / Rate);
      if (At >= Settings.Length)
        break;
      Result.push_back({.At = At,
                        .Kind = Each.Kind,
                        .Target = Random() % Targets,
                        .For = Milliseconds(Drawn(Each.LeastMs, Each.MostMs)),
                        .Flag = Random() % 2 == 0});
    }
  }
  std::stable_sort(
      Result.begin(), Result.end(),
      [](const Deed &One, const Deed &Other) { return One.At < Other.At; });
  return Result;
}

} // namespace galenaroute::process_soak
