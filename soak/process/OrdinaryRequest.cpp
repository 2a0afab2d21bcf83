#include "OrdinaryRequest.h"

#include "PollLoop.h"

#include <unistd.h>
#include <utility>

namespace galenaroute::process_soak {

using namespace std::chrono_literals;

/// Upstreams refuse some requests and break off some answers.
static constexpr Duration RetryDelay = 100ms;
/// Longer than the timeout of the routes.
static constexpr Duration Patience = 6s;

void OrdinaryRequest::begin() {
  this->BegunAt = Clock::now();
  this->Reader = MessageReader(MessageKind::Answer);
  this->Out = "POST /safe/a HTTP/1.1\r\nHost: h\r\nRequest-Id: " + this->Id +
              "\r\nContent-Length: 4\r\n\r\nbody";
  this->Socket = connectTo(this->Address);
}

void OrdinaryRequest::disconnect() {
  if (this->Socket >= 0)
    close(std::exchange(this->Socket, -1));
}

bool OrdinaryRequest::isServed() {
  if (this->HasBeenServed)
    return true;
  const Duration Time = Clock::now() - this->BegunAt;
  if (this->Socket < 0) {
    if (Time >= RetryDelay)
      this->begin();
    return false;
  }
  std::string Text;
  bool IsOver = (!this->Out.empty() && !writeSome(this->Socket, this->Out)) ||
                Time >= Patience;
  if (this->Out.empty() && !IsOver) {
    IsOver = readAll(this->Socket, Text) == ReadResult::Closed;
    this->Reader.feed(Text);
    IsOver = IsOver || this->Reader.isWhole();
    this->HasBeenServed =
        this->Reader.isWhole() && this->Reader.head().status() == 200;
  }
  if (IsOver)
    this->disconnect();
  return this->HasBeenServed;
}

} // namespace galenaroute::process_soak
