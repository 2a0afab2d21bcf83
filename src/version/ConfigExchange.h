// Distributes configuration versions between daemons: performs the actions that
// ConfigRelay decides on.
//
//   ConfigExchange Exchange(Watcher, Send, {}, SelfId, Now, Seed);
//   Peers.handle("config-offer", ...);  // to Exchange.receive()
//   Loop.timers().every(200ms, [&] { Exchange.tick(EventLoop::now()); });
//
// Messages leave through the function Send, so that tests can replace the
// transport.
//
// Guarantees: a version comes into force only if its data match their hashes;
// the epoch in force never decreases, because the watcher adopts only higher
// ones; the last MaxCachedVersions versions are cached to answer fetches with
// differences.

#ifndef GALENAROUTE_VERSION_CONFIGEXCHANGE_H
#define GALENAROUTE_VERSION_CONFIGEXCHANGE_H

#include "version/ConfigRelay.h"
#include "version/ConfigWatcher.h"

namespace galenaroute {

/// Number of versions cached to answer fetches. Unchanged objects are shared
/// between them.
constexpr std::size_t MaxCachedVersions = 8;

class ConfigExchange {
public:
  /// Sends a message to a daemon, or to all neighbours when \p To is empty.
  using SendFn = std::function<void(const std::string &To, const char *Type,
                                    const nlohmann::json &Body)>;

  /// Starts \p Watcher, which must outlive this object.
  ConfigExchange(ConfigWatcher &Watcher, SendFn Send,
                 const ConfigRelaySettings &Settings, std::string SelfId,
                 TimePoint Now, std::uint64_t Seed);
  ~ConfigExchange();
  ConfigExchange(const ConfigExchange &) = delete;
  ConfigExchange &operator=(const ConfigExchange &) = delete;

  /// Handles a message. Throws Error(BadRequest) when it is malformed; ignores
  /// message types other than `config-*`.
  void receive(const std::string &From, const std::string &Type,
               const nlohmann::json &Body, TimePoint Now);
  void peerUp(const std::string &Id, TimePoint Now);
  void setZoneMembers(std::set<std::string> Members, TimePoint Now);
  void tick(TimePoint Now);

  const ConfigRelay &state() const { return this->State; }

private:
  void step(const RelayEvent &Event);
  void perform(const RelayAction &Action);
  void onVersionChanged();
  void sendOffer(const std::string &To, ConfigOffer Offer);
  void receiveData(const std::string &From, const ConfigData &Data);
  void fetch(const std::string &From, const std::string &Hash,
             std::vector<std::string> Objects);

  ConfigWatcher &Watcher;
  SendFn Send;
  ConfigRelay State;
  TimePoint Now; ///< Time of the last event.
  std::vector<ConfigVersionPtr> CachedVersions;
  ConfigAssembly Parts;
  sigc::connection Changed;
  sigc::connection EraChanged;
};

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_CONFIGEXCHANGE_H
