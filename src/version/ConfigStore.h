// Applies a configuration to the platform, for operators' tools.
//
//   ConfigStore Store(Api, Loop.timers(), {});
//   Store.apply(Wanted, /*ExpectedEpoch=*/7, [](const ApplyResult &Result)
//   {...});
//
// An apply reads the manifest, writes the data objects that the manifest does
// not list, and replaces the manifest by compare-and-swap on the version read.
// Each apply writes a random token of its own into the manifest.
//
// Guarantees: Applied is reported only when the change was accepted, Conflict
// and Unavailable only when it was not and never will be. A lost reply is
// resolved by reading the manifest again and looking for the token; if that
// fails, the result is OutcomeUnknown. An apply ends within Deadline plus the
// timeout of one call.
//
// The platform may be restored from an old copy, see PlatformEra.h. The epochs
// of an era are above those of all earlier ones, so that no epoch is given out
// twice. An apply whose swap took effect in a later era than its decision is
// applied again under an epoch of that era. republish() writes a version that
// was lost again.

#ifndef GALENAROUTE_VERSION_CONFIGSTORE_H
#define GALENAROUTE_VERSION_CONFIGSTORE_H

#include "version/ConfigFetch.h"

namespace galenaroute {

/// The outcome of an apply.
enum class ApplyOutcome {
  Applied,        ///< Accepted as ApplyResult::Epoch.
  Unchanged,      ///< The configuration in force is already equal.
  Conflict,       ///< Another change was accepted first; nothing was applied.
  Unavailable,    ///< The platform did not answer; nothing was applied.
  OutcomeUnknown, ///< The platform stopped answering; may have been applied.
};

/// The result of an apply.
struct ApplyResult {
  ApplyOutcome End = ApplyOutcome::Unavailable;
  std::uint64_t Epoch = 0; ///< Of the change, or in force where not applied.
  std::string Message;
  ConfigVersionPtr InForce; ///< On a conflict, the version that won.
};

/// Options of a ConfigStore.
struct ConfigStoreOptions {
  Duration Deadline = std::chrono::seconds(15);
  Duration FirstBackoff = std::chrono::milliseconds(100);
  Duration MaxBackoff = std::chrono::seconds(2);
  /// Unreferenced objects younger than this are not collected, for the sake of
  /// slow readers.
  std::chrono::milliseconds MinGarbageAge = std::chrono::hours(1);
  std::uint64_t Seed = std::random_device{}();
  /// Wall-clock time in milliseconds since the Unix epoch.
  std::function<std::int64_t()> WallMillis;
};

/// Reads, writes and garbage-collects the configuration objects.
class ConfigStore {
public:
  using OnApplied = std::function<void(const ApplyResult &Result)>;
  /// Receives the number of objects removed, or nothing on failure.
  using OnCollected = std::function<void(std::optional<std::size_t> Removed)>;

  ConfigStore(Platform &Api, TimerService &Timers, ConfigStoreOptions Options);

  /// Reads the configuration in force; retries until the deadline.
  void load(OnFetched Done);

  /// Applies \p Wanted on condition that \p ExpectedEpoch is in force. Without
  /// \p ExpectedEpoch, the condition is the epoch of the first read.
  void apply(const Configuration &Wanted,
             std::optional<std::uint64_t> ExpectedEpoch, OnApplied Done);

  /// Writes \p Version again, with its epoch, unless the stored epoch is at
  /// least as high. Ends with Applied when the version is stored, and with
  /// Conflict when another one is.
  void republish(ConfigVersionPtr Version, OnApplied Done);

  /// Removes data objects that no manifest can refer to any more.
  ///
  /// The manifest is first rewritten unchanged. This makes every apply that
  /// read an earlier version fail its swap, and an apply that reads the new
  /// version writes its objects again, with versions above it. Hence an
  /// unreferenced object with a lower version is garbage regardless of clocks;
  /// the age limit only protects slow readers. Versions belong to an era, so a
  /// collection ends when the era changes.
  void collect(OnCollected Done);

private:
  Platform &Api;
  TimerService &Timers;
  ConfigStoreOptions Options;
  std::mt19937_64 Random;
};

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_CONFIGSTORE_H
