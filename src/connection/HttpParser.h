// Incremental HTTP/1.1 parsing of one direction of a connection.
//
//   HttpParser Parser(HttpParser::Side::Request, Limits, Events);
//   while (Parser.feed(Bytes)) ...
//
// http_parser does the parsing. Before it sees a head, the head is checked
// against rules that the library does not enforce and on which two readers of
// the same bytes could disagree (bare line feeds, folded lines, repeated or
// conflicting framing fields), so that a request cannot be hidden in another
// one.
//
// Guarantees: memory is bounded by the limits; after an error nothing more is
// reported; bytes behind a complete message are left to the caller.

#ifndef GALENAROUTE_CONNECTION_HTTPPARSER_H
#define GALENAROUTE_CONNECTION_HTTPPARSER_H

#include "connection/HttpTypes.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace galenaroute {

/// The start line and header fields of a message.
struct HttpHead {
  std::string Method; ///< Requests only.
  std::string Target; ///< Requests only; as received.
  int Status = 0;     ///< Responses only.
  HttpHeaders Headers;
  bool KeepAlive = true;
  bool IsHttp11 = true;
  /// Whether the end of the body is told by a length or by chunks. A response
  /// without either ends with its connection.
  bool HasFraming = true;
};

/// Why a message was refused.
enum class HttpFault { None, Malformed, HeadTooLarge, BodyTooLarge };

struct HttpParserLimits {
  std::size_t MaxHeadBytes = 32 << 10;
  std::size_t MaxBodyBytes = 8 << 20;
  std::size_t MaxFields = SIZE_MAX;
  /// Items of a comma-separated list in one field, such as parts of a prompt.
  std::size_t MaxListItems = SIZE_MAX;
};

/// Returns whether \p Head, up to and with its empty line, is free of
/// ambiguity. \p IsRequest also checks the framing fields of a request.
bool isUnambiguousHead(std::string_view Head, bool IsRequest);

class HttpParser {
public:
  enum class Side { Request, Response };

  /// What is called as a message is read. All are needed.
  struct Events {
    /// Returns whether a body can follow; false for an answer to HEAD.
    std::function<bool(HttpHead &Head)> OnHead;
    std::function<void(std::string_view Bytes)> OnBody;
    std::function<void()> OnComplete;
  };

  HttpParser(Side Which, HttpParserLimits Limits, Events Handlers);
  HttpParser(const HttpParser &) = delete;
  HttpParser &operator=(const HttpParser &) = delete;

  /// Reads from \p Bytes and returns how many were used. Stops behind a
  /// complete message. Check fault() afterwards.
  std::size_t feed(std::string_view Bytes);

  /// Tells that the connection has ended in good order. Completes a response
  /// without framing.
  void finish();

  void setLimits(HttpParserLimits Next) { this->Limits = Next; }
  HttpFault fault() const { return this->Fault; }
  /// Whether a message has begun and is not complete.
  bool isInMessage() const { return this->InMessage; }
  bool hasHead() const { return this->HeadDone; }
  /// Bytes kept of a head that is not complete.
  std::size_t heldBytes() const { return this->HeadBytes.capacity(); }

private:
  static HttpParser &self(http_parser *Parser) {
    return *static_cast<HttpParser *>(Parser->data);
  }
  static const http_parser_settings &callbacks();
  std::size_t feedHead(std::string_view Bytes);
  std::size_t execute(std::string_view Bytes);
  void reset();
  int onHeadComplete();

  Side Which;
  HttpParserLimits Limits;
  Events Handlers;
  http_parser Parser;
  HttpHead Head;
  std::string HeadBytes; ///< Bytes of a head that is not yet complete.
  std::string FieldName;
  std::string FieldValue;
  std::size_t BodyBytes = 0;
  HttpFault Fault = HttpFault::None;
  bool InMessage = false;
  bool HeadDone = false;
  bool Complete = false;
};

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_HTTPPARSER_H
