// Issues permits for calls to one upstream at the rate that it accepts from the
// whole fleet. Does no I/O.
//
//   PermitIssuer Issuer(Now);
//   Issuer.setRate(2.5, Now);
//   Issuer.request({.Gateway = "n1", .Count = 2, ...}, Now);
//   while (const auto Granted = Issuer.grant(Now)) ...     // one permit each
//   if (const auto At = Issuer.nextGrantAt(Now)) ...       // grant again then
//
// Guarantees: over any time T, at most rate x T + burst() permits are issued,
// less those that were returned; gateways that request permits take turns; an
// issuer starts without permits, so that a takeover issues none in advance.

#ifndef GALENAROUTE_PROCESS_PERMITISSUER_H
#define GALENAROUTE_PROCESS_PERMITISSUER_H

#include "process/Clock.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace galenaroute {

/// The pending request of one gateway.
struct PendingPermits {
  std::string Gateway;
  std::uint32_t Count = 0;
  std::int64_t SentMs = 0; ///< Echoed in the grants, see PermitRequest.
  TimePoint ExpiresAt;
};

class PermitIssuer {
public:
  /// Permits accrue from \p Since, which may be in the future.
  explicit PermitIssuer(TimePoint Since) : FilledAt(Since) {}

  /// Sets the rate, in permits per second.
  void setRate(double PerSecond, TimePoint Now);
  /// Adds a request, or replaces that of the same gateway.
  void request(PendingPermits Request, TimePoint Now);
  /// Takes back permits that were not used.
  void giveBack(std::uint32_t Count, TimePoint Now);
  /// Issues one permit, if one is due and requested. Returns the request that
  /// it is for.
  std::optional<PendingPermits> grant(TimePoint Now);
  /// Returns when grant() has the next permit, or nothing if none is requested.
  std::optional<TimePoint> nextGrantAt() const;
  /// Returns the time until all requested permits are issued.
  Duration backlog() const;
  /// Returns the number of permits that may be issued at once after a time
  /// without requests.
  double burst() const;

private:
  void fill(TimePoint Now);

  double Rate = 0;
  double Available = 0;
  TimePoint FilledAt;
  std::deque<PendingPermits> Requests; ///< In the order of their turns.
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_PERMITISSUER_H
