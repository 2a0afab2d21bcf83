// The response to one caller, in the formats of the caller API.
//
//   CallerReply Reply(Http, RequestId, /*CloseAfter=*/false);
//   Reply.event(Id, Data);  // any number of times
//   Reply.finishEvents();
//
// Guarantees: every response carries the request id. A stream consists of
// server-sent events and ends with `[DONE]` only through finishEvents().

#ifndef GALENAROUTE_REQUEST_CALLERREPLY_H
#define GALENAROUTE_REQUEST_CALLERREPLY_H

#include "connection/HttpServer.h"
#include "process/ErrorKind.h"

#include <memory>
#include <string>
#include <string_view>

namespace galenaroute {

class CallerReply {
public:
  /// With \p CloseAfter the response has `Connection: close`, so that the
  /// caller selects a gateway again for its next request.
  CallerReply(std::shared_ptr<HttpReply> Http, std::string RequestId,
              bool CloseAfter);

  /// Sends a complete response.
  void send(int Status, std::string_view ContentType, std::string_view Body);
  void send(int Status, HttpHeaders Headers, std::string_view Body);

  /// Sends the error response for \p Failure. An open stream ends with an error
  /// event and without `[DONE]`.
  void fail(const Error &Failure);

  /// Sends one event. The first one starts the stream. \p Id may be empty.
  void event(std::string_view Id, std::string_view Data);

  /// Ends the stream as complete.
  void finishEvents();

  /// Closes the connection without a response.
  void abort() { this->Http->abort(); }

  bool isClosed() const { return this->Http->isClosed(); }
  std::size_t bufferedBytes() const { return this->Http->bufferedBytes(); }
  const std::string &requestId() const { return this->RequestId; }

  /// Emitted once if the caller disconnects before the response is complete.
  sigc::signal<void()> &closed() { return this->Http->Closed; }

private:
  HttpHeaders commonHeaders() const;

  std::shared_ptr<HttpReply> Http;
  std::string RequestId;
  bool CloseAfter;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CALLERREPLY_H
