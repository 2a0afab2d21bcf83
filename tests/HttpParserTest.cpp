// Tests of the HTTP parser of forwarded calls.

#include "connection/HttpParser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

/// Collects what a parser reports.
struct Reader {
  explicit Reader(HttpParser::Side Side, HttpParserLimits Limits = {})
      : Parser(Side, Limits,
               {.OnHead =
                    [this](HttpHead &Head) {
                      this->Head = Head;
                      return true;
                    },
                .OnBody = [this](std::string_view Bytes) { Body += Bytes; },
                .OnComplete = [this] { ++this->Complete; }}) {}

  /// Feeds pieces of \p Step bytes until a message is complete or refused.
  std::size_t feed(std::string_view Bytes, std::size_t Step) {
    std::size_t Used = 0;
    while (Used < Bytes.size() && this->Complete == 0 &&
           this->Parser.fault() == HttpFault::None)
      Used += this->Parser.feed(Bytes.substr(Used, Step));
    return Used;
  }

  HttpParser Parser;
  HttpHead Head;
  std::string Body;
  int Complete = 0;
};

// Guards against a request hidden in another one: each of these heads can be
// read in two ways.
TEST(HttpParserTest, RefusesAmbiguousHeads) {
  const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::string> Heads = {
      "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 50\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: 5, 5\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: 5\r\n" + Chunked,
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, identity\r\n\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n",
      "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
      "GET / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n",
      "GET / HTTP/1.1\r\nA: b\nHost: x\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
      "GET / HTTP/1.1\r\nNo colon\r\n\r\n",
      std::string("GET / HTTP/1.1\r\nA: b\0c\r\n\r\n", 26),
  };
  for (const std::string &Head : Heads) {
    EXPECT_FALSE(isUnambiguousHead(Head, true)) << Head;
    Reader Read(HttpParser::Side::Request);
    Read.feed(Head + "GET /hidden HTTP/1.1\r\n\r\n", 1 << 16);
    EXPECT_EQ(Read.Parser.fault(), HttpFault::Malformed) << Head;
    EXPECT_EQ(Read.Complete, 0) << Head;
  }
}

// Guards against a head without end that fills the memory.
TEST(HttpParserTest, LimitsTheHead) {
  Reader Read(HttpParser::Side::Request, {.MaxHeadBytes = 1000});
  const std::string Head =
      "GET / HTTP/1.1\r\nA: " + std::string(1 << 20, 'x') + "\r\n\r\n";
  EXPECT_LT(Read.feed(Head, 4096), 9000U);
  EXPECT_EQ(Read.Parser.fault(), HttpFault::HeadTooLarge);
}

// Guards against a body larger than allowed, told by its length or in chunks.
TEST(HttpParserTest, LimitsTheBody) {
  Reader WithLength(HttpParser::Side::Request, {.MaxBodyBytes = 10});
  WithLength.feed("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n", 64);
  EXPECT_EQ(WithLength.Parser.fault(), HttpFault::BodyTooLarge);
  Reader InChunks(HttpParser::Side::Request, {.MaxBodyBytes = 10});
  InChunks.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                "6\r\nabcdef\r\n6\r\nabcdef\r\n0\r\n\r\n",
                64);
  EXPECT_EQ(InChunks.Parser.fault(), HttpFault::BodyTooLarge);
}

