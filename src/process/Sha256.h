// SHA-256 digests and random identifiers, based on libcrypto.

#ifndef GALENAROUTE_PROCESS_SHA256_H
#define GALENAROUTE_PROCESS_SHA256_H

#include <string>
#include <string_view>

namespace galenaroute {

/// Returns the SHA-256 digest of \p Bytes as 64 lower-case hex digits.
std::string sha256Hex(std::string_view Bytes);

/// Returns 128 random bits as 32 lower-case hex digits. Throws Error(Internal)
/// if the random generator fails, because guessable attempt ids would let one
/// customer read another's stream.
std::string randomId();

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_SHA256_H
