#include "process/StreamRecordUpdates.h"

#include "process/Rendezvous.h"

#include <algorithm>

namespace galenaroute {

/// A write takes less than a period while the platform answers as usual.
static constexpr int LatePeriods = 3;
/// One of them may end, or lose its path to the platform, at the same time.
static constexpr std::size_t ReceiverCount = 2;

bool isStoringLate(const StreamRecordProgress &Progress, TimePoint Now,
                   Duration Period) {
  return Progress.UnstoredSince &&
         Now - *Progress.UnstoredSince >= LatePeriods * Period;
}

/// Adds the record to \p News. Returns false if there is no room for its
/// origin.
static bool addToUpdates(StreamRecordUpdates &News, StreamKey Key,
                         const StreamOrigin &Origin) {
  auto Group = std::find_if(
      News.begin(), News.end(),
      [&](const StreamRecordGroup &Each) { return Each.Origin == Origin; });
  if (Group == News.end()) {
    if (News.size() >= MaxUpdateOrigins)
      return false;
    Group = News.insert(News.end(), {.Origin = Origin});
  }
  Group->Keys.push_back(Key);
  return true;
}

StreamRecordUpdates takeUpdates(const StreamOrigins &Streams,
                                StreamRecordProgress &Progress) {
  const std::uint64_t After = std::max(Progress.Stored, Progress.SentTwice);
  std::vector<std::pair<StreamKey, const StreamOrigins::Record *>> Untold;
  for (const auto &[Key, Each] : Streams.records())
    if (Each.Number > After && !Each.IsAmbiguous &&
        Each.Origin.Service.size() <= MaxOriginNameBytes &&
        Each.Origin.Version.size() <= MaxOriginNameBytes)
      Untold.emplace_back(Key, &Each);
  std::sort(Untold.begin(), Untold.end(), [](const auto &A, const auto &B) {
    return A.second->Number < B.second->Number;
  });
  if (Untold.size() > MaxUpdateRecords)
    Untold.resize(MaxUpdateRecords);
  StreamRecordUpdates Result;
  std::uint64_t Last = After;
  for (const auto &[Key, Each] : Untold) {
    if (!addToUpdates(Result, Key, Each->Origin))
      break;
    Last = Each->Number;
  }
  Progress.SentTwice = std::max(After, std::min(Progress.SentOnce, Last));
  Progress.SentOnce = std::max(Progress.SentOnce, Last);
  return Result;
}

std::vector<SocketAddress>
chooseRecordReceivers(std::span<const EntryRecord> Alive,
                      std::string_view Self) {
  std::vector<const EntryRecord *> Able;
  for (const EntryRecord &Each : Alive)
    if (Each.Id != Self && Each.ReachesPlatform && !Each.IsLeaving &&
        keeps(Each.Level, FleetRule::StreamRecords))
      Able.push_back(&Each);
  // The weights spread gateways that are cut off together over the others.
  std::sort(Able.begin(), Able.end(), [&](const auto *A, const auto *B) {
    return rendezvousWeight(Self, A->Id) > rendezvousWeight(Self, B->Id);
  });
  std::vector<SocketAddress> Result;
  for (const EntryRecord *Each : Able)
    if (Result.size() < ReceiverCount)
      Result.push_back(Each->Gossip);
  return Result;
}

} // namespace galenaroute
