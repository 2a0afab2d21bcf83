// The stored form of a Configuration: records in content-addressed objects, and
// a manifest that lists the hashes of the objects.
//
// Each declared item is one record: `deployment`, `service/NAME`,
// `upstream/SERVICE/NAME`, `store/NAME`, `customer/NAME`. Records are
// distributed by the hash of their key over a number of objects proportional to
// their count, so that a change rewrites one small object whatever the size of
// the listing, and the manifest stays small as well. The name of an object is
// the SHA-256 of its text.
//
//   ConfigVersionPtr Version = encodeVersion(Config, 8, Writer);
//   ConfigVersionPtr Same = assembleVersion(Version->ManifestData,
//   Version->Objects);
//
// Guarantees: assembleVersion() accepts only texts that match their hashes and
// well-formed records; it throws Error(BadRequest) on anything else.

#ifndef GALENAROUTE_VERSION_CONFIGOBJECTS_H
#define GALENAROUTE_VERSION_CONFIGOBJECTS_H

#include "version/Configuration.h"

#include <nlohmann/json.hpp>

namespace galenaroute {

/// Records by key. Equal configurations have equal records.
using ConfigRecords = std::map<std::string, nlohmann::json>;

ConfigRecords toRecords(const Configuration &Config);

/// Throws Error(BadRequest) when a record is malformed or refers to a service
/// that does not exist.
Configuration fromRecords(const ConfigRecords &Records);

/// The writer of an epoch.
struct EpochWriter {
  std::uint64_t Epoch = 0;
  std::string Writer; ///< Random token of the apply.
  bool operator==(const EpochWriter &) const = default;
};

/// The object `config/manifest`.
struct Manifest {
  std::uint64_t Epoch = 0;
  std::string Writer;
  std::vector<std::string> Objects; ///< Hashes by object index.
  /// The latest writers, this one last. An apply whose reply was lost finds its
  /// outcome here even after further epochs.
  std::vector<EpochWriter> History;
  bool operator==(const Manifest &) const = default;
};

/// Epochs of one era of the platform; the first era is 1. An epoch that a
/// restoration took back may be in force, so none of a later era repeats it.
constexpr std::uint64_t EpochsPerEra = 1'000'000;

/// Returns the epoch that follows \p Epoch when it is given out in \p Era.
std::uint64_t nextEpoch(std::uint64_t Epoch, std::uint64_t Era);

/// Limit of the epochs in Manifest::History.
constexpr std::size_t MaxManifestHistory = 64;
/// Limit of the objects of one manifest; 4096 hashes take 0.3 MB.
constexpr std::size_t MaxConfigObjects = 4096;
/// The platform rejects values over 1 MB; the difference is for JSON escapes.
constexpr std::size_t MaxConfigObjectBytes = 512 << 10;

nlohmann::json toJson(const Manifest &Value);

/// Throws Error(BadRequest) on a malformed or oversized manifest.
Manifest manifestFromJson(const nlohmann::json &Value);

/// Returns the SHA-256 of \p Text as 64 lower-case hex digits.
std::string contentHash(std::string_view Text);

/// Returns whether \p Text has the form of a contentHash().
bool isContentHash(std::string_view Text);

/// Returns the hash over epoch, writer and object hashes. The history is
/// excluded because daemons do not send it to each other.
std::string manifestHash(const Manifest &Value);

using ObjectText = std::shared_ptr<const std::string>;
using ObjectMap = std::map<std::string, ObjectText>; ///< By hash.

/// A configuration together with the objects that it was decoded from.
struct ConfigVersion {
  Manifest ManifestData;
  std::string Hash; ///< manifestHash(ManifestData).
  ObjectMap Objects;
  ConfigurationPtr Config;
};

using ConfigVersionPtr = std::shared_ptr<const ConfigVersion>;

/// Throws Error(TooLarge) when an object would exceed MaxConfigObjectBytes.
ConfigVersionPtr encodeVersion(const Configuration &Config, std::uint64_t Epoch,
                               const std::string &Writer);

/// Returns the hashes of \p ManifestData that \p Objects lacks, without
/// duplicates.
std::vector<std::string> missingObjects(const Manifest &ManifestData,
                                        const ObjectMap &Objects);

/// Builds the version of \p ManifestData from \p Objects, which may contain
/// others.
ConfigVersionPtr assembleVersion(const Manifest &ManifestData,
                                 const ObjectMap &Objects);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_CONFIGOBJECTS_H
