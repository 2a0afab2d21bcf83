// Implements ClaimGate with peer messages and the platform.
//
// Every gateway has two roles. The holder role tracks the attempts of its own
// callers: it sends claims to the owner of the key's range, and answers queries
// of other gateways whether an attempt may still be sent. The owner role
// applies ClaimLog to the ranges for which it receives claims. Owners are
// chosen by rendezvous hashing, so that one gateway batches the writes of a
// range. This is only an optimization: any gateway may act as owner at any
// time, and does so for its own attempts when the owner doesn't respond.
//
//   ClaimService Claims(Api, Ports, Settings, Nonce);
//   Peers.handle(Type, ...) -> Claims.onMessage(Type, From, Body)
//
// Guarantees: those of ClaimGate. An attempt that was answered Unavailable, or
// is being released, is never sent, and gateways that query its claim are told
// so. Memory is bounded by MaxAttempts, the number of ranges and the bounds of
// ClaimLog.
//
// Holders have the form `<daemon id>|<nonce of the process>|<number>`.

#ifndef GALENAROUTE_REQUEST_CLAIMSERVICE_H
#define GALENAROUTE_REQUEST_CLAIMSERVICE_H

#include "connection/PeerLink.h"
#include "connection/PlatformClient.h"
#include "request/ClaimLog.h"

namespace galenaroute {

/// The functions that ClaimService needs from the daemon.
struct ClaimPorts {
  std::function<std::string()> SelfId;
  std::function<bool(const std::string &To, const PeerMessage &Message)> Send;
  /// Returns the ids of the gateways that may own ranges.
  std::function<std::vector<std::string>()> LiveIds;
  /// Returns whether the process with this id is known to have ended.
  std::function<bool(const std::string &Id)> IsGone;
  std::function<ClaimTime()> Time;
  /// Schedules a call of run() after the delay, replacing any earlier schedule.
  std::function<void(Duration)> WakeAfter;
};

struct ClaimServiceSettings {
  ClaimLogSettings Log;
  /// Must be equal in all gateways of a deployment and must never change.
  unsigned Ranges = 16;
  Duration ClaimTimeout = std::chrono::milliseconds(2500);
  /// If an owner doesn't respond within this time, this gateway acts as owner.
  Duration OwnerTimeout = std::chrono::milliseconds(700);
  Duration FinishRetry = std::chrono::seconds(1);
  Duration HolderTimeout = std::chrono::milliseconds(300);
  Duration RangeIdleTimeout = std::chrono::seconds(30);
  Duration RetentionPeriod = std::chrono::minutes(1);
  /// Maximum number of attempts that are not settled. With outcomes of 4 KB,
  /// they take 16 MB.
  std::size_t MaxAttempts = 4096;
};

class ClaimService : public ClaimGate {
public:
  /// \p Nonce must be unique to this process among all past and present ones.
  ClaimService(Platform &Api, ClaimPorts Ports,
               const ClaimServiceSettings &Settings, std::string Nonce);
  ~ClaimService() override;

  void claim(const ClaimKey &Key, std::string_view RequestDigest,
             OnClaim Done) override;
  void finish(const ClaimToken &Token, const ClaimOutcome &Outcome) override;
  void release(const ClaimToken &Token, OnRelease Done) override;

  /// Returns the message types that onMessage() handles.
  static std::vector<std::string> messageTypes();

  /// Handles a message of another gateway. Throws if it is malformed.
  void onMessage(const std::string &Type, const std::string &From,
                 const nlohmann::json &Body);

  /// Handles expired timers and runs deferred callbacks.
  void run();

  /// Returns whether this gateway has no unsettled attempts.
  bool isSettled() const { return this->Attempts.empty(); }

private:
  struct Attempt {
    ClaimRequestKind Kind = ClaimRequestKind::Claim;
    bool Held = false; ///< Granted, and not yet finished or released.
    ClaimRecord Record;
    ClaimKey Key;
    OnClaim ClaimDone;
    OnRelease ReleaseDone;
    TimePoint Deadline;
    TimePoint NextSend;
    int Sends = 0;
  };
  struct Range {
    ClaimLog Log;
    TimePoint LastUse;
    TimePoint WakeAt = TimePoint::max();
    TimePoint NextRetention;
  };
  struct Origin {
    std::string From;
    std::string Holder;
    ClaimRequestKind Kind = ClaimRequestKind::Claim;
  };
  struct Query {
    unsigned Range = 0;
    TimePoint Deadline;
  };

  // The holder role.
  void send(const std::string &Holder, Attempt &Pending);
  void checkAttempts();
  void onReply(const std::string &Holder, ClaimRequestKind Kind,
               ClaimVerdict Verdict, const ClaimOutcome &Outcome);
  HolderState holderState(const std::string &Holder) const;

  // The owner role.
  unsigned rangeOf(const std::string &KeyDigest) const;
  std::string ownerOf(unsigned Range) const;
  void submit(const std::string &From, ClaimRequestKind Kind,
              ClaimRecord Record, Duration Limit);
  void step(unsigned Index, const ClaimEvent &Event);
  void startOp(unsigned Index, const ClaimOp &Op);
  void answer(const ClaimReply &Reply);
  void queryHolder(unsigned Index, const std::string &Holder);
  void dropIdleRanges();

  void onEraChanged();
  void checkFirstEra();

  void wakeAt(TimePoint At);
  void defer(std::function<void()> Call);

  Platform &Api;
  ClaimPorts Ports;
  ClaimServiceSettings Settings;
  std::string Nonce;
  std::uint64_t NextHolder = 1;
  std::uint64_t NextRequest = 1;
  std::map<std::string, Attempt> Attempts; ///< By holder.
  TimePoint NextCheck = TimePoint::max();
  std::map<unsigned, Range> Ranges;
  /// RecoveryDelay after the era of the platform changed.
  TimePoint DecidesFrom;
  sigc::connection EraChanged;
  bool HasSeenEra = false; ///< Whether an answer has told an era.
  std::map<std::uint64_t, Origin> Origins;   ///< By request id.
  std::multimap<std::string, Query> Queries; ///< By holder.
  std::deque<std::function<void()>> Deferred;
  TimePoint ScheduledAt = TimePoint::max();
  // Checked by platform callbacks, which may outlive this object.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CLAIMSERVICE_H
