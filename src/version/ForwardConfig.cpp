#include "version/ForwardConfig.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <span>

namespace galenaroute {

/// Returns \p Host without its port, in lower case.
static std::string normalizeHost(std::string_view Host) {
  std::string Result(Host.substr(0, Host.find(':')));
  std::transform(Result.begin(), Result.end(), Result.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Result;
}

/// Returns whether a route has a target at least MinTargetSpread times as long
/// as that of a more urgent one.
static bool hasTargetSpread(std::span<const ForwardRoute *const> Routes) {
  std::map<int, std::pair<Duration, Duration>> Targets; ///< Shortest, longest.
  for (const ForwardRoute *Each : Routes) {
    const auto [It, IsNew] = Targets.try_emplace(
        Each->Priority, std::pair(Each->Target, Each->Target));
    It->second.first = std::min(It->second.first, Each->Target);
    It->second.second = std::max(It->second.second, Each->Target);
  }
  std::optional<Duration> ShortestMoreUrgent;
  for (const auto &[Priority, Span] : Targets) {
    if (ShortestMoreUrgent &&
        Span.second >= *ShortestMoreUrgent * MinTargetSpread)
      return true;
    ShortestMoreUrgent =
        std::min(ShortestMoreUrgent.value_or(Span.first), Span.first);
  }
  return false;
}

void ForwardConfig::index() {
  this->RoutesByHost.clear();
  this->CustomerByKey.clear();
  for (std::size_t I = 0; I < this->Routes.size(); ++I)
    this->RoutesByHost[normalizeHost(this->Routes[I].Host)].push_back(I);
  for (auto &[Host, Positions] : this->RoutesByHost)
    std::stable_sort(Positions.begin(), Positions.end(),
                     [&](std::size_t A, std::size_t B) {
                       return this->Routes[A].PathPrefix.size() >
                              this->Routes[B].PathPrefix.size();
                     });
  for (std::size_t I = 0; I < this->Customers.size(); ++I)
    for (const std::string &Key : this->Customers[I].Keys)
      this->CustomerByKey[Key] = I;
  this->HasWeights = std::any_of(
      this->Customers.begin(), this->Customers.end(),
      [](const ForwardCustomer &Each) { return Each.Weight.has_value(); });
  std::map<std::string_view, std::vector<const ForwardRoute *>> RoutesOf;
  for (const ForwardRoute &Route : this->Routes)
    for (const WeightedService &Each : Route.Services)
      RoutesOf[Each.Service].push_back(&Route);
  for (auto &[Name, Service] : this->Services) {
    std::set<int> Priorities;
    for (const ForwardRoute *Each : RoutesOf[Name])
      Priorities.insert(Each->Priority);
    Service.Priorities.assign(Priorities.begin(), Priorities.end());
    Service.ReservesCapacity = hasTargetSpread(RoutesOf[Name]);
  }
}

const ForwardRoute *findRoute(const ForwardConfig &Config,
                              std::string_view Host, std::string_view Path) {
  const auto It = Config.RoutesByHost.find(normalizeHost(Host));
  if (It == Config.RoutesByHost.end())
    return nullptr;
  for (const std::size_t I : It->second)
    if (Path.starts_with(Config.Routes[I].PathPrefix))
      return &Config.Routes[I];
  return nullptr;
}

const ForwardCustomer *findCustomer(const ForwardConfig &Config,
                                    const std::string &Key) {
  const auto It = Config.CustomerByKey.find(Key);
  return It == Config.CustomerByKey.end() ? nullptr
                                          : &Config.Customers[It->second];
}

const std::string &chooseService(const ForwardRoute &Route, double Draw) {
  double Total = 0;
  for (const WeightedService &Each : Route.Services)
    Total += Each.Weight;
  double Left = Draw * Total;
  for (const WeightedService &Each : Route.Services) {
    if (Left < Each.Weight)
      return Each.Service;
    Left -= Each.Weight;
  }
  return Route.Services.back().Service;
}

} // namespace galenaroute
