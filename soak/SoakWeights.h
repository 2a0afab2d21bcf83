// Engines of one model in a soak, for which new weights are named now and then.
//
//   SoakWeights Weights(Loop, Store, Seed, {.Seen = ..., .DaemonOf = ...});
//   Weights.start();
//   Weights.nameUntil(End);
//
// Orders load the weights; some engines load them late or refuse until later.
// Guarantees: what is drawn depends on the seed only, and does not change what
// the rest of the soak draws.

#ifndef GALENAROUTE_SOAK_SOAKWEIGHTS_H
#define GALENAROUTE_SOAK_SOAKWEIGHTS_H

#include "Faults.h"
#include "History.h"
#include "WeightedEngines.h"
#include "process/FakePlatformServer.h"

#include <random>

namespace galenaroute::soak {

struct SoakWeightsParts {
  testing_support::WeightsHistory &Seen;
  /// Returns the daemon to which a caller sent a call.
  std::function<std::size_t(const std::string &Call)> DaemonOf;
  std::function<void(const std::string &Line)> Note;
  /// Called for each order that reaches an engine.
  std::function<void(const std::string &Engine, const std::string &Holder,
                     std::uint64_t Fence)>
      OnOrder;
};

class SoakWeights {
public:
  SoakWeights(EventLoop &Loop, testing_support::FakePlatformServer &Store,
              std::uint64_t Seed, SoakWeightsParts Parts);
  ~SoakWeights();
  SoakWeights(const SoakWeights &) = delete;
  SoakWeights &operator=(const SoakWeights &) = delete;

  /// Adds the service of the engines and its routes to a configuration.
  static void addTo(nlohmann::json &Config);

  /// Starts the engines with the first version.
  void start();
  /// Names new versions from time to time until \p End.
  void nameUntil(TimePoint End);
  /// Names a version during the longer freezes of daemons and some of their
  /// other longer faults, since each daemon must find out when that was.
  void onFault(const Fault &Struck);
  /// Names a version, unless the last one was named a short time ago.
  void name();
  std::size_t named() const { return this->Named; }

  /// Returns whether a caller sends a call to the engines now.
  bool isCallDue() { return this->below(2) == 0; }
  CallerView drawCall(const std::string &Id);
  std::uint64_t below(std::uint64_t Bound) { return this->Random() % Bound; }

private:
  void addEngine(std::size_t Index);
  void put(std::uint64_t Version);
  void after(Duration Delay, const std::function<void()> &Action);

  EventLoop &Loop;
  testing_support::FakePlatformServer &Store;
  std::mt19937_64 Random;
  SoakWeightsParts Parts;
  std::vector<std::unique_ptr<testing_support::WeightedEngine>> Engines;
  std::uint64_t Version = 1;
  std::size_t Named = 0;
  TimePoint NamedAt;
  std::vector<sigc::connection> Timers;
};

/// No call of a daemon in touch begins on outdated weights, and none that must
/// not repeat runs twice at the engines. Harm to the links of upstreams, or of
/// one daemon to the store, does not extend the limit, which is stricter than
/// the platform's rule.
void checkWeights(const SoakHistory &History, const SoakBounds &Bounds,
                  std::vector<BrokenPromise> &Found);

} // namespace galenaroute::soak

#endif // GALENAROUTE_SOAK_SOAKWEIGHTS_H
