// The interface to the at-most-once claims of calls that must not repeat.
//
//   Gate.claim({Customer, Service, Key}, RequestDigest,
//              [](const ClaimAnswer &Answer) {
//                if (Answer.Status == ClaimStatus::Granted)
//                  ... send the call once, then Gate.finish(Answer.Token, ...)
//              });
//
// Guarantees: each callback is called exactly once, never inside the call that
// it belongs to, and within a time that the gate bounds itself. Granted is
// answered to at most one claim of a key for as long as claims are retained,
// unless that claim was released, and only after the claim is durable. After
// Unavailable the caller of claim() must forget the call for good: the claim
// may still become durable, and only the silence of its holder makes the
// answer "not run" stay true.

#ifndef GALENAROUTE_REQUEST_CLAIMGATE_H
#define GALENAROUTE_REQUEST_CLAIMGATE_H

#include "process/Clock.h"

#include <functional>
#include <string>
#include <string_view>

namespace galenaroute {

/// What identifies a call that must not repeat. The same key of another
/// customer or of another service is another call.
struct ClaimKey {
  std::string Customer;
  std::string Service;
  std::string Key; ///< `Idempotency-Key`, or the caller's `X-Request-Id`.
  bool operator==(const ClaimKey &) const = default;
};

/// Names one granted claim; opaque to all but the gate.
struct ClaimToken {
  ClaimKey Key;
  std::string Holder; ///< Chosen by the gate; differs for each grant.
};

/// How a claimed call ended.
struct ClaimOutcome {
  bool Ran = false; ///< False: the call was sent, its outcome is unknown.
  int Status = 0;   ///< HTTP status of the answer; only when Ran.
  std::string ContentType;
  std::string Body;
  /// Whether Body is the whole answer; a body over the gate's limit is not
  /// kept.
  bool BodyKept = true;
};

/// The answer to a claim.
enum class ClaimStatus {
  Granted,    ///< Send the call, once.
  InProgress, ///< Another request holds the key and has not finished.
  MayHaveRun, ///< The key was sent and its outcome is unknown.
  Ran,        ///< The key ran; Outcome holds the stored answer.
  Mismatch,   ///< The key belongs to a request with another digest.
  Unavailable ///< Not durable in time; the call must not be sent.
};

struct ClaimAnswer {
  ClaimStatus Status = ClaimStatus::Unavailable;
  ClaimToken Token;          ///< Only for Granted.
  ClaimOutcome Outcome;      ///< Only for Ran.
  Milliseconds RetryAfter{}; ///< For InProgress and Unavailable; 0: unknown.
};

/// Grants claims. Implemented over the peers and the platform; tests use a
/// fake.
class ClaimGate {
public:
  using OnClaim = std::function<void(const ClaimAnswer &Answer)>;
  using OnRelease = std::function<void(bool Durable)>;

  virtual ~ClaimGate() = default;

  /// Claims \p Key for the request whose method, path and body have the
  /// SHA-256 digest \p RequestDigest (lower-case hex).
  virtual void claim(const ClaimKey &Key, std::string_view RequestDigest,
                     OnClaim Done) = 0;

  /// Stores how the call of \p Token ended. The gate retries until it is
  /// durable or superseded; until then the key counts as in progress, and
  /// later as may have run.
  virtual void finish(const ClaimToken &Token, const ClaimOutcome &Outcome) = 0;

  /// Gives \p Token back for a call of which no byte was sent. \p Done gets
  /// true once the release is durable, and false when that cannot be known in
  /// time: the caller is then told "may have run", because a later request
  /// with the key would be told so too.
  virtual void release(const ClaimToken &Token, OnRelease Done) = 0;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CLAIMGATE_H
