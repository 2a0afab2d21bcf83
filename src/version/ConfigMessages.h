// Messages by which daemons exchange configuration versions, as plain structs.
//
// An offer states the epoch in force at the sender. A fetch requests one
// manifest and states which one the requester has, so that the response carries
// only the difference. Large responses are truncated; the requester then
// fetches the objects that it still lacks by their hashes.
//
//   ConfigOffer Offer = configOfferFromJson(Body);  // throws Error(BadRequest)
//
// The peer links encode the JSON as CBOR and bound its size.

#ifndef GALENAROUTE_VERSION_CONFIGMESSAGES_H
#define GALENAROUTE_VERSION_CONFIGMESSAGES_H

#include "version/ConfigObjects.h"

#include <optional>
#include <span>

namespace galenaroute {

/// Limit of the object texts in one config-data message; half of what a peer
/// link allows.
constexpr std::size_t MaxConfigDataBytes = 128 << 10;
/// Limit of the hashes in one config-fetch message.
constexpr std::size_t MaxFetchObjects = 512;

/// Message `config-offer`.
struct ConfigOffer {
  std::uint64_t Epoch = 0; ///< 0: no configuration yet.
  std::string Hash;        ///< manifestHash(); empty at epoch 0.
  bool WantsReply = false; ///< Requests an offer in return.
  /// The newest era of the platform that the sender knows, or 0.
  std::uint64_t Era = 0;
  bool operator==(const ConfigOffer &) const = default;
};

/// Message `config-fetch`.
struct ConfigFetch {
  std::string Hash;                 ///< Of the requested manifest.
  std::string KnownHash;            ///< Of the requester's manifest, or empty.
  std::vector<std::string> Objects; ///< Object hashes still missing.
  bool operator==(const ConfigFetch &) const = default;
};

/// Message `config-data`.
struct ConfigData {
  std::uint64_t Epoch = 0;
  std::string Writer;
  std::string Hash; ///< Of the manifest.
  std::string Base; ///< Hash of the manifest that Changes apply to, or empty.
  std::size_t Count = 0;                      ///< Number of objects.
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

/// Answers \p Request from the cached versions \p Cached; returns nothing when
/// the requested manifest is not among them.
std::optional<ConfigData> answerFetch(const ConfigFetch &Request,
                                      std::span<const ConfigVersionPtr> Cached);

/// A version of which only some objects have arrived yet.
struct ConfigAssembly {
  Manifest ManifestData;
  ObjectMap Objects; ///< Only objects that ManifestData refers to.
};

/// Merges \p Data into \p Parts. \p InForce (may be null) is the version that
/// Data.Base refers to and that supplies unchanged objects. Returns whether
/// anything new arrived. Throws Error(BadRequest) when the result does not
/// match the manifest hash.
bool mergeData(ConfigAssembly &Parts, const ConfigData &Data,
               const ConfigVersionPtr &InForce);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_CONFIGMESSAGES_H
