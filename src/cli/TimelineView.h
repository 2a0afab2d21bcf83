// The rings of events of all daemons, merged and shown.

#ifndef GALENAROUTE_CLI_TIMELINEVIEW_H
#define GALENAROUTE_CLI_TIMELINEVIEW_H

#include "process/Timeline.h"

#include <nlohmann/json.hpp>
#include <span>
#include <vector>

namespace galenaroute {

/// An event and the daemon that recorded it.
struct MergedEvent {
  TimelineEvent Event;
  std::string Process;
};

/// Merges answers of GET /v1/timeline by hybrid time, up to \p UntilMicros
/// (0: no bound). Malformed events are left out.
std::vector<MergedEvent> mergeTimelines(std::span<const nlohmann::json> Rings,
                                        std::int64_t UntilMicros);

/// Returns one line per event, with times relative to the first.
std::string timelineText(std::span<const MergedEvent> Events);

nlohmann::json timelineJson(std::span<const MergedEvent> Events);

/// Returns one HTML page without references to other files. All text from
/// events is escaped.
std::string timelinePage(std::span<const MergedEvent> Events,
                         std::string_view Request);

} // namespace galenaroute

#endif // GALENAROUTE_CLI_TIMELINEVIEW_H
