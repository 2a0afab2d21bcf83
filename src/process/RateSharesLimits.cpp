// The limits in force of RateShares: what upstreams state, how gateways tell
// each other, and the limits of cold upstreams.

#include "process/RateShares.h"

#include <algorithm>

namespace galenaroute {

/// Statements this close together may have overtaken each other; the lower
/// limit is used.
static constexpr Duration OvertakeTime = std::chrono::milliseconds(50);
/// Statements on upstreams that are not registered are kept for this long,
/// since entries of the registry may be lost and return.
static constexpr Duration StatementRetention = std::chrono::seconds(60);
/// Minimum time between two broadcasts, for upstreams whose limit changes with
/// each answer.
static constexpr Duration BroadcastPeriod = std::chrono::milliseconds(100);
/// Age of a statement of an upstream that has stated nothing.
static constexpr Milliseconds UnknownAge = std::chrono::hours(1);
/// A time for which an upstream stays cold that is longer by this is announced.
/// It grows by the time of each message that passes it on.
static constexpr Duration MinColdExtension = std::chrono::milliseconds(250);
/// About 25 bytes each; keeps a message below EntryChannel::MaxBytes.
static constexpr std::size_t MaxStatementsPerMessage = 256;

/// Returns whether \p A allows more than \p B.
static bool isLooser(std::optional<double> A, std::optional<double> B) {
  return B && (!A || *A > *B);
}

std::optional<double> RateShares::limitOf(std::uint64_t Upstream) const {
  std::optional<double> Limit;
  if (const auto Found = this->Statements.find(Upstream);
      Found != this->Statements.end())
    Limit = Found->second.PerSecond;
  if (const auto Cold = this->ColdLimits.find(Upstream);
      Cold != this->ColdLimits.end() && isLooser(Limit, Cold->second.PerSecond))
    Limit = Cold->second.PerSecond;
  return Limit;
}

/// Merges a statement of an upstream. Returns whether the limit changed.
bool RateShares::merge(std::uint64_t Upstream, const Statement &Next,
                       std::string_view Source, TimePoint Now) {
  auto It = this->Statements.find(Upstream);
  if (It == this->Statements.end()) {
    if (!Next.PerSecond || this->Statements.size() >= MaxStatements)
      return false;
    It = this->Statements.emplace(Upstream, Statement{std::nullopt, Next.At})
             .first;
  } else if (Next.At < It->second.At - OvertakeTime ||
             (Next.At < It->second.At + OvertakeTime &&
              isLooser(Next.PerSecond, It->second.PerSecond))) {
    return false;
  }
  Statement &Known = It->second;
  const std::optional<double> Before = this->limitOf(Upstream);
  this->LimitedCount += Next.PerSecond.has_value();
  this->LimitedCount -= Known.PerSecond.has_value();
  Known = {Next.PerSecond, std::max(Known.At, Next.At)};
  return this->applyChange(Upstream, Before, Source, Now);
}

/// Merges a limit of a cold upstream. Returns whether the limit changed, or
/// holds for longer than the others may know.
bool RateShares::mergeCold(std::uint64_t Upstream, const ColdLimit &Next,
                           std::string_view Source, TimePoint Now) {
  if (Next.PerSecond <= 0 || Next.Until <= Now ||
      (this->ColdLimits.size() >= MaxStatements &&
       !this->ColdLimits.contains(Upstream)))
    return false;
  const std::optional<double> Before = this->limitOf(Upstream);
  ColdLimit &Known = this->ColdLimits[Upstream];
  const bool IsExtended = Next.Until > Known.Until + MinColdExtension;
  Known = {Next.PerSecond, std::max(Known.Until, Next.Until)};
  return this->applyChange(Upstream, Before, Source, Now) || IsExtended;
}

void RateShares::limitCold(std::uint64_t Upstream, double PerSecond,
                           TimePoint Until, TimePoint Now) {
  if (this->mergeCold(Upstream, {PerSecond, Until}, "registry", Now))
    this->announce(Upstream, Now);
}

/// Ends the limits of upstreams that are warm.
void RateShares::expireCold(TimePoint Now) {
  for (auto It = this->ColdLimits.begin(); It != this->ColdLimits.end();) {
    const auto Each = It++;
    if (Each->second.Until > Now)
      continue;
    const std::uint64_t Upstream = Each->first;
    const std::optional<double> Before = this->limitOf(Upstream);
    this->ColdLimits.erase(Each);
    this->applyChange(Upstream, Before, "warm", Now);
  }
}

/// Applies the limit in force if it is not \p Before. Returns whether it
/// differs.
bool RateShares::applyChange(std::uint64_t Upstream,
                             std::optional<double> Before,
                             std::string_view Source, TimePoint Now) {
  const std::optional<double> Limit = this->limitOf(Upstream);
  if (Limit == Before)
    return false;
  // Permits of a higher rate would exceed a lower one.
  if (!Limit || isLooser(Before, Limit))
    this->Stocks.erase(Upstream);
  if (!Limit)
    this->Issuers.erase(Upstream);
  else if (const auto Issuer = this->Issuers.find(Upstream);
           Issuer != this->Issuers.end())
    Issuer->second.setRate(this->ownRate(*Limit), Now);
  this->Events.OnLimit(Upstream, Limit, Source);
  if (isLooser(Limit, Before))
    this->Events.OnPermits();
  return true;
}

void RateShares::noteAnswer(std::uint64_t Upstream,
                            std::optional<double> PerSecond, TimePoint Now) {
  if (!PerSecond && this->Statements.empty())
    return;
  if (this->merge(Upstream, {PerSecond, Now}, "answer", Now))
    this->announce(Upstream, Now);
}

/// Reports a changed limit to the issuer, which broadcasts it. Otherwise each
/// gateway would broadcast what it reads from its own first answer.
void RateShares::announce(std::uint64_t Upstream, TimePoint Now) {
  const std::string *Issuer = this->issuerOf(Upstream);
  if (Issuer == &this->Self)
    this->Unannounced.insert(Upstream);
  else if (Issuer)
    this->send(*Issuer, {.Statements = {this->toMessage(Upstream, Now)}});
}

RateStatement RateShares::toMessage(std::uint64_t Upstream,
                                    TimePoint Now) const {
  RateStatement Result{.Upstream = Upstream, .Age = UnknownAge};
  if (const auto Found = this->Statements.find(Upstream);
      Found != this->Statements.end()) {
    Result.PerSecond = Found->second.PerSecond;
    Result.Age = std::chrono::floor<Milliseconds>(Now - Found->second.At);
  }
  if (const auto Cold = this->ColdLimits.find(Upstream);
      Cold != this->ColdLimits.end()) {
    Result.ColdPerSecond = Cold->second.PerSecond;
    Result.ColdLeft = std::chrono::ceil<Milliseconds>(Cold->second.Until - Now);
  }
  return Result;
}

void RateShares::send(const std::string &To, RateMessage Message) {
  Message.From = this->Self;
  this->Events.Send(To, Message);
}

void RateShares::broadcast(TimePoint Now) {
  if (this->Unannounced.empty() || Now < this->NextBroadcastAt)
    return;
  this->NextBroadcastAt = Now + BroadcastPeriod;
  RateMessage Message;
  while (!this->Unannounced.empty() &&
         Message.Statements.size() < MaxStatementsPerMessage) {
    const std::uint64_t Upstream =
        this->Unannounced.extract(this->Unannounced.begin()).value();
    Message.Statements.push_back(this->toMessage(Upstream, Now));
  }
  for (const Member &Each : this->Others)
    this->send(Each.Id, Message);
}

std::vector<RateStatement>
RateShares::statements(std::size_t Max, TimePoint Now,
                       std::mt19937_64 &Random) const {
  std::vector<RateStatement> Result;
  for (const auto &[Upstream, Each] : this->Statements)
    Result.push_back(this->toMessage(Upstream, Now));
  for (const auto &[Upstream, Each] : this->ColdLimits)
    if (!this->Statements.contains(Upstream))
      Result.push_back(this->toMessage(Upstream, Now));
  std::shuffle(Result.begin(), Result.end(), Random);
  if (Result.size() > Max)
    Result.resize(Max);
  return Result;
}

void RateShares::retain(
    const std::function<bool(std::uint64_t Upstream)> &IsRegistered,
    TimePoint Now) {
  std::erase_if(this->Statements, [&](const auto &Each) {
    const auto &[Upstream, Last] = Each;
    if (Now - Last.At < StatementRetention ||
        (Last.PerSecond && IsRegistered(Upstream)))
      return false;
    this->LimitedCount -= Last.PerSecond.has_value();
    if (!this->ColdLimits.contains(Upstream)) {
      this->Stocks.erase(Upstream);
      this->Issuers.erase(Upstream);
    }
    return true;
  });
}

} // namespace galenaroute
