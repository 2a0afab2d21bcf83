// Tests that an object of the platform's store that cannot be decoded hides no
// other object.

#include "RawSocket.h"
#include "connection/CallListener.h"
#include "platform/ObjectStore.h"
#include "process/JsonParts.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace galenaroute::platform {
namespace {

using namespace std::chrono_literals;

/// Specs that cannot be decoded, or that no reader accepts.
const std::vector<std::string> UnreadableSpecs = {
    R"({"service":"\ud83c"})",
    "{\"service\":\"\xff\xfe\"}",
    "{\"service\":\"a\x01z\"}",
    R"({"service":"\x41"})",
    R"({"service":"a]},{\"b","n":1e999})",
    R"({"n":01})",
    R"({"n":nan,"m":[[{}]]})",
    R"({service:1})",
    "\xff",
};

std::string objectText(const std::string &Name, const std::string &Spec) {
  return R"({"metadata":{"name":")" + Name + R"(","revision":3},"spec":)" +
         Spec + "}";
}

class UnreadableObjectsTest : public testing::Test {
protected:
  /// Returns the list that the store reads from \p Body.
  PlatformList read(const std::string &Body, bool IsWatch) {
    this->Body = Body;
    std::optional<PlatformList> Got;
    const auto OnList = [&](const PlatformList &List) { Got = List; };
    if (IsWatch)
      this->Store.watch("servers", 1, 1s, OnList);
    else
      this->Store.list("servers", "", "", OnList);
    EXPECT_TRUE(this->Loop.runUntil([&] { return Got.has_value(); }, 3s));
    return Got.value_or(PlatformList{});
  }
  static std::vector<std::string> readableNames(const PlatformList &List) {
    std::vector<std::string> Names;
    for (const PlatformObject &Each : List.Objects)
      if (Each.Value.is_object() && Each.Value.value("ok", 0) == 1)
        Names.push_back(Each.Key.Name);
    return Names;
  }

  EventLoop Loop;
  HttpClient Client{Loop};
  std::string Body;
  SocketAddress Address = freeAddress();
  CallListener Listener{Loop, Address, CallerLimits{},
                        [this](const std::shared_ptr<IncomingCall> &Call) {
                          Call->send(200, {}, this->Body);
                        }};
  ObjectStore Store{Client, Address};
};

// Guards against a registry entry of another writer whose bytes cannot be
// decoded, which left gateways that start without any upstream.
TEST_F(UnreadableObjectsTest, AListHoldsTheOthers) {
  for (const std::string &Spec : UnreadableSpecs) {
    const PlatformList List = this->read(
        R"({"asOf": 7, "items": [)" + objectText("a", R"({"ok":1})") + ", " +
            objectText("bad", Spec) + "," + objectText("c", R"({"ok":1})") +
            R"(], "hasMore": true})",
        /*IsWatch=*/false);
    EXPECT_EQ(List.Status, PlatformStatus::Ok) << Spec;
    EXPECT_EQ(List.Revision, 7U);
    EXPECT_TRUE(List.More);
    EXPECT_EQ(readableNames(List), (std::vector<std::string>{"a", "c"}))
        << Spec;
    EXPECT_EQ(List.lastName(), "c");
  }
}

// Guards against a watch that never gets past an event that cannot be decoded.
// The object counts as changed, so that its previous content is not used.
TEST_F(UnreadableObjectsTest, AWatchHoldsTheOthers) {
  for (const std::string &Spec : UnreadableSpecs) {
    const PlatformList List = this->read(
        R"({"asOf":9,"events":[{"object":)" + objectText("bad", Spec) +
            R"(},{"object":)" + objectText("c", R"({"ok":1})") +
            R"(},{"deleted":true,"object":)" + objectText("d", Spec) + "}]}",
        /*IsWatch=*/true);
    EXPECT_EQ(List.Status, PlatformStatus::Ok) << Spec;
    EXPECT_EQ(List.Revision, 9U);
    EXPECT_EQ(readableNames(List), std::vector<std::string>{"c"}) << Spec;
    ASSERT_EQ(List.Objects.size(), 3U) << Spec;
    EXPECT_EQ(List.Objects[0].Key.Name, "bad");
    EXPECT_FALSE(List.Objects[0].Deleted);
    EXPECT_TRUE(List.Objects[2].Deleted) << Spec;
  }
}

