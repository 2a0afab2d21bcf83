#include "connection/HttpTypes.h"

#include "process/ErrorKind.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>

namespace galenaroute {

bool equalsIgnoringCase(std::string_view A, std::string_view B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(),
                    [](unsigned char X, unsigned char Y) {
                      return std::tolower(X) == std::tolower(Y);
                    });
}

void HttpHeaders::add(std::string_view Name, std::string_view Value) {
  this->Fields.push_back({std::string(Name), std::string(Value)});
}

std::optional<std::string_view> HttpHeaders::find(std::string_view Name) const {
  for (const Field &Each : this->Fields)
    if (equalsIgnoringCase(Each.Name, Name))
      return Each.Value;
  return std::nullopt;
}

static bool isIpv4(std::string_view Text) {
  in_addr Binary{};
  // inet_pton would read only as far as a zero byte.
  return Text.find('\0') == std::string_view::npos &&
         inet_pton(AF_INET, std::string(Text).c_str(), &Binary) == 1;
}

SocketAddress SocketAddress::parse(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  SocketAddress Result;
  if (Colon != std::string_view::npos && isIpv4(Text.substr(0, Colon))) {
    Result.Host = Text.substr(0, Colon);
    const std::string_view Digits = Text.substr(Colon + 1);
    const auto [End, Failure] = std::from_chars(
        Digits.data(), Digits.data() + Digits.size(), Result.Port);
    if (Failure == std::errc() && End == Digits.data() + Digits.size() &&
        Result.Port != 0)
      return Result;
  }
  throw Error(ErrorKind::BadRequest, "not an address of the form IP:PORT: '" +
                                         std::string(Text) + "'");
}

std::string SocketAddress::toString() const {
  return this->Host + ":" + std::to_string(this->Port);
}

std::string percentDecode(std::string_view Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      unsigned Byte = 0;
      const auto [End, Failure] =
          std::from_chars(&Text[I + 1], &Text[I + 1] + 2, Byte, 16);
      if (Failure == std::errc() && End == &Text[I + 1] + 2) {
        Result += static_cast<char>(Byte);
        I += 2;
        continue;
      }
    }
    Result += Text[I] == '+' ? ' ' : Text[I];
  }
  return Result;
}

std::string percentEncode(std::string_view Text) {
  static constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Result;
  for (const char C : Text) {
    const auto Byte = static_cast<unsigned char>(C);
    if (std::isalnum(Byte) || C == '-' || C == '.' || C == '_' || C == '~') {
      Result += C;
      continue;
    }
    Result += '%';
    Result += Digits[Byte >> 4];
    Result += Digits[Byte & 15];
  }
  return Result;
}

void appendField(std::string &Text, std::string_view Name,
                 std::string_view Value) {
  Text += Name;
  Text += ": ";
  Text += Value;
  Text += "\r\n";
}

std::optional<std::string> queryValue(std::string_view Query,
                                      std::string_view Key) {
  while (!Query.empty()) {
    const std::size_t End = Query.find('&');
    const std::string_view Pair = Query.substr(0, End);
    const std::size_t Equals = Pair.find('=');
    if (percentDecode(Pair.substr(0, Equals)) == Key)
      return Equals == std::string_view::npos
                 ? std::string()
                 : percentDecode(Pair.substr(Equals + 1));
    if (End == std::string_view::npos)
      break;
    Query.remove_prefix(End + 1);
  }
  return std::nullopt;
}

} // namespace galenaroute
