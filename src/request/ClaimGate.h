// Interface for at-most-once execution of non-idempotent calls.
//
//   Gate.claim({Customer, Service, Key}, RequestDigest,
//              [](const ClaimAnswer &Answer) {
//                if (Answer.Status == ClaimStatus::Granted)
//                  ... send the call once, then Gate.finish(Answer.Token, ...)
//              });
//
// Guarantees: each callback runs exactly once, never from within the method
// that it was passed to, and within a time bounded by the implementation. For
// as long as claims are retained, at most one claim of a key is Granted unless
// that claim was released, and only once the claim is durable.
//
// After Unavailable the caller of claim() must never send the call: the claim
// may still become durable, and the answer "not run" stays true only because
// its holder doesn't send.

#ifndef GALENAROUTE_REQUEST_CLAIMGATE_H
#define GALENAROUTE_REQUEST_CLAIMGATE_H

#include "process/Clock.h"

#include <functional>
#include <string>
#include <string_view>

namespace galenaroute {

/// Identifies a non-idempotent call. Equal keys of different customers or
/// services identify different calls.
struct ClaimKey {
  std::string Customer;
  std::string Service;
  std::string Key; ///< `Idempotency-Key`, or the caller's `X-Request-Id`.
  bool operator==(const ClaimKey &) const = default;
};

/// Identifies one granted claim. Opaque to users of the gate.
struct ClaimToken {
  ClaimKey Key;
  std::string Holder; ///< Assigned by the gate; unique for each grant.
};

/// How a claimed call ended.
struct ClaimOutcome {
  bool Ran = false; ///< If false, the call was sent with unknown outcome.
  int Status = 0;   ///< HTTP status of the response; only if Ran.
  std::string ContentType;
  std::string Body;
  /// Whether Body is the whole response body. A body above the size limit of
  /// the gate is dropped.
  bool BodyStored = true;
};

/// The result of a claim.
enum class ClaimStatus {
  Granted,    ///< The caller may send the call once.
  InProgress, ///< Another request holds the key and has not finished.
  MayHaveRun, ///< A call with the key was sent; its outcome is unknown.
  Ran,        ///< A call with the key ran; Outcome holds its response.
  Mismatch,   ///< The key belongs to a request with a different digest.
  Unavailable ///< Not durable in time; the call must not be sent.
};

struct ClaimAnswer {
  ClaimStatus Status = ClaimStatus::Unavailable;
  ClaimToken Token;          ///< Only for Granted.
  ClaimOutcome Outcome;      ///< Only for Ran.
  Milliseconds RetryAfter{}; ///< For InProgress and Unavailable; 0 if unknown.
};

/// Grants claims. Implemented by ClaimService; tests use a fake.
class ClaimGate {
public:
  using OnClaim = std::function<void(const ClaimAnswer &Answer)>;
  using OnRelease = std::function<void(bool Durable)>;

  virtual ~ClaimGate() = default;

  /// Claims \p Key for the request whose method, path and body have the
  /// SHA-256 digest \p RequestDigest (lower-case hex).
  virtual void claim(const ClaimKey &Key, std::string_view RequestDigest,
                     OnClaim Done) = 0;

  /// Stores the outcome of the call of \p Token. The gate retries until the
  /// outcome is durable or superseded. Until then claims of the key are
  /// answered InProgress, or MayHaveRun once this process has ended.
  virtual void finish(const ClaimToken &Token, const ClaimOutcome &Outcome) = 0;

  /// Releases the claim of a call of which no byte was sent. \p Done gets true
  /// once the release is durable, and false if that isn't known in time. In the
  /// latter case the answer to the caller must be "may have run", as it would
  /// be for a later request with the key.
  virtual void release(const ClaimToken &Token, OnRelease Done) = 0;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CLAIMGATE_H
