// Moves KV cache blocks between engines and stores, by orders to the engines.
//
//   Transfers.import(Customer, Engine, Address, Store, StoreAddress, Keys,
//                    Limit, [] { ... });
//
// Guarantees: the bytes outstanding on a link stay within its budget, as far
// as block sizes are known; Done is called exactly once, at the latest after
// the limit, unless the object is destroyed first. A transfer that fails costs
// a cache miss and nothing else.

#ifndef GALENAROUTE_PROCESS_CACHETRANSFERS_H
#define GALENAROUTE_PROCESS_CACHETRANSFERS_H

#include "connection/HttpClient.h"
#include "request/Prefetch.h"

namespace galenaroute {

/// A named process and where it listens.
struct TransferEnd {
  std::string Name;
  SocketAddress Address;
};

class CacheTransfers {
public:
  CacheTransfers(HttpClient &Http, CacheIndex &Index, LinkMap &Links);

  /// Lets the engine fetch \p Keys from the store.
  void import(std::string_view Customer, const TransferEnd &Engine,
              const TransferEnd &Store, std::span<const BlockKey> Keys,
              Duration Limit, const std::function<void()> &Done);

  /// Lets the engine copy \p Keys to the store.
  void exportTo(std::string_view Customer, const TransferEnd &Engine,
                const TransferEnd &Store, std::span<const BlockKey> Keys);

  /// The size of blocks as observed, and other options of plans.
  const CachePlanOptions &plan() const { return this->Plan; }

private:
  enum class Direction { Import, Export };
  void transfer(Direction Way, std::string_view Customer,
                const TransferEnd &Engine, const TransferEnd &Store,
                std::span<const BlockKey> Keys, Duration Limit,
                const std::function<void()> &Done);
  void ended(Direction Way, const TransferEnd &Engine, const TransferEnd &Store,
             const LinkReservation &Reservation, const HttpResult &Result);

  HttpClient &Http;
  CacheIndex &Index;
  LinkMap &Links;
  CachePlanOptions Plan;
  bool IsSizeKnown = false;
  /// Guards callbacks that arrive after this object is destroyed.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_CACHETRANSFERS_H
