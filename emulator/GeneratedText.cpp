#include "GeneratedText.h"

#include <array>

namespace galenaroute::emulator {

std::uint64_t answerSeed(std::string_view Prompt) {
  // FNV-1a: the seed must be the same on every machine, which std::hash does
  // not promise.
  std::uint64_t Result = 14695981039346656037ULL;
  for (const unsigned char Byte : Prompt) {
    Result ^= Byte;
    Result *= 1099511628211ULL;
  }
  return Result;
}

std::string tokenText(std::uint64_t Seed, std::uint64_t Offset) {
  static constexpr std::array<std::string_view, 16> Syllables = {
      "ba", "ce", "di", "fo", "gu", "ha", "ke", "li",
      "mo", "nu", "pa", "re", "si", "to", "vu", "za"};
  // SplitMix64 makes neighbouring offsets unrelated.
  std::uint64_t Mixed = Seed + (Offset + 1) * 0x9e3779b97f4a7c15ULL;
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebULL;
  Mixed ^= Mixed >> 31;
  std::string Result = Offset == 0 ? "" : " ";
  for (int I = 0; I < 3; ++I, Mixed >>= 4)
    Result += Syllables[Mixed & 15];
  return Result;
}

std::string wholeAnswer(std::string_view Prompt, std::uint64_t Tokens) {
  const std::uint64_t Seed = answerSeed(Prompt);
  std::string Result;
  for (std::uint64_t I = 0; I < Tokens; ++I)
    Result += tokenText(Seed, I);
  return Result;
}

} // namespace galenaroute::emulator
