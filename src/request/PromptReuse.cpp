#include "request/PromptReuse.h"

#include "process/Rendezvous.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace galenaroute {

std::string partKey(std::string_view Scope, std::string_view Part) {
  std::string Result(Scope);
  Result += '/';
  Result += Part;
  return Result;
}

static void addPart(StoreContents &Contents, const StoreEvent &Event) {
  const std::string Key = partKey(Event.Scope, Event.Part);
  if (Contents.Held.size() >= MaxTrackedParts && !Contents.Held.contains(Key))
    return;
  std::uint32_t &Tokens = Contents.Held[Key];
  Contents.UsedTokens += Event.Tokens;
  Contents.UsedTokens -= std::min<std::uint64_t>(Contents.UsedTokens, Tokens);
  Tokens = Event.Tokens;
  Contents.RequestedSaves.erase(Key);
}

static void removePart(StoreContents &Contents, const StoreEvent &Event) {
  const auto It = Contents.Held.find(partKey(Event.Scope, Event.Part));
  if (It == Contents.Held.end())
    return;
  Contents.UsedTokens -=
      std::min<std::uint64_t>(Contents.UsedTokens, It->second);
  Contents.Held.erase(It);
}

void applyEvents(StoreContents &Contents, const StoreEventBatch &Batch,
                 TimePoint Now) {
  const bool Restarted = Contents.IsKnown && Contents.Epoch != Batch.Epoch;
  if (Restarted || Batch.IsList) {
    Contents.Held.clear();
    Contents.UsedTokens = 0;
    if (Restarted)
      Contents.RequestedSaves.clear();
  }
  Contents.IsKnown = true;
  Contents.Epoch = Batch.Epoch;
  Contents.Next = Batch.Next;
  Contents.ReportedAt = Now;
  Contents.HasClock = Batch.ClockMs.has_value();
  Contents.ClockMs = Batch.ClockMs.value_or(0);
  for (const StoreEvent &Each : Batch.Events) {
    // An event reports the stored tokens of a part; none means it was removed.
    if (Each.IsAdded && Each.Tokens > 0)
      addPart(Contents, Each);
    else
      removePart(Contents, Each);
  }
}

std::string_view homeZone(std::string_view Part,
                          std::span<const std::string> Zones) {
  const std::string *Best = nullptr;
  std::uint64_t Most = 0;
  for (const std::string &Each : Zones) {
    const std::uint64_t Weight = rendezvousWeight(Part, Each);
    if (!Best || Weight > Most) {
      Best = &Each;
      Most = Weight;
    }
  }
  return Best ? std::string_view(*Best) : std::string_view();
}

/// Returns whether the latency of \p Store is at most twice that of any other
/// of \p Stores.
static bool isLowLatency(const StoreView &Store,
                         std::span<const StoreView> Stores) {
  return std::all_of(Stores.begin(), Stores.end(), [&](const StoreView &Each) {
    return Store.Latency <= Each.Latency * 2;
  });
}

/// Returns the first choice for \p Part by rendezvous hashing weighted by
/// capacity, among those of \p Stores that \p IsWanted accepts.
template <typename Predicate>
static const StoreView *rendezvousChoice(std::string_view Part,
                                         std::span<const StoreView> Stores,
                                         Predicate IsWanted) {
  const StoreView *Best = nullptr;
  double Most = 0;
  for (const StoreView &Each : Stores) {
    if (Each.CapacityTokens == 0 || !IsWanted(Each))
      continue;
    // Weighted rendezvous: -capacity / ln(uniform hash).
    const double Uniform =
        (static_cast<double>(rendezvousWeight(Part, Each.Address) >> 11) +
         0.5) *
        0x1.0p-53;
    const double Score =
        -static_cast<double>(Each.CapacityTokens) / std::log(Uniform);
    if (!Best || Score > Most) {
      Best = &Each;
      Most = Score;
    }
  }
  return Best;
}

const StoreView *assignedStore(std::string_view Part, std::uint32_t Tokens,
                               std::span<const StoreView> Stores,
                               const ReuseSettings &Settings) {
  const bool AllLowLatency =
      std::all_of(Stores.begin(), Stores.end(), [&](const StoreView &Each) {
        return isLowLatency(Each, Stores);
      });
  const bool WantsLowLatency = Tokens < Settings.LargePartTokens;
  const auto HasRightLatency = [&](const StoreView &Each) {
    return AllLowLatency || isLowLatency(Each, Stores) == WantsLowLatency;
  };
  const std::string_view Zone = homeZone(Part, Settings.Zones);
  const StoreView *Near =
      rendezvousChoice(Part, Stores, [&](const StoreView &Each) {
        return HasRightLatency(Each) && Each.Zone == Zone;
      });
  return Near ? Near : rendezvousChoice(Part, Stores, HasRightLatency);
}

std::string_view lastSharedPart(std::span<const PromptPart> Parts) {
  return Parts.size() < 2 ? std::string_view()
                          : std::string_view(Parts[Parts.size() - 2].Id);
}

static bool isTrusted(const StoreContents *Contents,
                      const ReuseSettings &Settings, TimePoint Now) {
  return Contents && Contents->IsKnown &&
         Now - Contents->ReportedAt <= Settings.MaxStoreAge;
}

const StoreView *storeHolding(const std::string &Key, std::uint32_t Tokens,
                              std::span<const StoreView> Stores,
                              const ReuseSettings &Settings, TimePoint Now) {
  const std::string_view Part =
      std::string_view(Key).substr(Key.rfind('/') + 1);
  const StoreView *Store = assignedStore(Part, Tokens, Stores, Settings);
  if (!Store || !isTrusted(Store->Contents, Settings, Now) ||
      !Store->Contents->Held.contains(Key))
    return nullptr;
  return Store;
}

