#include "request/PromptRequest.h"

#include "process/BoundedJson.h"
#include "process/ErrorKind.h"

#include <charconv>

namespace galenaroute {

using nlohmann::json;

/// What the parsed form of a body may take: a long text takes seven times its
/// size while it is parsed, and many short messages up to fourteen times.
static JsonLimits bodyLimits(std::string_view Body) {
  constexpr std::size_t ShortBody = 16 << 20;
  return {.MaxTreeBytes = ShortBody + 8 * Body.size()};
}

[[noreturn]] static void reject(const std::string &Message) {
  throw Error(ErrorKind::BadRequest, Message);
}

static std::string textField(const json &Body, const char *Name) {
  const auto It = Body.find(Name);
  if (It == Body.end() || It->is_null())
    return {};
  if (!It->is_string())
    reject(std::string("field '") + Name + "' must be a string");
  return *It;
}

/// Returns the field \p Name of \p Body, or \p Default. Fields are not copied:
/// copying JSON recurses, and the caller decides how deeply a field is nested.
static const json &fieldOr(const json &Body, const char *Name,
                           const json &Default) {
  const auto It = Body.find(Name);
  return It == Body.end() ? Default : *It;
}

/// Joins \p Messages into one text in which each turn starts with its role, so
/// that the next request of a conversation has this one as its prefix.
static std::string joinMessages(const json &Messages) {
  if (!Messages.is_array() || Messages.empty())
    reject("field 'messages' must be a non-empty array");
  std::string Result;
  for (const json &Each : Messages) {
    if (!Each.is_object())
      reject("each element of 'messages' must be an object");
    const std::string Role = textField(Each, "role");
    if (Role.empty())
      reject("each element of 'messages' must have a 'role'");
    Result += "<|" + Role + "|>\n" + textField(Each, "content") + "\n";
  }
  return Result + "<|assistant|>\n";
}

PromptRequest parsePromptRequest(PromptApi Api, std::string_view Body) {
  const json Parsed = tryParseJson(Body, bodyLimits(Body));
  if (!Parsed.is_object())
    reject("the request body must be a JSON object");
  PromptRequest Result;
  Result.Api = Api;
  Result.Model = textField(Parsed, "model");
  Result.Adapter = textField(Parsed, "adapter");
  if (Api == PromptApi::Chat) {
    Result.Prompt = joinMessages(fieldOr(Parsed, "messages", json()));
  } else {
    Result.Prompt = textField(Parsed, "prompt");
    if (Result.Prompt.empty())
      reject("field 'prompt' must be a non-empty string");
  }
  const json NoStream = false;
  const json &Stream = fieldOr(Parsed, "stream", NoStream);
  if (!Stream.is_boolean())
    reject("field 'stream' must be a boolean");
  Result.Stream = Stream;
  const json DefaultTokens = DefaultMaxTokens;
  const json &MaxTokens = fieldOr(Parsed, "max_tokens", DefaultTokens);
  if (!MaxTokens.is_number_unsigned() || MaxTokens < 1U ||
      MaxTokens > LargestMaxTokens)
    reject("field 'max_tokens' must be an integer from 1 to " +
           std::to_string(LargestMaxTokens));
  Result.MaxTokens = MaxTokens;
  return Result;
}

ResumePoint parseResumePoint(std::string_view Text) {
  const auto Fail = [] {
    reject("Last-Event-ID must be UPSTREAM~ATTEMPT~OFFSET");
  };
  const std::size_t Second = Text.rfind('~');
  if (Second == std::string_view::npos || Second == 0)
    Fail();
  const std::size_t First = Text.rfind('~', Second - 1);
  if (First == std::string_view::npos || First == 0)
    Fail();
  ResumePoint Result;
  Result.Upstream = Text.substr(0, First);
  Result.Attempt = Text.substr(First + 1, Second - First - 1);
  const char *End = Text.data() + Text.size();
  const auto Read =
      std::from_chars(Text.data() + Second + 1, End, Result.Offset);
  if (Result.Attempt.size() != 32 ||
      Result.Attempt.find_first_not_of("0123456789abcdef") !=
          std::string::npos ||
      Read.ec != std::errc() || Read.ptr != End)
    Fail();
  return Result;
}

std::string toString(const ResumePoint &Point) {
  return Point.Upstream + "~" + Point.Attempt + "~" +
         std::to_string(Point.Offset);
}

} // namespace galenaroute
