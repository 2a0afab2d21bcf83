// Upstreams that fall silent and go on, one or several of a service at once,
// and callers with kept connections.
//
//   SoakSilences Silences(Loop, Store, Places, Seed, {.Seen = ..., ...});
//   Silences.addTo(Config);
//   Silences.start();
//   Silences.changeConfig(Config);              // as often as wanted
//   Silences.step();                            // often
//   Silences.stop();                            // no further requests
//
// A silence is one of the process, whose kernel acknowledges what arrives, or
// of the machine, which acknowledges nothing. Beside them upstreams refuse
// calls, have few slots, crash, or are silent for good until they are replaced.
// Guarantees: what is drawn depends on the seed only, and does not change what
// the rest of the soak draws.

#ifndef GALENAROUTE_SOAK_SOAKSILENCES_H
#define GALENAROUTE_SOAK_SOAKSILENCES_H

#include "FaultyLink.h"
#include "History.h"
#include "RawSocket.h"
#include "connection/CallListener.h"
#include "process/FakePlatformServer.h"
#include "process/PlatformDaemons.h"

#include <random>

namespace galenaroute::soak {

struct SoakSilencesParts {
  SoakHistory &Seen;
  std::function<void(const std::string &Line)> Note;
};

class SoakSilences {
public:
  SoakSilences(EventLoop &Loop, testing_support::FakePlatformServer &Store,
               const testing_support::PlatformDaemons &Places,
               std::uint64_t Seed, SoakSilencesParts Parts);
  ~SoakSilences();
  SoakSilences(const SoakSilences &) = delete;
  SoakSilences &operator=(const SoakSilences &) = delete;

  /// Adds services, routes and customers to a configuration.
  void addTo(nlohmann::json &Config);
  /// Changes weights of services, the timeout, customers' keys and priorities
  /// in a configuration that is then written.
  void changeConfig(nlohmann::json &Config);

  void start();
  void step();
  void stop() { this->IsSending = false; }
  std::size_t silences() const { return this->Silences; }
  std::size_t silencesForGood() const { return this->SilencesForGood; }

private:
  struct Upstream {
    std::string Service;
    std::string Id;
    int Slots = 0;
    std::shared_ptr<CallListener> Listener;
    std::unique_ptr<FaultyLink> Link;
    int Running = 0;
    bool IsUp = false;
    bool IsGone = false; ///< Silent for good.
    TimePoint SilentUntil;
  };
  struct Caller {
    std::size_t Daemon = 0;
    std::unique_ptr<RawSocket> Socket;
    TimePoint IdleSince;
    TimePoint SendAt;
    /// When the answer was last seen to be incomplete.
    TimePoint IncompleteAt;
    std::string Call; ///< The call under way, or empty.
  };

  void startUpstream(std::size_t Index);
  void crash(std::size_t Index);
  void crashLater();
  void silence(std::size_t Index, bool IsMachine, Duration For);
  void silenceLater();
  void silenceForGoodLater();
  void onCall(std::size_t Index, const std::shared_ptr<IncomingCall> &Call);
  void stream(std::size_t Index, const std::shared_ptr<IncomingCall> &Call,
              int Next, int Last);
  /// Returns whether a call may be lost with an upstream: it runs there, or
  /// waits on the way to one.
  static bool dependsOn(const SilenceCallView &Call,
                        const std::string &UpstreamId);
  void connect(Caller &Each);
  void beginIdle(Caller &Each, TimePoint Since);
  void send(Caller &Each);
  void read(Caller &Each);
  void end(Caller &Each, bool KeepsConnection);
  void put(const Upstream &Part);
  void after(Duration Delay, const std::function<void()> &Action);
  Duration drawn(Duration Least, Duration Most);
  std::uint64_t below(std::uint64_t Bound) { return this->Random() % Bound; }

  EventLoop &Loop;
  testing_support::FakePlatformServer &Store;
  const testing_support::PlatformDaemons &Places;
  std::mt19937_64 Random;
  SoakSilencesParts Parts;
  std::vector<Caller> Callers;
  std::vector<Upstream> Upstreams;
  std::vector<std::shared_ptr<CallListener>> Ended;
  bool IsSending = false;
  int Sent = 0;
  int Starts = 0;
  int LastKey = 0;
  std::size_t Silences = 0;
  std::size_t SilencesForGood = 0;
  std::vector<sigc::connection> Timers;
};

} // namespace galenaroute::soak

#endif // GALENAROUTE_SOAK_SOAKSILENCES_H
