// Tests that text from outside takes no more memory and time when it is parsed
// than its limits allow, whatever its shape.

#include "process/BoundedJson.h"
#include "connection/UpstreamReports.h"
#include "process/ErrorKind.h"

#include <gtest/gtest.h>
#include <malloc.h>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

using nlohmann::json;

constexpr std::size_t NoLimit = std::size_t{1} << 40;

/// Returns \p Unit over and over, separated by commas, between \p Begin and
/// \p End, in at least \p Bytes.
std::string repeated(std::string_view Begin, std::string_view Unit,
                     std::string_view End, std::size_t Bytes) {
  std::string Result(Begin);
  Result += Unit;
  while (Result.size() + End.size() < Bytes)
    Result.append(",").append(Unit);
  return Result.append(End);
}

/// Texts of about \p Bytes that take much memory when they are parsed.
std::vector<std::string> costlyTexts(std::size_t Bytes) {
  std::string Members = "{\"a\":0";
  for (int I = 0; Members.size() < Bytes; ++I)
    Members += ",\"" + std::to_string(I) + "\":1";
  return {
      repeated("[", "[]", "]", Bytes),
      repeated("[", "{}", "]", Bytes),
      repeated("[", "1", "]", Bytes),
      repeated("[", "\"\"", "]", Bytes),
      repeated("[", "\"0123456789abcdef\"", "]", Bytes),
      repeated("[", "[[[[[[]]]]]]", "]", Bytes),
      repeated("[", "{\"a\":{\"b\":[1]}}", "]", Bytes),
      Members + "}",
      "[\"" + std::string(Bytes, 'x') + "\"]",
      "[" + std::string(Bytes, ' ') + "1]",
      "[1" + std::string(300, '0') + "]",
  };
}

