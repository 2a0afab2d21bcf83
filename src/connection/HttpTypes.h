// Plain types that the HTTP server and client wrappers share.

#ifndef GALENAROUTE_CONNECTION_HTTPTYPES_H
#define GALENAROUTE_CONNECTION_HTTPTYPES_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace galenaroute {

/// Compares two ASCII texts without regard to case.
bool equalsIgnoringCase(std::string_view A, std::string_view B);

/// Header fields in the order received; names compare without case.
class HttpHeaders {
public:
  struct Field {
    std::string Name;
    std::string Value;
  };

  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<Field> Fields) : Fields(Fields) {}

  void add(std::string_view Name, std::string_view Value);

  /// Returns the first value of \p Name, if there is one.
  std::optional<std::string_view> find(std::string_view Name) const;

  auto begin() const { return this->Fields.begin(); }
  auto end() const { return this->Fields.end(); }

private:
  std::vector<Field> Fields;
};

/// An IP number and a TCP port.
struct SocketAddress {
  std::string Host;
  std::uint16_t Port = 0;

  /// Parses `IP:PORT` with an IPv4 number; throws Error(BadRequest) on anything
  /// else. A parsed address can be connected to without a further check.
  static SocketAddress parse(std::string_view Text);
  std::string toString() const;
  bool operator==(const SocketAddress &) const = default;
  bool operator<(const SocketAddress &Other) const {
    return std::tie(this->Host, this->Port) < std::tie(Other.Host, Other.Port);
  }
};

/// Appends a header field as it goes on the wire.
void appendField(std::string &Text, std::string_view Name,
                 std::string_view Value);

/// Returns the percent-decoded value of \p Key in the query string \p Query.
std::optional<std::string> queryValue(std::string_view Query,
                                      std::string_view Key);

/// Returns \p Text with all but unreserved characters percent-encoded.
std::string percentEncode(std::string_view Text);

/// Returns \p Text with percent escapes decoded.
std::string percentDecode(std::string_view Text);

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_HTTPTYPES_H
