#include "process/RateShares.h"

#include "process/Rendezvous.h"

#include <algorithm>
#include <map>

namespace galenaroute {

/// From a start until this gateway issues permits. By then it has heard from
/// the others, so that it knows which upstreams it ranks first for.
static constexpr Duration SettleTime = std::chrono::seconds(2);
/// From the announcement that this gateway issues permits until it does; the
/// previous issuer stops meanwhile.
static constexpr Duration TakeoverDelay = std::chrono::milliseconds(500);
/// A gateway whose members were not updated for this long was frozen, and the
/// others may have replaced it as an issuer.
static constexpr Duration MaxMembersGap = std::chrono::milliseconds(1500);
/// Part of the rate that a gateway issues relative to the part of the known
/// gateways that it hears. More than 1 lets a fleet that lost some of its VMs
/// use the whole rate; in a fleet that is split in parts, the parts together
/// issue at most this multiple of it.
static constexpr double PartFactor = 1.2;
/// Calls per second that are sent even at a lower limit, as otherwise its end
/// would not be noticed.
static constexpr double MinRate = 0.2;
/// How long an issuer keeps a request, and how long its sender accepts grants.
static constexpr Duration RequestLife = std::chrono::milliseconds(500);
/// A pending request is renewed in this interval while calls wait.
static constexpr Duration RequestPeriod = std::chrono::milliseconds(200);
/// Maximum requests of a gateway in one RequestPeriod, for all upstreams.
static constexpr std::size_t MaxRequests = 32;
/// How long a permit is valid. Short, so that it is used at about the time at
/// which it was issued.
static constexpr Duration PermitLife = std::chrono::milliseconds(200);
/// A shorter backlog is not reported.
static constexpr Duration MinReportedBacklog = std::chrono::milliseconds(50);
/// How long a reported backlog is used.
static constexpr Duration BacklogLife = std::chrono::milliseconds(500);

RateShares::RateShares(std::string Self, RateSharesEvents Events, TimePoint Now)
    : Self(std::move(Self)), Events(std::move(Events)), SettledSince(Now),
      MembersAt(Now) {}

void RateShares::setMembers(std::span<const RateMember> Live, std::size_t Known,
                            TimePoint Now) {
  if (Now - this->MembersAt > MaxMembersGap)
    this->resettle(Now);
  this->MembersAt = Now;
  const bool IsSame =
      std::equal(Live.begin(), Live.end(), this->Others.begin(),
                 this->Others.end(), [](const RateMember &A, const Member &B) {
                   return A.Id == B.Id && A.IssuesPermits == B.IssuesPermits;
                 });
  if (!IsSame) {
    this->Others.clear();
    for (const RateMember &Each : Live)
      this->Others.push_back(
          {std::string(Each.Id), stableHash(Each.Id), Each.IssuesPermits});
  }
  this->KnownCount = std::max(Known, this->Others.size() + 1);
  const bool WasIsolated = this->IsIsolated;
  this->IsIsolated = 2 * (this->Others.size() + 1) < this->KnownCount;
  if (WasIsolated && !this->IsIsolated)
    this->resettle(Now);
  this->updateIssuing(Now);
  std::erase_if(this->Issuers, [this](const auto &Each) {
    return this->issuerOf(Each.first) != &this->Self;
  });
  for (auto &[Upstream, Issuer] : this->Issuers)
    Issuer.setRate(this->ownRate(*this->limitOf(Upstream)), Now);
}

void RateShares::resettle(TimePoint Now) {
  this->SettledSince = Now;
  this->Stocks.clear();
  this->updateIssuing(Now);
}

void RateShares::leave() {
  this->IsLeaving = true;
  this->updateIssuing(this->MembersAt);
}

/// Begins or ends to issue permits.
void RateShares::updateIssuing(TimePoint Now) {
  const bool Issues =
      !this->IsLeaving && Now - this->SettledSince >= SettleTime;
  if (Issues == this->IsIssuing)
    return;
  this->IsIssuing = Issues;
  this->IssuesFrom = Now + TakeoverDelay;
  if (!Issues)
    this->Issuers.clear();
  this->Events.OnIssuingChanged();
}

/// Returns the rate at which this gateway issues permits as the issuer.
double RateShares::ownRate(double PerSecond) const {
  const double Heard = static_cast<double>(this->Others.size() + 1) /
                       static_cast<double>(this->KnownCount);
  return std::max(PerSecond, MinRate) * std::min(1.0, PartFactor * Heard);
}

/// Returns the id of the gateway that issues permits for the upstream, or null
/// if none does. Points to Self if it is this gateway.
const std::string *RateShares::issuerOf(std::uint64_t Upstream) const {
  const std::string *Best = nullptr;
  std::uint64_t BestWeight = 0;
  const auto Consider = [&](const std::string &Id, std::uint64_t Hash) {
    const std::uint64_t Weight = rendezvousWeight(Upstream, Hash);
    if (Best && Weight <= BestWeight)
      return;
    Best = &Id;
    BestWeight = Weight;
  };
  if (this->IsIssuing)
    Consider(this->Self, this->SelfHash);
  for (const Member &Each : this->Others)
    if (Each.IssuesPermits)
      Consider(Each.Id, Each.Hash);
  return Best;
}

/// Returns the issuing side of an upstream if it is at this gateway, or null.
PermitIssuer *RateShares::ownIssuer(std::uint64_t Upstream, TimePoint Now) {
  const auto Limit = this->limitOf(Upstream);
  if (!Limit || this->issuerOf(Upstream) != &this->Self)
    return nullptr;
  const auto [It, IsNew] = this->Issuers.try_emplace(
      Upstream, PermitIssuer(std::max(Now, this->IssuesFrom)));
  if (IsNew)
    It->second.setRate(this->ownRate(*Limit), Now);
  return &It->second;
}

bool RateShares::mayCall(std::uint64_t Upstream, TimePoint Now) const {
  if (!this->limitOf(Upstream))
    return true;
  const auto Found = this->Stocks.find(Upstream);
  return Found != this->Stocks.end() && !Found->second.Permits.empty() &&
         Found->second.Permits.back().ExpiresAt > Now;
}

void RateShares::take(std::uint64_t Upstream, TimePoint Now) {
  const auto Found = this->Stocks.find(Upstream);
  if (Found == this->Stocks.end())
    return;
  std::vector<Permit> &Permits = Found->second.Permits;
  const auto Valid =
      std::find_if(Permits.begin(), Permits.end(),
                   [&](const Permit &Each) { return Each.ExpiresAt > Now; });
  if (Valid != Permits.end())
    Permits.erase(Valid);
}

void RateShares::request(std::uint64_t Upstream, std::uint32_t Count,
                         TimePoint Now) {
  if (!this->limitOf(Upstream))
    return;
  const std::string *Issuer = this->issuerOf(Upstream);
  if (!Issuer)
    return;
  Stock &Own = this->Stocks[Upstream];
  const bool IsPending =
      Own.Requested > 0 && Now < Own.RequestedAt + RequestPeriod;
  if (IsPending && Count <= 2 * Own.Requested)
    return;
  if (Now >= this->RequestWindow + RequestPeriod) {
    this->RequestWindow = Now;
    this->RequestsInWindow = 0;
  }
  if (this->RequestsInWindow >= MaxRequests)
    return;
  ++this->RequestsInWindow;
  Own.Requested = Count;
  Own.RequestedAt = Now;
  const PermitRequest Request{
      Upstream, Count,
      std::chrono::floor<Milliseconds>(Now.time_since_epoch()).count()};
  if (Issuer == &this->Self)
    this->receiveRequest(this->Self, Request, Now);
  else
    this->send(*Issuer, {.Statements = {this->toMessage(Upstream, Now)},
                         .Requests = {Request}});
}

std::optional<TimePoint> RateShares::expectedAt(std::uint64_t Upstream,
                                                TimePoint Now) const {
  const auto Found = this->Stocks.find(Upstream);
  if (Found == this->Stocks.end() ||
      Now >= Found->second.BacklogAt + BacklogLife)
    return std::nullopt;
  return Found->second.BacklogAt + Found->second.Backlog;
}

void RateShares::receive(const RateMessage &Message, TimePoint Now) {
  for (const RateStatement &Each : Message.Statements) {
    const bool IsStated = this->merge(
        Each.Upstream, {Each.PerSecond, Now - Each.Age}, Message.From, Now);
    const bool IsCold = this->mergeCold(
        Each.Upstream, {Each.ColdPerSecond, Now + Each.ColdLeft}, Message.From,
        Now);
    if ((IsStated || IsCold) && this->issuerOf(Each.Upstream) == &this->Self)
      this->Unannounced.insert(Each.Upstream);
  }
  for (const PermitRequest &Each : Message.Requests)
    this->receiveRequest(Message.From, Each, Now);
  for (const PermitGrant &Each : Message.Grants)
    this->deliver(Message.From, Each, Now);
  for (const PermitReturn &Each : Message.Returns)
    if (const auto Issuer = this->Issuers.find(Each.Upstream);
        Issuer != this->Issuers.end()) {
      Issuer->second.giveBack(Each.Count, Now);
      this->issue(Each.Upstream, Issuer->second, Now);
    }
}

void RateShares::receiveRequest(const std::string &From,
                                const PermitRequest &Request, TimePoint Now) {
  PermitIssuer *Issuer = this->ownIssuer(Request.Upstream, Now);
  if (!Issuer) {
    // The sender has missed the end of the limit.
    if (!this->limitOf(Request.Upstream) &&
        this->Statements.contains(Request.Upstream))
      this->send(From,
                 {.Statements = {this->toMessage(Request.Upstream, Now)}});
    return;
  }
  Issuer->request({From, Request.Count, Request.SentMs, Now + RequestLife},
                  Now);
  this->issue(Request.Upstream, *Issuer, Now);
  const Duration Backlog = Issuer->backlog();
  if (Backlog < MinReportedBacklog)
    return;
  const PermitGrant Report{Request.Upstream, 0, Request.SentMs,
                           std::chrono::ceil<Milliseconds>(Backlog)};
  if (From == this->Self)
    this->deliver(From, Report, Now);
  else
    this->send(From, {.Grants = {Report}});
}

/// Grants the permits that are due.
void RateShares::issue(std::uint64_t Upstream, PermitIssuer &Issuer,
                       TimePoint Now) {
  while (const auto Granted = Issuer.grant(Now)) {
    const PermitGrant Grant{Upstream, 1, Granted->SentMs,
                            std::chrono::ceil<Milliseconds>(Issuer.backlog())};
    if (Granted->Gateway == this->Self)
      this->deliver(this->Self, Grant, Now);
    else
      this->send(Granted->Gateway, {.Grants = {Grant}});
  }
}

void RateShares::deliver(const std::string &From, const PermitGrant &Grant,
                         TimePoint Now) {
  const TimePoint SentAt{Milliseconds(Grant.SentMs)};
  // The steady clock does not show the age of a request from before a
  // suspension.
  if (!this->limitOf(Grant.Upstream) || Now - SentAt > RequestLife ||
      SentAt < this->SettledSince)
    return;
  Stock &Own = this->Stocks[Grant.Upstream];
  Own.Backlog = Grant.Backlog;
  Own.BacklogAt = Now;
  Own.Requested -= std::min(Own.Requested, Grant.Count);
  for (std::uint32_t I = 0; I < Grant.Count; ++I)
    Own.Permits.push_back({Now + PermitLife, From});
  if (Grant.Count > 0)
    this->Events.OnPermits();
}

/// Returns expired permits to their issuers.
void RateShares::returnExpired(TimePoint Now) {
  for (auto &[Upstream, Own] : this->Stocks) {
    std::map<std::string, std::uint32_t> Unused;
    std::erase_if(Own.Permits, [&](const Permit &Each) {
      if (Each.ExpiresAt > Now)
        return false;
      ++Unused[Each.Issuer];
      return true;
    });
    for (const auto &[Issuer, Count] : Unused) {
      if (Issuer != this->Self)
        this->send(Issuer, {.Returns = {{Upstream, Count}}});
      else if (const auto Found = this->Issuers.find(Upstream);
               Found != this->Issuers.end())
        Found->second.giveBack(Count, Now);
    }
  }
}

void RateShares::tick(TimePoint Now) {
  this->expireCold(Now);
  this->returnExpired(Now);
  for (auto &[Upstream, Issuer] : this->Issuers)
    this->issue(Upstream, Issuer, Now);
  this->broadcast(Now);
}

std::optional<TimePoint> RateShares::nextTickAt() const {
  std::optional<TimePoint> Next;
  const auto Consider = [&Next](TimePoint At) {
    Next = Next ? std::min(*Next, At) : At;
  };
  for (const auto &[Upstream, Own] : this->Stocks)
    if (!Own.Permits.empty())
      Consider(Own.Permits.front().ExpiresAt);
  for (const auto &[Upstream, Issuer] : this->Issuers)
    if (const auto At = Issuer.nextGrantAt())
      Consider(*At);
  for (const auto &[Upstream, Cold] : this->ColdLimits)
    Consider(Cold.Until);
  if (!this->Unannounced.empty())
    Consider(this->NextBroadcastAt);
  return Next;
}

} // namespace galenaroute
