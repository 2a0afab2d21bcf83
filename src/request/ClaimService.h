// The gate of calls that must not repeat, over the peers and the platform.
//
// Two parts in one daemon. The entry part holds the attempts of the callers
// here: it asks the owner of the key's range, and answers other daemons that
// ask whether an attempt may still be sent. The owner part applies ClaimLog to
// the ranges for which it is asked. The owner is chosen by rendezvous hashing
// to keep writes to one range together; any daemon may act as owner at any
// time, and does so for its own attempts when the owner does not answer.
//
//   ClaimService Claims(Api, Ports, Settings, Nonce);
//   Peers.handle(Type, ...) -> Claims.onMessage(Type, From, Body)
//
// Guarantees: those of ClaimGate. A holder is named
// `<daemon id>|<nonce of the process>|<number>`; an attempt that was answered
// Unavailable, or is being released, is never sent, and other daemons are told
// so when they find its claim. Memory is bounded by MaxAttempts, the number of
// ranges and the bounds of ClaimLog.

#ifndef GALENAROUTE_REQUEST_CLAIMSERVICE_H
#define GALENAROUTE_REQUEST_CLAIMSERVICE_H

#include "connection/PeerLink.h"
#include "connection/PlatformClient.h"
#include "request/ClaimLog.h"

namespace galenaroute {

/// What the service needs from the daemon around it.
struct ClaimPorts {
  std::function<std::string()> SelfId;
  std::function<bool(const std::string &To, const PeerMessage &Message)> Send;
  /// The ids of the daemons that may own ranges.
  std::function<std::vector<std::string>()> LiveIds;
  /// Whether the process of this id is known to have ended.
  std::function<bool(const std::string &Id)> IsGone;
  std::function<ClaimTime()> Time;
  /// Arranges for run() to be called after the delay, in place of what was
  /// arranged before.
  std::function<void(Duration)> WakeAfter;
};

struct ClaimServiceSettings {
  ClaimLogSettings Log;
  /// The same in all daemons of a deployment, for ever.
  unsigned Ranges = 16;
  Duration ClaimTimeout = std::chrono::milliseconds(2500);
  /// When an owner has not answered, this daemon acts as owner.
  Duration OwnerTimeout = std::chrono::milliseconds(700);
  Duration FinishRetry = std::chrono::seconds(1);
  Duration HolderTimeout = std::chrono::milliseconds(300);
  Duration IdleDrop = std::chrono::seconds(30);
  Duration RetentionPeriod = std::chrono::minutes(1);
  /// Attempts that are not settled yet; at 4 KB of outcome each, 16 MB.
  std::size_t MaxAttempts = 4096;
};

class ClaimService : public ClaimGate {
public:
  /// \p Nonce differs for each process that ever ran.
  ClaimService(Platform &Api, ClaimPorts Ports,
               const ClaimServiceSettings &Settings, std::string Nonce);
  ~ClaimService() override;

  void claim(const ClaimKey &Key, std::string_view RequestDigest,
             OnClaim Done) override;
  void finish(const ClaimToken &Token, const ClaimOutcome &Outcome) override;
  void release(const ClaimToken &Token, OnRelease Done) override;

  /// The message types that onMessage() takes.
  static std::vector<std::string> messageTypes();

  /// Takes a message of another daemon; throws when it is malformed.
  void onMessage(const std::string &Type, const std::string &From,
                 const nlohmann::json &Body);

  /// Does what is due.
  void run();

  /// Returns whether no attempt of this daemon waits to become durable.
  bool isSettled() const { return this->Attempts.empty(); }

private:
  struct Attempt {
    ClaimAsk Ask = ClaimAsk::Claim;
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
    ClaimAsk Ask = ClaimAsk::Claim;
  };
  struct Query {
    unsigned Range = 0;
    TimePoint Deadline;
  };

  // The entry part.
  void send(const std::string &Holder, Attempt &What);
  void checkAttempts();
  void onReply(const std::string &Holder, ClaimAsk Ask, ClaimVerdict Verdict,
               const ClaimOutcome &Outcome);
  HolderState holderState(const std::string &Holder) const;

  // The owner part.
  unsigned rangeOf(const std::string &KeyDigest) const;
  std::string ownerOf(unsigned Range) const;
  void submit(const std::string &From, ClaimAsk Ask, ClaimRecord Record,
              Duration Limit);
  void step(unsigned Index, const ClaimEvent &Event);
  void startOp(unsigned Index, const ClaimOp &Op);
  void answer(const ClaimReply &Reply);
  void askHolder(unsigned Index, const std::string &Holder);
  void dropIdle();

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
  std::map<std::uint64_t, Origin> Origins;   ///< By request id.
  std::multimap<std::string, Query> Queries; ///< By holder.
  std::deque<std::function<void()>> Deferred;
  TimePoint ScheduledAt = TimePoint::max();
  // Callbacks of the platform check it, because they may outlive this object.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CLAIMSERVICE_H
