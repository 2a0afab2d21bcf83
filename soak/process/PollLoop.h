// A loop over poll() with timers for the parts of a process soak.

#ifndef GALENAROUTE_SOAK_PROCESS_POLLLOOP_H
#define GALENAROUTE_SOAK_PROCESS_POLLLOOP_H

#include "process/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace galenaroute::process_soak {

class PollLoop {
public:
  /// Whether the socket may be read or written.
  using Handler = std::function<void(bool CanRead, bool CanWrite)>;

  void watch(int Socket, Handler Do);
  /// Whether the handler is also called once the socket may be written.
  void setWriting(int Socket, bool Enabled);
  void forget(int Socket) { this->Sockets.erase(Socket); }

  void after(Duration Delay, std::function<void()> Do) {
    this->Timers.emplace(Clock::now() + Delay, std::move(Do));
  }

  /// Runs until \p IsOver returns true, which is asked after each pass.
  void run(const std::function<bool()> &IsOver);

private:
  struct Watch {
    Handler Do;
    bool Writes = false;
    std::uint64_t Number = 0; ///< Differs when the descriptor is used again.
  };

  void fireTimers();

  std::map<int, Watch> Sockets;
  std::multimap<TimePoint, std::function<void()>> Timers;
  std::uint64_t LastNumber = 0;
};

/// Opens a socket that does not block and listens at \p Address (IP:PORT).
int listenAt(const std::string &Address);

/// Opens a socket that does not block and begins to connect; -1 if it cannot.
/// The kernel buffers about \p ReceiveBytes of what arrives; 0: what it likes.
int connectTo(const std::string &Address, int ReceiveBytes = 0);

/// The same from an address of this machine, which no other socket can use
/// until the connection is closed; -1 if one does.
int connectFrom(const std::string &Own, const std::string &Address);

enum class ReadResult { Open, Closed };

/// Appends to \p Text what can be read without blocking, until that is
/// \p Most bytes or a little more.
ReadResult readAll(int Socket, std::string &Text,
                   std::size_t Most = std::string::npos);

/// Writes what can be written of \p Text without blocking and removes it.
/// Returns false if the connection is broken.
bool writeSome(int Socket, std::string &Text);

/// Closes the connection with a reset.
void resetSocket(int Socket);

/// From now on SIGTERM sets a flag, and SIGPIPE is ignored.
void catchTermination();
bool isTerminated();

} // namespace galenaroute::process_soak

#endif // GALENAROUTE_SOAK_PROCESS_POLLLOOP_H
