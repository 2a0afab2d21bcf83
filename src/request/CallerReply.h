// The answer to one caller, with the headers and shapes of the caller API.
//
// Every answer carries the request id. A stream is a sequence of server-sent
// events; it ends with `[DONE]` through finishEvents() only.

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
  /// With \p CloseAfter the caller is asked to open a new connection for its
  /// next request, so that it asks for entries again.
  CallerReply(std::shared_ptr<HttpReply> Http, std::string RequestId,
              bool CloseAfter);

  /// Sends a whole answer.
  void send(int Status, std::string_view ContentType, std::string_view Body);
  void send(int Status, HttpHeaders Headers, std::string_view Body);

  /// Sends the answer of \p Failure's kind; ends an open stream with an error
  /// event and without `[DONE]`.
  void fail(const Error &Failure);

  /// Sends one event; the first one starts the stream. \p Id may be empty.
  void event(std::string_view Id, std::string_view Data);

  /// Ends the stream as whole.
  void finishEvents();

  /// Closes the connection without an answer.
  void abort() { this->Http->abort(); }

  bool isClosed() const { return this->Http->isClosed(); }
  std::size_t bufferedBytes() const { return this->Http->bufferedBytes(); }
  const std::string &requestId() const { return this->RequestId; }

  /// Emitted once when the caller goes away before the answer is finished.
  sigc::signal<void()> &closed() { return this->Http->Closed; }

private:
  HttpHeaders commonHeaders() const;

  std::shared_ptr<HttpReply> Http;
  std::string RequestId;
  bool CloseAfter;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CALLERREPLY_H
