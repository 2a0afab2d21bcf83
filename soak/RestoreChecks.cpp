#include "RestoreChecks.h"

#include "History.h"

#include <algorithm>

namespace galenaroute::soak {

static std::string describe(const RouteProbe &Probe) {
  return "route " + Probe.Route + " at daemon " + std::to_string(Probe.Daemon) +
         (Probe.Service.empty() ? ": 404" : ": run by " + Probe.Service);
}

static bool isDown(const SoakHistory &History, std::size_t Daemon,
                   TimePoint At) {
  return std::any_of(History.Disturbances.begin(), History.Disturbances.end(),
                     [&](const Disturbance &Each) {
                       return Each.Kind == DisturbanceKind::Kill &&
                              (!Each.Daemon || *Each.Daemon == Daemon) &&
                              Each.From <= At && At <= Each.Until;
                     });
}

/// Returns when a restoration is surely made up for.
static TimePoint rewrittenBy(const SoakHistory &History,
                             const SoakBounds &Bounds,
                             const CoreDisruption &Restoration) {
  TimePoint By = Restoration.Until + Bounds.Contact;
  for (const CoreDisruption &Each : History.Configs.Disruptions)
    if (Restoration.From <= Each.From && Each.From <= By)
      By = std::max(By, Each.Until + Bounds.Contact);
  return By;
}

std::vector<TimePoint> lossesOfEvidence(const SoakHistory &History,
                                        const SoakBounds &Bounds) {
  std::vector<TimePoint> Result;
  for (const Disturbance &Kill : History.Disturbances) {
    bool IsLoss = Kill.Kind == DisturbanceKind::Kill;
    for (std::size_t I = 0; IsLoss && I < History.Configs.Daemons; ++I)
      IsLoss = isDown(History, I, Kill.From);
    if (IsLoss && std::any_of(History.Configs.Disruptions.begin(),
                              History.Configs.Disruptions.end(),
                              [&](const CoreDisruption &Each) {
                                return Each.Era > 0 && Each.From <= Kill.From &&
                                       Kill.From <=
                                           rewrittenBy(History, Bounds, Each);
                              }))
      Result.push_back(Kill.From);
  }
  return Result;
}

void checkConfigOrder(const SoakHistory &History,
                      std::vector<BrokenPromise> &Found) {
  struct Seen {
    std::size_t State = 0;
    TimePoint At;
  };
  using Place = std::pair<std::pair<std::size_t, int>, std::string>;
  std::map<Place, std::vector<Seen>> All;
  for (const RouteProbe &Probe : History.Configs.Probes) {
    const std::vector<RouteState> &States =
        History.Configs.Routes.at(Probe.Route);
    std::vector<Seen> &Before =
        All[{{Probe.Daemon, Probe.Incarnation}, Probe.Route}];
    std::size_t Least = 0;
    for (const Seen &Each : Before)
      if (Each.At < Probe.SentAt)
        Least = std::max(Least, Each.State);
    // The oldest state that explains the answer leaves most to later ones.
    std::size_t State = Least;
    while (State < States.size() && States[State].At <= Probe.EndedAt &&
           States[State].Service != Probe.Service)
      ++State;
    if (State == States.size() || States[State].At > Probe.EndedAt)
      Found.push_back({"a configuration never goes back", Probe.Call,
                       describe(Probe) + " after a newer one was in force"});
    else
      Before.push_back({State, Probe.EndedAt});
  }
}

/// Returns when a state that was acknowledged at \p At has to be in force.
static TimePoint appliedBy(const SoakHistory &History, const SoakBounds &Bounds,
                           TimePoint At) {
  TimePoint By = At + Bounds.ConfigApply;
  for (const CoreDisruption &Each : History.Configs.Disruptions)
    if (Each.From <= By && At <= Each.Until + Bounds.DisruptedApply)
      By = std::max(By, Each.Until + Bounds.DisruptedApply);
  return By;
}

void checkConfigTimes(const SoakHistory &History, const SoakBounds &Bounds,
                      std::vector<BrokenPromise> &Found) {
  for (const RouteProbe &Probe : History.Configs.Probes) {
    if (!isInTouch(History, Bounds, Probe.Daemon, Probe.SentAt))
      continue;
    const std::vector<RouteState> &States =
        History.Configs.Routes.at(Probe.Route);
    bool IsAllowed = false;
    for (std::size_t I = 0; I < States.size(); ++I) {
      const bool IsReplaced =
          I + 1 < States.size() &&
          appliedBy(History, Bounds, States[I + 1].At) < Probe.SentAt;
      IsAllowed = IsAllowed || (!IsReplaced && States[I].At <= Probe.EndedAt &&
                                States[I].Service == Probe.Service);
    }
    if (!IsAllowed)
      Found.push_back(
          {"a configuration is in force in time", Probe.Call, describe(Probe)});
  }
}

void checkOrders(const SoakHistory &History, const SoakBounds &Bounds,
                 std::vector<BrokenPromise> &Found) {
  std::map<std::string, OrderView> Last; // by engine
  std::map<std::uint64_t, std::string> Holders;
  for (const OrderView &Each : History.Configs.Orders) {
    const std::string Text = "engine " + Each.Engine + ": " + Each.Holder +
                             " with fence " + std::to_string(Each.Fence);
    const auto [Holder, IsNew] = Holders.try_emplace(Each.Fence, Each.Holder);
    if (!IsNew && Holder->second != Each.Holder)
      Found.push_back({"a fence is given out once", "",
                       Text + ", which " + Holder->second + " had"});
    const bool WasFrozen =
        std::any_of(History.Disturbances.begin(), History.Disturbances.end(),
                    [&](const Disturbance &One) {
                      return One.Kind == DisturbanceKind::Freeze &&
                             One.Daemon && One.Daemon == Each.Daemon &&
                             One.From <= Each.At &&
                             Each.At <= One.Until + Bounds.ThawSlack;
                    });
    if (WasFrozen)
      continue;
    const auto Before = Last.find(Each.Engine);
    if (Before != Last.end()) {
      const std::string After = Text + " after " + Before->second.Holder +
                                " with fence " +
                                std::to_string(Before->second.Fence);
      if (Each.Fence < Before->second.Fence)
        Found.push_back({"fences do not fall", "", After});
      if (Each.Holder != Before->second.Holder &&
          Each.At - Before->second.At < Bounds.Lease)
        Found.push_back(
            {"orders of two daemons are a lease apart", "",
             After + ", " +
                 std::to_string(toMilliseconds(Each.At - Before->second.At)) +
                 " ms later"});
    }
    Last[Each.Engine] = Each;
  }
}

/// Returns whether a daemon was in touch when a version was named and has not
/// ended since, so that it knows the time of the naming.
static bool isNamingKnown(const SoakHistory &History, const SoakBounds &Bounds,
                          std::size_t Daemon, TimePoint Named) {
  const auto &Disruptions = History.Configs.Disruptions;
  const bool IsDisrupted = std::any_of(
      Disruptions.begin(), Disruptions.end(), [&](const CoreDisruption &Each) {
        return Each.From <= Named + Bounds.ConfigApply &&
               Named <= Each.Until + Bounds.ConfigApply;
      });
  const bool WasKilled =
      std::any_of(History.Disturbances.begin(), History.Disturbances.end(),
                  [&](const Disturbance &Each) {
                    return Each.Kind == DisturbanceKind::Kill &&
                           Each.From >= Named &&
                           (!Each.Daemon || *Each.Daemon == Daemon);
                  });
  const bool WasStopped = std::any_of(
      History.Stops.begin(), History.Stops.end(), [&](const StopView &Each) {
        return Each.Daemon == Daemon && Each.EndedAt >= Named;
      });
  return !IsDisrupted && !WasKilled && !WasStopped &&
         isInTouch(History, Bounds, Daemon, Named) &&
         isInTouch(History, Bounds, Daemon, Named + Bounds.ConfigApply);
}

void checkRewrites(const SoakHistory &History, const SoakBounds &Bounds,
                   std::vector<BrokenPromise> &Found) {
  std::uint64_t Era = 0;
  for (const CoreDisruption &Each : History.Configs.Disruptions)
    Era = std::max(Era, Each.Era);
  const std::string Suffix = ".era-" + std::to_string(Era);
  const std::vector<std::string> &Names = History.Configs.WeightHistories;
  if (Era == 0 ||
      std::any_of(Names.begin(), Names.end(), [&](const std::string &Each) {
        return Each.ends_with(Suffix);
      }))
    return;
  // The first version is there before the daemons, which only assume its time.
  const auto &Namings = History.Weights.namings();
  for (std::size_t I = 1; I < Namings.size(); ++I)
    for (std::size_t Daemon = 0; Daemon < History.Configs.Daemons; ++Daemon)
      if (isNamingKnown(History, Bounds, Daemon, Namings[I].At)) {
        Found.push_back({"histories are written again", "",
                         "no history of weights in era " + std::to_string(Era) +
                             ", though daemon " + std::to_string(Daemon) +
                             " knows the naming of version " +
                             std::to_string(Namings[I].Version)});
        return;
      }
}

} // namespace galenaroute::soak
