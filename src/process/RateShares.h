// Shares the rate limits of upstreams among the gateways of a fleet. Does no
// I/O.
//
// An upstream may state how many calls per second it accepts from all gateways
// together. For each such upstream one gateway, chosen by rendezvous hashing,
// issues permits at that rate. A gateway sends a call to the upstream only with
// a permit, which the call uses up.
//
//   RateShares Rates("n1", Events, Now);
//   Rates.setMembers(LiveGateways, KnownCount, Now);        // periodically
//   Rates.noteAnswer(Upstream, Answer.RateLimit, Now);      // for each answer
//   if (Rates.mayCall(Upstream, Now))
//     Rates.take(Upstream, Now);                            // for each send
//   else
//     Rates.request(Upstream, QueuedCalls, Now);
//   Rates.receive(Message, Now);
//   Rates.tick(Now);                                        // at nextTickAt()
//
// An upstream that is cold after its start has a limit of its service until it
// is warm; the lower limit counts.
//
// Upstreams are identified by incarnationKey(), so that a restart ends a limit.
//
// Guarantees: gateways that agree on the issuer send at most rate x T + a burst
// of 0.1 s in any time T. A gateway that starts, was frozen or was isolated
// issues nothing until the others have had time to learn of it, so that an old
// and a new issuer do not both serve the fleet. A gateway that hears only a
// part of the fleet issues a part of the rate. Memory is bounded by the number
// of limited upstreams, at most MaxStatements.

#ifndef GALENAROUTE_PROCESS_RATESHARES_H
#define GALENAROUTE_PROCESS_RATESHARES_H

#include "process/PermitIssuer.h"
#include "process/Rendezvous.h"

#include <functional>
#include <random>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace galenaroute {

/// What is known of the rate limit of an upstream, as sent to other gateways.
struct RateStatement {
  std::uint64_t Upstream = 0;      ///< Its incarnationKey().
  std::optional<double> PerSecond; ///< As it states; nothing for no limit.
  Milliseconds Age{};              ///< Since its answer was read.
  /// The limit while it is cold, and for how much longer it is.
  double ColdPerSecond = 0;
  Milliseconds ColdLeft{};
};

/// Asks the issuer for permits.
struct PermitRequest {
  std::uint64_t Upstream = 0;
  std::uint32_t Count = 0;
  /// When it was sent, by the steady clock of its sender.
  std::int64_t SentMs = 0;
};

/// Grants permits, or reports a backlog if Count is zero.
struct PermitGrant {
  std::uint64_t Upstream = 0;
  std::uint32_t Count = 0;
  std::int64_t SentMs = 0; ///< Of the request.
  Milliseconds Backlog{};  ///< Until all permits requested now are granted.
};

/// Returns permits that were not used.
struct PermitReturn {
  std::uint64_t Upstream = 0;
  std::uint32_t Count = 0;
};

struct RateMessage {
  std::string From; ///< Id of the gateway.
  std::vector<RateStatement> Statements;
  std::vector<PermitRequest> Requests;
  std::vector<PermitGrant> Grants;
  std::vector<PermitReturn> Returns;
};

/// Another gateway that is alive and not leaving.
struct RateMember {
  std::string_view Id;
  bool IssuesPermits = false; ///< As it has announced.
};

struct RateSharesEvents {
  std::function<void(const std::string &Gateway, const RateMessage &Message)>
      Send;
  /// Permits or a changed limit may allow queued calls to be sent.
  std::function<void()> OnPermits = [] {};
  /// The limit in force of an upstream changed. \p Source is "answer",
  /// "registry", "warm" or the id of the gateway that reported it.
  std::function<void(std::uint64_t Upstream, std::optional<double> PerSecond,
                     std::string_view Source)>
      OnLimit = [](std::uint64_t, std::optional<double>, std::string_view) {};
  /// issuesPermits() changed; the other gateways must learn of it.
  std::function<void()> OnIssuingChanged = [] {};
};

class RateShares {
public:
  static constexpr std::size_t MaxStatements = 4096;

  RateShares(std::string Self, RateSharesEvents Events, TimePoint Now);

  /// Sets the other live gateways. \p Known counts this one and the others,
  /// including those that are not heard and may only be unreachable.
  void setMembers(std::span<const RateMember> Live, std::size_t Known,
                  TimePoint Now);
  /// Drops all permits and makes this gateway issue none until it has settled
  /// again, as after a start; for a suspension that the steady clock does not
  /// show.
  void resettle(TimePoint Now);
  /// Stops issuing for good.
  void leave();
  /// Returns whether this gateway issues permits for the upstreams that it
  /// ranks first for.
  bool issuesPermits() const { return this->IsIssuing; }

