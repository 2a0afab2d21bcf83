// One ordinary request to a daemon, sent again until it is served.
//
//   OrdinaryRequest Request(Address, Id);
//   while (!Request.isServed()) wait();
//
// It never blocks; each call of isServed() sends and reads what it can.

#ifndef GALENAROUTE_SOAK_PROCESS_ORDINARYREQUEST_H
#define GALENAROUTE_SOAK_PROCESS_ORDINARYREQUEST_H

#include "PlainHttp.h"
#include "process/Clock.h"

namespace galenaroute::process_soak {

class OrdinaryRequest {
public:
  OrdinaryRequest(std::string Address, std::string Id)
      : Address(std::move(Address)), Id(std::move(Id)) {}
  ~OrdinaryRequest() { this->disconnect(); }
  OrdinaryRequest(const OrdinaryRequest &) = delete;
  OrdinaryRequest &operator=(const OrdinaryRequest &) = delete;

  /// Returns whether a whole answer with 200 has been read.
  bool isServed();

private:
  void begin();
  void disconnect();

  std::string Address;
  std::string Id; ///< Request-Id.
  int Socket = -1;
  TimePoint BegunAt;
  std::string Out;
  MessageReader Reader{MessageKind::Answer};
  bool HasBeenServed = false;
};

} // namespace galenaroute::process_soak

#endif // GALENAROUTE_SOAK_PROCESS_ORDINARYREQUEST_H
