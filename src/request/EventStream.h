// Splits an upstream's event stream into whole events.
//
//   EventSplitter Splitter;
//   if (!Splitter.feed(Bytes, [&](const StreamEvent &Event) { ... })) ...
//
// Only whole events are handed on, so that a stream which breaks in the middle
// of an event can go on at another upstream. Memory is bounded by the longest
// event allowed.

#ifndef GALENAROUTE_REQUEST_EVENTSTREAM_H
#define GALENAROUTE_REQUEST_EVENTSTREAM_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace galenaroute {

/// One event; valid during the call that hands it over.
struct StreamEvent {
  std::string_view Bytes; ///< With its closing empty line.
  std::optional<std::uint64_t> Id;
};

class EventSplitter {
public:
  static constexpr std::size_t MaxEventBytes = 256 << 10;

  /// Returns false when an event is too long.
  bool feed(std::string_view Bytes,
            const std::function<void(const StreamEvent &Event)> &OnEvent);

  /// Whether part of an event has been read.
  bool isInEvent() const { return !this->Rest.empty(); }
  void clear() { this->Rest.clear(); }

private:
  std::string Rest;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_EVENTSTREAM_H
