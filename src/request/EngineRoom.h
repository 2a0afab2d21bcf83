// Decides whether an engine has a slot and memory for a call, in view of the
// more urgent calls that are expected to need them.
//
//   noteFleetUse(Estimate, Use, Now);           // every status period
//   if (hasSlot(Estimate, Load, {.Class = 2, ...}, Now, Settings)) ...
//
// Long calls of low priority would otherwise hold all slots of an engine for
// seconds, and urgent calls would wait at the engine, where nothing orders
// them. A call therefore leaves the slots and the memory free that calls of
// more urgent classes are expected to need: as many as all gateways have
// recently had in flight there on average, plus the square root of it for
// random variation. Capacity that no urgent call has used for some seconds is
// free for any call, and each class with demand keeps a minimum share.
//
// Guarantees: no I/O and no clock; constant time for each decision; the state
// is one small record for each service.

#ifndef GALENAROUTE_REQUEST_ENGINEROOM_H
#define GALENAROUTE_REQUEST_ENGINEROOM_H

#include "process/Clock.h"
#include "request/SharedUse.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>

namespace galenaroute {

/// Priorities are grouped into classes by their rank within a service: the most
/// urgent one, the next one, and all others.
inline constexpr std::size_t PriorityClasses = ReportedClasses + 1;

template <typename T> using ByClass = std::array<T, PriorityClasses>;

/// Returns the class of calls with \p Priority. \p Priorities are the different
/// priorities of the service, the most urgent first.
std::size_t priorityClass(std::span<const int> Priorities, int Priority);

/// The calls of all gateways in flight at one engine, as far as known.
struct EngineCalls {
  int Slots = 1;
  std::uint64_t Calls = 0;
  ByClass<std::uint64_t> ClassCalls{}; ///< Their sum is Calls.
};

/// The calls of all gateways in flight at the engines of one service.
struct FleetUse {
  std::uint64_t Slots = 0;
  ByClass<std::uint64_t> ClassCalls{};
  std::uint64_t Engines = 0;
};

struct EngineRoomSettings {
  /// Half-life of the estimated calls in flight after they have decreased.
  Duration HalfLife = std::chrono::milliseconds(1500);
  /// Fraction of the slots that calls of one class keep whatever the demand of
  /// the other classes.
  double MinShare = 0.25;
  /// How long after its last call a class has demand.
  Duration DemandPeriod = std::chrono::seconds(2);
  /// Calls that may wait at an engine, of the most urgent class and others.
  int MaxWaitingUrgent = 2;
  int MaxWaiting = 1;
  /// Fraction of the time to its target that a call may wait at an engine.
  double MaxWaitShare = 0.5;
};

/// What is expected of the calls of one service.
struct RoomEstimate {
  /// Recent calls of all gateways in flight, for each slot of the service. The
  /// initial values apply to a process that has just started and knows nothing
  /// but the configuration.
  ByClass<double> CallsPerSlot = {0.1, 0.1, 0.1};
  std::optional<TimePoint> UpdatedAt;
  FleetUse Latest;               ///< At UpdatedAt.
  ByClass<TimePoint> WantedAt{}; ///< When the last call was to be sent.
  /// Calls of each class that this gateway may send now.
  ByClass<double> Budgets = {1, 1, 1};
  std::uint64_t EngineTokens = 0;   ///< Memory of an engine; zero if unknown.
  ByClass<double> TokensPerCall{};  ///< Zero if unknown.
  ByClass<double> SecondsPerCall{}; ///< From sending to end; zero if unknown.
};

/// The capacity of the engines of a service that is free for calls of each
/// class, in calls.
struct FreeRoom {
  ByClass<double> Calls{};
};

/// Adds what is free at one engine. \p TokensFree is the free part of its
/// memory, if known.
void addFreeRoom(FreeRoom &Sum, const RoomEstimate &Estimate,
                 const EngineCalls &Engine,
                 std::optional<std::uint64_t> TokensFree, TimePoint Now,
                 const EngineRoomSettings &Settings);

/// Adds this gateway's part of the free capacity to its budgets. All gateways
/// see the same engine become free, and those with queued calls would send more
/// of them there than it has slots.
void refillBudgets(RoomEstimate &Estimate, const FreeRoom &Free,
                   std::size_t Gateways);
/// Takes a sent call out of the budget of its class.
void spendBudget(RoomEstimate &Estimate, std::size_t Class);
/// Returns the slot of an own call that ended to the budget of its class: the
/// others do not know yet that it is free.
void returnBudget(RoomEstimate &Estimate, std::size_t Class);
/// Returns whether the budget allows a call to an engine. The most urgent class
/// and engines with less than half of their slots in use have no limit.
bool hasBudget(const RoomEstimate &Estimate, const EngineCalls &Engine,
               std::size_t Class);

/// Updates the estimate with the calls in flight at this time.
void noteFleetUse(RoomEstimate &Estimate, const FleetUse &Use, TimePoint Now,
                  const EngineRoomSettings &Settings);
/// Returns to the initial estimate where it is higher, after a time in which
/// this process received no reports.
void resetEstimate(RoomEstimate &Estimate);
/// Notes that a call needs \p Tokens of an engine's memory.
void noteCallTokens(RoomEstimate &Estimate, std::size_t Class,
                    std::uint32_t Tokens);
/// Notes that a call ended \p Elapsed after it was sent.
void noteCallTime(RoomEstimate &Estimate, std::size_t Class, Duration Elapsed);

/// Returns how many slots of an engine a call must leave free.
int slotsToLeave(const RoomEstimate &Estimate, const EngineCalls &Engine,
                 std::size_t Class, TimePoint Now,
                 const EngineRoomSettings &Settings);

/// Returns how many tokens of an engine's memory a call must leave free.
std::uint64_t tokensToLeave(const RoomEstimate &Estimate,
                            const EngineCalls &Engine, std::size_t Class,
                            const EngineRoomSettings &Settings);

/// Returns the expected time until one of the calls at the engine ends; zero if
/// unknown.
Duration untilSlotFree(const RoomEstimate &Estimate, const EngineCalls &Engine);

/// Returns whether a call may be sent to an engine: to a free slot, or to wait
/// there for a short time. \p ToTarget is its time until it is late.
bool hasSlot(const RoomEstimate &Estimate, const EngineCalls &Engine,
             std::size_t Class, Duration ToTarget, TimePoint Now,
             const EngineRoomSettings &Settings);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_ENGINEROOM_H
