// The records of the at-most-once log and their form in the platform.
//
// A range of keys has numbered segments, the objects `claims/<range>.<segment>`
// of the platform:
//
//   {"sealed_ms": 0, "records": [{"k","h","d","s","o"?}, ...]}
//
// A record holds the whole state of its key, so that the last one in the order
// of segments and positions is all that has to be known about a key.

#ifndef GALENAROUTE_REQUEST_CLAIMRECORD_H
#define GALENAROUTE_REQUEST_CLAIMRECORD_H

#include "request/ClaimGate.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

namespace galenaroute {

enum class ClaimState {
  Claimed,  ///< The holder may send the call, is sending it, or gave up.
  Released, ///< The holder did not send the call and never will.
  Finished  ///< The call was sent; Outcome says what came of it.
};

struct ClaimRecord {
  std::string Key; ///< claimKeyDigest().
  std::string Holder;
  std::string Digest; ///< Of the request.
  ClaimState State = ClaimState::Claimed;
  ClaimOutcome Outcome; ///< Only when Finished.
};

/// A segment object.
struct ClaimSegment {
  std::int64_t SealedMs = 0; ///< Wall-clock time; zero while it is current.
  std::vector<ClaimRecord> Records;
};

/// Bodies above this are not kept; a repeat is then told that the call ran.
constexpr std::size_t MaxKeptBody = 4096;

/// Returns 128 bits, in hex, of the SHA-256 over the three parts of \p Key.
std::string claimKeyDigest(const ClaimKey &Key);

/// Returns \p Outcome without what is too large to keep.
ClaimOutcome boundedOutcome(ClaimOutcome Outcome);

nlohmann::json toJson(const ClaimOutcome &Outcome);
/// Throws json::exception or std::invalid_argument when malformed.
ClaimOutcome claimOutcomeFromJson(const nlohmann::json &Value);
nlohmann::json toJson(const ClaimRecord &Record);
nlohmann::json toJson(const ClaimSegment &Segment);
/// Throws json::exception or std::invalid_argument when malformed.
ClaimSegment claimSegmentFromJson(const nlohmann::json &Value);

/// Returns the name of a segment object; names sort as their numbers do.
std::string claimSegmentName(unsigned Range, std::uint64_t Segment);
/// Returns what the names of all segments of \p Range begin with.
std::string claimSegmentPrefix(unsigned Range);
/// Returns the number in \p Name, or 0 when it is not a segment's name.
std::uint64_t claimSegmentNumber(const std::string &Name);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CLAIMRECORD_H
