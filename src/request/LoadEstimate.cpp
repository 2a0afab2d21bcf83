#include "request/LoadEstimate.h"

#include "process/Rendezvous.h"

#include <algorithm>
#include <cmath>

namespace galenaroute {

/// Time over which the rate is averaged. Demand changes within seconds.
static constexpr Duration RateWindow = std::chrono::seconds(2);
/// Bounds the rate that follows from the first calls of a process.
static constexpr Duration MinRateTime = std::chrono::milliseconds(200);
/// Time from the first call until the rate is relied on.
static constexpr Duration NewRateTime = std::chrono::milliseconds(500);
/// A gap between two calls that is longer, and in which the rate lets at least
/// this many calls be expected, is a standstill.
static constexpr Duration MinStandstill = std::chrono::seconds(1);
static constexpr double MinMissedCalls = 10;
/// Credit that an upstream keeps, in calls. Shares may stay small for long.
static constexpr double MaxCredit = 1;
/// Maximum upstreams with a credit.
static constexpr std::size_t MaxCredits = 8192;
/// Bisection steps; the level is exact to a thousandth of its range.
static constexpr int LevelSteps = 10;

/// Returns how many calls a target gets until the next one costs \p Level.
static double callsBelow(const FillTarget &Target, double Level) {
  const double Left = Level - Target.CostMs;
  if (Left <= 0)
    return 0;
  const double SlotsMs = Target.FreeSlots * Target.BusySlotMs;
  return Left <= SlotsMs
             ? Left / Target.BusySlotMs
             : Target.FreeSlots + (Left - SlotsMs) / Target.WaitingMs;
}

std::vector<double> fill(std::span<const FillTarget> Targets, double Calls) {
  std::vector<double> Result(Targets.size());
  if (Targets.empty() || Calls <= 0)
    return Result;
  const auto Cheapest =
      std::min_element(Targets.begin(), Targets.end(),
                       [](const FillTarget &A, const FillTarget &B) {
                         return A.CostMs < B.CostMs;
                       });
  // At the upper bound, the cheapest target alone takes all calls.
  double Low = Cheapest->CostMs;
  const double InSlots = std::min(Calls, Cheapest->FreeSlots);
  double High = Low + InSlots * Cheapest->BusySlotMs +
                (Calls - InSlots) * Cheapest->WaitingMs;
  std::vector<std::size_t> Reached;
  for (std::size_t I = 0; I < Targets.size(); ++I)
    if (Targets[I].CostMs < High)
      Reached.push_back(I);
  if (Reached.size() > 1)
    for (int Step = 0; Step < LevelSteps; ++Step) {
      const double Level = (Low + High) / 2;
      double Sum = 0;
      for (const std::size_t I : Reached)
        Sum += callsBelow(Targets[I], Level);
      (Sum < Calls ? Low : High) = Level;
    }
  for (const std::size_t I : Reached)
    Result[I] = callsBelow(Targets[I], High);
  return Result;
}

void addCalls(FillTarget &Target, double Calls) {
  const double InSlots = std::min(Calls, Target.FreeSlots);
  Target.CostMs +=
      InSlots * Target.BusySlotMs + (Calls - InSlots) * Target.WaitingMs;
  Target.FreeSlots -= InSlots;
}

double ShareCredits::creditOf(std::uint32_t Key) const {
  const auto Found = this->Credits.find(Key);
  if (Found != this->Credits.end())
    return Found->second;
  return static_cast<double>(rendezvousWeight(this->Seed, Key) >> 11) *
             0x1p-53 -
         0.5;
}

std::optional<std::size_t>
ShareCredits::best(std::span<const std::uint32_t> Keys,
                   std::span<const double> Shares) const {
  std::optional<std::size_t> Best;
  double Most = 0;
  for (std::size_t I = 0; I < Shares.size(); ++I) {
    if (Shares[I] <= 0)
      continue;
    const double Credit = this->creditOf(Keys[I]) + Shares[I];
    if (!Best || Credit > Most) {
      Best = I;
      Most = Credit;
    }
  }
  return Best;
}

void ShareCredits::note(std::span<const std::uint32_t> Keys,
                        std::span<const double> Shares, std::size_t Chosen) {
  if (this->Credits.size() + Keys.size() > MaxCredits)
    this->Credits.clear();
  for (std::size_t I = 0; I < Shares.size(); ++I) {
    if (Shares[I] <= 0)
      continue;
    const double Change = I == Chosen ? Shares[I] - 1 : Shares[I];
    this->Credits[Keys[I]] =
        std::clamp(this->creditOf(Keys[I]) + Change, -MaxCredit, MaxCredit);
  }
}

double SendRate::countAt(TimePoint Now) const {
  return this->Count *
         std::exp(-toSeconds(Now - this->UpdatedAt) / toSeconds(RateWindow));
}

void SendRate::add(TimePoint Now) {
  this->Count = this->countAt(Now) + 1;
  this->UpdatedAt = Now;
  if (!this->FirstAt)
    this->FirstAt = Now;
}

double SendRate::perSecond(TimePoint Now) const {
  if (!this->FirstAt)
    return 0;
  // Corrects for the time before the first call.
  const Duration Known = std::max<Duration>(Now - *this->FirstAt, MinRateTime);
  const double Covered =
      1 - std::exp(-toSeconds(Known) / toSeconds(RateWindow));
  return this->countAt(Now) / toSeconds(RateWindow) / Covered;
}

bool SendRate::isInterrupted(TimePoint Now) const {
  const Duration Gap = Now - this->UpdatedAt;
  return this->FirstAt && Gap > MinStandstill &&
         this->perSecond(this->UpdatedAt) * toSeconds(Gap) > MinMissedCalls;
}

bool SendRate::isNew(TimePoint Now) const {
  return !this->FirstAt || Now - *this->FirstAt < NewRateTime;
}

} // namespace galenaroute
