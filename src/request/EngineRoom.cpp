#include "request/EngineRoom.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace galenaroute {

/// Weight of the latest call in the averages by class.
static constexpr double LatestCallWeight = 0.1;

std::size_t priorityClass(std::span<const int> Priorities, int Priority) {
  const auto MoreUrgent =
      std::count_if(Priorities.begin(), Priorities.end(),
                    [Priority](int Each) { return Each < Priority; });
  return std::min(static_cast<std::size_t>(MoreUrgent), PriorityClasses - 1);
}

void noteFleetUse(RoomEstimate &Estimate, const FleetUse &Use, TimePoint Now,
                  const EngineRoomSettings &Settings) {
  const double Decay = Estimate.UpdatedAt
                           ? std::exp2(-toSeconds(Now - *Estimate.UpdatedAt) /
                                       toSeconds(Settings.HalfLife))
                           : 1;
  Estimate.UpdatedAt = Now;
  Estimate.Latest = Use;
  for (std::size_t I = 0; I < PriorityClasses; ++I) {
    const double Current = Use.Slots == 0
                               ? 0
                               : static_cast<double>(Use.ClassCalls[I]) /
                                     static_cast<double>(Use.Slots);
    Estimate.CallsPerSlot[I] =
        std::max(Current, Estimate.CallsPerSlot[I] * Decay);
  }
}

void resetEstimate(RoomEstimate &Estimate) {
  const RoomEstimate Initial;
  for (std::size_t I = 0; I < PriorityClasses; ++I)
    Estimate.CallsPerSlot[I] =
        std::max(Estimate.CallsPerSlot[I], Initial.CallsPerSlot[I]);
  Estimate.UpdatedAt.reset();
}

static void addToAverage(double &Average, double Latest) {
  Average =
      Average == 0 ? Latest : Average + (Latest - Average) * LatestCallWeight;
}

void noteCallTokens(RoomEstimate &Estimate, std::size_t Class,
                    std::uint32_t Tokens) {
  addToAverage(Estimate.TokensPerCall[Class], Tokens);
}

void noteCallTime(RoomEstimate &Estimate, std::size_t Class, Duration Elapsed) {
  addToAverage(Estimate.SecondsPerCall[Class], toSeconds(Elapsed));
}

/// Returns the sum over the classes that are more urgent than \p Class.
template <typename T>
static T moreUrgent(const ByClass<T> &Values, std::size_t Class) {
  return std::accumulate(
      Values.begin(), Values.begin() + static_cast<std::ptrdiff_t>(Class), T{});
}

/// Returns whether the calls of \p Class and less urgent ones have less than
/// their minimum share of the engine, which is at least one slot: at engines
/// with few slots they would otherwise never begin beside urgent calls.
static bool isBelowMinShare(const EngineCalls &Engine, std::size_t Class,
                            const EngineRoomSettings &Settings) {
  return static_cast<double>(Engine.Calls -
                             moreUrgent(Engine.ClassCalls, Class)) <
         std::max(1.0, std::floor(Engine.Slots * Settings.MinShare));
}

/// Returns how many more calls of more urgent classes than \p Class are
/// expected at the engine.
static double expectedUrgent(const RoomEstimate &Estimate,
                             const EngineCalls &Engine, std::size_t Class) {
  const double Mean = moreUrgent(Estimate.CallsPerSlot, Class) * Engine.Slots;
  const double Variation = std::sqrt(Mean);
  const auto Here = static_cast<double>(moreUrgent(Engine.ClassCalls, Class));
  return std::max(Mean + Variation - Here, Variation);
}

int slotsToLeave(const RoomEstimate &Estimate, const EngineCalls &Engine,
                 std::size_t Class, TimePoint Now,
                 const EngineRoomSettings &Settings) {
  int Result = 0;
  if (!isBelowMinShare(Engine, Class, Settings))
    Result =
        static_cast<int>(std::lround(expectedUrgent(Estimate, Engine, Class)));
  const int MinSlots =
      static_cast<int>(std::floor(Engine.Slots * Settings.MinShare));
  for (std::size_t Other = Class + 1; Other < PriorityClasses; ++Other) {
    if (Estimate.WantedAt[Other] == TimePoint{} ||
        Now - Estimate.WantedAt[Other] > Settings.DemandPeriod)
      continue;
    const int Usual = static_cast<int>(
        std::lround(Estimate.CallsPerSlot[Other] * Engine.Slots));
    const int Kept = std::min(MinSlots, std::max(1, Usual));
    Result += std::max(0, Kept - static_cast<int>(Engine.ClassCalls[Other]));
  }
  return Result;
}