  void noteAnswer(std::uint64_t Upstream, std::optional<double> PerSecond,
                  TimePoint Now);
  /// Limits the upstream while it is cold.
  void limitCold(std::uint64_t Upstream, double PerSecond, TimePoint Until,
                 TimePoint Now);
  /// Returns the limit in force, or nothing.
  std::optional<double> limitOf(std::uint64_t Upstream) const;
  bool hasLimits() const {
    return this->LimitedCount > 0 || !this->ColdLimits.empty();
  }

  /// Returns whether a call may be sent to the upstream.
  bool mayCall(std::uint64_t Upstream, TimePoint Now) const;
  /// Uses up a permit for a call that is being sent.
  void take(std::uint64_t Upstream, TimePoint Now);
  /// Requests permits for \p Count calls. Repeated requests for the same calls
  /// cost no messages.
  void request(std::uint64_t Upstream, std::uint32_t Count, TimePoint Now);
  /// Returns when permits requested now would be granted, if the issuer has
  /// reported a backlog recently.
  std::optional<TimePoint> expectedAt(std::uint64_t Upstream,
                                      TimePoint Now) const;

  void receive(const RateMessage &Message, TimePoint Now);
  /// Returns statements to gossip, at most \p Max, drawn at random.
  std::vector<RateStatement> statements(std::size_t Max, TimePoint Now,
                                        std::mt19937_64 &Random) const;
  /// Removes old statements on upstreams that \p IsRegistered does not know.
  void retain(const std::function<bool(std::uint64_t Upstream)> &IsRegistered,
              TimePoint Now);

  void tick(TimePoint Now);
  std::optional<TimePoint> nextTickAt() const;

private:
  struct Statement {
    std::optional<double> PerSecond;
    TimePoint At;
  };
  /// The limit of an upstream while it is cold.
  struct ColdLimit {
    double PerSecond = 0;
    TimePoint Until;
  };
  struct Permit {
    TimePoint ExpiresAt;
    std::string Issuer;
  };
  /// Another live gateway.
  struct Member {
    std::string Id;
    std::uint64_t Hash = 0;
    bool IssuesPermits = false;
  };
  /// The permits of this gateway for one upstream.
  struct Stock {
    std::vector<Permit> Permits; ///< By time of expiry.
    std::uint32_t Requested = 0; ///< Not granted yet.
    TimePoint RequestedAt;
    TimePoint BacklogAt; ///< When Backlog was reported.
    Duration Backlog{};
  };

  bool merge(std::uint64_t Upstream, const Statement &Next,
             std::string_view Source, TimePoint Now);
  bool mergeCold(std::uint64_t Upstream, const ColdLimit &Next,
                 std::string_view Source, TimePoint Now);
  void expireCold(TimePoint Now);
  bool applyChange(std::uint64_t Upstream, std::optional<double> Before,
                   std::string_view Source, TimePoint Now);
  void announce(std::uint64_t Upstream, TimePoint Now);
  void broadcast(TimePoint Now);
  void send(const std::string &To, RateMessage Message);
  RateStatement toMessage(std::uint64_t Upstream, TimePoint Now) const;
  const std::string *issuerOf(std::uint64_t Upstream) const;
  PermitIssuer *ownIssuer(std::uint64_t Upstream, TimePoint Now);
  void issue(std::uint64_t Upstream, PermitIssuer &Issuer, TimePoint Now);
  void deliver(const std::string &From, const PermitGrant &Grant,
               TimePoint Now);
  void receiveRequest(const std::string &From, const PermitRequest &Request,
                      TimePoint Now);
  void returnExpired(TimePoint Now);
  void updateIssuing(TimePoint Now);
  double ownRate(double PerSecond) const;

  std::string Self;
  std::uint64_t SelfHash = stableHash(this->Self);
  RateSharesEvents Events;
  std::unordered_map<std::uint64_t, Statement> Statements;
  std::size_t LimitedCount = 0; ///< Statements with a limit.
  std::unordered_map<std::uint64_t, ColdLimit> ColdLimits;
  std::unordered_map<std::uint64_t, Stock> Stocks;
  std::unordered_map<std::uint64_t, PermitIssuer> Issuers;
  std::vector<Member> Others;
  std::size_t KnownCount = 1;
  TimePoint SettledSince;  ///< The start of the time in which it settles.
  TimePoint MembersAt;     ///< The last setMembers().
  bool IsIsolated = false; ///< Hears less than half of the known gateways.
  bool IsIssuing = false;
  bool IsLeaving = false;
  TimePoint IssuesFrom;                ///< Permits are issued from then on.
  std::set<std::uint64_t> Unannounced; ///< Changed limits to broadcast.
  TimePoint NextBroadcastAt;           ///< None is sent before.
  TimePoint RequestWindow;             ///< Start of the current RequestPeriod.
  std::size_t RequestsInWindow = 0;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_RATESHARES_H
