// Reads the current configuration version from the platform.
//
//   fetchVersion(Api, Known, Known ? Known->ManifestData.Epoch : 0,
//                [](const FetchResult &Result) { ... });
//
// Guarantees: the callback runs exactly once; only objects that Known lacks are
// read; at most FetchParallel reads are open at a time; every object is checked
// against its hash. A result that is Ok is from the current era of the
// platform.

#ifndef GALENAROUTE_VERSION_CONFIGFETCH_H
#define GALENAROUTE_VERSION_CONFIGFETCH_H

#include "connection/PlatformClient.h"
#include "version/ConfigObjects.h"

#include <optional>
#include <random>

namespace galenaroute {

/// Kind and name of the manifest, and the kind of the data objects.
inline const ObjectKey ManifestKey{"config", "manifest"};
inline const std::string ConfigDataKind = "config-data";

/// Maximum number of concurrent reads of data objects.
constexpr std::size_t FetchParallel = 8;

/// The outcome of a read.
struct FetchResult {
  /// Ok, also when there is no manifest yet; otherwise the reason of the
  /// failure. A missing or damaged object gives Unknown: a retry succeeds if
  /// the manifest was replaced during the read.
  PlatformStatus Status = PlatformStatus::Unavailable;
  std::string Problem;        ///< Set when Status is not Ok.
  bool LacksObjects = false;  ///< The manifest lists objects that do not exist.
  std::uint64_t Revision = 0; ///< Where to start a watch.
  std::uint64_t ManifestVersion = 0; ///< 0: there is no manifest.
  std::optional<Manifest> ManifestData;
  ConfigVersionPtr Version; ///< Null unless the epoch is above AboveEpoch.
};

using OnFetched = std::function<void(const FetchResult &Result)>;

/// Reads the manifest and, when its epoch is above \p AboveEpoch, the objects
/// that \p Known (may be null) lacks.
void fetchVersion(Platform &Api, ConfigVersionPtr Known,
                  std::uint64_t AboveEpoch, OnFetched Done);

/// Reads the objects of the manifest that is already in \p Result.
void fetchObjects(Platform &Api, const ConfigVersionPtr &Known,
                  FetchResult Result, OnFetched Done);

/// Returns the stored form of a data object.
nlohmann::json dataObjectValue(const std::string &Text,
                               std::int64_t WrittenMillis);

/// Returns the delay before attempt \p Attempt (from 0): exponential back-off
/// up to \p Max with jitter over its upper half, so that readers spread out.
Duration configBackoff(unsigned Attempt, Duration First, Duration Max,
                       std::mt19937_64 &Random);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_CONFIGFETCH_H
