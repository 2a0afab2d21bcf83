// Parses the body of a completion or chat request.
//
//   PromptRequest Prompt = parsePromptRequest(PromptApi::Chat, Body);
//
// Unknown fields are ignored, as by other servers of this API.

#ifndef GALENAROUTE_REQUEST_PROMPTREQUEST_H
#define GALENAROUTE_REQUEST_PROMPTREQUEST_H

#include <cstdint>
#include <string>
#include <string_view>

namespace galenaroute {

/// The endpoint that was called; the two differ in the shape of their bodies.
enum class PromptApi { Completion, Chat };

struct PromptRequest {
  PromptApi Api = PromptApi::Completion;
  std::string Model; ///< If empty, the only model service is used.
  std::string Adapter;
  /// The prompt, or the messages of a chat joined into one text.
  std::string Prompt;
  std::uint64_t MaxTokens = 0;
  bool Stream = false;
};

inline constexpr std::uint64_t DefaultMaxTokens = 256;
/// Bounds the computation that one request can demand of an engine.
inline constexpr std::uint64_t LargestMaxTokens = 65536;

/// Parses \p Body. Throws Error(BadRequest) that names the invalid field.
PromptRequest parsePromptRequest(PromptApi Api, std::string_view Body);

/// The position at which a caller resumes a stream: the id of the last event
/// that it received, `<upstream>~<attempt>~<offset>`.
struct ResumePoint {
  std::string Upstream;
  std::string Attempt;
  std::uint64_t Offset = 0;
};

/// Parses a `Last-Event-ID`. Throws Error(BadRequest) if it is malformed.
ResumePoint parseResumePoint(std::string_view Text);

std::string toString(const ResumePoint &Point);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_PROMPTREQUEST_H
