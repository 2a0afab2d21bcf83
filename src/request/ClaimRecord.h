// The records of the at-most-once log and their stored form.
//
// The log of a range of keys consists of numbered segments, which are the
// platform objects `claims/<range>.<segment>`:
//
//   {"sealed_ms": 0, "records": [{"k","h","d","s","n","o"?}, ...]}
//
// A record holds the complete state of its key, so only the last record of a
// key, by segment and position, is relevant.

#ifndef GALENAROUTE_REQUEST_CLAIMRECORD_H
#define GALENAROUTE_REQUEST_CLAIMRECORD_H

#include "request/ClaimGate.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

namespace galenaroute {

enum class ClaimState {
  Claimed,  ///< The holder may send the call, is sending it, or gave up.
  Released, ///< The holder didn't send the call and never will.
  Finished  ///< The call was sent; see Outcome.
};

struct ClaimRecord {
  std::string Key; ///< claimKeyDigest().
  std::string Holder;
  std::string Digest; ///< Of the request.
  ClaimState State = ClaimState::Claimed;
  ClaimOutcome Outcome; ///< Only if Finished.
  /// Counts the records of the key, so that of two the later one is known.
  std::uint64_t Generation = 0;
};

/// The value of a segment object.
struct ClaimSegment {
  std::int64_t SealedMs = 0; ///< Wall-clock time; 0 if not sealed.
  std::vector<ClaimRecord> Records;
};

/// Larger response bodies are not stored. A repeat is then answered only that
/// the call ran.
constexpr std::size_t MaxStoredBody = 4096;

/// Returns the first 128 bits, in hex, of the SHA-256 of \p Key.
std::string claimKeyDigest(const ClaimKey &Key);

/// Returns \p Outcome without the body if it is too large to store, and with a
/// generic content type in place of an invalid one.
ClaimOutcome boundedOutcome(ClaimOutcome Outcome);

nlohmann::json toJson(const ClaimOutcome &Outcome);
/// Throws json::exception or std::invalid_argument if \p Value is malformed.
ClaimOutcome claimOutcomeFromJson(const nlohmann::json &Value);
nlohmann::json toJson(const ClaimRecord &Record);
nlohmann::json toJson(const ClaimSegment &Segment);
/// Throws json::exception or std::invalid_argument if \p Value is malformed.
ClaimSegment claimSegmentFromJson(const nlohmann::json &Value);

/// Returns the name of a segment object. Names sort in the order of the segment
/// numbers.
std::string claimSegmentName(unsigned Range, std::uint64_t Segment);
/// Returns the common prefix of the names of all segments of \p Range.
std::string claimSegmentPrefix(unsigned Range);
/// Returns the segment number in \p Name, or 0 if it is not the name of a
/// segment.
std::uint64_t claimSegmentNumber(const std::string &Name);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CLAIMRECORD_H
