// The part of Admission.h that divides customers' limits among gateways.

#include "request/Admission.h"

#include <algorithm>
#include <numeric>

namespace galenaroute {

std::vector<int> divideLimit(int Limit, std::span<const int> Demand) {
  std::vector<int> Parts(Demand.size(), 0);
  int Left = std::max(Limit, 0);
  const auto Spread = [&](auto &&MayTake) {
    while (Left > 0) {
      std::vector<std::size_t> Takers;
      for (std::size_t I = 0; I < Parts.size(); ++I)
        if (MayTake(I))
          Takers.push_back(I);
      if (Takers.empty())
        return;
      const int Equal = Left / static_cast<int>(Takers.size());
      for (const std::size_t I : Takers) {
        // Fewer left than takers: the first ones get one each.
        int Part = std::max(Equal, Left > 0 ? 1 : 0);
        if (Parts[I] < Demand[I])
          Part = std::min(Part, Demand[I] - Parts[I]);
        Parts[I] += Part;
        Left -= Part;
      }
    }
  };
  Spread([&](std::size_t I) { return Parts[I] < Demand[I]; });
  if (!Parts.empty())
    Spread([](std::size_t) { return true; });
  return Parts;
}

/// Returns the grant of the gateway at index \p Self: its share of the limit,
/// reduced while requests in flight at other gateways exceed their shares.
static int grantOf(int Limit, std::span<const int> InFlight,
                   std::span<const int> Demand, std::size_t Self) {
  const std::vector<int> Parts = divideLimit(Limit, Demand);
  if (InFlight[Self] >= Parts[Self])
    return Parts[Self];
  int Free = Limit - std::accumulate(InFlight.begin(), InFlight.end(), 0);
  std::vector<int> Missing(Parts.size());
  for (std::size_t I = 0; I < Parts.size(); ++I)
    Missing[I] = std::max(Parts[I] - InFlight[I], 0);
  const int Total = std::accumulate(Missing.begin(), Missing.end(), 0);
  if (Free <= 0)
    return InFlight[Self];
  if (Free >= Total)
    return Parts[Self];
  return InFlight[Self] +
         std::min(divideLimit(Free, Missing)[Self], Missing[Self]);
}

void notePeerUse(AdmissionState &State, std::string_view Peer,
                 std::span<const CustomerUse> Use, TimePoint Now) {
  State.Peers.insert_or_assign(std::string(Peer), Now);
  for (auto &[Name, Customer] : State.Customers)
    if (const auto It = Customer.Peers.find(Peer); It != Customer.Peers.end())
      Customer.Peers.erase(It);
  for (const CustomerUse &Part : Use)
    State.Customers[Part.Customer].Peers.insert_or_assign(
        std::string(Peer), PeerUse{Part.InFlight, Part.Queued, Part.WaitMs});
}

/// Returns how long the oldest queued request of \p Customer has waited.
static std::int64_t oldestWaitMs(const AdmissionState &State,
                                 const CustomerState &Customer, TimePoint Now) {
  std::int64_t Longest = 0;
  for (const auto &Queue : Customer.Queues)
    if (!Queue.empty())
      Longest = std::max(
          Longest, toMilliseconds(
                       Now - State.Queued.at(Queue.begin()->second).QueuedAt));
  return Longest;
}

void refreshGrants(AdmissionState &State, TimePoint Now) {
  std::erase_if(State.Peers, [&](const auto &Peer) {
    return Now - Peer.second > State.Options.MaxUseAge;
  });
  struct GatewayUse {
    std::string_view Gateway;
    PeerUse Use;
  };
  std::vector<GatewayUse> Gateways;
  std::vector<int> InFlight, Demand;
  for (auto &[Name, Customer] : State.Customers) {
    std::erase_if(Customer.Peers, [&](const auto &Peer) {
      return !State.Peers.contains(Peer.first);
    });
    if (Customer.MaxInFlight == 0)
      continue; // Known only from peers.
    Gateways.assign(1, {State.Self,
                        {Customer.InFlight, Customer.queued(),
                         oldestWaitMs(State, Customer, Now)}});
    for (const auto &[Peer, ReportedAt] : State.Peers) {
      const auto It = Customer.Peers.find(Peer);
      Gateways.push_back(
          {Peer, It == Customer.Peers.end() ? PeerUse{} : It->second});
    }
    // All gateways must agree on the order, which decides who gets the
    // remainder of a division. Longest wait first, so that a limit below the
    // number of gateways rotates among them.
    std::sort(Gateways.begin(), Gateways.end(),
              [](const GatewayUse &A, const GatewayUse &B) {
                return A.Use.WaitMs != B.Use.WaitMs
                           ? A.Use.WaitMs > B.Use.WaitMs
                           : A.Gateway < B.Gateway;
              });
    InFlight.clear();
    Demand.clear();
    std::size_t Self = 0;
    for (std::size_t I = 0; I < Gateways.size(); ++I) {
      if (Gateways[I].Gateway == State.Self)
        Self = I;
      InFlight.push_back(Gateways[I].Use.InFlight);
      Demand.push_back(Gateways[I].Use.InFlight + Gateways[I].Use.Queued);
    }
    for (auto &Ready : State.Ready)
      Ready.erase({Customer.Tag, Name});
    Customer.Grant = grantOf(Customer.MaxInFlight, InFlight, Demand, Self);
    if (Customer.InFlight < Customer.Grant)
      for (std::size_t I = 0; I < PromptClassCount; ++I)
        if (!Customer.Queues[I].empty())
          State.Ready[I].emplace(Customer.Tag, Name);
  }
  // Otherwise customers known only from past digests would accumulate.
  std::erase_if(State.Customers, [](const auto &Item) {
    return Item.second.MaxInFlight == 0 && Item.second.Peers.empty();
  });
}

std::vector<CustomerUse> ownUse(const AdmissionState &State, TimePoint Now) {
  std::vector<CustomerUse> Use;
  for (const auto &[Name, Customer] : State.Customers)
    if (Customer.InFlight > 0 || Customer.queued() > 0)
      Use.push_back({Name, Customer.InFlight, Customer.queued(),
                     oldestWaitMs(State, Customer, Now)});
  return Use;
}

} // namespace galenaroute
