// Keys of KV cache blocks.
//
//   std::vector<BlockKey> Keys = blockKeys(
//       {.Customer = "marshals", .Model = "steward-7b", .WeightVersion = "v1"},
//       Prompt);
//
// The key of a block is a SHA-256 over the key of the block before it and the
// block's text; the chain starts at a digest of the scope. Two prompts
// therefore share a key exactly when they share the whole prefix up to the
// end of that block and the scope: customer, model, weight version and
// adapter. Cache of one customer or version can't be addressed by another.

#ifndef GALENAROUTE_REQUEST_BLOCKCHAIN_H
#define GALENAROUTE_REQUEST_BLOCKCHAIN_H

#include <array>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenaroute {

/// Tokens in one block.
inline constexpr std::size_t BlockTokens = 1000;
/// Bytes of text that stand for one token where no tokenizer is given.
inline constexpr std::size_t BytesPerToken = 4;
inline constexpr std::size_t BlockBytes = BlockTokens * BytesPerToken;

/// A SHA-256 digest.
struct Digest {
  std::array<std::uint8_t, 32> Bytes{};
  bool operator==(const Digest &) const = default;
  bool operator<(const Digest &Other) const {
    return this->Bytes < Other.Bytes;
  }
};

using BlockKey = Digest;

/// What cache blocks may not be shared across.
struct CacheScope {
  std::string_view Customer;
  std::string_view Model;
  std::string_view WeightVersion;
  std::string_view Adapter;
};

/// Returns the SHA-256 of \p Parts, each preceded by its length, so that
/// moving bytes from one part to the next changes the digest. Throws
/// Error(Internal) when libcrypto fails.
Digest digestOf(std::initializer_list<std::string_view> Parts);

/// Returns the keys of the complete blocks of \p Prompt, in order; text after
/// the last complete block has no key. At most \p MaxBlocks are computed.
std::vector<BlockKey> blockKeys(const CacheScope &Scope,
                                std::string_view Prompt,
                                std::size_t MaxBlocks = 4096);

/// Returns the estimated number of tokens of \p Prompt.
double estimateTokens(std::string_view Prompt);

/// Returns 64 lower-case hex digits.
std::string toHex(const Digest &Value);

/// Returns the digest written as \p Text, or nothing unless it consists of 64
/// hex digits.
std::optional<Digest> digestFromHex(std::string_view Text);

} // namespace galenaroute

/// Digests are uniformly distributed, so their first bytes serve as the hash.
template <> struct std::hash<galenaroute::Digest> {
  std::size_t operator()(const galenaroute::Digest &Value) const noexcept {
    std::size_t Result;
    std::memcpy(&Result, Value.Bytes.data(), sizeof(Result));
    return Result;
  }
};

#endif // GALENAROUTE_REQUEST_BLOCKCHAIN_H
