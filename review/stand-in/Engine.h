// A stand-in of a sound model server, as far as orders concern it. It serves no
// prompts.

#ifndef GALENAROUTE_REVIEW_ENGINE_H
#define GALENAROUTE_REVIEW_ENGINE_H

#include "Store.h"

namespace review {

class Engine {
public:
  struct Order {
    std::int64_t At = 0;
    std::string Holder;
    std::uint64_t Fence = 0;
    std::uint64_t Version = 0;
    int Status = 0;
  };

  Engine(const std::string &Host, std::string Id, std::string Service,
         std::string Model, Store &Entries, Record &Log);
  ~Engine();

  /// Falls silent for a while when its state is asked for the next time.
  void beSilentAtNextReport(std::int64_t ForMs) { this->SilenceMs = ForMs; }
  bool isSilent() const { return nowMs() < this->SilentUntil; }
  std::vector<Order> orders();

private:
  void serve(Connection &Open);
  void beat();
  std::string report();
  std::string order(const Message &Request);

  /// How long new weights take.
  static constexpr std::int64_t LoadMs = 1100;

  std::string Id;
  std::string Service;
  std::string Model;
  Store &Entries;
  Record &Log;
  std::int64_t BornMs;
  std::atomic<std::int64_t> SilenceMs = 0;
  std::atomic<std::int64_t> SilentUntil = 0;
  std::atomic<bool> Stopping = false;
  std::mutex Lock;
  std::uint64_t Version = 1;
  std::uint64_t NextVersion = 0; ///< Being loaded; 0 for none.
  std::int64_t LoadedAt = 0;
  std::uint64_t Sequence = 0;
  std::vector<Order> Orders;
  std::unique_ptr<Listener> Listening;
  std::thread Beating;
};

} // namespace review

#endif // GALENAROUTE_REVIEW_ENGINE_H
