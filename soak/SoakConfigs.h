// The operator of a soak: configurations that add, drop and move routes and
// change limits, calls that show which one is in force, and restorations of the
// store from a copy.
//
//   SoakConfigs Configs(Loop, Store, Places, Seed, {.Seen = ..., ...});
//   Configs.write(First);
//   Configs.play(End);
//   Configs.step();                             // often
//   Configs.finish();
//
// Guarantees: what is drawn depends on the seed only, and does not change what
// the rest of the soak draws.

#ifndef GALENAROUTE_SOAK_SOAKCONFIGS_H
#define GALENAROUTE_SOAK_SOAKCONFIGS_H

#include "Faults.h"
#include "History.h"
#include "RawSocket.h"
#include "process/FakePlatformServer.h"
#include "process/PlatformDaemons.h"

#include <random>

namespace galenaroute::soak {

struct SoakConfigsParts {
  SoakHistory &Seen;
  /// Returns how often a daemon was started.
  std::function<int(std::size_t Daemon)> IncarnationOf;
  std::function<void(const std::string &Line)> Note;
  std::function<void(const Fault &Next)> Strike;
  /// Names new weights, so that engines get orders.
  std::function<void()> NameWeights;
  /// Makes further changes to a configuration before it is written.
  std::function<void(nlohmann::json &Config)> Amend;
};

class SoakConfigs {
public:
  SoakConfigs(EventLoop &Loop, testing_support::FakePlatformServer &Store,
              const testing_support::PlatformDaemons &Places,
              std::uint64_t Seed, SoakConfigsParts Parts);
  ~SoakConfigs();
  SoakConfigs(const SoakConfigs &) = delete;
  SoakConfigs &operator=(const SoakConfigs &) = delete;

  /// Writes the first configuration, with the services and routes of
  /// SoakConnections added.
  void write(nlohmann::json First);
  /// Changes configurations and restores the store until \p End, by when the
  /// faults that it strikes have ended, too.
  void play(TimePoint End);
  /// Sends and reads calls that show configurations.
  void step();
  /// Records what the store holds at the end.
  void finish();
  std::size_t changes() const { return this->Changes; }
  std::size_t restorations() const { return this->Restorations; }

private:
  struct Probe {
    RouteProbe View;
    std::unique_ptr<RawSocket> Socket;
  };
  using Specs = std::map<std::pair<std::string, std::string>, nlohmann::json>;

  void change();
  void changeLater();
  void changeLimits();
  void addRoute();
  void dropRoute();
  void moveRoute();
  void put();
  void recordLimit();
  nlohmann::json &routeNamed(const std::string &Name);
  void sendProbe();
  bool readProbe(Probe &Each);
  void restoreLater(Duration Delay);
  void restore();
  void strikeBeside();
  void rewrite(const Specs &Before);
  Specs written() const;
  void after(Duration Delay, const std::function<void()> &Action);
  Duration drawn(Duration Least, Duration Most);
  std::uint64_t below(std::uint64_t Bound) { return this->Random() % Bound; }

  EventLoop &Loop;
  testing_support::FakePlatformServer &Store;
  const testing_support::PlatformDaemons &Places;
  std::mt19937_64 Random;
  SoakConfigsParts Parts;
  nlohmann::json Config;
  std::vector<std::string> Routes; ///< Now in the configuration.
  std::vector<Probe> Probes;
  TimePoint End;
  TimePoint NextProbeAt;
  TimePoint QuietUntil; ///< No configuration is written until then.
  bool IsStoreAway = false;
  int LastRoute = 0;
  int LastProbe = 0;
  std::size_t Changes = 0;
  std::size_t Restorations = 0;
  std::vector<sigc::connection> Timers;
};

} // namespace galenaroute::soak

#endif // GALENAROUTE_SOAK_SOAKCONFIGS_H
