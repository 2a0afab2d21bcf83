// Addresses that a test or a program started by a test can listen on.

#ifndef GALENAROUTE_TESTS_FREEADDRESS_H
#define GALENAROUTE_TESTS_FREEADDRESS_H

#include "connection/HttpTypes.h"

#include <arpa/inet.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace galenaroute {

/// Returns the loopback address that only the process \p Id uses. Process ids
/// have at most 22 bits. The third part is 16 or more, since process tests and
/// soaks use addresses with smaller ones.
inline std::string loopbackHostOf(std::uint32_t Id) {
  const std::uint32_t Last = 1 + Id % 254;
  const std::uint32_t Third = 16 + Id / 254 % 240;
  const std::uint32_t Second = 1 + Id / 254 / 240;
  return "127." + std::to_string(Second) + "." + std::to_string(Third) + "." +
         std::to_string(Last);
}

/// Returns whether a socket of \p Type can be bound to \p Address.
inline bool isFree(const SocketAddress &Address, int Type) {
  const int Socket = socket(AF_INET, Type | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    throw std::runtime_error("cannot open a socket");
  sockaddr_in Bound{};
  Bound.sin_family = AF_INET;
  Bound.sin_port = htons(Address.Port);
  inet_pton(AF_INET, Address.Host.c_str(), &Bound.sin_addr);
  const bool IsBound =
      bind(Socket, reinterpret_cast<sockaddr *>(&Bound), sizeof Bound) == 0;
  close(Socket);
  return IsBound;
}

/// Returns a loopback address of this process whose port is free for TCP and
/// UDP. It is not given out again until all ports were, and the kernel gives
/// ports of this range to no outgoing connection, so it stays free until it is
/// used.
inline SocketAddress freeAddress() {
  constexpr std::uint16_t FirstPort = 10000;
  constexpr std::uint16_t PortCount = 22000;
  static std::uint16_t Given = 0;
  for (int I = 0; I < PortCount; ++I) {
    SocketAddress Result{loopbackHostOf(static_cast<std::uint32_t>(getpid())),
                         static_cast<std::uint16_t>(FirstPort + Given)};
    Given = static_cast<std::uint16_t>((Given + 1) % PortCount);
    if (isFree(Result, SOCK_STREAM) && isFree(Result, SOCK_DGRAM))
      return Result;
  }
  throw std::runtime_error("no free port");
}

} // namespace galenaroute

#endif // GALENAROUTE_TESTS_FREEADDRESS_H
