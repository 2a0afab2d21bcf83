// A bounded buffer of events, stamped so that the buffers of all processes can
// be merged into one timeline.
//
//   Timeline Events("entry-1", 4096);
//   Events.record("attempt.start", RequestId, "steward-3");
//
// Stamps come from a hybrid logical clock: they follow wall-clock time and
// never decrease, and an event caused by a message from another process is
// stamped after the event that sent it, even if the two clocks differ. Memory
// is bounded by the capacity; the oldest events are dropped first.

#ifndef GALENAROUTE_PROCESS_TIMELINE_H
#define GALENAROUTE_PROCESS_TIMELINE_H

#include <chrono>
#include <cstdint>
#include <deque>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <tuple>

namespace galenaroute {

/// A stamp of the hybrid logical clock: wall-clock microseconds since the Unix
/// epoch, and a counter for events within the same microsecond.
struct HybridTime {
  std::int64_t Micros = 0;
  std::uint32_t Counter = 0;
  bool operator==(const HybridTime &) const = default;
  bool operator<(const HybridTime &Other) const {
    return std::tie(this->Micros, this->Counter) <
           std::tie(Other.Micros, Other.Counter);
  }
};

/// Returns the stamp after \p Last at the wall-clock time \p NowMicros.
HybridTime nextTime(HybridTime Last, std::int64_t NowMicros);

/// Returns the stamp after \p Last for a message stamped \p Received.
HybridTime nextTimeAfter(HybridTime Last, HybridTime Received,
                         std::int64_t NowMicros);

/// A timeline event.
struct TimelineEvent {
  HybridTime Time;
  std::string Kind;    ///< Dotted, such as `attempt.start`.
  std::string Request; ///< Request id; may be empty.
  std::string Detail;
};

/// The event buffer of one process.
class Timeline {
public:
  Timeline(std::string Process, std::size_t Capacity);

  /// Adds an event at the current time. \p Detail is truncated to 256 bytes.
  void record(std::string_view Kind, std::string_view Request,
              std::string_view Detail = {});

  /// Returns a stamp to attach to an outgoing message.
  HybridTime stamp();

  /// Advances the clock past the stamp of a received message.
  void observe(HybridTime Received);

  /// Returns `{"process","events":[{"micros","counter","kind","request",
  /// "detail"}]}` of the events of \p Request, or of all when it is empty,
  /// that are not older than \p SinceMicros.
  nlohmann::json toJson(std::string_view Request,
                        std::int64_t SinceMicros) const;

private:
  std::string Process;
  std::size_t Capacity;
  HybridTime Last;
  std::deque<TimelineEvent> Events;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_TIMELINE_H
