#include "request/BlockChain.h"

#include "process/ErrorKind.h"

#include <algorithm>
#include <memory>
#include <openssl/evp.h>

namespace galenaroute {

namespace {

/// A reusable SHA-256 computation.
class Sha256 {
public:
  Sha256() : Context(EVP_MD_CTX_new(), &EVP_MD_CTX_free) {
    check(this->Context != nullptr);
    this->restart();
  }

  void restart() {
    // Fetched once, because a lookup by name takes about as long as hashing a
    // small input.
    static EVP_MD *const Algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    check(Algorithm != nullptr &&
          EVP_DigestInit_ex(this->Context.get(), Algorithm, nullptr) == 1);
  }

  void add(const void *Data, std::size_t Length) {
    check(EVP_DigestUpdate(this->Context.get(), Data, Length) == 1);
  }

  void addPart(std::string_view Part) {
    std::array<std::uint8_t, 8> Length;
    for (std::size_t I = 0; I < Length.size(); ++I)
      Length[I] =
          static_cast<std::uint8_t>(std::uint64_t{Part.size()} >> (8 * I));
    this->add(Length.data(), Length.size());
    this->add(Part.data(), Part.size());
  }

  Digest finish() {
    Digest Result;
    check(EVP_DigestFinal_ex(this->Context.get(), Result.Bytes.data(),
                             nullptr) == 1);
    return Result;
  }

private:
  static void check(bool Succeeded) {
    if (!Succeeded)
      throw Error(ErrorKind::Internal, "libcrypto failed to compute a SHA-256");
  }

  std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> Context;
};

} // namespace

Digest digestOf(std::initializer_list<std::string_view> Parts) {
  Sha256 Hash;
  for (const std::string_view Part : Parts)
    Hash.addPart(Part);
  return Hash.finish();
}

std::vector<BlockKey> blockKeys(const CacheScope &Scope,
                                std::string_view Prompt,
                                std::size_t MaxBlocks) {
  const std::size_t Count = std::min(Prompt.size() / BlockBytes, MaxBlocks);
  std::vector<BlockKey> Keys;
  if (Count == 0)
    return Keys;
  Keys.reserve(Count);
  BlockKey Previous = digestOf(
      {Scope.Customer, Scope.Model, Scope.WeightVersion, Scope.Adapter});
  Sha256 Hash;
  for (std::size_t I = 0; I < Count; ++I) {
    if (I > 0)
      Hash.restart();
    Hash.add(Previous.Bytes.data(), Previous.Bytes.size());
    Hash.add(Prompt.data() + I * BlockBytes, BlockBytes);
    Previous = Hash.finish();
    Keys.push_back(Previous);
  }
  return Keys;
}

double estimateTokens(std::string_view Prompt) {
  const std::size_t Tokens =
      (Prompt.size() + BytesPerToken - 1) / BytesPerToken;
  return static_cast<double>(Tokens);
}

std::string toHex(const Digest &Value) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(2 * Value.Bytes.size());
  for (const std::uint8_t Byte : Value.Bytes) {
    Text.push_back(Digits[Byte >> 4]);
    Text.push_back(Digits[Byte & 15]);
  }
  return Text;
}

static int hexDigit(char Character) {
  if (Character >= '0' && Character <= '9')
    return Character - '0';
  if (Character >= 'a' && Character <= 'f')
    return Character - 'a' + 10;
  if (Character >= 'A' && Character <= 'F')
    return Character - 'A' + 10;
  return -1;
}

std::optional<Digest> digestFromHex(std::string_view Text) {
  Digest Value;
  if (Text.size() != 2 * Value.Bytes.size())
    return std::nullopt;
  for (std::size_t I = 0; I < Value.Bytes.size(); ++I) {
    const int High = hexDigit(Text[2 * I]);
    const int Low = hexDigit(Text[2 * I + 1]);
    if (High < 0 || Low < 0)
      return std::nullopt;
    Value.Bytes[I] = static_cast<std::uint8_t>(High * 16 + Low);
  }
  return Value;
}

} // namespace galenaroute
