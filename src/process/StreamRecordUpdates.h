// Records of streams that a gateway tells to others while it cannot store them.
//
//   if (isStoringLate(Progress, Now, Period))
//     Tell(takeUpdates(Streams, Progress));
//
// Guarantees: news fit into one gossip message; each record is told at most
// twice, since datagrams are lost, and only while somebody keeps it; records
// that are stored are not told.

#ifndef GALENAROUTE_PROCESS_STREAMRECORDUPDATES_H
#define GALENAROUTE_PROCESS_STREAMRECORDUPDATES_H

#include "process/EntryGossip.h"
#include "request/StreamOrigins.h"

#include <optional>
#include <span>
#include <vector>

namespace galenaroute {

/// Streams of one origin.
struct StreamRecordGroup {
  StreamOrigin Origin;
  std::vector<StreamKey> Keys;
  bool operator==(const StreamRecordGroup &) const = default;
};
using StreamRecordUpdates = std::vector<StreamRecordGroup>;

/// Records of one message, all groups together.
inline constexpr std::size_t MaxUpdateRecords = 512;
/// Longer names of services and versions are not told.
inline constexpr std::size_t MaxOriginNameBytes = 256;
/// The origins of one message.
inline constexpr std::size_t MaxUpdateOrigins = 16;

/// How far the records of this process are stored and told, as numbers of
/// StreamOrigins::Record.
struct StreamRecordProgress {
  std::uint64_t Stored = 0;
  std::uint64_t SentOnce = 0;
  std::uint64_t SentTwice = 0;
  /// Since when there are records that are not stored.
  std::optional<TimePoint> UnstoredSince;
};

/// Returns whether records have not been stored for so many periods that the
/// platform is taken for unreachable.
bool isStoringLate(const StreamRecordProgress &Progress, TimePoint Now,
                   Duration Period);

/// Returns the oldest records of \p Streams that are neither stored nor told
/// twice, and notes in \p Progress that they are told.
StreamRecordUpdates takeUpdates(const StreamOrigins &Streams,
                                StreamRecordProgress &Progress);

/// Returns the two gateways of \p Alive that store records for \p Self: they
/// reach the platform, are not about to end, and are of builds that keep such
/// records.
std::vector<SocketAddress>
chooseRecordReceivers(std::span<const EntryRecord> Alive,
                      std::string_view Self);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_STREAMRECORDUPDATES_H
