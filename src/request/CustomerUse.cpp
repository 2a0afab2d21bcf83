#include "request/CustomerUse.h"

#include <algorithm>

namespace galenaroute {

void CustomerUse::setWeights(CustomerWeights Next) {
  this->Weights = std::move(Next);
  this->UpdatedAt.reset();
}

void CustomerUse::noteEnded(CustomerKey Customer, Duration EngineTime,
                            TimePoint Now) {
  addTime(this->Times, Customer, toSeconds(EngineTime) * 1000, this->Settings,
          Now);
}

void CustomerUse::noteShort(CustomerKey Customer, TimePoint Now) {
  if (this->ShortAt.size() < this->Settings.MaxCustomers ||
      this->ShortAt.contains(Customer))
    this->ShortAt.insert_or_assign(Customer, Now);
}

void CustomerUse::noteReport(std::string_view Peer,
                             std::span<const CustomerTime> Reported,
                             TimePoint Now) {
  if (!Reported.empty())
    notePeerTimes(this->Times, Peer, Reported, this->Settings, Now);
}

ShareLevel CustomerUse::levelOf(CustomerKey Customer, TimePoint Now) {
  if (!this->UpdatedAt || Now - *this->UpdatedAt >= UpdatePeriod)
    this->update(Now);
  const auto It = this->Levels.find(Customer);
  // A customer that is not listed has used nothing.
  return It == this->Levels.end() ? ShareLevel::Below : It->second;
}

void CustomerUse::update(TimePoint Now) {
  this->UpdatedAt = Now;
  std::erase_if(this->ShortAt, [&](const auto &Each) {
    return !this->isWithinHalfLife(Each.second, Now);
  });
  std::map<CustomerKey, CustomerDemand> ByCustomer;
  for (const CustomerTime &Each : totalTimes(this->Times, this->Settings, Now))
    ByCustomer[Each.Customer].Ms = Each.Ms;
  for (const auto &[Customer, At] : this->ShortAt)
    ByCustomer[Customer].IsWaiting = true;
  std::vector<CustomerDemand> Demands;
  Demands.reserve(ByCustomer.size());
  for (auto &[Customer, Demand] : ByCustomer) {
    if (const auto Weight = this->Weights.find(Customer);
        Weight != this->Weights.end())
      Demand.Weight = Weight->second;
    Demands.push_back(Demand);
  }
  const double Level = fairLevel(Demands, fairTimes(Demands));
  this->Levels.clear();
  for (const auto &[Customer, Demand] : ByCustomer)
    this->Levels[Customer] =
        shareLevel(Demand.Ms, Level * Demand.Weight, this->Settings);
}

std::vector<CustomerTime> CustomerUse::report(TimePoint Now) {
  if (!this->isWithinHalfLife(this->QueuedAt, Now))
    return {};
  this->LastReport = this->largestOwn(Now);
  this->LastReportAt = Now;
  return this->LastReport;
}

std::vector<CustomerTime>
CustomerUse::withoutOwn(std::vector<CustomerTime> Fleet, TimePoint Now) const {
  for (CustomerTime &Each : Fleet)
    for (const CustomerTime &Own : this->LastReport)
      if (Own.Customer == Each.Customer)
        Each.Ms = std::max(Each.Ms - decayed({Own.Ms, this->LastReportAt},
                                             this->Settings, Now),
                           0.0);
  return Fleet;
}

} // namespace galenaroute
