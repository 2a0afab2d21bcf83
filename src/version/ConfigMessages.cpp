#include "version/ConfigMessages.h"

#include "process/ErrorKind.h"

#include <algorithm>

namespace galenaroute {

using nlohmann::json;

[[noreturn]] static void refuse(const std::string &Message) {
  throw Error(ErrorKind::BadRequest, Message);
}

/// Runs \p Convert and rethrows JSON exceptions as Error(BadRequest).
template <typename Fn> static auto converting(const char *Type, Fn Convert) {
  try {
    return Convert();
  } catch (const json::exception &Failure) {
    refuse(std::string("malformed ") + Type + ": " + Failure.what());
  }
}

static std::string hashFrom(const json &Value, bool MayBeEmpty) {
  std::string Result = Value;
  if (!isContentHash(Result) && !(MayBeEmpty && Result.empty()))
    refuse("malformed hash in a configuration message");
  return Result;
}

/// Returns an unsigned number; nlohmann's own conversion would wrap negative
/// ones.
static std::uint64_t unsignedFrom(const json &Value) {
  if (!Value.is_number_unsigned())
    refuse("malformed number in a configuration message");
  return Value;
}

json toJson(const ConfigOffer &Value) {
  json Result = {
      {"epoch", Value.Epoch}, {"hash", Value.Hash}, {"ask", Value.WantsReply}};
  if (Value.Era > 0)
    Result["era"] = Value.Era;
  return Result;
}

json toJson(const ConfigFetch &Value) {
  return {{"hash", Value.Hash},
          {"have", Value.KnownHash},
          {"objects", Value.Objects}};
}

json toJson(const ConfigData &Value) {
  json Changes = json::array();
  for (const auto &[Index, Hash] : Value.Changes)
    Changes.push_back({Index, Hash});
  return {{"epoch", Value.Epoch}, {"writer", Value.Writer},
          {"hash", Value.Hash},   {"base", Value.Base},
          {"count", Value.Count}, {"changes", Changes},
          {"texts", Value.Texts}};
}

ConfigOffer configOfferFromJson(const json &Body) {
  return converting("config-offer", [&] {
    ConfigOffer Result;
    Result.Epoch = unsignedFrom(Body.at("epoch"));
    Result.Hash = hashFrom(Body.at("hash"), Result.Epoch == 0);
    Result.WantsReply = Body.at("ask");
    if (const auto Era = Body.find("era"); Era != Body.end())
      Result.Era = unsignedFrom(*Era);
    return Result;
  });
}

ConfigFetch configFetchFromJson(const json &Body) {
  return converting("config-fetch", [&] {
    ConfigFetch Result;
    Result.Hash = hashFrom(Body.at("hash"), false);
    Result.KnownHash = hashFrom(Body.at("have"), true);
    if (Body.at("objects").size() > MaxFetchObjects)
      refuse("config-fetch requests too many objects");
    for (const json &Each : Body.at("objects"))
      Result.Objects.push_back(hashFrom(Each, false));
    return Result;
  });
}

ConfigData configDataFromJson(const json &Body) {
  return converting("config-data", [&] {
    ConfigData Result;
    Result.Epoch = unsignedFrom(Body.at("epoch"));
    Result.Writer = Body.at("writer");
    Result.Hash = hashFrom(Body.at("hash"), false);
    Result.Base = hashFrom(Body.at("base"), true);
    Result.Count = unsignedFrom(Body.at("count"));
    if (Result.Epoch == 0 || Result.Writer.size() > 128 || Result.Count == 0 ||
        Result.Count > MaxConfigObjects ||
        Body.at("changes").size() > Result.Count)
      refuse("config-data has a field that is out of range");
    for (const json &Each : Body.at("changes")) {
      const std::uint64_t Index = unsignedFrom(Each.at(0));
      if (Index >= Result.Count)
        refuse("config-data has an object index that is out of range");
      Result.Changes[Index] = hashFrom(Each.at(1), false);
    }
    std::size_t Bytes = 0;
    for (const json &Each : Body.at("texts")) {
      Result.Texts.push_back(Each);
      Bytes += Result.Texts.back().size();
    }
    // A single object may exceed the limit of a message.
    if (Bytes > MaxConfigDataBytes && Result.Texts.size() > 1)
      refuse("config-data has too many bytes of object texts");
    return Result;
  });
}

std::optional<ConfigData>
answerFetch(const ConfigFetch &Request,
            std::span<const ConfigVersionPtr> Cached) {
  const ConfigVersion *Wanted = nullptr;
  const ConfigVersion *Base = nullptr;
  for (const ConfigVersionPtr &Each : Cached) {
    if (Each->Hash == Request.Hash)
      Wanted = Each.get();
    if (Each->Hash == Request.KnownHash)
      Base = Each.get();
  }
  if (!Wanted)
    return std::nullopt;
  const std::vector<std::string> &Objects = Wanted->ManifestData.Objects;
  if (Base && Base->ManifestData.Objects.size() != Objects.size())
    Base = nullptr;
  ConfigData Result;
  Result.Epoch = Wanted->ManifestData.Epoch;
  Result.Writer = Wanted->ManifestData.Writer;
  Result.Hash = Wanted->Hash;
  Result.Base = Base ? Base->Hash : "";
  Result.Count = Objects.size();
  for (std::size_t I = 0; I < Objects.size(); ++I)
    if (!Base || Base->ManifestData.Objects[I] != Objects[I])
      Result.Changes[I] = Objects[I];
  // A requester without a manifest lacks every object. What a requester with an
  // unknown manifest lacks is not known here; it fetches those by hash.
  std::vector<std::string> Send = Request.Objects;
  if (Send.empty() && (Base || Request.KnownHash.empty()))
    for (const auto &[Index, Hash] : Result.Changes)
      Send.push_back(Hash);
  std::size_t Bytes = 0;
  for (const std::string &Hash : Send) {
    const auto It = Wanted->Objects.find(Hash);
    if (It == Wanted->Objects.end() ||
        (Bytes > 0 && Bytes + It->second->size() > MaxConfigDataBytes))
      continue;
    Bytes += It->second->size();
    Result.Texts.push_back(*It->second);
  }
  return Result;
}

bool mergeData(ConfigAssembly &Parts, const ConfigData &Data,
               const ConfigVersionPtr &InForce) {
  Manifest ManifestData;
  ManifestData.Epoch = Data.Epoch;
  ManifestData.Writer = Data.Writer;
  if (!Data.Base.empty()) {
    if (!InForce || InForce->Hash != Data.Base ||
        InForce->ManifestData.Objects.size() != Data.Count)
      refuse("config-data applies to another base manifest");
    ManifestData.Objects = InForce->ManifestData.Objects;
  } else {
    ManifestData.Objects.resize(Data.Count);
  }
  for (const auto &[Index, Hash] : Data.Changes)
    ManifestData.Objects.at(Index) = Hash;
  if (manifestHash(ManifestData) != Data.Hash)
    refuse("config-data does not match its manifest hash");
  bool IsNew = Parts.ManifestData != ManifestData;
  if (IsNew)
    Parts = {ManifestData, {}};
  if (InForce)
    for (const std::string &Hash : ManifestData.Objects)
      if (const auto It = InForce->Objects.find(Hash);
          It != InForce->Objects.end())
        Parts.Objects.emplace(Hash, It->second);
  const std::vector<std::string> Missing =
      missingObjects(ManifestData, Parts.Objects);
  for (const std::string &Text : Data.Texts) {
    const std::string Hash = contentHash(Text);
    if (std::binary_search(Missing.begin(), Missing.end(), Hash))
      IsNew |=
          Parts.Objects.emplace(Hash, std::make_shared<const std::string>(Text))
              .second;
  }
  return IsNew;
}

} // namespace galenaroute
