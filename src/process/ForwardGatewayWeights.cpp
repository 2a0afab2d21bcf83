// The weights of ForwardGateway: announced versions and their history, orders
// to load them, and cache blocks of outdated ones.

#include "process/ForwardGateway.h"
#include "process/Log.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace galenaroute {

using nlohmann::json;

/// Delay from the last use of outdated cache blocks until they are freed, so
/// that the other gateways learn of the new weights and fetches in progress
/// end.
static constexpr auto FreeDelay = std::chrono::milliseconds(1500);
/// Fraction of a service's engines that may load weights at the same time; more
/// would slow each other down.
static constexpr double MaxLoadingShare = 1.0 / 6;
/// Kind of the platform objects that record when each weight version was
/// announced, one object per model.
static constexpr std::string_view HistoryKind = "weight-history";

void ForwardGateway::onWeights(const PlatformObject &Object) {
  if (Object.Deleted)
    return;
  const auto Read = this->Parts.Source.readWeights(Object);
  if (!Read)
    return;
  AnnouncedWeights &Named = this->Services.Weights[Read->Model];
  if (Read->Version <= Named.newest())
    return;
  const bool IsFoundAtStartup = !this->WeightNotices.confirmedAt();
  // Until the history is read, versions found at startup are treated as
  // announced so long ago that older weights may not be used.
  const Duration Age =
      IsFoundAtStartup ? this->Settings.WeightsLimit : Duration::zero();
  recordAnnounced(Named, Read->Version, EventLoop::now() - Age);
  this->syncWeightHistory(Read->Model, IsFoundAtStartup ? 0 : Read->Version);
  log(LogLevel::Info, "weights.named",
      {{"model", Read->Model},
       {"version", std::to_string(Read->Version)},
       {"age_ms", std::to_string(toMilliseconds(Age))},
       {"source", IsFoundAtStartup ? "assumed" : "watch"}});
  this->updateOrders();
}

/// Reads the times at which the weight versions of \p Model were announced. If
/// \p Version is not zero, it was announced just now, and one gateway adds it
/// to the stored history for processes that start later.
void ForwardGateway::syncWeightHistory(const std::string &Model,
                                       std::uint64_t Version) {
  const ObjectKey Key{std::string(HistoryKind), Model};
  const bool Writes =
      Version != 0 && this->isAssigned(Model, 1, this->liveGatewayIds());
  if (Version != 0 && !Writes)
    return;
  const std::int64_t NamedMs = wallMilliseconds();
  this->Parts.Api.get(
      Key, [this, Key, Version, NamedMs,
            Alive = std::weak_ptr(this->Alive)](const PlatformResult &Result) {
        if (Alive.expired())
          return;
        std::map<std::uint64_t, std::int64_t> History;
        try {
          if (Result.Status == PlatformStatus::Ok)
            for (const json &Each : Result.Object.Value)
              History[Each.at(0)] = Each.at(1);
        } catch (const json::exception &Failure) {
          log(LogLevel::Warn, "weights.history_malformed",
              {{"model", Key.Name}, {"message", Failure.what()}});
        }
        if (Version == 0) {
          const std::int64_t WallMs = wallMilliseconds();
          restoreAnnounced(this->Services.Weights[Key.Name], History, WallMs,
                           EventLoop::now());
          log(LogLevel::Info, "weights.history",
              {{"model", Key.Name},
               {"versions", std::to_string(History.size())},
               {"newest_age_ms",
                History.empty()
                    ? "-"
                    : std::to_string(WallMs - History.rbegin()->second)}});
          this->updateOrders();
          return;
        }
        History[Version] = NamedMs;
        while (History.size() > MaxAnnouncedWeights)
          History.erase(History.begin());
        json Value = json::array();
        for (const auto &[Each, Since] : History)
          Value.push_back({Each, Since});
        const std::uint64_t IfVersion = Result.Status == PlatformStatus::Ok
                                            ? Result.Object.Version
                                            : Platform::MustNotExist;
        this->Parts.Api.put(
            Key, Value, IfVersion, [Key](const PlatformResult &Written) {
              // If the write fails, processes that start later only
              // stop using older weights sooner.
              if (Written.Status != PlatformStatus::Ok)
                log(LogLevel::Warn, "weights.history_not_written",
                    {{"model", Key.Name}});
            });
      });
}

