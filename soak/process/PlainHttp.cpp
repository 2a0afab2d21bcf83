#include "PlainHttp.h"

#include <algorithm>
#include <cstdlib>
#include <strings.h>

namespace galenaroute::process_soak {

std::string MessageHead::find(std::string_view Name) const {
  for (const auto &[Field, Value] : this->Fields)
    if (Field.size() == Name.size() &&
        strncasecmp(Field.data(), Name.data(), Name.size()) == 0)
      return Value;
  return {};
}

int MessageHead::status() const {
  const std::size_t Space = this->First.find(' ');
  return Space == std::string::npos ? 0 : std::atoi(&this->First[Space + 1]);
}

std::string MessageHead::path() const {
  const std::size_t From = this->First.find(' ') + 1;
  return this->First.substr(From, this->First.find(' ', From) - From);
}

void MessageReader::feed(std::string_view Bytes) {
  this->Text.append(Bytes);
  while (!this->Malformed && this->step()) {
  }
}

void MessageReader::end() {
  if (this->State == Stage::UntilClose)
    this->State = Stage::Whole;
}

void MessageReader::next() {
  this->State = Stage::Head;
  this->Head = {};
  this->Body.clear();
  this->feed({});
}

/// Reads the next part of the message; returns whether there may be more.
bool MessageReader::step() {
  switch (this->State) {
  case Stage::Head:
    return this->readHead();
  case Stage::Length:
    return this->readBytes(this->IsChunked ? Stage::ChunkEnd : Stage::Whole);
  case Stage::ChunkSize:
    return this->readChunkSize();
  case Stage::ChunkEnd:
    if (this->Text.size() < 2)
      return false;
    this->Malformed = !this->Text.starts_with("\r\n");
    this->Text.erase(0, 2);
    this->State = Stage::ChunkSize;
    return true;
  case Stage::UntilClose:
    this->Body += std::exchange(this->Text, {});
    return false;
  case Stage::Whole:
    return false;
  }
  return false;
}

bool MessageReader::readHead() {
  const std::size_t End = this->Text.find("\r\n\r\n");
  if (End == std::string::npos)
    return false;
  std::size_t At = this->Text.find("\r\n");
  this->Head.First = this->Text.substr(0, At);
  while (At < End) {
    At += 2;
    const std::size_t Next = this->Text.find("\r\n", At);
    const std::size_t Colon = this->Text.find(':', At);
    if (Colon == std::string::npos || Colon > Next) {
      this->Malformed = true;
      return false;
    }
    const std::size_t Value = this->Text.find_first_not_of(' ', Colon + 1);
    this->Head.Fields.emplace_back(this->Text.substr(At, Colon - At),
                                   this->Text.substr(Value, Next - Value));
    At = Next;
  }
  this->Text.erase(0, End + 4);
  const std::string Length = this->Head.find("Content-Length");
  this->IsChunked = this->Head.find("Transfer-Encoding") == "chunked";
  this->Left = std::strtoull(Length.c_str(), nullptr, 10);
  if (this->IsChunked)
    this->State = Stage::ChunkSize;
  else if (this->Kind == MessageKind::Request || !Length.empty())
    this->State = this->Left > 0 ? Stage::Length : Stage::Whole;
  else
    this->State = Stage::UntilClose;
  this->Malformed = !this->Head.First.starts_with("HTTP/1.1 ") ==
                    (this->Kind == MessageKind::Answer);
  return true;
}

bool MessageReader::readBytes(Stage Then) {
  const std::size_t Count =
      std::min<std::uint64_t>(this->Left, this->Text.size());
  this->Body.append(this->Text, 0, Count);
  this->Text.erase(0, Count);
  this->Left -= Count;
  if (this->Left > 0)
    return false;
  this->State = Then;
  return true;
}

bool MessageReader::readChunkSize() {
  const std::size_t End = this->Text.find("\r\n");
  if (End == std::string::npos)
    return false;
  char *Stop = nullptr;
  this->Left = std::strtoull(this->Text.c_str(), &Stop, 16);
  if (Stop == this->Text.c_str()) {
    this->Malformed = true;
    return false;
  }
  if (this->Left > 0) {
    this->Text.erase(0, End + 2);
    this->State = Stage::Length;
    return true;
  }
  // The last chunk, without trailers.
  if (this->Text.size() < End + 4)
    return false;
  this->Text.erase(0, End + 4);
  this->State = Stage::Whole;
  return true;
}

} // namespace galenaroute::process_soak
