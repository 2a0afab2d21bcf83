#include "process/PermitIssuer.h"

#include <algorithm>

namespace galenaroute {

/// Time for which unused permits accumulate.
static constexpr Duration BurstTime = std::chrono::milliseconds(100);
/// Bounds a backlog, and keeps it finite at a rate of zero.
static constexpr double MaxBacklogSeconds = 60;
/// Added to the time of a grant, so that a whole permit is available then
/// despite rounding.
static constexpr Duration GrantDelay = std::chrono::microseconds(1);
/// Tolerance for a sum of fractions of a permit.
static constexpr double WholePermit = 1 - 1e-9;

double PermitIssuer::burst() const {
  return std::max(1.0, this->Rate * toSeconds(BurstTime));
}

void PermitIssuer::fill(TimePoint Now) {
  if (Now <= this->FilledAt)
    return;
  this->Available =
      std::min(this->burst(),
               this->Available + this->Rate * toSeconds(Now - this->FilledAt));
  this->FilledAt = Now;
}

void PermitIssuer::setRate(double PerSecond, TimePoint Now) {
  this->fill(Now);
  this->Rate = PerSecond;
  this->Available = std::min(this->Available, this->burst());
}

void PermitIssuer::request(PendingPermits Request, TimePoint Now) {
  std::erase_if(this->Requests,
                [&](const auto &Each) { return Each.ExpiresAt <= Now; });
  const auto Known = std::find_if(
      this->Requests.begin(), this->Requests.end(),
      [&](const auto &Each) { return Each.Gateway == Request.Gateway; });
  if (Known != this->Requests.end())
    *Known = std::move(Request);
  else
    this->Requests.push_back(std::move(Request));
}

void PermitIssuer::giveBack(std::uint32_t Count, TimePoint Now) {
  this->fill(Now);
  this->Available = std::min(this->burst(), this->Available + Count);
}

std::optional<PendingPermits> PermitIssuer::grant(TimePoint Now) {
  this->fill(Now);
  while (!this->Requests.empty() && this->Available >= WholePermit) {
    PendingPermits Next = std::move(this->Requests.front());
    this->Requests.pop_front();
    if (Next.ExpiresAt <= Now || Next.Count == 0)
      continue;
    this->Available -= 1;
    if (Next.Count > 1) {
      this->Requests.push_back(Next);
      --this->Requests.back().Count;
    }
    return Next;
  }
  return std::nullopt;
}

std::optional<TimePoint> PermitIssuer::nextGrantAt() const {
  if (this->Requests.empty() || this->Rate <= 0)
    return std::nullopt;
  const double Missing = std::max(0.0, 1 - this->Available);
  return this->FilledAt + GrantDelay +
         fromSeconds(std::min(MaxBacklogSeconds, Missing / this->Rate));
}

Duration PermitIssuer::backlog() const {
  double Requested = 0;
  for (const PendingPermits &Each : this->Requests)
    Requested += Each.Count;
  const double Missing = std::max(0.0, Requested - this->Available);
  if (Missing == 0)
    return Duration::zero();
  return fromSeconds(this->Rate > 0
                         ? std::min(MaxBacklogSeconds, Missing / this->Rate)
                         : MaxBacklogSeconds);
}

} // namespace galenaroute
