// Takes a local address, and tries again for as long as it is unavailable.
//
//   BindRetry Binding(Loop, Address, [this] { return this->tryListen(); });
//
// An address may be in use by a process that is about to end, by a connection
// or its TIME_WAIT, or not be configured yet, and descriptors may be short for
// a moment; a start must not fail for good on any of these.
//
// Guarantees: the first attempt is made inside the constructor, further ones by
// a timer until one succeeds or cancel() is called. Waiting is logged as
// `listen.waiting` when it begins and about every ten seconds, its end as
// `listen.bound`.

#ifndef GALENAROUTE_CONNECTION_BINDRETRY_H
#define GALENAROUTE_CONNECTION_BINDRETRY_H

#include "connection/HttpTypes.h"
#include "process/EventLoop.h"

namespace galenaroute {

class BindRetry {
public:
  /// Tries to take the address. Returns zero or an errno.
  using Attempt = std::function<int()>;

  /// Throws Error(Internal) if the first attempt fails with an error that does
  /// not pass, such as a port that the process may not use.
  BindRetry(EventLoop &Loop, SocketAddress Address, Attempt TryBind);
  ~BindRetry();
  BindRetry(const BindRetry &) = delete;
  BindRetry &operator=(const BindRetry &) = delete;

  bool isBound() const { return this->Bound; }
  /// Makes no further attempts.
  void cancel();

private:
  void retry();
  void logWaiting(int Error);

  SocketAddress Address;
  Attempt TryBind;
  TimePoint Since = EventLoop::now();
  TimePoint LoggedAt;
  bool Bound = false;
  sigc::connection Timer;
};

/// Returns a non-blocking TCP socket that listens at \p Address, or -1 with
/// errno set. Another listener at the address is an error; connections and
/// their TIME_WAIT are not if their sockets have SO_REUSEADDR.
int listenAt(const SocketAddress &Address, int Backlog);

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_BINDRETRY_H
