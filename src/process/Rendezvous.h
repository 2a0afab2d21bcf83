// Rendezvous (highest random weight) hashing.
//
// The node with the highest weight for a key owns the key; when a node leaves,
// only its own keys move. All daemons must compute the same weights, so the
// hash function is defined here rather than taken from the standard library.

#ifndef GALENAROUTE_PROCESS_RENDEZVOUS_H
#define GALENAROUTE_PROCESS_RENDEZVOUS_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace galenaroute {

/// Returns a 64-bit hash of \p Text that continues from \p Hash (FNV-1a).
constexpr std::uint64_t stableHash(std::string_view Text,
                                   std::uint64_t Hash = 0xcbf29ce484222325) {
  for (const char C : Text) {
    Hash ^= static_cast<unsigned char>(C);
    Hash *= 0x100000001b3;
  }
  return Hash;
}

/// Returns \p Hash with all bits mixed, by the finalizer of MurmurHash3.
constexpr std::uint64_t mixBits(std::uint64_t Hash) {
  Hash = (Hash ^ (Hash >> 33)) * 0xff51afd7ed558ccd;
  Hash = (Hash ^ (Hash >> 33)) * 0xc4ceb9fe1a85ec53;
  return Hash ^ (Hash >> 33);
}

/// Returns the weight of \p Node for \p Key. FNV mixes the last bytes poorly,
/// so the result is mixed again.
constexpr std::uint64_t rendezvousWeight(std::string_view Key,
                                         std::string_view Node) {
  return mixBits(stableHash(Node, stableHash(Key) * 31));
}

/// Returns the weight of a node for a key, by their hashes.
constexpr std::uint64_t rendezvousWeight(std::uint64_t KeyHash,
                                         std::uint64_t NodeHash) {
  return mixBits(KeyHash * 31 + NodeHash);
}

/// Returns whether \p Self is among the \p Count nodes with the highest weights
/// for \p Key. \p Nodes contains all live nodes, with or without \p Self; \p
/// IdOf returns the id of a node.
template <typename Range, typename Projection>
bool isAmongFirst(std::string_view Key, std::string_view Self,
                  std::size_t Count, const Range &Nodes, Projection IdOf) {
  const std::uint64_t Own = rendezvousWeight(Key, Self);
  std::size_t Above = 0;
  for (const auto &Each : Nodes) {
    const std::string_view Id = IdOf(Each);
    if (Id != Self && rendezvousWeight(Key, Id) > Own)
      ++Above;
  }
  return Above < Count;
}

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_RENDEZVOUS_H
