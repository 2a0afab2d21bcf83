// Computes the keys of KV cache blocks.
//
//   std::vector<BlockKey> Keys = blockKeys(
//       {.Customer = "marshals", .Model = "steward-7b", .WeightVersion = "v1"},
//       Prompt);
//
// The key of a block is the SHA-256 of the previous block's key and the block's
// text; the chain starts with a digest of the scope. Two prompts therefore
// share a key exactly when they share the scope (customer, model, weight
// version and adapter) and the whole prefix up to the end of that block.
//
// Guarantees: no key addresses the cache of another customer or weight version.

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
/// Estimated bytes of text per token, used in place of a tokenizer.
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

/// The scope within which cache blocks may be shared.
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

/// Returns the keys of the complete blocks of \p Prompt, in order, but at most
/// \p MaxBlocks. Text after the last complete block has no key.
std::vector<BlockKey> blockKeys(const CacheScope &Scope,
                                std::string_view Prompt,
                                std::size_t MaxBlocks = 4096);

/// Returns the estimated number of tokens of \p Prompt.
double estimateTokens(std::string_view Prompt);

/// Returns 64 lower-case hex digits.
std::string toHex(const Digest &Value);

/// Returns the digest with the hex form \p Text, or nothing unless \p Text
/// consists of 64 hex digits.
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
