#include "process/Sha256.h"

#include "process/ErrorKind.h"

#include <array>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <span>

namespace galenaroute {

static std::string hexOf(std::span<const unsigned char> Bytes) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Result;
  Result.reserve(Bytes.size() * 2);
  for (const unsigned char Each : Bytes) {
    Result += Digits[Each >> 4];
    Result += Digits[Each & 15];
  }
  return Result;
}

std::string sha256Hex(std::string_view Bytes) {
  std::array<unsigned char, 32> Digest{};
  unsigned Size = 0;
  if (EVP_Digest(Bytes.data(), Bytes.size(), Digest.data(), &Size, EVP_sha256(),
                 nullptr) != 1)
    throw Error(ErrorKind::Internal, "libcrypto cannot compute SHA-256");
  return hexOf(Digest);
}

std::string randomId() {
  std::array<unsigned char, 16> Bytes{};
  if (RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size())) != 1)
    throw Error(ErrorKind::Internal, "libcrypto cannot generate random bytes");
  return hexOf(Bytes);
}

} // namespace galenaroute
