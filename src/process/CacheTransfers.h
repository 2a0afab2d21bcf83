// Transfers KV cache blocks between engines and stores, by requests to the
// engines.
//
//   Transfers.import(Customer, Engine, Address, Store, StoreAddress, Keys,
//                    Limit, [] { ... });
//
// Guarantees: the bytes in flight on a link stay within its budget, as far as
// block sizes are known; Done is called exactly once, no later than the limit,
// unless the object is destroyed first. A failed transfer only causes a cache
// miss.

#ifndef GALENAROUTE_PROCESS_CACHETRANSFERS_H
#define GALENAROUTE_PROCESS_CACHETRANSFERS_H

#include "connection/HttpClient.h"
#include "request/Prefetch.h"

namespace galenaroute {

/// The name and address of an engine or store.
struct TransferEndpoint {
  std::string Name;
  SocketAddress Address;
};

class CacheTransfers {
public:
  CacheTransfers(HttpClient &Http, CacheIndex &Index, LinkMap &Links);

  /// Makes the engine fetch \p Keys from the store.
  void import(std::string_view Customer, const TransferEndpoint &Engine,
              const TransferEndpoint &Store, std::span<const BlockKey> Keys,
              Duration Limit, const std::function<void()> &Done);

  /// Makes the engine copy \p Keys to the store.
  void exportTo(std::string_view Customer, const TransferEndpoint &Engine,
                const TransferEndpoint &Store, std::span<const BlockKey> Keys);

  /// Planning options, including the observed block size.
  const CachePlanOptions &plan() const { return this->Plan; }

private:
  enum class TransferKind { Import, Export };
  void transfer(TransferKind Kind, std::string_view Customer,
                const TransferEndpoint &Engine, const TransferEndpoint &Store,
                std::span<const BlockKey> Keys, Duration Limit,
                const std::function<void()> &Done);
  void ended(TransferKind Kind, const TransferEndpoint &Engine,
             const TransferEndpoint &Store, const LinkReservation &Reservation,
             const HttpResult &Result);

  HttpClient &Http;
  CacheIndex &Index;
  LinkMap &Links;
  CachePlanOptions Plan;
  bool IsSizeKnown = false;
  /// Lets callbacks that outlive this object detect its destruction.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_CACHETRANSFERS_H
