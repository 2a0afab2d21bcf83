// Plain structs of forwarded calls and the interface that reads and writes
// them on the wire.
//
// CallCodec is the only place that knows the names of header fields; what
// decides sees only these structs.

#ifndef GALENAROUTE_REQUEST_FORWARDCALL_H
#define GALENAROUTE_REQUEST_FORWARDCALL_H

#include "connection/HttpParser.h"
#include "process/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace galenaroute {

/// One of the consecutive parts of a prompt that the caller names, so that
/// prompts that begin alike can share cache.
struct PromptPart {
  std::string Id;
  std::uint32_t Tokens = 0;
};

/// What a caller asks for.
struct CallRequest {
  std::string Id; ///< The caller's own, one for each attempt.
  std::string Host;
  std::string Method;
  std::string Target;               ///< Path and query as received.
  std::string Key;                  ///< Empty when none was sent.
  std::optional<Duration> TimeLeft; ///< That the caller will wait.
  std::string Model;
  std::vector<PromptPart> Parts;
  std::uint32_t OutputTokens = 0;           ///< At most.
  std::optional<std::uint64_t> ResumeAfter; ///< Id of the last event seen.
  HttpHeaders Passed; ///< Fields that are forwarded unchanged.

  /// The target without its query.
  std::string_view path() const {
    const std::string_view All = this->Target;
    return All.substr(0, All.find('?'));
  }
};

/// Where the KV cache of one part comes from or goes to; empty for none.
struct PartPlace {
  std::string Address;
  std::uint32_t Tokens = 0;
};

/// What the system adds to a call that it sends to an upstream.
struct SendPlan {
  std::string Instance; ///< Only the upstream with this id may run the call.
  std::string Customer;
  std::optional<Duration> TimeLeft;
  std::optional<std::uint64_t> ResumeAfter;
  std::optional<std::uint64_t> WeightVersion; ///< That the engine must have.
  int Urgency = 5;                            ///< 0 to 9; 0 is first.
  std::string CacheScope;       ///< Parts are shared within one scope only.
  std::vector<PartPlace> Fetch; ///< One for each part, or empty.
  std::vector<PartPlace> Save;  ///< One for each part, or empty.
  std::optional<std::int64_t> FetchUntilMs; ///< On the upstreams' clock.
};

/// What an upstream says of its load in an answer.
struct UpstreamLoad {
  int Running = 0;
  int Waiting = 0;
  int Slots = 0;
  double Slowdown = 1; ///< How long work takes there against the usual.
};

/// The head of an upstream's answer.
struct CallAnswer {
  int Status = 0;
  std::string CallId;     ///< Of the call that it answers.
  bool IsSigned = false;  ///< Bears the mark of an upstream that ran the call.
  bool NotRun = false;    ///< The upstream states that it has not run the call.
  bool IsEncoded = false; ///< The body is not the upstream's own bytes.
  bool IsMisdirected = false; ///< Another instance or weight version.
  std::optional<UpstreamLoad> Load;
  std::optional<std::uint64_t> WeightVersion;
  bool IsLeaving = false; ///< The upstream takes no further calls.
  /// How long the upstream wants no calls from this process.
  std::optional<Duration> RefusesFor;
  HttpHeaders Passed; ///< Fields that go to the caller unchanged.
};

/// Reads and writes calls on the wire.
class CallCodec {
public:
  virtual ~CallCodec() = default;
  /// Throws Error(BadRequest) when a field cannot be read.
  virtual CallRequest readRequest(const HttpHead &Head) const = 0;
  virtual CallAnswer readAnswer(const HttpHead &Head) const = 0;
  /// Returns the complete message to an upstream.
  virtual std::string writeRequest(const CallRequest &Call,
                                   const SendPlan &Plan,
                                   std::string_view Body) const = 0;
  /// Returns the fields of an answer that the system itself gives.
  virtual HttpHeaders ownAnswer(std::string_view CallId,
                                std::optional<Duration> RetryAfter) const = 0;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_FORWARDCALL_H
