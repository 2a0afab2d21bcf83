// A proxy on loopback that harms the connections that pass it.
//
//   FaultyLink Link(Loop, Target, Seed);
//   connect to Link.address() instead of Target
//   Link.setHarm({.Delay = std::chrono::milliseconds(200)});
//   Link.resetAll();
//
// Bytes of both directions are passed on in order, in pieces of random length.
// Guarantees: bounded memory, since reading stops while too much waits.

#ifndef GALENAROUTE_SOAK_FAULTYLINK_H
#define GALENAROUTE_SOAK_FAULTYLINK_H

#include "connection/BufferedSocket.h"
#include "process/EventLoop.h"

#include <event2/listener.h>
#include <map>
#include <random>

namespace galenaroute::soak {

/// What a link does to the bytes that pass it.
struct LinkHarm {
  Duration Delay{};              ///< In each direction.
  bool IsSilentToTarget = false; ///< Bytes are kept back, and not reset.
  bool IsSilentFromTarget = false;
  /// Nothing that callers send is acknowledged, nor are connections made.
  bool DropsArriving = false;
  std::size_t BytesPerSecond = 0; ///< 0: not limited.
};

/// A machine or its link that is silent both ways.
inline constexpr LinkHarm SilentMachine{.IsSilentToTarget = true,
                                        .IsSilentFromTarget = true,
                                        .DropsArriving = true};
/// A process that neither reads nor writes; its kernel acknowledges.
inline constexpr LinkHarm SilentProcess{.IsSilentToTarget = true,
                                        .IsSilentFromTarget = true};

class FaultyLink {
public:
  /// Longest piece that is passed on at once; heads and chunks are cut
  /// anywhere.
  static constexpr std::size_t ShortPiece = 700;

  FaultyLink(EventLoop &Loop, SocketAddress Target, std::uint64_t Seed,
             std::size_t MaxPiece = ShortPiece);
  ~FaultyLink();
  FaultyLink(const FaultyLink &) = delete;
  FaultyLink &operator=(const FaultyLink &) = delete;

  const SocketAddress &address() const { return this->Address; }
  /// Applies to open connections too. Bytes kept back by a silence go on when
  /// it ends.
  void setHarm(const LinkHarm &Next);
  /// Resets all open connections.
  void resetAll();

private:
  struct Pair;
  enum class Side { Caller, Target };

  void accept(int Socket);
  void pump(std::uint64_t Id, Side From);
  void passOnAfter(Duration Delay, std::uint64_t Id, Side From);
  void passOn(std::uint64_t Id, Side From);
  void close(std::uint64_t Id, bool Resets);
  bool isSilent(Side From) const;
  void applyFilter(int Socket) const;
  void applyWhenAcknowledged(std::uint64_t Id, TimePoint Latest);

  EventLoop &Loop;
  SocketAddress Target;
  SocketAddress Address{"127.0.0.1", 0};
  std::mt19937_64 Random;
  std::size_t MaxPiece;
  LinkHarm Harm;
  evconnlistener *Listener = nullptr;
  std::map<std::uint64_t, std::unique_ptr<Pair>> Pairs;
  std::uint64_t LastId = 0;
  // Timers that fire later find this expired.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute::soak

#endif // GALENAROUTE_SOAK_FAULTYLINK_H
