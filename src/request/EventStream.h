// Splits an upstream's stream of server-sent events into complete events.
//
//   EventSplitter Splitter;
//   if (!Splitter.feed(Bytes, [&](const StreamEvent &Event) { ... })) ...
//
// Guarantees: only complete events are emitted, so that a stream that breaks in
// the middle of an event can be resumed at another upstream. Memory is bounded
// by MaxEventBytes and the size of one input.

#ifndef GALENAROUTE_REQUEST_EVENTSTREAM_H
#define GALENAROUTE_REQUEST_EVENTSTREAM_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace galenaroute {

/// One event; valid only during the callback.
struct StreamEvent {
  std::string_view Bytes; ///< Including its terminating empty line.
  std::optional<std::uint64_t> Id;
};

class EventSplitter {
public:
  static constexpr std::size_t MaxEventBytes = 256 << 10;

  /// Calls \p OnEvent for each event that \p Bytes completes. Returns false if
  /// the event that follows exceeds MaxEventBytes.
  bool feed(std::string_view Bytes,
            const std::function<void(const StreamEvent &Event)> &OnEvent);

  /// Returns whether an incomplete event is buffered.
  bool hasPartialEvent() const { return !this->Buffer.empty(); }
  void clear() { this->Buffer.clear(); }

private:
  std::string Buffer;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_EVENTSTREAM_H