std::size_t heapBytes() {
  const struct mallinfo2 Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

// Guards against a measure that is too small for a shape of text, with which a
// few megabytes took several hundred.
TEST(BoundedJsonTest, TheMeasureCoversWhatTheParsedFormTakes) {
  for (const std::string &Text : costlyTexts(200'000)) {
    const auto Measured =
        measureJson(Text, {.MaxDepth = 128, .MaxTreeBytes = NoLimit});
    ASSERT_TRUE(Measured) << Text.substr(0, 40);
    const std::size_t Before = heapBytes();
    const json Tree = json::parse(Text);
    EXPECT_LE(heapBytes() - Before, *Measured) << Text.substr(0, 40);
  }
}

// Guards against a measure that is so large that regular answers are refused.
TEST(BoundedJsonTest, TheMeasureOfARegularObjectIsNotMuchTooLarge) {
  const std::string Entry =
      R"({"metadata":{"name":"i-5840f93bc3","revision":1234},"spec":{"service":)"
      R"("bean-llm","address":"10.2.64.3:8080","zone":"pnw-a","version":"v1",)"
      R"("slots":32,"state":"ready","coldLeftMs":0,"sequence":17}})";
  const std::string Text = repeated("[", Entry, "]", 200'000);
  const std::size_t Before = heapBytes();
  const json Tree = json::parse(Text);
  const std::size_t Taken = heapBytes() - Before;
  EXPECT_LE(*measureJson(Text, {.MaxTreeBytes = NoLimit}), 2 * Taken);
}

// Guards against text that is parsed although it exceeds its limit, and against
// one that is read to its end first.
TEST(BoundedJsonTest, TextBeyondTheLimitsIsRefused) {
  for (const std::string &Text : costlyTexts(4 << 20)) {
    if (Text.size() < 1000)
      continue;
    const std::size_t Before = heapBytes();
    EXPECT_THROW(parseJson(Text), Error) << Text.substr(0, 40);
    EXPECT_TRUE(tryParseJson(Text).is_discarded());
    EXPECT_LE(heapBytes(), Before + 4096) << Text.substr(0, 40);
  }
  EXPECT_THROW(parseJson(std::string(4 << 20, '[')), Error);
  EXPECT_THROW(parseJson(std::string(4 << 20, '{')), Error);
  EXPECT_EQ(parseJson("[[1]]", {.MaxDepth = 2}), json::parse("[[1]]"));
  EXPECT_THROW(parseJson("[[1]]", {.MaxDepth = 1}), Error);
}

/// The parts of an object, put together again.
json reassembled(std::string_view Text) {
  json Elements = json::object();
  json Head = readJsonObject(
      Text,
      {.Element = {.MaxTreeBytes = NoLimit}, .Head = {.MaxTreeBytes = NoLimit}},
      [&](std::string_view Member, const json &Element) {
        Elements[std::string(Member)].push_back(Element);
      });
  Head.update(Elements);
  return Head;
}

// Compares an object that is read element by element with that of the library.
RC_GTEST_PROP(BoundedJsonProperty, ElementsAreThoseOfTheLibrary, ()) {
  json Object = json::object();
  for (const std::string &Drawn :
       *rc::gen::arbitrary<std::vector<std::string>>()) {
    // The library writes all undecodable bytes alike, also those of a name.
    const std::string Each = std::to_string(Object.size()) + Drawn;
    const auto Count = *rc::gen::inRange<std::size_t>(0, 4);
    Object[Each] = json::array_t(Count, {{Each, 1}, {"x", json::array()}});
    Object[Each + "]"] = {{"y", Each}};
    Object[Each + "\\"] = Each;
  }
  const std::string Text =
      Object.dump(1, ' ', true, json::error_handler_t::replace);
  RC_ASSERT(reassembled(Text) == json::parse(Text));
}

// Guards against damaged text that is taken for an object, and against reading
// beyond it.
RC_GTEST_PROP(BoundedJsonProperty, DamagedTextIsRefusedAsByTheLibrary, ()) {
  std::string Text = R"({"a":[1,{"b":"x"}], "c":{"d":[2]},"e":null})";
  const auto At = *rc::gen::inRange<std::size_t>(0, Text.size());
  Text[At] = *rc::gen::inRange<char>(32, 126);
  Text.resize(*rc::gen::inRange(At, Text.size() + 1));
  const json Expected = json::parse(Text, nullptr, false);
  json Read(json::value_t::discarded);
  try {
    Read = reassembled(Text);
  } catch (const Error &) {
  }
  // A member that comes twice is refused here.
  RC_ASSERT(Read == Expected || (Read.is_discarded() && Expected.size() < 3) ||
            (Read.is_discarded() && !Expected.is_object()));
}

// Guards against an array of millions of elements that is read to its end.
TEST(BoundedJsonTest, TheNumberAndSizeOfElementsAreBounded) {
  const auto Ignore = [](std::string_view, const json &) {};
  const std::string Many = repeated("{\"a\":[", "1", "]}", 4 << 20);
  EXPECT_THROW(readJsonObject(Many, {}, Ignore), Error);
  EXPECT_NO_THROW(readJsonObject(Many, {.MaxElements = 4 << 20}, Ignore));
  EXPECT_THROW(readJsonObject(Many,
                              {.MaxElements = 4 << 20, .MaxKeptBytes = 1 << 20},
                              Ignore),
               Error);
  const std::string Large =
      repeated("{\"a\":[" + std::string("["), "[]", "]]}", 1 << 20);
  EXPECT_THROW(readJsonObject(Large, {}, Ignore), Error);
  const std::string Head = repeated("{\"a\":{\"b\":[", "[]", "]}}", 1 << 20);
  EXPECT_THROW(readJsonObject(Head, {}, Ignore), Error);
}

// Guards against reports of engines and stores whose parsed form takes many
// times their bytes.
TEST(UpstreamReportsMemoryTest, CostlyReportsAreRefused) {
  for (const std::string Member : {"events", "keys", "blocks", "x"})
    for (const std::string Unit : {"[]", "{}", "1", "\"\"", "[[],[]]"}) {
      const std::string Text =
          repeated("{\"seq\":1,\"" + Member + "\":[", Unit, "]}", 8 << 20);
      EXPECT_FALSE(parseLoadReport(Text, TimePoint{}));
      EXPECT_FALSE(parseCacheEvents(Text));
      EXPECT_FALSE(parseBlockListing(Text));
    }
}

} // namespace
} // namespace galenaroute
