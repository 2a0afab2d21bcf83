#include "connection/RequestRest.h"

#include <utility>

namespace galenaroute {

/// A sound upstream may pause for a second or so.
static constexpr Duration MaxRestPause = std::chrono::seconds(2);
/// How long a reset is awaited once the rest is acknowledged. The upstream may
/// not have read what its kernel has taken, and closing the connection resets
/// it then.
static constexpr Duration RestSettleTime = std::chrono::milliseconds(100);

std::size_t untakenBytes(bufferevent *Event) {
  return evbuffer_get_length(bufferevent_get_output(Event)) +
         unacknowledgedBytes(bufferevent_getfd(Event)).value_or(0);
}

RestState updateRest(RequestRest &Rest, bufferevent *Event, TimePoint Now) {
  const std::size_t Left = untakenBytes(Event);
  if (std::exchange(Rest.Bytes, Left) != Left)
    Rest.ChangedAt = Now;
  const Duration Since = Now - Rest.ChangedAt;
  if (isPending(Event, 0))
    return RestState::Reset;
  if (Left > 0)
    return Since >= MaxRestPause ? RestState::Stuck : RestState::Pending;
  return Since >= RestSettleTime ? RestState::Taken : RestState::Pending;
}

} // namespace galenaroute
