#include "ProcessHistory.h"

#include "RelayedCalls.h"

#include <algorithm>
#include <sstream>

namespace galenaroute::process_soak {

static RequestEnd parseEnd(const std::string &Text) {
  static const std::map<std::string, RequestEnd> Ends = {
      {"whole", RequestEnd::Whole},        {"cut", RequestEnd::Cut},
      {"none", RequestEnd::None},          {"unsent", RequestEnd::Unsent},
      {"left", RequestEnd::Left},          {"expired", RequestEnd::Expired},
      {"malformed", RequestEnd::Malformed}};
  return Ends.at(Text);
}

void readCallers(const std::vector<JournalLine> &Lines,
                 ProcessHistory &History) {
  for (const JournalLine &Line : Lines) {
    const auto Found = History.Requests.find(Line.Call);
    std::istringstream Detail(Line.Detail);
    if (Line.Event == "sending") {
      RequestView &New = History.Requests[Line.Call];
      New.SentAt = Line.At;
      std::string Connection;
      std::int64_t LimitMs = 0;
      Detail >> New.Route >> New.Daemon >> Connection;
      if (Detail >> LimitMs >> New.After)
        New.Limit = Milliseconds(LimitMs);
      Detail >> New.First;
      continue;
    }
    if (Found == History.Requests.end()) {
      History.Foreign.push_back(Line.Call + ": " + Line.Detail);
      continue;
    }
    RequestView &Request = Found->second;
    if (Line.Event == "sent") {
      Request.SentAt = Line.At;
    } else if (Line.Event == "head") {
      std::string Stamp;
      Detail >> Request.Status >> Stamp;
      Request.IsStamped = Stamp != "-";
    } else if (Line.Event == "event") {
      Detail >> Request.Events.emplace_back() >>
          Request.Versions.emplace_back();
      Request.FirstEventAt = Request.FirstEventAt.value_or(Line.At);
    } else if (Line.Event == "foreign") {
      Request.Foreign = Line.Detail;
    } else if (Line.Event == "end") {
      Request.End = parseEnd(Line.Detail);
      Request.EndedAt = Line.At;
    }
  }
}

void readUpstream(const std::string &Upstream,
                  const std::vector<JournalLine> &Lines,
                  ProcessHistory &History) {
  std::map<std::string, WorkView> Open;
  const auto Close = [&](const std::string &Call) {
    const auto Found = Open.find(Call);
    if (Found == Open.end())
      return;
    auto &Works = History.Works[Call];
    const auto Place =
        std::find_if(Works.begin(), Works.end(), [&](auto &Each) {
          return Each.AcceptedAt > Found->second.AcceptedAt;
        });
    Works.insert(Place, Found->second);
    Open.erase(Found);
  };
  for (const JournalLine &Line : Lines) {
    if (Line.Event == "copied") {
      ++History.Copies;
      continue;
    }
    if (Line.Event == "left") {
      // The run learns of it only when it reaps the process.
      TimePoint &End =
          History.UpstreamEnds.try_emplace(Upstream, Line.At).first->second;
      End = std::min(End, Line.At);
      continue;
    }
    if (Line.Event == "accepted") {
      Close(Line.Call);
      Open[Line.Call] = {.Upstream = Upstream,
                         .AcceptedAt = Line.At,
                         .After = std::stoi(Line.Detail),
                         .LastAt = Line.At};
      continue;
    }
    const auto Found = Open.find(Line.Call);
    if (Found == Open.end())
      continue;
    WorkView &Work = Found->second;
    Work.LastAt = Line.At;
    if ((Line.Event == "begun" || Line.Event == "event") && !Work.BegunAt)
      Work.BegunAt = Line.At;
    if (Line.Event == "ended" || Line.Event == "broke" ||
        Line.Event == "closed" || Line.Event == "failed") {
      Work.HasEnded = Line.Event == "ended";
      Work.HasBroken = Line.Event == "broke";
      Work.HasFailed = Line.Event == "failed";
      Work.OverAt = Line.At;
      Close(Line.Call);
    }
  }
  while (!Open.empty())
    Close(std::string(Open.begin()->first));
}

void readStore(const std::vector<JournalLine> &Lines, ProcessHistory &History) {
  std::map<std::size_t, TimePoint> Open;
  for (const JournalLine &Line : Lines) {
    const std::size_t Daemon = std::stoul(Line.Call);
    if (Line.Event == "turned_away") {
      Open.emplace(Daemon, Line.At);
    } else if (const auto Found = Open.find(Daemon);
               Line.Event == "served" && Found != Open.end()) {
      History.TurnedAway[Daemon].push_back({Found->second, Line.At});
      Open.erase(Found);
    }
  }
  for (const auto &[Daemon, Since] : Open)
    History.TurnedAway[Daemon].push_back({Since, History.EndedAt});
}

void readSanitizerReports(std::size_t Daemon, std::istream &Log,
                          ProcessHistory &History) {
  for (std::string Line; std::getline(Log, Line);)
    if (Line.find("ERROR: AddressSanitizer") != std::string::npos ||
        Line.find("runtime error:") != std::string::npos)
      History.SanitizerReports.push_back("daemon " + std::to_string(Daemon) +
                                         ": " + Line);
}

void readHelpers(std::istream &Log,
                 const std::map<std::string, std::size_t> &DaemonsByHost,
                 ProcessHistory &History) {
  for (std::string Line; std::getline(Log, Line);) {
    const auto Relayed = soak::relayedCallIn(Line);
    if (!Relayed)
      continue;
    const auto Request = History.Requests.find(std::string(Relayed->Id));
    const auto Helper = DaemonsByHost.find(std::string(Relayed->HelperHost));
    if (Request != History.Requests.end() && Helper != DaemonsByHost.end())
      Request->second.Helpers.insert(Helper->second);
  }
}

} // namespace galenaroute::process_soak
