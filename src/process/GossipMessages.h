// The messages that the entries of the system send one another over UDP, in
// CBOR.
//
//   std::string Bytes = encodeGossip({.News = Entries.news(Now, Random)});
//   GossipMessage Read = decodeGossip(Bytes);
//
// News goes to a few entries at a time, which pass it on. A status goes from
// its entry to all others, several times a second, or to a relay, which answers
// with digests. News of a store goes to the entries of one availability zone.
// News of crashes goes to a few entries or to all, see CrashExchange.

#ifndef GALENAROUTE_PROCESS_GOSSIPMESSAGES_H
#define GALENAROUTE_PROCESS_GOSSIPMESSAGES_H

#include "process/EntryGossip.h"
#include "process/StatusRelay.h"
#include "process/StoreFollower.h"
#include "request/CrashRecord.h"

#include <optional>

namespace galenaroute {

struct GossipMessage {
  std::vector<EntryNews> News;
  EntryStatus Status;  ///< Present when From is not empty.
  StatusDigest Digest; ///< Present when From is not empty.
  AddedUseNews Added;  ///< Present when From is not empty.
  std::optional<StoreNews> Store;
  std::optional<ObjectUpdates> Objects;
  std::vector<CrashReport> Crashes;
};

std::string encodeGossip(const GossipMessage &Message);

/// Throws nlohmann::json::exception for bytes that are no message.
GossipMessage decodeGossip(std::string_view Bytes);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_GOSSIPMESSAGES_H
