// Formats the JSON bodies of responses to completion and chat requests.

#ifndef GALENAROUTE_REQUEST_ANSWERFORMAT_H
#define GALENAROUTE_REQUEST_ANSWERFORMAT_H

#include "request/PromptRequest.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace galenaroute {

/// The fields common to all bodies of one response.
struct AnswerHead {
  PromptApi Api = PromptApi::Completion;
  std::string Id;
  std::string Model;
  std::int64_t CreatedSeconds = 0; ///< Since the Unix epoch.
};

/// The end of a complete response.
struct AnswerEnd {
  std::string Finish;
  std::uint64_t PromptTokens = 0;
  std::uint64_t CachedTokens = 0;
  std::uint64_t Tokens = 0;
};

/// Returns the body of a response that is not streamed.
std::string wholeBody(const AnswerHead &Head, std::string_view Text,
                      const AnswerEnd &End);

/// Returns the data of a streamed event with \p Text.
std::string textEvent(const AnswerHead &Head, std::string_view Text);

/// Returns the data of the last event before `[DONE]`.
std::string endEvent(const AnswerHead &Head, const AnswerEnd &End);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_ANSWERFORMAT_H
