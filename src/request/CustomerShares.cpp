#include "request/CustomerShares.h"

#include "process/Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace galenaroute {

/// Fraction of the wait limit for customers far beyond their share.
static constexpr double FarBeyondWaitShare = 0.5;

CustomerKey customerKey(std::string_view Name) {
  return static_cast<CustomerKey>(stableHash(Name));
}

double decayed(const DecayedTime &Time, const CustomerShareSettings &Settings,
               TimePoint Now) {
  const double Halvings = std::chrono::duration<double>(Now - Time.At) /
                          std::chrono::duration<double>(Settings.HalfLife);
  return Time.Ms * std::exp2(-std::max(Halvings, 0.0));
}

void addTime(CustomerTimes &Times, CustomerKey Customer, double Ms,
             const CustomerShareSettings &Settings, TimePoint Now) {
  if (!(Ms >= 0)) // Also rejects NaN.
    return;
  auto It = Times.Own.find(Customer);
  if (It == Times.Own.end()) {
    if (Times.Own.size() >= Settings.MaxCustomers)
      Times.Own.erase(
          std::min_element(Times.Own.begin(), Times.Own.end(),
                           [&](const auto &A, const auto &B) {
                             return decayed(A.second, Settings, Now) <
                                    decayed(B.second, Settings, Now);
                           }));
    It = Times.Own.emplace(Customer, DecayedTime{0, Now}).first;
  }
  It->second = {decayed(It->second, Settings, Now) + Ms, Now};
}

std::vector<CustomerTime> largestTimes(const CustomerTimes &Times,
                                       const CustomerShareSettings &Settings,
                                       TimePoint Now) {
  std::vector<CustomerTime> Result;
  Result.reserve(Times.Own.size());
  for (const auto &[Customer, Time] : Times.Own)
    Result.push_back({Customer, decayed(Time, Settings, Now)});
  return largest(std::move(Result), Settings.MaxReported);
}

std::vector<CustomerTime> totalTimes(const CustomerTimes &Times,
                                     const CustomerShareSettings &Settings,
                                     TimePoint Now) {
  std::vector<CustomerTime> All;
  const auto AddAll = [&](const std::map<CustomerKey, DecayedTime> &Part) {
    for (const auto &[Customer, Time] : Part)
      All.push_back({Customer, decayed(Time, Settings, Now)});
  };
  AddAll(Times.Own);
  for (const auto &[Peer, Reported] : Times.Peers)
    AddAll(Reported);
  return sumOf(All, {});
}

std::vector<CustomerTime> sumOf(std::span<const CustomerTime> A,
                                std::span<const CustomerTime> B) {
  std::map<CustomerKey, double> Sums;
  for (const std::span<const CustomerTime> Part : {A, B})
    for (const CustomerTime &Each : Part)
      Sums[Each.Customer] += Each.Ms;
  std::vector<CustomerTime> Result;
  Result.reserve(Sums.size());
  for (const auto &[Customer, Ms] : Sums)
    Result.push_back({Customer, Ms});
  return Result;
}

std::vector<CustomerTime> largest(std::vector<CustomerTime> Times,
                                  std::size_t Count) {
  std::stable_sort(
      Times.begin(), Times.end(),
      [](const CustomerTime &A, const CustomerTime &B) { return A.Ms > B.Ms; });
  Times.resize(std::min(Times.size(), Count));
  return Times;
}

void notePeerTimes(CustomerTimes &Times, std::string_view Peer,
                   std::span<const CustomerTime> Reported,
                   const CustomerShareSettings &Settings, TimePoint Now) {
  auto It = Times.Peers.find(Peer);
  if (It == Times.Peers.end()) {
    // Gateways that are gone leave reports that fade.
    std::erase_if(Times.Peers, [&](const auto &Item) {
      return std::all_of(Item.second.begin(), Item.second.end(),
                         [&](const auto &Each) {
                           return decayed(Each.second, Settings, Now) < 1;
                         });
    });
    if (Times.Peers.size() >= Settings.MaxPeers)
      return;
    It = Times.Peers.try_emplace(std::string(Peer)).first;
  }
  It->second.clear();
  for (const CustomerTime &Each :
       Reported.first(std::min(Reported.size(), Settings.MaxForwarded)))
    if (std::isfinite(Each.Ms) && Each.Ms >= 0)
      It->second.insert_or_assign(Each.Customer, DecayedTime{Each.Ms, Now});
}

double totalTime(const CustomerTimes &Times, CustomerKey Customer,
                 const CustomerShareSettings &Settings, TimePoint Now) {
  double Result = 0;
  if (const auto It = Times.Own.find(Customer); It != Times.Own.end())
    Result += decayed(It->second, Settings, Now);
  for (const auto &[Peer, Reported] : Times.Peers)
    if (const auto It = Reported.find(Customer); It != Reported.end())
      Result += decayed(It->second, Settings, Now);
  return Result;
}

std::vector<double> fairTimes(std::span<const CustomerDemand> Demands) {
  std::vector<double> Result(Demands.size());
  std::vector<std::size_t> Order(Demands.size());
  std::iota(Order.begin(), Order.end(), 0);
  // Customers that want no more come first, by what they used for each unit of
  // weight: those below the common level keep what they used.
  const auto Level = [&](std::size_t I) {
    return Demands[I].Ms / Demands[I].Weight;
  };
  std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
    if (Demands[A].IsWaiting != Demands[B].IsWaiting)
      return !Demands[A].IsWaiting;
    return Level(A) < Level(B);
  });
  double Left = 0, Weights = 0;
  for (const CustomerDemand &Each : Demands) {
    Left += Each.Ms;
    Weights += Each.Weight;
  }
  std::size_t Next = 0;
  for (; Next < Order.size(); ++Next) {
    const CustomerDemand &Each = Demands[Order[Next]];
    if (Each.IsWaiting || Each.Ms * Weights > Left * Each.Weight)
      break;
    Result[Order[Next]] = Each.Ms;
    Left = std::max(Left - Each.Ms, 0.0);
    Weights -= Each.Weight;
  }
  for (; Next < Order.size(); ++Next)
    Result[Order[Next]] = Left * Demands[Order[Next]].Weight / Weights;
  return Result;
}

double fairLevel(std::span<const CustomerDemand> Demands,
                 std::span<const double> Fair) {
  double Result = 0;
  for (std::size_t I = 0; I < Demands.size(); ++I)
    Result = std::max(Result, Fair[I] / Demands[I].Weight);
  return Result;
}

bool isFarBeyond(double Ms, double FairMs,
                 const CustomerShareSettings &Settings) {
  return Ms > FairMs * Settings.FarBeyond;
}

ShareLevel shareLevel(double Ms, double FairMs,
                      const CustomerShareSettings &Settings) {
  if (isFarBeyond(Ms, FairMs, Settings))
    return ShareLevel::FarBeyond;
  return Ms < FairMs ? ShareLevel::Below : ShareLevel::Beyond;
}

double waitLimitShare(ShareLevel Level) {
  return Level == ShareLevel::FarBeyond ? FarBeyondWaitShare : 1;
}

} // namespace galenaroute
