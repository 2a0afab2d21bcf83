// Decoders of what upstreams and stores report of themselves, design sections
// 7.3 to 7.5.
//
//   if (std::optional<LoadReport> Report = parseLoadReport(Body, SampledBy))
//     noteLoadReport(Tracker, Name, *Report, Now);
//
// Guarantees: any input gives a value within the bounds below or nothing;
// nothing is thrown. Numbers out of range count as a malformed report, because
// a single wrong one would distort every estimate.

#ifndef GALENAROUTE_CONNECTION_UPSTREAMREPORTS_H
#define GALENAROUTE_CONNECTION_UPSTREAMREPORTS_H

#include "request/CacheIndex.h"
#include "request/UpstreamTracker.h"

#include <optional>

namespace galenaroute {

/// More events or keys in one answer are malformed.
inline constexpr std::size_t MaxReportedBlocks = 100000;

/// Decodes an answer to `GET /v1/load` that was sent at \p SentAt.
std::optional<LoadReport> parseLoadReport(std::string_view Text,
                                          TimePoint SentAt);

/// Decodes an answer to `GET /v1/cache/events`. Keys that aren't block keys are
/// left out, since they can't match any prompt of this program.
std::optional<CacheEventBatch> parseCacheEvents(std::string_view Text);

/// A listing of blocks, or one page of it.
struct BlockListing {
  std::uint64_t Seq = 0;
  std::vector<BlockKey> Keys;
  std::string Last;  ///< The last key as written, to ask for the next page.
  bool More = false; ///< Whether there may be a next page.
};

/// Decodes an answer to `GET /v1/cache/blocks` or `GET /v1/blocks`.
std::optional<BlockListing> parseBlockListing(std::string_view Text);

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_UPSTREAMREPORTS_H
