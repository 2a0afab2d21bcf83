#include "request/ClaimRecord.h"

#include "process/Sha256.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <stdexcept>

namespace galenaroute {

using nlohmann::json;

namespace {

/// Length of claimKeyDigest(); 128 bits.
constexpr std::size_t KeyDigits = 32;
constexpr std::size_t MaxContentType = 128;
/// Far above the length of any valid holder or digest.
constexpr std::size_t MaxFieldBytes = 256;

std::string toHex(std::string_view Bytes) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Result;
  Result.reserve(Bytes.size() * 2);
  for (const char C : Bytes) {
    Result += Digits[static_cast<unsigned char>(C) >> 4];
    Result += Digits[static_cast<unsigned char>(C) & 15];
  }
  return Result;
}

std::string fromHex(std::string_view Text) {
  std::string Result;
  Result.reserve(Text.size() / 2);
  for (std::size_t I = 0; I + 1 < Text.size(); I += 2) {
    unsigned Byte = 0;
    const auto [End, Failure] =
        std::from_chars(&Text[I], &Text[I] + 2, Byte, 16);
    if (Failure != std::errc() || End != &Text[I] + 2)
      throw std::invalid_argument("malformed hex body in a claim record");
    Result += static_cast<char>(Byte);
  }
  return Result;
}

/// Returns whether \p Text can be written as JSON; dump() throws on invalid
/// UTF-8.
bool isUtf8(const std::string &Text) {
  try {
    (void)json(Text).dump();
    return true;
  } catch (const json::type_error &) {
    return false;
  }
}

std::string boundedField(const json &Value) {
  auto Result = Value.get<std::string>();
  if (Result.empty() || Result.size() > MaxFieldBytes)
    throw std::invalid_argument("empty or too long field in a claim record");
  return Result;
}

} // namespace

std::string claimKeyDigest(const ClaimKey &Key) {
  // The lengths prevent collisions of keys whose parts concatenate to the same
  // text.
  const std::string Text = std::to_string(Key.Customer.size()) + ":" +
                           Key.Customer + std::to_string(Key.Service.size()) +
                           ":" + Key.Service + Key.Key;
  return sha256Hex(Text).substr(0, KeyDigits);
}

ClaimOutcome boundedOutcome(ClaimOutcome Outcome) {
  if (Outcome.Body.size() > MaxStoredBody || !Outcome.BodyStored) {
    Outcome.Body.clear();
    Outcome.BodyStored = false;
  }
  if (Outcome.ContentType.size() > MaxContentType ||
      !isUtf8(Outcome.ContentType))
    Outcome.ContentType = "application/octet-stream";
  return Outcome;
}

json toJson(const ClaimOutcome &Outcome) {
  json Result = {{"ran", Outcome.Ran},
                 {"status", Outcome.Status},
                 {"type", Outcome.ContentType},
                 {"kept", Outcome.BodyStored}};
  if (isUtf8(Outcome.Body))
    Result["body"] = Outcome.Body;
  else
    Result["hex"] = toHex(Outcome.Body);
  return Result;
}

ClaimOutcome claimOutcomeFromJson(const json &Value) {
  ClaimOutcome Result;
  Result.Ran = Value.at("ran").get<bool>();
  Result.Status = Value.at("status").get<int>();
  Result.ContentType = Value.at("type").get<std::string>();
  Result.BodyStored = Value.at("kept").get<bool>();
  if (const auto Hex = Value.find("hex"); Hex != Value.end())
    Result.Body = fromHex(Hex->get<std::string>());
  else
    Result.Body = Value.at("body").get<std::string>();
  return Result;
}

json toJson(const ClaimRecord &Record) {
  json Result = {{"k", Record.Key},
                 {"h", Record.Holder},
                 {"d", Record.Digest},
                 {"s", static_cast<int>(Record.State)},
                 {"n", Record.Generation}};
  if (Record.State == ClaimState::Finished)
    Result["o"] = toJson(Record.Outcome);
  return Result;
}

json toJson(const ClaimSegment &Segment) {
  json Records = json::array();
  for (const ClaimRecord &Each : Segment.Records)
    Records.push_back(toJson(Each));
  return {{"sealed_ms", Segment.SealedMs}, {"records", std::move(Records)}};
}

ClaimSegment claimSegmentFromJson(const json &Value) {
  ClaimSegment Result;
  Result.SealedMs = Value.at("sealed_ms").get<std::int64_t>();
  for (const json &Each : Value.at("records")) {
    ClaimRecord Record;
    Record.Key = boundedField(Each.at("k"));
    Record.Holder = boundedField(Each.at("h"));
    Record.Digest = Each.at("d").get<std::string>();
    const int State = Each.at("s").get<int>();
    if (State < 0 || State > 2)
      throw std::invalid_argument("unknown state in a claim record");
    Record.State = static_cast<ClaimState>(State);
    Record.Generation = Each.value("n", std::uint64_t{0});
    if (Record.State == ClaimState::Finished)
      Record.Outcome = claimOutcomeFromJson(Each.at("o"));
    Result.Records.push_back(std::move(Record));
  }
  return Result;
}

std::string claimSegmentPrefix(unsigned Range) {
  std::array<char, 16> Text{};
  std::snprintf(Text.data(), Text.size(), "%03u.", Range);
  return Text.data();
}

std::string claimSegmentName(unsigned Range, std::uint64_t Segment) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%012llu",
                static_cast<unsigned long long>(Segment));
  return claimSegmentPrefix(Range) + Text.data();
}

std::uint64_t claimSegmentNumber(const std::string &Name) {
  const std::size_t Dot = Name.find('.');
  std::uint64_t Result = 0;
  if (Dot == std::string::npos)
    return 0;
  const char *const End = Name.data() + Name.size();
  const auto [Stop, Failure] =
      std::from_chars(Name.data() + Dot + 1, End, Result);
  return Failure == std::errc() && Stop == End ? Result : 0;
}

} // namespace galenaroute