/// Returns a list of the objects \p First and \p Second.
std::string listText(std::string_view First, std::string_view Second) {
  std::string Text = R"({"asOf":1,"items":[)";
  return Text.append(First).append(",").append(Second).append("]}");
}

/// Returns the answer of a watch with the event \p First and events about the
/// objects \p Second and \p Third; an empty text stands for no event.
std::string watchText(std::string_view First, std::string_view Second,
                      std::string_view SecondEnd, std::string_view Third) {
  std::string Text = R"({"asOf":2,"events":[)";
  if (!First.empty())
    Text.append(First).append(",");
  Text.append(R"({"object":)").append(Second).append(SecondEnd);
  return Text.append(R"(},{"object":)").append(Third).append("}]}");
}

// Guards against a spec of a few hundred kilobytes whose nesting takes the
// whole stack when the parsed object is copied, which ended the process.
TEST_F(UnreadableObjectsTest, DeepNestingHidesNoOther) {
  constexpr std::size_t Depth = 200'000;
  const std::string Good = objectText("a", R"({"ok":1})");
  for (const std::string &Spec :
       {std::string(Depth, '[') + std::string(Depth, ']'),
        "{\"x\":" + std::string(Depth, '[') + std::string(Depth, ']') + "}"}) {
    const std::string Deep = objectText("deep", Spec);
    EXPECT_EQ(readableNames(this->read(listText(Deep, Good), false)),
              std::vector<std::string>{"a"});
    const PlatformList List = this->read(watchText({}, Deep, {}, Good), true);
    EXPECT_EQ(readableNames(List), std::vector<std::string>{"a"});
    ASSERT_EQ(List.Objects.size(), 2U) << "its previous content is not used";
    EXPECT_TRUE(List.Objects[0].Value.is_null());
  }
}

// Guards against a spec of 1 MB whose parsed form takes more than 20 times as
// much, which a few of them in a list would make the memory of a gateway.
TEST_F(UnreadableObjectsTest, AFlatSpecThatIsLargeWhenParsedHidesNoOther) {
  const std::string Good = objectText("a", R"({"ok":1})");
  for (const std::string Unit : {"[]", "{}"}) {
    std::string Spec = "[" + Unit;
    while (Spec.size() < (1 << 20))
      Spec += "," + Unit;
    const std::string Large = objectText("large", Spec + "]");
    const PlatformList List = this->read(listText(Large, Good), false);
    EXPECT_EQ(readableNames(List), std::vector<std::string>{"a"});
    ASSERT_EQ(List.Objects.size(), 2U) << "its previous content is not used";
    EXPECT_TRUE(List.Objects[0].Value.is_null());
  }
}

// Guards against a list of millions of elements that are no objects, whose
// faults were logged one by one.
TEST_F(UnreadableObjectsTest, AListOfTooManyElementsIsNoAnswer) {
  std::string Text = R"({"asOf":1,"items":[1)";
  while (Text.size() < (4 << 20))
    Text += ",1";
  EXPECT_EQ(this->read(Text + "]}", false).Status, PlatformStatus::Unknown);
}

// Guards against metadata of another type, and events that are no objects,
// which ended the reading of the list.
TEST_F(UnreadableObjectsTest, MalformedMetadataHidesNoOther) {
  for (const std::string Bad :
       {"1", "null", "[]", "{}", R"({"metadata":1})",
        R"({"metadata":{"name":1,"revision":2}})",
        R"({"metadata":{"name":"b","revision":"x"}})",
        R"({"metadata":{"name":"b","revision":2,"deleting":"x"}})",
        "{\"metadata\":{\"name\":\"\xff\",\"revision\":2}}"}) {
    const std::string Good = objectText("a", R"({"ok":1})");
    EXPECT_EQ(readableNames(this->read(listText(Bad, Good), false)),
              std::vector<std::string>{"a"})
        << Bad;
    EXPECT_EQ(readableNames(this->read(
                  watchText(Bad, Bad, R"(,"deleted":7)", Good), true)),
              std::vector<std::string>{"a"})
        << Bad;
  }
}

