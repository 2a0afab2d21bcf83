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
  switch (Class) {
  case PromptClass::Short:
    return 2;
  case PromptClass::Normal:
    return 1;
  case PromptClass::Long:
    return 0;
  }
  return 0;
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
