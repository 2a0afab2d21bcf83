#include "version/Orders.h"

#include <algorithm>

namespace galenaroute {

void onObserved(RolloutState &State, std::string_view Upstream,
                UpstreamObservation Observation, TimePoint Now) {
  UpstreamRollout &Entry = State.Upstreams[std::string(Upstream)];
  // A report from just before the order arrived does not show the load yet, so
  // only a report of loading or a later one settles the order.
  const Duration SinceOrder =
      Entry.OrderedAt ? Now - *Entry.OrderedAt : Duration::zero();
  if (Entry.OrderedAt && !Observation.Loading &&
      SinceOrder >= State.Settings.FirstBackoff)
    Entry.OrderedAt.reset();
  Entry.Observed = std::move(Observation);
  Entry.ObservedAt = Now;
}

void onOrderAnswered(RolloutState &State, std::string_view Upstream,
                     OrderAnswer Answer, TimePoint Now) {
  UpstreamRollout &Entry = State.Upstreams[std::string(Upstream)];
  switch (Answer) {
  case OrderAnswer::Accepted:
    Entry.Failures = 0;
    return;
  case OrderAnswer::Unknown:
    // The upstream may be loading; OrderedAt stays set.
    return;
  case OrderAnswer::Fenced:
    State.Fenced = true;
    Entry.OrderedAt.reset();
    return;
  case OrderAnswer::Busy:
  case OrderAnswer::Failed:
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

/// Forgets upstreams that the service no longer has, and orders that showed no
/// effect in time.
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
      Entry.PreparedAt.reset();
  for (auto &[Name, Entry] : State.Upstreams)
    if (Entry.OrderedAt && Now - *Entry.OrderedAt > State.Settings.LoadTimeout)
      Entry.OrderedAt.reset();
}

static bool mayBeLoading(const UpstreamRollout &Entry) {
  return Entry.OrderedAt || (Entry.Observed && Entry.Observed->Loading);
}

/// Whether an upstream in preparation may get its order.
static bool isPrepared(const UpstreamRollout &Entry,
                       const RolloutSettings &Settings, TimePoint Now) {
  const Duration Since = Now - *Entry.PreparedAt;
  return Since >= Settings.Preparation &&
         (Entry.Observed->Calls.value_or(0) == 0 ||
          Since >= Settings.MaxPreparation);
}

std::vector<std::string> withheld(const RolloutState &State) {
  std::vector<std::string> Result;
  for (const auto &[Name, Entry] : State.Upstreams)
    if (Entry.OrderedAt || Entry.PreparedAt)
      Result.push_back(Name);
  return Result;
}

std::vector<Order> planOrders(const ServiceConfig &Service, RolloutState &State,
                              std::uint64_t Fence, TimePoint Now,
                              bool MayOrder) {
  std::vector<Order> Result;
  prune(Service, State, Now);
  if (State.Fenced)
    return Result;
  auto Loading =
      std::count_if(State.Upstreams.begin(), State.Upstreams.end(),
                    [](const auto &Each) { return mayBeLoading(Each.second); });
  // Those already in preparation count first, whatever the order is now.
  auto Preparing =
      std::count_if(State.Upstreams.begin(), State.Upstreams.end(),
                    [](const auto &Each) { return Each.second.PreparedAt; });
  const int MaxPreparing =
      Service.MaxConcurrentLoads * State.Settings.PreparingPerLoad;
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
    if (!Entry.PreparedAt) {
      if (Preparing >= MaxPreparing)
        continue;
      Entry.PreparedAt = Now;
      ++Preparing;
    }
    if (!MayOrder || Loading >= Service.MaxConcurrentLoads ||
        !isPrepared(Entry, State.Settings, Now))
      continue;
    Entry.PreparedAt.reset();
    --Preparing;
    Entry.OrderedAt = Now;
    ++Loading;
    Result.push_back({Upstream.Name, Upstream.Address, Fence,
                      Service.WeightVersion, Service.Model, Service.Adapters});
  }
  return Result;
}

} // namespace galenaroute
