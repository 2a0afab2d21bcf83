// The UDP messages between the entries of the system, encoded in CBOR.
//
//   std::string Bytes = encodeGossip({.Records = Entries.makeGossip(Now,
//   Random)}); GossipMessage Read = decodeGossip(Bytes);
//
// Entry records go to a few entries at a time, which forward them. A status
// goes from its entry to all others several times a second, or to a relay,
// which answers with digests. Updates of a store or of platform objects go to
// the entries of one availability zone. Crash reports go to a few entries or to
// all, see CrashExchange. Weight notices go along with entry records, see
// AnnouncedWeights. Rate messages go to the entry that issues permits for
// an upstream, and back, see RateShares. Records of streams go to two entries
// that store them, see StreamRecordUpdates.

#ifndef GALENAROUTE_PROCESS_GOSSIPMESSAGES_H
#define GALENAROUTE_PROCESS_GOSSIPMESSAGES_H

#include "process/EntryGossip.h"
#include "process/RateShares.h"
#include "process/StatusRelay.h"
#include "process/StoreFollower.h"
#include "process/StreamRecordUpdates.h"
#include "request/CrashRecord.h"
#include "version/AnnouncedWeights.h"

#include <optional>

namespace galenaroute {

/// Maximum message size. The calls by class, then the engine times by customer,
/// and then the backlog are left out of a message that would be longer, since
/// receivers truncate it.
inline constexpr std::size_t MaxGossipBytes = 16 << 10;

struct GossipMessage {
  std::vector<EntryRecord> Records;
  EntryStatus Status;  ///< Empty if From is empty.
  StatusDigest Digest; ///< Empty if From is empty.
  AddedUseBatch Added; ///< Empty if From is empty.
  std::optional<StoreUpdate> Store;
  std::optional<ObjectUpdates> Objects;
  std::vector<CrashReport> Crashes;
  std::vector<WeightNotice> Weights;
  BuildLevel WeightsLevel = 0; ///< Of the sender of Weights.
  RateMessage Rates;           ///< Empty if From is empty.
  StreamRecordUpdates Streams;
};

std::string encodeGossip(const GossipMessage &Message);

/// Throws nlohmann::json::exception or Error(BadRequest) when \p Bytes are
/// malformed.
GossipMessage decodeGossip(std::string_view Bytes);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_GOSSIPMESSAGES_H
