// SHA-256 in hex and random identifiers, from libcrypto.

#ifndef GALENAROUTE_PROCESS_SHA256_H
#define GALENAROUTE_PROCESS_SHA256_H

#include <string>
#include <string_view>

namespace galenaroute {

/// Returns the SHA-256 digest of \p Bytes as 64 lower-case hex digits.
std::string sha256Hex(std::string_view Bytes);

/// Returns 128 bits of the system's random generator as 32 lower-case hex
/// digits. Throws Error(Internal) when the generator fails, since guessable
/// attempt ids would let one customer read another's stream.
std::string randomId();

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_SHA256_H
