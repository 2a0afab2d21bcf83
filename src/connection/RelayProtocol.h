// The bytes of a relayed connection: one to an upstream that another gateway
// opens on behalf of this one.
//
//   Out = encodeRelayRequest({.Upstream = Id, .Incarnation = Key});   // once
//   RelayReader Reader;
//   while (!Input.empty())
//     Used = Reader.feed(Input, [&](RelayFrame Frame, std::string_view Bytes) {
//       ...
//     });
//
// The gateway that has the call sends the request and then, once it has read
// RelayFrame::Connected, the bytes for the upstream as they are. The helper
// sends frames: what the upstream sends may end with its connection, and
// without a frame for that end a helper that is killed would look like it.
//
// Guarantees: bounded sizes; bytes that are no frame, or frames out of order,
// throw Error(BadRequest).

#ifndef GALENAROUTE_CONNECTION_RELAYPROTOCOL_H
#define GALENAROUTE_CONNECTION_RELAYPROTOCOL_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace galenaroute {

/// Names the upstream to connect to, by its id in the registry, from which the
/// helper takes its address. An upstream that has started again under its id
/// may have other software than the gateway knows of.
struct RelayRequest {
  std::string Upstream;
  std::uint64_t Incarnation = 0; ///< See incarnationKey().
  bool operator==(const RelayRequest &) const = default;
};

/// The longest encoded request, its length included.
inline constexpr std::size_t MaxRelayRequestBytes = 1024;

std::string encodeRelayRequest(const RelayRequest &Request);
/// Returns the request at the start of \p Bytes and removes it from them, or
/// nothing if more bytes are needed. Throws Error(BadRequest) if it is
/// malformed or too long.
std::optional<RelayRequest> takeRelayRequest(std::string_view &Bytes);

enum class RelayFrame : std::uint8_t {
  Connected = 1, ///< The connection to the upstream is established.
  Failed = 2,    ///< It is not, and no byte was sent; nothing follows.
  Data = 3,      ///< Bytes of the upstream.
  /// The upstream has closed its side in good order and has taken all bytes
  /// that reached the helper.
  Finished = 4,
  Reset = 5,   ///< The connection has broken.
  Refused = 6, ///< The helper opens none; nothing follows.
};

/// Bytes before those of a frame: its kind and the length of its bytes.
inline constexpr std::size_t RelayFrameHeadBytes = 3;
inline constexpr std::size_t MaxRelayFrameBytes = 16 << 10;

/// Returns what precedes the \p Length bytes of a frame.
std::string relayFrameHead(RelayFrame Kind, std::size_t Length = 0);

/// Splits what a helper sends into frames.
class RelayReader {
public:
  using OnFrame = std::function<void(RelayFrame Frame, std::string_view Bytes)>;

  /// Consumes bytes up to the end of the first frame, or of a part of its
  /// data, and hands that over. Returns how many were consumed; all of them if
  /// more are needed.
  std::size_t feed(std::string_view Bytes, const OnFrame &Deliver);
  /// Whether the helper has reported that it is connected.
  bool isConnected() const { return this->Connected; }
  /// Whether the helper has reported the end of the connection.
  bool hasEnded() const { return this->Ended; }

private:
  void checkOrder(RelayFrame Kind);

  std::string Head;         ///< Of the current frame, as far as it was read.
  std::size_t DataLeft = 0; ///< Of a data frame.
  bool Connected = false;
  bool Ended = false;
};

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_RELAYPROTOCOL_H
