#include "version/Orders.h"

#include <algorithm>

namespace galenaroute {

void onObserved(RolloutState &State, std::string_view Upstream,
                UpstreamObservation Observation, TimePoint Now) {
  UpstreamRollout &Entry = State.Upstreams[std::string(Upstream)];
  // An observation made just before the order arrived does not show the load
  // yet. Only one that shows loading, or a later one, confirms the order.
  const Duration SinceOrder =
      Entry.OrderedAt ? Now - *Entry.OrderedAt : Duration::zero();
  if (Entry.OrderedAt && !Observation.Loading &&
      SinceOrder >= State.Settings.FirstBackoff)
    Entry.OrderedAt.reset();
  Entry.Observed = std::move(Observation);
  Entry.ObservedAt = Now;
}

void onOrderResult(RolloutState &State, std::string_view Upstream,
                   OrderResult Answer, TimePoint Now) {
  UpstreamRollout &Entry = State.Upstreams[std::string(Upstream)];
  switch (Answer) {
  case OrderResult::Accepted:
    Entry.Failures = 0;
    return;
  case OrderResult::Unknown:
    // The upstream may be loading; OrderedAt stays set.
    return;
  case OrderResult::Fenced:
    State.Fenced = true;
    Entry.OrderedAt.reset();
    return;
  case OrderResult::Busy:
  case OrderResult::Failed:
    break;
  }
  Entry.OrderedAt.reset();
  const int Doublings = std::min(Entry.Failures, 5);
  Entry.NotBefore =
      Now + std::min(State.Settings.MaxBackoff,
                     State.Settings.FirstBackoff * (1 << Doublings));
  ++Entry.Failures;
}

bool matches(const ServiceConfig &Service,
             const UpstreamObservation &Observed) {
  if (Observed.WeightVersion != Service.WeightVersion)
    return false;
  return std::all_of(Service.Adapters.begin(), Service.Adapters.end(),
                     [&](const std::string &Each) {
                       return std::find(Observed.Adapters.begin(),
                                        Observed.Adapters.end(),
                                        Each) != Observed.Adapters.end();
                     });
}

/// Removes upstreams that the service no longer has, and orders that had no
/// visible effect within LoadTimeout.
static void prune(const ServiceConfig &Service, RolloutState &State,
                  TimePoint Now) {
  std::erase_if(State.Upstreams, [&](const auto &Each) {
    return std::none_of(Service.Upstreams.begin(), Service.Upstreams.end(),
                        [&](const UpstreamConfig &Upstream) {
                          return Upstream.Name == Each.first;
                        });
  });
  for (auto &[Name, Entry] : State.Upstreams)
    if (Entry.Observed && matches(Service, *Entry.Observed))
      Entry.DrainingSince.reset();
  for (auto &[Name, Entry] : State.Upstreams)
    if (Entry.OrderedAt && Now - *Entry.OrderedAt > State.Settings.LoadTimeout)
      Entry.OrderedAt.reset();
}

static bool mayBeLoading(const UpstreamRollout &Entry) {
  return Entry.OrderedAt || (Entry.Observed && Entry.Observed->Loading);
}

/// Returns whether an upstream is drained, so that it may get its order.
static bool isDrained(const UpstreamRollout &Entry,
                      const RolloutSettings &Settings, TimePoint Now) {
  const Duration Since = Now - *Entry.DrainingSince;
  return Since >= Settings.MinDrain &&
         (Entry.Observed->Calls.value_or(0) == 0 || Since >= Settings.MaxDrain);
}

std::vector<std::string> withheld(const RolloutState &State) {
  std::vector<std::string> Result;
  for (const auto &[Name, Entry] : State.Upstreams)
    if (Entry.OrderedAt || Entry.DrainingSince)
      Result.push_back(Name);
  return Result;
}

std::vector<Order> planOrders(const ServiceConfig &Service, RolloutState &State,
                              std::uint64_t Fence, TimePoint Now,
                              bool MayOrder) {
  std::vector<Order> Result;
  State.IsOrderDue = false;
  prune(Service, State, Now);
  if (State.Fenced)
    return Result;
  auto Loading =
      std::count_if(State.Upstreams.begin(), State.Upstreams.end(),
                    [](const auto &Each) { return mayBeLoading(Each.second); });
  // Upstreams that are already being drained keep their place, whatever the
  // order of the list is now.
  auto Draining =
      std::count_if(State.Upstreams.begin(), State.Upstreams.end(),
                    [](const auto &Each) { return Each.second.DrainingSince; });
  const int MaxDraining =
      Service.MaxConcurrentLoads * State.Settings.DrainingPerLoad;
  for (const UpstreamConfig &Upstream : Service.Upstreams) {
    const auto It = State.Upstreams.find(Upstream.Name);
    if (It == State.Upstreams.end())
      continue;
    UpstreamRollout &Entry = It->second;
    const bool Fresh = Entry.Observed && Now - Entry.ObservedAt <=
                                             State.Settings.MaxObservationAge;
    if (!Fresh || mayBeLoading(Entry) || Now < Entry.NotBefore ||
        matches(Service, *Entry.Observed))
      continue;
    if (!Entry.DrainingSince) {
      if (Draining >= MaxDraining)
        continue;
      Entry.DrainingSince = Now;
      ++Draining;
    }
    if (Loading >= Service.MaxConcurrentLoads ||
        !isDrained(Entry, State.Settings, Now))
      continue;
    if (!MayOrder) {
      State.IsOrderDue = true;
      continue;
    }
    Entry.DrainingSince.reset();
    --Draining;
    Entry.OrderedAt = Now;
    ++Loading;
    Result.push_back({Upstream.Name, Upstream.Address, Fence,
                      Service.WeightVersion, Service.Model, Service.Adapters});
  }
  return Result;
}

} // namespace galenaroute
