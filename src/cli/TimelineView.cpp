#include "cli/TimelineView.h"

#include <algorithm>
#include <iomanip>
#include <set>
#include <sstream>

namespace galenaroute {

using nlohmann::json;

std::vector<MergedEvent> mergeTimelines(std::span<const json> Rings,
                                        std::int64_t UntilMicros) {
  std::vector<MergedEvent> Result;
  for (const json &Ring : Rings) {
    if (!Ring.is_object() || !Ring.contains("events"))
      continue;
    for (const json &Each : Ring["events"]) {
      try {
        MergedEvent Next{{{Each.at("micros"), Each.at("counter")},
                          Each.at("kind"),
                          Each.at("request"),
                          Each.at("detail")},
                         Ring.at("process")};
        if (UntilMicros == 0 || Next.Event.Time.Micros <= UntilMicros)
          Result.push_back(std::move(Next));
      } catch (const json::exception &) {
        continue;
      }
    }
  }
  std::stable_sort(Result.begin(), Result.end(),
                   [](const MergedEvent &A, const MergedEvent &B) {
                     return A.Event.Time < B.Event.Time;
                   });
  return Result;
}

/// Returns the time of \p Each after the first event, in milliseconds.
static std::string offsetText(std::span<const MergedEvent> Events,
                              const MergedEvent &Each) {
  std::ostringstream Out;
  Out << std::fixed << std::setprecision(3)
      << static_cast<double>(Each.Event.Time.Micros -
                             Events.front().Event.Time.Micros) /
             1000;
  return Out.str();
}

std::string timelineText(std::span<const MergedEvent> Events) {
  std::ostringstream Out;
  Out << std::left << std::setw(14) << "MS" << std::setw(22) << "DAEMON"
      << std::setw(24) << "EVENT"
      << "REQUEST  DETAIL\n";
  for (const MergedEvent &Each : Events)
    Out << std::setw(13) << offsetText(Events, Each) << " " << std::setw(21)
        << Each.Process << " " << std::setw(23) << Each.Event.Kind << " "
        << (Each.Event.Request.empty() ? "-" : Each.Event.Request) << "  "
        << Each.Event.Detail << "\n";
  return Out.str();
}

json timelineJson(std::span<const MergedEvent> Events) {
  json Result = json::array();
  for (const MergedEvent &Each : Events)
    Result.push_back({{"micros", Each.Event.Time.Micros},
                      {"counter", Each.Event.Time.Counter},
                      {"process", Each.Process},
                      {"kind", Each.Event.Kind},
                      {"request", Each.Event.Request},
                      {"detail", Each.Event.Detail}});
  return Result;
}

static std::string escaped(std::string_view Text) {
  std::string Result;
  for (const char C : Text) {
    switch (C) {
    case '&':
      Result += "&amp;";
      break;
    case '<':
      Result += "&lt;";
      break;
    case '>':
      Result += "&gt;";
      break;
    case '"':
      Result += "&quot;";
      break;
    default:
      Result += C;
    }
  }
  return Result;
}

std::string timelinePage(std::span<const MergedEvent> Events,
                         std::string_view Request) {
  std::set<std::string> Processes;
  for (const MergedEvent &Each : Events)
    Processes.insert(Each.Process);
  const std::string Title =
      "galenaroute time line" +
      (Request.empty() ? std::string() : " of " + escaped(Request));
  std::ostringstream Out;
  Out << "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
      << "<title>" << Title << "</title>\n<style>\n"
      << "body{font:14px sans-serif;margin:1.5em}"
         "table{border-collapse:collapse}"
         "th,td{padding:2px 10px;border-bottom:1px solid #ddd;"
         "text-align:left;vertical-align:top}"
         "td:first-child{text-align:right;font-variant-numeric:tabular-nums}"
         "th{position:sticky;top:0;background:#fff}"
         "small{color:#666}\n</style></head><body>\n<h1>"
      << Title << "</h1>\n<p>" << Events.size() << " events of "
      << Processes.size()
      << " daemons in the order of hybrid time. Times are in milliseconds "
         "after the first event.</p>\n<table><thead><tr><th>ms</th>";
  for (const std::string &Each : Processes)
    Out << "<th>" << escaped(Each) << "</th>";
  Out << "</tr></thead><tbody>\n";
  for (const MergedEvent &Each : Events) {
    Out << "<tr><td>" << offsetText(Events, Each) << "</td>";
    for (const std::string &Process : Processes) {
      Out << "<td>";
      if (Process == Each.Process)
        Out << "<b>" << escaped(Each.Event.Kind) << "</b> "
            << escaped(Each.Event.Detail)
            << (Request.empty() && !Each.Event.Request.empty()
                    ? " <small>" + escaped(Each.Event.Request) + "</small>"
                    : "");
      Out << "</td>";
    }
    Out << "</tr>\n";
  }
  Out << "</tbody></table></body></html>\n";
  return Out.str();
}

} // namespace galenaroute
