// Sends and receives gossip messages between gateways over UDP.
//
//   EntryChannel Channel(Loop, Own, [&](GossipMessage Message) { ... });
//   Channel.send(Other, encodeGossip(Message));
//
// Guarantees: sending never blocks; a message arrives complete or not at all;
// malformed messages are logged and dropped. While the address is unavailable,
// the channel waits for it, see BindRetry, and sends nothing. The constructor
// throws Error if the address is none that this process may use.

#ifndef GALENAROUTE_PROCESS_ENTRYCHANNEL_H
#define GALENAROUTE_PROCESS_ENTRYCHANNEL_H

#include "connection/BindRetry.h"
#include "process/EventLoop.h"
#include "process/GossipMessages.h"

#include <functional>

struct event;

namespace galenaroute {

class EntryChannel {
public:
  using OnMessage = std::function<void(GossipMessage Message)>;

  /// Maximum message size; receivers truncate longer ones.
  static constexpr std::size_t MaxBytes = MaxGossipBytes;

  EntryChannel(EventLoop &Loop, const SocketAddress &Own, OnMessage Deliver);
  ~EntryChannel();
  EntryChannel(const EntryChannel &) = delete;
  EntryChannel &operator=(const EntryChannel &) = delete;

  void send(const SocketAddress &To, const std::string &Bytes);
  /// Returns whether the address has been taken.
  bool isBound() const { return this->Binding.isBound(); }

private:
  int tryBind(const SocketAddress &Own);
  void receive();

  EventLoop &Loop;
  OnMessage Deliver;
  int Socket = -1;
  struct event *Readable = nullptr;
  BindRetry Binding;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_ENTRYCHANNEL_H
