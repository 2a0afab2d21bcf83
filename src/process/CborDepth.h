// Checks how deeply a CBOR document is nested before it is read.
//
//   if (!isBoundedCbor(Bytes, /*MaxDepth=*/16))
//     return std::nullopt;
//   const json Value = json::from_cbor(Bytes);
//
// The reader of the JSON library recurses for each level of arrays, maps and
// tags, and also for each chunk that begins another text without a length, so
// that a short message could use up the stack.

#ifndef GALENAROUTE_PROCESS_CBORDEPTH_H
#define GALENAROUTE_PROCESS_CBORDEPTH_H

#include <cstddef>
#include <string_view>

namespace galenaroute {

/// Returns whether the first item of \p Bytes nests at most \p MaxDepth arrays
/// and maps, and has no tag and nothing of indefinite length, which the writer
/// of the library never produces. What is malformed otherwise is left to the
/// reader. Uses a fixed amount of the stack.
bool isBoundedCbor(std::string_view Bytes, std::size_t MaxDepth);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_CBORDEPTH_H