/// Passes the known engines and their target weights to the order controller.
void ForwardGateway::updateOrders() {
  if (!this->Services.Config)
    return;
  auto Next = std::make_shared<Configuration>();
  for (const auto &[Name, Service] : this->Services.Config->Services) {
    if (!Service.Engine)
      continue;
    const auto Named = this->Services.Weights.find(Service.Engine->Model);
    if (Named == this->Services.Weights.end())
      continue;
    ServiceConfig Wanted;
    Wanted.Name = Name;
    Wanted.Kind = ServiceKind::Model;
    Wanted.Model = Service.Engine->Model;
    Wanted.WeightVersion = std::to_string(Named->second.newest());
    Wanted.ChecksFence = this->Settings.ChecksFence;
    // Engines with the oldest weights first; among equals, the least busy.
    using Rank = std::pair<std::uint64_t, std::uint64_t>;
    std::vector<std::pair<Rank, UpstreamConfig>> Ranked;
    for (const auto &[Id, Entry] : this->Upstreams.entries())
      if (Entry.Registered.Service == Name && !Entry.isLeaving())
        Ranked.push_back({{Entry.WeightVersion.value_or(0),
                           this->Upstreams.totalCallsAt(Entry)},
                          {.Name = Id,
                           .Address = Entry.Registered.Address,
                           .Zone = Entry.Registered.Zone}});
    std::stable_sort(
        Ranked.begin(), Ranked.end(),
        [](const auto &A, const auto &B) { return A.first < B.first; });
    for (auto &[Order, Upstream] : Ranked)
      Wanted.Upstreams.push_back(std::move(Upstream));
    Wanted.MaxConcurrentLoads = std::max(
        1,
        static_cast<int>(std::ceil(
            MaxLoadingShare * static_cast<double>(Wanted.Upstreams.size()))));
    Next->Services[Name] = std::move(Wanted);
  }
  this->Orders->setConfiguration(std::move(Next));
}

/// Returns the oldest weight version whose cache blocks are still useful: that
/// of the engine furthest behind, or the newest version once half of the
/// engines run it, since the newest needs the stores' capacity.
std::uint64_t ForwardGateway::oldestUsefulWeights() const {
  std::uint64_t Newest = 0;
  for (const auto &[Model, Named] : this->Services.Weights)
    Newest = std::max(Newest, Named.newest());
  std::size_t Engines = 0;
  std::size_t Current = 0;
  std::uint64_t Least = Newest;
  for (const auto &[Id, Entry] : this->Upstreams.entries()) {
    if (!Entry.WeightVersion)
      continue;
    ++Engines;
    Current += *Entry.WeightVersion >= Newest;
    Least = std::min(Least, *Entry.WeightVersion);
  }
  return Current * 2 >= Engines ? Newest : Least;
}

/// Adds the zones of newly seen engines. Zones are never removed, so that the
/// home zones of prompts don't move during a temporary zone failure.
void ForwardGateway::updateZones() {
  std::vector<std::string> &Zones = this->Services.Reuse.Zones;
  for (const auto &[Id, Entry] : this->Upstreams.entries())
    if (Entry.WeightVersion && std::find(Zones.begin(), Zones.end(),
                                         Entry.Registered.Zone) == Zones.end())
      Zones.push_back(Entry.Registered.Zone);
}

/// Stops the use of cache blocks of outdated weights and frees them after
/// FreeDelay.
void ForwardGateway::freeOutdatedBlocks() {
  const TimePoint Now = EventLoop::now();
  this->updateZones();
  const std::uint64_t Least = this->oldestUsefulWeights();
  if (Least > this->Services.Reuse.LeastWeights) {
    this->Services.Reuse.LeastWeights = Least;
    this->OldestWeightsSince = Now;
  }
  if (Now - this->OldestWeightsSince < FreeDelay || this->StopRequestedAt)
    return;
  if (this->isAssigned("stores", 1, this->liveGatewayIds()))
    this->Stores.freeOutdated(this->Services.Reuse.LeastWeights);
}

bool ForwardGateway::needsOrders(std::string_view Service) const {
  const auto Found = this->Services.Config->Services.find(Service);
  if (Found == this->Services.Config->Services.end() || !Found->second.Engine)
    return false;
  const auto Named = this->Services.Weights.find(Found->second.Engine->Model);
  if (Named == this->Services.Weights.end())
    return false;
  for (const auto &[Id, Entry] : this->Upstreams.entries())
    if (Entry.Registered.Service == Service && !Entry.isLeaving() &&
        Entry.WeightVersion.value_or(0) < Named->second.newest())
      return true;
  return false;
}

/// Returns whether this gateway should hold the lease of \p Service: it already
/// does, or orders are pending and it ranks first among the live gateways.
bool ForwardGateway::isPreferredFor(std::string_view Service) {
  if (this->StopRequestedAt || !this->Services.Config)
    return false;
  return (this->Orders && this->Orders->holds(Service)) ||
         this->isLeaseCandidate(Service, /*Count=*/1);
}

/// Returns whether orders are pending for \p Service and this gateway ranks
/// among the first \p Count live candidates for its lease.
bool ForwardGateway::isLeaseCandidate(std::string_view Service,
                                      std::size_t Count) {
  if (this->StopRequestedAt || !this->Services.Config ||
      !this->needsOrders(Service) || !this->reachesPlatform())
    return false;
  return this->isAssigned(Service, Count,
                          this->liveGatewayIds([](const EntryRecord &Each) {
                            return Each.ReachesPlatform;
                          }));
}

} // namespace galenaroute
