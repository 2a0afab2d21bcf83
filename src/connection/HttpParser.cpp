#include "connection/HttpParser.h"

#include <algorithm>
#include <cctype>
#include <climits>

namespace galenaroute {

static bool isTokenChar(unsigned char C) {
  return std::isalnum(C) ||
         std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(C)) !=
             std::string_view::npos;
}

static std::string_view trim(std::string_view Text) {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t'))
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\t'))
    Text.remove_suffix(1);
  return Text;
}

namespace {

/// Counts the fields that decide where a message ends.
struct FramingFields {
  int Lengths = 0;
  int Encodings = 0;
  int Hosts = 0;
};

} // namespace

/// Checks one `name: value` line without its line end.
static bool checkFieldLine(std::string_view Line, FramingFields &Seen) {
  const std::size_t Colon = Line.find(':');
  if (Colon == 0 || Colon == std::string_view::npos)
    return false;
  const std::string_view Name = Line.substr(0, Colon);
  const std::string_view Value = trim(Line.substr(Colon + 1));
  if (!std::all_of(Name.begin(), Name.end(), isTokenChar))
    return false;
  if (equalsIgnoringCase(Name, "content-length")) {
    ++Seen.Lengths;
    return !Value.empty() &&
           std::all_of(Value.begin(), Value.end(),
                       [](unsigned char C) { return std::isdigit(C); });
  }
  if (equalsIgnoringCase(Name, "transfer-encoding")) {
    ++Seen.Encodings;
    return equalsIgnoringCase(Value, "chunked");
  }
  if (equalsIgnoringCase(Name, "host"))
    ++Seen.Hosts;
  return true;
}

bool isUnambiguousHead(std::string_view Head, bool IsRequest) {
  FramingFields Seen;
  bool IsStartLine = true;
  bool IsHttp10 = false;
  while (!Head.empty()) {
    const std::size_t End = Head.find("\r\n");
    if (End == std::string_view::npos)
      return false;
    const std::string_view Line = Head.substr(0, End);
    Head.remove_prefix(End + 2);
    const bool HasControl =
        std::any_of(Line.begin(), Line.end(), [](unsigned char C) {
          return (C < ' ' && C != '\t') || C == 0x7f;
        });
    if (HasControl)
      return false;
    if (IsStartLine) {
      IsStartLine = false;
      IsHttp10 = Line.ends_with("HTTP/1.0");
      continue;
    }
    if (Line.empty())
      break;
    if (!checkFieldLine(Line, Seen))
      return false;
  }
  if (!IsRequest)
    return Seen.Lengths <= 1 && Seen.Encodings <= 1;
  return Seen.Lengths + Seen.Encodings <= 1 && Seen.Hosts <= 1 &&
         !(IsHttp10 && Seen.Encodings > 0);
}

/// Returns whether \p Head, which is unambiguous, has too many fields or list
/// items. A field of a few bytes takes many times its size once it is parsed.
static bool hasTooManyItems(std::string_view Head,
                            const HttpParserLimits &Limits) {
  std::size_t Lines = 0;
  std::size_t Items = 1;
  bool IsInField = false;
  for (const char C : Head) {
    if (C == '\n') {
      ++Lines;
      Items = 1;
      IsInField = true;
    } else if (C == ',' && IsInField && ++Items > Limits.MaxListItems) {
      return true;
    }
  }
  // The start line and the empty line are no fields.
  return Lines > 2 && Lines - 2 > Limits.MaxFields;
}

const http_parser_settings &HttpParser::callbacks() {
  static const http_parser_settings Table = [] {
    http_parser_settings Result;
    http_parser_settings_init(&Result);
    Result.on_url = [](http_parser *P, const char *At, size_t Length) {
      self(P).Head.Target.append(At, Length);
      return 0;
    };
    Result.on_header_field = [](http_parser *P, const char *At, size_t Length) {
      HttpParser &Self = self(P);
      if (!Self.FieldValue.empty() || Self.FieldName.ends_with(':')) {
        Self.FieldName.pop_back();
        Self.Head.Headers.add(Self.FieldName, Self.FieldValue);
        Self.FieldName.clear();
        Self.FieldValue.clear();
      }
      Self.FieldName.append(At, Length);
      return 0;
    };
    Result.on_header_value = [](http_parser *P, const char *At, size_t Length) {
      HttpParser &Self = self(P);
      // The colon marks a name whose value has begun, also an empty one.
      if (!Self.FieldName.ends_with(':'))
        Self.FieldName += ':';
      Self.FieldValue.append(At, Length);
      return 0;
    };
    Result.on_headers_complete = [](http_parser *P) {
      return self(P).onHeadComplete();
    };
    Result.on_body = [](http_parser *P, const char *At, size_t Length) {
      HttpParser &Self = self(P);
      Self.BodyBytes += Length;
      if (Self.BodyBytes > Self.Limits.MaxBodyBytes) {
        Self.Fault = HttpFault::BodyTooLarge;
        return 1;
      }
      Self.Handlers.OnBody({At, Length});
      return 0;
    };
    Result.on_message_complete = [](http_parser *P) {
      self(P).Complete = true;
      // Pausing keeps the bytes of the next message with the caller.
      http_parser_pause(P, 1);
      return 0;
    };
    return Result;
  }();
  return Table;
}

