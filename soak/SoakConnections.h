// Callers that keep their connections, and upstreams of their own that answer
// at length and fall silent now and then.
//
//   SoakConnections Kept(Loop, Store, Places, Seed, History.Connections, Note);
//   Kept.start();
//   Kept.step();                                // often
//   Kept.stop();                                // no further requests
//
// Callers send whole requests after idle periods of up to four fifths of the
// idle limit; some read their answers slowly.
// Guarantees: what is drawn depends on the seed only, and does not change what
// the rest of the soak draws.

#ifndef GALENAROUTE_SOAK_SOAKCONNECTIONS_H
#define GALENAROUTE_SOAK_SOAKCONNECTIONS_H

#include "FaultyLink.h"
#include "History.h"
#include "RawSocket.h"
#include "connection/CallListener.h"
#include "process/FakePlatformServer.h"
#include "process/PlatformDaemons.h"

#include <random>

namespace galenaroute::soak {

/// The part of an answer that has been read.
struct PlainAnswer {
  int Status = 0;
  std::string Body; ///< As it came; chunks are not decoded.
  bool IsWhole = false;
  bool IsLast = false; ///< The answer closes its connection.
};

/// Returns nothing until the head is there.
std::optional<PlainAnswer> parseAnswer(const std::string &Text);

class SoakConnections {
public:
  SoakConnections(EventLoop &Loop, testing_support::FakePlatformServer &Store,
                  const testing_support::PlatformDaemons &Places,
                  std::uint64_t Seed, ConnectionHistory &Seen,
                  std::function<void(const std::string &Line)> Note);
  ~SoakConnections();
  SoakConnections(const SoakConnections &) = delete;
  SoakConnections &operator=(const SoakConnections &) = delete;

  /// Adds the services k0 and k1 and the route `kept` to a configuration.
  static void addTo(nlohmann::json &Config);
  /// Returns a route to one of the services, with the prefix /NAME/.
  static nlohmann::json routeOf(const std::string &Name,
                                const std::string &Service, Duration Timeout);

  void start();
  void step();
  void stop() { this->IsSending = false; }

private:
  enum class Pace { Plain, Large, Stream };
  struct Caller {
    std::size_t Daemon = 0;
    std::unique_ptr<RawSocket> Socket;
    TimePoint IdleSince;
    TimePoint SendAt;
    /// When the answer was last seen to be incomplete.
    TimePoint IncompleteAt;
    TimePoint PauseUntil;
    Pace How = Pace::Plain;
    std::string Call; ///< The call under way, or empty.
  };
  struct Upstream {
    std::string Service;
    std::shared_ptr<CallListener> Listener;
    std::unique_ptr<FaultyLink> Link;
    TimePoint SilentUntil;
  };

  void connect(Caller &Each);
  void beginIdle(Caller &Each, TimePoint Since);
  void send(Caller &Each);
  void read(Caller &Each);
  void end(Caller &Each, bool KeepsConnection);
  void onCall(std::size_t Index, const std::shared_ptr<IncomingCall> &Call);
  void stream(std::size_t Index, const std::shared_ptr<IncomingCall> &Call,
              int Left, bool BreaksOff);
  void silence(std::size_t Index);
  void silenceLater();
  void after(Duration Delay, const std::function<void()> &Action);
  std::uint64_t below(std::uint64_t Bound) { return this->Random() % Bound; }

  EventLoop &Loop;
  testing_support::FakePlatformServer &Store;
  const testing_support::PlatformDaemons &Places;
  std::mt19937_64 Random;
  ConnectionHistory &Seen;
  std::function<void(const std::string &Line)> Note;
  std::vector<Caller> Callers;
  std::vector<Upstream> Upstreams;
  bool IsSending = false;
  int Sent = 0;
  std::vector<sigc::connection> Timers;
};

} // namespace galenaroute::soak

#endif // GALENAROUTE_SOAK_SOAKCONNECTIONS_H
