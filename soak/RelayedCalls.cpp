#include "RelayedCalls.h"

namespace galenaroute::soak {

/// Returns the value of \p Field in a line of a log, or nothing.
static std::string_view valueIn(std::string_view Line, std::string_view Field) {
  const std::size_t At = Line.find(Field);
  if (At == std::string_view::npos)
    return {};
  const std::string_view Rest = Line.substr(At + Field.size());
  return Rest.substr(0, Rest.find(' '));
}

std::optional<RelayedCall> relayedCallIn(std::string_view Line) {
  if (Line.find(" event=call.sent ") == std::string_view::npos)
    return std::nullopt;
  // Of a call that is not relayed, the field has no address.
  const std::string_view Address = valueIn(Line, " helper=");
  const std::size_t HostEnd = Address.find(':');
  if (HostEnd == std::string_view::npos)
    return std::nullopt;
  return RelayedCall{.Id = valueIn(Line, " call="),
                     .HelperHost = Address.substr(0, HostEnd)};
}

} // namespace galenaroute::soak
