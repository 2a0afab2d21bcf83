// Messages between the entries of the system, over UDP.
//
//   EntryChannel Channel(Loop, Own, [&](GossipMessage Message) { ... });
//   Channel.send(Other, encodeGossip(Message));
//
// Guarantees: sending never blocks; a message arrives whole or not at all; what
// cannot be read is logged and dropped. Throws Error when the address cannot be
// listened on.

#ifndef GALENAROUTE_PROCESS_ENTRYCHANNEL_H
#define GALENAROUTE_PROCESS_ENTRYCHANNEL_H

#include "process/EventLoop.h"
#include "process/GossipMessages.h"

#include <functional>

struct event;

namespace galenaroute {

class EntryChannel {
public:
  using OnMessage = std::function<void(GossipMessage Message)>;

  /// Longer messages are cut off by the receiver.
  static constexpr std::size_t MaxBytes = 16 << 10;

  EntryChannel(EventLoop &Loop, const SocketAddress &Own, OnMessage Deliver);
  ~EntryChannel();
  EntryChannel(const EntryChannel &) = delete;
  EntryChannel &operator=(const EntryChannel &) = delete;

  void send(const SocketAddress &To, const std::string &Bytes);

private:
  void receive();

  OnMessage Deliver;
  int Socket = -1;
  struct event *Readable = nullptr;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_ENTRYCHANNEL_H
