#include "cli/Fleet.h"
#include "cli/TimelineView.h"
#include "process/ErrorKind.h"

#include <fstream>
#include <iomanip>
#include <ostream>
#include <set>

namespace galenaroute {

using nlohmann::json;

/// Returns a member as text, whatever its type.
static std::string textOf(const json &Body, const char *Key) {
  const auto It = Body.find(Key);
  if (It == Body.end())
    return "-";
  return It->is_string() ? It->get<std::string>() : It->dump();
}

static std::uint64_t epochOf(const json &Status) {
  const auto It = Status.find("epoch");
  return It != Status.end() && It->is_number_unsigned()
             ? It->get<std::uint64_t>()
             : 0;
}

/// Returns the exit code for \p Answers: some, all or no daemons failed.
static int exitCodeOf(const std::vector<DaemonAnswer> &Answers) {
  const auto Failed = std::count_if(
      Answers.begin(), Answers.end(),
      [](const DaemonAnswer &Each) { return Each.Body.is_null(); });
  if (Failed == 0)
    return Answers.empty() ? ExitUnavailable : ExitOk;
  return Failed == std::ssize(Answers) ? ExitUnavailable : ExitPartial;
}

static json answersJson(const std::vector<DaemonAnswer> &Answers) {
  json Result = json::array();
  for (const DaemonAnswer &Each : Answers)
    Result.push_back({{"address", Each.Address.toString()},
                      {"answer", Each.Body},
                      {"problem", Each.Problem}});
  return {{"daemons", Result}};
}

static void printTable(CliContext &Context,
                       const std::vector<DaemonAnswer> &Answers) {
  Context.Out << std::left << std::setw(22) << "ADDRESS" << std::setw(14)
              << "ZONE" << std::setw(11) << "STATE" << std::setw(8) << "EPOCH"
              << std::setw(14) << "BUILD"
              << "REQUESTS\n";
  for (const DaemonAnswer &Each : Answers) {
    Context.Out << std::left << std::setw(22) << Each.Address.toString();
    if (Each.Body.is_null())
      Context.Out << Each.Problem << "\n";
    else
      Context.Out << std::setw(14) << textOf(Each.Body, "zone") << std::setw(11)
                  << textOf(Each.Body, "state") << std::setw(8)
                  << textOf(Each.Body, "epoch") << std::setw(14)
                  << textOf(Each.Body, "build")
                  << textOf(Each.Body, "open_requests") << "\n";
  }
}

static int printAnswers(CliContext &Context,
                        const std::vector<DaemonAnswer> &Answers) {
  if (Context.Options.Json)
    Context.Out << answersJson(Answers).dump(2) << "\n";
  else if (Answers.empty())
    Context.Err << "galenaroute: no daemons are known\n";
  else
    printTable(Context, Answers);
  return exitCodeOf(Answers);
}

int runStatus(CliContext &Context) {
  return printAnswers(
      Context, callDaemons(Context, findDaemons(Context), "GET", "/v1/status"));
}

int runDrain(CliContext &Context) {
  if (Context.Options.Entries.empty())
    return reportError(Context, ExitUsage, "usage",
                       "drain needs --entries with the daemons to stop");
  return printAnswers(
      Context, callDaemons(Context, findDaemons(Context), "POST", "/v1/drain"));
}

EpochWait waitForEpoch(CliContext &Context, std::uint64_t Epoch) {
  constexpr auto Poll = std::chrono::milliseconds(200);
  const TimePoint End = EventLoop::now() + Context.Options.Timeout;
  std::map<SocketAddress, std::string> Behind;
  EpochWait Result;
  std::string ListProblem;
  // The list is read again each round, because it lags and VMs come and go.
  // Daemons that have reported the epoch are not asked again, since epochs
  // only grow.
  std::set<SocketAddress> Reached;
  while (true) {
    Behind.clear();
    std::vector<SocketAddress> Ask;
    try {
      ListProblem.clear();
      for (const SocketAddress &Each : findDaemons(Context))
        if (!Reached.contains(Each))
          Ask.push_back(Each);
    } catch (const Error &Failure) {
      ListProblem = Failure.what();
    }
    for (const DaemonAnswer &Each :
         callDaemons(Context, Ask, "GET", "/v1/status")) {
      if (!Each.Body.is_null() && epochOf(Each.Body) >= Epoch)
        Reached.insert(Each.Address);
      else
        Behind[Each.Address] =
            Each.Body.is_null() ? Each.Problem
                                : "epoch " + std::to_string(epochOf(Each.Body));
    }
    const bool IsDone =
        ListProblem.empty() && Behind.empty() && !Reached.empty();
    if (IsDone || EventLoop::now() >= End)
      break;
    Context.Loop.runUntil([] { return false; }, Poll);
  }
  for (const SocketAddress &Each : Reached)
    Result.InForce.push_back(Each.toString());
  for (const auto &[Address, Why] : Behind)
    Result.Behind.push_back(Address.toString() + ": " + Why);
  if (!ListProblem.empty())
    Result.Behind.push_back("unknown: " + ListProblem);
  else if (Reached.empty() && Behind.empty())
    Result.Behind.push_back("unknown: no daemons are known");
  return Result;
}

int runTimeline(CliContext &Context) {
  const std::string Path =
      "/v1/timeline?since=" + std::to_string(Context.Options.SinceMicros) +
      "&request=" + percentEncode(Context.Options.Request);
  const auto Answers = callDaemons(Context, findDaemons(Context), "GET", Path);
  std::vector<json> Rings;
  for (const DaemonAnswer &Each : Answers) {
    if (!Each.Body.is_null())
      Rings.push_back(Each.Body);
    else if (!Context.Options.Json)
      Context.Err << "galenaroute: " << Each.Address.toString() << ": "
                  << Each.Problem << "\n";
  }
  const std::vector<MergedEvent> Events =
      mergeTimelines(Rings, Context.Options.UntilMicros);
  if (!Context.Options.HtmlFile.empty()) {
    std::ofstream Page(Context.Options.HtmlFile);
    Page << timelinePage(Events, Context.Options.Request);
    if (!Page.flush())
      return reportError(Context, ExitUsage, "unwritable",
                         "cannot write " + Context.Options.HtmlFile);
  } else if (!Context.Options.Json) {
    Context.Out << timelineText(Events);
  }
  if (Context.Options.Json) {
    json Body = answersJson(Answers);
    for (json &Each : Body["daemons"])
      Each.erase("answer");
    Body["events"] = timelineJson(Events);
    Context.Out << Body.dump(2, ' ', false, json::error_handler_t::replace)
                << "\n";
  }
  return exitCodeOf(Answers);
}

} // namespace galenaroute
