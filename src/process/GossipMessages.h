// The messages that the entries of the system send one another over UDP, in
// CBOR.
//
//   std::string Bytes = encodeGossip({.News = Entries.news(Now, Random)});
//   GossipMessage Read = decodeGossip(Bytes);
//
// News goes to a few entries at a time, which pass it on. A status goes from
// its entry to all others, several times a second. News of a store goes to the
// entries of one availability zone.

#ifndef GALENAROUTE_PROCESS_GOSSIPMESSAGES_H
#define GALENAROUTE_PROCESS_GOSSIPMESSAGES_H

#include "process/EntryGossip.h"
#include "process/StoreFollower.h"
#include "request/SharedUse.h"
#include "version/ObjectWatcher.h"

#include <optional>

namespace galenaroute {

/// What an entry tells all others of itself.
struct EntryStatus {
  std::string From; ///< Id of the entry; empty in a message with news.
  /// What it has under way at engines: at all, or at those in which a message
  /// between two statuses tells of a new call.
  std::vector<UseItem> Use;
  bool IsPart = false; ///< Says nothing of other engines, and nothing else.
  /// Upstreams that get no new work, since this entry has ordered or is about
  /// to order them to load weights.
  std::vector<std::string> Withheld;
  /// How it follows the platform's objects, by kind; only where the platform
  /// answered it lately.
  std::vector<std::pair<std::string, ObjectContact>> Contacts;
};

struct GossipMessage {
  std::vector<EntryNews> News;
  EntryStatus Status;
  std::optional<StoreNews> Store;
};

std::string encodeGossip(const GossipMessage &Message);

/// Throws nlohmann::json::exception for bytes that are no message.
GossipMessage decodeGossip(std::string_view Bytes);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_GOSSIPMESSAGES_H
