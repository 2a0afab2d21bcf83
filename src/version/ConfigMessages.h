// What daemons send each other about configuration, as plain structs.
//
// An offer tells which epoch is in force at the sender. A fetch asks for one
// manifest, and says which one the asker has, so that the data that come back
// are only what differs. Large answers are cut; the asker then fetches the
// objects that it still lacks by their hashes.
//
//   ConfigOffer Offer = configOfferFromJson(Body);  // throws Error(BadRequest)
//
// The links encode the JSON as CBOR and bound its size.

#ifndef GALENAROUTE_VERSION_CONFIGMESSAGES_H
#define GALENAROUTE_VERSION_CONFIGMESSAGES_H

#include "version/ConfigObjects.h"

#include <optional>
#include <span>

namespace galenaroute {

/// Object texts in one config-data message; half of what a link allows.
constexpr std::size_t MaxConfigDataBytes = 128 << 10;
/// Hashes in one config-fetch message.
constexpr std::size_t MaxFetchObjects = 512;

/// Message `config-offer`.
struct ConfigOffer {
  std::uint64_t Epoch = 0; ///< 0: no configuration yet.
  std::string Hash;        ///< manifestHash(); empty at epoch 0.
  bool Ask = false;        ///< Asks for an offer in return.
  bool operator==(const ConfigOffer &) const = default;
};

/// Message `config-fetch`.
struct ConfigFetch {
  std::string Hash;                 ///< Of the manifest that is wanted.
  std::string Have;                 ///< Of the asker's manifest, or empty.
  std::vector<std::string> Objects; ///< Object hashes still missing.
  bool operator==(const ConfigFetch &) const = default;
};

/// Message `config-data`.
struct ConfigData {
  std::uint64_t Epoch = 0;
  std::string Writer;
  std::string Hash; ///< Of the manifest.
  std::string Base; ///< Manifest that Changes start from; empty: from none.
  std::size_t Count = 0;                      ///< Objects of the manifest.
  std::map<std::size_t, std::string> Changes; ///< Hash by position.
  std::vector<std::string> Texts;             ///< Object texts.
  bool operator==(const ConfigData &) const = default;
};

nlohmann::json toJson(const ConfigOffer &Value);
nlohmann::json toJson(const ConfigFetch &Value);
nlohmann::json toJson(const ConfigData &Value);

/// These throw Error(BadRequest) on malformed or oversized messages.
ConfigOffer configOfferFromJson(const nlohmann::json &Body);
ConfigFetch configFetchFromJson(const nlohmann::json &Body);
ConfigData configDataFromJson(const nlohmann::json &Body);

/// Answers \p Asked out of \p Held; returns nothing when the manifest asked
/// for is not held.
std::optional<ConfigData> answerFetch(const ConfigFetch &Asked,
                                      std::span<const ConfigVersionPtr> Held);

/// A version that arrives in parts.
struct ConfigAssembly {
  Manifest Names;
  ObjectMap Objects; ///< Only objects that Names refers to.
};

/// Takes \p Data into \p Parts; \p InForce (may be null) is what Data.Base
/// refers to and where unchanged objects come from. Returns whether anything
/// new arrived. Throws Error(BadRequest) when the parts do not match the hash.
bool takeData(ConfigAssembly &Parts, const ConfigData &Data,
              const ConfigVersionPtr &InForce);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_CONFIGMESSAGES_H