// Guards against a difference by where the network cuts the bytes, and against
// taking bytes of the next message.
RC_GTEST_PROP(HttpParserProperty, PiecesDoNotMatter, ()) {
  const auto Body =
      *rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z'));
  const bool InChunks = *rc::gen::arbitrary<bool>();
  const std::size_t Step = *rc::gen::inRange<std::size_t>(1, 40);
  std::string Text = "POST /a HTTP/1.1\r\nHost: h\r\n";
  if (InChunks) {
    char Size[16];
    std::snprintf(Size, sizeof Size, "%zx", Body.size());
    Text += "Transfer-Encoding: chunked\r\n\r\n";
    if (!Body.empty())
      Text += std::string(Size) + "\r\n" + Body + "\r\n";
    Text += "0\r\n\r\n";
  } else {
    Text +=
        "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }
  Reader Read(HttpParser::Side::Request);
  const std::size_t Used = Read.feed(Text + "GET /next", Step);
  RC_ASSERT(Read.Complete == 1);
  RC_ASSERT(Read.Body == Body);
  RC_ASSERT(Used == Text.size());
}

// Guards against an answer that ends with its connection being taken as
// complete before the connection has ended in good order.
TEST(HttpParserTest, AnAnswerWithoutFramingEndsWithItsConnection) {
  Reader Read(HttpParser::Side::Response);
  Read.feed("HTTP/1.1 200 OK\r\nA: b\r\n\r\npart", 64);
  EXPECT_EQ(Read.Complete, 0);
  EXPECT_FALSE(Read.Head.HasFraming);
  Read.Parser.finish();
  EXPECT_EQ(Read.Complete, 1);
  EXPECT_EQ(Read.Body, "part");
}

// Guards against an answer without a meaning that counts as an interim one: the
// call waited for its deadline.
TEST(HttpParserTest, AStatusOutsideItsRangeIsMalformed) {
  for (const std::string Status : {"000", "001", "099", "101", "600", "999"}) {
    Reader Read(HttpParser::Side::Response);
    Read.feed("HTTP/1.1 " + Status + " A\r\nContent-Length: 0\r\n\r\n", 64);
    EXPECT_EQ(Read.Parser.fault(), HttpFault::Malformed) << Status;
    EXPECT_EQ(Read.Complete, 0) << Status;
  }
  for (const std::string Status : {"100", "103", "199", "200", "418", "599"}) {
    Reader Read(HttpParser::Side::Response);
    Read.feed("HTTP/1.1 " + Status + " A\r\nContent-Length: 0\r\n\r\n", 64);
    EXPECT_EQ(Read.Parser.fault(), HttpFault::None) << Status;
    EXPECT_EQ(Read.Complete, 1) << Status;
  }
}

TEST(HttpParserTest, AnUpgradeHidesNoBody) {
  Reader Read(HttpParser::Side::Request);
  const std::string Text =
      "POST / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n"
      "Content-Length: 4\r\n\r\nbody";
  EXPECT_EQ(Read.feed(Text, 64), Text.size());
  EXPECT_EQ(Read.Body, "body");
}

// Guards against heads that are legal in size and take many times their size
// once they are parsed, and against a limit that refuses what is inside it.
TEST(HttpParserTest, LimitsFieldsAndListItems) {
  const HttpParserLimits Limits{.MaxFields = 3, .MaxListItems = 4};
  const std::string Start = "GET /a,b,c,d,e,f HTTP/1.1\r\n";
  const std::pair<std::string, HttpFault> Cases[] = {
      {"a:b\r\na:b\r\na:b\r\n\r\n", HttpFault::None},
      {"a:b\r\na:b\r\na:b\r\na:b\r\n\r\n", HttpFault::HeadTooLarge},
      {"p: a:1,b:1,c:1,d:1\r\nq: e,f\r\n\r\n", HttpFault::None},
      {"p: a:1,b:1,c:1,d:1,\r\n\r\n", HttpFault::HeadTooLarge}};
  for (const auto &[Rest, Expected] : Cases)
    for (const std::size_t Step : {1, 1000}) {
      Reader Read(HttpParser::Side::Request, Limits);
      Read.feed(Start + Rest, Step);
      EXPECT_EQ(Read.Parser.fault(), Expected) << Rest;
      EXPECT_EQ(Read.Complete, Expected == HttpFault::None ? 1 : 0) << Rest;
    }
}

} // namespace
} // namespace galenaroute
