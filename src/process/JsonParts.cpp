#include "process/JsonParts.h"

namespace galenaroute {

static constexpr std::string_view Spaces = " \t\r\n";

std::string_view trimJson(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(Spaces);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Spaces) - First + 1);
}

std::size_t endOfString(std::string_view Text, std::size_t At) {
  for (++At; At < Text.size(); ++At) {
    if (Text[At] == '\\')
      ++At;
    else if (Text[At] == '"')
      return At + 1;
  }
  return Text.size();
}

/// Returns the position of the first of \p Ends from \p At that is in no string
/// and in no inner object or array.
static std::size_t findOuter(std::string_view Text, std::size_t At,
                             std::string_view Ends) {
  std::size_t Depth = 0;
  while (At < Text.size()) {
    const char C = Text[At];
    if (C == '"') {
      At = endOfString(Text, At);
      continue;
    }
    if (Depth == 0 && Ends.find(C) != std::string_view::npos)
      return At;
    if (C == '{' || C == '[')
      ++Depth;
    else if ((C == '}' || C == ']') && Depth > 0)
      --Depth;
    ++At;
  }
  return Text.size();
}

bool isWhole(std::string_view Text) {
  Text = trimJson(Text);
  if (!Text.starts_with('{') && !Text.starts_with('['))
    return false;
  const std::string_view End = Text.front() == '{' ? "}" : "]";
  return findOuter(Text, 1, End) == Text.size() - 1;
}

void forEachElement(std::string_view Text, const OnJsonElement &Visit) {
  Text = trimJson(Text);
  if (!Text.starts_with('['))
    return;
  bool IsFirst = true;
  for (std::size_t At = 1; At < Text.size();) {
    const std::size_t End = findOuter(Text, At, ",]");
    const std::string_view Element = trimJson(Text.substr(At, End - At));
    const bool IsLast = End >= Text.size() || Text[End] == ']';
    const bool IsEmptyArray = IsFirst && IsLast && Element.empty();
    if ((!IsEmptyArray && !Visit(Element)) || IsLast)
      return;
    IsFirst = false;
    At = End + 1;
  }
}

void forEachMember(std::string_view Text, const OnJsonMember &Visit) {
  Text = trimJson(Text);
  if (!Text.starts_with('{'))
    return;
  for (std::size_t At = 1; At < Text.size();) {
    const std::size_t Colon = findOuter(Text, At, ":,}");
    if (Colon >= Text.size() || Text[Colon] != ':')
      return;
    const std::size_t End = findOuter(Text, Colon + 1, ",}");
    if (!Visit(trimJson(Text.substr(At, Colon - At)),
               trimJson(Text.substr(Colon + 1, End - Colon - 1))))
      return;
    if (End >= Text.size() || Text[End] == '}')
      return;
    At = End + 1;
  }
}

std::string_view memberOf(std::string_view Text, std::string_view Name) {
  std::string_view Result;
  forEachMember(Text, [&](std::string_view Key, std::string_view Value) {
    const bool IsFound = Key.size() == Name.size() + 2 && Key.front() == '"' &&
                         Key.substr(1, Name.size()) == Name;
    if (IsFound)
      Result = Value;
    return !IsFound;
  });
  return Result;
}

} // namespace galenaroute
