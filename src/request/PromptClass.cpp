#include "request/PromptClass.h"

namespace galenaroute {

PromptClass classifyPrompt(const PromptSize &Size,
                           const PromptClassLimits &Limits) {
  if (Size.UncachedTokens <= Limits.ShortUncached &&
      Size.RequestedTokens <= Limits.ShortRequested)
    return PromptClass::Short;
  if (Size.UncachedTokens <= Limits.NormalUncached &&
      Size.RequestedTokens <= Limits.NormalRequested)
    return PromptClass::Normal;
  return PromptClass::Long;
}

int enginePriority(PromptClass Class) {
  return static_cast<int>(PromptClass::Long) - static_cast<int>(Class);
}

std::string_view toString(PromptClass Class) {
  switch (Class) {
  case PromptClass::Short:
    return "short";
  case PromptClass::Normal:
    return "normal";
  case PromptClass::Long:
    return "long";
  }
  return "long";
}

} // namespace galenaroute
