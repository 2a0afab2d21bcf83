#include "version/ConfigObjects.h"

#include "process/BoundedJson.h"
#include "process/ErrorKind.h"
#include "process/Sha256.h"

#include <algorithm>
#include <bit>
#include <set>

namespace galenaroute {

using nlohmann::json;

namespace {

/// With 16 records, an object takes about 2 KB and the manifest of 7,200
/// records about 30 KB.
constexpr std::size_t RecordsPerObject = 16;

/// Of the parsed form of one object, which may hold many more records than
/// usual if there are very many.
constexpr JsonLimits ObjectLimits{.MaxTreeBytes = 16 << 20};

std::size_t objectCount(std::size_t Records) {
  return std::clamp<std::size_t>(
      std::bit_ceil((Records + RecordsPerObject - 1) / RecordsPerObject), 1,
      MaxConfigObjects);
}

std::size_t objectIndex(std::string_view Key, std::size_t Count) {
  const std::string Hash = contentHash(Key);
  return std::stoul(Hash.substr(0, 8), nullptr, 16) % Count;
}

[[noreturn]] void refuse(const std::string &Message) {
  throw Error(ErrorKind::BadRequest, Message);
}

/// Adds an upstream to its service.
void addUpstream(Configuration &Config, const std::string &Key,
                 const json &Record) {
  const std::size_t Slash = Key.find('/');
  const auto It = Config.Services.find(Key.substr(0, Slash));
  if (Slash == std::string::npos || It == Config.Services.end())
    refuse("upstream record without a service: " + Key);
  It->second.Upstreams.push_back(upstreamFromJson(Record));
}

template <typename T>
void addRecord(std::map<std::string, T> &To, const std::string &Name, T Value) {
  if (Value.Name != Name)
    refuse("record key " + Name + " does not match its name " + Value.Name);
  To.emplace(Name, std::move(Value));
}

} // namespace

ConfigRecords toRecords(const Configuration &Config) {
  ConfigRecords Result;
  Result["deployment"] = toJson(Config.Deployment);
  for (const auto &[Name, Service] : Config.Services) {
    json Record = toJson(Service);
    Record["upstreams"] = json::array();
    Result["service/" + Name] = std::move(Record);
    for (const UpstreamConfig &Each : Service.Upstreams)
      Result["upstream/" + Name + "/" + Each.Name] = toJson(Each);
  }
  for (const auto &[Name, Store] : Config.Stores)
    Result["store/" + Name] = toJson(Store);
  for (const auto &[Name, Customer] : Config.Customers)
    Result["customer/" + Name] = toJson(Customer);
  return Result;
}

Configuration fromRecords(const ConfigRecords &Records) {
  Configuration Result;
  // Keys are sorted, so every `service/` comes before the `upstream/` records.
  for (const auto &[Key, Record] : Records) {
    const std::size_t Slash = Key.find('/');
    const std::string Type = Key.substr(0, Slash);
    const std::string Name =
        Slash == std::string::npos ? "" : Key.substr(Slash + 1);
    if (Type == "deployment")
      Result.Deployment = deploymentFromJson(Record);
    else if (Type == "service")
      addRecord(Result.Services, Name, serviceFromJson(Record));
    else if (Type == "upstream")
      addUpstream(Result, Name, Record);
    else if (Type == "store")
      addRecord(Result.Stores, Name, storeFromJson(Record));
    else if (Type == "customer")
      addRecord(Result.Customers, Name, customerFromJson(Record));
    // Ignore other types: they were written by a later release.
  }
  for (auto &[Name, Service] : Result.Services)
    std::sort(Service.Upstreams.begin(), Service.Upstreams.end(),
              [](const UpstreamConfig &A, const UpstreamConfig &B) {
                return A.Name < B.Name;
              });
  return Result;
}

json toJson(const Manifest &Value) {
  json History = json::array();
  for (const EpochWriter &Each : Value.History)
    History.push_back({{"epoch", Each.Epoch}, {"writer", Each.Writer}});
  return {{"epoch", Value.Epoch},
          {"writer", Value.Writer},
          {"objects", Value.Objects},
          {"history", History}};
}

Manifest manifestFromJson(const json &Value) {
  try {
    Manifest Result;
    Result.Epoch = Value.at("epoch");
    Result.Writer = Value.at("writer");
    const json &Objects = Value.at("objects");
    const json History = Value.value("history", json::array());
    if (Result.Epoch == 0 || Result.Writer.size() > 128 ||
        !Objects.is_array() || Objects.empty() ||
        Objects.size() > MaxConfigObjects ||
        History.size() > MaxManifestHistory)
      refuse("manifest has a field that is out of range");
    for (const json &Each : Objects) {
      Result.Objects.push_back(Each);
      if (!isContentHash(Result.Objects.back()))
        refuse("manifest has a malformed object hash");
    }
    for (const json &Each : History)
      Result.History.push_back({Each.at("epoch"), Each.at("writer")});
    return Result;
  } catch (const json::exception &Failure) {
    refuse(std::string("malformed manifest: ") + Failure.what());
  }
}

std::string contentHash(std::string_view Text) { return sha256Hex(Text); }

bool isContentHash(std::string_view Text) {
  return Text.size() == 64 &&
         Text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string manifestHash(const Manifest &Value) {
  return contentHash(json{
      {"epoch", Value.Epoch},
      {"writer", Value.Writer},
      {"objects",
       Value.Objects}}.dump(-1, ' ', false, json::error_handler_t::replace));
}

std::uint64_t nextEpoch(std::uint64_t Epoch, std::uint64_t Era) {
  const std::uint64_t FirstOfEra = Era > 0 ? (Era - 1) * EpochsPerEra + 1 : 1;
  return std::max(Epoch + 1, FirstOfEra);
}

ConfigVersionPtr encodeVersion(const Configuration &Config, std::uint64_t Epoch,
                               const std::string &Writer) {
  const ConfigRecords Records = toRecords(Config);
  std::vector<json> Contents(objectCount(Records.size()), json::object());
  for (const auto &[Key, Record] : Records)
    Contents[objectIndex(Key, Contents.size())][Key] = Record;
  auto Result = std::make_shared<ConfigVersion>();
  Result->ManifestData.Epoch = Epoch;
  Result->ManifestData.Writer = Writer;
  for (const json &Each : Contents) {
    auto Text = std::make_shared<const std::string>(Each.dump());
    if (Text->size() > MaxConfigObjectBytes)
      throw Error(ErrorKind::TooLarge,
                  "a configuration object exceeds the maximum size");
    const std::string Hash = contentHash(*Text);
    Result->ManifestData.Objects.push_back(Hash);
    Result->Objects.emplace(Hash, std::move(Text));
  }
  Result->Hash = manifestHash(Result->ManifestData);
  auto Copy = std::make_shared<Configuration>(Config);
  Copy->Epoch = Epoch;
  Result->Config = std::move(Copy);
  return Result;
}

std::vector<std::string> missingObjects(const Manifest &ManifestData,
                                        const ObjectMap &Objects) {
  std::set<std::string> Result;
  for (const std::string &Each : ManifestData.Objects)
    if (!Objects.contains(Each))
      Result.insert(Each);
  return {Result.begin(), Result.end()};
}

ConfigVersionPtr assembleVersion(const Manifest &ManifestData,
                                 const ObjectMap &Objects) {
  auto Result = std::make_shared<ConfigVersion>();
  Result->ManifestData = ManifestData;
  Result->Hash = manifestHash(ManifestData);
  ConfigRecords Records;
  for (const std::string &Hash : ManifestData.Objects) {
    const auto It = Objects.find(Hash);
    if (It == Objects.end() || !It->second)
      refuse("configuration object " + Hash + " is missing");
    if (!Result->Objects.emplace(Hash, It->second).second)
      continue;
    if (contentHash(*It->second) != Hash)
      refuse("configuration object " + Hash + " does not match its hash");
    const json Content = tryParseJson(*It->second, ObjectLimits);
    if (!Content.is_object())
      refuse("configuration object " + Hash + " is not a JSON object");
    for (const auto &[Key, Record] : Content.items())
      Records[Key] = Record;
  }
  auto Config = std::make_shared<Configuration>(fromRecords(Records));
  Config->Epoch = ManifestData.Epoch;
  Result->Config = std::move(Config);
  return Result;
}

} // namespace galenaroute
