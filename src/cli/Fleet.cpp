#include "cli/Fleet.h"

#include "process/BoundedJson.h"
#include "process/ErrorKind.h"

namespace galenaroute {

using nlohmann::json;

/// Of the answer of one daemon, such as the status of a large fleet.
static constexpr JsonLimits AnswerLimits{.MaxTreeBytes = 256 << 20};

std::vector<SocketAddress> findDaemons(CliContext &Context) {
  std::vector<SocketAddress> Result;
  for (const std::string &Each : Context.Options.Entries)
    Result.push_back(SocketAddress::parse(Each));
  if (!Result.empty())
    return Result;
  std::optional<VmList> Got;
  Context.Api.listVms([&](const VmList &List) { Got = List; });
  Context.Loop.runUntil([&] { return Got.has_value(); },
                        std::chrono::seconds(10));
  if (!Got || Got->Status != PlatformStatus::Ok)
    throw Error(ErrorKind::PlatformUnavailable,
                "the platform does not return the VM list; name the daemons "
                "with --entries");
  for (const VmRecord &Each : Got->Vms)
    if (Each.Role == "entry" && !Each.Leaving)
      Result.push_back({Each.Address.Host, Context.Options.CallerPort > 0
                                               ? Context.Options.CallerPort
                                               : Each.Address.Port});
  return Result;
}

static DaemonAnswer answerFrom(const SocketAddress &Address,
                               const HttpResult &Result) {
  DaemonAnswer Answer{Address, nullptr, ""};
  if (Result.End == HttpEnd::ConnectFailed)
    Answer.Problem = "no connection";
  else if (Result.End != HttpEnd::Complete)
    Answer.Problem = "no answer";
  else if (!Result.isSuccess())
    Answer.Problem = "status " + std::to_string(Result.Status) + ": " +
                     Result.Body.substr(0, 200);
  else
    Answer.Body = tryParseJson(Result.Body, AnswerLimits);
  if (Answer.Problem.empty() && !Answer.Body.is_object()) {
    Answer.Body = nullptr;
    Answer.Problem = "malformed answer";
  }
  return Answer;
}

std::vector<DaemonAnswer> callDaemons(CliContext &Context,
                                      const std::vector<SocketAddress> &To,
                                      const std::string &Method,
                                      const std::string &Path) {
  std::vector<DaemonAnswer> Answers(To.size());
  std::size_t Next = 0, Open = 0;
  const auto Step = [&] {
    for (; Next < To.size() && Open < FleetParallel; ++Next, ++Open) {
      HttpCallBuilder Call(To[Next]);
      Call.method(Method, Path, "").totalTimeout(std::chrono::seconds(2));
      if (!Context.Options.OperatorKey.empty())
        Call.header("Authorization", "Bearer " + Context.Options.OperatorKey);
      Context.Client.startDetached(
          Call.build(), [&, Index = Next](const HttpResult &Result) {
            Answers[Index] = answerFrom(To[Index], Result);
            --Open;
          });
    }
    return Next == To.size() && Open == 0;
  };
  // Each call ends within its own limit, so the loop ends as well.
  while (!Step())
    Context.Loop.runUntil([&, Before = Open] { return Open < Before; },
                          std::chrono::milliseconds(100));
  return Answers;
}

} // namespace galenaroute
