// The part of the engine emulator that takes orders: weight version, models,
// adapters and role, with fencing numbers and load times.
//
// An order states what should be; a load starts when the version differs. The
// engine has no weights while it loads, and its version is empty then.

#ifndef GALENAROUTE_EMULATOR_ENGINEORDERS_H
#define GALENAROUTE_EMULATOR_ENGINEORDERS_H

#include "connection/HttpClient.h"

#include <nlohmann/json.hpp>

namespace galenaroute::emulator {

struct OrderSettings {
  std::string WeightVersion = "v1"; ///< In place at the start.
  std::vector<std::string> Adapters;
  bool ChecksFence = true;
  /// Used where there is no weight store.
  Duration LoadTime = std::chrono::seconds(2);
  std::optional<SocketAddress> WeightStore;
};

class EngineOrders {
public:
  EngineOrders(EventLoop &Loop, HttpClient &Client,
               const OrderSettings &Settings);
  ~EngineOrders();
  EngineOrders(const EngineOrders &) = delete;
  EngineOrders &operator=(const EngineOrders &) = delete;

  /// Takes the order in \p Body; returns 200 with the state, or 412 with the
  /// highest fencing number seen. Throws json::exception.
  std::pair<int, nlohmann::json> apply(const nlohmann::json &Body);

  /// Returns `{"fence","weight_version","loading","models","adapters",
  /// "role","loads"}`.
  nlohmann::json state() const;

  /// Forgets the fencing number and any load, as a restart does.
  void restart();

  /// The version in place; empty during a load.
  const std::string &weightVersion() const { return this->Current; }
  bool hasAdapter(const std::string &Name) const;

  /// Emitted when the weights are taken out for a load.
  sigc::signal<void()> Unloaded;

private:
  void pursue();
  void load();
  void finishLoad();

  EventLoop &Loop;
  HttpClient &Client;
  OrderSettings Settings;
  std::uint64_t Fence = 0;
  std::string Current;
  std::string Desired;
  std::string Loading;
  std::vector<std::string> Models;
  std::vector<std::string> Adapters;
  std::string Role = "serve";
  std::uint64_t Loads = 0;
  sigc::connection Timer;
  std::unique_ptr<HttpExchange> Fetch;
};

} // namespace galenaroute::emulator

#endif // GALENAROUTE_EMULATOR_ENGINEORDERS_H
