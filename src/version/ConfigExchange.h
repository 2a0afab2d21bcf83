// Carries out the decisions of ConfigRelay: the configuration between daemons.
//
//   ConfigExchange Exchange(Watcher, Send, {}, SelfId, Now, Seed);
//   Peers.handle("config-offer", ...);  // to Exchange.receive()
//   Loop.timers().every(200ms, [&] { Exchange.tick(EventLoop::now()); });
//
// The transport is the function Send, so that tests replace it.
//
// Guarantees: data come into force only when they match their hashes; the
// epoch in force never goes down, because the watcher adopts only higher ones;
// the last HeldVersions versions are kept to answer with differences.

#ifndef GALENAROUTE_VERSION_CONFIGEXCHANGE_H
#define GALENAROUTE_VERSION_CONFIGEXCHANGE_H

#include "version/ConfigRelay.h"
#include "version/ConfigWatcher.h"

namespace galenaroute {

/// Versions kept to answer fetches. Unchanged objects are shared between them.
constexpr std::size_t HeldVersions = 8;

class ConfigExchange {
public:
  /// Sends a message to a daemon, or to all neighbours when \p To is empty.
  using SendFn = std::function<void(const std::string &To, const char *Type,
                                    const nlohmann::json &Body)>;

  /// \p Watcher must outlive this; it is started here.
  ConfigExchange(ConfigWatcher &Watcher, SendFn Send,
                 const ConfigRelaySettings &Settings, std::string SelfId,
                 TimePoint Now, std::uint64_t Seed);
  ~ConfigExchange();
  ConfigExchange(const ConfigExchange &) = delete;
  ConfigExchange &operator=(const ConfigExchange &) = delete;

  /// Takes a message; throws Error(BadRequest) when it is malformed, and
  /// ignores types that are not its own.
  void receive(const std::string &From, const std::string &Type,
               const nlohmann::json &Body, TimePoint Now);
  void peerUp(const std::string &Id, TimePoint Now);
  void setZoneMembers(std::set<std::string> Members, TimePoint Now);
  void tick(TimePoint Now);

  const ConfigRelay &state() const { return this->State; }

private:
  void step(const RelayEvent &Event);
  void perform(const RelayAction &Action);
  void noteInForce();
  void takeFetched(const std::string &From, const ConfigData &Data);
  void fetch(const std::string &From, const std::string &Hash,
             std::vector<std::string> Objects);

  ConfigWatcher &Watcher;
  SendFn Send;
  ConfigRelay State;
  TimePoint Now; ///< Of the last event.
  std::vector<ConfigVersionPtr> Held;
  ConfigAssembly Parts;
  sigc::connection Changed;
};

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_CONFIGEXCHANGE_H
