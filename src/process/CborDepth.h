// Checks how deeply a CBOR document is nested before it is read.
//
//   if (!isBoundedCbor(Bytes, /*MaxDepth=*/16))
//     return std::nullopt;
//   const json Value = json::from_cbor(Bytes);
//
// The reader of the JSON library recurses for each level of arrays, maps and
// tags, and also for each chunk that begins another text without a length, so
// that a short message could use up the stack. Each item of one byte takes some
// fifty bytes when it is read.

#ifndef GALENAROUTE_PROCESS_CBORDEPTH_H
#define GALENAROUTE_PROCESS_CBORDEPTH_H

#include <cstddef>
#include <string_view>

namespace galenaroute {

/// Messages of peers are at most 256 KiB; their items take four bytes or more
/// on average.
inline constexpr std::size_t DefaultMaxCborItems = 64 << 10;

/// Returns whether the first item of \p Bytes nests at most \p MaxDepth arrays
/// and maps, has at most \p MaxItems items in all, and has no tag and nothing
/// of indefinite length, which the writer of the library never produces. What
/// is malformed otherwise is left to the reader. Uses a fixed amount of the
/// stack.
bool isBoundedCbor(std::string_view Bytes, std::size_t MaxDepth,
                   std::size_t MaxItems = DefaultMaxCborItems);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_CBORDEPTH_H
