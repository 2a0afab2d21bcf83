#include "request/CallerReply.h"

#include <random>

namespace galenaroute {

/// Returns the Retry-After for errors without an estimate. The jitter prevents
/// callers that were refused together from retrying together.
static Milliseconds defaultRetryAfter() {
  static std::minstd_rand Generator(std::random_device{}());
  return Milliseconds(std::uniform_int_distribution<int>(500, 1500)(Generator));
}

CallerReply::CallerReply(std::shared_ptr<HttpReply> Http, std::string RequestId,
                         bool CloseAfter)
    : Http(std::move(Http)), RequestId(std::move(RequestId)),
      CloseAfter(CloseAfter) {}

HttpHeaders CallerReply::commonHeaders() const {
  HttpHeaders Result{{"X-Request-Id", this->RequestId}};
  if (this->CloseAfter)
    Result.add("Connection", "close");
  return Result;
}

void CallerReply::send(int Status, std::string_view ContentType,
                       std::string_view Body) {
  this->send(Status, HttpHeaders{{"Content-Type", std::string(ContentType)}},
             Body);
}

void CallerReply::send(int Status, HttpHeaders Headers, std::string_view Body) {
  for (const HttpHeaders::Field &Each : this->commonHeaders())
    Headers.add(Each.Name, Each.Value);
  this->Http->send(Status, Headers, Body);
}

void CallerReply::fail(const Error &Failure) {
  Error Sent = Failure;
  if (describeError(Sent.Kind).HasRetryAfter &&
      Sent.RetryAfter <= Milliseconds::zero())
    Sent.RetryAfter = defaultRetryAfter();
  sendError(*this->Http, Sent, this->commonHeaders());
}

void CallerReply::event(std::string_view Id, std::string_view Data) {
  if (!this->Http->isStreaming()) {
    HttpHeaders Headers = this->commonHeaders();
    Headers.add("Content-Type", "text/event-stream");
    Headers.add("Cache-Control", "no-store");
    this->Http->startStream(200, Headers);
  }
  std::string Bytes;
  if (!Id.empty())
    Bytes.append("id: ").append(Id).append("\n");
  Bytes.append("data: ").append(Data).append("\n\n");
  this->Http->write(Bytes);
}

void CallerReply::finishEvents() {
  this->event({}, "[DONE]");
  this->Http->endStream();
}

} // namespace galenaroute
