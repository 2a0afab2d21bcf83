// Bounds the calls that the upstreams of a brittle service refuse.
//
//   if (noteStatement(Statement, Answer.MaxRefusalsPerSecond, Now, Settings))
//     Allowance = allowanceAt({Slots, Statement->MaxRefusals, Gateways,
//     Position}, {});
//   if (mayCall(Allowance, Sends, OwnCalls, Now, Settings))
//     noteAwaited(Sends, Now, Settings);
//   noteAnswered(Sends, SentAt) or
//   noteRefused(Sends, Allowance, SentAt, OwnCalls, Now, Settings);
//
// A brittle upstream falls over when it refuses more than a stated number of
// calls in a second, counted over all gateways. Refusals come at once, so each
// gateway bounds the calls that it has sent and that may still be refused; each
// refusal uses up one of them for more than a second. No messages between
// gateways are needed.
//
// Guarantees: gateways that agree on their number and order have at most
// RefusalShare of the stated number refused in a second, or, if there are more
// gateways than that, no more calls in flight than the upstream has slots.
// Memory is bounded by the calls in flight.

#ifndef GALENAROUTE_REQUEST_BRITTLEUPSTREAMS_H
#define GALENAROUTE_REQUEST_BRITTLEUPSTREAMS_H

#include "process/Clock.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace galenaroute {

struct BrittleSettings {
  /// Part of the stated refusals that the gateways use. The rest is margin for
  /// a gateway that restarts and for one that others have not heard of.
  double RefusalShare = 0.7;
  /// A call without an answer for this long was not refused.
  Duration AcceptedAfter = std::chrono::milliseconds(100);
  /// A refusal counts for this long: a second, and the difference between the
  /// times at which the upstream and the gateway see it.
  Duration RefusalWindow = std::chrono::milliseconds(1200);
  /// After a refusal, a gateway with more calls in flight than its share keeps
  /// to this part of them, and then to one more each time. This frees slots for
  /// gateways with fewer calls than their share.
  double KeptShare = 0.75;
  Duration GrowthTime = std::chrono::seconds(1);
  /// The statement ends when answers come without it for this long, or when no
  /// answer has come for much longer.
  Duration EndAfter = std::chrono::seconds(2);
  Duration ForgetAfter = std::chrono::seconds(60);
  /// Slots of the gateway's share for each call that may be sent at a time.
  std::size_t SlotsPerAwaited = 8;
};

/// What the upstreams of a service state in their answers.
struct BrittleStatement {
  int MaxRefusals = 0; ///< Per second, at one upstream.
  TimePoint StatedAt;  ///< When the last answer stated it.
};

/// Updates the statement with that of an answer. Returns whether it changed.
/// Answers of a service may come from upstreams that differ for a moment.
bool noteStatement(std::optional<BrittleStatement> &Statement,
                   std::optional<int> MaxRefusals, TimePoint Now,
                   const BrittleSettings &Settings);
/// Returns whether no answer has confirmed the statement for too long.
bool isForgotten(const BrittleStatement &Statement, TimePoint Now,
                 const BrittleSettings &Settings);

/// One gateway before one brittle upstream.
struct BrittleShare {
  std::size_t Slots = 1;
  int MaxRefusals = 0;
  std::size_t Gateways = 1; ///< Also those that are not heard.
  std::size_t Position =
      0; ///< Of this gateway in the upstream's order of them.
};

/// What a gateway may send to a brittle upstream.
struct BrittleAllowance {
  std::size_t MaxAwaited = 0; ///< Calls that may still be refused.
  std::size_t MaxCalls = 0;   ///< In flight; more if IsPooled.
  /// There are refusals for each gateway, so that all slots are for all.
  bool IsPooled = false;
  Duration RefusalLock{}; ///< For which a refusal uses up one of MaxAwaited.
};

/// Returns the part of \p Total of the gateway at \p Position among
/// \p Gateways; the first ones get what remains.
std::size_t dealtPart(std::size_t Total, std::size_t Gateways,
                      std::size_t Position);
BrittleAllowance allowanceAt(const BrittleShare &Share,
                             const BrittleSettings &Settings);
/// Returns the place of a gateway without a share of any slot of its service,
/// at the one upstream that it may try. \p Upstreams are those of the service.
/// The refusals of all such gateways stay below the stated number on average.
BrittleAllowance allowanceWithoutShare(const BrittleShare &Share,
                                       std::size_t Upstreams,
                                       const BrittleSettings &Settings);

/// The recent calls of this gateway to one brittle upstream.
struct BrittleSends {
  std::vector<TimePoint> AwaitedSince; ///< Calls that may still be refused.
  std::vector<TimePoint> LockedUntil;  ///< One for each recent refusal.
  /// Calls in flight that are allowed since the last refusal, if IsPooled.
  double KeptCalls = 0;
  std::optional<TimePoint> RefusedAt; ///< The last refusal.
};

bool mayCall(const BrittleAllowance &Allowance, const BrittleSends &Sends,
             int OwnCalls, TimePoint Now, const BrittleSettings &Settings);
void noteAwaited(BrittleSends &Sends, TimePoint Now,
                 const BrittleSettings &Settings);
/// Notes that the call sent at \p SentAt was accepted.
void noteAnswered(BrittleSends &Sends, TimePoint SentAt);
/// Notes that the call was refused. \p OwnCalls are in flight without it.
void noteRefused(BrittleSends &Sends, const BrittleAllowance &Allowance,
                 TimePoint SentAt, int OwnCalls, TimePoint Now,
                 const BrittleSettings &Settings);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_BRITTLEUPSTREAMS_H
