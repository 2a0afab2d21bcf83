// Small helpers over libevent's bufferevents that callers' and upstreams'
// connections share.

#ifndef GALENAROUTE_CONNECTION_BUFFEREDSOCKET_H
#define GALENAROUTE_CONNECTION_BUFFEREDSOCKET_H

#include "connection/HttpTypes.h"
#include "process/Clock.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <memory>
#include <optional>

namespace galenaroute {

struct BufferEventDeleter {
  void operator()(bufferevent *Event) const { bufferevent_free(Event); }
};
using BufferEventPtr = std::unique_ptr<bufferevent, BufferEventDeleter>;

/// Returns a bufferevent with deferred callbacks for \p Socket, which it closes
/// when it is freed; -1 for one that is still to be connected. Throws
/// std::bad_alloc when memory is short, and closes \p Socket then.
BufferEventPtr newBufferEvent(event_base *Base, int Socket);

/// Sets the options of a TCP socket: no delay, and limits after which data
/// that is not acknowledged, or a peer that does not answer keep-alive probes,
/// ends the connection. A connection may go silent without a reset, and only
/// these limits show it. Logs an option that the kernel refuses.
void setSocketLimits(int Socket, Duration UserTimeout);

/// Sets after which time data that is not acknowledged, or that the peer's full
/// window holds back, ends the connection.
void setUserTimeout(int Socket, Duration Timeout);

/// Gives the kernel's queues of a socket a fixed size instead of one that grows
/// to several megabytes.
void limitQueues(int Socket);

/// Lets a listener take the local port of an outgoing connection while the
/// connection is open and in its TIME_WAIT. Without this, the next process of
/// this machine that listens on the port would have to wait. Does nothing if
/// \p Socket is negative.
void allowListeningOnLocalPort(int Socket);

/// Gives \p Event, which is not connected yet, a socket whose own address is
/// \p Host. Without this, a machine with several addresses may use another one.
/// Logs a failure; the kernel chooses the address then.
void bindToHost(bufferevent *Event, const std::string &Host);

/// Returns how many bytes the peer has not acknowledged, the end of the own
/// side counted as one, or no value if the kernel does not tell.
std::optional<std::size_t> unacknowledgedBytes(int Socket);

/// Returns how many connections wait to be accepted by a listening socket, or
/// no value if the kernel does not tell.
std::optional<std::size_t> waitingConnections(int ListeningSocket);

/// Returns whether a keep-alive probe or data sent again awaits an
/// acknowledgment, as on a link that has gone silent. Returns false if the
/// kernel does not tell, which is logged once.
bool isLinkSilent(int Socket);

/// Returns whether the socket has one of \p PollEvents that the loop has not
/// handled yet.
bool isPending(bufferevent *Event, short PollEvents);

/// Returns whether bytes of the peer wait in the buffer or in the socket. After
/// the process stood still, timers may run before what arrived meanwhile is
/// read.
bool hasUnreadInput(bufferevent *Event);

/// Returns the address that libevent needs to connect; throws
/// Error(BadRequest) when \p Address is not an IPv4 address.
struct sockaddr_in socketAddressOf(const SocketAddress &Address);

/// Empties \p Text and frees its memory, which assigning an empty text keeps.
inline void dropText(std::string &Text) { std::string().swap(Text); }

/// Returns the first contiguous bytes of \p Buffer.
std::string_view firstBytes(evbuffer *Buffer);

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_BUFFEREDSOCKET_H
