// A stand-in of a store of kept KV cache that is empty and sound unless told
// otherwise.

#ifndef GALENAROUTE_REVIEW_KVSTORE_H
#define GALENAROUTE_REVIEW_KVSTORE_H

#include "Record.h"

#include <memory>

namespace review {

class KvStore {
public:
  KvStore(const std::string &Host, std::string Name, Record &Log);
  ~KvStore();

  Address address() const { return this->Listening->address(); }

  /// From now on the answer to each call is bytes without end, at this rate on
  /// each connection.
  void setEndless(int BytesPerMs) { this->EndlessBytesPerMs = BytesPerMs; }

private:
  void serve(Connection &Open);
  std::string answer(const Message &Request, Connection &Open);

  std::string Name;
  Record &Log;
  std::atomic<int> EndlessBytesPerMs = 0;
  std::atomic<bool> Stopping = false;
  std::unique_ptr<Listener> Listening;
};

/// Sends the head of an answer and bytes that are no answer until the caller
/// closes. Returns how many bytes were sent.
std::size_t sendWithoutEnd(Connection &Open, int BytesPerMs,
                           const std::atomic<bool> &Stopping);

} // namespace review

#endif // GALENAROUTE_REVIEW_KVSTORE_H
