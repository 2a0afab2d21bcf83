#include "process/BoundedJson.h"

#include "process/ErrorKind.h"
#include "process/JsonParts.h"

#include <algorithm>
#include <utility>

namespace galenaroute {

using nlohmann::json;

namespace {

/// Memory that the JSON library takes, with the overhead of the allocator.
namespace cost {
/// The place of a value in an array. The array doubles when it is full, and the
/// old copy is held until the new one is complete.
constexpr std::size_t Element = 3 * sizeof(json);
constexpr std::size_t Array = sizeof(json::array_t) + 16;
constexpr std::size_t Object = sizeof(json::object_t) + 16;
/// The node of a member, with its key.
constexpr std::size_t Member = 112;
constexpr std::size_t String = sizeof(std::string) + 16;
/// The characters of a string that does not hold them itself.
constexpr std::size_t Characters = 32;
/// The lexer collects the bytes of a token twice, in buffers that double.
constexpr std::size_t PerTokenByte = 6;
} // namespace cost

/// Adds up what a text takes.
class Meter {
public:
  Meter(std::string_view Text, const JsonLimits &Limits)
      : Text(Text), Limits(Limits) {}

  std::optional<std::size_t> measure() {
    for (std::size_t At = 0; At < this->Text.size();) {
      if (!this->takeAt(At) || this->total(At) > this->Limits.MaxTreeBytes)
        return std::nullopt;
    }
    return this->total(this->Text.size());
  }

private:
  /// Counts the token at \p At and moves \p At behind it. Returns false if it
  /// nests too deeply.
  bool takeAt(std::size_t &At) {
    const char C = this->Text[At];
    const bool WasNumber = std::exchange(this->IsNumber, isNumber(C));
    if (this->IsNumber && !WasNumber)
      this->beginToken(At);
    switch (C) {
    case '"': {
      this->beginToken(At);
      const std::size_t End = endOfString(this->Text, At);
      const std::size_t Length = End - At;
      this->Bytes += cost::String;
      if (Length > sizeof(std::string) / 2)
        this->Bytes += Length + cost::Characters;
      At = End;
      return true;
    }
    case '[':
      this->Bytes += cost::Array + cost::Element;
      ++this->Depth;
      break;
    case '{':
      this->Bytes += cost::Object;
      ++this->Depth;
      break;
    case ']':
    case '}':
      this->Depth -= std::min<std::size_t>(this->Depth, 1);
      break;
    case ',':
      this->Bytes += cost::Element;
      break;
    case ':':
      // The key was counted as a string of its own.
      this->Bytes += cost::Member - cost::String;
      break;
    default:
      break;
    }
    ++At;
    return this->Depth <= this->Limits.MaxDepth;
  }

  static bool isNumber(char C) {
    return (C >= '0' && C <= '9') || C == '-' || C == '+' || C == '.' ||
           C == 'e' || C == 'E';
  }
  /// The lexer drops what it has collected where a string or number begins.
  void beginToken(std::size_t At) {
    this->LongestToken = std::max(this->LongestToken, At - this->TokenBegin);
    this->TokenBegin = At;
  }
  std::size_t total(std::size_t At) const {
    return this->Bytes + cost::PerTokenByte * std::max(this->LongestToken,
                                                       At - this->TokenBegin);
  }

  std::string_view Text;
  const JsonLimits &Limits;
  std::size_t Bytes = 0;
  std::size_t Depth = 0;
  std::size_t TokenBegin = 0;
  std::size_t LongestToken = 0;
  bool IsNumber = false;
};

} // namespace

static Error malformed(const std::string &Message) {
  return {ErrorKind::BadRequest, Message};
}

std::optional<std::size_t> measureJson(std::string_view Text,
                                       const JsonLimits &Limits) {
  return Meter(Text, Limits).measure();
}

json tryParseJson(std::string_view Text, const JsonLimits &Limits) {
  if (!measureJson(Text, Limits))
    return json(json::value_t::discarded);
  return json::parse(Text, /*cb=*/nullptr, /*allow_exceptions=*/false);
}

/// Parses \p Text as parseJson() does, and sets \p TreeBytes to its measure.
static json parseMeasured(std::string_view Text, const JsonLimits &Limits,
                          std::size_t &TreeBytes) {
  const std::optional<std::size_t> Measured = measureJson(Text, Limits);
  if (!Measured)
    throw malformed("the text exceeds the limits of its parsed form");
  TreeBytes = *Measured;
  try {
    return json::parse(Text);
  } catch (const json::exception &Failure) {
    throw malformed(Failure.what());
  }
}

json parseJson(std::string_view Text, const JsonLimits &Limits) {
  std::size_t TreeBytes = 0;
  return parseMeasured(Text, Limits, TreeBytes);
}

namespace {

/// Reads one object, see readJsonObject().
class ObjectReader {
public:
  ObjectReader(const JsonObjectLimits &Limits, const OnParsedElement &OnElement)
      : Limits(Limits), OnElement(OnElement) {}

  json read(std::string_view Text) {
    Text = trimJson(Text);
    if (!Text.starts_with('{') || !isWhole(Text))
      throw malformed("the text is not a whole object");
    std::size_t End = 1;
    forEachMember(Text, [&](std::string_view Key, std::string_view Value) {
      this->readMember(Key, Value);
      End = static_cast<std::size_t>(Value.data() + Value.size() - Text.data());
      return true;
    });
    if (trimJson(Text.substr(End)) != "}")
      throw malformed("the object has malformed members");
    return std::move(this->Head);
  }

private:
  void readMember(std::string_view Key, std::string_view Value) {
    const JsonLimits Left{this->Limits.Head.MaxDepth,
                          this->Limits.Head.MaxTreeBytes - this->HeadBytes};
    const json Name = parseJson(Key, Left);
    if (!Name.is_string())
      throw malformed("a member has no name");
    const auto [Member, IsNew] =
        this->Head.emplace(Name.get_ref<const std::string &>(), json::array());
    if (!IsNew)
      throw malformed("a member comes twice");
    if (Value.starts_with('[')) {
      this->charge(Key.size() + cost::Member);
      this->readArray(Member.key(), Value);
      return;
    }
    std::size_t TreeBytes = 0;
    *Member = parseMeasured(Value, Left, TreeBytes);
    this->charge(Key.size() + cost::Member + TreeBytes);
  }

  void readArray(std::string_view Name, std::string_view Text) {
    if (!isWhole(Text))
      throw malformed("an array is not whole");
    forEachElement(Text, [&](std::string_view Element) {
      if (++this->Elements > this->Limits.MaxElements)
        throw malformed("there are too many elements");
      std::size_t TreeBytes = 0;
      const json Value =
          parseMeasured(Element, this->Limits.Element, TreeBytes);
      if (TreeBytes > this->Limits.MaxKeptBytes - this->KeptBytes)
        throw malformed("the elements are too large");
      this->KeptBytes += TreeBytes;
      this->OnElement(Name, Value);
      return true;
    });
  }

  void charge(std::size_t Bytes) {
    this->HeadBytes += Bytes;
    if (this->HeadBytes > this->Limits.Head.MaxTreeBytes)
      throw malformed("the members are too large");
  }

  const JsonObjectLimits &Limits;
  const OnParsedElement &OnElement;
  json Head = json::object();
  std::size_t HeadBytes = 0;
  std::size_t Elements = 0;
  std::size_t KeptBytes = 0;
};

} // namespace

json readJsonObject(std::string_view Text, const JsonObjectLimits &Limits,
                    const OnParsedElement &OnElement) {
  return ObjectReader(Limits, OnElement).read(Text);
}

} // namespace galenaroute
