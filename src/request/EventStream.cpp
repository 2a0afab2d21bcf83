#include "request/EventStream.h"

#include <charconv>

namespace galenaroute {

/// Returns the number in the `id:` line of \p Event, if there is one.
static std::optional<std::uint64_t> eventId(std::string_view Event) {
  while (!Event.empty()) {
    const std::size_t End = Event.find('\n');
    std::string_view Line = Event.substr(0, End);
    if (Line.starts_with("id:")) {
      Line.remove_prefix(3);
      while (Line.starts_with(' '))
        Line.remove_prefix(1);
      std::uint64_t Id = 0;
      const auto Read =
          std::from_chars(Line.data(), Line.data() + Line.size(), Id);
      if (Read.ec == std::errc())
        return Id;
      return std::nullopt;
    }
    if (End == std::string_view::npos)
      break;
    Event.remove_prefix(End + 1);
  }
  return std::nullopt;
}

/// Returns the position after the first empty line at or after \p From, or
/// npos.
static std::size_t endOfEvent(std::string_view Bytes, std::size_t From) {
  for (std::size_t At = Bytes.find('\n', From); At != std::string_view::npos;
       At = Bytes.find('\n', At + 1)) {
    if (Bytes.substr(At + 1).starts_with("\n"))
      return At + 2;
    if (Bytes.substr(At + 1).starts_with("\r\n"))
      return At + 3;
  }
  return std::string_view::npos;
}

bool EventSplitter::feed(
    std::string_view Bytes,
    const std::function<void(const StreamEvent &Event)> &OnEvent) {
  const std::size_t Before = this->Buffer.size();
  this->Buffer += Bytes;
  std::size_t Start = 0;
  std::size_t From = Before < 3 ? 0 : Before - 3;
  while (true) {
    const std::size_t End = endOfEvent(this->Buffer, From);
    if (End == std::string::npos)
      break;
    const std::string_view Event =
        std::string_view(this->Buffer).substr(Start, End - Start);
    OnEvent({Event, eventId(Event)});
    Start = From = End;
  }
  this->Buffer.erase(0, Start);
  return this->Buffer.size() <= MaxEventBytes;
}

} // namespace galenaroute
