#include "request/CacheIndex.h"

#include <algorithm>

namespace galenaroute {

static CacheHolder *findHolder(CacheIndex &Index, std::string_view Name) {
  const auto It = Index.Holders.find(Name);
  return It == Index.Holders.end() ? nullptr : &It->second;
}

void addHolder(CacheIndex &Index, std::string_view Holder, HolderKind Kind) {
  if (findHolder(Index, Holder))
    return;
  const std::uint32_t Id = Index.NextId++;
  Index.Holders.emplace(Holder, CacheHolder{.Kind = Kind, .Id = Id});
  Index.HolderNames.emplace(Id, Holder);
}

void removeHolder(CacheIndex &Index, std::string_view Holder) {
  const auto It = Index.Holders.find(Holder);
  if (It == Index.Holders.end())
    return;
  // Holdings whose id has no name are invalid, and ids are never reused.
  Index.HolderNames.erase(It->second.Id);
  Index.Holders.erase(It);
}

bool needsListing(const CacheIndex &Index, std::string_view Holder) {
  const auto It = Index.Holders.find(Holder);
  return It != Index.Holders.end() && It->second.NeedsListing;
}

std::uint64_t lastSeq(const CacheIndex &Index, std::string_view Holder) {
  const auto It = Index.Holders.find(Holder);
  return It == Index.Holders.end() ? 0 : It->second.LastSeq;
}

static void removeKey(CacheIndex &Index, const BlockKey &Key) {
  const auto It = Index.Keys.find(Key);
  Index.ByUse.erase(It->second.Use);
  Index.Keys.erase(It);
}

/// Returns the holder of \p Holding, or null if the holding is invalid.
static const std::pair<const std::string, CacheHolder> *
validHolder(const CacheIndex &Index, const CacheHolding &Holding) {
  const auto Name = Index.HolderNames.find(Holding.Holder);
  if (Name == Index.HolderNames.end())
    return nullptr;
  const auto It = Index.Holders.find(Name->second);
  return It->second.Generation == Holding.Generation ? &*It : nullptr;
}

static void add(CacheIndex &Index, const CacheHolder &Holder,
                const BlockKey &Key) {
  auto It = Index.Keys.find(Key);
  if (It == Index.Keys.end()) {
    while (Index.Keys.size() >= Index.Options.MaxKeys) {
      const BlockKey Oldest = Index.ByUse.back();
      removeKey(Index, Oldest);
    }
    Index.ByUse.push_front(Key);
    It =
        Index.Keys.emplace(Key, CacheIndexEntry{{}, Index.ByUse.begin()}).first;
  }
  std::vector<CacheHolding> &Holdings = It->second.Holdings;
  std::erase_if(Holdings, [&](const CacheHolding &Holding) {
    return Holding.Holder == Holder.Id || !validHolder(Index, Holding);
  });
  if (Holdings.size() >= Index.Options.MaxHoldersPerKey)
    Holdings.erase(Holdings.begin());
  Holdings.push_back({Holder.Id, Holder.Generation});
}

static void remove(CacheIndex &Index, const CacheHolder &Holder,
                   const BlockKey &Key) {
  const auto It = Index.Keys.find(Key);
  if (It == Index.Keys.end())
    return;
  std::erase_if(It->second.Holdings, [&](const CacheHolding &Holding) {
    return Holding.Holder == Holder.Id;
  });
  if (It->second.Holdings.empty())
    removeKey(Index, Key);
}

void applyEvents(CacheIndex &Index, std::string_view Name,
                 const CacheEventBatch &Batch) {
  CacheHolder *Holder = findHolder(Index, Name);
  if (!Holder)
    return;
  if (Batch.Seq < Holder->EventSeq) {
    // The holder restarted, so its cache is empty.
    ++Holder->Generation;
    Holder->LastSeq = 0;
    Holder->NeedsListing = true;
  }
  Holder->EventSeq = Batch.Seq;
  if (Batch.First > Holder->LastSeq + 1)
    Holder->NeedsListing = true;
  for (const CacheEvent &Event : Batch.Events) {
    if (Event.Seq <= Holder->LastSeq)
      continue;
    if (Event.Seq != Holder->LastSeq + 1)
      Holder->NeedsListing = true;
    Holder->LastSeq = Event.Seq;
    if (Event.Added)
      add(Index, *Holder, Event.Key);
    else
      remove(Index, *Holder, Event.Key);
  }
  // The last events up to Batch.Seq are missing from the batch.
  if (Holder->LastSeq < Batch.Seq)
    Holder->NeedsListing = true;
}

void applyListing(CacheIndex &Index, std::string_view Name, std::uint64_t Seq,
                  std::span<const BlockKey> Keys) {
  CacheHolder *Holder = findHolder(Index, Name);
  if (!Holder)
    return;
  ++Holder->Generation;
  Holder->LastSeq = Seq;
  Holder->EventSeq = std::min(Holder->EventSeq, Seq);
  Holder->NeedsListing = false;
  for (const BlockKey &Key : Keys)
    add(Index, *Holder, Key);
}

void noteHeld(CacheIndex &Index, std::string_view Name, const BlockKey &Key) {
  if (const CacheHolder *Holder = findHolder(Index, Name))
    add(Index, *Holder, Key);
}

void noteNotHeld(CacheIndex &Index, std::string_view Name,
                 const BlockKey &Key) {
  if (const CacheHolder *Holder = findHolder(Index, Name))
    remove(Index, *Holder, Key);
}

std::vector<HeldPrefix> heldPrefixes(CacheIndex &Index,
                                     std::span<const BlockKey> Keys) {
  std::vector<HeldPrefix> Prefixes;
  std::vector<std::uint32_t> Ids;
  std::size_t Depth = 0;
  for (const BlockKey &Key : Keys) {
    const auto It = Index.Keys.find(Key);
    if (It == Index.Keys.end())
      break;
    Index.ByUse.splice(Index.ByUse.begin(), Index.ByUse, It->second.Use);
    bool Any = false;
    for (const CacheHolding &Holding : It->second.Holdings) {
      const auto *Holder = validHolder(Index, Holding);
      if (!Holder)
        continue;
      if (Depth == 0) {
        Prefixes.push_back({Holder->first, Holder->second.Kind, 1});
        Ids.push_back(Holding.Holder);
        Any = true;
        continue;
      }
      for (std::size_t I = 0; I < Ids.size(); ++I)
        if (Ids[I] == Holding.Holder && Prefixes[I].Blocks == Depth) {
          ++Prefixes[I].Blocks;
          Any = true;
        }
    }
    if (!Any)
      break;
    ++Depth;
  }
  return Prefixes;
}

} // namespace galenaroute
