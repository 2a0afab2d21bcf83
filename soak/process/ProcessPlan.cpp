#include "ProcessPlan.h"

#include "BuildReplacements.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

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
    {DeedKind::TurnAway, 1500, 4000, 200, 5000},
    {DeedKind::RollOut, 2000, 5000, 100, 1000},
    {DeedKind::ReturnUpstream, 2500, 7000, 100, 1500},
};
/// Upstreams register again up to this long after all daemons have started.
constexpr std::uint64_t LatestReturnMs = 3000;
/// What comes beside a new version begins at most so much sooner or later.
constexpr std::int64_t BesideMs = 300;
constexpr double UsualDaemons = 5;
constexpr double UsualUpstreams = 6;

bool isForDaemons(DeedKind Kind) {
  return Kind <= DeedKind::RewriteSettings || Kind == DeedKind::KillAndOccupy ||
         Kind == DeedKind::KillAndRewrite || Kind == DeedKind::TurnAway;
}
bool isForUpstreams(DeedKind Kind) {
  return (Kind >= DeedKind::SilenceUpstream &&
          Kind <= DeedKind::LeaveUpstream) ||
         Kind == DeedKind::RollOut || Kind == DeedKind::ReturnUpstream;
}

/// Draws what comes beside starts of all daemons and new versions.
class BesideDraws {
public:
  BesideDraws(const PlanSettings &Settings, std::vector<Deed> &Plan)
      : Settings(Settings), Plan(Plan), Random(Settings.Seed * 101 + 50) {}

  /// Upstreams of older and newer versions register late, or again, while the
  /// daemons start.
  void addReturns(const Deed &KillAll) {
    for (std::size_t I = 0; I < this->Settings.Upstreams; ++I) {
      const Duration Away = this->drawn(
          0, static_cast<std::uint64_t>(toMilliseconds(KillAll.For)));
      const Duration Back = KillAll.For + this->drawn(0, LatestReturnMs);
      const std::uint64_t Drawn = this->Random() % 6;
      if (Drawn > 2)
        continue;
      this->add({.At = KillAll.At + Away,
                 .Kind = Drawn == 0   ? DeedKind::KillUpstream
                         : Drawn == 1 ? DeedKind::ReturnUpstream
                                      : DeedKind::RollOut,
                 .Target = I,
                 .For = Back - Away,
                 .Flag = true});
    }
  }

  /// The store turns a daemon away, a daemon stands still, or all are killed
  /// about when the version registers.
  void addDisturbance(const Deed &RollOut) {
    static constexpr DeedKind Kinds[] = {DeedKind::TurnAway, DeedKind::TurnAway,
                                         DeedKind::TurnAway, DeedKind::Freeze,
                                         DeedKind::Freeze,   DeedKind::KillAll};
    const Duration At = RollOut.At + RollOut.For +
                        this->drawn(0, 2 * BesideMs) - Milliseconds(BesideMs);
    const DeedKind Kind = Kinds[this->Random() % std::size(Kinds)];
    const Duration For =
        this->drawn(200, Kind == DeedKind::TurnAway ? 5000 : 2000);
    const std::size_t Target = this->Random() % this->Settings.Daemons;
    const TurnAwayWay Way = this->drawnWay();
    if (this->Random() % 4 == 0)
      return;
    this->add({.At = At,
               .Kind = Kind,
               .Target = Kind == DeedKind::KillAll ? 0 : Target,
               .For = For,
               .Way = Way});
  }

  /// With even seeds, daemons know one version until the first new one
  /// registers. Two of them are turned away just before, and another one is
  /// killed meanwhile, so that its streams are taken up elsewhere.
  void addFirstDisturbance(const Deed &RollOut) {
    const Duration Registers = RollOut.At + RollOut.For;
    const std::size_t First = this->Random() % this->Settings.Daemons;
    for (std::size_t I = 0; I < 2; ++I)
      this->add({.At = Registers - this->drawn(0, BesideMs),
                 .Kind = DeedKind::TurnAway,
                 .Target = (First + I) % this->Settings.Daemons,
                 .For = this->drawn(2000, 5000),
                 .Way = this->drawnWay()});
    for (std::size_t I = 2; I < 4; ++I)
      this->add({.At = Registers + this->drawn(200, 2000),
                 .Kind = DeedKind::Kill,
                 .Target = (First + I) % this->Settings.Daemons,
                 .For = this->drawn(0, 60)});
  }

  TurnAwayWay drawnWay() {
    return static_cast<TurnAwayWay>(this->Random() % 4);
  }

private:
  Duration drawn(std::uint64_t Least, std::uint64_t Most) {
    return Milliseconds(Least + this->Random() % (Most - Least + 1));
  }
  void add(const Deed &New) {
    if (New.At >= Duration::zero() && New.At < this->Settings.Length)
      this->Plan.push_back(New);
  }

  const PlanSettings &Settings;
  std::vector<Deed> &Plan;
  std::mt19937_64 Random;
};

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
                                          "drop_routes",
                                          "turn_away",
                                          "roll_out",
                                          "return_upstream",
                                          "upgrade",
                                          "go_back"};
  return Names[static_cast<std::size_t>(Kind)];
}

static constexpr const char *WayNames[] = {"silence", "503", "429", "reset"};

const char *toString(TurnAwayWay Way) {
  return WayNames[static_cast<std::size_t>(Way)];
}

std::optional<TurnAwayWay> turnAwayWayOf(std::string_view Name) {
  const auto *const Found =
      std::find(std::begin(WayNames), std::end(WayNames), Name);
  if (Found == std::end(WayNames))
    return std::nullopt;
  return static_cast<TurnAwayWay>(Found - std::begin(WayNames));
}

/// Adds the replacements of all daemons, there and back.
static void addReplacements(const PlanSettings &Settings,
                            std::vector<Deed> &Plan) {
  for (const soak::BuildReplacement &Each :
       soak::drawReplacements(Settings.Seed, Settings.Daemons, Settings.Length))
    Plan.push_back({.At = Each.At,
                    .Kind = Each.IsToNew ? DeedKind::Upgrade : DeedKind::GoBack,
                    .Target = Each.Daemon,
                    .For = Each.Away,
                    .Flag = Each.Kills});
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
  BesideDraws Beside(Settings, Result);
  const std::vector<Deed> Drawn = Result;
  bool IsFirst = true;
  for (Deed &Each : Result) {
    if (Each.Kind == DeedKind::TurnAway)
      Each.Way = Beside.drawnWay();
    else if (Each.Kind == DeedKind::RollOut && std::exchange(IsFirst, false))
      Each.Flag = true;
  }
  bool HasVersion = false;
  for (const Deed &Each : Drawn) {
    if (Each.Kind == DeedKind::KillAll)
      Beside.addReturns(Each);
    else if (Each.Kind == DeedKind::RollOut && !std::exchange(HasVersion, true))
      Beside.addFirstDisturbance(Each);
    else if (Each.Kind == DeedKind::RollOut)
      Beside.addDisturbance(Each);
  }
  if (Settings.ReplacesBuilds)
    addReplacements(Settings, Result);
  std::stable_sort(
      Result.begin(), Result.end(),
      [](const Deed &One, const Deed &Other) { return One.At < Other.At; });
  return Result;
}

} // namespace galenaroute::process_soak
