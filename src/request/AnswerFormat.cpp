#include "request/AnswerFormat.h"

#include <nlohmann/json.hpp>

namespace galenaroute {

using nlohmann::json;

static json bodyOf(const AnswerHead &Head, std::string_view Object,
                   json Choice) {
  Choice["index"] = 0;
  return {{"id", Head.Id},
          {"object", Object},
          {"created", Head.CreatedSeconds},
          {"model", Head.Model},
          {"choices", json::array({std::move(Choice)})}};
}

static json usageOf(const AnswerEnd &End) {
  return {{"prompt_tokens", End.PromptTokens},
          {"completion_tokens", End.Tokens},
          {"total_tokens", End.PromptTokens + End.Tokens},
          {"prompt_tokens_details", {{"cached_tokens", End.CachedTokens}}}};
}

/// Serializes \p Body. Invalid UTF-8 is replaced, because engines may split a
/// character between two tokens.
static std::string textOf(const json &Body) {
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string wholeBody(const AnswerHead &Head, std::string_view Text,
                      const AnswerEnd &End) {
  json Body;
  if (Head.Api == PromptApi::Chat)
    Body = bodyOf(Head, "chat.completion",
                  {{"message", {{"role", "assistant"}, {"content", Text}}},
                   {"finish_reason", End.Finish}});
  else
    Body = bodyOf(Head, "text_completion",
                  {{"text", Text}, {"finish_reason", End.Finish}});
  Body["usage"] = usageOf(End);
  return textOf(Body);
}

std::string textEvent(const AnswerHead &Head, std::string_view Text) {
  if (Head.Api == PromptApi::Chat)
    return textOf(
        bodyOf(Head, "chat.completion.chunk",
               {{"delta", {{"content", Text}}}, {"finish_reason", nullptr}}));
  return textOf(bodyOf(Head, "text_completion",
                       {{"text", Text}, {"finish_reason", nullptr}}));
}

std::string endEvent(const AnswerHead &Head, const AnswerEnd &End) {
  json Body;
  if (Head.Api == PromptApi::Chat)
    Body = bodyOf(Head, "chat.completion.chunk",
                  {{"delta", json::object()}, {"finish_reason", End.Finish}});
  else
    Body = bodyOf(Head, "text_completion",
                  {{"text", ""}, {"finish_reason", End.Finish}});
  Body["usage"] = usageOf(End);
  return textOf(Body);
}

} // namespace galenaroute