std::uint64_t tokensToLeave(const RoomEstimate &Estimate,
                            const EngineCalls &Engine, std::size_t Class,
                            const EngineRoomSettings &Settings) {
  const double Mean = moreUrgent(Estimate.CallsPerSlot, Class);
  if (Mean <= 0 || isBelowMinShare(Engine, Class, Settings))
    return 0;
  double Tokens = 0;
  for (std::size_t I = 0; I < Class; ++I)
    Tokens += Estimate.CallsPerSlot[I] * Estimate.TokensPerCall[I];
  return static_cast<std::uint64_t>(
      std::round(expectedUrgent(Estimate, Engine, Class)) * Tokens / Mean);
}

Duration untilSlotFree(const RoomEstimate &Estimate,
                       const EngineCalls &Engine) {
  double EndsPerSecond = 0;
  for (std::size_t I = 0; I < PriorityClasses; ++I)
    if (Estimate.SecondsPerCall[I] > 0)
      EndsPerSecond += static_cast<double>(Engine.ClassCalls[I]) /
                       Estimate.SecondsPerCall[I];
  return EndsPerSecond > 0 ? fromSeconds(1 / EndsPerSecond) : Duration::zero();
}

void addFreeRoom(FreeRoom &Sum, const RoomEstimate &Estimate,
                 const EngineCalls &Engine,
                 std::optional<std::uint64_t> TokensFree, TimePoint Now,
                 const EngineRoomSettings &Settings) {
  for (std::size_t I = 0; I < PriorityClasses; ++I) {
    double Free = Engine.Slots - static_cast<double>(Engine.Calls) -
                  slotsToLeave(Estimate, Engine, I, Now, Settings);
    if (TokensFree && Estimate.TokensPerCall[I] > 0) {
      const std::uint64_t ToLeave =
          tokensToLeave(Estimate, Engine, I, Settings);
      const std::uint64_t Usable = *TokensFree - std::min(*TokensFree, ToLeave);
      Free = std::min(Free, std::floor(static_cast<double>(Usable) /
                                       Estimate.TokensPerCall[I]));
    }
    Sum.Calls[I] += std::max(0.0, Free);
  }
}

void refillBudgets(RoomEstimate &Estimate, const FreeRoom &Free,
                   std::size_t Gateways) {
  for (std::size_t I = 0; I < PriorityClasses; ++I) {
    const double Part =
        Free.Calls[I] / static_cast<double>(std::max<std::size_t>(1, Gateways));
    const double Limit = std::max(1.0, 2 * Part);
    double &Budget = Estimate.Budgets[I];
    // What own calls returned beyond the limit expires, since the others have
    // heard of these slots meanwhile.
    Budget =
        Budget > Limit ? (Budget + Limit) / 2 : std::min(Limit, Budget + Part);
  }
}

void spendBudget(RoomEstimate &Estimate, std::size_t Class) {
  Estimate.Budgets[Class] = std::max(0.0, Estimate.Budgets[Class] - 1);
}

void returnBudget(RoomEstimate &Estimate, std::size_t Class) {
  Estimate.Budgets[Class] += 1;
}

bool hasBudget(const RoomEstimate &Estimate, const EngineCalls &Engine,
               std::size_t Class) {
  return Class == 0 || Estimate.Budgets[Class] >= 1 ||
         Engine.Calls * 2 < static_cast<std::uint64_t>(Engine.Slots);
}

bool hasSlot(const RoomEstimate &Estimate, const EngineCalls &Engine,
             std::size_t Class, Duration ToTarget, TimePoint Now,
             const EngineRoomSettings &Settings) {
  const int Leave = slotsToLeave(Estimate, Engine, Class, Now, Settings);
  const int Free = Engine.Slots - static_cast<int>(Engine.Calls);
  if (Free > Leave)
    return true;
  if (Leave > 0)
    return false;
  const int Waiting = -Free;
  const int MaxWaiting =
      Class == 0 ? Settings.MaxWaitingUrgent : Settings.MaxWaiting;
  return Waiting < MaxWaiting &&
         (Waiting + 1) * untilSlotFree(Estimate, Engine) <=
             scaled(ToTarget, Settings.MaxWaitShare);
}

} // namespace galenaroute
