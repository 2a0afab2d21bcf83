#include "connection/RelayProtocol.h"

#include "process/CborDepth.h"
#include "process/ErrorKind.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace galenaroute {

using nlohmann::json;

static constexpr std::size_t LengthBytes = 2;
static constexpr std::size_t MaxRequestDepth = 2;

static Error malformed(const std::string &What) {
  return {ErrorKind::BadRequest, "relayed connection: " + What};
}

static void appendLength(std::string &To, std::size_t Length) {
  To += static_cast<char>(Length >> 8);
  To += static_cast<char>(Length & 0xff);
}

static std::size_t lengthAt(std::string_view Bytes) {
  return static_cast<std::size_t>(static_cast<unsigned char>(Bytes[0])) << 8 |
         static_cast<unsigned char>(Bytes[1]);
}

std::string encodeRelayRequest(const RelayRequest &Request) {
  const json Value = {{"upstream", Request.Upstream},
                      {"incarnation", Request.Incarnation}};
  const std::vector<std::uint8_t> Encoded = json::to_cbor(Value);
  if (LengthBytes + Encoded.size() > MaxRelayRequestBytes)
    throw malformed("the id of the upstream is too long");
  std::string Result;
  appendLength(Result, Encoded.size());
  Result.append(Encoded.begin(), Encoded.end());
  return Result;
}

std::optional<RelayRequest> takeRelayRequest(std::string_view &Bytes) {
  if (Bytes.size() < LengthBytes)
    return std::nullopt;
  const std::size_t Length = lengthAt(Bytes);
  if (LengthBytes + Length > MaxRelayRequestBytes)
    throw malformed("the request is too long");
  if (Bytes.size() < LengthBytes + Length)
    return std::nullopt;
  const std::string_view Encoded = Bytes.substr(LengthBytes, Length);
  Bytes.remove_prefix(LengthBytes + Length);
  if (!isBoundedCbor(Encoded, MaxRequestDepth))
    throw malformed("the request nests too deeply");
  try {
    const json Value = json::from_cbor(Encoded.begin(), Encoded.end());
    return RelayRequest{.Upstream = Value.at("upstream"),
                        .Incarnation = Value.at("incarnation")};
  } catch (const json::exception &Failure) {
    throw malformed(Failure.what());
  }
}

std::string relayFrameHead(RelayFrame Kind, std::size_t Length) {
  std::string Result(1, static_cast<char>(Kind));
  appendLength(Result, Length);
  return Result;
}

void RelayReader::checkOrder(RelayFrame Kind) {
  if (this->Ended)
    throw malformed("a frame after the end");
  switch (Kind) {
  case RelayFrame::Connected:
  case RelayFrame::Failed:
  case RelayFrame::Refused:
    if (this->Connected)
      throw malformed("connected twice");
    return;
  case RelayFrame::Data:
  case RelayFrame::Finished:
  case RelayFrame::Reset:
    if (!this->Connected)
      throw malformed("a frame before the connection is established");
    return;
  }
  throw malformed("an unknown frame");
}

std::size_t RelayReader::feed(std::string_view Bytes, const OnFrame &Deliver) {
  if (this->DataLeft > 0) {
    const std::string_view Data =
        Bytes.substr(0, std::min(this->DataLeft, Bytes.size()));
    this->DataLeft -= Data.size();
    Deliver(RelayFrame::Data, Data);
    return Data.size();
  }
  const std::size_t Used =
      std::min(RelayFrameHeadBytes - this->Head.size(), Bytes.size());
  this->Head += Bytes.substr(0, Used);
  if (this->Head.size() < RelayFrameHeadBytes)
    return Used;
  const auto Kind =
      static_cast<RelayFrame>(static_cast<unsigned char>(this->Head[0]));
  const std::size_t Length = lengthAt(std::string_view(this->Head).substr(1));
  this->Head.clear();
  this->checkOrder(Kind);
  if (Kind == RelayFrame::Data) {
    if (Length == 0 || Length > MaxRelayFrameBytes)
      throw malformed("the length of a frame");
    this->DataLeft = Length;
    return Used;
  }
  if (Length != 0)
    throw malformed("the length of a frame");
  this->Connected = Kind == RelayFrame::Connected;
  this->Ended = Kind != RelayFrame::Connected;
  Deliver(Kind, {});
  return Used;
}

} // namespace galenaroute
