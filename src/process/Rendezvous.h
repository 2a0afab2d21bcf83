// Rendezvous (highest random weight) hashing.
//
// All daemons must compute the same weights, so the hash is fixed here instead
// of taken from the standard library. The node with the highest weight for a
// key owns it; when a node goes, only its own keys move.

#ifndef GALENAROUTE_PROCESS_RENDEZVOUS_H
#define GALENAROUTE_PROCESS_RENDEZVOUS_H

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

/// Returns the weight of \p Node for \p Key.
constexpr std::uint64_t rendezvousWeight(std::string_view Key,
                                         std::string_view Node) {
  std::uint64_t Hash = stableHash(Node, stableHash(Key) * 31);
  // FNV spreads its last bytes badly; this is the finalizer of MurmurHash3.
  Hash = (Hash ^ (Hash >> 33)) * 0xff51afd7ed558ccd;
  Hash = (Hash ^ (Hash >> 33)) * 0xc4ceb9fe1a85ec53;
  return Hash ^ (Hash >> 33);
}

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_RENDEZVOUS_H
