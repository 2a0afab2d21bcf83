#include "connection/UpstreamReports.h"

#include <nlohmann/json.hpp>

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

static json parseObject(std::string_view Text) {
  json Body = json::parse(Text, nullptr, false);
  return Body.is_object() ? Body : json(nullptr);
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

std::optional<CacheEventBatch> parseCacheEvents(std::string_view Text) {
  const json Body = parseObject(Text);
  CacheEventBatch Batch;
  if (!Body.is_object() || !Body.contains("seq") ||
      !readNumber(Body, "seq", Batch.Seq) ||
      !readNumber(Body, "first", Batch.First))
    return std::nullopt;
  const auto Events = Body.find("events");
  if (Events == Body.end() || !Events->is_array() ||
      Events->size() > MaxReportedBlocks)
    return std::nullopt;
  for (const json &Each : *Events) {
    CacheEvent Event;
    if (!Each.is_object() || !Each.contains("seq") ||
        !readNumber(Each, "seq", Event.Seq))
      return std::nullopt;
    const auto Op = Each.find("op"), Key = Each.find("key");
    if (Op == Each.end() || Key == Each.end() || !Key->is_string())
      return std::nullopt;
    if (*Op != "add" && *Op != "drop")
      return std::nullopt;
    Event.Added = *Op == "add";
    // A key that isn't a digest keeps its place in the sequence; it is taken
    // for a drop of a key that is never held.
    if (const auto Parsed = digestFromHex(Key->get_ref<const std::string &>()))
      Event.Key = *Parsed;
    else
      Event.Added = false;
    Batch.Events.push_back(Event);
  }
  return Batch;
}

std::optional<BlockListing> parseBlockListing(std::string_view Text) {
  const json Body = parseObject(Text);
  BlockListing Listing;
  if (!Body.is_object() || !readNumber(Body, "seq", Listing.Seq))
    return std::nullopt;
  // Engines list `keys`, stores `blocks` with a key each.
  const bool IsStore = Body.contains("blocks");
  const auto Keys = Body.find(IsStore ? "blocks" : "keys");
  if (Keys == Body.end() || !Keys->is_array() ||
      Keys->size() > MaxReportedBlocks)
    return std::nullopt;
  for (const json &Each : *Keys) {
    const json Key = !IsStore                                   ? Each
                     : Each.is_object() && Each.contains("key") ? Each["key"]
                                                                : json();
    if (!Key.is_string())
      return std::nullopt;
    Listing.Last = Key.get<std::string>();
    if (const auto Parsed = digestFromHex(Listing.Last))
      Listing.Keys.push_back(*Parsed);
  }
  if (const auto More = Body.find("more");
      More != Body.end() && More->is_boolean())
    Listing.More = More->get<bool>();
  return Listing;
}

} // namespace galenaroute
