// A small reader of HTTP/1.1 messages for the parts of a process soak, which
// shares no code with the daemons' own parser.
//
//   MessageReader Reader(MessageKind::Answer);
//   Reader.feed(Bytes);
//   if (Reader.hasHead()) use(Reader.head(), Reader.takeBody());
//   if (Reader.isWhole()) Reader.next();

#ifndef GALENAROUTE_SOAK_PROCESS_PLAINHTTP_H
#define GALENAROUTE_SOAK_PROCESS_PLAINHTTP_H

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace galenaroute::process_soak {

enum class MessageKind { Request, Answer };

struct MessageHead {
  std::string First; ///< The first line.
  std::vector<std::pair<std::string, std::string>> Fields;

  /// Returns the value of a field, or nothing.
  std::string find(std::string_view Name) const;
  /// The status of an answer, or 0.
  int status() const;
  /// The path of a request.
  std::string path() const;
};

class MessageReader {
public:
  explicit MessageReader(MessageKind Kind) : Kind(Kind) {}

  void feed(std::string_view Bytes);
  /// The peer has closed the connection.
  void end();

  bool hasHead() const { return this->State != Stage::Head; }
  const MessageHead &head() const { return this->Head; }
  /// Returns the bytes of the body since the last call, without chunks.
  std::string takeBody() { return std::exchange(this->Body, {}); }
  bool isWhole() const { return this->State == Stage::Whole; }
  bool isMalformed() const { return this->Malformed; }
  /// Whether bytes beyond the messages read so far have arrived.
  bool hasRest() const { return !this->Text.empty(); }
  /// Forgets a whole message and reads on in the bytes behind it.
  void next();

private:
  enum class Stage { Head, Length, ChunkSize, ChunkEnd, UntilClose, Whole };

  bool step();
  bool readHead();
  bool readBytes(Stage Then);
  bool readChunkSize();

  MessageKind Kind;
  Stage State = Stage::Head;
  bool IsChunked = false;
  bool Malformed = false;
  std::uint64_t Left = 0; ///< Bytes of the body or of the chunk.
  MessageHead Head;
  std::string Text;
  std::string Body;
};

} // namespace galenaroute::process_soak

#endif // GALENAROUTE_SOAK_PROCESS_PLAINHTTP_H
