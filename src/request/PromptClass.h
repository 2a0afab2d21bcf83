// Classifies prompts by the computation that they need.
//
//   PromptClass Class = classifyPrompt({.UncachedTokens = 300,
//                                       .RequestedTokens = 100}, {});
//
// A prompt with a long cached prefix counts as short if little remains to be
// computed. The class determines the queue, the engine priority and the slots
// that the request may use.

#ifndef GALENAROUTE_REQUEST_PROMPTCLASS_H
#define GALENAROUTE_REQUEST_PROMPTCLASS_H

#include <cstddef>
#include <string_view>

namespace galenaroute {

enum class PromptClass { Short, Normal, Long };

inline constexpr std::size_t PromptClassCount = 3;

/// Upper bounds of the classes, in tokens.
struct PromptClassLimits {
  // A short prompt occupies an upstream for well under a second at the prefill
  // and decode speeds of the deployments (about 10,000 and 50 tokens/s).
  double ShortUncached = 1000;
  double ShortRequested = 256;
  double NormalUncached = 8000;
  double NormalRequested = 1024;
};

/// The estimated size of a prompt before it runs, in tokens.
struct PromptSize {
  double UncachedTokens = 0;
  double RequestedTokens = 0;
};

/// Returns the lowest class both of whose bounds hold for \p Size.
PromptClass classifyPrompt(const PromptSize &Size,
                           const PromptClassLimits &Limits);

/// Returns the priority to send to engines, which run higher numbers first.
int enginePriority(PromptClass Class);

/// Returns `short`, `normal` or `long`.
std::string_view toString(PromptClass Class);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_PROMPTCLASS_H
