#include "connection/UpstreamReports.h"

#include "process/BoundedJson.h"
#include "process/ErrorKind.h"

namespace galenaroute {

using nlohmann::json;

/// No count, rate or age that makes sense is larger.
static constexpr double LargestNumber = 1e12;

/// Reads the optional number \p Name into \p Value; returns false when it is
/// there but not a number from 0 to LargestNumber.
template <typename Number>
static bool readNumber(const json &Body, const char *Name, Number &Value) {
  const auto It = Body.find(Name);
  if (It == Body.end())
    return true;
  if (!It->is_number())
    return false;
  const double Read = It->template get<double>();
  // Written so that a NaN fails, too.
  if (!(Read >= 0 && Read <= LargestNumber) ||
      (std::is_same_v<Number, int> && Read > 1e9))
    return false;
  Value = static_cast<Number>(Read);
  return true;
}

/// A block takes some hundred bytes in any of its forms.
static constexpr JsonObjectLimits ReportLimits{
    .Element = {.MaxDepth = 8, .MaxTreeBytes = 16 << 10},
    .Head = {.MaxDepth = 16, .MaxTreeBytes = 1 << 20},
    .MaxElements = MaxReportedBlocks};

static json parseObject(std::string_view Text) {
  json Body = tryParseJson(Text, ReportLimits.Head);
  return Body.is_object() ? Body : json(nullptr);
}

/// Reads an object whose arrays are handed over element by element. Returns
/// null if it is malformed or if \p OnElement throws an Error.
static json readElements(std::string_view Text,
                         const OnParsedElement &OnElement) {
  try {
    return readJsonObject(Text, ReportLimits, OnElement);
  } catch (const Error &) {
    return nullptr;
  }
}

std::optional<LoadReport> parseLoadReport(std::string_view Text,
                                          TimePoint SentAt) {
  const json Body = parseObject(Text);
  LoadReport Report;
  double AgeMs = 0;
  if (!Body.is_object() || !readNumber(Body, "age_ms", AgeMs) ||
      !readNumber(Body, "running", Report.Running) ||
      !readNumber(Body, "queued", Report.Queued) ||
      !readNumber(Body, "queued_tokens", Report.QueuedTokens) ||
      !readNumber(Body, "free_blocks", Report.FreeBlocks) ||
      !readNumber(Body, "prefill_tokens_per_second",
                  Report.PrefillTokensPerSecond) ||
      !readNumber(Body, "slots", Report.Slots) || AgeMs > 3600e3)
    return std::nullopt;
  Report.SampledAt = SentAt - fromSeconds(AgeMs / 1000);
  if (const auto It = Body.find("weight_version");
      It != Body.end() && It->is_string()) {
    Report.WeightVersion = It->get<std::string>().substr(0, 256);
    Report.HasWeights = !Report.WeightVersion.empty();
  }
  return Report;
}

/// Throws Error(BadRequest) when \p Value is malformed.
static CacheEvent cacheEventFrom(const json &Value) {
  const auto Fail = [] {
    throw Error(ErrorKind::BadRequest, "malformed cache event");
  };
  CacheEvent Event;
  if (!Value.is_object() || !Value.contains("seq") ||
      !readNumber(Value, "seq", Event.Seq))
    Fail();
  const auto Op = Value.find("op"), Key = Value.find("key");
  if (Op == Value.end() || Key == Value.end() || !Key->is_string() ||
      (*Op != "add" && *Op != "drop"))
    Fail();
  Event.Added = *Op == "add";
  // A key that isn't a digest keeps its place in the sequence; it is taken
  // for a drop of a key that is never held.
  if (const auto Parsed = digestFromHex(Key->get_ref<const std::string &>()))
    Event.Key = *Parsed;
  else
    Event.Added = false;
  return Event;
}

std::optional<CacheEventBatch> parseCacheEvents(std::string_view Text) {
  CacheEventBatch Batch;
  const json Body =
      readElements(Text, [&](std::string_view Member, const json &Each) {
        if (Member == "events")
          Batch.Events.push_back(cacheEventFrom(Each));
      });
  if (!Body.is_object() || !Body.contains("seq") ||
      !readNumber(Body, "seq", Batch.Seq) ||
      !readNumber(Body, "first", Batch.First))
    return std::nullopt;
  const auto Events = Body.find("events");
  if (Events == Body.end() || !Events->is_array())
    return std::nullopt;
  return Batch;
}

std::optional<BlockListing> parseBlockListing(std::string_view Text) {
  // Engines list `keys`, stores `blocks` with a key each.
  BlockListing OfEngine, OfStore;
  bool IsEngineSound = true, IsStoreSound = true;
  const auto AddKey = [](BlockListing &Into, const json &Key) {
    if (!Key.is_string())
      return false;
    Into.Last = Key.get<std::string>();
    if (const auto Parsed = digestFromHex(Into.Last))
      Into.Keys.push_back(*Parsed);
    return true;
  };
  const json Body =
      readElements(Text, [&](std::string_view Member, const json &Each) {
        if (Member == "keys")
          IsEngineSound = IsEngineSound && AddKey(OfEngine, Each);
        else if (Member == "blocks")
          IsStoreSound = IsStoreSound && Each.is_object() &&
                         Each.contains("key") && AddKey(OfStore, Each["key"]);
      });
  if (!Body.is_object())
    return std::nullopt;
  const bool IsStore = Body.contains("blocks");
  BlockListing Listing = std::move(IsStore ? OfStore : OfEngine);
  const auto Keys = Body.find(IsStore ? "blocks" : "keys");
  if (Keys == Body.end() || !Keys->is_array() ||
      !(IsStore ? IsStoreSound : IsEngineSound) ||
      !readNumber(Body, "seq", Listing.Seq))
    return std::nullopt;
  if (const auto More = Body.find("more");
      More != Body.end() && More->is_boolean())
    Listing.More = More->get<bool>();
  return Listing;
}

} // namespace galenaroute