std::uint64_t modelKey(std::string_view Model) {
  return std::max<std::uint64_t>(NoModel + 1, stableHash(Model));
}

std::string scopeOf(std::string_view Model, std::uint64_t Version,
                    std::string_view IsolatedCustomer) {
  std::string Scope =
      "w" + std::to_string(Version) + "-" + std::to_string(modelKey(Model));
  if (!IsolatedCustomer.empty()) {
    Scope += '.';
    Scope += IsolatedCustomer;
  }
  return Scope;
}

std::optional<PartWeights> weightsOf(std::string_view Scope) {
  PartWeights Weights;
  if (!Scope.starts_with('w'))
    return std::nullopt;
  const char *const End = Scope.data() + Scope.size();
  const auto Version = std::from_chars(Scope.data() + 1, End, Weights.Version);
  if (Version.ec != std::errc())
    return std::nullopt;
  if (Version.ptr != End && *Version.ptr == '-' &&
      std::from_chars(Version.ptr + 1, End, Weights.Model).ec != std::errc())
    return std::nullopt;
  return Weights;
}

std::vector<std::string> outdatedParts(const StoreContents &Contents,
                                       const VersionsByModel &Oldest) {
  std::vector<std::string> Result;
  for (const auto &[Key, Tokens] : Contents.Held) {
    const auto Weights = weightsOf(Key);
    if (!Weights)
      continue;
    const auto Kept = Oldest.find(Weights->Model);
    if (Kept != Oldest.end() && Weights->Version < Kept->second)
      Result.push_back(Key);
  }
  return Result;
}

/// Returns whether another save may be awaited. A save that never ends is
/// forgotten when it may be requested again.
static bool hasRoomForSave(StoreContents &Contents,
                           const ReuseSettings &Settings, TimePoint Now) {
  if (Contents.RequestedSaves.size() < Settings.MaxRequestedSaves)
    return true;
  // Not at each call, since all requests are visited.
  if (Now - Contents.SavesPrunedAt < Settings.SaveRetry / 8)
    return false;
  Contents.SavesPrunedAt = Now;
  std::erase_if(Contents.RequestedSaves, [&](const auto &Each) {
    return Now - Each.second >= Settings.SaveRetry;
  });
  return Contents.RequestedSaves.size() < Settings.MaxRequestedSaves;
}

/// Requests a save of \p Part if the store has enough free capacity and no save
/// of the part is in progress.
static bool beginSave(const StoreView &Store, const PromptPart &Part,
                      const std::string &Key, const ReuseSettings &Settings,
                      TimePoint Now) {
  StoreContents &Contents = *Store.Contents;
  const auto Limit = static_cast<std::uint64_t>(
      static_cast<double>(Store.CapacityTokens) * Settings.MaxFill);
  if (Contents.UsedTokens + Part.Tokens > Limit)
    return false;
  const auto It = Contents.RequestedSaves.find(Key);
  if (It != Contents.RequestedSaves.end() &&
      Now - It->second < Settings.SaveRetry)
    return false;
  if (It == Contents.RequestedSaves.end() &&
      !hasRoomForSave(Contents, Settings, Now))
    return false;
  Contents.RequestedSaves[Key] = Now;
  return true;
}

PartReusePlan planReuse(std::span<const PromptPart> Parts,
                        std::string_view Scope,
                        std::span<const StoreView> Stores,
                        const ReuseSettings &Settings, Duration UsableFor,
                        TimePoint Now) {
  PartReusePlan Plan;
  if (Parts.size() < 2 || UsableFor <= Duration::zero())
    return Plan;
  std::vector<PartLocation> Fetch(Parts.size());
  std::vector<PartLocation> Save(Parts.size());
  bool AnyFetch = false;
  bool AnySave = false;
  for (std::size_t I = 0; I + 1 < Parts.size(); ++I) {
    Plan.SharedTokens += Parts[I].Tokens;
    if (Parts[I].Tokens < Settings.MinPartTokens)
      continue;
    const StoreView *Store =
        assignedStore(Parts[I].Id, Parts[I].Tokens, Stores, Settings);
    if (!Store || !isTrusted(Store->Contents, Settings, Now))
      continue;
    const std::string Key = partKey(Scope, Parts[I].Id);
    const StoreContents &Contents = *Store->Contents;
    if (Contents.Held.contains(Key)) {
      if (!Contents.HasClock)
        continue;
      Fetch[I] = {Store->Address, Parts[I].Tokens};
      AnyFetch = true;
      Plan.StoredTokens += Parts[I].Tokens;
      const std::int64_t Until =
          Contents.ClockMs + toMilliseconds(Now - Contents.ReportedAt) +
          toMilliseconds(std::min(Settings.FetchLimit, UsableFor));
      Plan.FetchUntilMs = std::min(Plan.FetchUntilMs.value_or(Until), Until);
      continue;
    }
    if (UsableFor >= Settings.MinSaveUse &&
        beginSave(*Store, Parts[I], Key, Settings, Now)) {
      Save[I] = {Store->Address, 0};
      AnySave = true;
    }
  }
  if (AnyFetch)
    Plan.Fetch = std::move(Fetch);
  if (AnySave)
    Plan.Save = std::move(Save);
  return Plan;
}

} // namespace galenaroute
