// The body of a completion or chat request.
//
//   PromptRequest Prompt = parsePromptRequest(PromptApi::Chat, Body);
//
// Fields that are not listed here are ignored, as other servers of this API
// do.

#ifndef GALENAROUTE_REQUEST_PROMPTREQUEST_H
#define GALENAROUTE_REQUEST_PROMPTREQUEST_H

#include <cstdint>
#include <string>
#include <string_view>

namespace galenaroute {

/// Which of the two calls was made; they differ in the shape of the bodies.
enum class PromptApi { Completion, Chat };

struct PromptRequest {
  PromptApi Api = PromptApi::Completion;
  std::string Model; ///< Empty: the only model service.
  std::string Adapter;
  /// The prompt, or the messages of a chat joined into one text.
  std::string Prompt;
  std::uint64_t MaxTokens = 0;
  bool Stream = false;
};

inline constexpr std::uint64_t DefaultMaxTokens = 256;
/// Keeps the work that one request can ask of an engine bounded.
inline constexpr std::uint64_t LargestMaxTokens = 65536;

/// Parses \p Body; throws Error(BadRequest) that names the field at fault.
PromptRequest parsePromptRequest(PromptApi Api, std::string_view Body);

/// Where a caller wants a stream to go on: the id of the last event it has,
/// `<upstream>~<attempt>~<offset>`.
struct ResumePoint {
  std::string Upstream;
  std::string Attempt;
  std::uint64_t Offset = 0;
};

/// Parses a `Last-Event-ID`; throws Error(BadRequest).
ResumePoint parseResumePoint(std::string_view Text);

std::string toString(const ResumePoint &Point);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_PROMPTREQUEST_H
