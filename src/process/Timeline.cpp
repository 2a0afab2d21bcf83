#include "process/Timeline.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace galenaroute {

/// Limits the size of an event, because details may quote untrusted input.
static constexpr std::size_t MaxDetailBytes = 256;

static std::int64_t wallMicros() {
  using namespace std::chrono;
  return duration_cast<microseconds>(system_clock::now().time_since_epoch())
      .count();
}

HybridTime nextTime(HybridTime Last, std::int64_t NowMicros) {
  if (NowMicros > Last.Micros)
    return {NowMicros, 0};
  return {Last.Micros, Last.Counter + 1};
}

HybridTime nextTimeAfter(HybridTime Last, HybridTime Received,
                         std::int64_t NowMicros) {
  return nextTime(std::max(Last, Received), NowMicros);
}

Timeline::Timeline(std::string Process, std::size_t Capacity)
    : Process(std::move(Process)), Capacity(Capacity) {}

void Timeline::record(std::string_view Kind, std::string_view Request,
                      std::string_view Detail) {
  if (this->Events.size() >= this->Capacity)
    this->Events.pop_front();
  this->Events.push_back({this->stamp(), std::string(Kind),
                          std::string(Request),
                          std::string(Detail.substr(0, MaxDetailBytes))});
}

HybridTime Timeline::stamp() {
  this->Last = nextTime(this->Last, wallMicros());
  return this->Last;
}

void Timeline::observe(HybridTime Received) {
  this->Last = nextTimeAfter(this->Last, Received, wallMicros());
}

nlohmann::json Timeline::toJson(std::string_view Request,
                                std::int64_t SinceMicros) const {
  nlohmann::json List = nlohmann::json::array();
  for (const TimelineEvent &Each : this->Events) {
    if (Each.Time.Micros < SinceMicros ||
        (!Request.empty() && Each.Request != Request))
      continue;
    List.push_back({{"micros", Each.Time.Micros},
                    {"counter", Each.Time.Counter},
                    {"kind", Each.Kind},
                    {"request", Each.Request},
                    {"detail", Each.Detail}});
  }
  return {{"process", this->Process}, {"events", List}};
}

} // namespace galenaroute