// Guards against a list that ends, or repeats for ever, at a page whose last
// entry cannot be read.
TEST_F(UnreadableObjectsTest, TheNextPageFollowsTheLastName) {
  const PlatformList List = this->read(
      R"({"asOf":1,"hasMore":true,"items":[)" + objectText("a", "{}") +
          R"(,{"metadata":{"name":"b","revision":"x"}}]})",
      /*IsWatch=*/false);
  EXPECT_EQ(List.lastName(), "b");
}

// Guards against a list that was cut being taken for a whole one, which would
// drop all upstreams behind the cut.
TEST_F(UnreadableObjectsTest, TextThatIsNoListIsNoAnswer) {
  const std::string Whole = R"({"asOf":1,"items":[)" +
                            objectText("a", UnreadableSpecs[1]) + "," +
                            objectText("b", "{}") + "]}";
  EXPECT_EQ(this->read(Whole, /*IsWatch=*/false).Status, PlatformStatus::Ok);
  for (std::size_t Size = 0; Size < Whole.size(); Size += 5)
    EXPECT_EQ(this->read(Whole.substr(0, Size), /*IsWatch=*/false).Status,
              PlatformStatus::Unknown)
        << Whole.substr(0, Size);
  for (const std::string Text : {"x", "[]", R"({"asOf":"x","items":[]})"})
    EXPECT_EQ(this->read(Text, /*IsWatch=*/false).Status,
              PlatformStatus::Unknown)
        << Text;
}

/// Returns the elements of the array \p Text that have a text.
std::vector<std::string_view> elementsOf(std::string_view Text) {
  std::vector<std::string_view> Result;
  forEachElement(Text, [&](std::string_view Element) {
    if (!Element.empty())
      Result.push_back(Element);
    return true;
  });
  return Result;
}

// Guards against reading beyond the text, or for ever, in any bytes.
RC_GTEST_PROP(JsonPartsProperty, AnyTextIsSplit, ()) {
  const auto Text = *rc::gen::container<std::string>(
      rc::gen::oneOf(rc::gen::elementOf(std::string(R"({}[]":,\ ak1)")),
                     rc::gen::arbitrary<char>()));
  std::size_t Total = 0;
  for (const std::string_view Each : elementsOf(Text)) {
    RC_ASSERT(!Each.empty());
    Total += Each.size();
  }
  RC_ASSERT(Total <= Text.size());
  RC_ASSERT(!isWhole(Text) || Text.size() > 1);
  RC_ASSERT(memberOf(Text, "a").size() <= Text.size());
}

// Compares the parts with those of the JSON library.
RC_GTEST_PROP(JsonPartsProperty, PartsAreThoseOfTheLibrary, ()) {
  using nlohmann::json;
  json Array = json::array();
  const auto Texts = *rc::gen::arbitrary<std::vector<std::string>>();
  for (const std::string &Each : Texts)
    Array.push_back({{"k", Each}, {Each, json::array({Each, 1, json()})}});
  const auto Dump = [](const json &Value) {
    return Value.dump(1, ' ', true, json::error_handler_t::replace);
  };
  const std::string Text = Dump({{"a", 1}, {"items", Array}, {"z", "]"}});
  const auto Parts = elementsOf(memberOf(Text, "items"));
  RC_ASSERT(Parts.size() == Array.size());
  for (std::size_t I = 0; I < Parts.size(); ++I)
    RC_ASSERT(json::parse(Parts[I]) == json::parse(Dump(Array[I])));
  RC_ASSERT(memberOf(Text, "z") == "\"]\"");
}

} // namespace
} // namespace galenaroute::platform
