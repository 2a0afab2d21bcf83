// The control interface of upstreams: observes what they have loaded, and sends
// orders for what they should load.
//
//   HttpUpstreamOrders Orders(Client, CallTimeout);
//   Orders.observe(Address, [](std::optional<UpstreamObservation> Observed)
//   {});
//
// Guarantees: each callback is called exactly once, and never within the call
// that it belongs to.

#ifndef GALENAROUTE_VERSION_UPSTREAMORDERS_H
#define GALENAROUTE_VERSION_UPSTREAMORDERS_H

#include "connection/HttpClient.h"
#include "version/Orders.h"

namespace galenaroute {

class UpstreamOrders {
public:
  /// Receives nothing if the upstream did not answer.
  using OnObservation =
      std::function<void(std::optional<UpstreamObservation> Observed)>;
  using OnAnswer = std::function<void(OrderResult Answer)>;

  virtual ~UpstreamOrders() = default;
  virtual void observe(const SocketAddress &Address, OnObservation Done) = 0;
  virtual void send(const Order &Order, OnAnswer Done) = 0;
};

/// Uses `GET /v1/orders` and `POST /v1/orders` of a model engine.
class HttpUpstreamOrders : public UpstreamOrders {
public:
  /// \p CallTimeout limits each call. It must be shorter than the margin of the
  /// lease under which orders are sent.
  HttpUpstreamOrders(HttpClient &Client, Duration CallTimeout);

  void observe(const SocketAddress &Address, OnObservation Done) override;
  void send(const Order &Order, OnAnswer Done) override;

private:
  HttpClient &Client;
  Duration CallTimeout;
};

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_UPSTREAMORDERS_H