HttpParser::HttpParser(Side Which, HttpParserLimits Limits, Events Handlers)
    : Which(Which), Limits(Limits), Handlers(std::move(Handlers)) {
  this->reset();
}

void HttpParser::reset() {
  http_parser_init(&this->Parser,
                   this->Which == Side::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  this->Parser.data = this;
  this->Head = {};
  this->HeadBytes.clear();
  this->FieldName.clear();
  this->FieldValue.clear();
  this->BodyBytes = 0;
  this->InMessage = false;
  this->HeadDone = false;
  this->Complete = false;
}

std::size_t HttpParser::feed(std::string_view Bytes) {
  if (this->Fault != HttpFault::None || Bytes.empty())
    return 0;
  return this->HeadDone ? this->execute(Bytes) : this->feedHead(Bytes);
}

/// Collects a head until it is complete, checks it and hands it to the
/// library.
std::size_t HttpParser::feedHead(std::string_view Bytes) {
  std::size_t Used = 0;
  // A client may send an empty line behind a body.
  if (!this->InMessage && this->Which == Side::Request)
    while (Used < Bytes.size() && (Bytes[Used] == '\r' || Bytes[Used] == '\n'))
      ++Used;
  if (Used == Bytes.size())
    return Used;
  this->InMessage = true;
  const std::size_t Before = this->HeadBytes.size();
  const std::size_t Room = this->Limits.MaxHeadBytes + 4 - Before;
  this->HeadBytes.append(Bytes.substr(Used, Room));
  const std::size_t From = Before < 3 ? 0 : Before - 3;
  const std::size_t End = this->HeadBytes.find("\r\n\r\n", From);
  if (End == std::string::npos || End + 4 > this->Limits.MaxHeadBytes) {
    if (this->HeadBytes.size() > this->Limits.MaxHeadBytes)
      this->Fault = HttpFault::HeadTooLarge;
    else if (End == std::string::npos &&
             this->HeadBytes.find("\n\n") != std::string::npos)
      this->Fault = HttpFault::Malformed;
    return Used + this->HeadBytes.size() - Before;
  }
  this->HeadBytes.resize(End + 4);
  Used += End + 4 - Before;
  if (!isUnambiguousHead(this->HeadBytes, this->Which == Side::Request)) {
    this->Fault = HttpFault::Malformed;
    return Used;
  }
  if (hasTooManyItems(this->HeadBytes, this->Limits)) {
    this->Fault = HttpFault::HeadTooLarge;
    return Used;
  }
  const std::string Checked = std::move(this->HeadBytes);
  this->HeadBytes.clear();
  this->execute(Checked);
  return Used;
}

std::size_t HttpParser::execute(std::string_view Bytes) {
  const std::size_t Used = http_parser_execute(&this->Parser, &callbacks(),
                                               Bytes.data(), Bytes.size());
  if (this->Complete) {
    this->reset();
    this->Handlers.OnComplete();
    return Used;
  }
  if (HTTP_PARSER_ERRNO(&this->Parser) != HPE_OK &&
      this->Fault == HttpFault::None)
    this->Fault = HttpFault::Malformed;
  return Used;
}

/// Returns whether \p Status is that of an answer or of an interim one. 101
/// answers an offer of another protocol, which is never made.
static bool isAnswerStatus(int Status) {
  return Status >= 100 && Status <= 599 && Status != 101;
}

int HttpParser::onHeadComplete() {
  if (!this->FieldName.empty()) {
    if (this->FieldName.ends_with(':'))
      this->FieldName.pop_back();
    this->Head.Headers.add(this->FieldName, this->FieldValue);
  }
  this->HeadDone = true;
  this->Head.KeepAlive = http_should_keep_alive(&this->Parser) != 0;
  this->Head.IsHttp11 =
      this->Parser.http_major == 1 && this->Parser.http_minor >= 1;
  if (this->Which == Side::Request)
    this->Head.Method =
        http_method_str(static_cast<http_method>(this->Parser.method));
  else
    this->Head.Status = this->Parser.status_code;
  if (this->Which == Side::Response && !isAnswerStatus(this->Head.Status)) {
    this->Fault = HttpFault::Malformed;
    return -1;
  }
  this->Head.HasFraming = (this->Parser.flags & F_CHUNKED) != 0 ||
                          this->Parser.content_length != ULLONG_MAX;
  // A protocol change is not offered, so what follows is an ordinary body.
  if (this->Parser.upgrade && this->Parser.method == HTTP_CONNECT)
    return -1;
  this->Parser.upgrade = 0;
  if (this->Parser.content_length != ULLONG_MAX &&
      this->Parser.content_length > this->Limits.MaxBodyBytes) {
    this->Fault = HttpFault::BodyTooLarge;
    return -1;
  }
  return this->Handlers.OnHead(this->Head) ? 0 : 1;
}

void HttpParser::finish() {
  if (this->Fault != HttpFault::None || !this->HeadDone)
    return;
  http_parser_execute(&this->Parser, &callbacks(), nullptr, 0);
  if (!this->Complete)
    return;
  this->reset();
  this->Handlers.OnComplete();
}

} // namespace galenaroute
