// The text that the engine emulator generates: a function of the prompt and
// the offset alone, so that a test can compute the whole right answer and tell
// a lost, repeated or foreign token from it.

#ifndef GALENAROUTE_EMULATOR_GENERATEDTEXT_H
#define GALENAROUTE_EMULATOR_GENERATEDTEXT_H

#include <cstdint>
#include <string>
#include <string_view>

namespace galenaroute::emulator {

/// Returns the number that selects the answer to \p Prompt.
std::uint64_t answerSeed(std::string_view Prompt);

/// Returns the text of the token at \p Offset, with a leading space but for
/// the first.
std::string tokenText(std::uint64_t Seed, std::uint64_t Offset);

/// Returns the whole answer of \p Tokens tokens to \p Prompt.
std::string wholeAnswer(std::string_view Prompt, std::uint64_t Tokens);

} // namespace galenaroute::emulator

#endif // GALENAROUTE_EMULATOR_GENERATEDTEXT_H
