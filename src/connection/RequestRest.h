// Whether an upstream that has closed its side takes the rest of its request.
// An answer without a length is whole only if it does: an upstream in trouble
// may close its side just before it resets the connection.
//
//   RequestRest Rest{untakenBytes(Event), EventLoop::now()};
//   each RestCheckInterval:
//     switch (updateRest(Rest, Event, EventLoop::now())) ...

#ifndef GALENAROUTE_CONNECTION_REQUESTREST_H
#define GALENAROUTE_CONNECTION_REQUESTREST_H

#include "connection/BufferedSocket.h"
#include "process/Clock.h"

#include <cstddef>

namespace galenaroute {

inline constexpr Duration RestCheckInterval = std::chrono::milliseconds(10);

struct RequestRest {
  std::size_t Bytes = 0; ///< Not taken at the last check.
  TimePoint ChangedAt;
};

enum class RestState {
  Pending, ///< To be checked again.
  Taken,   ///< All of it was taken, and no reset followed.
  Stuck,   ///< None of it was taken for longer than a sound upstream pauses.
  Reset,   ///< The connection has broken.
};

/// Returns how many bytes for the upstream are not written or not acknowledged.
std::size_t untakenBytes(bufferevent *Event);

RestState updateRest(RequestRest &Rest, bufferevent *Event, TimePoint Now);

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_REQUESTREST_H
