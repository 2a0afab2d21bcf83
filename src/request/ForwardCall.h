// Plain structs that describe forwarded calls, and the interface that reads and
// writes them on the wire.
//
//   CallRequest Call = Codec.readRequest(Head);
//   std::string Bytes = Codec.writeRequest(Call, Plan, Body);
//
// Only implementations of CallCodec know the names of header fields; the
// decision functions work on these structs.

#ifndef GALENAROUTE_REQUEST_FORWARDCALL_H
#define GALENAROUTE_REQUEST_FORWARDCALL_H

#include "connection/HttpParser.h"
#include "process/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace galenaroute {

/// One of the consecutive parts of a prompt, identified by the caller so that
/// prompts with a common prefix can share cached KV blocks.
struct PromptPart {
  std::string Id;
  std::uint32_t Tokens = 0;
};

/// A caller's request.
struct CallRequest {
  std::string Id; ///< Chosen by the caller, one for each attempt.
  std::string Host;
  std::string Method;
  std::string Target;               ///< Path and query as received.
  std::string Key;                  ///< API key; empty when none was sent.
  std::optional<Duration> TimeLeft; ///< How long the caller will wait.
  std::string Model;
  std::vector<PromptPart> Parts;
  std::uint32_t OutputTokens = 0;           ///< Maximum to generate.
  std::optional<std::uint64_t> ResumeAfter; ///< Id of the last event received.
  /// Id of the attempt that brought the first event of the stream that the
  /// caller takes up; empty if it names none.
  std::string Resumes;
  HttpHeaders ForwardedHeaders; ///< Fields that are forwarded unchanged.

  /// Returns whether the caller has received a part of the answer before.
  bool takesUpStream() const {
    return this->ResumeAfter.has_value() || !this->Resumes.empty();
  }

  /// The target without its query.
  std::string_view path() const {
    const std::string_view All = this->Target;
    return All.substr(0, All.find('?'));
  }
};

/// The store that the KV cache of one part is fetched from or saved to; an
/// empty address for none.
struct PartLocation {
  std::string Address;
  std::uint32_t Tokens = 0;
};

/// What the gateway adds to a call that it sends to an upstream.
struct SendPlan {
  std::string Instance; ///< Only the upstream with this id may run the call.
  std::string Customer;
  std::optional<Duration> TimeLeft;
  std::optional<std::uint64_t> ResumeAfter;
  std::optional<std::uint64_t> WeightVersion; ///< Required of the engine.
  int Urgency = 5;                            ///< 0 to 9; 0 is the most urgent.
  std::string CacheScope;          ///< Parts are shared within one scope only.
  std::vector<PartLocation> Fetch; ///< One for each part, or empty.
  std::vector<PartLocation> Save;  ///< One for each part, or empty.
  std::optional<std::int64_t> FetchUntilMs; ///< By the upstreams' clock.
};

/// The load that an upstream reports in an answer.
struct UpstreamLoad {
  int Running = 0;
  int Waiting = 0;
  int Slots = 0;
  double Slowdown = 1; ///< Duration of work there relative to normal.
};

/// The head of an upstream's answer.
struct CallAnswer {
  int Status = 0;
  std::string CallId; ///< Id of the call that it answers.
  bool IsSigned =
      false;           ///< Carries the stamp of an upstream that ran the call.
  bool NotRun = false; ///< The upstream states that it has not run the call.
  bool IsEncoded = false; ///< The body has a content encoding.
  /// The call reached another instance or weight version than it requires.
  bool IsMisdirected = false;
  std::optional<UpstreamLoad> Load;
  std::optional<std::uint64_t> WeightVersion;
  bool IsLeaving = false; ///< The upstream is draining.
  /// How long the upstream asks this process to send no calls.
  std::optional<Duration> PauseFor;
  /// Calls per second that the upstream accepts from all gateways together;
  /// nothing if it states no limit.
  std::optional<double> RateLimit;
  /// The upstream is brittle: it fails if it has to refuse more calls in a
  /// second for lack of room, counted over all gateways.
  std::optional<int> MaxRefusalsPerSecond;
  HttpHeaders
      ForwardedHeaders; ///< Fields that are returned to the caller unchanged.
};

/// Reads and writes calls on the wire.
class CallCodec {
public:
  virtual ~CallCodec() = default;
  /// Throws Error(BadRequest) when a field cannot be read.
  virtual CallRequest readRequest(const HttpHead &Head) const = 0;
  virtual CallAnswer readAnswer(const HttpHead &Head) const = 0;
  /// Returns the complete request message for an upstream.
  virtual std::string writeRequest(const CallRequest &Call,
                                   const SendPlan &Plan,
                                   std::string_view Body) const = 0;
  /// Returns the header fields of an answer that the gateway itself generates.
  virtual HttpHeaders
  localAnswerHeaders(std::string_view CallId,
                     std::optional<Duration> RetryAfter) const = 0;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_FORWARDCALL_H
